//! The VM's lease.

use std::time::Duration;

use camphordale_types::Service;

/// The lease of this VM as of the last renewal.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lease {
    until: Duration,
    fence: u64,
    control: Duration,
}

impl Lease {
    /// Applies a renewal. A renewal that ends before the current lease arrived out of order, so it
    /// does not shorten the lease.
    pub(crate) fn renew(&mut self, until: Duration, fence: u64, control: Duration) {
        if until >= self.until {
            self.until = until;
            self.fence = fence;
        }
        self.control = self.control.max(control);
    }

    /// Revokes the lease.
    pub(crate) fn void(&mut self) {
        self.until = Duration::ZERO;
    }

    /// Tells whether the lease is valid at `now` for a VM whose view has `index`.
    pub(crate) fn usable(&self, index: u64, now: Duration) -> bool {
        now < self.until && index >= self.fence
    }

    /// Returns the time at which the lease expires.
    pub(crate) fn until(&self) -> Duration {
        self.until
    }

    /// Tells whether the domain may still serve shards of `service`.
    pub(crate) fn domain_serves(&self, service: &Service, now: Duration) -> bool {
        service
            .domain_lease
            .is_none_or(|lease| now < self.control.saturating_add(lease))
    }
}
