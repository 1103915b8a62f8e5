//! Which changes of the settings take effect without a restart.

use super::Settings;

/// Sections that differ between two versions of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangedSections {
    /// Sections that take effect in the running process.
    pub reload: Vec<&'static str>,
    /// Sections that take effect only after a restart.
    pub restart: Vec<&'static str>,
}

/// Returns the sections that differ between `old` and `new`.
///
/// Identity, addresses, group membership and lease times need a restart, because other VMs and
/// valid leases depend on them. So do the limits of listeners and the keys that VMs share, which
/// open connections have copied.
pub fn changed_sections(old: &Settings, new: &Settings) -> ChangedSections {
    let callers = |s: &Settings| {
        s.callers
            .as_ref()
            .map(|c| (c.limits.clone(), c.answer_size))
    };
    let callers_listen = |s: &Settings| s.callers.as_ref().map(|c| c.listen);
    let target_limits = |s: &Settings| s.targets.as_ref().map(|t| t.limits.clone());
    let target_keys = |s: &Settings| s.targets.as_ref().map(|t| t.keys.clone());
    let targets_listen = |s: &Settings| s.targets.as_ref().map(|t| t.listen);
    let peer_addresses = |s: &Settings| {
        let p = &s.peers;
        (p.listen, p.inner, p.outer, p.source_ip)
    };
    let listen_addresses = [
        ("callers.listen", callers_listen(old) != callers_listen(new)),
        ("targets.listen", targets_listen(old) != targets_listen(new)),
    ];
    let targets_listen_changed = listen_addresses[1].1;
    let reload = [
        (
            "targets.keys",
            !targets_listen_changed && target_keys(old) != target_keys(new),
        ),
        ("operators.key", old.operators.key != new.operators.key),
        ("log.level", old.log.level != new.log.level),
        ("drain", old.drain != new.drain),
    ];
    let restart = [
        ("vm", old.vm != new.vm),
        ("domain", old.domain != new.domain),
        ("roles", old.roles != new.roles),
        ("data", old.data != new.data),
        listen_addresses[0],
        listen_addresses[1],
        (
            "callers.limits",
            !listen_addresses[0].1 && callers(old) != callers(new),
        ),
        (
            "targets.limits",
            !targets_listen_changed && target_limits(old) != target_limits(new),
        ),
        ("peers.keys", old.peers.keys != new.peers.keys),
        ("peers.send", old.peers.send != new.peers.send),
        (
            "operators.listen",
            old.operators.listen != new.operators.listen,
        ),
        (
            "operators.first",
            old.operators.first != new.operators.first,
        ),
        ("peers", peer_addresses(old) != peer_addresses(new)),
        ("control", old.control != new.control),
        ("group", old.group != new.group),
        ("log.format", old.log.format != new.log.format),
    ];
    let changed = |sections: &[(&'static str, bool)]| {
        let hits = sections.iter().filter(|(_, changed)| *changed);
        hits.map(|(name, _)| *name).collect()
    };
    ChangedSections {
        reload: changed(&reload),
        restart: changed(&restart),
    }
}
