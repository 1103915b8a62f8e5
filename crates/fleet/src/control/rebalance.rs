//! Assignment of key ranges to targets by the leader: first assignment, changes of holder, and
//! moves that balance the load.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    Control,
    Effect,
    LogEvent,
    calls::Pending,
    heartbeats::SILENT_INTERVALS, //
};
use crate::{
    balance::{
        self,
        Candidate,
        Demand,
        Evidence,
        Move,
        Placement,
        Scope, //
    },
    key_leases::Lease,
    keys::{
        Key,
        KeyMap,
        KeyRange, //
    },
    message::{
        KeyLoad,
        PeerMessage,
        TargetLatency, //
    },
    registry::{
        Holder,
        TargetId,
        TargetState, //
    },
    routing::{
        KeyDelivery,
        ServiceName, //
    },
    state::Command,
};

/// Time after the start of a leader in which targets can announce themselves before keys are first
/// assigned.
const INITIAL_ASSIGNMENT_DELAY: Duration = Duration::from_millis(1500);
/// Shortest time between two passes over all key ranges, so that answers that arrive together cause
/// one pass only.
const LEASE_PASS_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between two balancing passes.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Window of sampled requests that shows lasting differences in load.
const SAMPLE_WINDOW: Duration = Duration::from_millis(5000);
/// Window of sampled requests that shows a sudden rise in load.
const RECENT_WINDOW: Duration = Duration::from_millis(600);
/// Time after a balancing move in which the range is not moved again.
const MOVE_COOLDOWN: Duration = Duration::from_millis(2500);
/// The same if the routing is contended. It is longer than a usual move takes, and short enough for a
/// hot part of the keys to be divided twice within two seconds.
const CONTENDED_MOVE_COOLDOWN: Duration = Duration::from_millis(1000);
/// The cool-down does not apply to a part of the range that is narrower by this factor.
const NARROW_RATIO: u32 = 4;
/// Weight of one response in a target's mean latency.
const LATENCY_WEIGHT: f64 = 0.03;
/// Weight of the median target in a target's estimated latency, as a number of responses; with
/// fewer responses, chance would decide.
const PRIOR_RESPONSES: f64 = 10.0;
/// Bounds of a target's speed relative to the median target.
const SPEED_BOUNDS: (f64, f64) = (0.4, 2.0);
/// Number of responses that a target's mean logarithm of the latency covers. The speed of a target
/// stays; what changes within moments is stated by the target and is not in the reports.
const MAX_LOG_RESPONSES: f64 = 300.0;
/// Weight of a response in that mean relative to equal weights. When traffic starts, the first
/// responses are those of short requests.
const RECENT_RESPONSE_WEIGHT: f64 = 2.0;
/// Standard deviation of the logarithm of the work per request.
const WORK_SIGMA: f64 = 0.8;
/// Weight of the median target in a target's estimated logarithm of the latency, as a number of
/// responses. The logarithms of the speeds of targets differ by about 0.4, so that
/// (0.8 / 0.4)^2 responses tell as much as the median target.
const PRIOR_LOG_RESPONSES: f64 = 4.0;
/// Bounds of a target's speed relative to the median target if the routing is contended. The fastest
/// targets are known to be 2.3 times as fast as the median one.
const CONTENDED_SPEED_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Assumed latency in milliseconds while no target of the service has responded.
const DEFAULT_LATENCY_MS: f64 = 150.0;
/// Interval between two messages to entry VMs with latencies that have changed.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// A latency is told again if it has changed by this factor, which is little compared with the
/// differences between the speeds of targets.
const SHARE_RATIO: f64 = 1.15;
/// Time after which all latencies are told again, for entry VMs that have come since.
const SHARE_ALL_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of sampled keys per service.
const MAX_SAMPLE: usize = 4000;
/// A free range goes to a target that can be told within this time, if there is one.
const FREE_RANGE_WAIT: Duration = Duration::from_millis(300);
/// Time without an announcement after which a target that is called for grants receives no more
/// keys.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Recently reported requests of one service, with the time of the report.
#[derive(Default)]
struct RecentRequests {
    keys: VecDeque<(Duration, Key)>,
    counts: VecDeque<(Duration, u32)>,
}

