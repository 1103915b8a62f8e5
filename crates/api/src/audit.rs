//! The audit trail.

use camphordale_types::{Digest, OperatorName};
use serde::{Deserialize, Serialize};

use crate::hex;

/// One record of the audit trail and one element of the answer to `GET /v1/audit`.
///
/// The fields are those of `AuditEntry` in `camphordale-control`, which defines the hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditBody {
    /// Number, counted from 1.
    pub number: u64,
    /// Seconds since the Unix epoch, by the clock of the VM that took the request.
    pub at: u64,
    /// The operators, separated by commas.
    pub by: OperatorName,
    /// What was done.
    pub action: Box<str>,
    /// Digest of the bundle that stood before.
    #[serde(with = "hex::digest_option", default)]
    pub before: Option<Digest>,
    /// Digest of the bundle that stands after.
    #[serde(with = "hex::digest_option", default)]
    pub after: Option<Digest>,
    /// Hash of the record before; all zeros for the first.
    #[serde(with = "hex::digest")]
    pub previous: Digest,
    /// Hash of this record.
    #[serde(with = "hex::digest")]
    pub hash: Digest,
}
