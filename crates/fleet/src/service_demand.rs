//! Demand for plain services by failure domain, as the leader knows it from the reports of entry VMs.
//!
//! An entry VM decides from this how many requests leave its failure domain. Demand counts where
//! requests enter the fleet, not where they are served, so that a decision does not change its own
//! input. It is stated in slots: requests per second times the time that one request keeps a slot of
//! a target of usual speed.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    load_summary::{
        LoadMerger,
        TargetTag,
        target_tag, //
    },
    routing::{
        Domain,
        ServiceName, //
    },
    state::View,
};

/// Time constant of the demand: short enough to follow a burst within about a second, long enough to
/// average over two pings (300 ms).
const DEMAND_TIME: Duration = Duration::from_millis(500);
/// Time after the first report before the demand is stated: each entry VM has reported twice.
const MIN_DEMAND_TIME: Duration = Duration::from_millis(600);
/// Least time that a report covers. Shorter ones count as a moment with many requests.
const MIN_REPORT_TIME: Duration = Duration::from_millis(1);
/// Time without a report after which the demand at an entry VM counts no more: three pings. Its
/// callers go to other VMs.
const SILENCE_TIME: Duration = Duration::from_millis(900);
/// Time constant of the work of a request and of the speed of targets. Both change slowly.
const WORK_TIME: Duration = Duration::from_secs(8);
/// Work that a target is taken to have done at usual speed before its reports count fully.
const PRIOR_WORK: f64 = 1.0;
/// Bounds of a domain's speed relative to the usual.
const SPEED_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Bounds of the correction of the work that latencies show. They contain the transfer of bodies, and
/// under load also waits that an entry VM does not know of.
const WORK_CORRECTION_BOUNDS: (f64, f64) = (0.3, 1.2);
/// Requests per second below which an entry VM has no demand for a service.
const MIN_RATE: f64 = 0.01;
/// Services and domains of one summary at most, so that its size is bounded.
const MAX_DOMAIN_LOADS: usize = 32;

/// Length of the bodies of requests on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Bodies {
    /// Usual length.
    Short,
    /// Large: expensive to send to another failure domain.
    Large,
}

/// Requests for a plain service that an entry VM received from callers since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceName,
    /// Requests with short bodies.
    pub short: u16,
    /// Requests with large bodies.
    pub large: u16,
}

/// Responses of a target of a plain service to an entry VM since its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetWork {
    /// The incarnation of the target.
    pub tag: TargetTag,
    /// Which requests.
    pub bodies: Bodies,
    /// Number of responses.
    pub answered: u16,
    /// Sum of their latencies in milliseconds, without the queueing delay explained by the target's
    /// load.
    pub took_ms: u32,
}

/// A number of slots, in hundredths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCount(u32);

impl From<f64> for SlotCount {
    fn from(slots: f64) -> SlotCount {
        // Casts of floating-point numbers saturate.
        SlotCount((slots * 100.0).round() as u32)
    }
}

impl From<SlotCount> for f64 {
    fn from(count: SlotCount) -> f64 {
        f64::from(count.0) / 100.0
    }
}

/// Demand of the callers of one failure domain, and what is known of the targets there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainLoad {
    /// The domain.
    pub domain: Domain,
    /// Demand for requests with short bodies.
    pub short: SlotCount,
    /// Demand for requests with large bodies.
    pub large: SlotCount,
    /// Slots of targets there that no entry VM reaches.
    pub lost_slots: u32,
    /// Speed of the targets there relative to the usual, in percent.
    pub speed: u16,
}

/// Demand for a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Mean time in milliseconds for which a request keeps a slot.
    pub work_ms: u16,
    /// Domains with demand or targets.
    pub domains: Vec<DomainLoad>,
}

/// A sum that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    at: Duration,
}

impl DecayingSum {
    fn at(&self, now: Duration, time: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / time.as_secs_f64()).exp()
    }

    fn add(&mut self, amount: f64, now: Duration, time: Duration) {
        self.sum = self.at(now, time) + amount;
        self.at = now;
    }
}

/// Requests per second for a service, by the length of bodies.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    short: f64,
    large: f64,
}

/// Demand at one entry VM. Rates are averaged for each VM, because all VMs may report at the same
/// moments, for example after a change of leader.
#[derive(Clone, Debug)]
struct VmDemand {
    domain: Domain,
    reported_at: Option<Duration>,
    rates: BTreeMap<ServiceName, Rates>,
}