impl RecentRequests {
    fn expire(&mut self, before: Duration) {
        let old = self.keys.partition_point(|(at, _)| *at < before);
        self.keys.drain(..old);
        let old = self.counts.partition_point(|(at, _)| *at < before);
        self.counts.drain(..old);
    }

    fn sample(&self, since: Duration) -> Vec<Key> {
        let recent = self.keys.iter().filter(|(at, _)| *at >= since);
        recent.map(|(_, key)| *key).collect()
    }

    /// Requests per second since `since`.
    fn rate(&self, since: Duration, now: Duration) -> f64 {
        let recent = self.counts.iter().filter(|(at, _)| *at >= since);
        let count: u32 = recent.map(|(_, count)| count).sum();
        let window = now.saturating_sub(since).as_secs_f64();
        f64::from(count) / window.max(f64::MIN_POSITIVE)
    }
}

/// Mean latency of the responses of one target, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct MeanLatency {
    mean: f64,
    responses: u32,
}

impl MeanLatency {
    /// Adds the mean of `count` responses. All responses have equal weight at first; later, recent
    /// ones have more.
    fn add(&mut self, observed: f64, count: u32) {
        self.responses = self.responses.saturating_add(count);
        let recent = 1.0 - (1.0 - LATENCY_WEIGHT).powf(f64::from(count));
        let even = f64::from(count) / f64::from(self.responses.max(1));
        self.mean += (observed - self.mean) * recent.max(even);
    }

    /// The mean, shrunk towards that of the median target while there are few responses.
    fn estimate(&self, median: f64) -> f64 {
        let responses = f64::from(self.responses);
        (self.mean * responses + median * PRIOR_RESPONSES) / (responses + PRIOR_RESPONSES)
    }
}

/// Mean logarithm of the latency of the responses of one target, in milliseconds. Unlike the mean of
/// the latencies, it is not dominated by the few requests with the most work.
#[derive(Clone, Copy, Debug, Default)]
struct LogLatency {
    mean: f64,
    /// Variance of single responses.
    variance: f64,
    responses: f64,
}

impl LogLatency {
    /// Adds a mean latency of `count` responses.
    fn add(&mut self, observed: f64, count: u32) {
        let count = f64::from(count);
        // The logarithm of a mean of several responses is higher than the mean of their logarithms.
        let spread = WORK_SIGMA * WORK_SIGMA;
        let excess = (spread - (spread.exp_m1() / count).ln_1p()) / 2.0;
        let observed = observed.max(1.0).ln() - excess;
        self.responses = (self.responses + count).min(MAX_LOG_RESPONSES);
        let weight = (count * RECENT_RESPONSE_WEIGHT / self.responses).min(1.0);
        let former = self.mean;
        self.mean += (observed - former) * weight;
        let square = (observed - former) * (observed - self.mean) * count;
        self.variance += (square - self.variance) * weight;
    }

    /// The mean, shrunk towards that of the median target while there are few responses.
    fn estimate(&self, median: f64) -> f64 {
        let responses = self.responses;
        (self.mean * responses + median * PRIOR_LOG_RESPONSES) / (responses + PRIOR_LOG_RESPONSES)
    }

    /// Standard deviation of the estimate due to the different work of requests.
    fn error(&self) -> f64 {
        let responses = self.responses.max(PRIOR_LOG_RESPONSES);
        let sigma = self.variance.sqrt().max(WORK_SIGMA);
        sigma * responses.sqrt() / (responses + PRIOR_LOG_RESPONSES)
    }
}

