//! Requests that leave the failure domain of their VM.

use camphordale_entry::{
    Departure,
    Effect,
    Event,
    LogEvent, //
};
use camphordale_fleet::{
    Command,
    EntryCounts,
    PeerMessage,
    TargetState,
    View,
    load_summary::{
        LoadAge,
        TargetLoad,
        target_tag, //
    },
    service_demand::{
        DomainLoad,
        ServiceLoad, //
    }, //
};
use rstest::rstest;

use crate::harness::{
    Harness,
    READS,
    UPLOADS,
    complete_with,
    ms,
    target, //
};

/// Eight slots in the VM's own domain `a`, 24 in `b` and 24 in `c`.
fn view() -> View {
    let mut view = Harness::contended_view();
    for number in 0..5u8 {
        let id = format!("reads-b{number}").into();
        view.targets.insert(id, target(READS, 100 + number, "b"));
    }
    for number in 0..6u8 {
        let id = format!("reads-c{number}").into();
        view.targets.insert(id, target(READS, 200 + number, "c"));
    }
    view
}

fn harness(seed: u64) -> Harness {
    let mut harness = Harness::with_seed(view(), seed);
    hear_leader(&mut harness);
    harness
}

/// Keeps the stream from the leader alive.
fn hear_leader(harness: &mut Harness) {
    harness.receive(PeerMessage::Pong {
        sent: harness.now,
        entries: EntryCounts {
            all: 45,
            domain: 15,
        },
    });
}

fn domain_load(domain: &str, short: f64, large: f64) -> DomainLoad {
    DomainLoad {
        domain: domain.into(),
        short: short.into(),
        large: large.into(),
        lost_slots: 0,
        speed: 100,
    }
}

fn summary(loads: Vec<TargetLoad>, domains: Vec<DomainLoad>) -> PeerMessage {
    PeerMessage::LoadSummary {
        loads,
        demand: vec![ServiceLoad {
            service: READS.into(),
            work_ms: 100,
            domains,
        }],
    }
}

/// The callers of `a` need twice the slots there, so that 0.6 of their requests leave. Domain `b` has
/// room for 9.2 slots, `c` for 15.2.
fn demand_of_a(short: f64, large: f64) -> Vec<DomainLoad> {
    let others = [("b", 10.0), ("c", 4.0)];
    let mut domains = vec![domain_load("a", short, large)];
    domains.extend(others.map(|(domain, short)| domain_load(domain, short, 0.0)));
    domains
}

/// Fractions of 400 requests of a route that are sent to each of the domains `a`, `b` and `c`.
fn fractions(harness: &mut Harness, route: &str, message: &PeerMessage) -> [f64; 3] {
    let mut counts = [0; 3];
    for _ in 0..400 {
        hear_leader(harness);
        harness.receive(message.clone());
        let (_, output) = harness.request(route);
        let (attempt, _, id) = output.sent[0].clone();
        let domain = &*harness.entry.view().targets[&id].domain;
        counts[usize::from(domain.as_bytes()[0] - b'a')] += 1;
        harness.advance(ms(20));
        harness.end_attempt(attempt, complete_with(1, 0));
    }
    counts.map(|count| f64::from(count) / 400.0)
}

/// One domain is short of targets: requests leave in the fraction and the shares that the demand of
/// all domains calls for, and all VMs of the domain agree.
#[test]
fn the_vms_of_a_domain_send_the_same_fraction_elsewhere() {
    let message = summary(Vec::new(), demand_of_a(16.0, 0.0));
    let (mut to_b, mut to_c) = (0.0, 0.0);
    for seed in 0..15 {
        let [own, b, c] = fractions(&mut harness(seed), READS, &message);
        assert!((0.32..=0.48).contains(&own), "{own}");
        (to_b, to_c) = (to_b + b, to_c + c);
    }
    assert!((0.53..=0.68).contains(&(to_b / to_c)), "{to_b} and {to_c}");
}

/// Guards against VMs that adopt different fractions from the same summaries.
#[test]
fn the_vms_of_a_domain_adopt_the_same_departure() {
    let adopted = |seed| {
        let mut harness = harness(seed);
        let mut adopted = Vec::new();
        for demand in [6.0, 16.0, 16.2, 30.0, 6.0] {
            harness.advance(ms(200));
            let message = summary(Vec::new(), demand_of_a(demand, 0.0));
            let effects = harness.entry.step(Event::Stream(message), harness.now);
            adopted.extend(effects.into_iter().filter_map(|effect| match effect {
                Effect::Log(LogEvent::Departure { departure, .. }) => Some(departure),
                _ => None,
            }));
        }
        adopted
    };
    let expected: Vec<Departure> = adopted(0);
    assert_eq!(expected.len(), 3, "{expected:?}");
    assert!((1..15).all(|seed| adopted(seed) == expected));
}

