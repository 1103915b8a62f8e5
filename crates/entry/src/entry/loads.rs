//! Exchange of the load of targets and of the demand of failure domains with the control leader, for
//! contended routings.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_fleet::{
    Domain,
    PeerMessage,
    ServiceName,
    load_summary::{
        MAX_REPORTED_TARGETS,
        TargetLoad,
        TargetTag, //
    },
    service_demand::{
        Bodies,
        ServiceDemand,
        ServiceLoad,
        TargetWork, //
    }, //
};

use super::{
    Effect,
    Entry,
    LogEvent,
    RequestHandle, //
};
use crate::{
    control_stream::{
        ControlStreamEffect,
        PING_INTERVAL, //
    },
    domain_overflow::{
        Departure,
        DepartureDraw,
        DomainBalance,
        OverflowPlan,
        OverflowPlans, //
    },
    selection::DepartureReason, //
};

/// Time without reports after the control VM closed the stream on the first one: a control VM of an
/// older version closes the stream on a message that it does not know.
const UNKNOWN_MESSAGE_PAUSE: Duration = Duration::from_secs(16);

/// Age of a summary at which each VM decides alone again: seven summaries were lost, and loads that
/// were stated last have decayed.
const MAX_SUMMARY_AGE: Duration = Duration::from_millis(1500);

/// Whether the control VM at the other end of the stream takes reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Peer {
    /// No report was sent on this stream.
    #[default]
    Untried,
    /// The first report was sent at this time, and no reply to a later ping has arrived.
    Tried(Duration),
    /// The control VM replied after it had read a report.
    TakesReports,
}

/// State of the reports to the leader.
#[derive(Debug, Default)]
pub(super) struct LoadReports {
    peer: Peer,
    paused_until: Duration,
}

impl LoadReports {
    /// Handles the reply to a ping: the leader has read what was sent before it.
    pub(super) fn confirm(&mut self, sent: Duration) {
        if matches!(self.peer, Peer::Tried(since) if sent >= since) {
            self.peer = Peer::TakesReports;
        }
    }

    /// Handles that this VM has no stream.
    pub(super) fn on_stream_left(&mut self) {
        self.peer = Peer::Untried;
    }

    /// Handles the end of a stream that the control VM closed.
    pub(super) fn on_stream_closed(&mut self, now: Duration) {
        if let Peer::Tried(_) = std::mem::take(&mut self.peer) {
            self.paused_until = now + UNKNOWN_MESSAGE_PAUSE;
        }
    }
}

/// Requests that this VM sent to another failure domain, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DepartureCounts {
    /// They are among the fraction that leaves.
    pub planned: u64,
    /// No target of their own domain could respond in time.
    pub none_in_time: u64,
    /// There was no recent summary of the load.
    pub unplanned: u64,
}

/// Requests for a service since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct Taken {
    short: u16,
    large: u16,
}

/// Number of responses since the last report, and the sum of their latencies in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    answered: u16,
    took_ms: f64,
}

/// Demand and load by failure domain, and what follows for the requests of this VM.
#[derive(Debug, Default)]
pub(super) struct DomainLoads {
    taken: BTreeMap<ServiceName, Taken>,
    work: BTreeMap<(TargetTag, Bodies), Work>,
    /// When the counts of requests began.
    counted_from: Option<Duration>,
    departed: DepartureCounts,
    /// The last summary of the demand, and when it was received.
    demand: Vec<ServiceLoad>,
    received_at: Option<Duration>,
    /// Whether the plans are not based on the newest capacity.
    is_outdated: bool,
    plans: OverflowPlans,
}

impl DomainLoads {
    /// Handles a change of a target in the registry. The plans follow with the next tick, so that
    /// many changes together are one pass over the targets.
    pub(super) fn capacity_changed(&mut self) {
        self.is_outdated = true;
    }

    fn is_fresh(&self, now: Duration) -> bool {
        let received_at = self.received_at;
        received_at.is_some_and(|at| now.saturating_sub(at) <= MAX_SUMMARY_AGE)
    }

