//! Results of attempts, and retries at another target.

use std::time::Duration;

use camphordale_fleet::{
    TargetId,
    crash_trials::TrialEnd, //
};

use super::{
    AttemptId,
    AttemptResult,
    Decision,
    Effect,
    Entry,
    LogEvent,
    Reason,
    RequestHandle,
    request::ActiveRequest, //
};
use crate::targets::TrackedTarget;

/// Status of a target that does not hold the key.
const MISDIRECTED_STATUS: u16 = 421;
/// Lowest status that counts as a failure of the target.
const MIN_FAILURE_STATUS: u16 = 500;
/// Suggested retry delay if a full target rejected the request or the request could not be
/// delivered.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Suggested retry delay if a target with free slots rejected the request: a longer wait would not
/// help.
const FREE_SLOTS_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Delay before the same holder is tried again; a change of holder takes about as long.
const HOLDER_RETRY_DELAY: Duration = Duration::from_millis(60);
/// After the holder rejected it, a request may wait for the latency objective divided by this.
const HOLDER_WAIT_DIVISOR: u32 = 4;
/// A retry is sent only if this fraction of the target's mean latency remains until the deadline.
const MIN_REMAINING_FRACTION: f64 = 0.7;
/// Failed connections after which the request is refused.
const MAX_CONNECT_FAILURES: usize = 3;

