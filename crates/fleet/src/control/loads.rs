//! Exchange of the load of targets with the entry VMs, for contended routings.
//!
//! The state is not replicated: after a change of leader, the next reports of the entry VMs restore
//! it within a ping interval.

use std::time::Duration;

use super::{
    Control,
    Effect, //
};
use crate::{
    load_summary::{
        LoadMerger,
        SUMMARY_INTERVAL,
        TargetLoad, //
    },
    message::PeerMessage,
};

/// The loads that the leader knows, and when it tells them next.
#[derive(Default)]
pub(super) struct LoadNews {
    merger: LoadMerger,
    next_summary: Duration,
}

impl Control {
    /// Handles the loads that an entry VM saw.
    pub(super) fn on_target_loads(&mut self, conn: u64, loads: &[TargetLoad], now: Duration) {
        if !self.is_contended() {
            return;
        }
        let (Some(stream), Some(leader)) = (self.streams.get_mut(&conn), &mut self.leader_state)
        else {
            return;
        };
        // Older entry VMs close the stream on a summary, and do not send loads either.
        if !std::mem::replace(&mut stream.takes_summaries, true) {
            leader.load_news.merger.resend_all();
        }
        leader.load_news.merger.record(loads, now);
    }

    /// Tells the entry VMs the loads that changed. An empty summary is sent too: it shows that the
    /// loads known so far are the newest.
    pub(super) fn share_loads(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if !self.is_contended() {
            return;
        }
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let news = &mut leader.load_news;
        if now < news.next_summary {
            return;
        }
        news.next_summary = now + SUMMARY_INTERVAL;
        let taking = self.streams.iter().filter(|(_, s)| s.takes_summaries);
        let conns: Box<[u64]> = taking.map(|(conn, _)| *conn).collect();
        if conns.is_empty() {
            return;
        }
        let message = PeerMessage::LoadSummary {
            loads: news.merger.take_changes(now),
        };
        out.push(Effect::Broadcast { conns, message });
    }
}
