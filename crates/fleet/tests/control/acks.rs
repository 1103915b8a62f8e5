//! Acknowledgements, which promise that the entry VMs act on what was acknowledged.

use std::net::SocketAddr;

use camphordale_fleet::{
    Call,
    CallToken,
    Change,
    ConfigResource,
    Event,
    FleetVersions,
    KeyDelivery,
    LogEvent,
    PeerMessage,
    Reply,
    RetryPolicy,
    Route,
    Service,
    Version,
    WeightedService, //
};
use rstest::rstest;

use crate::cluster::{
    TestCluster,
    announce,
    change,
    ms, //
};

const DONE: Reply = Reply::Done { is_leader: true };

/// A change to a routing with the service of the targets.
fn routing(base: Version, version: Version) -> Change {
    let spec = Service {
        health_path: "/health".into(),
        max_connections: 10,
        keys: KeyDelivery::Unkeyed,
        warm_up: ms(0),
        cold: None,
    };
    let document = "s".into();
    Change {
        services: vec![("s".into(), ConfigResource { spec, document })],
        ..change(base, version, version)
    }
}

/// A cluster at version 2 of the routing. The leader was elected long ago.
struct Fleet {
    cluster: TestCluster,
    leader: SocketAddr,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut cluster = TestCluster::new(seed);
        cluster.ask(Call::Change(Box::new(routing(0, 2))));
        cluster.run(ms(4000));
        cluster.acks.clear();
        let leader = cluster.leader().unwrap();
        Fleet { cluster, leader }
    }

    fn run(&mut self, time: u64) {
        self.cluster.run(ms(time));
    }

    fn send(&mut self, conn: u64, message: PeerMessage) {
        let event = Event::Stream { conn, message };
        self.cluster.step(self.leader, event);
    }

    /// Subscribes an entry VM that takes contents in parts and has all but later versions.
    fn follow(&mut self, conn: u64, version: Version) {
        let message = PeerMessage::Follow {
            entry_id: conn,
            domain: "a".into(),
            index: self.cluster.entry.1.index,
            version,
        };
        self.send(conn, message);
    }

    /// Sends a ping of an entry VM that has all but the routing.
    fn ping(&mut self, conn: u64) {
        let message = PeerMessage::Ping {
            sent: self.cluster.now,
            index: self.cluster.entry.1.index,
            load: Vec::new(),
            latencies: Vec::new(),
        };
        self.send(conn, message);
    }

    fn close(&mut self, conn: u64) {
        self.cluster.step(self.leader, Event::StreamClosed(conn));
    }

    fn submit(&mut self, base: Version, version: Version) -> CallToken {
        let change = Box::new(routing(base, version));
        self.cluster.call(self.leader, Call::Change(change))
    }

    /// Submits version 3, which adds routes.
    fn submit_routes(&mut self, count: usize) -> CallToken {
        let routes = (0..count).map(|number| {
            let spec = Route {
                host: "a.example".into(),
                path_prefix: format!("/{number}/").into(),
                retry_policy: RetryPolicy::Idempotent,
                large_bodies: false,
                timeout: ms(800),
                latency_objective: ms(400),
                priority: 2,
                max_attempts: 2,
                split: vec![WeightedService {
                    service: "s".into(),
                    weight: 1.0,
                }],
            };
            let document = number.to_string().into();
            let name = format!("r-{number}").into();
            (name, ConfigResource { spec, document })
        });
        let change = Change {
            routes: routes.collect(),
            ..routing(2, 3)
        };
        self.cluster
            .call(self.leader, Call::Change(Box::new(change)))
    }

    fn leave(&mut self) -> CallToken {
        let leave = Call::Leave {
            id: "t1".into(),
            incarnation: Some(100),
        };
        self.cluster.call(self.leader, leave)
    }

    fn reply(&self, token: CallToken) -> Option<&Reply> {
        self.cluster.reply(token)
    }

    /// Runs until a call has its reply, and returns the milliseconds. The entry VM that follows sends
    /// pings.
    fn time_to_reply(&mut self, token: CallToken) -> u64 {
        let mut took = 0;
        while self.reply(token).is_none() {
            self.run(5);
            took += 5;
            if took % 100 == 0 {
                self.ping(9);
            }
            assert!(took < 10_000, "no reply");
        }
        took
    }

    fn versions(&self) -> FleetVersions {
        let leader = &self.cluster.vms[&self.leader];
        leader.control.as_ref().unwrap().fleet_versions()
    }
}

