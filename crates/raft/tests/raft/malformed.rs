//! Malformed messages, which no correct member sends.

use std::time::Duration;

use camphordale_raft::{
    AppendReply,
    Entry,
    Event,
    Members,
    MembershipChange,
    Message,
    Payload,
    Raft,
    RecoveredState,
    Snapshot, //
};
use proptest::{
    array::uniform7,
    collection::vec,
    prelude::*,
    sample::select,
    test_runner::RngSeed, //
};

use crate::sim::{
    config,
    initial_state, //
};

/// Numbers that fit a short log, and numbers at which additions overflow.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![6 => 0..6u64, 1 => select(vec![u64::MAX >> 1, u64::MAX - 1, u64::MAX])]
}

fn members(number: u64) -> Members {
    Members {
        voters: (number % 3..3).collect(),
        learners: (3..number % 6).collect(),
    }
}

prop_compose! {
    /// Entries that are contiguous in most cases.
    fn entries()(index in number(), term in number(), count in 0..4u64, kind in number()) -> Vec<Entry> {
        let entry = |at: u64| Entry {
            index: index.wrapping_add(at * (kind % 3)),
            term: term.wrapping_add(at * (kind % 2)),
            payload: if at == 1 { Payload::Members(members(kind)) } else { Payload::Noop },
        };
        (0..count).map(entry).collect()
    }
}

prop_compose! {
    fn message()(kind in 0..5, n in uniform7(number()), yes in any::<bool>(), entries in entries()) -> Message {
        let [term, index, other, round, commit, prev_index, prev_term] = n;
        let snapshot = Snapshot { index, term: other, members: members(commit), data: Vec::new() };
        match kind {
            0 => Message::RequestVote { term, last_index: index, last_term: other, pre_vote: yes },
            1 => Message::VoteReply { term, granted: yes, pre_vote: round % 2 == 0 },
            2 => Message::AppendReply(AppendReply { term, success: yes, index, round }),
            3 => Message::InstallSnapshot { term, snapshot, round },
            _ => Message::AppendEntries { term, prev_index, prev_term, entries, commit, round },
        }
    }
}

prop_compose! {
    fn event()(kind in 0..40, id in 0..5u64, index in number(), message in message()) -> Event {
        match kind {
            0..6 => Event::Tick,
            6 => Event::Propose { id, data: Vec::new() },
            7 => Event::Read { id },
            8 => Event::ChangeMembers { id, change: MembershipChange::AddLearner(index) },
            9 => Event::ChangeMembers { id, change: MembershipChange::Promote(index) },
            10 => Event::ChangeMembers { id, change: MembershipChange::Remove(index) },
            11..13 => Event::Compact { index, data: Vec::new() },
            _ => Event::Receive { from: id, message },
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against panics, overflows and loss of committed entries caused by malformed messages.
    #[test]
    fn malformed_messages_never_panic(
        voters in 0..4u64,
        steps in vec((event(), 0..400u64), 1..60),
    ) {
        let disk = if voters == 0 { RecoveredState::default() } else { initial_state(1..=voters) };
        let mut raft = Raft::new(config(1, 9), disk);
        let mut now = Duration::ZERO;
        let mut commit = 0;
        for (event, pause) in steps {
            now += Duration::from_millis(pause);
            raft.step(event, now);
            prop_assert!(raft.commit_index() >= commit && raft.applied_index() == raft.commit_index());
            commit = raft.commit_index();
        }
    }
}