/// Median of values; `None` if there are none.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Load and latency reports that the leader has received from entry VMs.
#[derive(Default)]
pub(super) struct LoadStats {
    requests: BTreeMap<ServiceName, RecentRequests>,
    /// Ranges that were moved to balance the load, and when.
    recent_moves: Vec<(ServiceName, Key, Key, Duration)>,
    latencies: BTreeMap<TargetId, MeanLatency>,
    log_latencies: BTreeMap<TargetId, LogLatency>,
    is_contended: bool,
    next_plan: Duration,
    /// Latencies in milliseconds that entry VMs were told last.
    told: BTreeMap<TargetId, u16>,
    next_share: Duration,
    /// When all latencies are told again.
    next_full_share: Duration,
}

/// Latencies of a service's median target.
#[derive(Clone, Copy, Debug)]
pub(super) struct MedianLatency {
    /// Mean in milliseconds.
    mean: f64,
    /// Mean logarithm of the milliseconds, if the routing is contended and there are reports.
    log: Option<f64>,
}

impl LoadStats {
    /// Records the load report of an entry VM.
    pub(super) fn record(&mut self, load: Vec<KeyLoad>, now: Duration) {
        for KeyLoad {
            service,
            total,
            sample,
        } in load
        {
            let RecentRequests { keys, counts } = self.requests.entry(service).or_default();
            counts.push_back((now, total));
            keys.extend(sample.into_iter().map(|key| (now, key)));
            let over = keys.len().saturating_sub(MAX_SAMPLE);
            keys.drain(..over);
        }
    }

    fn expire(&mut self, now: Duration) {
        for requests in self.requests.values_mut() {
            requests.expire(now.saturating_sub(SAMPLE_WINDOW));
        }
    }

    /// Keys sampled within `window`, and the rate of requests per second in that time.
    fn demand(&self, service: &str, window: Duration, now: Duration) -> (Vec<Key>, f64) {
        let since = now.saturating_sub(window);
        match self.requests.get(service) {
            Some(requests) => (requests.sample(since), requests.rate(since, now)),
            None => (Vec::new(), 0.0),
        }
    }

