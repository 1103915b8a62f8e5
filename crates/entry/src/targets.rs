//! Latency, load and failures of each target, as seen by this VM.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration,
};

use camphordale_fleet::{
    Address,
    Domain,
    Incarnation,
    ServiceName,
    Target,
    TargetId,
    TargetLatency,
    View,
    load_summary::{
        LoadAge,
        TargetLoad,
        TargetTag,
        target_tag, //
    }, //
};

use crate::{
    limits::TargetLimit,
    machine_speed::{
        ServiceLatency,
        Slowdown, //
    },
};

/// Assumed latency of a target that has not responded yet.
const DEFAULT_LATENCY: Duration = Duration::from_millis(150);
/// Weight of one response in a target's mean latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of one attempt in a target's failure rate.
const FAILURE_WEIGHT: f64 = 0.08;
/// Relative slowdown of a request at a target whose slots are all in use.
const BUSY_SLOWDOWN: f64 = 0.3;
/// Time constant with which a load report decays.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(1500);
/// Number of responses that a summary for a new leader counts as.
const SUMMARY_RESPONSES: u32 = 10;
/// First back-off after a failed connection; doubled with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest back-off.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Time for which a target counts as unreachable after a connection failed. Then requests that leave
/// their failure domain try it again; none would find out otherwise that it can be reached again.
const UNREACHABLE_TIME: Duration = Duration::from_secs(3);
/// Time after a pause in which the requests in flight rise to the usual number.
const RESUME_TIME: Duration = Duration::from_secs(1);
/// A target counts as stalled when its oldest request has waited for this multiple of its mean
/// latency.
const STALL_FACTOR: f64 = 6.0;
/// Minimum wait before a target counts as stalled.
const MIN_STALL_TIME: Duration = Duration::from_millis(1000);

/// Time after a report in which the momentary slowdown of a machine counts. Neighbours of a target
/// slow it down for about this time at once.
const SLOWDOWN_FADE_TIME: Duration = Duration::from_millis(400);
/// Weight of what is known beforehand about a target's latency, as a number of its responses. The
/// work per request is log-normal with a sigma of about 0.8, and the logarithms of the speeds of
/// targets differ by about 0.4; (0.8 / 0.4)^2 responses tell as much as the usual latency.
const PRIOR_RESPONSES: u32 = 4;
/// Part of the expected wait in a target's queue that is taken off a latency if the routing is
/// contended. The queue is known at the end of a request only; where it grows, it was shorter at the
/// start, and with the whole wait taken off a saturated target would look fast. What is left makes
/// the target look slower than it is, so that it loses keys, which shortens its queue.
const EXPLAINED_WAIT_FRACTION: f64 = 0.5;
/// Least weight of one response in a target's mean latency if the routing is contended. Latencies are
/// then free of the momentary slowdown, and what is left of their spread is mostly chance.
const LEARNED_LATENCY_WEIGHT: f64 = 0.04;

/// Load reported by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Momentary slowdown of the target's machine.
    pub slowdown: Slowdown,
}

impl LoadReport {
    /// Running and queued requests. Their sum may be more than either type can hold.
    fn total(self) -> f64 {
        f64::from(self.running) + f64::from(self.queued)
    }
}

/// Statistics of a target at the time of a decision, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetStats {
    /// Attempts of this VM in flight.
    pub in_flight: usize,
    /// Estimated requests at the target from all VMs.
    pub load: f64,
    /// Expected latency of one more request.
    pub expected_latency: Duration,
    /// Age of the last load report, if any.
    pub report_age: Option<Duration>,
    /// Fraction of recent attempts that failed.
    pub failure_rate: f64,
    /// Whether no requests are sent because the target is unreachable or stalled.
    pub unresponsive: bool,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    sent_at: Duration,
    /// Expected slowdown due to the target's load when the request was sent.
    slowdown: f64,
}

