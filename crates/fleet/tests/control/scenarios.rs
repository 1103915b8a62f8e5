//! Scenarios of the control group.

use std::{
    collections::BTreeSet,
    net::SocketAddr, //
};

use camphordale_fleet::{
    Call,
    ConfigResource,
    Control,
    Effect,
    Event,
    Holder,
    KeyDelivery,
    KeyLoad,
    KeyRange,
    MemberList,
    PeerMessage,
    Reply,
    Service,
    TargetLatency,
    TargetState,
    View, //
};
use rstest::rstest;

use crate::cluster::{
    TestCluster,
    TestVm,
    announce,
    announcement,
    change,
    config,
    marker_of,
    member,
    ms, //
};

#[test]
fn a_change_is_acknowledged_and_read_back() {
    let mut cluster = TestCluster::new(1);
    let accepted = cluster.ask(Call::Change(Box::new(change(0, 2, 7))));
    assert_eq!(accepted, Reply::Done { is_leader: true });
    let Reply::Routing(routing) = cluster.ask(Call::Read) else {
        panic!("no routing");
    };
    assert_eq!((routing.version, marker_of(&routing)), (2, 7));
    assert_eq!(cluster.entry.1.routing.as_ref().unwrap().version, 2);
}

#[test]
fn a_change_that_was_accepted_is_acknowledged_again_and_another_on_its_base_is_not() {
    let mut cluster = TestCluster::new(2);
    let first = Call::Change(Box::new(change(0, 2, 7)));
    cluster.ask(first.clone());
    let other = cluster.ask(Call::Change(Box::new(change(0, 2, 8))));
    assert_eq!(other, Reply::Stale(2));
    cluster.ask(Call::Change(Box::new(change(2, 5, 9))));
    assert_eq!(cluster.ask(first), Reply::Done { is_leader: true });
}

#[test]
fn a_version_that_does_not_increase_is_rejected() {
    let mut cluster = TestCluster::new(3);
    cluster.ask(Call::Change(Box::new(change(0, 4, 7))));
    let same = cluster.ask(Call::Change(Box::new(change(4, 4, 8))));
    assert!(matches!(same, Reply::Invalid(_)));
}

#[test]
fn a_leader_without_a_quorum_answers_no_read() {
    let mut cluster = TestCluster::new(4);
    cluster.ask(Call::Change(Box::new(change(0, 2, 7))));
    let old = cluster.leader().unwrap();
    cluster.isolate(old);
    let token = cluster.call(old, Call::Read);
    cluster.run(ms(2000));
    let reply = cluster.reply(token);
    assert!(!matches!(reply, Some(Reply::Routing(_))), "{reply:?}");
}

#[test]
fn followers_redirect_to_the_leader() {
    let mut cluster = TestCluster::new(5);
    cluster.run(ms(2000));
    let leader = cluster.leader().unwrap();
    let other = *cluster.vms.keys().find(|at| **at != leader).unwrap();
    let token = cluster.call(other, Call::Read);
    let control = cluster.vms[&leader].member.control;
    assert_eq!(cluster.reply(token), Some(&Reply::Redirect(control)));
}

#[test]
fn a_wiped_member_comes_back_under_a_new_id_and_tolerance_is_restored() {
    let mut cluster = TestCluster::new(6);
    cluster.ask(Call::Change(Box::new(change(0, 2, 7))));
    let all: Vec<SocketAddr> = cluster.vms.keys().copied().collect();
    cluster.wipe(all[0], 1 << 63 | 5);
    cluster.run(ms(6000));
    // The cluster tolerates another loss after the repair: the wiped member and one other form the
    // quorum.
    cluster.stop(all[1]);
    cluster.run(ms(3000));
    let reply = cluster.ask(Call::Change(Box::new(change(2, 3, 8))));
    assert_eq!(reply, Reply::Done { is_leader: true });
    let Reply::Routing(routing) = cluster.ask(Call::Read) else {
        panic!("no routing");
    };
    assert_eq!(marker_of(&routing), 8);
}

