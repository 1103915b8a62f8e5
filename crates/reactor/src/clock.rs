//! The clock of a process.

use std::time::Duration;

use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// Time since the process started, including time for which the VM was suspended. Leases and holds
/// run on while a VM is suspended, so they must not be measured by a clock that stands still.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Duration);

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

impl Clock {
    /// Starts the clock at zero.
    ///
    /// ```
    /// let clock = camphordale_reactor::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Clock {
        Clock(boot_time())
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        boot_time().saturating_sub(self.0)
    }
}
