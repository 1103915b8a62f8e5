//! The lifecycle of a request on one entry VM.

use crate::harness::{
    Harness,
    KEYED,
    ORDERS,
    READS,
    StepOutput,
    complete,
    failed,
    ms,
    not_executed,
    routing,
    target,
    unproved, //
};
use camphordale_entry::{
    AttemptResult,
    Event,
    Refusal,
    Shutdown, //
};
use camphordale_fleet::{
    Command,
    Holder,
    KeyRange,
    PeerMessage,
    TargetState, //
};
use rstest::rstest;

/// The only attempt sent in a step.
fn only_attempt(output: &StepOutput) -> (u64, Box<str>) {
    assert_eq!(output.sent.len(), 1, "{output:?}");
    (output.sent[0].0, output.sent[0].2.clone())
}

#[rstest]
#[case(READS)]
#[case(ORDERS)]
#[case(KEYED)]
fn a_response_is_forwarded(#[case] service: &str) {
    let mut harness = Harness::new();
    let (request, output) = harness.request(service);
    let (attempt, _) = only_attempt(&output);
    assert_eq!(
        harness.end_attempt(attempt, complete(200)).forwarded,
        [request]
    );
    assert_eq!(harness.entry.active_requests(), 0);
}

#[test]
fn a_request_without_a_route_is_not_found() {
    let mut harness = Harness::new();
    let (request, output) = harness.request("nothing");
    assert_eq!(output.refused, [(request, Refusal::NotFound)]);
}

/// Guards against reads that run on at holders of keys after their callers disconnected.
#[rstest]
#[case(READS, true)]
#[case(KEYED, true)]
#[case(ORDERS, false)]
fn a_disconnected_caller_cancels_idempotent_attempts(#[case] service: &str, #[case] cancels: bool) {
    let mut harness = Harness::new();
    let (request, output) = harness.request(service);
    let (attempt, _) = only_attempt(&output);
    let output = harness.step(Event::CallerDisconnected(request));
    assert_eq!(output.cancelled == [attempt], cancels);
}

#[test]
fn an_idempotent_request_goes_to_another_target_after_a_failure() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(READS);
    let (attempt, first) = only_attempt(&output);
    let (_, second) = only_attempt(&harness.end_attempt(attempt, complete(500)));
    assert_ne!(first, second);
}

#[test]
fn an_at_most_once_request_is_retried_only_if_it_was_not_executed() {
    let mut harness = Harness::new();
    let (request, output) = harness.request(ORDERS);
    let (attempt, _) = only_attempt(&output);
    let output = harness.end_attempt(attempt, failed(true));
    assert_eq!(output.refused, [(request, Refusal::Unknown)]);

    // Wait until the back-off of the failed target has passed.
    harness.now += ms(300);
    let (_, output) = harness.request(ORDERS);
    let (attempt, first) = only_attempt(&output);
    let (_, second) = only_attempt(&harness.end_attempt(attempt, failed(false)));
    assert_ne!(first, second);

    harness.now += ms(300);
    let (_, output) = harness.request(ORDERS);
    let (attempt, first) = only_attempt(&output);
    let (_, second) = only_attempt(&harness.end_attempt(attempt, not_executed(503)));
    assert_ne!(first, second);
}

/// A refusal must not say "not run" once an attempt may have been executed.
#[test]
fn a_refusal_after_a_lost_attempt_reports_possible_execution() {
    let mut harness = Harness::new();
    let (request, output) = harness.request(READS);
    let (attempt, _) = only_attempt(&output);
    let (attempt, _) = only_attempt(&harness.end_attempt(attempt, failed(true)));
    let output = harness.end_attempt(attempt, not_executed(503));
    assert_eq!(output.refused, [(request, Refusal::Unknown)]);
}

/// Guards against a caller that is told that its request was not run because a target answered with a
/// status that means so, while it or another target runs the request.
#[rstest]
#[case(&[unproved()])]
#[case(&[not_executed(503), unproved()])]
#[case(&[failed(false), unproved()])]
fn an_unproved_status_promises_nothing(#[case] results: &[AttemptResult]) {
    let mut harness = Harness::new();
    let (request, mut output) = harness.request(ORDERS);
    for result in results {
        let (attempt, _) = only_attempt(&output);
        output = harness.end_attempt(attempt, *result);
    }
    assert_eq!(output.refused, [(request, Refusal::Unknown)]);
    assert!(output.sent.is_empty() && output.forwarded.is_empty());
    assert_eq!(output.decisions.last().unwrap().evidence, None);
}

