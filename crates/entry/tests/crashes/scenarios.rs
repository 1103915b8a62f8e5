//! Scenarios over several entry VMs and the control leader.

use camphordale_entry::Refusal;
use rstest::rstest;

use crate::world::{
    DEADLY,
    ORDERS,
    Outcome,
    READS,
    World,
    ms, //
};

const QUARANTINED: Outcome = Outcome::Refused(Refusal::Quarantined);

/// Guards against a caller whose request ends one target after the other: 55 ended in 20 seconds.
#[rstest]
#[case(READS)]
#[case(ORDERS)]
fn a_request_that_crashes_its_targets_is_refused_after_the_third_crash(#[case] service: &str) {
    for seed in 0..5 {
        let mut world = World::new(seed, 6, 10);
        let all = [0, 1, 2, 3, 4, 5];
        world.run_with_deadly_request(service, &all, ms(20_000));
        assert_eq!(world.sends_after_third_crash(), 0, "seed {seed}");
        // Attempts under way at the third crash may crash their targets as well, and one trial does.
        let (crashes, trials) = (world.crashes.len(), world.trials());
        assert_eq!(trials, 1, "seed {seed}");
        assert!(
            (3..=5).contains(&(crashes - trials)),
            "seed {seed}: {crashes}"
        );
        // Those of the first seconds are told to come back, all later ones are refused finally.
        let come_back = |outcome| matches!(outcome, Outcome::Refused(Refusal::NotRun(_)));
        let outcomes = || world.outcomes.iter().map(|(.., outcome)| *outcome);
        let refused = outcomes().filter(|outcome| *outcome == QUARANTINED || come_back(*outcome));
        assert!(refused.count() > 140, "seed {seed}");
        let mut last = outcomes().skip_while(|outcome| *outcome != QUARANTINED);
        assert!(last.all(|outcome| outcome == QUARANTINED), "seed {seed}");
        let quarantined = outcomes().filter(|outcome| *outcome == QUARANTINED);
        assert!(quarantined.count() > 120, "seed {seed}");
    }
}

/// Guards against a new leader without the evidence of the former one.
#[test]
fn a_change_of_leader_between_the_crashes_loses_no_evidence() {
    for seed in 0..5 {
        let mut world = World::new(seed, 6, 10);
        world.request(0, ORDERS, DEADLY);
        world.run(ms(500));
        world.change_leader();
        world.run(ms(3000));
        world.request(1, ORDERS, DEADLY);
        world.run(ms(500));
        world.change_leader();
        world.run(ms(3000));
        world.request(2, ORDERS, DEADLY);
        world.run(ms(500));
        assert_eq!(world.crashes.len(), 3);
        world.change_leader();
        // One trial, of which the next leader learns.
        world.run_with_deadly_request(ORDERS, &[0, 1, 2, 3, 4, 5], ms(10_000));
        assert_eq!((world.crashes.len(), world.trials()), (4, 1), "seed {seed}");
        world.change_leader();
        world.run_with_deadly_request(ORDERS, &[0, 1, 2, 3, 4, 5], ms(20_000));
        assert_eq!(world.crashes.len(), 4, "seed {seed}");
    }
}

/// Guards against VMs that start after the third crash and try the request again.
#[test]
fn a_restarted_vm_learns_what_is_quarantined() {
    let mut world = World::new(1, 4, 10);
    world.run_with_deadly_request(READS, &[0, 1, 2, 3], ms(4000));
    let crashes = world.crashes.len();
    for at in 0..4 {
        world.restart_vm(at);
    }
    world.run(ms(3000));
    world.run_with_deadly_request(READS, &[0, 1, 2, 3], ms(4000));
    assert_eq!(world.crashes.len(), crashes);
    // The leader may be replaced at the same time as any VM but one.
    world.change_leader();
    for at in 1..4 {
        world.restart_vm(at);
    }
    world.run(ms(3000));
    world.run_with_deadly_request(READS, &[0, 1, 2, 3], ms(4000));
    assert_eq!(world.crashes.len(), crashes);
}

/// Guards against a domain without control that goes on crashing its targets: each VM counts what
/// it sees. Back in touch, it adopts what the others know.
#[test]
fn a_cut_off_vm_counts_for_itself_and_catches_up() {
    let mut world = World::new(1, 4, 12);
    world.cut.extend([2, 3]);
    world.run(ms(4000));
    world.run_with_deadly_request(ORDERS, &[2], ms(6000));
    assert_eq!(world.deadly_sends.len(), 3);
    world.run_with_deadly_request(ORDERS, &[0, 1], ms(6000));
    let crashes = world.crashes.len();
    assert!((6..=8).contains(&crashes), "{crashes}");
    world.cut.clear();
    world.run(ms(6000));
    world.run_with_deadly_request(ORDERS, &[0, 1, 2, 3], ms(6000));
    assert_eq!(world.crashes.len(), crashes);
}

