//! A file whose value is written again after a failure.

use std::time::Duration;

use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    atomic::AtomicFile,
    error::StoreError, //
};

/// Delay before a value is written again after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// An [`AtomicFile`] that keeps a value until it is written.
///
/// ```
/// use std::time::Duration;
/// use camphordale_store::{AtomicFile, RetriedFile};
///
/// let dir = tempfile::tempdir()?;
/// let path = dir.path().join("missing").join("members");
/// let mut file = RetriedFile::new(AtomicFile::<u64>::new(&path));
/// assert!(file.write(7, Duration::ZERO).is_err());
/// std::fs::create_dir(dir.path().join("missing"))?;
/// file.retry(Duration::from_secs(1))?;
/// assert_eq!(AtomicFile::<u64>::new(&path).read()?, Some(7));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct RetriedFile<Value> {
    file: AtomicFile<Value>,
    /// The value that is not written yet, and when it is tried again.
    pending: Option<(Value, Duration)>,
}

impl<Value> RetriedFile<Value>
where
    Value: Serialize + DeserializeOwned,
{
    /// Creates a handle, without I/O.
    pub fn new(file: AtomicFile<Value>) -> RetriedFile<Value> {
        RetriedFile {
            file,
            pending: None,
        }
    }

    /// Replaces the value of the file. If that fails, the value is kept for [`RetriedFile::retry`].
    ///
    /// # Errors
    ///
    /// Those of [`AtomicFile::write`].
    pub fn write(&mut self, value: Value, now: Duration) -> Result<(), StoreError> {
        self.pending = Some((value, now));
        self.retry(now)
    }

    /// Writes the value that could not be written earlier, if there is one and some time has passed.
    ///
    /// # Errors
    ///
    /// Those of [`AtomicFile::write`].
    pub fn retry(&mut self, now: Duration) -> Result<(), StoreError> {
        let Some((value, at)) = &mut self.pending else {
            return Ok(());
        };
        if now < *at {
            return Ok(());
        }
        *at = now + RETRY_INTERVAL;
        self.file.write(value)?;
        self.pending = None;
        Ok(())
    }
}