#[test]
fn a_member_at_a_new_address_replaces_one_that_is_gone() {
    let mut cluster = TestCluster::new(7);
    cluster.ask(Call::Change(Box::new(change(0, 2, 7))));
    let all: Vec<SocketAddr> = cluster.vms.keys().copied().collect();
    cluster.stop(all[2]);
    let fresh = member(9, 1 << 63 | 9);
    let vm = TestVm::blank(fresh.clone());
    cluster.vms.insert(fresh.peer, vm);
    cluster.start(fresh.peer);
    cluster.run(ms(12_000));
    cluster.stop(all[1]);
    cluster.run(ms(3000));
    let reply = cluster.ask(Call::Change(Box::new(change(2, 3, 8))));
    assert_eq!(reply, Reply::Done { is_leader: true });
}

#[test]
fn late_announcements_change_nothing() {
    let mut cluster = TestCluster::new(8);
    cluster.ask(announce(5, 100, true));
    cluster.ask(announce(4, 100, false));
    assert_eq!(cluster.entry.1.targets["t1"].state, TargetState::Draining);
    cluster.ask(announce(1, 200, false));
    assert_eq!(cluster.entry.1.targets["t1"].state, TargetState::Ready);
    cluster.ask(announce(9, 100, true));
    assert_eq!(cluster.entry.1.targets["t1"].state, TargetState::Ready);
}

#[test]
fn an_address_belongs_to_the_newer_incarnation() {
    let mut cluster = TestCluster::new(9);
    cluster.ask(announce(1, 100, false));
    let mut other = announcement(1, 200, false);
    other.id = "t2".into();
    cluster.ask(Call::Announce(Box::new(other)));
    // A delayed heartbeat of the previous incarnation.
    cluster.ask(announce(2, 100, false));
    let ids: Vec<&str> = cluster.entry.1.targets.keys().map(|id| &**id).collect();
    assert_eq!(ids, ["t2"]);
}

#[test]
fn a_leave_is_durable_before_it_is_acknowledged() {
    let mut cluster = TestCluster::new(10);
    cluster.ask(announce(1, 100, false));
    let leader = cluster.leader().unwrap();
    cluster.isolate(leader);
    let id = "t1".into();
    let token = cluster.call(
        leader,
        Call::Leave {
            id,
            incarnation: Some(100),
        },
    );
    cluster.run(ms(1500));
    assert!(!matches!(cluster.reply(token), Some(Reply::Done { .. })));
}

/// The first routing, with one keyed service.
pub(crate) fn keyed_change() -> camphordale_fleet::Change {
    let mut first = change(0, 2, 7);
    let spec = Service {
        health_path: "/health".into(),
        max_connections: 10,
        keys: KeyDelivery::Call,
        warm_up: ms(0),
        cold: None,
    };
    let document = "{}".into();
    first
        .services
        .push(("s".into(), ConfigResource { spec, document }));
    first
}