/// Guards against requests that are shut out because full targets reset their connections: the
/// targets go on announcing themselves.
#[test]
fn resets_of_targets_that_live_are_refuted() {
    let mut world = World::new(1, 4, 10);
    world.make_targets_reset(true);
    for step in 0..160 {
        world.request(step % 4, ORDERS, 77);
        world.run(ms(60));
    }
    let quarantined = world.innocents(|outcome| outcome == QUARANTINED);
    assert_eq!(quarantined, 0, "{:?}", world.outcomes);
    world.make_targets_reset(false);
    // An announcement interval, and the time in which announcements may be under way.
    world.run(ms(1600));
    world.outcomes.clear();
    for vm in 0..4 {
        world.request(vm, ORDERS, 77);
    }
    world.run(ms(300));
    let served = world.innocents(|outcome| outcome == Outcome::Served);
    assert_eq!(served, 4, "{:?}", world.outcomes);
}

/// Guards against requests that are refused because they were on the same targets as the deadly
/// one.
#[test]
fn innocent_requests_on_crashed_targets_are_served() {
    for seed in 0..5 {
        let mut world = World::new(seed, 6, 10);
        let mut fingerprint = 100;
        for step in 0..800u32 {
            if step.is_multiple_of(6) {
                world.request((step % 5) as usize, READS, DEADLY);
            }
            for vm in [step % 6, (step + 1) % 6] {
                // Every tenth one repeats an earlier one.
                fingerprint += u128::from(step % 10 != 0);
                world.request(vm as usize, READS, fingerprint);
            }
            world.run(ms(20));
        }
        world.run(ms(2000));
        assert_eq!(world.sends_after_third_crash(), 0, "seed {seed}");
        let quarantined = world.innocents(|outcome| outcome == QUARANTINED);
        let served = world.innocents(|outcome| outcome == Outcome::Served);
        assert_eq!(quarantined, 0, "seed {seed}");
        assert!(served > 1580, "seed {seed}: {served}");
    }
}

/// Guards against a popular request, alike from all callers, that is shut out because targets crash
/// for other reasons while they have it.
#[rstest]
#[case(READS)]
#[case(ORDERS)]
fn a_popular_request_is_not_shut_out_by_unrelated_crashes(#[case] service: &str) {
    for seed in 0..10 {
        let mut world = World::new(seed, 6, 10);
        for step in 0..1000u32 {
            world.request((step % 6) as usize, service, 77);
            world.run(ms(10));
            if step % 100 == 50 {
                world.crash_targets(2);
            }
            if step == 555 {
                // Half of a failure domain at once.
                world.crash_targets(8);
            }
        }
        world.run(ms(2000));
        let quarantined = world.innocents(|outcome| outcome == QUARANTINED);
        let served = world.innocents(|outcome| outcome == Outcome::Served);
        // A request that is under way elsewhere clears the others within a quarter of a second,
        // which is before any refusal is final.
        assert_eq!(quarantined, 0, "seed {seed}");
        assert!(served > 970, "seed {seed}: {served} served");
        world.outcomes.clear();
        world.request(0, service, 77);
        world.run(ms(500));
        assert_eq!(world.outcomes, [(0, 77, Outcome::Served)], "seed {seed}");
    }
}

/// Guards against both mistakes about a request whose only target crashes three times: a sound one that
/// is refused for good, and one that crashes its target that is tried without end.
#[rstest]
#[case::reads(READS)]
#[case::orders(ORDERS)]
fn a_target_that_goes_up_and_down_costs_a_sound_request_no_final_refusal(#[case] service: &str) {
    for seed in 0..5 {
        let mut world = World::new(seed, 4, 1);
        for step in 0..600u32 {
            for vm in 0..4 {
                world.request(vm, service, 77);
            }
            world.run(ms(15));
            if step < 300 && step % 60 == 10 {
                world.crash_targets(2);
            }
            world.run(ms(35));
        }
        let quarantined = world.innocents(|outcome| outcome == QUARANTINED);
        assert_eq!(quarantined, 0, "seed {seed}");
        world.run(ms(500));
        world.outcomes.clear();
        world.request(0, service, 77);
        world.run(ms(500));
        assert_eq!(world.outcomes, [(0, 77, Outcome::Served)], "seed {seed}");

        let mut world = World::new(seed, 4, 1);
        world.run_with_deadly_request(service, &[0, 1, 2, 3], ms(60_000));
        let third = world.deadly_crashes[2];
        let later = world.deadly_crashes.iter().filter(|at| **at > third);
        // The limit is three repetitions.
        assert!((1..=3).contains(&later.count()), "seed {seed}");
        let last = world.outcomes.last().map(|(.., outcome)| *outcome);
        assert_eq!(last, Some(QUARANTINED), "seed {seed}");
    }
}