    /// Moves that balance the load of a service. The longer window shows smaller differences. A
    /// sudden rise shows first in the recent window.
    fn moves(
        &self,
        service: &str,
        ranges: &[KeyRange],
        candidates: &[Candidate],
        evacuated: &BTreeSet<Holder>,
        now: Duration,
    ) -> Vec<Move> {
        let (recent_sample, recent_rate) = self.demand(service, RECENT_WINDOW, now);
        let recent = Demand {
            sample: &recent_sample,
            rate: recent_rate,
        };
        let plan = |demand: &Demand<'_>, scope| {
            let evidence = self.evidence(candidates, scope);
            balance::plan_with(ranges, candidates, demand, evidence)
        };
        let holder = |planned: &Move| {
            let range = balance::range_at(ranges, planned.from);
            range.and_then(|range| range.holder.clone())
        };
        let hot = balance::hot_holders(ranges, candidates, &recent);
        let (sample, mut rate) = self.demand(service, SAMPLE_WINDOW, now);
        if self.is_contended {
            // When traffic starts, most of the longer window is still empty.
            rate = rate.max(recent_rate);
        }
        let sample = &sample;
        let mut moves = plan(&Demand { sample, rate }, Scope::All);
        // In the longer window, a range can look busy because a single key was hot for a moment.
        // Keys leave an evacuated domain whatever the load of the others.
        moves.retain(|planned| {
            let previous = holder(planned);
            let must_leave = previous.as_ref().is_some_and(|h| evacuated.contains(h));
            must_leave
                || !hot.contains(&planned.next)
                    && previous.is_none_or(|previous| !hot.contains(&previous))
        });
        if !self.is_contended {
            return match moves.is_empty() {
                true => plan(&recent, Scope::All),
                false => moves,
            };
        }
        // Small differences between busy holders are nearly always there, and must not delay the
        // answer to a sudden rise.
        let mut sudden = plan(&recent, Scope::SuddenRises);
        let involved = sudden
            .iter()
            .flat_map(|m| [holder(m), Some(m.next.clone())]);
        let involved: BTreeSet<Option<Holder>> = involved.collect();
        moves.retain(|m| {
            let previous = holder(m);
            previous.as_ref().is_some_and(|h| evacuated.contains(h))
                || !involved.contains(&previous) && !involved.contains(&Some(m.next.clone()))
        });
        sudden.append(&mut moves);
        sudden
    }

    /// How exact the capacities of these candidates are.
    fn evidence(&self, candidates: &[Candidate], scope: Scope) -> Evidence {
        if !self.is_contended {
            return Evidence::Plain;
        }
        let known = candidates
            .iter()
            .filter_map(|c| self.log_latencies.get(&c.holder.id));
        let error = median(known.map(LogLatency::error));
        Evidence::Weighed {
            capacity_error: error.unwrap_or_else(|| LogLatency::default().error()),
            scope,
        }
    }

    /// Records the latency report of an entry VM.
    pub(super) fn record_latencies(&mut self, latencies: Vec<TargetLatency>) {
        for TargetLatency {
            id,
            count,
            total_ms,
        } in latencies
        {
            if count == 0 {
                continue;
            }
            let observed = f64::from(total_ms) / f64::from(count);
            match self.log_latencies.get_mut(&id) {
                Some(latency) => latency.add(observed, count),
                None => {
                    let latency = self.log_latencies.entry(id.clone()).or_default();
                    latency.add(observed, count);
                }
            }
            self.latencies.entry(id).or_default().add(observed, count);
        }
    }

    /// Capacity of a target in requests per second.
    fn capacity(&self, id: &TargetId, slots: u32, median: MedianLatency) -> f64 {
        let speed = match median.log {
            Some(median) => {
                let latency = self.log_latencies.get(id).copied().unwrap_or_default();
                let (min, max) = CONTENDED_SPEED_BOUNDS;
                (median - latency.estimate(median)).exp().clamp(min, max)
            }
            None => {
                let latency = self.latencies.get(id).copied().unwrap_or_default();
                let mean = latency.estimate(median.mean);
                (median.mean / mean.max(1.0)).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
            }
        };
        f64::from(slots.max(1)) * speed * 1000.0 / median.mean
    }

    /// Estimated mean latency of a target in milliseconds, if it has responded and the routing is
    /// contended.
    fn estimated_latency(&self, id: &TargetId, median: MedianLatency) -> Option<u16> {
        let latency = self.log_latencies.get(id)?;
        let mean = (latency.estimate(median.log?) + WORK_SIGMA * WORK_SIGMA / 2.0).exp();
        Some(mean.round().clamp(1.0, f64::from(u16::MAX)) as u16)
    }

    /// Takes the latencies that entry VMs do not know yet out of those of a service.
    fn take_untold<'a, Ids>(&mut self, ids: Ids) -> Vec<(TargetId, u16)>
    where
        Ids: Iterator<Item = &'a TargetId> + Clone,
    {
        let median = self.median_latency(ids.clone());
        let mut untold = Vec::new();
        for id in ids {
            let Some(latency) = self.estimated_latency(id, median) else {
                continue;
            };
            let ratio = self.told.get(id).map(|told| {
                let (told, latency) = (f64::from(*told), f64::from(latency));
                (told / latency).max(latency / told)
            });
            if ratio.is_none_or(|ratio| ratio > SHARE_RATIO) {
                self.told.insert(id.clone(), latency);
                untold.push((id.clone(), latency));
            }
        }
        untold
    }

    fn median_latency<'a, Ids>(&self, ids: Ids) -> MedianLatency
    where
        Ids: Iterator<Item = &'a TargetId> + Clone,
    {
        let latencies = ids.clone().filter_map(|id| self.latencies.get(id));
        let mean = median(latencies.map(|latency| latency.mean));
        let logs = ids.filter_map(|id| self.log_latencies.get(id));
        let log = match self.is_contended {
            true => median(logs.map(|latency| latency.mean)),
            false => None,
        };
        // The mean of a log-normal distribution.
        let mean_of_log = log.map(|log| (log + WORK_SIGMA * WORK_SIGMA / 2.0).exp());
        let mean = mean_of_log.or(mean).unwrap_or(DEFAULT_LATENCY_MS);
        MedianLatency {
            mean: mean.max(1.0),
            log,
        }
    }
}

