//! The part of the state that routers need, sent as incremental updates.

use camphordale_types::{
    ServiceName,
    ShardIndex,
    TargetId,
    TargetInfo,
    Token,
    VmId, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Changes of a domain group's state after log index `since`, up to and including `index`.
///
/// A router applies a view only if `term` is that of its own group and `since` is not above the
/// index of the router's state. A view with `since` 0 is complete and replaces that state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Term of the group.
    pub term: u64,
    /// Log index of the state to which the changes apply; 0 in a complete view.
    pub since: u64,
    /// Log index of the state after the view.
    pub index: u64,
    /// Version of the bundle in force in the group. The shards follow its mapping from keys to
    /// shards, so a router with another bundle sends no keyed requests.
    pub bundle_version: u64,
    /// All VMs with a session, in ascending order.
    pub vms: Vec<VmId>,
    /// Changed targets.
    pub targets: Vec<TargetView>,
    /// Targets that were removed.
    pub removed_targets: Vec<TargetId>,
    /// Changed shards.
    pub shards: Vec<ShardView>,
    /// Shards whose home is no longer here.
    pub removed_shards: Vec<(ServiceName, ShardIndex)>,
}

/// A target and its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetView {
    /// The target.
    pub info: TargetInfo,
    /// The only VM that may send keyed requests to it.
    pub sender: Option<VmId>,
    /// Fencing token of the sender; a request carries the larger of this and the shard's token.
    pub token: Token,
}

/// A shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardView {
    /// The service.
    pub service: ServiceName,
    /// The shard.
    pub index: ShardIndex,
    /// Its owner; none while it is free or parked.
    pub owner: Option<TargetId>,
    /// Whether the sender must stop sending and drain the shard.
    pub releasing: bool,
    /// Its fencing token.
    pub token: Token,
}
