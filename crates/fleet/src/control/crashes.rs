//! Exchange of the evidence on requests that crash their targets.
//!
//! The leader joins what the entry VMs report. The state is not replicated: entry VMs send what
//! they know to a new leader.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::{
    Control,
    Effect,
    LeaderState, //
};
use crate::{
    crash_evidence::{
        CrashEvidence,
        CrashRecord,
        Fingerprint,
        SETTLE_AFTER,
        Verdict, //
    },
    crash_trials::{
        RefutedCrashes,
        TrialNews,
        TrialOrder, //
    },
    message::PeerMessage,
    registry::Holder,
};

/// Shortest time between two messages with evidence to all entry VMs.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(100);
/// Requests, and incarnations that are alive, in one message to all entry VMs.
const MAX_BROADCAST: usize = 16;
/// Requests in the first message to an entry VM.
const MAX_FIRST_RECORDS: usize = 256;

/// The leader's evidence, and what it still has to tell the entry VMs.
#[derive(Default)]
pub(super) struct CrashNews {
    evidence: CrashEvidence,
    /// Requests that the entry VMs were told about.
    shared: BTreeSet<Fingerprint>,
    changed: BTreeSet<Fingerprint>,
    alive: BTreeMap<Holder, Duration>,
    refuted: RefutedCrashes,
    next_broadcast: Duration,
}

impl CrashNews {
    fn record_change(&mut self, fingerprint: Fingerprint) {
        if self.evidence.verdict(fingerprint) != Verdict::Clear
            || self.shared.contains(&fingerprint)
        {
            self.changed.insert(fingerprint);
        }
    }

    /// Drops crashes of an incarnation that is alive.
    pub(super) fn refute(&mut self, holder: &Holder, alive_at: Duration) {
        let changed = self.evidence.refute(holder, alive_at);
        for fingerprint in &changed {
            self.refuted.record(*fingerprint, alive_at);
        }
        let is_shared = |fingerprint| self.shared.contains(fingerprint);
        if changed.iter().any(is_shared) {
            self.alive.insert(holder.clone(), alive_at);
        }
    }

    /// Takes the next message to all entry VMs. A request that became quarantined goes first.
    fn take_broadcast(&mut self, now: Duration) -> Option<PeerMessage> {
        self.evidence.expire(now);
        self.refuted.expire(now);
        if now < self.next_broadcast || (self.changed.is_empty() && self.alive.is_empty()) {
            return None;
        }
        self.next_broadcast = now + BROADCAST_INTERVAL;
        let mut changed: Vec<Fingerprint> = self.changed.iter().copied().collect();
        changed.sort_by_key(|fingerprint| std::cmp::Reverse(self.evidence.verdict(*fingerprint)));
        changed.truncate(MAX_BROADCAST);
        let (mut records, mut trials) = (Vec::new(), Vec::new());
        for fingerprint in changed {
            self.changed.remove(&fingerprint);
            records.extend(self.evidence.record(fingerprint, now));
            let known = TrialOrder::Known;
            trials.extend(self.evidence.trial_news(fingerprint, known, now));
            self.shared.insert(fingerprint);
        }
        self.shared
            .retain(|fingerprint| self.evidence.contains(*fingerprint));
        let mut alive = Vec::new();
        while alive.len() < MAX_BROADCAST
            && let Some((holder, at)) = self.alive.pop_first()
        {
            alive.push((holder, now.saturating_sub(at)));
        }
        Some(PeerMessage::CrashEvidence {
            records,
            alive,
            trials,
        })
    }

    /// What every entry VM must know.
    fn suspects(&self) -> impl Iterator<Item = Fingerprint> {
        let newest = self.evidence.newest(MAX_FIRST_RECORDS).into_iter();
        newest.filter(|fingerprint| self.evidence.verdict(*fingerprint) != Verdict::Clear)
    }
}

/// Evidence that an entry VM lacks.
#[derive(Default)]
struct Correction {
    fingerprints: BTreeSet<Fingerprint>,
    alive: BTreeMap<Holder, Duration>,
}

