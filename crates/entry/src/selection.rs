//! Target selection and admission: which target gets a request, and whether it can respond in time.

use std::time::Duration;

use camphordale_fleet::{
    Domain,
    EntryCounts,
    Evacuations,
    TargetId,
    service_demand::Bodies, //
};
use rand::Rng;

use crate::{
    admission::{
        Admission,
        AdmissionClass,
        AdmissionShares,
        Demand,
        LoadEstimate,
        Pace, //
    },
    domain_overflow::{
        DepartureDraw,
        OverflowPlan, //
    },
    limits::LimitSource,
    targets::{
        TargetTracker,
        TrackedTarget, //
    },
};

/// Requests, running or queued, per slot of a target at which it counts as full.
const MAX_REQUESTS_PER_SLOT: f64 = 2.5;
/// Minimum number of requests that a VM may have in flight at a target.
const MIN_SHARE: f64 = 2.0;
/// A VM may exceed its share of a target that reports less than this fraction of its capacity in
/// use. The rest covers what the other VMs send before the next report.
const BORROW_FRACTION: f64 = 0.5;
/// Maximum age of the load report that allows a VM to exceed its share.
const BORROW_REPORT_AGE: Duration = Duration::from_millis(400);
/// Score factor for a target that this VM has not tried, so that it is tried soon.
const UNTRIED_FACTOR: f64 = 0.1;
/// Score factor for a target in another failure domain, because traffic between domains is
/// expensive.
const REMOTE_FACTOR: f64 = 1.3;
/// Score factor for a target in the same failure domain that is fast enough.
const LOCAL_FACTOR: f64 = 0.2;
/// Relative spread of a random factor, so that VMs with the same view do not all select the same
/// target.
const JITTER: f64 = 0.2;
/// Score factor added at a failure rate of 1.
const FAILING_FACTOR: f64 = 8.0;
/// Fraction of a target's connections that all VMs together use.
const CONNECTION_FRACTION: f64 = 0.8;
/// Fraction of the remaining time within which the response to a retried request must be expected.
const REMAINING_FRACTION: f64 = 0.8;
/// A request stays in its failure domain while a target there is expected to respond within this
/// fraction of the latency objective.
const LOCAL_LATENCY_FRACTION: f64 = 0.5;

/// Maximum age of a load that shows a free slot to a request that leaves its domain although the plan
/// keeps it there.
const FREE_SLOT_REPORT_AGE: Duration = Duration::from_millis(1000);
/// Difference in score between targets that are tried one after the other.
const RANK_STEP: f64 = 1e6;
/// Mean number of targets that are compared under a plan, drawn for each request. All VMs know the
/// same loads, which are up to half a second old, and would all choose the same target. In a
/// simulation with a utilization of 0.91, 7 % of the responses were late if all targets were
/// compared, and 1 % with three of them.
const COMPARED_TARGETS: f64 = 3.0;

/// Why a request is sent to a target in another failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DepartureReason {
    /// It is among the fraction of requests that leaves.
    Planned,
    /// No target of its own domain can respond in time, and one elsewhere has a free slot.
    NoneInTime,
    /// There is no recent summary of the load, so that each VM decides by itself.
    Unplanned,
}

/// The target selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// The target.
    pub id: TargetId,
    /// Expected latency of its response.
    pub expected: Duration,
    /// The target that would have been selected if this VM had a right to send to it.
    pub denied: Option<TargetId>,
    /// Why the request leaves its failure domain, if it does.
    pub departure: Option<DepartureReason>,
    /// Why it was admitted, if the routing is contended.
    pub class: Option<AdmissionClass>,
}

/// Why no target can be selected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SelectionError {
    /// No target of the service accepts requests.
    NoTarget,
    /// All targets that accept requests are in evacuated failure domains.
    Evacuated,
    /// All targets that accept requests are full, for about this time.
    Full(Duration),
    /// Admission control admits the request at no target. `drain` is the time in which the shortest
    /// excess queue drains, `wait` how long the request may wait in this VM, if that can help.
    Overloaded {
        /// Time in which the excess queue drains.
        drain: Duration,
        /// Time for which the request may wait.
        wait: Option<Duration>,
    },
    /// All targets that are not full want no requests from this VM for at least this time.
    Paused(Duration),
    /// This VM has no right to send to any target that is not full. The best one would be this.
    Limited(TargetId),
}

/// Inputs of admission control, for contended routings.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionContext<'a> {
    /// The request.
    pub demand: Demand,
    /// What this VM admitted and refused of the service, if there was any request.
    pub shares: Option<&'a AdmissionShares>,
}