/// Guards against a hot key moving to a target that looks fast after two responses only.
#[test]
fn a_hot_key_moves_to_a_target_with_proven_low_latency() {
    let mut cluster = TestCluster::new(14);
    cluster.ask(Call::Change(Box::new(keyed_change())));
    let leader = cluster.leader().unwrap();
    for number in 0..6u64 {
        let mut target = announcement(1, 100, false);
        target.id = format!("t{number}").into();
        target.address = format!("10.1.0.{}:80", number + 1).parse().unwrap();
        cluster.call(leader, Call::Announce(Box::new(target)));
    }
    cluster.run(ms(2200));
    let holder = cluster.entry.1.keys["s"].find(7).holder.clone().unwrap();
    let others: Vec<String> = (0..6).map(|number| format!("t{number}")).collect();
    let mut others = others.iter().filter(|id| **id != *holder.id);
    let (proved, lucky) = (others.next().unwrap(), others.next().unwrap());
    let times = |id: &str, count: u32, mean: u32| TargetLatency {
        id: id.into(),
        count,
        total_ms: count * mean,
    };
    let mut reports = vec![
        times(&holder.id, 100, 150),
        times(proved, 100, 80),
        times(lucky, 2, 50),
    ];
    reports.extend(others.map(|id| times(id, 100, 150)));
    for _ in 0..4 {
        let even = (0..10).map(|part| part * 6000);
        let load = KeyLoad {
            service: "s".into(),
            total: 30,
            sample: std::iter::repeat_n(7, 20).chain(even).collect(),
        };
        let message = PeerMessage::Ping {
            sent: cluster.now,
            index: cluster.entry.1.index,
            load: vec![load],
            latencies: std::mem::take(&mut reports),
        };
        cluster.step(leader, Event::Stream { conn: 1, message });
        cluster.run(ms(200));
    }
    let hot = cluster.moving.iter().find(|(range, _)| *range == (7, 7));
    assert_eq!(hot.map(|(_, next)| &**next), Some(&**proved));
}

/// Guards against a second assignment of keys while the first is still being committed, after which
/// two targets held the same keys. It occurred with 78 entry VMs.
#[test]
fn keys_are_assigned_once_even_if_commits_are_slow() {
    let mut cluster = TestCluster::new(11);
    let first = keyed_change();
    cluster.ask(Call::Change(Box::new(first)));
    cluster.delay = 300;
    let leader = cluster.leader().unwrap();
    for step in 0..100u64 {
        let number = step / 10;
        let mut target = announcement(1 + step, 100, false);
        target.id = format!("t{number}").into();
        target.address = format!("10.1.0.{}:80", number + 1).parse().unwrap();
        cluster.call(leader, Call::Announce(Box::new(target)));
        cluster.run(ms(40));
    }
    cluster.run(ms(3000));
    // Moves need a release, and no order is answered here, so each key is assigned once.
    let width: u32 = cluster.assigned.iter().map(KeyRange::width).sum();
    assert_eq!(width, 65536);
}

/// Guards against keys that stay without a holder for good because the leader was lost between the
/// commits of the first assignments: the next one saw some keys held and assigned no others.
#[rstest]
fn all_keys_are_held_after_a_leader_is_lost_between_the_first_assignments(
    #[values(KeyDelivery::Call, KeyDelivery::Heartbeat)] delivery: KeyDelivery,
    #[values(21, 22, 23, 24, 25)] seed: u64,
) {
    let mut cluster = TestCluster::new(seed);
    let mut first = keyed_change();
    first.services[0].1.spec.keys = delivery;
    cluster.ask(Call::Change(Box::new(first)));
    let lost = cluster.leader().unwrap();
    announce_targets(&mut cluster, 1);
    let held = |cluster: &TestCluster, at: SocketAddr| -> Vec<KeyRange> {
        let control = cluster.vms[&at].control.as_ref().unwrap();
        let map = control.state().view.keys.get("s");
        let ranges = map.into_iter().flat_map(|map| map.ranges());
        ranges.filter(|r| r.holder.is_some()).cloned().collect()
    };
    let deadline = cluster.now + ms(5000);
    while held(&cluster, lost).is_empty() {
        assert!(cluster.now < deadline, "no keys were assigned");
        cluster.run(ms(5));
    }
    let committed = held(&cluster, lost);
    assert_eq!(committed.len(), 1, "the assignments were committed at once");
    // The leader sends the other assignments once the first is acknowledged.
    cluster.stop(lost);
    cluster.in_transit.retain(|(_, from, ..)| *from != lost);
    for sequence in 2..12 {
        cluster.run(ms(500));
        announce_targets(&mut cluster, sequence);
    }
    cluster.run(ms(500));
    let leader = cluster.leader().unwrap();
    let all = held(&cluster, leader);
    let width: u32 = all.iter().map(KeyRange::width).sum();
    assert_eq!(width, 65536, "{all:?}");
    let kept = all.iter().find(|range| range.from == committed[0].from);
    assert_eq!(kept.unwrap().holder, committed[0].holder);
    let holders: BTreeSet<_> = all.iter().map(|range| &range.holder).collect();
    assert_eq!(holders.len(), 6, "{all:?}");
}

