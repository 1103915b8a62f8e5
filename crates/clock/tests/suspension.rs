//! The clock of a process includes the time for which its VM was suspended.

#![allow(clippy::unwrap_used)]

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_clock::{
    Clock,
    boot_time, //
};

static MILLIS: AtomicU64 = AtomicU64::new(5_000);

fn source() -> Duration {
    Duration::from_millis(MILLIS.load(Ordering::Relaxed))
}

#[test]
fn a_lease_has_expired_after_a_suspension() {
    let clock = Clock::with_source(source);
    let lease_until = clock.now() + Duration::from_millis(500);
    let before = Instant::now();
    // A suspension of ten seconds, during which `Instant` does not advance.
    MILLIS.fetch_add(10_000, Ordering::Relaxed);
    assert!(clock.now() > lease_until);
    assert!(before.elapsed() < Duration::from_secs(5));
    assert!(clock.instant(lease_until) <= Instant::now());
}

/// `/proc/uptime` includes suspensions; the monotonic clock does not.
#[test]
fn the_time_source_is_the_time_since_boot() {
    let text = std::fs::read_to_string("/proc/uptime").unwrap();
    let uptime: f64 = text.split(' ').next().unwrap().parse().unwrap();
    let difference = (boot_time().as_secs_f64() - uptime).abs();
    assert!(difference < 5.0, "{difference}");
}
