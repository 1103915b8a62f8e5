//! The file that keeps the last bundle this VM acted on.

use std::path::Path;

use camphordale_bundle::SignedBundle;
use camphordale_store::{
    AtomicFile,
    StoreError, //
};

/// Name of the file in the data folder.
const NAME: &str = "bundle";

/// The file.
pub(crate) struct BundleFile(AtomicFile<SignedBundle>);

impl BundleFile {
    pub(crate) fn new(folder: &Path) -> Self {
        BundleFile(AtomicFile::new(folder.join(NAME)))
    }

    /// Returns the saved bundle, if there is one.
    ///
    /// # Errors
    ///
    /// A file that cannot be read or is damaged is an error: without it this VM could act on an
    /// older bundle.
    pub(crate) fn load(&self) -> Result<Option<SignedBundle>, StoreError> {
        self.0.read()
    }

    pub(crate) fn save(&self, signed: &SignedBundle) -> Result<(), StoreError> {
        self.0.write(signed)
    }
}
