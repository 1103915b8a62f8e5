//! Evacuated failure domains: what an entry VM sends, and for how long.

use std::time::Duration;

use camphordale_entry::{
    Event,
    Reason, //
};
use camphordale_fleet::{
    Command,
    EntryCounts,
    EvacuationOrder::{
        self,
        End,
        Start, //
    },
    PeerMessage,
    View, //
};
use rstest::rstest;

use crate::harness::{
    Harness,
    KEYED,
    ORDERS,
    READS,
    StepOutput,
    complete,
    complete_with,
    failed,
    ms,
    not_executed,
    promised, //
};

/// The grace of the harness: `evacuate_ms` less the margin of a second.
const GRACE: Duration = ms(4000);

fn order(harness: &mut Harness, domain: &str, order: EvacuationOrder) -> StepOutput {
    let command = Box::new(Command::Evacuate {
        domain: domain.into(),
        order,
    });
    let index = harness.entry.view().index + 1;
    harness.receive(PeerMessage::Update { index, command })
}

fn pong(harness: &mut Harness) {
    let sent = harness.now;
    let entries = EntryCounts { all: 1, domain: 1 };
    harness.receive(PeerMessage::Pong { sent, entries });
}

/// Lets time pass in which the leader is heard.
fn pass(harness: &mut Harness, time: Duration) {
    for _ in 0..time.as_millis() / 100 {
        harness.advance(ms(100));
        pong(harness);
    }
}

fn evacuated_view(index: u64) -> View {
    let mut view = Harness::view();
    view.index = index;
    view.evacuations.apply(index, &"a".into(), Start);
    view
}

/// Sends a keyed request and ends its attempt; returns the reason if it was refused instead, as not
/// run and at once.
fn keyed(harness: &mut Harness) -> Option<Reason> {
    let (request, output) = harness.request(KEYED);
    match output.sent[..] {
        [(attempt, ..)] => {
            harness.end_attempt(attempt, complete(200));
            None
        }
        _ => {
            assert_eq!(promised(&output)[0].0, request);
            Some(output.decisions[0].reason)
        }
    }
}

/// Targets of many requests, with answers, failures, retries and hedges in between.
fn targets_of_load(harness: &mut Harness, service: &str) -> Vec<Box<str>> {
    let mut out = Vec::new();
    let mut open = Vec::new();
    for step in 0..400 {
        let (_, output) = harness.request(service);
        let mut sent = output.sent;
        sent.extend(harness.advance(ms(20)).sent);
        pong(harness);
        for (attempt, _, target) in sent {
            out.push(target);
            open.push(attempt);
        }
        // The last ones stay open for longer, so that some are hedged.
        while open.len() > 8 || (open.len() > 2 && step % 3 == 0) {
            let result = match step % 40 {
                0 => failed(false),
                10 => failed(true),
                20 => not_executed(503),
                30 => complete(500),
                _ => complete_with(1, 0),
            };
            let ended = harness.end_attempt(open.remove(0), result);
            for (attempt, _, target) in ended.sent {
                out.push(target);
                open.push(attempt);
            }
        }
    }
    out
}

/// Guards against requests to an evacuated domain by selection, retries, hedges, and attempts at
/// targets that fail.
#[rstest]
fn plain_requests_avoid_an_evacuated_domain(#[values(READS, ORDERS)] service: &str) {
    let mut harness = Harness::new();
    assert!(
        targets_of_load(&mut harness, service)
            .iter()
            .any(|id| !id.ends_with('2'))
    );
    let mut harness = Harness::new();
    let confirmed = order(&mut harness, "a", Start);
    // The operator waits for this.
    assert!(matches!(
        confirmed.messages[..],
        [PeerMessage::Ping { index: 11, .. }]
    ));
    let targets = targets_of_load(&mut harness, service);
    assert!(targets.len() > 100, "{}", targets.len());
    assert!(targets.iter().all(|id| id.ends_with('2')), "{targets:?}");
    order(&mut harness, "a", End);
    assert!(
        targets_of_load(&mut harness, service)
            .iter()
            .any(|id| !id.ends_with('2'))
    );
}

/// Guards against a last resort: where all targets are evacuated, or the others back off, requests
/// are refused at once and not sent to the domain.
#[test]
fn requests_are_refused_at_once_where_no_target_is_left() {
    let mut harness = Harness::new();
    order(&mut harness, "a", Start);
    let mut refused = false;
    for _ in 0..20 {
        let (_, output) = harness.request(READS);
        for (attempt, _, target) in &output.sent {
            assert_eq!(&**target, "reads-2");
            harness.end_attempt(*attempt, failed(false));
        }
        refused |= output.sent.is_empty();
    }
    assert!(refused);
    order(&mut harness, "b", Start);
    for service in [READS, ORDERS] {
        let (request, output) = harness.request(service);
        assert_eq!(promised(&output)[0].0, request);
        assert_eq!(output.decisions[0].reason, Reason::Evacuated);
    }
}