impl LeaderState {
    /// When the incarnation last announced itself.
    fn announced_at(&self, holder: &Holder) -> Option<Duration> {
        let latest = self.announcements.get(&holder.id)?;
        let is_same = latest.incarnation == holder.incarnation;
        latest.heard_at.filter(|_| is_same)
    }

    /// Adds the evidence of an entry VM. Returns what that VM lacks: it may have missed that a
    /// request was completed or a crash refuted.
    fn add_evidence(&mut self, records: &[CrashRecord], now: Duration) -> Correction {
        let mut correction = Correction::default();
        for record in records {
            let fingerprint = record.fingerprint;
            if record.completed.is_some() {
                self.crash_news.refuted.clear(fingerprint);
            }
            if self.crash_news.evidence.merge(record, now) {
                self.crash_news.record_change(fingerprint);
            }
            for (holder, _) in &record.crashes {
                let announced_at = self.announced_at(holder);
                if let Some(announced_at) = announced_at {
                    self.crash_news.refute(holder, announced_at);
                }
                let mut crashed = self.crash_news.evidence.crashed(fingerprint);
                if crashed.all(|known| known != holder) {
                    correction.fingerprints.insert(fingerprint);
                    let alive = announced_at.map(|at| (holder.clone(), now.saturating_sub(at)));
                    correction.alive.extend(alive);
                }
            }
        }
        correction
    }

    /// Adds what an entry VM knows of trials, and answers its requests for them.
    fn add_trials(&mut self, news: &[TrialNews], now: Duration) -> Vec<TrialNews> {
        let crash_news = &mut self.crash_news;
        let mut answers = Vec::new();
        for news in news {
            let fingerprint = news.fingerprint;
            if crash_news.evidence.merge_trials(news, now) {
                crash_news.record_change(fingerprint);
            }
            if news.order != TrialOrder::Request {
                continue;
            }
            // A new leader may not have heard yet of the last trial.
            let may_begin =
                now >= self.elected_at + SETTLE_AFTER && !crash_news.refuted.contains(fingerprint);
            let evidence = &mut crash_news.evidence;
            let begun = may_begin && evidence.begin_trial(fingerprint, now).is_some();
            let order = match begun {
                true => TrialOrder::Grant,
                false => TrialOrder::Known,
            };
            answers.extend(evidence.trial_news(fingerprint, order, now));
            if begun {
                crash_news.record_change(fingerprint);
            }
        }
        answers
    }
}

impl Control {
    /// Handles the evidence of an entry VM.
    pub(super) fn on_crash_evidence(
        &mut self,
        conn: u64,
        records: &[CrashRecord],
        trials: &[TrialNews],
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let (Some(stream), Some(leader)) = (self.streams.get_mut(&conn), &mut self.leader_state)
        else {
            return;
        };
        let mut correction = leader.add_evidence(records, now);
        let mut trials = leader.add_trials(trials, now);
        let news = &mut leader.crash_news;
        // Older entry VMs close the stream on such a message, and do not send one either.
        if !std::mem::replace(&mut stream.takes_evidence, true) {
            correction.fingerprints.extend(news.suspects());
        }
        news.shared.extend(&correction.fingerprints);
        let records: Vec<CrashRecord> = correction
            .fingerprints
            .iter()
            .filter_map(|fingerprint| news.evidence.record(*fingerprint, now))
            .collect();
        let alive: Vec<(Holder, Duration)> = correction.alive.into_iter().collect();
        let corrected = correction.fingerprints.iter();
        trials
            .extend(corrected.filter_map(|f| news.evidence.trial_news(*f, TrialOrder::Known, now)));
        if !records.is_empty() || !alive.is_empty() || !trials.is_empty() {
            let message = PeerMessage::CrashEvidence {
                records,
                alive,
                trials,
            };
            out.push(Effect::Stream { conn, message });
        }
    }

    /// Tells the entry VMs which evidence has changed.
    pub(super) fn share_crash_evidence(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(message) = leader.crash_news.take_broadcast(now) else {
            return;
        };
        let taking = self.streams.iter().filter(|(_, s)| s.takes_evidence);
        let conns: Box<[u64]> = taking.map(|(conn, _)| *conn).collect();
        if !conns.is_empty() {
            out.push(Effect::Broadcast { conns, message });
        }
    }
}
