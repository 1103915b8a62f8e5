//! The state of a request from its arrival to its completion.

use std::{sync::Arc, time::Duration};

use camphordale_domain::RecordKey;
use camphordale_types::{Service, ShardIndex, Side, TargetId, Token, Unknown, VmId};

use crate::Origin;

/// A request that has not completed.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) origin: Origin,
    pub(crate) method: Box<str>,
    pub(crate) path: Box<str>,
    /// Index of the service in `Router::services`.
    pub(crate) service_index: usize,
    pub(crate) service: Arc<Service>,
    /// The shard, for a keyed service.
    pub(crate) shard: Option<ShardIndex>,
    pub(crate) key: Box<str>,
    /// Idempotency key from the caller, for a request that may not be retried.
    pub(crate) idempotency: Option<Box<str>>,
    /// Side of the traffic split, old or new system, for an unkeyed service.
    pub(crate) side: Side,
    pub(crate) retryable: bool,
    pub(crate) deadline: Duration,
    /// Time after which the request is not written to a target any more.
    pub(crate) start_by: Duration,
    pub(crate) arrived: Duration,
    /// Start time of the current attempt.
    pub(crate) started: Duration,
    pub(crate) stage: Stage,
    /// The time of its entry in `Router::timers`.
    pub(crate) timer: Option<Duration>,
    /// Number of sends and forwards so far.
    pub(crate) attempts: u32,
    /// Number of forwards, by earlier VMs and by this one.
    pub(crate) hops: u8,
    /// Whether an attempt has been written to a target.
    pub(crate) written: bool,
    /// Whether this VM aborted the current attempt.
    pub(crate) aborted: bool,
    /// Whether a retry was taken from the budget for the request before its current attempt was
    /// aborted.
    pub(crate) retry_taken: bool,
    /// Whether an attempt was aborted because its connection seemed dead while the target was alive.
    pub(crate) reconnected: bool,
    /// Whether the caller has disconnected.
    pub(crate) cancelled: bool,
    /// Outcome of an earlier attempt that may have run. The request is then not refused as
    /// *not run*.
    pub(crate) unknown_outcome: Option<Unknown>,
    pub(crate) record: Option<Record>,
    /// Fencing token of the current attempt.
    pub(crate) token: Token,
}

impl ActiveRequest {
    /// Returns whether the request needs an idempotency record and has none.
    pub(crate) fn is_unrecorded(&self) -> bool {
        self.idempotency.is_some() && self.record.is_none()
    }
}

/// The idempotency record of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    pub(crate) key: RecordKey,
    /// Term of the fencing token of the shard at creation. A group of another term may not have the
    /// record.
    pub(crate) term: u64,
}

/// Processing stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Not routed yet, or about to be routed again.
    New,
    /// In a queue.
    Waiting(QueueKind),
    /// Waiting for its idempotency record, before it is queued for the target.
    Recording(TargetId),
    /// A connection is being opened or taken from the pool; nothing is written yet.
    Opening(TargetId),
    /// The request may have reached the target.
    Written(TargetId),
    /// Forwarded to another VM.
    Forwarded(VmId),
}

/// The queue that a waiting request is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueKind {
    /// The queue of the shard.
    Shard,
    /// The queue of one side of an unkeyed service.
    Pool,
    /// No queue: the request is routed again when its timer fires.
    Delay,
}
