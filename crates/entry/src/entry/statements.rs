//! What targets state about themselves in responses, and the exchange of it with the control leader.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use camphordale_fleet::{
    Holder,
    PeerMessage,
    RequestRate,
    ServiceName,
    StatedLimit,
    TargetId, //
};
use rand::Rng;

use super::{
    AttemptId,
    ColdSource,
    Effect,
    Entry,
    LogEvent,
    Reason,
    RequestHandle,
    TargetStatement,
    request::RIGHT_WAIT_DIVISOR, //
};
use crate::{
    control_stream::ControlStreamEffect,
    limits::{
        LimitSource,
        TargetLimit, //
    },
};

/// Pauses are cut to ten years, so that sums of times do not overflow.
const LONGEST_PAUSE: Duration = Duration::from_secs(10 * 365 * 24 * 60 * 60);
/// Silence of the leader after which this VM keeps to a share of its own. All rights that the leader
/// granted have ended by then.
const LEADER_SILENCE: Duration = Duration::from_millis(1300);
/// Shortest time between two messages that ask for rights.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two such messages, for each entry VM of the fleet: the leader gets at most a thousand
/// a second.
const ASK_INTERVAL_PER_VM: Duration = Duration::from_millis(1);
/// Time without reports after the control VM closed the stream on one for the second time in
/// succession, doubled each further time: a control VM of an older version closes the stream on a
/// message that it does not know. A leader that ends closes it too, and without reports a target that
/// comes back cold gets requests from all VMs that have not found it down themselves.
const MIN_UNKNOWN_MESSAGE_PAUSE: Duration = Duration::from_secs(1);
/// Longest time without reports.
const MAX_UNKNOWN_MESSAGE_PAUSE: Duration = Duration::from_secs(16);
/// Fraction of a pause by which the return of callers is spread.
const PAUSE_SPREAD: f64 = 0.5;
/// Targets in one message.
const MAX_REPORTED: usize = 256;

/// What the leader says of a target to which connections could not be opened.
enum ColdNews {
    /// A connection failed at this time.
    Suspected(Duration),
    /// It announced at this time that it is warm.
    Cleared(Duration),
    /// Nothing was heard for so long that it may be warm.
    Expired,
}

/// What the leader has to be told.
#[derive(Default)]
pub(super) struct StatementReports {
    /// Targets whose limit has changed, or that leave, since it was reported.
    changed: BTreeSet<TargetId>,
    /// Whether the leader of this stream has been told all.
    reported_all: bool,
    next_ask: Duration,
    /// When rights were last asked for.
    asked_at: Duration,
    /// Cold targets for which a request lacks a right.
    cold_wanted: BTreeSet<TargetId>,
    /// When the first report on this stream was sent, until the leader has replied to a later ping.
    unconfirmed_since: Option<Duration>,
    /// Whether the leader of this stream has replied after it had read a report.
    is_confirmed: bool,
    /// Streams in succession that the control VM closed without having confirmed a report.
    closed_unconfirmed: u32,
    paused_until: Duration,
    /// Limits of the cold targets of services with a warm-up rate.
    cold_limits: HashMap<ServiceName, RequestRate>,
    /// Targets to which a connection has failed since it was reported.
    failed: BTreeSet<TargetId>,
    /// Targets that the leader suspects, as told before the view that names them.
    early_suspicions: Vec<(Holder, Duration)>,
}

impl StatementReports {
    /// Handles the reply to a ping: the leader has read what was sent before it.
    pub(super) fn confirm(&mut self, sent: Duration) {
        if self.unconfirmed_since.is_some_and(|since| sent > since) {
            self.unconfirmed_since = None;
            self.is_confirmed = true;
            self.closed_unconfirmed = 0;
        }
    }

    /// Handles the end of a stream that the control VM closed.
    pub(super) fn on_stream_closed(&mut self, now: Duration) {
        if self.unconfirmed_since.take().is_none() {
            return;
        }
        self.closed_unconfirmed = self.closed_unconfirmed.saturating_add(1);
        if let Some(doublings) = self.closed_unconfirmed.checked_sub(2) {
            let pause = MIN_UNKNOWN_MESSAGE_PAUSE.saturating_mul(2u32.saturating_pow(doublings));
            self.paused_until = now + pause.min(MAX_UNKNOWN_MESSAGE_PAUSE);
        }
    }
}

impl Entry {
    pub(super) fn limit_source(&self, now: Duration) -> LimitSource {
        match self.control_stream.silence(now) < LEADER_SILENCE {
            true => LimitSource::Leader,
            false => LimitSource::Own {
                vms: self.control_stream.entries.all,
                entry_id: self.config.entry_id,
            },
        }
    }

