//! Patterns of load, each named by the test that answers it.

use std::collections::BTreeMap;

use crate::harness::{
    KEYED,
    ORDERS,
    READS,
    World,
    complete,
    complete_with,
    failed,
    ms,
    target, //
};
use camphordale_entry::{
    AttemptResult,
    LoadReport,
    Peers,
    Refusal, //
};
use rstest::rstest;

/// Requests pile up faster than they are answered: a burst. Each target gets a bounded number, the
/// rest is told at once to come back.
#[test]
fn burst_fills_targets_to_their_places_and_refuses_the_rest_at_once() {
    let mut world = World::new();
    let mut at: BTreeMap<Box<str>, usize> = BTreeMap::new();
    let mut refused = 0;
    for _ in 0..100 {
        let (_, seen) = world.request(ORDERS);
        for (_, _, target) in seen.sent {
            *at.entry(target).or_default() += 1;
        }
    }
    // Requests that wait for a place here are refused after a small part of their objective.
    let seen = world.after(ms(61));
    for (_, refusal) in seen.refused {
        assert!(matches!(refusal, Refusal::NotRun(pause) if pause >= ms(100)));
        refused += 1;
    }
    assert!(at.values().all(|count| *count <= 10), "{at:?}");
    assert_eq!(refused + at.values().sum::<usize>(), 100);
}

/// One key gets much of the traffic: its holder is kept below its places, whatever other holders
/// could still take.
#[test]
fn hot_key_does_not_overfill_its_holder() {
    let mut world = World::new();
    let mut sent = 0;
    for _ in 0..60 {
        sent += world.request(KEYED).1.sent.len();
    }
    assert!((4..=10).contains(&sent), "{sent}");
}

/// A caller that was refused comes back with less time: it is served late rather than never.
#[test]
fn returning_caller_is_admitted_for_the_time_it_has_left() {
    let mut world = World::new();
    // The holder takes 300 ms for a request and has a queue of other VMs' requests.
    for _ in 0..5 {
        let (_, seen) = world.request(KEYED);
        world.now += ms(500);
        world.answer(seen.sent[0].0, complete(200));
    }
    let (_, seen) = world.request(KEYED);
    world.now += ms(300);
    world.answer(seen.sent[0].0, complete_with(4, 4));
    let (_, first) = world.request_within(KEYED, ms(1500));
    let (_, back) = world.request_within(KEYED, ms(1200));
    assert_eq!((first.sent.len(), back.sent.len()), (0, 1));
}

/// A target is several times slower than the others: it gets the smaller part.
#[test]
fn slow_target_gets_less() {
    let mut world = World::new();
    let mut got: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for _ in 0..300 {
        let (_, seen) = world.request(READS);
        let (attempt, _, target) = seen.sent[0].clone();
        world.now += ms(if &*target == "reads-0" { 340 } else { 60 });
        *got.entry(target).or_default() += 1;
        world.answer(attempt, complete_with(1, 0));
    }
    let slow = got.get("reads-0").copied().unwrap_or(0);
    assert!(slow < 60, "{got:?}");
}

/// A target answers with failures although its health looks good: it is avoided.
#[test]
fn grey_target_is_avoided() {
    let mut world = World::new();
    let mut got: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for _ in 0..300 {
        let (_, seen) = world.request(ORDERS);
        let (attempt, _, target) = seen.sent[0].clone();
        world.now += ms(50);
        let status = if &*target == "orders-0" { 500 } else { 200 };
        *got.entry(target).or_default() += 1;
        world.answer(attempt, complete(status));
    }
    let grey = got.get("orders-0").copied().unwrap_or(0);
    assert!(grey < 60, "{got:?}");
}

/// A target cannot be reached: after a few attempts it gets one request from time to time.
#[test]
fn unreachable_target_gets_single_requests_between_pauses() {
    let mut world = World::new();
    let mut tries = 0;
    for _ in 0..400 {
        world.now += ms(10);
        let (_, seen) = world.request(ORDERS);
        let mut next = seen.sent;
        while let Some((attempt, _, target)) = next.pop() {
            if &*target == "orders-0" {
                tries += 1;
                next = world.answer(attempt, failed(false)).sent;
            } else {
                world.answer(attempt, complete(200));
            }
        }
    }
    assert!((1..=8).contains(&tries), "{tries}");
}

/// Targets fail all requests: repeats stay within the budget of this VM.
#[test]
fn failing_service_gets_repeats_within_the_budget() {
    let mut world = World::new();
    let mut repeats = 0;
    for _ in 0..500 {
        world.now += ms(20);
        let (_, seen) = world.request(READS);
        let Some((attempt, ..)) = seen.sent.first().cloned() else {
            continue;
        };
        let again = world.answer(attempt, complete(500)).sent;
        repeats += again.len();
        for (attempt, ..) in again {
            world.answer(attempt, complete(500));
        }
    }
    // 0.2 for each request and 50 beside them are allowed to all VMs together.
    assert!(repeats <= 150, "{repeats}");
    assert!(repeats > 20, "{repeats}");
}

