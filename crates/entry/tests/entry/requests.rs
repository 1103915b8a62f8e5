//! The life of a request on one entry VM.

use crate::harness::{
    KEYED,
    ORDERS,
    READS,
    Seen,
    World,
    complete,
    failed,
    ms,
    not_executed,
    routing,
    target, //
};
use camphordale_entry::{
    Event,
    Refusal, //
};
use camphordale_fleet::{
    Command,
    Holder,
    KeyRange,
    PeerMessage,
    TargetState, //
};
use rstest::rstest;

/// The only attempt of a step.
fn only(seen: &Seen) -> (u64, Box<str>) {
    assert_eq!(seen.sent.len(), 1, "{seen:?}");
    (seen.sent[0].0, seen.sent[0].2.clone())
}

#[rstest]
#[case(READS)]
#[case(ORDERS)]
#[case(KEYED)]
fn an_answer_is_passed_on(#[case] service: &str) {
    let mut world = World::new();
    let (flow, seen) = world.request(service);
    let (attempt, _) = only(&seen);
    assert_eq!(world.answer(attempt, complete(200)).passed, [flow]);
    assert_eq!(world.entry.active_requests(), 0);
}

#[test]
fn a_request_without_a_route_is_not_found() {
    let mut world = World::new();
    let (flow, seen) = world.request("nothing");
    assert_eq!(seen.refused, [(flow, Refusal::NotFound)]);
}

/// Seen on a day on which callers left early: reads at holders of keys ran on.
#[rstest]
#[case(READS, true)]
#[case(KEYED, true)]
#[case(ORDERS, false)]
fn a_caller_that_leaves_cancels_idempotent_work(#[case] service: &str, #[case] cancels: bool) {
    let mut world = World::new();
    let (flow, seen) = world.request(service);
    let (attempt, _) = only(&seen);
    let seen = world.step(Event::CallerDisconnected(flow));
    assert_eq!(seen.cancelled == [attempt], cancels);
}

#[test]
fn an_idempotent_request_goes_to_another_target_after_a_failure() {
    let mut world = World::new();
    let (_, seen) = world.request(READS);
    let (attempt, first) = only(&seen);
    let (_, second) = only(&world.answer(attempt, complete(500)));
    assert_ne!(first, second);
}

#[test]
fn work_that_may_run_once_is_sent_again_only_if_it_surely_did_not_run() {
    let mut world = World::new();
    let (flow, seen) = world.request(ORDERS);
    let (attempt, _) = only(&seen);
    let seen = world.answer(attempt, failed(true));
    assert_eq!(seen.refused, [(flow, Refusal::Unknown)]);

    // After a failure its target gets a pause.
    world.now += ms(300);
    let (_, seen) = world.request(ORDERS);
    let (attempt, first) = only(&seen);
    let (_, second) = only(&world.answer(attempt, failed(false)));
    assert_ne!(first, second);

    world.now += ms(300);
    let (_, seen) = world.request(ORDERS);
    let (attempt, first) = only(&seen);
    let (_, second) = only(&world.answer(attempt, not_executed(503)));
    assert_ne!(first, second);
}

/// A refusal must not say "not run" once an attempt may have run.
#[test]
fn a_refusal_after_a_lost_attempt_says_that_the_request_may_have_run() {
    let mut world = World::new();
    let (flow, seen) = world.request(READS);
    let (attempt, _) = only(&seen);
    let (attempt, _) = only(&world.answer(attempt, failed(true)));
    let seen = world.answer(attempt, not_executed(503));
    assert_eq!(seen.refused, [(flow, Refusal::Unknown)]);
}

#[test]
fn a_request_ends_at_its_deadline() {
    let mut world = World::new();
    let (flow, seen) = world.request_within(ORDERS, ms(400));
    let (attempt, _) = only(&seen);
    let seen = world.after(ms(400));
    assert_eq!(seen.refused, [(flow, Refusal::TimedOut)]);
    assert_eq!(seen.cancelled, [attempt]);
    assert!(world.answer(attempt, complete(200)).passed.is_empty());
}

/// Seen on a calm day: a request that its holder always fails went there five times.
#[test]
fn a_request_is_sent_no_more_often_than_its_route_allows() {
    let mut world = World::new();
    let (flow, seen) = world.request(KEYED);
    let (attempt, _) = only(&seen);
    let (attempt, _) = only(&world.answer(attempt, complete(500)));
    assert_eq!(world.answer(attempt, complete(500)).passed, [flow]);
}

#[test]
fn a_slow_answer_makes_another_target_try_too() {
    let mut world = World::new();
    let (flow, seen) = world.request(READS);
    let (first, slow) = only(&seen);
    let (second, other) = only(&world.after(ms(360)));
    assert_ne!(slow, other);
    let seen = world.answer(second, complete(200));
    assert_eq!((seen.passed, seen.cancelled), (vec![flow], vec![first]));
}

