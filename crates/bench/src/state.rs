//! Measures the size of a domain group's replicated state and the CPU time of its leader.

use std::time::{
    Duration,
    Instant, //
};

use camphordale_domain::{
    Command,
    Phase,
    StoredResponse, //
};
use camphordale_types::{
    Digest,
    ShardRef, //
};

use crate::{
    MeasureError,
    MeasuredValues,
    RunOptions,
    Spread,
    Table,
    deployment::read_resident_kb,
    placement::group::SimulatedGroup,
    service::keyed_service, //
};

/// Requests per second of each shard while the leader's CPU time is measured.
const REQUEST_RATE: f64 = 10.0;

/// Simulated time after which all shards of a group have an owner and no more of them move.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// Body size of the response in an idempotency record, in bytes.
const BODY_SIZE: usize = 200;

/// Size of a domain group.
struct Size {
    name: &'static str,
    vms: u32,
    targets: usize,
    shards: u32,
}

/// The size of today's domains, the design size, and sizes that differ from one of them only in the
/// number of shards.
const SIZES: [Size; 4] = [
    Size {
        name: "today",
        vms: 3,
        targets: 4,
        shards: 86,
    },
    Size {
        name: "today, design shards",
        vms: 3,
        targets: 4,
        shards: 1_088,
    },
    Size {
        name: "design",
        vms: 12,
        targets: 34,
        shards: 1_088,
    },
    Size {
        name: "design, 4 times the shards",
        vms: 12,
        targets: 34,
        shards: 4_352,
    },
];

/// Runs the benchmark.
///
/// # Errors
///
/// Fails when the memory of this process cannot be read or the state cannot be encoded.
pub fn measure(
    options: &RunOptions,
    measured: &mut MeasuredValues,
) -> Result<Vec<Table>, MeasureError> {
    let mut tables = vec![
        group_table(options, measured)?,
        record_table(options, measured)?,
    ];
    for table in &mut tables {
        table.condition(options.command("state"));
    }
    Ok(tables)
}

fn group_table(options: &RunOptions, measured: &mut MeasuredValues) -> Result<Table, MeasureError> {
    let mut table = Table::new(
        "A domain group without idempotency records",
        &[
            "size",
            "VMs",
            "targets",
            "shards",
            "leader's reducer, % of a core",
            "snapshot, bytes",
        ],
    );
    let time = Duration::from_secs(10);
    table.condition(format!(
        "leader's reducer: time spent in Leader::step over {} s of simulated time with all renewals, \
         a tick every 10 ms and load reports of {REQUEST_RATE} requests/s per shard; seeds {:?}; min / \
         median / max; Raft, messages and threads are not included",
        time.as_secs(),
        options.seeds()
    ));
    for size in SIZES {
        let mut parts = Vec::new();
        let mut bytes = 0;
        for seed in options.seeds() {
            let service = keyed_service("measured", size.shards, 6);
            let rates = vec![REQUEST_RATE; size.shards as usize];
            let mut group = SimulatedGroup::new(service, size.vms, size.targets, rates, seed);
            group.run(SETTLE_TIME, f64::INFINITY);
            parts.push(group.leader_cpu_fraction(time) * 100.0);
            let encoded = group.state_mut().encode();
            let encoded =
                encoded.map_err(|err| MeasureError::unexpected("state", err.to_string()))?;
            bytes = encoded.len();
        }
        let part = Spread::of(parts);
        table.row([
            size.name.to_string(),
            size.vms.to_string(),
            size.targets.to_string(),
            size.shards.to_string(),
            format!("{part:.3}"),
            bytes.to_string(),
        ]);
        if size.name == "design" {
            measured.set("state.leader_percent", part.median);
            measured.set("state.snapshot_bytes", bytes as f64);
        }
    }
    Ok(table)
}

/// Measures the memory that idempotency records take and the time to apply their commands.
fn record_table(
    options: &RunOptions,
    measured: &mut MeasuredValues,
) -> Result<Table, MeasureError> {
    let count: u64 = if options.trial { 20_000 } else { 200_000 };
    let shards = 1_088;
    let service = keyed_service("measured", shards, 6);
    let name = service.name.clone();
    let mut group = SimulatedGroup::new(service, 3, 4, vec![0.0; shards as usize], 1);
    group.run(SETTLE_TIME, f64::INFINITY);
    let state = group.state_mut();
    let first = state.index() + 1;
    let response = StoredResponse {
        status: 200,
        headers: vec![("content-type".into(), "application/json".into())],
        body: vec![b'x'; BODY_SIZE],
    };
    let read_resident =
        || read_resident_kb(std::process::id()).map_err(MeasureError::file("read memory"));
    let before = read_resident()?;
    let start = Instant::now();
    for number in 0..count {
        let shard = ShardRef::new(&name, (number % u64::from(shards)) as u32);
        let owned = state
            .shard(&shard)
            .filter(|s| matches!(s.phase, Phase::Held(_)));
        let Some(token) = owned.map(|entry| entry.token) else {
            return Err(MeasureError::unexpected("state", "a shard has no owner"));
        };
        // Multiplying by 2^64 / golden ratio spreads the keys evenly, as real digests are.
        let mut bytes = [0; 32];
        let word = number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes();
        bytes[..8].copy_from_slice(&word);
        let key = Digest(bytes);
        let request = u128::from(number) + 1;
        state.apply(
            first + 2 * number,
            1,
            &Command::CreateRecord {
                shard,
                token,
                key,
                request,
            },
        );
        state.apply(
            first + 2 * number + 1,
            1,
            &Command::FinishRecord {
                key,
                request,
                response: Some(response.clone()),
            },
        );
    }
    let apply_us = start.elapsed().as_secs_f64() / count as f64 * 1e6;
    let bytes = (read_resident()? - before) * 1024.0 / count as f64;
    let stored = state.record_count();
    let mut table = Table::new(
        "Idempotency records",
        &[
            "records",
            "memory per record, bytes",
            "Record and Finish applied, µs",
        ],
    );
    table.condition(format!(
        "responses with a body of {BODY_SIZE} bytes; resident memory of this process; one run"
    ));
    table.row([
        stored.to_string(),
        format!("{bytes:.0}"),
        format!("{apply_us:.1}"),
    ]);
    measured.set("state.record_bytes", bytes);
    measured.set("state.record_us", apply_us);
    Ok(table)
}
