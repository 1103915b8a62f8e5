//! A request from its arrival to its first attempt, and its end.

use std::{
    sync::Arc,
    time::Duration, //
};

use camphordale_fleet::{
    Key,
    RetryPolicy,
    Route,
    ServiceName,
    TargetId, //
};

use super::{
    AttemptId,
    Decision,
    Effect,
    Entry,
    IncomingRequest,
    LogEvent,
    Reason, //
    Refusal,
    RequestHandle,
};
use crate::selection::{
    Shortage,
    Situation, //
};

/// Part of its objective for which a request may wait here for a place or a holder.
const PARK_PART: u32 = 10;
/// Part of its objective after which another target gets an idempotent request too.
const HEDGE_PART: f64 = 0.6;
/// A caller that waits for less than this part of the route's timeout has tried before.
const RETURNED_PART: f64 = 0.9;
/// When to come back if this VM has no routing yet.
const NO_ROUTING_PAUSE: Duration = Duration::from_millis(250);
/// When to come back if a service has no target or a key no holder.
const NO_TARGET_PAUSE: Duration = Duration::from_millis(500);
/// Bounds of the time after which to come back when targets are full.
const FULL_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// A request under way.
pub(super) struct Flow {
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) key: Option<Key>,
    pub(super) arrived: Duration,
    pub(super) deadline: Duration,
    /// When the request was first sent.
    pub(super) sent: Option<Duration>,
    /// Targets that the request was sent to.
    pub(super) tried: Vec<TargetId>,
    /// How often the request was sent.
    pub(super) sends: u32,
    /// Whether the caller has tried before.
    pub(super) returned: bool,
    /// Attempts under way.
    pub(super) open: Vec<(AttemptId, TargetId)>,
    /// Whether an attempt that ended may have run.
    pub(super) may_have_run: bool,
    /// Until when the request waits here, if it does.
    pub(super) parked: Option<Duration>,
    /// When the holder of the key is asked again, after it said that it does not hold it or while
    /// the key is between two holders.
    pub(super) ask_again: Duration,
    /// When another target gets the request too.
    pub(super) hedge: Option<Duration>,
    /// Whether the caller has gone.
    pub(super) gone: bool,
    /// Whether work for it was cancelled for the sake of a handover. It is not refused for that.
    pub(super) cancelled: bool,
}

impl Flow {
    pub(super) fn is_idempotent(&self) -> bool {
        self.route.retry_policy == RetryPolicy::Idempotent
    }

    /// Until when the request may wait here: for a part of its objective.
    pub(super) fn wait_end(&self, part: u32) -> Duration {
        match self.cancelled {
            true => self.deadline,
            false => self.arrived + self.route.latency_objective / part,
        }
    }
}

impl Entry {
    pub(super) fn request(
        &mut self,
        arrival: IncomingRequest,
        arrived: Duration,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let request = arrival.handle;
        let refuse = |refusal, reason, view_index: u64, out: &mut Vec<Effect>| {
            out.push(Effect::Log(LogEvent::Refused(Decision {
                request,
                reason,
                service: None,
                target: None,
                attempts: 0,
                queued: now.saturating_sub(arrived),
                age: now.saturating_sub(arrived),
                remaining: (arrived + arrival.caller_timeout.unwrap_or_default())
                    .saturating_sub(now),
                key: arrival.key,
                view_index,
                target_stats: None,
            })));
            out.push(Effect::Refuse { request, refusal });
        };
        let index = self.view.index;
        if self.view.routing.is_none() {
            let refusal = Refusal::NotRun(NO_ROUTING_PAUSE);
            return refuse(refusal, Reason::NoRouting, index, out);
        }
        let found = self.routes.find(&arrival.host, &arrival.path);
        let Some((name, route)) = found.map(|(name, route)| (name.clone(), route.clone())) else {
            return refuse(Refusal::NotFound, Reason::NoRoute, index, out);
        };
        let Some(service) = self.routes.pick(&name, &route) else {
            return refuse(Refusal::NotFound, Reason::NoRoute, index, out);
        };
        let key = if self.view.is_keyed(&service) {
            if arrival.key.is_none() {
                return refuse(Refusal::Malformed, Reason::NoKey, index, out);
            }
            arrival.key
        } else {
            None
        };
        if let Some(key) = key {
            self.sample_key(&service, key);
        }
        if let Some(budget) = self.budgets.get_mut(&service) {
            budget.earn();
        }
        let caller_timeout = arrival.caller_timeout.unwrap_or(route.timeout);
        let returned = caller_timeout < route.timeout.mul_f64(RETURNED_PART);
        let deadline = arrived + caller_timeout.min(route.timeout);
        self.timers.insert((deadline, request));
        self.flows.insert(
            request,
            Flow {
                route,
                service,
                key,
                arrived,
                deadline,
                sent: None,
                tried: Vec::new(),
                sends: 0,
                returned,
                open: Vec::new(),
                may_have_run: false,
                parked: None,
                ask_again: Duration::ZERO,
                hedge: None,
                gone: false,
                cancelled: false,
            },
        );
        self.dispatch(request, now, out);
    }

