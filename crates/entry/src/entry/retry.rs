//! Answers of targets, and when a request goes to another one.

use std::time::Duration;

use camphordale_fleet::TargetId;

use super::{
    AttemptId,
    AttemptResult,
    Decision,
    Effect,
    Entry,
    LogEvent,
    Reason, //
    RequestHandle,
};
use crate::targets::Peer;

/// Status of a target that does not hold the key.
const MISDIRECTED: u16 = 421;
/// Least status of a failure of the target.
const FAILURE: u16 = 500;
/// Pause told to callers whose request was sent away by a full target or could not be delivered.
const SHED_PAUSE: Duration = Duration::from_millis(250);
/// Pause told to callers whose request was sent away by a target with free slots: nothing gets
/// better by a longer wait.
const FREE_PAUSE: Duration = Duration::from_millis(20);
/// Pause before the same holder is asked again; a change of holder takes about as long.
const ASK_AGAIN: Duration = Duration::from_millis(60);
/// Part of its objective for which a request may wait here after the holder sent it away.
const HOLDER_PART: u32 = 4;
/// A repeat is sent only if this part of its target's mean time is left.
const WORTHWHILE_PART: f64 = 0.7;
/// Attempts that may fail to open a connection before the request is refused.
const MAX_UNREACHED: usize = 3;

impl Entry {
    pub(super) fn answered(
        &mut self,
        attempt: AttemptId,
        result: AttemptResult,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(id) = self.attempts.remove(&attempt) else {
            out.push(Effect::Discard(attempt));
            return;
        };
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        let Some(at) = flow.open.iter().position(|(open, _)| *open == attempt) else {
            return;
        };
        let (_, target) = flow.open.remove(at);
        let service = flow.service.clone();
        match result {
            AttemptResult::Complete { status, load } => {
                let failed = status >= FAILURE;
                flow.may_have_run |= failed;
                self.peers.answered(&target, attempt, failed, load, now);
                self.complete(id, (attempt, target), failed, now, out);
            }
            AttemptResult::NotExecuted { status, load } => {
                let moved = status == MISDIRECTED && flow.key.is_some();
                match moved {
                    true => self.peers.sent_away(&target, attempt, load, now),
                    false => self.peers.answered(&target, attempt, true, load, now),
                }
                out.push(Effect::Discard(attempt));
                self.not_executed(id, moved, now, out);
            }
            AttemptResult::Failed { sent, received } => {
                flow.may_have_run |= sent;
                // A connection that opened shows that the target is there.
                self.peers.failed(&target, attempt, sent || received, now);
                self.failed(id, sent, now, out);
            }
        }
        self.retry_parked(Some(&service), now, out);
    }

    fn complete(
        &mut self,
        id: RequestHandle,
        (attempt, target): (AttemptId, TargetId),
        failed: bool,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        let late = now > flow.arrived + flow.route.latency_objective;
        if failed && flow.is_idempotent() {
            let others = !flow.open.is_empty();
            if others || self.repeat(id, Reason::Failure, now, out) {
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
        self.end(id, Some(attempt), out);
        out.extend(decision.map(|decision| Effect::ForwardResponse {
            request: id,
            attempt,
            decision,
            late,
        }));
    }

    fn not_executed(
        &mut self,
        id: RequestHandle,
        moved: bool,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        if !flow.open.is_empty() {
            return;
        }
        if moved {
            return self.await_holder(id, now, out);
        }
        let last = flow.tried.last().and_then(|target| self.peers.get(target));
        let pause = match last {
            Some(peer) if peer.load(now) < f64::from(peer.slots) => FREE_PAUSE,
            _ => SHED_PAUSE,
        };
        if !self.repeat(id, Reason::Shed, now, out) {
            self.refuse(id, Reason::Shed, pause, now, out);
        }
    }

    /// The holder of the key is changing: the request waits for the next view.
    fn await_holder(&mut self, id: RequestHandle, now: Duration, out: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        let until = flow.wait_end(HOLDER_PART);
        let key = flow.key.unwrap_or_default();
        let moving = self.handovers.until(&flow.service, key, now);
        let allowed = self.budgets.get_mut(&flow.service);
        let allowed = allowed.is_some_and(|budget| budget.take());
        if !allowed || (now >= until && moving.is_none()) {
            return self.refuse(id, Reason::NoHolder, SHED_PAUSE, now, out);
        }
        if let Some(again) = moving {
            return self.await_handover(id, again, now, out);
        }
        flow.ask_again = now + ASK_AGAIN;
        self.park(id, until);
    }

    fn failed(&mut self, id: RequestHandle, sent: bool, now: Duration, out: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        if !flow.open.is_empty() {
            return;
        }
        if !sent {
            return self.redirect(id, now, out);
        }
        let repeated = flow.is_idempotent() && self.repeat(id, Reason::Lost, now, out);
        if !repeated {
            self.refuse(id, Reason::Lost, SHED_PAUSE, now, out);
        }
    }

    /// Nothing was sent, so another target may get the request without a repeat.
    fn redirect(&mut self, id: RequestHandle, now: Duration, out: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        if flow.key.is_some() || flow.tried.len() >= MAX_UNREACHED {
            return self.refuse(id, Reason::Unreached, SHED_PAUSE, now, out);
        }
        match self.choose(id, now) {
            Ok(target) => {
                let decision = self.decision(id, Reason::Unreached, now);
                out.extend(decision.map(|d| Effect::Log(LogEvent::Retried(d))));
                self.send(id, target, now, out);
            }
            Err((reason, pause)) => self.refuse(id, reason, pause, now, out),
        }
    }

    /// Sends a request to one more target, if route, time and budget allow it.
    fn repeat(
        &mut self,
        id: RequestHandle,
        reason: Reason,
        now: Duration,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(flow) = self.flows.get(&id) else {
            return false;
        };
        if flow.gone || flow.sends >= flow.route.max_attempts {
            return false;
        }
        let left = flow.deadline.saturating_sub(now);
        let service = flow.service.clone();
        let target = match flow.key {
            // Only the holder of the key can run the request, so a repeat goes there again.
            Some(_) => flow.tried.last().cloned(),
            None => self.choose(id, now).ok(),
        };
        let Some(target) = target else {
            return false;
        };
        let mean = self.peers.get(&target).map_or(0.0, Peer::mean);
        if left.as_secs_f64() < mean * WORTHWHILE_PART {
            return false;
        }
        let budget = self.budgets.get_mut(&service);
        let allowed = budget.is_some_and(|budget| match reason {
            // A slow answer may still come; what failed for sure goes first.
            Reason::Slow => budget.take_spare(),
            _ => budget.take(),
        });
        if !allowed {
            return false;
        }
        let decision = self.decision(id, reason, now);
        out.extend(decision.map(|decision| Effect::Log(LogEvent::Retried(decision))));
        self.send(id, target, now, out);
        true
    }

    /// The target is slow: another one gets the request too, and the first answer counts.
    pub(super) fn hedge(&mut self, id: RequestHandle, now: Duration, out: &mut Vec<Effect>) {
        self.repeat(id, Reason::Slow, now, out);
    }
}
