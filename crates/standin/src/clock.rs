//! Monotonic and wall clocks.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

/// Monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Returns a clock that starts at zero.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Returns the wall clock in microseconds since the Unix epoch.
pub fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_micros() as u64
}
