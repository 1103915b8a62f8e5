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
    ms,
    target_id, //
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

/// Allocations for each target that is lost, until all keys have holders that answer.
fn allocations_per_lost_target(targets: usize) -> u64 {
    let mut fleet = Fleet::new(targets, entries(targets));
    fleet.run(ms(1000));
    let lost = targets / 5;
    fleet.silent = (0..lost).map(target_id).collect();
    fleet.take_work();
    let mut passed = ms(0);
    while !fleet.is_served() {
        fleet.run(ms(20));
        passed += ms(20);
        assert!(passed < ms(6000), "keys have no holder after {passed:?}");
    }
    let work = fleet.take_work();
    work[&Kind::Tick].allocations / lost as u64
}

/// Guards against seconds without service after the loss of a failure domain: for each of the
/// ranges that became free together, the load of all targets was summed up again.
#[test]
fn ranges_that_become_free_together_are_placed_in_one_pass() {
    let (small, large) = (
        allocations_per_lost_target(100),
        allocations_per_lost_target(600),
    );
    assert!(
        large <= small * 3 / 2,
        "{small} allocations at 100 targets, {large} at 600"
    );
}

/// Shortest of several times to plan moves for a service under a steady load.
fn planning_time(targets: usize) -> Duration {
    let mut random = StdRng::seed_from_u64(1);
    let candidates: Vec<Candidate> = (0..targets)
        .map(|number| Candidate {
            holder: Holder {
                id: target_id(number),
                incarnation: 1,
            },
            capacity: random.random_range(10.0..40.0),
            accepts_keys: true,
        })
        .collect();
    let ranges = balance::divide(&candidates).into_iter();
    let ranges: Vec<KeyRange> = ranges
        .map(|planned| KeyRange {
            from: planned.from,
            to: planned.to,
            holder: Some(planned.next),
            handover: None,
        })
        .collect();
    let sample: Vec<Key> = (0..4000).map(|_| random.random()).collect();
    let demand = Demand {
        sample: &sample,
        rate: 10.0 * targets as f64,
    };
    let times = (0..7).map(|_| {
        let started = Instant::now();
        balance::plan(&ranges, &candidates, &demand);
        started.elapsed()
    });
    times.min().unwrap()
}

/// Guards against a leader that is late for its heartbeats because it plans moves: the time for a
/// plan rose with the square of the number of targets. Ten times as many targets would take a
/// hundred times as long.
#[test]
fn the_time_for_a_plan_rises_with_the_number_of_targets() {
    let (small, large) = (planning_time(100), planning_time(1000));
    assert!(
        large < small * 30,
        "{small:?} at 100 targets, {large:?} at 1000"
    );
}