    /// Sends a request to a target, lets it wait for a moment, or refuses it.
    pub(super) fn dispatch(&mut self, id: RequestHandle, now: Duration, out: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        let moving = flow
            .key
            .and_then(|key| self.handovers.until(&flow.service, key, now));
        let choice = match (flow.key, moving) {
            (_, Some(until)) => return self.await_handover(id, until, now, out),
            (Some(key), None) => self.choose_holder(flow, key, now),
            (None, None) => self.choose(id, now),
        };
        match choice {
            Ok(target) => self.send(id, target, now, out),
            Err((reason, pause)) => self.park_or_refuse(id, reason, pause, now, out),
        }
    }

    fn situation<'a>(&'a self, flow: &'a Flow, now: Duration) -> Situation<'a> {
        let routing = self.view.routing.as_ref();
        let service = routing.and_then(|routing| routing.services.get(&flow.service));
        Situation {
            domain: &self.config.domain,
            share: self.link.share,
            connections: service.map_or(1, |item| item.spec.max_connections),
            objective: flow.route.latency_objective,
            left: flow.deadline.saturating_sub(now),
            returned: flow.returned,
            tried: &flow.tried,
            now,
        }
    }

    /// Picks a target of a service that is not divided by key.
    pub(super) fn choose(
        &mut self,
        id: RequestHandle,
        now: Duration,
    ) -> Result<TargetId, (Reason, Duration)> {
        let mut random = self.random.clone();
        let Some(flow) = self.flows.get(&id) else {
            return Err((Reason::Expired, Duration::ZERO));
        };
        let situation = self.situation(flow, now);
        let pick = situation.pick(&self.peers, &flow.service, &mut random);
        self.random = random;
        match pick {
            Ok(pick) => Ok(pick.id),
            Err(Shortage::NoTarget) => Err((Reason::NoTarget, NO_TARGET_PAUSE)),
            Err(Shortage::Full(expected)) => Err((Reason::Full, expected)),
        }
    }

    /// The holder of a request's key by the view, whether it can be reached or not.
    fn holder_of(&self, flow: &Flow) -> Option<TargetId> {
        let map = self.view.keys.get(&flow.service)?;
        let holder = map.find(flow.key?).holder.as_ref()?;
        Some(holder.id.clone())
    }

    /// Finds the holder of a key.
    fn choose_holder(
        &self,
        flow: &Flow,
        key: Key,
        now: Duration,
    ) -> Result<TargetId, (Reason, Duration)> {
        let none = (Reason::NoHolder, NO_TARGET_PAUSE);
        let map = self.view.keys.get(&flow.service).ok_or(none)?;
        let holder = map.find(key).holder.as_ref().ok_or(none)?;
        let peer = self.peers.get(&holder.id).ok_or(none)?;
        if peer.incarnation != holder.incarnation {
            return Err(none);
        }
        // Until its keys have moved, a target that drains is the only one that can serve them.
        let drained = self.draining.get(&holder.id);
        if drained.is_some_and(|since| now >= *since + self.config.drain_grace) {
            return Err(none);
        }
        if peer.is_paused(now) || peer.is_stuck(now) {
            return Err((Reason::HolderLost, NO_TARGET_PAUSE));
        }
        match self.situation(flow, now).admits(peer) {
            Ok(()) => Ok(holder.id.clone()),
            Err(Shortage::Full(expected)) => Err((Reason::HolderFull, expected)),
            Err(Shortage::NoTarget) => Err(none),
        }
    }