/// One incarnation of a target with the statistics of this VM.
#[derive(Clone, Debug)]
pub struct TrackedTarget {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Service.
    pub service: ServiceName,
    /// Address.
    pub address: Address,
    /// Failure domain.
    pub domain: Domain,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Whether new requests may be sent there.
    pub accepts_requests: bool,
    /// Mean latency in seconds, without the slowdown explained by the target's load and by its
    /// machine.
    mean_latency: f64,
    /// Number of responses in the mean latency.
    responses: u32,
    /// Assumed latency in seconds before the first response.
    assumed_latency: f64,
    /// Mean latency in seconds that the control leader knows from the responses to all VMs.
    told_latency: Option<f64>,
    /// Momentary slowdown of the target's machine in the last load report.
    momentary_slowdown: Slowdown,
    /// What the target states for its machine when no neighbour slows it down, once it has stated
    /// anything.
    usual_slowdown: Option<f64>,
    /// Fraction of recent attempts that failed.
    failure_rate: f64,
    /// Attempts of this VM in flight.
    in_flight: BTreeMap<u64, InFlightAttempt>,
    /// Number of responses since the last report, and the sum of their latencies in milliseconds.
    unreported: (u32, f64),
    other_load: f64,
    reported_at: Duration,
    /// Name of the incarnation in load summaries.
    tag: TargetTag,
    /// Load that the target stated to this VM since the last report to the leader, and when.
    unshared_load: Option<(u16, Duration)>,
    backoff: Duration,
    backoff_until: Duration,
    responded_at: Duration,
    /// Limit that the target sets on the requests of all VMs.
    pub limit: TargetLimit,
    /// When the target first stated to this VM that it leaves.
    leaving_since: Option<Duration>,
    /// Until when the target wants no requests from this VM.
    paused_until: Duration,
}

impl TrackedTarget {
    fn new(id: &str, target: &Target) -> TrackedTarget {
        TrackedTarget {
            incarnation: target.incarnation,
            service: target.service.clone(),
            address: target.address,
            domain: target.domain.clone(),
            slots: target.slots.max(1),
            accepts_requests: target.state.accepts_requests(),
            mean_latency: 0.0,
            responses: 0,
            assumed_latency: DEFAULT_LATENCY.as_secs_f64(),
            told_latency: None,
            momentary_slowdown: Slowdown::default(),
            usual_slowdown: None,
            failure_rate: 0.0,
            in_flight: BTreeMap::new(),
            unreported: (0, 0.0),
            other_load: 0.0,
            reported_at: Duration::ZERO,
            tag: target_tag(id, target.incarnation),
            unshared_load: None,
            backoff: Duration::ZERO,
            backoff_until: Duration::ZERO,
            responded_at: Duration::ZERO,
            limit: TargetLimit::default(),
            leaving_since: None,
            paused_until: Duration::ZERO,
        }
    }

    /// Whether the record describes this incarnation, at the same place.
    fn is_of(&self, target: &Target) -> bool {
        self.incarnation == target.incarnation
            && self.address == target.address
            && self.service == target.service
    }

    /// Number of attempts of this VM in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// When the target first stated to this VM that it leaves.
    pub fn leaving_since(&self) -> Option<Duration> {
        self.leaving_since
    }

