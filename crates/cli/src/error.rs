//! Errors and exit codes.

use std::{
    fmt, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command was refused and changed nothing.
    Refused = 1,
    /// The command line or a file that it names is not valid.
    Usage = 2,
    /// No server could be reached, or the outcome is unknown.
    Unknown = 3,
    /// The bundle was accepted, but it is not known to be in force on all VMs.
    NotInForce = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Error of a command.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The command line is not valid.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read or written.
    #[error("{}: {source}", file.display())]
    File {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The content of a file is not valid.
    #[error("{}: {reason}", file.display())]
    Content {
        /// Path of the file.
        file: PathBuf,
        /// Description of the problem.
        reason: String,
    },
    /// A server refused the request.
    #[error("{server}: {step}: {reason}")]
    Refused {
        /// Address of the server.
        server: String,
        /// The step at which the server refused the request.
        step: String,
        /// Reason stated by the server.
        reason: String,
    },
    /// The submitted bundle conflicts with the latest accepted one.
    #[error(
        "bundle {version} ({digest}) was not accepted: bundle {latest_version} ({latest_digest}) \
         stands; base the bundle on it and sign again"
    )]
    Conflict {
        /// Submitted version.
        version: u64,
        /// Digest of the submitted bundle.
        digest: Box<str>,
        /// Version of the latest bundle.
        latest_version: u64,
        /// Digest of the latest bundle.
        latest_digest: Box<str>,
    },
    /// Data of a server is not valid or inconsistent.
    #[error("{step}: {reason}")]
    InvalidData {
        /// The step at which the problem was found.
        step: &'static str,
        /// Description of the problem.
        reason: String,
    },
    /// No server accepted the request.
    #[error("no server could be reached:{0}")]
    Unreachable(Failures),
    /// The request may have been carried out.
    #[error("{server}: the outcome is unknown: {reason}; {advice}")]
    Unknown {
        /// Address of the server.
        server: String,
        /// Description of the failure.
        reason: String,
        /// What the operator can do.
        advice: &'static str,
    },
    /// The bundle was accepted and is not yet in force on all VMs.
    #[error("bundle {version} was accepted and is not yet in force on {missing}")]
    NotInForce {
        /// Version of the bundle.
        version: u64,
        /// The VMs on which it is not in force.
        missing: String,
    },
    /// The bundle was accepted, but the versions in force cannot be read.
    #[error("bundle {version} was accepted; the versions in force cannot be read: {reason}")]
    VersionsUnknown {
        /// Version of the bundle.
        version: u64,
        /// Why the versions cannot be read.
        reason: String,
    },
    /// The output cannot be written.
    #[error("output: {0}")]
    Output(io::Error),
}

/// Addresses of servers and the reason why each failed.
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
            | CliError::InvalidData { .. }
            | CliError::Output(_) => Exit::Refused,
            CliError::Unreachable(_) | CliError::Unknown { .. } => Exit::Unknown,
            CliError::NotInForce { .. } | CliError::VersionsUnknown { .. } => Exit::NotInForce,
        }
    }

    /// Returns a function that converts errors of the operating system to errors about `file`.
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
