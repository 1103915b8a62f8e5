//! Requests that crash the targets which execute them: evidence, refusal, and the exchange with the
//! control leader.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use camphordale_fleet::{
    CrashEvidence,
    CrashRecord,
    Fingerprint,
    Holder,
    PeerMessage,
    TargetId,
    Verdict, //
};

use super::{
    Effect,
    Entry,
    Reason,
    RequestHandle, //
};
use crate::control_stream::ControlStreamEffect;

/// Requests in one message to the leader.
const MAX_REPORTED: usize = 64;
/// Requests that are reported to a new leader.
const MAX_FIRST_REPORTED: usize = 256;
/// Time without reports after the control VM closed the stream on one, doubled each time: a control
/// VM of an older version closes the stream on a message that it does not know.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Longest time without reports.
const MAX_PAUSE: Duration = Duration::from_secs(16);
/// Suggested retry delay of a quarantined request while its crashes may still be refuted.
const UNSETTLED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The evidence of this VM, and what the leader has to be told.
#[derive(Default)]
pub(super) struct CrashReports {
    evidence: CrashEvidence,
    changed: BTreeSet<Fingerprint>,
    /// Whether the leader of this stream has been told all.
    reported_all: bool,
    /// When the first report was sent after which no reply to a ping has arrived.
    unconfirmed_since: Option<Duration>,
    pause: Duration,
    paused_until: Duration,
}

impl CrashReports {
    /// The targets that crashed while they had such a request.
    pub(super) fn crashed(&self, fingerprint: Fingerprint) -> Vec<TargetId> {
        let crashed = self.evidence.crashed(fingerprint);
        crashed.map(|holder| holder.id.clone()).collect()
    }

    pub(super) fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.evidence.verdict(fingerprint) >= Verdict::Suspect
    }

    /// Records that a target closed the connection while it had a request. This is reported each
    /// time, because the leader may have refuted an earlier crash of the same target.
    pub(super) fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        holder: &Holder,
        now: Duration,
    ) {
        self.evidence.record_crash(fingerprint, holder, now);
        self.changed.insert(fingerprint);
    }

    /// Records that a target completed a request.
    pub(super) fn record_completion(&mut self, fingerprint: Fingerprint, now: Duration) {
        if self.evidence.record_completion(fingerprint, now) {
            self.changed.insert(fingerprint);
        }
    }

    /// Records that a request was refused because of the evidence.
    pub(super) fn record_refusal(&mut self, fingerprint: Fingerprint, now: Duration) {
        if self.evidence.refresh(fingerprint, now) {
            self.changed.insert(fingerprint);
        }
    }

    pub(super) fn expire(&mut self, now: Duration) {
        self.evidence.expire(now);
    }

    /// Handles the reply to a ping: the leader has read what was sent before it.
    pub(super) fn confirm(&mut self, sent: Duration) {
        if self.unconfirmed_since.is_some_and(|since| sent > since) {
            self.unconfirmed_since = None;
            self.pause = Duration::ZERO;
        }
    }

    /// Handles the end of a stream that the control VM closed.
    pub(super) fn on_stream_closed(&mut self, now: Duration) {
        if self.unconfirmed_since.take().is_some() {
            self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
            self.paused_until = now + self.pause;
        }
    }

    /// Takes the reports that are due. The first one on a stream is sent even if it is empty: it
    /// says that this VM takes evidence from the leader.
    fn take_reports(&mut self, is_established: bool, now: Duration) -> Vec<Vec<CrashRecord>> {
        if !is_established {
            self.unconfirmed_since = None;
            self.reported_all = false;
        }
        if !is_established || now < self.paused_until {
            self.reported_all = false;
            self.changed.clear();
            return Vec::new();
        }
        let is_first = !std::mem::replace(&mut self.reported_all, true);
        let changed = std::mem::take(&mut self.changed);
        if !is_first && changed.is_empty() {
            return Vec::new();
        }
        let due: Vec<Fingerprint> = match is_first {
            true => self.evidence.newest(MAX_FIRST_REPORTED),
            false => changed.into_iter().collect(),
        };
        self.unconfirmed_since.get_or_insert(now);
        let due = due.into_iter();
        let records: Vec<CrashRecord> = due
            .filter_map(|fingerprint| self.evidence.record(fingerprint, now))
            .collect();
        match records.is_empty() {
            true => vec![records],
            false => records.chunks(MAX_REPORTED).map(<[_]>::to_vec).collect(),
        }
    }
}

impl Entry {
    /// Sends the leader the evidence that has changed in this step.
    pub(super) fn report_crashes(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let is_established = self.control_stream.is_established();
        for records in self.crashes.take_reports(is_established, now) {
            let alive = Vec::new();
            let message = PeerMessage::CrashEvidence { records, alive };
            out.push(Effect::ControlStream(ControlStreamEffect::Send(message)));
        }
    }

    /// Adds the evidence of the leader, and refuses waiting requests that are quarantined now.
    pub(super) fn on_crash_evidence(
        &mut self,
        records: &[CrashRecord],
        alive: &[(Holder, Duration)],
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let evidence = &mut self.crashes.evidence;
        for record in records {
            evidence.merge(record, now);
        }
        for (holder, age) in alive {
            evidence.refute(holder, now.saturating_sub(*age));
        }
        for record in records {
            self.refuse_waiting(record.fingerprint, now, out);
        }
    }

    /// Refuses the waiting requests of a fingerprint if it is quarantined.
    pub(super) fn refuse_waiting(
        &mut self,
        fingerprint: Fingerprint,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if self.crashes.evidence.verdict(fingerprint) == Verdict::Quarantined {
            self.retry_where(now, out, |request| request.fingerprint == fingerprint);
        }
    }

    /// Refuses a request that has crashed too many targets, or that may have run once and is under
    /// suspicion. Returns whether it did. While the targets may still turn out to live, because they
    /// were full and reset connections, the caller may come back.
    pub(super) fn refuse_quarantined(
        &mut self,
        id: RequestHandle,
        now: Duration,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let fingerprint = request.fingerprint;
        let may_have_run = request.execution.evidence().is_none();
        let evidence = &self.crashes.evidence;
        let reason = match evidence.verdict(fingerprint) {
            Verdict::Clear => return false,
            Verdict::Suspect if !may_have_run => return false,
            Verdict::Quarantined if evidence.is_settled(fingerprint, now) => Reason::Quarantined,
            Verdict::Suspect | Verdict::Quarantined => Reason::Suspected,
        };
        self.crashes.record_refusal(fingerprint, now);
        self.refuse(id, reason, UNSETTLED_RETRY_AFTER, now, out);
        true
    }
}
