//! Process clock that includes the time for which the VM was suspended.
//!
//! Reducers get the time since the start of their process. [`Clock`] measures it with
//! `CLOCK_BOOTTIME`, which continues while a VM is suspended. Leases expire meanwhile, both those
//! of this VM and those that it granted to targets, so a VM that resumes must see that time has
//! passed before it sends anything. `std::time::Instant` does not advance during a suspension and
//! is used for waits only.

use std::time::{
    Duration,
    Instant, //
};

use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// Reads a monotonic clock.
pub type TimeSource = fn() -> Duration;

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
    source: TimeSource,
    start: Duration,
}

/// Time since the machine booted, including suspensions.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Both parts of this clock are non-negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Wall-clock time in milliseconds since 1970, for records that people read. It may jump, so no
/// decision is based on it.
///
/// ```
/// assert!(camphordale_clock::unix_ms() > 0);
/// ```
pub fn unix_ms() -> u64 {
    let time = clock_gettime(ClockId::Realtime);
    let millis = i128::from(time.tv_sec) * 1000 + i128::from(time.tv_nsec) / 1_000_000;
    // A clock that was never set may be before 1970.
    u64::try_from(millis).unwrap_or_default()
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        Clock::with_source(boot_time)
    }

    /// Starts a clock at zero with another time source.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_clock::Clock;
    ///
    /// let clock = Clock::with_source(|| Duration::from_secs(3));
    /// assert_eq!(clock.now(), Duration::ZERO);
    /// ```
    pub fn with_source(source: TimeSource) -> Clock {
        Clock {
            source,
            start: source(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        (self.source)().saturating_sub(self.start)
    }

    /// Converts a time since the start to an [`Instant`], for waits of the standard library. A wait
    /// that spans a suspension ends late, so its caller must check this clock again.
    pub fn instant(&self, at: Duration) -> Instant {
        let remaining = at.saturating_sub(self.now());
        Instant::now() + remaining
    }
}
