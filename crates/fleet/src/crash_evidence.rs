//! Evidence that certain requests crash the targets that execute them.
//!
//! Such a request, sent again by its caller, would crash target after target. Entry VMs and the
//! control leader keep the evidence in the same form and exchange it, so that a request is refused
//! everywhere once it has crashed [`QUARANTINE_CRASHES`] incarnations of targets.
//!
//! A target that crashes ends all requests that it was executing, so one crash proves nothing about
//! a single request. A request that completes anywhere afterwards is cleared. One that is refused is
//! tried again a few times ([`crash_trials`]) before the refusal is final.
//!
//! [`crash_trials`]: crate::crash_trials

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    crash_trials::{
        FINAL_CRASHED_TRIALS,
        REPEATED_TRIAL_DELAY,
        TrialEnd,
        TrialNews,
        TrialNumber,
        TrialOrder,
        Trials, //
    },
    registry::{
        Holder,
        TargetId, //
    },
};

/// Identifies a request across retries of its caller and across entry VMs: a hash of everything
/// that determines how a target executes it.
pub type Fingerprint = u128;

/// Crashed incarnations after which a request is refused.
pub const QUARANTINE_CRASHES: usize = 3;
/// Crashed incarnations after which a request is known to all VMs and not retried.
pub const SUSPECT_CRASHES: usize = 2;
/// A target whose announcement is received this much later than the report of its crash has not
/// ended: announcements may have been under way at the time of the crash.
pub const REFUTE_AFTER: Duration = Duration::from_millis(500);
/// A crash that has not been refuted after this time has happened: a target that lives announces
/// itself about every second, and the leader tells the entry VMs.
pub const SETTLE_AFTER: Duration = Duration::from_millis(2500);
/// Crashes that follow each other within this time may have one cause, such as the loss of a failure
/// domain.
pub const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(100);
/// Evidence below a quarantine is dropped after this time without a further crash.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(120);
/// A quarantine ends after this time in which the request was not received anywhere.
pub const QUARANTINE_LIFETIME: Duration = Duration::from_secs(600);
/// Interval at which the other VMs are told that a quarantined request is still received.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// Requests with evidence that one VM keeps, in at most 1.5 MB.
pub const MAX_RECORDS: usize = 1024;
/// Crashes kept per request; more would not change the verdict.
pub const MAX_CRASHES: usize = 8;

/// What the evidence says about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// At most one crash is known.
    Clear,
    /// [`SUSPECT_CRASHES`] crashes are known: the request is sent to one target at most.
    Suspect,
    /// [`QUARANTINE_CRASHES`] crashes are known: the request is refused.
    Quarantined,
}

/// The evidence on one request, as VMs exchange it. Times are sent as ages, because VMs have no
/// common clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Incarnations of targets that ended while they had the request, and the times since.
    pub crashes: Vec<(Holder, Duration)>,
    /// Time since the request was completed by a target.
    pub completed: Option<Duration>,
    /// Time since the last crash, or since a VM last said that the request is still received.
    pub idle: Duration,
}

#[derive(Clone, Debug, Default)]
struct Record {
    crashes: BTreeMap<Holder, Duration>,
    /// Earlier crashes do not count. It is kept so that they are not learnt again from another VM.
    completed_at: Option<Duration>,
    touched_at: Duration,
    trials: Trials,
    /// When the last trial began.
    tried_at: Duration,
}

impl Record {
    /// Number of crashes as far as it matters. Records of the lowest rank are dropped first.
    fn rank(&self) -> usize {
        self.crashes.len().min(QUARANTINE_CRASHES)
    }

    fn is_quarantined(&self) -> bool {
        self.rank() == QUARANTINE_CRASHES
    }

    /// Returns whether the crash was not known.
    fn add_crash(&mut self, holder: &Holder, at: Duration) -> bool {
        if self.completed_at.is_some_and(|completed| at <= completed) {
            return false;
        }
        if let Some(known) = self.crashes.get_mut(holder) {
            *known = at.max(*known);
            return false;
        }
        let has_room = self.crashes.len() < MAX_CRASHES;
        if has_room {
            self.crashes.insert(holder.clone(), at);
        }
        has_room
    }

