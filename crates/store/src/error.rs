//! Errors, with the operation and the path for which they occurred.

use std::{
    io,
    path::{
        Path,
        PathBuf, //
    },
};

/// Why a store or a file could not be read or written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// A file system operation failed.
    #[error("cannot {operation} {}: {source}", path.display())]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The content does not match its checksum, or is inconsistent.
    #[error("{} is corrupt at offset {offset}: {reason}", path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Offset of the first invalid byte or record.
        offset: u64,
        /// Why the content is invalid.
        reason: &'static str,
    },
    /// Another process or store has opened the directory.
    #[error("{} is locked by another process or store", path.display())]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// An earlier write or sync failed.
    #[error("{} rejects writes because an earlier write or sync failed; reopen the store", path.display())]
    Failed {
        /// The file.
        path: PathBuf,
    },
    /// The entries or the snapshot to persist are not contiguous with the log.
    #[error(
        "index {index} is not contiguous with {}, which holds indexes {first} to {last}",
        path.display()
    )]
    Gap {
        /// The file.
        path: PathBuf,
        /// First index after the snapshot.
        first: u64,
        /// Last index in the file.
        last: u64,
        /// Index of the rejected snapshot, or of the first rejected entry.
        index: u64,
    },
    /// The value cannot be encoded.
    #[error("cannot encode a record of {}: {source}", path.display())]
    Encode {
        /// The file.
        path: PathBuf,
        /// The error of the encoder.
        source: postcard::Error,
    },
}

/// Adds the operation and the path to an I/O error.
pub(crate) fn io_error<'a>(
    operation: &'static str,
    path: &'a Path,
) -> impl FnOnce(io::Error) -> StoreError + 'a {
    move |source| StoreError::Io {
        operation,
        path: path.to_path_buf(),
        source,
    }
}
