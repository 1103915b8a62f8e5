//! Random histories, compared with a naive record.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};

use camphordale_fleet::{
    Call,
    CallToken, //
    Control,
    Reply,
    Routing,
};
use rand::Rng;

use crate::cluster::{
    World,
    change,
    ms, //
};

/// Random histories of cuts, losses, restarts and lost disks, with racing changes. Compared with a
/// naive record of what operators were told.
#[test]
fn random_histories_lose_no_acknowledged_change() {
    let accepted: usize = (0..300).map(history).sum();
    assert!(accepted > 3000, "{accepted} changes were accepted");
}

/// Returns how many changes were accepted.
fn history(seed: u64) -> usize {
    let mut world = World::new(1000 + seed);
    let all: Vec<SocketAddr> = world.vms.keys().copied().collect();
    let mut fresh_id = 1u64 << 63;
    let mut mark = 0;
    // Changes under way: token, base, version, mark. Accepted: base to mark.
    let mut asked: Vec<(CallToken, u64, u64, u64)> = Vec::new();
    let mut accepted: BTreeMap<u64, u64> = BTreeMap::new();
    let mut newest = 0;
    let mut reads: Vec<(CallToken, u64)> = Vec::new();
    for _ in 0..60 {
        world.run(ms(200));
        match world.random.random_range(0..12) {
            0 => {
                let at = all[world.random.random_range(0..3)];
                world.separate(at);
            }
            1 => world.cut.clear(),
            2 => world.loss = [0.0, 0.1, 0.3][world.random.random_range(0..3)],
            3 | 4 => {
                let at = all[world.random.random_range(0..3)];
                world.stop(at);
                world.run(ms(50));
                world.start(at);
            }
            5 if world.is_repaired() => {
                let at = all[world.random.random_range(0..3)];
                // One disk may be lost at a time, until the group has repaired itself.
                fresh_id += 1;
                world.wipe(at, fresh_id);
                world.cut.clear();
                world.loss = 0.0;
            }
            _ => {}
        }
        for _ in 0..2 {
            mark += 1;
            let at = all[world.random.random_range(0..3)];
            let known = world.vms[&at].control.as_ref().map(Control::state);
            let routing = known.and_then(|state| state.view.routing.clone());
            let base = routing
                .unwrap_or_else(|| Arc::new(Routing::default()))
                .version;
            let version = base + world.random.random_range(1..3);
            let call = Call::Change(Box::new(change(base, version, mark)));
            let token = world.call(at, call);
            asked.push((token, base, version, mark));
        }
        let at = all[world.random.random_range(0..3)];
        reads.push((world.call(at, Call::Read), newest));
        for (token, base, version, mark) in &asked {
            if matches!(world.reply(*token), Some(Reply::Done { .. })) {
                let other = accepted.insert(*base, *mark);
                assert!(
                    other.is_none_or(|other| other == *mark),
                    "seed {seed}: two changes on base {base}"
                );
                newest = newest.max(*version);
            }
        }
        for (token, least) in &reads {
            if let Some(Reply::Routing(routing)) = world.reply(*token) {
                assert!(routing.version >= *least, "seed {seed}: a stale read");
            }
        }
    }
    world.cut.clear();
    world.loss = 0.0;
    for at in &all {
        if world.vms[at].control.is_none() {
            world.start(*at);
        }
    }
    world.run(ms(4000));
    if newest > 0 {
        let Reply::Routing(routing) = world.ask(Call::Read) else {
            panic!("seed {seed}: no routing");
        };
        assert!(routing.version >= newest, "seed {seed}: a change is lost");
    }
    accepted.len()
}