impl VmDemand {
    fn record(&mut self, demand: &[ServiceDemand], covered: Duration, now: Duration) {
        let interval = covered.max(MIN_REPORT_TIME).as_secs_f64();
        let weight = match self.reported_at.replace(now) {
            Some(_) => 1.0 - (-interval / DEMAND_TIME.as_secs_f64()).exp(),
            None => 1.0,
        };
        for rates in self.rates.values_mut() {
            rates.short *= 1.0 - weight;
            rates.large *= 1.0 - weight;
        }
        for demand in demand {
            let rates = self.rates.entry(demand.service.clone()).or_default();
            rates.short += weight * f64::from(demand.short) / interval;
            rates.large += weight * f64::from(demand.large) / interval;
        }
        self.rates
            .retain(|_, rates| rates.short + rates.large >= MIN_RATE);
    }
}

/// Number and total time of responses.
#[derive(Clone, Copy, Debug, Default)]
struct WorkSum {
    answered: DecayingSum,
    took: DecayingSum,
}

impl WorkSum {
    fn add(&mut self, work: &TargetWork, now: Duration) {
        let took = f64::from(work.took_ms) / 1000.0;
        self.answered.add(f64::from(work.answered), now, WORK_TIME);
        self.took.add(took, now, WORK_TIME);
    }

    fn mean(&self) -> Option<f64> {
        (self.answered.sum > 0.0).then(|| self.took.sum / self.answered.sum)
    }
}

/// Work of one target: what it took, and what the same requests usually take.
#[derive(Clone, Copy, Debug, Default)]
struct TargetPace {
    took: DecayingSum,
    usual: DecayingSum,
}

/// Slots in use at the targets of a service, and the time that responses say they took, for the
/// correction of the latter.
#[derive(Clone, Copy, Debug, Default)]
struct Correction {
    busy: DecayingSum,
    took: DecayingSum,
}

/// Demand and work by the reports of all entry VMs.
///
/// ```
/// use std::time::Duration;
/// use camphordale_fleet::{View, load_summary::LoadMerger, service_demand::DemandMerger};
///
/// let mut demand = DemandMerger::default();
/// let loads = LoadMerger::default();
/// assert!(demand.summarize(&View::default(), &loads, Duration::from_secs(1)).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct DemandMerger {
    started_at: Option<Duration>,
    summarized_at: Option<Duration>,
    vms: BTreeMap<u64, VmDemand>,
    work: BTreeMap<(ServiceName, Bodies), WorkSum>,
    corrections: BTreeMap<ServiceName, Correction>,
    paces: BTreeMap<TargetTag, TargetPace>,
    /// Services of the targets at the last summary.
    services: BTreeMap<TargetTag, ServiceName>,
}

/// Sums over the targets of a service in a domain.
#[derive(Clone, Copy, Debug, Default)]
struct TargetSums {
    slots: f64,
    speed: f64,
    busy: f64,
    lost: u32,
}

impl DemandMerger {
    /// Adopts the report of an entry VM in `domain`, which covers the time since its last one. `vm` is
    /// any number that only this VM has.
    pub fn record(
        &mut self,
        (vm, domain): (u64, &Domain),
        (demand, covered): (&[ServiceDemand], Duration),
        work: &[TargetWork],
        now: Duration,
    ) {
        self.started_at.get_or_insert(now);
        let vm = self.vms.entry(vm).or_insert_with(|| VmDemand {
            domain: domain.clone(),
            reported_at: None,
            rates: BTreeMap::new(),
        });
        vm.record(demand, covered, now);
        for work in work {
            let Some(service) = self.services.get(&work.tag) else {
                continue;
            };
            let sum = self.work.entry((service.clone(), work.bodies)).or_default();
            sum.add(work, now);
            let took = f64::from(work.took_ms) / 1000.0;
            let usual = sum.mean().unwrap_or(0.0) * f64::from(work.answered);
            let pace = self.paces.entry(work.tag).or_default();
            pace.took.add(took, now, WORK_TIME);
            pace.usual.add(usual, now, WORK_TIME);
            let correction = self.corrections.entry(service.clone()).or_default();
            correction.took.add(took, now, WORK_TIME);
        }
    }

    /// Requests per second for a service from the callers of each domain.
    fn rates(&self, service: &ServiceName) -> BTreeMap<&Domain, Rates> {
        let mut sums: BTreeMap<&Domain, Rates> = BTreeMap::new();
        for vm in self.vms.values() {
            if let Some(rates) = vm.rates.get(service) {
                let sum = sums.entry(&vm.domain).or_default();
                sum.short += rates.short;
                sum.large += rates.large;
            }
        }
        sums
    }

    fn speed(&self, tag: TargetTag, now: Duration) -> f64 {
        let Some(pace) = self.paces.get(&tag) else {
            return 1.0;
        };
        let usual = pace.usual.at(now, WORK_TIME) + PRIOR_WORK;
        let took = pace.took.at(now, WORK_TIME) + PRIOR_WORK;
        (usual / took).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
    }

