//! Errors and exit codes.

use std::{
    fmt, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It was done.
    Done = 0,
    /// It was refused and changed nothing.
    Refused = 1,
    /// The command line or a file it names is not usable.
    Usage = 2,
    /// No server could be reached, or the outcome is unknown.
    Unknown = 3,
    /// The bundle was accepted and is not yet in force everywhere, as far as known.
    NotInForce = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Why a command was not done.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The command line is not usable.
    #[error("{0}")]
    Usage(String),
    /// A file could not be read or written.
    #[error("{}: {source}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// The content of a file is not valid.
    #[error("{}: {reason}", file.display())]
    Content {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// A server refused the request.
    #[error("{server}: {step}: {reason}")]
    Refused {
        /// The server.
        server: String,
        /// The step at which it refused.
        step: String,
        /// Why.
        reason: String,
    },
    /// Another bundle stands.
    #[error(
        "bundle {version} ({digest}) was not accepted: bundle {standing_version} ({standing}) \
         stands; base the bundle on it and sign again"
    )]
    Conflict {
        /// Version submitted.
        version: u64,
        /// Digest submitted.
        digest: Box<str>,
        /// Version that stands.
        standing_version: u64,
        /// Digest that stands.
        standing: Box<str>,
    },
    /// What a server sent, or an audit trail, cannot be right.
    #[error("{step}: {reason}")]
    Wrong {
        /// The step at which it was found.
        step: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// No server took the request.
    #[error("no server could be reached:{0}")]
    Unreachable(Failures),
    /// The request may have been carried out.
    #[error("{server}: the outcome is unknown: {reason}; {advice}")]
    Unknown {
        /// The server.
        server: String,
        /// What went wrong.
        reason: String,
        /// What to do.
        advice: &'static str,
    },
    /// The bundle is not in force on all VMs.
    #[error("bundle {version} was accepted and is not yet in force on {missing}")]
    NotInForce {
        /// The version.
        version: u64,
        /// The VMs.
        missing: String,
    },
    /// The bundle was accepted, and whether it is in force cannot be learnt.
    #[error("bundle {version} was accepted; the versions in force cannot be read: {reason}")]
    Unwatched {
        /// The version.
        version: u64,
        /// Why.
        reason: String,
    },
    /// The output could not be written.
    #[error("output: {0}")]
    Output(io::Error),
}

/// What went wrong at each server.
#[derive(Debug, Default)]
pub struct Failures(pub Vec<(String, String)>);

impl fmt::Display for Failures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|(server, reason)| write!(f, " {server}: {reason};"))
    }
}

impl CliError {
    /// Returns the exit code of the error.
    pub fn exit(&self) -> Exit {
        match self {
            CliError::Usage(_) | CliError::File { .. } => Exit::Usage,
            CliError::Content { .. }
            | CliError::Refused { .. }
            | CliError::Conflict { .. }
            | CliError::Wrong { .. }
            | CliError::Output(_) => Exit::Refused,
            CliError::Unreachable(_) | CliError::Unknown { .. } => Exit::Unknown,
            CliError::NotInForce { .. } | CliError::Unwatched { .. } => Exit::NotInForce,
        }
    }

    /// Returns a function that turns errors of the operating system into errors about `file`.
    pub(crate) fn file(file: &Path) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_path_buf();
        move |source| CliError::File { file, source }
    }

    pub(crate) fn content(file: &Path, reason: impl fmt::Display) -> Self {
        CliError::Content {
            file: file.to_path_buf(),
            reason: reason.to_string(),
        }
    }
}
