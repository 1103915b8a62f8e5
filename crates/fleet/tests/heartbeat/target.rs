//! Stand-in target that gets its key leases in the answers to its announcements, according to the
//! platform's protocol.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_fleet::{
    FencingToken,
    FreedRange,
    GrantedRange,
    HeldRange,
    Key,
    LeaseReport, //
};

/// Time between two announcements.
pub(crate) const INTERVAL: Duration = Duration::from_millis(870);
/// Time between announcements while a range is being released.
const RELEASE_STEP: Duration = Duration::from_millis(100);
/// Time after which an answer is ignored.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The target's clock takes this much longer for the same time.
const SLOW_CLOCK: f64 = 1.02;

/// An announcement as sent.
#[derive(Clone, Debug)]
pub(crate) struct Announced {
    pub(crate) sequence: u64,
    pub(crate) incarnation: u64,
    pub(crate) report: LeaseReport,
}

/// A range that is being released.
#[derive(Clone, Copy, Debug)]
struct Releasing {
    held: HeldRange,
    /// When the last request that runs on it ends.
    work_until: Duration,
    /// When the lease ends under which the requests began. Those that outlast it fail.
    lease_until: Duration,
}

/// A target with one lease for all its ranges.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) incarnation: u64,
    sequence: u64,
    sent_at: Duration,
    next_announcement: Duration,
    awaits_answer: bool,
    rows: Vec<HeldRange>,
    lease_until: Duration,
    releasing: Vec<Releasing>,
    freed: Vec<FreedRange>,
    /// Highest fencing token seen, by tested key.
    fences: BTreeMap<Key, FencingToken>,
    /// Duration of a request, which delays the release of its key.
    pub(crate) work: Duration,
}

/// Keys that tests check.
pub(crate) fn tested_keys() -> impl Iterator<Item = Key> {
    (0..64u16).map(|at| at * 1024 + 7)
}

/// The parts of `held` that none of `kept` covers.
fn uncovered(held: HeldRange, kept: &[GrantedRange]) -> Vec<HeldRange> {
    let mut parts = vec![held];
    for row in kept {
        let mut rest = Vec::new();
        for part in parts {
            if row.to < part.from || row.from > part.to {
                rest.push(part);
                continue;
            }
            if part.from < row.from {
                rest.push(HeldRange {
                    to: row.from - 1,
                    ..part
                });
            }
            if part.to > row.to {
                rest.push(HeldRange {
                    from: row.to + 1,
                    ..part
                });
            }
        }
        parts = rest;
    }
    parts
}

impl Target {
    pub(crate) fn new(incarnation: u64, now: Duration) -> Target {
        Target {
            incarnation,
            sequence: 0,
            sent_at: Duration::ZERO,
            next_announcement: now,
            awaits_answer: false,
            rows: Vec::new(),
            lease_until: Duration::ZERO,
            releasing: Vec::new(),
            freed: Vec::new(),
            fences: BTreeMap::new(),
            work: Duration::ZERO,
        }
    }

    /// Advances the clock and returns the announcement that is due, if any.
    pub(crate) fn tick(&mut self, now: Duration) -> Option<Announced> {
        if now >= self.lease_until {
            // The end of a lease is not reported.
            self.rows.clear();
        }
        let ended = |releasing: &mut Releasing| now >= releasing.work_until;
        for done in self.releasing.extract_if(.., ended) {
            self.freed.push(FreedRange {
                from: done.held.from,
                to: done.held.to,
                handover: format!("{:x}-{:x}", done.held.from, done.held.fence).into(),
            });
        }
        if self.awaits_answer && now >= self.sent_at + ANSWER_TIMEOUT {
            self.awaits_answer = false;
            self.next_announcement = now;
        }
        if self.awaits_answer || now < self.next_announcement {
            return None;
        }
        self.sequence += 1;
        self.sent_at = now;
        self.awaits_answer = true;
        let working = self.releasing.iter().map(|releasing| releasing.held);
        Some(Announced {
            sequence: self.sequence,
            incarnation: self.incarnation,
            report: LeaseReport {
                held: self.rows.iter().copied().chain(working).collect(),
                freed: self.freed.clone(),
            },
        })
    }

    /// Carries out an answer. `granted` is `None` if it contains no leases.
    pub(crate) fn on_answer(
        &mut self,
        sequence: u64,
        granted: Option<(&[GrantedRange], Duration)>,
        now: Duration,
    ) {
        let is_late = now >= self.sent_at + ANSWER_TIMEOUT;
        if sequence != self.sequence || !self.awaits_answer || is_late {
            return;
        }
        self.awaits_answer = false;
        self.next_announcement = self.sent_at + INTERVAL;
        self.freed.clear();
        let Some((granted, lease)) = granted else {
            return;
        };
        for row in std::mem::take(&mut self.rows) {
            for part in uncovered(row, granted) {
                let work_until = now + self.work;
                self.releasing.push(Releasing {
                    held: part,
                    work_until,
                    lease_until: self.lease_until,
                });
            }
        }
        for row in granted {
            let keys: Vec<Key> = tested_keys()
                .filter(|key| (row.from..=row.to).contains(key))
                .collect();
            let fenced = |key: &Key| self.fences.get(key).is_some_and(|seen| *seen > row.fence);
            if keys.iter().any(fenced) {
                continue;
            }
            for key in keys {
                self.fences.insert(key, row.fence);
            }
            self.rows.push(HeldRange {
                from: row.from,
                to: row.to,
                fence: row.fence,
            });
        }
        self.lease_until = self
            .lease_until
            .max(self.sent_at + lease.mul_f64(SLOW_CLOCK));
        if !self.releasing.is_empty() || !self.freed.is_empty() {
            self.next_announcement = now + RELEASE_STEP;
        }
    }

    /// The fencing token under which the target begins work on a key, if it does.
    pub(crate) fn fence_of(&self, key: Key, now: Duration) -> Option<FencingToken> {
        let row = self
            .rows
            .iter()
            .find(|row| (row.from..=row.to).contains(&key))?;
        (now < self.lease_until).then_some(row.fence)
    }

    /// Whether the target still works on a key that it is releasing.
    pub(crate) fn works_on(&self, key: Key, now: Duration) -> bool {
        self.releasing.iter().any(|releasing| {
            let held = releasing.held;
            let lasts = now < releasing.work_until.min(releasing.lease_until);
            (held.from..=held.to).contains(&key) && lasts
        })
    }
}
