//! Random histories of a fleet with requests that crash their targets.

use std::time::Duration;

use rand::Rng;

use crate::world::{
    CONTACT,
    DEADLY,
    ORDERS,
    Outcome,
    READS,
    World,
    ms, //
};

const VMS: usize = 5;

/// Leader changes, restarts and cuts of entry VMs, resets and unrelated crashes beside the deadly
/// request. Returns how often it was sent.
fn history(seed: u64) -> usize {
    let mut world = World::new(seed, VMS, 12);
    let services = [READS, ORDERS];
    let mut fingerprint = 100;
    // From when each VM is in touch.
    let mut calm_since = [Duration::ZERO; VMS];
    let mut late = 0;
    let mut third: Option<Duration> = None;
    for _ in 0..160 {
        let at = world.random.random_range(0..VMS);
        match world.random.random_range(0..60) {
            0 => {
                world.change_leader();
                calm_since = [world.now; VMS];
            }
            1 => {
                world.restart_vm(at);
                calm_since[at] = world.now;
            }
            2 => {
                world.cut.insert(at);
            }
            3 | 4 => world.cut.clear(),
            5 => world.crash_targets(2),
            6 => world.make_targets_reset(true),
            7 | 8 => world.make_targets_reset(false),
            _ => {}
        }
        for cut in &world.cut {
            calm_since[*cut] = world.now;
        }
        let before = world.deadly_sends.len();
        let service = services[world.random.random_range(0..2)];
        world.request(world.now.as_millis() as usize % VMS, service, DEADLY);
        for vm in 0..VMS {
            fingerprint += 1;
            world.request(vm, services[vm % 2], fingerprint);
            world.request(vm, READS, 77);
        }
        world.run(ms(125));
        if world.deadly_crashes.len() >= 3 {
            third = third.or(Some(world.now));
        }
        for (sent, vm) in &world.deadly_sends[before..] {
            let from = third.map(|third| third.max(calm_since[*vm]) + CONTACT);
            late += usize::from(from.is_some_and(|from| *sent > from));
        }
    }
    assert!(late <= 3, "seed {seed}: sent {late} times");
    // Once all is calm, ordinary requests are served and the deadly one is not.
    world.cut.clear();
    world.make_targets_reset(false);
    world.run(ms(6000));
    world.outcomes.clear();
    let crashes = world.crashes.len();
    for vm in 0..VMS {
        world.request(vm, READS, 77);
        world.request(vm, READS, DEADLY);
        world.run(ms(100));
    }
    world.run(ms(1500));
    let served = world.innocents(|outcome| outcome == Outcome::Served);
    assert_eq!(served, VMS, "seed {seed}: {:?}", world.outcomes);
    assert_eq!(world.crashes.len(), crashes, "seed {seed}");
    world.deadly_sends.len()
}

/// Guards against a rule that holds only while nothing else goes wrong.
#[test]
fn random_histories_keep_the_limit_and_shut_nobody_else_out() {
    let sends: usize = (0..60).map(history).sum();
    assert!(sends >= 180, "{sends}");
}
