//! Validated settings of a process.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    path::{
        Path,
        PathBuf, //
    },
    time::Duration,
};

use camphordale_entry::AdmissionRule;
use camphordale_fleet::{
    Domain,
    WarmUpBounds, //
};
use camphordale_wire::{
    ClusterKey,
    KeyError,
    Keyring, //
};
use serde::Deserialize;
use serde_with::{
    DurationMilliSeconds,
    serde_as, //
};

/// Identifier of the only cluster key on the wire.
const CLUSTER_KEY_ID: u8 = 1;

/// Time after which a target gives up on the answer to an announcement.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Announcement intervals that a lease covers.
const LEASED_INTERVALS: u32 = 2;

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM in logs.
    pub node: Box<str>,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Control addresses of the control VMs that were known when the settings were written.
    pub seeds: Vec<SocketAddr>,
    /// Port for connections between VMs; the same on all VMs.
    pub peer_port: u16,
    /// Port for metrics.
    pub metrics_port: u16,
    /// Keys by which processes of the system authenticate each other.
    pub keyring: Keyring,
    /// Rate of the VM's link in bytes per second in each direction, if it is known.
    pub link_rate: Option<f64>,
    /// Memory of the process in bytes, if it is limited.
    pub memory: Option<usize>,
    /// Bounds on the requests to a cold target.
    pub warm_up: WarmUpBounds,
    /// Settings that operators may change.
    pub tuning: Tuning,
    /// Role of the process, with its settings.
    pub role: Role,
}

/// Role of a process.
#[derive(Clone, Debug)]
pub enum Role {
    /// Serves callers.
    Entry(EntrySettings),
    /// Member of the control group.
    Control(ControlSettings),
}

/// Settings of an entry VM.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for readiness probes.
    pub readiness_address: SocketAddr,
    /// Retries allowed per request, over all entry VMs.
    pub retry_ratio: f64,
    /// Retries allowed per window in addition to the ratio, over all entry VMs.
    pub retry_extra: f64,
    /// Time after which a draining target must not receive further requests.
    pub drain_timeout: Duration,
    /// Time from the termination signal until the process is killed.
    pub grace_period: Duration,
    /// Time after the acknowledgement of an evacuation within which the last request may reach a
    /// target of the domain.
    pub evacuation_timeout: Duration,
}

/// Settings of a control VM.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Address for operators and targets.
    pub control_address: SocketAddr,
    /// Directory of the durable state.
    pub data_dir: PathBuf,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Number of control VMs that may be lost at a time.
    pub tolerated_failures: usize,
    /// Time in which a control VM that was away catches up with the others.
    pub catch_up: Duration,
    /// Longest key lease that targets accept.
    pub max_lease: Duration,
    /// Time between two announcements of a target.
    pub announcement_interval: Duration,
    /// Failure domains of the deployment that the settings name.
    pub domains: Vec<Domain>,
}

impl ControlSettings {
    /// Lease of a key range that targets get in answers to their announcements. It outlasts one
    /// announcement that is lost: the target waits for its answer for a second before it
    /// calls another control VM. Every further interval would be added to the time for which the
    /// keys of a lost target are unavailable.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_reactor::ControlSettings;
    ///
    /// let settings = ControlSettings {
    ///     control_address: "10.0.0.1:8000".parse()?,
    ///     data_dir: "/data".into(),
    ///     bootstrap: false,
    ///     tolerated_failures: 1,
    ///     catch_up: Duration::from_secs(4),
    ///     max_lease: Duration::from_secs(10),
    ///     announcement_interval: Duration::from_millis(900),
    ///     domains: Vec::new(),
    /// };
    /// assert_eq!(settings.announced_lease(), Duration::from_millis(2800));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn announced_lease(&self) -> Duration {
        (self.announcement_interval * LEASED_INTERVALS + ANSWER_TIMEOUT).min(self.max_lease)
    }

    /// Checks that targets can renew their leases in time.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Field`] if the interval between announcements is zero, or too long for the
    /// longest lease.
    pub fn validate(self) -> Result<ControlSettings, SettingsError> {
        let interval = self.announcement_interval;
        if interval.is_zero() || self.max_lease < interval * LEASED_INTERVALS {
            let reason = "the longest lease must be at least two announcement intervals";
            return Err(SettingsError::field("announcement_interval", reason));
        }
        Ok(self)
    }
}

/// Settings that operators may change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Key lease: how long a target may serve a key range after a grant.
    pub key_lease: Duration,
    /// Minimum time without a leader before an election.
    pub election_timeout: Duration,
    /// Leader lease: how long the control leader may rely on the reply of another member.
    pub leader_lease: Duration,
    /// Interval between heartbeats of the control leader.
    pub heartbeat_interval: Duration,
    /// Time after which a silent target is removed from the target registry.
    pub target_timeout: Duration,
    /// Time after which a silent voter is replaced.
    pub member_timeout: Duration,
    /// Longest time for which an accepted change waits for entry VMs.
    pub apply_timeout: Duration,
    /// Maximum number of log lines of one kind per second.
    pub log_lines: u32,
    /// What decides on requests to a loaded target if the routing is contended.
    pub admission: AdmissionRule,
}

