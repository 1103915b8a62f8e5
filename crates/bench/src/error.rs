//! Errors of measurements.

use std::io;

use camphordale_standin::fleet::FleetError;

/// A measurement could not be made.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// A step with the deployment failed.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A file could not be read or written.
    #[error("{step}: {source}")]
    File {
        /// The step.
        step: Box<str>,
        /// The error of the system.
        source: io::Error,
    },
    /// The deployment behaved in a way that makes a result impossible.
    #[error("{step}: {reason}")]
    Unexpected {
        /// The step.
        step: &'static str,
        /// What was seen.
        reason: Box<str>,
    },
}

impl MeasureError {
    /// Returns an error of the deployment's behaviour.
    pub(crate) fn unexpected<R>(step: &'static str, reason: R) -> Self
    where
        R: Into<Box<str>>,
    {
        let reason = reason.into();
        MeasureError::Unexpected { step, reason }
    }

    /// Returns a function that adds the step to an error of the system.
    pub(crate) fn file(step: &str) -> impl Fn(io::Error) -> Self {
        move |source| MeasureError::File {
            step: step.into(),
            source,
        }
    }
}
