//! Random histories of a domain with faults. The message of a failure contains the seed of its
//! history. `CAMPHORDALE_HISTORIES` sets the number of histories, `CAMPHORDALE_SEED` selects a
//! single one, and `CAMPHORDALE_TRACE` prints its events.

mod fixture;
mod world;

use std::{
    env,
    thread, //
};

use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use world::World;

const HISTORIES: u64 = 1000;
const THREADS: u64 = 4;

/// Runs `history` for many seeds on several threads and sums up the results.
fn run_all(first: u64, history: impl Fn(u64) -> [u64; 4] + Sync) -> [u64; 4] {
    let number = |name| env::var(name).ok().and_then(|text| text.parse().ok());
    if let Some(seed) = number("CAMPHORDALE_SEED") {
        return history(seed);
    }
    let count = number("CAMPHORDALE_HISTORIES").unwrap_or(HISTORIES);
    println!("seeds {first} to {}", first + count - 1);
    let history = &history;
    let part = move |thread: u64| {
        let mut sum = [0; 4];
        for seed in (first..first + count).filter(|seed| seed % THREADS == thread) {
            for (total, one) in sum.iter_mut().zip(history(seed)) {
                *total += one;
            }
        }
        sum
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|t| scope.spawn(move || part(t))).collect();
        let mut sum = [0; 4];
        for handle in threads {
            for (total, one) in sum.iter_mut().zip(handle.join().expect("a history failed")) {
                *total += one;
            }
        }
        sum
    })
}

// Guards against two owners of a shard, decreasing tokens, lost assignments, shards assigned to a
// leaving target, and records created twice, in histories with many faults.
#[test]
fn ownership_stays_exclusive_under_failures() {
    let sum = run_all(1, |seed| {
        let mut world = World::new(seed);
        world.run(2500);
        world.faults_enabled = true;
        world.run(7000);
        let m = &world.checks;
        [m.executions, m.assigned, m.freed, m.records]
    });
    println!("runs, assigned, freed, records: {sum:?}");
}

// Guards against shards that stay unserved after faults end, and against shards that stay unserved
// for more than 1 s after a single failure with no requests in flight.
#[test]
fn single_failures_are_recovered_within_a_second() {
    let sum = run_all(1_000_000, |seed| {
        let mut world = World::new(seed);
        world.run(1500);
        world.faults_enabled = true;
        world.run(3500);
        world.requests_enabled = false;
        world.end_faults();
        world.run(11_500);
        world.run_served(12_500, 1000);
        let mut random = StdRng::seed_from_u64(seed);
        match random.random_range(0..4) {
            0 => world.vms[random.random_range(0..3)].alive = false,
            1 => {
                let host = world.nodes.last().unwrap().host;
                world.vms[host].alive = false;
            }
            2 => world.processes[random.random_range(0..5)].alive = false,
            _ => world.processes[random.random_range(0..5)].frozen_until = 100_000,
        }
        world.run_served(13_700, 1000);
        [
            world.checks.assigned,
            world.checks.freed,
            world.checks.proposals,
            1,
        ]
    });
    println!("assigned, freed, proposals, histories: {sum:?}");
}
