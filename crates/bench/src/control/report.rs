//! Tables and slopes of the control overhead.

use crate::{
    Slopes,
    Spread,
    Table,
    slope, //
};

use super::{
    BundleCost,
    Node,
    Role,
    SETUPS,
    Setup, //
};

/// A value of a VM with its name.
type Value = (&'static str, fn(&Node) -> f64);

/// Chooses VMs.
type Filter<'a> = &'a dyn Fn(&Node) -> bool;

/// The values that have slopes.
const VALUES: [Value; 4] = [
    ("cpu_percent", |node| node.cpu),
    ("resident_kb", |node| node.resident),
    ("bytes_s", |node| node.bytes),
    ("messages_s", |node| node.messages),
];

/// Names and units of the slopes for the second table.
const DERIVED: [(&str, &str); 4] = [
    ("cpu_percent", "% of a core"),
    ("resident_kb", "kB resident"),
    ("bytes_s", "bytes/s"),
    ("messages_s", "messages/s"),
];

/// Returns the table of all sizes by role.
pub(super) fn nodes(nodes: &[Node]) -> Table {
    let mut table = Table::new(
        "Control overhead per VM without requests",
        &[
            "VMs",
            "targets",
            "shards",
            "role",
            "VMs in it",
            "% of a core",
            "kB resident",
            "bytes/s",
            "messages/s",
        ],
    );
    table.condition(
        "min / median / max over the VMs of a role; a control voter can also lead its domain; \
         bytes and messages as GET /metrics counts them, both directions",
    );
    for setup in SETUPS {
        let roles = [
            ("other", Role::Other),
            ("domain leader", Role::DomainLeader),
            ("control voter", Role::ControlVoter),
            ("control leader", Role::ControlLeader),
        ];
        for (name, role) in roles {
            let of_role = || {
                let all = nodes.iter().filter(move |n| n.setup == setup);
                all.filter(move |n| n.role == role)
            };
            if of_role().next().is_none() {
                continue;
            }
            let spread = |value: fn(&Node) -> f64| Spread::of(of_role().map(value));
            table.row([
                (u32::from(setup.domains) * 3).to_string(),
                setup.targets.to_string(),
                setup.shards.to_string(),
                name.to_string(),
                of_role().count().to_string(),
                format!("{:.2}", spread(|n| n.cpu)),
                format!("{:.0}", spread(|n| n.resident)),
                format!("{:.0}", spread(|n| n.bytes)),
                format!("{:.1}", spread(|n| n.messages)),
            ]);
        }
    }
    table
}

/// Works out the slopes. Those of the domain leaders are per target and shard of their own
/// domain; those of the others are of the mean VM.
pub(super) fn slopes(nodes: &[Node], bundles: Option<BundleCost>, slopes: &mut Slopes) {
    let base = SETUPS[0];
    for (name, value) in VALUES {
        let mean = |setup: Setup, all: Filter<'_>| {
            let of = nodes.iter().filter(|n| n.setup == setup && all(n));
            let values: Vec<f64> = of.map(value).collect();
            values.iter().sum::<f64>() / values.len() as f64
        };
        let line = |all: Filter<'_>, size: &dyn Fn(Setup) -> Option<f64>| {
            let points = SETUPS
                .iter()
                .filter_map(|&setup| Some((size(setup)?, mean(setup, all))));
            slope(&points.collect::<Vec<_>>())
        };
        let by_vm =
            |s: Setup| (s.shards == 64 && s.targets == 10).then_some(f64::from(s.domains) * 3.0);
        let parts = f64::from(base.domains);
        let by_target = |s: Setup| {
            let same = s.shards == 64 && s.domains == base.domains;
            same.then_some(f64::from(s.targets) / parts)
        };
        let by_shard = |s: Setup| {
            let same = s.targets == 10 && s.domains == base.domains;
            same.then_some(f64::from(s.shards) / parts)
        };
        let roles: [(&str, Filter<'_>); 3] = [
            ("entry", &|n| !n.leads && n.role == Role::Other),
            ("domain_leader", &|n| n.leads),
            ("control_leader", &|n| n.role == Role::ControlLeader),
        ];
        for (role, is) in roles {
            let set = |slopes: &mut Slopes, what: &str, value: f64| {
                slopes.set(&format!("control.{role}.{name}.{what}"), value);
            };
            set(slopes, "base", mean(base, is));
            set(slopes, "per_vm", line(is, &by_vm));
            set(slopes, "per_target", line(is, &by_target));
            set(slopes, "per_shard", line(is, &by_shard));
        }
        let voter = |n: &Node| n.role == Role::ControlVoter;
        slopes.set(
            &format!("control.control_voter.{name}.base"),
            mean(base, &voter),
        );
    }
    if let Some(cost) = bundles {
        slopes.set("control.bundle.cpu_ms", cost.cpu_ms);
        slopes.set("control.bundle.resident_kb", cost.resident);
        slopes.set("control.bundle.bytes", cost.bytes);
    }
}

/// Returns the table of slopes.
pub(super) fn derived(slopes: &Slopes) -> Table {
    let mut table = Table::new(
        "Slopes of the control overhead",
        &[
            "role",
            "value",
            "9 VMs, 10 targets, 64 shards",
            "per VM",
            "per target of the domain",
            "per shard of the domain",
        ],
    );
    table.condition(
        "per VM: 3 against 9 VMs with 10 targets in all; per target and shard: least squares over \
         the sizes above, counted per domain",
    );
    for role in ["entry", "domain_leader", "control_leader"] {
        for (name, unit) in DERIVED {
            let get = |what: &str| {
                let value = slopes.get(&format!("control.{role}.{name}.{what}"));
                value.map_or_else(|| "-".into(), |value| format!("{value:.4}"))
            };
            table.row([
                role.replace('_', " "),
                unit.to_string(),
                get("base"),
                get("per_vm"),
                get("per_target"),
                get("per_shard"),
            ]);
        }
    }
    for (name, unit) in [
        ("cpu_ms", "ms of processor time"),
        ("resident_kb", "kB resident"),
        ("bytes", "bytes"),
    ] {
        if let Some(value) = slopes.get(&format!("control.bundle.{name}")) {
            table.condition(format!("per bundle and VM: {value:.3} {unit}"));
        }
    }
    table
}
