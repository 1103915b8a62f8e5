//! The metrics text.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use camphordale_daemon::metrics::{Direction, Ending, GroupKind, Limit, Listener, Metrics, Phase};
use camphordale_types::{NotRun, Refusal, Unknown};

const NOT_RUN: Ending = Ending::Refused(Refusal::NotRun(NotRun::QueueFull));
const UNKNOWN: Ending = Ending::Refused(Refusal::Unknown(Unknown::Timeout));

fn all() -> Metrics {
    let metrics = Metrics::new().unwrap();
    let service = metrics.service("booking");
    service.ended(Ending::Answered, Duration::from_millis(3));
    service.ended(NOT_RUN, Duration::from_millis(1));
    service.ended(UNKNOWN, Duration::from_secs(2));
    metrics.retry();
    metrics.forward();
    metrics.set_load(4, 9);
    metrics.set_lease(true);
    metrics.election(GroupKind::Domain);
    metrics.set_bundle(17);
    metrics.set_shards("booking", Phase::Held, 64);
    metrics.moved("booking", 5);
    metrics.set_imbalance("booking", 1.125);
    metrics.unavailable("booking", Duration::from_millis(1500));
    metrics.accepted(Listener::Callers);
    metrics.set_connections(Listener::Callers, 12);
    metrics.refused(Listener::Callers, Limit::HeaderTime);
    metrics.peer_traffic(Direction::Out, 2, 300);
    metrics
}

// Guards against names and labels that dashboards do not find, and against a metric left out.
#[test]
fn every_metric_is_in_the_text() {
    let text = all().render().unwrap();
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

// Guards against status counts that differ from the metrics.
#[test]
fn status_counts_agree() {
    let counters = all().counters();
    assert_eq!(
        [counters.answered, counters.not_run, counters.unknown],
        [1, 1, 1]
    );
    assert_eq!([counters.retries, counters.forwards], [1, 1]);
    assert_eq!([counters.queued, counters.inflight], [4, 9]);
}

// Guards against counts that are lost when several threads record and another one renders.
#[test]
fn no_count_is_lost() {
    const THREADS: u64 = 4;
    const EACH: u64 = 20_000;
    let metrics = Metrics::new().unwrap();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                let service = metrics.service("schedule");
                for _ in 0..EACH {
                    service.ended(Ending::Answered, Duration::from_micros(900));
                }
            });
        }
        for _ in 0..5 {
            metrics.render().unwrap();
        }
    });
    let text = metrics.render().unwrap();
    let total = THREADS * EACH;
    let count =
        format!(r#"camphordale_requests_total{{outcome="answered",service="schedule"}} {total}"#);
    assert!(text.contains(&count), "{text}");
    assert_eq!(metrics.counters().answered, total);
}

// Guards against a recorder that costs a noticeable part of the request path: 6,700 requests a
// second at 20 µs each would take 13% of a core.
#[test]
fn recording_is_cheap() {
    const RUNS: u32 = 100_000;
    let metrics = Metrics::new().unwrap();
    let service = metrics.service("schedule");
    let start = Instant::now();
    for _ in 0..RUNS {
        service.ended(Ending::Answered, Duration::from_micros(900));
    }
    let each = start.elapsed() / RUNS;
    println!("one request recorded in {each:?}");
    assert!(each < Duration::from_micros(20), "{each:?}");
}
