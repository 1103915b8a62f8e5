//! Records of the stand-in caller, one JSON object per attempt.

use serde::{
    Deserialize,
    Serialize, //
};

/// Outcome of an attempt as seen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A complete response to this request.
    Ok,
    /// The router reported that the request was not executed.
    NotRun,
    /// The request may have been executed.
    Unknown,
    /// The target responded with a status of 400 or above.
    Refused,
    /// The response belongs to another request.
    Wrong,
    /// The response is truncated.
    Short,
    /// No connection was established, so nothing was sent.
    ConnectFailed,
}

impl Outcome {
    /// Returns whether this attempt certainly did not execute the request.
    pub fn is_not_executed(self) -> bool {
        matches!(self, Outcome::NotRun | Outcome::ConnectFailed)
    }
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Id of the request, the same for all its attempts; sent as the marker header.
    pub id: Box<str>,
    /// Value of the `Idempotency-Key` header.
    pub idempotency: Option<Box<str>>,
    /// Name of the service.
    pub service: Box<str>,
    /// The key; `None` for a service without keys.
    pub key: Option<Box<str>>,
    /// HTTP method.
    pub method: Box<str>,
    /// Start of the attempt in microseconds since the Unix epoch. For a first attempt this is
    /// its scheduled time, so that a late start counts as latency.
    pub start_us: u64,
    /// Time from the start to the outcome, in microseconds.
    pub latency_us: u64,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// HTTP status of the response.
    pub status: Option<u16>,
    /// Reason code of a refusal.
    pub reason: Option<Box<str>>,
    /// Name of the target that responded.
    pub target: Option<Box<str>>,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Whether this is the last attempt of the request.
    pub last: bool,
    /// Address of the entry VM that the attempt was sent to.
    pub vm: Box<str>,
}
