//! State of a domain group and the time of its leader's reducer.

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
    Run,
    Slopes,
    Spread,
    Table,
    deployment::resident,
    placement::group::Group,
    service::keyed_service, //
};

/// Requests per second of each shard while the leader's time is measured.
const RATE: f64 = 10.0;

/// Time until a simulated group is settled.
const SETTLE: Duration = Duration::from_secs(15);

/// Body of the answer in a record, in bytes.
const BODY: usize = 200;

/// Size of a group: today's domains, the same with more of one thing, and the design size.
struct Size {
    name: &'static str,
    vms: u32,
    targets: usize,
    shards: u32,
}

/// The sizes.
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

/// Measures the section.
///
/// # Errors
///
/// Fails when the memory of this process cannot be read or the state cannot be encoded.
pub fn measure(run: &Run, slopes: &mut Slopes) -> Result<Vec<Table>, MeasureError> {
    let mut tables = vec![groups(run, slopes)?, records(run, slopes)?];
    for table in &mut tables {
        table.condition(run.command("state"));
    }
    Ok(tables)
}

fn groups(run: &Run, slopes: &mut Slopes) -> Result<Table, MeasureError> {
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
        "leader's reducer: time in Leader::step over {} s of simulated time with all renewals, \
         a tick every 10 ms and load reports of {RATE} requests/s per shard; seeds {:?}; min / \
         median / max; Raft, messages and threads are not in it",
        time.as_secs(),
        run.seeds()
    ));
    for size in SIZES {
        let mut parts = Vec::new();
        let mut bytes = 0;
        for seed in run.seeds() {
            let service = keyed_service("measured", size.shards, 6);
            let rates = vec![RATE; size.shards as usize];
            let mut group = Group::new(service, size.vms, size.targets, rates, seed);
            group.run(SETTLE, f64::INFINITY);
            parts.push(group.leader_part(time) * 100.0);
            let encoded = group.state_mut().encode();
            let encoded = encoded.map_err(|err| MeasureError::result("state", err.to_string()))?;
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
            slopes.set("state.leader_percent", part.median);
            slopes.set("state.snapshot_bytes", bytes as f64);
        }
    }
    Ok(table)
}

/// Measures the memory and the time of idempotency records.
fn records(run: &Run, slopes: &mut Slopes) -> Result<Table, MeasureError> {
    let count: u64 = if run.trial { 20_000 } else { 200_000 };
    let shards = 1_088;
    let service = keyed_service("measured", shards, 6);
    let name = service.name.clone();
    let mut group = Group::new(service, 3, 4, vec![0.0; shards as usize], 1);
    group.run(SETTLE, f64::INFINITY);
    let state = group.state_mut();
    let first = state.index() + 1;
    let answer = StoredResponse {
        status: 200,
        headers: vec![("content-type".into(), "application/json".into())],
        body: vec![b'x'; BODY],
    };
    let read = || resident(std::process::id()).map_err(MeasureError::file("read memory"));
    let before = read()?;
    let start = Instant::now();
    for number in 0..count {
        let shard = ShardRef::new(&name, (number % u64::from(shards)) as u32);
        let held = state
            .shard(&shard)
            .filter(|s| matches!(s.phase, Phase::Held(_)));
        let Some(token) = held.map(|entry| entry.token) else {
            return Err(MeasureError::result("state", "a shard has no owner"));
        };
        // Spreads the keys, as digests are.
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
                response: Some(answer.clone()),
            },
        );
    }
    let took = start.elapsed().as_secs_f64() / count as f64 * 1e6;
    let bytes = (read()? - before) * 1024.0 / count as f64;
    let kept = state.record_count();
    let mut table = Table::new(
        "Idempotency records",
        &[
            "records",
            "memory per record, bytes",
            "Record and Finish applied, µs",
        ],
    );
    table.condition(format!(
        "answers with a body of {BODY} bytes; resident memory of this process; one run"
    ));
    table.row([
        kept.to_string(),
        format!("{bytes:.0}"),
        format!("{took:.1}"),
    ]);
    slopes.set("state.record_bytes", bytes);
    slopes.set("state.record_us", took);
    Ok(table)
}
