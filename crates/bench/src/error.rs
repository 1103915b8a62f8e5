//! Error type of the benchmarks.

use std::io;

use camphordale_standin::fleet::FleetError;

/// Why a benchmark could not be run.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// An operation on the deployment's processes failed.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A file could not be read or written.
    #[error("{step}: {source}")]
    File {
        /// The operation, or the name of the file.
        step: Box<str>,
        /// The I/O error.
        source: io::Error,
    },
    /// The system under test behaved unexpectedly, so that there is no valid result.
    #[error("{step}: {reason}")]
    Unexpected {
        /// The operation.
        step: &'static str,
        /// What was observed.
        reason: Box<str>,
    },
}

impl MeasureError {
    /// Returns an error for unexpected behaviour of the system under test.
    pub(crate) fn unexpected<R>(step: &'static str, reason: R) -> Self
    where
        R: Into<Box<str>>,
    {
        let reason = reason.into();
        MeasureError::Unexpected { step, reason }
    }

    /// Returns a function that converts an I/O error and adds the operation or file name to it.
    pub(crate) fn file(step: &str) -> impl Fn(io::Error) -> Self {
        move |source| MeasureError::File {
            step: step.into(),
            source,
        }
    }
}