impl Control {
    /// Assigns free ranges, starts balancing moves and sends due orders.
    pub(super) fn maintain_key_leases(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let is_contended = self.is_contended();
        if let Some(leader) = &mut self.leader_state {
            leader.next_lease_pass = now + LEASE_PASS_INTERVAL;
            leader.load_stats.is_contended = is_contended;
        }
        self.assign_initial_ranges(now, out);
        self.propose_holder_changes(now, out);
        self.plan_moves(now, out);
        let send_before = self.raft.lease_expiry();
        let Some(send_before) = send_before.filter(|send_before| *send_before > now) else {
            return;
        };
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        for dispatch in leader.lease_table.due_orders(&self.state.view, now) {
            out.push(Effect::Order {
                dispatch,
                send_before,
            });
        }
    }

    /// Targets of a keyed service that may hold keys, and whether each accepts more.
    pub(super) fn candidates(&self, service: &str, now: Duration) -> Vec<Candidate> {
        let Some(leader) = &self.leader_state else {
            return Vec::new();
        };
        let mut out = Vec::new();
        let targets = &self.state.view.targets;
        let own = targets
            .iter()
            .filter(|(_, target)| &*target.service == service);
        let median = leader
            .load_stats
            .median_latency(own.clone().map(|(id, _)| id));
        let leases = leader.lease_table.leases(service).iter();
        let unanswered: BTreeSet<&Holder> = leases
            .filter(|lease| lease.is_unanswered())
            .filter_map(|lease| lease.range.holder.as_ref())
            .collect();
        let timeout = match self.state.view.key_delivery(service) {
            KeyDelivery::Heartbeat => self.config.lease_times.interval * SILENT_INTERVALS,
            KeyDelivery::Call | KeyDelivery::Unkeyed => ANNOUNCEMENT_TIMEOUT,
        };
        let cold = self.state.view.cold_service(service);
        let cold_limit = cold.map(|cold| self.config.warm_up.limit(cold.rate));
        let cold_capacity = cold_limit.map_or(f64::INFINITY, f64::from);
        for (id, target) in own {
            let holder = Holder {
                id: id.clone(),
                incarnation: target.incarnation,
            };
            let evacuated = self.state.view.is_evacuated(&target.domain);
            let ready = target.state.accepts_requests() && !evacuated;
            let latest = leader
                .announcements
                .get(id)
                .filter(|latest| latest.incarnation == target.incarnation);
            let at = latest.map_or(leader.elected_at, |latest| latest.received_at);
            let unresponsive = unanswered.contains(&holder);
            if ready && (now.saturating_sub(at) > timeout || unresponsive) {
                continue;
            }
            let capacity = leader.load_stats.capacity(id, target.slots, median);
            out.push(Candidate {
                holder,
                capacity: match target.state {
                    TargetState::Cold => capacity.min(cold_capacity),
                    _ => capacity,
                },
                accepts_keys: ready,
            });
        }
        out
    }

