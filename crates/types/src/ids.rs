//! Type aliases of ids and names.

/// Number of a VM, unique within a deployment and set in its configuration.
pub type VmId = u32;

/// Identifies one run of a VM's process; a restarted process has a new incarnation.
pub type Incarnation = u64;

/// Id of a Raft member. A member that lost its state rejoins under a new id.
pub type MemberId = u64;

/// Name of a failure domain.
pub type DomainName = Box<str>;

/// Name of a service in the bundle.
pub type ServiceName = Box<str>;

/// Name under which a target registers; unique within its failure domain.
pub type TargetName = Box<str>;

/// Name of an operator in the bundle.
pub type OperatorName = Box<str>;

/// Index of a shard within its service.
pub type ShardIndex = u32;

/// Id of a target's session within its domain group.
pub type TargetId = u64;

/// Id of a session of a VM or target with its domain leader.
pub type SessionId = u64;

/// Id of one request from a caller.
pub type RequestId = u128;
