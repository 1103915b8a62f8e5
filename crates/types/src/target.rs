//! Targets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{ServiceName, Side, TargetId, TargetName};

/// Registration that a target sends when it announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSpec {
    /// Name, unique in the domain.
    pub name: TargetName,
    /// The service it serves.
    pub service: ServiceName,
    /// The system it belongs to.
    pub side: Side,
    /// Where it listens for requests.
    pub address: SocketAddr,
    /// Whether it refuses requests with a stale fencing token or without a lease.
    pub checks_tokens: bool,
    /// Maximum number of concurrent requests; the bundle's value is the upper bound.
    pub slots: u32,
}

/// A target with a session in its domain group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Id of its session.
    pub id: TargetId,
    /// Its registration.
    pub spec: TargetSpec,
    /// Whether it may get new work.
    pub state: TargetState,
}

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// It serves requests.
    Serving,
    /// It is leaving and gets no new shards; its shards are being moved.
    Leaving,
    /// Its lease has expired. It is kept until all its shards have moved.
    Lost,
}

/// Load reported by a target. Reports are delayed and may be wrong, so they only bias decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Fraction of its capacity in use, 0.0 to 1.0.
    pub load: f32,
}
