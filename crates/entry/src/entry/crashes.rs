//! Requests that crash the targets which execute them: evidence, refusal, and the exchange with the
//! control leader.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use camphordale_fleet::{
    CrashEvidence,
    CrashRecord,
    Fingerprint,
    Holder,
    PeerMessage,
    TargetId,
    Verdict,
    crash_trials::{
        TrialEnd,
        TrialNews,
        TrialNumber,
        TrialOrder, //
    }, //
};

use super::{
    Effect,
    Entry,
    LogEvent,
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
/// Suggested retry delay of a quarantined request while its crashes may still be refuted, or the
/// result of a trial may arrive, and the shortest one until its next trial.
const UNSETTLED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest suggested retry delay of a request that may be tried again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Interval at which this VM asks for a trial of the same request.
const TRIAL_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a request waits for the reply of the leader.
const TRIAL_WAIT: Duration = Duration::from_millis(250);

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
    /// When this VM last asked for a trial of a request.
    trial_requests: BTreeMap<Fingerprint, Duration>,
    /// Requests for trials that are to be sent.
    wanted: BTreeSet<Fingerprint>,
}

/// Reports for one message to the leader.
struct Report {
    records: Vec<CrashRecord>,
    trials: Vec<TrialNews>,
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

    /// Records that a target completed a request. Returns whether it was quarantined.
    pub(super) fn record_completion(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        let verdict = self.evidence.verdict(fingerprint);
        if self.evidence.record_completion(fingerprint, now) {
            self.changed.insert(fingerprint);
        }
        verdict == Verdict::Quarantined
    }

    /// Records that a request was refused because of the evidence.
    pub(super) fn record_refusal(&mut self, fingerprint: Fingerprint, now: Duration) {
        if self.evidence.refresh(fingerprint, now) {
            self.changed.insert(fingerprint);
        }
    }

    /// Records how a trial that this VM was given ended, and reports it.
    pub(super) fn end_trial(
        &mut self,
        fingerprint: Fingerprint,
        number: TrialNumber,
        end: TrialEnd,
    ) {
        self.evidence.end_trial(fingerprint, number, end);
        self.changed.insert(fingerprint);
    }

    /// Asks for a trial of a request, unless this VM has just done so. Returns until when the request
    /// may wait for the reply; `None` if no leader can be asked.
    fn request_trial(&mut self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        if !self.reported_all {
            return None;
        }
        let asked = self.trial_requests.get(&fingerprint);
        let recent = asked.filter(|at| now < **at + TRIAL_REQUEST_INTERVAL);
        let asked_at = recent.copied().unwrap_or(now);
        if recent.is_none() {
            self.trial_requests.insert(fingerprint, now);
            self.wanted.insert(fingerprint);
        }
        Some(asked_at + TRIAL_WAIT)
    }

