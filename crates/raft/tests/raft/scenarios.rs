//! Single situations that random histories reach seldom or check only indirectly.

use camphordale_raft::{
    AppendReply,
    Config,
    Effect,
    Entry,
    Event,
    HardState,
    MemberId,
    MembershipChange,
    Message,
    Payload,
    Raft,
    RecoveredState,
    Role, //
};
use rstest::rstest;

use crate::sim::{
    ELECTION,
    LEASE,
    Sim,
    config,
    first,
    ms, //
};

/// Entries from index 1 on with the given terms.
fn entries(log: Vec<(u64, Payload)>) -> Vec<Entry> {
    let entry = |(index, (term, payload))| Entry {
        index,
        term,
        payload,
    };
    (1..).zip(log).map(entry).collect()
}

/// A member of the group 1, 2, 3 with the given log, past the wait after a restart.
fn member(id: MemberId, term: u64, terms: &[u64]) -> Raft {
    let log = terms.iter().map(|term| (*term, Payload::Noop));
    let recovered = RecoveredState {
        hard_state: HardState {
            term,
            voted_for: None,
        },
        entries: entries(log.collect()),
        ..first([1, 2, 3])
    };
    let mut raft = Raft::new(config(id, 7), recovered);
    raft.step(Event::Tick, ms(0));
    raft
}

fn receive(raft: &mut Raft, from: MemberId, message: Message, at: u64) -> Vec<Effect> {
    raft.step(Event::Receive { from, message }, ms(at))
}

fn vote(term: u64, last_index: u64, last_term: u64) -> Message {
    let pre_vote = false;
    Message::RequestVote {
        term,
        last_index,
        last_term,
        pre_vote,
    }
}

fn append(term: u64, prev_index: u64, prev_term: u64, round: u64) -> Message {
    let (entries, commit) = (Vec::new(), 0);
    Message::AppendEntries {
        term,
        prev_index,
        prev_term,
        entries,
        commit,
        round,
    }
}

fn answer(term: u64, index: u64, round: u64) -> Message {
    let success = true;
    Message::AppendReply(AppendReply {
        term,
        success,
        index,
        round,
    })
}

fn granted(effects: &[Effect]) -> bool {
    format!("{effects:?}").contains("granted: true")
}

/// Makes a member of the group 1, 2, 3 the leader of the term after its own, at `at`.
fn lead(raft: &mut Raft, at: u64) {
    let term = raft.term() + 1;
    raft.step(Event::Tick, ms(at));
    for (from, pre_vote) in [(2, true), (3, true), (2, false), (3, false)] {
        let granted = true;
        let message = Message::VoteReply {
            term,
            granted,
            pre_vote,
        };
        receive(raft, from, message, at);
    }
    assert_eq!((raft.role(), raft.term()), (Role::Leader, term));
}

/// Guards against a leader that is cut off and keeps its office.
#[test]
fn an_isolated_leader_steps_down() {
    let mut sim = Sim::new(11, 3);
    let old = sim.elect();
    sim.isolate(old);
    sim.run(ELECTION * 2 + ms(60));
    assert_ne!(sim.raft(old).role(), Role::Leader);
    assert_eq!(sim.raft(old).lease_expiry(), None);
    sim.settle();
}

/// Guards against a voter that comes back from isolation with a higher term and deposes a leader.
#[test]
fn a_returning_voter_does_not_disturb() {
    let mut sim = Sim::new(12, 3);
    let leader = sim.elect();
    let term = sim.raft(leader).term();
    let away = sim.nodes.keys().copied().find(|id| *id != leader).unwrap();
    sim.isolate(away);
    sim.run(ms(3_000));
    assert_eq!(sim.raft(away).term(), term);
    sim.cuts.clear();
    sim.run(ms(1_000));
    assert_eq!(
        (sim.leader(), sim.raft(leader).term()),
        (Some(leader), term)
    );
}

/// Guards against a repair that ends before the new voter counts: as soon as it has ended, the next
/// voter is lost, every second time the leader.
#[rstest]
#[case(21)]
#[case(22)]
fn a_second_voter_may_be_lost_right_after_a_repair(#[case] seed: u64) {
    let mut sim = Sim::new(seed, 3);
    let mut leader = sim.elect();
    for round in 0..6 {
        let voters = &sim.members.voters;
        let other = voters.iter().copied().find(|id| *id != leader).unwrap();
        let old = if round % 2 == 0 { other } else { leader };
        sim.lose(old);
        leader = sim.elect();
        for _ in 0..20 {
            sim.propose(leader);
        }
        sim.compact(leader);
        let new = sim.add(RecoveredState::default());
        for change in [
            MembershipChange::AddLearner(new),
            MembershipChange::Promote(new),
            MembershipChange::Remove(old),
        ] {
            let before = sim.members.clone();
            while sim.members == before {
                sim.change(leader, change);
                sim.run(ms(1));
            }
        }
    }
    sim.settle();
    assert!(sim.acked > 6 * 24);
}

