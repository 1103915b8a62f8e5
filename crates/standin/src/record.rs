//! Records of the stand-in caller: one JSON object per attempt.

use serde::{
    Deserialize,
    Serialize, //
};

/// How an attempt ended for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A whole answer to this request.
    Ok,
    /// The router said that it was not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The target answered with a status of 400 or more.
    Refused,
    /// The answer belongs to another request.
    Wrong,
    /// The answer is not whole.
    Short,
    /// No connection was made, so nothing was sent.
    ConnectFailed,
}

impl Outcome {
    /// Tells whether the request certainly had no effect by this attempt.
    pub fn is_not_executed(self) -> bool {
        matches!(self, Outcome::NotRun | Outcome::ConnectFailed)
    }
}

/// One attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Id of the request, the same for all its attempts; sent as marker.
    pub id: Box<str>,
    /// Idempotency key.
    pub idempotency: Option<Box<str>>,
    /// The service.
    pub service: Box<str>,
    /// The key; none for a service without keys.
    pub key: Option<Box<str>>,
    /// HTTP method.
    pub method: Box<str>,
    /// Wall clock at the start, microseconds since the Unix epoch. The first attempt starts
    /// when it was due, so that a late start counts as latency.
    pub start_us: u64,
    /// Time until the outcome, in microseconds.
    pub latency_us: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Status of the answer.
    pub status: Option<u16>,
    /// Reason code of a refusal.
    pub reason: Option<Box<str>>,
    /// Name of the target that answered.
    pub target: Option<Box<str>>,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Whether no further attempt follows.
    pub last: bool,
    /// Address of the entry VM.
    pub vm: Box<str>,
}
