//! Budget of retries.

use std::time::Duration;

/// Retries earned by each request.
const EARNED: f64 = 0.1;
/// Retries per second that are allowed without any requests, so that a quiet service can retry.
const FLOOR_PER_SECOND: f64 = 1.0;
/// Most retries that can be saved up; a longer burst would double the load of a failing target.
const MOST: f64 = 20.0;

/// A token bucket that allows retries for a share of the requests.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
    refilled: Duration,
}

impl RetryBudget {
    /// Returns a full budget.
    pub(crate) fn new(now: Duration) -> Self {
        RetryBudget {
            saved: MOST,
            refilled: now,
        }
    }

    /// Adds the share earned by one request.
    pub(crate) fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST);
    }

    /// Takes one retry; returns false if there is none left.
    pub(crate) fn take(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.saved = (self.saved + passed * FLOOR_PER_SECOND).min(MOST);
        self.refilled = now;
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
