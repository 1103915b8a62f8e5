//! Compares the measured values with the requirements at the design size.

use crate::{
    MeasuredValues,
    Table, //
};

use super::{
    GROUP_VMS,
    REQUEST_RATE,
    VMS,
    verdict, //
};

/// Assumed fraction of requests that carry an `Idempotency-Key`.
const RECORDED_FRACTION: f64 = 0.01;

/// Assumed lifetime of an idempotency record, in seconds.
const RECORD_LIFE_SECONDS: f64 = 600.0;

/// Memory limit of a VM's daemon.
const MEMORY_LIMIT_BYTES: f64 = 32.0 * 1_024.0 * 1_024.0;

/// VM failures and restarts per day.
const RESTARTS_PER_DAY: f64 = 2.0 + 91.0;

/// A row of the requirements table.
struct Requirement {
    title: &'static str,
    limit: &'static str,
    value: Option<f64>,
    unit: &'static str,
    is_met: fn(f64) -> bool,
    basis: &'static str,
    mechanism: &'static str,
    remedy: &'static str,
}

/// Returns the table of requirements.
pub(super) fn table(measured: &MeasuredValues) -> Table {
    let mut table = Table::new(
        "Requirements of the design size",
        &[
            "requirement",
            "limit",
            "value",
            "verdict",
            "basis (section)",
            "mechanism",
            "if it misses",
        ],
    );
    let all = throughput(measured)
        .into_iter()
        .chain(availability(measured))
        .chain(state(measured))
        .chain(unmeasured());
    for requirement in all {
        let value = match requirement.value {
            Some(value) if value.abs() < 10.0 => format!("{value:.2} {}", requirement.unit),
            Some(value) => format!("{value:.0} {}", requirement.unit),
            None => "-".into(),
        };
        let verdict = match requirement.limit {
            "none given" => "-",
            _ => verdict(requirement.value, requirement.is_met),
        };
        let remedy = if verdict == "meets" {
            ""
        } else {
            requirement.remedy
        };
        table.row([
            requirement.title,
            requirement.limit,
            &value,
            verdict,
            requirement.basis,
            requirement.mechanism,
            remedy,
        ]);
    }
    table
}

fn throughput(measured: &MeasuredValues) -> Vec<Requirement> {
    // A mix of requests is at least as fast as its slowest kind.
    let lowest = |names: [&str; 3]| {
        let values: Option<Vec<f64>> = names.iter().map(|name| measured.get(name)).collect();
        values.map(|values| values.into_iter().fold(f64::INFINITY, f64::min))
    };
    let highest = |names: [&str; 3]| {
        let values: Option<Vec<f64>> = names.iter().map(|name| measured.get(name)).collect();
        values.map(|values| values.into_iter().fold(f64::MIN, f64::max))
    };
    vec![
        Requirement {
            title: "3.2M requests/s over 480 VMs, 6,667 on each",
            limit: "6,700 requests/s",
            value: lowest(["http.keyed_rate", "http.forward_rate", "http.open_rate"]),
            unit: "requests/s",
            is_met: |rate| rate >= 6_700.0,
            basis: "measured (http): slowest of keyed, forwarded and unkeyed; load, VMs and target share one machine",
            mechanism: "callers reach any VM; a keyed request is forwarded at most once",
            remedy: "take the lock of the router for less of a request; fewer threads per connection",
        },
        Requirement {
            title: "router against direct at 32 connections",
            limit: "0.45",
            value: lowest(["http.keyed_ratio", "http.open_ratio", "http.open_ratio"]),
            unit: "",
            is_met: |ratio| ratio > 0.45,
            basis: "measured (http)",
            mechanism: "kept connections, one reducer under one lock",
            remedy: "two reads, two writes and thread changes per request remain; serve the connection on the thread that waits for the target",
        },
        Requirement {
            title: "added at p99 at half load",
            limit: "1,000 µs",
            value: highest([
                "http.keyed_added_p99_us",
                "http.open_added_p99_us",
                "http.forward_added_p99_us",
            ]),
            unit: "µs",
            is_met: |added| added < 1_000.0,
            basis: "measured (http)",
            mechanism: "no waiting below the slots of the targets",
            remedy: "look at the wake-ups of threads at p99",
        },
        Requirement {
            title: "router reducer per request at 34 targets, 1,088 shards",
            limit: "75,000 ns (6,667 requests/s, each forwarded once: 13,333 steps/s)",
            value: measured
                .get("router.keyed_34t_16w_ns")
                .zip(measured.get("router.open_34t_16w_ns"))
                .map(|(keyed, open)| keyed.max(open)),
            unit: "ns",
            is_met: |ns| ns < REQUEST_RATE.recip() * VMS * 1e9 / 2.0,
            basis: "measured (router)",
            mechanism: "the reducer's work does not depend on the number of keys or other groups",
            remedy: "divide the router by service",
        },
    ]
}

