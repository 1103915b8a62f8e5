//! The audit trail.

use camphordale_types::Digest;
use serde::{Deserialize, Serialize};

use crate::hex;

/// One record of the audit trail and one element of the answer to `GET /v1/audit`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditBody {
    /// Number, counted from 1.
    pub number: u64,
    /// Seconds since the Unix epoch, by the clock of the VM that took the request.
    pub at: u64,
    /// The operator, or the operators that signed, separated by commas.
    pub by: Box<str>,
    /// What was done.
    pub action: Box<str>,
    /// State before, in words.
    pub before: Box<str>,
    /// State after, in words.
    pub after: Box<str>,
    /// Hash of the record before; all zeros for the first.
    #[serde(with = "hex::digest")]
    pub previous: Digest,
    /// Hash of this record.
    #[serde(with = "hex::digest")]
    pub hash: Digest,
}

impl AuditBody {
    /// Returns the hash that the record should have: blake3 over its fields but the last, numbers
    /// as 8 bytes little-endian and texts after their length in bytes.
    pub fn expected_hash(&self) -> Digest {
        let mut bytes = Vec::new();
        bytes.extend(self.number.to_le_bytes());
        bytes.extend(self.at.to_le_bytes());
        for text in [&self.by, &self.action, &self.before, &self.after] {
            bytes.extend((text.len() as u64).to_le_bytes());
            bytes.extend(text.as_bytes());
        }
        bytes.extend(self.previous.0);
        Digest::of(&bytes)
    }
}

/// Returns the number of the first record that does not follow the one before it, or whose hash
/// is not that of its content.
///
/// # Examples
///
/// ```
/// use camphordale_api::{AuditBody, broken_link};
/// use camphordale_types::Digest;
///
/// let mut record = AuditBody {
///     number: 1,
///     at: 0,
///     by: "amina".into(),
///     action: "submit bundle 1".into(),
///     before: "".into(),
///     after: "1".into(),
///     previous: Digest([0; 32]),
///     hash: Digest([0; 32]),
/// };
/// record.hash = record.expected_hash();
/// assert_eq!(broken_link(&[record.clone()]), None);
/// record.by = "budi".into();
/// assert_eq!(broken_link(&[record]), Some(1));
/// ```
pub fn broken_link(records: &[AuditBody]) -> Option<u64> {
    let mut before: Option<&AuditBody> = None;
    for record in records {
        let follows = match before {
            Some(before) => record.number == before.number + 1 && record.previous == before.hash,
            None => record.number != 1 || record.previous == Digest([0; 32]),
        };
        if !follows || record.hash != record.expected_hash() {
            return Some(record.number);
        }
        before = Some(record);
    }
    None
}