/// Guards against a restart that loses what follows the snapshot, or applies entries twice.
#[test]
fn a_member_restarts_from_a_snapshot_and_hundreds_of_entries() {
    let mut sim = Sim::new(31, 3);
    let leader = sim.elect();
    for count in 0..900 {
        sim.propose(leader);
        sim.run(ms(5));
        if count == 300 {
            sim.compact(leader);
        }
    }
    let follower = sim.nodes.keys().copied().find(|id| *id != leader).unwrap();
    sim.crash(follower, ms(100));
    sim.crash(leader, ms(100));
    sim.run(ms(15));
    let kept = &sim.nodes[&leader].disk;
    assert!(kept.snapshot.as_ref().unwrap().index >= 300 && kept.entries.len() >= 500);
    sim.settle();
    assert!(sim.acked >= 900);
}

/// Guards against a compacted log that leaves a lagging member behind for good.
#[test]
fn a_member_behind_the_compacted_log_gets_the_snapshot() {
    let mut sim = Sim::new(32, 3);
    let leader = sim.elect();
    let away = sim.nodes.keys().copied().find(|id| *id != leader).unwrap();
    sim.isolate(away);
    for _ in 0..50 {
        sim.propose(leader);
        sim.run(ms(20));
    }
    sim.compact(leader);
    assert_eq!(sim.raft(leader).log_len(), 0);
    sim.settle();
    assert_eq!(sim.restored, 1);
}

/// Guards against a standstill with one of three voters lost. The lost leader of term 2 reached
/// only the learner 4, so the learner accepts no other log; voter 1 needs its vote for a promotion
/// that is not committed; and voter 2 lacks a committed entry.
#[test]
fn a_learner_with_the_only_complete_log_ends_a_standstill() {
    let mut sim = Sim::new(37, 3);
    sim.add(first([1, 2, 3]));
    let mut before = sim.members.clone();
    before.learners.insert(4);
    let mut after = sim.members.clone();
    after.voters.insert(4);
    let [before, after] = [before, after].map(Payload::Members);
    let logs = [
        (1, vec![(1, Payload::Noop), (1, before.clone()), (1, after)]),
        (2, vec![(1, Payload::Noop)]),
        (4, vec![(1, Payload::Noop), (1, before), (2, Payload::Noop)]),
    ];
    for (id, log) in logs {
        let disk = &mut sim.node(id).disk;
        disk.hard_state.term = 2;
        disk.entries = entries(log);
        sim.crash(id, ms(0));
    }
    sim.lose(3);
    let leader = sim.elect();
    assert!(leader != 4 && sim.raft(leader).members().learners.contains(&4));
}

/// Guards against a learner that keeps the office it took to end a standstill.
#[test]
fn a_learner_leads_only_until_its_log_is_committed() {
    let mut disk = first([1, 2, 3]);
    let snapshot = disk.snapshot.as_mut().unwrap();
    snapshot.members.learners.insert(4);
    let mut raft = Raft::new(config(4, 7), disk);
    raft.step(Event::Tick, ms(0));
    lead(&mut raft, 700);
    receive(&mut raft, 2, answer(1, 1, 1), 701);
    assert_eq!((raft.commit_index(), raft.role()), (0, Role::Leader));
    receive(&mut raft, 3, answer(1, 1, 1), 702);
    assert_eq!((raft.commit_index(), raft.role()), (1, Role::Follower));
}

/// Guards against resends and duplicate answers that multiply traffic.
#[test]
fn duplicates_do_not_multiply_messages() {
    let mut sim = Sim::new(33, 3);
    let leader = sim.elect();
    sim.twice = 1_000;
    sim.sent.clear();
    for _ in 0..100 {
        sim.propose(leader);
        sim.run(ms(10));
    }
    // 100 appends and 25 heartbeats to 2 followers, each answered twice, and nothing for answers.
    assert!(sim.sent.len() <= 2 * 3 * 130, "{} messages", sim.sent.len());
}