/// A request that may run more than once goes to another target instead.
#[test]
fn an_idempotent_request_goes_to_another_target_after_an_unproved_status() {
    let mut harness = Harness::new();
    let (request, output) = harness.request(READS);
    let (attempt, first) = only_attempt(&output);
    let (attempt, second) = only_attempt(&harness.end_attempt(attempt, unproved()));
    assert_ne!(first, second);
    let output = harness.end_attempt(attempt, not_executed(503));
    assert_eq!(output.refused, [(request, Refusal::Unknown)]);
}

#[test]
fn a_request_ends_at_its_deadline() {
    let mut harness = Harness::new();
    let (request, output) = harness.request_within(ORDERS, ms(400));
    let (attempt, _) = only_attempt(&output);
    let output = harness.advance(ms(400));
    assert_eq!(output.refused, [(request, Refusal::TimedOut)]);
    assert_eq!(output.cancelled, [attempt]);
    assert!(
        harness
            .end_attempt(attempt, complete(200))
            .forwarded
            .is_empty()
    );
}

/// Guards against a request being sent five times to a holder that always fails it.
#[test]
fn a_request_is_sent_no_more_often_than_its_route_allows() {
    let mut harness = Harness::new();
    let (request, output) = harness.request(KEYED);
    let (attempt, _) = only_attempt(&output);
    let (attempt, _) = only_attempt(&harness.end_attempt(attempt, complete(500)));
    assert_eq!(
        harness.end_attempt(attempt, complete(500)).forwarded,
        [request]
    );
}

#[test]
fn a_slow_request_is_hedged_at_another_target() {
    let mut harness = Harness::new();
    let (request, output) = harness.request(READS);
    let (first, slow) = only_attempt(&output);
    let (second, other) = only_attempt(&harness.advance(ms(360)));
    assert_ne!(slow, other);
    let output = harness.end_attempt(second, complete(200));
    assert_eq!(
        (output.forwarded, output.cancelled),
        (vec![request], vec![first])
    );
}

/// Assigns all keys to the second target of the keyed service.
fn assigned() -> PeerMessage {
    let holder = |id: &str| Holder {
        id: id.into(),
        incarnation: 1,
    };
    let command = Command::Assign {
        service: KEYED.into(),
        previous: Some(holder("keyed-0")),
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
    let mut harness = Harness::new();
    let (request, output) = harness.request(KEYED);
    let (attempt, first) = only_attempt(&output);
    assert_eq!(&*first, "keyed-0");
    let output = harness.end_attempt(attempt, not_executed(421));
    assert!(output.sent.is_empty() && output.refused.is_empty());
    // The next holder has not acknowledged the keys yet.
    assert!(harness.receive(assigned()).sent.is_empty());
    let (attempt, next) = only_attempt(&harness.receive(handover(true)));
    assert_eq!(&*next, "keyed-1");
    assert_eq!(
        harness.end_attempt(attempt, complete(200)).forwarded,
        [request]
    );
}

/// Guards against requests for moving keys being sent to both holders, rejected by both and using
/// up the retry budget.
#[test]
fn a_request_for_a_moving_key_is_sent_only_to_the_next_holder() {
    let mut harness = Harness::new();
    harness.receive(handover(false));
    let (request, output) = harness.request(KEYED);
    assert!(output.sent.is_empty());
    assert!(harness.advance(ms(100)).sent.is_empty());
    assert!(harness.receive(assigned()).sent.is_empty());
    let (attempt, next) = only_attempt(&harness.receive(handover(true)));
    assert_eq!(&*next, "keyed-1");
    assert_eq!(
        harness.end_attempt(attempt, complete(200)).forwarded,
        [request]
    );
}

/// The leader is lost during a change of holder: requests must not wait for it until their
/// deadline.
#[rstest]
#[case(false)]
#[case(true)]
fn a_handover_without_completion_delays_requests_only_briefly(#[case] is_assigned: bool) {
    let mut harness = Harness::new();
    harness.receive(handover(false));
    if is_assigned {
        harness.receive(assigned());
    }
    let (request, _) = harness.request(KEYED);
    let mut refused = Vec::new();
    let mut sent = Vec::new();
    for _ in 0..30 {
        let output = harness.advance(ms(10));
        refused.extend(output.refused);
        sent.extend(output.sent);
    }
    match is_assigned {
        true => assert_eq!(&*sent[0].2, "keyed-1"),
        false => {
            assert!(matches!(refused[..], [(refused, Refusal::NotRun(_))] if refused == request));
        }
    }
}

#[test]
fn a_request_without_a_holder_is_refused_before_its_objective() {
    let mut harness = Harness::new();
    let (request, output) = harness.request(KEYED);
    let (attempt, _) = only_attempt(&output);
    harness.end_attempt(attempt, not_executed(421));
    let mut refused = Vec::new();
    for _ in 0..20 {
        let output = harness.advance(ms(10));
        refused.extend(output.refused);
        for (attempt, ..) in output.sent {
            refused.extend(harness.end_attempt(attempt, not_executed(421)).refused);
        }
    }
    assert!(matches!(refused[..], [(refused, Refusal::NotRun(_))] if refused == request));
}

/// Guards against immediate retries at the same holder, which use up the retry budget.
#[test]
fn a_holder_that_rejected_a_request_is_retried_only_after_a_delay() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(KEYED);
    let (attempt, _) = only_attempt(&output);
    assert!(
        harness
            .end_attempt(attempt, not_executed(421))
            .sent
            .is_empty()
    );
    assert!(harness.advance(ms(50)).sent.is_empty());
    assert_eq!(&*only_attempt(&harness.advance(ms(10))).1, "keyed-0");
}