/// Six targets announce themselves to the leader, if there is one.
fn announce_targets(cluster: &mut TestCluster, sequence: u64) {
    let Some(leader) = cluster.leader() else {
        return;
    };
    for number in 0..6u64 {
        let mut target = announcement(sequence, 100, false);
        target.id = format!("t{number}").into();
        target.address = format!("10.1.0.{}:80", number + 1).parse().unwrap();
        cluster.call(leader, Call::Announce(Box::new(target)));
    }
}

/// Guards against entry VMs that poll for a leader after a restart of the whole fleet and find it
/// 100 to 300 ms after its election.
#[test]
fn a_subscription_waits_for_the_leader() {
    let mut cluster = TestCluster::new(12);
    cluster.ask(Call::Change(Box::new(change(0, 2, 7))));
    let all: Vec<SocketAddr> = cluster.vms.keys().copied().collect();
    for at in &all {
        cluster.stop(*at);
        cluster.start(*at);
    }
    cluster.run(ms(200));
    assert_eq!(cluster.leader(), None);
    cluster.entry = (Some(all[0]), View::default());
    let message = PeerMessage::Subscribe {
        entry_id: 1,
        domain: "a".into(),
        index: 0,
    };
    cluster.step(all[0], Event::Stream { conn: 1, message });
    while cluster.leader().is_none() {
        assert_eq!(
            cluster.entry.0,
            Some(all[0]),
            "redirected before the election"
        );
        cluster.run(ms(5));
    }
    // One message delay, until the others know the leader too.
    cluster.run(ms(25));
    let follows = cluster.entry.1.index > 0;
    let redirected = cluster.entry.0 != Some(all[0]);
    assert!(follows || redirected);
}

/// The audit trail lists accepted changes in order, without rejected and repeated ones. It survives
/// the loss of any one member.
#[test]
fn the_audit_trail_lists_accepted_changes_once() {
    let mut cluster = TestCluster::new(13);
    let first = Call::Change(Box::new(change(0, 2, 7)));
    cluster.ask(first.clone());
    cluster.ask(Call::Change(Box::new(change(0, 2, 8))));
    cluster.ask(Call::Change(Box::new(change(2, 5, 9))));
    cluster.ask(first);
    let all: Vec<SocketAddr> = cluster.vms.keys().copied().collect();
    cluster.wipe(all[0], 1 << 63 | 5);
    cluster.run(ms(6000));
    for vm in cluster.vms.values() {
        let history = &vm.control.as_ref().unwrap().state().history;
        let seen: Vec<_> = history
            .iter()
            .map(|entry| (entry.base, entry.version, entry.received))
            .collect();
        assert_eq!(seen, [(0, 2, 2000), (2, 5, 5000)]);
    }
}

