//! Evacuation of failure domains by the control group.

use std::net::SocketAddr;

use camphordale_fleet::{
    Call,
    CallToken,
    EvacuationOrder::{
        self,
        End,
        Start, //
    },
    Event,
    PeerMessage,
    Reply,
    View, //
};
use rstest::rstest;

use crate::{
    cluster::{
        TestCluster,
        ms, //
    },
    heartbeats::Fleet,
};

const DONE: Reply = Reply::Done { is_leader: true };

/// Time within which all keys must have left an evacuated domain: `evacuate_ms` less its margin.
const KEYED_LIMIT_MS: u64 = 4000;

fn evacuate(domain: &str, order: EvacuationOrder) -> Call {
    Call::Evacuate {
        domain: domain.into(),
        order,
    }
}

fn leader_view(cluster: &TestCluster) -> View {
    let leader = &cluster.vms[&cluster.leader().unwrap()];
    leader.control.as_ref().unwrap().state().view.clone()
}

fn has_evacuated(cluster: &TestCluster, domains: [&str; 2]) -> [bool; 2] {
    domains.map(|domain| leader_view(cluster).is_evacuated(domain))
}

/// Sends an order and returns the milliseconds until its reply.
fn time_to_reply(cluster: &mut TestCluster, call: Call) -> (Reply, u64) {
    let sent_at = cluster.now;
    let leader = cluster.leader().unwrap();
    let token = cluster.call(leader, call);
    while cluster.reply(token).is_none() {
        cluster.run(ms(5));
    }
    let took = cluster.now - sent_at;
    (
        cluster.reply(token).unwrap().clone(),
        took.as_millis() as u64,
    )
}

/// A fleet whose last two targets are in domain `b` and whose keys are assigned.
fn fleet(seed: u64, phases: &[u64]) -> Fleet {
    let mut fleet = Fleet::new(seed, phases);
    for target in fleet.targets.iter_mut().skip(phases.len() - 2) {
        target.domain = "b".into();
    }
    fleet.run(3500);
    assert_eq!(fleet.widths().iter().sum::<u32>(), 65536);
    fleet
}

fn order(fleet: &mut Fleet, domain: &str, order: EvacuationOrder) -> CallToken {
    let leader = fleet.cluster.leader().unwrap();
    fleet.cluster.call(leader, evacuate(domain, order))
}

/// Runs until the targets of domain `b` hold nothing and the others everything, and returns the
/// milliseconds.
fn time_to_move(fleet: &mut Fleet) -> u64 {
    let mut waited = 0;
    loop {
        let targets = fleet.targets.iter().enumerate();
        let (gone, stays): (Vec<_>, Vec<_>) = targets.partition(|(_, t)| &*t.domain == "b");
        let width = |of: Vec<(usize, _)>| of.iter().map(|(at, _)| fleet.width(*at)).sum::<u32>();
        if (width(gone), width(stays)) == (0, 65536) {
            return waited;
        }
        fleet.run(5);
        waited += 5;
        assert!(waited < 10_000, "{:?}", fleet.widths());
    }
}

/// Guards against an acknowledgement that is binding before the entry VMs can act on it, and against
/// one that waits for a VM that does not answer.
#[test]
fn an_order_is_acknowledged_when_the_entry_vms_know_or_after_half_a_second() {
    let mut cluster = TestCluster::new(31);
    cluster.run(ms(3000));
    let leader = cluster.leader().unwrap();
    let subscribe = PeerMessage::Subscribe {
        entry_id: 9,
        domain: "b".into(),
        index: 0,
    };
    cluster.step(
        leader,
        Event::Stream {
            conn: 9,
            message: subscribe,
        },
    );
    let token = cluster.call(leader, evacuate("a", Start));
    cluster.run(ms(300));
    assert!(cluster.entry.1.is_evacuated("a"));
    assert_eq!(cluster.reply(token), None, "before the entry VM knows");
    let message = PeerMessage::Ping {
        sent: ms(0),
        index: cluster.entry.1.index,
        load: Vec::new(),
        latencies: Vec::new(),
    };
    cluster.step(leader, Event::Stream { conn: 9, message });
    assert_eq!(cluster.reply(token), Some(&DONE));
    let (reply, took) = time_to_reply(&mut cluster, evacuate("a", End));
    assert_eq!(reply, DONE);
    assert!((500..=700).contains(&took), "{took} ms");
}

