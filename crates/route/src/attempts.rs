//! Attempts at targets: the send, the last check before the write, the end, and retries.

use std::{sync::Arc, time::Duration};

use camphordale_types::{NotRun, RequestId, ShardRef, TargetId, Token, Unknown};

use crate::{
    Attempt, Effect, Router, Send,
    health::Health,
    keyed::Place,
    request::{Flight, Stage},
};

/// Most attempts for one request.
const MAX_ATTEMPTS: u32 = 4;

/// Why a request is not written at the last check.
enum Halt {
    Refuse(NotRun),
    Wait,
}

impl Router {
    /// Sends a request that is nowhere at the moment to a target with a free slot.
    pub(crate) fn send(&mut self, id: RequestId, target: TargetId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&target) else {
            return;
        };
        let grant = flight.shard.map(|index| {
            let slot = &mut self.slots[flight.slot];
            let name = slot.name.clone();
            let shard = slot.shard_mut(index);
            if shard.load == 0 {
                self.loaded.push((flight.slot, index));
            }
            shard.load += 1;
            let shard_ref = ShardRef {
                service: name,
                index,
            };
            (shard_ref, shard.token.max(target.token))
        });
        flight.token = grant.as_ref().map_or(Token::default(), |(_, token)| *token);
        flight.stage = Stage::Opening(target.info.id);
        flight.attempts += 1;
        flight.aborted = false;
        flight.started = self.now;
        if target.flying.is_empty() {
            target.health.started(self.now);
            self.busy.insert(target.info.id);
        }
        target.flying.push((id, false));
        self.out.push(Effect::Send(Send {
            id,
            target: target.info.id,
            address: target.info.spec.address,
            grant,
            deadline: flight.deadline,
            connections: target.connections,
        }));
    }

    /// Makes the last check before a request is written.
    pub(crate) fn ready(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let Stage::Opening(target) = flight.stage else {
            return;
        };
        if flight.aborted {
            return;
        }
        let (slot, side, shard) = (flight.slot, flight.side, flight.shard);
        match self.check_write(id, flight, target) {
            Ok(()) => self.proceed(id, target),
            Err(halt) => {
                self.land(id, target);
                match halt {
                    Halt::Refuse(reason) => self.refuse(id, reason),
                    Halt::Wait => {
                        self.out.push(Effect::Hold { id });
                        if self.refresh(id) {
                            self.place(id);
                        }
                    }
                }
                match shard {
                    Some(_) => self.pump(target),
                    None => self.pump_pool(slot, side),
                }
            }
        }
    }

    /// Checks everything that allows a request to be written to a target.
    fn check_write(&self, request: RequestId, flight: &Flight, id: TargetId) -> Result<(), Halt> {
        if self.now >= flight.start_by {
            return Err(Halt::Refuse(NotRun::Deadline));
        }
        let target = self.targets.get(&id).ok_or(Halt::Wait)?;
        // The target may be another one that got the id of a target of an earlier group.
        let listed = target.flying.iter().any(|(f, _)| *f == request);
        if !listed || target.health.is_held(self.now) || target.written() >= target.limit {
            return Err(Halt::Wait);
        }
        let Some(index) = flight.shard else {
            let pool = self.slots[flight.slot].pool(flight.side);
            let usable = self.leased() && pool.members.contains(&id);
            return usable.then_some(()).ok_or(Halt::Wait);
        };
        let slot = &self.slots[flight.slot];
        // A new bundle may have isolated the key in a shard of its own.
        let same = slot.service.as_ref().is_some_and(|s| {
            Arc::ptr_eq(s, &flight.service) || s.is_keyed() && s.shard_of(&flight.key) == index
        });
        let shard = slot.shard(index).ok_or(Halt::Wait)?;
        let recorded = match flight.record {
            Some(record) => record.term == shard.token.term,
            None => flight.idempotency.is_none(),
        };
        if !same
            || !recorded
            || flight.token != shard.token.max(target.token)
            || self.locate((flight.slot, index)) != Place::Here(id)
        {
            return Err(Halt::Wait);
        }
        Ok(())
    }

    fn proceed(&mut self, id: RequestId, target: TargetId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.stage = Stage::Written(target);
        flight.proceeded = true;
        flight.started = self.now;
        if let Some(index) = flight.shard {
            let shard = self.slots[flight.slot].shard_mut(index);
            shard.written += 1;
            shard.latest = shard.latest.max(flight.deadline);
        }
        if let Some(target) = self.targets.get_mut(&target)
            && let Some(entry) = target.flying.iter_mut().find(|(f, _)| *f == id)
        {
            entry.1 = true;
        }
        self.counters.written += 1;
        self.out.push(Effect::Proceed { id });
    }

    /// Frees the slot of a request whose attempt has ended.
    fn land(&mut self, id: RequestId, target: TargetId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.stage == Stage::Written(target)
            && let Some(index) = flight.shard
        {
            let shard = self.slots[flight.slot].shard_mut(index);
            shard.written = shard.written.saturating_sub(1);
        }
        flight.stage = Stage::New;
        if let Some(owner) = self.targets.get_mut(&target) {
            owner.flying.retain(|(f, _)| *f != id);
            if owner.flying.is_empty() {
                self.busy.remove(&target);
            }
        }
    }

    /// Handles the end of a send or forward.
    pub(crate) fn done(&mut self, id: RequestId, attempt: Attempt) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        match flight.stage {
            Stage::Opening(target) | Stage::Written(target) => {
                self.target_done(id, target, attempt);
            }
            Stage::Forwarded(vm) => self.forwarded(id, vm, attempt),
            Stage::New | Stage::Waiting(_) | Stage::Recording(_) => {}
        }
    }

    fn target_done(&mut self, id: RequestId, target: TargetId, attempt: Attempt) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let (slot, side, shard) = (flight.slot, flight.side, flight.shard);
        let written = flight.stage == Stage::Written(target);
        let took = self.now.saturating_sub(flight.started);
        let aborted = flight.aborted;
        self.land(id, target);
        if !aborted {
            self.observe(target, &attempt, took);
        }
        match attempt {
            Attempt::Answered { stored, .. } => {
                self.counters.answered += 1;
                if let Some(flight) = self.end(id)
                    && let Some(record) = flight.record
                {
                    self.out.push(Effect::Finish {
                        key: record.key,
                        id,
                        answer: stored,
                    });
                }
            }
            Attempt::NotRun(reason) => self.retry_not_run(id, reason, aborted),
            Attempt::Unknown(unknown) => self.target_unknown(id, written, unknown),
            // Targets do not redirect, so the answer is not to be trusted.
            Attempt::Redirect { .. } => self.target_unknown(id, written, Unknown::BadAnswer),
        }
        match shard {
            Some(index) => {
                self.pump(target);
                self.review_release((slot, index));
            }
            None => self.pump_pool(slot, side),
        }
    }

    /// Lets the health of the target learn from the end of an attempt.
    fn observe(&mut self, id: TargetId, attempt: &Attempt, took: Duration) {
        let now = self.now;
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        let health = &mut target.health;
        let probe = match attempt {
            Attempt::Answered { .. } => {
                health.answered(took, now);
                false
            }
            Attempt::NotRun(NotRun::Connect) => {
                let until = health.refused(now);
                let probe = health.broke(now);
                self.wakes.insert((until, id));
                probe
            }
            Attempt::NotRun(_) => {
                let until = health.refused(now);
                self.wakes.insert((until, id));
                false
            }
            Attempt::Unknown(Unknown::Timeout) => health.timed_out(took, now),
            Attempt::Unknown(_) | Attempt::Redirect { .. } => health.broke(now),
        };
        if probe {
            self.probe(id);
        }
    }

    /// Retries a request that certainly did not run, or refuses it.
    fn retry_not_run(&mut self, id: RequestId, reason: NotRun, aborted: bool) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if flight.cancelled {
            return self.drop_cancelled(id);
        }
        // Even with a certain outcome, a request that may not be repeated is written only once.
        let once = flight.proceeded && !flight.repeatable;
        let free = aborted && flight.attempts < MAX_ATTEMPTS && self.now < flight.start_by;
        if once || !(free || self.may_retry(id)) {
            return self.refuse(id, reason);
        }
        self.counters.retries += 1;
        if self.refresh(id) {
            self.place(id);
        }
    }

    fn target_unknown(&mut self, id: RequestId, written: bool, unknown: Unknown) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.taint = Some(unknown);
            if written && let Some(index) = flight.shard {
                let shard = self.slots[flight.slot].shard_mut(index);
                shard.risk = shard.risk.max(flight.deadline);
            }
        }
        self.retry_unknown(id, unknown);
    }

    /// Retries a request that may have run if it may be repeated, or refuses it.
    pub(crate) fn retry_unknown(&mut self, id: RequestId, unknown: Unknown) {
        let repeatable = self.flights.get(&id).is_some_and(|f| f.repeatable);
        if !repeatable || !self.may_retry(id) {
            return self.refuse_unknown(id, unknown);
        }
        self.counters.retries += 1;
        if self.refresh(id) {
            self.place(id);
        }
    }

    /// Takes a retry from the budget if the request may have one.
    pub(crate) fn may_retry(&mut self, id: RequestId) -> bool {
        let Some(flight) = self.flights.get(&id) else {
            return false;
        };
        flight.attempts < MAX_ATTEMPTS
            && self.now < flight.start_by
            && self.slots[flight.slot].retries.take(self.now)
    }

    /// Ends requests in flight at a target that this VM must not use any more; all those that
    /// may have been written count as running there until their deadlines.
    pub(crate) fn abort_all(&mut self, id: TargetId, ends: impl Fn(&Flight) -> bool) {
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        for (request, written) in &target.flying {
            let Some(flight) = self.flights.get_mut(request) else {
                continue;
            };
            if *written && let Some(index) = flight.shard {
                let shard = self.slots[flight.slot].shard_mut(index);
                shard.risk = shard.risk.max(flight.deadline);
            }
            if !flight.aborted && ends(flight) {
                flight.aborted = true;
                self.out.push(Effect::Abort { id: *request });
            }
        }
    }

    /// Gives requests that may be repeated a new connection when theirs lost its way.
    pub(crate) fn renew_stuck(&mut self, id: TargetId) {
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        let now = self.now;
        let is_stuck = |health: &Health, flight: &Flight| {
            flight.repeatable && !flight.aborted && health.is_stuck(flight.started, now)
        };
        let mut flying = target.flying.iter();
        let any = flying.any(|(request, _)| {
            let flight = self.flights.get(request);
            flight.is_some_and(|flight| is_stuck(&target.health, flight))
        });
        if any {
            let health = target.health.clone();
            self.abort_all(id, |flight| is_stuck(&health, flight));
        }
    }

    /// Closes the connections to a target and probes it.
    pub(crate) fn probe(&mut self, id: TargetId) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        let until = target.health.probe(self.now);
        let address = target.info.spec.address;
        self.wakes.insert((until, id));
        self.counters.probes += 1;
        self.out.push(Effect::Probe {
            target: id,
            address,
        });
    }

    /// Takes the result of a probe.
    pub(crate) fn probed(&mut self, id: TargetId, alive: bool) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        let until = target.health.probe_ended(alive, self.now);
        if alive {
            self.renew_stuck(id);
            return self.pump_target(id);
        }
        self.wakes.insert((until, id));
        self.counters.suspects += 1;
        self.out.push(Effect::Suspect { target: id });
        // Requests that may run elsewhere do not wait for a target that may be frozen.
        self.abort_all(id, |flight| flight.repeatable && flight.shard.is_none());
    }
}
