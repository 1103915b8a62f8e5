//! The end of a VM that is stopped: what it no longer sends, and what it answers before it ends.

use std::time::Duration;

use camphordale_entry::{
    Reason,
    Refusal,
    Shutdown, //
};
use camphordale_fleet::PeerMessage;

use crate::harness::{
    Harness,
    KEYED,
    ORDERS,
    READS,
    StepOutput,
    complete,
    contended,
    failed,
    ms,
    not_executed,
    promised, //
};

/// Begins a shutdown that callers have noticed after `notice`, of a process that ends `rest` later.
fn stop(harness: &mut Harness, notice: Duration, rest: Duration) {
    harness.entry.begin_shutdown(Shutdown {
        notice_ends: harness.now + notice,
        ends_at: harness.now + notice + rest,
    });
}

fn handover(done: bool) -> PeerMessage {
    PeerMessage::Handover {
        service: KEYED.into(),
        from: 0,
        to: u16::MAX,
        done,
    }
}

fn reasons(output: &StepOutput) -> Vec<Reason> {
    let decisions = output.decisions.iter();
    decisions.map(|decision| decision.reason).collect()
}

/// Guards against a process that is killed while it still waits for callers to notice its stop: no
/// request in progress would be answered or refused.
#[test]
fn a_short_grace_period_ends_before_the_process_is_killed() {
    let shutdown = Shutdown::new(ms(1000), ms(2000));
    assert!(shutdown.notice_ends <= shutdown.ends_at);
    assert!(shutdown.ends_at < ms(3000));
}

/// Guards against a request that waits for the first routing until callers have noticed the stop, is
/// sent then, and cut off at the end of the process.
#[test]
fn a_request_that_waited_for_the_first_routing_is_refused_if_it_may_be_cut() {
    let mut harness = Harness::without_view();
    stop(&mut harness, ms(100), ms(1000));
    let (request, output) = harness.request(READS);
    assert_eq!(output.refused, []);
    harness.now += ms(200);
    let view = Box::new(Harness::view());
    let output = harness.receive(PeerMessage::Snapshot(view));
    assert_eq!(output.sent, []);
    assert_eq!(promised(&output), [(request, ms(50))]);
    assert_eq!(reasons(&output), [Reason::Stopping]);
}

/// Guards against a request that waits for the next holder of its key until callers have noticed the
/// stop, is sent then, and cut off at the end of the process.
#[test]
fn a_request_that_waited_for_a_holder_is_refused_if_it_may_be_cut() {
    let mut harness = Harness::new();
    stop(&mut harness, ms(100), ms(1000));
    harness.receive(handover(false));
    let (late, output) = harness.request(KEYED);
    assert_eq!(output.sent, []);
    let (in_time, _) = harness.request_within(KEYED, ms(900));
    harness.now += ms(200);
    let output = harness.receive(handover(true));
    let sent: Vec<_> = output.sent.iter().map(|(_, request, _)| *request).collect();
    assert_eq!(sent, [in_time]);
    assert_eq!(promised(&output), [(late, ms(50))]);
    assert_eq!(reasons(&output), [Reason::Stopping]);
}

/// Guards against connections that a process closes without an answer at its end, though their
/// requests were never sent to a target.
#[test]
fn the_end_of_a_stop_refuses_what_no_target_has() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(READS);
    let (at_work, ..) = output.sent[0];
    let (read, output) = harness.request(READS);
    let (queued_read, ..) = output.sent[0];
    let (order, output) = harness.request(ORDERS);
    let (queued_order, ..) = output.sent[0];
    let (keyed, output) = harness.request(KEYED);
    let (queued_keyed, ..) = output.sent[0];
    harness.receive(handover(false));
    let (waiting, _) = harness.request(KEYED);
    stop(&mut harness, ms(0), ms(250));
    assert_eq!(harness.advance(ms(150)).withdrawn, []);
    assert!(harness.entry.next_deadline() <= harness.now + ms(50));
    let output = harness.advance(ms(50));
    assert_eq!(promised(&output), [(waiting, ms(50))]);
    // The event loop leaves the one that has a connection. The end of an attempt would let one that
    // began later have its connection.
    assert_eq!(
        output.withdrawn,
        [queued_keyed, queued_order, queued_read, at_work]
    );
    assert_eq!(output.cancelled, []);
    for (attempt, request) in [(queued_read, read), (queued_order, order)] {
        let output = harness.end_attempt(attempt, failed(false));
        assert_eq!(output.sent, []);
        assert_eq!(promised(&output), [(request, ms(50))]);
        assert_eq!(reasons(&output), [Reason::Stopping]);
    }
    let output = harness.end_attempt(queued_keyed, failed(false));
    assert_eq!(output.sent, []);
    let [(refused, Refusal::NotRun(_))] = output.refused[..] else {
        panic!("{:?}", output.refused);
    };
    assert_eq!(refused, keyed);
    // The target may still answer.
    assert_eq!(harness.advance(ms(20)).cancelled, []);
    let output = harness.end_attempt(at_work, complete(200));
    assert_eq!(output.forwarded.len(), 1);
    assert_eq!(harness.entry.active_requests(), 0);
}

