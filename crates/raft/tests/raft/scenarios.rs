//! Single scenarios that random histories rarely reach or check only indirectly.

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
    initial_state,
    ms, //
};

/// Entries with the given terms, starting at index 1.
fn entries(log: Vec<(u64, Payload)>) -> Vec<Entry> {
    let entry = |(index, (term, payload))| Entry {
        index,
        term,
        payload,
    };
    (1..).zip(log).map(entry).collect()
}

/// A member of the group 1, 2, 3 with the given log that was restarted at time 0.
fn restarted_member(id: MemberId, term: u64, terms: &[u64]) -> Raft {
    let log = terms.iter().map(|term| (*term, Payload::Noop));
    let recovered = RecoveredState {
        hard_state: HardState {
            term,
            voted_for: None,
        },
        entries: entries(log.collect()),
        ..initial_state([1, 2, 3])
    };
    let mut raft = Raft::new(config(id, 7), recovered);
    raft.step(Event::Tick, ms(0));
    raft
}

fn receive(raft: &mut Raft, from: MemberId, message: Message, at: u64) -> Vec<Effect> {
    raft.step(Event::Receive { from, message }, ms(at))
}

fn vote_request(term: u64, last_index: u64, last_term: u64) -> Message {
    let pre_vote = false;
    Message::RequestVote {
        term,
        last_index,
        last_term,
        pre_vote,
    }
}

