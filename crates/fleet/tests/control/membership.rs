//! Members of the control group that are lost, replaced or away.

use camphordale_fleet::{
    Call,
    Event,
    LogEvent,
    PeerMessage, //
};
use camphordale_raft::Message;

use crate::cluster::{
    TestCluster,
    change,
    ms, //
};

/// Guards against a group that has lost its tolerance without a sign of it.
#[test]
fn a_member_that_does_not_catch_up_is_reported_until_it_does() {
    let mut cluster = TestCluster::new(42);
    cluster.ask(Call::Change(Box::new(change(0, 2, 7))));
    cluster.run(ms(3000));
    let leader = cluster.leader().unwrap();
    let (at, id) = cluster
        .vms
        .iter()
        .find(|(at, _)| **at != leader)
        .map(|(at, vm)| (*at, vm.member.id))
        .unwrap();
    let reported = |cluster: &TestCluster| -> Vec<bool> {
        let of_member = cluster.events.iter().filter_map(|(_, event)| match event {
            LogEvent::Lagging {
                member, lagging, ..
            } if *member == id => Some(*lagging),
            _ => None,
        });
        of_member.collect()
    };
    cluster.stop(at);
    cluster.ask(Call::Change(Box::new(change(2, 3, 8))));
    cluster.run(ms(3000));
    assert_eq!(reported(&cluster), [], "reported before it could catch up");
    cluster.run(ms(2000));
    assert_eq!(reported(&cluster), [true]);
    let counted = |cluster: &TestCluster| {
        let control = cluster.vms[&leader].control.as_ref().unwrap();
        control.lagging_members()
    };
    assert_eq!(counted(&cluster), 1);
    cluster.start(at);
    cluster.run(ms(2000));
    assert_eq!(reported(&cluster), [true, false]);
    assert_eq!(counted(&cluster), 0);
}

/// Guards against replies that are dropped without a trace.
#[test]
fn a_message_to_a_member_without_an_address_is_reported() {
    let mut cluster = TestCluster::new(43);
    cluster.run(ms(3000));
    let unknown = 77;
    let at = *cluster.vms.keys().next().unwrap();
    let to = cluster.vms[&at].member.id;
    for _ in 0..2 {
        let message = Message::RequestVote {
            term: 1,
            last_index: 0,
            last_term: 0,
            pre_vote: true,
        };
        let from = unknown;
        let message = PeerMessage::Raft { from, to, message };
        cluster.step(at, Event::Peer(message));
    }
    let dropped = |repeated| {
        let member = unknown;
        (at, LogEvent::Unaddressed { member, repeated })
    };
    assert_eq!(cluster.events, [dropped(false), dropped(true)]);
}