    /// Records that the target states that it leaves. It holds for this incarnation, whatever the
    /// registry says. Returns whether it is news.
    pub fn record_leaving(&mut self, now: Duration) -> bool {
        let is_new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records until when the target wants no requests from this VM.
    pub fn record_pause(&mut self, until: Duration) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Time for which the target still wants no requests from this VM.
    pub fn paused_for(&self, now: Duration) -> Option<Duration> {
        let rest = self.paused_until.saturating_sub(now);
        (!rest.is_zero()).then_some(rest)
    }

    /// Requests that may be in flight after a pause. The number rises from one to the slots of the
    /// target.
    fn resume_limit(&self, now: Duration) -> Option<usize> {
        if self.paused_until.is_zero() {
            return None;
        }
        let since = now.saturating_sub(self.paused_until);
        let part = since.as_secs_f64() / RESUME_TIME.as_secs_f64();
        (part < 1.0).then(|| 1 + (f64::from(self.slots) * part) as usize)
    }

    /// Whether a pause has just ended, and no further request may be sent yet.
    pub fn is_resuming(&self, now: Duration) -> bool {
        self.resume_limit(now)
            .is_some_and(|most| self.in_flight.len() >= most)
    }

    /// When an attempt in flight was sent.
    pub fn sent_at(&self, attempt: u64) -> Option<Duration> {
        self.in_flight.get(&attempt).map(|started| started.sent_at)
    }

    /// Whether the target has neither responded nor been sent a request yet.
    pub fn is_untried(&self) -> bool {
        self.responded_at.is_zero() && self.in_flight.is_empty()
    }

    /// Mean latency of a request in seconds.
    pub fn mean_latency(&self) -> f64 {
        match self.told_latency {
            Some(told) => told,
            None if self.mean_latency == 0.0 => self.assumed_latency,
            None => self.mean_latency,
        }
    }

    /// Fraction of recent attempts that failed.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Estimated requests at the target: those of this VM, and those of the others by the last load
    /// report, which decays.
    pub fn load(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let fade = (-age / REPORT_DECAY_TIME.as_secs_f64()).exp();
        self.in_flight.len() as f64 + self.other_load * fade
    }

    /// Whether the target is stalled: its oldest request has waited far longer than usual and no
    /// response has arrived in the meantime.
    pub fn is_stalled(&self, now: Duration) -> bool {
        let Some(oldest) = self.in_flight.values().map(|started| started.sent_at).min() else {
            return false;
        };
        let limit = Duration::from_secs_f64(self.mean_latency() * STALL_FACTOR).max(MIN_STALL_TIME);
        now.saturating_sub(oldest.max(self.responded_at)) > limit
    }

    /// Whether the target is backing off. After the back-off, one request probes it.
    pub fn is_backing_off(&self, now: Duration) -> bool {
        now < self.backoff_until || (!self.backoff.is_zero() && !self.in_flight.is_empty())
    }

    /// Whether the last connection to the target failed, not long ago.
    fn was_unreachable(&self, now: Duration) -> bool {
        let failed_at = self.backoff_until.saturating_sub(self.backoff);
        !self.backoff.is_zero() && now.saturating_sub(failed_at) <= UNREACHABLE_TIME
    }

    /// Factor by which one more request takes longer than at an idle target.
    pub fn slowdown(&self, now: Duration) -> f64 {
        self.slowdown_at(self.load(now))
    }

    fn slowdown_at(&self, load: f64) -> f64 {
        self.slowdown_with(load, 1.0)
    }

    /// The slowdown with this part of the wait in the queue.
    fn slowdown_with(&self, load: f64, wait_fraction: f64) -> f64 {
        let slots = f64::from(self.slots);
        let wait = ((load + 1.0 - slots) / slots).max(0.0);
        let busy = (load / slots).min(1.0);
        1.0 + BUSY_SLOWDOWN * busy * busy + wait * wait_fraction
    }

    /// Factor by which neighbours of the target slow down the next request. A report loses its weight
    /// within 400 ms.
    pub fn momentary_slowdown(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let weight = (1.0 - age / SLOWDOWN_FADE_TIME.as_secs_f64()).max(0.0);
        let usual = self.usual_slowdown.unwrap_or(1.0);
        1.0 + (self.momentary_slowdown.factor() / usual - 1.0) * weight
    }

    /// Records the latency of a response in seconds. `weight` is its weight in the mean.
    fn record_latency(&mut self, took: f64, prior: f64, weight: f64) {
        self.mean_latency = prior + (took - prior) * weight;
        self.responses = self.responses.saturating_add(1);
        self.unreported.0 += 1;
        self.unreported.1 += took * 1000.0;
    }

    /// Expected latency of one more request in seconds.
    pub fn expected_latency(&self, now: Duration) -> f64 {
        self.mean_latency() * self.slowdown(now)
    }

    /// Age of the last load report, if any.
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        (!self.reported_at.is_zero()).then(|| now.saturating_sub(self.reported_at))
    }

    /// Current statistics of the target.
    pub fn stats(&self, now: Duration) -> TargetStats {
        TargetStats {
            in_flight: self.in_flight.len(),
            load: self.load(now),
            expected_latency: Duration::from_secs_f64(self.expected_latency(now)),
            report_age: self.report_age(now),
            failure_rate: self.failure_rate,
            unresponsive: self.is_backing_off(now) || self.is_stalled(now),
        }
    }

    /// Records that the target sent a response.
    fn response_received(&mut self, report: Option<LoadReport>, now: Duration) {
        self.responded_at = now;
        self.limit.reached();
        self.backoff = Duration::ZERO;
        self.backoff_until = Duration::ZERO;
        if let Some(report) = report {
            let total = report.total();
            self.other_load = (total - self.in_flight.len() as f64).max(0.0);
            self.reported_at = now;
            let requests = u16::try_from(report.running.saturating_add(report.queued));
            self.unshared_load = Some((requests.unwrap_or(u16::MAX), now));
            self.slots = report.slots.max(1);
            self.record_slowdown(report.slowdown);
        }
    }

