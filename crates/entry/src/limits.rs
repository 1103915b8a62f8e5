//! The limit that a target sets on the requests of all entry VMs together, as one entry VM applies it.
//!
//! Each request to a target with a limit takes a right, which the control leader grants
//! (`camphordale_fleet::LimitLedger`). While the leader is silent, this VM falls back to a share of
//! its own: all entry VMs together stay below half of the limit, so that what the leader granted
//! before does not add up to more than the target takes.

use std::{
    collections::VecDeque,
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
    time::Duration,
};

use camphordale_fleet::{
    RIGHT_LIFETIME,
    RequestRate, //
};

/// Fraction of the limit that all entry VMs use together while the leader is silent.
const FALLBACK_FRACTION: f64 = 0.5;
/// Part of a fallback period in which its request may be sent.
const FALLBACK_WINDOW_FRACTION: f64 = 0.125;
/// Longest time of a fallback period in which its request may be sent. A request that could be kept
/// for long would add up with those of other VMs.
const MAX_FALLBACK_WINDOW: Duration = Duration::from_millis(250);
/// Longest fallback period; beyond it, the share of one VM is practically nothing.
const MAX_FALLBACK_PERIOD: Duration = Duration::from_secs(3600);
/// Time after an answer without a limit in which older news of one is ignored.
const OWN_EVIDENCE_LIFETIME: Duration = Duration::from_secs(1);

/// What decides on a request to a target with a limit, besides the rights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    /// The leader grants rights.
    Leader,
    /// The leader is silent. So many VMs share the limit evenly.
    Own {
        /// Entry VMs when the leader was last heard.
        vms: u32,
        /// Random id of this process, which sets its turn.
        entry_id: u64,
    },
}

/// Rights of one grant.
#[derive(Clone, Copy, Debug)]
struct Grant {
    until: Duration,
    count: u16,
}

/// Limit of one incarnation of a target, and what this VM may send to it.
#[derive(Clone, Debug, Default)]
pub struct TargetLimit {
    limit: Option<RequestRate>,
    /// When the target stated its limit, or that it has none.
    stated_at: Duration,
    /// When an answer to this VM showed that there is no limit.
    lifted_at: Option<Duration>,
    /// Oldest first.
    grants: VecDeque<Grant>,
    /// Requests that took or lacked a right since rights were last asked for.
    wanted: u16,
    /// The last fallback period in which a request was sent.
    used_period: Option<u64>,
}

impl TargetLimit {
    /// The limit, if the target has one.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// When the target stated its limit.
    pub fn stated_at(&self) -> Duration {
        self.stated_at
    }

    /// Records what an answer to this VM states. `sent_at` is when its request was sent: an answer to
    /// an earlier request than that of the last statement ends no limit. Returns whether the limit
    /// changed.
    pub fn answered(
        &mut self,
        limit: Option<RequestRate>,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        if limit.is_none() && (self.limit.is_none() || sent_at < self.stated_at) {
            return false;
        }
        self.lifted_at = limit.is_none().then_some(now);
        self.set(limit, now)
    }

    /// Records what the leader says that the target stated at `stated_at`. Returns whether the limit
    /// changed.
    pub fn told(&mut self, limit: Option<RequestRate>, stated_at: Duration, now: Duration) -> bool {
        let is_refuted = self
            .lifted_at
            .is_some_and(|at| stated_at <= at || now < at + OWN_EVIDENCE_LIFETIME);
        if stated_at < self.stated_at || is_refuted && limit.is_some() {
            return false;
        }
        self.set(limit, stated_at)
    }

    fn set(&mut self, limit: Option<RequestRate>, stated_at: Duration) -> bool {
        self.stated_at = stated_at;
        let changed = self.limit != limit;
        self.limit = limit;
        if limit.is_none() {
            self.grants.clear();
            self.wanted = 0;
        }
        changed
    }

    /// Adds rights that this VM asked for at `asked_at`.
    pub fn granted(&mut self, count: u16, asked_at: Duration) {
        if self.limit.is_some() {
            let until = asked_at + RIGHT_LIFETIME;
            self.grants.push_back(Grant { until, count });
        }
    }

    /// Rights that can be used now.
    pub fn rights(&self, now: Duration) -> u16 {
        let usable = self.grants.iter().filter(|grant| now < grant.until);
        usable.fold(0, |sum, grant| sum.saturating_add(grant.count))
    }

    /// Whether a request may be sent now.
    pub fn allows(&self, source: LimitSource, now: Duration) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        if self.rights(now) > 0 {
            return true;
        }
        match source {
            LimitSource::Leader => false,
            LimitSource::Own { vms, entry_id } => {
                let period = FallbackPeriod::new(limit, vms, entry_id);
                let open = period.and_then(|period| period.open_at(now));
                open.is_some_and(|number| self.used_period != Some(number))
            }
        }
    }

    /// Takes the right for a request that is sent now.
    pub fn take(&mut self, source: LimitSource, now: Duration) {
        let Some(limit) = self.limit else {
            return;
        };
        self.want();
        while self
            .grants
            .front()
            .is_some_and(|g| now >= g.until || g.count == 0)
        {
            self.grants.pop_front();
        }
        if let Some(grant) = self.grants.front_mut() {
            grant.count -= 1;
        } else if let LimitSource::Own { vms, entry_id } = source {
            let period = FallbackPeriod::new(limit, vms, entry_id);
            self.used_period = period.and_then(|period| period.open_at(now));
        }
    }

    /// Records that a request lacks a right.
    pub fn want(&mut self) {
        if self.limit.is_some() {
            self.wanted = self.wanted.saturating_add(1);
        }
    }

    /// Whether rights are to be asked for.
    pub fn is_wanted(&self) -> bool {
        self.wanted > 0
    }

    /// Takes the number of rights to ask for: as many as were needed lately, less those at hand.
    pub fn take_wanted(&mut self, now: Duration) -> u16 {
        let wanted = std::mem::take(&mut self.wanted);
        wanted.saturating_sub(self.rights(now))
    }
}

/// Periods in each of which a VM may send one request. Each VM has a phase of its own, so that the
/// VMs do not send together.
struct FallbackPeriod {
    length: Duration,
    phase: Duration,
}

impl FallbackPeriod {
    fn new(limit: RequestRate, vms: u32, entry_id: u64) -> Option<FallbackPeriod> {
        let rate = f64::from(limit) * FALLBACK_FRACTION / f64::from(vms.max(1));
        let length = Duration::try_from_secs_f64(1.0 / rate).ok()?;
        if length > MAX_FALLBACK_PERIOD {
            return None;
        }
        let mut hasher = DefaultHasher::new();
        entry_id.hash(&mut hasher);
        let phase = length.mul_f64(hasher.finish() as f64 / u64::MAX as f64);
        Some(FallbackPeriod { length, phase })
    }

    /// Number of the period whose request may be sent now.
    fn open_at(&self, now: Duration) -> Option<u64> {
        let passed = (now + self.phase).as_secs_f64();
        let number = (passed / self.length.as_secs_f64()).floor();
        let window = self.length.mul_f64(FALLBACK_WINDOW_FRACTION);
        let window = window.min(MAX_FALLBACK_WINDOW).as_secs_f64();
        let since = passed - number * self.length.as_secs_f64();
        (since < window).then_some(number as u64)
    }
}
