//! The audit trail of operator actions, a hash chain.

use std::collections::VecDeque;

use camphordale_types::{
    Digest,
    OperatorName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Maximum number of retained entries. Older ones are dropped; the hash to which the first
/// retained entry links is kept.
pub(crate) const MAX_ENTRIES: usize = 10_000;
/// Previous hash of the first entry.
const GENESIS_HASH: Digest = Digest([0; 32]);
/// BLAKE3 key derivation context of entry hashes.
const HASH_CONTEXT: &str = "camphordale 2026 audit trail entry v1";

/// One recorded operator action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Number, counted from 1.
    pub number: u64,
    /// Seconds since the Unix epoch, by the clock of the VM that submitted the action.
    pub at: u64,
    /// Names of the operators who took the action, separated by commas.
    pub by: OperatorName,
    /// Description of the action.
    pub action: Box<str>,
    /// Digest of the latest bundle before the action.
    pub before: Option<Digest>,
    /// Digest of the latest bundle after the action.
    pub after: Option<Digest>,
    /// Hash of the previous entry.
    pub previous: Digest,
    /// Hash of all other fields.
    pub hash: Digest,
}

/// Error returned when an audit trail was altered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuditError {
    /// The entry's hash does not match its content.
    #[error("audit entry {0} does not match its hash")]
    Content(u64),
    /// The entry does not link to the previous one.
    #[error("audit entry {0} does not link to the previous entry")]
    Chain(u64),
}

impl AuditEntry {
    fn compute_hash(&self) -> Digest {
        let content = (
            self.number,
            self.at,
            &self.by,
            &self.action,
            self.before,
            self.after,
            self.previous,
        );
        let bytes = postcard::to_stdvec(&content).expect("all fields have a postcard encoding");
        Digest(blake3::derive_key(HASH_CONTEXT, &bytes))
    }
}

/// Verifies the hash chain of `entries`, a contiguous part of the trail that may start anywhere.
///
/// # Errors
///
/// [`AuditError`] with the number of the first entry that was altered or is out of order.
///
/// # Examples
///
/// ```
/// use camphordale_control::{Command, State, verify_audit};
/// use camphordale_types::Operators;
///
/// let mut state = State::new(Operators { needed: 1, keys: Vec::new() });
/// for index in 1..=3 {
///     state.apply(index, &Command::RecordAction {
///         action: "rotated the cluster key".into(),
///         by: "asha".into(),
///         at: 1_790_000_000,
///     });
/// }
/// let mut entries = state.audit().to_vec();
/// assert_eq!(verify_audit(&entries), Ok(()));
/// entries[1].by = "baraka".into();
/// assert!(verify_audit(&entries).is_err());
/// ```
pub fn verify_audit(entries: &[AuditEntry]) -> Result<(), AuditError> {
    for entry in entries {
        if entry.hash != entry.compute_hash() {
            return Err(AuditError::Content(entry.number));
        }
        if entry.number == 0 || (entry.number == 1) != (entry.previous == GENESIS_HASH) {
            return Err(AuditError::Chain(entry.number));
        }
    }
    match entries.windows(2).find(|pair| {
        pair[1].previous != pair[0].hash || pair[1].number.checked_sub(1) != Some(pair[0].number)
    }) {
        Some(pair) => Err(AuditError::Chain(pair[1].number)),
        None => Ok(()),
    }
}

/// The retained part of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditTrail {
    entries: VecDeque<AuditEntry>,
    /// Number and hash of the entry before the first retained one.
    base: (u64, Digest),
}

impl AuditTrail {
    pub(crate) fn new() -> Self {
        AuditTrail {
            entries: VecDeque::new(),
            base: (0, GENESIS_HASH),
        }
    }

    /// Returns the retained entries, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> + ExactSizeIterator {
        self.entries.iter()
    }

    /// Returns copies of the retained entries, oldest first.
    pub fn to_vec(&self) -> Vec<AuditEntry> {
        self.entries.iter().cloned().collect()
    }

    /// Returns the number and hash of the entry to which the first retained entry links.
    pub fn base(&self) -> (u64, Digest) {
        self.base
    }

    pub(crate) fn append(
        &mut self,
        at: u64,
        by: &str,
        action: impl Into<Box<str>>,
        digests: (Option<Digest>, Option<Digest>),
    ) {
        let (number, previous) = match self.entries.back() {
            Some(last) => (last.number, last.hash),
            None => self.base,
        };
        let mut entry = AuditEntry {
            number: number + 1,
            at,
            by: by.into(),
            action: action.into(),
            before: digests.0,
            after: digests.1,
            previous,
            hash: GENESIS_HASH,
        };
        entry.hash = entry.compute_hash();
        self.entries.push_back(entry);
        while self.entries.len() > MAX_ENTRIES {
            if let Some(dropped) = self.entries.pop_front() {
                self.base = (dropped.number, dropped.hash);
            }
        }
    }

    /// Verifies the trail, including its base.
    pub(crate) fn verify(&self) -> Result<(), AuditError> {
        let entries = self.to_vec();
        verify_audit(&entries)?;
        match entries.first() {
            None if self.base != (0, GENESIS_HASH) => Err(AuditError::Chain(self.base.0)),
            Some(first)
                if (first.number.checked_sub(1), first.previous)
                    != (Some(self.base.0), self.base.1) =>
            {
                Err(AuditError::Chain(first.number))
            }
            _ => Ok(()),
        }
    }
}
