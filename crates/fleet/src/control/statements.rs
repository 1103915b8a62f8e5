//! Exchange of what targets state about themselves, and of rights to send to those with a limit.
//!
//! The state is not replicated: entry VMs send what they know to a new leader.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    Control,
    Effect,
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
        StatedLimit, //
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
}

impl StatementNews {
    /// Whether an incarnation stated that it leaves. What it announces later may have been sent
    /// before.
    pub(super) fn is_leaving(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        let id = id.clone();
        self.leaving.contains(&Holder { id, incarnation })
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
            let granted = match is_certain {
                true => news.ledger.grant(holder, *wanted, now),
                false => 0,
            };
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
            target.incarnation == holder.incarnation && target.state == TargetState::Ready
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

    /// Tells the entry VMs which limits have changed: one that has no answers of a target must know
    /// too.
    pub(super) fn share_limits(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let news = &mut leader.statement_news;
        if now < news.next_broadcast {
            return;
        }
        news.next_broadcast = now + BROADCAST_INTERVAL;
        news.ledger.retain_current(&self.state.view);
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
