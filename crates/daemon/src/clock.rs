//! The monotonic clock of the process.

use std::time::{
    Duration,
    Instant, //
};

/// Time since the process started, as the reducers count it.
///
/// # Examples
///
/// ```
/// use camphordale_daemon::Clock;
///
/// let clock = Clock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }

    /// Returns the instant of a time since the start.
    pub fn instant(&self, at: Duration) -> Instant {
        self.0 + at
    }
}
