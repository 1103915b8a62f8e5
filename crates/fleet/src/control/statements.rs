//! Exchange of what targets state about themselves, and of rights to send to those with a limit.
//!
//! The state is not replicated: entry VMs send what they know to a new leader.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use super::{
    Control,
    Effect,
    LogEvent,
    calls::Pending, //
};
use crate::{
    message::PeerMessage,
    registry::{
        Holder,
        Incarnation,
        Target,
        TargetId,
        TargetState, //
    },
    request_limits::{
        LimitLedger,
        RequestRate,
        RightRequest,
        StatedLimit, //
    },
    state::View,
    warm_up::{
        ColdTargets,
        Suspicion,
        WarmUpBounds, //
    },
};

/// Shortest time between two messages with limits to all entry VMs.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(100);

/// What the leader knows by the statements of targets, and what it still has to tell the entry VMs.
#[derive(Default)]
pub(super) struct StatementNews {
    ledger: LimitLedger,
    changed: BTreeSet<Holder>,
    next_broadcast: Duration,
    /// Incarnations that stated that they leave.
    leaving: BTreeSet<Holder>,
    cold: ColdTargets,
    /// Targets that are suspected, or no longer, since the entry VMs were last told, and when this
    /// changed.
    cold_changed: BTreeMap<Holder, Duration>,
}

impl StatementNews {
    /// Whether an incarnation stated that it leaves. What it announces later may have been sent
    /// before.
    pub(super) fn is_leaving(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        let id = id.clone();
        self.leaving.contains(&Holder { id, incarnation })
    }

    /// Handles what a target of a service with a warm-up rate announces. Returns the state to
    /// register.
    pub(super) fn record_warmth(
        &mut self,
        holder: &Holder,
        is_warm: bool,
        recorded: Option<TargetState>,
        now: Duration,
    ) -> TargetState {
        if is_warm && self.cold.refute(holder, now) {
            self.cold_changed.insert(holder.clone(), now);
        }
        self.cold.announced(holder, is_warm, recorded, now)
    }

    /// Limit of a target because it is cold. `proposed` is its record that is not committed yet.
    pub(super) fn cold_limit(
        &self,
        view: &View,
        holder: &Holder,
        proposed: Option<&Target>,
        bounds: WarmUpBounds,
    ) -> Option<RequestRate> {
        let target = view.targets.get(&holder.id)?;
        let service = view.cold_service(&target.service)?;
        // A draining target may be cold too. Until its keys have moved, it gets requests.
        let is_cold = |target: &Target| {
            let is_cold = match target.state {
                TargetState::Cold => true,
                TargetState::Ready => false,
                TargetState::Draining | TargetState::Left => self.cold.is_announced_cold(holder),
            };
            target.incarnation == holder.incarnation && is_cold
        };
        let is_recorded = is_cold(target) || proposed.is_some_and(is_cold);
        let counts_as_cold = is_recorded || self.cold.is_suspected(holder);
        counts_as_cold.then(|| bounds.limit(service.rate))
    }
}

/// What an entry VM heard of targets, and the rights that it needs.
pub(super) struct TargetStatements<'a> {
    pub(super) stated: &'a [StatedLimit],
    pub(super) leaving: &'a [Holder],
    pub(super) wanted: &'a [(Holder, u16)],
}

