//! A domain group in simulated time: the leader and the group's replicated state machine. Senders
//! drain a shard within one step.

use std::time::{
    Duration,
    Instant, //
};

use camphordale_domain::{
    Command,
    Effect,
    Event,
    HomedShard,
    Leader,
    LeaseConfig,
    Phase,
    State, //
};
use camphordale_types::{
    LoadReport,
    Service,
    ShardIndex,
    ShardRef,
    Side,
    TargetId,
    TargetSpec,
    TargetState, //
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};

use super::rates::draw_count;

/// Simulated time of one step: the tick interval of the daemon.
const STEP_TIME: Duration = Duration::from_millis(10);
/// Interval at which VMs, targets and the leadership renew their leases, in steps.
const RENEW_STEPS: u64 = 10;
/// Interval between two load reports of a sender, in steps.
const REPORT_STEPS: u64 = 100;
/// Incarnation of each VM.
const INCARNATION: u64 = 1;

/// A simulated domain group.
pub(crate) struct SimulatedGroup {
    service: Service,
    vms: u32,
    /// Time spent in [`Leader::step`].
    reducer_time: Duration,
    state: State,
    leader: Leader,
    rng: StdRng,
    step: u64,
    index: u64,
    /// Changes of owner since the last call of [`SimulatedGroup::take_moves`].
    moves: u64,
    owners: Vec<Option<TargetId>>,
    active_targets: Vec<TargetId>,
    /// Requests per second of each shard.
    pub(crate) rates: Vec<f64>,
}

impl SimulatedGroup {
    /// Creates a group with `vms` VMs and `targets` targets. `rates` are the requests per second of
    /// each shard.
    pub(crate) fn new(
        service: Service,
        vms: u32,
        targets: usize,
        rates: Vec<f64>,
        seed: u64,
    ) -> Self {
        let ms = Duration::from_millis;
        let config = LeaseConfig {
            vm_lease: ms(500),
            target_lease: ms(600),
            stall: ms(50),
        };
        let mut group = SimulatedGroup {
            vms,
            reducer_time: Duration::ZERO,
            state: State::new(1, false),
            leader: Leader::new(config, seed),
            rng: StdRng::seed_from_u64(seed),
            step: 0,
            index: 0,
            moves: 0,
            owners: vec![None; service.shard_count() as usize],
            active_targets: Vec::new(),
            rates,
            service,
        };
        group.step_leader(Event::Elected {
            epoch: 1,
            recreated: false,
        });
        group.apply(&Command::SetServices {
            version: 1,
            services: vec![group.service.clone()],
        });
        let homed = |index| HomedShard {
            index,
            since: 1,
            moved: false,
            leaving: false,
        };
        group.apply(&Command::SetHomes {
            service: group.service.name.clone(),
            version: 1,
            shards: (0..group.service.shard_count()).map(homed).collect(),
        });
        for _ in 0..targets {
            group.add_target();
        }
        group
    }

    /// Adds a target.
    pub(crate) fn add_target(&mut self) {
        let number = self.index;
        let spec = TargetSpec {
            name: format!("t{number}").into(),
            service: self.service.name.clone(),
            side: Side::Old,
            address: ([127, 0, 0, 1], number as u16).into(),
            checks_tokens: true,
            slots: self.service.slots,
        };
        self.apply(&Command::OpenTargetSession(spec));
        self.active_targets.push(self.index);
    }

    /// Marks the target that joined first as leaving and returns the number of its shards.
    pub(crate) fn remove_oldest_target(&mut self) -> usize {
        let id = self.active_targets.remove(0);
        self.apply(&Command::MarkTargetLeaving(id));
        self.owners.iter().filter(|o| **o == Some(id)).count()
    }

    /// Runs for `time`. Returns the time after which the ratio of maximum to mean load stayed below
    /// `limit`, or `None` if it is not below `limit` at the end.
    pub(crate) fn run(&mut self, time: Duration, limit: f64) -> Option<Duration> {
        let steps = (time.as_millis() / STEP_TIME.as_millis()) as u64;
        let mut recovered_at = 0;
        for step in 0..steps {
            self.advance();
            if self.ratio() >= limit {
                recovered_at = step + 1;
            }
        }
        (recovered_at < steps).then(|| STEP_TIME * recovered_at as u32)
    }

    /// Returns the number of moves since the last call. The first assignment of a shard does not
    /// count as a move.
    pub(crate) fn take_moves(&mut self) -> u64 {
        std::mem::take(&mut self.moves)
    }