/// A target that has just joined gets work at once.
#[test]
fn joined_target_is_tried_soon() {
    let mut world = World::new();
    for _ in 0..50 {
        let (_, seen) = world.request(READS);
        world.now += ms(40);
        world.answer(seen.sent[0].0, complete_with(1, 0));
    }
    let command = Box::new(camphordale_fleet::Command::Announce {
        id: "reads-9".into(),
        target: target(READS, 99, "a"),
    });
    world.stream(camphordale_fleet::PeerMessage::Update { index: 11, command });
    let (_, seen) = world.request(READS);
    assert_eq!(&*seen.sent[0].2, "reads-9");
}

/// A target resets some connections after it has run their requests: it goes on getting work. Seen
/// on a day on which its keys were refused for seconds.
#[test]
fn resets_after_sending_do_not_stop_work_for_a_holder() {
    let mut world = World::new();
    for _ in 0..20 {
        let (_, seen) = world.request(KEYED);
        assert_eq!(seen.sent.len(), 1);
        let again = world.answer(seen.sent[0].0, failed(true)).sent;
        for (attempt, ..) in again {
            world.answer(attempt, complete(200));
        }
        world.now += ms(20);
    }
}

/// Callers of one VM ask for the keys of one holder while other VMs have nothing for it: the holder
/// reports free places, so this VM goes beyond its share. Seen on every day with ten VMs: half of the
/// refusals at full holders were at holders with free slots.
#[test]
fn uneven_callers_use_the_places_that_a_holder_reports_free() {
    let mut world = World::new();
    world.stream(camphordale_fleet::PeerMessage::Pong {
        sent: ms(0),
        share: camphordale_fleet::Share { all: 10, domain: 4 },
    });
    // Nothing is known yet: the share alone.
    let first: Vec<_> = (0..4).flat_map(|_| world.request(KEYED).1.sent).collect();
    assert_eq!(first.len(), 2);
    world.now += ms(20);
    for (attempt, ..) in first {
        world.answer(attempt, complete_with(1, 0));
    }
    let sent: usize = (0..8).map(|_| world.request(KEYED).1.sent.len()).sum();
    assert!((3..=6).contains(&sent), "{sent}");
}

/// The holder reports a queue: each VM keeps to its share.
#[test]
fn busy_holder_is_shared_evenly() {
    let mut world = World::new();
    world.stream(camphordale_fleet::PeerMessage::Pong {
        sent: ms(0),
        share: camphordale_fleet::Share { all: 10, domain: 4 },
    });
    let (_, seen) = world.request(KEYED);
    world.now += ms(20);
    world.answer(seen.sent[0].0, complete_with(4, 3));
    let sent: usize = (0..8).map(|_| world.request(KEYED).1.sent.len()).sum();
    assert_eq!(sent, 2);
}

/// Targets send requests away although they have free slots: callers may come back at once. A full
/// target needs time.
#[rstest]
#[case(1, 0, 50)]
#[case(4, 6, 250)]
fn callers_come_back_soon_when_targets_shed_with_free_slots(
    #[case] running: u32,
    #[case] queued: u32,
    #[case] longest: u64,
) {
    let mut world = World::new();
    let (_, seen) = world.request(ORDERS);
    let first = seen.sent[0].0;
    let shed = AttemptResult::NotExecuted {
        status: 503,
        load: Some(LoadReport {
            running,
            queued,
            slots: 4,
        }),
    };
    let second = world.answer(first, shed).sent[0].0;
    let refused = world.answer(second, shed).refused;
    let Refusal::NotRun(pause) = refused[0].1 else {
        panic!("{refused:?}");
    };
    assert!(
        pause <= ms(longest) && pause >= ms(longest / 5),
        "{pause:?}"
    );
}

/// Targets send requests away at once while keys move: that does not make them look quick. Seen on a
/// calm day: a hot key went to the target that had sent most requests away.
#[test]
fn requests_that_are_sent_away_do_not_make_a_target_look_quick() {
    let mut peers = Peers::default();
    peers.follow(&World::view());
    let mut now = ms(1000);
    for attempt in 0..20 {
        peers.began("keyed-0", attempt, now);
        now += ms(1);
        peers.sent_away("keyed-0", attempt, None, now);
    }
    assert!(peers.take_times(KEYED, 1).is_empty());
    let mean = |peers: &Peers| peers.get("keyed-0").unwrap().mean();
    let unknown = mean(&peers);
    peers.began("keyed-0", 20, now);
    now += ms(300);
    peers.answered("keyed-0", 20, false, None, now);
    assert!(mean(&peers) > unknown);
    assert_eq!(peers.get("keyed-0").unwrap().failing(), 0.0);
}
