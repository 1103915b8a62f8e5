//! What targets state about themselves in responses: that they leave, or want nothing for a time.

use std::time::Duration;

use camphordale_entry::{
    AttemptId,
    AttemptResult,
    Event,
    Reason,
    Refusal,
    TargetStatement, //
};
use camphordale_fleet::{
    Command,
    EntryCounts,
    PeerMessage,
    TargetState, //
};

use rstest::rstest;

use crate::harness::{
    Harness,
    KEYED,
    ORDERS,
    READS,
    StepOutput,
    complete,
    ms,
    not_executed,
    target, //
};

const LEAVING: TargetStatement = TargetStatement {
    limit: None,
    limit_known: true,
    leaving: true,
    pause: None,
};

fn pause(time: Duration) -> TargetStatement {
    TargetStatement {
        leaving: false,
        pause: Some(time),
        ..LEAVING
    }
}

/// Ends an attempt with a response that states something.
fn answer(
    harness: &mut Harness,
    attempt: AttemptId,
    statement: TargetStatement,
    result: AttemptResult,
) -> StepOutput {
    let mut stated = harness.step(Event::TargetStated { attempt, statement });
    let ended = harness.end_attempt(attempt, result);
    stated.messages.extend(ended.messages.clone());
    StepOutput {
        messages: stated.messages,
        ..ended
    }
}

/// Targets of requests that come in groups and are answered together, so that all targets are needed.
fn targets_of(harness: &mut Harness, service: &str, groups: usize) -> Vec<Box<str>> {
    let mut out = Vec::new();
    for _ in 0..groups {
        harness.advance(ms(10));
        let mut attempts = Vec::new();
        for _ in 0..14 {
            let (_, output) = harness.request(service);
            for (attempt, _, target) in output.sent {
                attempts.push(attempt);
                out.push(target);
            }
        }
        harness.advance(ms(90));
        for attempt in attempts {
            harness.end_attempt(attempt, complete(200));
        }
    }
    out
}

fn leaving_reports(output: &StepOutput) -> Vec<Box<str>> {
    let messages = output.messages.iter();
    let leaving = messages.filter_map(|message| match message {
        PeerMessage::TargetStatements { leaving, .. } => Some(leaving),
        _ => None,
    });
    leaving.flatten().map(|holder| holder.id.clone()).collect()
}

fn is_report(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::TargetStatements { .. })
}

fn snapshot(harness: &Harness) -> PeerMessage {
    PeerMessage::Snapshot(Box::new(harness.entry.view().clone()))
}

/// Guards against an entry VM that loses its stream again and again, because a control VM of an older
/// version closes it on a message that it does not know.
#[test]
fn reports_pause_when_the_control_vm_closes_the_stream_on_them() {
    let mut harness = Harness::new();
    harness.step(Event::StreamClosed);
    let mut reports = 1;
    for _ in 0..600 {
        harness.now += ms(100);
        let snapshot = snapshot(&harness);
        if harness.receive(snapshot).messages.iter().any(is_report) {
            reports += 1;
            harness.step(Event::StreamClosed);
        }
    }
    // Within a minute: two at once, then after 1, 2, 4, 8, 16 and 16 seconds.
    assert!((6..=8).contains(&reports), "{reports}");
}

/// Guards against an entry VM that reports no failed connections to a new leader, and hears of none,
/// because the former leader ended while it had an unconfirmed report.
#[test]
fn the_end_of_a_leader_stops_no_reports() {
    // The leader ends right after the first report on its stream.
    let mut harness = Harness::new();
    harness.step(Event::StreamClosed);
    harness.advance(ms(100));
    let next = snapshot(&harness);
    assert!(harness.receive(next).messages.iter().any(is_report));
    // Each leader ends right after a later report, of a target that leaves.
    for _ in 0..3 {
        let sent = harness.now + ms(1);
        harness.now += ms(300);
        let entries = EntryCounts { all: 1, domain: 1 };
        harness.receive(PeerMessage::Pong { sent, entries });
        let (_, output) = harness.request(READS);
        let attempt = output.sent[0].0;
        let output = answer(&mut harness, attempt, LEAVING, complete(200));
        assert!(output.messages.iter().any(is_report));
        harness.step(Event::StreamClosed);
        harness.advance(ms(100));
        let next = snapshot(&harness);
        assert!(harness.receive(next).messages.iter().any(is_report));
    }
}

