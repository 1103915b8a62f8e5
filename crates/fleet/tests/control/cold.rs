//! Cold targets in the registry.

use std::time::Duration;

use camphordale_fleet::{
    Call,
    Event,
    KeyLoad,
    PeerMessage,
    RequestRate,
    TargetState,
    WarmUp, //
};

use crate::{
    cluster::{
        TestCluster,
        announcement,
        ms, //
    },
    scenarios::keyed_change, //
};

fn cluster(seed: u64, cold: bool) -> TestCluster {
    let mut cluster = TestCluster::new(seed);
    let mut change = keyed_change();
    let rate = RequestRate::try_from(6.0).unwrap();
    let time = ms(3000);
    change.services[0].1.spec.cold = cold.then_some(WarmUp { time, rate });
    cluster.ask(Call::Change(Box::new(change)));
    cluster
}

fn announce(cluster: &mut TestCluster, sequence: u64, warm_up: u64) -> TargetState {
    let mut target = announcement(sequence, 100, false);
    target.warm_up = warm_up;
    cluster.ask(Call::Announce(Box::new(target)));
    cluster.run(ms(100));
    cluster.entry.1.targets["t1"].state
}

/// Guards against a log entry for each announcement of a cold target: it is registered as cold with
/// its first one, and again only when it is warm.
#[test]
fn a_cold_target_is_registered_when_it_changes() {
    let mut cluster = cluster(71, true);
    assert_eq!(announce(&mut cluster, 1, 2900), TargetState::Cold);
    // Its keys are assigned.
    cluster.run(ms(3000));
    let index = cluster.entry.1.index;
    assert_eq!(announce(&mut cluster, 2, 2000), TargetState::Cold);
    assert_eq!(announce(&mut cluster, 3, 1100), TargetState::Cold);
    assert_eq!(cluster.entry.1.index, index);
    assert_eq!(announce(&mut cluster, 4, 0), TargetState::Ready);
    assert_eq!(cluster.entry.1.index, index + 1);
    assert_eq!(announce(&mut cluster, 5, 2900), TargetState::Cold);
}

/// Guards against other deployments that pay for a state that they do not use.
#[test]
fn without_a_warm_up_rate_no_target_is_registered_as_cold() {
    let mut cluster = cluster(72, false);
    assert_eq!(announce(&mut cluster, 1, 2900), TargetState::Ready);
    // Its keys are assigned.
    cluster.run(ms(3000));
    let index = cluster.entry.1.index;
    assert_eq!(announce(&mut cluster, 2, 0), TargetState::Ready);
    assert_eq!(cluster.entry.1.index, index);
}

/// Guards against a leader that believes an announcement which its predecessor should have got.
#[test]
fn a_new_leader_asks_for_two_announcements() {
    let mut cluster = cluster(73, true);
    assert_eq!(announce(&mut cluster, 1, 2900), TargetState::Cold);
    let old = cluster.leader().unwrap();
    cluster.stop(old);
    cluster.run(ms(2000));
    assert_eq!(announce(&mut cluster, 2, 0), TargetState::Cold);
    assert_eq!(announce(&mut cluster, 3, 0), TargetState::Ready);
}

/// Guards against keys for a cold target beyond its limit: it takes 6 requests a second, the others 4
/// slots at 150 ms.
#[test]
fn a_cold_target_gets_fewer_keys() {
    let mut cluster = cluster(74, true);
    let leader = cluster.leader().unwrap();
    for number in 0..4u64 {
        let mut target = announcement(1, 100, false);
        target.id = format!("t{number}").into();
        target.address = format!("10.1.0.{}:80", number + 1).parse().unwrap();
        target.warm_up = if number == 0 { 60_000 } else { 0 };
        cluster.call(leader, Call::Announce(Box::new(target)));
    }
    cluster.run(Duration::from_secs(4));
    let map = &cluster.entry.1.keys["s"];
    let keys = |id: &str| -> u32 {
        let own = map.ranges().iter();
        let own = own.filter(|range| range.holder.as_ref().is_some_and(|h| &*h.id == id));
        own.map(|range| u32::from(range.to) - u32::from(range.from) + 1)
            .sum()
    };
    assert!(keys("t0") > 0);
    assert!(
        keys("t0") * 4 < keys("t1"),
        "{} of {}",
        keys("t0"),
        keys("t1")
    );
}

/// Guards against keys that stay at a holder that turned cold under load, although the others have
/// room for them.
#[test]
fn keys_move_away_from_a_holder_that_turned_cold_under_load() {
    let mut cluster = cluster(75, true);
    let leader = cluster.leader().unwrap();
    let announce_all = |cluster: &mut TestCluster, sequence: u64, warm_up: u64| {
        for number in 0..4u64 {
            let mut target = announcement(sequence, 100, false);
            target.id = format!("t{number}").into();
            target.address = format!("10.1.0.{}:80", number + 1).parse().unwrap();
            target.warm_up = if number == 0 { warm_up } else { 0 };
            cluster.call(leader, Call::Announce(Box::new(target)));
        }
    };
    // 40 requests a second, evenly over all keys; each warm target takes 26.
    let send_load = |cluster: &mut TestCluster| {
        for _ in 0..10 {
            let load = KeyLoad {
                service: "s".into(),
                total: 8,
                sample: (0..48).map(|part| part * 1365).collect(),
            };
            let message = PeerMessage::Ping {
                sent: cluster.now,
                index: cluster.entry.1.index,
                load: vec![load],
                latencies: Vec::new(),
            };
            cluster.step(leader, Event::Stream { conn: 1, message });
            cluster.run(ms(200));
        }
    };
    announce_all(&mut cluster, 1, 0);
    cluster.run(ms(2200));
    send_load(&mut cluster);
    assert!(cluster.moving.is_empty(), "{:?}", cluster.moving);
    announce_all(&mut cluster, 2, 3000);
    send_load(&mut cluster);
    assert!(!cluster.moving.is_empty());
    let map = &cluster.entry.1.keys["s"];
    for ((from, _), next) in &cluster.moving {
        let holder = map.find(*from).holder.as_ref();
        assert!(holder.is_some_and(|holder| &*holder.id == "t0"));
        assert_ne!(&**next, "t0");
    }
}
