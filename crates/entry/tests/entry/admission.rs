//! Admission control: the decision itself, the order of waiting requests, and its switch.

use std::time::Duration;

use crate::harness::{
    Harness,
    KEYED,
    ORDERS,
    READS,
    StepOutput,
    complete,
    complete_with,
    contended,
    failed,
    ms,
    not_executed,
    promised, //
};
use camphordale_entry::{
    Admission,
    AdmissionClass,
    AdmissionShares,
    AttemptResult,
    Demand,
    Event,
    IncomingRequest,
    LoadEstimate,
    LoadReport,
    Pace,
    Refusal,
    Urgency,
    UsualTimeouts, //
};
use camphordale_fleet::{
    EntryCounts,
    PeerMessage,
    Routing, //
};
use rstest::rstest;

/// Digest of the history by the code before admission control.
const BEFORE: u64 = 4_017_342_378_325_856_449;

/// A linear congruential generator: the same numbers with each version of each library.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }
}

/// Hash (FNV-1a) of what an entry VM did in a long history under overload.
fn history_digest(harness: &mut Harness) -> u64 {
    let mut numbers = Numbers(1);
    let mut digest = 0xcbf2_9ce4_8422_2325u64;
    let mut in_flight = Vec::new();
    let mut note = |output: &StepOutput, in_flight: &mut Vec<u64>| {
        let delays: Vec<u128> = match output.refused.is_empty() {
            true => Vec::new(),
            false => promises_ms(output),
        };
        let reasons: Vec<_> = output.decisions.iter().map(|d| d.reason.name()).collect();
        let text = format!(
            "{:?}{:?}{:?}{delays:?}{reasons:?}",
            output.sent, output.cancelled, output.forwarded
        );
        for byte in text.bytes() {
            digest = (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        in_flight.retain(|attempt| !output.cancelled.contains(attempt));
        in_flight.extend(output.sent.iter().map(|(attempt, ..)| *attempt));
    };
    for _ in 0..20_000 {
        let output = match numbers.below(10) {
            0..4 => {
                let service = [READS, ORDERS, KEYED][numbers.below(3) as usize];
                let timeout = [1500, 1500, 1200, 600, 250][numbers.below(5) as usize];
                harness.request_within(service, ms(timeout)).1
            }
            4..8 if !in_flight.is_empty() => {
                let attempt = in_flight.swap_remove(numbers.below(in_flight.len() as u64) as usize);
                let load = (numbers.below(5) as u32, numbers.below(9) as u32);
                harness.end_attempt(
                    attempt,
                    match numbers.below(20) {
                        0 => not_executed(503),
                        1 => not_executed(421),
                        2 => failed(false),
                        3 => failed(true),
                        4 => complete(500),
                        _ => complete_with(load.0, load.1),
                    },
                )
            }
            _ => harness.advance(ms(numbers.below(30))),
        };
        note(&output, &mut in_flight);
    }
    digest
}

/// Suggested retry delays in milliseconds; other refusals have none.
fn promises_ms(output: &StepOutput) -> Vec<u128> {
    let refused = output.refused.iter();
    let delays = refused.map(|(_, refusal)| match refusal {
        Refusal::NotRun(promise) => promise.retry_after().as_millis(),
        _ => 0,
    });
    delays.collect()
}

/// Routes of different priorities and objectives. Only a warm-up rate makes the routing contended.
fn deployment(is_contended: bool) -> Harness {
    let mut view = Harness::view();
    let mut routing = match is_contended {
        true => contended(),
        false => Routing::clone(view.routing.as_ref().unwrap()),
    };
    for (at, (_, item)) in routing.routes.iter_mut().enumerate() {
        item.spec.priority = at as u32;
        item.spec.latency_objective = ms(400 + 200 * at as u64);
    }
    view.routing = Some(routing.into());
    Harness::with(view)
}

/// Guards against a change of what earlier deployments get: the digest is that of the version before
/// admission control (commit e0140c9). It covers targets, retries, random choices, refusals and
/// their delays.
#[test]
fn routing_that_is_not_contended_is_served_as_before() {
    assert_eq!(history_digest(&mut deployment(false)), BEFORE);
    // The history reaches the decisions that differ.
    assert_ne!(history_digest(&mut deployment(true)), BEFORE);
}

/// A request of the first of two kinds, with its whole objective left.
fn demand() -> Demand {
    Demand {
        urgency: Urgency {
            rank: 0,
            ranks: 2,
            queue_objective: ms(500),
        },
        objective_left: ms(500),
        remaining: ms(1500),
        is_repeated: false,
        may_wait: Duration::ZERO,
    }
}

/// A target whose requests take 160 ms each.
fn target(load: f64) -> LoadEstimate {
    let slots = 4;
    LoadEstimate {
        load,
        slots,
        expected_latency: 0.16 * (1.0 + ((load + 1.0 - f64::from(slots)) / 4.0).max(0.0)),
        in_flight: 1,
        pace: Pace::UNUSED,
        is_full: false,
    }
}

/// Longest load at which a request is admitted without the guaranteed share.
fn most_load(demand: &Demand) -> u32 {
    let admitted = |load: &u32| {
        let decision = demand.decide(&target(f64::from(*load)), &AdmissionShares::default());
        matches!(decision, Admission::Admit(_))
    };
    (0..40).take_while(admitted).last().unwrap()
}

/// Overload by several kinds of request with returning callers: a more urgent one queues deeper, and
/// what would be late anyway takes the places of the next less urgent kind, or only free slots.
#[test]
fn urgent_requests_queue_deeper_and_late_ones_delay_nobody_in_time() {
    let urgent = demand();
    let mut other = demand();
    other.urgency.rank = 1;
    let late = |demand: &Demand| Demand {
        objective_left: Duration::ZERO,
        ..*demand
    };
    let loads = [urgent, other, late(&urgent), late(&other)].map(|demand| most_load(&demand));
    assert!(loads[0] > loads[1] && loads[1] > 3, "{loads:?}");
    assert_eq!((loads[2], loads[3]), (loads[1], 3));
    // The deepest queue still lets the mean response be in time.
    assert!(target(f64::from(loads[0])).expected_latency < 0.5);
}

/// Sustained overload by the most urgent kind: each other level gets every twentieth place, not
/// more and not less.
#[test]
fn each_level_gets_its_guaranteed_share() {
    let mut shares = AdmissionShares::default();
    let mut late = demand();
    late.urgency.rank = 1;
    late.objective_left = Duration::ZERO;
    let full = target(6.0);
    let mut admitted = 0;
    for _ in 0..1000 {
        let expected = full.expected_latency;
        shares.record_admission(&demand(), expected, AdmissionClass::InTime);
        if late.decide(&full, &shares) == Admission::Admit(AdmissionClass::Guaranteed) {
            shares.record_admission(&late, expected, AdmissionClass::Guaranteed);
            admitted += 1;
        }
    }
    assert!((45..=50).contains(&admitted), "{admitted}");
    assert_eq!(shares.counts().guaranteed, admitted);
}

/// Many VMs with old knowledge of the load: less urgent requests keep to this VM's part of the
/// speed of a loaded target, more urgent ones do not wait for it.
#[test]
fn less_urgent_requests_keep_to_the_pace_of_a_loaded_target() {
    let mut view = Harness::view();
    let mut routing = contended();
    // A second, more urgent kind at the keyed service.
    let mut urgent = routing.routes[KEYED].clone();
    urgent.spec.priority = 0;
    urgent.spec.path_prefix = "/urgent/".into();
    routing.routes.insert("urgent".into(), urgent);
    view.routing = Some(routing.into());
    let mut harness = Harness::with(view);
    harness.receive(PeerMessage::Pong {
        sent: ms(0),
        entries: EntryCounts {
            all: 50,
            domain: 50,
        },
    });
    // The responses below come at once, but the leader knows how long the work takes.
    harness.receive(PeerMessage::TargetLatencies(vec![("keyed-0".into(), 150)]));
    // The holder reports three requests of other VMs, so there is a free slot.
    let mut sent = 0;
    for _ in 0..20 {
        let (_, output) = harness.request(KEYED);
        harness.now += ms(20);
        if let Some((attempt, ..)) = output.sent.first() {
            sent += 1;
            harness.end_attempt(*attempt, complete_with(3, 0));
        }
    }
    // About 25 requests per second of all 50 VMs: two are saved up, one is reserved.
    assert!((1..=3).contains(&sent), "{sent}");
    let urgent = harness.step(Event::Request(IncomingRequest {
        handle: 900,
        host: "a.example".into(),
        path: "/urgent/x".into(),
        caller_timeout: Some(ms(1500)),
        key: Some(900),
        fingerprint: 900,
    }));
    assert_eq!(urgent.sent.len(), 1);
}

/// A request that cannot be answered before its deadline is refused at once: its caller has the more
/// time for another try.
#[test]
fn request_that_cannot_be_served_is_refused_without_waiting() {
    let mut harness = deployment(true);
    let (_, output) = harness.request(KEYED);
    harness.now += ms(300);
    harness.end_attempt(output.sent[0].0, complete_with(4, 12));
    let (request, output) = harness.request_within(KEYED, ms(200));
    let refused = promised(&output);
    assert_eq!(refused[0].0, request);
    assert!(refused[0].1 >= ms(30), "{refused:?}");
}

/// A holder that rejects requests because it is full. Guards against second attempts that it rejects
/// as well, at the cost of the retry budget; with free slots, the second attempt is sent at once. The
/// caller comes back when the queue has drained: 20 requests on 4 slots, of 150 ms each.
#[rstest]
#[case(4, 16, 0)]
#[case(1, 0, 1)]
fn full_holder_gets_no_second_attempt(
    #[case] running: u32,
    #[case] queued: u32,
    #[case] attempts: usize,
) {
    let mut harness = deployment(true);
    let (_, output) = harness.request(KEYED);
    let load = Some(LoadReport {
        running,
        queued,
        slots: 4,
        slowdown: camphordale_entry::Slowdown::default(),
    });
    let status = 503;
    let output = harness.end_attempt(
        output.sent[0].0,
        AttemptResult::NotExecuted { status, load },
    );
    assert_eq!(output.sent.len(), attempts);
    for (_, retry_after) in promised(&output) {
        // A third of the caller's 1,500 ms at most.
        assert!(
            (ms(250)..=ms(500)).contains(&retry_after),
            "{retry_after:?}"
        );
    }
    assert_eq!(output.refused.len(), 1 - attempts);
}

/// A hot key with many waiting requests: a place goes to the one whose objective ends first, not
/// to the one that came first, and not to a caller whose objective has passed.
#[test]
fn waiting_requests_are_tried_by_the_time_left() {
    let mut routing = contended();
    let keyed = routing.routes.get_mut(KEYED).unwrap();
    keyed.spec.latency_objective = ms(1000);
    let mut view = Harness::view();
    view.routing = Some(routing.into());
    let mut harness = Harness::with(view);
    // The usual timeout of callers is known after three of them.
    let mut sent = Vec::new();
    let mut waiting = Vec::new();
    let first = [3000; 12];
    for timeout in first.into_iter().chain([2800]) {
        let (request, output) = harness.request_within(KEYED, ms(timeout));
        assert!(output.refused.is_empty(), "{output:?}");
        match output.sent.is_empty() {
            true => waiting.push(request),
            false => sent.extend(output.sent),
        }
    }
    assert!(waiting.len() >= 2, "{waiting:?}");
    // A caller whose objective has passed comes last, although it has the least time left.
    let (late, output) = harness.request_within(KEYED, ms(1400));
    assert!(output.sent.is_empty() && output.refused.is_empty());
    harness.now += ms(10);
    let output = harness.end_attempt(sent[0].0, complete(200));
    let next = output.sent.first().map(|(_, request, _)| *request);
    assert_eq!(next, waiting.last().copied(), "{output:?}");
    assert!(output.sent.iter().all(|(_, request, _)| *request != late));
}

/// Sustained overload: refused callers come back to other VMs, so only time spreads them. The window
/// grows with the overload and stays within what callers wait.
#[test]
fn returning_callers_are_spread_over_a_window_that_grows() {
    let mut shares = AdmissionShares::default();
    let remaining = ms(3000);
    let window = |shares: &AdmissionShares| {
        let delay = |random| shares.retry_after(ms(60), remaining, random);
        assert!(delay(0.0) >= ms(60) && delay(1.0) <= remaining / 3);
        delay(1.0) - delay(0.0)
    };
    let short = window(&shares);
    for _ in 0..100 {
        shares.record_refusal();
    }
    assert!(window(&shares) > short * 2);
    // Callers with little time left are told a time that they wait.
    let delay = shares.retry_after(ms(5000), ms(150), 0.5);
    assert!((ms(30)..=ms(50)).contains(&delay), "{delay:?}");
}

/// Callers state longer timeouts than the route's: one that came back has less time left than the
/// others, although more than the route allows. Varying timeouts say nothing.
#[test]
fn returning_callers_are_recognized_by_the_usual_timeout() {
    let mut timeouts = UsualTimeouts::default();
    let route = READS.into();
    let mut numbers = Numbers(1);
    for number in 0..1000 {
        let is_first = number % 3 == 0;
        let timeout = match is_first {
            true => ms(3000),
            false => ms(200 + numbers.below(2600)),
        };
        let elapsed = timeouts.record(&route, timeout);
        if number > 100 {
            let expected = ms(3000) - timeout;
            let found = elapsed.unwrap();
            assert!(
                found.abs_diff(expected) <= ms(150),
                "{found:?} {expected:?}"
            );
        }
    }
    let mut timeouts = UsualTimeouts::default();
    let known = (0..1000).filter(|_| {
        let timeout = ms(200 + 10 * numbers.below(2600));
        timeouts.record(&route, timeout).is_some()
    });
    assert!(known.count() < 100);
}
