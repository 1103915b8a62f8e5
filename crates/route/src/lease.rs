//! The VM's lease.

use std::time::Duration;

use camphordale_types::Service;

/// The lease of this VM, as last renewed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lease {
    until: Duration,
    fence: u64,
    control: Duration,
}

impl Lease {
    /// Takes a renewal. One that ends earlier than the current lease was overtaken by it.
    pub(crate) fn renew(&mut self, until: Duration, fence: u64, control: Duration) {
        if until >= self.until {
            self.until = until;
            self.fence = fence;
        }
        self.control = self.control.max(control);
    }

    /// Makes the lease void.
    pub(crate) fn void(&mut self) {
        self.until = Duration::ZERO;
    }

    /// Tells whether the lease allows sending at `now` with a view of `index`.
    pub(crate) fn usable(&self, index: u64, now: Duration) -> bool {
        now < self.until && index >= self.fence
    }

    /// Returns the end of the lease.
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
