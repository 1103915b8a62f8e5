//! Restarts of a Raft member with its store.

use std::{
    path::Path,
    time::Duration, //
};

use camphordale_raft::{
    Config,
    DurableWrite,
    Effect,
    Event,
    Members,
    Payload,
    Raft,
    RecoveredState,
    Snapshot, //
};
use camphordale_store::Store;
use tempfile::tempdir;

/// Data of the entries applied so far.
type Applied = Vec<Vec<u8>>;

fn handle_effects(store: &mut Store, applied: &mut Applied, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Persist(write) => store.persist(&write).expect("the disk works"),
            Effect::Apply {
                payload: Payload::Data(data),
                ..
            } => applied.push(data.to_vec()),
            _ => {}
        }
    }
}

/// Runs a single-member group until it has applied `commands`, with a compaction in the middle.
/// Returns the state of the state machine at the end.
fn run(dir: &Path, commands: std::ops::Range<u32>) -> Applied {
    let (mut store, mut recovered) = Store::open(dir).expect("the store opens");
    if recovered == RecoveredState::default() {
        let members = Members {
            voters: [1].into(),
            ..Members::default()
        };
        recovered.snapshot = Some(Snapshot {
            members,
            ..Snapshot::default()
        });
        let snapshot = recovered.snapshot.clone();
        let write = DurableWrite {
            snapshot,
            ..DurableWrite::default()
        };
        store.persist(&write).expect("the disk works");
    }
    let snapshot = recovered.snapshot.iter();
    let data = snapshot.flat_map(|snapshot| snapshot.data.chunks(4));
    let mut applied: Applied = data.map(<[u8]>::to_vec).collect();
    let config = Config {
        id: 1,
        election_timeout: Duration::from_millis(400),
        lease: Duration::from_millis(400),
        heartbeat_interval: Duration::from_millis(100),
        max_batch: 64,
        max_batch_bytes: 1 << 20,
        seed: 1,
    };
    let mut raft = Raft::new(config, recovered);
    let middle = commands.start.midpoint(commands.end);
    for now in [0, 400] {
        let effects = raft.step(Event::Tick, Duration::from_millis(now));
        handle_effects(&mut store, &mut applied, effects);
    }
    for command in commands {
        let data = command.to_le_bytes().to_vec();
        let propose = Event::Propose { id: 1, data };
        let effects = raft.step(propose, Duration::from_millis(401));
        handle_effects(&mut store, &mut applied, effects);
        if command == middle {
            let (index, data) = (raft.applied_index(), applied.concat());
            let effects = raft.step(Event::Compact { index, data }, Duration::from_millis(401));
            handle_effects(&mut store, &mut applied, effects);
        }
    }
    applied
}

/// Guards against entries that are lost or applied twice when a member restarts from a snapshot
/// and the log after it.
#[test]
fn member_recovers_from_its_store() {
    let dir = tempdir().expect("a directory");
    for runs in 1..=4u32 {
        let applied = run(dir.path(), (runs - 1) * 60..runs * 60);
        let expected: Applied = (0..runs * 60).map(|at| at.to_le_bytes().to_vec()).collect();
        assert_eq!(applied, expected);
    }
}
