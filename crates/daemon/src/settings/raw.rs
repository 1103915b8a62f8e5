//! Settings as written in the file, with defaults and before validation.

use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, skip_serializing_none};

use super::{
    Format, Level, SettingsError,
    secret::{SecretText, read_keys},
    units::{AddressText, DurationText, SizeText},
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// All settings.
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawSettings {
    pub vm: Option<u32>,
    pub domain: Option<Box<str>>,
    pub roles: RawRoles,
    pub data: Option<PathBuf>,
    pub callers: Option<RawCallers>,
    pub targets: Option<RawTargets>,
    pub operators: RawOperators,
    pub peers: RawPeers,
    pub control: RawControl,
    pub group: RawGroup,
    pub log: RawLog,
    pub drain: RawDrain,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawRoles {
    pub entry: bool,
    pub control: bool,
}

impl Default for RawRoles {
    fn default() -> Self {
        RawRoles {
            entry: true,
            control: false,
        }
    }
}

#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawCallers {
    #[serde_as(as = "Option<AddressText>")]
    pub listen: Option<SocketAddr>,
    pub limits: RawCallerLimits,
}

#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawCallerLimits {
    pub connections: usize,
    pub per_source: usize,
    #[serde_as(as = "DurationText")]
    pub header_time: Duration,
    #[serde_as(as = "SizeText")]
    pub header_size: usize,
    #[serde_as(as = "DurationText")]
    pub body_time: Duration,
    #[serde_as(as = "SizeText")]
    pub body_size: usize,
    #[serde_as(as = "DurationText")]
    pub idle_time: Duration,
    #[serde_as(as = "SizeText")]
    pub answer_size: usize,
}

impl Default for RawCallerLimits {
    fn default() -> Self {
        RawCallerLimits {
            connections: 4096,
            per_source: 2048,
            header_time: ms(5_000),
            header_size: 16 << 10,
            body_time: ms(10_000),
            body_size: 1 << 20,
            idle_time: ms(30_000),
            answer_size: 8 << 20,
        }
    }
}

#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawTargets {
    #[serde_as(as = "Option<AddressText>")]
    pub listen: Option<SocketAddr>,
    pub limits: RawTargetLimits,
    pub keys: Option<Vec<SecretText>>,
    pub keys_file: Option<PathBuf>,
}

#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawTargetLimits {
    pub connections: usize,
    pub per_source: usize,
    #[serde_as(as = "DurationText")]
    pub header_time: Duration,
    #[serde_as(as = "SizeText")]
    pub header_size: usize,
    #[serde_as(as = "DurationText")]
    pub body_time: Duration,
    #[serde_as(as = "SizeText")]
    pub body_size: usize,
    #[serde_as(as = "DurationText")]
    pub idle_time: Duration,
}

impl Default for RawTargetLimits {
    fn default() -> Self {
        RawTargetLimits {
            connections: 1024,
            per_source: 64,
            header_time: ms(2_000),
            header_size: 8 << 10,
            body_time: ms(2_000),
            body_size: 64 << 10,
            idle_time: ms(30_000),
        }
    }
}

#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawOperators {
    #[serde_as(as = "Option<AddressText>")]
    pub listen: Option<SocketAddr>,
    pub key: Option<SecretText>,
    pub key_file: Option<PathBuf>,
    pub first: Option<RawFirst>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawFirst {
    pub needed: u32,
    pub keys: Vec<RawOperator>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawOperator {
    pub name: Box<str>,
    pub key: Box<str>,
}

#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawPeers {
    #[serde_as(as = "Option<AddressText>")]
    pub listen: Option<SocketAddr>,
    #[serde_as(as = "Option<AddressText>")]
    pub inner: Option<SocketAddr>,
    #[serde_as(as = "Option<AddressText>")]
    pub outer: Option<SocketAddr>,
    pub source_ip: Option<IpAddr>,
    pub keys: Vec<RawPeerKey>,
    pub send: Option<u32>,
}

#[skip_serializing_none]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawPeerKey {
    pub id: u32,
    pub secret: Option<SecretText>,
    pub secret_file: Option<PathBuf>,
}

#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawControl {
    pub voters: Vec<RawVoter>,
    #[serde_as(as = "DurationText")]
    pub heartbeat: Duration,
    #[serde_as(as = "DurationText")]
    pub election: Duration,
    pub tolerate: Option<usize>,
}

impl Default for RawControl {
    fn default() -> Self {
        RawControl {
            voters: Vec::new(),
            heartbeat: ms(100),
            election: ms(400),
            tolerate: None,
        }
    }
}

