//! Extrapolates the control overhead of each role to the design size.

use crate::{
    MeasuredValues,
    Table, //
};

use super::{
    BUNDLES_PER_DAY,
    DAY_SECONDS,
    GROUP_SHARDS,
    GROUP_TARGETS,
    GROUP_VMS,
    MEASURED_DOMAINS,
    SHARDS,
    VMS,
    verdict, //
};

/// Names of the coefficients, in the order of the sizes in [`estimate`].
const COEFFICIENTS: [&str; 4] = ["group_vm", "other_vm", "target", "shard"];

/// Roles: key in the measured values, title, state that a VM holds, and messages that it exchanges.
const ROLES: [[&str; 4]; 4] = [
    [
        "entry",
        "entry VM",
        "router: targets of its domain, homes of all shards, requests in flight; lease",
        "lease renewal every 100 ms (UDP), view and directory differences, load report every 1 s",
    ],
    [
        "domain_leader",
        "domain leader",
        "that of an entry VM; sessions, owners, senders, records; lease times",
        "heartbeats every 40 ms to 4 voters, 10 renewals/s from each VM, 6.7/s from each target, \
         report to control every 250 ms",
    ],
    [
        "control_voter",
        "control voter (also entry VM)",
        "bundle chain, registry, homes, group terms, audit; on disk",
        "heartbeats every 100 ms from the leader, log entries",
    ],
    [
        "control_leader",
        "control leader (also entry VM)",
        "that of a voter; what it sent to whom",
        "reports of all domain leaders every 250 ms, directory differences to all VMs, heartbeats \
         to at most 6 voters",
    ],
];

/// Measures: key in the measured values, unit, limit, and divisor that converts to this unit.
const MEASURES: [(&str, &str, f64, f64); 3] = [
    ("cpu_percent", "% of a core", 1.0, 1.0),
    ("resident_kb", "MB", 32.0, 1_024.0),
    ("bytes_s", "KB/s", 29.0, 1_024.0),
];

/// Returns the table of roles.
pub(super) fn table(measured: &MeasuredValues) -> Table {
    let mut table = Table::new(
        "Control overhead per node, extrapolated",
        &[
            "role",
            "state",
            "messages",
            "value",
            "measured at most",
            "at the design size",
            "limit",
            "verdict",
        ],
    );
    table.condition(format!(
        "{VMS} VMs, groups of {GROUP_VMS} VMs with {GROUP_TARGETS} targets and {GROUP_SHARDS} \
         shards, {SHARDS} shards in all; constant and slopes of section control; a slope below 0 \
         counts as 0; {BUNDLES_PER_DAY} bundles a day are added"
    ));
    table.condition(
        "shards of other groups count for memory, and for all values of control voters; processor \
         time and traffic of the other roles depend on the shards of their own group",
    );
    for [role, name, state, messages] in ROLES {
        for (at, (value, unit, limit, scale)) in MEASURES.into_iter().enumerate() {
            let highest = measured.get(&format!("control.{role}.{value}.most"));
            let design = estimate(measured, role, value).map(|v| v / scale);
            let complete = COEFFICIENTS.iter().all(|what| {
                let name = format!("control.{role}.{value}.{what}");
                measured.get(&name).is_some()
            });
            let verdict = match verdict(design, |v| v <= limit) {
                "meets" if !complete => "not measured: no slope per VM",
                verdict => verdict,
            };
            let text = |value: Option<f64>| value.map_or_else(|| "-".into(), |v| format!("{v:.2}"));
            // Only the first row of a role shows its name, state and messages.
            let first = |text: &str| {
                if at == 0 {
                    text.to_string()
                } else {
                    String::new()
                }
            };
            table.row([
                first(name),
                first(state),
                first(messages),
                unit.to_string(),
                text(highest.map(|v| v / scale)),
                text(design),
                limit.to_string(),
                verdict.to_string(),
            ]);
        }
    }
    table
}

/// Estimates a measure of a role at the design size from the fitted coefficients.
pub(super) fn estimate(measured: &MeasuredValues, role: &str, value: &str) -> Option<f64> {
    let get = |what: &str| measured.get(&format!("control.{role}.{value}.{what}"));
    let all = value == "resident_kb" || role.starts_with("control");
    // The coefficient per shard refers to the shards of all measured domains. For a cost that
    // depends only on the shards of one's own group, that number is a multiple of the group's.
    let shards = if all {
        SHARDS
    } else {
        GROUP_SHARDS * MEASURED_DOMAINS
    };
    let sizes = [GROUP_VMS, VMS - GROUP_VMS, GROUP_TARGETS, shards];
    let mut sum = get("base")?;
    for (what, size) in COEFFICIENTS.into_iter().zip(sizes) {
        // A coefficient that was not measured counts as 0; the table says so.
        sum += get(what).unwrap_or(0.0).max(0.0) * size;
    }
    let per_second = BUNDLES_PER_DAY / DAY_SECONDS;
    Some(match value {
        "cpu_percent" => {
            sum + measured
                .get("control.bundle.cpu_ms")
                .unwrap_or(0.0)
                .max(0.0)
                * per_second
                / 10.0
        }
        "bytes_s" => {
            sum + measured.get("control.bundle.bytes").unwrap_or(0.0).max(0.0) * per_second
        }
        _ => sum,
    })
}