/// Guards against an order that is lost, refused or carried out twice because its leader ends at
/// that moment: before the proposal is sent, committed or acknowledged.
#[rstest]
fn an_order_survives_the_end_of_its_leader(#[values(0, 5, 15, 25, 40, 60)] delay: u64) {
    for start in [true, false] {
        let mut cluster = TestCluster::new(100 + delay);
        cluster.run(ms(3000));
        if !start {
            assert_eq!(cluster.ask(evacuate("b", Start)), DONE);
        }
        let sent = evacuate("b", if start { Start } else { End });
        let leader = cluster.leader().unwrap();
        cluster.call(leader, sent.clone());
        cluster.run(ms(delay));
        cluster.stop(leader);
        cluster.run(ms(2500));
        assert_eq!(cluster.ask(sent), DONE);
        assert_eq!(has_evacuated(&cluster, ["a", "b"]), [false, start]);
        assert_eq!(cluster.entry.1.is_evacuated("b"), start);
        cluster.start(leader);
        cluster.run(ms(2000));
        for vm in cluster.vms.values() {
            let view = &vm.control.as_ref().unwrap().state().view;
            assert_eq!(view.is_evacuated("b"), start);
        }
    }
}

/// Guards against an operator whose order took effect, who lost the acknowledgement and never gets
/// another one, or waits for it.
#[test]
fn a_repeated_order_is_acknowledged_at_once_and_changes_nothing() {
    let mut cluster = TestCluster::new(32);
    cluster.run(ms(3000));
    for order in [Start, End] {
        assert_eq!(cluster.ask(evacuate("a", order)), DONE);
        let changed_at = leader_view(&cluster).evacuations.changed_at("a");
        let (reply, took) = time_to_reply(&mut cluster, evacuate("a", order));
        assert_eq!(reply, DONE);
        assert!(took <= 100, "{took} ms");
        assert_eq!(
            leader_view(&cluster).evacuations.changed_at("a"),
            changed_at
        );
        // Another control VM names the leader.
        let leader = cluster.leader().unwrap();
        let other = *cluster.vms.keys().find(|at| **at != leader).unwrap();
        let token = cluster.call(other, evacuate("a", order));
        let control = cluster.vms[&leader].member.control;
        assert_eq!(cluster.reply(token), Some(&Reply::Redirect(control)));
    }
}

/// Guards against an order that an operator takes for carried out, although the domain is not the one
/// that was meant or nothing was evacuated.
#[test]
fn a_domain_must_be_known_and_an_end_needs_a_start() {
    let mut cluster = TestCluster::new(33);
    cluster.run(ms(3000));
    for order in [Start, End] {
        let reply = cluster.ask(evacuate("elsewhere", order));
        assert!(matches!(reply, Reply::Invalid(_)), "{reply:?}");
    }
    let reply = cluster.ask(evacuate("b", End));
    assert!(matches!(reply, Reply::Conflict(_)), "{reply:?}");
    let view = leader_view(&cluster);
    assert_eq!(view.evacuations, View::default().evacuations);
    assert_eq!(cluster.entry.1.evacuations, view.evacuations);
    // A target makes its domain known.
    let mut sent = crate::cluster::announcement(1, 100, false);
    sent.domain = "elsewhere".into();
    cluster.ask(Call::Announce(Box::new(sent)));
    assert_eq!(cluster.ask(evacuate("elsewhere", Start)), DONE);
}

/// Guards against an evacuation that is forgotten when all VMs lose their power right after the
/// acknowledgement, with one disk, and against an end that is forgotten likewise.
#[rstest]
fn an_acknowledged_order_survives_a_restart_of_all_and_the_loss_of_a_disk(
    #[values(false, true)] compacted: bool,
) {
    let mut cluster = TestCluster::new(34);
    // One byte of log is too many, so that the state goes through a snapshot.
    cluster.log_limit = if compacted { 1 } else { cluster.log_limit };
    let all: Vec<SocketAddr> = cluster.vms.keys().copied().collect();
    for at in &all {
        cluster.stop(*at);
        cluster.start(*at);
    }
    cluster.run(ms(3000));
    for order in [Start, End] {
        let (reply, _) = time_to_reply(&mut cluster, evacuate("b", order));
        assert_eq!(reply, DONE);
        if compacted {
            cluster.run(ms(200));
        }
        for at in &all {
            cluster.stop(*at);
        }
        cluster.entry = (None, View::default());
        let lost = all[usize::from(order == End)];
        let id = 5 + u64::from(order == End);
        cluster.wipe(lost, (1 << 63) | id);
        for at in all.iter().filter(|at| **at != lost) {
            cluster.start(*at);
        }
        cluster.run(ms(8000));
        assert!(cluster.is_repaired());
        for vm in cluster.vms.values() {
            let view = &vm.control.as_ref().unwrap().state().view;
            assert_eq!(view.is_evacuated("b"), order == Start);
        }
        // Entry VMs that start have it with their first view.
        assert_eq!(cluster.entry.1.is_evacuated("b"), order == Start);
        assert_eq!(cluster.ask(evacuate("b", order)), DONE);
    }
}

