//! Membership of the control group: known control VMs, joining and replacement.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration,
};

use camphordale_raft::{
    self as raft,
    MemberId,
    MembershipChange, //
};

use super::{
    Control,
    Effect,
    LogEvent,
    calls::Pending, //
};
use crate::{
    member_list::MemberList,
    message::{
        Member,
        PeerMessage, //
    },
    state::{
        Command,
        View, //
    },
};

/// Interval between requests to join, and between lists for members that do not answer.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between the leader's membership checks.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// A member that has been silent for longer counts as unreachable: such a learner is not promoted,
/// and such a voter is replaced if another member has its address.
const MAX_REACHABLE_SILENCE: Duration = Duration::from_millis(1000);
/// How long a request to join is remembered.
const JOIN_REQUEST_LIFETIME: Duration = Duration::from_secs(3);
/// A learner is removed after this multiple of the silence after which a voter is replaced.
const LEARNER_SILENCE_FACTOR: u32 = 5;

/// Control VMs known to this one.
pub(super) struct MemberTable {
    known: BTreeMap<MemberId, Member>,
    /// Index of the last command that `known` reflects. The state of this VM may be older: the leader
    /// names the members to one that is about to get a snapshot and the log after it.
    index: u64,
    /// Control VMs in the settings.
    seeds: Vec<Member>,
    /// Whether the stored list differs.
    unsaved: bool,
    last_heard: BTreeMap<MemberId, Duration>,
    /// Members to which messages were dropped, because their addresses are not known.
    pub(super) unaddressed: BTreeSet<MemberId>,
    join_requests: BTreeMap<MemberId, (Member, Duration)>,
    next_join: Duration,
    next_list: Duration,
    next_maintenance: Duration,
    elected_at: Duration,
}

impl MemberTable {
    pub(super) fn new(seeds: Vec<Member>, stored: MemberList, view: &View) -> MemberTable {
        let mut table = MemberTable {
            known: BTreeMap::new(),
            index: 0,
            seeds: Vec::new(),
            unsaved: false,
            last_heard: BTreeMap::new(),
            unaddressed: BTreeSet::new(),
            join_requests: BTreeMap::new(),
            next_join: Duration::ZERO,
            next_list: Duration::ZERO,
            next_maintenance: Duration::ZERO,
            elected_at: Duration::ZERO,
        };
        table.sync(view);
        table.learn(stored);
        table.set_seeds(seeds);
        table.unsaved = false;
        table
    }

    /// Sets the control VMs in the settings. They stay known whatever lists arrive, as a VM that
    /// knows only others that are gone has nothing else to go by.
    pub(super) fn set_seeds(&mut self, seeds: Vec<Member>) {
        self.learn(MemberList::partial(seeds.clone()));
        self.seeds = seeds;
    }

    pub(super) fn find(&self, id: MemberId) -> Option<&Member> {
        self.known.get(&id)
    }

    /// Peer address of a member to which a message is sent.
    pub(super) fn address(&mut self, id: MemberId) -> Option<SocketAddr> {
        let address = self.known.get(&id)?.peer;
        self.unaddressed.remove(&id);
        Some(address)
    }

    pub(super) fn to_list(&self) -> MemberList {
        MemberList {
            members: self.known.values().cloned().collect(),
            index: self.index,
        }
    }

    /// Adopts a newer list. A partial one adds members.
    pub(super) fn learn(&mut self, list: MemberList) {
        let MemberList { members, index } = list;
        let members = members.into_iter().map(|member| (member.id, member));
        if index > self.index {
            self.replace(index, members.collect());
        } else if index == 0 {
            let before = self.known.len();
            for (id, member) in members {
                self.known.entry(id).or_insert(member);
            }
            self.unsaved |= self.known.len() != before;
        }
    }

    /// Adopts the members of the view, which may be older than what this VM was told.
    pub(super) fn sync(&mut self, view: &View) {
        if view.index > self.index {
            self.replace(view.index, view.members.clone());
        } else if self.index == 0 {
            self.learn(MemberList::partial(
                view.members.values().cloned().collect(),
            ));
        }
    }

