//! Admission and selection under different patterns of load.

use std::collections::BTreeMap;

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
    target, //
};
use camphordale_entry::{
    AttemptResult,
    LoadReport,
    Refusal,
    Slowdown,
    TargetTracker, //
};
use rstest::rstest;

/// In a burst, each target gets a bounded number of requests, and callers of the others are told at
/// once to retry later.
#[test]
fn burst_fills_the_targets_and_the_rest_is_refused() {
    let mut harness = Harness::new();
    let mut sent_to: BTreeMap<Box<str>, usize> = BTreeMap::new();
    let mut refused = 0;
    for _ in 0..100 {
        let (_, output) = harness.request(ORDERS);
        for (_, _, target) in output.sent {
            *sent_to.entry(target).or_default() += 1;
        }
    }
    // Requests that wait for a free slot are refused after a small fraction of their latency
    // objective.
    let output = harness.advance(ms(61));
    for (_, refusal) in output.refused {
        assert!(matches!(refusal, Refusal::NotRun(promise) if promise.retry_after() >= ms(100)));
        refused += 1;
    }
    assert!(sent_to.values().all(|count| *count <= 10), "{sent_to:?}");
    assert_eq!(refused + sent_to.values().sum::<usize>(), 100);
}

/// Requests for one key alone must not overload its holder, however much capacity other holders
/// have left.
#[test]
fn hot_key_does_not_overload_its_holder() {
    let mut harness = Harness::new();
    let mut sent = 0;
    for _ in 0..60 {
        sent += harness.request(KEYED).1.sent.len();
    }
    assert!((4..=10).contains(&sent), "{sent}");
}

/// A caller that retries after a refusal has less time left. It is admitted although its response
/// will be late, because the alternative is no response at all.
#[test]
fn retrying_caller_is_admitted_within_its_remaining_time() {
    let mut harness = Harness::new();
    // The holder takes 300 ms for a request and has a queue of other VMs' requests.
    for _ in 0..5 {
        let (_, output) = harness.request(KEYED);
        harness.now += ms(500);
        harness.end_attempt(output.sent[0].0, complete(200));
    }
    let (_, output) = harness.request(KEYED);
    harness.now += ms(300);
    harness.end_attempt(output.sent[0].0, complete_with(4, 4));
    let (_, first) = harness.request_within(KEYED, ms(1500));
    let (_, retried) = harness.request_within(KEYED, ms(1200));
    assert_eq!((first.sent.len(), retried.sent.len()), (0, 1));
}

/// A target that is several times slower than the others gets fewer requests.
#[test]
fn slow_target_gets_fewer_requests() {
    let mut harness = Harness::new();
    let mut sent_to: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for _ in 0..300 {
        let (_, output) = harness.request(READS);
        let (attempt, _, target) = output.sent[0].clone();
        harness.now += ms(if &*target == "reads-0" { 340 } else { 60 });
        *sent_to.entry(target).or_default() += 1;
        harness.end_attempt(attempt, complete_with(1, 0));
    }
    let slow = sent_to.get("reads-0").copied().unwrap_or(0);
    assert!(slow < 60, "{sent_to:?}");
}

/// A target that responds with errors is avoided, although its health checks pass.
#[test]
fn failing_target_is_avoided() {
    let mut harness = Harness::new();
    let mut sent_to: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for _ in 0..300 {
        let (_, output) = harness.request(ORDERS);
        let (attempt, _, target) = output.sent[0].clone();
        harness.now += ms(50);
        let status = if &*target == "orders-0" { 500 } else { 200 };
        *sent_to.entry(target).or_default() += 1;
        harness.end_attempt(attempt, complete(status));
    }
    let failing = sent_to.get("orders-0").copied().unwrap_or(0);
    assert!(failing < 60, "{sent_to:?}");
}

/// After a few attempts, an unreachable target gets one request per back-off.
#[test]
fn unreachable_target_gets_single_requests_between_backoffs() {
    let mut harness = Harness::new();
    let mut tries = 0;
    for _ in 0..400 {
        harness.now += ms(10);
        let (_, output) = harness.request(ORDERS);
        let mut next = output.sent;
        while let Some((attempt, _, target)) = next.pop() {
            if &*target == "orders-0" {
                tries += 1;
                next = harness.end_attempt(attempt, failed(false)).sent;
            } else {
                harness.end_attempt(attempt, complete(200));
            }
        }
    }
    assert!((1..=8).contains(&tries), "{tries}");
}

/// Guards against retries that multiply the load of a service whose requests all fail: they stay
/// within this VM's budget.
#[test]
fn retries_of_a_failing_service_stay_within_the_budget() {
    let mut harness = Harness::new();
    let mut retries = 0;
    for _ in 0..500 {
        harness.now += ms(20);
        let (_, output) = harness.request(READS);
        let Some((attempt, ..)) = output.sent.first().cloned() else {
            continue;
        };
        let retried = harness.end_attempt(attempt, complete(500)).sent;
        retries += retried.len();
        for (attempt, ..) in retried {
            harness.end_attempt(attempt, complete(500));
        }
    }
    // The limit for all VMs together is 0.2 per request and a burst of 50.
    assert!(retries <= 150, "{retries}");
    assert!(retries > 20, "{retries}");
}

/// A newly registered target gets requests at once.
#[test]
fn new_target_is_tried_soon() {
    let mut harness = Harness::new();
    for _ in 0..50 {
        let (_, output) = harness.request(READS);
        harness.now += ms(40);
        harness.end_attempt(output.sent[0].0, complete_with(1, 0));
    }
    let command = Box::new(camphordale_fleet::Command::Announce {
        id: "reads-9".into(),
        target: target(READS, 99, "a"),
    });
    harness.receive(camphordale_fleet::PeerMessage::Update { index: 11, command });
    let (_, output) = harness.request(READS);
    assert_eq!(&*output.sent[0].2, "reads-9");
}

