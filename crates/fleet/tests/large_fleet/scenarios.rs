//! Work of the leader by the size of the fleet.

use std::time::{
    Duration,
    Instant, //
};

use camphordale_fleet::{
    Holder, Key, KeyRange,
    balance::{
        self,
        Candidate,
        Demand, //
    },
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use crate::fleet::{
    Fleet,
    Kind,
    ms, //
};

/// Entry VMs for `targets` targets.
fn entries(targets: usize) -> usize {
    targets * 3 / 4
}

/// Allocations of one answer to a renewal, in the mean over three calm seconds.
fn allocations_per_answer(targets: usize) -> u64 {
    let mut fleet = Fleet::new(targets, entries(targets));
    fleet.take_work();
    fleet.run(ms(3000));
    assert!(fleet.is_served());
    let work = fleet.take_work()[&Kind::Answer];
    assert!(work.events as usize > 4 * targets, "{work:?}");
    work.allocations / work.events
}

/// Guards against a leader that has no time for heartbeats and changes of the routing, because each
/// answer of a target is followed by a pass over all key ranges.
#[test]
fn an_answer_of_one_target_is_no_work_for_all_ranges() {
    let (small, large) = (allocations_per_answer(100), allocations_per_answer(600));
    assert!(
        large <= 2 * small.max(4),
        "{small} allocations at 100 targets, {large} at 600"
    );
}
