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

/// Requests that may be at a target for each of its slots, running or waiting, before it is full.
const DEPTH: f64 = 2.5;
/// Least number of requests that a VM may have at a target.
const LEAST_SHARE: f64 = 2.0;
/// A VM may go beyond its share of a target that reports less than this part of its places in
/// use; the rest covers what the other VMs send until the next report.
const BORROW_PART: f64 = 0.5;
/// A report of load up to this old tells whether a VM may go beyond its share.
const BORROW_AGE: Duration = Duration::from_millis(400);
/// Factor on the score of a target that this VM has not tried, so that it is tried soon.
const UNTRIED_FACTOR: f64 = 0.1;
/// Factor on the expected time at a target of another failure domain, whose bytes are dear.
const REMOTE_FACTOR: f64 = 1.3;
/// Factor on the expected time at a target of the own failure domain that is quick enough.
const LOCAL_FACTOR: f64 = 0.2;
/// Relative spread of a random factor, so that VMs with the same view do not all pick the same.
const JITTER: f64 = 0.2;
/// How much a failing target is avoided: its expected time grows by this factor at full failure.
const FAILING_FACTOR: f64 = 8.0;
/// Part of a target's connections that all VMs together use.
const CONNECTION_PART: f64 = 0.8;
/// Part of the time left within which an answer is expected, for a caller that came back.
const LEFT_PART: f64 = 0.8;
/// A request stays in its failure domain while a target there is expected to answer within this
/// part of the objective.
const LOCAL_PART: f64 = 0.5;

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
    /// Whether the caller waits for less than the route allows, because it has tried before.
    pub returned: bool,
    /// Targets that this request was sent to before.
    pub tried: &'a [TargetId],
    /// Now.
    pub now: Duration,
}

impl Situation<'_> {
    /// The longest expected time with which a request is admitted: beyond the objective, others
    /// would be late too. A caller that came back has waited already and gets what time is left.
    fn limit(&self) -> f64 {
        let limit = if self.returned {
            self.left.mul_f64(LEFT_PART)
        } else {
            self.objective.min(self.left)
        };
        limit.as_secs_f64()
    }

    /// Connections that this VM may have to a target.
    pub fn connections(&self) -> usize {
        let vms = f64::from(self.share.all.max(1));
        let own = f64::from(self.connections) * CONNECTION_PART / vms;
        (own as usize).max(1)
    }

    /// Whether a target should get no more requests. `vms` is how many VMs send to it: each keeps
    /// to its share of the places unless the target has just reported that most are free, because
    /// reports of the others' load are late.
    fn is_full(&self, peer: &Peer, vms: u32) -> bool {
        let places = f64::from(peer.slots) * DEPTH;
        let load = peer.load(self.now);
        if load >= places || peer.open() >= self.connections() {
            return true;
        }
        let share = (places / f64::from(vms.max(1))).ceil().max(LEAST_SHARE);
        let fresh = peer
            .report_age(self.now)
            .is_some_and(|age| age <= BORROW_AGE);
        let borrows = fresh && load < places * BORROW_PART;
        peer.open() >= share as usize && !borrows
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
            let expected = peer.expected(self.now);
            if peer.is_paused(self.now) || peer.is_stuck(self.now) {
                let paused = peer.is_paused(self.now);
                if !paused && fallback.is_none_or(|(other, _)| expected < other) {
                    fallback = Some((expected, id));
                }
                continue;
            }
            soonest = Some(soonest.map_or(expected, |other: f64| other.min(expected)));
            if self.is_full(peer, self.share.domain) {
                continue;
            }
            let near = expected <= self.objective.mul_f64(LOCAL_PART).as_secs_f64();
            let distance = match peer.domain == *self.domain {
                true if near => LOCAL_FACTOR,
                true => 1.0,
                false => REMOTE_FACTOR,
            };
            let failing = 1.0 + FAILING_FACTOR * peer.failing();
            let jitter = 1.0 + JITTER * random.random::<f64>();
            let fresh = if peer.is_untried() && peer.domain == *self.domain {
                UNTRIED_FACTOR
            } else {
                1.0
            };
            let score = expected * distance * failing * jitter * fresh;
            if best.is_none_or(|(other, ..)| score < other) {
                best = Some((score, expected, id));
            }
        }
        let limit = self.limit();
        let pick = |expected: f64, id: &TargetId| Pick {
            id: id.clone(),
            expected: Duration::from_secs_f64(expected),
        };
        match (best, soonest, fallback) {
            (Some((_, expected, id)), ..) if expected <= limit => Ok(pick(expected, id)),
            (_, Some(soonest), _) => Err(Shortage::Full(Duration::from_secs_f64(soonest))),
            (_, None, Some((expected, id))) => Ok(pick(expected, id)),
            (_, None, None) => Err(Shortage::NoTarget),
        }
    }

    /// Whether the holder of a key can take a request now.
    pub fn admits(&self, peer: &Peer) -> Result<(), Shortage> {
        let expected = peer.expected(self.now);
        if self.is_full(peer, self.share.all) || expected > self.limit() {
            return Err(Shortage::Full(Duration::from_secs_f64(expected)));
        }
        Ok(())
    }
}