/// Guards against requests that reach a target long after it said that it leaves, because control
/// says nothing or says otherwise.
#[test]
fn a_target_that_leaves_gets_no_more_requests() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(READS);
    let (attempt, _, gone) = output.sent[0].clone();
    let output = answer(&mut harness, attempt, LEAVING, complete(200));
    // Control is told at once, and once only.
    assert_eq!(leaving_reports(&output), std::slice::from_ref(&gone));
    assert!(!targets_of(&mut harness, READS, 10).contains(&gone));
    // An announcement that was sent before.
    let view = harness.entry.view();
    let (index, same) = (view.index + 1, view.targets[&gone].clone());
    let announce = |target| {
        Box::new(Command::Announce {
            id: gone.clone(),
            target,
        })
    };
    let command = announce(same.clone());
    let output = harness.receive(PeerMessage::Update { index, command });
    assert!(leaving_reports(&output).is_empty());
    assert!(!targets_of(&mut harness, READS, 10).contains(&gone));
    // The next process is not leaving.
    let command = announce(camphordale_fleet::Target {
        incarnation: same.incarnation + 1,
        ..same
    });
    let index = index + 1;
    harness.receive(PeerMessage::Update { index, command });
    assert!(targets_of(&mut harness, READS, 10).contains(&gone));
}

/// Until its keys have moved, a holder that leaves is the only one that can serve them. After the
/// grace they are refused at once.
#[test]
fn a_holder_that_leaves_serves_its_keys_for_the_grace_only() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(KEYED);
    answer(&mut harness, output.sent[0].0, LEAVING, complete(200));
    harness.advance(ms(900));
    let (_, output) = harness.request(KEYED);
    assert_eq!(output.sent.len(), 1);
    harness.end_attempt(output.sent[0].0, complete(200));
    harness.advance(ms(200));
    let (request, output) = harness.request(KEYED);
    assert!(output.sent.is_empty());
    assert!(matches!(output.refused[..], [(id, Refusal::NotRun(_))] if id == request));
    assert_eq!(output.decisions[0].reason, Reason::Leaving);
}

/// Guards against requests to a target that has just said that it wants none for a while.
#[test]
fn a_target_that_wants_nothing_gets_nothing_until_the_time_has_passed() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(READS);
    let (attempt, _, paused) = output.sent[0].clone();
    answer(&mut harness, attempt, pause(ms(2000)), not_executed(503));
    harness.advance(ms(100));
    assert!(!targets_of(&mut harness, READS, 18).contains(&paused));
    harness.advance(ms(3000));
    assert!(targets_of(&mut harness, READS, 10).contains(&paused));
}

/// If all targets want nothing, requests are refused at once with the shortest of their times, and
/// callers are spread over what follows.
#[test]
fn requests_are_refused_with_the_time_that_all_targets_want_nothing() {
    let mut harness = Harness::new();
    for seconds in [3, 2] {
        let (_, output) = harness.request(READS);
        let statement = pause(Duration::from_secs(seconds));
        let first = output.sent[0].0;
        let output = answer(&mut harness, first, statement, not_executed(503));
        // The repeat goes to another target, and is answered in the same way.
        for (attempt, ..) in output.sent {
            answer(&mut harness, attempt, statement, not_executed(503));
        }
    }
    let mut waits = Vec::new();
    for _ in 0..20 {
        let (_, output) = harness.request(READS);
        assert!(output.sent.is_empty());
        let [(_, Refusal::NotRun(promise))] = output.refused[..] else {
            panic!("{output:?}");
        };
        assert_eq!(output.decisions[0].reason, Reason::Paused);
        waits.push(promise.retry_after());
    }
    let (least, most) = (waits.iter().min().unwrap(), waits.iter().max().unwrap());
    assert!(*least >= ms(1900), "{least:?}");
    assert!(*most > *least + ms(100), "{waits:?}");
}