/// Whether a target has a place for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    /// It has one.
    Free(Option<AdmissionClass>),
    /// It has none. Where admission control decides, the time in which the excess queue drains, and
    /// how long the request may wait.
    Taken(Option<(Duration, Option<Duration>)>),
}

/// Inputs of the selection besides the targets.
pub struct SelectionContext<'a> {
    /// Failure domain of this VM.
    pub domain: &'a Domain,
    /// Number of VMs that share the targets.
    pub entries: EntryCounts,
    /// Maximum number of connections that one target accepts from all VMs.
    pub max_connections: u32,
    /// Latency up to which a response has its full value.
    pub latency_objective: Duration,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Whether the caller is retrying, which shows in a shorter timeout than the route's.
    pub is_retry: bool,
    /// Targets that this request was already sent to.
    pub tried_targets: &'a [TargetId],
    /// Failure domains to whose targets nothing is sent.
    pub evacuations: &'a Evacuations,
    /// What decides on requests to targets with a limit.
    pub limit_source: LimitSource,
    /// Which requests for the service leave their failure domain, if this is known by a recent
    /// summary of the load, and the random choice of this request.
    pub overflow: Option<(&'a OverflowPlan, DepartureDraw)>,
    /// Length of the request's body by its route.
    pub bodies: Bodies,
    /// Inputs of admission control, if the routing is contended.
    pub admission: Option<AdmissionContext<'a>>,
    /// Current time.
    pub now: Duration,
}

