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
    PeerMessage,
    crash_evidence::SETTLE_AFTER,
    crash_trials::{
        TrialNews,
        TrialOrder,
        Trials, //
    }, //
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

/// Asks for a trial of a request.
fn request(fingerprint: Fingerprint) -> Vec<TrialNews> {
    vec![TrialNews {
        fingerprint,
        trials: Trials::default(),
        age: ms(0),
        order: TrialOrder::Request,
    }]
}

/// A group of one, with the streams 1 to 4, of which the last is of an older version.
struct Leader {
    control: Control,
    now: Duration,
    sequence: u64,
    sent: Vec<Sent>,
    /// Trials that the leader sends, with the connection.
    trials: Vec<(u64, TrialNews)>,
}

impl Leader {
    fn new() -> Leader {
        Leader::starting_at(ms(0))
    }

    fn starting_at(now: Duration) -> Leader {
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
            now,
            sequence: 0,
            sent: Vec::new(),
            trials: Vec::new(),
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
            if let PeerMessage::CrashEvidence {
                records,
                alive,
                trials,
            } = message
            {
                for conn in &conns {
                    let news = trials.iter().map(|news| (*conn, news.clone()));
                    self.trials.extend(news);
                }
                let sent = conns.into_iter();
                let sent = sent.map(|conn| (conn, records.clone(), alive.clone()));
                self.sent.extend(sent);
            }
        }
    }

    fn report(&mut self, conn: u64, records: Vec<CrashRecord>) {
        self.report_with(conn, records, Vec::new());
    }

    fn report_with(&mut self, conn: u64, records: Vec<CrashRecord>, trials: Vec<TrialNews>) {
        let message = PeerMessage::CrashEvidence {
            records,
            alive: Vec::new(),
            trials,
        };
        self.step(Event::Stream { conn, message });
    }

    /// The connections to which the leader granted trials since the last time.
    fn take_grants(&mut self) -> Vec<u64> {
        let trials = std::mem::take(&mut self.trials).into_iter();
        let grants = trials.filter(|(_, news)| news.order == TrialOrder::Grant);
        grants.map(|(conn, _)| conn).collect()
    }

    fn announce(&mut self, number: u64) {
        self.sequence += 1;
        let mut call = announcement(self.sequence, 100, false);
        call.id = holder(number).id;
        call.address = format!("10.1.0.{}:80", number + 1).parse().unwrap();
        let call = Call::Announce(Box::new(call));
        self.step(Event::Call { token: 0, call });
    }

    /// Lets time pass while the entry VMs keep their streams.
    fn wait_with_pings(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for conn in 1..=3 {
                let message = PeerMessage::Ping {
                    sent: self.now,
                    index: 0,
                    load: Vec::new(),
                    latencies: Vec::new(),
                };
                self.step(Event::Stream { conn, message });
            }
            self.wait((end - self.now).min(ms(500)));
        }
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
            trials: Vec::new(),
        };
        message.encode().unwrap().len()
    });
    assert!(largest.max().unwrap() < 1024);
}

/// Guards against several VMs that try a request at the same time, and against one that is told nothing
/// of the trial of another.
#[test]
fn one_vm_at_a_time_tries_a_request() {
    let mut leader = Leader::new();
    leader.report(1, vec![record(7, &[0, 1, 2])]);
    leader.report_with(2, Vec::new(), request(7));
    assert!(
        leader.take_grants().is_empty(),
        "the crashes may be refuted"
    );
    leader.wait_with_pings(SETTLE_AFTER);
    leader.report_with(2, Vec::new(), request(7));
    leader.report_with(3, Vec::new(), request(7));
    assert_eq!(leader.take_grants(), [2]);
    leader.wait(ms(200));
    let told: Vec<(u64, u32)> = std::mem::take(&mut leader.trials)
        .into_iter()
        .map(|(conn, news)| (conn, news.trials.sent()))
        .collect();
    assert_eq!(told, [(1, 1), (2, 1), (3, 1)]);
    // Without a result, the next one follows 10 s later.
    leader.wait_with_pings(ms(9000));
    leader.report_with(3, Vec::new(), request(7));
    assert!(leader.take_grants().is_empty());
    leader.wait_with_pings(ms(1000));
    leader.report_with(3, Vec::new(), request(7));
    assert_eq!(leader.take_grants(), [3]);
}

/// Guards against a new leader that repeats the trial of the one before, because the entry VM that made
/// it has not reported yet.
#[test]
fn a_new_leader_gives_no_trial_until_entry_vms_have_reported() {
    let mut leader = Leader::starting_at(ms(100_000));
    let old = CrashRecord {
        crashes: [0, 1, 2].map(|number| (holder(number), ms(60_000))).into(),
        ..record(7, &[])
    };
    leader.report_with(1, vec![old], request(7));
    assert!(leader.take_grants().is_empty());
    leader.wait_with_pings(SETTLE_AFTER);
    leader.report_with(1, Vec::new(), request(7));
    assert_eq!(leader.take_grants(), [1]);
}

/// Guards against a trial of a request that has reached more targets than are counted, because signs of
/// life that arrived late refuted crashes that had happened.
#[test]
fn a_request_with_a_refuted_crash_is_not_tried() {
    let mut leader = Leader::new();
    leader.announce(9);
    leader.report(1, vec![record(7, &[9])]);
    leader.wait_with_pings(ms(600));
    leader.announce(9);
    leader.report(1, vec![record(7, &[0, 1, 2])]);
    leader.wait_with_pings(SETTLE_AFTER);
    leader.report_with(1, Vec::new(), request(7));
    assert!(leader.take_grants().is_empty());
    // A completion shows that it does no harm.
    leader.report(1, vec![completed(7)]);
    leader.wait(ms(10));
    leader.report(1, vec![record(7, &[3, 4, 5])]);
    leader.wait_with_pings(SETTLE_AFTER);
    leader.report_with(1, Vec::new(), request(7));
    assert_eq!(leader.take_grants(), [1]);
}