impl Entry {
    pub(super) fn on_attempt_ended(
        &mut self,
        attempt: AttemptId,
        (result, length): (AttemptResult, usize),
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(id) = self.attempts.remove(&attempt) else {
            out.push(Effect::Discard(attempt));
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(at) = request
            .in_flight
            .iter()
            .position(|(other, _)| *other == attempt)
        else {
            return;
        };
        let (_, holder) = request.in_flight.remove(at);
        let target = &holder.id;
        let fingerprint = request.fingerprint;
        let service = request.service.clone();
        let route_name = request.route_name.clone();
        let is_long = self.link.expected(&route_name).is_some();
        let ended_at = holder.id.clone();
        let is_unsent = matches!(result, AttemptResult::Failed { sent: false, .. });
        let trial = request.trial.take_if(|_| !is_unsent);
        match result {
            AttemptResult::Complete {
                status,
                load,
                executed,
            } => {
                if status < MIN_FAILURE_STATUS {
                    self.link.record(&route_name, length);
                }
                let failed = status >= MIN_FAILURE_STATUS;
                if failed {
                    request.execution.record_possible();
                }
                let large = request.route.large_bodies;
                let took = self
                    .targets
                    .attempt_completed(target, attempt, failed, load, now);
                self.record_work(target, large, took);
                // A target may respond before it has executed the request.
                if executed && !failed && self.crashes.record_completion(fingerprint, now) {
                    out.push(Effect::Log(LogEvent::Cleared {
                        request: id,
                        fingerprint,
                    }));
                }
                self.on_response(id, (attempt, holder.id), failed, now, out);
            }
            AttemptResult::NotExecuted { status, load } => {
                request.execution.record_statement();
                let misdirected = status == MISDIRECTED_STATUS && request.key.is_some();
                match misdirected {
                    true => self.targets.attempt_misdirected(target, attempt, load, now),
                    false => {
                        self.targets
                            .attempt_completed(target, attempt, true, load, now);
                    }
                }
                out.push(Effect::Discard(attempt));
                self.on_not_executed(id, misdirected, now, out);
            }
            AttemptResult::Unproved { load } => {
                request.execution.record_possible();
                self.targets
                    .attempt_completed(target, attempt, true, load, now);
                self.on_attempt_lost(id, Reason::Unproved, now, out);
            }
            AttemptResult::Failed {
                sent,
                received,
                closed,
            } => {
                if sent {
                    request.execution.record_possible();
                }
                // An established connection shows that the target is reachable.
                self.targets
                    .attempt_failed(target, attempt, sent || received, now);
                if !sent && !received {
                    self.on_connection_failed(&holder, now, out);
                }
                if sent && closed {
                    self.crashes.record_crash(fingerprint, &holder, now);
                    if let Some(number) = trial {
                        self.crashes
                            .end_trial(fingerprint, number, TrialEnd::Crashed);
                    }
                    self.refuse_waiting(fingerprint, now, out);
                }
                match sent {
                    true => self.on_attempt_lost(id, Reason::Lost, now, out),
                    false => self.on_attempt_unsent(id, now, out),
                }
            }
        }
        match is_long {
            // Room on the link is for requests of any service.
            true => self.retry_parked(None, now, out),
            false => self.retry_parked_at(&service, &ended_at, now, out),
        }
    }

    fn on_response(
        &mut self,
        id: RequestHandle,
        (attempt, target): (AttemptId, TargetId),
        failed: bool,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let late = now > request.arrived_at + request.route.latency_objective;
        if failed && request.is_idempotent() {
            let others = !request.in_flight.is_empty();
            if others || self.retry(id, Reason::Failure, now, out) {
                out.push(Effect::Discard(attempt));
                return;
            }
        }
        let reason = if failed {
            Reason::Failure
        } else {
            Reason::Success
        };
        let decision = self.decision(id, reason, now).map(|decision| Decision {
            target: Some(target),
            ..decision
        });
        self.finish_request(id, Some(attempt), out);
        out.extend(decision.map(|decision| Effect::ForwardResponse {
            request: id,
            attempt,
            decision,
            late,
        }));
    }

    fn on_not_executed(
        &mut self,
        id: RequestHandle,
        misdirected: bool,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.in_flight.is_empty() {
            return;
        }
        if self.refuse_quarantined(id, now, out) {
            return;
        }
        if misdirected {
            return self.await_holder(id, now, out);
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let last = request
            .tried_targets
            .last()
            .and_then(|target| self.targets.get(target));
        let retry_after = match last {
            Some(tracked) if tracked.load(now) < f64::from(tracked.slots) => FREE_SLOTS_RETRY_AFTER,
            _ => SHED_RETRY_AFTER,
        };
        if !self.retry(id, Reason::Shed, now, out) {
            self.refuse(id, Reason::Shed, retry_after, now, out);
        }
    }

    /// Waits for the next view, because the holder of the key is changing.
    fn await_holder(&mut self, id: RequestHandle, now: Duration, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let until = request.wait_deadline(HOLDER_WAIT_DIVISOR);
        let key = request.key.unwrap_or_default();
        let moving = self.handovers.wait_until(&request.service, key, now);
        let allowed = self.budgets.get_mut(&request.service);
        let allowed = allowed.is_some_and(|budget| budget.take());
        if !allowed || (now >= until && moving.is_none()) {
            return self.refuse(id, Reason::NoHolder, SHED_RETRY_AFTER, now, out);
        }
        if let Some(retry_at) = moving {
            return self.await_handover(id, retry_at, now, out);
        }
        request.retry_at = now + HOLDER_RETRY_DELAY;
        self.park(id, until, now);
    }

    /// Handles the end of an attempt that brought no usable response and may have been executed.
    fn on_attempt_lost(
        &mut self,
        id: RequestHandle,
        reason: Reason,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.in_flight.is_empty() {
            return;
        }
        let retried = request.is_idempotent() && self.retry(id, reason, now, out);
        if !retried {
            self.refuse(id, reason, SHED_RETRY_AFTER, now, out);
        }
    }

    /// Sends the request to another target. Nothing was sent, so this does not count as a retry.
    fn on_attempt_unsent(&mut self, id: RequestHandle, now: Duration, out: &mut Vec<Effect>) {
        let waits_for_others = |request: &ActiveRequest| !request.in_flight.is_empty();
        if self.requests.get(&id).is_some_and(waits_for_others)
            || self.refuse_quarantined(id, now, out)
        {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.key.is_some() || request.tried_targets.len() >= MAX_CONNECT_FAILURES {
            return self.refuse(id, Reason::Unreached, SHED_RETRY_AFTER, now, out);
        }
        match self.select_target(id, now) {
            Ok(target) => {
                let decision = self.decision(id, Reason::Unreached, now);
                out.extend(decision.map(|d| Effect::Log(LogEvent::Retried(d))));
                self.send_attempt(id, target, now, out);
            }
            Err((reason, retry_after)) => self.refuse(id, reason, retry_after, now, out),
        }
    }

    /// Sends the request once more, if the route, the deadline and the retry budget allow it.
    fn retry(
        &mut self,
        id: RequestHandle,
        reason: Reason,
        now: Duration,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let may_repeat = !request.caller_disconnected && self.check_shutdown(request, now).is_ok();
        if !may_repeat || request.attempts_sent >= request.route.max_attempts {
            return false;
        }
        if request.may_run() && self.crashes.is_suspect(request.fingerprint) {
            return false;
        }
        let remaining = self.time_left(request, now);
        let service = request.service.clone();
        let target = match request.key {
            // A holder that was full rejects the next attempt too, unless it has a place by now.
            Some(key) if reason == Reason::Shed && self.bounds_queues() => {
                self.select_holder(id, key, now).ok()
            }
            // Only the holder of the key can execute the request. It may have changed meanwhile.
            Some(_) => {
                let is_tracked = |id: &&TargetId| self.targets.get(id).is_some();
                let holder = self.holder_of(request).filter(is_tracked);
                let former = request.tried_targets.last().filter(is_tracked);
                holder.or(former).cloned()
            }
            None => self.select_target(id, now).ok(),
        };
        let Some(target) = target else {
            return false;
        };
        let source = self.limit_source(now);
        let tracked = self.targets.get(&target);
        if tracked.is_some_and(|tracked| self.evacuations.has_passed(&tracked.domain, now)) {
            return false;
        }
        if tracked.is_some_and(|tracked| tracked.paused_for(now).is_some()) {
            return false;
        }
        if tracked.is_some_and(|tracked| !tracked.limit.allows(source, now)) {
            self.want_right(&target);
            return false;
        }
        let mean = tracked.map_or(0.0, TrackedTarget::mean_latency);
        if remaining.as_secs_f64() < mean * MIN_REMAINING_FRACTION {
            return false;
        }
        let budget = self.budgets.get_mut(&service);
        let allowed = budget.is_some_and(|budget| match reason {
            // A slow response may still arrive; requests that certainly failed take precedence.
            Reason::Slow => budget.take_spare(),
            _ => budget.take(),
        });
        if !allowed {
            return false;
        }
        let decision = self.decision(id, reason, now);
        out.extend(decision.map(|decision| Effect::Log(LogEvent::Retried(decision))));
        self.send_attempt(id, target, now, out);
        true
    }

    /// Sends the request of a slow target to another one too. The first response is used.
    pub(super) fn hedge(&mut self, id: RequestHandle, now: Duration, out: &mut Vec<Effect>) {
        // A second copy of a long response would delay the first one on a full link.
        let room = self
            .requests
            .get(&id)
            .map(|request| self.link_room(request));
        if room == Some(Ok(())) {
            self.retry(id, Reason::Slow, now, out);
        }
    }
}
