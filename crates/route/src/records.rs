//! Idempotency records of requests that may not be repeated.

use camphordale_domain::RecordKey;
use camphordale_types::{Digest, NotRun, RequestId, ShardRef, TargetId, Unknown};

use crate::{
    Effect, RecordResult, Router,
    queue::ShardKey,
    request::{Flight, Record, Stage},
};

impl Router {
    /// Has the record of a request written before the request joins the queue of its target.
    pub(crate) fn record(&mut self, id: RequestId, key: ShardKey, target: TargetId) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let bound = flight.service.queue.max(1) as usize;
        if self.now >= flight.start_by {
            return self.refuse(id, NotRun::Deadline);
        }
        let Some(owner) = self.targets.get(&target) else {
            return self.refuse(id, NotRun::NoOwner);
        };
        // A record that is written for nothing costs the group two commits.
        let ahead = owner.turns.waiting() + owner.recording as usize + owner.flying.len();
        if ahead >= bound + owner.limit as usize {
            return self.refuse(id, NotRun::QueueFull);
        }
        let shard = self.slots[key.0].shard_mut(key.1);
        let (token, before) = (shard.token, shard.queue.len());
        if !self.starts_in_time(id, target, before) {
            return self.refuse(id, NotRun::Deadline);
        }
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let record = Record {
            key: record_key(flight),
            term: token.term,
        };
        flight.record = Some(record);
        flight.stage = Stage::Recording(target);
        let deadline = flight.start_by;
        if let Some(owner) = self.targets.get_mut(&target) {
            owner.recording += 1;
        }
        self.set_timer(id, deadline);
        self.out.push(Effect::Record {
            id,
            shard: ShardRef::new(&self.slots[key.0].name, key.1),
            token,
            key: record.key,
            deadline,
        });
    }

    /// Takes the decision on a record.
    pub(crate) fn recorded(&mut self, id: RequestId, result: RecordResult) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if !matches!(flight.stage, Stage::Recording(_)) {
            return;
        }
        if !matches!(result, RecordResult::Fresh | RecordResult::Uncertain) {
            // The record is another request's, or there is none, so it is not to be erased.
            flight.record = None;
        }
        let cancelled = flight.cancelled;
        self.detach(id);
        match result {
            RecordResult::Fresh if cancelled => self.drop_cancelled(id),
            RecordResult::Fresh => {
                if self.refresh(id) {
                    self.place(id);
                }
            }
            RecordResult::Replay(answer) => {
                self.counters.replayed += 1;
                self.end(id);
                self.out.push(Effect::Replay { id, answer });
            }
            RecordResult::Pending => self.refuse_unknown(id, Unknown::Duplicate),
            RecordResult::Unsettled => self.refuse_unknown(id, Unknown::RecordsLost),
            // Nothing was sent, so *not run* is true. If the record exists after all and is not
            // erased, a resend is answered as a duplicate, which is safe.
            RecordResult::Failed | RecordResult::Uncertain => self.refuse(id, NotRun::Record),
        }
    }
}

/// Digest over service, routing key, method, path and the caller's key. Lengths are included, so
/// that different requests do not have the same bytes.
fn record_key(flight: &Flight) -> RecordKey {
    let parts: [&str; 5] = [
        &flight.service.name,
        &flight.key,
        &flight.method,
        &flight.path,
        flight.idempotency.as_deref().unwrap_or_default(),
    ];
    let mut bytes = Vec::with_capacity(256);
    for part in parts {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    Digest::of(&bytes)
}