/// Guards against a rush of whole views on narrow links after a change of leader: an entry VM that
/// has a view gets what it lacks.
#[test]
fn a_subscription_goes_on_from_the_view_of_the_entry_vm() {
    let mut cluster = TestCluster::new(15);
    cluster.ask(Call::Change(Box::new(change(0, 2, 7))));
    cluster.run(ms(500));
    let view = cluster.entry.1.clone();
    cluster.ask(announce(1, 100, false));
    cluster.ask(Call::Change(Box::new(change(2, 3, 8))));
    let old = cluster.leader().unwrap();
    cluster.stop(old);
    while cluster.leader().is_none() {
        cluster.run(ms(20));
    }
    let leader = cluster.leader().unwrap();
    let expected = cluster.vms[&leader]
        .control
        .as_ref()
        .unwrap()
        .state()
        .view
        .clone();
    cluster.entry = (Some(leader), view.clone());
    cluster.snapshots = 0;
    let message = PeerMessage::Resubscribe {
        entry_id: 1,
        domain: "a".into(),
        index: view.index,
    };
    cluster.step(leader, Event::Stream { conn: 1, message });
    let found = &cluster.entry.1;
    assert_eq!(cluster.snapshots, 0);
    assert_eq!(found.routing.as_ref().unwrap().version, 3);
    assert_eq!(
        (&found.targets, &found.keys),
        (&expected.targets, &expected.keys)
    );
    // Without a view, everything is sent.
    cluster.entry = (Some(leader), View::default());
    let message = PeerMessage::Resubscribe {
        entry_id: 1,
        domain: "a".into(),
        index: 0,
    };
    cluster.step(leader, Event::Stream { conn: 1, message });
    assert_eq!(cluster.snapshots, 1);
}

/// Guards against requests that reach a target long after its leave was acknowledged, because the
/// news was still on its way to an entry VM.
#[test]
fn a_leave_is_acknowledged_when_the_entry_vms_know() {
    let mut cluster = TestCluster::new(16);
    cluster.ask(announce(1, 100, false));
    cluster.run(ms(500));
    let leader = cluster.leader().unwrap();
    // An entry VM that stays behind.
    let message = PeerMessage::Subscribe {
        entry_id: 9,
        domain: "a".into(),
        index: 0,
    };
    cluster.step(leader, Event::Stream { conn: 9, message });
    let ping = |index| PeerMessage::Ping {
        sent: ms(0),
        index,
        load: Vec::new(),
        latencies: Vec::new(),
    };
    let old = cluster.entry.1.index;
    cluster.step(
        leader,
        Event::Stream {
            conn: 9,
            message: ping(old),
        },
    );
    let token = cluster.call(leader, announce(2, 100, true));
    cluster.run(ms(300));
    assert_eq!(cluster.entry.1.targets["t1"].state, TargetState::Draining);
    assert_eq!(cluster.reply(token), None, "before the entry VM knows");
    let message = ping(cluster.entry.1.index);
    cluster.step(leader, Event::Stream { conn: 9, message });
    assert_eq!(cluster.reply(token), Some(&Reply::Done { is_leader: true }));
    // One that does not answer delays the reply for less than a second.
    let token = cluster.call(leader, announce(3, 100, false));
    cluster.run(ms(100));
    assert!(cluster.reply(token).is_some());
    let token = cluster.call(leader, announce(4, 100, true));
    cluster.run(ms(900));
    assert_eq!(cluster.reply(token), Some(&Reply::Done { is_leader: true }));
}

/// Guards against an announcement that comes while a leave is being committed and undoes it.
#[test]
fn an_announcement_does_not_undo_a_leave_that_is_not_committed() {
    let mut cluster = TestCluster::new(17);
    cluster.ask(announce(1, 100, false));
    cluster.run(ms(500));
    let leader = cluster.leader().unwrap();
    let leave = Call::Leave {
        id: "t1".into(),
        incarnation: Some(100),
    };
    let token = cluster.call(leader, leave);
    let mut late = announcement(2, 100, false);
    late.slots += 1;
    cluster.call(leader, Call::Announce(Box::new(late)));
    cluster.run(ms(1000));
    assert_eq!(cluster.reply(token), Some(&Reply::Done { is_leader: true }));
    assert_eq!(cluster.entry.1.targets["t1"].state, TargetState::Left);
}