impl SelectionContext<'_> {
    /// Longest expected latency with which a request is admitted. Beyond the latency objective,
    /// admitting it would make other requests late too. A caller that retries has already waited
    /// and may use its remaining time. Admission control has its own rule for the objective.
    fn limit(&self) -> f64 {
        let limit = if self.is_retry || self.admission.is_some() {
            self.remaining.mul_f64(REMAINING_FRACTION)
        } else {
            self.latency_objective.min(self.remaining)
        };
        limit.as_secs_f64()
    }

    /// Maximum number of connections from this VM to a target.
    pub fn connection_limit(&self) -> usize {
        let vms = f64::from(self.entries.all.max(1));
        let own = f64::from(self.max_connections) * CONNECTION_FRACTION / vms;
        (own as usize).max(1)
    }

    /// Whether a target is full. `vms` VMs send to it. Load reports of the other VMs' requests
    /// arrive late, so each VM keeps to its share of the capacity unless the target has just
    /// reported that most of it is free.
    fn is_full(&self, tracked: &TrackedTarget, vms: u32) -> bool {
        let places = f64::from(tracked.slots) * MAX_REQUESTS_PER_SLOT;
        let load = tracked.load(self.now);
        let is_busy = tracked.in_flight() >= self.connection_limit();
        if load >= places || is_busy || tracked.is_resuming(self.now) {
            return true;
        }
        let share = (places / f64::from(vms.max(1))).ceil().max(MIN_SHARE);
        let fresh = tracked
            .report_age(self.now)
            .is_some_and(|age| age <= BORROW_REPORT_AGE);
        let borrows = fresh && load < places * BORROW_FRACTION;
        tracked.in_flight() >= share as usize && !borrows
    }

    /// Order in which targets are tried under a plan, if the request goes to `destination`: targets
    /// there, then those of its own domain, then those with a free slot.
    fn rank(&self, tracked: &TrackedTarget, destination: &Domain) -> Option<f64> {
        if tracked.domain == *destination {
            return Some(0.0);
        }
        if tracked.domain == *self.domain {
            return Some(1.0);
        }
        let fresh = tracked
            .report_age(self.now)
            .is_some_and(|age| age <= FREE_SLOT_REPORT_AGE);
        let has_free_slot = fresh && tracked.load(self.now) + 1.0 <= f64::from(tracked.slots);
        has_free_slot.then_some(2.0)
    }

    /// What admission control knows of a target. `vms` VMs send to it.
    pub(crate) fn estimate(
        &self,
        id: &TargetId,
        tracked: &TrackedTarget,
        vms: u32,
    ) -> LoadEstimate {
        let admission = self.admission.as_ref();
        let shares = admission.and_then(|admission| admission.shares);
        let estimate = LoadEstimate {
            load: tracked.load(self.now),
            slots: tracked.slots,
            expected_latency: tracked.expected_latency(self.now),
            in_flight: tracked.in_flight(),
            pace: shares.map_or(Pace::UNUSED, |shares| shares.pace(id)),
            is_full: false,
        };
        match admission {
            Some(admission) => admission.demand.paced(estimate, vms, self.now),
            None => estimate,
        }
    }

    /// Whether a target has a place for the request. `vms` VMs send to it.
    fn place(&self, id: &TargetId, tracked: &TrackedTarget, vms: u32) -> Place {
        let is_full = self.is_full(tracked, vms);
        let Some(admission) = &self.admission else {
            return match is_full {
                true => Place::Taken(None),
                false => Place::Free(None),
            };
        };
        let target = LoadEstimate {
            is_full,
            ..self.estimate(id, tracked, vms)
        };
        let none = AdmissionShares::default();
        let shares = admission.shares.unwrap_or(&none);
        match admission.demand.decide(&target, shares) {
            Admission::Admit(class) => Place::Free(Some(class)),
            Admission::Wait(time) => Place::Taken(Some((time, Some(time)))),
            Admission::Refuse(drain) => Place::Taken(Some((drain, None))),
        }
    }

    /// Time in which the excess queue of a target drains, where admission control decides.
    pub(crate) fn drain_time(&self, id: &TargetId, tracked: &TrackedTarget) -> Duration {
        let target = self.estimate(id, tracked, self.entries.all);
        let admission = self.admission.as_ref();
        admission.map_or(Duration::ZERO, |admission| admission.demand.drain(&target))
    }

    /// Selects the target with the lowest score, which is based on the expected latency.
    pub fn pick<Random>(
        &self,
        targets: &TargetTracker,
        service: &str,
        random: &mut Random,
    ) -> Result<Selection, SelectionError>
    where
        Random: Rng,
    {
        let mut best: Option<(f64, f64, &TargetId)> = None;
        let mut denied: Option<(f64, f64, &TargetId)> = None;
        let mut guaranteed: Option<(f64, f64, &TargetId)> = None;
        let mut soonest: Option<f64> = None;
        let mut overload: Option<(Duration, Option<Duration>)> = None;
        let mut pause: Option<Duration> = None;
        let mut fallback: Option<(f64, &TargetId)> = None;
        let mut none = SelectionError::NoTarget;
        // The next attempt of a request stays: the other domain may be out of reach.
        let planned = self.overflow.map(|(plan, draw)| {
            let destination = plan.destination(self.domain, self.bodies, draw);
            destination.filter(|_| self.tried_targets.is_empty())
        });
        let destination = planned.map(|domain| domain.unwrap_or(self.domain));
        let sampled = destination.map_or(1.0, |destination| {
            let there = targets.of_service(service);
            let there = there.filter(|(_, t)| t.accepts_requests && t.domain == *destination);
            COMPARED_TARGETS / (there.count() as f64).max(1.0)
        });
        for (id, tracked) in targets.of_service(service) {
            let leaves = tracked.leaving_since().is_some();
            if !tracked.accepts_requests || leaves || self.tried_targets.contains(id) {
                continue;
            }
            if self.evacuations.contains(&tracked.domain) {
                none = SelectionError::Evacuated;
                continue;
            }
            if let Some(rest) = tracked.paused_for(self.now) {
                pause = Some(pause.map_or(rest, |other: Duration| other.min(rest)));
                continue;
            }
            let expected =
                tracked.expected_latency(self.now) * tracked.momentary_slowdown(self.now);
            if tracked.is_backing_off(self.now) || tracked.is_stalled(self.now) {
                let allowed = tracked.limit.allows(self.limit_source, self.now);
                let usable = allowed && !tracked.is_backing_off(self.now);
                if usable && fallback.is_none_or(|(other, _)| expected < other) {
                    fallback = Some((expected, id));
                }
                continue;
            }
            soonest = Some(soonest.map_or(expected, |other: f64| other.min(expected)));
            let rank = match destination {
                None => 0.0,
                // Targets that cannot respond in time leave the choice to those of the next rank.
                Some(_) if expected > self.limit() => continue,
                Some(destination) => match self.rank(tracked, destination) {
                    Some(rank) if random.random::<f64>() < sampled => rank * RANK_STEP,
                    // Compared if no target was drawn.
                    Some(rank) => (rank + 0.5) * RANK_STEP,
                    None => continue,
                },
            };
            let class = match self.place(id, tracked, self.entries.domain) {
                Place::Free(class) => class,
                Place::Taken(reason) => {
                    // A wait of none is less than any.
                    let (drain, wait) = overload.or(reason).unwrap_or_default();
                    let (other_drain, other_wait) = reason.unwrap_or_default();
                    overload = reason.map(|_| (drain.min(other_drain), wait.max(other_wait)));
                    continue;
                }
            };
            let near = expected
                <= self
                    .latency_objective
                    .mul_f64(LOCAL_LATENCY_FRACTION)
                    .as_secs_f64();
            let distance = match tracked.domain == *self.domain {
                _ if destination.is_some() => 1.0,
                true if near => LOCAL_FACTOR,
                true => 1.0,
                false => REMOTE_FACTOR,
            };
            let failure_penalty = 1.0 + FAILING_FACTOR * tracked.failure_rate();
            let jitter = 1.0 + JITTER * random.random::<f64>();
            let fresh = if tracked.is_untried() && tracked.domain == *self.domain {
                UNTRIED_FACTOR
            } else {
                1.0
            };
            let score = rank + expected * distance * failure_penalty * jitter * fresh;
            let allowed = tracked.limit.allows(self.limit_source, self.now);
            let found = match class {
                Some(AdmissionClass::Guaranteed) if allowed => &mut guaranteed,
                _ if allowed => &mut best,
                _ => &mut denied,
            };
            if found.is_none_or(|(other, ..)| score < other) {
                *found = Some((score, expected, id));
            }
        }
        let limit = self.limit();
        let is_guaranteed = best.is_none() && guaranteed.is_some();
        let best = best.or(guaranteed);
        let denied = denied.filter(|(_, expected, _)| *expected <= limit);
        let better = denied.filter(|(score, ..)| best.is_none_or(|(other, ..)| *score < other));
        let pick = |expected: f64, id: &TargetId| Selection {
            id: id.clone(),
            expected: Duration::from_secs_f64(expected),
            denied: better.map(|(.., id)| id.clone()),
            departure: self.departure(targets.get(id), planned),
            class: self.admission.as_ref().map(|admission| {
                match (is_guaranteed, admission.demand.is_in_time(expected)) {
                    (true, _) => AdmissionClass::Guaranteed,
                    (false, true) => AdmissionClass::InTime,
                    (false, false) => AdmissionClass::Late,
                }
            }),
        };
        match (best, denied, soonest, fallback) {
            (Some((_, expected, id)), ..) if expected <= limit => Ok(pick(expected, id)),
            (_, Some((.., id)), ..) => Err(SelectionError::Limited(id.clone())),
            (_, _, Some(_), _) if overload.is_some() => {
                let (drain, wait) = overload.unwrap_or_default();
                Err(SelectionError::Overloaded { drain, wait })
            }
            (_, _, Some(soonest), _) => Err(SelectionError::Full(Duration::from_secs_f64(soonest))),
            (_, _, None, Some((expected, id))) => Ok(pick(expected, id)),
            (_, _, None, None) => Err(pause.map_or(none, SelectionError::Paused)),
        }
    }

    /// Why a request that goes to this target leaves its domain, if it does. `planned` is the domain
    /// for which it is drawn to leave, if there is a plan.
    fn departure(
        &self,
        target: Option<&TrackedTarget>,
        planned: Option<Option<&Domain>>,
    ) -> Option<DepartureReason> {
        let target = target.filter(|target| target.domain != *self.domain)?;
        Some(match planned {
            None => DepartureReason::Unplanned,
            Some(Some(domain)) if *domain == target.domain => DepartureReason::Planned,
            Some(_) => DepartureReason::NoneInTime,
        })
    }

    /// Checks whether the holder of a key can accept a request now. Returns why it was admitted, if
    /// the routing is contended.
    ///
    /// # Errors
    ///
    /// Why it cannot.
    pub fn admits(
        &self,
        id: &TargetId,
        tracked: &TrackedTarget,
    ) -> Result<Option<AdmissionClass>, SelectionError> {
        if let Some(rest) = tracked.paused_for(self.now) {
            return Err(SelectionError::Paused(rest));
        }
        let expected = tracked.expected_latency(self.now);
        let class = match self.place(id, tracked, self.entries.all) {
            Place::Free(class) if expected <= self.limit() => class,
            Place::Taken(Some((drain, wait))) => {
                return Err(SelectionError::Overloaded { drain, wait });
            }
            Place::Free(_) | Place::Taken(None) => {
                return Err(SelectionError::Full(Duration::from_secs_f64(expected)));
            }
        };
        if !tracked.limit.allows(self.limit_source, self.now) {
            return Err(SelectionError::Limited(id.clone()));
        }
        Ok(class)
    }
}