/// Guards against a target that drained and started again under its id, and whose keys are refused
/// after a whole view.
#[test]
fn a_whole_view_ends_the_draining_of_a_target() {
    let mut harness = Harness::new();
    let mut draining = target(KEYED, 21, "a");
    draining.state = TargetState::Draining;
    harness.receive(PeerMessage::Update {
        index: 11,
        command: Box::new(Command::Announce {
            id: "keyed-0".into(),
            target: draining,
        }),
    });
    harness.advance(ms(1500));
    let (_, output) = harness.request(KEYED);
    assert!(output.sent.is_empty());
    let mut view = Harness::view();
    view.index = 20;
    harness.receive(PeerMessage::Snapshot(Box::new(view)));
    let (_, output) = harness.request(KEYED);
    assert_eq!(output.sent.len(), 1);
}

#[test]
fn a_draining_target_gets_no_new_requests() {
    let mut harness = Harness::new();
    for number in [0, 2] {
        let mut draining = target(READS, 1 + number, "a");
        draining.state = TargetState::Draining;
        let command = Box::new(Command::Announce {
            id: format!("reads-{number}").into(),
            target: draining,
        });
        let index = 11 + u64::from(number);
        harness.receive(PeerMessage::Update { index, command });
    }
    for _ in 0..4 {
        let (_, output) = harness.request(READS);
        assert_eq!(&*only_attempt(&output).1, "reads-1");
    }
}

/// An entry VM never acts on a view older than its current one.
#[test]
fn an_older_view_is_ignored() {
    let mut harness = Harness::new();
    let view = camphordale_fleet::View::default();
    harness.receive(PeerMessage::Snapshot(Box::new(view)));
    assert_eq!(harness.entry.view().index, 10);
}

/// Guards against refusals after a restart of the whole fleet, when the routing arrives 200 ms
/// later.
#[test]
fn a_request_waits_for_the_first_routing() {
    let mut harness = Harness::without_view();
    let (request, output) = harness.request(READS);
    assert!(output.sent.is_empty() && output.refused.is_empty());
    assert!(harness.entry.has_request(request));
    assert!(harness.advance(ms(200)).refused.is_empty());
    let view = PeerMessage::Snapshot(Box::new(Harness::view()));
    let (attempt, _) = only_attempt(&harness.receive(view));
    assert_eq!(
        harness.end_attempt(attempt, complete(200)).forwarded,
        [request]
    );
    assert_eq!(harness.entry.active_requests(), 0);
}

#[test]
fn a_request_without_a_routing_is_refused_after_a_short_wait() {
    let mut harness = Harness::without_view();
    let (request, _) = harness.request_within(READS, ms(800));
    let (gone, _) = harness.request_within(READS, ms(800));
    harness.step(Event::CallerDisconnected(gone));
    assert!(harness.advance(ms(190)).refused.is_empty());
    let output = harness.advance(ms(20));
    assert!(matches!(output.refused[..], [(refused, Refusal::NotRun(_))] if refused == request));
    assert_eq!(harness.entry.active_requests(), 0);
}