/// Guards against a change that is stuck on its way to some entry VMs, which nothing shows.
#[test]
fn the_leader_knows_which_versions_the_fleet_has() {
    let mut fleet = Fleet::new(201);
    fleet.follow(9, 2);
    fleet.submit(2, 3);
    fleet.run(400);
    let with = |oldest, behind, lost| FleetVersions {
        newest: 3,
        oldest,
        behind,
        lost,
    };
    assert_eq!(fleet.versions(), with(2, 1, 0));
    fleet.ping(9);
    fleet.close(9);
    assert_eq!(fleet.versions(), with(2, 1, 1));
    fleet.follow(9, 2);
    assert_eq!(fleet.versions(), with(2, 1, 0));
    fleet.send(9, PeerMessage::RoutingInForce(3));
    assert_eq!(fleet.versions(), with(3, 0, 0));
    fleet.close(9);
    assert_eq!(fleet.versions(), with(3, 0, 1));
    fleet.run(3500);
    assert_eq!(fleet.versions(), with(3, 0, 0));
}

/// Guards against an acknowledgement without any sign that entry VMs lacked the change.
#[test]
fn an_acknowledgement_is_logged_with_the_entry_vms_that_are_behind() {
    let mut fleet = Fleet::new(202);
    fleet.follow(9, 2);
    fleet.submit(2, 3);
    for _ in 0..10 {
        fleet.run(100);
        fleet.ping(9);
    }
    let [
        LogEvent::Acknowledged {
            version,
            behind,
            oldest,
            ..
        },
    ] = fleet.cluster.acks[..]
    else {
        panic!("{:?}", fleet.cluster.acks);
    };
    assert_eq!((version, behind, oldest), (Some(3), 1, 2));
}

/// Guards against a change that is acknowledged as soon as its notice has arrived: the rest of the
/// view runs ahead of the routing.
#[test]
fn a_change_is_not_acknowledged_for_an_index_that_runs_ahead_of_the_routing() {
    let mut fleet = Fleet::new(203);
    fleet.follow(9, 2);
    let token = fleet.submit(2, 3);
    fleet.run(200);
    fleet.ping(9);
    assert_eq!(fleet.reply(token), None, "before the VM acts on it");
    fleet.send(9, PeerMessage::RoutingInForce(3));
    assert_eq!(fleet.reply(token), Some(&DONE));
}

/// Guards against a repeated change that waits for its own index, which is never streamed.
#[test]
fn a_repeated_change_that_all_vms_have_is_acknowledged_at_once() {
    let mut fleet = Fleet::new(211);
    fleet.follow(9, 2);
    fleet.ping(9);
    let token = fleet.submit(0, 2);
    assert!(fleet.time_to_reply(token) < 100);
}

/// Guards against a change that is acknowledged although VMs that serve on have lost their streams,
/// as all of them may have in a large change.
#[test]
fn a_change_waits_for_a_vm_that_has_lost_its_stream() {
    let mut fleet = Fleet::new(204);
    fleet.follow(9, 2);
    fleet.close(9);
    let token = fleet.submit(2, 3);
    fleet.run(200);
    assert_eq!(fleet.reply(token), None, "while the VM acts on version 2");
    fleet.follow(9, 2);
    fleet.run(100);
    assert_eq!(fleet.reply(token), None, "while the VM acts on version 2");
    fleet.send(9, PeerMessage::RoutingInForce(3));
    assert_eq!(fleet.reply(token), Some(&DONE));
}