    /// Returns whether a crash or trials were dropped.
    fn complete(&mut self, at: Duration) -> bool {
        let completed = self.completed_at.map_or(at, |known| known.max(at));
        self.completed_at = Some(completed);
        let before = self.crashes.len();
        self.crashes.retain(|_, crashed| *crashed > completed);
        let has_trials = self.trials != Trials::default() && self.tried_at <= completed;
        if has_trials {
            self.trials = Trials::default();
        }
        self.crashes.len() != before || has_trials
    }

    /// Whether several targets crashed, not all for one reason: at least two of them at different
    /// times. Crashes of one target may be due to the target.
    fn has_independent_crashes(&self) -> bool {
        let ids: BTreeSet<&TargetId> = self.crashes.keys().map(|holder| &holder.id).collect();
        let are_apart = |(one, at): (&Holder, &Duration)| {
            let others = self.crashes.iter();
            let mut apart = others.filter(|(_, other)| at.abs_diff(**other) > COMMON_CAUSE_WINDOW);
            apart.any(|(other, _)| other.id != one.id)
        };
        ids.len() >= QUARANTINE_CRASHES && self.crashes.iter().any(are_apart)
    }

    /// When the next trial is due, if there is one.
    fn next_trial(&self) -> Option<Duration> {
        if !self.is_quarantined() {
            return None;
        }
        let last_crash = self.crashes.values().max().copied().unwrap_or_default();
        let delay = self.trials.delay()?;
        Some(last_crash.max(self.tried_at) + delay)
    }
}

/// The evidence on all requests that one VM knows of. It takes a bounded amount of memory: requests
/// with the fewest crashes are dropped first, the oldest of them.
#[derive(Clone, Debug)]
pub struct CrashEvidence {
    capacity: usize,
    records: BTreeMap<Fingerprint, Record>,
    /// Records by rank and time.
    by_age: BTreeSet<(usize, Duration, Fingerprint)>,
    by_holder: BTreeMap<Holder, BTreeSet<Fingerprint>>,
}

impl Default for CrashEvidence {
    fn default() -> CrashEvidence {
        CrashEvidence::new(MAX_RECORDS)
    }
}

impl CrashEvidence {
    /// No evidence yet; at most `capacity` requests are remembered.
    ///
    /// ```
    /// use camphordale_fleet::crash_evidence::CrashEvidence;
    ///
    /// assert!(CrashEvidence::new(10).is_empty());
    /// ```
    pub fn new(capacity: usize) -> CrashEvidence {
        CrashEvidence {
            capacity,
            records: BTreeMap::new(),
            by_age: BTreeSet::new(),
            by_holder: BTreeMap::new(),
        }
    }

