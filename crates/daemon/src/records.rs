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
pub(crate) struct BundleFile(AtomicFile);

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
        match self.0.read()? {
            None => Ok(None),
            Some(bytes) => match postcard::from_bytes(&bytes) {
                Ok(signed) => Ok(Some(signed)),
                Err(_) => Err(self.0.damaged("the content is not a signed bundle")),
            },
        }
    }

    pub(crate) fn save(&self, signed: &SignedBundle) -> Result<(), StoreError> {
        let bytes = postcard::to_stdvec(signed)
            .map_err(|_| self.0.damaged("the bundle cannot be encoded"))?;
        self.0.write(&bytes)
    }
}