/// Guards against an entry VM without a connection to control sending keyed requests to previous
/// holders and using an old routing: it reports that it is not ready, then closes callers'
/// connections, and meanwhile continues to serve.
#[test]
fn a_vm_with_a_stale_view_is_not_ready_and_sends_callers_away() {
    let mut harness = Harness::new();
    let states = |harness: &Harness| {
        let entry = &harness.entry;
        (
            entry.is_ready(harness.now),
            entry.should_close_connections(harness.now),
        )
    };
    assert_eq!(states(&harness), (true, false));
    harness.step(Event::StreamClosed);
    harness.advance(ms(1200));
    assert_eq!(
        states(&harness),
        (true, false),
        "an election may be in progress"
    );
    harness.advance(ms(200));
    assert_eq!(states(&harness), (false, false));
    harness.advance(ms(2000));
    assert_eq!(states(&harness), (false, true));
    let (_, output) = harness.request(READS);
    only_attempt(&output);
    harness.receive(PeerMessage::Snapshot(Box::new(Harness::view())));
    assert_eq!(states(&harness), (true, false));
}

/// Without keyed services, an older view does no harm and callers stay near.
#[test]
fn a_vm_without_keyed_services_stays_ready_for_longer() {
    let mut view = Harness::view();
    let mut routing = routing();
    routing.services.remove(KEYED);
    routing.routes.remove(KEYED);
    view.routing = Some(std::sync::Arc::new(routing));
    let mut harness = Harness::with(view);
    harness.step(Event::StreamClosed);
    harness.advance(ms(9000));
    assert!(harness.entry.is_ready(harness.now));
    harness.advance(ms(2000));
    assert!(!harness.entry.is_ready(harness.now));
}

/// Guards against breaking off work to speed up a handover: the request loses its place at the
/// target, and whatever then fails ends it without an answer of a target. Requests that arrive
/// meanwhile go to the next holder as soon as it has the key.
#[test]
fn an_attempt_that_delays_a_release_is_left_to_end() {
    let mut harness = Harness::new();
    let (request, output) = harness.request(KEYED);
    let (attempt, _) = only_attempt(&output);
    harness.receive(handover(false));
    let (waiting, output) = harness.request(KEYED);
    assert!(output.sent.is_empty());
    for _ in 0..5 {
        let output = harness.advance(ms(50));
        assert!(output.cancelled.is_empty() && output.refused.is_empty());
    }
    harness.receive(assigned());
    let output = harness.receive(handover(true));
    let [(_, sent, next)] = &output.sent[..] else {
        panic!("{output:?}");
    };
    assert_eq!((*sent, &**next), (waiting, "keyed-1"));
    let output = harness.advance(ms(1200));
    assert!(!output.cancelled.contains(&attempt));
    assert_eq!(
        harness.end_attempt(attempt, complete(200)).forwarded,
        [request]
    );
}

/// Guards against a refusal of a request at which its target is at work: an attempt was cancelled
/// for a handover, the VM was told to stop, and the next attempt could not connect. Only the
/// deadline ends such a request, and its refusal must not say "not run".
#[test]
fn a_request_at_work_is_not_refused_before_its_deadline() {
    let mut harness = Harness::new();
    let (request, output) = harness.request_within(KEYED, ms(1000));
    let (attempt, _) = only_attempt(&output);
    harness.receive(handover(false));
    for step in 1..50 {
        if step == 15 {
            harness.entry.begin_shutdown(Shutdown {
                notice_ends: harness.now + ms(2600),
                ends_at: harness.now + ms(5700),
            });
        }
        let output = harness.advance(ms(20));
        assert!(output.cancelled.is_empty(), "{step}: {output:?}");
        assert!(output.refused.is_empty(), "{step}: {output:?}");
        for (sent, ..) in output.sent {
            let refused = harness.end_attempt(sent, failed(false)).refused;
            assert!(refused.is_empty(), "{step}: {refused:?}");
        }
    }
    let output = harness.advance(ms(20));
    assert_eq!(output.cancelled, [attempt]);
    assert_eq!(output.refused, [(request, Refusal::TimedOut)]);
}

/// Guards against a repetition at the former holder of a key, which rejects it: the key moved while
/// the request ran, and the work was lost.
#[rstest]
#[case(failed(true))]
#[case(complete(500))]
fn lost_work_is_repeated_at_the_current_holder(#[case] lost: AttemptResult) {
    let mut harness = Harness::new();
    let (request, output) = harness.request(KEYED);
    let (first, _) = only_attempt(&output);
    harness.receive(handover(false));
    harness.advance(ms(100));
    harness.receive(assigned());
    harness.receive(handover(true));
    let (second, holder) = only_attempt(&harness.end_attempt(first, lost));
    assert_eq!(&*holder, "keyed-1");
    assert_eq!(
        harness.end_attempt(second, complete(200)).forwarded,
        [request]
    );
}