    /// The demand for each plain service and what is known of its targets. `loads` are the loads that
    /// entry VMs reported. Services are left out until demand and work are known, so that entry VMs
    /// decide alone until then.
    pub fn summarize(
        &mut self,
        view: &View,
        loads: &LoadMerger,
        now: Duration,
    ) -> Vec<ServiceLoad> {
        let mut targets: BTreeMap<&ServiceName, BTreeMap<&Domain, TargetSums>> = BTreeMap::new();
        let mut services = BTreeMap::new();
        self.vms.retain(|_, vm| {
            vm.reported_at
                .is_some_and(|at| now.saturating_sub(at) <= SILENCE_TIME)
        });
        for (id, target) in &view.targets {
            if view.is_keyed(&target.service) {
                continue;
            }
            let tag = target_tag(id, target.incarnation);
            services.insert(tag, target.service.clone());
            let domains = targets.entry(&target.service).or_default();
            let sums = domains.entry(&target.domain).or_default();
            if !target.state.accepts_requests() || view.is_evacuated(&target.domain) {
                continue;
            }
            let slots = f64::from(target.slots);
            sums.slots += slots;
            sums.speed += slots * self.speed(tag, now);
            // A target states its load when a request has just ended, and targets with few requests
            // are sent the next one: the mean over time is higher by about this one request.
            if let Some(requests) = loads.requests_at(tag, now) {
                sums.busy += (f64::from(requests) + 1.0).min(slots);
            }
            if loads.is_unreachable(tag, now) {
                sums.lost += target.slots;
            }
        }
        self.services = services;
        let current = &self.services;
        self.paces.retain(|tag, _| current.contains_key(tag));
        let passed = now.saturating_sub(self.summarized_at.replace(now).unwrap_or(now));
        let passed = passed.as_secs_f64();
        for (service, domains) in &targets {
            let busy: f64 = domains.values().map(|sums| sums.busy).sum();
            let correction = self.corrections.entry((*service).clone()).or_default();
            correction.busy.add(busy * passed, now, WORK_TIME);
        }
        self.corrections
            .retain(|service, _| targets.contains_key(service));
        self.work
            .retain(|(service, _), _| targets.contains_key(service));
        let mut out = Vec::new();
        let mut rest = MAX_DOMAIN_LOADS;
        let started_at = self.started_at.unwrap_or(now);
        let is_known = now.saturating_sub(started_at) >= MIN_DEMAND_TIME;
        for (service, of_targets) in targets {
            let bodies = [Bodies::Short, Bodies::Large];
            let works = bodies.map(|bodies| self.work.get(&(service.clone(), bodies)));
            if !is_known || works.iter().all(|work| work.is_none()) {
                continue;
            }
            let load = self.service_load(service, &of_targets, now);
            if load.domains.len() > rest {
                break;
            }
            rest -= load.domains.len();
            out.push(load);
        }
        out
    }

    fn service_load(
        &self,
        service: &ServiceName,
        targets: &BTreeMap<&Domain, TargetSums>,
        now: Duration,
    ) -> ServiceLoad {
        let correction = self.corrections.get(service).copied().unwrap_or_default();
        let took = correction.took.at(now, WORK_TIME) + PRIOR_WORK;
        let busy = correction.busy.at(now, WORK_TIME) + PRIOR_WORK;
        let (least, most) = WORK_CORRECTION_BOUNDS;
        let correction = (busy / took).clamp(least, most);
        let work = |bodies: Bodies| {
            let sum = self.work.get(&(service.clone(), bodies));
            sum.and_then(WorkSum::mean).unwrap_or(0.0) * correction
        };
        let (short, large) = (work(Bodies::Short), work(Bodies::Large));
        let rates = self.rates(service);
        let mut domains: BTreeSet<&Domain> = rates.keys().copied().collect();
        domains.extend(targets.keys().copied());
        let domains = domains.into_iter().map(|domain| {
            let sums = targets.get(domain).copied().unwrap_or_default();
            let speed = if sums.slots > 0.0 {
                sums.speed / sums.slots
            } else {
                1.0
            };
            let rates = rates.get(domain).copied().unwrap_or_default();
            DomainLoad {
                domain: domain.clone(),
                short: (rates.short * short).into(),
                large: (rates.large * large).into(),
                lost_slots: sums.lost,
                speed: (speed * 100.0).round() as u16,
            }
        });
        let domains: Vec<DomainLoad> = domains.collect();
        let mut answered = 0.0;
        let mut total = 0.0;
        for bodies in [Bodies::Short, Bodies::Large] {
            if let Some(sum) = self.work.get(&(service.clone(), bodies)) {
                answered += sum.answered.at(now, WORK_TIME);
                total += sum.took.at(now, WORK_TIME);
            }
        }
        let mean: f64 = if answered > 0.0 {
            total / answered
        } else {
            0.0
        };
        ServiceLoad {
            service: service.clone(),
            work_ms: (mean * correction * 1000.0).round() as u16,
            domains,
        }
    }
}
