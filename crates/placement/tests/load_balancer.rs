//! The load balancer compared with the baseline policies on simulated queues.

// clippy.toml allows `unwrap` in test functions, but not in the helpers of an integration test.
#![allow(clippy::unwrap_used)]

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    time::Duration, //
};

use camphordale_placement::{
    Candidate,
    LoadBalancer,
    load_balancer::baseline::{
        Baseline,
        Policy, //
    }, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

const SLOTS: u32 = 4;

/// A server that runs `SLOTS` requests at a time and queues the others.
#[derive(Clone)]
struct Server {
    micros: u64,
    free_at: Vec<u64>,
    in_flight: u32,
    ewma: f64,
    /// Reported load; refreshed every 500 ms.
    reported: f32,
    /// Whether it always reports a load of 0.
    misreports: bool,
}

/// Runs 40,000 requests and returns the mean and the 99th percentile of the response time in
/// microseconds, and the number of requests that found no free slot.
fn run(seed: u64, mut pick: impl FnMut(&[Candidate]) -> Option<u64>) -> (u64, u64, u32) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut servers: BTreeMap<u64, Server> = (1..=10)
        .map(|id| {
            let server = Server {
                // Two of ten are slow, and one of these always reports that it is idle.
                micros: if id <= 2 { 8000 } else { 2000 },
                free_at: vec![0; SLOTS as usize],
                in_flight: 0,
                ewma: 0.0,
                reported: 0.0,
                misreports: id == 1,
            };
            (id, server)
        })
        .collect();
    let mut ends: BinaryHeap<Reverse<(u64, u64, u64)>> = BinaryHeap::new();
    let (mut now, mut refresh, mut refused) = (0u64, 0u64, 0);
    let mut times = Vec::new();
    for _ in 0..40_000 {
        // 10,000 requests per second; the ten servers have a capacity of 17,000.
        now += (-100.0 * (1.0 - random.random::<f64>()).ln()) as u64 + 1;
        while let Some(&Reverse((at, id, took))) = ends.peek().filter(|e| e.0.0 <= now) {
            ends.pop();
            let server = servers.get_mut(&id).unwrap();
            server.in_flight -= 1;
            server.ewma = match server.ewma {
                0.0 => took as f64,
                old => old * 0.9 + took as f64 * 0.1,
            };
            assert!(at <= now);
        }
        if now >= refresh {
            refresh = now + 500_000;
            for server in servers.values_mut().filter(|s| !s.misreports) {
                server.reported = server.in_flight as f32 / SLOTS as f32;
            }
        }
        let candidates: Vec<Candidate> = servers
            .iter()
            .map(|(&id, server)| Candidate {
                id,
                in_flight: server.in_flight,
                slot_share: SLOTS * 4,
                latency_ewma: Duration::from_micros(server.ewma as u64),
                reported_load: server.reported,
                warm_fraction: 1.0,
                suspect: false,
            })
            .collect();
        let Some(id) = pick(&candidates) else {
            refused += 1;
            continue;
        };
        let server = servers.get_mut(&id).unwrap();
        server.in_flight += 1;
        let work = (-(server.micros as f64) * (1.0 - random.random::<f64>()).ln()) as u64;
        let slot = server.free_at.iter_mut().min().unwrap();
        *slot = (*slot).max(now) + work;
        times.push(*slot - now);
        ends.push(Reverse((*slot, id, *slot - now)));
    }
    times.sort_unstable();
    let mean = times.iter().sum::<u64>() / times.len() as u64;
    (mean, times[times.len() * 99 / 100], refused)
}

// Guards against sending too much to slow or misreporting targets, and against results that are
// worse than those of a simple policy.
#[test]
fn better_than_baselines() {
    for seed in 1..4 {
        let mut balancer = LoadBalancer::new(seed);
        let ours = run(seed, |c| balancer.pick(c));
        println!(
            "seed {seed}: load balancer mean {} p99 {} refused {}",
            ours.0, ours.1, ours.2
        );
        for policy in [
            Policy::Random,
            Policy::RoundRobin,
            Policy::LeastReported,
            Policy::TwoChoices,
            Policy::RandomWalk { reach: 2, steps: 8 },
        ] {
            let mut baseline = Baseline::new(policy, seed);
            let theirs = run(seed, |c| baseline.pick(c));
            println!(
                "  {policy:?}: mean {} p99 {} refused {}",
                theirs.0, theirs.1, theirs.2
            );
            assert!(
                ours.0 < theirs.0 && ours.1 < theirs.1 && ours.2 == 0,
                "seed {seed}"
            );
        }
    }
}

// Guards against requests to suspects or to targets without a free slot, and against a full share
// at the start of the warm-up.
#[test]
fn suspects_full_and_cold_targets_are_avoided() {
    let candidate = |id, in_flight, warm_fraction, suspect| Candidate {
        id,
        in_flight,
        slot_share: 10,
        latency_ewma: Duration::ZERO,
        reported_load: 0.0,
        warm_fraction,
        suspect,
    };
    let mut balancer = LoadBalancer::new(1);
    let cases = [
        (
            vec![candidate(1, 0, 1.0, true), candidate(2, 9, 1.0, false)],
            Some(2),
        ),
        (
            vec![candidate(1, 0, 1.0, true), candidate(2, 10, 1.0, false)],
            None,
        ),
        (vec![candidate(1, 0, 1.0, true)], Some(1)),
        (vec![candidate(1, 1, 0.1, false)], None),
        (
            vec![candidate(1, 1, 0.1, false), candidate(2, 5, 1.0, false)],
            Some(2),
        ),
        (vec![], None),
    ];
    for (candidates, expected) in cases {
        assert_eq!(balancer.pick(&candidates), expected, "{candidates:?}");
    }
}