    fn replace(&mut self, index: u64, members: BTreeMap<MemberId, Member>) {
        self.index = index;
        self.unsaved = true;
        self.known = members;
    }

    /// The members to store, if they changed since the last call. Members that join together cost
    /// one write, during which a leader sends no heartbeats.
    pub(super) fn take_unsaved(&mut self) -> Option<MemberList> {
        let unsaved = std::mem::take(&mut self.unsaved);
        unsaved.then(|| self.to_list())
    }

    pub(super) fn become_leader(&mut self, now: Duration) {
        self.elected_at = now;
    }

    fn silence(&self, id: MemberId, now: Duration) -> Duration {
        let heard = self.last_heard.get(&id).copied().unwrap_or(self.elected_at);
        now.saturating_sub(heard.max(self.elected_at))
    }
}

impl Control {
    pub(super) fn on_peer_message(
        &mut self,
        message: PeerMessage,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        match message {
            PeerMessage::Raft { from, to, message } => {
                // A VM that lost its disk must not answer for its previous id.
                if to != self.config.member.id {
                    return;
                }
                self.member_table.last_heard.insert(from, now);
                self.step_raft(raft::Event::Receive { from, message }, now, out);
            }
            PeerMessage::MemberList(list) => self.member_table.learn(list),
            PeerMessage::Join(member) => self.join(member, now, out),
            _ => {}
        }
    }

    fn join(&mut self, member: Member, now: Duration, out: &mut Vec<Effect>) {
        if member.id == self.config.member.id {
            return;
        }
        if self.leader_state.is_some() {
            // The new member may not know the addresses of the others.
            out.push(Effect::Send {
                to: member.peer,
                message: PeerMessage::MemberList(self.member_table.to_list()),
            });
            self.member_table
                .join_requests
                .insert(member.id, (member, now));
        } else if let Some(leader) = self.leader_member() {
            out.push(Effect::Send {
                to: leader.peer,
                message: PeerMessage::Join(member),
            });
        }
    }

    fn is_member(&self) -> bool {
        let members = self.raft.members();
        let id = self.config.member.id;
        members.voters.contains(&id) || members.learners.contains(&id)
    }

    /// Requests to join while this VM is not a member, or is one without a leader, or does not know the
    /// address of its leader: it may have been removed, or others may have joined, without its being
    /// notified.
    pub(super) fn request_membership(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if now < self.member_table.next_join {
            return;
        }
        self.member_table.next_join = now + JOIN_INTERVAL;
        if self.is_member() && self.leader_member().is_some() {
            return;
        }
        let table = &self.member_table;
        let addresses: BTreeSet<_> = table
            .known
            .values()
            .chain(&table.seeds)
            .map(|member| member.peer)
            .filter(|peer| *peer != self.config.member.peer)
            .collect();
        for to in addresses {
            out.push(Effect::Send {
                to,
                message: PeerMessage::Join(self.config.member.clone()),
            });
        }
    }

    /// Sends the members that do not answer the list of control VMs, as they may not know where to
    /// reply. A VM at the same address that lost its disk learns where to request to join.
    fn inform_silent_members(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if now < self.member_table.next_list {
            return;
        }
        self.member_table.next_list = now + JOIN_INTERVAL;
        let members = self.raft.members();
        let table = &self.member_table;
        let silent = members.voters.union(&members.learners).filter(|id| {
            let is_silent = table.silence(**id, now) > MAX_REACHABLE_SILENCE;
            is_silent && **id != self.config.member.id
        });
        for member in silent.filter_map(|id| table.find(*id)) {
            out.push(Effect::Send {
                to: member.peer,
                message: PeerMessage::MemberList(table.to_list()),
            });
        }
    }

