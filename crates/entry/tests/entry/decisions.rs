//! What is logged of a decision: each reason comes with the inputs that it rests on.

use camphordale_entry::{
    Decision,
    Event,
    Reason, //
};
use camphordale_fleet::PeerMessage;

use crate::harness::{
    KEYED,
    ORDERS,
    READS,
    World,
    complete,
    complete_with,
    failed,
    ms,
    not_executed, //
};

/// The only decision with this verdict, of a step or of those that follow.
fn decision(world: &mut World, seen: Vec<Decision>, reason: Reason) -> Decision {
    let mut all = seen;
    for _ in 0..200 {
        if let Some(found) = all.iter().find(|decision| decision.reason == reason) {
            return found.clone();
        }
        all.extend(world.after(ms(10)).decisions);
    }
    panic!("no {} in {all:?}", reason.name());
}

#[test]
fn a_full_holder_is_named_with_its_load() {
    let mut world = World::new();
    let (_, seen) = world.request(KEYED);
    world.now += ms(100);
    world.answer(seen.sent[0].0, complete_with(4, 9));
    let (_, seen) = world.request(KEYED);
    let found = decision(&mut world, seen.decisions, Reason::HolderFull);
    let target_stats = found.target_stats.unwrap();
    assert_eq!(found.target.as_deref(), Some("keyed-0"));
    assert!(found.key.is_some() && found.view_index == 10);
    assert!(target_stats.load > 10.0 && target_stats.expected_latency > ms(300));
    assert!(target_stats.report_age.unwrap() <= ms(60));
}

#[test]
fn a_lost_attempt_names_its_target_and_the_time_that_was_left() {
    let mut world = World::new();
    let (_, seen) = world.request(ORDERS);
    let (attempt, _, target) = seen.sent[0].clone();
    world.now += ms(70);
    let seen = world.answer(attempt, failed(true));
    let found = decision(&mut world, seen.decisions, Reason::Lost);
    assert_eq!(found.target, Some(target));
    assert_eq!((found.age, found.attempts), (ms(70), 1));
    assert_eq!(found.remaining, ms(1430));
    assert!(found.target_stats.unwrap().failure_rate > 0.0);
}

#[test]
fn a_target_that_cannot_be_reached_is_named_as_silent() {
    let mut world = World::new();
    let (_, seen) = world.request(KEYED);
    let seen = world.answer(seen.sent[0].0, failed(false));
    let found = decision(&mut world, seen.decisions, Reason::Unreached);
    assert!(found.target_stats.unwrap().unresponsive);
    let (_, seen) = world.request(KEYED);
    let found = decision(&mut world, seen.decisions, Reason::HolderLost);
    assert!(found.target_stats.unwrap().unresponsive);
    assert_eq!((found.attempts, found.queued), (0, ms(0)));
}

#[test]
fn a_timeout_names_the_target_that_did_not_answer() {
    let mut world = World::new();
    let (_, seen) = world.request_within(ORDERS, ms(300));
    let target = seen.sent[0].2.clone();
    let found = decision(&mut world, Vec::new(), Reason::TimedOut);
    assert_eq!((found.target, found.remaining), (Some(target), ms(0)));
}

#[test]
fn a_shed_request_names_both_tries() {
    let mut world = World::new();
    let (_, seen) = world.request(ORDERS);
    let repeated = world.answer(seen.sent[0].0, not_executed(503));
    assert_eq!(repeated.decisions[0].reason, Reason::Shed);
    let refused = world.answer(repeated.sent[0].0, not_executed(503));
    let found = decision(&mut world, refused.decisions, Reason::Shed);
    assert_eq!(found.attempts, 2);
}

#[test]
fn requests_without_a_way_say_what_is_missing() {
    let mut world = World::new();
    let seen = world.request("nothing").1;
    decision(&mut world, seen.decisions, Reason::NoRoute);
    world.stream(PeerMessage::Handover {
        service: KEYED.into(),
        from: 0,
        to: u16::MAX,
        done: false,
    });
    let seen = world.request(KEYED).1;
    let found = decision(&mut world, seen.decisions, Reason::Moving);
    assert_eq!(found.target.as_deref(), Some("keyed-0"));

    let mut fresh = World::without_view();
    let seen = fresh.request(READS).1;
    let found = decision(&mut fresh, seen.decisions, Reason::NoRouting);
    assert_eq!(found.view_index, 0);
}

/// Plain successes are counted and have no line; a slow one has.
#[test]
fn only_what_went_wrong_is_logged() {
    let mut world = World::new();
    let (_, seen) = world.request(READS);
    assert!(seen.decisions.is_empty());
    assert!(
        world
            .answer(seen.sent[0].0, complete(200))
            .decisions
            .is_empty()
    );
    let (_, seen) = world.request(READS);
    assert!(seen.decisions.is_empty());
    let found = decision(&mut world, Vec::new(), Reason::Slow);
    assert!(found.age >= ms(360));
    world.step(Event::CallerDisconnected(found.request));
}
