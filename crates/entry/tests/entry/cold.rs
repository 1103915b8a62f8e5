//! Requests to cold targets of a service with a warm-up rate.

use std::{
    sync::Arc,
    time::Duration, //
};

use camphordale_fleet::{
    Command,
    Holder,
    PeerMessage,
    RequestRate,
    TargetState,
    WarmUp, //
};

use crate::harness::{
    Harness,
    KEYED,
    ORDERS,
    StepOutput,
    complete,
    failed,
    ms,
    promised,
    target, //
};

/// A VM whose view has one target of each service, with or without a warm-up rate.
fn harness(has_rate: bool) -> Harness {
    let mut view = Harness::view();
    view.targets.retain(|id, _| id.ends_with("-0"));
    let mut routing = view.routing.as_deref().cloned().unwrap();
    for item in routing.services.values_mut() {
        let rate = RequestRate::try_from(6.0).unwrap();
        let time = ms(3000);
        item.spec.cold = has_rate.then_some(WarmUp { time, rate });
    }
    view.routing = Some(Arc::new(routing));
    Harness::with(view)
}

fn holder(id: &str) -> Holder {
    let incarnation = 1;
    let id = id.into();
    Holder { id, incarnation }
}

fn announce(harness: &mut Harness, state: TargetState) -> StepOutput {
    let index = harness.entry.view().index + 1;
    let record = camphordale_fleet::Target {
        state,
        ..target(KEYED, 21, "a")
    };
    let command = Box::new(Command::Announce {
        id: "keyed-0".into(),
        target: record,
    });
    harness.receive(PeerMessage::Update { index, command })
}

fn grant(harness: &mut Harness, id: &str) -> StepOutput {
    let sent = harness.now;
    harness.receive(PeerMessage::TargetStatements {
        sent,
        stated: Vec::new(),
        leaving: Vec::new(),
        rights: vec![(holder(id), 1)],
    })
}

/// Targets that the VM reports as unreached.
fn reported(output: &StepOutput) -> Vec<(Holder, Duration)> {
    let messages = output.messages.iter();
    let suspected = messages.filter_map(|message| match message {
        PeerMessage::ColdTargets { suspected, .. } => Some(suspected.clone()),
        _ => None,
    });
    suspected.flatten().collect()
}

fn cleared(harness: &mut Harness, id: &str, age: Duration) -> StepOutput {
    harness.receive(PeerMessage::ColdTargets {
        suspected: Vec::new(),
        cleared: vec![(holder(id), age)],
        expired: Vec::new(),
    })
}

/// Guards against a keyed request that is lost, or sent without a right, while its holder is cold. It
/// waits for a moment; then its caller learns that it was not run and when to come back.
#[test]
fn a_request_to_a_cold_holder_waits_for_a_right_or_is_refused() {
    let mut harness = harness(true);
    announce(&mut harness, TargetState::Cold);
    let (first, output) = harness.request(KEYED);
    assert!(output.sent.is_empty() && output.refused.is_empty());
    let wanted = output.messages.iter().find_map(|message| match message {
        PeerMessage::TargetStatements { rights, .. } => rights.first().cloned(),
        _ => None,
    });
    assert_eq!(wanted, Some((holder("keyed-0"), 1)));
    harness.advance(ms(20));
    let output = grant(&mut harness, "keyed-0");
    assert_eq!(output.sent[0].1, first);
    let (second, output) = harness.request(KEYED);
    assert!(output.sent.is_empty());
    let output = harness.advance(ms(160));
    let promised = promised(&output);
    assert_eq!(promised[0].0, second);
    assert!((ms(100)..=ms(800)).contains(&promised[0].1), "{promised:?}");
    // A right ends after a quarter of a second.
    grant(&mut harness, "keyed-0");
    harness.advance(ms(260));
    assert!(harness.request(KEYED).1.sent.is_empty());
    // Warm again, it needs none.
    announce(&mut harness, TargetState::Ready);
    assert_eq!(harness.request(KEYED).1.sent.len(), 1);
}

/// Guards against a cold target that drains and gets all requests for its keys at once.
#[test]
fn a_cold_holder_that_drains_keeps_its_limit() {
    let mut harness = harness(true);
    announce(&mut harness, TargetState::Cold);
    announce(&mut harness, TargetState::Draining);
    assert!(harness.request(KEYED).1.sent.is_empty());
}

/// Guards against a target that comes back cold and gets the probe of each VM that saw it fail. What
/// the leader says of an earlier time changes nothing.
#[test]
fn a_target_that_could_not_be_reached_needs_rights_until_it_is_known_to_be_warm() {
    let mut harness = harness(true);
    let (_, output) = harness.request(ORDERS);
    let output = harness.end_attempt(output.sent[0].0, failed(false));
    assert_eq!(reported(&output), [(holder("orders-0"), ms(0))]);
    harness.advance(ms(300));
    assert!(harness.request(ORDERS).1.sent.is_empty());
    cleared(&mut harness, "orders-0", ms(290));
    assert!(harness.request(ORDERS).1.sent.is_empty());
    // This one was announced long enough after the failure.
    let output = cleared(&mut harness, "orders-0", ms(200));
    assert_eq!(output.sent.len(), 1);
    // It still cannot be reached, so the link is broken: nobody is told.
    let output = harness.end_attempt(output.sent[0].0, failed(false));
    assert_eq!(reported(&output), []);
    harness.advance(ms(900));
    let (_, output) = harness.request(ORDERS);
    harness.end_attempt(output.sent[0].0, complete(200));
    // Once it was reached, a failure is news again.
    let (_, output) = harness.request(ORDERS);
    let output = harness.end_attempt(output.sent[0].0, failed(false));
    assert_eq!(reported(&output), [(holder("orders-0"), ms(0))]);
}

/// Guards against rights that a target with a higher limit was granted before it turned cold.
#[test]
fn rights_from_before_a_target_turned_cold_are_not_used() {
    let mut harness = harness(true);
    announce(&mut harness, TargetState::Cold);
    grant(&mut harness, "keyed-0");
    announce(&mut harness, TargetState::Ready);
    harness.advance(ms(5));
    announce(&mut harness, TargetState::Cold);
    assert!(harness.request(KEYED).1.sent.is_empty());
}

/// A deployment without a warm-up rate probes its targets as before, and reports nothing.
#[test]
fn without_a_warm_up_rate_failed_connections_cost_no_rights() {
    let mut harness = harness(false);
    let (_, output) = harness.request(ORDERS);
    let output = harness.end_attempt(output.sent[0].0, failed(false));
    assert_eq!(reported(&output), []);
    harness.advance(ms(300));
    assert_eq!(harness.request(ORDERS).1.sent.len(), 1);
}
