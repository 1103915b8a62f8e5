//! One request from its arrival to its end.

use std::{sync::Arc, time::Duration};

use camphordale_domain::RecordKey;
use camphordale_types::{Service, ShardIndex, Side, TargetId, Token, Unknown, VmId};

use crate::Origin;

/// A request that has not ended.
#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) origin: Origin,
    pub(crate) method: Box<str>,
    pub(crate) path: Box<str>,
    /// Position of its service in the router.
    pub(crate) slot: usize,
    pub(crate) service: Arc<Service>,
    /// Its shard, for a keyed service.
    pub(crate) shard: Option<ShardIndex>,
    pub(crate) key: Box<str>,
    /// The caller's idempotency key, for a request that may not be repeated.
    pub(crate) idempotency: Option<Box<str>>,
    /// The system it belongs to, for an unkeyed service.
    pub(crate) side: Side,
    pub(crate) repeatable: bool,
    pub(crate) deadline: Duration,
    /// Time from which it is not started any more.
    pub(crate) start_by: Duration,
    pub(crate) arrived: Duration,
    /// Start of the current attempt.
    pub(crate) started: Duration,
    pub(crate) stage: Stage,
    /// Its entry in the router's timers.
    pub(crate) timer: Option<Duration>,
    /// Sends and forwards so far.
    pub(crate) attempts: u32,
    /// How often it was forwarded, before it reached this VM and by this VM.
    pub(crate) hops: u8,
    /// Whether a byte of it may have reached a target.
    pub(crate) proceeded: bool,
    /// Whether this VM ended the current attempt itself.
    pub(crate) aborted: bool,
    /// Whether its caller is gone.
    pub(crate) cancelled: bool,
    /// Outcome of an earlier attempt that may have run, so that *not run* would be untrue.
    pub(crate) taint: Option<Unknown>,
    pub(crate) record: Option<Record>,
    /// Token of the current attempt.
    pub(crate) token: Token,
}

impl Flight {
    /// Tells whether the request needs an idempotency record and has none.
    pub(crate) fn is_unrecorded(&self) -> bool {
        self.idempotency.is_some() && self.record.is_none()
    }
}

/// An idempotency record made for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    pub(crate) key: RecordKey,
    /// Term of the shard's token when it was made. The record may be lost under another term.
    pub(crate) term: u64,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Not placed yet, or taken from where it was.
    New,
    /// In a queue.
    Waiting(Lane),
    /// Waiting for the decision on its idempotency record, bound for a target.
    Recording(TargetId),
    /// Sent to the edge; nothing is written yet.
    Opening(TargetId),
    /// It may have reached the target.
    Written(TargetId),
    /// With another VM.
    Forwarded(VmId),
}

/// The queue of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    /// That of its shard.
    Shard,
    /// That of its side of an unkeyed service.
    Pool,
    /// None: it is placed again when its timer fires.
    Pause,
}
