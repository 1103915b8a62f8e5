//! Identity of a group member.

use std::path::Path;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    atomic::AtomicFile,
    error::StoreError, //
};

/// File name in the data directory.
const FILE_NAME: &str = "identity";

/// Identity of a group member. A member must not rejoin under its old id without its log, so the
/// identity is stored on the same disk as the log: after a lost disk, the member gets a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Id of the member in its group.
    pub member: u64,
}

impl Identity {
    /// Returns the identity stored in `dir`. If there is none, stores one with `new_id`, which must
    /// never have been used before, for example because it is random.
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
    /// The errors of [`AtomicFile::read`] and [`AtomicFile::write`]. A corrupt identity is never
    /// replaced.
    pub fn open(dir: &Path, new_id: u64) -> Result<Identity, StoreError> {
        let file = AtomicFile::new(dir.join(FILE_NAME));
        if let Some(identity) = file.read()? {
            return Ok(identity);
        }
        let identity = Identity { member: new_id };
        file.write(&identity)?;
        Ok(identity)
    }
}