    fn record_slowdown(&mut self, stated: Slowdown) {
        self.momentary_slowdown = stated;
        self.usual_slowdown = Some(stated.usual(self.usual_slowdown));
    }

    /// Name of the incarnation in load summaries.
    pub fn tag(&self) -> TargetTag {
        self.tag
    }

    /// Slots that requests may use, if each keeps one for `work`. Few requests per second use few
    /// slots of a target with a limit.
    pub fn usable_slots(&self, work: Duration) -> f64 {
        if !self.accepts_requests || self.leaving_since.is_some() {
            return 0.0;
        }
        let slots = f64::from(self.slots);
        let limit = self.limit.limit().map(f64::from);
        limit.map_or(slots, |rate| slots.min(rate * work.as_secs_f64()))
    }

    /// Records a load that the target stated to another VM at `seen_at`. Of this VM's attempts, those
    /// sent before are part of it.
    pub fn record_shared_load(&mut self, requests: u16, seen_at: Duration) {
        if seen_at <= self.reported_at {
            return;
        }
        let attempts = self.in_flight.values();
        let own = attempts.filter(|attempt| attempt.sent_at <= seen_at);
        self.other_load = (f64::from(requests) - own.count() as f64).max(0.0);
        self.reported_at = seen_at;
    }

    fn back_off(&mut self, now: Duration) {
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff_until = now + self.backoff;
    }
}

/// All registered targets by id.
///
/// The indexes change with the target that changes, so that an update of one target costs the same
/// in a fleet of any size.
#[derive(Debug, Default)]
pub struct TargetTracker {
    by_id: HashMap<TargetId, TrackedTarget>,
    /// Ids in order.
    by_service: HashMap<ServiceName, Vec<TargetId>>,
    by_address: HashMap<Address, TargetId>,
    /// Latencies of all targets of a service. Only kept if the routing is contended.
    service_latencies: HashMap<ServiceName, ServiceLatency>,
    is_contended: bool,
}

impl TargetTracker {
    /// Sets whether the routing is contended. If it is, the latency of a target is learned from its
    /// first responses, starting from that of the service.
    pub fn set_contended(&mut self, is_contended: bool) {
        self.is_contended = is_contended;
        if !is_contended {
            self.service_latencies.clear();
            for tracked in self.by_id.values_mut() {
                tracked.assumed_latency = DEFAULT_LATENCY.as_secs_f64();
                tracked.told_latency = None;
            }
        }
    }

    /// Adopts the target registry. Statistics of known incarnations are kept.
    pub fn sync(&mut self, view: &View) {
        let is_gone = |id: &&TargetId| !view.targets.contains_key(*id);
        let gone: Vec<TargetId> = self.by_id.keys().filter(is_gone).cloned().collect();
        for id in gone {
            self.remove(&id);
        }
        for (id, target) in &view.targets {
            self.update(id, target);
        }
    }

    /// Adopts the registry record of one target. As in the registry, another target that was at its
    /// address has ended.
    pub fn update(&mut self, id: &TargetId, target: &Target) {
        if let Some(other) = self.by_address.get(&target.address).filter(|o| *o != id) {
            let other = other.clone();
            self.remove(&other);
        }
        match self.by_id.get_mut(id) {
            Some(tracked) if tracked.is_of(target) => {
                tracked.slots = target.slots.max(1);
                tracked.accepts_requests = target.state.accepts_requests();
            }
            Some(tracked) if tracked.incarnation == target.incarnation => {
                let moved = TrackedTarget {
                    service: target.service.clone(),
                    address: target.address,
                    slots: target.slots.max(1),
                    accepts_requests: target.state.accepts_requests(),
                    ..tracked.clone()
                };
                self.replace(id, moved);
            }
            Some(_) | None => self.replace(id, TrackedTarget::new(id, target)),
        }
    }

    fn replace(&mut self, id: &TargetId, tracked: TrackedTarget) {
        self.remove(id);
        self.by_address.insert(tracked.address, id.clone());
        let ids = match self.by_service.get_mut(&tracked.service) {
            Some(ids) => ids,
            None => self.by_service.entry(tracked.service.clone()).or_default(),
        };
        if let Err(at) = ids.binary_search(id) {
            ids.insert(at, id.clone());
        }
        self.by_id.insert(id.clone(), tracked);
    }

