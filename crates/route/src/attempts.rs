//! Attempts to run a request on a target: connecting, the final check before the write,
//! completion, and retries.

use std::{sync::Arc, time::Duration};

use camphordale_types::{NotRun, RequestId, ShardRef, TargetId, Token, Unknown};

use crate::{
    AttemptResult, Effect, Router, SendRequest,
    keyed::Destination,
    request::{ActiveRequest, Stage},
    target::Target,
};

/// Upper bound of attempts per request, sends and forwards together.
const MAX_ATTEMPTS: u32 = 4;

/// What to do with a request that the final check does not allow to be written.
enum WriteObstacle {
    Refuse(NotRun),
    Requeue,
}

impl Router {
    /// Sends a request that is in no queue to a target with a free slot.
    pub(crate) fn send(&mut self, id: RequestId, target: TargetId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&target) else {
            return;
        };
        let grant = request.shard.map(|index| {
            let state = &mut self.services[request.service_index];
            let name = state.name.clone();
            let shard = state.shard_mut(index);
            if shard.load == 0 {
                self.loaded_shards.push((request.service_index, index));
            }
            shard.load += 1;
            let shard_ref = ShardRef {
                service: name,
                index,
            };
            (shard_ref, shard.token.max(target.token))
        });
        request.token = grant.as_ref().map_or(Token::default(), |(_, token)| *token);
        request.stage = Stage::Opening(target.info.id);
        request.attempts += 1;
        request.aborted = false;
        request.retry_taken = false;
        request.started = self.now;
        if target.in_flight.is_empty() {
            target.health.record_start(self.now);
            self.busy_targets.insert(target.info.id);
        }
        target.in_flight.push((id, false));
        self.effects.push(Effect::Send(SendRequest {
            id,
            target: target.info.id,
            address: target.info.spec.address,
            grant,
            deadline: request.deadline,
            connections: target.connections,
        }));
    }

    /// Makes the final check before a request is written to its connection.
    pub(crate) fn ready(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Stage::Opening(target) = request.stage else {
            return;
        };
        if request.aborted {
            return;
        }
        let (service_index, side, shard) = (request.service_index, request.side, request.shard);
        match self.check_write(id, request, target) {
            Ok(()) => self.proceed(id, target),
            Err(obstacle) => {
                self.end_attempt(id, target);
                match obstacle {
                    WriteObstacle::Refuse(reason) => self.refuse(id, reason),
                    WriteObstacle::Requeue => {
                        self.effects.push(Effect::Requeue { id });
                        if self.refresh_shard(id) {
                            self.route_request(id);
                        }
                    }
                }
                match shard {
                    Some(_) => self.dispatch_keyed(target),
                    None => self.dispatch_pool(service_index, side),
                }
            }
        }
    }

    /// Checks the deadline, the leases, the ownership of the shard and the slots of the target.
    fn check_write(
        &self,
        id: RequestId,
        request: &ActiveRequest,
        target_id: TargetId,
    ) -> Result<(), WriteObstacle> {
        if self.now >= request.start_by {
            return Err(WriteObstacle::Refuse(NotRun::Deadline));
        }
        let target = self.targets.get(&target_id).ok_or(WriteObstacle::Requeue)?;
        // Target ids are unique only within a domain group: after a change of the group, the id can
        // denote another target.
        let listed = target
            .in_flight
            .iter()
            .any(|(request_id, _)| *request_id == id);
        if !listed || target.health.is_backing_off(self.now) || target.written() >= target.limit {
            return Err(WriteObstacle::Requeue);
        }
        let Some(index) = request.shard else {
            let pool = self.services[request.service_index].pool(request.side);
            let usable =
                self.has_lease() && !self.is_evacuated() && pool.members.contains(&target_id);
            return usable.then_some(()).ok_or(WriteObstacle::Requeue);
        };
        let state = &self.services[request.service_index];
        // A new bundle may map the key to a dedicated hot-key shard.
        let same = state.service.as_ref().is_some_and(|s| {
            Arc::ptr_eq(s, &request.service) || s.is_keyed() && s.shard_of(&request.key) == index
        });
        let shard = state.shard(index).ok_or(WriteObstacle::Requeue)?;
        let recorded = match request.record {
            Some(record) => record.term == shard.token.term,
            None => request.idempotency.is_none(),
        };
        if !same
            || !recorded
            || request.token != shard.token.max(target.token)
            || self.destination((request.service_index, index)) != Destination::Target(target_id)
        {
            return Err(WriteObstacle::Requeue);
        }
        Ok(())
    }

    fn proceed(&mut self, id: RequestId, target: TargetId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::Written(target);
        request.written = true;
        request.started = self.now;
        if let Some(index) = request.shard {
            let shard = self.services[request.service_index].shard_mut(index);
            shard.written += 1;
            shard.latest_deadline = shard.latest_deadline.max(request.deadline);
        }
        if let Some(target) = self.targets.get_mut(&target)
            && let Some(entry) = target
                .in_flight
                .iter_mut()
                .find(|(request_id, _)| *request_id == id)
        {
            entry.1 = true;
        }
        self.counters.written += 1;
        self.effects.push(Effect::Proceed { id });
    }

    /// Releases the target slot of a request whose attempt has ended.
    fn end_attempt(&mut self, id: RequestId, target: TargetId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.stage == Stage::Written(target)
            && let Some(index) = request.shard
        {
            let shard = self.services[request.service_index].shard_mut(index);
            shard.written = shard.written.saturating_sub(1);
        }
        request.stage = Stage::New;
        if let Some(state) = self.targets.get_mut(&target) {
            state.in_flight.retain(|(request_id, _)| *request_id != id);
            if state.in_flight.is_empty() {
                self.busy_targets.remove(&target);
            }
        }
    }

    /// Handles the end of a send or forward.
    pub(crate) fn attempt_ended(&mut self, id: RequestId, result: AttemptResult) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match request.stage {
            Stage::Opening(target) | Stage::Written(target) => {
                self.target_attempt_ended(id, target, result);
            }
            Stage::Forwarded(vm) => self.forward_ended(id, vm, result),
            Stage::New | Stage::Waiting(_) | Stage::Recording(_) => {}
        }
    }

    fn target_attempt_ended(&mut self, id: RequestId, target: TargetId, result: AttemptResult) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (service_index, side, shard) = (request.service_index, request.side, request.shard);
        let written = request.stage == Stage::Written(target);
        let elapsed = self.now.saturating_sub(request.started);
        let aborted = request.aborted;
        self.end_attempt(id, target);
        if !aborted {
            self.update_health(target, &result, elapsed);
        }
        match result {
            AttemptResult::Responded { stored, .. } => {
                self.counters.responses += 1;
                if let Some(request) = self.remove_request(id)
                    && let Some(record) = request.record
                {
                    self.effects.push(Effect::FinishRecord {
                        key: record.key,
                        id,
                        response: stored,
                    });
                }
            }
            AttemptResult::NotRun(reason) => self.retry_not_run(id, reason, aborted),
            AttemptResult::Unknown(unknown) => self.target_outcome_unknown(id, written, unknown),
            // A target never redirects, so the response is invalid.
            AttemptResult::Redirect { .. } => {
                self.target_outcome_unknown(id, written, Unknown::BadAnswer)
            }
        }
        match shard {
            Some(index) => {
                self.dispatch_keyed(target);
                self.update_release((service_index, index));
            }
            None => self.dispatch_pool(service_index, side),
        }
    }

    /// Updates the health of the target with the result of an attempt.
    fn update_health(&mut self, id: TargetId, result: &AttemptResult, elapsed: Duration) {
        let now = self.now;
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        let health = &mut target.health;
        let probe = match result {
            AttemptResult::Responded { .. } => {
                health.record_response(elapsed, now);
                false
            }
            AttemptResult::NotRun(NotRun::Connect) => {
                let until = health.record_refusal(now);
                let probe = health.record_broken(now);
                self.resume_timers.insert((until, id));
                probe
            }
            AttemptResult::NotRun(_) => {
                let until = health.record_refusal(now);
                self.resume_timers.insert((until, id));
                false
            }
            AttemptResult::Unknown(Unknown::Timeout) => health.record_timeout(elapsed, now),
            AttemptResult::Unknown(_) | AttemptResult::Redirect { .. } => health.record_broken(now),
        };
        if probe {
            self.start_probe(id);
        }
    }

    /// Retries or refuses a request that did not run.
    fn retry_not_run(&mut self, id: RequestId, reason: NotRun, aborted: bool) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.cancelled {
            return self.drop_cancelled(id);
        }
        // A request that may not be retried is written only once, even if it did not run.
        let once = request.written && !request.retryable;
        let free = aborted && request.attempts < MAX_ATTEMPTS && self.now < request.start_by;
        if once || !(free || self.may_retry(id)) {
            return self.refuse(id, reason);
        }
        self.counters.retries += 1;
        if self.refresh_shard(id) {
            self.route_request(id);
        }
    }

    fn target_outcome_unknown(&mut self, id: RequestId, written: bool, unknown: Unknown) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.unknown_outcome = Some(unknown);
            if written && let Some(index) = request.shard {
                let shard = self.services[request.service_index].shard_mut(index);
                shard.unknown_until = shard.unknown_until.max(request.deadline);
            }
        }
        self.retry_unknown(id, unknown);
    }

    /// Retries a request that may have run if its service allows that; otherwise refuses it.
    pub(crate) fn retry_unknown(&mut self, id: RequestId, unknown: Unknown) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let retry_taken = std::mem::take(&mut request.retry_taken);
        if !request.retryable || !(retry_taken || self.may_retry(id)) {
            return self.refuse_unknown(id, unknown);
        }
        self.counters.retries += 1;
        if self.refresh_shard(id) {
            self.route_request(id);
        }
    }

    /// Takes a retry from the budget of the service if the request has attempts and time left.
    pub(crate) fn may_retry(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        request.attempts < MAX_ATTEMPTS
            && self.now < request.start_by
            && self.services[request.service_index]
                .retry_budget
                .withdraw(self.now)
    }

    /// Aborts the requests in flight at a target for which `ends` is true, and counts every request
    /// that may have been written there as running until its deadline.
    pub(crate) fn abort_all(&mut self, id: TargetId, ends: impl Fn(&ActiveRequest) -> bool) {
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        for (request_id, written) in &target.in_flight {
            let Some(request) = self.requests.get_mut(request_id) else {
                continue;
            };
            if *written && let Some(index) = request.shard {
                let shard = self.services[request.service_index].shard_mut(index);
                shard.unknown_until = shard.unknown_until.max(request.deadline);
            }
            if !request.aborted && ends(request) {
                request.aborted = true;
                self.effects.push(Effect::Abort { id: *request_id });
            }
        }
    }

    /// Aborts an attempt at a target so that the request is sent again. A retry is taken for one that
    /// may have been written: without a retry it would only be refused, and its attempt may still
    /// succeed.
    /// Returns whether it is aborted.
    fn abort_for_retry(&mut self, id: RequestId, written: bool) -> bool {
        if written && !self.may_retry(id) {
            return false;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        request.aborted = true;
        request.retry_taken = written;
        self.effects.push(Effect::Abort { id });
        true
    }

    /// Returns the retryable requests in flight at a target for which `ends` is true, and whether
    /// they may have been written.
    fn retryable_at(
        &self,
        target: &Target,
        ends: impl Fn(&ActiveRequest) -> bool,
    ) -> Vec<(RequestId, bool)> {
        let is_retryable = |id: &RequestId| {
            let request = self.requests.get(id);
            request.is_some_and(|r| r.retryable && !r.aborted && ends(r))
        };
        let in_flight = target.in_flight.iter();
        in_flight
            .filter(|(id, _)| is_retryable(id))
            .copied()
            .collect()
    }

    /// Sends retryable requests in flight at a target again: elsewhere if the target may be frozen
    /// or lost, or on a new connection if only theirs is dead.
    pub(crate) fn retry_unanswered(&mut self, id: TargetId) {
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        match target.is_lost() || target.health.is_suspect() {
            true => self.move_unanswered(id),
            false => self.reconnect_stuck(id),
        }
    }

    /// Sends unkeyed requests elsewhere that a target had before it was lost or failed a probe. The
    /// shards of a keyed target have to move first.
    fn move_unanswered(&mut self, id: TargetId) {
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        let (now, health) = (self.now, &target.health);
        let (service_index, side) = (target.service_index, target.info.spec.side);
        let unanswered = self.retryable_at(target, |request| {
            let may_move = request.attempts < MAX_ATTEMPTS && now < request.start_by;
            let is_suspect = target.is_lost() || health.is_suspect_since(request.started);
            request.shard.is_none() && may_move && is_suspect
        });
        if unanswered.is_empty() {
            return;
        }
        let mut pending = self.pending_retries(service_index, side);
        for (request_id, written) in unanswered {
            if written && !self.can_run_elsewhere(request_id, id, pending) {
                continue;
            }
            if !self.abort_for_retry(request_id, written) {
                // The retry budget is used up.
                return;
            }
            pending += 1;
        }
    }

    /// Sends requests on dead connections to a live target again on a new connection.
    fn reconnect_stuck(&mut self, id: TargetId) {
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        let (now, health) = (self.now, &target.health);
        // A request that is unanswered on a second connection too takes long.
        let stuck = self.retryable_at(target, |request| {
            !request.reconnected && health.is_stuck(request.started, now)
        });
        for (request_id, written) in stuck {
            let is_aborted = self.abort_for_retry(request_id, written);
            if let Some(request) = self.requests.get_mut(&request_id) {
                request.reconnected = is_aborted;
            }
        }
    }

    /// Closes the pooled connections to a target and probes it on a new one.
    pub(crate) fn start_probe(&mut self, id: TargetId) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        let until = target.health.record_probe(self.now);
        let address = target.info.spec.address;
        self.resume_timers.insert((until, id));
        self.counters.probes += 1;
        self.effects.push(Effect::Probe {
            target: id,
            address,
        });
    }

    /// Handles the result of a probe.
    pub(crate) fn probe_ended(&mut self, id: TargetId, alive: bool) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        let until = target.health.record_probe_result(alive, self.now);
        if alive {
            self.retry_unanswered(id);
            return self.dispatch_target(id);
        }
        self.resume_timers.insert((until, id));
        self.counters.suspects += 1;
        self.effects.push(Effect::ReportSuspect { target: id });
        self.retry_unanswered(id);
    }
}
