//! Replication of entries and snapshots that take long to transfer.

use camphordale_raft::{
    AppendReply,
    Config,
    Effect,
    Entry,
    Event,
    MemberId,
    Message,
    Payload,
    Raft,
    Role, //
};

use crate::{
    scenarios::make_leader,
    sim::{
        config,
        initial_state,
        ms, //
    },
};

const MAX_BATCH_BYTES: usize = 256 << 10;

/// Member 1, which leads the group of 1, 2 and 3 since 500 ms.
fn leader() -> Raft {
    let config = Config {
        max_batch: 64,
        max_batch_bytes: MAX_BATCH_BYTES,
        ..config(1, 7)
    };
    let mut raft = Raft::new(config, initial_state([1, 2, 3]));
    raft.step(Event::Tick, ms(0));
    make_leader(&mut raft, 500);
    raft
}

/// What a follower is sent: entries with the round of their message, and whether a snapshot came.
#[derive(Default)]
struct Sent {
    messages: Vec<(u64, Vec<Entry>)>,
    snapshots: usize,
}

impl Sent {
    fn collect(&mut self, to: MemberId, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send {
                    to: receiver,
                    message: Message::AppendEntries { entries, round, .. },
                } if receiver == to => self.messages.push((round, entries)),
                Effect::Send {
                    to: receiver,
                    message: Message::InstallSnapshot { .. },
                } if receiver == to => self.snapshots += 1,
                _ => {}
            }
        }
    }

    fn bytes(&self) -> usize {
        let entries = self.messages.iter().flat_map(|(_, entries)| entries);
        entries.map(Entry::size).sum()
    }

    fn last_round(&self) -> u64 {
        self.messages.last().map_or(0, |(round, _)| *round)
    }
}

fn propose(raft: &mut Raft, bytes: usize, at: u64) -> Vec<Effect> {
    let data = vec![1; bytes];
    raft.step(Event::Propose { id: at, data }, ms(at))
}

fn reply(raft: &mut Raft, from: MemberId, index: u64, round: u64, at: u64) -> Vec<Effect> {
    let message = Message::AppendReply(AppendReply {
        term: raft.term(),
        success: true,
        index,
        round,
    });
    raft.step(Event::Receive { from, message }, ms(at))
}

fn last_index(raft: &Raft) -> u64 {
    raft.match_index(1).unwrap()
}

/// Guards against a message that is longer than VMs accept, and against heartbeats that wait behind
/// one, when a follower has missed many long entries.
#[test]
fn long_entries_are_sent_in_several_messages() {
    let mut raft = leader();
    let noop = last_index(&raft);
    for number in 0..6 {
        propose(&mut raft, 100 << 10, 501 + number);
    }
    let last = last_index(&raft);
    let (mut index, mut at) = (noop, 520);
    while index < last {
        let mut sent = Sent::default();
        sent.collect(2, reply(&mut raft, 2, index, 1, at));
        assert!(sent.bytes() <= MAX_BATCH_BYTES, "{} bytes", sent.bytes());
        index += sent
            .messages
            .iter()
            .map(|(_, e)| e.len() as u64)
            .sum::<u64>();
        at += 1;
        assert!(at < 600);
    }
    // An entry that is longer than a message is sent by itself.
    let mut sent = Sent::default();
    sent.collect(2, reply(&mut raft, 2, last, 1, at));
    sent.collect(2, propose(&mut raft, 2 * MAX_BATCH_BYTES, at + 1));
    assert_eq!(sent.messages.len(), 1);
    assert!(matches!(&sent.messages[0].1[..], [entry]
        if matches!(&entry.payload, Payload::Data(data) if data.len() == 2 * MAX_BATCH_BYTES)));
}

/// Guards against a leader that runs out of memory because a follower does not read: long entries
/// were added to its output with each heartbeat.
#[test]
fn a_follower_that_does_not_read_is_sent_long_entries_once() {
    let mut raft = leader();
    let noop = last_index(&raft);
    let mut sent = Sent::default();
    sent.collect(2, reply(&mut raft, 2, noop, 1, 501));
    sent.collect(2, propose(&mut raft, 200 << 10, 502));
    for at in 503..2500 {
        // The other follower replies, so that the leader goes on.
        let (index, mut other) = (last_index(&raft), Sent::default());
        let effects = raft.step(Event::Tick, ms(at));
        other.collect(3, effects.clone());
        sent.collect(2, effects);
        if other.last_round() > 0 {
            reply(&mut raft, 3, index, other.last_round(), at);
        }
    }
    assert_eq!(raft.role(), Role::Leader);
    assert!(sent.messages.len() > 20, "heartbeats are sent");
    assert!(sent.bytes() < 2 * (200 << 10), "{} bytes", sent.bytes());
}

