//! What one entry VM does about requests that crash their targets.

use std::time::Duration;

use camphordale_entry::{
    AttemptResult,
    Event,
    Reason,
    Refusal, //
};
use camphordale_fleet::{
    CrashRecord,
    EntryCounts,
    Fingerprint,
    Holder,
    PeerMessage,
    View,
    crash_evidence::SETTLE_AFTER,
    crash_trials::{
        FINAL_CRASHED_TRIALS,
        TrialEnd,
        TrialNews,
        TrialOrder,
        Trials, //
    }, //
};

use crate::harness::{
    Harness,
    KEYED,
    ORDERS,
    READS,
    StepOutput,
    closed,
    complete,
    failed,
    ms,
    not_executed,
    promised, //
};

const DEADLY: Fingerprint = 1 << 100;

/// A message of the leader on crashes of this many other targets some seconds ago, and on trials that
/// ended in crashes too.
fn evidence(crashes: u64) -> PeerMessage {
    evidence_of_age(crashes, SETTLE_AFTER, crashed_trials(TrialOrder::Known))
}

fn crashed_trials(order: TrialOrder) -> Vec<TrialNews> {
    let mut trials = Trials::default();
    for _ in 0..FINAL_CRASHED_TRIALS {
        let number = trials.begin();
        trials.end(number, TrialEnd::Crashed);
    }
    vec![news(trials, order)]
}

fn news(trials: Trials, order: TrialOrder) -> TrialNews {
    TrialNews {
        fingerprint: DEADLY,
        trials,
        age: ms(0),
        order,
    }
}

fn evidence_of_age(crashes: u64, age: Duration, trials: Vec<TrialNews>) -> PeerMessage {
    let holders = (0..crashes).map(|number| Holder {
        id: format!("other-{number}").into(),
        incarnation: 1,
    });
    let record = CrashRecord {
        fingerprint: DEADLY,
        crashes: holders.map(|holder| (holder, age)).collect(),
        completed: None,
        idle: age,
    };
    PeerMessage::CrashEvidence {
        records: vec![record],
        alive: Vec::new(),
        trials,
    }
}

/// A VM whose clock has run for longer than the evidence is old.
fn late_harness() -> Harness {
    let mut harness = Harness::new();
    harness.now += ms(10_000);
    confirm(&mut harness);
    harness
}

/// The reply of the leader to a ping that was sent just now.
fn confirm(harness: &mut Harness) -> StepOutput {
    let sent = harness.now;
    harness.receive(PeerMessage::Pong {
        sent,
        entries: EntryCounts { all: 1, domain: 1 },
    })
}

fn deadly(harness: &mut Harness, service: &str) -> (u64, StepOutput) {
    harness.request_like(service, DEADLY, ms(1500))
}

/// The records that a step reports.
fn reported(output: &StepOutput) -> Vec<&CrashRecord> {
    let messages = output.messages.iter();
    let records = messages.filter_map(|message| match message {
        PeerMessage::CrashEvidence { records, .. } => Some(records),
        _ => None,
    });
    records.flatten().collect()
}

fn is_evidence(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::CrashEvidence { .. })
}

/// Guards against a refusal without the evidence in the log.
#[test]
fn a_quarantined_request_is_refused_at_once_with_the_evidence() {
    let mut harness = late_harness();
    harness.receive(evidence(3));
    for service in [READS, ORDERS, KEYED] {
        let (request, output) = deadly(&mut harness, service);
        assert!(output.sent.is_empty());
        if service != KEYED {
            assert_eq!(output.refused, [(request, Refusal::Quarantined)]);
            let decision = &output.decisions[0];
            assert_eq!(decision.reason, Reason::Quarantined);
            assert_eq!(decision.service.as_deref(), Some(service));
            let crashed: Vec<&str> = decision.crashed.iter().map(|id| &**id).collect();
            assert_eq!(crashed, ["other-0", "other-1", "other-2"]);
        }
    }
    // Other requests are served.
    let (_, output) = harness.request(READS);
    assert_eq!(output.sent.len(), 1);
}

/// Guards against a final refusal of requests that met targets which were full and reset their
/// connections.
#[test]
fn a_refusal_is_final_once_the_crashes_can_hardly_be_refuted() {
    let mut harness = late_harness();
    harness.receive(evidence_of_age(
        3,
        ms(100),
        crashed_trials(TrialOrder::Known),
    ));
    let (request, output) = deadly(&mut harness, READS);
    assert!(output.sent.is_empty());
    assert_eq!(promised(&output), [(request, ms(500))]);
    assert_eq!(output.decisions[0].reason, Reason::Suspected);
    assert_eq!(output.decisions[0].crashed.len(), 3);
    harness.advance(SETTLE_AFTER - ms(101));
    confirm(&mut harness);
    let (request, output) = deadly(&mut harness, READS);
    assert_eq!(promised(&output), [(request, ms(500))]);
    harness.advance(ms(1));
    confirm(&mut harness);
    let (request, output) = deadly(&mut harness, READS);
    assert_eq!(output.refused, [(request, Refusal::Quarantined)]);
}

