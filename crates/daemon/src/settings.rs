//! Settings of one VM, read from a YAML file.
//!
//! Start with [`Settings::load`]. `docs/settings.md` is the reference for operators; a test
//! compares it with [`FIELDS`].

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use camphordale_types::{DomainName, Incarnation, Operators, VmId, VmInfo};
use serde::{Deserialize, Serialize};

mod check;
mod convert;
mod error;
mod fields;
pub mod raw;
mod reload;
mod secret;
mod units;

pub use check::{MAX_CONTROL_VOTERS, MAX_GROUP_VOTERS};
pub use error::{Problem, SettingsError};
pub use fields::{FIELDS, Field};
pub use raw::RawSettings;
pub use reload::{ChangedSections, changed_sections};
pub use secret::{BearerKey, Secret, SecretText};
pub use units::{parse_duration, parse_size};

/// Validated settings of one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of the VM, unique in the deployment.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Roles of the VM.
    pub roles: Roles,
    /// Folder for durable files; required on control VMs.
    pub data: Option<PathBuf>,
    /// Listener for callers; required on entry VMs.
    pub callers: Option<Callers>,
    /// Listener for targets; required on entry VMs.
    pub targets: Option<Targets>,
    /// Listener for operators, health and metrics.
    pub operators: OperatorAccess,
    /// Connections between VMs.
    pub peers: Peers,
    /// The control group.
    pub control: Control,
    /// The domain group.
    pub group: Group,
    /// Log output.
    pub log: Log,
    /// Graceful shutdown.
    pub drain: Drain,
}

/// Roles of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Roles {
    /// The VM serves callers and may vote in the domain group.
    pub entry: bool,
    /// The VM may vote in the control group.
    pub control: bool,
}

/// Listener for callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Callers {
    /// Listen address.
    pub listen: SocketAddr,
    /// Limits of the listener.
    pub limits: Limits,
    /// Maximum size of a target's response, in bytes.
    pub answer_size: usize,
}

/// Listener for targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Targets {
    /// Listen address.
    pub listen: SocketAddr,
    /// Limits of the listener.
    pub limits: Limits,
    /// Bearer keys that a target may present.
    pub keys: Vec<BearerKey>,
}

/// Limits of a listener.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of open connections from one IP address.
    pub per_source: usize,
    /// Maximum time from the first byte of a request, or from the accept for the first request of
    /// a connection, to the end of the header.
    pub header_time: Duration,
    /// Maximum size of a header, in bytes.
    pub header_size: usize,
    /// Maximum time from the end of the header to the end of the body.
    pub body_time: Duration,
    /// Maximum size of a body, in bytes.
    pub body_size: usize,
    /// Maximum time that a connection stays open between requests.
    pub idle_time: Duration,
}

/// Listener for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorAccess {
    /// Listen address.
    pub listen: SocketAddr,
    /// Bearer key that operators present.
    pub key: BearerKey,
    /// Operators who sign the first bundle of a new deployment.
    pub first: Option<Operators>,
}

/// Connections between VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// Listen address for TCP and UDP.
    pub listen: SocketAddr,
    /// Address advertised inside the failure domain.
    pub inner: SocketAddr,
    /// Address advertised to other failure domains.
    pub outer: SocketAddr,
    /// Source address of outgoing connections.
    pub source_ip: Option<IpAddr>,
    /// Accepted keys.
    pub keys: Vec<PeerKey>,
    /// Id of the key that authenticates what this VM sends.
    pub send: u32,
}

/// A key that VMs share.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerKey {
    /// Id of the key.
    pub id: u32,
    /// Secret of the key.
    pub secret: Secret,
}

/// The control group.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    /// Voters of a new control group.
    pub voters: Vec<Voter>,
    /// Interval of a leader's heartbeats.
    pub heartbeat: Duration,
    /// Minimum election timeout; the maximum is twice this value.
    pub election: Duration,
    /// Number of voters that may be lost at the same time.
    pub tolerate: usize,
}

/// A voter of the control group.
#[derive(Clone, Debug, PartialEq)]
pub struct Voter {
    /// Number of the VM.
    pub vm: VmId,
    /// Address at which other VMs reach it.
    pub address: SocketAddr,
}