    /// Handles what a target states in a response.
    pub(super) fn on_target_stated(
        &mut self,
        attempt: AttemptId,
        statement: TargetStatement,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let id = self.attempts.get(&attempt);
        let request = id.and_then(|id| self.requests.get(id));
        let Some(request) = request else {
            return;
        };
        let Some((_, holder)) = request
            .in_flight
            .iter()
            .find(|(other, _)| *other == attempt)
        else {
            return;
        };
        let tracked = self.targets.get_mut(&holder.id);
        let Some(tracked) = tracked.filter(|t| t.incarnation == holder.incarnation) else {
            return;
        };
        let Some(sent_at) = tracked.sent_at(attempt) else {
            return;
        };
        if statement.leaving && tracked.record_leaving(now) {
            self.statement_reports.changed.insert(holder.id.clone());
            let target = holder.id.clone();
            out.push(Effect::Log(LogEvent::Leaving { target }));
        }
        if let Some(pause) = statement.pause {
            let pause = pause.min(LONGEST_PAUSE);
            tracked.record_pause(now + pause);
            let target = holder.id.clone();
            out.push(Effect::Log(LogEvent::Paused { target, pause }));
        }
        if statement.limit_known && tracked.limit.answered(statement.limit, sent_at, now) {
            self.statement_reports.changed.insert(holder.id.clone());
            out.push(Effect::Log(LogEvent::Limit {
                target: holder.id.clone(),
                limit: statement.limit,
                told: false,
            }));
        }
    }

    /// Handles limits and rights from the leader.
    pub(super) fn on_target_statements(
        &mut self,
        sent: Duration,
        stated: &[StatedLimit],
        rights: &[(Holder, u16)],
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        for StatedLimit { holder, limit, age } in stated {
            let tracked = self.targets.get_mut(&holder.id);
            let Some(tracked) = tracked.filter(|t| t.incarnation == holder.incarnation) else {
                continue;
            };
            if tracked.limit.told(*limit, now.saturating_sub(*age), now) {
                out.push(Effect::Log(LogEvent::Limit {
                    target: holder.id.clone(),
                    limit: *limit,
                    told: true,
                }));
            }
        }
        for (holder, count) in rights {
            let tracked = self.targets.get_mut(&holder.id);
            if let Some(tracked) = tracked.filter(|t| t.incarnation == holder.incarnation) {
                tracked.limit.granted(*count, sent);
            }
        }
        if !rights.is_empty() || stated.iter().any(|stated| stated.limit.is_none()) {
            self.retry_parked(None, now, out);
        }
    }

    /// Records that a request would go to a target if this VM had a right.
    pub(super) fn want_right(&mut self, target: &str) {
        if let Some(tracked) = self.targets.get_mut(target) {
            tracked.limit.want();
            if tracked.limit.is_cold() {
                self.statement_reports.cold_wanted.insert(target.into());
            }
        }
    }

    /// The refusal of a request for which this VM has no right: another one is free after the
    /// reciprocal of the limit. Callers are spread, so that they do not come back together.
    pub(super) fn limited(
        &mut self,
        id: RequestHandle,
        target: &str,
        now: Duration,
    ) -> (Reason, Duration) {
        let limit = self.targets.get(target).map(|tracked| &tracked.limit);
        let rate = limit.and_then(TargetLimit::limit).map_or(0.0, f64::from);
        let is_cold = limit.is_some_and(TargetLimit::is_cold);
        let request = self.requests.get(&id);
        let waits = request.is_some_and(|r| now < r.wait_deadline(RIGHT_WAIT_DIVISOR));
        // A right for a request that waits no longer is lost, and rights for cold targets are few.
        if waits || !is_cold {
            self.want_right(target);
        }
        let wait = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
        let wait = wait.min(Duration::from_secs(1));
        (
            Reason::Limited,
            wait.mul_f64(1.0 + self.random.random::<f64>()),
        )
    }

    /// The refusal of a request whose targets want nothing from this VM. Callers are spread, so that
    /// they do not come back together.
    pub(super) fn paused(&mut self, rest: Duration) -> (Reason, Duration) {
        let spread = 1.0 + PAUSE_SPREAD * self.random.random::<f64>();
        (Reason::Paused, rest.mul_f64(spread))
    }

