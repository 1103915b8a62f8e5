//! Lifecycle of a request from its arrival to its first attempt, and its end.

use std::{
    sync::Arc,
    time::Duration, //
};

use camphordale_fleet::{
    Address,
    Fingerprint,
    Holder,
    Key,
    RetryPolicy,
    Route,
    RouteName,
    ServiceName,
    TargetId,
    crash_trials::{
        TrialEnd,
        TrialNumber, //
    }, //
};
use rand::Rng;

use super::{
    AttemptId,
    Decision,
    Effect,
    Entry,
    IncomingRequest,
    LogEvent,
    Reason,
    Refusal,
    RequestHandle,
    loads::bodies,
    waiting::ParkKey, //
};
use crate::{
    admission::{
        AdmissionClass,
        AdmissionRule,
        Demand,
        Urgency, //
    },
    certainty::unsure_retry_after,
    domain_overflow::DepartureDraw,
    evidence::{
        Evidence,
        Execution,
        NotRun, //
    },
    selection::{
        AdmissionContext,
        SelectionContext,
        SelectionError, //
    },
};

/// A request may wait for a free slot or a holder for the latency objective divided by this.
const PARK_DIVISOR: u32 = 10;
/// A request may wait for a right to send to a target with a limit for the latency objective divided
/// by this: the answer of the leader takes a moment longer than the next free slot.
pub(super) const RIGHT_WAIT_DIVISOR: u32 = 4;
/// Fraction of the latency objective after which an idempotent request is also sent to another
/// target.
const HEDGE_FRACTION: f64 = 0.6;
/// A caller timeout below this fraction of the route's timeout marks a retry by the caller.
const RETRY_TIMEOUT_FRACTION: f64 = 0.9;
/// Shortest time after which a caller comes back. A smaller difference from the usual timeout may be
/// the time that a request took to arrive.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);
/// Suggested retry delay while this VM has no routing.
const NO_ROUTING_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Suggested retry delay if a service has no target or a key has no holder.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Bounds of the suggested retry delay when targets are full.
const FULL_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(800));
/// A request that waits for the queue of a target is tried again after this time at the earliest.
const MIN_QUEUE_WAIT: Duration = Duration::from_millis(5);

/// A request in progress.
pub(super) struct ActiveRequest {
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) key: Option<Key>,
    pub(super) fingerprint: Fingerprint,
    pub(super) arrived_at: Duration,
    pub(super) deadline: Duration,
    /// When the caller gives up, which may be later than the deadline.
    pub(super) caller_deadline: Duration,
    /// Time of the latency objective, counted from the caller's first attempt.
    pub(super) objective_at: Duration,
    /// Urgency of the route among the routes of the service.
    pub(super) urgency: Urgency,
    /// When the first attempt was sent.
    pub(super) first_sent: Option<Duration>,
    /// Targets that the request was sent to.
    pub(super) tried_targets: Vec<TargetId>,
    /// Addresses that the request was sent to.
    pub(super) tried_addresses: Vec<Address>,
    /// Name of the route.
    pub(super) route_name: RouteName,
    /// Number of attempts sent.
    pub(super) attempts_sent: u32,
    /// Whether the caller is retrying.
    pub(super) is_retry: bool,
    /// Attempts in flight.
    pub(super) in_flight: Vec<(AttemptId, Holder)>,
    /// What the ended attempts show about the execution of the request.
    pub(super) execution: Execution,
    /// Time until which the request waits, if it does.
    pub(super) parked_until: Option<Duration>,
    /// Place among the waiting requests, if it waits.
    pub(super) park_key: Option<ParkKey>,
    /// How long the request may wait for a place, by the last decision of admission control.
    pub(super) queue_wait: Option<Duration>,
    /// When the holder of the key is tried again, after it reported that it does not hold the key
    /// or while the key is moving.
    pub(super) retry_at: Duration,
    /// When the request is also sent to another target.
    pub(super) hedge_at: Option<Duration>,
    /// The random choice whether it leaves its failure domain, once there is a plan.
    pub(super) departure_draw: Option<DepartureDraw>,
    /// The trial of a quarantined request that this one is, until something of it was sent.
    pub(super) trial: Option<TrialNumber>,
    /// Whether the caller has disconnected.
    pub(super) caller_disconnected: bool,
}

impl ActiveRequest {
    pub(super) fn is_idempotent(&self) -> bool {
        self.route.retry_policy == RetryPolicy::Idempotent
    }