/// A holder that wants nothing gets neither new requests nor repeats.
#[test]
fn a_holder_that_wants_nothing_gets_no_repeat() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(KEYED);
    let attempt = output.sent[0].0;
    let output = answer(&mut harness, attempt, pause(ms(1000)), not_executed(503));
    assert!(output.sent.is_empty());
    let (_, output) = harness.request(KEYED);
    assert!(output.sent.is_empty());
    assert_eq!(output.decisions[0].reason, Reason::Paused);
}

/// After the pause the requests return gradually: not all that waited for its end at once.
#[test]
fn requests_return_gradually_after_a_pause() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(KEYED);
    answer(
        &mut harness,
        output.sent[0].0,
        pause(ms(1000)),
        not_executed(503),
    );
    harness.advance(ms(1010));
    let sent = |harness: &mut Harness| {
        let outputs = (0..4).map(|_| harness.request(KEYED).1.sent.len());
        outputs.sum::<usize>()
    };
    assert_eq!(sent(&mut harness), 1);
    harness.advance(ms(1000));
    assert!(sent(&mut harness) >= 3);
}

/// The next process of a target inherits no pause.
#[test]
fn another_incarnation_is_not_paused() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(KEYED);
    let statement = pause(Duration::from_secs(60));
    answer(&mut harness, output.sent[0].0, statement, not_executed(503));
    let index = harness.entry.view().index + 1;
    let next = camphordale_fleet::Target {
        incarnation: 2,
        state: TargetState::Ready,
        ..target(KEYED, 21, "a")
    };
    let id = "keyed-0".into();
    let command = Box::new(Command::Announce { id, target: next });
    harness.receive(PeerMessage::Update { index, command });
    let holder = Some(camphordale_fleet::Holder {
        id: "keyed-0".into(),
        incarnation: 2,
    });
    let range = camphordale_fleet::KeyRange {
        from: 0,
        to: u16::MAX,
        holder,
        handover: None,
    };
    let command = Box::new(Command::Assign {
        service: KEYED.into(),
        previous: Some(camphordale_fleet::Holder {
            id: "keyed-0".into(),
            incarnation: 1,
        }),
        range,
    });
    let index = index + 1;
    harness.receive(PeerMessage::Update { index, command });
    harness.receive(PeerMessage::Handover {
        service: KEYED.into(),
        from: 0,
        to: u16::MAX,
        done: true,
    });
    let (_, output) = harness.request(KEYED);
    assert_eq!(output.sent.len(), 1, "{output:?}");
}

/// Guards against a limit that is broken by the way out for services whose targets have all stalled.
#[test]
fn a_stalled_target_with_a_limit_needs_a_right_too() {
    let mut view = Harness::view();
    view.targets.remove("orders-1");
    view.targets.remove("orders-2");
    let mut harness = Harness::with(view);
    let (_, output) = harness.request(ORDERS);
    let statement = TargetStatement {
        limit: camphordale_fleet::RequestRate::try_from(5.0).ok(),
        leaving: false,
        ..LEAVING
    };
    let attempt = output.sent[0].0;
    harness.step(Event::TargetStated { attempt, statement });
    harness.advance(ms(1200));
    let (_, output) = harness.request(ORDERS);
    assert!(output.sent.is_empty(), "{output:?}");
}

/// Guards against requests to a target that wants none for very long, and against a process that ends
/// because of the longest time there is.
#[rstest]
#[case(Duration::from_secs(900))]
#[case(Duration::MAX)]
fn a_long_pause_is_kept(#[case] time: Duration) {
    let mut harness = Harness::new();
    let (_, output) = harness.request(KEYED);
    answer(
        &mut harness,
        output.sent[0].0,
        pause(time),
        not_executed(503),
    );
    for _ in 0..3 {
        harness.advance(ms(250_000));
        let (_, output) = harness.request(KEYED);
        assert!(output.sent.is_empty());
    }
}
