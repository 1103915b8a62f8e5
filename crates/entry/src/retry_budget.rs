//! Limit on the retries of this VM.
//!
//! The limit holds for all VMs together. Each VM earns a fraction of a retry for each of its own
//! requests and starts with an even share of the fixed burst, so the sum over all VMs stays below
//! the limit in every window.

/// Fraction of the allowed ratio and burst that is used, because VMs do not know each other's
/// usage.
const USED_FRACTION: f64 = 0.8;

/// Retry budget of one service.
///
/// ```
/// use camphordale_entry::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.2, 60.0);
/// budget.set_vm_count(10);
/// assert!(budget.take());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    cap: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Starts with the limits for all VMs together: retries per request, and a fixed number of
    /// retries per window.
    pub fn new(ratio: f64, burst: f64) -> RetryBudget {
        RetryBudget {
            ratio: ratio * USED_FRACTION,
            burst: burst * USED_FRACTION,
            cap: 0.0,
            tokens: 0.0,
        }
    }

    /// Sets the number of VMs that share the limit.
    pub fn set_vm_count(&mut self, vms: u32) {
        let cap = self.burst / f64::from(vms.max(1));
        if self.cap == 0.0 {
            self.tokens = cap;
        }
        self.cap = cap;
        self.tokens = self.tokens.min(cap);
    }

    /// Adds the share of one request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.cap.max(1.0));
    }

    /// Takes one retry if at least half of the burst is left.
    pub fn take_spare(&mut self) -> bool {
        self.tokens >= self.cap / 2.0 && self.take()
    }

    /// Takes one retry.
    pub fn take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