/// Guards against a final refusal by a VM that was cut off before the crashes could be refuted: only
/// the leader knows which targets live.
#[test]
fn a_refusal_is_not_final_while_crashes_cannot_be_refuted() {
    let mut harness = late_harness();
    let trials = crashed_trials(TrialOrder::Known);
    harness.receive(evidence_of_age(3, ms(100), trials));
    harness.step(Event::StreamClosed);
    harness.advance(SETTLE_AFTER * 2);
    let (request, output) = deadly(&mut harness, READS);
    assert_eq!(promised(&output), [(request, ms(500))]);
    assert_eq!(output.decisions[0].reason, Reason::Suspected);
    harness.receive(PeerMessage::Resume { index: 10 });
    confirm(&mut harness);
    let (request, output) = deadly(&mut harness, READS);
    assert_eq!(output.refused, [(request, Refusal::Quarantined)]);
    // What was settled before the VM was cut off stays so.
    harness.step(Event::StreamClosed);
    harness.advance(SETTLE_AFTER);
    let (request, output) = deadly(&mut harness, READS);
    assert_eq!(output.refused, [(request, Refusal::Quarantined)]);
}

/// Guards against retries and hedges that crash a second target for one attempt of the caller.
#[test]
fn a_suspect_runs_once_per_request() {
    let mut harness = late_harness();
    harness.receive(evidence(2));
    let (request, output) = deadly(&mut harness, READS);
    let attempt = output.sent[0].0;
    // After the time at which a slow request is also sent to another target.
    let output = harness.advance(ms(500));
    assert!(output.sent.is_empty());
    let output = harness.end_attempt(attempt, closed());
    assert!(output.sent.is_empty());
    assert_eq!(output.refused, [(request, Refusal::Unknown)]);
    // A target that has not executed it is no reason to give up.
    let mut harness = late_harness();
    harness.receive(evidence(2));
    let (_, output) = deadly(&mut harness, READS);
    let output = harness.end_attempt(output.sent[0].0, not_executed(503));
    assert_eq!(output.sent.len(), 1);
}

/// Guards against a retry after the third crash is known, and against a promise that a request has
/// not run which was under way.
#[test]
fn requests_under_way_when_the_quarantine_arrives_are_not_sent_again() {
    let mut harness = late_harness();
    let (ran, first) = deadly(&mut harness, READS);
    let (shed, second) = deadly(&mut harness, ORDERS);
    harness.receive(evidence(3));
    let output = harness.end_attempt(first.sent[0].0, closed());
    assert!(output.sent.is_empty());
    assert_eq!(output.refused, [(ran, Refusal::Unknown)]);
    let output = harness.end_attempt(second.sent[0].0, not_executed(503));
    assert!(output.sent.is_empty());
    assert_eq!(output.refused, [(shed, Refusal::Quarantined)]);
}

/// Guards against requests that wait for a free slot or a holder and are sent after the quarantine
/// arrived.
#[test]
fn waiting_requests_are_refused_when_the_quarantine_arrives() {
    let mut harness = late_harness();
    harness.receive(PeerMessage::Handover {
        service: KEYED.into(),
        from: 0,
        to: u16::MAX,
        done: false,
    });
    let (waiting, output) = deadly(&mut harness, KEYED);
    assert!(output.sent.is_empty() && output.refused.is_empty());
    let (other, _) = harness.request(KEYED);
    let output = harness.receive(evidence(3));
    assert_eq!(output.refused, [(waiting, Refusal::Quarantined)]);
    let output = harness.receive(PeerMessage::Handover {
        service: KEYED.into(),
        from: 0,
        to: u16::MAX,
        done: true,
    });
    let sent: Vec<u64> = output.sent.iter().map(|(_, request, _)| *request).collect();
    assert_eq!(sent, [other]);
}

/// Guards against more crashes by a request that a target rejected before it began to execute it, such
/// as one with a body that is too long for it.
#[test]
fn a_response_that_shows_no_execution_clears_no_crash() {
    let mut harness = Harness::new();
    let (request, output) = deadly(&mut harness, READS);
    let output = harness.end_attempt(output.sent[0].0, closed());
    let rejected = AttemptResult::Complete {
        status: 413,
        load: None,
        executed: false,
    };
    let output = harness.end_attempt(output.sent[0].0, rejected);
    assert_eq!(output.forwarded, [request]);
    assert!(reported(&output).is_empty(), "{:?}", output.messages);
}