/// Guards against attempts that are begun in the last moment and cut off: requests that arrive then,
/// and a second copy of a slow one.
#[test]
fn nothing_is_sent_at_the_end_of_a_stop() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(READS);
    assert_eq!(output.sent.len(), 1);
    stop(&mut harness, ms(0), ms(400));
    let (request, output) = harness.request_within(READS, ms(400));
    let (shed, ..) = output.sent[0];
    harness.advance(ms(350));
    let output = harness.advance(ms(10));
    assert_eq!(output.sent, [], "a second copy");
    let (late, output) = harness.request_within(ORDERS, ms(30));
    assert_eq!(output.sent, []);
    assert_eq!(promised(&output), [(late, ms(50))]);
    let output = harness.end_attempt(shed, not_executed(503));
    assert_eq!(output.sent, []);
    assert_eq!(promised(&output)[0].0, request);
}

/// Guards against a repetition that is cut off at the end of a stop: the request has a key, its holder
/// did not execute it, and its deadline is behind the end.
#[test]
fn a_keyed_request_that_may_be_cut_is_not_repeated() {
    let mut harness = Harness::new();
    let (request, output) = harness.request(KEYED);
    stop(&mut harness, ms(100), ms(1000));
    harness.advance(ms(200));
    let output = harness.end_attempt(output.sent[0].0, not_executed(503));
    assert_eq!(output.sent, []);
    assert_eq!(promised(&output)[0].0, request);
}

/// Guards against a request that a VM without a routing takes in its last moment and never answers.
#[test]
fn a_vm_without_a_routing_answers_before_it_ends() {
    let mut harness = Harness::without_view();
    stop(&mut harness, ms(0), ms(200));
    let (waiting, _) = harness.request(READS);
    let output = harness.advance(ms(150));
    assert_eq!(promised(&output)[0].0, waiting);
    let (late, output) = harness.request(READS);
    assert_eq!(promised(&output)[0].0, late);
}

/// Guards against a request that its holder rejects in the last moment, which waits for the next
/// holder and is never answered.
#[test]
fn nothing_begins_to_wait_at_the_end_of_a_stop() {
    let mut harness = Harness::new();
    stop(&mut harness, ms(0), ms(300));
    harness.advance(ms(110));
    let (request, output) = harness.request_within(KEYED, ms(190));
    harness.advance(ms(140));
    let rejected = harness.end_attempt(output.sent[0].0, not_executed(421));
    assert_eq!(rejected.sent, []);
    assert!(harness.entry.next_deadline() <= harness.now);
    assert_eq!(promised(&harness.advance(ms(0))), [(request, ms(50))]);
}

/// Guards against targets that count as cold at all VMs because a VM that ends gave up its attempts
/// to connect to them.
#[test]
fn the_end_of_a_stop_reports_no_target_as_unreached() {
    let mut view = Harness::view();
    view.routing = Some(contended().into());
    let mut harness = Harness::with(view);
    let (_, output) = harness.request(READS);
    stop(&mut harness, ms(0), ms(200));
    let withdrawn = harness.advance(ms(150)).withdrawn;
    assert_eq!(withdrawn, [output.sent[0].0]);
    let ended = harness.end_attempt(withdrawn[0], failed(false));
    let ticked = harness.advance(ms(20));
    let mut messages = ended.messages.iter().chain(&ticked.messages);
    let reported = messages.find(|message| matches!(message, PeerMessage::ColdTargets { .. }));
    assert_eq!(reported, None);
}

/// Guards against a response that is withheld for a repetition that the end of the process cuts off.
#[test]
fn a_repetition_that_cannot_end_in_time_is_not_sent() {
    let mut harness = Harness::new();
    for _ in 0..12 {
        let (_, output) = harness.request(READS);
        harness.advance(ms(300));
        harness.end_attempt(output.sent[0].0, complete(200));
    }
    let (request, output) = harness.request(READS);
    stop(&mut harness, ms(0), ms(300));
    harness.advance(ms(150));
    let output = harness.end_attempt(output.sent[0].0, complete(500));
    assert_eq!(output.sent, []);
    assert_eq!(output.forwarded, [request]);
}

/// Guards against a request that is sent to its holder again in the last moment and cut off. Its caller
/// learns that it may have been executed.
#[test]
fn a_keyed_request_is_not_repeated_at_the_end_of_a_stop() {
    let mut harness = Harness::new();
    // A fast target: the time left would do for a repetition.
    for _ in 0..12 {
        let (_, output) = harness.request(KEYED);
        harness.advance(ms(10));
        harness.end_attempt(output.sent[0].0, complete(200));
    }
    let (request, output) = harness.request(KEYED);
    stop(&mut harness, ms(0), ms(200));
    harness.advance(ms(150));
    let output = harness.end_attempt(output.sent[0].0, failed(true));
    assert_eq!(output.sent, []);
    assert_eq!(output.refused, [(request, Refusal::Unknown)]);
}
