//! Merging of the loads that entry VMs report, and the size of the messages.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_fleet::{
    EntryCounts,
    PeerMessage,
    load_summary::{
        LoadAge,
        LoadMerger,
        SUMMARY_INTERVAL,
        TargetLoad,
        TargetTag,
        target_tag, //
    },
    service_demand::{
        Bodies,
        DomainLoad,
        ServiceDemand,
        ServiceLoad,
        TargetWork, //
    }, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn load(number: usize, requests: u16, age: u64) -> TargetLoad {
    TargetLoad {
        tag: target_tag(&format!("target-{number}"), 1_800_000_000_000),
        requests,
        age: LoadAge::new(ms(age)).unwrap(),
    }
}

/// The demand for five plain services in three domains.
fn demand() -> Vec<ServiceLoad> {
    let domain = |name: &str| DomainLoad {
        domain: name.into(),
        short: 40.0.into(),
        large: 25.0.into(),
        lost_slots: 3,
        speed: 130,
    };
    let services = (0..5).map(|number| ServiceLoad {
        service: format!("service-{number}").into(),
        work_ms: 370,
        domains: ["za", "zb", "zc"].map(domain).into(),
    });
    services.collect()
}

/// The report of an entry VM.
fn report(loads: Vec<TargetLoad>) -> PeerMessage {
    let work = loads.iter().take(8).map(|load| TargetWork {
        tag: load.tag,
        bodies: Bodies::Short,
        answered: 2,
        took_ms: 700,
    });
    PeerMessage::TargetLoads {
        work: work.collect(),
        loads,
        covered_ms: 300,
        demand: vec![ServiceDemand {
            service: "service-0".into(),
            short: 4,
            large: 2,
        }],
        unreachable: Vec::new(),
    }
}

/// Guards against a late report of one VM that replaces a newer one of another VM.
#[test]
fn the_newest_report_of_a_target_wins() {
    let mut merger = LoadMerger::default();
    merger.record(&[load(1, 9, 40)], ms(1000));
    merger.record(&[load(1, 2, 300)], ms(1100));
    assert_eq!(merger.take_changes(ms(1200)), [load(1, 9, 240)]);
    merger.record(&[load(1, 2, 0)], ms(1300));
    assert_eq!(merger.take_changes(ms(1400)), [load(1, 2, 100)]);
}

/// Guards against entry VMs that act on the load of a target long after the last response.
#[test]
fn an_old_load_is_not_stated() {
    let mut merger = LoadMerger::default();
    merger.record(&[load(1, 9, 0)], ms(1000));
    assert!(merger.take_changes(ms(4000)).is_empty());
}

/// Guards against a VM with a new stream that never hears of loads that do not change.
#[test]
fn all_loads_are_stated_again_for_a_new_entry_vm() {
    let mut merger = LoadMerger::default();
    merger.record(&[load(1, 9, 0)], ms(1000));
    assert_eq!(merger.take_changes(ms(1000)).len(), 1);
    assert!(merger.take_changes(ms(1200)).is_empty());
    merger.resend_all();
    assert_eq!(merger.take_changes(ms(1400)).len(), 1);
}

/// Bytes per second of the summaries to one entry VM, and the longest time for which it hears
/// nothing of a target, in ten seconds in which all loads change all the time.
fn cost(targets: usize, responses_per_second: usize) -> (usize, Duration) {
    let rounds = (10.0 / SUMMARY_INTERVAL.as_secs_f64()) as usize;
    let responses = responses_per_second * 10 / rounds;
    let mut random = StdRng::seed_from_u64(1);
    let mut merger = LoadMerger::default();
    let mut bytes = 0;
    let mut heard: BTreeMap<TargetTag, Duration> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    let mut now = ms(1000);
    for _ in 0..rounds {
        // The reports of all VMs in one interval.
        for _ in 0..responses {
            let (number, requests) = (random.random_range(0..targets), random.random_range(0..20));
            merger.record(&[load(number, requests, random.random_range(0..300))], now);
        }
        let loads = merger.take_changes(now);
        for load in &loads {
            if let Some(before) = heard.insert(load.tag, now) {
                longest = longest.max(now - before);
            }
        }
        bytes += PeerMessage::LoadSummary {
            loads,
            demand: demand(),
        }
        .encode()
        .unwrap()
        .len();
        now += SUMMARY_INTERVAL;
    }
    (bytes / 10, longest)
}

/// Guards against summaries that fill the link of an entry VM (2 Mbit/s) in a large fleet, and
/// against targets that these summaries leave out.
#[test]
fn a_summary_is_short_in_a_large_fleet() {
    // Deployments A and B, and the largest one.
    for (targets, responses) in [(164, 1500), (237, 2000), (900, 9000)] {
        let (bytes, longest) = cost(targets, responses);
        println!("{targets} targets: {bytes} bytes/s, at most {longest:?} between two loads");
        assert!(bytes < 5000, "{targets} targets: {bytes} bytes per second");
        assert!(longest <= ms(3000), "{targets} targets: {longest:?}");
    }
}

/// Guards against reports of entry VMs that take much of their links: a VM sees the load of five to
/// fifteen targets between two pings.
#[test]
fn a_report_of_an_entry_vm_is_short() {
    let loads = (0..15).map(|number| load(number, 20, 150)).collect();
    let message = report(loads);
    let bytes = message.encode().unwrap();
    println!("{} bytes", bytes.len());
    assert!(bytes.len() <= 200, "{} bytes", bytes.len());
    assert_eq!(PeerMessage::decode(&bytes).unwrap(), message);
}

/// Guards against messages of the previous version that this one cannot read, or the reverse: new
/// messages are the last variants.
#[test]
fn earlier_messages_keep_their_encoding() {
    let pong = PeerMessage::Pong {
        sent: ms(3000),
        entries: EntryCounts { all: 3, domain: 1 },
    };
    assert_eq!(pong.encode().unwrap(), [9, 3, 0, 3, 1]);
    let statements = PeerMessage::TargetStatements {
        sent: Duration::ZERO,
        stated: Vec::new(),
        leaving: Vec::new(),
        rights: Vec::new(),
    };
    assert_eq!(statements.encode().unwrap(), [13, 0, 0, 0, 0, 0]);
}
