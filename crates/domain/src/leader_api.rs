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

/// Lengths of leases.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// Lease of an entry VM's session.
    pub vm_lease: Duration,
    /// Lease of a target's session.
    pub target_lease: Duration,
    /// Maximum time between a sender's last lease check and the write of the request.
    pub stall: Duration,
}

/// Input of the leader's reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// This member became the leader of the group.
    Elected {
        /// Raft term.
        epoch: u64,
        /// Whether the group was recreated after its predecessor was lost; leases of the
        /// predecessor may still be valid.
        recreated: bool,
    },
    /// This member is no longer the leader.
    SteppedDown,
    /// A quorum confirmed the leadership until this time; leases are granted only before it.
    LeadershipConfirmed {
        /// Time until which no other member can be leader.
        until: Duration,
    },
    /// A VM requests the renewal of its lease.
    RenewVm {
        /// The VM.
        vm: VmId,
        /// Incarnation of its process.
        incarnation: Incarnation,
        /// Returned in the grant.
        nonce: u64,
    },
    /// A VM gave up its lease and has no request in flight at any target; it sends no more
    /// requests.
    VmLeft {
        /// The VM.
        vm: VmId,
        /// Incarnation of its process.
        incarnation: Incarnation,
    },
    /// A target requests the renewal of its lease.
    RenewTarget {
        /// The target's session.
        target: TargetId,
        /// Its load.
        load: LoadReport,
        /// Returned in the grant.
        nonce: u64,
    },
    /// A sender failed to connect to a target or got no response, even on a new connection.
    SuspectTarget {
        /// The reporting VM.
        vm: VmId,
        /// The target.
        target: TargetId,
    },
    /// A sender no longer sends requests for a releasing shard. It repeats the report until the
    /// shard is no longer releasing, because a new leader has no record of earlier reports.
    ShardReleased {
        /// The reporting VM.
        vm: VmId,
        /// Incarnation of its process. A restarted process does not know of requests that its
        /// predecessor sent.
        incarnation: Incarnation,
        /// The shard.
        shard: ShardRef,
        /// Token of the shard while it is releasing.
        token: Token,
        /// Time until the deadline of the last request in flight; zero if there is none.
        drain_time: Duration,
    },
    /// Number of requests that a sender handled for its shards since its last report.
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

/// Output of the leader's reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Propose a command to the group.
    Propose(Command),
    /// Grant a lease to a VM.
    GrantVm {
        /// The VM.
        vm: VmId,
        /// Incarnation of its process.
        incarnation: Incarnation,
        /// Nonce of the request.
        nonce: u64,
        /// Length of the lease; the holder counts it from before it sent its request.
        lease: Duration,
        /// Minimum view index: the VM may use the lease only with a view of at least this log
        /// index.
        min_view: u64,
    },
    /// Grant a lease to a target.
    GrantTarget {
        /// The target.
        target: TargetId,
        /// Nonce of the request.
        nonce: u64,
        /// Length of the lease; the holder counts it from before it sent its request.
        lease: Duration,
    },
    /// Tell a target that it has no session and has to register again.
    RefuseTarget {
        /// The target.
        target: TargetId,
        /// Nonce of the request.
        nonce: u64,
    },
}
