//! Errors of the crate.

use std::fmt;

/// A bundle, a signature or a key was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BundleError {
    /// The YAML text cannot be read or its content fails a check.
    #[error("line {line}, {field}: {reason}")]
    Yaml {
        /// Line of the mistake, counted from 1.
        line: usize,
        /// Path of the field, such as `services[0].route.prefix`; `bundle` for the whole text.
        field: Box<str>,
        /// What is wrong.
        reason: Box<str>,
    },
    /// The content of a decoded bundle fails a check.
    #[error("{field}: {reason}")]
    Content {
        /// Path of the field.
        field: Box<str>,
        /// What is wrong.
        reason: Box<str>,
    },
    /// The bytes are not the canonical encoding of a bundle.
    #[error("bundle bytes are not canonical: {0}")]
    Bytes(Box<str>),
    /// Too few different operators signed.
    #[error("{valid} valid signatures of different operators, {needed} needed")]
    Signatures {
        /// Operators with a valid signature.
        valid: u32,
        /// Operators needed.
        needed: u32,
    },
    /// A text is not a key.
    #[error("key: {0}")]
    Key(&'static str),
}

/// One step of the path to a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// A field of a mapping.
    Field(&'static str),
    /// An element of a sequence.
    Item(usize),
}

/// A failed check, before the line of the field is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    pub(crate) path: Vec<Step>,
    pub(crate) reason: Box<str>,
}

impl Fault {
    /// Returns a fault of the value itself; callers add the path with [`Fault::under`].
    pub(crate) fn new(reason: impl Into<Box<str>>) -> Self {
        Fault {
            path: Vec::new(),
            reason: reason.into(),
        }
    }

    /// Returns the fault with `step` in front of its path.
    pub(crate) fn under(mut self, step: Step) -> Self {
        self.path.insert(0, step);
        self
    }

    /// Returns the path as text.
    pub(crate) fn field(&self) -> Box<str> {
        if self.path.is_empty() {
            return "bundle".into();
        }
        let text: String = self.path.iter().map(Step::to_string).collect();
        text.trim_start_matches('.').into()
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Field(name) => write!(f, ".{name}"),
            Step::Item(index) => write!(f, "[{index}]"),
        }
    }
}

/// Adds steps to the path of a failed check.
pub(crate) trait Within {
    /// Adds a field in front of the path.
    fn field(self, name: &'static str) -> Self;
    /// Adds an element in front of the path.
    fn item(self, index: usize) -> Self;
}

impl<Value> Within for Result<Value, Fault> {
    fn field(self, name: &'static str) -> Self {
        self.map_err(|fault| fault.under(Step::Field(name)))
    }

    fn item(self, index: usize) -> Self {
        self.map_err(|fault| fault.under(Step::Item(index)))
    }
}
