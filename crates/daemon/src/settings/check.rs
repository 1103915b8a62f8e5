//! Validation of single settings and of settings that depend on each other.

use std::{
    collections::BTreeSet,
    fmt,
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
    time::Duration,
};

use super::{
    Control, Drain, Group, Limits, OperatorAccess, Peers, Roles, Settings, SettingsError,
    keeps_quorum,
    units::{format_duration, format_size},
};

/// Maximum number of control voters.
pub const MAX_CONTROL_VOTERS: usize = 7;

/// Maximum number of voters of a domain group.
pub const MAX_GROUP_VOTERS: usize = 5;

/// Number of successive renewals that may be lost before a lease expires.
const LOST_RENEWALS: u32 = 2;

/// Number of successive heartbeats that may be missed before an election starts.
const MISSED_HEARTBEATS: u32 = 3;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

type CheckResult = Result<(), SettingsError>;

impl Settings {
    /// Validates all settings.
    ///
    /// # Errors
    ///
    /// Fails with the first invalid setting found; the error names its field but no line.
    pub fn check(&self) -> CheckResult {
        check_range("vm", self.vm, 1..=u32::MAX)?;
        check_name("domain", &self.domain)?;
        self.check_roles()?;
        if let Some(callers) = &self.callers {
            check_limits("callers.limits", &callers.limits)?;
            check_size(
                "callers.limits.answer_size",
                callers.answer_size,
                1 << 10..=1 << 30,
            )?;
        }
        if let Some(targets) = &self.targets {
            check_limits("targets.limits", &targets.limits)?;
            require(
                !targets.keys.is_empty(),
                "targets.keys",
                "at least one key is required",
            )?;
        }
        check_operators(&self.operators)?;
        check_peers(&self.peers)?;
        check_control(&self.control)?;
        check_group(&self.group)?;
        check_drain(&self.drain)?;
        self.check_ports()
    }

    fn check_roles(&self) -> CheckResult {
        let Roles { entry, control } = self.roles;
        require(entry || control, "roles", "the VM has no role")?;
        require(
            !entry || self.callers.is_some(),
            "callers",
            "entry VMs need this section",
        )?;
        require(
            !entry || self.targets.is_some(),
            "targets",
            "entry VMs need this section",
        )?;
        require(
            !control || self.data.is_some(),
            "data",
            "control VMs need a folder",
        )?;
        require(
            !control || self.operators.first.is_some(),
            "operators.first",
            "control VMs need the first operators",
        )?;
        let listed = self.control.voters.iter().any(|voter| voter.vm == self.vm);
        require(
            control || !listed,
            "roles.control",
            format_args!("VM {} is listed in control.voters", self.vm),
        )
    }

    /// Checks that no two listeners use the same port. With port 0, the system chooses one.
    fn check_ports(&self) -> CheckResult {
        let listeners = [
            ("callers.listen", self.callers.as_ref().map(|c| c.listen)),
            ("targets.listen", self.targets.as_ref().map(|t| t.listen)),
            ("operators.listen", Some(self.operators.listen)),
            ("peers.listen", Some(self.peers.listen)),
        ];
        for (i, (field, address)) in listeners.iter().enumerate() {
            for (other, taken) in &listeners[..i] {
                if let (Some(address), Some(taken)) = (address, taken)
                    && conflict(*address, *taken)
                {
                    let message = format_args!("{address} and {other} use the same port");
                    return Err(SettingsError::field(*field, message));
                }
            }
        }
        Ok(())
    }
}

fn conflict(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}

fn check_limits(section: &str, limits: &Limits) -> CheckResult {
    let field = |name: &str| format!("{section}.{name}");
    check_range(field("connections"), limits.connections, 1..=100_000)?;
    check_range(field("per_source"), limits.per_source, 1..=100_000)?;
    check_size(field("header_size"), limits.header_size, 1 << 10..=1 << 20)?;
    check_size(field("body_size"), limits.body_size, 1 << 10..=1 << 30)?;
    check_duration(
        field("header_time"),
        limits.header_time,
        10 * MS..=600 * SECOND,
    )?;
    check_duration(field("body_time"), limits.body_time, 10 * MS..=600 * SECOND)?;
    check_duration(field("idle_time"), limits.idle_time, 10 * MS..=600 * SECOND)
}

fn check_operators(operators: &OperatorAccess) -> CheckResult {
    let Some(first) = &operators.first else {
        return Ok(());
    };
    let mut names = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for (i, operator) in first.keys.iter().enumerate() {
        let field = format!("operators.first.keys[{i}]");
        check_name(&format!("{field}.name"), &operator.name)?;
        require(
            names.insert(&operator.name),
            format!("{field}.name"),
            format_args!("operator {} is listed twice", operator.name),
        )?;
        require(
            keys.insert(operator.key),
            format!("{field}.key"),
            "another operator has the same key",
        )?;
    }
    check_range(
        "operators.first.needed",
        first.needed as usize,
        1..=first.keys.len(),
    )
}

fn check_peers(peers: &Peers) -> CheckResult {
    require(
        peers.listen.port() != 0,
        "peers.listen",
        "the port must not be 0",
    )?;
    check_reachable("peers.inner", peers.inner)?;
    check_reachable("peers.outer", peers.outer)?;
    require(
        !peers.source_ip.is_some_and(|ip| ip.is_unspecified()),
        "peers.source_ip",
        "the address must be one of the VM's own",
    )?;
    let mut ids = BTreeSet::new();
    for (i, key) in peers.keys.iter().enumerate() {
        require(
            ids.insert(key.id),
            format!("peers.keys[{i}].id"),
            format_args!("key {} is listed twice", key.id),
        )?;
    }
    require(
        ids.contains(&peers.send),
        "peers.send",
        format_args!("key {} is not in peers.keys", peers.send),
    )
}

