//! Targets, shards, and the routing of a key.

use std::net::SocketAddr;

use camphordale_types::{
    DomainName, ServiceName, ShardIndex, Side, TargetId, TargetName, TargetState, Token, VmId,
};
use serde::{Deserialize, Serialize};

use crate::hex;

/// One element of the response to `GET /v1/targets`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetBody {
    /// Id of its session.
    pub id: TargetId,
    /// Its name.
    pub name: TargetName,
    /// The service it serves.
    pub service: ServiceName,
    /// The system it belongs to.
    pub side: Side,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it rejects stale fencing tokens.
    pub checks_tokens: bool,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it may get new work.
    pub state: TargetState,
    /// The only VM that may send keyed requests to it.
    pub sender: Option<VmId>,
    /// Number of shards it owns.
    pub shards: u32,
}

/// One element of the response to `GET /v1/shards`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardBody {
    /// The service.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardIndex,
    /// The system it belongs to.
    pub side: Side,
    /// Its home domain.
    pub home: Option<DomainName>,
    /// The domain to which it is being moved.
    pub next: Option<DomainName>,
    /// Its owner, if known to the responding VM.
    pub owner: Option<TargetName>,
    /// The VM that sends to its owner, if known to the responding VM.
    pub sender: Option<VmId>,
    /// Whether its owner is releasing it.
    pub releasing: bool,
    /// Its fencing token, if known to the responding VM.
    #[serde(with = "hex::token_option", default)]
    pub token: Option<Token>,
}

/// Response to `GET /v1/explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: Box<str>,
    /// The shard of the key.
    pub shard: ShardIndex,
    /// The system the shard belongs to.
    pub side: Side,
    /// Its home domain.
    pub home: Option<DomainName>,
    /// The VM that sends to its owner, if known to the responding VM.
    pub sender: Option<VmId>,
    /// Its owner, if known to the responding VM.
    pub owner: Option<TargetName>,
    /// Its fencing token, if known to the responding VM.
    #[serde(with = "hex::token_option", default)]
    pub token: Option<Token>,
    /// Whether the responding VM would currently send a request for the key to the owner itself.
    pub would_send_here: bool,
    /// The routing decision, one sentence per step.
    pub why: Vec<Box<str>>,
}
