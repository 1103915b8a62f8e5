//! A leader that was replaced and does not know it yet.

use std::net::SocketAddr;

use camphordale_fleet::{
    Call,
    Control,
    EvacuationOrder,
    Reply, //
};
use rstest::rstest;

use crate::cluster::{
    TestCluster,
    announce,
    change,
    ms, //
};
use crate::scenarios::keyed_change;

/// A group whose leader is cut off and was replaced. Returns it and the new leader.
fn replaced_leader(seed: u64) -> (TestCluster, SocketAddr, SocketAddr) {
    let mut cluster = TestCluster::new(seed);
    cluster.ask(Call::Change(Box::new(change(0, 1, 1))));
    let former = cluster.leader().unwrap();
    cluster.isolate(former);
    for _ in 0..140 {
        cluster.run(ms(5));
        let leads = |at: &SocketAddr| {
            let control = cluster.vms[at].control.as_ref();
            control.is_some_and(Control::is_leader)
        };
        let next = cluster.vms.keys().find(|at| **at != former && leads(at));
        if let Some(next) = next.copied() {
            assert!(leads(&former), "seed {seed}: it knows already");
            return (cluster, former, next);
        }
    }
    panic!("seed {seed}: no new leader");
}

/// Guards against targets that are told that their service is unknown after the change that adds it
/// was acknowledged.
#[rstest]
#[case(2)]
#[case(3)]
#[case(4)]
fn a_former_leader_does_not_call_a_service_unknown(#[case] seed: u64) {
    let (mut cluster, former, next) = replaced_leader(seed);
    let mut added = keyed_change();
    (added.base_version, added.version) = (1, 2);
    let token = cluster.call(next, Call::Change(Box::new(added)));
    cluster.run(ms(50));
    let routing = cluster.vms[&next].control.as_ref().unwrap().state();
    let routing = routing.view.routing.as_ref().unwrap();
    assert!(
        routing.services.contains_key("s"),
        "{:?}",
        cluster.reply(token)
    );
    let token = cluster.call(former, announce(1, 100, false));
    let reply = cluster.reply(token);
    assert!(matches!(reply, Some(Reply::Unavailable(_))), "{reply:?}");
}

/// Guards against an operator who cannot evacuate a failure domain that came with new targets.
#[rstest]
#[case(2)]
#[case(3)]
#[case(4)]
fn a_former_leader_does_not_call_a_domain_unknown(#[case] seed: u64) {
    let (mut cluster, former, _) = replaced_leader(seed);
    let evacuate = Call::Evacuate {
        domain: "new".into(),
        order: EvacuationOrder::Start,
    };
    let token = cluster.call(former, evacuate);
    let reply = cluster.reply(token);
    assert!(matches!(reply, Some(Reply::Unavailable(_))), "{reply:?}");
}
/// Guards against requests that are sent to a target whose leave was acknowledged by a leader that
/// did not know that it was registered.
#[rstest]
#[case(2)]
#[case(3)]
#[case(4)]
fn a_former_leader_does_not_acknowledge_the_leave_of_an_unknown_target(#[case] seed: u64) {
    let (mut cluster, former, next) = replaced_leader(seed);
    let mut added = keyed_change();
    (added.base_version, added.version) = (1, 2);
    cluster.call(next, Call::Change(Box::new(added)));
    cluster.run(ms(50));
    cluster.call(next, announce(1, 100, false));
    cluster.run(ms(50));
    let registered = &cluster.vms[&next]
        .control
        .as_ref()
        .unwrap()
        .state()
        .view
        .targets;
    assert!(registered.contains_key("t1"));
    let leave = Call::Leave {
        id: "t1".into(),
        incarnation: Some(100),
    };
    let token = cluster.call(former, leave);
    let reply = cluster.reply(token);
    assert!(matches!(reply, Some(Reply::Unavailable(_))), "{reply:?}");
}
