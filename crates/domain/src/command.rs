//! Commands of a domain group and their outcomes.

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

/// Digest over service, routing key, method, path and the caller's idempotency key.
pub type RecordKey = Digest;

/// A command of a domain group's log.
///
/// A command that carries `expect` is refused when the shard's token differs, so that a command
/// decided on an older state changes nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session for a VM; it replaces a session of an earlier incarnation.
    OpenVmSession {
        /// The VM.
        vm: VmId,
        /// The run of its process.
        incarnation: Incarnation,
    },
    /// Ends a VM's session, after its lease has run out.
    EndVmSession {
        /// The VM.
        vm: VmId,
        /// The run of its process.
        incarnation: Incarnation,
    },
    /// Opens a session for a target. An earlier session of the same name becomes lost.
    OpenTargetSession(TargetSpec),
    /// A target is leaving: it gets no new shards, and its shards move.
    MarkTargetLeaving(TargetId),
    /// A target's lease has run out.
    MarkTargetLost(TargetId),
    /// Puts the services of a bundle in force. A lower version is refused.
    SetServices {
        /// Version of the bundle.
        version: u64,
        /// Its services.
        services: Vec<Service>,
    },
    /// Sets which shards of a service are homed here. New ones start free; one that is no longer
    /// listed is dropped only when it is parked or free.
    ///
    /// A shard that is no longer listed but has an owner is released first. A parked shard stays
    /// parked until it gets a new home here, because its report may already have let the control
    /// group give it to another domain.
    SetHomes {
        /// The service.
        service: ServiceName,
        /// Version of the directory the list was taken from. An older list is refused: a leader
        /// that lags behind the control group could otherwise bring back a shard that moved.
        version: u64,
        /// The shards.
        shards: Vec<HomedShard>,
    },
    /// Gives the right to send to a target to a VM with a session. Legal when the target has no
    /// sender or its sender has no session.
    SetSender {
        /// The target.
        target: TargetId,
        /// The sender that is replaced.
        expect: Option<VmId>,
        /// The new sender.
        sender: VmId,
        /// Its session. Another process of the VM may open a session before the command is
        /// applied, while the lease of this one still runs.
        session: SessionId,
    },
    /// Makes a serving target the owner of a free shard.
    Assign {
        /// The shard.
        shard: ShardRef,
        /// Its token.
        expect: Token,
        /// The owner.
        owner: TargetId,
    },
    /// Asks the sender to stop and drain a held shard.
    Release {
        /// The shard.
        shard: ShardRef,
        /// Its token.
        expect: Token,
    },
    /// A releasing shard has no owner any more.
    Free {
        /// The shard.
        shard: ShardRef,
        /// Its token.
        expect: Token,
    },
    /// Takes a free shard out of assignment because it moves to another domain.
    Park {
        /// The shard.
        shard: ShardRef,
        /// Its token.
        expect: Token,
    },
    /// Records that a request with an idempotency key is about to be sent. Refused when `token`
    /// is not the shard's token.
    CreateRecord {
        /// The shard.
        shard: ShardRef,
        /// The sender's token for it.
        token: Token,
        /// The record's key.
        key: RecordKey,
        /// The request.
        request: RequestId,
    },
    /// Stores the answer of a recorded request.
    FinishRecord {
        /// The record's key.
        key: RecordKey,
        /// The request that made the record.
        request: RequestId,
        /// The answer, unless it is too large to keep.
        response: Option<StoredResponse>,
    },
    /// Removes the record of a request that was certainly not run.
    EraseRecord {
        /// The record's key.
        key: RecordKey,
        /// The request that made the record.
        request: RequestId,
    },
    /// Removes records whose lifetime has passed.
    ExpireRecords {
        /// Their keys and the requests that made them. A repeated command must not remove a newer
        /// record of the same key.
        keys: Vec<(RecordKey, RequestId)>,
    },
    /// The records of these shards are complete again: one record lifetime has passed since the
    /// group was formed anew or the shard moved here.
    MarkRecordsComplete {
        /// The shards and the `since` of their homes. A repeated command must not settle a shard
        /// that left and came back in between.
        shards: Vec<(ShardRef, u64)>,
    },
}

/// A shard homed in the domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomedShard {
    /// The shard.
    pub index: ShardIndex,
    /// Control log index at which it got this home.
    pub since: u64,
    /// Whether it had another home before.
    pub moved: bool,
    /// Whether it shall be released to another domain.
    pub leaving: bool,
}

/// The recorded answer of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
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
    /// The record is new; the request may be sent.
    Recorded,
    /// The request was answered before.
    Replay(StoredResponse),
    /// The request was recorded before and has no recorded answer.
    InProgress,
    /// Records of this shard may be missing, so an earlier run cannot be ruled out.
    RecordsIncomplete,
    /// The command did not fit the state and changed nothing.
    Refused(Box<str>),
}