    /// What shows that the request was not executed.
    pub(super) fn evidence(&self) -> Option<Evidence> {
        self.execution
            .evidence()
            .filter(|_| self.in_flight.is_empty())
    }

    /// Whether a target may have executed the request or may do so yet.
    pub(super) fn may_run(&self) -> bool {
        self.evidence().is_none()
    }

    /// The request as admission control sees it.
    fn demand(&self, remaining: Duration, now: Duration) -> Demand {
        Demand {
            urgency: self.urgency,
            objective_left: self.objective_at.saturating_sub(now),
            remaining,
            is_repeated: self.attempts_sent > 0,
            may_wait: self.wait_deadline(PARK_DIVISOR).saturating_sub(now),
        }
    }

    /// Time until which the request may wait: the latency objective divided by `divisor`.
    pub(super) fn wait_deadline(&self, divisor: u32) -> Duration {
        self.arrived_at + self.route.latency_objective / divisor
    }
}

impl Entry {
    pub(super) fn route_request(
        &mut self,
        incoming: IncomingRequest,
        arrived_at: Duration,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let request = incoming.handle;
        let (name, route, service) = match self.match_request(&incoming) {
            Ok(matched) => matched,
            Err(reason) => return self.on_unrouted((incoming, reason), arrived_at, now, out),
        };
        let key = incoming.key.filter(|_| self.view.is_keyed(&service));
        match key {
            Some(key) => self.sample_key(&service, key),
            None => self.record_demand(&service, route.large_bodies),
        }
        if let Some(budget) = self.budgets.get_mut(&service) {
            budget.deposit();
        }
        let caller_timeout = incoming.caller_timeout.unwrap_or(route.timeout);
        let deadline = arrived_at + caller_timeout.min(route.timeout);
        let elapsed = match self.routes.is_contended() {
            true => self.time_since_first_try(&name, &route, caller_timeout),
            false => Duration::ZERO,
        };
        let is_short = caller_timeout < route.timeout.mul_f64(RETRY_TIMEOUT_FRACTION);
        let is_retry = is_short || elapsed >= MIN_RETRY_TIME;
        let urgency = self.routes.urgency(&service, &route);
        self.timers.insert((deadline, request));
        self.requests.insert(
            request,
            ActiveRequest {
                objective_at: arrived_at
                    .saturating_add(route.latency_objective)
                    .saturating_sub(elapsed),
                caller_deadline: arrived_at.saturating_add(caller_timeout),
                urgency,
                route,
                service,
                key,
                fingerprint: incoming.fingerprint,
                arrived_at,
                deadline,
                first_sent: None,
                tried_targets: Vec::new(),
                tried_addresses: Vec::new(),
                route_name: name,
                attempts_sent: 0,
                is_retry,
                in_flight: Vec::new(),
                execution: Execution::NONE,
                parked_until: None,
                park_key: None,
                queue_wait: None,
                retry_at: Duration::ZERO,
                hedge_at: None,
                departure_draw: None,
                trial: None,
                caller_disconnected: false,
            },
        );
        self.dispatch(request, now, out);
    }

    /// The route and the service of a request by the routing of this VM, or why there is none.
    fn match_request(
        &mut self,
        incoming: &IncomingRequest,
    ) -> Result<(RouteName, Arc<Route>, ServiceName), Reason> {
        if self.view.routing.is_none() {
            return Err(Reason::NoRouting);
        }
        let found = self.routes.find(&incoming.host, &incoming.path);
        let found = found.map(|(name, route)| (name.clone(), route.clone()));
        let (name, route) = found.ok_or(Reason::NoRoute)?;
        let service = self.routes.pick(&name, &route).ok_or(Reason::NoRoute)?;
        if incoming.key.is_none() && self.view.is_keyed(&service) {
            return Err(Reason::NoKey);
        }
        Ok((name, route, service))
    }

