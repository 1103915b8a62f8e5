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
        TargetLoad,
        TargetTag, //
    },
    message::PeerMessage,
    service_demand::{
        DemandMerger,
        ServiceDemand,
        TargetWork, //
    },
};

/// The loads that the leader knows, and when it tells them next.
#[derive(Default)]
pub(super) struct LoadNews {
    merger: LoadMerger,
    demand: DemandMerger,
    next_summary: Duration,
}

/// What an entry VM reports.
pub(super) struct LoadReport<'a> {
    pub(super) loads: &'a [TargetLoad],
    pub(super) covered: Duration,
    pub(super) demand: &'a [ServiceDemand],
    pub(super) work: &'a [TargetWork],
    pub(super) unreachable: &'a [TargetTag],
}

impl Control {
    /// Handles the loads and the demand that an entry VM saw.
    pub(super) fn on_target_loads(&mut self, conn: u64, report: LoadReport<'_>, now: Duration) {
        if !self.is_contended() {
            return;
        }
        let (Some(stream), Some(leader)) = (self.streams.get_mut(&conn), &mut self.leader_state)
        else {
            return;
        };
        // Older entry VMs close the stream on a summary, and do not send loads either.
        let news = &mut leader.load_news;
        if !std::mem::replace(&mut stream.takes_summaries, true) {
            news.merger.resend_all();
        }
        news.merger.record(report.loads, now);
        news.merger.record_unreachable(report.unreachable, now);
        news.demand.record(
            (conn, &stream.domain),
            (report.demand, report.covered),
            report.work,
            now,
        );
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
        let loads = news.merger.take_changes(now);
        let demand = news.demand.summarize(&self.state.view, &news.merger, now);
        let message = PeerMessage::LoadSummary { loads, demand };
        out.push(Effect::Broadcast { conns, message });
    }
}
