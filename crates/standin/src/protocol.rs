//! Messages between a target and an entry VM.

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

/// Body of an announcement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Announce {
    /// Name, unique in the failure domain.
    pub name: Box<str>,
    /// The service it serves.
    pub service: Box<str>,
    /// The system it belongs to.
    pub side: Side,
    /// Where it accepts requests.
    pub address: Box<str>,
    /// Whether it refuses stale tokens.
    pub checks_tokens: bool,
    /// Requests it runs at a time.
    pub slots: u32,
}

/// Answer to an announcement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Announced {
    /// Id of the session.
    pub target: TargetId,
    /// Length of the lease in milliseconds.
    pub lease_ms: u64,
    /// Time between renewals in milliseconds.
    pub renew_ms: u64,
    /// Version of `grants`.
    pub grants_version: u64,
    /// All shards that the target owns.
    pub grants: Vec<Grant>,
}

/// Ownership of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The service.
    pub service: Box<str>,
    /// The shard's position within the service.
    pub shard: ShardIndex,
    /// Fencing token as text, `TERM.EPOCH.SEQ`.
    #[serde(with = "token_text")]
    pub token: Token,
}

/// Body of a renewal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Renew {
    /// Requests running.
    pub running: u32,
    /// Share of the capacity in use.
    pub load: f32,
    /// Version of the grants that the target has.
    pub grants_version: u64,
}

/// Answer to a renewal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Renewed {
    /// Length of the lease in milliseconds.
    pub lease_ms: u64,
    /// Time between renewals in milliseconds.
    pub renew_ms: u64,
    /// Whether the target is leaving.
    pub state: SessionState,
    /// Version of the grants.
    pub grants_version: u64,
    /// All grants, if the version differs from that of the renewal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grants: Option<Vec<Grant>>,
    /// Shards that the target still owns.
    pub shards_left: u32,
}

/// Answer to a drain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Draining {
    /// Whether the target is leaving.
    pub state: SessionState,
    /// Shards that the target still owns.
    pub shards_left: u32,
}

/// Whether a target gets new shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionState {
    /// It serves.
    Serving,
    /// It is leaving.
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