/// The YAML settings file for [`Tuning`]. A missing field has its default.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TuningFile {
    /// Milliseconds of a key lease. The keys of a lost target are unavailable for about as long.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub hold_ms: Duration,
    /// Milliseconds of the minimum election timeout: several heartbeats.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub election_ms: Duration,
    /// Milliseconds of the leader lease: how long the leader may rely on a reply. A voter that
    /// restarts waits for as long before it votes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_ms: Duration,
    /// Milliseconds between heartbeats.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub heartbeat_ms: Duration,
    /// Milliseconds of silence after which a target is removed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target_silence_ms: Duration,
    /// Milliseconds of silence after which a voter is replaced.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub member_silence_ms: Duration,
    /// Maximum milliseconds for which a change waits for entry VMs.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub apply_wait_ms: Duration,
    /// Maximum number of log lines of one kind per second.
    pub log_lines: u32,
    /// What decides on requests to a loaded target if the routing is contended.
    pub admission: AdmissionRule,
}

impl Default for TuningFile {
    fn default() -> Self {
        TuningFile {
            hold_ms: Duration::from_millis(3000),
            election_ms: Duration::from_millis(700),
            lease_ms: Duration::from_millis(500),
            heartbeat_ms: Duration::from_millis(150),
            target_silence_ms: Duration::from_secs(20),
            member_silence_ms: Duration::from_millis(3500),
            apply_wait_ms: Duration::from_millis(500),
            log_lines: 100,
            admission: AdmissionRule::default(),
        }
    }
}

/// Invalid settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: Box<str>,
        /// Cause.
        source: std::io::Error,
    },
    /// A file is malformed.
    #[error("cannot parse {path}: {reason}")]
    Parse {
        /// The file.
        path: Box<str>,
        /// Cause, with the position in the file.
        reason: Box<str>,
    },
    /// A field is missing or invalid.
    #[error("invalid field {field}: {reason}")]
    Field {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        reason: Box<str>,
    },
    /// The cluster key is invalid.
    #[error("invalid cluster key: {0}")]
    Key(#[from] KeyError),
}

impl SettingsError {
    /// Creates the error for an invalid field.
    pub fn field<Reason>(field: &'static str, reason: Reason) -> SettingsError
    where
        Reason: ToString,
    {
        SettingsError::Field {
            field,
            reason: reason.to_string().into(),
        }
    }
}

impl TryFrom<TuningFile> for Tuning {
    type Error = SettingsError;

    fn try_from(raw: TuningFile) -> Result<Tuning, SettingsError> {
        if raw.heartbeat_ms.is_zero() || raw.election_ms < raw.heartbeat_ms * 3 {
            let reason = "must be at least three times heartbeat_ms, which must not be 0";
            return Err(SettingsError::field("election_ms", reason));
        }
        if raw.lease_ms > raw.election_ms || raw.lease_ms < raw.heartbeat_ms * 3 / 2 {
            let reason = "must be at most election_ms and at least 1.5 times heartbeat_ms";
            return Err(SettingsError::field("lease_ms", reason));
        }
        if raw.hold_ms < Duration::from_millis(1000) {
            return Err(SettingsError::field("hold_ms", "must be at least 1000"));
        }
        if raw.log_lines == 0 {
            return Err(SettingsError::field("log_lines", "must not be 0"));
        }
        Ok(Tuning {
            key_lease: raw.hold_ms,
            election_timeout: raw.election_ms,
            leader_lease: raw.lease_ms,
            heartbeat_interval: raw.heartbeat_ms,
            target_timeout: raw.target_silence_ms,
            member_timeout: raw.member_silence_ms,
            apply_timeout: raw.apply_wait_ms,
            log_lines: raw.log_lines,
            admission: raw.admission,
        })
    }
}

impl Tuning {
    /// Reads and validates a YAML settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the file or the field.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_reactor::{TuningFile, Tuning};
    ///
    /// assert!(Tuning::try_from(TuningFile::default()).is_ok());
    /// assert!(Tuning::read("/nonexistent".as_ref()).is_err());
    /// ```
    pub fn read(path: &Path) -> Result<Tuning, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.display().to_string().into(),
            source,
        })?;
        let raw: TuningFile =
            serde_norway::from_str(&text).map_err(|error| SettingsError::Parse {
                path: path.display().to_string().into(),
                reason: error.to_string().into(),
            })?;
        Tuning::try_from(raw)
    }
}

impl Settings {
    /// Creates a keyring from a secret of 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Key`] if the secret is not a valid key.
    pub fn keyring(secret: &str) -> Result<Keyring, SettingsError> {
        let key = ClusterKey::from_hex(CLUSTER_KEY_ID, secret)?;
        Ok(Keyring::new(vec![key], CLUSTER_KEY_ID)?)
    }

    /// Peer address of the control VM whose control address is `control`.
    pub fn peer_address(&self, control: SocketAddr) -> SocketAddr {
        SocketAddr::new(control.ip(), self.peer_port)
    }

    /// Peer addresses of the seeds.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        self.seeds
            .iter()
            .map(|seed| self.peer_address(*seed))
            .collect()
    }
}
