//! The identity of a member.

use std::path::Path;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    atomic::AtomicFile,
    error::StoreError, //
};

/// Name of the file in the data directory.
const FILE: &str = "identity";

/// Who a member is. A member must not come back under its old id without its log, so the identity
/// belongs on the same disk: a lost disk then gives a new identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Id of the member in its group.
    pub member: u64,
}

impl Identity {
    /// Returns the identity kept in `dir`. If there is none, `fresh` becomes the id; it must never
    /// have been used, for example because it is random.
    ///
    /// ```
    /// use camphordale_store::Identity;
    ///
    /// let dir = tempfile::tempdir()?;
    /// assert_eq!(Identity::open(dir.path(), 71)?.member, 71);
    /// assert_eq!(Identity::open(dir.path(), 72)?.member, 71);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Those of [`AtomicFile::read`] and [`AtomicFile::write`]. A corrupt identity is never
    /// replaced.
    pub fn open(dir: &Path, fresh: u64) -> Result<Identity, StoreError> {
        let file = AtomicFile::new(dir.join(FILE));
        if let Some(identity) = file.read()? {
            return Ok(identity);
        }
        let identity = Identity { member: fresh };
        file.write(&identity)?;
        Ok(identity)
    }
}
