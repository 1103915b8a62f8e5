//! Logged decisions: each reason comes with the inputs of the decision.

use camphordale_entry::{
    AttemptResult,
    Decision,
    Event,
    Evidence,
    Reason, //
};
use camphordale_fleet::PeerMessage;
use rstest::rstest;

use crate::harness::{
    Harness,
    KEYED,
    ORDERS,
    READS,
    complete,
    complete_with,
    failed,
    ms,
    not_executed, //
};

/// The first decision with this reason in a step or in those that follow.
fn decision(harness: &mut Harness, output: Vec<Decision>, reason: Reason) -> Decision {
    let mut all = output;
    for _ in 0..200 {
        if let Some(found) = all.iter().find(|decision| decision.reason == reason) {
            return found.clone();
        }
        all.extend(harness.advance(ms(10)).decisions);
    }
    panic!("no {} in {all:?}", reason.name());
}

#[test]
fn a_full_holder_is_reported_with_its_load() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(KEYED);
    harness.now += ms(100);
    harness.end_attempt(output.sent[0].0, complete_with(4, 9));
    let (_, output) = harness.request(KEYED);
    let found = decision(&mut harness, output.decisions, Reason::HolderFull);
    let target_stats = found.target_stats.unwrap();
    assert_eq!(found.target.as_deref(), Some("keyed-0"));
    assert!(found.key.is_some() && found.view_index == 10);
    assert!(target_stats.load > 10.0 && target_stats.expected_latency > ms(300));
    assert!(target_stats.report_age.unwrap() <= ms(60));
}

#[test]
fn a_lost_attempt_is_reported_with_its_target_and_the_remaining_time() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(ORDERS);
    let (attempt, _, target) = output.sent[0].clone();
    harness.now += ms(70);
    let output = harness.end_attempt(attempt, failed(true));
    let found = decision(&mut harness, output.decisions, Reason::Lost);
    assert_eq!(found.target, Some(target));
    assert_eq!((found.age, found.attempts), (ms(70), 1));
    assert_eq!(found.remaining, ms(1430));
    assert!(found.target_stats.unwrap().failure_rate > 0.0);
}

#[test]
fn an_unreachable_target_is_reported_as_unresponsive() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(KEYED);
    let output = harness.end_attempt(output.sent[0].0, failed(false));
    let found = decision(&mut harness, output.decisions, Reason::Unreached);
    assert!(found.target_stats.unwrap().unresponsive);
    let (_, output) = harness.request(KEYED);
    let found = decision(&mut harness, output.decisions, Reason::HolderLost);
    assert!(found.target_stats.unwrap().unresponsive);
    assert_eq!((found.attempts, found.queued), (0, ms(0)));
}

#[test]
fn a_timeout_is_reported_with_its_target() {
    let mut harness = Harness::new();
    let (_, output) = harness.request_within(ORDERS, ms(300));
    let target = output.sent[0].2.clone();
    let found = decision(&mut harness, Vec::new(), Reason::TimedOut);
    assert_eq!((found.target, found.remaining), (Some(target), ms(0)));
}

#[test]
fn a_shed_request_is_reported_with_both_attempts() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(ORDERS);
    let repeated = harness.end_attempt(output.sent[0].0, not_executed(503));
    assert_eq!(repeated.decisions[0].reason, Reason::Shed);
    let refused = harness.end_attempt(repeated.sent[0].0, not_executed(503));
    let found = decision(&mut harness, refused.decisions, Reason::Shed);
    assert_eq!(found.attempts, 2);
}

/// A refusal is logged with what shows that the request was not run.
#[rstest]
#[case(&[not_executed(503), not_executed(429)], Reason::Shed, Some(Evidence::Stated))]
#[case(&[failed(false), not_executed(503)], Reason::Shed, Some(Evidence::Stated))]
#[case(&[failed(false); 3], Reason::Unreached, Some(Evidence::Unsent))]
#[case(&[not_executed(503), failed(true)], Reason::Lost, None)]
fn a_refusal_is_reported_with_its_evidence(
    #[case] results: &[AttemptResult],
    #[case] reason: Reason,
    #[case] evidence: Option<Evidence>,
) {
    let mut harness = Harness::new();
    let (_, mut output) = harness.request(ORDERS);
    for result in results {
        output = harness.end_attempt(output.sent[0].0, *result);
    }
    let found = output.decisions.last().unwrap();
    assert_eq!((found.reason, found.evidence), (reason, evidence));
}

#[test]
fn unroutable_requests_are_reported_with_what_is_missing() {
    let mut harness = Harness::new();
    let output = harness.request("nothing").1;
    decision(&mut harness, output.decisions, Reason::NoRoute);
    harness.receive(PeerMessage::Handover {
        service: KEYED.into(),
        from: 0,
        to: u16::MAX,
        done: false,
    });
    let output = harness.request(KEYED).1;
    let found = decision(&mut harness, output.decisions, Reason::Moving);
    assert_eq!(found.target.as_deref(), Some("keyed-0"));

    let mut new_harness = Harness::without_view();
    let output = new_harness.request(READS).1;
    let found = decision(&mut new_harness, output.decisions, Reason::NoRouting);
    assert_eq!(found.view_index, 0);
}

/// Successful requests are only counted; a slow request is logged.
#[test]
fn only_problems_are_logged() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(READS);
    assert!(output.decisions.is_empty());
    assert!(
        harness
            .end_attempt(output.sent[0].0, complete(200))
            .decisions
            .is_empty()
    );
    let (_, output) = harness.request(READS);
    assert!(output.decisions.is_empty());
    let found = decision(&mut harness, Vec::new(), Reason::Slow);
    assert!(found.age >= ms(360));
    harness.step(Event::CallerDisconnected(found.request));
}