/// Guards against a leave that is acknowledged while a VM without a stream still sends requests to
/// the target.
#[test]
fn a_leave_waits_for_a_vm_that_has_lost_its_stream() {
    let mut fleet = Fleet::new(205);
    fleet.cluster.ask(announce(1, 100, false));
    fleet.run(500);
    fleet.follow(9, 2);
    fleet.close(9);
    let token = fleet.leave();
    fleet.run(200);
    assert_eq!(fleet.reply(token), None, "while the VM does not know");
    fleet.follow(9, 2);
    fleet.run(50);
    assert_eq!(fleet.reply(token), Some(&DONE));
}

/// Guards against acknowledgements that are all late because a VM was killed and does not come back.
#[test]
fn a_vm_that_was_killed_delays_acknowledgements_for_three_seconds_only() {
    let mut fleet = Fleet::new(206);
    fleet.follow(9, 2);
    fleet.close(9);
    let token = fleet.submit(2, 3);
    assert!((500..700).contains(&fleet.time_to_reply(token)));
    fleet.run(3000);
    let token = fleet.submit(3, 4);
    assert!(fleet.time_to_reply(token) < 200);
}

/// Guards against a new leader that knows no entry VM yet and acknowledges at once.
#[test]
fn a_new_leader_waits_for_the_subscriptions_of_the_entry_vms() {
    let mut fleet = Fleet::new(207);
    fleet.cluster.stop(fleet.leader);
    while fleet.cluster.leader().is_none() {
        fleet.run(5);
    }
    fleet.leader = fleet.cluster.leader().unwrap();
    let token = fleet.submit(2, 3);
    fleet.run(300);
    assert_eq!(fleet.cluster.entry.1.routing.as_ref().unwrap().version, 3);
    assert_eq!(fleet.reply(token), None, "before all had time to subscribe");
    fleet.run(400);
    assert_eq!(fleet.reply(token), Some(&DONE));
    fleet.run(1500);
    let token = fleet.submit(3, 4);
    assert!(fleet.time_to_reply(token) < 200);
    let acks = fleet.cluster.acks.iter();
    let is_new = acks.map(|ack| matches!(ack, LogEvent::Acknowledged { is_new: true, .. }));
    assert!(is_new.eq([true, false]), "{:?}", fleet.cluster.acks);
}

/// Guards against a large change that is acknowledged before a VM on a thin link can have it, and
/// against one that waits without a bound.
#[test]
fn a_change_waits_longer_the_more_routes_it_changes() {
    for (routes, limit) in [(0, 500), (100, 800), (1000, 3500)] {
        let mut fleet = Fleet::new(208);
        fleet.follow(9, 2);
        let token = fleet.submit_routes(routes);
        let took = fleet.time_to_reply(token);
        assert!((limit..limit + 200).contains(&took), "{routes}: {took} ms");
    }
    let mut fleet = Fleet::new(208);
    fleet.follow(9, 2);
    let token = fleet.submit_routes(1000);
    for _ in 0..30 {
        fleet.run(100);
        fleet.ping(9);
    }
    assert_eq!(fleet.reply(token), None, "after 3 s");
    fleet.send(9, PeerMessage::RoutingInForce(3));
    assert_eq!(fleet.reply(token), Some(&DONE));
}

/// Guards against a small change that is acknowledged before a large one that it is based on has
/// arrived anywhere, and against one that waits for as long as the large one may.
#[test]
fn a_small_change_waits_for_the_large_one_before_it() {
    for (routes, limit) in [(100, 500), (500, 1700), (3000, 3000)] {
        let mut fleet = Fleet::new(211);
        fleet.follow(9, 2);
        fleet.submit_routes(routes);
        fleet.run(300);
        let change = Change {
            replace_all: false,
            ..routing(3, 4)
        };
        let call = Call::Change(Box::new(change));
        let token = fleet.cluster.call(fleet.leader, call);
        let took = fleet.time_to_reply(token);
        assert!((limit..limit + 200).contains(&took), "{routes}: {took} ms");
    }
}