/// Guards against a leave that is acknowledged and lost, because it comes while the registration of
/// the target is being committed.
#[test]
fn a_leave_counts_while_the_registration_is_not_committed() {
    let mut cluster = TestCluster::new(18);
    cluster.run(ms(1500));
    let leader = cluster.leader().unwrap();
    cluster.call(leader, announce(1, 100, false));
    let leave = Call::Leave {
        id: "t1".into(),
        incarnation: None,
    };
    let token = cluster.call(leader, leave);
    assert_eq!(cluster.reply(token), None, "before the leave is committed");
    // A further announcement before any commit does not undo it either.
    let mut late = announcement(2, 100, false);
    late.slots += 1;
    cluster.call(leader, Call::Announce(Box::new(late)));
    cluster.run(ms(1000));
    assert_eq!(cluster.reply(token), Some(&Reply::Done { is_leader: true }));
    assert_eq!(cluster.entry.1.targets["t1"].state, TargetState::Left);
}

/// Guards against a leave that is applied to the earlier incarnation under an id, while the
/// registration of the next one is being committed.
#[test]
fn a_leave_counts_for_the_incarnation_that_is_being_registered() {
    let mut cluster = TestCluster::new(19);
    cluster.ask(announce(1, 100, false));
    let leader = cluster.leader().unwrap();
    let leave = |incarnation| Call::Leave {
        id: "t1".into(),
        incarnation,
    };
    cluster.call(leader, announce(1, 200, false));
    // A late leave of the earlier one changes nothing.
    cluster.call(leader, leave(Some(100)));
    cluster.run(ms(1000));
    let target = &cluster.entry.1.targets["t1"];
    assert_eq!(
        (target.incarnation, target.state),
        (200, TargetState::Ready)
    );
    cluster.call(leader, announce(1, 300, false));
    let token = cluster.call(leader, leave(None));
    cluster.run(ms(1000));
    assert_eq!(cluster.reply(token), Some(&Reply::Done { is_leader: true }));
    let target = &cluster.entry.1.targets["t1"];
    assert_eq!((target.incarnation, target.state), (300, TargetState::Left));
}

/// Guards against a leave that is lost because it comes at some other moment of the commit of the
/// registration.
#[test]
fn a_leave_counts_at_any_time_after_the_registration() {
    let mut cluster = TestCluster::new(20);
    cluster.run(ms(1500));
    let leader = cluster.leader().unwrap();
    for gap in (0..100).step_by(5) {
        let incarnation = 100 + gap;
        cluster.call(leader, announce(1, incarnation, false));
        cluster.run(ms(gap));
        let leave = Call::Leave {
            id: "t1".into(),
            incarnation: None,
        };
        let token = cluster.call(leader, leave);
        cluster.run(ms(1000));
        assert_eq!(cluster.reply(token), Some(&Reply::Done { is_leader: true }));
        let target = &cluster.entry.1.targets["t1"];
        let found = (target.incarnation, target.state);
        assert_eq!(found, (incarnation, TargetState::Left), "after {gap} ms");
    }
}

/// Guards against a target that restarts under its id and is removed as silent, because a tick comes
/// while its registration is being committed.
#[test]
fn a_target_that_restarts_is_not_taken_for_silent() {
    let mut cluster = TestCluster::new(21);
    cluster.run(ms(21_000));
    cluster.ask(announce(1, 100, false));
    let leader = cluster.leader().unwrap();
    cluster.call(leader, announce(1, 200, false));
    cluster.step(leader, Event::Tick);
    cluster.run(ms(1000));
    assert_eq!(cluster.entry.1.targets["t1"].incarnation, 200);
    // One that is silent is still removed.
    cluster.run(ms(21_000));
    assert!(cluster.entry.1.targets.is_empty());
}

/// Guards against control VMs that are busy for a tenth of a second when others join: each of them
/// was stored with writes of its own.
#[test]
fn members_that_become_known_together_are_stored_once() {
    let own = member(1, 1);
    let disk = Control::bootstrap_state(vec![own.clone()]).unwrap();
    let mut control =
        Control::new(config(own, 1), disk, Vec::new(), MemberList::default()).unwrap();
    control.step(Event::Tick, ms(0));
    let mut stored = Vec::new();
    for number in 2..12 {
        let list = MemberList::partial(vec![member(number, u64::from(number))]);
        let effects = control.step(Event::Peer(PeerMessage::MemberList(list)), ms(10));
        stored.extend(effects);
    }
    stored.extend(control.step(Event::Tick, ms(20)));
    stored.extend(control.step(Event::Tick, ms(40)));
    stored.retain(|effect| matches!(effect, Effect::StoreMembers(_)));
    match stored.as_slice() {
        [Effect::StoreMembers(list)] => assert_eq!(list.members.len(), 11),
        other => panic!("{other:?}"),
    }
}

