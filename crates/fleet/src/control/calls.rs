//! Calls of operators and targets.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_raft as raft;

use super::{
    Call,
    CallToken,
    Control,
    Effect,
    LogEvent,
    Reply,
    heartbeats::LeaseRequest, //
};
use crate::{
    evacuation::EvacuationOrder,
    keys::KeyRange,
    registry::{
        Announcement,
        Holder,
        Incarnation,
        Target,
        TargetId,
        TargetState, //
    },
    routing::{
        Change,
        Domain,
        KeyDelivery,
        ServiceName,
        Version, //
    },
    state::{
        Command,
        Outcome, //
    },
};

/// Maximum number of registered targets. It bounds what unauthenticated announcements can add.
const MAX_TARGETS: usize = 8192;
/// A target that left is removed after the target silence divided by this.
const LEFT_TIMEOUT_DIVISOR: u32 = 2;

/// What to do with the result of a proposal or read.
pub(super) enum Pending {
    /// Reply to the operator that submitted a change, with its version.
    Change(CallToken, Version),
    /// Reply to the operator that reads the routing.
    Read(CallToken),
    /// Reply to the target whose state changed.
    Announce(CallToken),
    /// Reply to the target whose state changed, with its key leases.
    Leases(CallToken, Box<LeaseRequest>),
    /// Reply to the operator that ordered or ended the evacuation of a domain.
    Evacuate(CallToken, Domain),
    /// Retry the assignment of a key range if it fails.
    Assign(ServiceName, KeyRange),
    /// Nothing; no call waits for it.
    NoReply,
}

/// Targets that left before any of their announcements was registered. These may still arrive.
#[derive(Default)]
pub(super) struct Departures {
    /// Incarnation that left last, and when. It says nothing about others under the same id, so a
    /// leave of another writer shuts none of them out.
    targets: BTreeMap<TargetId, (Incarnation, Duration)>,
}

impl Departures {
    fn record(&mut self, id: &TargetId, incarnation: Incarnation, now: Duration) {
        if self.targets.len() >= MAX_TARGETS {
            return;
        }
        self.targets.insert(id.clone(), (incarnation, now));
    }

    fn contains(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        let departed = self.targets.get(id);
        departed.is_some_and(|(departed, _)| incarnation == *departed)
    }

    fn expire(&mut self, now: Duration, lifetime: Duration) {
        self.targets
            .retain(|_, (_, at)| now.saturating_sub(*at) < lifetime);
    }
}

/// The latest announcement of a target that the leader has received.
pub(super) struct LastAnnouncement {
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    /// When it was received, or when the removal of the silent target was proposed.
    pub(super) received_at: Duration,
    /// When it was received.
    pub(super) heard_at: Option<Duration>,
    /// Whether this incarnation announced to this leader that it drains.
    drained: bool,
}

