//! Which target gets a request, and whether one can serve it in time.

use std::time::Duration;

use camphordale_fleet::{
    Domain,
    Share,
    TargetId, //
};
use rand::Rng;

use crate::targets::{
    Peer,
    Peers, //
};

/// Requests that may be at a target for each of its slots before it is full: as many as run, and
/// as many again that wait.
const DEPTH: f64 = 2.0;
/// Factor on the expected time at a target of another failure domain, whose bytes are dear.
const REMOTE_FACTOR: f64 = 1.3;
/// Relative spread of a random factor, so that VMs with the same view do not all pick the same.
const JITTER: f64 = 0.2;
/// How much a failing target is avoided: its expected time grows by this factor at full failure.
const FAILING_FACTOR: f64 = 8.0;
/// Part of a target's connections that all VMs together use.
const CONNECTION_PART: f64 = 0.8;
/// Expected times up to this part of the objective are admitted.
const OBJECTIVE_PART: f64 = 1.0;

/// A target for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The target.
    pub id: TargetId,
    /// Expected time until its answer.
    pub expected: Duration,
}

/// Why no target can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// No target of the service takes work.
    NoTarget,
    /// All targets that take work are full, until about this time from now.
    Full(Duration),
}

/// What a choice depends on besides the targets.
pub struct Situation<'a> {
    /// Failure domain of this VM.
    pub domain: &'a Domain,
    /// How many VMs share the targets.
    pub share: Share,
    /// Connections that one target takes from all VMs.
    pub connections: u32,
    /// Time within which an answer has its full value.
    pub objective: Duration,
    /// Time until the deadline.
    pub left: Duration,
    /// Targets that this request was sent to before.
    pub tried: &'a [TargetId],
    /// Now.
    pub now: Duration,
}

impl Situation<'_> {
    /// Expected time of one more request at a target in seconds.
    fn expected(&self, peer: &Peer) -> f64 {
        let slots = f64::from(peer.slots);
        let load = peer.load(self.now);
        let wait = ((load + 1.0 - slots) / slots).max(0.0);
        // Targets slow down as they fill.
        let busy = (load / slots).min(1.0);
        peer.mean() * (1.0 + 0.3 * busy * busy + wait)
    }

    /// Connections that this VM may have to a target.
    pub fn connections(&self) -> usize {
        let vms = f64::from(self.share.all.max(1));
        let own = f64::from(self.connections) * CONNECTION_PART / vms;
        (own as usize).max(1)
    }

    fn is_full(&self, peer: &Peer) -> bool {
        let places = f64::from(peer.slots) * DEPTH;
        peer.open() >= self.connections() || peer.load(self.now) >= places
    }

    /// Picks the target with the least expected time.
    pub fn pick<Random>(
        &self,
        peers: &Peers,
        service: &str,
        random: &mut Random,
    ) -> Result<Pick, Shortage>
    where
        Random: Rng,
    {
        let mut best: Option<(f64, f64, &TargetId)> = None;
        let mut soonest: Option<f64> = None;
        let mut fallback: Option<(f64, &TargetId)> = None;
        for (id, peer) in peers.of(service) {
            if !peer.takes || self.tried.contains(id) {
                continue;
            }
            let expected = self.expected(peer);
            if peer.is_paused(self.now) || peer.is_stuck(self.now) {
                let paused = peer.is_paused(self.now);
                if !paused && fallback.is_none_or(|(other, _)| expected < other) {
                    fallback = Some((expected, id));
                }
                continue;
            }
            soonest = Some(soonest.map_or(expected, |other: f64| other.min(expected)));
            if self.is_full(peer) {
                continue;
            }
            let distance = if peer.domain == *self.domain {
                1.0
            } else {
                REMOTE_FACTOR
            };
            let failing = 1.0 + FAILING_FACTOR * peer.failing();
            let jitter = 1.0 + JITTER * random.random::<f64>();
            let score = expected * distance * failing * jitter;
            if best.is_none_or(|(other, ..)| score < other) {
                best = Some((score, expected, id));
            }
        }
        let limit = self.objective.mul_f64(OBJECTIVE_PART).min(self.left);
        let pick = |expected: f64, id: &TargetId| Pick {
            id: id.clone(),
            expected: Duration::from_secs_f64(expected),
        };
        match (best, soonest, fallback) {
            (Some((_, expected, id)), ..) if expected <= limit.as_secs_f64() => {
                Ok(pick(expected, id))
            }
            (_, Some(soonest), _) => Err(Shortage::Full(Duration::from_secs_f64(soonest))),
            (_, None, Some((expected, id))) => Ok(pick(expected, id)),
            (_, None, None) => Err(Shortage::NoTarget),
        }
    }

    /// Whether the holder of a key can take a request now.
    pub fn admits(&self, peer: &Peer) -> Result<(), Shortage> {
        let expected = self.expected(peer);
        let limit = self.objective.mul_f64(OBJECTIVE_PART).min(self.left);
        if self.is_full(peer) || expected > limit.as_secs_f64() {
            return Err(Shortage::Full(Duration::from_secs_f64(expected)));
        }
        Ok(())
    }
}
