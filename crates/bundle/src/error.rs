//! Error types.

use std::fmt;

/// Why a bundle, its signatures or a key were rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BundleError {
    /// The YAML text cannot be parsed, or its content is invalid.
    #[error("line {line}, {field}: {reason}")]
    Yaml {
        /// Line of the error, counted from 1.
        line: usize,
        /// Path of the field, such as `services[0].route.prefix`; `bundle` for the whole text.
        field: Box<str>,
        /// Why it is invalid.
        reason: Box<str>,
    },
    /// The content of a decoded bundle is invalid.
    #[error("{field}: {reason}")]
    Content {
        /// Path of the field.
        field: Box<str>,
        /// Why it is invalid.
        reason: Box<str>,
    },
    /// The bytes are not the canonical encoding of a bundle.
    #[error("bundle bytes are not canonical: {0}")]
    Bytes(Box<str>),
    /// Too few different operators have signed.
    #[error("{valid} valid signatures of different operators, {needed} needed")]
    Signatures {
        /// Number of different operators with a valid signature.
        valid: u32,
        /// Required number of operators.
        needed: u32,
    },
    /// A key cannot be parsed or generated.
    #[error("key: {0}")]
    Key(&'static str),
}

/// One step of the path to a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PathStep {
    /// A field of a mapping.
    Field(&'static str),
    /// An element of a sequence.
    Item(usize),
}

/// A failed validation, before the line of the field is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ValidationError {
    pub(crate) path: Vec<PathStep>,
    pub(crate) reason: Box<str>,
}

impl ValidationError {
    /// Returns an error for the value itself. Callers add the path with
    /// [`ValidationError::prepend`].
    pub(crate) fn new(reason: impl Into<Box<str>>) -> Self {
        ValidationError {
            path: Vec::new(),
            reason: reason.into(),
        }
    }

    /// Returns the error with `step` prepended to its path.
    pub(crate) fn prepend(mut self, step: PathStep) -> Self {
        self.path.insert(0, step);
        self
    }

    /// Returns the path as text.
    pub(crate) fn field(&self) -> Box<str> {
        if self.path.is_empty() {
            return "bundle".into();
        }
        let text: String = self.path.iter().map(PathStep::to_string).collect();
        text.trim_start_matches('.').into()
    }
}

impl fmt::Display for PathStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PathStep::Field(name) => write!(f, ".{name}"),
            PathStep::Item(index) => write!(f, "[{index}]"),
        }
    }
}

/// Adds steps to the path of a validation error.
pub(crate) trait ErrorPath {
    /// Prepends a field to the path.
    fn field(self, name: &'static str) -> Self;
    /// Prepends a sequence element to the path.
    fn item(self, index: usize) -> Self;
}

impl<Value> ErrorPath for Result<Value, ValidationError> {
    fn field(self, name: &'static str) -> Self {
        self.map_err(|error| error.prepend(PathStep::Field(name)))
    }

    fn item(self, index: usize) -> Self {
        self.map_err(|error| error.prepend(PathStep::Item(index)))
    }
}