fn heartbeat(term: u64, prev_index: u64, prev_term: u64, round: u64) -> Message {
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

fn append_reply(term: u64, index: u64, round: u64) -> Message {
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

/// Makes a member of the group 1, 2, 3 the leader of its next term, at `at` milliseconds.
pub(crate) fn make_leader(raft: &mut Raft, at: u64) {
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

/// Guards against an isolated leader that does not step down.
#[test]
fn an_isolated_leader_steps_down() {
    let mut sim = Sim::new(11, 3);
    let old = sim.wait_for_leader();
    sim.isolate(old);
    sim.run(ELECTION * 2 + ms(60));
    assert_ne!(sim.raft(old).role(), Role::Leader);
    assert_eq!(sim.raft(old).lease_expiry(), None);
    sim.heal_and_verify();
}

/// Guards against a voter that returns from isolation with a higher term and thereby makes the
/// leader step down.
#[test]
fn a_voter_returning_from_isolation_does_not_replace_the_leader() {
    let mut sim = Sim::new(12, 3);
    let leader = sim.wait_for_leader();
    let term = sim.raft(leader).term();
    let isolated = sim.nodes.keys().copied().find(|id| *id != leader).unwrap();
    sim.isolate(isolated);
    sim.run(ms(3_000));
    assert_eq!(sim.raft(isolated).term(), term);
    sim.blocked_links.clear();
    sim.run(ms(1_000));
    assert_eq!(
        (sim.leader(), sim.raft(leader).term()),
        (Some(leader), term)
    );
}

/// Guards against a repair that is reported as complete before the new voter counts towards the
/// quorum. As soon as each repair is complete, another voter is lost, in every second round the
/// leader.
#[rstest]
#[case(21)]
#[case(22)]
fn losing_another_voter_right_after_a_repair_is_survived(#[case] seed: u64) {
    let mut sim = Sim::new(seed, 3);
    let mut leader = sim.wait_for_leader();
    for round in 0..6 {
        let voters = &sim.members.voters;
        let other = voters.iter().copied().find(|id| *id != leader).unwrap();
        let old = if round % 2 == 0 { other } else { leader };
        sim.destroy(old);
        leader = sim.wait_for_leader();
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
    sim.heal_and_verify();
    assert!(sim.acked_index > 6 * 24);
}

/// Guards against a restart that loses entries after the snapshot, or applies entries twice.
#[test]
fn a_member_restarts_from_a_snapshot_and_hundreds_of_entries() {
    let mut sim = Sim::new(31, 3);
    let leader = sim.wait_for_leader();
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
    sim.heal_and_verify();
    assert!(sim.acked_index >= 900);
}

/// Guards against a lagging member that never catches up with a compacted log.
#[test]
fn a_member_behind_the_compacted_log_gets_the_snapshot() {
    let mut sim = Sim::new(32, 3);
    let leader = sim.wait_for_leader();
    let isolated = sim.nodes.keys().copied().find(|id| *id != leader).unwrap();
    sim.isolate(isolated);
    for _ in 0..50 {
        sim.propose(leader);
        sim.run(ms(20));
    }
    sim.compact(leader);
    assert_eq!(sim.raft(leader).log_len(), 0);
    sim.heal_and_verify();
    assert_eq!(sim.restored_snapshots, 1);
}

/// Guards against a deadlock after one of three voters is lost. The lost leader of term 2 reached
/// only learner 4, which therefore grants no vote to a member with an older log; voter 1 needs that
/// vote because of an uncommitted promotion; and voter 2 lacks a committed entry.
#[test]
fn a_learner_with_the_only_complete_log_is_elected_temporarily() {
    let mut sim = Sim::new(37, 3);
    sim.add(initial_state([1, 2, 3]));
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
    sim.destroy(3);
    let leader = sim.wait_for_leader();
    assert!(leader != 4 && sim.raft(leader).members().learners.contains(&4));
}

/// Guards against a learner that stays leader after its log is committed.
#[test]
fn a_learner_leads_only_until_its_log_is_committed() {
    let mut disk = initial_state([1, 2, 3]);
    let snapshot = disk.snapshot.as_mut().unwrap();
    snapshot.members.learners.insert(4);
    let mut raft = Raft::new(config(4, 7), disk);
    raft.step(Event::Tick, ms(0));
    make_leader(&mut raft, 700);
    receive(&mut raft, 2, append_reply(1, 1, 1), 701);
    assert_eq!((raft.commit_index(), raft.role()), (0, Role::Leader));
    receive(&mut raft, 3, append_reply(1, 1, 1), 702);
    assert_eq!((raft.commit_index(), raft.role()), (1, Role::Follower));
}

/// Guards against resent entries and duplicated replies that multiply the traffic.
#[test]
fn duplicated_messages_do_not_multiply_traffic() {
    let mut sim = Sim::new(33, 3);
    let leader = sim.wait_for_leader();
    sim.duplication = 1_000;
    sim.sent.clear();
    for _ in 0..100 {
        sim.propose(leader);
        sim.run(ms(10));
    }
    // 100 appends and 25 heartbeats to 2 followers, with two replies to each; replies trigger
    // nothing.
    assert!(sim.sent.len() <= 2 * 3 * 130, "{} messages", sim.sent.len());
}

/// Guards against a member that still sends messages after its storage failed.
#[test]
fn a_member_stops_after_a_storage_failure() {
    let mut sim = Sim::new(34, 3);
    let leader = sim.wait_for_leader();
    let request = sim.propose(leader);
    sim.step(leader, Event::StorageFailed);
    assert!(!sim.pending(request) && !sim.was_dropped(request));
    sim.sent.clear();
    sim.run(ms(2_000));
    assert!(sim.sent.iter().all(|from| *from != leader));
    let dropped = sim.propose(leader);
    assert!(sim.was_dropped(dropped) && sim.leader().is_some());
}

/// Guards against promoting a learner that lacks committed entries.
#[test]
fn a_lagging_learner_is_not_promoted() {
    let mut sim = Sim::new(35, 3);
    let leader = sim.wait_for_leader();
    let learner = sim.add(RecoveredState::default());
    sim.isolate(learner);
    sim.change(leader, MembershipChange::AddLearner(learner));
    sim.run(ms(50));
    assert!(sim.members.learners.contains(&learner));
    sim.change(leader, MembershipChange::Promote(learner));
    assert!(sim.raft(leader).members().learners.contains(&learner));
    sim.blocked_links.clear();
    sim.run(ms(200));
    sim.change(leader, MembershipChange::Promote(learner));
    assert!(sim.raft(leader).members().voters.contains(&learner));
}

/// Guards against two concurrent membership changes, whose quorums need not intersect.
#[test]
fn a_second_change_is_refused_until_the_first_is_committed() {
    let mut sim = Sim::new(36, 5);
    let leader = sim.wait_for_leader();
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
    sim.heal_and_verify();
    assert_eq!(sim.members.voters.len(), 3);
}

/// Guards against committing an entry of an earlier term by counting its replicas: a later leader
/// may still overwrite it.
#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_replica_count() {
    let mut raft = restarted_member(1, 2, &[1, 2]);
    make_leader(&mut raft, 400);
    receive(&mut raft, 2, append_reply(3, 2, 1), 401);
    assert_eq!(raft.commit_index(), 0);
    receive(&mut raft, 2, append_reply(3, 3, 1), 402);
    assert_eq!(raft.commit_index(), 3);
}

/// Guards against votes for a candidate that lacks entries of the voter, and against votes while a
/// leader's lease may depend on this member: after a heartbeat, or after a restart, which may
/// follow one.
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
    #[case] last_heartbeat: Option<u64>,
    #[case] at: u64,
    #[case] last: (u64, u64),
    #[case] expected: bool,
) {
    let mut raft = restarted_member(1, 2, &[1, 2]);
    if let Some(last_heartbeat) = last_heartbeat {
        receive(&mut raft, 3, heartbeat(2, 2, 2, 5), last_heartbeat);
    }
    let effects = receive(&mut raft, 2, vote_request(4, last.0, last.1), at);
    assert_eq!(granted(&effects), expected);
    let may_vote = at >= last_heartbeat.unwrap_or_default() + 150;
    assert_eq!(raft.term(), if may_vote { 4 } else { 2 });
}

/// Guards against a leader that steps down after a reply of a later term and votes while its own
/// lease is still valid.
#[test]
fn a_former_leader_does_not_vote_during_its_lease() {
    let mut raft = restarted_member(1, 1, &[1]);
    make_leader(&mut raft, 400);
    receive(&mut raft, 2, append_reply(2, 2, 1), 410);
    assert_eq!(raft.lease_expiry(), Some(ms(550)));
    receive(&mut raft, 3, append_reply(3, 0, 0), 420);
    assert!(!granted(&receive(&mut raft, 3, vote_request(4, 9, 2), 549)));
    assert!(granted(&receive(&mut raft, 3, vote_request(4, 9, 2), 550)));
}

/// Guards against a membership change by a new leader that does not yet know the latest committed
/// one.
#[test]
fn a_change_is_refused_before_a_commit_in_the_leaders_term() {
    let mut raft = restarted_member(1, 1, &[1]);
    make_leader(&mut raft, 400);
    let change = MembershipChange::AddLearner(4);
    let early = raft.step(Event::ChangeMembers { id: 5, change }, ms(401));
    assert!(matches!(
        early[..],
        [Effect::RequestDropped {
            may_commit: false,
            ..
        }]
    ));
    receive(&mut raft, 2, append_reply(2, 2, 1), 402);
    raft.step(Event::ChangeMembers { id: 6, change }, ms(403));
    assert!(raft.members().learners.contains(&4));
}

/// Guards against a late rejection of an append of an earlier term that counts as an
/// acknowledgement of a round of the current term and extends the lease.
#[test]
fn a_rejection_of_an_earlier_term_does_not_extend_the_lease() {
    let mut follower = restarted_member(2, 5, &[1]);
    let effects = receive(&mut follower, 1, heartbeat(3, 1, 1, 1), 200);
    let mut leader = restarted_member(1, 4, &[1]);
    make_leader(&mut leader, 400);
    for effect in effects {
        if let Effect::Send { message, .. } = effect {
            receive(&mut leader, 2, message, 401);
        }
    }
    assert_eq!(leader.lease_expiry(), None);
    receive(&mut leader, 2, append_reply(5, 2, 1), 402);
    assert_eq!(leader.lease_expiry(), Some(ms(400) + ELECTION));
}

/// Guards against a read confirmed by a round that started before the read arrived.
#[test]
fn a_read_waits_for_a_round_started_after_it() {
    let mut raft = restarted_member(1, 1, &[1]);
    make_leader(&mut raft, 400);
    raft.step(Event::Read { id: 5 }, ms(401));
    let ready = |effects: Vec<Effect>| effects.contains(&Effect::ReadReady { id: 5, index: 2 });
    assert!(!ready(receive(&mut raft, 2, append_reply(2, 2, 1), 402)));
    assert!(ready(receive(&mut raft, 2, append_reply(2, 2, 2), 403)));
}

/// Guards against recovered entries with a gap that are taken for a complete log.
#[test]
fn a_member_with_gaps_in_its_log_does_not_start() {
    let mut recovered = initial_state([1]);
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

/// Guards against a group of one that never elects a leader. Also guards against a sole voter that
/// restarts and leads at once: the lease of a leader that has removed itself from the group may
/// still depend on a reply that the voter sent before its restart.
#[test]
fn a_sole_voter_leads_at_once_but_waits_for_the_lease_after_a_restart() {
    let mut sim = Sim::new(41, 1);
    sim.run(ms(0));
    assert_eq!(sim.leader(), Some(1));
    sim.propose(1);
    assert_eq!(sim.acked_index, 2);
    sim.crash(1, ms(5));
    sim.run(ms(20));
    assert_eq!(sim.leader(), None);
    sim.run(LEASE - ms(20));
    assert_eq!(sim.leader(), None);
    sim.run(ms(30));
    assert_eq!(sim.leader(), Some(1));
}

/// Guards against two election timeouts without a leader after all members restart together. They
/// wait for the lease that a leader may have had, and then start elections one after the other.
#[test]
fn members_that_restart_together_elect_a_leader_without_a_split_vote() {
    let slow = (0..40).filter(|seed| {
        let mut sim = Sim::new(*seed, 3);
        sim.wait_for_leader();
        for id in 1..=3 {
            sim.crash(id, ms(5));
        }
        let turns = ELECTION * 3 / 8;
        sim.run(ms(15) + LEASE + turns + ms(40));
        sim.leader().is_none()
    });
    assert_eq!(slow.collect::<Vec<_>>(), [] as [u64; 0]);
}

/// Guards against votes within the lease that a leader may have had when the voter restarted. The
/// voter must wait only for the lease, not for the longer election timeout.
#[test]
fn a_restarted_voter_grants_no_vote_within_the_lease() {
    let recovered = RecoveredState {
        hard_state: HardState {
            term: 5,
            voted_for: None,
        },
        entries: entries(vec![(1, Payload::Noop)]),
        ..initial_state([1, 2, 3])
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

/// Guards against a leader that resigns and leads again, and against a resignation that leaves the
/// group without a leader for longer than an election takes.
#[test]
fn another_voter_leads_after_a_leader_has_resigned() {
    for seed in 0..40 {
        let mut sim = Sim::new(seed, 3);
        let former = sim.wait_for_leader();
        let term = sim.raft(former).term();
        sim.step(former, Event::Resign);
        let resigned = sim.raft(former);
        assert_eq!((resigned.role(), resigned.term()), (Role::Follower, term));
        assert_eq!(resigned.lease_expiry(), None);
        sim.run(ELECTION * 2 + ms(60));
        let next = sim.leader().expect("a leader");
        assert_ne!(next, former, "seed {seed}");
        assert!(sim.raft(next).term() > term);
        sim.heal_and_verify();
    }
}

/// Guards against a resignation of a follower, which would let it miss an election, and against a
/// group of one that has no leader after its resignation.
#[test]
fn a_follower_does_not_resign_and_a_sole_voter_leads_again() {
    let mut follower = restarted_member(2, 5, &[1, 5]);
    let deadline = |raft: &Raft| {
        let mut raft = raft.clone();
        (1..2_000).find(|at| !raft.step(Event::Tick, ms(*at)).is_empty())
    };
    let before = deadline(&follower);
    assert!(follower.step(Event::Resign, ms(0)).is_empty());
    assert_eq!(deadline(&follower), before);

    let mut sim = Sim::new(42, 1);
    sim.wait_for_leader();
    let term = sim.raft(1).term();
    sim.step(1, Event::Resign);
    assert_eq!(sim.leader(), None);
    sim.run(ELECTION * 2 + ms(20));
    assert_eq!((sim.leader(), sim.raft(1).term()), (Some(1), term + 1));
}
