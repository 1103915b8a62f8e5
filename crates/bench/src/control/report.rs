//! Tables and slopes of the control overhead.

use crate::{
    Slopes,
    Spread,
    Table,
    fit, //
};

use super::{
    BundleCost,
    Node,
    Role,
    SETUPS, //
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
            "domains x VMs",
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
                format!("{} x {}", setup.domains, setup.vms),
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

/// Names of the slopes, in the order of [`super::Setup::sizes`] after the constant.
const SLOPES: [&str; 5] = ["base", "group_vm", "other_vm", "target", "shard"];

/// Works out the slopes of each role.
pub(super) fn slopes(nodes: &[Node], bundles: Option<BundleCost>, slopes: &mut Slopes) {
    let roles: [(&str, Filter<'_>); 4] = [
        ("entry", &|n| !n.leads && n.role == Role::Other),
        ("domain_leader", &|n| n.leads),
        ("control_voter", &|n| n.role == Role::ControlVoter),
        ("control_leader", &|n| n.role == Role::ControlLeader),
    ];
    for (role, is) in roles {
        for (name, value) in VALUES {
            let of_role = nodes.iter().filter(|n| is(n));
            let samples: Vec<([f64; 4], f64)> =
                of_role.map(|n| (n.setup.sizes(), value(n))).collect();
            let most = samples.iter().map(|s| s.1).fold(f64::NAN, f64::max);
            slopes.set(&format!("control.{role}.{name}.most"), most);
            let all = fit(&samples);
            // A role that exists only with one number of VMs has no slope per VM.
            let some = || {
                let samples: Vec<([f64; 2], f64)> = samples
                    .iter()
                    .map(|&([_, _, target, shard], value)| ([target, shard], value))
                    .collect();
                let [base, target, shard] = fit(&samples)?.try_into().ok()?;
                Some(vec![base, f64::NAN, f64::NAN, target, shard])
            };
            let fitted = all.or_else(some);
            for (at, part) in SLOPES.iter().enumerate() {
                let value = fitted.as_ref().map_or(f64::NAN, |fitted| fitted[at]);
                slopes.set(&format!("control.{role}.{name}.{part}"), value);
            }
        }
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
            "constant",
            "per VM of the domain",
            "per other VM",
            "per target of the domain",
            "per shard of all domains",
            "most measured",
        ],
    );
    table.condition("least squares over all VMs of the role in all sizes above");
    for role in ["entry", "domain_leader", "control_voter", "control_leader"] {
        for (name, unit) in DERIVED {
            let get = |what: &str| {
                let value = slopes.get(&format!("control.{role}.{name}.{what}"));
                value.map_or_else(|| "-".into(), |value| format!("{value:.4}"))
            };
            let mut cells = vec![role.replace('_', " "), unit.to_string()];
            cells.extend(SLOPES.iter().map(|what| get(what)));
            cells.push(get("most"));
            table.row(cells);
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