/// The domain group.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Maximum number of voters.
    pub size: usize,
    /// Interval of a leader's heartbeats.
    pub heartbeat: Duration,
    /// Minimum election timeout; the maximum is twice this value.
    pub election: Duration,
    /// Duration of an entry VM's lease.
    pub vm_lease: Duration,
    /// Interval at which an entry VM renews its lease.
    pub vm_renew: Duration,
    /// Duration of a target's lease.
    pub target_lease: Duration,
    /// Interval at which a target renews its lease.
    pub target_renew: Duration,
    /// Maximum time between a sender's last lease check and its write of the request.
    pub stall: Duration,
    /// Time for which the control leader waits for more VMs before it forms a group.
    pub form_wait: Duration,
    /// Number of voters that may be lost at the same time.
    pub tolerate: usize,
}

/// Log output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Format of the lines.
    pub format: Format,
    /// Minimum level of the lines that are written.
    pub level: Level,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Level of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// The process cannot continue.
    Critical,
    /// An operation failed.
    Error,
    /// Something needs attention.
    Warning,
    /// State changes.
    #[default]
    Info,
    /// Details for developers.
    Debug,
    /// All details.
    Trace,
}

/// Graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time for which `/readyz` returns 503 before the listeners close.
    pub notice: Duration,
    /// Maximum time that a shutdown waits for requests in flight.
    pub limit: Duration,
}

impl Settings {
    /// Reads the settings in `file`. Relative paths in it are resolved against its folder.
    ///
    /// # Errors
    ///
    /// Fails if the file or a key file cannot be read, if a file with keys is accessible to other
    /// users, and if a setting is not valid; the error names its line and field.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let read = |source| SettingsError::Read {
            file: file.to_path_buf(),
            source,
        };
        let text = fs::read_to_string(file).map_err(read)?;
        let folder = file.parent().unwrap_or(Path::new(""));
        let settings = parse(&text, folder, || secret::check_private(file));
        settings.map_err(|error| error.with_location(Some(file), &text))
    }

    /// Parses the settings in `text`. Relative paths in it are resolved against `folder`.
    ///
    /// # Errors
    ///
    /// Fails if a setting is not valid; the error names its line and field.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::path::Path;
    ///
    /// use camphordale_daemon::settings::Settings;
    ///
    /// let error = Settings::from_yaml("vm: 1\ncolour: red\n", Path::new(".")).unwrap_err();
    /// let problem = error.problem().unwrap();
    /// assert_eq!((problem.line, &*problem.field), (Some(2), "colour"));
    /// ```
    pub fn from_yaml(text: &str, folder: &Path) -> Result<Self, SettingsError> {
        parse(text, folder, || Ok(())).map_err(|error| error.with_location(None, text))
    }

    /// Returns the information that this incarnation of the VM registers with the others.
    pub fn vm_info(&self, incarnation: Incarnation) -> VmInfo {
        VmInfo {
            vm: self.vm,
            incarnation,
            domain: self.domain.clone(),
            inner: self.peers.inner,
            outer: self.peers.outer,
            entry: self.roles.entry,
        }
    }

    /// Returns the defaults as YAML, without the fields that have none.
    pub fn defaults_yaml() -> String {
        let raw = RawSettings {
            callers: Some(raw::RawCallers::default()),
            targets: Some(raw::RawTargets::default()),
            ..RawSettings::default()
        };
        // Serialization of plain structs into a string does not fail.
        serde_norway::to_string(&raw).unwrap_or_default()
    }
}

/// Tells whether a group of `voters` keeps its quorum after the loss of `lost` of them.
///
/// # Examples
///
/// ```
/// use camphordale_daemon::settings::keeps_quorum;
///
/// assert!(keeps_quorum(3, 1));
/// assert!(!keeps_quorum(4, 2));
/// ```
pub fn keeps_quorum(voters: usize, lost: usize) -> bool {
    lost <= voters.saturating_sub(1) / 2
}

/// Parses, resolves and validates settings. `check_file` is called if the settings contain keys;
/// it checks that only their owner can access the file.
fn parse<F>(text: &str, folder: &Path, check_file: F) -> Result<Settings, SettingsError>
where
    F: FnOnce() -> Result<(), std::io::Error>,
{
    let mut raw = RawSettings::parse(text)?;
    if raw.has_secrets() {
        check_file()
            .map_err(|e| SettingsError::field("", format_args!("the file contains keys: {e}")))?;
    }
    raw.resolve(folder)?;
    raw.try_into()
}