/// Guards against keys being refused for seconds because their holder resets some connections after
/// it has executed the requests.
#[test]
fn resets_after_sending_do_not_stop_requests_to_a_holder() {
    let mut harness = Harness::new();
    for _ in 0..20 {
        let (_, output) = harness.request(KEYED);
        assert_eq!(output.sent.len(), 1);
        let retried = harness.end_attempt(output.sent[0].0, failed(true)).sent;
        for (attempt, ..) in retried {
            harness.end_attempt(attempt, complete(200));
        }
        harness.now += ms(20);
    }
}

/// Guards against refusals at holders that have free slots; with ten VMs these were half of the
/// refusals for full holders. All requests for the keys of one holder arrive at one VM: the holder
/// reports free capacity, so the VM may exceed its share.
#[test]
fn uneven_load_uses_the_capacity_that_a_holder_reports_free() {
    let mut harness = Harness::new();
    harness.receive(camphordale_fleet::PeerMessage::Pong {
        sent: ms(0),
        entries: camphordale_fleet::EntryCounts { all: 10, domain: 4 },
    });
    // Without a load report only the VM's share is used.
    let first: Vec<_> = (0..4).flat_map(|_| harness.request(KEYED).1.sent).collect();
    assert_eq!(first.len(), 2);
    harness.now += ms(20);
    for (attempt, ..) in first {
        harness.end_attempt(attempt, complete_with(1, 0));
    }
    let sent: usize = (0..8).map(|_| harness.request(KEYED).1.sent.len()).sum();
    assert!((3..=6).contains(&sent), "{sent}");
}

/// Each VM keeps to its share of a holder that reports queued requests.
#[test]
fn busy_holder_is_shared_evenly() {
    let mut harness = Harness::new();
    harness.receive(camphordale_fleet::PeerMessage::Pong {
        sent: ms(0),
        entries: camphordale_fleet::EntryCounts { all: 10, domain: 4 },
    });
    let (_, output) = harness.request(KEYED);
    harness.now += ms(20);
    harness.end_attempt(output.sent[0].0, complete_with(4, 3));
    let sent: usize = (0..8).map(|_| harness.request(KEYED).1.sent.len()).sum();
    assert_eq!(sent, 2);
}

/// Callers may retry soon if targets with free slots reject a request; after a rejection by a full
/// target they wait longer.
#[rstest]
#[case(1, 0, 50)]
#[case(4, 6, 250)]
fn retry_delay_is_short_when_targets_with_free_slots_reject(
    #[case] running: u32,
    #[case] queued: u32,
    #[case] max_pause_ms: u64,
) {
    let mut harness = Harness::new();
    let (_, output) = harness.request(ORDERS);
    let first = output.sent[0].0;
    let not_executed = AttemptResult::NotExecuted {
        status: 503,
        load: Some(LoadReport {
            running,
            queued,
            slots: 4,
            slowdown: Slowdown::default(),
        }),
    };
    let second = harness.end_attempt(first, not_executed).sent[0].0;
    let refused = harness.end_attempt(second, not_executed).refused;
    let Refusal::NotRun(promise) = refused[0].1 else {
        panic!("{refused:?}");
    };
    let pause = promise.retry_after();
    assert!(
        pause <= ms(max_pause_ms) && pause >= ms(max_pause_ms / 5),
        "{pause:?}"
    );
}

/// Guards against a hot key moving to the target that had rejected the most requests: rejections of
/// moving keys are fast and must not count as low latency.
#[test]
fn rejected_requests_do_not_lower_the_latency_of_a_target() {
    let mut targets = TargetTracker::default();
    targets.sync(&Harness::view());
    let mut now = ms(1000);
    for attempt in 0..20 {
        targets.attempt_started("keyed-0", attempt, now);
        now += ms(1);
        targets.attempt_misdirected("keyed-0", attempt, None, now);
    }
    assert!(targets.take_latencies(KEYED, 1).is_empty());
    let mean_latency = |targets: &TargetTracker| targets.get("keyed-0").unwrap().mean_latency();
    let unknown = mean_latency(&targets);
    targets.attempt_started("keyed-0", 20, now);
    now += ms(300);
    targets.attempt_completed("keyed-0", 20, false, None, now);
    assert!(mean_latency(&targets) > unknown);
    assert_eq!(targets.get("keyed-0").unwrap().failure_rate(), 0.0);
}

/// Guards against long responses that fill the link of a VM, so that short ones and connects wait
/// behind them. Two of 50,000 bytes pass a link of 200,000 bytes per second within 600 ms.
#[test]
fn long_responses_are_asked_for_as_the_link_takes_them() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(READS);
    let first = output.sent[0].0;
    harness.end_attempt_with(first, complete(200), 50_000);
    let sent = |output: &StepOutput| output.sent.len();
    let attempts: Vec<StepOutput> = (0..3).map(|_| harness.request(READS).1).collect();
    assert_eq!(attempts.iter().map(sent).collect::<Vec<_>>(), [1, 1, 0]);
    // Short responses are not held back.
    assert_eq!(sent(&harness.request(ORDERS).1), 1);
    // The waiting one is sent when there is room.
    let output = harness.end_attempt_with(attempts[0].sent[0].0, complete(200), 50_000);
    assert_eq!(sent(&output), 1);
    // One that finds no room within a short part of its objective is refused as not run.
    let (_, output) = harness.request(READS);
    assert_eq!(sent(&output), 0);
    let output = harness.advance(ms(400));
    assert!(
        output
            .refused
            .iter()
            .any(|(_, refusal)| matches!(refusal, Refusal::NotRun(_))),
        "{output:?}"
    );
}
