//! Conversion of raw settings into validated ones.

use camphordale_bundle::public_from_text;
use camphordale_types::{Operator, Operators};

use super::{
    Callers, Control, Drain, Group, Limits, Log, OperatorAccess, PeerKey, Peers, Roles, Settings,
    SettingsError, Targets, Voter,
    raw::{
        RawCallerLimits, RawCallers, RawControl, RawFirst, RawGroup, RawOperators, RawPeers,
        RawSettings, RawTargetLimits, RawTargets,
    },
    secret::{BearerKey, Secret, SecretText},
};

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    /// Converts settings whose key files have been read, and validates them.
    fn try_from(raw: RawSettings) -> Result<Self, SettingsError> {
        let settings = Settings {
            vm: required(raw.vm, "vm")?,
            domain: required(raw.domain, "domain")?,
            roles: Roles {
                entry: raw.roles.entry,
                control: raw.roles.control,
            },
            data: raw.data,
            callers: raw.callers.map(Callers::try_from).transpose()?,
            targets: raw.targets.map(Targets::try_from).transpose()?,
            operators: raw.operators.try_into()?,
            peers: raw.peers.try_into()?,
            control: raw.control.into(),
            group: raw.group.into(),
            log: Log {
                format: raw.log.format,
                level: raw.log.level,
            },
            drain: Drain {
                notice: raw.drain.notice,
                limit: raw.drain.limit,
            },
        };
        settings.check()?;
        Ok(settings)
    }
}

fn required<T>(value: Option<T>, field: &str) -> Result<T, SettingsError> {
    value.ok_or_else(|| SettingsError::field(field, "the field is required"))
}

fn bearer_key(key: &SecretText, field: impl Into<Box<str>>) -> Result<BearerKey, SettingsError> {
    key.to_bearer_key().ok_or_else(|| {
        SettingsError::field(field, "a bearer key is at least 32 hexadecimal digits")
    })
}

impl TryFrom<RawCallers> for Callers {
    type Error = SettingsError;

    fn try_from(raw: RawCallers) -> Result<Self, SettingsError> {
        Ok(Callers {
            listen: required(raw.listen, "callers.listen")?,
            answer_size: raw.limits.answer_size,
            limits: raw.limits.into(),
        })
    }
}

impl TryFrom<RawTargets> for Targets {
    type Error = SettingsError;

    fn try_from(raw: RawTargets) -> Result<Self, SettingsError> {
        let keys = required(raw.keys, "targets.keys")?;
        Ok(Targets {
            listen: required(raw.listen, "targets.listen")?,
            limits: raw.limits.into(),
            keys: keys
                .iter()
                .enumerate()
                .map(|(i, key)| bearer_key(key, format!("targets.keys[{i}]")))
                .collect::<Result<_, _>>()?,
        })
    }
}

impl From<RawCallerLimits> for Limits {
    fn from(raw: RawCallerLimits) -> Self {
        Limits {
            connections: raw.connections,
            per_source: raw.per_source,
            header_time: raw.header_time,
            header_size: raw.header_size,
            body_time: raw.body_time,
            body_size: raw.body_size,
            idle_time: raw.idle_time,
        }
    }
}

impl From<RawTargetLimits> for Limits {
    fn from(raw: RawTargetLimits) -> Self {
        Limits {
            connections: raw.connections,
            per_source: raw.per_source,
            header_time: raw.header_time,
            header_size: raw.header_size,
            body_time: raw.body_time,
            body_size: raw.body_size,
            idle_time: raw.idle_time,
        }
    }
}

impl TryFrom<RawOperators> for OperatorAccess {
    type Error = SettingsError;

    fn try_from(raw: RawOperators) -> Result<Self, SettingsError> {
        Ok(OperatorAccess {
            listen: required(raw.listen, "operators.listen")?,
            key: bearer_key(&required(raw.key, "operators.key")?, "operators.key")?,
            first: raw.first.map(operators).transpose()?,
        })
    }
}

fn operators(raw: RawFirst) -> Result<Operators, SettingsError> {
    let keys = raw.keys.into_iter().enumerate().map(|(i, operator)| {
        let key = public_from_text(&operator.key).map_err(|_| {
            SettingsError::field(
                format!("operators.first.keys[{i}].key"),
                "not a usable ed25519 public key of 64 hexadecimal digits",
            )
        })?;
        Ok(Operator {
            name: operator.name,
            key,
        })
    });
    Ok(Operators {
        needed: raw.needed,
        keys: keys.collect::<Result<_, SettingsError>>()?,
    })
}

impl TryFrom<RawPeers> for Peers {
    type Error = SettingsError;

    fn try_from(raw: RawPeers) -> Result<Self, SettingsError> {
        let listen = required(raw.listen, "peers.listen")?;
        let inner = raw.inner.unwrap_or(listen);
        let keys = raw.keys.into_iter().enumerate().map(|(i, key)| {
            let field = format!("peers.keys[{i}].secret");
            let secret = required(key.secret, &field)?.decode().ok_or_else(|| {
                SettingsError::field(field, "a shared key is 64 hexadecimal digits")
            })?;
            Ok(PeerKey {
                id: key.id,
                secret: Secret(secret),
            })
        });
        let keys: Vec<PeerKey> = keys.collect::<Result<_, SettingsError>>()?;
        let send = match (raw.send, keys.as_slice()) {
            (Some(send), _) => send,
            (None, [only]) => only.id,
            (None, _) => return Err(SettingsError::field("peers.send", "the field is required")),
        };
        Ok(Peers {
            listen,
            inner,
            outer: raw.outer.unwrap_or(inner),
            source_ip: raw.source_ip,
            keys,
            send,
        })
    }
}

impl From<RawControl> for Control {
    fn from(raw: RawControl) -> Self {
        Control {
            tolerate: raw.tolerate.unwrap_or(max_lost_voters(raw.voters.len())),
            voters: raw
                .voters
                .into_iter()
                .map(|voter| Voter {
                    vm: voter.vm,
                    address: voter.address,
                })
                .collect(),
            heartbeat: raw.heartbeat,
            election: raw.election,
        }
    }
}

impl From<RawGroup> for Group {
    fn from(raw: RawGroup) -> Self {
        Group {
            size: raw.size,
            heartbeat: raw.heartbeat,
            election: raw.election,
            vm_lease: raw.vm_lease,
            vm_renew: raw.vm_renew,
            target_lease: raw.target_lease,
            target_renew: raw.target_renew,
            stall: raw.stall,
            form_wait: raw.form_wait,
            tolerate: raw.tolerate.unwrap_or(max_lost_voters(raw.size)),
        }
    }
}

/// Returns the number of voters that a group of `voters` can lose without losing its quorum.
fn max_lost_voters(voters: usize) -> usize {
    voters.saturating_sub(1) / 2
}
