//! A choice among candidates, with one queue for all.

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

/// Weight of a new latency sample, as in the router.
const SAMPLE: f64 = 0.2;
/// Time without an answer after which a target is suspect, as in the router.
const SILENCE: Duration = Duration::from_millis(300);
/// Multiple of the usual latency that silence must reach as well.
const SILENCE_FACTOR: u32 = 8;
/// Time between two probes of a suspect target.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Requests that wait for each target at most.
const QUEUE: usize = 16;

/// The policy under test.
pub(super) enum Policy {
    /// The product's choice.
    Chooser(LoadBalancer),
    /// A baseline.
    Baseline(Baseline),
}

/// The sender.
pub(super) struct Plain {
    policy: Policy,
    candidates: Vec<Candidate>,
    seen: Vec<Seen>,
    queue: VecDeque<(u128, Duration)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    progress: Duration,
    probed: Option<Duration>,
    joined: Option<Duration>,
}

impl Plain {
    /// Creates a sender; the last target joins later if `late`.
    pub(super) fn new(policy: Policy, slots: u32, late: bool) -> Self {
        let candidate = |at: usize| Candidate {
            id: at as u64 + 1,
            in_flight: 0,
            slot_share: if late && at + 1 == TARGETS { 0 } else { slots },
            latency_ewma: Duration::ZERO,
            reported_load: 0.0,
            warm_fraction: 1.0,
            suspect: false,
        };
        Plain {
            policy,
            candidates: (0..TARGETS).map(candidate).collect(),
            seen: vec![Seen::default(); TARGETS],
            queue: VecDeque::new(),
        }
    }

    pub(super) fn arrive(&mut self, id: u128, now: Duration) -> Vec<Action> {
        if self.queue.len() >= QUEUE * TARGETS {
            return vec![Action::Refuse { id }];
        }
        self.queue.push_back((id, now));
        self.pump(now)
    }

    pub(super) fn ended(&mut self, target: usize, took: Duration, now: Duration) -> Vec<Action> {
        let candidate = &mut self.candidates[target];
        candidate.in_flight -= 1;
        candidate.latency_ewma = match candidate.latency_ewma {
            Duration::ZERO => took,
            before => before.mul_f64(1.0 - SAMPLE) + took.mul_f64(SAMPLE),
        };
        self.seen[target].progress = now;
        self.pump(now)
    }

    pub(super) fn report(&mut self, target: usize, load: f32) -> Vec<Action> {
        self.candidates[target].reported_load = load;
        Vec::new()
    }

    pub(super) fn probed(&mut self, target: usize, alive: bool, now: Duration) -> Vec<Action> {
        self.candidates[target].suspect = !alive;
        self.seen[target].progress = now;
        self.pump(now)
    }

    pub(super) fn join(&mut self, target: usize, now: Duration) -> Vec<Action> {
        self.candidates[target].slot_share = self.candidates[0].slot_share;
        self.seen[target].joined = Some(now);
        self.tick(now)
    }

    pub(super) fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for (at, candidate) in self.candidates.iter_mut().enumerate() {
            let seen = &mut self.seen[at];
            if let Some(joined) = seen.joined {
                let age = (now - joined).as_secs_f64() / WARM_UP.as_secs_f64();
                candidate.warm_fraction = age.min(1.0) as f32;
            }
            let silence = SILENCE.max(candidate.latency_ewma * SILENCE_FACTOR);
            let silent = candidate.in_flight > 0 && now >= seen.progress + silence;
            let due = seen.probed.is_none_or(|probed| now >= probed + PROBE_EVERY);
            if (silent || candidate.suspect) && due {
                seen.probed = Some(now);
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
        actions.extend(self.pump(now));
        actions
    }

    /// Sends waiting requests while the policy finds a target.
    fn pump(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(id, _)) = self.queue.front() {
            let chosen = match &mut self.policy {
                Policy::Chooser(chooser) => chooser.pick(&self.candidates),
                Policy::Baseline(baseline) => baseline.pick(&self.candidates),
            };
            let Some(chosen) = chosen else {
                break;
            };
            let target = chosen as usize - 1;
            self.queue.pop_front();
            if self.candidates[target].in_flight == 0 {
                self.seen[target].progress = now;
            }
            self.candidates[target].in_flight += 1;
            actions.push(Action::Start { id, target });
        }
        actions
    }
}