/// Guards against a repeated change that is acknowledged while the first one still waits.
#[test]
fn a_repeated_change_waits_for_the_version_that_it_repeats() {
    let mut fleet = Fleet::new(210);
    fleet.follow(9, 2);
    let first = fleet.submit_routes(1000);
    fleet.run(1000);
    let second = fleet.submit_routes(1000);
    for _ in 0..10 {
        fleet.run(100);
        fleet.ping(9);
    }
    assert_eq!(fleet.reply(first), None, "after 2 s");
    assert_eq!(fleet.reply(second), None, "a second after the repetition");
    fleet.send(9, PeerMessage::RoutingInForce(3));
    assert_eq!(fleet.reply(first), Some(&DONE));
    assert_eq!(fleet.reply(second), Some(&DONE));
}

/// Guards against a change and a leave that are acknowledged because leadership is lost, while no
/// entry VM has them.
#[test]
fn what_no_vm_has_is_not_acknowledged_when_leadership_is_lost() {
    let mut fleet = Fleet::new(209);
    fleet.cluster.ask(announce(1, 100, false));
    fleet.run(500);
    fleet.follow(9, 2);
    let calls = [fleet.submit(2, 3), fleet.leave()];
    fleet.run(100);
    assert_eq!(fleet.versions().newest, 3);
    for token in calls {
        assert_eq!(fleet.reply(token), None);
    }
    fleet.cluster.vms.get_mut(&fleet.leader).unwrap().disk_full = true;
    fleet.submit(3, 4);
    assert_ne!(fleet.cluster.leader(), Some(fleet.leader));
    for token in calls {
        let reply = fleet.reply(token);
        assert!(matches!(reply, Some(Reply::Unavailable(_))), "{reply:?}");
    }
    // The next leader acknowledges the same orders.
    fleet.run(4000);
    fleet.leader = fleet.cluster.leader().unwrap();
    let calls = [fleet.submit(2, 3), fleet.leave()];
    fleet.run(200);
    for token in calls {
        assert_eq!(fleet.reply(token), Some(&DONE));
    }
}

/// Guards against a leave that is acknowledged at once because it was sent before, while the entry
/// VMs do not know of it.
#[test]
fn a_repeated_leave_waits_for_the_entry_vms() {
    let mut fleet = Fleet::new(212);
    fleet.cluster.ask(announce(1, 100, false));
    fleet.run(500);
    fleet.follow(9, 2);
    let first = fleet.leave();
    fleet.run(100);
    let second = fleet.leave();
    fleet.run(100);
    assert_eq!(fleet.reply(first), None, "before the VM knows");
    assert_eq!(fleet.reply(second), None, "before the VM knows");
    fleet.ping(9);
    assert_eq!(fleet.reply(first), Some(&DONE));
    assert_eq!(fleet.reply(second), Some(&DONE));
    let token = fleet.leave();
    assert_eq!(fleet.reply(token), Some(&DONE), "all VMs know");
}

/// Guards against a draining target whose next announcement is acknowledged at once, while the entry
/// VMs do not know that it drains.
#[rstest]
fn a_repeated_announcement_of_a_draining_target_waits_for_the_entry_vms(
    #[values(2, 3)] sequence: u64,
) {
    let mut fleet = Fleet::new(213);
    fleet.cluster.ask(announce(1, 100, false));
    fleet.run(500);
    fleet.follow(9, 2);
    let first = fleet.cluster.call(fleet.leader, announce(2, 100, true));
    let early = fleet
        .cluster
        .call(fleet.leader, announce(sequence, 100, true));
    assert_eq!(fleet.reply(early), None, "before it is committed");
    fleet.run(100);
    let late = fleet
        .cluster
        .call(fleet.leader, announce(sequence, 100, true));
    fleet.run(100);
    for token in [first, early, late] {
        assert_eq!(fleet.reply(token), None, "before the VM knows");
    }
    fleet.ping(9);
    for token in [first, early, late] {
        assert_eq!(fleet.reply(token), Some(&DONE));
    }
}