    /// Adds control VMs that request to join, and replaces lost voters.
    pub(super) fn maintain_members(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if now < self.member_table.next_maintenance {
            return;
        }
        self.member_table.next_maintenance = now + MAINTENANCE_INTERVAL;
        self.inform_silent_members(now, out);
        let recent = |at: Duration| now.saturating_sub(at) < JOIN_REQUEST_LIFETIME;
        self.member_table
            .join_requests
            .retain(|_, (_, at)| recent(*at));
        let unknown: Vec<Member> = self
            .member_table
            .join_requests
            .values()
            .filter(|(member, _)| self.state.view.members.get(&member.id) != Some(member))
            .map(|(member, _)| member.clone())
            .collect();
        for member in unknown {
            self.propose(&Command::Member(member), Pending::NoReply, now, out);
        }
        if let Some(change) = self.next_change(now) {
            self.next_id += 1;
            let id = self.next_id;
            self.step_raft(raft::Event::ChangeMembers { id, change }, now, out);
            if let MembershipChange::Remove(id) = change {
                self.propose(&Command::Forget(id), Pending::NoReply, now, out);
            }
        }
    }

    /// Reports members that do not catch up with the log: until they do, the group bears fewer losses
    /// than it has members for.
    pub(super) fn report_lagging_members(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let members = self.raft.members();
        let committed = self.raft.commit_index();
        let is_member = |id| members.voters.contains(&id) || members.learners.contains(&id);
        leader.member_lag.retain(is_member);
        for id in members.voters.union(&members.learners) {
            let matched = self.raft.match_index(*id).unwrap_or(0);
            let progress = (matched, committed);
            let limit = self.config.catch_up;
            let changed = leader.member_lag.observe(*id, progress, limit, now);
            out.extend(changed.map(|lagging| {
                Effect::Log(LogEvent::Lagging {
                    member: *id,
                    lagging,
                    missing: committed.saturating_sub(matched),
                    silence: self.member_table.silence(*id, now),
                })
            }));
        }
    }

    /// The next membership change. The Raft group rejects it while another one is in progress.
    fn next_change(&self, now: Duration) -> Option<MembershipChange> {
        let members = self.raft.members();
        let member_table = &self.member_table;
        let is_member =
            |id: &MemberId| members.voters.contains(id) || members.learners.contains(id);
        let known = |id: &&MemberId| self.state.view.members.contains_key(*id);
        if let Some(id) = member_table
            .join_requests
            .keys()
            .filter(known)
            .find(|id| !is_member(id))
        {
            return Some(MembershipChange::AddLearner(*id));
        }
        let lost = |id: &&MemberId| self.is_lost(**id, now);
        let has_spare_voter = members.voters.len() > self.config.voters;
        if has_spare_voter && let Some(id) = members.voters.iter().find(lost) {
            return Some(MembershipChange::Remove(*id));
        }
        let needs_voter = members.voters.len() < self.config.voters;
        let voter_lost = members.voters.iter().any(|id| lost(&id));
        if (needs_voter || voter_lost) && members.voters.len() <= self.config.voters {
            let ready = |id: &&MemberId| {
                self.raft.match_index(**id) >= Some(self.raft.commit_index())
                    && member_table.silence(**id, now) < MAX_REACHABLE_SILENCE
            };
            if let Some(id) = members.learners.iter().find(ready) {
                return Some(MembershipChange::Promote(*id));
            }
        }
        let limit = self.config.member_timeout * LEARNER_SILENCE_FACTOR;
        let expired = |id: &&MemberId| member_table.silence(**id, now) > limit;
        let expired = members.learners.iter().find(expired);
        expired.map(|id| MembershipChange::Remove(*id))
    }

    /// Whether a voter is lost: it has been silent for too long, or another member has its address.
    fn is_lost(&self, id: MemberId, now: Duration) -> bool {
        if id == self.config.member.id {
            return false;
        }
        let members = &self.state.view.members;
        let address = members.get(&id).map(|member| member.peer);
        let mut join_requests = self.member_table.join_requests.values();
        let replaced = join_requests
            .any(|(other, _)| other.id != id && Some(other.peer) == address)
            || members
                .values()
                .any(|other| other.id != id && Some(other.peer) == address)
                && self.member_table.silence(id, now) > MAX_REACHABLE_SILENCE;
        replaced || self.member_table.silence(id, now) > self.config.member_timeout
    }
}