/// Guards against a member whose storage failed and that still answers.
#[test]
fn a_member_is_silent_after_a_storage_failure() {
    let mut sim = Sim::new(34, 3);
    let leader = sim.elect();
    let request = sim.propose(leader);
    sim.step(leader, Event::StorageFailed);
    assert!(!sim.pending(request) && !sim.refused(request));
    sim.sent.clear();
    sim.run(ms(2_000));
    assert!(sim.sent.iter().all(|from| *from != leader));
    let refused = sim.propose(leader);
    assert!(sim.refused(refused) && sim.leader().is_some());
}

/// Guards against a promotion that leaves the group with a voter that lacks committed entries.
#[test]
fn a_lagging_learner_is_not_promoted() {
    let mut sim = Sim::new(35, 3);
    let leader = sim.elect();
    let learner = sim.add(RecoveredState::default());
    sim.isolate(learner);
    sim.change(leader, MembershipChange::AddLearner(learner));
    sim.run(ms(50));
    assert!(sim.members.learners.contains(&learner));
    sim.change(leader, MembershipChange::Promote(learner));
    assert!(sim.raft(leader).members().learners.contains(&learner));
    sim.cuts.clear();
    sim.run(ms(200));
    sim.change(leader, MembershipChange::Promote(learner));
    assert!(sim.raft(leader).members().voters.contains(&learner));
}

/// Guards against two changes at a time, whose quorums need not intersect.
#[test]
fn a_second_change_waits_for_the_first() {
    let mut sim = Sim::new(36, 5);
    let leader = sim.elect();
    let others: Vec<_> = sim
        .nodes
        .keys()
        .copied()
        .filter(|id| *id != leader)
        .collect();
    sim.change(leader, MembershipChange::Remove(others[0]));
    sim.change(leader, MembershipChange::Remove(others[1]));
    assert_eq!(sim.raft(leader).members().voters.len(), 4);
    sim.run(ms(60));
    sim.change(leader, MembershipChange::Remove(leader));
    sim.run(ms(60));
    assert_ne!(sim.raft(leader).role(), Role::Leader);
    sim.settle();
    assert_eq!(sim.members.voters.len(), 3);
}

/// Guards against commit by counting of an entry of an earlier term, which a later leader may
/// still replace.
#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting() {
    let mut raft = member(1, 2, &[1, 2]);
    lead(&mut raft, 400);
    receive(&mut raft, 2, answer(3, 2, 1), 401);
    assert_eq!(raft.commit_index(), 0);
    receive(&mut raft, 2, answer(3, 3, 1), 402);
    assert_eq!(raft.commit_index(), 3);
}

/// Guards against a vote for a candidate that lacks entries of the voter, and against a vote while
/// a leader may rely on this member: after a heartbeat, and after a restart that may follow one.
#[rstest]
#[case::earlier_term(None, 160, (9, 1), false)]
#[case::shorter(None, 160, (1, 2), false)]
#[case::equal(None, 160, (2, 2), true)]
#[case::later_term(None, 160, (1, 3), true)]
#[case::heartbeat(Some(500), 649, (2, 2), false)]
#[case::heartbeat_long_ago(Some(500), 650, (2, 2), true)]
#[case::restart(None, 149, (2, 2), false)]
#[case::restart_long_ago(None, 150, (2, 2), true)]
fn a_vote_needs_a_complete_log_and_no_lease(
    #[case] heard: Option<u64>,
    #[case] at: u64,
    #[case] last: (u64, u64),
    #[case] expected: bool,
) {
    let mut raft = member(1, 2, &[1, 2]);
    if let Some(heard) = heard {
        receive(&mut raft, 3, append(2, 2, 2, 5), heard);
    }
    let effects = receive(&mut raft, 2, vote(4, last.0, last.1), at);
    assert_eq!(granted(&effects), expected);
    let free = at >= heard.unwrap_or_default() + 150;
    assert_eq!(raft.term(), if free { 4 } else { 2 });
}

/// Guards against a leader that is deposed by an answer of a later term and votes at once, while
/// its own lease still holds.
#[test]
fn a_former_leader_does_not_vote_during_its_lease() {
    let mut raft = member(1, 1, &[1]);
    lead(&mut raft, 400);
    receive(&mut raft, 2, answer(2, 2, 1), 410);
    assert_eq!(raft.lease_expiry(), Some(ms(550)));
    receive(&mut raft, 3, answer(3, 0, 0), 420);
    assert!(!granted(&receive(&mut raft, 3, vote(4, 9, 2), 549)));
    assert!(granted(&receive(&mut raft, 3, vote(4, 9, 2), 550)));
}

