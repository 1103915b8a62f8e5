//! Small values in files that are replaced as a whole.

use std::{
    marker::PhantomData,
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc,
};

use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    disk::{
        Disk,
        DiskFile,
        OsDisk, //
    },
    error::{
        StoreError,
        at, //
    },
    record,
};

/// First bytes of a file: the format and its version.
const MAGIC: [u8; 8] = *b"camphat1";

/// A file that holds one checked value. A write replaces the value as a whole: after a crash the
/// file has either the old or the new value.
///
/// ```
/// use camphordale_store::AtomicFile;
///
/// let dir = tempfile::tempdir()?;
/// let file = AtomicFile::<u64>::new(dir.path().join("version"));
/// assert_eq!(file.read()?, None);
/// file.write(&7)?;
/// assert_eq!(file.read()?, Some(7));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct AtomicFile<Value> {
    path: PathBuf,
    disk: Arc<dyn Disk>,
    value: PhantomData<fn() -> Value>,
}

impl<Value> AtomicFile<Value>
where
    Value: Serialize + DeserializeOwned,
{
    /// Names the file; its directory must exist.
    pub fn new(path: impl Into<PathBuf>) -> AtomicFile<Value> {
        AtomicFile::on(Arc::new(OsDisk), path)
    }

    /// Names a file on the given disk.
    pub fn on(disk: Arc<dyn Disk>, path: impl Into<PathBuf>) -> AtomicFile<Value> {
        AtomicFile {
            path: path.into(),
            disk,
            value: PhantomData,
        }
    }

    /// Returns the value, or `None` if the file does not exist. A value that was returned is
    /// durable.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`] if the file cannot be read, [`StoreError::Corrupt`] if its content is
    /// not exactly one valid value.
    pub fn read(&self) -> Result<Option<Value>, StoreError> {
        let content = self.disk.read(&self.path).map_err(at("read", &self.path))?;
        let Some(content) = content else {
            return Ok(None);
        };
        // A write that failed after the rename leaves a name that is not durable yet.
        sync_dir(self.disk.as_ref(), &self.path)?;
        let corrupt = |offset: usize, reason| StoreError::Corrupt {
            path: self.path.clone(),
            offset: offset as u64,
            reason,
        };
        if !content.starts_with(&MAGIC) {
            return Err(corrupt(0, "unknown format"));
        }
        let scan = record::scan(&content, MAGIC.len());
        match scan.records.as_slice() {
            [payload] if scan.end == content.len() => {
                postcard::from_bytes(&content[payload.clone()])
                    .map(Some)
                    .map_err(|_| corrupt(payload.start, "the value does not decode"))
            }
            _ => Err(corrupt(MAGIC.len(), "the value lacks its checksum")),
        }
    }

    /// Replaces the value. When this returns, the new value is durable.
    ///
    /// # Errors
    ///
    /// [`StoreError::Encode`] if the value cannot be encoded, [`StoreError::Io`] if a step on the
    /// file system fails. The file then has the old or the new value.
    pub fn write(&self, value: &Value) -> Result<(), StoreError> {
        let payload = encode(&self.path, value)?;
        replace(self.disk.as_ref(), &self.path, &MAGIC, &payload).map(drop)
    }
}

pub(crate) fn encode<Value>(path: &Path, value: &Value) -> Result<Vec<u8>, StoreError>
where
    Value: Serialize,
{
    postcard::to_stdvec(value).map_err(|source| StoreError::Encode {
        path: path.to_path_buf(),
        source,
    })
}

/// Name under which a new version of a file is written.
pub(crate) fn aside(path: &Path) -> PathBuf {
    path.with_added_extension("new")
}

/// Replaces a file by one with `magic` and one record. Returns the open file and its length.
pub(crate) fn replace(
    disk: &dyn Disk,
    path: &Path,
    magic: &[u8],
    payload: &[u8],
) -> Result<(Box<dyn DiskFile>, u64), StoreError> {
    let new = aside(path);
    let mut content = magic.to_vec();
    content.extend(record::frame(magic.len() as u64, payload).map_err(at("frame", &new))?);
    let mut file = disk.create(&new).map_err(at("create", &new))?;
    file.write_all(&content).map_err(at("write", &new))?;
    file.sync().map_err(at("sync", &new))?;
    disk.rename(&new, path).map_err(at("rename to", path))?;
    sync_dir(disk, path)?;
    Ok((file, content.len() as u64))
}

/// Makes the name of a file durable.
pub(crate) fn sync_dir(disk: &dyn Disk, path: &Path) -> Result<(), StoreError> {
    let dir = match path.parent() {
        Some(dir) if !dir.as_os_str().is_empty() => dir,
        _ => Path::new("."),
    };
    disk.sync_dir(dir).map_err(at("sync", dir))
}
