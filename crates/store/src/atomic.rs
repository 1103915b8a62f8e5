//! Files that hold one small value and are replaced atomically.

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
        io_error, //
    },
    record,
};

/// Magic number of the file format and its version.
const MAGIC: [u8; 8] = *b"camphat1";

/// A file that holds one value with a checksum. Writes are atomic: after a crash the file has
/// either the old or the new value.
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
    /// Creates a handle for the file at `path`, without I/O. The directory must exist before the
    /// first use.
    pub fn new(path: impl Into<PathBuf>) -> AtomicFile<Value> {
        AtomicFile::with_disk(Arc::new(OsDisk), path)
    }

    /// Creates a handle for a file on the given disk, without I/O.
    pub fn with_disk(disk: Arc<dyn Disk>, path: impl Into<PathBuf>) -> AtomicFile<Value> {
        AtomicFile {
            path: path.into(),
            disk,
            value: PhantomData,
        }
    }

    /// Returns the value, or `None` if the file does not exist. A returned value is durable.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`] if the file cannot be read, [`StoreError::Corrupt`] if its content is
    /// not exactly one valid value.
    pub fn read(&self) -> Result<Option<Value>, StoreError> {
        let content = self
            .disk
            .read(&self.path)
            .map_err(io_error("read", &self.path))?;
        let Some(content) = content else {
            return Ok(None);
        };
        // A write that failed after the rename leaves a directory entry that is not yet durable.
        sync_dir(self.disk.as_ref(), &self.path)?;
        let corrupt = |offset: usize, reason| StoreError::Corrupt {
            path: self.path.clone(),
            offset: offset as u64,
            reason,
        };
        if !content.starts_with(&MAGIC) {
            return Err(corrupt(0, "unknown file format"));
        }
        let scan = record::scan(&content, MAGIC.len());
        match scan.payloads.as_slice() {
            [payload] if scan.end == content.len() => {
                postcard::from_bytes(&content[payload.clone()])
                    .map(Some)
                    .map_err(|_| corrupt(payload.start, "the value cannot be decoded"))
            }
            _ => Err(corrupt(
                MAGIC.len(),
                "the value does not match its checksum",
            )),
        }
    }

    /// Replaces the value. When this returns successfully, the new value is durable.
    ///
    /// # Errors
    ///
    /// [`StoreError::Encode`] if the value cannot be encoded, [`StoreError::Io`] if a file
    /// system operation fails. The file then has either the old or the new value.
    pub fn write(&self, value: &Value) -> Result<(), StoreError> {
        let payload = encode(&self.path, value)?;
        replace_file(self.disk.as_ref(), &self.path, &MAGIC, &payload).map(drop)
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

/// Returns the path under which the new version of a file is written before the rename.
pub(crate) fn temporary_path(path: &Path) -> PathBuf {
    path.with_added_extension("new")
}

/// Atomically replaces a file by one with `magic` and one record. Returns the open file and its
/// length in bytes.
pub(crate) fn replace_file(
    disk: &dyn Disk,
    path: &Path,
    magic: &[u8],
    payload: &[u8],
) -> Result<(Box<dyn DiskFile>, u64), StoreError> {
    let temporary = temporary_path(path);
    let mut content = magic.to_vec();
    content
        .extend(record::frame(magic.len() as u64, payload).map_err(io_error("frame", &temporary))?);
    let mut file = disk
        .create(&temporary)
        .map_err(io_error("create", &temporary))?;
    file.write_all(&content)
        .map_err(io_error("write", &temporary))?;
    file.sync().map_err(io_error("sync", &temporary))?;
    disk.rename(&temporary, path)
        .map_err(io_error("rename to", path))?;
    sync_dir(disk, path)?;
    Ok((file, content.len() as u64))
}

/// Syncs the directory of a file, which makes the directory entry durable.
pub(crate) fn sync_dir(disk: &dyn Disk, path: &Path) -> Result<(), StoreError> {
    let dir = match path.parent() {
        Some(dir) if !dir.as_os_str().is_empty() => dir,
        _ => Path::new("."),
    };
    disk.sync_dir(dir).map_err(io_error("sync", dir))
}