    fn keyed_services(&self) -> Vec<ServiceName> {
        let routing = self.state.view.routing.as_ref();
        let services = routing.into_iter().flat_map(|routing| &routing.services);
        services
            .filter(|(_, item)| item.spec.keys.is_keyed())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Assigns the keys that have never had a holder. Keys of a lost holder still name it, so no
    /// target can have a lease on these. Some may be held beside them if the leader before was lost
    /// between the commits of its assignments.
    fn assign_initial_ranges(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let is_early = now.saturating_sub(leader.elected_at) < INITIAL_ASSIGNMENT_DELAY;
        if is_early || !leader.load_stats.may_plan(now) {
            return;
        }
        for service in self.keyed_services() {
            let unassigned = match self.state.view.keys.get(&service) {
                Some(map) => map.unassigned(),
                None => KeyMap::default().unassigned(),
            };
            // A second assignment while the first is still being committed would give two targets
            // the same keys.
            let in_progress =
                |pending: &Pending| matches!(pending, Pending::Assign(name, _) if *name == service);
            if unassigned.is_empty() || self.pending.values().any(in_progress) {
                continue;
            }
            let candidates = self.candidates(&service, now);
            for planned in balance::divide(&candidates) {
                for (first, last) in &unassigned {
                    let (from, to) = (planned.from.max(*first), planned.to.min(*last));
                    if from > to {
                        continue;
                    }
                    let range = KeyRange {
                        from,
                        to,
                        holder: Some(planned.next.clone()),
                        handover: None,
                    };
                    self.assign(&service, None, range, now, out);
                }
            }
        }
    }

    fn assign(
        &mut self,
        service: &ServiceName,
        previous: Option<Holder>,
        range: KeyRange,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let command = Command::Assign {
            service: service.clone(),
            previous,
            range: range.clone(),
        };
        self.propose(&command, Pending::Assign(service.clone(), range), now, out);
    }

    /// Proposes the next holders of ranges that are free.
    pub(super) fn propose_holder_changes(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let view = &self.state.view;
        let services = leader.lease_table.services_with_free_ranges(view, now);
        if services.is_empty() {
            return;
        }
        let mut inputs_by_service = BTreeMap::new();
        for service in services {
            let mut candidates = self.candidates(&service, now);
            let Some(leader) = &self.leader_state else {
                return;
            };
            if self.state.view.key_delivery(&service) == KeyDelivery::Heartbeat {
                let interval = self.config.lease_times.interval;
                let is_due = |c: &Candidate| {
                    let due = leader.announced_in(&c.holder, interval, now);
                    c.accepts_keys && due.is_some_and(|due| due <= FREE_RANGE_WAIT)
                };
                if candidates.iter().any(is_due) {
                    candidates.retain(is_due);
                }
            }
            let (sample, _) = leader.load_stats.demand(&service, SAMPLE_WINDOW, now);
            let ranges: Vec<KeyRange> = leader
                .lease_table
                .leases(&service)
                .iter()
                .map(Lease::range)
                .collect();
            inputs_by_service.insert(service, (ranges, candidates, sample));
        }
        let mut placements = BTreeMap::new();
        for (service, (ranges, candidates, sample)) in &inputs_by_service {
            placements.insert(service, Placement::new(ranges, candidates, sample));
        }
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let holder_changes =
            leader
                .lease_table
                .due_holder_changes(&self.state.view, now, |service, range| {
                    placements.get_mut(service)?.place(range)
                });
        for change in holder_changes {
            self.assign(&change.service, change.previous, change.range, now, out);
        }
    }

    /// Tells the entry VMs the latencies of targets that have changed. An entry VM itself sees few
    /// responses of each target, and admits requests to a holder by its latency.
    pub(super) fn share_latencies(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let services = match self.is_contended() {
            true => self.keyed_services(),
            false => return,
        };
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let stats = &mut leader.load_stats;
        if now < stats.next_share {
            return;
        }
        stats.next_share = now + SHARE_INTERVAL;
        if now >= stats.next_full_share {
            stats.next_full_share = now + SHARE_ALL_INTERVAL;
            stats.told.clear();
        }
        let mut latencies = Vec::new();
        for service in services {
            let targets = self.state.view.targets.iter();
            let own = targets.filter(|(_, target)| target.service == service);
            latencies.extend(stats.take_untold(own.map(|(id, _)| id)));
        }
        if !latencies.is_empty() {
            self.broadcast(PeerMessage::TargetLatencies(latencies), out);
        }
    }

    /// Starts the moves that balance the load.
    pub(super) fn plan_moves(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if !leader.load_stats.may_plan(now) {
            return;
        }
        leader.load_stats.next_plan = now + PLAN_INTERVAL;
        leader.load_stats.expire(now);
        for service in self.keyed_services() {
            let candidates = self.candidates(&service, now);
            let Some(leader) = &mut self.leader_state else {
                return;
            };
            let leases = leader.lease_table.leases(&service);
            // The next holder of a proposed range is known only after the commit, a moment later.
            // If the routing is contended, there are changes of holder at most times while the load is
            // being balanced; a range that is moving or proposed is not moved again.
            if !leader.load_stats.is_contended && leases.iter().any(Lease::is_proposed) {
                continue;
            }
            let ranges: Vec<KeyRange> = leases.iter().map(Lease::next_range).collect();
            let mut started = Vec::new();
            let view = &self.state.view;
            let holders = candidates.iter().map(|candidate| &candidate.holder);
            let evacuated = holders.filter(|holder| view.is_in_evacuated_domain(&holder.id));
            let evacuated: BTreeSet<Holder> = evacuated.cloned().collect();
            let moves = leader
                .load_stats
                .moves(&service, &ranges, &candidates, &evacuated, now);
            let leaving = candidates.iter().filter(|c| !c.accepts_keys);
            let leaving: BTreeSet<&Holder> = leaving.map(|c| &c.holder).collect();
            for planned in moves {
                let range = balance::range_at(&ranges, planned.from);
                let holder = range.and_then(|range| range.holder.as_ref());
                let must_leave = holder.is_some_and(|holder| leaving.contains(holder));
                if !must_leave
                    && !leader
                        .load_stats
                        .may_move(&service, planned.from, planned.to, now)
                {
                    continue;
                }
                let range = (planned.from, planned.to);
                if leader
                    .lease_table
                    .begin_move(&service, range.0, range.1, &planned.next)
                {
                    started.push(range);
                    out.push(Effect::Log(LogEvent::Moving {
                        service: service.clone(),
                        range,
                        next: planned.next,
                    }));
                }
            }
            // Where the holder is told in an answer, the move starts with that answer.
            if self.state.view.key_delivery(&service) == KeyDelivery::Heartbeat {
                continue;
            }
            for range in started {
                self.stream_handover(&service, range, false, out);
            }
        }
    }
}

impl LoadStats {
    /// Lets the next balancing pass run at once.
    pub(super) fn plan_now(&mut self, now: Duration) {
        self.next_plan = self.next_plan.min(now);
    }

