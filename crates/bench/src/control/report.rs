//! Tables of the control overhead, and linear coefficients that describe it.

use crate::{
    MeasuredValues,
    Spread,
    Table,
    least_squares, //
};

use super::{
    BundleCost,
    Role,
    SIZES,
    VmUsage, //
};

/// Name and accessor of one measure of a VM's usage.
type Measure = (&'static str, fn(&VmUsage) -> f64);

/// Selects the VMs of a role.
type VmFilter<'a> = &'a dyn Fn(&VmUsage) -> bool;

/// The measures for which coefficients are fitted.
const MEASURES: [Measure; 4] = [
    ("cpu_percent", |vm| vm.cpu_percent),
    ("resident_kb", |vm| vm.resident_kb),
    ("bytes_s", |vm| vm.bytes),
    ("messages_s", |vm| vm.messages),
];

/// The measures with their units in the coefficient table.
const UNITS: [(&str, &str); 4] = [
    ("cpu_percent", "% of a core"),
    ("resident_kb", "kB resident"),
    ("bytes_s", "bytes/s"),
    ("messages_s", "messages/s"),
];

/// Returns the table of the usage by deployment size and role.
pub(super) fn usage_table(vms: &[VmUsage]) -> Table {
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
    for size in SIZES {
        let roles = [
            ("other", Role::Other),
            ("domain leader", Role::DomainLeader),
            ("control voter", Role::ControlVoter),
            ("control leader", Role::ControlLeader),
        ];
        for (name, role) in roles {
            let of_role = || {
                let all = vms.iter().filter(move |vm| vm.size == size);
                all.filter(move |vm| vm.role == role)
            };
            if of_role().next().is_none() {
                continue;
            }
            let spread = |value: fn(&VmUsage) -> f64| Spread::of(of_role().map(value));
            table.row([
                format!("{} x {}", size.domains, size.vms),
                size.targets.to_string(),
                size.shards.to_string(),
                name.to_string(),
                of_role().count().to_string(),
                format!("{:.2}", spread(|vm| vm.cpu_percent)),
                format!("{:.0}", spread(|vm| vm.resident_kb)),
                format!("{:.0}", spread(|vm| vm.bytes)),
                format!("{:.1}", spread(|vm| vm.messages)),
            ]);
        }
    }
    table
}

/// Names of the coefficients: the constant, then those of
/// [`super::DeploymentSize::predictors`] in their order.
const COEFFICIENTS: [&str; 5] = ["base", "group_vm", "other_vm", "target", "shard"];

/// Fits the coefficients of each role and stores them together with the cost of a bundle.
pub(super) fn set_values(
    vms: &[VmUsage],
    bundles: Option<BundleCost>,
    measured: &mut MeasuredValues,
) {
    let roles: [(&str, VmFilter<'_>); 4] = [
        ("entry", &|vm| !vm.leads_domain && vm.role == Role::Other),
        ("domain_leader", &|vm| vm.leads_domain),
        ("control_voter", &|vm| vm.role == Role::ControlVoter),
        ("control_leader", &|vm| vm.role == Role::ControlLeader),
    ];
    for (role, selects) in roles {
        for (name, value) in MEASURES {
            let of_role = vms.iter().filter(|vm| selects(vm));
            let samples: Vec<([f64; 4], f64)> = of_role
                .map(|vm| (vm.size.predictors(), value(vm)))
                .collect();
            let most = samples.iter().map(|s| s.1).fold(f64::NAN, f64::max);
            measured.set(&format!("control.{role}.{name}.most"), most);
            let all = least_squares(&samples);
            // If a role was measured with one number of VMs only, the coefficients per VM cannot
            // be determined; they are left out.
            let without_vms = || {
                let samples: Vec<([f64; 2], f64)> = samples
                    .iter()
                    .map(|&([_, _, target, shard], value)| ([target, shard], value))
                    .collect();
                let [base, target, shard] = least_squares(&samples)?.try_into().ok()?;
                Some(vec![base, f64::NAN, f64::NAN, target, shard])
            };
            let fitted = all.or_else(without_vms);
            for (at, part) in COEFFICIENTS.iter().enumerate() {
                let value = fitted.as_ref().map_or(f64::NAN, |fitted| fitted[at]);
                measured.set(&format!("control.{role}.{name}.{part}"), value);
            }
        }
    }
    if let Some(cost) = bundles {
        measured.set("control.bundle.cpu_ms", cost.cpu_ms);
        measured.set("control.bundle.resident_kb", cost.resident_kb);
        measured.set("control.bundle.bytes", cost.bytes);
    }
}

/// Returns the table of coefficients.
pub(super) fn coefficient_table(measured: &MeasuredValues) -> Table {
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
        for (name, unit) in UNITS {
            let get = |what: &str| {
                let value = measured.get(&format!("control.{role}.{name}.{what}"));
                value.map_or_else(|| "-".into(), |value| format!("{value:.4}"))
            };
            let mut cells = vec![role.replace('_', " "), unit.to_string()];
            cells.extend(COEFFICIENTS.iter().map(|what| get(what)));
            cells.push(get("most"));
            table.row(cells);
        }
    }
    for (name, unit) in [
        ("cpu_ms", "ms of processor time"),
        ("resident_kb", "kB resident"),
        ("bytes", "bytes"),
    ] {
        if let Some(value) = measured.get(&format!("control.bundle.{name}")) {
            table.condition(format!("per bundle and VM: {value:.3} {unit}"));
        }
    }
    table
}
