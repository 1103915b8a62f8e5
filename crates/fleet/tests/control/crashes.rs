//! The leader's part in the exchange of evidence on requests that crash their targets.

use std::time::Duration;

use camphordale_fleet::{
    Call,
    Control,
    CrashRecord,
    Effect,
    Event,
    Fingerprint,
    Holder,
    MemberList,
    PeerMessage, //
};

use crate::cluster::{
    announcement,
    config,
    member,
    ms, //
};

fn holder(number: u64) -> Holder {
    Holder {
        id: format!("t{number}").into(),
        incarnation: 100,
    }
}

fn record(fingerprint: Fingerprint, crashed: &[u64]) -> CrashRecord {
    let crashes = crashed.iter().map(|number| (holder(*number), ms(0)));
    CrashRecord {
        fingerprint,
        crashes: crashes.collect(),
        completed: None,
        idle: ms(0),
    }
}

fn completed(fingerprint: Fingerprint) -> CrashRecord {
    CrashRecord {
        completed: Some(ms(0)),
        ..record(fingerprint, &[])
    }
}

/// Evidence that the leader sends: the connection, the records and the incarnations that live.
type Sent = (u64, Vec<CrashRecord>, Vec<(Holder, Duration)>);

/// A group of one, with the streams 1 to 4, of which the last is of an older version.
struct Leader {
    control: Control,
    now: Duration,
    sequence: u64,
    sent: Vec<Sent>,
}

impl Leader {
    fn new() -> Leader {
        let only = member(1, 1);
        let recovered = Control::bootstrap_state(vec![only.clone()]).unwrap();
        let control = Control::new(
            config(only.clone(), 1),
            recovered,
            vec![only],
            MemberList::default(),
        );
        let mut leader = Leader {
            control: control.unwrap(),
            now: ms(0),
            sequence: 0,
            sent: Vec::new(),
        };
        leader.wait(ms(2000));
        assert!(leader.control.is_leader());
        for conn in 1..=4 {
            let message = PeerMessage::Subscribe {
                entry_id: conn,
                domain: "a".into(),
                index: 0,
            };
            leader.step(Event::Stream { conn, message });
            if conn < 4 {
                leader.report(conn, Vec::new());
            }
        }
        leader
    }

    fn step(&mut self, event: Event) {
        for effect in self.control.step(event, self.now) {
            let (conns, message): (Box<[u64]>, PeerMessage) = match effect {
                Effect::Stream { conn, message } => ([conn].into(), message),
                Effect::Broadcast { conns, message } => (conns, message),
                _ => continue,
            };
            if let PeerMessage::CrashEvidence { records, alive } = message {
                let sent = conns.into_iter();
                let sent = sent.map(|conn| (conn, records.clone(), alive.clone()));
                self.sent.extend(sent);
            }
        }
    }

    fn report(&mut self, conn: u64, records: Vec<CrashRecord>) {
        let alive = Vec::new();
        let message = PeerMessage::CrashEvidence { records, alive };
        self.step(Event::Stream { conn, message });
    }

    fn announce(&mut self, number: u64) {
        self.sequence += 1;
        let mut call = announcement(self.sequence, 100, false);
        call.id = holder(number).id;
        call.address = format!("10.1.0.{}:80", number + 1).parse().unwrap();
        let call = Call::Announce(Box::new(call));
        self.step(Event::Call { token: 0, call });
    }

    /// Lets time pass. Returns the evidence sent since the last time.
    fn wait(&mut self, time: Duration) -> Vec<Sent> {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(10);
            self.step(Event::Tick);
        }
        std::mem::take(&mut self.sent)
    }
}

fn conns(sent: &[Sent]) -> Vec<u64> {
    sent.iter().map(|(conn, ..)| *conn).collect()
}

/// Guards against crashes that no VM can add up, and against messages about each lost request.
#[test]
fn the_second_crash_and_later_changes_are_told_to_all() {
    let mut leader = Leader::new();
    leader.report(1, vec![record(7, &[0]), record(8, &[0])]);
    assert!(leader.wait(ms(200)).is_empty(), "after one crash");
    leader.report(2, vec![record(7, &[1])]);
    let sent = leader.wait(ms(200));
    // The fourth is of an older version and would close its stream.
    assert_eq!(conns(&sent), [1, 2, 3]);
    assert_eq!(sent[0].1.len(), 1);
    assert_eq!(sent[0].1[0].crashes.len(), 2);
    leader.report(3, vec![record(7, &[0, 1])]);
    assert!(leader.wait(ms(200)).is_empty(), "without news");
    leader.report(3, vec![record(7, &[2])]);
    assert_eq!(leader.wait(ms(200))[0].1[0].crashes.len(), 3);
    leader.report(2, vec![completed(7)]);
    let sent = leader.wait(ms(200));
    assert_eq!(conns(&sent), [1, 2, 3]);
    assert!(sent[0].1[0].crashes.is_empty() && sent[0].1[0].completed.is_some());
}

