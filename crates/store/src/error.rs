//! Errors with the step and the path at which they occurred.

use std::{
    io,
    path::{
        Path,
        PathBuf, //
    },
};

/// Why a file could not be read or written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// The file system refused a step.
    #[error("cannot {step} {}: {source}", path.display())]
    Io {
        /// What was attempted.
        step: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The reason given by the operating system.
        source: io::Error,
    },
    /// The content does not have its checksum, or contradicts itself.
    #[error("{} is corrupt at offset {offset}: {reason}", path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Offset of the first bad byte or record.
        offset: u64,
        /// What is wrong there.
        reason: &'static str,
    },
    /// Another store has the directory open.
    #[error("{} is held by another process or store", path.display())]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// An earlier write or sync failed.
    #[error("{} refuses writes because an earlier write or sync failed; open it again", path.display())]
    Failed {
        /// The file.
        path: PathBuf,
    },
    /// The entries or the snapshot to persist do not continue the log.
    #[error(
        "index {first} does not continue {}, which holds indexes {start} to {last}",
        path.display()
    )]
    Gap {
        /// The file.
        path: PathBuf,
        /// First index after the snapshot.
        start: u64,
        /// Last index in the file.
        last: u64,
        /// Index of the refused snapshot, or of the first refused entry.
        first: u64,
    },
    /// The value cannot be encoded.
    #[error("cannot encode a record of {}: {source}", path.display())]
    Encode {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: postcard::Error,
    },
}

/// Adds the step and the path to an I/O error.
pub(crate) fn at<'a>(
    step: &'static str,
    path: &'a Path,
) -> impl FnOnce(io::Error) -> StoreError + 'a {
    move |source| StoreError::Io {
        step,
        path: path.to_path_buf(),
        source,
    }
}