    /// The time that the counts cover, in milliseconds.
    fn take_covered(&mut self, now: Duration) -> u16 {
        let counted_from = self.counted_from.replace(now);
        let covered = counted_from.map_or(PING_INTERVAL, |from| now.saturating_sub(from));
        u16::try_from(covered.as_millis()).unwrap_or(u16::MAX)
    }

    fn take_demand(&mut self) -> Vec<ServiceDemand> {
        let taken = std::mem::take(&mut self.taken).into_iter();
        let demand = taken.map(|(service, taken)| ServiceDemand {
            service,
            short: taken.short,
            large: taken.large,
        });
        demand.collect()
    }

    fn take_work(&mut self) -> Vec<TargetWork> {
        let work = std::mem::take(&mut self.work).into_iter();
        let work = work.map(|((tag, bodies), work)| TargetWork {
            tag,
            bodies,
            answered: work.answered,
            took_ms: work.took_ms.round() as u32,
        });
        work.take(MAX_REPORTED_TARGETS).collect()
    }
}

/// Length of the bodies on a route.
pub(super) fn bodies(large: bool) -> Bodies {
    match large {
        true => Bodies::Large,
        false => Bodies::Short,
    }
}

impl Entry {
    /// Tells the leader the loads that targets stated since the last ping. Call this just before the
    /// ping, whose reply shows that the leader takes reports.
    pub(super) fn report_loads(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if !self.routes.is_contended() || now < self.load_reports.paused_until {
            return;
        }
        if self.load_reports.peer == Peer::Untried {
            self.load_reports.peer = Peer::Tried(now);
        }
        let mut unreachable = Vec::new();
        for service in self.plain_services() {
            unreachable.extend(self.targets.unreachable(service, now));
        }
        unreachable.truncate(MAX_REPORTED_TARGETS);
        let message = PeerMessage::TargetLoads {
            loads: self.targets.take_loads(MAX_REPORTED_TARGETS, now),
            covered_ms: self.domain_loads.take_covered(now),
            demand: self.domain_loads.take_demand(),
            work: self.domain_loads.take_work(),
            unreachable,
        };
        out.push(Effect::ControlStream(ControlStreamEffect::Send(message)));
        let departed = std::mem::take(&mut self.domain_loads.departed);
        if departed != DepartureCounts::default() {
            out.push(Effect::Log(LogEvent::Departed(departed)));
        }
    }

    fn plain_services(&self) -> impl Iterator<Item = &ServiceName> {
        let routing = self.view.routing.iter();
        let services = routing.flat_map(|routing| &routing.services);
        let plain = services.filter(|(_, item)| !item.spec.keys.is_keyed());
        plain.map(|(name, _)| name)
    }

    /// Counts a request for a plain service that a caller sent.
    pub(super) fn record_demand(&mut self, service: &ServiceName, large: bool) {
        if !self.routes.is_contended() {
            return;
        }
        let taken = match self.domain_loads.taken.get_mut(service) {
            Some(taken) => taken,
            None => self.domain_loads.taken.entry(service.clone()).or_default(),
        };
        let count = match bodies(large) {
            Bodies::Short => &mut taken.short,
            Bodies::Large => &mut taken.large,
        };
        *count = count.saturating_add(1);
    }

    /// Counts a response, which took this time without the slowdown explained by the target's load.
    pub(super) fn record_work(&mut self, target: &str, large: bool, took: Option<Duration>) {
        if !self.routes.is_contended() {
            return;
        }
        let (Some(tracked), Some(took)) = (self.targets.get(target), took) else {
            return;
        };
        if self.view.is_keyed(&tracked.service) {
            return;
        }
        let work = self.domain_loads.work.entry((tracked.tag(), bodies(large)));
        let work = work.or_default();
        work.answered = work.answered.saturating_add(1);
        work.took_ms += took.as_secs_f64() * 1000.0;
    }

    /// Counts a request that leaves its failure domain.
    pub(super) fn record_departure(&mut self, reason: Option<DepartureReason>) {
        if !self.routes.is_contended() {
            return;
        }
        let departed = &mut self.domain_loads.departed;
        match reason {
            Some(DepartureReason::Planned) => departed.planned += 1,
            Some(DepartureReason::NoneInTime) => departed.none_in_time += 1,
            Some(DepartureReason::Unplanned) => departed.unplanned += 1,
            None => {}
        }
    }

