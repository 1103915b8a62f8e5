//! Settings of one VM, read from a YAML file.
//!
//! Start with [`Settings::load`]. `docs/settings.md` is the reference for operators; [`FIELDS`] is
//! the list it is compared with.

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
pub use reload::{Changes, reloadable_changes};
pub use secret::{BearerKey, Secret, SecretText};
pub use units::{parse_duration, parse_size};

/// Settings of one VM, with all checks made.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of the VM, unique in the deployment.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainName,
    /// What it does.
    pub roles: Roles,
    /// Folder for durable files; control VMs have one.
    pub data: Option<PathBuf>,
    /// Listener for callers; entry VMs have one.
    pub callers: Option<Callers>,
    /// Listener for targets; entry VMs have one.
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

/// What a VM does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Roles {
    /// It serves callers and may vote in the domain group.
    pub entry: bool,
    /// It may vote in the control group.
    pub control: bool,
}

/// Listener for callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Callers {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its limits.
    pub limits: Limits,
    /// Largest answer of a target, in bytes, that is passed on.
    pub answer_size: usize,
}

/// Listener for targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Targets {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its limits.
    pub limits: Limits,
    /// Keys that a target may present.
    pub keys: Vec<BearerKey>,
}

/// Limits of a listener.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Open connections.
    pub connections: usize,
    /// Open connections from one IP address.
    pub per_source: usize,
    /// Time from the first byte of a request, or the accept, to the end of its header.
    pub header_time: Duration,
    /// Bytes of a header.
    pub header_size: usize,
    /// Time from the end of the header to the end of the body.
    pub body_time: Duration,
    /// Bytes of a body.
    pub body_size: usize,
    /// Time that a connection may stay open between requests.
    pub idle_time: Duration,
}

/// Listener for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorAccess {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Key that operators present.
    pub key: BearerKey,
    /// Operators whose signatures the first bundle of a new deployment needs.
    pub first: Option<Operators>,
}

/// Connections between VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// Where the VM listens, TCP and UDP.
    pub listen: SocketAddr,
    /// Address advertised inside the failure domain.
    pub inner: SocketAddr,
    /// Address advertised to other failure domains.
    pub outer: SocketAddr,
    /// Address from which connections are opened.
    pub source_ip: Option<IpAddr>,
    /// Accepted keys.
    pub keys: Vec<PeerKey>,
    /// Id of the key that the VM sends with.
    pub send: u32,
}

/// A key that VMs share.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerKey {
    /// Its id.
    pub id: u32,
    /// The key.
    pub secret: Secret,
}

/// The control group.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    /// Its first voters.
    pub voters: Vec<Voter>,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Least election timeout; the greatest is twice this value.
    pub election: Duration,
    /// Voters that may be lost at a time.
    pub tolerate: usize,
}

/// A voter of the control group.
#[derive(Clone, Debug, PartialEq)]
pub struct Voter {
    /// The VM.
    pub vm: VmId,
    /// Where it listens for VMs.
    pub address: SocketAddr,
}

/// The domain group.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Greatest number of voters.
    pub size: usize,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Least election timeout; the greatest is twice this value.
    pub election: Duration,
    /// Lease of an entry VM.
    pub vm_lease: Duration,
    /// Time between renewals of an entry VM's lease.
    pub vm_renew: Duration,
    /// Lease of a target.
    pub target_lease: Duration,
    /// Time between renewals of a target's lease.
    pub target_renew: Duration,
    /// Time that a sender may take between its last lease check and the write of a request.
    pub stall: Duration,
    /// Time that the control leader waits for more VMs before it forms a group.
    pub form_wait: Duration,
    /// Voters that may be lost at a time.
    pub tolerate: usize,
}

/// Log output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Form of the lines.
    pub format: Format,
    /// Least severity that is written.
    pub level: Level,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// The process cannot go on.
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
    /// Time during which `/readyz` says 503 before the listeners close.
    pub notice: Duration,
    /// Longest time that a shutdown waits for requests in flight.
    pub limit: Duration,
}

impl Settings {
    /// Reads the settings in `file`; relative paths in it are relative to its folder.
    ///
    /// # Errors
    ///
    /// Fails when the file or a key file cannot be read, when others than the owner can read a
    /// file with keys, and on any mistake in the settings, with its line and field.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let read = |source| SettingsError::Read {
            file: file.to_path_buf(),
            source,
        };
        let text = fs::read_to_string(file).map_err(read)?;
        let folder = file.parent().unwrap_or(Path::new(""));
        let settings = parse(&text, folder, || secret::check_private(file));
        settings.map_err(|error| error.located(Some(file), &text))
    }

    /// Reads the settings in `text`; relative paths in it are relative to `folder`.
    ///
    /// # Errors
    ///
    /// Fails on any mistake in the settings, with its line and field.
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
        parse(text, folder, || Ok(())).map_err(|error| error.located(None, text))
    }

    /// Returns what the VM tells the others about itself in the run `incarnation`.
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

    /// Returns the defaults in YAML. Fields without a default are left out.
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

/// Tells whether a group of `voters` survives the loss of `lost` of them.
///
/// # Examples
///
/// ```
/// use camphordale_daemon::settings::survives;
///
/// assert!(survives(3, 1));
/// assert!(!survives(4, 2));
/// ```
pub fn survives(voters: usize, lost: usize) -> bool {
    lost <= voters.saturating_sub(1) / 2
}

/// Parses, resolves and checks; `private` checks the file if keys stand in the settings themselves.
fn parse<F>(text: &str, folder: &Path, private: F) -> Result<Settings, SettingsError>
where
    F: FnOnce() -> Result<(), std::io::Error>,
{
    let mut raw = RawSettings::parse(text)?;
    if raw.has_secrets() {
        private()
            .map_err(|e| SettingsError::field("", format_args!("the file holds keys: {e}")))?;
    }
    raw.resolve(folder)?;
    raw.try_into()
}