    /// Tells the leader what targets stated, and asks for rights.
    pub(super) fn report_statements(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let reports = &mut self.statement_reports;
        if !self.control_stream.is_established() || now < reports.paused_until {
            reports.reported_all = false;
            reports.unconfirmed_since = None;
            reports.is_confirmed = false;
            reports.changed.clear();
            reports.failed.clear();
            reports.cold_wanted.clear();
            return;
        }
        let is_first = !std::mem::replace(&mut reports.reported_all, true);
        let asks = now >= reports.next_ask;
        let has_news = !reports.changed.is_empty() || !reports.failed.is_empty();
        // The requests wait for a moment only, so this does not wait for its turn.
        let asks_for_cold = !reports.cold_wanted.is_empty()
            && now >= reports.asked_at + ask_interval(self.control_stream.entries.all);
        if !is_first && !has_news && !asks && !asks_for_cold {
            return;
        }
        if is_first {
            let all = self.targets.iter_mut();
            let stating =
                all.filter(|(_, t)| t.limit.stated().is_some() || t.leaving_since().is_some());
            reports.changed.extend(stating.map(|(id, _)| id.clone()));
            let all = self.targets.iter_mut();
            let failed = all.filter(|(_, t)| t.limit.failed_at().is_some());
            reports.failed.extend(failed.map(|(id, _)| id.clone()));
        }
        // The leader must know of these before it grants rights to send to them.
        self.report_failures(now, out);
        let reports = &mut self.statement_reports;
        let mut stated = Vec::new();
        let mut leaving = Vec::new();
        while stated.len() < MAX_REPORTED
            && let Some(id) = reports.changed.pop_first()
        {
            let Some(tracked) = self.targets.get(&id) else {
                continue;
            };
            let holder = Holder {
                id,
                incarnation: tracked.incarnation,
            };
            if tracked.leaving_since().is_some() {
                leaving.push(holder.clone());
            }
            stated.push(StatedLimit {
                holder,
                limit: tracked.limit.stated(),
                age: now.saturating_sub(tracked.limit.stated_at()),
            });
        }
        let rights = match asks {
            true => self.needed_rights(now),
            false if asks_for_cold => self.needed_cold_rights(now),
            false => Vec::new(),
        };
        if !is_first && stated.is_empty() && rights.is_empty() {
            return;
        }
        let reports = &mut self.statement_reports;
        // A control VM that has confirmed one report knows the message, so a later end of the stream has
        // another cause.
        if !reports.is_confirmed {
            reports.unconfirmed_since.get_or_insert(now);
        }
        if !rights.is_empty() {
            reports.asked_at = now;
        }
        let message = PeerMessage::TargetStatements {
            sent: now,
            stated,
            leaving,
            rights,
        };
        out.push(Effect::ControlStream(ControlStreamEffect::Send(message)));
    }

    /// Tells the leader of targets to which a connection could not be opened.
    fn report_failures(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let reports = &mut self.statement_reports;
        let mut suspected = Vec::new();
        while suspected.len() < MAX_REPORTED
            && let Some(id) = reports.failed.pop_first()
        {
            let tracked = self.targets.get(&id);
            let failed_at = tracked.and_then(|t| t.limit.failed_at());
            if let (Some(tracked), Some(failed_at)) = (tracked, failed_at) {
                let incarnation = tracked.incarnation;
                let holder = Holder { id, incarnation };
                suspected.push((holder, now.saturating_sub(failed_at)));
            }
        }
        if !suspected.is_empty() {
            let message = PeerMessage::ColdTargets {
                suspected,
                cleared: Vec::new(),
                expired: Vec::new(),
            };
            out.push(Effect::ControlStream(ControlStreamEffect::Send(message)));
        }
    }

    /// Handles a connection to a target that could not be opened. It may have restarted under its id
    /// without being announced.
    pub(super) fn on_connection_failed(
        &mut self,
        holder: &Holder,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        // The attempt may have been withdrawn, which says nothing of its target.
        if self.is_ending(now) {
            return;
        }
        let tracked = self.targets.get_mut(&holder.id);
        let Some(tracked) = tracked.filter(|t| t.incarnation == holder.incarnation) else {
            return;
        };
        if tracked.limit.connection_failed(now) {
            log_warmth(&holder.id, &tracked.limit, ColdSource::Connection, out);
        }
        if tracked.limit.failed_at() == Some(now) {
            self.statement_reports.failed.insert(holder.id.clone());
        }
    }

    /// Handles what the leader says of targets to which connections could not be opened.
    pub(super) fn on_cold_targets(
        &mut self,
        suspected: &[(Holder, Duration)],
        cleared: &[(Holder, Duration)],
        expired: &[Holder],
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let at = |age: &Duration| now.saturating_sub(*age);
        let suspected = suspected
            .iter()
            .map(|(holder, age)| (holder, ColdNews::Suspected(at(age))));
        let cleared = cleared
            .iter()
            .map(|(holder, age)| (holder, ColdNews::Cleared(at(age))));
        let expired = expired.iter().map(|holder| (holder, ColdNews::Expired));
        let mut turned_warm = false;
        for (holder, news) in suspected.chain(cleared).chain(expired) {
            let tracked = self.targets.get_mut(&holder.id);
            let Some(tracked) = tracked.filter(|t| t.incarnation == holder.incarnation) else {
                continue;
            };
            let changed = match news {
                ColdNews::Suspected(failed_at) => tracked.limit.suspected(failed_at, now),
                ColdNews::Cleared(warm_at) => tracked.limit.cleared(warm_at, now),
                ColdNews::Expired => tracked.limit.suspicion_expired(now),
            };
            if changed {
                log_warmth(&holder.id, &tracked.limit, ColdSource::Leader, out);
                turned_warm |= !tracked.limit.is_cold();
            }
        }
        if turned_warm {
            self.retry_parked(None, now, out);
        }
    }

