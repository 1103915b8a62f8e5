//! Scenarios of the control group with key leases in the answers to announcements.

use std::net::SocketAddr;

use camphordale_fleet::{
    Call,
    CallToken,
    Event,
    FreedRange,
    GrantedRange,
    HeldRange,
    KeyDelivery,
    LeaseReport,
    PeerMessage,
    Reply,
    TargetId, //
};

use crate::{
    cluster::{
        TestCluster,
        announcement,
        ms, //
    },
    scenarios::keyed_change, //
};

/// A cluster with targets that announce themselves every 870 ms.
pub(crate) struct Fleet {
    pub(crate) cluster: TestCluster,
    pub(crate) targets: Vec<FleetTarget>,
}

pub(crate) struct FleetTarget {
    pub(crate) id: TargetId,
    /// Failure domain.
    pub(crate) domain: Box<str>,
    sequence: u64,
    pub(crate) next: u64,
    pub(crate) draining: bool,
    pub(crate) report: LeaseReport,
    token: Option<CallToken>,
}

impl Fleet {
    /// Targets whose announcements come `phases` milliseconds after each other's.
    pub(crate) fn new(seed: u64, phases: &[u64]) -> Fleet {
        let mut cluster = TestCluster::new(seed);
        let mut first = keyed_change();
        first.services[0].1.spec.keys = KeyDelivery::Heartbeat;
        cluster.ask(Call::Change(Box::new(first)));
        let start = cluster.now.as_millis() as u64;
        let targets = phases
            .iter()
            .enumerate()
            .map(|(number, phase)| FleetTarget {
                id: format!("t{number}").into(),
                domain: "a".into(),
                sequence: 0,
                next: start + phase,
                draining: false,
                report: LeaseReport::default(),
                token: None,
            });
        Fleet {
            cluster,
            targets: targets.collect(),
        }
    }

    fn announce(&mut self, number: usize, at: SocketAddr) -> CallToken {
        let target = &mut self.targets[number];
        target.sequence += 1;
        let mut sent = announcement(target.sequence, 100, target.draining);
        sent.id = target.id.clone();
        sent.address = format!("10.1.0.{}:80", number + 1).parse().unwrap();
        sent.domain = target.domain.clone();
        sent.report = target.report.clone();
        self.cluster.call(at, Call::Announce(Box::new(sent)))
    }

    /// Runs for a time in which targets announce themselves to the leader and follow its answers.
    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis / 5 {
            self.cluster.run(ms(5));
            let now = self.cluster.now.as_millis() as u64;
            for number in 0..self.targets.len() {
                self.read_answer(number, now);
                let target = &self.targets[number];
                if now >= target.next
                    && let Some(leader) = self.cluster.leader()
                {
                    let token = self.announce(number, leader);
                    self.targets[number].token = Some(token);
                    self.targets[number].next = now + 870;
                }
            }
        }
    }

    fn read_answer(&mut self, number: usize, now: u64) {
        let Some(token) = self.targets[number].token else {
            return;
        };
        let Some(reply) = self.cluster.reply(token).cloned() else {
            return;
        };
        let target = &mut self.targets[number];
        target.token = None;
        let Reply::Leases { granted, .. } = reply else {
            return;
        };
        let old = std::mem::take(&mut target.report.held);
        let kept = |held: &HeldRange| {
            granted
                .iter()
                .any(|row| row.from <= held.from && held.to <= row.to)
        };
        let freed = old
            .into_iter()
            .filter(|held| !kept(held))
            .map(|held| FreedRange {
                from: held.from,
                to: held.to,
                handover: "h".into(),
            });
        target.report.freed = freed.collect();
        target.report.held = granted
            .iter()
            .map(|row| HeldRange {
                from: row.from,
                to: row.to,
                fence: row.fence,
            })
            .collect();
        if !target.report.freed.is_empty() {
            target.next = now + 100;
        }
    }

    pub(crate) fn width(&self, number: usize) -> u32 {
        let held = self.targets[number].report.held.iter();
        held.map(|held| u32::from(held.to - held.from) + 1).sum()
    }

    pub(crate) fn widths(&self) -> Vec<u32> {
        (0..self.targets.len())
            .map(|number| self.width(number))
            .collect()
    }
}

#[test]
fn targets_get_all_keys_within_two_announcements() {
    let mut fleet = Fleet::new(21, &[0, 300, 600]);
    fleet.run(3500);
    assert_eq!(
        fleet.widths().iter().sum::<u32>(),
        65536,
        "{:?}",
        fleet.widths()
    );
    assert!(fleet.widths().iter().all(|width| *width > 20_000));
}

/// A follower does not know the leases, so it answers with the leader's address.
#[test]
fn a_follower_answers_without_leases() {
    let mut fleet = Fleet::new(22, &[0, 300]);
    fleet.run(3000);
    let leader = fleet.cluster.leader().unwrap();
    let other = *fleet.cluster.vms.keys().find(|at| **at != leader).unwrap();
    let token = fleet.announce(0, other);
    assert!(matches!(
        fleet.cluster.reply(token),
        Some(Reply::Redirect(_))
    ));
}