    pub(super) fn send(
        &mut self,
        id: RequestHandle,
        target: TargetId,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        self.parked.remove(&id);
        let connections = match self.flows.get(&id) {
            Some(flow) => self.situation(flow, now).connections(),
            None => return,
        };
        let Some(address) = self.peers.get(&target).map(|peer| peer.address) else {
            return;
        };
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        flow.parked = None;
        flow.sent.get_or_insert(now);
        flow.sends += 1;
        flow.open.push((attempt, target.clone()));
        if !flow.tried.contains(&target) {
            flow.tried.push(target.clone());
        }
        if flow.is_idempotent() && flow.key.is_none() && flow.hedge.is_none() {
            let hedge = flow.arrived + flow.route.latency_objective.mul_f64(HEDGE_PART);
            flow.hedge = Some(hedge);
            self.timers.insert((hedge, id));
        }
        self.attempts.insert(attempt, id);
        self.peers.began(&target, attempt, now);
        out.push(Effect::Send {
            attempt,
            request: id,
            target,
            address,
            deadline: flow.deadline,
            connections,
        });
    }

    fn park_or_refuse(
        &mut self,
        id: RequestHandle,
        reason: Reason,
        pause: Duration,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        let until = flow.wait_end(PARK_PART);
        let may_change = flow.cancelled || !matches!(reason, Reason::NoTarget | Reason::HolderLost);
        if may_change && now < until {
            flow.ask_again = Duration::ZERO;
            return self.park(id, until);
        }
        let pause = match reason {
            Reason::Full | Reason::HolderFull => pause.clamp(FULL_PAUSE.0, FULL_PAUSE.1),
            _ => pause,
        };
        self.refuse(id, reason, pause, now, out);
    }

    /// Ends a request without an answer of a target.
    pub(super) fn refuse(
        &mut self,
        id: RequestHandle,
        reason: Reason,
        pause: Duration,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        let refusal = match reason {
            Reason::TimedOut => Refusal::TimedOut,
            _ if flow.may_have_run || !flow.open.is_empty() => Refusal::Unknown,
            _ => Refusal::NotRun(pause),
        };
        let decision = self.decision(id, reason, now);
        self.end(id, None, out);
        out.extend(decision.map(|decision| Effect::Log(LogEvent::Refused(decision))));
        out.push(Effect::Refuse {
            request: id,
            refusal,
        });
    }

    pub(super) fn decision(
        &self,
        id: RequestHandle,
        reason: Reason,
        now: Duration,
    ) -> Option<Decision> {
        let flow = self.flows.get(&id)?;
        let target = flow.tried.last().cloned().or_else(|| self.holder_of(flow));
        let peer = target.as_deref().and_then(|target| self.peers.get(target));
        let target_stats = peer.map(|peer| peer.target_stats(now));
        Some(Decision {
            request: id,
            reason,
            service: Some(flow.service.clone()),
            target,
            target_stats,
            attempts: flow.tried.len(),
            queued: flow.sent.unwrap_or(now).saturating_sub(flow.arrived),
            age: now.saturating_sub(flow.arrived),
            remaining: flow.deadline.saturating_sub(now),
            key: flow.key,
            view_index: self.view.index,
        })
    }

    /// Forgets a request and gives its attempts up, except the one that is passed on.
    pub(super) fn end(
        &mut self,
        id: RequestHandle,
        passed: Option<AttemptId>,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.remove(&id) else {
            return;
        };
        self.parked.remove(&id);
        self.timers.remove(&(flow.deadline, id));
        for (attempt, target) in flow.open {
            self.attempts.remove(&attempt);
            if Some(attempt) != passed {
                self.peers.dropped(&target, attempt);
                out.push(Effect::Cancel(attempt));
            }
        }
    }

    /// A timer of a request has passed.
    pub(super) fn flow_due(&mut self, id: RequestHandle, now: Duration, out: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get(&id) else {
            return self.routing_overdue(id, now, out);
        };
        if now >= flow.deadline {
            let sent = flow.may_have_run || !flow.open.is_empty();
            let reason = if sent {
                Reason::TimedOut
            } else {
                Reason::Expired
            };
            return self.refuse(id, reason, NO_TARGET_PAUSE, now, out);
        }
        if self.cancel_overdue(id, now, out) {
            return;
        }
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        let asks = !flow.ask_again.is_zero() && now >= flow.ask_again;
        if flow.parked.is_some_and(|until| asks || now >= until) {
            return self.dispatch(id, now, out);
        }
        if flow.hedge.is_some_and(|at| now >= at) && flow.open.len() == 1 {
            self.hedge(id, now, out);
        }
    }

    pub(super) fn caller_gone(&mut self, id: RequestHandle, out: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get_mut(&id) else {
            self.unrouted.retain(|waiting| waiting.arrival.handle != id);
            return;
        };
        // Work that may run once is left to end by itself.
        let cancel = flow.is_idempotent() || flow.open.is_empty();
        flow.gone = true;
        if cancel {
            self.end(id, None, out);
        }
    }
}