/// Large bodies leave last: short requests make room for them.
#[test]
fn uploads_stay_while_short_requests_make_room() {
    let message = summary(Vec::new(), demand_of_a(14.0, 2.0));
    let mut harness = harness(1);
    assert!(fractions(&mut harness, UPLOADS, &message)[0] == 1.0);
    assert!(fractions(&mut harness, READS, &message)[0] <= 0.42);
}

/// Without a recent summary each VM decides alone, by the rule of other deployments: requests stay
/// while targets of the own domain are fast enough.
#[test]
fn a_stale_summary_has_no_effect() {
    let message = summary(Vec::new(), demand_of_a(16.0, 0.0));
    let mut harness = harness(1);
    assert!(fractions(&mut harness, READS, &message)[0] <= 0.48);
    harness.now += ms(1600);
    let mut away = 0;
    for _ in 0..100 {
        let (_, output) = harness.request(READS);
        let (attempt, _, id) = output.sent[0].clone();
        away += u32::from(&*harness.entry.view().targets[&id].domain != "a");
        harness.now += ms(20);
        harness.end_attempt(attempt, complete_with(1, 0));
    }
    assert_eq!(away, 0);
}

/// Evacuation, and the loss of the targets of a domain: all its requests leave it as soon as the VM
/// knows, before the next summary.
#[test]
fn all_requests_leave_a_domain_without_targets() {
    let message = summary(Vec::new(), demand_of_a(4.0, 1.0));
    let mut harness = harness(1);
    assert_eq!(fractions(&mut harness, READS, &message)[0], 1.0);
    for number in 0..2u8 {
        let id = format!("reads-{number}").into();
        let view = harness.entry.view();
        let index = view.index + 1;
        let draining = camphordale_fleet::Target {
            state: TargetState::Draining,
            ..view.targets[&id].clone()
        };
        let target = draining;
        let command = Box::new(Command::Announce { id, target });
        harness.receive(PeerMessage::Update { index, command });
    }
    let effects = harness.entry.step(Event::Tick, harness.now);
    let all = Departure {
        short: 1.0,
        large: 1.0,
    };
    assert!(effects.iter().any(|effect| {
        matches!(effect, Effect::Log(LogEvent::Departure { departure, .. }) if *departure == all)
    }));
    for _ in 0..50 {
        let (_, output) = harness.request(READS);
        assert_eq!(output.sent.len(), 1);
        harness.end_attempt(output.sent[0].0, complete_with(1, 0));
    }
}

/// Cut: the targets of a domain that no VM reaches have no room, although they are still registered.
/// Its VMs report no demand.
#[test]
fn no_request_is_planned_for_a_domain_that_is_cut_off() {
    let mut demand = demand_of_a(16.0, 0.0);
    demand[1] = DomainLoad {
        lost_slots: 24,
        ..domain_load("b", 0.0, 0.0)
    };
    let message = summary(Vec::new(), demand);
    let [own, b, c] = fractions(&mut harness(1), READS, &message);
    assert_eq!(b, 0.0);
    assert!(c >= 0.4 && own <= 0.6);
}

fn loads(domains: &str, requests: u16) -> Vec<TargetLoad> {
    let view = view();
    let targets = view
        .targets
        .iter()
        .filter(|(_, target)| *target.service == *READS && domains.contains(&*target.domain));
    let loads = targets.map(|(id, _)| TargetLoad {
        tag: target_tag(id, 1),
        requests,
        age: LoadAge::new(ms(20)).unwrap(),
    });
    loads.collect()
}

/// A momentary queue at all targets of a domain whose demand fits it: a request may go elsewhere, but
/// only to a target that is known to have a free slot. Guards against all VMs of a domain that leave
/// at once for targets that are full too.
#[rstest]
#[case(0, true)]
#[case(5, false)]
fn a_request_without_a_target_in_time_needs_a_free_slot_elsewhere(
    #[case] elsewhere: u16,
    #[case] leaves: bool,
) {
    let mut harness = harness(1);
    let mut all = loads("a", 40);
    all.extend(loads("bc", elsewhere));
    harness.receive(summary(all, demand_of_a(4.0, 0.0)));
    let (_, output) = harness.request(READS);
    assert_eq!(output.sent.len(), usize::from(leaves), "{output:?}");
}

/// Operators see how many requests left, and why.
#[test]
fn departures_are_counted_by_reason() {
    let mut harness = harness(1);
    harness.receive(summary(Vec::new(), demand_of_a(16.0, 0.0)));
    for _ in 0..10 {
        let (_, output) = harness.request(READS);
        harness.end_attempt(output.sent[0].0, complete_with(1, 0));
    }
    let effects = harness.entry.step(Event::Tick, harness.now + ms(400));
    let counts = effects.iter().find_map(|effect| match effect {
        Effect::Log(LogEvent::Departed(counts)) => Some(*counts),
        _ => None,
    });
    let counts = counts.unwrap();
    assert!((2..=9).contains(&counts.planned), "{counts:?}");
    assert_eq!((counts.none_in_time, counts.unplanned), (0, 0));
}
