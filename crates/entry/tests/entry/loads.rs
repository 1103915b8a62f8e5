//! Exchange of the load of targets with the control leader.

use camphordale_entry::{
    Event,
    LoadReport,
    Slowdown,
    TargetTracker, //
};
use camphordale_fleet::{
    EntryCounts, PeerMessage,
    load_summary::{
        LoadAge,
        TargetLoad,
        target_tag, //
    },
};

use crate::harness::{
    Harness,
    READS,
    StepOutput,
    complete_with,
    ms, //
};

fn load(id: &str, requests: u16, age: u64) -> TargetLoad {
    TargetLoad {
        tag: target_tag(id, 1),
        requests,
        age: LoadAge::new(ms(age)).unwrap(),
    }
}

/// Loads in the reports of this step, if it has one.
fn reported(output: &StepOutput) -> Option<Vec<TargetLoad>> {
    output.messages.iter().find_map(|message| match message {
        PeerMessage::TargetLoads { loads, .. } => Some(loads.clone()),
        _ => None,
    })
}

/// Lets a target respond with its load, and returns the report with the next ping.
fn report_after_response(harness: &mut Harness) -> Option<Vec<TargetLoad>> {
    let (_, output) = harness.request(READS);
    harness.end_attempt(output.sent[0].0, complete_with(3, 2));
    harness.advance(ms(100));
    reported(&harness.advance(ms(300)))
}

/// Guards against loads that one VM knows and the others do not.
#[test]
fn loads_are_reported_with_the_ping() {
    let mut harness = Harness::with(Harness::contended_view());
    harness.advance(ms(400));
    let loads = report_after_response(&mut harness).unwrap();
    assert_eq!(loads.len(), 1);
    assert_eq!(loads[0].requests, 5);
    // Each load is reported once.
    assert_eq!(reported(&harness.advance(ms(300))), Some(Vec::new()));
}

/// Guards against new messages in a deployment that does not call for them.
#[test]
fn no_loads_are_reported_for_an_uncontended_routing() {
    let mut harness = Harness::new();
    harness.advance(ms(400));
    assert_eq!(report_after_response(&mut harness), None);
}

/// Guards against an entry VM that loses its stream again and again, because a control VM of an older
/// version closes it on a message that it does not know.
#[test]
fn a_control_vm_that_closes_the_stream_gets_no_further_reports() {
    let close = |confirmed: bool| {
        let mut harness = Harness::with(Harness::contended_view());
        assert!(reported(&harness.advance(ms(400))).is_some());
        if confirmed {
            harness.receive(PeerMessage::Pong {
                sent: harness.now,
                entries: EntryCounts { all: 1, domain: 1 },
            });
        }
        harness.step(Event::StreamClosed);
        harness.advance(ms(100));
        harness.receive(PeerMessage::Snapshot(Box::new(Harness::contended_view())));
        reported(&harness.advance(ms(400)))
    };
    assert_eq!(close(false), None);
    // The stream had another reason to end.
    assert_eq!(close(true), Some(Vec::new()));
}

fn tracker() -> TargetTracker {
    let mut tracker = TargetTracker::default();
    tracker.sync(&Harness::view());
    tracker
}

/// Guards against estimates that are stale because this VM seldom has a response of a target, and
/// against attempts of this VM that are counted twice.
#[test]
fn a_load_that_another_vm_saw_refreshes_the_estimate() {
    let mut tracker = tracker();
    for attempt in 0..2 {
        tracker.attempt_started("reads-0", attempt, ms(1000));
    }
    tracker.attempt_started("reads-0", 2, ms(1450));
    // Stated at 1.4 s, when two attempts of this VM were there.
    tracker.record_shared_loads(&[load("reads-0", 8, 100)], ms(1500));
    let tracked = tracker.get("reads-0").unwrap();
    assert_eq!(tracked.report_age(ms(1500)), Some(ms(100)));
    assert!((tracked.load(ms(1400)) - 9.0).abs() < 1e-9);
    // It decays like a report to this VM.
    assert!(tracked.load(ms(2900)) < 6.0);
    assert_eq!(tracker.get("reads-1").unwrap().report_age(ms(1500)), None);
}

/// Guards against an older load that replaces what a target just stated to this VM.
#[test]
fn the_own_report_is_kept_if_it_is_newer() {
    let mut tracker = tracker();
    let report = LoadReport {
        running: 1,
        queued: 0,
        slots: 4,
        slowdown: Slowdown::default(),
    };
    tracker.attempt_started("reads-0", 1, ms(1300));
    tracker.attempt_completed("reads-0", 1, false, Some(report), ms(1450));
    tracker.record_shared_loads(&[load("reads-0", 12, 100)], ms(1500));
    let tracked = tracker.get("reads-0").unwrap();
    assert!(tracked.load(ms(1500)) <= 1.0);
}