    /// Which requests for a service leave their domain, if a recent summary tells it.
    pub(super) fn overflow_plan(&self, service: &str, now: Duration) -> Option<&OverflowPlan> {
        let is_known = self.routes.is_contended() && self.domain_loads.is_fresh(now);
        let plan = is_known.then(|| self.domain_loads.plans.get(service));
        plan.flatten()
    }

    /// Draws whether a request leaves its failure domain, if there is a plan and it has not drawn yet.
    pub(super) fn draw_departure(&mut self, id: RequestHandle, now: Duration) {
        let request = self.requests.get(&id);
        let Some(request) = request.filter(|request| request.departure_draw.is_none()) else {
            return;
        };
        if self.overflow_plan(&request.service, now).is_none() {
            return;
        }
        let draw = DepartureDraw::new(&mut self.random);
        if let Some(request) = self.requests.get_mut(&id) {
            request.departure_draw = Some(draw);
        }
    }

    /// Brings the plans up to date after a change of capacity.
    pub(super) fn plan_departures(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let is_outdated = std::mem::take(&mut self.domain_loads.is_outdated);
        if !is_outdated || !self.routes.is_contended() || !self.domain_loads.is_fresh(now) {
            return;
        }
        let demand = std::mem::take(&mut self.domain_loads.demand);
        for load in &demand {
            let plan = OverflowPlan::new(&self.balances(load));
            let (domain, plans) = (&self.config.domain, &mut self.domain_loads.plans);
            let before = plans.get(&load.service);
            let before = before.map_or(Departure::default(), |plan| plan.departure(domain));
            plans.adopt(&load.service, plan, now);
            let Some(plan) = plans.get(&load.service) else {
                continue;
            };
            let departure = plan.departure(domain);
            if departure != before {
                out.push(Effect::Log(LogEvent::Departure {
                    service: load.service.clone(),
                    departure,
                    receivers: plan.receivers().to_vec(),
                }));
            }
        }
        self.domain_loads.demand = demand;
    }

    /// Demand and capacity of each domain. The capacity follows the registry of this VM, which learns
    /// of evacuations and of targets that leave before the next summary.
    fn balances(&self, load: &ServiceLoad) -> Vec<DomainBalance> {
        let work = Duration::from_millis(u64::from(load.work_ms));
        let mut slots: BTreeMap<&Domain, f64> = BTreeMap::new();
        for (_, tracked) in self.targets.of_service(&load.service) {
            if !self.view.is_evacuated(&tracked.domain) {
                *slots.entry(&tracked.domain).or_default() += tracked.usable_slots(work);
            }
        }
        let mut balances: Vec<DomainBalance> = Vec::new();
        for of_domain in &load.domains {
            let slots = slots.remove(&of_domain.domain).unwrap_or(0.0);
            let slots = (slots - f64::from(of_domain.lost_slots)).max(0.0);
            balances.push(DomainBalance {
                domain: of_domain.domain.clone(),
                short: of_domain.short.into(),
                large: of_domain.large.into(),
                capacity: slots * f64::from(of_domain.speed) / 100.0,
            });
        }
        // Domains whose first target has registered since the summary.
        balances.extend(slots.into_iter().map(|(domain, capacity)| DomainBalance {
            domain: domain.clone(),
            short: 0.0,
            large: 0.0,
            capacity,
        }));
        balances
    }

    /// Adopts the loads that other VMs saw, and the demand of all domains.
    pub(super) fn on_load_summary(
        &mut self,
        loads: &[TargetLoad],
        demand: Vec<ServiceLoad>,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if !self.routes.is_contended() {
            return;
        }
        self.targets.record_shared_loads(loads, now);
        let is_known = |service: &ServiceName| demand.iter().any(|load| load.service == *service);
        self.domain_loads.plans.retain(is_known);
        self.domain_loads.demand = demand;
        self.domain_loads.received_at = Some(now);
        self.domain_loads.is_outdated = true;
        self.plan_departures(now, out);
    }
}
