//! Exchange of the load of targets with the control leader, for contended routings.

use std::time::Duration;

use camphordale_fleet::{
    PeerMessage,
    load_summary::{
        MAX_REPORTED_TARGETS,
        TargetLoad, //
    },
};

use super::{
    Effect,
    Entry, //
};
use crate::control_stream::ControlStreamEffect;

/// Time without reports after the control VM closed the stream on the first one: a control VM of an
/// older version closes the stream on a message that it does not know.
const UNKNOWN_MESSAGE_PAUSE: Duration = Duration::from_secs(16);

/// Whether the control VM at the other end of the stream takes reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Peer {
    /// No report was sent on this stream.
    #[default]
    Untried,
    /// The first report was sent at this time, and no reply to a later ping has arrived.
    Tried(Duration),
    /// The control VM replied after it had read a report.
    TakesReports,
}

/// State of the reports to the leader.
#[derive(Debug, Default)]
pub(super) struct LoadReports {
    peer: Peer,
    paused_until: Duration,
}

impl LoadReports {
    /// Handles the reply to a ping: the leader has read what was sent before it.
    pub(super) fn confirm(&mut self, sent: Duration) {
        if matches!(self.peer, Peer::Tried(since) if sent >= since) {
            self.peer = Peer::TakesReports;
        }
    }

    /// Handles that this VM has no stream.
    pub(super) fn on_stream_left(&mut self) {
        self.peer = Peer::Untried;
    }

    /// Handles the end of a stream that the control VM closed.
    pub(super) fn on_stream_closed(&mut self, now: Duration) {
        if let Peer::Tried(_) = std::mem::take(&mut self.peer) {
            self.paused_until = now + UNKNOWN_MESSAGE_PAUSE;
        }
    }
}

impl Entry {
    /// Tells the leader the loads that targets stated since the last ping. Call this just before the
    /// ping, whose reply shows that the leader takes reports.
    pub(super) fn report_loads(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if !self.routes.is_contended() || now < self.load_reports.paused_until {
            return;
        }
        if self.load_reports.peer == Peer::Untried {
            self.load_reports.peer = Peer::Tried(now);
        }
        let loads = self.targets.take_loads(MAX_REPORTED_TARGETS, now);
        let message = PeerMessage::TargetLoads { loads };
        out.push(Effect::ControlStream(ControlStreamEffect::Send(message)));
    }

    /// Adopts the loads that other VMs saw.
    pub(super) fn on_load_summary(&mut self, loads: &[TargetLoad], now: Duration) {
        if self.routes.is_contended() {
            self.targets.record_shared_loads(loads, now);
        }
    }
}