/// Guards against one evacuation that replaces or ends another.
#[test]
fn two_domains_are_evacuated_at_once() {
    let mut cluster = TestCluster::new(35);
    cluster.run(ms(3000));
    let leader = cluster.leader().unwrap();
    let both = ["a", "b"].map(|domain| cluster.call(leader, evacuate(domain, Start)));
    cluster.run(ms(1000));
    assert!(
        both.iter()
            .all(|token| cluster.reply(*token) == Some(&DONE))
    );
    assert_eq!(has_evacuated(&cluster, ["a", "b"]), [true, true]);
    assert_eq!(cluster.ask(evacuate("a", End)), DONE);
    assert_eq!(has_evacuated(&cluster, ["a", "b"]), [false, true]);
    assert_eq!(
        cluster.entry.1.evacuations,
        leader_view(&cluster).evacuations
    );
}

/// Guards against requests for keys that are refused, or that reach the evacuated domain, because
/// their holder keeps them: all move with their hand-over data, and none return until the end.
#[rstest]
fn keys_leave_an_evacuated_domain_in_time(#[values(41, 42, 43, 44)] seed: u64) {
    let mut fleet = fleet(seed, &[0, 220, 440, 660]);
    fleet.cluster.assigned.clear();
    order(&mut fleet, "b", Start);
    let took = time_to_move(&mut fleet);
    assert!(took <= KEYED_LIMIT_MS / 2, "{took} ms");
    let assigned = fleet.cluster.assigned.iter();
    let without_data = assigned.filter(|range| range.handover.is_none()).count();
    assert_eq!(without_data, 0, "{:?}", fleet.cluster.assigned);
    fleet.run(4000);
    assert_eq!((fleet.width(2), fleet.width(3)), (0, 0));
    order(&mut fleet, "b", End);
    fleet.run(6000);
    assert!(
        fleet.width(2) > 0 && fleet.width(3) > 0,
        "{:?}",
        fleet.widths()
    );
}

/// Guards against keys that stay because the leader that knew of the order is gone. The next one has
/// to renew all leases before it may move any.
#[rstest]
fn keys_leave_an_evacuated_domain_in_time_under_a_new_leader(#[values(51, 52, 53)] seed: u64) {
    let mut fleet = fleet(seed, &[0, 220, 440, 660]);
    let token = order(&mut fleet, "b", Start);
    while fleet.cluster.reply(token).is_none() {
        fleet.run(5);
    }
    let leader = fleet.cluster.leader().unwrap();
    fleet.cluster.stop(leader);
    let took = time_to_move(&mut fleet);
    assert!(took <= KEYED_LIMIT_MS, "{took} ms");
}

/// Guards against a range that arrives in a domain that was evacuated while it was on its way there.
#[test]
fn a_move_to_a_domain_that_is_evacuated_meanwhile_ends_elsewhere() {
    for delay in (0..1200).step_by(100) {
        let mut fleet = fleet(61, &[0, 220, 440]);
        // Target 0 gives its keys to targets 1 and 2, which are in domain `b`.
        fleet.targets[0].draining = true;
        fleet.run(delay);
        order(&mut fleet, "b", Start);
        fleet.targets[0].draining = false;
        fleet.run(6000);
        assert_eq!(fleet.widths(), [65536, 0, 0], "{delay}");
    }
}

/// Guards against keys that are assigned to an evacuated domain at first, as free ranges or after a
/// change of leader, only because it is the only one with targets.
#[test]
fn without_targets_elsewhere_keys_stay_where_they_are() {
    let mut fleet = fleet(71, &[0, 400]);
    let before = fleet.widths();
    order(&mut fleet, "b", Start);
    fleet.run(3000);
    assert_eq!(fleet.widths(), before);
    let leader = fleet.cluster.leader().unwrap();
    fleet.cluster.stop(leader);
    fleet.cluster.assigned.clear();
    fleet.run(4000);
    assert_eq!(fleet.widths(), before);
    // The keys of a lost target are not given to the other one.
    fleet.targets[0].next = u64::MAX;
    fleet.targets[0].report.held.clear();
    fleet.run(6000);
    assert_eq!(fleet.width(1), before[1]);
    assert!(fleet.cluster.assigned.is_empty());
}

/// Guards against the first assignment of keys to an evacuated domain.
#[test]
fn keys_are_first_assigned_outside_of_evacuated_domains() {
    let mut fleet = Fleet::new(72, &[0, 400]);
    fleet.targets[1].domain = "b".into();
    order(&mut fleet, "b", Start);
    fleet.run(4000);
    assert_eq!((fleet.width(0), fleet.width(1)), (65536, 0));
    order(&mut fleet, "a", Start);
    fleet.run(4000);
    assert_eq!((fleet.width(0), fleet.width(1)), (65536, 0));
    order(&mut fleet, "b", End);
    fleet.run(4000);
    assert_eq!((fleet.width(0), fleet.width(1)), (0, 65536));
}
