//! Events and effects of the domain leader.

use std::time::Duration;

use camphordale_types::{
    Incarnation,
    LoadReport,
    ServiceName,
    ShardIndex,
    ShardRef,
    TargetId,
    Token,
    VmId, //
};

use crate::Command;

/// Lease times.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// Lease of an entry VM.
    pub vm_lease: Duration,
    /// Lease of a target.
    pub target_lease: Duration,
    /// Time that a sender is allowed between its last lease check and the write.
    pub stall: Duration,
}

/// Input of the leader.
#[derive(Clone, Debug)]
pub enum Event {
    /// This member became leader. `quorum` is the least time after which another leader could
    /// exist; see `LeadershipConfirmed`.
    Elected {
        /// Raft term.
        epoch: u64,
        /// Whether the group replaced another, whose leases may still run.
        recreated: bool,
    },
    /// This member is no longer leader.
    SteppedDown,
    /// Leadership is confirmed until this time; leases are granted only before it.
    LeadershipConfirmed {
        /// Time until which no other leader can exist.
        until: Duration,
    },
    /// A VM asks to renew its lease.
    RenewVm {
        /// The VM.
        vm: VmId,
        /// The run of its process.
        incarnation: Incarnation,
        /// Returned in the grant.
        nonce: u64,
    },
    /// A VM has given its lease up and has no request at any target: it sends nothing more.
    VmLeft {
        /// The VM.
        vm: VmId,
        /// The run of its process.
        incarnation: Incarnation,
    },
    /// A target asks to renew its lease.
    RenewTarget {
        /// The target's session.
        target: TargetId,
        /// Its load.
        load: LoadReport,
        /// Returned in the grant.
        nonce: u64,
    },
    /// A sender could not reach a target or it did not answer, even on a fresh connection.
    SuspectTarget {
        /// The reporting VM.
        vm: VmId,
        /// The target.
        target: TargetId,
    },
    /// A sender has stopped sending for a releasing shard. A sender repeats it until the shard is
    /// no longer releasing, because a new leader knows nothing of earlier reports.
    ShardReleased {
        /// The reporting VM.
        vm: VmId,
        /// The run of its process. A restarted process knows nothing of the requests that the
        /// one before it sent.
        incarnation: Incarnation,
        /// The shard.
        shard: ShardRef,
        /// The token under which it was releasing.
        token: Token,
        /// Time until the last outstanding request's deadline; zero when drained.
        drain_time: Duration,
    },
    /// A sender reports the requests it handled for its shards since its last report.
    ShardLoad {
        /// The reporting VM.
        vm: VmId,
        /// Requests by shard.
        shards: Vec<(ServiceName, ShardIndex, u32)>,
    },
    /// The replicated state changed.
    StateChanged,
    /// Time has passed.
    Tick,
}

/// Output of the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Propose a command.
    Propose(Command),
    /// Tell a VM that its lease is renewed.
    GrantVm {
        /// The VM.
        vm: VmId,
        /// The run of its process.
        incarnation: Incarnation,
        /// From the request.
        nonce: u64,
        /// Length, counted by the holder from before it asked.
        lease: Duration,
        /// The lease may be used only with a view of at least this index.
        fence: u64,
    },
    /// Tell a target that its lease is renewed.
    GrantTarget {
        /// The target.
        target: TargetId,
        /// From the request.
        nonce: u64,
        /// Length, counted by the holder from before it asked.
        lease: Duration,
    },
    /// Tell a target that it has no session; it has to announce itself again.
    RefuseTarget {
        /// The target.
        target: TargetId,
        /// From the request.
        nonce: u64,
    },
}
