//! Members of the control group that are lost, replaced or away.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_fleet::{
    Call,
    Command,
    Control,
    Effect,
    Event,
    LogEvent,
    Member,
    MemberList,
    PeerMessage,
    Reply, //
};
use camphordale_raft::{
    Entry,
    Message,
    Payload,
    RecoveredState, //
};
use rand::Rng;
use rstest::rstest;

use crate::cluster::{
    TestCluster,
    TestVm,
    change,
    config,
    member,
    ms, //
};

/// Ids of VMs that did not found the group have this bit.
const NEW_ID: u64 = 1 << 63;
/// Longer than a member needs to catch up, and to be replaced after it is gone.
const CATCH_UP: Duration = Duration::from_secs(6);

/// A cluster in which every founding member was replaced, as planned work, by one at another address.
fn replaced(seed: u64) -> TestCluster {
    let mut cluster = TestCluster::new(seed);
    cluster.ask(Call::Change(Box::new(change(0, 2, 7))));
    let founders: Vec<SocketAddr> = cluster.vms.keys().copied().collect();
    for (old, number) in founders.into_iter().zip(4..) {
        let new = member(number, NEW_ID | u64::from(number));
        let at = new.peer;
        cluster.vms.insert(at, TestVm::blank(new));
        cluster.start(at);
        cluster.run(CATCH_UP);
        cluster.stop(old);
        cluster.vms.remove(&old);
        cluster.run(CATCH_UP);
    }
    assert!(cluster.is_repaired());
    cluster
}

/// Loses the disks of two members, one after the other, and reads back what was acknowledged before.
fn lose_disks(cluster: &mut TestCluster) {
    let all: Vec<SocketAddr> = cluster.vms.keys().copied().collect();
    cluster.wipe(all[0], NEW_ID | 14);
    cluster.run(2 * CATCH_UP);
    assert!(cluster.is_repaired(), "the member has not joined again");
    let accepted = cluster.ask(Call::Change(Box::new(change(2, 3, 8))));
    assert_eq!(accepted, Reply::Done { is_leader: true });
    cluster.wipe(all[1], NEW_ID | 15);
    cluster.run(2 * CATCH_UP);
    let Reply::Routing(routing) = cluster.ask(Call::Read) else {
        panic!("no routing");
    };
    assert_eq!(routing.version, 3);
}

/// Guards against a member that replaces the members it was just told by those of the snapshot with
/// which the group was founded, and so never answers its leader.
#[test]
fn a_wiped_member_joins_again_after_all_founders_were_replaced() {
    let mut cluster = replaced(40);
    // The settings name the same VMs as the list of the operator, but not their ids.
    let seeds = (4..=6).map(|number| member(number, u64::from(number)));
    cluster.seeds = seeds.collect();
    lose_disks(&mut cluster);
}

/// Guards against a member that can be reached at its address, and knows only VMs that are gone.
#[test]
fn a_wiped_member_joins_again_although_its_settings_name_only_vms_that_are_gone() {
    let mut cluster = replaced(41);
    lose_disks(&mut cluster);
}

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

/// Entries of a log in which the VMs `numbers` become known one after the other.
fn member_entries(numbers: std::ops::RangeInclusive<u8>) -> Vec<Entry> {
    let entry = |(index, number): (u64, u8)| {
        let command = Command::Member(member(number, NEW_ID | u64::from(number)));
        let data = postcard::to_stdvec(&command).unwrap();
        Entry {
            index,
            term: 1,
            payload: Payload::Data(data.into()),
        }
    };
    (1..).zip(numbers).map(entry).collect()
}

/// Addresses to which a VM sends messages of the Raft group.
fn recipients(effects: &[Effect]) -> Vec<SocketAddr> {
    let sent = effects.iter().filter_map(|effect| match effect {
        Effect::Send {
            to,
            message: PeerMessage::Raft { .. },
        } => Some(*to),
        _ => None,
    });
    sent.collect()
}