/// Guards against evidence that waits for the next ping, and against responses that clear a request
/// although they say nothing about it.
#[test]
fn crashes_and_completions_are_reported_in_the_same_step() {
    let mut harness = Harness::new();
    let (_, output) = deadly(&mut harness, READS);
    let (first, _, target) = output.sent[0].clone();
    let output = harness.end_attempt(first, closed());
    let records = reported(&output);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].fingerprint, DEADLY);
    let crashed = Holder {
        id: target,
        incarnation: 1,
    };
    assert_eq!(records[0].crashes, [(crashed, ms(0))]);
    let retried = output.sent[0].0;
    harness.now += ms(40);
    let output = harness.end_attempt(retried, complete(200));
    let records = reported(&output);
    assert_eq!(records[0].completed, Some(ms(0)));
    assert!(records[0].crashes.is_empty());
    // Neither a failure of the target nor a request without evidence is reported.
    let (_, output) = deadly(&mut harness, ORDERS);
    let output = harness.end_attempt(output.sent[0].0, closed());
    assert_eq!(reported(&output).len(), 1);
    let (_, output) = deadly(&mut harness, ORDERS);
    let output = harness.end_attempt(output.sent[0].0, complete(500));
    assert!(reported(&output).is_empty());
    let (_, output) = harness.request(ORDERS);
    let output = harness.end_attempt(output.sent[0].0, complete(200));
    assert!(reported(&output).is_empty());
}

/// A VM without a leader sends what it saw when it has one again.
#[test]
fn a_new_leader_is_told_everything() {
    let mut harness = late_harness();
    harness.receive(evidence(2));
    harness.step(Event::StreamClosed);
    let (_, output) = deadly(&mut harness, ORDERS);
    let output = harness.end_attempt(output.sent[0].0, closed());
    assert!(output.messages.is_empty());
    harness.now += Duration::from_secs(5);
    let output = harness.receive(PeerMessage::Resume { index: 10 });
    let records = reported(&output);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].crashes.len(), 3);
    // Three crashes of which two were learnt from the leader are enough, once it could refute them.
    let (request, output) = deadly(&mut harness, ORDERS);
    assert_eq!(promised(&output), [(request, ms(500))]);
    confirm(&mut harness);
    let (_, output) = deadly(&mut harness, ORDERS);
    assert_eq!(output.refused[0].1, Refusal::Quarantined);
}

/// What a step asks the leader about trials, or tells it.
fn trial_news(output: &StepOutput) -> Vec<&TrialNews> {
    let messages = output.messages.iter();
    let news = messages.filter_map(|message| match message {
        PeerMessage::CrashEvidence { trials, .. } => Some(trials),
        _ => None,
    });
    news.flatten().collect()
}

/// The leader's grant of the first trial.
fn grant() -> PeerMessage {
    let mut trials = Trials::default();
    trials.begin();
    PeerMessage::CrashEvidence {
        records: Vec::new(),
        alive: Vec::new(),
        trials: vec![news(trials, TrialOrder::Grant)],
    }
}

/// A VM that knows of three crashes which have settled, and of no trial.
fn quarantined() -> Harness {
    let mut harness = late_harness();
    harness.receive(evidence_of_age(3, SETTLE_AFTER, Vec::new()));
    harness
}

/// Guards against a final answer to a request that was in flight while targets crashed for another
/// reason: nobody sends it again, so it can't be cleared.
#[test]
fn a_request_is_tried_once_more_before_it_is_refused_for_good() {
    let mut harness = quarantined();
    let (waiting, output) = deadly(&mut harness, READS);
    assert!(output.sent.is_empty() && output.refused.is_empty());
    let asked = trial_news(&output);
    assert_eq!(asked[0].order, TrialOrder::Request);
    // Others of the same fingerprint wait for the same reply, and are not sent.
    let (other, output) = deadly(&mut harness, READS);
    assert!(output.sent.is_empty() && trial_news(&output).is_empty());
    let output = harness.receive(grant());
    let sent: Vec<u64> = output.sent.iter().map(|(_, request, _)| *request).collect();
    assert_eq!(sent, [waiting]);
    // The result is about to arrive.
    assert_eq!(promised(&output), [(other, ms(500))]);
    let attempt = output.sent[0].0;
    // It is neither hedged nor repeated.
    let output = harness.advance(ms(500));
    assert!(output.sent.is_empty());
    let output = harness.end_attempt(attempt, complete(200));
    assert_eq!(output.forwarded, [waiting]);
    let (_, output) = deadly(&mut harness, READS);
    assert_eq!(output.sent.len(), 1, "it is cleared");
}

