//! Tests of the metrics.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use camphordale_daemon::metrics::{
    Direction, GroupKind, Limit, Listener, Metrics, Phase, RequestOutcome,
};
use camphordale_types::{NotRun, Refusal, Unknown};

const NOT_RUN: RequestOutcome = RequestOutcome::Refused(Refusal::NotRun(NotRun::QueueFull));
const UNKNOWN: RequestOutcome = RequestOutcome::Refused(Refusal::Unknown(Unknown::Timeout));

/// Returns metrics with a value in each instrument.
fn recorded_metrics() -> Metrics {
    let metrics = Metrics::new().unwrap();
    let service = metrics.service("booking");
    service.record(RequestOutcome::Responded, Duration::from_millis(3));
    service.record(NOT_RUN, Duration::from_millis(1));
    service.record(UNKNOWN, Duration::from_secs(2));
    metrics.count_retry();
    metrics.count_forward();
    metrics.set_load(4, 9);
    metrics.set_lease(true);
    metrics.count_election(GroupKind::Domain);
    metrics.set_bundle(17);
    metrics.set_shards("booking", Phase::Held, 64);
    metrics.count_moves("booking", 5);
    metrics.set_imbalance("booking", 1.125);
    metrics.add_unavailable_time("booking", Duration::from_millis(1500));
    metrics.count_accepted(Listener::Callers);
    metrics.set_connections(Listener::Callers, 12);
    metrics.count_refused(Listener::Callers, Limit::HeaderTime);
    metrics.count_peer_traffic(Direction::Out, 2, 300);
    metrics
}

// Guards against changed names and labels, which dashboards would not find, and against missing
// metrics.
#[test]
fn every_metric_is_rendered() {
    let text = recorded_metrics().render().unwrap();
    let expected = [
        r#"requests_total{outcome="answered",service="booking"} 1"#,
        r#"requests_total{outcome="not-run",service="booking"} 1"#,
        r#"requests_total{outcome="unknown",service="booking"} 1"#,
        r#"refusals_total{reason="queue-full"} 1"#,
        r#"refusals_total{reason="timeout"} 1"#,
        r#"request_duration_seconds_bucket{service="booking",le="0.004"} 2"#,
        r#"request_duration_seconds_count{service="booking"} 3"#,
        "retries_total 1",
        "forwards_total 1",
        "queue_length 4",
        "inflight 9",
        "lease_valid 1",
        r#"elections_total{group="domain"} 1"#,
        "bundle_version 17",
        r#"shards{phase="held",service="booking"} 64"#,
        r#"moves_total{service="booking"} 5"#,
        r#"imbalance{service="booking"} 1.125"#,
        r#"unavailable_time_seconds_total{service="booking"} 1.5"#,
        r#"connections{listener="callers"} 12"#,
        r#"connections_accepted_total{listener="callers"} 1"#,
        r#"connections_refused_total{limit="header_time",listener="callers"} 1"#,
        r#"peer_bytes_total{direction="out"} 300"#,
        r#"peer_messages_total{direction="out"} 2"#,
    ];
    for line in expected {
        let line = format!("camphordale_{line}");
        assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
    }
}

// Guards against counters of the status page that differ from the metrics.
#[test]
fn status_counters_match_the_metrics() {
    let counters = recorded_metrics().counters();
    assert_eq!(
        [counters.answered, counters.not_run, counters.unknown],
        [1, 1, 1]
    );
    assert_eq!([counters.retries, counters.forwards], [1, 1]);
    assert_eq!([counters.queued, counters.inflight], [4, 9]);
}

// Guards against lost updates when several threads record while another one renders.
#[test]
fn concurrent_updates_are_counted() {
    const THREADS: u64 = 4;
    const REQUESTS_PER_THREAD: u64 = 20_000;
    let metrics = Metrics::new().unwrap();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                let service = metrics.service("schedule");
                for _ in 0..REQUESTS_PER_THREAD {
                    service.record(RequestOutcome::Responded, Duration::from_micros(900));
                }
            });
        }
        for _ in 0..5 {
            metrics.render().unwrap();
        }
    });
    let text = metrics.render().unwrap();
    let total = THREADS * REQUESTS_PER_THREAD;
    let count =
        format!(r#"camphordale_requests_total{{outcome="answered",service="schedule"}} {total}"#);
    assert!(text.contains(&count), "{text}");
    assert_eq!(metrics.counters().answered, total);
}

// Guards against a recorder that takes a noticeable share of the request path: at 6,700 requests
// per second, 20 µs each would take 13% of a core.
#[test]
fn recording_is_cheap() {
    const RUNS: u32 = 100_000;
    let metrics = Metrics::new().unwrap();
    let service = metrics.service("schedule");
    let start = Instant::now();
    for _ in 0..RUNS {
        service.record(RequestOutcome::Responded, Duration::from_micros(900));
    }
    let per_request = start.elapsed() / RUNS;
    println!("one request recorded in {per_request:?}");
    assert!(per_request < Duration::from_micros(20), "{per_request:?}");
}
