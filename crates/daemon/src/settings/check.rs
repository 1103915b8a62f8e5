//! Checks of values and of values against each other.

use std::{
    collections::BTreeSet,
    fmt,
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
    time::Duration,
};

use super::{
    Control, Drain, Group, Limits, OperatorAccess, Peers, Roles, Settings, SettingsError, survives,
    units::{show_duration, show_size},
};

/// Greatest number of control voters.
pub const MAX_CONTROL_VOTERS: usize = 7;

/// Greatest number of voters of a domain group.
pub const MAX_GROUP_VOTERS: usize = 5;

/// A lease must survive the loss of this many renewals in a row.
const LOST_RENEWALS: u32 = 2;

/// An election must not start before this many heartbeats have been missed.
const MISSED_HEARTBEATS: u32 = 3;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

type Check = Result<(), SettingsError>;

impl Settings {
    /// Checks all values.
    ///
    /// # Errors
    ///
    /// Returns the first mistake found, with its field and without a line.
    pub fn check(&self) -> Check {
        within("vm", self.vm, 1..=u32::MAX)?;
        check_name("domain", &self.domain)?;
        self.check_roles()?;
        if let Some(callers) = &self.callers {
            check_limits("callers.limits", &callers.limits)?;
            size(
                "callers.limits.answer_size",
                callers.answer_size,
                1 << 10..=1 << 30,
            )?;
        }
        if let Some(targets) = &self.targets {
            check_limits("targets.limits", &targets.limits)?;
            ensure(
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

    fn check_roles(&self) -> Check {
        let Roles { entry, control } = self.roles;
        ensure(entry || control, "roles", "the VM has no role")?;
        ensure(
            !entry || self.callers.is_some(),
            "callers",
            "entry VMs need this section",
        )?;
        ensure(
            !entry || self.targets.is_some(),
            "targets",
            "entry VMs need this section",
        )?;
        ensure(
            !control || self.data.is_some(),
            "data",
            "control VMs need a folder",
        )?;
        ensure(
            !control || self.operators.first.is_some(),
            "operators.first",
            "control VMs need the first operators",
        )?;
        let listed = self.control.voters.iter().any(|voter| voter.vm == self.vm);
        ensure(
            control || !listed,
            "roles.control",
            format_args!("VM {} is listed in control.voters", self.vm),
        )
    }

    /// Checks that no two listeners need the same port. Port 0 lets the system choose one.
    fn check_ports(&self) -> Check {
        let listeners = [
            ("callers.listen", self.callers.as_ref().map(|c| c.listen)),
            ("targets.listen", self.targets.as_ref().map(|t| t.listen)),
            ("operators.listen", Some(self.operators.listen)),
            ("peers.listen", Some(self.peers.listen)),
        ];
        for (i, (field, address)) in listeners.iter().enumerate() {
            for (other, taken) in &listeners[..i] {
                if let (Some(address), Some(taken)) = (address, taken)
                    && collide(*address, *taken)
                {
                    let message = format_args!("{address} and {other} use the same port");
                    return Err(SettingsError::field(*field, message));
                }
            }
        }
        Ok(())
    }
}

fn collide(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}

fn check_limits(section: &str, limits: &Limits) -> Check {
    let field = |name: &str| format!("{section}.{name}");
    within(field("connections"), limits.connections, 1..=100_000)?;
    within(field("per_source"), limits.per_source, 1..=100_000)?;
    size(field("header_size"), limits.header_size, 1 << 10..=1 << 20)?;
    size(field("body_size"), limits.body_size, 1 << 10..=1 << 30)?;
    time(
        field("header_time"),
        limits.header_time,
        10 * MS..=600 * SECOND,
    )?;
    time(field("body_time"), limits.body_time, 10 * MS..=600 * SECOND)?;
    time(field("idle_time"), limits.idle_time, 10 * MS..=600 * SECOND)
}

fn check_operators(operators: &OperatorAccess) -> Check {
    let Some(first) = &operators.first else {
        return Ok(());
    };
    let mut names = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for (i, operator) in first.keys.iter().enumerate() {
        let field = format!("operators.first.keys[{i}]");
        check_name(&format!("{field}.name"), &operator.name)?;
        ensure(
            names.insert(&operator.name),
            format!("{field}.name"),
            format_args!("operator {} is listed twice", operator.name),
        )?;
        ensure(
            keys.insert(operator.key),
            format!("{field}.key"),
            "another operator has the same key",
        )?;
    }
    within(
        "operators.first.needed",
        first.needed as usize,
        1..=first.keys.len(),
    )
}

fn check_peers(peers: &Peers) -> Check {
    ensure(
        peers.listen.port() != 0,
        "peers.listen",
        "the port must not be 0",
    )?;
    reachable("peers.inner", peers.inner)?;
    reachable("peers.outer", peers.outer)?;
    ensure(
        !peers.source_ip.is_some_and(|ip| ip.is_unspecified()),
        "peers.source_ip",
        "the address must be one of the VM's own",
    )?;
    let mut ids = BTreeSet::new();
    for (i, key) in peers.keys.iter().enumerate() {
        ensure(
            ids.insert(key.id),
            format!("peers.keys[{i}].id"),
            format_args!("key {} is listed twice", key.id),
        )?;
    }
    ensure(
        ids.contains(&peers.send),
        "peers.send",
        format_args!("key {} is not in peers.keys", peers.send),
    )
}

fn check_control(control: &Control) -> Check {
    within(
        "control.voters",
        control.voters.len(),
        1..=MAX_CONTROL_VOTERS,
    )?;
    let mut vms = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for (i, voter) in control.voters.iter().enumerate() {
        let field = |name: &str| format!("control.voters[{i}].{name}");
        ensure(
            vms.insert(voter.vm),
            field("vm"),
            format_args!("VM {} is listed twice", voter.vm),
        )?;
        reachable(&field("address"), voter.address)?;
        ensure(
            addresses.insert(voter.address),
            field("address"),
            format_args!("{} is listed twice", voter.address),
        )?;
    }
    check_tolerate("control.tolerate", control.tolerate, control.voters.len())?;
    check_raft("control", control.heartbeat, control.election)
}

fn check_group(group: &Group) -> Check {
    within("group.size", group.size, 1..=MAX_GROUP_VOTERS)?;
    check_tolerate("group.tolerate", group.tolerate, group.size)?;
    check_raft("group", group.heartbeat, group.election)?;
    check_lease("vm_lease", group.vm_lease, "vm_renew", group.vm_renew)?;
    check_lease(
        "target_lease",
        group.target_lease,
        "target_renew",
        group.target_renew,
    )?;
    time("group.stall", group.stall, 10 * MS..=60 * SECOND)?;
    time(
        "group.form_wait",
        group.form_wait,
        Duration::ZERO..=600 * SECOND,
    )
}

fn check_tolerate(field: &str, tolerate: usize, voters: usize) -> Check {
    let needed = tolerate.saturating_mul(2).saturating_add(1);
    ensure(
        survives(voters, tolerate),
        field,
        format_args!("the loss of {tolerate} takes {needed} voters, and there are {voters}"),
    )
}

fn check_raft(section: &str, heartbeat: Duration, election: Duration) -> Check {
    time(
        format!("{section}.heartbeat"),
        heartbeat,
        5 * MS..=10 * SECOND,
    )?;
    ensure(
        election > MISSED_HEARTBEATS * heartbeat,
        format!("{section}.election"),
        format_args!(
            "{} is not above {MISSED_HEARTBEATS} heartbeats of {}",
            show_duration(election),
            show_duration(heartbeat),
        ),
    )?;
    time(
        format!("{section}.election"),
        election,
        20 * MS..=60 * SECOND,
    )
}

fn check_lease(lease_name: &str, lease: Duration, renew_name: &str, renew: Duration) -> Check {
    time(format!("group.{renew_name}"), renew, 5 * MS..=10 * SECOND)?;
    ensure(
        lease > LOST_RENEWALS * renew,
        format!("group.{lease_name}"),
        format_args!(
            "{} is not above {LOST_RENEWALS} renewals of {}",
            show_duration(lease),
            show_duration(renew),
        ),
    )?;
    time(format!("group.{lease_name}"), lease, 50 * MS..=60 * SECOND)
}

fn check_drain(drain: &Drain) -> Check {
    time("drain.notice", drain.notice, Duration::ZERO..=600 * SECOND)?;
    time("drain.limit", drain.limit, SECOND..=3600 * SECOND)?;
    ensure(
        drain.limit > drain.notice,
        "drain.limit",
        "the limit must be above drain.notice",
    )
}

/// Checks a name: 1 to 63 lower-case letters, digits and hyphens.
fn check_name(field: &str, name: &str) -> Check {
    let legal = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    ensure(
        (1..=63).contains(&name.len()) && name.bytes().all(legal),
        field,
        format_args!("{name:?} is not 1 to 63 lower-case letters, digits and hyphens"),
    )
}

/// Checks that other VMs can connect to `address`.
fn reachable(field: &str, address: SocketAddr) -> Check {
    let broadcast = matches!(address.ip(), IpAddr::V4(ip) if ip.is_broadcast());
    ensure(
        address.port() != 0
            && !address.ip().is_unspecified()
            && !address.ip().is_multicast()
            && !broadcast,
        field,
        format_args!("other VMs cannot connect to {address}"),
    )
}

fn within<T>(field: impl Into<Box<str>>, value: T, range: RangeInclusive<T>) -> Check
where
    T: PartialOrd + fmt::Display,
{
    ensure(
        range.contains(&value),
        field,
        format_args!(
            "{value} is not between {} and {}",
            range.start(),
            range.end()
        ),
    )
}

fn time(field: impl Into<Box<str>>, value: Duration, range: RangeInclusive<Duration>) -> Check {
    ensure(
        range.contains(&value),
        field,
        format_args!(
            "{} is not between {} and {}",
            show_duration(value),
            show_duration(*range.start()),
            show_duration(*range.end()),
        ),
    )
}

fn size(field: impl Into<Box<str>>, value: usize, range: RangeInclusive<usize>) -> Check {
    ensure(
        range.contains(&value),
        field,
        format_args!(
            "{} is not between {} and {}",
            show_size(value),
            show_size(*range.start()),
            show_size(*range.end()),
        ),
    )
}

fn ensure(holds: bool, field: impl Into<Box<str>>, message: impl fmt::Display) -> Check {
    match holds {
        true => Ok(()),
        false => Err(SettingsError::field(field, message)),
    }
}
