//! Members of the control group: who is known, who joins, who is replaced.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_raft::{
    self as raft,
    MemberId, //
    MembershipChange,
};

use super::{
    Control,
    Effect,
    calls::Pending, //
};
use crate::{
    message::{
        Member,
        PeerMessage, //
    },
    state::{
        Command,
        View, //
    },
};

/// Time between two requests to take part.
const JOIN_PERIOD: Duration = Duration::from_millis(500);
/// Time between two looks of the leader at the members.
const TEND_PERIOD: Duration = Duration::from_millis(200);
/// Time within which a member must have been heard to be promoted.
const LIVELY: Duration = Duration::from_millis(1000);
/// How long a request to take part counts.
const JOIN_MEMORY: Duration = Duration::from_secs(3);
/// A member that only receives the log is dropped after this multiple of the silence of a voter.
const LEARNER_PATIENCE: u32 = 5;

/// Control VMs that this one knows.
pub(super) struct Roster {
    known: BTreeMap<MemberId, Member>,
    heard: BTreeMap<MemberId, Duration>,
    joins: BTreeMap<MemberId, (Member, Duration)>,
    next_join: Duration,
    next_tend: Duration,
    led_since: Duration,
}

impl Roster {
    pub(super) fn new(book: Vec<Member>, view: &View) -> Roster {
        let mut known: BTreeMap<_, _> = book.into_iter().map(|m| (m.id, m)).collect();
        known.extend(view.members.clone());
        Roster {
            known,
            heard: BTreeMap::new(),
            joins: BTreeMap::new(),
            next_join: Duration::ZERO,
            next_tend: Duration::ZERO,
            led_since: Duration::ZERO,
        }
    }

    pub(super) fn find(&self, id: MemberId) -> Option<&Member> {
        self.known.get(&id)
    }

    pub(super) fn book(&self) -> Vec<Member> {
        self.known.values().cloned().collect()
    }

    /// Takes over the members of the view. Reports whether something changed.
    pub(super) fn follow(&mut self, view: &View) -> bool {
        if self.known == view.members {
            return false;
        }
        self.known.clone_from(&view.members);
        true
    }

    pub(super) fn begin_lead(&mut self, now: Duration) {
        self.led_since = now;
    }

    fn silence(&self, id: MemberId, now: Duration) -> Duration {
        let heard = self.heard.get(&id).copied().unwrap_or(self.led_since);
        now.saturating_sub(heard.max(self.led_since))
    }
}

impl Control {
    pub(super) fn peer(&mut self, message: PeerMessage, now: Duration, out: &mut Vec<Effect>) {
        match message {
            PeerMessage::Raft { from, to, message } => {
                // A VM that lost its disk must not answer for its former self.
                if to != self.config.member.id {
                    return;
                }
                self.roster.heard.insert(from, now);
                self.drive(raft::Event::Receive { from, message }, now, out);
            }
            PeerMessage::MemberList(members) => {
                let before = self.roster.known.len();
                for member in members {
                    self.roster.known.entry(member.id).or_insert(member);
                }
                if self.roster.known.len() != before {
                    out.push(Effect::StoreMembers(self.roster.book()));
                }
            }
            PeerMessage::Join(member) => self.join(member, now, out),
            _ => {}
        }
    }

    fn join(&mut self, member: Member, now: Duration, out: &mut Vec<Effect>) {
        if member.id == self.config.member.id {
            return;
        }
        if self.lead.is_some() {
            // The member may not know how to reach the others.
            out.push(Effect::Send {
                to: member.peer,
                message: PeerMessage::MemberList(self.roster.book()),
            });
            self.roster.joins.insert(member.id, (member, now));
        } else if let Some(leader) = self.leader_member() {
            out.push(Effect::Send {
                to: leader.peer,
                message: PeerMessage::Join(member),
            });
        }
    }

    fn takes_part(&self) -> bool {
        let members = self.raft.members();
        let id = self.config.member.id;
        members.voters.contains(&id) || members.learners.contains(&id)
    }

    /// Asks to take part while this VM is no member, or has no leader although it is one: it may
    /// have been removed without being told.
    pub(super) fn tend_roster(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if now < self.roster.next_join {
            return;
        }
        self.roster.next_join = now + JOIN_PERIOD;
        if self.takes_part() && self.raft.leader().is_some() {
            return;
        }
        let addresses: std::collections::BTreeSet<_> = self
            .roster
            .known
            .values()
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

    /// Adds members that ask for it, and replaces voters that are gone.
    pub(super) fn tend_members(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if now < self.roster.next_tend {
            return;
        }
        self.roster.next_tend = now + TEND_PERIOD;
        let recent = |at: Duration| now.saturating_sub(at) < JOIN_MEMORY;
        self.roster.joins.retain(|_, (_, at)| recent(*at));
        let unknown: Vec<Member> = self
            .roster
            .joins
            .values()
            .filter(|(member, _)| self.state.view.members.get(&member.id) != Some(member))
            .map(|(member, _)| member.clone())
            .collect();
        for member in unknown {
            self.propose(&Command::Member(member), Pending::Nobody, now, out);
        }
        if let Some(change) = self.next_change(now) {
            self.next_id += 1;
            let id = self.next_id;
            self.drive(raft::Event::ChangeMembers { id, change }, now, out);
            if let MembershipChange::Remove(id) = change {
                self.propose(&Command::Forget(id), Pending::Nobody, now, out);
            }
        }
    }

    /// The next change of members. The group refuses it while another is under way.
    fn next_change(&self, now: Duration) -> Option<MembershipChange> {
        let members = self.raft.members();
        let roster = &self.roster;
        let is_member =
            |id: &MemberId| members.voters.contains(id) || members.learners.contains(id);
        let known = |id: &&MemberId| self.state.view.members.contains_key(*id);
        if let Some(id) = roster.joins.keys().filter(known).find(|id| !is_member(id)) {
            return Some(MembershipChange::AddLearner(*id));
        }
        let lost = |id: &&MemberId| self.is_lost(**id, now);
        let spare = members.voters.len() > self.config.voters;
        if spare && let Some(id) = members.voters.iter().find(lost) {
            return Some(MembershipChange::Remove(*id));
        }
        let wanted = members.voters.len() < self.config.voters;
        let voter_lost = members.voters.iter().any(|id| lost(&id));
        if (wanted || voter_lost) && members.voters.len() <= self.config.voters {
            let ready = |id: &&MemberId| {
                self.raft.match_index(**id) >= Some(self.raft.commit_index())
                    && roster.silence(**id, now) < LIVELY
            };
            if let Some(id) = members.learners.iter().find(ready) {
                return Some(MembershipChange::Promote(*id));
            }
        }
        let patience = self.config.member_silence * LEARNER_PATIENCE;
        let gone = |id: &&MemberId| roster.silence(**id, now) > patience;
        let gone = members.learners.iter().find(gone);
        gone.map(|id| MembershipChange::Remove(*id))
    }

    /// Whether a voter is gone: it has been silent for long, or another member has its address.
    fn is_lost(&self, id: MemberId, now: Duration) -> bool {
        if id == self.config.member.id {
            return false;
        }
        let members = &self.state.view.members;
        let address = members.get(&id).map(|member| member.peer);
        let mut joins = self.roster.joins.values();
        let replaced = joins.any(|(other, _)| other.id != id && Some(other.peer) == address)
            || members
                .values()
                .any(|other| other.id != id && Some(other.peer) == address)
                && self.roster.silence(id, now) > LIVELY;
        replaced || self.roster.silence(id, now) > self.config.member_silence
    }
}
