//! Idempotency records of requests that may not be retried.

use camphordale_domain::RecordKey;
use camphordale_types::{Digest, NotRun, RequestId, ShardRef, TargetId, Unknown};

use crate::{
    Effect, RecordResult, Router,
    queue::ShardKey,
    request::{ActiveRequest, Record, Stage},
};

impl Router {
    /// Requests the idempotency record of a request, before the request is queued for its target.
    pub(crate) fn create_record(&mut self, id: RequestId, key: ShardKey, target: TargetId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let limit = request.service.queue.max(1) as usize;
        if self.now >= request.start_by {
            return self.refuse(id, NotRun::Deadline);
        }
        let Some(owner) = self.targets.get(&target) else {
            return self.refuse(id, NotRun::NoOwner);
        };
        // A record of a request that is then refused costs the domain group two commits.
        let ahead = owner.round_robin.queued() + owner.recording as usize + owner.in_flight.len();
        if ahead >= limit + owner.limit as usize {
            return self.refuse(id, NotRun::QueueFull);
        }
        let shard = self.services[key.0].shard_mut(key.1);
        let (token, before) = (shard.token, shard.queue.len());
        if !self.can_start_in_time(id, target, before) {
            return self.refuse(id, NotRun::Deadline);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let record = Record {
            key: record_key(request),
            term: token.term,
        };
        request.record = Some(record);
        request.stage = Stage::Recording(target);
        let deadline = request.start_by;
        if let Some(owner) = self.targets.get_mut(&target) {
            owner.recording += 1;
        }
        self.set_timer(id, deadline);
        self.effects.push(Effect::CreateRecord {
            id,
            shard: ShardRef::new(&self.services[key.0].name, key.1),
            token,
            key: record.key,
            deadline,
        });
    }

    /// Handles the result of the creation of a record.
    pub(crate) fn record_decided(&mut self, id: RequestId, result: RecordResult) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !matches!(request.stage, Stage::Recording(_)) {
            return;
        }
        if !matches!(result, RecordResult::Recorded | RecordResult::Uncertain) {
            // There is no record, or it belongs to another request, so it must not be erased.
            request.record = None;
        }
        let cancelled = request.cancelled;
        self.detach(id);
        match result {
            RecordResult::Recorded if cancelled => self.drop_cancelled(id),
            RecordResult::Recorded => {
                if self.refresh_shard(id) {
                    self.route_request(id);
                }
            }
            RecordResult::Replay(response) => {
                self.counters.replayed += 1;
                self.remove_request(id);
                self.effects.push(Effect::Replay { id, response });
            }
            RecordResult::InProgress => self.refuse_unknown(id, Unknown::Duplicate),
            RecordResult::RecordsIncomplete => self.refuse_unknown(id, Unknown::RecordsLost),
            // Nothing was sent, so the refusal is *not run*. If the record exists and is not
            // erased, a resend is refused as a duplicate, which is safe.
            RecordResult::Failed | RecordResult::Uncertain => self.refuse(id, NotRun::Record),
        }
    }
}

/// Returns the digest over service, routing key, method, path and idempotency key. Each is
/// prefixed with its length, so that different requests have different input bytes.
fn record_key(request: &ActiveRequest) -> RecordKey {
    let parts: [&str; 5] = [
        &request.service.name,
        &request.key,
        &request.method,
        &request.path,
        request.idempotency.as_deref().unwrap_or_default(),
    ];
    let mut bytes = Vec::with_capacity(256);
    for part in parts {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    Digest::of(&bytes)
}