impl Control {
    pub(super) fn on_call(
        &mut self,
        token: CallToken,
        call: Call,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if self.leader_state.is_none() {
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
                self.step_raft(raft::Event::Read { id }, now, out);
            }
            Call::Announce(announcement) => self.announce(token, &announcement, now, out),
            Call::Leave { id, incarnation } => self.leave(token, &id, incarnation, now, out),
            Call::Evacuate { domain, order } => self.evacuate(token, domain, order, now, out),
        }
    }

    /// Replies what the state of this leader says. Once its lease is over, another leader may know more.
    fn reply_from_state(
        &self,
        token: CallToken,
        reply: Reply,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let has_lease = self.raft.lease_expiry().is_some_and(|expiry| expiry > now);
        let reply = match has_lease {
            true => reply,
            false => Reply::Unavailable("leadership is not confirmed"),
        };
        out.push(Effect::Reply { token, reply });
    }

    /// Proposes an order about an evacuation. A repeated one is proposed as well: only the log tells
    /// whether another leader has accepted the opposite order in between.
    fn evacuate(
        &mut self,
        token: CallToken,
        domain: Domain,
        order: EvacuationOrder,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if !self.knows_domain(&domain) {
            let reply = Reply::Invalid("unknown failure domain".into());
            return self.reply_from_state(token, reply, now, out);
        }
        let command = Command::Evacuate {
            domain: domain.clone(),
            order,
        };
        self.propose(&command, Pending::Evacuate(token, domain), now, out);
    }

    /// Whether a failure domain is named in the settings, or has a member, an entry VM with a stream
    /// or a target. The end of an evacuation can be ordered even if none of these is left.
    fn knows_domain(&self, domain: &Domain) -> bool {
        let view = &self.state.view;
        self.config.domains.contains(domain)
            || view.evacuations.knows(domain)
            || view.members.values().any(|m| m.domain == *domain)
            || self.has_entry_in(domain)
            || view.targets.values().any(|t| t.domain == *domain)
    }

    fn propose_change(
        &mut self,
        token: CallToken,
        change: Box<Change>,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let (base, version) = (change.base_version, change.version);
        let change = match self.state.review(*change) {
            Ok(change) => change,
            Err(outcome) => {
                out.push(Effect::Log(LogEvent::Change {
                    base,
                    version,
                    outcome: outcome.clone(),
                }));
                let reply = refusal(outcome);
                out.push(Effect::Reply { token, reply });
                return;
            }
        };
        if self.raft.uncommitted_bytes() > self.config.log_limit {
            let reply = Reply::Unavailable("too many changes are not committed");
            out.push(Effect::Reply { token, reply });
            return;
        }
        let command = Command::Change(Box::new(change));
        self.propose(&command, Pending::Change(token, version), now, out);
    }

    fn announce(
        &mut self,
        token: CallToken,
        announcement: &Announcement,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if let Err(error) = announcement.check() {
            let reply = Reply::Invalid(error.to_string().into());
            out.push(Effect::Reply { token, reply });
            return;
        }
        let view = &self.state.view;
        let routing = view.routing.as_ref();
        if routing.is_some_and(|r| !r.services.contains_key(&announcement.service)) {
            let reply = Reply::Invalid("unknown service".into());
            return self.reply_from_state(token, reply, now, out);
        }
        // Once any target announces its incarnation, an announcement without one cannot be genuine.
        let lacks_incarnation =
            announcement.incarnation == 0 && view.targets.values().any(|t| t.incarnation > 0);
        if lacks_incarnation {
            let reply = Reply::Invalid("no time of birth".into());
            out.push(Effect::Reply { token, reply });
            return;
        }
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let known = view.targets.get(&announcement.id);
        let latest = leader.announcements.get(&announcement.id);
        let departed = leader
            .departures
            .contains(&announcement.id, announcement.incarnation);
        let outdated = departed
            || known.is_some_and(|known| known.incarnation > announcement.incarnation)
            || latest.is_some_and(|latest| {
                (latest.incarnation, latest.sequence)
                    >= (announcement.incarnation, announcement.sequence)
            });
        let registry_full = known.is_none() && view.targets.len() >= MAX_TARGETS;
        if outdated && announcement.draining {
            let incarnation = announcement.incarnation;
            let id = announcement.id.clone();
            let holder = Holder { id, incarnation };
            return self.acknowledge_leave_again(token, &holder, now, out);
        }
        if outdated || registry_full {
            let reply = Reply::Done { is_leader: true };
            out.push(Effect::Reply { token, reply });
            return;
        }
        // What was announced to former leaders may still arrive, and its sequence is not known any
        // more. So a draining target is ready again only if it said so after it said to this leader
        // that it drains.
        let drained = latest
            .is_some_and(|latest| latest.incarnation == announcement.incarnation && latest.drained);
        leader.announcements.insert(
            announcement.id.clone(),
            LastAnnouncement {
                incarnation: announcement.incarnation,
                sequence: announcement.sequence,
                received_at: now,
                heard_at: Some(now),
                drained: drained || announcement.draining,
            },
        );
        let holder = Holder {
            id: announcement.id.clone(),
            incarnation: announcement.incarnation,
        };
        leader.crash_news.refute(&holder, now);
        let mut target = announcement.target();
        // A target that has left does not return within the same incarnation.
        let newest = leader.proposed_targets.get(&announcement.id).or(known);
        let recorded = newest.filter(|newest| newest.incarnation == target.incarnation);
        let recorded = recorded.map(|newest| newest.state);
        let was = |state| {
            newest.is_some_and(|newest| {
                newest.incarnation == target.incarnation && newest.state == state
            })
        };
        let has_left = was(TargetState::Left);
        let still_drains = was(TargetState::Draining) && !drained;
        let news = &leader.statement_news;
        if has_left {
            target.state = TargetState::Left;
        } else if still_drains || news.is_leaving(&announcement.id, target.incarnation) {
            target.state = TargetState::Draining;
        }
        if view.cold_service(&target.service).is_some() {
            let is_warm = announcement.warm_up == 0;
            let news = &mut leader.statement_news;
            let state = news.record_warmth(&holder, is_warm, recorded, now);
            if target.state.accepts_requests() {
                target.state = state;
            }
        }
        let by_heartbeat = view.key_delivery(&target.service) == KeyDelivery::Heartbeat;
        if known == Some(&target) {
            let request = LeaseRequest::new(announcement);
            return match announcement.draining {
                true => self.acknowledge_known_leave(token, &holder, Some(request), now, out),
                false => self.answer_announcement(token, &request, now, out),
            };
        }
        // Only a reply to a draining target must wait until the state is durable, because it
        // promises that no more requests will be sent. A target whose registration is lost
        // announces itself again.
        let then = if by_heartbeat {
            Pending::Leases(token, Box::new(LeaseRequest::new(announcement)))
        } else if announcement.draining {
            Pending::Announce(token)
        } else {
            let reply = Reply::Done { is_leader: true };
            out.push(Effect::Reply { token, reply });
            Pending::NoReply
        };
        self.propose_target(&announcement.id, target, then, now, out);
    }

    /// Acknowledges an announcement of a target that leaves, which was received before. Nothing is
    /// promised if the target has changed its mind since then.
    fn acknowledge_leave_again(
        &mut self,
        token: CallToken,
        holder: &Holder,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let leader = self.leader_state.as_ref();
        let proposed = leader.and_then(|leader| leader.proposed_targets.get(&holder.id));
        let is_durable = proposed.is_none();
        let newest = proposed.or_else(|| self.state.view.targets.get(&holder.id));
        let leaving = newest.filter(|newest| {
            newest.incarnation == holder.incarnation && !newest.state.accepts_requests()
        });
        match leaving.cloned() {
            None => {
                let reply = Reply::Done { is_leader: true };
                out.push(Effect::Reply { token, reply });
            }
            Some(_) if is_durable => self.acknowledge_known_leave(token, holder, None, now, out),
            Some(target) => {
                self.propose_target(&holder.id, target, Pending::Announce(token), now, out);
            }
        }
    }

    /// Proposes a new record of a target.
    pub(super) fn propose_target(
        &mut self,
        id: &TargetId,
        target: Target,
        then: Pending,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if let Some(leader) = &mut self.leader_state {
            leader.proposed_targets.insert(id.clone(), target.clone());
        }
        let command = Command::Announce {
            id: id.clone(),
            target,
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
        // The registration of the target may not be committed yet.
        let proposed = self
            .leader_state
            .as_ref()
            .and_then(|leader| leader.proposed_targets.get(id));
        let is_durable = proposed.is_none();
        let is_meant = |newest: &&Target| {
            incarnation.is_none_or(|incarnation| incarnation == newest.incarnation)
        };
        let target = proposed.or(known).filter(is_meant).cloned();
        let has_left = |target: &Target| is_durable && target.state == TargetState::Left;
        let has_left = target.as_ref().is_some_and(has_left);
        if (has_left || target.is_none())
            && let (Some(leader), Some(incarnation)) = (&mut self.leader_state, incarnation)
        {
            leader.departures.record(id, incarnation, now);
        }
        let Some(mut target) = target else {
            let reply = Reply::Done { is_leader: true };
            return self.reply_from_state(token, reply, now, out);
        };
        if has_left {
            let incarnation = target.incarnation;
            let id = id.clone();
            let holder = Holder { id, incarnation };
            return self.acknowledge_known_leave(token, &holder, None, now, out);
        }
        target.state = TargetState::Left;
        self.propose_target(id, target, Pending::Announce(token), now, out);
    }

    /// Removes targets from the registry that have not announced themselves for too long.
    pub(super) fn forget_silent_targets(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.departures.expire(now, self.config.target_timeout);
        let targets = &self.state.view.targets;
        leader.announcements.retain(|id, latest| {
            now.saturating_sub(latest.received_at) < self.config.target_timeout
                || targets.contains_key(id)
        });
        let mut silent = Vec::new();
        for (id, target) in targets {
            // An announcement of the next incarnation counts too, as its registration may not be
            // committed yet.
            let latest = leader.announcements.get(id);
            let at = latest.map_or(leader.elected_at, |latest| latest.received_at);
            let limit = match target.state {
                TargetState::Left => self.config.target_timeout / LEFT_TIMEOUT_DIVISOR,
                TargetState::Ready | TargetState::Draining | TargetState::Cold => {
                    self.config.target_timeout
                }
            };
            if now.saturating_sub(at) >= limit {
                silent.push((id.clone(), target.incarnation));
            }
        }
        for (id, incarnation) in silent {
            // Restarting the silence keeps a single removal in flight.
            if let Some(leader) = &mut self.leader_state {
                let latest = leader
                    .announcements
                    .entry(id.clone())
                    .or_insert(LastAnnouncement {
                        incarnation,
                        sequence: 0,
                        received_at: now,
                        heard_at: None,
                        drained: false,
                    });
                latest.received_at = now;
            }
            self.propose(
                &Command::Remove { id, incarnation },
                Pending::NoReply,
                now,
                out,
            );
        }
    }

    pub(super) fn on_read_ready(&mut self, id: u64, out: &mut Vec<Effect>) {
        let Some(Pending::Read(token)) = self.pending.remove(&id) else {
            return;
        };
        let reply = match &self.state.view.routing {
            Some(routing) => Reply::Routing(routing.clone()),
            None => Reply::Unavailable("no routing yet"),
        };
        out.push(Effect::Reply { token, reply });
    }

    pub(super) fn on_proposal_dropped(&mut self, id: u64, out: &mut Vec<Effect>) {
        match self.pending.remove(&id) {
            Some(
                Pending::Change(token, _)
                | Pending::Read(token)
                | Pending::Announce(token)
                | Pending::Evacuate(token, _)
                | Pending::Leases(token, _),
            ) => {
                let reply = Reply::Unavailable("leadership was lost");
                out.push(Effect::Reply { token, reply });
            }
            Some(Pending::Assign(service, range)) => {
                if let Some(leader) = &mut self.leader_state {
                    leader
                        .lease_table
                        .record_dropped_assignment(&service, &range);
                }
            }
            Some(Pending::NoReply) | None => {}
        }
    }

    pub(super) fn on_command_outcome(
        &mut self,
        pending: Pending,
        index: u64,
        outcome: Outcome,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let (token, index, version) = match pending {
            Pending::Change(token, version) => (token, index, Some(version)),
            // A repeated order took effect at an earlier index, which the entry VMs may have.
            Pending::Evacuate(token, domain) => {
                let changed_at = self.state.view.evacuations.changed_at(&domain);
                (token, changed_at.unwrap_or(index), None)
            }
            Pending::Announce(token) => {
                return self.acknowledge_leave(token, index, None, now, out);
            }
            Pending::Leases(token, request) => {
                let target = self.state.view.targets.get(&request.holder.id);
                return match target.is_some_and(|target| !target.state.accepts_requests()) {
                    true => self.acknowledge_leave(token, index, Some(request), now, out),
                    false => self.answer_announcement(token, &request, now, out),
                };
            }
            Pending::Assign(service, range) => {
                if let (Outcome::Outdated, Some(leader)) = (outcome, &mut self.leader_state) {
                    leader
                        .lease_table
                        .record_dropped_assignment(&service, &range);
                }
                return;
            }
            Pending::Read(_) | Pending::NoReply => return,
        };
        let reply = match outcome {
            Outcome::Done | Outcome::Repeated => {
                return self.acknowledge_order(token, (index, version), now, out);
            }
            outcome => refusal(outcome),
        };
        out.push(Effect::Reply { token, reply });
    }
}

/// The reply to an operator whose change or order was not accepted.
fn refusal(outcome: Outcome) -> Reply {
    match outcome {
        Outcome::Stale { current } => Reply::Stale(current),
        Outcome::Invalid(error) => Reply::Invalid(error.to_string().into()),
        Outcome::NotEvacuated => {
            Reply::Conflict("no evacuation of this failure domain was ordered".into())
        }
        Outcome::Done | Outcome::Repeated | Outcome::Outdated => Reply::Unavailable("not a change"),
    }
}