/// Guards against a request that waits for a trial although another VM has cleared it.
#[test]
fn a_request_that_waits_for_a_trial_is_sent_once_it_is_cleared() {
    let mut harness = quarantined();
    let (waiting, _) = deadly(&mut harness, READS);
    let output = harness.receive(PeerMessage::CrashEvidence {
        records: vec![CrashRecord {
            fingerprint: DEADLY,
            crashes: Vec::new(),
            completed: Some(ms(0)),
            idle: ms(0),
        }],
        alive: Vec::new(),
        trials: Vec::new(),
    });
    let sent: Vec<u64> = output.sent.iter().map(|(_, request, _)| *request).collect();
    assert_eq!(sent, [waiting]);
}

/// Guards against trials that crash target after target.
#[test]
fn a_trial_that_crashes_its_target_is_reported_and_not_repeated() {
    let mut harness = quarantined();
    let (waiting, _) = deadly(&mut harness, READS);
    let output = harness.receive(grant());
    let output = harness.end_attempt(output.sent[0].0, closed());
    assert!(output.sent.is_empty());
    assert_eq!(output.refused, [(waiting, Refusal::Unknown)]);
    assert_eq!(trial_news(&output)[0].trials.crashed(), 1);
    let (request, output) = deadly(&mut harness, READS);
    assert!(output.sent.is_empty() && trial_news(&output).is_empty());
    assert_eq!(output.refused, [(request, Refusal::Quarantined)]);
}

/// Guards against trials that are lost without a target having seen the request.
#[test]
fn a_trial_that_is_not_used_is_given_back() {
    let mut harness = quarantined();
    let (waiting, _) = deadly(&mut harness, READS);
    let output = harness.step(Event::CallerDisconnected(waiting));
    assert!(output.sent.is_empty());
    let output = harness.receive(grant());
    assert!(output.sent.is_empty());
    let news = trial_news(&output);
    assert_eq!((news[0].trials.last(), news[0].trials.sent()), (Some(0), 0));
    // Nor if no target can be connected to.
    let mut harness = quarantined();
    deadly(&mut harness, KEYED);
    let output = harness.receive(grant());
    let output = harness.end_attempt(output.sent[0].0, failed(false));
    assert_eq!(trial_news(&output)[0].trials.sent(), 0);
}

/// Guards against a VM that can't ask the leader and tries the request by itself, or lets it wait.
#[test]
fn without_a_leader_nothing_is_tried() {
    let mut harness = quarantined();
    harness.step(Event::StreamClosed);
    let (request, output) = deadly(&mut harness, READS);
    assert!(output.sent.is_empty());
    assert_eq!(promised(&output), [(request, ms(500))]);
    // A leader that doesn't reply costs a moment, once a second.
    let mut harness = quarantined();
    let (request, output) = deadly(&mut harness, READS);
    assert!(output.refused.is_empty());
    let output = harness.advance(ms(250));
    assert_eq!(promised(&output), [(request, ms(500))]);
    let (request, output) = deadly(&mut harness, READS);
    assert_eq!(promised(&output), [(request, ms(500))]);
    assert!(trial_news(&output).is_empty());
}

/// Guards against an entry VM that loses its stream all the time, because a control VM of an older
/// version closes it on a message that it does not know.
#[test]
fn reports_pause_when_the_control_vm_closes_the_stream_on_them() {
    let mut harness = Harness::without_view();
    let mut reports = 0;
    let snapshot = || {
        PeerMessage::Snapshot(Box::new(View {
            index: 1,
            ..Harness::view()
        }))
    };
    for _ in 0..600 {
        harness.now += ms(100);
        let output = harness.receive(snapshot());
        if output.messages.iter().any(is_evidence) {
            reports += 1;
            harness.step(Event::StreamClosed);
        }
    }
    // Within a minute, after 1, 2, 4, 8, 16, 16 seconds.
    assert!((5..=7).contains(&reports), "{reports}");
    // A control VM that replies to a later ping takes reports.
    let mut harness = Harness::new();
    let first = harness.now;
    harness.now += ms(300);
    harness.receive(PeerMessage::Pong {
        sent: first + ms(1),
        entries: camphordale_fleet::EntryCounts { all: 1, domain: 1 },
    });
    harness.step(Event::StreamClosed);
    let output = harness.receive(PeerMessage::Resume { index: 10 });
    assert!(output.messages.iter().any(is_evidence));
}
