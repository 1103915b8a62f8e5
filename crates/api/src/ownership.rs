//! Targets, shards, and where a key is served.

use std::net::SocketAddr;

use camphordale_types::{
    DomainName, ServiceName, ShardIndex, Side, TargetId, TargetName, TargetState, Token, VmId,
};
use serde::{Deserialize, Serialize};

use crate::hex;

/// One element of the answer to `GET /v1/targets`.
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
    /// Whether it refuses stale fencing tokens.
    pub checks_tokens: bool,
    /// Requests it can run at a time.
    pub slots: u32,
    /// Whether it may get new work.
    pub state: TargetState,
    /// The VM that alone may send keyed requests to it.
    pub sender: Option<VmId>,
    /// Shards it owns.
    pub shards: u32,
}

/// One element of the answer to `GET /v1/shards`.
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
    /// The domain it is asked to move to.
    pub next: Option<DomainName>,
    /// Its owner, if known here.
    pub owner: Option<TargetName>,
    /// The VM that sends to its owner, if known here.
    pub sender: Option<VmId>,
    /// Whether it is being released.
    pub releasing: bool,
    /// Its fencing token, if known here.
    #[serde(with = "hex::token_option", default)]
    pub token: Option<Token>,
}

/// Answer to `GET /v1/explain`.
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
    /// The VM that sends to its owner, if known here.
    pub sender: Option<VmId>,
    /// Its owner, if known here.
    pub owner: Option<TargetName>,
    /// Its fencing token, if known here.
    #[serde(with = "hex::token_option", default)]
    pub token: Option<Token>,
    /// Whether the VM that answers would send a request for the key itself at this moment.
    pub would_send_here: bool,
    /// The reason, one sentence a step.
    pub why: Vec<Box<str>>,
}
