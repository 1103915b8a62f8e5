//! The clock of a process.
//!
//! Reducers get the time since the start of their process. [`Clock`] measures it with
//! `CLOCK_BOOTTIME`, which goes on while a VM is suspended: leases of this VM run out and holds of
//! targets go on meanwhile, so a VM that resumes must see that time has passed before it sends
//! anything. `std::time::Instant` stands still during a suspension and is used for waits only.

use std::time::{
    Duration,
    Instant, //
};

use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// Reads a clock that never goes back.
pub type Source = fn() -> Duration;

/// Time since the process started.
///
/// # Examples
///
/// ```
/// use camphordale_clock::Clock;
///
/// let clock = Clock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: Source,
    start: Duration,
}

/// Time since the machine started, with suspensions.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Neither part of this clock is ever negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// The time of day in milliseconds since 1970, for records that people read. It may jump, so no
/// decision rests on it.
///
/// ```
/// assert!(camphordale_clock::unix_ms() > 0);
/// ```
pub fn unix_ms() -> u64 {
    let time = clock_gettime(ClockId::Realtime);
    let millis = i128::from(time.tv_sec) * 1000 + i128::from(time.tv_nsec) / 1_000_000;
    // A clock that was never set may lie before 1970.
    u64::try_from(millis).unwrap_or_default()
}

impl Clock {
    /// Starts at zero.
    pub fn start() -> Clock {
        Clock::with(boot_time)
    }

    /// Starts at zero with another source.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_clock::Clock;
    ///
    /// let clock = Clock::with(|| Duration::from_secs(3));
    /// assert_eq!(clock.now(), Duration::ZERO);
    /// ```
    pub fn with(source: Source) -> Clock {
        Clock {
            source,
            start: source(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        (self.source)().saturating_sub(self.start)
    }

    /// Returns the instant of a time since the start, for waits of the standard library. A wait
    /// that spans a suspension ends late, so its caller looks at this clock again.
    pub fn instant(&self, at: Duration) -> Instant {
        let left = at.saturating_sub(self.now());
        Instant::now() + left
    }
}
