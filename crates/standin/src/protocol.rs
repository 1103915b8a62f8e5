//! JSON messages between a target and an entry VM.

use camphordale_types::{
    ShardIndex,
    Side,
    TargetId,
    Token, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Request body of an announcement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Announce {
    /// Name, unique in the failure domain.
    pub name: Box<str>,
    /// Service that the target serves.
    pub service: Box<str>,
    /// Whether the target belongs to the old or the new system.
    pub side: Side,
    /// Address on which the target accepts requests.
    pub address: Box<str>,
    /// Whether the target refuses stale fencing tokens.
    pub checks_tokens: bool,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Response to an announcement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Announced {
    /// Id of the session.
    pub target: TargetId,
    /// Duration of the lease in milliseconds.
    pub lease_ms: u64,
    /// Renewal interval in milliseconds.
    pub renew_ms: u64,
    /// Version of `grants`.
    pub grants_version: u64,
    /// All shards that the target owns.
    pub grants: Vec<Grant>,
}

/// Grant of one shard to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the service.
    pub service: Box<str>,
    /// Index of the shard within the service.
    pub shard: ShardIndex,
    /// Fencing token as text, `TERM.EPOCH.SEQ`.
    #[serde(with = "token_text")]
    pub token: Token,
}

/// Request body of a renewal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Renew {
    /// Number of requests in flight.
    pub running: u32,
    /// Fraction of the capacity in use.
    pub load: f32,
    /// Version of the grants that the target has.
    pub grants_version: u64,
}

/// Response to a renewal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Renewed {
    /// Duration of the lease in milliseconds.
    pub lease_ms: u64,
    /// Renewal interval in milliseconds.
    pub renew_ms: u64,
    /// State of the session.
    pub state: SessionState,
    /// Version of the grants.
    pub grants_version: u64,
    /// All grants, if the version differs from that of the renewal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grants: Option<Vec<Grant>>,
    /// Number of shards that the target still owns.
    pub shards_left: u32,
}

/// Response to a drain request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Draining {
    /// State of the session.
    pub state: SessionState,
    /// Number of shards that the target still owns.
    pub shards_left: u32,
}

/// State of a session, which decides whether the target is granted new shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionState {
    /// The target serves requests.
    Serving,
    /// The target is draining and gets no new shards.
    Leaving,
}

mod token_text {
    use camphordale_types::Token;
    use serde::{
        Deserialize,
        Deserializer,
        Serializer,
        de::Error, //
    };

    pub(super) fn serialize<S: Serializer>(token: &Token, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(token)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Token, D::Error> {
        let text = Box::<str>::deserialize(from)?;
        text.parse().map_err(D::Error::custom)
    }
}