    /// Handles a request that the routing does not allow. It is refused for good only if the routing is
    /// the newest one.
    fn on_unrouted(
        &mut self,
        (incoming, mismatch): (IncomingRequest, Reason),
        arrived_at: Duration,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let is_sure = self.control_stream.is_established() && self.certainty.is_sure(now);
        let not_run = |retry_after| Refusal::NotRun(NotRun::before_dispatch(retry_after));
        let (reason, refusal) = match mismatch {
            Reason::NoRouting => (mismatch, not_run(NO_ROUTING_RETRY_AFTER)),
            Reason::NoKey if is_sure => (mismatch, Refusal::Malformed),
            Reason::NoRoute if is_sure => (mismatch, Refusal::NotFound),
            _ => {
                if let Some(until) = self.newer_routing_wait(&incoming, arrived_at, now) {
                    return self.await_routing(incoming, arrived_at, until);
                }
                let silence = self.control_stream.silence(now);
                let retry_after = unsure_retry_after(self.transfer_time(), silence);
                (Reason::UnsureRouting, not_run(retry_after))
            }
        };
        let request = incoming.handle;
        let age = now.saturating_sub(arrived_at);
        out.push(Effect::Log(LogEvent::Refused(Decision {
            request,
            reason,
            service: None,
            target: None,
            attempts: 0,
            queued: age,
            age,
            remaining: arrived_at
                .saturating_add(incoming.caller_timeout.unwrap_or_default())
                .saturating_sub(now),
            key: incoming.key,
            view_index: self.view.index,
            target_stats: None,
            crashed: Vec::new(),
            evidence: Some(Evidence::Unsent),
        })));
        out.push(Effect::Refuse { request, refusal });
    }

    /// Time since the first try of a caller, which shows in a timeout shorter than the usual one of
    /// the route. While that is unknown, it is taken to be the timeout of the route.
    fn time_since_first_try(
        &mut self,
        name: &RouteName,
        route: &Route,
        caller_timeout: Duration,
    ) -> Duration {
        let elapsed = self.usual_timeouts.record(name, caller_timeout);
        let is_short = caller_timeout < route.timeout.mul_f64(RETRY_TIMEOUT_FRACTION);
        elapsed.unwrap_or(match is_short {
            true => route.timeout - caller_timeout,
            false => Duration::ZERO,
        })
    }

