//! Calls of operators and targets.

use std::time::Duration;

use camphordale_raft as raft;

use super::{
    Call,
    CallToken, //
    Control,
    Effect,
    Reply,
};
use crate::{
    keys::KeyRange,
    registry::{
        Announcement,
        Incarnation,
        TargetId,
        TargetState, //
    },
    routing::{
        Change,
        ServiceName, //
    },
    state::{
        Command,
        Outcome, //
    },
};

/// Most targets in the directory, a bound on what strangers can fill.
const MAX_TARGETS: usize = 8192;
/// Part of the silence after which a target that said it leaves is forgotten.
const LEFT_PART: u32 = 2;

/// What waits for a proposal.
pub(super) enum Pending {
    /// An operator waits for a change.
    Change(CallToken),
    /// An operator waits for a read.
    Read(CallToken),
    /// A target waits for the change of its state.
    Announce(CallToken),
    /// A range is to get another holder.
    Assign(ServiceName, KeyRange),
    /// Nobody waits.
    Nobody,
}

/// An accepted change on its way to the entry VMs.
pub(super) struct Publishing {
    pub(super) token: CallToken,
    index: u64,
    until: Duration,
}

/// The latest announcement of a target that the leader has heard.
pub(super) struct Seen {
    pub(super) incarnation: Incarnation,
    sequence: u64,
    pub(super) at: Duration,
}

impl Control {
    pub(super) fn call(
        &mut self,
        token: CallToken,
        call: Call,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if self.lead.is_none() {
            let reply = match self.leader_member() {
                Some(leader) if leader.id != self.config.member.id => {
                    Reply::Redirect(leader.control)
                }
                _ => Reply::Unavailable("no leader"),
            };
            out.push(Effect::Reply { token, reply });
            return;
        }
        match call {
            Call::Change(change) => self.propose_change(token, change, now, out),
            Call::Read => {
                self.next_id += 1;
                let id = self.next_id;
                self.pending.insert(id, Pending::Read(token));
                self.drive(raft::Event::Read { id }, now, out);
            }
            Call::Announce(announcement) => self.announce(token, &announcement, now, out),
            Call::Leave { id, incarnation } => self.leave(token, &id, incarnation, now, out),
        }
    }

    fn propose_change(
        &mut self,
        token: CallToken,
        change: Box<Change>,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let command = Command::Change(change);
        self.propose(&command, Pending::Change(token), now, out);
    }

    fn announce(
        &mut self,
        token: CallToken,
        announcement: &Announcement,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let view = &self.state.view;
        let routing = view.routing.as_ref();
        if routing.is_some_and(|r| !r.services.contains_key(&announcement.service)) {
            let reply = Reply::Invalid("unknown service".into());
            out.push(Effect::Reply { token, reply });
            return;
        }
        // Where targets say when they were born, an announcement without it is not theirs.
        let nameless =
            announcement.incarnation == 0 && view.targets.values().any(|t| t.incarnation > 0);
        if nameless {
            let reply = Reply::Invalid("no time of birth".into());
            out.push(Effect::Reply { token, reply });
            return;
        }
        let Some(lead) = &mut self.lead else { return };
        let known = view.targets.get(&announcement.id);
        let seen = lead.seen.get(&announcement.id);
        let late = known.is_some_and(|known| known.incarnation > announcement.incarnation)
            || seen.is_some_and(|seen| {
                (seen.incarnation, seen.sequence)
                    >= (announcement.incarnation, announcement.sequence)
            });
        let full = known.is_none() && view.targets.len() >= MAX_TARGETS;
        if late || full {
            let reply = Reply::Done { is_leader: true };
            out.push(Effect::Reply { token, reply });
            return;
        }
        lead.seen.insert(
            announcement.id.clone(),
            Seen {
                incarnation: announcement.incarnation,
                sequence: announcement.sequence,
                at: now,
            },
        );
        let mut target = announcement.target();
        if let Some(known) = known.filter(|known| known.incarnation == target.incarnation) {
            // A target that has said it leaves does not come back within this life.
            if known.state == TargetState::Left {
                target.state = TargetState::Left;
            }
        }
        if known == Some(&target) {
            let reply = Reply::Done { is_leader: true };
            out.push(Effect::Reply { token, reply });
            return;
        }
        let command = Command::Announce {
            id: announcement.id.clone(),
            target,
        };
        // Only a promise to send no more work needs to be durable before it is given. A target
        // whose registration is lost announces itself again.
        let then = if announcement.draining {
            Pending::Announce(token)
        } else {
            let reply = Reply::Done { is_leader: true };
            out.push(Effect::Reply { token, reply });
            Pending::Nobody
        };
        self.propose(&command, then, now, out);
    }

