//! Streams of entry VMs that take long to send or to receive a message.

use std::time::Duration;

use camphordale_fleet::{
    Control,
    Effect,
    Event,
    MemberList,
    PeerMessage, //
};

use crate::cluster::{
    config,
    member,
    ms, //
};

/// A group of one, with the stream 1 of an entry VM that was sent its view, and the stream 2 of one
/// that asks for its view in parts.
struct Leader {
    control: Control,
    now: Duration,
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
        };
        leader.wait(ms(2000));
        assert!(leader.control.is_leader());
        let (domain, index) = ("a".into(), 0);
        leader.receive(
            1,
            PeerMessage::Subscribe {
                entry_id: 1,
                domain,
                index,
            },
        );
        leader.receive(
            2,
            PeerMessage::Follow {
                entry_id: 2,
                domain: "a".into(),
                index,
                version: 0,
            },
        );
        leader
    }

    /// Returns the streams that are closed.
    fn step(&mut self, event: Event) -> Vec<u64> {
        let effects = self.control.step(event, self.now).into_iter();
        let closed = effects.filter_map(|effect| match effect {
            Effect::CloseStream(conn) => Some(conn),
            _ => None,
        });
        closed.collect()
    }

    fn receive(&mut self, conn: u64, message: PeerMessage) {
        self.step(Event::Stream { conn, message });
    }

    /// Lets time pass. Returns the streams that are closed.
    fn wait(&mut self, time: Duration) -> Vec<u64> {
        let end = self.now + time;
        let mut closed = Vec::new();
        while self.now < end {
            self.now += ms(10);
            closed.extend(self.step(Event::Tick));
        }
        closed
    }
}

/// Guards against streams that the leader closes while a long report arrives over a loaded link.
#[test]
fn a_stream_with_progress_is_kept() {
    let mut leader = Leader::new();
    for _ in 0..10 {
        for conn in 1..=2 {
            leader.step(Event::StreamProgress(conn));
        }
        assert_eq!(leader.wait(ms(1990)), [0; 0]);
    }
}

/// Guards against streams that the leader closes although their VMs send messages other than pings,
/// or receive a view that takes long.
#[test]
fn any_message_keeps_a_stream() {
    let ping = |sent| PeerMessage::Ping {
        sent,
        index: 0,
        load: Vec::new(),
        latencies: Vec::new(),
    };
    let evidence = PeerMessage::CrashEvidence {
        records: Vec::new(),
        alive: Vec::new(),
        trials: Vec::new(),
    };
    let mut leader = Leader::new();
    for _ in 0..10 {
        leader.receive(1, evidence.clone());
        leader.receive(2, ping(leader.now));
        assert_eq!(leader.wait(ms(1990)), [0; 0]);
    }
}

/// Guards against a leader that keeps the streams of VMs that are gone.
#[test]
fn a_stream_without_progress_is_closed() {
    let mut leader = Leader::new();
    leader.wait(ms(1000));
    for conn in 1..=2 {
        leader.step(Event::StreamProgress(conn));
    }
    assert_eq!(leader.wait(ms(1990)), [0; 0]);
    assert_eq!(leader.wait(ms(10)), [1, 2]);
    leader.step(Event::StreamProgress(1));
    assert_eq!(leader.wait(ms(3000)), [0; 0], "it is closed once");
}
