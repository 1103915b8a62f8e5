//! Retry budget.

use std::time::Duration;

/// Retries that each request adds to the budget.
const RETRY_RATIO: f64 = 0.1;
/// Retries per second that are allowed without any requests, so that a service with little traffic
/// can retry.
const MIN_RETRIES_PER_SECOND: f64 = 1.0;
/// Upper bound of the budget; a longer burst would double the load of a failing target.
const MAX_BALANCE: f64 = 20.0;

/// A token bucket that limits retries to a fraction of the requests.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    balance: f64,
    refilled_at: Duration,
}

impl RetryBudget {
    /// Returns a full budget.
    pub(crate) fn new(now: Duration) -> Self {
        RetryBudget {
            balance: MAX_BALANCE,
            refilled_at: now,
        }
    }

    /// Adds the part of one request.
    pub(crate) fn deposit(&mut self) {
        self.balance = (self.balance + RETRY_RATIO).min(MAX_BALANCE);
    }

    /// Takes one retry; returns false if the budget is exhausted.
    pub(crate) fn withdraw(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.balance = (self.balance + passed * MIN_RETRIES_PER_SECOND).min(MAX_BALANCE);
        self.refilled_at = now;
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