/// Guards against a member that goes back to older members with each part of the log that it gets,
/// from a list of the leader or of its own disk.
#[rstest]
#[case::told_by_the_leader(false)]
#[case::stored_before_a_restart(true)]
fn a_member_that_replays_the_log_goes_on_answering_its_leader(#[case] stored: bool) {
    let own = member(1, 1);
    let disk = Control::bootstrap_state(vec![own.clone(), member(2, 2), member(3, 3)]).unwrap();
    let leader = member(6, NEW_ID | 6);
    let list = MemberList {
        members: vec![own.clone(), member(5, NEW_ID | 5), leader.clone()],
        index: 9,
    };
    let on_disk = match stored {
        true => list.clone(),
        false => MemberList::default(),
    };
    let mut control = Control::new(config(own, 1), disk, Vec::new(), on_disk).unwrap();
    control.step(Event::Tick, ms(0));
    if !stored {
        control.step(Event::Peer(PeerMessage::MemberList(list)), ms(0));
    }
    for (round, entries) in (1..).zip(member_entries(4..=5).chunks(1)) {
        let message = Message::AppendEntries {
            term: 1,
            prev_index: round - 1,
            prev_term: u64::from(round > 1),
            entries: entries.to_vec(),
            commit: round,
            round,
        };
        let message = PeerMessage::Raft {
            from: leader.id,
            to: 1,
            message,
        };
        let effects = control.step(Event::Peer(message), ms(10 * round));
        assert_eq!(recipients(&effects), [leader.peer], "round {round}");
    }
}

/// Guards against a member that takes the list of a leader that was deposed, or an incomplete one, for
/// the newest.
#[rstest]
#[case::older(8)]
#[case::incomplete(0)]
fn an_older_list_takes_no_member_away(#[case] index: u64) {
    let own = member(1, 1);
    let disk = Control::bootstrap_state(vec![own.clone()]).unwrap();
    let newest = MemberList {
        members: vec![own.clone(), member(5, 5)],
        index: 9,
    };
    let mut control = Control::new(config(own.clone(), 1), disk, Vec::new(), newest).unwrap();
    let older = MemberList {
        members: vec![own, member(15, 5), member(6, 6)],
        index,
    };
    control.step(Event::Peer(PeerMessage::MemberList(older)), ms(0));
    let message = PeerMessage::Raft {
        from: 5,
        to: 1,
        message: Message::RequestVote {
            term: 2,
            last_index: 0,
            last_term: 0,
            pre_vote: true,
        },
    };
    let effects = control.step(Event::Peer(message), ms(1));
    assert_eq!(recipients(&effects), [member(5, 5).peer]);
}

/// Guards against a member whose address changed under its id and that is sought at the old one.
#[test]
fn a_newer_list_changes_the_address_of_a_member() {
    let own = member(1, 1);
    let disk = Control::bootstrap_state(vec![own.clone(), member(2, 2)]).unwrap();
    let list = MemberList {
        members: vec![own.clone(), member(12, 2)],
        index: 4,
    };
    let mut control =
        Control::new(config(own, 1), disk, Vec::new(), MemberList::default()).unwrap();
    control.step(Event::Tick, ms(0));
    control.step(Event::Peer(PeerMessage::MemberList(list)), ms(0));
    let effects = control.step(Event::Tick, ms(3000));
    assert_eq!(recipients(&effects), [member(12, 2).peer]);
}

