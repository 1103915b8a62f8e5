//! Commands of a domain group, and their outcomes.

use camphordale_types::{
    Digest,
    Incarnation,
    RequestId,
    Service,
    ServiceName,
    SessionId,
    ShardIndex,
    ShardRef,
    TargetId,
    TargetSpec,
    Token,
    VmId, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Key of an idempotency record: digest of service, routing key, method, path and the caller's
/// idempotency key.
pub type RecordKey = Digest;

/// A command in the log of a domain group.
///
/// A command with `expected_token` is refused if the shard's token differs, so that a command based
/// on an outdated state changes nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session for a VM, replacing the session of an earlier incarnation.
    OpenVmSession {
        /// The VM.
        vm: VmId,
        /// Incarnation of its process.
        incarnation: Incarnation,
    },
    /// Ends a VM's session after its lease has expired.
    EndVmSession {
        /// The VM.
        vm: VmId,
        /// Incarnation of its process.
        incarnation: Incarnation,
    },
    /// Opens a session for a target. An earlier session of a target with the same name becomes
    /// lost.
    OpenTargetSession(TargetSpec),
    /// Marks a target as leaving: it is assigned no new shards, and its shards move to others.
    MarkTargetLeaving(TargetId),
    /// Marks a target as lost after its lease has expired.
    MarkTargetLost(TargetId),
    /// Applies the services of a bundle. A lower version than the current one is refused.
    SetServices {
        /// Version of the bundle.
        version: u64,
        /// Its services.
        services: Vec<Service>,
    },
    /// Sets the shards of a service that this domain is home to. New shards start free; a shard
    /// that is no longer listed is dropped only when it is free or parked.
    ///
    /// A shard that is no longer listed but has an owner is released first. A parked shard stays
    /// parked until it gets a new home here, because the control group may already have moved it to
    /// another domain after a report of this group.
    SetHomes {
        /// The service.
        service: ServiceName,
        /// Version of the directory that the list was taken from. A list older than the current one
        /// is refused, because a leader that lags behind the control group could otherwise restore
        /// a shard that has moved away.
        version: u64,
        /// The shards.
        shards: Vec<HomedShard>,
    },
    /// Makes a VM with a session the sender of a target, which alone may send keyed requests to it.
    /// Allowed when the target has no sender or its sender has no session.
    SetSender {
        /// The target.
        target: TargetId,
        /// The current sender.
        expected_sender: Option<VmId>,
        /// The new sender.
        sender: VmId,
        /// Session of the new sender. Another process of the same VM may open a session before the
        /// command is applied, while the lease of this one is still valid.
        session: SessionId,
    },
    /// Makes a serving target the owner of a free shard.
    Assign {
        /// The shard.
        shard: ShardRef,
        /// Its current token.
        expected_token: Token,
        /// The owner.
        owner: TargetId,
    },
    /// Starts the release of a held shard: its sender stops sending and drains it.
    Release {
        /// The shard.
        shard: ShardRef,
        /// Its current token.
        expected_token: Token,
    },
    /// Marks a releasing shard as free: it has no owner any more.
    Free {
        /// The shard.
        shard: ShardRef,
        /// Its current token.
        expected_token: Token,
    },
    /// Parks a free shard: excludes it from assignment because it moves to another domain.
    Park {
        /// The shard.
        shard: ShardRef,
        /// Its current token.
        expected_token: Token,
    },
    /// Creates a record before a request with an idempotency key is sent. Refused unless `token` is
    /// the shard's token.
    CreateRecord {
        /// The shard.
        shard: ShardRef,
        /// The sender's token for it.
        token: Token,
        /// Key of the record.
        key: RecordKey,
        /// The request.
        request: RequestId,
    },
    /// Marks a recorded request as finished and stores its response.
    FinishRecord {
        /// Key of the record.
        key: RecordKey,
        /// The request that created the record.
        request: RequestId,
        /// The response, unless it is too large to store.
        response: Option<StoredResponse>,
    },
    /// Removes the record of a request that was certainly not executed.
    EraseRecord {
        /// Key of the record.
        key: RecordKey,
        /// The request that created the record.
        request: RequestId,
    },
    /// Removes records whose lifetime has ended.
    ExpireRecords {
        /// Keys of the records, with the requests that created them, so that a repeated command
        /// does not remove a newer record of the same key.
        keys: Vec<(RecordKey, RequestId)>,
    },
    /// Marks the idempotency records of shards as complete: one record lifetime has passed since
    /// the group was recreated or the shard moved here.
    MarkRecordsComplete {
        /// The shards with the `since` of their homes, so that a repeated command does not affect a
        /// shard that left and came back in between.
        shards: Vec<(ShardRef, u64)>,
    },
}

/// A shard whose home is this domain, that is, which this domain assigns to targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomedShard {
    /// The shard.
    pub index: ShardIndex,
    /// Index in the control log at which the shard got this home.
    pub since: u64,
    /// Whether it had another home before.
    pub moved: bool,
    /// Whether it is to be released to another domain.
    pub leaving: bool,
}

/// Stored response of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers to forward to the caller.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done.
    Done,
    /// The target has a session with this id.
    Session(TargetId),
    /// The record was created; the request may be sent.
    Recorded,
    /// The request was executed before, with this response.
    Replay(StoredResponse),
    /// The request was recorded before: it is still running, or it ended without a stored response.
    InProgress,
    /// Records of this shard may be missing, so an earlier execution cannot be ruled out.
    RecordsIncomplete,
    /// The command did not match the state and changed nothing.
    Refused(Box<str>),
}