    /// Keys sampled in the longer window, and the rate of requests per second in that time.
    pub(super) fn lasting_demand(&self, service: &str, now: Duration) -> (Vec<Key>, f64) {
        self.demand(service, SAMPLE_WINDOW, now)
    }

    fn may_plan(&self, now: Duration) -> bool {
        now >= self.next_plan
    }

    /// Whether a range may be moved to balance the load. During the cool-down after a move, the
    /// samples still show the load at the previous holder. A narrow part of the range may move
    /// again, because that is how a hot key is isolated.
    fn may_move(&mut self, service: &ServiceName, from: Key, to: Key, now: Duration) -> bool {
        let cooldown = match self.is_contended {
            true => CONTENDED_MOVE_COOLDOWN,
            false => MOVE_COOLDOWN,
        };
        self.recent_moves
            .retain(|(.., at)| now.saturating_sub(*at) < cooldown);
        let mut recent = self.recent_moves.iter();
        let cools_down = |(name, f, t, _): &(ServiceName, Key, Key, Duration)| {
            let overlaps = name == service && *f <= to && *t >= from;
            overlaps && u32::from(t - f) < (u32::from(to - from) + 1) * NARROW_RATIO
        };
        if recent.any(cools_down) {
            return false;
        }
        self.recent_moves.push((service.clone(), from, to, now));
        true
    }
}