/// Guards against a follower that waits for an election because long entries were lost on their way.
#[test]
fn long_entries_that_were_lost_are_sent_again_after_the_next_reply() {
    let mut raft = leader();
    let noop = last_index(&raft);
    let mut sent = Sent::default();
    reply(&mut raft, 2, noop, 1, 501);
    sent.collect(2, propose(&mut raft, 200 << 10, 502));
    let first = sent.bytes();
    assert!(first > 200 << 10);
    // A reply to an earlier message says nothing about them.
    let round = sent.last_round();
    sent.collect(2, reply(&mut raft, 2, noop, round, 503));
    assert_eq!(sent.bytes(), first);
    let mut at = 503;
    while sent.last_round() <= round {
        at += 10;
        sent.collect(2, raft.step(Event::Tick, ms(at)));
    }
    assert!(at < 600, "the next heartbeat came at {at} ms");
    let round = sent.last_round();
    sent.collect(2, reply(&mut raft, 2, noop, round, at + 1));
    assert_eq!(sent.bytes(), 2 * first);
}

/// Guards against a leader that adds a snapshot to the output for a follower every election timeout,
/// though that follower reads nothing.
#[test]
fn a_follower_that_does_not_read_is_sent_the_snapshot_once() {
    let mut raft = leader();
    let noop = last_index(&raft);
    reply(&mut raft, 3, noop, 1, 501);
    let index = raft.applied_index();
    assert!(index > 0);
    // Nothing before the snapshot is kept for followers that lag.
    propose(&mut raft, 2 * MAX_BATCH_BYTES, 502);
    let last = last_index(&raft);
    reply(&mut raft, 3, last, 1, 503);
    let data = vec![1; 100];
    raft.step(Event::Compact { index: last, data }, ms(504));
    let mut sent = Sent::default();
    for at in 505..2500 {
        let mut other = Sent::default();
        let effects = raft.step(Event::Tick, ms(at));
        other.collect(3, effects.clone());
        sent.collect(2, effects);
        if other.last_round() > 0 {
            reply(&mut raft, 3, last, other.last_round(), at);
        }
    }
    assert_eq!((raft.role(), sent.snapshots), (Role::Leader, 1));
    assert!(sent.messages.len() > 20, "heartbeats are sent");
    // Once the follower replies that it lacks the snapshot's entries, it is sent again.
    let (from, index) = (2, noop);
    let message = Message::AppendReply(AppendReply {
        term: raft.term(),
        success: false,
        index,
        round: sent.last_round(),
    });
    sent.collect(2, raft.step(Event::Receive { from, message }, ms(2500)));
    assert_eq!(sent.snapshots, 2);
}

/// Guards against a snapshot that is sent again from its first byte while it is under way, because
/// replies to messages before it still arrive. Heartbeats and entries wait behind each copy.
#[test]
fn a_snapshot_under_way_is_not_sent_again_after_earlier_replies() {
    let mut raft = leader();
    let noop = last_index(&raft);
    reply(&mut raft, 3, noop, 1, 501);
    propose(&mut raft, 2 * MAX_BATCH_BYTES, 502);
    let last = last_index(&raft);
    reply(&mut raft, 3, last, 1, 503);
    let (mut sent, mut at) = (Sent::default(), 503);
    while sent.last_round() <= 1 {
        at += 1;
        sent.collect(2, raft.step(Event::Tick, ms(at)));
    }
    let earlier = sent.last_round();
    let data = vec![1; 100];
    raft.step(Event::Compact { index: last, data }, ms(at));
    while sent.snapshots == 0 {
        at += 1;
        sent.collect(2, raft.step(Event::Tick, ms(at)));
    }
    sent.collect(2, reply(&mut raft, 2, 0, earlier, at + 1));
    for at in at + 2..at + 2000 {
        let mut other = Sent::default();
        let effects = raft.step(Event::Tick, ms(at));
        other.collect(3, effects.clone());
        sent.collect(2, effects);
        if other.last_round() > 0 {
            reply(&mut raft, 3, last, other.last_round(), at);
        }
    }
    assert_eq!((raft.role(), sent.snapshots), (Role::Leader, 1));
    // A reply to a later message shows that it was lost.
    let (from, round) = (2, sent.last_round());
    let message = Message::AppendReply(AppendReply {
        term: raft.term(),
        success: false,
        index: noop,
        round,
    });
    sent.collect(
        2,
        raft.step(Event::Receive { from, message }, ms(at + 2000)),
    );
    assert_eq!(sent.snapshots, 2);
}