/// The second target of the keyed service gets all keys.
fn assigned() -> PeerMessage {
    let holder = |id: &str| Holder {
        id: id.into(),
        incarnation: 1,
    };
    let command = Command::Assign {
        service: KEYED.into(),
        former: Some(holder("keyed-0")),
        range: KeyRange {
            from: 0,
            to: u16::MAX,
            holder: Some(holder("keyed-1")),
            handover: None,
        },
    };
    PeerMessage::Update {
        index: 11,
        command: Box::new(command),
    }
}

fn handover(done: bool) -> PeerMessage {
    PeerMessage::Handover {
        service: KEYED.into(),
        from: 0,
        to: u16::MAX,
        done,
    }
}

#[test]
fn a_request_waits_for_the_next_holder_of_its_key() {
    let mut world = World::new();
    let (flow, seen) = world.request(KEYED);
    let (attempt, first) = only(&seen);
    assert_eq!(&*first, "keyed-0");
    let seen = world.answer(attempt, not_executed(421));
    assert!(seen.sent.is_empty() && seen.refused.is_empty());
    // The next holder does not know yet that it has the keys.
    assert!(world.stream(assigned()).sent.is_empty());
    let (attempt, next) = only(&world.stream(handover(true)));
    assert_eq!(&*next, "keyed-1");
    assert_eq!(world.answer(attempt, complete(200)).passed, [flow]);
}

/// Seen on every day: requests for keys on the move went to both holders, were sent away by both
/// and used the budget of repeats.
#[test]
fn a_request_for_a_key_on_the_move_goes_only_to_the_next_holder() {
    let mut world = World::new();
    world.stream(handover(false));
    let (flow, seen) = world.request(KEYED);
    assert!(seen.sent.is_empty());
    assert!(world.after(ms(100)).sent.is_empty());
    assert!(world.stream(assigned()).sent.is_empty());
    let (attempt, next) = only(&world.stream(handover(true)));
    assert_eq!(&*next, "keyed-1");
    assert_eq!(world.answer(attempt, complete(200)).passed, [flow]);
}

/// The leader is lost in the middle of a change of holder: the request ends in time all the same.
#[rstest]
#[case(false)]
#[case(true)]
fn a_handover_without_further_word_holds_no_request_for_long(#[case] is_assigned: bool) {
    let mut world = World::new();
    world.stream(handover(false));
    if is_assigned {
        world.stream(assigned());
    }
    let (flow, _) = world.request(KEYED);
    let mut refused = Vec::new();
    let mut sent = Vec::new();
    for _ in 0..30 {
        let seen = world.after(ms(10));
        refused.extend(seen.refused);
        sent.extend(seen.sent);
    }
    match is_assigned {
        true => assert_eq!(&*sent[0].2, "keyed-1"),
        false => {
            assert!(matches!(refused[..], [(refused, Refusal::NotRun(_))] if refused == flow));
        }
    }
}

#[test]
fn a_request_without_a_holder_is_refused_before_its_objective() {
    let mut world = World::new();
    let (flow, seen) = world.request(KEYED);
    let (attempt, _) = only(&seen);
    world.answer(attempt, not_executed(421));
    let mut refused = Vec::new();
    for _ in 0..20 {
        let seen = world.after(ms(10));
        refused.extend(seen.refused);
        for (attempt, ..) in seen.sent {
            refused.extend(world.answer(attempt, not_executed(421)).refused);
        }
    }
    assert!(matches!(refused[..], [(refused, Refusal::NotRun(_))] if refused == flow));
}

/// Seen in a test: the request went back to the same holder at once, until its budget was used.
#[test]
fn a_holder_that_sent_a_request_away_is_asked_again_only_after_a_pause() {
    let mut world = World::new();
    let (_, seen) = world.request(KEYED);
    let (attempt, _) = only(&seen);
    assert!(world.answer(attempt, not_executed(421)).sent.is_empty());
    assert!(world.after(ms(50)).sent.is_empty());
    assert_eq!(&*only(&world.after(ms(10))).1, "keyed-0");
}

#[test]
fn a_draining_target_gets_no_new_requests() {
    let mut world = World::new();
    for number in [0, 2] {
        let mut draining = target(READS, 1 + number, "a");
        draining.state = TargetState::Draining;
        let command = Box::new(Command::Announce {
            id: format!("reads-{number}").into(),
            target: draining,
        });
        let index = 11 + u64::from(number);
        world.stream(PeerMessage::Update { index, command });
    }
    for _ in 0..4 {
        let (_, seen) = world.request(READS);
        assert_eq!(&*only(&seen).1, "reads-1");
    }
}

/// An entry VM never acts on an older view than one it has acted on.
#[test]
fn an_older_view_is_not_taken() {
    let mut world = World::new();
    let view = camphordale_fleet::View::default();
    world.stream(PeerMessage::Snapshot(Box::new(view)));
    assert_eq!(world.entry.view().index, 10);
}