/// Guards against an election that fails because a voter that was away does not know a candidate that
/// joined meanwhile.
#[test]
fn a_candidate_tells_voters_where_to_reply() {
    let own = member(1, 1);
    let disk = Control::bootstrap_state(vec![own.clone(), member(2, 2)]).unwrap();
    let start = || {
        Control::new(
            config(own.clone(), 1),
            disk.clone(),
            Vec::new(),
            MemberList::default(),
        )
    };
    let mut candidate = start().unwrap();
    candidate.step(Event::Tick, ms(0));
    let effects = candidate.step(Event::Tick, ms(3000));
    let sent = effects.into_iter().filter_map(|effect| match effect {
        Effect::Send { message, .. } => Some(message),
        _ => None,
    });
    let sent: Vec<PeerMessage> = sent.collect();
    let voter_member = member(2, 2);
    let empty = RecoveredState {
        snapshot: Control::bootstrap_state(vec![voter_member.clone()])
            .unwrap()
            .snapshot,
        ..RecoveredState::default()
    };
    let stored = MemberList {
        members: vec![voter_member.clone()],
        index: 3,
    };
    let mut voter = Control::new(config(voter_member, 2), empty, Vec::new(), stored).unwrap();
    voter.step(Event::Tick, ms(0));
    let mut replies = Vec::new();
    for message in sent {
        replies.extend(voter.step(Event::Peer(message), ms(10)));
    }
    assert_eq!(recipients(&replies), [own.peer]);
}

/// Guards against lists of builds that know no index, in messages and on disk.
#[test]
fn a_list_without_an_index_is_read_and_the_index_is_not_in_its_way() {
    let members = vec![member(1, 1), member(2, 2)];
    let before = postcard::to_stdvec(&members).unwrap();
    let read: MemberList = postcard::from_bytes(&before).unwrap();
    assert_eq!(read, MemberList::partial(members.clone()));
    let list = MemberList {
        members: members.clone(),
        index: 70_000,
    };
    let now = postcard::to_stdvec(&list).unwrap();
    assert_eq!(postcard::from_bytes::<MemberList>(&now), Ok(list));
    assert_eq!(postcard::from_bytes::<Vec<Member>>(&now), Ok(members));
}

/// Whether a member is voter of the leader's group without a record in its state.
fn has_unrecorded_voter(cluster: &TestCluster) -> bool {
    let Some(leader) = cluster.leader() else {
        return false;
    };
    let control = cluster.vms[&leader].control.as_ref().unwrap();
    let recorded = &control.state().view.members;
    let voters = &control.members().voters;
    voters.iter().any(|id| !recorded.contains_key(id))
}

/// Guards against a removal that the group rejects, as another change is under way, and that the state
/// carries out all the same: the member stays a voter whose address the leader has forgotten.
///
/// Listed in KNOWN-RED.txt; runs with CAMPHORDALE_KNOWN_RED=1.
#[test]
fn a_voter_keeps_its_record_until_it_is_removed() {
    if !std::env::var("CAMPHORDALE_KNOWN_RED").is_ok_and(|value| value == "1") {
        println!("KNOWN-RED: a_voter_keeps_its_record_until_it_is_removed is passed over");
        return;
    }
    let seeds: Vec<u64> = (0..60).filter(|seed| loses_a_record(*seed)).collect();
    assert!(seeds.is_empty(), "seeds {seeds:?}");
}

/// A voter is away for about as long as it takes to be replaced, on links that lose messages.
fn loses_a_record(seed: u64) -> bool {
    let mut cluster = TestCluster::new(7000 + seed);
    cluster.run(ms(2000));
    let new = member(4, NEW_ID | 4);
    cluster.vms.insert(new.peer, TestVm::blank(new.clone()));
    cluster.start(new.peer);
    cluster.run(ms(3000));
    let leader = cluster.leader().unwrap();
    let mut others = cluster.vms.keys().copied();
    let away = others.find(|at| *at != leader && *at != new.peer).unwrap();
    cluster.stop(away);
    cluster.run(ms(3300));
    cluster.loss = [0.3, 0.5][seed as usize % 2];
    let late = cluster.random.random_range(0..1200);
    cluster.run(ms(late));
    cluster.start(away);
    (0..80).any(|_| {
        cluster.run(ms(50));
        has_unrecorded_voter(&cluster)
    })
}
