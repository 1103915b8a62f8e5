//! Answers to the announcements of targets that get their key leases in them.
//!
//! An answer may be delayed for a moment: while a range is on its way to the target, so that the
//! target gets it in this answer and not in the next one, an announcement interval later.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    CallToken,
    Control,
    Effect,
    LeaderState,
    LogEvent,
    Reply, //
};
use crate::{
    balance::{
        self,
        Candidate, //
    },
    key_leases::{
        HeldPhase,
        Lease,
        LeaseReport,
        MAX_GRANTED_RANGES, //
    },
    registry::{
        Announcement,
        Holder, //
    },
    routing::{
        KeyDelivery,
        ServiceName, //
    },
};

/// Longest delay of an answer. Targets drop answers that take longer than a second.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);
/// Time for which a range that is withheld is usually without a holder before its next holder can
/// be told: the previous holder reports its release within 100 ms after its running requests, and
/// the change is committed.
const USUAL_RELEASE: Duration = Duration::from_millis(150);
/// Announcement intervals after which a target without announcements gets no more keys.
pub(super) const SILENT_INTERVALS: u32 = 2;

/// The part of an announcement that is answered with leases.
pub(super) struct LeaseRequest {
    pub(super) holder: Holder,
    sequence: u64,
    report: LeaseReport,
}

impl LeaseRequest {
    pub(super) fn new(announcement: &Announcement) -> LeaseRequest {
        LeaseRequest {
            holder: Holder {
                id: announcement.id.clone(),
                incarnation: announcement.incarnation,
            },
            sequence: announcement.sequence,
            report: announcement.report.clone(),
        }
    }
}

/// An announcement whose answer is delayed.
pub(super) struct DelayedAnswer {
    token: CallToken,
    service: ServiceName,
    holder: Holder,
    deadline: Duration,
}

impl DelayedAnswer {
    /// The effect that ends the call without leases.
    pub(super) fn unavailable(self, reason: &'static str) -> Effect {
        Effect::Reply {
            token: self.token,
            reply: Reply::Unavailable(reason),
        }
    }
}

impl LeaderState {
    /// Time until the next announcement of a target, if it is not overdue by more than an interval.
    pub(super) fn announced_in(
        &self,
        holder: &Holder,
        interval: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let latest = self.announcements.get(&holder.id)?;
        let current = latest.incarnation == holder.incarnation;
        let due = latest.received_at + interval;
        (current && now < latest.received_at + interval * SILENT_INTERVALS)
            .then(|| due.saturating_sub(now))
    }
}

impl Control {
    /// Answers an announcement of a registered target, at once or when the key ranges that are on
    /// their way to it have arrived. One that was overtaken while its change of state was committed
    /// is answered without leases, because its report is outdated.
    pub(super) fn answer_announcement(
        &mut self,
        token: CallToken,
        request: &LeaseRequest,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let view = &self.state.view;
        let LeaseRequest {
            holder,
            sequence,
            report,
        } = request;
        let target = view.targets.get(&holder.id).filter(|target| {
            let by_heartbeat = view.key_delivery(&target.service) == KeyDelivery::Heartbeat;
            by_heartbeat && target.incarnation == holder.incarnation
        });
        let leader = self.leader_state.as_mut().filter(|leader| {
            let latest = leader.announcements.get(&holder.id);
            latest.is_some_and(|latest| {
                (latest.incarnation, latest.sequence) == (holder.incarnation, *sequence)
            })
        });
        let (Some(target), Some(leader)) = (target, leader) else {
            let reply = Reply::Done { is_leader: true };
            out.push(Effect::Reply { token, reply });
            return;
        };
        let service = target.service.clone();
        let leaves = !target.state.accepts_requests() || view.is_evacuated(&target.domain);
        leader.lease_table.record_report(&service, holder, report);
        // The target has given up on its earlier announcements.
        let superseded = leader
            .delayed_answers
            .extract_if(.., |delayed| delayed.holder.id == holder.id);
        out.extend(superseded.map(|delayed| delayed.unavailable("superseded")));
        let stays = HeldPhase::Steady;
        if leaves && leader.lease_table.has_ranges_in(&service, holder, stays) {
            leader.load_stats.plan_now(now);
            self.plan_moves(now, out);
        }
        self.propose_holder_changes(now, out);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if leader.lease_table.is_receiving(&service, holder) {
            leader.delayed_answers.push(DelayedAnswer {
                token,
                service,
                holder: holder.clone(),
                deadline: now + MAX_ANSWER_DELAY,
            });
            return;
        }
        self.send_leases(token, &service, holder, now, out);
    }