/// Seen after every restart of everything: requests were refused although the routing came 200 ms
/// later.
#[test]
fn a_request_waits_a_moment_for_the_first_routing() {
    let mut world = World::without_view();
    let (flow, seen) = world.request(READS);
    assert!(seen.sent.is_empty() && seen.refused.is_empty());
    assert!(world.entry.has_request(flow));
    assert!(world.after(ms(200)).refused.is_empty());
    let view = PeerMessage::Snapshot(Box::new(World::view()));
    let (attempt, _) = only(&world.stream(view));
    assert_eq!(world.answer(attempt, complete(200)).passed, [flow]);
    assert_eq!(world.entry.active_requests(), 0);
}

#[test]
fn a_request_without_a_routing_is_refused_after_a_moment() {
    let mut world = World::without_view();
    let (flow, _) = world.request_within(READS, ms(800));
    let (gone, _) = world.request_within(READS, ms(800));
    world.step(Event::CallerDisconnected(gone));
    assert!(world.after(ms(190)).refused.is_empty());
    let seen = world.after(ms(20));
    assert!(matches!(seen.refused[..], [(refused, Refusal::NotRun(_))] if refused == flow));
    assert_eq!(world.entry.active_requests(), 0);
}

/// A VM that is cut off from control sends keyed requests to former holders and routes by an old
/// version: callers go elsewhere while it serves those that it has. Seen on days that cut entry VMs
/// off from control for 10 s.
#[test]
fn a_vm_with_a_stale_view_is_not_ready_and_sends_callers_away() {
    let mut world = World::new();
    let states = |world: &World| {
        let entry = &world.entry;
        (
            entry.is_ready(world.now),
            entry.should_close_connections(world.now),
        )
    };
    assert_eq!(states(&world), (true, false));
    world.step(Event::StreamClosed);
    world.after(ms(1200));
    assert_eq!(
        states(&world),
        (true, false),
        "control may be electing a leader"
    );
    world.after(ms(200));
    assert_eq!(states(&world), (false, false));
    world.after(ms(2000));
    assert_eq!(states(&world), (false, true));
    let (_, seen) = world.request(READS);
    only(&seen);
    world.stream(PeerMessage::Snapshot(Box::new(World::view())));
    assert_eq!(states(&world), (true, false));
}

/// Without keys an older view serves as well, and callers stay near.
#[test]
fn a_vm_without_keyed_services_stays_ready_for_longer() {
    let mut view = World::view();
    let mut routing = routing();
    routing.services.remove(KEYED);
    routing.routes.remove(KEYED);
    view.routing = Some(std::sync::Arc::new(routing));
    let mut world = World::with(view);
    world.step(Event::StreamClosed);
    world.after(ms(9000));
    assert!(world.entry.is_ready(world.now));
    world.after(ms(2000));
    assert!(!world.entry.is_ready(world.now));
}

/// Seen on a calm day: a hot key had no holder for 1.2 s, because its former holder first finished
/// the work that it had, which may be repeated.
#[test]
fn work_that_holds_a_release_up_is_cancelled_and_repeated_at_the_next_holder() {
    let mut world = World::new();
    let (flow, seen) = world.request(KEYED);
    let (first, _) = only(&seen);
    world.stream(handover(false));
    assert!(world.after(ms(190)).cancelled.is_empty());
    let seen = world.after(ms(20));
    assert_eq!(seen.cancelled, [first]);
    world.stream(assigned());
    let (attempt, next) = only(&world.stream(handover(true)));
    assert_eq!(&*next, "keyed-1");
    assert_eq!(world.answer(attempt, complete(200)).passed, [flow]);
}

/// Seen on days on which entry VMs are stopped in turn: the request was refused after its work had
/// been cancelled. It waits for the next holder, and its refusal does not say "not run".
#[test]
fn a_request_whose_work_was_cancelled_is_not_refused_before_its_deadline() {
    let mut world = World::new();
    let (flow, _) = world.request_within(KEYED, ms(1000));
    world.stream(handover(false));
    let mut refused = Vec::new();
    for step in 1..=50 {
        let seen = world.after(ms(20));
        refused.extend(seen.refused);
        for (attempt, ..) in seen.sent {
            refused.extend(world.answer(attempt, not_executed(421)).refused);
        }
        assert!(refused.is_empty() || step == 50, "{step}: {refused:?}");
    }
    let unknown = [Refusal::Unknown, Refusal::TimedOut];
    assert!(
        matches!(refused[..], [(id, ref refusal)] if id == flow && unknown.contains(refusal)),
        "{refused:?}"
    );
}

/// A VM that is told to stop finishes what it has begun.
#[test]
fn a_vm_that_stops_cancels_no_work() {
    let mut world = World::new();
    world.request(KEYED);
    world.entry.begin_shutdown();
    world.stream(handover(false));
    assert!(world.after(ms(300)).cancelled.is_empty());
}