/// Guards against a request that counts as repeated though it is sent to no target: the one that lost
/// its work was removed, and so is the next holder of its key.
#[test]
fn lost_work_without_a_target_is_refused() {
    let mut harness = Harness::new();
    let (request, output) = harness.request(KEYED);
    let (attempt, _) = only_attempt(&output);
    let mut view = Harness::view();
    view.index = 20;
    view.targets.retain(|id, _| !id.starts_with(KEYED));
    harness.receive(PeerMessage::Snapshot(Box::new(view)));
    let output = harness.end_attempt(attempt, failed(true));
    assert_eq!(output.sent, []);
    assert_eq!(output.refused, [(request, Refusal::Unknown)]);
}

/// Guards against a promise "not run" for a request that may have run at a former attempt: the
/// holder of its key rejects the repetition until nothing else can be tried.
#[test]
fn a_rejected_repetition_of_lost_work_promises_nothing() {
    let mut harness = Harness::new();
    let (request, output) = harness.request_within(KEYED, ms(1000));
    let mut output = harness.end_attempt(only_attempt(&output).0, failed(true));
    let mut refused = Vec::new();
    for _ in 0..60 {
        for (attempt, ..) in std::mem::take(&mut output.sent) {
            refused.extend(harness.end_attempt(attempt, not_executed(421)).refused);
        }
        output = harness.advance(ms(20));
        refused.extend(output.refused.iter().copied());
    }
    let unknown = [Refusal::Unknown, Refusal::TimedOut];
    assert!(
        matches!(refused[..], [(id, ref refusal)] if id == request && unknown.contains(refusal)),
        "{refused:?}"
    );
}

/// Guards against requests that are accepted shortly before a stopping VM ends and are then cut off:
/// while few VMs of a domain are ready, callers are sent to those that are stopping as well.
#[test]
fn a_stopping_vm_refuses_what_it_may_not_finish() {
    let mut harness = Harness::new();
    let notice = ms(2600);
    harness.entry.begin_shutdown(Shutdown {
        notice_ends: harness.now + notice,
        ends_at: harness.now + ms(5700),
    });
    // Callers have not noticed yet.
    let (_, output) = harness.request_within(READS, ms(9000));
    assert_eq!(output.sent.len(), 1);
    harness.advance(notice);
    let (_, output) = harness.request_within(READS, ms(1500));
    assert_eq!(output.sent.len(), 1);
    harness.advance(ms(2000));
    let (_, output) = harness.request_within(READS, ms(900));
    assert_eq!(output.sent.len(), 1);
    let (request, output) = harness.request_within(READS, ms(1500));
    assert!(output.sent.is_empty());
    let [(refused, Refusal::NotRun(promise))] = output.refused[..] else {
        panic!("{:?}", output.refused);
    };
    assert_eq!(refused, request);
    assert!(promise.retry_after() <= ms(100));
}

/// A VM that shuts down finishes the requests in progress.
#[test]
fn a_shutdown_cancels_no_attempts() {
    let mut harness = Harness::new();
    harness.request(KEYED);
    harness.entry.begin_shutdown(Shutdown {
        notice_ends: harness.now + ms(2600),
        ends_at: harness.now + ms(5700),
    });
    harness.receive(handover(false));
    assert!(harness.advance(ms(300)).cancelled.is_empty());
}

/// Guards against an order that is reported as not run while its target runs it: the target wrote an
/// earlier refusal of the same request once more on the connection, and its id cannot tell the two
/// attempts apart.
#[test]
fn a_request_that_goes_to_the_same_target_again_has_a_connection_of_its_own() {
    let mut harness = Harness::new();
    let (_, first) = harness.request(KEYED);
    let (attempt, target) = only_attempt(&first);
    assert!(first.repeated.is_empty());
    harness.end_attempt(attempt, not_executed(421));
    let second = harness.advance(ms(100));
    let (attempt, same) = only_attempt(&second);
    assert_eq!(same, target);
    assert_eq!(second.repeated, [attempt]);
}

/// The same where the next target listens at the address of the one that refused: connections are kept
/// by address.
#[test]
fn a_request_that_goes_to_the_same_address_again_has_a_connection_of_its_own() {
    let mut view = Harness::view();
    view.targets.retain(|id, _| &**id == "orders-0");
    let mut harness = Harness::with(view);
    let (_, first) = harness.request(ORDERS);
    let (attempt, _) = only_attempt(&first);
    let command = Box::new(Command::Announce {
        id: "orders-9".into(),
        target: target(ORDERS, 11, "a"),
    });
    harness.receive(PeerMessage::Update { index: 11, command });
    let second = harness.end_attempt(attempt, not_executed(421));
    let (attempt, other) = only_attempt(&second);
    assert_eq!(&*other, "orders-9");
    assert_eq!(second.repeated, [attempt]);
}