impl Control {
    /// Handles what an entry VM heard of limits and the rights that it asks for. `sent` is copied
    /// into the answer, because the rights end by the clock of that VM.
    pub(super) fn on_target_statements(
        &mut self,
        conn: u64,
        sent: Duration,
        statements: TargetStatements<'_>,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let TargetStatements {
            stated,
            leaving,
            wanted,
        } = statements;
        let is_certain = self.raft.lease_expiry().is_some_and(|expiry| expiry > now);
        let (Some(stream), Some(leader)) = (self.streams.get_mut(&conn), &mut self.leader_state)
        else {
            return;
        };
        let news = &mut leader.statement_news;
        for stated in stated {
            let is_current = self.state.view.is_current(&stated.holder);
            if is_current && news.ledger.record(stated, now) {
                news.changed.insert(stated.holder.clone());
            }
        }
        let mut rights = Vec::new();
        for (holder, wanted) in wanted {
            // The entry VMs that know the next incarnation get rights for that one.
            if !is_certain || !self.state.view.is_current(holder) {
                continue;
            }
            let proposed = leader.proposed_targets.get(&holder.id);
            let bounds = self.config.warm_up;
            let cold = news.cold_limit(&self.state.view, holder, proposed, bounds);
            news.ledger.set_cold(holder, cold, now);
            let request = RightRequest {
                conn,
                sent,
                wanted: *wanted,
            };
            let granted = news.ledger.grant_or_wait(holder, request, now);
            if granted > 0 {
                rights.push((holder.clone(), granted));
            }
        }
        // Older entry VMs close the stream on such a message, and do not send one either.
        let is_first = !std::mem::replace(&mut stream.takes_statements, true);
        let stated = match is_first {
            true => news.ledger.stated(now),
            false => Vec::new(),
        };
        if !stated.is_empty() || !rights.is_empty() {
            let message = PeerMessage::TargetStatements {
                sent,
                stated,
                leaving: Vec::new(),
                rights,
            };
            out.push(Effect::Stream { conn, message });
        }
        if is_first && let Some(message) = self.suspicions(now) {
            out.push(Effect::Stream { conn, message });
        }
        for holder in leaving {
            self.record_leaving(holder, now, out);
        }
    }

    /// Registers a target that states that it leaves as draining, before it announces that itself:
    /// its keys have to move in time.
    fn record_leaving(&mut self, holder: &Holder, now: Duration, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if !self.state.view.is_current(holder)
            || !leader.statement_news.leaving.insert(holder.clone())
        {
            return;
        }
        let proposed = leader.proposed_targets.get(&holder.id);
        let newest = proposed.or_else(|| self.state.view.targets.get(&holder.id));
        let is_ready = |target: &&Target| {
            target.incarnation == holder.incarnation && target.state.accepts_requests()
        };
        let Some(target) = newest.filter(is_ready) else {
            return;
        };
        let target = Target {
            state: TargetState::Draining,
            ..target.clone()
        };
        self.propose_target(&holder.id, target, Pending::NoReply, now, out);
    }

    /// The targets that are suspected, if there are any.
    pub(super) fn suspicions(&self, now: Duration) -> Option<PeerMessage> {
        let news = &self.leader_state.as_ref()?.statement_news;
        let suspected = news.cold.suspected(now);
        (!suspected.is_empty()).then_some(PeerMessage::ColdTargets {
            suspected,
            cleared: Vec::new(),
            expired: Vec::new(),
        })
    }

    /// Handles the report of an entry VM that connections could not be opened.
    pub(super) fn on_cold_targets(
        &mut self,
        conn: u64,
        suspected: &[(Holder, Duration)],
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let view = &self.state.view;
        let news = &mut leader.statement_news;
        let mut cleared = Vec::new();
        for (holder, age) in suspected {
            let target = view.targets.get(&holder.id);
            let target = target.filter(|target| target.incarnation == holder.incarnation);
            if target.is_none_or(|target| view.cold_service(&target.service).is_none()) {
                continue;
            }
            match news.cold.suspect(holder, now.saturating_sub(*age), now) {
                Suspicion::New => {
                    news.cold_changed.insert(holder.clone(), now);
                }
                Suspicion::Known => {}
                Suspicion::Refuted(age) => cleared.push((holder.clone(), age)),
            }
        }
        if !cleared.is_empty() {
            let message = PeerMessage::ColdTargets {
                suspected: Vec::new(),
                cleared,
                expired: Vec::new(),
            };
            out.push(Effect::Stream { conn, message });
        }
    }

    /// Requires two successive announcements from now on before the cold targets of a failure domain
    /// count as warm: at the end of an evacuation, what they announced before may be out of date.
    pub(super) fn require_warm_proof(&mut self, domain: &str) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let targets = self.state.view.targets.iter();
        let cold = targets.filter(|(_, t)| *t.domain == *domain && t.state == TargetState::Cold);
        for (id, target) in cold {
            leader.statement_news.cold.require_proof(&Holder {
                id: id.clone(),
                incarnation: target.incarnation,
            });
        }
    }

    /// Grants rights that entry VMs wait for, and tells them which targets are suspected, or no
    /// longer. This is not delayed like limits: until they know, each may send to a target that comes
    /// back.
    fn share_cold_targets(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let is_certain = self.raft.lease_expiry().is_some_and(|expiry| expiry > now);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let news = &mut leader.statement_news;
        if is_certain {
            for (holder, granted) in news.ledger.serve_waiting(now) {
                let is_open = self.streams.contains_key(&granted.conn);
                if is_open && self.state.view.is_current(&holder) {
                    let message = PeerMessage::TargetStatements {
                        sent: granted.sent,
                        stated: Vec::new(),
                        leaving: Vec::new(),
                        rights: vec![(holder, granted.wanted)],
                    };
                    let conn = granted.conn;
                    out.push(Effect::Stream { conn, message });
                }
            }
        }
        let interval = self.config.lease_times.interval;
        let expired = news.cold.expire(&self.state.view, interval, now);
        news.cold_changed
            .retain(|holder, _| !expired.contains(holder));
        if news.cold_changed.is_empty() && expired.is_empty() {
            return;
        }
        let changed = std::mem::take(&mut news.cold_changed);
        let mut suspected = news.cold.suspected(now);
        suspected.retain(|(holder, _)| changed.contains_key(holder));
        let cleared = changed.into_iter();
        let cleared = cleared.filter(|(holder, _)| !news.cold.is_suspected(holder));
        let cleared = cleared.map(|(holder, at)| (holder, now.saturating_sub(at)));
        let cleared: Vec<_> = cleared.collect();
        let ended = cleared.iter().map(|(holder, _)| holder).chain(&expired);
        let begun = suspected.iter().map(|(holder, _)| (holder, true));
        for (holder, suspected) in begun.chain(ended.map(|holder| (holder, false))) {
            let holder = holder.clone();
            out.push(Effect::Log(LogEvent::Suspected { holder, suspected }));
        }
        let message = PeerMessage::ColdTargets {
            suspected,
            cleared,
            expired,
        };
        let taking = self.streams.iter().filter(|(_, s)| s.takes_statements);
        let conns: Box<[u64]> = taking.map(|(conn, _)| *conn).collect();
        if !conns.is_empty() {
            out.push(Effect::Broadcast { conns, message });
        }
    }

    /// Tells the entry VMs which limits have changed: one that has no answers of a target must know
    /// too.
    pub(super) fn share_limits(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.share_cold_targets(now, out);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let news = &mut leader.statement_news;
        if now < news.next_broadcast {
            return;
        }
        news.next_broadcast = now + BROADCAST_INTERVAL;
        news.ledger.retain_current(&self.state.view);
        news.cold.retain_registered(&self.state.view);
        news.leaving
            .retain(|holder| self.state.view.is_current(holder));
        if news.changed.is_empty() {
            return;
        }
        let changed = std::mem::take(&mut news.changed).into_iter();
        let stated = changed.filter_map(|holder| news.ledger.stated_by(&holder, now));
        let message = PeerMessage::TargetStatements {
            sent: Duration::ZERO,
            stated: stated.collect(),
            leaving: Vec::new(),
            rights: Vec::new(),
        };
        let taking = self.streams.iter().filter(|(_, s)| s.takes_statements);
        let conns: Box<[u64]> = taking.map(|(conn, _)| *conn).collect();
        if !conns.is_empty() {
            out.push(Effect::Broadcast { conns, message });
        }
    }
}
