//! The file that stores the bundle in force on this VM.

use std::path::Path;

use camphordale_bundle::SignedBundle;
use camphordale_store::{
    AtomicFile,
    StoreError, //
};

/// Name of the file in the data folder.
const FILE_NAME: &str = "bundle";

/// The file with the last bundle that was in force on this VM.
pub(crate) struct BundleFile(AtomicFile<SignedBundle>);

impl BundleFile {
    pub(crate) fn new(folder: &Path) -> Self {
        BundleFile(AtomicFile::new(folder.join(FILE_NAME)))
    }

    /// Returns the saved bundle, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is damaged. Starting without it could put an older
    /// bundle in force on this VM.
    pub(crate) fn load(&self) -> Result<Option<SignedBundle>, StoreError> {
        self.0.read()
    }

    pub(crate) fn save(&self, signed: &SignedBundle) -> Result<(), StoreError> {
        self.0.write(signed)
    }
}
