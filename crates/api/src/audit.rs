//! The audit trail.

use camphordale_types::{Digest, OperatorName};
use serde::{Deserialize, Serialize};

use crate::hex;

/// One record of the audit trail: one element of the response to `GET /v1/audit`.
///
/// The fields are those of `AuditEntry` in `camphordale-control`, which defines the hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditBody {
    /// Number, counted from 1.
    pub number: u64,
    /// Seconds since the Unix epoch, by the clock of the VM that received the request.
    pub at: u64,
    /// The operators, separated by commas.
    pub by: OperatorName,
    /// What was done.
    pub action: Box<str>,
    /// Digest of the latest bundle before the action.
    #[serde(with = "hex::digest_option", default)]
    pub before: Option<Digest>,
    /// Digest of the latest bundle after the action.
    #[serde(with = "hex::digest_option", default)]
    pub after: Option<Digest>,
    /// Hash of the previous record; all zeros for the first.
    #[serde(with = "hex::digest")]
    pub previous: Digest,
    /// Hash of this record.
    #[serde(with = "hex::digest")]
    pub hash: Digest,
}
