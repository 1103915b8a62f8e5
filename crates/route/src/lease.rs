//! The lease of this VM, which it needs to send requests.

use std::time::Duration;

use camphordale_types::Service;

/// The lease of this VM as of the last renewal.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lease {
    expiry: Duration,
    /// Lowest view index with which the lease is valid: the router must have applied that view or
    /// a later one.
    min_view: u64,
    /// Time at which the domain last renewed its lease with the control group.
    control_renewed: Duration,
}

impl Lease {
    /// Applies a renewal. A renewal that ends before the current lease arrived out of order, so it
    /// does not shorten the lease.
    pub(crate) fn renew(&mut self, expiry: Duration, min_view: u64, control_renewed: Duration) {
        if expiry >= self.expiry {
            self.expiry = expiry;
            self.min_view = min_view;
        }
        self.control_renewed = self.control_renewed.max(control_renewed);
    }

    /// Revokes the lease.
    pub(crate) fn revoke(&mut self) {
        self.expiry = Duration::ZERO;
    }

    /// Returns whether the lease is valid at `now` for a VM whose view has `view_index`.
    pub(crate) fn is_valid(&self, view_index: u64, now: Duration) -> bool {
        now < self.expiry && view_index >= self.min_view
    }

    /// Returns the time at which the lease expires.
    pub(crate) fn expiry(&self) -> Duration {
        self.expiry
    }

    /// Returns the time since the domain last renewed its lease with the control group.
    pub(crate) fn control_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.control_renewed)
    }

    /// Returns whether the domain may still serve shards of `service`.
    pub(crate) fn domain_serves(&self, service: &Service, now: Duration) -> bool {
        service
            .domain_lease
            .is_none_or(|lease| now < self.control_renewed.saturating_add(lease))
    }
}
