//! Id aliases.

/// Number of a VM of the system, unique in one deployment and set by its settings.
pub type VmId = u32;

/// Identity of one run of a VM's process; a restarted process has a new one.
pub type Incarnation = u64;

/// Identity of a Raft member. A member that lost its state comes back under a new one.
pub type MemberId = u64;

/// Name of a failure domain.
pub type DomainName = Box<str>;

/// Name of a service in the bundle.
pub type ServiceName = Box<str>;

/// Name that a target announces; unique within its failure domain.
pub type TargetName = Box<str>;

/// Name of an operator in the bundle.
pub type OperatorName = Box<str>;

/// Position of a shard within its service.
pub type ShardIndex = u32;

/// Id of a target's session within its domain group.
pub type TargetId = u64;

/// Id of a session of a VM or target with its domain leader.
pub type SessionId = u64;

/// Id of one request of a caller.
pub type RequestId = u128;