/// Guards against a leader that is busy for seconds after a restart of the fleet: it copied and
/// encoded the whole view for each entry VM.
#[test]
fn entry_vms_that_subscribe_together_share_one_view() {
    let own = member(1, 1);
    let disk = Control::bootstrap_state(vec![own.clone()]).unwrap();
    let mut control =
        Control::new(config(own, 1), disk, Vec::new(), MemberList::default()).unwrap();
    control.step(Event::Tick, ms(0));
    let mut effects = Vec::new();
    for conn in 1..=100 {
        let message = PeerMessage::Subscribe {
            entry_id: conn,
            domain: "a".into(),
            index: 0,
        };
        effects.extend(control.step(Event::Stream { conn, message }, ms(10)));
    }
    let call = Call::Change(Box::new(change(0, 2, 7)));
    effects.extend(control.step(Event::Call { token: 1, call }, ms(11)));
    for tick in 1..=10 {
        effects.extend(control.step(Event::Tick, ms(20 * tick)));
    }
    let mut views = 0;
    let mut served = Vec::new();
    let mut changed = Vec::new();
    for effect in effects {
        let (conns, message) = match effect {
            Effect::Broadcast { conns, message } => (conns, message),
            Effect::Stream { conn, message } => ([conn].into(), message),
            _ => continue,
        };
        match message {
            PeerMessage::Snapshot(view) => {
                views += 1;
                if view.routing.is_some() {
                    changed.extend(&conns);
                }
                served.extend(conns);
            }
            PeerMessage::Update { .. } => {
                assert!(conns.iter().all(|conn| served.contains(conn)));
                changed.extend(conns);
            }
            _ => {}
        }
    }
    let all: Vec<u64> = (1..=100).collect();
    served.sort_unstable();
    assert_eq!(served, all);
    // Each has the change by the view or by an update, and once only.
    changed.sort_unstable();
    assert_eq!(changed, all);
    assert!(views < 10, "{views} copies of the view");
}

/// Guards against an odd entry of another writer that takes the place of a target: with an impossible
/// start it would bar the target at its address for good, with an impossible number of slots it
/// would get almost all requests.
#[test]
fn an_impossible_announcement_names_no_target_and_costs_no_other() {
    let mut cluster = TestCluster::new(21);
    cluster.ask(Call::Change(Box::new(keyed_change())));
    assert_eq!(
        cluster.ask(announce(1, 100, false)),
        Reply::Done { is_leader: true }
    );
    let odd = |edit: fn(&mut camphordale_fleet::Announcement)| {
        let mut odd = announcement(1, 100, false);
        odd.id = "odd".into();
        edit(&mut odd);
        Call::Announce(Box::new(odd))
    };
    for call in [
        odd(|a| a.incarnation = u64::MAX),
        odd(|a| a.slots = u32::MAX),
        odd(|a| a.slots = 0),
        odd(|a| a.address.set_port(0)),
        odd(|a| a.address = "0.0.0.0:80".parse().unwrap()),
    ] {
        assert!(matches!(cluster.ask(call), Reply::Invalid(_)));
    }
    let targets = &cluster.entry.1.targets;
    assert_eq!(targets.keys().map(|id| &**id).collect::<Vec<_>>(), ["t1"]);
}