/// Guards against keys that are refused before they can move, and against requests that reach their
/// holder after the time.
#[test]
fn a_holder_in_an_evacuated_domain_serves_its_keys_for_the_grace_only() {
    let mut harness = Harness::new();
    order(&mut harness, "a", Start);
    pass(&mut harness, GRACE - ms(100));
    harness.advance(ms(99));
    assert_eq!(keyed(&mut harness), None);
    // A request that the holder rejects now is not sent there again.
    let (_, output) = harness.request(KEYED);
    harness.advance(ms(1));
    let output = harness.end_attempt(output.sent[0].0, not_executed(503));
    assert!(output.sent.is_empty());
    assert_eq!(output.refused.len(), 1);
    assert_eq!(keyed(&mut harness), Some(Reason::Evacuated));
    // A repeated order and another domain change nothing.
    order(&mut harness, "b", Start);
    assert_eq!(keyed(&mut harness), Some(Reason::Evacuated));
    order(&mut harness, "a", End);
    assert_eq!(keyed(&mut harness), None);
    // The next evacuation allows its own time.
    order(&mut harness, "a", Start);
    assert_eq!(keyed(&mut harness), None);
}

/// Guards against requests that wait for a connection to a target when the order comes, and are sent
/// when it is in force.
#[test]
fn requests_that_wait_for_a_connection_are_withdrawn() {
    let mut harness = Harness::new();
    let started = [READS, ORDERS, KEYED].map(|service| {
        let (_, output) = harness.request(service);
        output.sent[0].clone()
    });
    let [(plain, ..), (once, request, _), _] = started;
    assert_eq!(order(&mut harness, "b", Start).withdrawn, []);
    order(&mut harness, "b", End);
    let mut withdrawn = order(&mut harness, "a", Start).withdrawn;
    withdrawn.sort_unstable();
    assert_eq!(withdrawn, [plain, once]);
    // Nothing was sent, so another target may get the request.
    let output = harness.end_attempt(once, failed(false));
    assert_eq!(output.sent[0].1, request);
    assert_eq!(&*output.sent[0].2, "orders-2");
    // Requests for keys are withdrawn when the time of their holder has passed.
    pass(&mut harness, GRACE - ms(100));
    let (_, output) = harness.request(KEYED);
    assert_eq!(harness.advance(ms(99)).withdrawn, []);
    assert_eq!(harness.advance(ms(1)).withdrawn, [output.sent[0].0]);
    assert_eq!(harness.advance(ms(1)).withdrawn, []);
}

/// Guards against a fresh grace with each restart: a VM that has just started cannot know when the
/// order was given.
#[test]
fn a_vm_that_starts_during_an_evacuation_allows_no_grace() {
    let mut harness = Harness::without_view();
    assert!(!harness.entry.is_ready(harness.now));
    harness.receive(PeerMessage::Snapshot(Box::new(evacuated_view(10))));
    assert!(harness.entry.is_ready(harness.now));
    pong(&mut harness);
    assert_eq!(keyed(&mut harness), Some(Reason::Evacuated));
    let (_, output) = harness.request(READS);
    assert_eq!(&*output.sent[0].2, "reads-2");
}

/// Guards against a grace that begins when a VM that was cut off hears of the order: it counts from
/// when the VM last knew that there was none.
#[rstest]
fn a_vm_that_was_cut_off_allows_what_is_left_of_the_grace(#[values(true, false)] resumes: bool) {
    for (cut, served) in [(ms(3000), true), (ms(4500), false)] {
        let mut harness = Harness::new();
        pong(&mut harness);
        harness.step(Event::StreamClosed);
        harness.advance(cut);
        if resumes {
            harness.receive(PeerMessage::Resume { index: 10 });
            order(&mut harness, "a", Start);
        } else {
            harness.receive(PeerMessage::Snapshot(Box::new(evacuated_view(30))));
        }
        pong(&mut harness);
        assert_eq!(keyed(&mut harness).is_none(), served);
        harness.advance(GRACE - ms(3000));
        assert_eq!(keyed(&mut harness), Some(Reason::Evacuated));
        // A later view does not begin the time again, and one without the evacuation ends it.
        harness.receive(PeerMessage::Snapshot(Box::new(evacuated_view(40))));
        assert_eq!(keyed(&mut harness), Some(Reason::Evacuated));
        let view = View {
            index: 50,
            ..Harness::view()
        };
        harness.receive(PeerMessage::Snapshot(Box::new(view)));
        assert_eq!(keyed(&mut harness), None);
        // Orders on a confirmed stream are new.
        pong(&mut harness);
        order(&mut harness, "a", Start);
        harness.advance(GRACE - ms(1));
        assert_eq!(keyed(&mut harness), None);
    }
}

/// Guards against a selection that differs where no evacuation is in force.
#[test]
fn an_ended_evacuation_leaves_no_trace_in_the_selection() {
    let mut plain = Harness::new();
    let mut view = Harness::view();
    view.evacuations.apply(1, &"a".into(), Start);
    view.evacuations.apply(2, &"a".into(), End);
    let mut ended = Harness::with(view);
    for service in [READS, ORDERS] {
        let targets = targets_of_load(&mut plain, service);
        assert_eq!(targets_of_load(&mut ended, service), targets);
    }
}