fn check_control(control: &Control) -> CheckResult {
    check_range(
        "control.voters",
        control.voters.len(),
        1..=MAX_CONTROL_VOTERS,
    )?;
    let mut vms = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for (i, voter) in control.voters.iter().enumerate() {
        let field = |name: &str| format!("control.voters[{i}].{name}");
        require(
            vms.insert(voter.vm),
            field("vm"),
            format_args!("VM {} is listed twice", voter.vm),
        )?;
        check_reachable(&field("address"), voter.address)?;
        require(
            addresses.insert(voter.address),
            field("address"),
            format_args!("{} is listed twice", voter.address),
        )?;
    }
    check_tolerate("control.tolerate", control.tolerate, control.voters.len())?;
    check_raft("control", control.heartbeat, control.election)
}

fn check_group(group: &Group) -> CheckResult {
    check_range("group.size", group.size, 1..=MAX_GROUP_VOTERS)?;
    check_tolerate("group.tolerate", group.tolerate, group.size)?;
    check_raft("group", group.heartbeat, group.election)?;
    check_lease("vm_lease", group.vm_lease, "vm_renew", group.vm_renew)?;
    check_lease(
        "target_lease",
        group.target_lease,
        "target_renew",
        group.target_renew,
    )?;
    check_duration("group.stall", group.stall, 10 * MS..=60 * SECOND)?;
    check_duration(
        "group.form_wait",
        group.form_wait,
        Duration::ZERO..=600 * SECOND,
    )
}

fn check_tolerate(field: &str, tolerate: usize, voters: usize) -> CheckResult {
    let needed = tolerate.saturating_mul(2).saturating_add(1);
    require(
        keeps_quorum(voters, tolerate),
        field,
        format_args!("to tolerate the loss of {tolerate} takes {needed} voters, found {voters}"),
    )
}

fn check_raft(section: &str, heartbeat: Duration, election: Duration) -> CheckResult {
    check_duration(
        format!("{section}.heartbeat"),
        heartbeat,
        5 * MS..=10 * SECOND,
    )?;
    require(
        election > MISSED_HEARTBEATS * heartbeat,
        format!("{section}.election"),
        format_args!(
            "{} is not above {MISSED_HEARTBEATS} heartbeats of {}",
            format_duration(election),
            format_duration(heartbeat),
        ),
    )?;
    check_duration(
        format!("{section}.election"),
        election,
        20 * MS..=60 * SECOND,
    )
}

fn check_lease(
    lease_name: &str,
    lease: Duration,
    renew_name: &str,
    renew: Duration,
) -> CheckResult {
    check_duration(format!("group.{renew_name}"), renew, 5 * MS..=10 * SECOND)?;
    require(
        lease > LOST_RENEWALS * renew,
        format!("group.{lease_name}"),
        format_args!(
            "{} is not above {LOST_RENEWALS} renewals of {}",
            format_duration(lease),
            format_duration(renew),
        ),
    )?;
    check_duration(format!("group.{lease_name}"), lease, 50 * MS..=60 * SECOND)
}

fn check_drain(drain: &Drain) -> CheckResult {
    check_duration("drain.notice", drain.notice, Duration::ZERO..=600 * SECOND)?;
    check_duration("drain.limit", drain.limit, SECOND..=3600 * SECOND)?;
    require(
        drain.limit > drain.notice,
        "drain.limit",
        "the limit must be above drain.notice",
    )
}

/// Checks that a name consists of 1 to 63 lower-case letters, digits and hyphens.
fn check_name(field: &str, name: &str) -> CheckResult {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    require(
        (1..=63).contains(&name.len()) && name.bytes().all(is_allowed),
        field,
        format_args!("{name:?} is not 1 to 63 lower-case letters, digits and hyphens"),
    )
}

/// Checks that other VMs can connect to `address`.
fn check_reachable(field: &str, address: SocketAddr) -> CheckResult {
    let broadcast = matches!(address.ip(), IpAddr::V4(ip) if ip.is_broadcast());
    require(
        address.port() != 0
            && !address.ip().is_unspecified()
            && !address.ip().is_multicast()
            && !broadcast,
        field,
        format_args!("other VMs cannot connect to {address}"),
    )
}

fn check_range<T>(field: impl Into<Box<str>>, value: T, range: RangeInclusive<T>) -> CheckResult
where
    T: PartialOrd + fmt::Display,
{
    require(
        range.contains(&value),
        field,
        format_args!(
            "{value} is not between {} and {}",
            range.start(),
            range.end()
        ),
    )
}

fn check_duration(
    field: impl Into<Box<str>>,
    value: Duration,
    range: RangeInclusive<Duration>,
) -> CheckResult {
    require(
        range.contains(&value),
        field,
        format_args!(
            "{} is not between {} and {}",
            format_duration(value),
            format_duration(*range.start()),
            format_duration(*range.end()),
        ),
    )
}

fn check_size(
    field: impl Into<Box<str>>,
    value: usize,
    range: RangeInclusive<usize>,
) -> CheckResult {
    require(
        range.contains(&value),
        field,
        format_args!(
            "{} is not between {} and {}",
            format_size(value),
            format_size(*range.start()),
            format_size(*range.end()),
        ),
    )
}

fn require(condition: bool, field: impl Into<Box<str>>, message: impl fmt::Display) -> CheckResult {
    match condition {
        true => Ok(()),
        false => Err(SettingsError::field(field, message)),
    }
}