fn availability(measured: &MeasuredValues) -> Vec<Requirement> {
    let served_again = |title, name: &str, mechanism| Requirement {
        title,
        limit: "1,000 ms",
        value: measured.get(&format!("failover.{name}_ms_max_3d")),
        unit: "ms at most",
        is_met: |ms| ms <= 1_000.0,
        basis: "measured (failover), 3 domains x 3 VMs; not at 12 VMs per group",
        mechanism,
        remedy: "shorter leases cost more renewals; see the row of the role's processor time",
    };
    vec![
        served_again(
            "key served again after a target is killed",
            "target_killed",
            "refused connections make the sender report it; lease of 600 ms",
        ),
        served_again(
            "key served again after a target freezes",
            "target_stopped",
            "silence of 300 ms leads to a probe; lease of 600 ms",
        ),
        served_again(
            "key served again after its sender is killed",
            "sender_killed",
            "lease of 500 ms; the owner stays",
        ),
        served_again(
            "key served again after the domain leader is killed",
            "domain_leader_killed",
            "election in 150 to 300 ms, then one lease of 500 ms before a holder counts as expired",
        ),
        served_again(
            "key served after the control leader is killed",
            "control_leader_killed",
            "domain groups work without the control group",
        ),
        Requirement {
            title: "failover runs that could not be made, because the deployment was not at rest 20 s after an earlier loss and restart",
            limit: "0",
            value: failed_runs(measured),
            unit: "runs",
            is_met: |runs| runs == 0.0,
            basis: "measured (failover), 1 and 3 domains; the reasons are listed there",
            mechanism: "a restarted VM joins its groups as a learner and is promoted",
            remedy: "repair the faults that the failed runs show before any other row counts",
        },
        Requirement {
            title: "unavailable time per key and day from 2 failures and 91 restarts of VMs, each key's sender being 1 of 480",
            limit: "none given",
            value: measured
                .get("failover.sender_killed_ms_max_3d")
                .map(|ms| ms * RESTARTS_PER_DAY / VMS),
            unit: "ms a day",
            is_met: |_| true,
            basis: "worked out (failover), as if every restart were a kill; a drained VM hands over before it ends",
            mechanism: "owners stay; only senders move",
            remedy: "",
        },
        Requirement {
            title: "a bundle is in force everywhere",
            limit: "12,000 ms",
            value: measured.get("bundle.in_force_ms_max"),
            unit: "ms at most",
            is_met: |ms| ms <= 12_000.0,
            basis: "measured (bundle) at 9 VMs; 480 VMs are not measured",
            mechanism: "one Raft commit, then directory differences to each VM; VMs do not wait for each other",
            remedy: "push the directory to VMs rather than waiting for their next report",
        },
    ]
}

/// Returns the number of failed runs of all failover cases.
fn failed_runs(measured: &MeasuredValues) -> Option<f64> {
    let cases = [
        "target_killed",
        "target_stopped",
        "sender_killed",
        "domain_leader_killed",
        "control_leader_killed",
    ];
    let names = cases
        .iter()
        .flat_map(|case| [1, 3].map(|domains| format!("failover.{case}_failed_{domains}d")));
    let values: Vec<f64> = names.filter_map(|name| measured.get(&name)).collect();
    (!values.is_empty()).then(|| values.iter().sum())
}

fn state(measured: &MeasuredValues) -> Vec<Requirement> {
    let record_bytes = measured.get("state.record_bytes");
    let group_rate = REQUEST_RATE / VMS * GROUP_VMS;
    vec![
        Requirement {
            title: "reducer of a domain leader with 12 VMs, 34 targets, 1,088 shards",
            limit: "1% of a core, with all else of the role",
            value: measured.get("state.leader_percent"),
            unit: "% of a core",
            is_met: |percent| percent <= 1.0,
            basis: "measured in simulated time (state); Raft and messages are in the table of roles",
            mechanism: "one pass over the group's state per tick; nothing grows with keys or other groups",
            remedy: "look only at shards that changed",
        },
        Requirement {
            title: "idempotency records of a group in each of its 5 voters, if 1% of the requests carry a key and records live 10 min",
            limit: "32 MB",
            value: record_bytes.map(|bytes| {
                group_rate * RECORDED_FRACTION * RECORD_LIFE_SECONDS * bytes / MEMORY_LIMIT_BYTES
                    * 32.0
            }),
            unit: "MB",
            is_met: |mb| mb <= 32.0,
            basis: "worked out (state): memory per record measured with answers of 200 bytes",
            mechanism: "records are in memory of the group's voters until record_life ends",
            remedy: "shorter record_life, more and smaller groups, or keep only digests of answers",
        },
        Requirement {
            title: "records per second that a group can keep for 10 min in 32 MB",
            limit: "none given",
            value: record_bytes.map(|bytes| MEMORY_LIMIT_BYTES / bytes / RECORD_LIFE_SECONDS),
            unit: "records/s",
            is_met: |_| true,
            basis: "worked out (state)",
            mechanism: "as above",
            remedy: "",
        },
    ]
}

fn unmeasured() -> Vec<Requirement> {
    let row = |title, limit, mechanism, remedy| Requirement {
        title,
        limit,
        value: None,
        unit: "",
        is_met: |_| true,
        basis: "not measured",
        mechanism,
        remedy,
    };
    vec![
        row(
            "570M keys in use",
            "-",
            "keys are hashed to shards; no state is kept per key, except a shard for each hot key that the bundle lists",
            "-",
        ),
        row(
            "VMs set aside for control",
            "7",
            "by design 0 to 7: control voters may be entry VMs; at most 7 voters",
            "-",
        ),
        row(
            "a rack, switch or failure domain is lost",
            "-",
            "domain lease, then the control group gives its shards a new home; without a domain lease an operator declares it lost",
            "measure with a deployment whose domain is killed; the quickstart cuts one off",
        ),
        row(
            "regions lose contact for minutes",
            "-",
            "each domain serves on within its domain lease; the control quorum is in one region only",
            "measure with the relay and latency between regions",
        ),
        row(
            "p99 of 10 ms over all requests at 3.2M requests/s",
            "10 ms",
            "queues are bounded by deadline; forwarding adds one call between VMs",
            "measure on several machines",
        ),
        row(
            "target: leases, renewals and grants",
            "-",
            "6.7 renewals/s to one VM of its domain; no part of the system runs on target VMs",
            "the processor time of a real target is its own",
        ),
    ]
}
