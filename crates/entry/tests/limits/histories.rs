//! Random histories of limits, compared with a count of all requests that arrive.

use rand::Rng;

use crate::world::{
    World,
    ms,
    rate, //
};

/// Processes that are stopped in a history.
#[derive(Default)]
pub(crate) struct Processes {
    leader_stopped: bool,
    entries_stopped: usize,
}

impl Processes {
    fn has_leader(&self) -> bool {
        !self.leader_stopped
    }

    pub(crate) fn start_leader(&mut self, world: &mut World) {
        if self.leader_stopped {
            self.change(world, 1);
        }
    }

    /// Stops or starts the leader or an entry VM, where that is possible.
    pub(crate) fn change(&mut self, world: &mut World, choice: u32) {
        match choice {
            0 if !self.leader_stopped => {
                world.stop_leader();
                self.leader_stopped = true;
            }
            1 if self.leader_stopped => {
                world.start_leader();
                self.leader_stopped = false;
            }
            2 if self.entries_stopped < 2 => {
                world.stop_entry();
                self.entries_stopped += 1;
            }
            3 if self.entries_stopped > 0 => {
                world.start_entry();
                self.entries_stopped -= 1;
            }
            _ => {}
        }
    }
}

/// Guards against a target that gets far more requests than the limit that it states, because each
/// entry VM sees only its own. All targets of the service are limited, far below the demand.
#[test]
fn all_vms_together_keep_a_limit() {
    for (vms, limit) in [
        (1, 10.0),
        (9, 28.6),
        (9, 3.7),
        (9, 0.3),
        (60, 2.0),
        (9, 0.0),
    ] {
        let mut world = World::new(1, vms, 4, 300.0);
        world.run(ms(2000));
        for number in 0..4 {
            world.set_limit(&format!("t{number}"), Some(rate(limit)));
        }
        world.run(ms(3000));
        let settled = world.now;
        world.run(ms(12_000));
        let excess = world.worst_excess(settled);
        assert!(excess <= 0.0, "{vms} VMs, limit {limit}: {excess} too many");
    }
}

/// The limits are used: demand is uneven, and most of the rights are not lost at VMs without it.
#[test]
fn rights_follow_demand() {
    let mut world = World::new(2, 9, 4, 300.0);
    world.skew = 0.7;
    world.run(ms(1000));
    for number in 0..4 {
        world.set_limit(&format!("t{number}"), Some(rate(20.0)));
    }
    world.run(ms(3000));
    let served = world.served;
    world.run(ms(10_000));
    let per_second = (world.served - served) as f64 / 10.0;
    // An even share for each VM would leave most of the limit unused.
    assert!(
        per_second > 0.8 * 80.0,
        "{per_second} of 80 requests a second"
    );
}

/// What does not fit goes to the targets without a limit.
#[test]
fn other_targets_take_the_rest() {
    let mut world = World::new(3, 9, 4, 100.0);
    world.set_limit("t0", Some(rate(5.0)));
    world.set_limit("t1", Some(rate(5.0)));
    world.run(ms(3000));
    let (served, refused) = (world.served, world.refused);
    world.run(ms(5000));
    let (served, refused) = (world.served - served, world.refused - refused);
    assert!(refused * 100 < served, "{served} served, {refused} refused");
}

/// A target that states no limit any more gets its share of the requests again.
#[test]
fn a_limit_ends_with_the_answers_that_state_it() {
    let mut world = World::new(4, 9, 4, 200.0);
    for number in 0..4 {
        world.set_limit(&format!("t{number}"), Some(rate(4.0)));
    }
    world.run(ms(5000));
    for number in 0..4 {
        world.set_limit(&format!("t{number}"), None);
    }
    world.run(ms(1500));
    let refused = world.refused;
    world.run(ms(3000));
    assert_eq!(world.refused, refused);
}

/// The next process of a target inherits no limit.
#[test]
fn another_incarnation_has_no_limit() {
    let mut world = World::new(5, 3, 1, 50.0);
    world.set_limit("t0", Some(rate(1.0)));
    world.run(ms(5000));
    world.restart_target("t0");
    world.run(ms(500));
    let refused = world.refused;
    world.run(ms(3000));
    assert_eq!(world.refused, refused);
}

/// Limits rise and fall, targets restart, and the leader and entry VMs stop and start meanwhile.
#[test]
fn random_histories_keep_the_limits() {
    for seed in 0..40 {
        let mut world = World::new(seed, 9, 3, 200.0);
        world.skew = world.random.random_range(0.0..0.8);
        world.run(ms(1000));
        for number in 0..3 {
            let limit = world.random.random_range(0.5..40.0);
            world.set_limit(&format!("t{number}"), Some(rate(limit)));
        }
        world.run(ms(3000));
        let settled = world.now;
        let mut processes = Processes::default();
        for _ in 0..25 {
            let pause = world.random.random_range(50..1500);
            world.run(ms(pause));
            match world.random.random_range(0..6) {
                choice @ 0..4 => processes.change(&mut world, choice),
                4 => {
                    let id = format!("t{}", world.random.random_range(0..3));
                    let limit = world.random.random_range(0.5..40.0);
                    world.set_limit(&id, Some(rate(limit)));
                }
                _ => {}
            }
        }
        let excess = world.worst_excess(settled);
        assert!(excess <= 0.0, "seed {seed}: {excess} too many");
    }
}

/// Targets leave, turn requests away for a time and restart, while the leader and entry VMs stop and
/// start. The world checks each arrival against what the target told that entry VM.
#[test]
fn random_histories_respect_what_targets_state() {
    let mut paused = 0;
    for seed in 0..60 {
        let mut world = World::new(100 + seed, 5, 4, 150.0);
        let mut processes = Processes::default();
        for _ in 0..40 {
            let pause = world.random.random_range(20..600);
            world.run(ms(pause));
            let id = format!("t{}", world.random.random_range(0..4));
            let time = ms(world.random.random_range(100..3000));
            match world.random.random_range(0..9) {
                choice @ 0..4 => processes.change(&mut world, choice),
                4 => world.target(&id).leaving = true,
                5 => {
                    world.target(&id).pause = Some(time);
                    paused += 1;
                }
                6 => world.target(&id).pause = None,
                7 if processes.has_leader() => world.restart_target(&id),
                _ => world.set_limit(&id, Some(rate(50.0))),
            }
        }
        assert!(world.served > 100, "seed {seed}: {} served", world.served);
    }
    assert!(paused > 100);
}
