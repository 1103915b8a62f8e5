//! How many repeats this VM may send.
//!
//! The limit holds for all VMs together. Each VM adds a part of the ratio for each of its own
//! requests and starts with its even share of the fixed extra, so the sum over all VMs stays below
//! the limit in every window.

/// Part of the allowed ratio and extra that is used, because VMs do not know each other's use.
const USED_PART: f64 = 0.8;

/// Repeats of one service.
///
/// ```
/// use camphordale_entry::Budget;
///
/// let mut budget = Budget::new(0.2, 60.0);
/// budget.share(10);
/// assert!(budget.take());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    extra: f64,
    cap: f64,
    tokens: f64,
}

impl Budget {
    /// Starts with the limits that hold for all VMs together: repeats per request, and a fixed
    /// number of repeats in a window.
    pub fn new(ratio: f64, extra: f64) -> Budget {
        Budget {
            ratio: ratio * USED_PART,
            extra: extra * USED_PART,
            cap: 0.0,
            tokens: 0.0,
        }
    }

    /// Sets the number of VMs that share the limit.
    pub fn share(&mut self, vms: u32) {
        let cap = self.extra / f64::from(vms.max(1));
        if self.cap == 0.0 {
            self.tokens = cap;
        }
        self.cap = cap;
        self.tokens = self.tokens.min(cap);
    }

    /// Notes a first request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.cap.max(1.0));
    }

    /// Takes the right to one repeat if at least half of the rights are left.
    pub fn take_spare(&mut self) -> bool {
        self.tokens >= self.cap / 2.0 && self.take()
    }

    /// Takes the right to one repeat.
    pub fn take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
