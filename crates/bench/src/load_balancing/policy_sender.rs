//! A sender with one queue for all targets and an exchangeable load-balancing policy.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use camphordale_placement::{
    Candidate,
    LoadBalancer,
    load_balancer::baseline::Baseline, //
};

use super::{
    sender::Action,
    simulation::{
        DEADLINE,
        TARGETS,
        WARM_UP, //
    },
};

/// Weight of a new sample in the latency average, as in the router.
const EWMA_WEIGHT: f64 = 0.2;
/// Shortest time without a response after which a target is suspect, as in the router.
const MIN_SILENCE: Duration = Duration::from_millis(300);
/// Multiple of the average latency that the time without a response must reach as well.
const SILENCE_FACTOR: u32 = 8;
/// Time between two probes of a suspect target.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum queue length per target.
const QUEUE_PER_TARGET: usize = 16;

/// The policy under test.
pub(super) enum Policy {
    /// The load balancer that the router uses.
    LoadBalancer(LoadBalancer),
    /// A baseline policy for comparison.
    Baseline(Baseline),
}

/// A sender that picks targets with a [`Policy`].
pub(super) struct PolicySender {
    policy: Policy,
    candidates: Vec<Candidate>,
    target_times: Vec<TargetTimes>,
    queue: VecDeque<(u128, Duration)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct TargetTimes {
    last_progress: Duration,
    last_probe: Option<Duration>,
    joined_at: Option<Duration>,
}

impl PolicySender {
    /// Creates a sender. If `joins_late`, the last target has no slots until it joins.
    pub(super) fn new(policy: Policy, slots: u32, joins_late: bool) -> Self {
        let candidate = |at: usize| Candidate {
            id: at as u64 + 1,
            in_flight: 0,
            slot_share: if joins_late && at + 1 == TARGETS {
                0
            } else {
                slots
            },
            latency_ewma: Duration::ZERO,
            reported_load: 0.0,
            warm_fraction: 1.0,
            suspect: false,
        };
        PolicySender {
            policy,
            candidates: (0..TARGETS).map(candidate).collect(),
            target_times: vec![TargetTimes::default(); TARGETS],
            queue: VecDeque::new(),
        }
    }

    pub(super) fn request_arrived(&mut self, id: u128, now: Duration) -> Vec<Action> {
        if self.queue.len() >= QUEUE_PER_TARGET * TARGETS {
            return vec![Action::Refuse { id }];
        }
        self.queue.push_back((id, now));
        self.dispatch(now)
    }

    pub(super) fn attempt_ended(
        &mut self,
        target: usize,
        took: Duration,
        now: Duration,
    ) -> Vec<Action> {
        let candidate = &mut self.candidates[target];
        candidate.in_flight -= 1;
        candidate.latency_ewma = match candidate.latency_ewma {
            Duration::ZERO => took,
            before => before.mul_f64(1.0 - EWMA_WEIGHT) + took.mul_f64(EWMA_WEIGHT),
        };
        self.target_times[target].last_progress = now;
        self.dispatch(now)
    }

    pub(super) fn load_reported(&mut self, target: usize, load: f32) -> Vec<Action> {
        self.candidates[target].reported_load = load;
        Vec::new()
    }

    pub(super) fn probe_ended(&mut self, target: usize, alive: bool, now: Duration) -> Vec<Action> {
        self.candidates[target].suspect = !alive;
        self.target_times[target].last_progress = now;
        self.dispatch(now)
    }

    pub(super) fn target_joined(&mut self, target: usize, now: Duration) -> Vec<Action> {
        self.candidates[target].slot_share = self.candidates[0].slot_share;
        self.target_times[target].joined_at = Some(now);
        self.tick(now)
    }

    pub(super) fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for (at, candidate) in self.candidates.iter_mut().enumerate() {
            let target_times = &mut self.target_times[at];
            if let Some(joined_at) = target_times.joined_at {
                let age = (now - joined_at).as_secs_f64() / WARM_UP.as_secs_f64();
                candidate.warm_fraction = age.min(1.0) as f32;
            }
            let silence = MIN_SILENCE.max(candidate.latency_ewma * SILENCE_FACTOR);
            let silent = candidate.in_flight > 0 && now >= target_times.last_progress + silence;
            let due = target_times
                .last_probe
                .is_none_or(|last_probe| now >= last_probe + PROBE_INTERVAL);
            if (silent || candidate.suspect) && due {
                target_times.last_probe = Some(now);
                candidate.suspect = true;
                actions.push(Action::Probe { target: at });
            }
        }
        while let Some(&(id, _)) = self
            .queue
            .front()
            .filter(|(_, arrived)| now >= *arrived + DEADLINE)
        {
            self.queue.pop_front();
            actions.push(Action::Refuse { id });
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Sends queued requests as long as the policy picks a target.
    fn dispatch(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(id, _)) = self.queue.front() {
            let chosen = match &mut self.policy {
                Policy::LoadBalancer(load_balancer) => load_balancer.pick(&self.candidates),
                Policy::Baseline(baseline) => baseline.pick(&self.candidates),
            };
            let Some(chosen) = chosen else {
                break;
            };
            let target = chosen as usize - 1;
            self.queue.pop_front();
            if self.candidates[target].in_flight == 0 {
                self.target_times[target].last_progress = now;
            }
            self.candidates[target].in_flight += 1;
            actions.push(Action::Start { id, target });
        }
        actions
    }
}