    /// Time until a refused request may be served: until its crashes are refuted, or a trial. The
    /// leader's news until `told_until` are known.
    fn retry_after(
        &self,
        fingerprint: Fingerprint,
        told_until: Duration,
        now: Duration,
    ) -> Duration {
        let evidence = &self.evidence;
        let is_settled = evidence.is_settled(fingerprint, told_until);
        if !is_settled || evidence.is_being_tried(fingerprint, now) {
            return UNSETTLED_RETRY_AFTER;
        }
        let next_trial = self.evidence.next_trial(fingerprint);
        let wait = next_trial.map_or(MAX_RETRY_AFTER, |at| at.saturating_sub(now));
        wait.clamp(UNSETTLED_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    pub(super) fn expire(&mut self, now: Duration) {
        self.evidence.expire(now);
        self.trial_requests
            .retain(|_, at| now < *at + TRIAL_REQUEST_INTERVAL);
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
    fn take_reports(&mut self, is_established: bool, now: Duration) -> Vec<Report> {
        if !is_established {
            self.unconfirmed_since = None;
            self.reported_all = false;
        }
        if !is_established || now < self.paused_until {
            self.reported_all = false;
            self.changed.clear();
            self.wanted.clear();
            return Vec::new();
        }
        let is_first = !std::mem::replace(&mut self.reported_all, true);
        let mut changed = std::mem::take(&mut self.changed);
        let wanted = std::mem::take(&mut self.wanted);
        changed.extend(&wanted);
        if !is_first && changed.is_empty() {
            return Vec::new();
        }
        let due: Vec<Fingerprint> = match is_first {
            true => self.evidence.newest(MAX_FIRST_REPORTED),
            false => changed.into_iter().collect(),
        };
        self.unconfirmed_since.get_or_insert(now);
        let report = |due: &[Fingerprint]| Report {
            records: due
                .iter()
                .filter_map(|fingerprint| self.evidence.record(*fingerprint, now))
                .collect(),
            trials: due
                .iter()
                .filter_map(|fingerprint| {
                    let order = match wanted.contains(fingerprint) {
                        true => TrialOrder::Request,
                        false => TrialOrder::Known,
                    };
                    self.evidence.trial_news(*fingerprint, order, now)
                })
                .collect(),
        };
        match due.is_empty() {
            true => vec![report(&due)],
            false => due.chunks(MAX_REPORTED).map(report).collect(),
        }
    }
}

impl Entry {
    /// Sends the leader the evidence that has changed in this step.
    pub(super) fn report_crashes(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let is_established = self.control_stream.is_established();
        for report in self.crashes.take_reports(is_established, now) {
            let message = PeerMessage::CrashEvidence {
                records: report.records,
                alive: Vec::new(),
                trials: report.trials,
            };
            out.push(Effect::ControlStream(ControlStreamEffect::Send(message)));
        }
    }

    /// Adds the evidence of the leader, and refuses waiting requests that are quarantined now.
    pub(super) fn on_crash_evidence(
        &mut self,
        records: &[CrashRecord],
        alive: &[(Holder, Duration)],
        trials: &[TrialNews],
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
        for news in trials {
            evidence.merge_trials(news, now);
        }
        for news in trials {
            match (news.order, news.trials.last()) {
                (TrialOrder::Grant, Some(number)) => {
                    self.on_trial_granted(news.fingerprint, number, now, out);
                }
                _ => self.refuse_waiting(news.fingerprint, now, out),
            }
        }
        for record in records {
            self.refuse_waiting(record.fingerprint, now, out);
        }
    }

    /// Sends a waiting request as the trial that the leader gave. Without one, the trial is given
    /// back.
    fn on_trial_granted(
        &mut self,
        fingerprint: Fingerprint,
        number: TrialNumber,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let found = self.waiting().find(|id| {
            let request = self.requests.get(id);
            request.is_some_and(|r| r.fingerprint == fingerprint && !r.may_run())
        });
        out.push(Effect::Log(LogEvent::Trial {
            request: found,
            fingerprint,
            number,
        }));
        let Some(id) = found else {
            return self
                .crashes
                .end_trial(fingerprint, number, TrialEnd::Unsent);
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.trial = Some(number);
        }
        self.dispatch(id, now, out);
        self.refuse_waiting(fingerprint, now, out);
    }

    /// Refuses the waiting requests of a fingerprint if it is quarantined. Those that waited for a
    /// trial go on if it no longer is.
    pub(super) fn refuse_waiting(
        &mut self,
        fingerprint: Fingerprint,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let is_quarantined = self.crashes.evidence.verdict(fingerprint) == Verdict::Quarantined;
        if is_quarantined || self.crashes.trial_requests.contains_key(&fingerprint) {
            self.retry_where(now, out, |request| request.fingerprint == fingerprint);
        }
    }

    /// Refuses a request that has crashed too many targets, or that may have run once and is under
    /// suspicion, or lets it wait for a trial. Returns whether it did. The caller may come back while
    /// the targets may still turn out to live, because they were full and reset connections, and
    /// until the trials have shown that the request crashes targets.
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
        let is_trial = request.trial.is_some();
        // The leader may have refuted crashes since its last reply.
        let told_until = self.certainty.confirmed_at();
        let evidence = &self.crashes.evidence;
        let reason = match evidence.verdict(fingerprint) {
            Verdict::Clear => return false,
            Verdict::Suspect if !may_have_run => return false,
            Verdict::Quarantined if is_trial => return false,
            Verdict::Quarantined if evidence.is_final(fingerprint, told_until) => {
                Reason::Quarantined
            }
            Verdict::Quarantined if !may_have_run && self.await_trial(id, now) => return true,
            Verdict::Suspect | Verdict::Quarantined => Reason::Suspected,
        };
        self.crashes.record_refusal(fingerprint, now);
        let retry_after = self.crashes.retry_after(fingerprint, told_until, now);
        self.refuse(id, reason, retry_after, now, out);
        true
    }

    /// Lets a request wait for a trial if one is due. Returns whether it waits.
    fn await_trial(&mut self, id: RequestHandle, now: Duration) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let next_trial = self.crashes.evidence.next_trial(request.fingerprint);
        if next_trial.is_none_or(|at| now < at) {
            return false;
        }
        let until = self.crashes.request_trial(request.fingerprint, now);
        let Some(until) = until.map(|until| until.min(request.deadline)) else {
            return false;
        };
        let waits = now < until;
        if waits {
            request.retry_at = Duration::ZERO;
            self.park(id, until, now);
        }
        waits
    }
}