/// A leader that cannot reach the others may have been replaced. Its answers renew nothing.
#[test]
fn a_leader_without_a_quorum_renews_no_lease() {
    let mut fleet = Fleet::new(23, &[0, 300]);
    fleet.run(3000);
    let leader = fleet.cluster.leader().unwrap();
    fleet.cluster.isolate(leader);
    fleet.cluster.run(ms(1500));
    let token = fleet.announce(0, leader);
    fleet.cluster.run(ms(700));
    let reply = fleet.cluster.reply(token);
    assert!(!matches!(reply, Some(Reply::Leases { .. })), "{reply:?}");
}

/// An announcement that was overtaken says nothing about the present, and is told nothing.
#[test]
fn a_late_announcement_renews_no_lease() {
    let mut fleet = Fleet::new(24, &[0, 300]);
    fleet.run(3000);
    let leader = fleet.cluster.leader().unwrap();
    fleet.targets[0].sequence -= 1;
    let token = fleet.announce(0, leader);
    assert_eq!(
        fleet.cluster.reply(token),
        Some(&Reply::Done { is_leader: true })
    );
}

/// Guards against keys without a holder for up to an announcement interval after each move: the
/// next holder announces itself just before the range is free. Its answer waits for the range.
#[test]
fn a_leaving_target_hands_its_keys_over_within_a_moment() {
    // Target 1 announces itself 50 ms after target 0, whose keys are free after 100 ms.
    let mut fleet = Fleet::new(25, &[0, 50]);
    fleet.run(3500);
    let all = fleet.width(0) + fleet.width(1);
    assert_eq!(all, 65536);
    fleet.targets[0].draining = true;
    let mut without_holder = 0;
    for _ in 0..400 {
        fleet.run(5);
        let held: u32 = fleet.widths().iter().sum();
        without_holder += u32::from(held < 65536);
    }
    assert_eq!(fleet.width(1), 65536);
    assert!(without_holder * 5 <= 250, "{} ms", without_holder * 5);
}

/// Guards against a range that waits for a next holder whose announcement is long due.
#[test]
fn keys_of_a_silent_target_go_to_one_that_can_be_told_soon() {
    let mut fleet = Fleet::new(26, &[0, 100, 500, 800]);
    fleet.run(3500);
    let lost = fleet.width(0);
    assert!(lost > 0);
    fleet.targets[0].next = u64::MAX;
    fleet.targets[0].report.held.clear();
    let mut waited = 0;
    while fleet.widths().iter().sum::<u32>() < 65536 {
        fleet.run(5);
        waited += 5;
        assert!(waited < 5000, "the keys have no holder");
    }
    // The lease of 2740 ms by a slow clock, and the wait for an announcement.
    assert!(waited <= 2795 + 100 + 400, "{waited} ms");
}

/// A new leader lets the holders keep their keys.
#[test]
fn a_change_of_leader_moves_no_keys() {
    let mut fleet = Fleet::new(27, &[0, 300, 600]);
    fleet.run(3500);
    let before = fleet.widths();
    let leader = fleet.cluster.leader().unwrap();
    fleet.cluster.stop(leader);
    fleet.run(4000);
    assert_eq!(fleet.widths(), before);
}

/// An answer that is delayed for a range must still come within the time that targets wait.
#[test]
fn a_delayed_answer_is_sent_in_time() {
    let mut fleet = Fleet::new(28, &[0, 50]);
    fleet.run(3500);
    fleet.targets[0].draining = true;
    let leader = fleet.cluster.leader().unwrap();
    fleet.announce(0, leader);
    fleet.cluster.run(ms(100));
    // Target 0 releases nothing, as if a request ran on.
    let token = fleet.announce(1, leader);
    fleet.cluster.run(ms(600));
    let reply = fleet.cluster.reply(token);
    let Some(Reply::Leases { granted, .. }) = reply else {
        panic!("{reply:?}");
    };
    let rows: Vec<&GrantedRange> = granted.iter().collect();
    assert!(!rows.is_empty());
}

/// Guards against the leases of a target's new life in the answer to its former life, and against
/// an outdated report: the answer to a leave waits, and a newer announcement comes meanwhile.
#[test]
fn an_announcement_that_is_overtaken_while_it_waits_gets_no_leases() {
    for reborn in [false, true] {
        let mut fleet = Fleet::new(29, &[0, 300]);
        fleet.run(3500);
        assert!(fleet.width(0) > 0);
        let leader = fleet.cluster.leader().unwrap();
        // An entry VM that confirms nothing delays the answer to the leave.
        let message = PeerMessage::Subscribe {
            entry_id: 9,
            domain: "a".into(),
            index: 0,
        };
        fleet
            .cluster
            .step(leader, Event::Stream { conn: 9, message });
        fleet.targets[0].draining = true;
        let waiting = fleet.announce(0, leader);
        fleet.cluster.run(ms(200));
        assert_eq!(fleet.cluster.reply(waiting), None);
        let next = match reborn {
            true => {
                let mut sent = announcement(1, 200, false);
                sent.id = fleet.targets[0].id.clone();
                sent.address = "10.1.0.1:80".parse().unwrap();
                fleet.cluster.call(leader, Call::Announce(Box::new(sent)))
            }
            false => fleet.announce(0, leader),
        };
        fleet.cluster.run(ms(1200));
        let reply = fleet.cluster.reply(waiting);
        assert_eq!(reply, Some(&Reply::Done { is_leader: true }), "{reborn}");
        let reply = fleet.cluster.reply(next);
        assert!(matches!(reply, Some(Reply::Leases { .. })), "{reply:?}");
    }
}