/// Guards against keys that stay at a target until its announcement comes: it had said before, in an
/// answer to an entry VM, that it leaves. What it announced before that changes nothing.
#[test]
fn a_target_that_leaves_by_its_answers_drains_at_once() {
    let mut cluster = TestCluster::new(22);
    cluster.ask(Call::Change(Box::new(keyed_change())));
    cluster.ask(announce(1, 100, false));
    let leader = cluster.leader().unwrap();
    let holder = Holder {
        id: "t1".into(),
        incarnation: 100,
    };
    let message = PeerMessage::TargetStatements {
        sent: cluster.now,
        stated: Vec::new(),
        leaving: vec![holder],
        rights: Vec::new(),
    };
    cluster.step(leader, Event::Stream { conn: 1, message });
    cluster.run(ms(200));
    let state = |cluster: &TestCluster| cluster.entry.1.targets["t1"].state;
    assert_eq!(state(&cluster), TargetState::Draining);
    cluster.ask(announce(2, 100, false));
    assert_eq!(state(&cluster), TargetState::Draining);
    cluster.ask(announce(1, 101, false));
    assert_eq!(state(&cluster), TargetState::Ready);
}

/// Guards against requests to a target that drains: an announcement from before, which is late, made
/// it ready again under another leader.
#[test]
fn a_draining_target_stays_so_under_the_next_leader() {
    let mut cluster = TestCluster::new(31);
    cluster.ask(announce(4, 100, false));
    cluster.ask(announce(8, 100, true));
    let state = |cluster: &TestCluster| {
        let leader = cluster.leader().unwrap();
        let control = cluster.vms[&leader].control.as_ref().unwrap();
        control.state().view.targets["t1"].state
    };
    assert_eq!(state(&cluster), TargetState::Draining);
    let former = cluster.leader().unwrap();
    cluster.stop(former);
    cluster.run(ms(2500));
    cluster.start(former);
    assert_ne!(cluster.leader(), Some(former));
    for sequence in [5, 6, 7] {
        cluster.ask(announce(sequence, 100, false));
        assert_eq!(state(&cluster), TargetState::Draining);
    }
    // Its own next announcement, and a late one after it, change nothing either.
    cluster.ask(announce(9, 100, true));
    cluster.ask(announce(8, 100, false));
    assert_eq!(state(&cluster), TargetState::Draining);
    // A later announcement under the same leader, or of the next incarnation, is news.
    cluster.ask(announce(10, 100, false));
    assert_eq!(state(&cluster), TargetState::Ready);
    cluster.ask(announce(11, 100, true));
    cluster.ask(announce(1, 200, false));
    assert_eq!(state(&cluster), TargetState::Ready);
}

/// Guards against requests to a target that has left: its leave came before its first announcement,
/// was acknowledged and forgotten, and the late announcement registered it.
#[test]
fn a_leave_counts_for_an_announcement_that_comes_after_it() {
    let mut cluster = TestCluster::new(32);
    cluster.run(ms(1500));
    let leave = |incarnation| Call::Leave {
        id: "t1".into(),
        incarnation: Some(incarnation),
    };
    let is_ready = |cluster: &TestCluster| {
        let leader = cluster.leader().unwrap();
        let control = cluster.vms[&leader].control.as_ref().unwrap();
        let target = control.state().view.targets.get("t1");
        target.is_some_and(|target| target.state == TargetState::Ready)
    };
    assert!(matches!(cluster.ask(leave(100)), Reply::Done { .. }));
    for sequence in [1, 2] {
        cluster.ask(announce(sequence, 100, false));
        assert!(!is_ready(&cluster));
    }
    // The next incarnation is another target.
    cluster.ask(announce(1, 200, false));
    assert!(is_ready(&cluster));
    // A late leave of the former one, or one that no target sent, does not concern it.
    cluster.ask(leave(100));
    cluster.ask(leave(u64::MAX));
    cluster.ask(announce(2, 200, false));
    assert!(is_ready(&cluster));
    cluster.ask(announce(3, 200, true));
    assert!(!is_ready(&cluster));
}
