//! Random histories of the control group, checked against a simple model.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};

use camphordale_fleet::{
    Call,
    CallToken,
    Control,
    Reply,
    Routing, //
};
use rand::Rng;

use crate::cluster::{
    TestCluster,
    change,
    ms, //
};

/// Random histories of partitions, message loss, restarts and lost disks with concurrent changes,
/// checked against a simple model of what operators were told.
#[test]
fn random_histories_lose_no_acknowledged_change() {
    let accepted: usize = (0..300).map(history).sum();
    assert!(accepted > 3000, "only {accepted} changes were accepted");
}

/// Returns the number of accepted changes.
fn history(seed: u64) -> usize {
    let mut cluster = TestCluster::new(1000 + seed);
    let all: Vec<SocketAddr> = cluster.vms.keys().copied().collect();
    let mut new_id = 1u64 << 63;
    let mut marker = 0;
    // Changes in progress: token, base, version, marker. Accepted changes: base to marker.
    let mut asked: Vec<(CallToken, u64, u64, u64)> = Vec::new();
    let mut accepted: BTreeMap<u64, u64> = BTreeMap::new();
    let mut newest = 0;
    let mut reads: Vec<(CallToken, u64)> = Vec::new();
    for _ in 0..60 {
        cluster.run(ms(200));
        match cluster.random.random_range(0..12) {
            0 => {
                let at = all[cluster.random.random_range(0..3)];
                cluster.isolate(at);
            }
            1 => cluster.blocked.clear(),
            2 => cluster.loss = [0.0, 0.1, 0.3][cluster.random.random_range(0..3)],
            3 | 4 => {
                let at = all[cluster.random.random_range(0..3)];
                cluster.stop(at);
                cluster.run(ms(50));
                cluster.start(at);
            }
            5 if cluster.is_repaired() => {
                let at = all[cluster.random.random_range(0..3)];
                // Only one disk may be lost until the group has repaired itself.
                new_id += 1;
                cluster.wipe(at, new_id);
                cluster.blocked.clear();
                cluster.loss = 0.0;
            }
            _ => {}
        }
        for _ in 0..2 {
            marker += 1;
            let at = all[cluster.random.random_range(0..3)];
            let known = cluster.vms[&at].control.as_ref().map(Control::state);
            let routing = known.and_then(|state| state.view.routing.clone());
            let base = routing
                .unwrap_or_else(|| Arc::new(Routing::default()))
                .version;
            let version = base + cluster.random.random_range(1..3);
            let call = Call::Change(Box::new(change(base, version, marker)));
            let token = cluster.call(at, call);
            asked.push((token, base, version, marker));
        }
        let at = all[cluster.random.random_range(0..3)];
        reads.push((cluster.call(at, Call::Read), newest));
        for (token, base, version, marker) in &asked {
            if matches!(cluster.reply(*token), Some(Reply::Done { .. })) {
                let other = accepted.insert(*base, *marker);
                assert!(
                    other.is_none_or(|other| other == *marker),
                    "seed {seed}: two accepted changes on base {base}"
                );
                newest = newest.max(*version);
            }
        }
        for (token, least) in &reads {
            if let Some(Reply::Routing(routing)) = cluster.reply(*token) {
                assert!(routing.version >= *least, "seed {seed}: a stale read");
            }
        }
    }
    cluster.blocked.clear();
    cluster.loss = 0.0;
    for at in &all {
        if cluster.vms[at].control.is_none() {
            cluster.start(*at);
        }
    }
    cluster.run(ms(4000));
    if newest > 0 {
        let Reply::Routing(routing) = cluster.ask(Call::Read) else {
            panic!("seed {seed}: no routing");
        };
        assert!(
            routing.version >= newest,
            "seed {seed}: an acknowledged change is lost"
        );
    }
    accepted.len()
}