#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawVoter {
    pub vm: u32,
    #[serde_as(as = "AddressText")]
    pub address: SocketAddr,
}

#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawGroup {
    pub size: usize,
    #[serde_as(as = "DurationText")]
    pub heartbeat: Duration,
    #[serde_as(as = "DurationText")]
    pub election: Duration,
    #[serde_as(as = "DurationText")]
    pub vm_lease: Duration,
    #[serde_as(as = "DurationText")]
    pub vm_renew: Duration,
    #[serde_as(as = "DurationText")]
    pub target_lease: Duration,
    #[serde_as(as = "DurationText")]
    pub target_renew: Duration,
    #[serde_as(as = "DurationText")]
    pub stall: Duration,
    #[serde_as(as = "DurationText")]
    pub form_wait: Duration,
    pub tolerate: Option<usize>,
}

impl Default for RawGroup {
    fn default() -> Self {
        RawGroup {
            size: 5,
            heartbeat: ms(40),
            election: ms(150),
            vm_lease: ms(500),
            vm_renew: ms(100),
            target_lease: ms(600),
            target_renew: ms(150),
            stall: ms(100),
            form_wait: ms(1_000),
            tolerate: None,
        }
    }
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawLog {
    pub format: Format,
    pub level: Level,
}

#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RawDrain {
    #[serde_as(as = "DurationText")]
    pub notice: Duration,
    #[serde_as(as = "DurationText")]
    pub limit: Duration,
}

impl Default for RawDrain {
    fn default() -> Self {
        RawDrain {
            notice: ms(3_000),
            limit: ms(30_000),
        }
    }
}

impl RawSettings {
    /// Parses the settings in `text`.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not YAML, has an unknown field, or has a value of the wrong type.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        serde_norway::from_str(text).map_err(|error| SettingsError::yaml(&error))
    }

    /// Tells whether the settings contain keys themselves, and not only names of key files.
    pub(crate) fn has_secrets(&self) -> bool {
        self.operators.key.is_some()
            || self.targets.as_ref().is_some_and(|t| t.keys.is_some())
            || self.peers.keys.iter().any(|key| key.secret.is_some())
    }

    /// Resolves relative paths against `folder` and replaces key files by the keys in them.
    ///
    /// # Errors
    ///
    /// Fails if a key file cannot be read or is accessible to other users, and if both a key and a
    /// key file are set.
    pub(crate) fn resolve(&mut self, folder: &Path) -> Result<(), SettingsError> {
        if let Some(data) = &mut self.data {
            *data = folder.join(&*data);
        }
        if let Some(targets) = &mut self.targets
            && let Some(file) = targets.keys_file.take()
        {
            reject_both(targets.keys.is_some(), "targets.keys_file", "targets.keys")?;
            targets.keys = Some(read_keys_file(folder, &file, "targets.keys_file")?);
        }
        if let Some(file) = self.operators.key_file.take() {
            reject_both(
                self.operators.key.is_some(),
                "operators.key_file",
                "operators.key",
            )?;
            self.operators.key = Some(read_key_file(folder, &file, "operators.key_file")?);
        }
        for (i, key) in self.peers.keys.iter_mut().enumerate() {
            if let Some(file) = key.secret_file.take() {
                let field = format!("peers.keys[{i}].secret_file");
                reject_both(key.secret.is_some(), &field, "secret")?;
                key.secret = Some(read_key_file(folder, &file, &field)?);
            }
        }
        Ok(())
    }
}

fn reject_both(both: bool, field: &str, other: &str) -> Result<(), SettingsError> {
    match both {
        true => Err(SettingsError::field(
            field,
            format_args!("set either this or {other}, not both"),
        )),
        false => Ok(()),
    }
}

fn read_keys_file(
    folder: &Path,
    file: &Path,
    field: &str,
) -> Result<Vec<SecretText>, SettingsError> {
    read_keys(&folder.join(file)).map_err(|error| {
        SettingsError::field(field, format_args!("key file {}: {error}", file.display()))
    })
}

fn read_key_file(folder: &Path, file: &Path, field: &str) -> Result<SecretText, SettingsError> {
    match <[SecretText; 1]>::try_from(read_keys_file(folder, file, field)?) {
        Ok([key]) => Ok(key),
        Err(keys) => Err(SettingsError::field(
            field,
            format_args!(
                "key file {} contains {} keys, expected one",
                file.display(),
                keys.len()
            ),
        )),
    }
}