    /// Keeps what the leader says of suspected targets before it sends the view.
    pub(super) fn keep_suspicions(&mut self, suspected: Vec<(Holder, Duration)>) {
        self.statement_reports.early_suspicions = suspected;
    }

    /// Handles what the leader said before it sent the view.
    pub(super) fn adopt_kept_suspicions(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let suspected = std::mem::take(&mut self.statement_reports.early_suspicions);
        self.on_cold_targets(&suspected, &[], &[], now, out);
    }

    /// Adopts the warm-up rates of a new routing.
    pub(super) fn adopt_warm_up_rates(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let bounds = self.config.warm_up;
        let services = self.view.routing.iter().flat_map(|r| &r.services);
        let limits = services.filter_map(|(name, item)| {
            let cold = item.spec.cold?;
            Some((name.clone(), bounds.limit(cold.rate)))
        });
        let limits: HashMap<_, _> = limits.collect();
        let before = std::mem::replace(&mut self.statement_reports.cold_limits, limits);
        if before != self.statement_reports.cold_limits {
            self.adopt_all_warmth(now, out);
        }
        self.adopt_kept_suspicions(now, out);
    }

    /// Adopts from the registry which targets are cold.
    pub(super) fn adopt_all_warmth(&mut self, now: Duration, out: &mut Vec<Effect>) {
        for (id, tracked) in self.targets.iter_mut() {
            let limit = self.statement_reports.cold_limits.get(&tracked.service);
            let state = self.view.targets.get(id).map(|target| target.state);
            if tracked.limit.set_recorded(limit.copied(), state, now) {
                log_warmth(id, &tracked.limit, ColdSource::Registry, out);
            }
        }
    }

    /// Adopts from the registry whether one target is cold.
    pub(super) fn adopt_warmth(&mut self, id: &str, now: Duration, out: &mut Vec<Effect>) {
        let Some(tracked) = self.targets.get_mut(id) else {
            return;
        };
        let limit = self.statement_reports.cold_limits.get(&tracked.service);
        let state = self.view.targets.get(id).map(|target| target.state);
        if tracked.limit.set_recorded(limit.copied(), state, now) {
            log_warmth(id, &tracked.limit, ColdSource::Registry, out);
        }
    }

    /// Rights that this VM needs, as a report every so often.
    fn needed_rights(&mut self, now: Duration) -> Vec<(Holder, u16)> {
        let interval = ask_interval(self.control_stream.entries.all);
        self.statement_reports.next_ask = now + interval;
        self.statement_reports.cold_wanted.clear();
        let wanting = self.targets.iter_mut().filter(|(_, t)| t.limit.is_wanted());
        let needed = wanting.map(|(id, tracked)| {
            let holder = Holder {
                id: id.clone(),
                incarnation: tracked.incarnation,
            };
            (holder, tracked.limit.take_wanted(now))
        });
        let needed = needed.filter(|(_, count)| *count > 0);
        needed.take(MAX_REPORTED).collect()
    }

    /// Rights that requests to cold targets lack.
    fn needed_cold_rights(&mut self, now: Duration) -> Vec<(Holder, u16)> {
        let mut needed = Vec::new();
        while needed.len() < MAX_REPORTED
            && let Some(id) = self.statement_reports.cold_wanted.pop_first()
        {
            let Some(tracked) = self.targets.get_mut(&id) else {
                continue;
            };
            let count = tracked.limit.take_wanted(now);
            let incarnation = tracked.incarnation;
            if count > 0 {
                needed.push((Holder { id, incarnation }, count));
            }
        }
        needed
    }
}

/// Time between two messages that ask for rights.
fn ask_interval(vms: u32) -> Duration {
    (ASK_INTERVAL_PER_VM * vms).max(MIN_ASK_INTERVAL)
}

fn log_warmth(id: &str, limit: &TargetLimit, source: ColdSource, out: &mut Vec<Effect>) {
    out.push(Effect::Log(LogEvent::Cold {
        target: id.into(),
        limit: limit.limit().filter(|_| limit.is_cold()),
        source,
    }));
}