/// Guards against a change by a new leader before it knows which change is the latest committed.
#[test]
fn a_change_waits_for_an_entry_of_the_term() {
    let mut raft = member(1, 1, &[1]);
    lead(&mut raft, 400);
    let change = MembershipChange::AddLearner(4);
    let early = raft.step(Event::ChangeMembers { id: 5, change }, ms(401));
    assert!(matches!(
        early[..],
        [Effect::RequestDropped {
            may_commit: false,
            ..
        }]
    ));
    receive(&mut raft, 2, answer(2, 2, 1), 402);
    raft.step(Event::ChangeMembers { id: 6, change }, ms(403));
    assert!(raft.members().learners.contains(&4));
}

/// Guards against a late refusal of an append of an earlier term that is counted as an answer to
/// a round of the present term and extends the lease.
#[test]
fn a_refusal_of_an_earlier_term_does_not_extend_the_lease() {
    let mut follower = member(2, 5, &[1]);
    let effects = receive(&mut follower, 1, append(3, 1, 1, 1), 200);
    let mut leader = member(1, 4, &[1]);
    lead(&mut leader, 400);
    for effect in effects {
        if let Effect::Send { message, .. } = effect {
            receive(&mut leader, 2, message, 401);
        }
    }
    assert_eq!(leader.lease_expiry(), None);
    receive(&mut leader, 2, answer(5, 2, 1), 402);
    assert_eq!(leader.lease_expiry(), Some(ms(400) + ELECTION));
}

/// Guards against a read that is answered by a round from before it arrived.
#[test]
fn a_read_needs_a_round_of_its_own() {
    let mut raft = member(1, 1, &[1]);
    lead(&mut raft, 400);
    raft.step(Event::Read { id: 5 }, ms(401));
    let ready = |effects: Vec<Effect>| effects.contains(&Effect::ReadReady { id: 5, index: 2 });
    assert!(!ready(receive(&mut raft, 2, answer(2, 2, 1), 402)));
    assert!(ready(receive(&mut raft, 2, answer(2, 2, 2), 403)));
}

/// Guards against recovered entries with a gap, which would be taken for a complete log.
#[test]
fn a_member_with_gaps_in_its_log_is_silent() {
    let mut recovered = first([1]);
    recovered.hard_state.term = 1;
    let payload = Payload::Noop;
    let (index, term) = (2, 1);
    recovered.entries.push(Entry {
        index,
        term,
        payload,
    });
    let mut raft = Raft::new(config(1, 7), recovered);
    assert!(raft.failed() && raft.step(Event::Tick, ms(9_000)).is_empty());
}

/// Guards against a group of one that cannot start, and against one that has restarted and leads
/// while the leader that removed itself may still rely on its answer.
#[test]
fn a_sole_voter_leads_at_once_but_waits_after_a_restart() {
    let mut sim = Sim::new(41, 1);
    sim.run(ms(0));
    assert_eq!(sim.leader(), Some(1));
    sim.propose(1);
    assert_eq!(sim.acked, 2);
    sim.crash(1, ms(5));
    sim.run(ms(20));
    assert_eq!(sim.leader(), None);
    sim.run(LEASE - ms(20));
    assert_eq!(sim.leader(), None);
    sim.run(ms(30));
    assert_eq!(sim.leader(), Some(1));
}

/// Guards against a pause of two election times after a restart of all members: they wait for the
/// lease that a leader may have had, and then stand for election one after the other.
#[test]
fn members_that_restart_together_elect_a_leader_soon() {
    let slow = (0..40).filter(|seed| {
        let mut sim = Sim::new(*seed, 3);
        sim.elect();
        for id in 1..=3 {
            sim.crash(id, ms(5));
        }
        let turns = ELECTION * 3 / 8;
        sim.run(ms(15) + LEASE + turns + ms(40));
        sim.leader().is_none()
    });
    assert_eq!(slow.collect::<Vec<_>>(), [] as [u64; 0]);
}

/// Guards against a vote within the lease that a leader may have had when the voter restarted, and
/// against a wait for the longer election time.
#[test]
fn a_voter_that_restarted_grants_nothing_within_the_lease() {
    let recovered = RecoveredState {
        hard_state: HardState {
            term: 5,
            voted_for: None,
        },
        entries: entries(vec![(1, Payload::Noop)]),
        ..first([1, 2, 3])
    };
    let config = Config {
        lease: LEASE,
        ..config(2, 7)
    };
    let mut voter = Raft::new(config, recovered);
    voter.step(Event::Tick, ms(0));
    let pre = Message::RequestVote {
        term: 6,
        last_index: 9,
        last_term: 5,
        pre_vote: true,
    };
    let before = LEASE.as_millis() as u64 - 1;
    assert!(!granted(&receive(&mut voter, 1, pre.clone(), before)));
    assert!(granted(&receive(&mut voter, 1, pre, before + 2)));
}