    /// Forgets a target.
    pub fn remove(&mut self, id: &str) {
        let Some(tracked) = self.by_id.remove(id) else {
            return;
        };
        self.by_address.remove(&tracked.address);
        if let Some(ids) = self.by_service.get_mut(&tracked.service) {
            if let Ok(at) = ids.binary_search_by(|other| (**other).cmp(id)) {
                ids.remove(at);
            }
            if ids.is_empty() {
                self.by_service.remove(&tracked.service);
            }
        }
    }

    /// The target with this id.
    pub fn get(&self, id: &str) -> Option<&TrackedTarget> {
        self.by_id.get(id)
    }

    /// Targets of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (&'a TargetId, &'a TrackedTarget)> {
        let ids = self.by_service.get(service);
        let ids = ids.into_iter().flatten();
        ids.filter_map(|id| self.by_id.get(id).map(|tracked| (id, tracked)))
    }

    /// Makes the next report summarize the latency of every target, for a new leader that has no
    /// reports yet.
    pub fn requeue_latencies(&mut self) {
        for tracked in self
            .by_id
            .values_mut()
            .filter(|tracked| tracked.mean_latency > 0.0)
        {
            let responses = match self.is_contended {
                true => tracked.responses.min(SUMMARY_RESPONSES),
                false => SUMMARY_RESPONSES,
            };
            let total = tracked.mean_latency * 1000.0 * f64::from(responses);
            tracked.unreported = (responses, total);
        }
    }

    /// Assumes the mean latency of its service for each target that has not responded, if the routing
    /// is contended. With many VMs and targets, a VM hears of some targets after many seconds only.
    pub fn assume_latencies(&mut self) {
        if !self.is_contended {
            return;
        }
        for tracked in self.by_id.values_mut() {
            if let Some(service) = self.service_latencies.get(&tracked.service) {
                tracked.assumed_latency = service.mean;
            }
        }
    }

    /// Adopts mean latencies in milliseconds from the control leader, if the routing is contended.
    pub fn adopt_latencies(&mut self, latencies: &[(TargetId, u16)]) {
        if !self.is_contended {
            return;
        }
        for (id, millis) in latencies {
            if let Some(tracked) = self.by_id.get_mut(id) {
                let told = Duration::from_millis(u64::from((*millis).max(1)));
                tracked.told_latency = Some(told.as_secs_f64());
            }
        }
    }

    /// Takes the latencies since the last report of those targets of a service that have at least
    /// `least` responses.
    pub fn take_latencies(&mut self, service: &str, least: u32) -> Vec<TargetLatency> {
        let mut out = Vec::new();
        for id in self.by_service.get(service).into_iter().flatten() {
            let Some(tracked) = self
                .by_id
                .get_mut(id)
                .filter(|tracked| tracked.unreported.0 >= least)
            else {
                continue;
            };
            let (count, total_ms) = std::mem::take(&mut tracked.unreported);
            out.push(TargetLatency {
                id: id.clone(),
                count,
                total_ms: total_ms as u32,
            });
        }
        out
    }

    /// Takes the loads that targets stated to this VM since the last report, at most `limit` of
    /// them.
    pub fn take_loads(&mut self, limit: usize, now: Duration) -> Vec<TargetLoad> {
        let all = self.by_id.values_mut();
        let loads = all.filter_map(|tracked| {
            let (requests, stated_at) = tracked.unshared_load?;
            let age = LoadAge::new(now.saturating_sub(stated_at));
            tracked.unshared_load = None;
            Some(TargetLoad {
                tag: tracked.tag,
                requests,
                age: age?,
            })
        });
        let mut loads: Vec<TargetLoad> = loads.collect();
        loads.sort_by_key(|load| load.tag);
        loads.truncate(limit);
        loads
    }

    /// Targets of a service that this VM could not reach lately or that do not respond.
    pub fn unreachable(&self, service: &str, now: Duration) -> impl Iterator<Item = TargetTag> {
        let targets = self.of_service(service);
        let unreachable = targets.filter(move |(_, t)| t.was_unreachable(now) || t.is_stalled(now));
        unreachable.map(|(_, tracked)| tracked.tag)
    }

    /// Records the loads that targets stated to other VMs. Loads of unknown targets are ignored.
    pub fn record_shared_loads(&mut self, loads: &[TargetLoad], now: Duration) {
        let by_tag: HashMap<TargetTag, &TargetLoad> =
            loads.iter().map(|load| (load.tag, load)).collect();
        for tracked in self.by_id.values_mut() {
            if let Some(load) = by_tag.get(&tracked.tag) {
                tracked.record_shared_load(load.requests, now.saturating_sub(load.age.time()));
            }
        }
    }

    /// All targets.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&TargetId, &mut TrackedTarget)> {
        self.by_id.iter_mut()
    }

    /// The target with this id, to record what it stated.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut TrackedTarget> {
        self.by_id.get_mut(id)
    }

    /// Records that an attempt was sent.
    pub fn attempt_started(&mut self, id: &str, attempt: u64, now: Duration) {
        if let Some(tracked) = self.by_id.get_mut(id) {
            let slowdown = tracked.slowdown(now);
            tracked.in_flight.insert(
                attempt,
                InFlightAttempt {
                    sent_at: now,
                    slowdown,
                },
            );
        }
    }

    /// Records that an attempt was cancelled.
    pub fn attempt_cancelled(&mut self, id: &str, attempt: u64) {
        if let Some(tracked) = self.by_id.get_mut(id) {
            tracked.in_flight.remove(&attempt);
        }
    }

    /// Records that the target rejected an attempt because it does not hold the key. It does not
    /// affect the target's latency and failure rate.
    pub fn attempt_misdirected(
        &mut self,
        id: &str,
        attempt: u64,
        report: Option<LoadReport>,
        now: Duration,
    ) {
        if let Some(tracked) = self.by_id.get_mut(id) {
            tracked.in_flight.remove(&attempt);
            tracked.response_received(report, now);
        }
    }

    /// Records a complete response. Returns its latency without the slowdown explained by the target's
    /// load, unless the target failed.
    pub fn attempt_completed(
        &mut self,
        id: &str,
        attempt: u64,
        failed: bool,
        report: Option<LoadReport>,
        now: Duration,
    ) -> Option<Duration> {
        let tracked = self.by_id.get_mut(id)?;
        let started = tracked.in_flight.remove(&attempt);
        tracked.response_received(report, now);
        let fail = if failed { 1.0 } else { 0.0 };
        tracked.failure_rate += (fail - tracked.failure_rate) * FAILURE_WEIGHT;
        started.filter(|_| !failed).map(|started| {
            // The load reported with the response is more recent than what this VM knew when it
            // sent the request.
            let reported = report.map_or(0.0, LoadReport::total);
            let elapsed = now.saturating_sub(started.sent_at).as_secs_f64();
            if !self.is_contended {
                let slowdown = started.slowdown.max(tracked.slowdown_at(reported));
                let took = elapsed / slowdown;
                let mean = tracked.mean_latency();
                tracked.record_latency(took, mean, LATENCY_WEIGHT);
                return Duration::from_secs_f64(took);
            }
            let slowdown = match report {
                Some(_) => tracked.slowdown_with(reported, EXPLAINED_WAIT_FRACTION),
                None => started.slowdown,
            };
            let took = elapsed / slowdown;
            let service = match self.service_latencies.get_mut(&tracked.service) {
                Some(service) => service,
                None => {
                    let name = tracked.service.clone();
                    self.service_latencies.entry(name).or_default()
                }
            };
            // Work per request varies by more than a target's speed, so where targets state their
            // speed, it tells the latency of one better than its own responses do.
            let took = service.record(took, report, tracked.usual_slowdown);
            let prior = match tracked.responses {
                0 => service.mean,
                _ => tracked.mean_latency,
            };
            let known = tracked.responses.saturating_add(PRIOR_RESPONSES + 1);
            let weight = (1.0 / f64::from(known)).max(LEARNED_LATENCY_WEIGHT);
            tracked.record_latency(took, prior, weight);
            Duration::from_secs_f64(took)
        })
    }

    /// Records a failed attempt. `reached` tells whether the target was reached.
    pub fn attempt_failed(&mut self, id: &str, attempt: u64, reached: bool, now: Duration) {
        let Some(tracked) = self.by_id.get_mut(id) else {
            return;
        };
        tracked.in_flight.remove(&attempt);
        tracked.failure_rate += (1.0 - tracked.failure_rate) * FAILURE_WEIGHT;
        match reached {
            true => tracked.limit.reached(),
            false => tracked.back_off(now),
        }
    }
}
