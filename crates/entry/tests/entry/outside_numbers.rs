//! Numbers that callers and targets send, at the ends of their ranges.

use std::time::Duration;

use camphordale_entry::{
    AttemptResult,
    Event,
    IncomingRequest,
    LoadReport,
    Refusal, //
    Slowdown,
};
use rstest::rstest;

use crate::harness::{
    Harness,
    READS, //
};

/// Guards against one request that ends the process: the time until a deadline that is almost the
/// longest possible one overflowed in the log line of a refusal.
#[rstest]
#[case("/nowhere/x")]
#[case("/keyed/x")]
fn a_refused_request_may_have_any_deadline(#[case] path: &str) {
    let mut harness = Harness::new();
    let output = harness.step(Event::Request(IncomingRequest {
        handle: 1,
        host: "a.example".into(),
        path: path.into(),
        caller_timeout: Some(Duration::MAX),
        key: None,
        fingerprint: 1,
    }));
    assert!(matches!(
        output.refused[..],
        [(1, Refusal::NotFound | Refusal::Malformed)]
    ));
}

/// Guards against a load report whose sum overflows.
#[test]
fn a_load_report_may_have_any_numbers() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(READS);
    let load = Some(LoadReport {
        running: u32::MAX,
        queued: u32::MAX,
        slots: u32::MAX,
        slowdown: Slowdown::default(),
    });
    let result = AttemptResult::Complete {
        status: 200,
        load,
        executed: true,
    };
    let (attempt, _, target) = output.sent[0].clone();
    harness.end_attempt(attempt, result);
    // A full target gets no more requests than it has room for.
    let (_, output) = harness.request(READS);
    assert_ne!(output.sent[0].2, target);
}