    fn leave(
        &mut self,
        token: CallToken,
        id: &TargetId,
        incarnation: Option<Incarnation>,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let known = self.state.view.targets.get(id);
        let target = known
            .filter(|known| incarnation.is_none_or(|incarnation| incarnation == known.incarnation));
        let Some(target) = target.filter(|target| target.state != TargetState::Left) else {
            let reply = Reply::Done { is_leader: true };
            out.push(Effect::Reply { token, reply });
            return;
        };
        let mut target = target.clone();
        target.state = TargetState::Left;
        let command = Command::Announce {
            id: id.clone(),
            target,
        };
        self.propose(&command, Pending::Announce(token), now, out);
    }

    /// Forgets targets that have been silent for long.
    pub(super) fn tend_targets(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(lead) = &mut self.lead else { return };
        let targets = &self.state.view.targets;
        lead.seen.retain(|id, seen| {
            now.saturating_sub(seen.at) < self.config.target_silence || targets.contains_key(id)
        });
        let mut silent = Vec::new();
        for (id, target) in targets {
            let seen = lead
                .seen
                .get(id)
                .filter(|seen| seen.incarnation == target.incarnation);
            let at = seen.map_or(lead.since, |seen| seen.at);
            let limit = match target.state {
                TargetState::Left => self.config.target_silence / LEFT_PART,
                TargetState::Ready | TargetState::Draining => self.config.target_silence,
            };
            if now.saturating_sub(at) >= limit {
                silent.push((id.clone(), target.incarnation));
            }
        }
        for (id, incarnation) in silent {
            // The time starts anew, so that one proposal is under way at a time.
            if let Some(lead) = &mut self.lead {
                let sequence = lead.seen.get(&id).map_or(0, |seen| seen.sequence);
                let seen = Seen {
                    incarnation,
                    sequence,
                    at: now,
                };
                lead.seen.insert(id.clone(), seen);
            }
            self.propose(
                &Command::Remove { id, incarnation },
                Pending::Nobody,
                now,
                out,
            );
        }
    }

    pub(super) fn read_ready(&mut self, id: u64, out: &mut Vec<Effect>) {
        let Some(Pending::Read(token)) = self.pending.remove(&id) else {
            return;
        };
        let reply = match &self.state.view.routing {
            Some(routing) => Reply::Routing(routing.clone()),
            None => Reply::Unavailable("no routing yet"),
        };
        out.push(Effect::Reply { token, reply });
    }

    pub(super) fn dropped(&mut self, id: u64, out: &mut Vec<Effect>) {
        match self.pending.remove(&id) {
            Some(Pending::Change(token) | Pending::Read(token) | Pending::Announce(token)) => {
                let reply = Reply::Unavailable("leadership was lost");
                out.push(Effect::Reply { token, reply });
            }
            Some(Pending::Assign(service, range)) => {
                if let Some(lead) = &mut self.lead {
                    lead.grants.reopen(&service, &range);
                }
            }
            Some(Pending::Nobody) | None => {}
        }
    }

    pub(super) fn decided(
        &mut self,
        pending: Pending,
        index: u64,
        outcome: Outcome,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let token = match pending {
            Pending::Change(token) => token,
            Pending::Announce(token) => {
                let reply = Reply::Done { is_leader: true };
                out.push(Effect::Reply { token, reply });
                return;
            }
            Pending::Assign(service, range) => {
                if let (Outcome::Outdated, Some(lead)) = (outcome, &mut self.lead) {
                    lead.grants.reopen(&service, &range);
                }
                return;
            }
            Pending::Read(_) | Pending::Nobody => return,
        };
        let reply = match outcome {
            Outcome::Done | Outcome::Repeated => {
                self.publishing.push(Publishing {
                    token,
                    index,
                    until: now + self.config.apply_wait,
                });
                self.publish(now, out);
                return;
            }
            Outcome::Stale { current } => Reply::Stale(current),
            Outcome::Invalid(error) => Reply::Invalid(error.to_string().into()),
            Outcome::Outdated => Reply::Unavailable("not a change"),
        };
        out.push(Effect::Reply { token, reply });
    }

    /// Acknowledges changes that all entry VMs with a live stream have.
    pub(super) fn publish(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let behind = self.streams.values().map(|stream| stream.index).min();
        let behind = behind.unwrap_or(u64::MAX);
        self.publishing.retain(|publishing| {
            let done = publishing.index <= behind || now >= publishing.until;
            if done {
                out.push(Effect::Reply {
                    token: publishing.token,
                    reply: Reply::Done { is_leader: true },
                });
            }
            !done
        });
    }
}