    /// Returns the ratio of maximum to mean load, computed from the actual rates.
    pub(crate) fn ratio(&self) -> f64 {
        let mut loads = vec![0.0; self.active_targets.len()];
        for (owner, rate) in self.owners.iter().zip(&self.rates) {
            let at = owner.and_then(|owner| self.active_targets.iter().position(|&id| id == owner));
            if let Some(at) = at {
                loads[at] += rate;
            }
        }
        let mean = self.rates.iter().sum::<f64>() / loads.len() as f64;
        loads.into_iter().fold(0.0, f64::max) / mean
    }

    /// Runs for `time` and returns the fraction of a core that the leader needs.
    pub(crate) fn leader_cpu_fraction(&mut self, time: Duration) -> f64 {
        self.reducer_time = Duration::ZERO;
        self.run(time, f64::INFINITY);
        self.reducer_time.as_secs_f64() / time.as_secs_f64()
    }

    /// Returns the replicated state of the group.
    pub(crate) fn state_mut(&mut self) -> &mut State {
        &mut self.state
    }

    fn now(&self) -> Duration {
        STEP_TIME * self.step as u32
    }

    fn advance(&mut self) {
        self.step += 1;
        if self.step.is_multiple_of(RENEW_STEPS) {
            self.renew_leases();
        }
        if self.step.is_multiple_of(REPORT_STEPS) {
            self.report_load();
        }
        self.finish_releases();
        self.step_leader(Event::Tick);
        self.record_owners();
    }

    fn renew_leases(&mut self) {
        let until = self.now() + Duration::from_millis(150);
        self.step_leader(Event::LeadershipConfirmed { until });
        for vm in 1..=self.vms {
            self.step_leader(Event::RenewVm {
                vm,
                incarnation: INCARNATION,
                nonce: self.step,
            });
        }
        let targets: Vec<TargetId> = self.state.targets().map(|t| t.info.id).collect();
        for target in targets {
            self.step_leader(Event::RenewTarget {
                target,
                load: LoadReport::default(),
                nonce: self.step,
            });
        }
    }

    /// Reports a random number of requests for each shard, as the senders do.
    fn report_load(&mut self) {
        let seconds = STEP_TIME.as_secs_f64() * REPORT_STEPS as f64;
        let name = &self.service.name;
        let rng = &mut self.rng;
        let counts: Vec<(_, ShardIndex, u32)> = self
            .rates
            .iter()
            .enumerate()
            .map(|(shard, rate)| (name.clone(), shard as u32, draw_count(rate * seconds, rng)))
            .filter(|(_, _, count)| *count > 0)
            .collect();
        self.step_leader(Event::ShardLoad {
            vm: 1,
            shards: counts,
        });
    }

    /// Reports all shards that are being released as drained.
    fn finish_releases(&mut self) {
        let name = self.service.name.clone();
        let releasing: Vec<Event> = self
            .state
            .shards(&name)
            .filter_map(|(index, entry)| {
                let Phase::Releasing(owner) = entry.phase else {
                    return None;
                };
                Some(Event::ShardReleased {
                    vm: self.state.target(owner)?.sender?,
                    incarnation: INCARNATION,
                    shard: ShardRef::new(&name, index),
                    token: entry.token,
                    drain_time: Duration::ZERO,
                })
            })
            .collect();
        for event in releasing {
            self.step_leader(event);
        }
    }

    fn step_leader(&mut self, event: Event) {
        let now = self.now();
        let start = Instant::now();
        let effects = self.leader.step(&self.state, event, now);
        self.reducer_time += start.elapsed();
        for effect in effects {
            if let Effect::Propose(command) = effect {
                self.apply(&command);
            }
        }
    }

    fn apply(&mut self, command: &Command) {
        self.index += 1;
        self.state.apply(self.index, 1, command);
    }

    /// Counts the changes of owner and forgets targets that no longer serve.
    fn record_owners(&mut self) {
        for (index, entry) in self.state.shards(&self.service.name) {
            if let Phase::Held(owner) = entry.phase {
                let before = self.owners[index as usize].replace(owner);
                self.moves += u64::from(before.is_some_and(|before| before != owner));
            }
        }
        let state = &self.state;
        self.active_targets.retain(|&id| {
            let target = state.target(id);
            target.is_some_and(|t| t.info.state == TargetState::Serving)
        });
    }
}
