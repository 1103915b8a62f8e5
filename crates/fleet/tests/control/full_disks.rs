//! Disks that are full for a time, one after the other.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_fleet::{
    Call,
    CallToken,
    Reply, //
};
use camphordale_raft::RecoveredState;
use rand::Rng;
use rstest::rstest;

use crate::cluster::{
    TestCluster,
    TestVm,
    change,
    marker_of,
    member,
    ms, //
};

/// Time within which a change is acknowledged while the group is sound.
const ACK_TIME: Duration = Duration::from_millis(4000);
/// Time after which a member whose disk has room again counts as sound.
const CATCH_UP_TIME: Duration = Duration::from_millis(4000);

/// An operator that submits one change after the other, each until it has a clear reply.
struct Operator {
    version: u64,
    /// The change under way, and when it was submitted last.
    asked: Option<(CallToken, Duration)>,
    marker: u64,
    accepted: u64,
}

impl Operator {
    fn submit(&mut self, cluster: &mut TestCluster) {
        // Any control VM may be asked; most redirect to the leader.
        let all: Vec<SocketAddr> = cluster.vms.keys().copied().collect();
        let at = match cluster.leader() {
            Some(leader) => leader,
            None => all[cluster.random.random_range(0..all.len())],
        };
        let change = change(self.version, self.version + 1, self.marker);
        let token = cluster.call(at, Call::Change(Box::new(change)));
        self.asked = Some((token, cluster.now));
    }

    /// Takes the reply to the change under way, or submits it again after a second.
    fn step(&mut self, cluster: &mut TestCluster) {
        let Some((token, at)) = self.asked else {
            return self.submit(cluster);
        };
        match cluster.reply(token) {
            Some(Reply::Done { .. }) => {
                self.version += 1;
                self.marker += 1;
                self.accepted += 1;
                self.submit(cluster);
            }
            Some(Reply::Unavailable(_) | Reply::Redirect(_)) => self.submit(cluster),
            Some(reply) => panic!("a change that was accepted or is valid is refused: {reply:?}"),
            None if cluster.now - at >= ms(1000) => self.submit(cluster),
            None => {}
        }
    }

    fn run(&mut self, cluster: &mut TestCluster, time: Duration) {
        let end = cluster.now + time;
        while cluster.now < end {
            cluster.run(ms(50));
            self.step(cluster);
        }
    }
}

/// Fills the disks of all VMs in turn, some more than once, under changes. Returns the number of
/// accepted changes.
fn fill_in_turn(seed: u64, learners: u8) -> u64 {
    let mut cluster = TestCluster::new(seed);
    // Small enough for compactions within each of the failures.
    cluster.log_limit = 3000;
    for number in 4..4 + learners {
        let member = member(number, (1 << 63) + u64::from(number));
        let vm = TestVm::blank(member.clone());
        cluster.vms.insert(member.peer, vm);
    }
    let all: Vec<SocketAddr> = cluster.vms.keys().copied().collect();
    for at in &all {
        cluster.stop(*at);
        cluster.start(*at);
    }
    cluster.run(ms(3000));
    let mut operator = Operator {
        version: 0,
        asked: None,
        marker: 1,
        accepted: 0,
    };
    operator.run(&mut cluster, ms(1000));
    for _ in 0..8 {
        let at = match cluster.leader() {
            Some(leader) if cluster.random.random_bool(0.4) => leader,
            _ => all[cluster.random.random_range(0..all.len())],
        };
        let full_for = ms(cluster.random.random_range(300..6000));
        cluster.vms.get_mut(&at).unwrap().disk_full = true;
        operator.run(&mut cluster, full_for);
        cluster.vms.get_mut(&at).unwrap().disk_full = false;
        // A disk may be full again soon, or the next one right after this one counts as sound.
        let again = cluster.random.random_bool(0.3);
        if again {
            let pause = ms(cluster.random.random_range(20..700));
            operator.run(&mut cluster, pause);
            cluster.vms.get_mut(&at).unwrap().disk_full = true;
            operator.run(&mut cluster, ms(700));
            cluster.vms.get_mut(&at).unwrap().disk_full = false;
        }
        operator.run(&mut cluster, CATCH_UP_TIME);
    }
    // Long after the last one has room again, changes are acknowledged in time and read back.
    for _ in 0..3 {
        let accepted = operator.accepted;
        operator.run(&mut cluster, ACK_TIME);
        assert!(operator.accepted > accepted, "seed {seed}: no change");
    }
    let newest = operator.marker - 1;
    match cluster.ask(Call::Read) {
        Reply::Routing(routing) => assert!(marker_of(&routing) >= newest, "seed {seed}"),
        other => panic!("seed {seed}: {other:?}"),
    }
    operator.accepted
}

/// Guards against a control group that accepts no changes any more after the disks of its members
/// were full for some seconds each, though all processes run.
#[rstest]
#[case::voters(0)]
#[case::voters_and_learners(2)]
fn changes_are_accepted_after_disks_were_full_in_turn(#[case] learners: u8) {
    let accepted: u64 = (0..40).map(|seed| fill_in_turn(seed, learners)).sum();
    assert!(accepted > 4000, "only {accepted} changes were accepted");
}

/// Guards against the loss of an acknowledged change when the only other member that holds it starts
/// again from its disk after a failed write.
#[rstest]
fn a_change_survives_the_reopening_of_its_only_other_holder(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut cluster = TestCluster::new(seed);
    cluster.run(ms(2000));
    let leader = cluster.leader().unwrap();
    let others: Vec<SocketAddr> = cluster.vms.keys().copied().collect();
    let others: Vec<SocketAddr> = others.into_iter().filter(|at| *at != leader).collect();
    let [holder, behind] = others[..] else {
        panic!("three VMs")
    };
    cluster.isolate(behind);
    let reply = cluster.ask(Call::Change(Box::new(change(0, 1, 77))));
    assert!(matches!(reply, Reply::Done { .. }), "{reply:?}");
    // The holder fails at its next write. The leader is lost for good while it is closed.
    cluster.vms.get_mut(&holder).unwrap().disk_full = true;
    let next = Call::Change(Box::new(change(1, 2, 78)));
    cluster.call(leader, next);
    cluster.run(ms(200));
    cluster.stop(leader);
    cluster.vms.get_mut(&leader).unwrap().disk = RecoveredState::default();
    cluster.blocked.clear();
    cluster.run(ms(300));
    cluster.vms.get_mut(&holder).unwrap().disk_full = false;
    cluster.run(ms(4000));
    match cluster.ask(Call::Read) {
        Reply::Routing(routing) => assert!([77, 78].contains(&marker_of(&routing))),
        other => panic!("{other:?}"),
    }
}
