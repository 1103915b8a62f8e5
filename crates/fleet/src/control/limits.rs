//! Exchange of the limits that targets state, and of rights to send to them.
//!
//! The state is not replicated: entry VMs send what they know to a new leader.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    Control,
    Effect, //
};
use crate::{
    message::PeerMessage,
    registry::Holder,
    request_limits::{
        LimitLedger,
        StatedLimit, //
    },
};

/// Shortest time between two messages with limits to all entry VMs.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(100);

/// The leader's limits, and what it still has to tell the entry VMs.
#[derive(Default)]
pub(super) struct LimitNews {
    ledger: LimitLedger,
    changed: BTreeSet<Holder>,
    next_broadcast: Duration,
}

impl Control {
    /// Handles what an entry VM heard of limits and the rights that it asks for. `sent` is copied
    /// into the answer, because the rights end by the clock of that VM.
    pub(super) fn on_target_limits(
        &mut self,
        conn: u64,
        sent: Duration,
        (stated, wanted): (&[StatedLimit], &[(Holder, u16)]),
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let is_certain = self.raft.lease_expiry().is_some_and(|expiry| expiry > now);
        let (Some(stream), Some(leader)) = (self.streams.get_mut(&conn), &mut self.leader_state)
        else {
            return;
        };
        let news = &mut leader.limit_news;
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
        let is_first = !std::mem::replace(&mut stream.takes_limits, true);
        let stated = match is_first {
            true => news.ledger.stated(now),
            false => Vec::new(),
        };
        if !stated.is_empty() || !rights.is_empty() {
            let message = PeerMessage::TargetLimits {
                sent,
                stated,
                rights,
            };
            out.push(Effect::Stream { conn, message });
        }
    }

    /// Tells the entry VMs which limits have changed: one that has no answers of a target must know
    /// too.
    pub(super) fn share_limits(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let news = &mut leader.limit_news;
        if now < news.next_broadcast {
            return;
        }
        news.next_broadcast = now + BROADCAST_INTERVAL;
        news.ledger.retain_current(&self.state.view);
        if news.changed.is_empty() {
            return;
        }
        let changed = std::mem::take(&mut news.changed).into_iter();
        let stated = changed.filter_map(|holder| news.ledger.stated_by(&holder, now));
        let message = PeerMessage::TargetLimits {
            sent: Duration::ZERO,
            stated: stated.collect(),
            rights: Vec::new(),
        };
        let taking = self.streams.iter().filter(|(_, s)| s.takes_limits);
        let conns: Box<[u64]> = taking.map(|(conn, _)| *conn).collect();
        if !conns.is_empty() {
            out.push(Effect::Broadcast { conns, message });
        }
    }
}
