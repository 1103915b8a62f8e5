//! The part of the state that routers need, sent as differences.

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

/// Changes of a domain group's state after log index `since`, up to `index`.
///
/// A router takes a view when `term` is its own group's and `since` is not above the index it
/// has; a view from index 0 is complete and replaces everything.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Term of the group.
    pub term: u64,
    /// Index the view builds on.
    pub since: u64,
    /// Index the view leads to.
    pub index: u64,
    /// Version of the bundle that the group has in force. The shards are those of its mapping
    /// from keys to shards, so a router with another bundle sends no request with a key.
    pub bundle_version: u64,
    /// All VMs with a session, in order.
    pub vms: Vec<VmId>,
    /// Changed targets.
    pub targets: Vec<TargetView>,
    /// Targets that are gone.
    pub removed_targets: Vec<TargetId>,
    /// Changed shards.
    pub shards: Vec<ShardView>,
    /// Shards that are no longer homed here.
    pub removed_shards: Vec<(ServiceName, ShardIndex)>,
}

/// A target and its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetView {
    /// The target.
    pub info: TargetInfo,
    /// The VM that alone may send keyed requests to it.
    pub sender: Option<VmId>,
    /// Token of the sender's right; a request carries the larger of this and the shard's token.
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
    /// Whether the sender shall stop and drain it.
    pub releasing: bool,
    /// Its token.
    pub token: Token,
}
