//! Random histories of a domain with failures. The seed of a failed history is in its message;
//! `CAMPHORDALE_HISTORIES` sets the number of histories. `CAMPHORDALE_SEED` runs only one, and
//! `CAMPHORDALE_TRACE` prints what happens in it.

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

/// Runs `history` for many seeds on a few threads and adds up what it returns.
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

// Guards against two owners of a shard, tokens that go back, lost assignments, shards for a target
// that leaves, and records that are made twice, in histories full of failures.
#[test]
fn failures_keep_ownership_exclusive() {
    let sum = run_all(1, |seed| {
        let mut world = World::new(seed);
        world.run(2500);
        world.faulty = true;
        world.run(7000);
        let m = &world.memory;
        [m.runs, m.assigned, m.freed, m.records]
    });
    println!("runs, assigned, freed, records: {sum:?}");
}

// Guards against shards that stay without a server after failures, and against more than 1 s
// without one after a single loss when no request is outstanding.
#[test]
fn single_losses_heal_within_a_second() {
    let sum = run_all(1_000_000, |seed| {
        let mut world = World::new(seed);
        world.run(1500);
        world.faulty = true;
        world.run(3500);
        world.traffic = false;
        world.heal();
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
            world.memory.assigned,
            world.memory.freed,
            world.memory.proposals,
            1,
        ]
    });
    println!("assigned, freed, proposals, histories: {sum:?}");
}