    /// Number of requests with evidence.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether anything is known about a request.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.records.contains_key(&fingerprint)
    }

    /// Records that a target ended while it had the request. An incarnation counts once. Returns
    /// whether this is news.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_fleet::{Holder, crash_evidence::{CrashEvidence, Verdict}};
    ///
    /// let mut evidence = CrashEvidence::default();
    /// for id in ["a", "b", "c"] {
    ///     let holder = Holder { id: id.into(), incarnation: 1 };
    ///     assert!(evidence.record_crash(7, &holder, Duration::from_secs(1)));
    /// }
    /// assert_eq!(evidence.verdict(7), Verdict::Quarantined);
    /// assert_eq!(evidence.verdict(8), Verdict::Clear);
    /// ```
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        holder: &Holder,
        now: Duration,
    ) -> bool {
        self.edit(fingerprint, |record| {
            record.touched_at = record.touched_at.max(now);
            record.add_crash(holder, now)
        })
    }

    /// Records that a target completed the request, which clears it. Returns whether it was under
    /// suspicion.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_fleet::{Holder, crash_evidence::CrashEvidence};
    ///
    /// let mut evidence = CrashEvidence::default();
    /// let holder = Holder { id: "a".into(), incarnation: 1 };
    /// evidence.record_crash(7, &holder, Duration::from_secs(1));
    /// assert!(evidence.record_completion(7, Duration::from_secs(2)));
    /// assert_eq!(evidence.crashed(7).count(), 0);
    /// ```
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        if !self.records.contains_key(&fingerprint) {
            return false;
        }
        self.edit(fingerprint, |record| {
            record.touched_at = record.touched_at.max(now);
            record.complete(now)
        })
    }

    /// Drops crashes of an incarnation that was alive at `alive_at`. Returns the requests whose
    /// evidence changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_fleet::{Holder, crash_evidence::CrashEvidence};
    ///
    /// let mut evidence = CrashEvidence::default();
    /// let holder = Holder { id: "a".into(), incarnation: 1 };
    /// evidence.record_crash(7, &holder, Duration::from_secs(1));
    /// assert!(evidence.refute(&holder, Duration::from_millis(1100)).is_empty());
    /// assert_eq!(evidence.refute(&holder, Duration::from_secs(2)), [7]);
    /// ```
    pub fn refute(&mut self, holder: &Holder, alive_at: Duration) -> Vec<Fingerprint> {
        let Some(named) = self.by_holder.get(holder) else {
            return Vec::new();
        };
        let refuted = |fingerprint: &Fingerprint| {
            let record = self.records.get(fingerprint);
            let crashed = record.and_then(|record| record.crashes.get(holder));
            crashed.is_some_and(|crashed| *crashed + REFUTE_AFTER <= alive_at)
        };
        let changed: Vec<Fingerprint> = named.iter().copied().filter(refuted).collect();
        for fingerprint in &changed {
            self.edit(*fingerprint, |record| record.crashes.remove(holder));
        }
        changed
    }

    /// Keeps the quarantine of a request that was received again. Returns whether the other VMs
    /// must be told so, because otherwise theirs might end.
    pub fn refresh(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        let due = self.records.get(&fingerprint).is_some_and(|record| {
            let age = now.saturating_sub(record.touched_at);
            record.is_quarantined() && age >= REFRESH_INTERVAL
        });
        if due {
            self.edit(fingerprint, |record| record.touched_at = now);
        }
        due
    }

    /// Adds the evidence of another VM. Repeated and outdated records change nothing. Returns
    /// whether there is news for further VMs.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_fleet::{Holder, crash_evidence::CrashEvidence};
    ///
    /// let mut one = CrashEvidence::default();
    /// let holder = Holder { id: "a".into(), incarnation: 1 };
    /// one.record_crash(7, &holder, Duration::from_secs(1));
    /// let record = one.record(7, Duration::from_secs(2)).ok_or("no record")?;
    /// let mut other = CrashEvidence::default();
    /// assert!(other.merge(&record, Duration::from_secs(90)));
    /// assert!(!other.merge(&record, Duration::from_secs(90)));
    /// assert_eq!(other.crashed(7).count(), 1);
    /// # Ok::<(), &str>(())
    /// ```
    pub fn merge(&mut self, record: &CrashRecord, now: Duration) -> bool {
        let touched = now.saturating_sub(record.idle);
        if touched + QUARANTINE_LIFETIME <= now {
            return false;
        }
        self.edit(record.fingerprint, |known| {
            let completed = record.completed;
            let mut is_news = completed.is_some_and(|age| known.complete(now.saturating_sub(age)));
            for (holder, age) in record.crashes.iter().take(MAX_CRASHES) {
                is_news |= known.add_crash(holder, now.saturating_sub(*age));
            }
            is_news |= known.is_quarantined() && touched >= known.touched_at + REFRESH_INTERVAL / 2;
            known.touched_at = known.touched_at.max(touched);
            is_news
        })
    }

    /// What the evidence says about a request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        match self.crashed(fingerprint).count() {
            QUARANTINE_CRASHES.. => Verdict::Quarantined,
            SUSPECT_CRASHES.. => Verdict::Suspect,
            _ => Verdict::Clear,
        }
    }

    /// Whether the crashes that quarantine a request can hardly be refuted any more.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_fleet::{Holder, crash_evidence::CrashEvidence};
    ///
    /// let mut evidence = CrashEvidence::default();
    /// for id in ["a", "b", "c"] {
    ///     let holder = Holder { id: id.into(), incarnation: 1 };
    ///     evidence.record_crash(7, &holder, Duration::from_secs(1));
    /// }
    /// assert!(!evidence.is_settled(7, Duration::from_secs(2)));
    /// assert!(evidence.is_settled(7, Duration::from_secs(4)));
    /// ```
    pub fn is_settled(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| {
            let settled = |crashed: &&Duration| **crashed + SETTLE_AFTER <= now;
            record.crashes.values().filter(settled).count() >= QUARANTINE_CRASHES
        })
    }

    /// Whether the request is refused for good: a target crashed in a trial, and either several targets
    /// crashed that do not have one cause, or a later trial ended in a crash too.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_fleet::{Holder, crash_evidence::CrashEvidence, crash_trials::TrialEnd};
    ///
    /// let mut evidence = CrashEvidence::default();
    /// for (at, id) in [(1, "a"), (2, "b"), (3, "c")] {
    ///     let holder = Holder { id: id.into(), incarnation: 1 };
    ///     evidence.record_crash(7, &holder, Duration::from_secs(at));
    /// }
    /// let now = Duration::from_secs(6);
    /// assert!(!evidence.is_final(7, now));
    /// let number = evidence.begin_trial(7, now).ok_or("not due")?;
    /// evidence.end_trial(7, number, TrialEnd::Crashed);
    /// assert!(evidence.is_final(7, now));
    /// # Ok::<(), &str>(())
    /// ```
    pub fn is_final(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        let Some(record) = self.records.get(&fingerprint) else {
            return false;
        };
        let enough = match record.has_independent_crashes() {
            true => 1,
            false => FINAL_CRASHED_TRIALS,
        };
        record.trials.crashed() >= enough && self.is_settled(fingerprint, now)
    }

    /// When the next trial of a quarantined request is due; `None` if it gets none.
    pub fn next_trial(&self, fingerprint: Fingerprint) -> Option<Duration> {
        self.records.get(&fingerprint)?.next_trial()
    }

    /// Whether the result of a trial may arrive soon.
    pub fn is_being_tried(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| {
            let is_recent = now < record.tried_at + REPEATED_TRIAL_DELAY;
            is_recent && record.trials.sent() > record.trials.crashed()
        })
    }

    /// Begins a trial if one is due. Only the leader does so.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, now: Duration) -> Option<TrialNumber> {
        let due = self.next_trial(fingerprint)? <= now;
        due.then(|| {
            self.edit(fingerprint, |record| {
                record.tried_at = now;
                record.trials.begin()
            })
        })
    }

    /// Records how a trial ended that did not complete.
    pub fn end_trial(&mut self, fingerprint: Fingerprint, number: TrialNumber, end: TrialEnd) {
        if self.contains(fingerprint) {
            self.edit(fingerprint, |record| record.trials.end(number, end));
        }
    }

    /// Adds what another VM knows about the trials of a request. Returns whether there is news.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_fleet::{
    ///     Holder, crash_evidence::CrashEvidence, crash_trials::TrialOrder,
    /// };
    ///
    /// let mut leader = CrashEvidence::default();
    /// for id in ["a", "b", "c"] {
    ///     let holder = Holder { id: id.into(), incarnation: 1 };
    ///     leader.record_crash(7, &holder, Duration::from_secs(1));
    /// }
    /// let mut entry = leader.clone();
    /// let now = leader.next_trial(7).ok_or("no trial")?;
    /// leader.begin_trial(7, now).ok_or("not due")?;
    /// let grant = leader.trial_news(7, TrialOrder::Grant, now).ok_or("no news")?;
    /// assert!(entry.merge_trials(&grant, now));
    /// assert!(entry.next_trial(7) > Some(now));
    /// # Ok::<(), &str>(())
    /// ```
    pub fn merge_trials(&mut self, news: &TrialNews, now: Duration) -> bool {
        if !self.contains(news.fingerprint) {
            return false;
        }
        let tried_at = now.saturating_sub(news.age);
        self.edit(news.fingerprint, |record| {
            // A completion ends the trials before it.
            if record
                .completed_at
                .is_some_and(|completed| tried_at <= completed)
            {
                return false;
            }
            let is_news = record.trials.join(news.trials);
            if is_news {
                record.tried_at = record.tried_at.max(tried_at);
            }
            is_news
        })
    }

    /// The trials of a request for another VM, with what is asked of it; `None` if there are none and
    /// nothing is asked.
    pub fn trial_news(
        &self,
        fingerprint: Fingerprint,
        order: TrialOrder,
        now: Duration,
    ) -> Option<TrialNews> {
        let record = self.records.get(&fingerprint)?;
        let is_empty = record.trials == Trials::default() && order == TrialOrder::Known;
        (!is_empty).then(|| TrialNews {
            fingerprint,
            trials: record.trials,
            age: now.saturating_sub(record.tried_at),
            order,
        })
    }

    /// The incarnations that ended while they had the request.
    pub fn crashed(&self, fingerprint: Fingerprint) -> impl Iterator<Item = &Holder> {
        let record = self.records.get(&fingerprint);
        record.into_iter().flat_map(|record| record.crashes.keys())
    }

    /// The evidence on one request, for another VM.
    pub fn record(&self, fingerprint: Fingerprint, now: Duration) -> Option<CrashRecord> {
        let record = self.records.get(&fingerprint)?;
        let age = |at: Duration| now.saturating_sub(at);
        let crashes = record.crashes.iter();
        Some(CrashRecord {
            fingerprint,
            crashes: crashes
                .map(|(holder, at)| (holder.clone(), age(*at)))
                .collect(),
            completed: record.completed_at.map(age),
            idle: age(record.touched_at),
        })
    }

    /// The `limit` requests with most crashes, the newest first.
    pub fn newest(&self, limit: usize) -> Vec<Fingerprint> {
        let newest = self.by_age.iter().rev().take(limit);
        newest.map(|(_, _, fingerprint)| *fingerprint).collect()
    }

    /// Drops evidence whose time has passed.
    pub fn expire(&mut self, now: Duration) {
        for rank in 0..=QUARANTINE_CRASHES {
            let lifetime = match rank {
                QUARANTINE_CRASHES => QUARANTINE_LIFETIME,
                _ => SUSPECT_LIFETIME,
            };
            let from = (rank, Duration::ZERO, 0);
            while let Some((found, touched, fingerprint)) =
                self.by_age.range(from..).next().copied()
                && found == rank
                && touched + lifetime <= now
            {
                self.take(fingerprint);
            }
        }
    }

    /// Changes a record, which is empty if there was none, and dropped if it is empty afterwards.
    fn edit<Change, Out>(&mut self, fingerprint: Fingerprint, change: Change) -> Out
    where
        Change: FnOnce(&mut Record) -> Out,
    {
        let mut record = self.take(fingerprint).unwrap_or_default();
        let out = change(&mut record);
        if !record.crashes.is_empty() || record.completed_at.is_some() {
            self.put(fingerprint, record);
        }
        out
    }

    fn take(&mut self, fingerprint: Fingerprint) -> Option<Record> {
        let record = self.records.remove(&fingerprint)?;
        self.by_age
            .remove(&(record.rank(), record.touched_at, fingerprint));
        for holder in record.crashes.keys() {
            if let Some(named) = self.by_holder.get_mut(holder) {
                named.remove(&fingerprint);
                if named.is_empty() {
                    self.by_holder.remove(holder);
                }
            }
        }
        Some(record)
    }

    fn put(&mut self, fingerprint: Fingerprint, record: Record) {
        for holder in record.crashes.keys() {
            let named = match self.by_holder.get_mut(holder) {
                Some(named) => named,
                None => self.by_holder.entry(holder.clone()).or_default(),
            };
            named.insert(fingerprint);
        }
        self.by_age
            .insert((record.rank(), record.touched_at, fingerprint));
        self.records.insert(fingerprint, record);
        if self.records.len() > self.capacity
            && let Some((_, _, oldest)) = self.by_age.first().copied()
        {
            self.take(oldest);
        }
    }
}