    /// Sends a request to a target, lets it wait for a moment, or refuses it.
    pub(super) fn dispatch(&mut self, id: RequestHandle, now: Duration, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let Err((reason, retry_after)) = self.check_shutdown(request, now) {
            return self.refuse(id, reason, retry_after, now, out);
        }
        if self.refuse_quarantined(id, now, out) {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let Err(wait) = self.link_room(request) {
            return self.park_or_refuse(id, Reason::LinkFull, wait, now, out);
        }
        let moving = request
            .key
            .and_then(|key| self.handovers.wait_until(&request.service, key, now));
        let choice = match (request.key, moving) {
            (_, Some(until)) => return self.await_handover(id, until, now, out),
            (Some(key), None) => self.select_holder(id, key, now),
            (None, None) => self.select_target(id, now),
        };
        match choice {
            Ok(target) => self.send_attempt(id, target, now, out),
            Err((reason, retry_after)) => self.park_or_refuse(id, reason, retry_after, now, out),
        }
    }

    /// Whether the VM's link has room for the response to a request that is not sent yet.
    pub(super) fn link_room(&self, request: &ActiveRequest) -> Result<(), Duration> {
        let Some(expected) = self.link.expected(&request.route_name) else {
            return Ok(());
        };
        let others = self.requests.values().filter(|r| !r.in_flight.is_empty());
        let pending = others.filter_map(|r| self.link.expected(&r.route_name));
        self.link.admit(expected, pending.sum())
    }

    fn selection_context<'a>(
        &'a self,
        request: &'a ActiveRequest,
        now: Duration,
    ) -> SelectionContext<'a> {
        let routing = self.view.routing.as_ref();
        let service = routing.and_then(|routing| routing.services.get(&request.service));
        SelectionContext {
            domain: &self.config.domain,
            entries: self.control_stream.entries,
            max_connections: service.map_or(1, |item| item.spec.max_connections),
            latency_objective: request.route.latency_objective,
            remaining: self.time_left(request, now),
            is_retry: request.is_retry,
            tried_targets: &request.tried_targets,
            evacuations: &self.view.evacuations,
            limit_source: self.limit_source(now),
            overflow: self
                .overflow_plan(&request.service, now)
                .zip(request.departure_draw),
            bodies: bodies(request.route.large_bodies),
            admission: self.admission_context(request, now),
            now,
        }
    }

    /// Whether admission control bounds the queues of targets.
    pub(super) fn bounds_queues(&self) -> bool {
        self.config.admission == AdmissionRule::Objective && self.routes.is_contended()
    }

    /// Inputs of admission control, if it bounds the queues of targets.
    fn admission_context<'a>(
        &'a self,
        request: &'a ActiveRequest,
        now: Duration,
    ) -> Option<AdmissionContext<'a>> {
        let shares = self.admissions.get(&request.service);
        self.bounds_queues().then(|| AdmissionContext {
            demand: request.demand(self.time_left(request, now), now),
            shares,
        })
    }

    /// Records that admission control admitted a request at a target, to which `vms` VMs send.
    fn record_admission(
        &mut self,
        id: RequestHandle,
        target: &TargetId,
        (class, vms): (Option<AdmissionClass>, u32),
        now: Duration,
    ) {
        let (Some(class), Some(request)) = (class, self.requests.get(&id)) else {
            return;
        };
        let Some(tracked) = self.targets.get(target) else {
            return;
        };
        let context = self.selection_context(request, now);
        let estimate = context.estimate(target, tracked, vms);
        let demand = request.demand(self.time_left(request, now), now);
        let shares = self.admissions.entry(request.service.clone()).or_default();
        shares.record_admission(&demand, estimate.expected_latency, class);
        shares.record_pace(target, estimate.pace);
    }

    /// Records how long a request may wait that is not admitted because of load.
    fn overloaded(
        &mut self,
        id: RequestHandle,
        reason: Reason,
        drain: Duration,
        wait: Option<Duration>,
    ) -> (Reason, Duration) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.queue_wait = wait;
        }
        (reason, drain)
    }

    /// Selects a target of a service that is not keyed.
    pub(super) fn select_target(
        &mut self,
        id: RequestHandle,
        now: Duration,
    ) -> Result<TargetId, (Reason, Duration)> {
        self.draw_departure(id, now);
        let mut random = self.random.clone();
        let Some(request) = self.requests.get(&id) else {
            return Err((Reason::Expired, Duration::ZERO));
        };
        self.check_shutdown(request, now)?;
        let context = self.selection_context(request, now);
        let pick = context.pick(&self.targets, &request.service, &mut random);
        self.random = random;
        match pick {
            Ok(pick) => {
                self.record_departure(pick.departure);
                let vms = self.control_stream.entries.domain;
                self.record_admission(id, &pick.id, (pick.class, vms), now);
                if let Some(denied) = pick.denied {
                    self.want_right(&denied);
                }
                Ok(pick.id)
            }
            Err(SelectionError::Limited(denied)) => Err(self.limited(id, &denied, now)),
            Err(SelectionError::Paused(rest)) => Err(self.paused(rest)),
            Err(SelectionError::NoTarget) => Err((Reason::NoTarget, NO_TARGET_RETRY_AFTER)),
            Err(SelectionError::Evacuated) => Err((Reason::Evacuated, NO_TARGET_RETRY_AFTER)),
            Err(SelectionError::Full(expected)) => Err((Reason::Full, expected)),
            Err(SelectionError::Overloaded { drain, wait }) => {
                Err(self.overloaded(id, Reason::Full, drain, wait))
            }
        }
    }

    /// The holder of the request's key in the view, whether it is reachable or not.
    pub(super) fn holder_of(&self, request: &ActiveRequest) -> Option<&TargetId> {
        let map = self.view.keys.get(&request.service)?;
        let holder = map.find(request.key?).holder.as_ref()?;
        Some(&holder.id)
    }

    /// Selects the holder of a key.
    pub(super) fn select_holder(
        &mut self,
        id: RequestHandle,
        key: Key,
        now: Duration,
    ) -> Result<TargetId, (Reason, Duration)> {
        let Some(request) = self.requests.get(&id) else {
            return Err((Reason::Expired, Duration::ZERO));
        };
        self.check_shutdown(request, now)?;
        let none = (Reason::NoHolder, NO_TARGET_RETRY_AFTER);
        let map = self.view.keys.get(&request.service).ok_or(none)?;
        let holder = map.find(key).holder.as_ref().ok_or(none)?;
        let tracked = self.targets.get(&holder.id).ok_or(none)?;
        if tracked.incarnation != holder.incarnation {
            return Err(none);
        }
        // Until its keys have moved, a draining target is the only one that can serve them.
        let draining_since = self.draining_since.get(&holder.id);
        if draining_since.is_some_and(|since| now >= *since + self.config.drain_grace) {
            return Err(none);
        }
        let leaving_since = tracked.leaving_since();
        if leaving_since.is_some_and(|since| now >= since + self.config.drain_grace) {
            return Err((Reason::Leaving, NO_TARGET_RETRY_AFTER));
        }
        if self.evacuations.has_passed(&tracked.domain, now) {
            return Err((Reason::Evacuated, NO_TARGET_RETRY_AFTER));
        }
        if tracked.is_backing_off(now) || tracked.is_stalled(now) {
            return Err((Reason::HolderLost, NO_TARGET_RETRY_AFTER));
        }
        let holder_id = holder.id.clone();
        match self
            .selection_context(request, now)
            .admits(&holder_id, tracked)
        {
            Ok(class) => {
                let vms = self.control_stream.entries.all;
                self.record_admission(id, &holder_id, (class, vms), now);
                Ok(holder_id)
            }
            Err(SelectionError::Limited(denied)) => Err(self.limited(id, &denied, now)),
            Err(SelectionError::Paused(rest)) => Err(self.paused(rest)),
            Err(SelectionError::Full(expected)) => Err((Reason::HolderFull, expected)),
            Err(SelectionError::Overloaded { drain, wait }) => {
                Err(self.overloaded(id, Reason::HolderFull, drain, wait))
            }
            Err(SelectionError::NoTarget | SelectionError::Evacuated) => Err(none),
        }
    }

    pub(super) fn send_attempt(
        &mut self,
        id: RequestHandle,
        target: TargetId,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        self.unpark(id);
        let connections = match self.requests.get(&id) {
            Some(request) => self.selection_context(request, now).connection_limit(),
            None => return,
        };
        let source = self.limit_source(now);
        let Some(tracked) = self.targets.get_mut(&target) else {
            return;
        };
        tracked.limit.take(source, now);
        let address = tracked.address;
        let holder = Holder {
            id: target.clone(),
            incarnation: tracked.incarnation,
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        request.parked_until = None;
        request.first_sent.get_or_insert(now);
        request.attempts_sent += 1;
        request.in_flight.push((attempt, holder));
        if !request.tried_targets.contains(&target) {
            request.tried_targets.push(target.clone());
        }
        // Connections are kept by address, and two targets may have announced the same one.
        let repeated = request.tried_addresses.contains(&address);
        if !repeated {
            request.tried_addresses.push(address);
        }
        if request.is_idempotent() && request.key.is_none() && request.hedge_at.is_none() {
            let hedge =
                request.arrived_at + request.route.latency_objective.mul_f64(HEDGE_FRACTION);
            request.hedge_at = Some(hedge);
            self.timers.insert((hedge, id));
        }
        self.attempts.insert(attempt, id);
        self.targets.attempt_started(&target, attempt, now);
        out.push(Effect::Send {
            attempt,
            request: id,
            target,
            address,
            deadline: request.deadline,
            connections,
            repeated,
        });
    }

    fn park_or_refuse(
        &mut self,
        id: RequestHandle,
        reason: Reason,
        retry_after: Duration,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let bounds_queues = self.bounds_queues();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let until = request.wait_deadline(match reason {
            Reason::Limited => RIGHT_WAIT_DIVISOR,
            _ => PARK_DIVISOR,
        });
        let until = match (reason, request.queue_wait) {
            (Reason::Full | Reason::HolderFull, wait) if bounds_queues => match wait {
                Some(wait) => until.min(now + wait.max(MIN_QUEUE_WAIT)),
                // Waiting here cannot help.
                None => now,
            },
            _ => until,
        };
        let is_settled = matches!(
            reason,
            Reason::NoTarget
                | Reason::HolderLost
                | Reason::Leaving
                | Reason::Evacuated
                | Reason::Paused
        );
        if !is_settled && now < until {
            request.retry_at = Duration::ZERO;
            return self.park(id, until, now);
        }
        let retry_after = match reason {
            Reason::Full | Reason::HolderFull if bounds_queues => retry_after,
            Reason::Full | Reason::HolderFull | Reason::LinkFull | Reason::Limited => {
                retry_after.clamp(FULL_RETRY_AFTER.0, FULL_RETRY_AFTER.1)
            }
            _ => retry_after,
        };
        self.refuse(id, reason, retry_after, now, out);
    }

    /// Ends a request with a response generated by this VM.
    pub(super) fn refuse(
        &mut self,
        id: RequestHandle,
        reason: Reason,
        retry_after: Duration,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_load = matches!(
            reason,
            Reason::Full | Reason::HolderFull | Reason::Shed | Reason::NoHolder
        );
        let in_flight = !request.in_flight.is_empty();
        let retry_after = match is_load && self.bounds_queues() {
            true => self.spread_retry(id, reason, retry_after, now),
            false => retry_after,
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let promise = request.execution.promise(in_flight, retry_after);
        let refusal = match (reason, promise) {
            (Reason::TimedOut, _) => Refusal::TimedOut,
            (_, None) => Refusal::Unknown,
            (Reason::Quarantined, Some(_)) => Refusal::Quarantined,
            (_, Some(promise)) => Refusal::NotRun(promise),
        };
        let decision = self.decision(id, reason, now);
        self.finish_request(id, None, out);
        out.extend(decision.map(|decision| Effect::Log(LogEvent::Refused(decision))));
        out.push(Effect::Refuse {
            request: id,
            refusal,
        });
    }

    /// Retry delay of a request that is refused because of load. Returning callers are spread over
    /// time, because they come back to other VMs.
    fn spread_retry(
        &mut self,
        id: RequestHandle,
        reason: Reason,
        retry_after: Duration,
        now: Duration,
    ) -> Duration {
        let Some(request) = self.requests.get(&id) else {
            return retry_after;
        };
        let remaining = request.caller_deadline.saturating_sub(now);
        let last = request.tried_targets.last();
        let drain = match last.and_then(|id| Some((id, self.targets.get(id)?))) {
            Some((id, tracked)) if reason == Reason::Shed => {
                self.selection_context(request, now).drain_time(id, tracked)
            }
            _ => retry_after,
        };
        let shares = self.admissions.entry(request.service.clone()).or_default();
        if reason != Reason::NoHolder {
            shares.record_refusal();
        }
        shares.retry_after(drain, remaining, self.random.random())
    }

    pub(super) fn decision(
        &self,
        id: RequestHandle,
        reason: Reason,
        now: Duration,
    ) -> Option<Decision> {
        let request = self.requests.get(&id)?;
        let target = request
            .tried_targets
            .last()
            .cloned()
            .or_else(|| self.holder_of(request).cloned());
        let tracked = target
            .as_deref()
            .and_then(|target| self.targets.get(target));
        let target_stats = tracked.map(|tracked| tracked.stats(now));
        Some(Decision {
            request: id,
            reason,
            service: Some(request.service.clone()),
            target,
            target_stats,
            attempts: request.tried_targets.len(),
            queued: request
                .first_sent
                .unwrap_or(now)
                .saturating_sub(request.arrived_at),
            age: now.saturating_sub(request.arrived_at),
            remaining: request.deadline.saturating_sub(now),
            key: request.key,
            view_index: self.view.index,
            crashed: self.crashes.crashed(request.fingerprint),
            evidence: request.evidence(),
        })
    }

    /// Removes a request and cancels its attempts, except the one whose response is forwarded.
    pub(super) fn finish_request(
        &mut self,
        id: RequestHandle,
        forwarded: Option<AttemptId>,
        out: &mut Vec<Effect>,
    ) {
        self.unpark(id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.timers.remove(&(request.deadline, id));
        if let Some(number) = request.trial
            && request.in_flight.is_empty()
        {
            self.crashes
                .end_trial(request.fingerprint, number, TrialEnd::Unsent);
        }
        for (attempt, holder) in request.in_flight {
            self.attempts.remove(&attempt);
            if Some(attempt) != forwarded {
                self.targets.attempt_cancelled(&holder.id, attempt);
                out.push(Effect::Cancel(attempt));
            }
        }
    }

    /// Handles a timer of a request.
    pub(super) fn on_request_timer(
        &mut self,
        id: RequestHandle,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return self.on_routing_timeout(id, now, out);
        };
        if now >= request.deadline {
            let reason = if request.may_run() {
                Reason::TimedOut
            } else {
                Reason::Expired
            };
            return self.refuse(id, reason, NO_TARGET_RETRY_AFTER, now, out);
        }
        let retry_due = !request.retry_at.is_zero() && now >= request.retry_at;
        if request
            .parked_until
            .is_some_and(|until| retry_due || now >= until)
        {
            return self.dispatch(id, now, out);
        }
        if request.hedge_at.is_some_and(|at| now >= at) && request.in_flight.len() == 1 {
            self.hedge(id, now, out);
        }
    }

    pub(super) fn on_caller_disconnected(&mut self, id: RequestHandle, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            self.unrouted
                .retain(|waiting| waiting.incoming.handle != id);
            return;
        };
        // An attempt that must not be repeated is left to finish.
        let cancel = request.is_idempotent() || request.in_flight.is_empty();
        request.caller_disconnected = true;
        if cancel {
            self.finish_request(id, None, out);
        }
    }
}