    /// Sends the delayed answers that wait for nothing any more.
    pub(super) fn send_delayed_answers(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let table = &leader.lease_table;
        let due: Vec<DelayedAnswer> = leader
            .delayed_answers
            .extract_if(.., |delayed| {
                now >= delayed.deadline || !table.is_receiving(&delayed.service, &delayed.holder)
            })
            .collect();
        for delayed in due {
            self.send_leases(delayed.token, &delayed.service, &delayed.holder, now, out);
        }
    }

    fn send_leases(
        &mut self,
        token: CallToken,
        service: &ServiceName,
        holder: &Holder,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let send_before = self.raft.lease_expiry();
        let Some(send_before) = send_before.filter(|send_before| *send_before > now) else {
            let reply = Reply::Unavailable("leadership is not confirmed");
            out.push(Effect::Reply { token, reply });
            return;
        };
        let receivers = self.receivers(service, holder, now);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let answer = leader
            .lease_table
            .answer_heartbeat(service, holder, now, |lease, next| {
                receivers.choose(lease, next)
            });
        out.push(Effect::LeaseReply {
            token,
            granted: answer.granted.into(),
            lease: self.config.lease_times.heartbeat,
            send_before,
        });
        for range in answer.confirmed {
            self.stream_handover(service, range, true, out);
        }
        for (range, next) in answer.withheld {
            out.push(Effect::Log(LogEvent::Withheld {
                service: service.clone(),
                range,
                holder: holder.clone(),
                next,
            }));
            self.stream_handover(service, range, false, out);
        }
    }

    /// Targets that may take over ranges from `holder`; empty if it has no range to move.
    fn receivers(&self, service: &ServiceName, holder: &Holder, now: Duration) -> Receivers {
        let mut receivers = Receivers::default();
        let Some(leader) = &self.leader_state else {
            return receivers;
        };
        let table = &leader.lease_table;
        if !table.has_ranges_in(service, holder, HeldPhase::Leaving) {
            return receivers;
        }
        let counts = table.range_counts(service);
        let interval = self.config.lease_times.interval;
        for candidate in self.candidates(service, now) {
            let Some(due_in) = leader.announced_in(&candidate.holder, interval, now) else {
                continue;
            };
            let count = counts.get(&candidate.holder).copied().unwrap_or(0);
            if !candidate.accepts_keys || candidate.holder == *holder || count >= MAX_GRANTED_RANGES
            {
                continue;
            }
            receivers.responsive.insert(candidate.holder.clone());
            if due_in <= USUAL_RELEASE + MAX_ANSWER_DELAY {
                receivers.due_soon.push(candidate);
            }
        }
        let (sample, _) = leader.load_stats.lasting_demand(service, now);
        let ranges: Vec<_> = table
            .leases(service)
            .iter()
            .map(Lease::next_range)
            .collect();
        receivers.least_loaded = balance::least_loaded(&ranges, &receivers.due_soon, &sample);
        receivers
    }
}

/// Targets that may take over a range.
#[derive(Default)]
struct Receivers {
    responsive: BTreeSet<Holder>,
    /// Targets whose next announcement comes about when the range is free.
    due_soon: Vec<Candidate>,
    /// The one of these with the lowest load.
    least_loaded: Option<Holder>,
}

impl Receivers {
    /// The next holder of a range if its present holder lets it go now. A single key was moved to
    /// its planned holder for that target's strength; for other ranges the shorter move counts
    /// more.
    fn choose(&self, lease: &Lease, planned: &Holder) -> Option<Holder> {
        let is_responsive = self.responsive.contains(planned);
        let is_due = self.due_soon.iter().any(|c| c.holder == *planned);
        if is_due || is_responsive && lease.range.width() == 1 {
            return Some(planned.clone());
        }
        self.least_loaded
            .clone()
            .or_else(|| is_responsive.then(|| planned.clone()))
    }
}