/// Guards against resets that count as crashes, and against announcements under way at the time of
/// a crash that hide it.
#[test]
fn an_announcement_half_a_second_later_refutes_a_crash() {
    let mut leader = Leader::new();
    for number in 0..3 {
        leader.announce(number);
    }
    leader.report(1, vec![record(7, &[0, 1, 2])]);
    assert_eq!(leader.wait(ms(300))[0].1[0].crashes.len(), 3);
    leader.announce(0);
    assert!(leader.wait(ms(300)).is_empty(), "too early");
    leader.announce(1);
    let sent = leader.wait(ms(200));
    assert_eq!(conns(&sent), [1, 2, 3]);
    let alive: Vec<&Holder> = sent[0].2.iter().map(|(holder, _)| holder).collect();
    assert_eq!(alive, [&holder(1)]);
    // An entry VM that missed it is told when it reports what it knows.
    let outdated = CrashRecord {
        crashes: [0, 1, 2].map(|number| (holder(number), ms(800))).into(),
        ..record(7, &[])
    };
    leader.report(2, vec![outdated]);
    let sent = leader.wait(ms(0));
    assert_eq!(conns(&sent), [2]);
    assert_eq!(sent[0].2[0].0, holder(1));
}

/// Guards against the removal of a silent target from the registry that counts as a sign of life.
#[test]
fn a_target_that_is_forgotten_has_still_crashed() {
    let mut leader = Leader::new();
    for number in 0..3 {
        leader.announce(number);
    }
    leader.report(1, vec![record(7, &[0, 1, 2])]);
    leader.wait(ms(19_000));
    for conn in 10..20 {
        leader.wait(ms(500));
        let message = PeerMessage::Subscribe {
            entry_id: 2,
            domain: "a".into(),
            index: 0,
        };
        leader.step(Event::Stream { conn, message });
        let known = CrashRecord {
            crashes: [0, 1, 2].map(|number| (holder(number), ms(18_000))).into(),
            ..record(7, &[])
        };
        leader.report(conn, vec![known]);
        let sent = leader.wait(ms(0));
        assert_eq!(conns(&sent), [conn]);
        assert_eq!(sent[0].1[0].crashes.len(), 3);
        assert!(sent[0].2.is_empty());
    }
}

/// Guards against entry VMs that go on with outdated evidence after their stream was interrupted.
#[test]
fn a_vm_that_missed_a_completion_is_told() {
    let mut leader = Leader::new();
    leader.report(1, vec![record(7, &[0, 1, 2]), record(9, &[0, 1])]);
    leader.wait(ms(200));
    leader.step(Event::StreamClosed(3));
    leader.report(1, vec![completed(7)]);
    leader.wait(ms(200));
    let message = PeerMessage::Subscribe {
        entry_id: 3,
        domain: "a".into(),
        index: 0,
    };
    leader.step(Event::Stream { conn: 5, message });
    let outdated = CrashRecord {
        crashes: [0, 1, 2].map(|number| (holder(number), ms(500))).into(),
        ..record(7, &[])
    };
    leader.report(5, vec![outdated]);
    let sent = leader.wait(ms(200));
    assert_eq!(conns(&sent), [5]);
    let told: Vec<_> = sent[0]
        .1
        .iter()
        .map(|r| (r.fingerprint, r.crashes.len()))
        .collect();
    assert_eq!(told, [(7, 0), (9, 2)]);
}

/// Guards against a flood of messages to hundreds of entry VMs while many targets reset
/// connections. A request that became quarantined is told first.
#[test]
fn messages_to_all_are_bounded() {
    let mut leader = Leader::new();
    let suspects: Vec<CrashRecord> = (0..500).map(|f| record(f, &[0, 1])).collect();
    leader.report(1, suspects);
    leader.report(1, vec![record(9999, &[0, 1, 2])]);
    let sent = leader.wait(ms(1000));
    let to_one: Vec<&Sent> = sent.iter().filter(|(conn, ..)| *conn == 2).collect();
    assert!((5..=11).contains(&to_one.len()), "{}", to_one.len());
    assert!(to_one.iter().all(|(_, records, _)| records.len() <= 16));
    assert_eq!(to_one[0].1[0].fingerprint, 9999);
    let largest = to_one.iter().map(|(_, records, alive)| {
        let message = PeerMessage::CrashEvidence {
            records: records.clone(),
            alive: alive.clone(),
        };
        message.encode().unwrap().len()
    });
    assert!(largest.max().unwrap() < 1024);
}
