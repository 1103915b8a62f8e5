//! The limit that a target sets on the requests of all entry VMs together, as one entry VM applies it.
//!
//! Each request to a target with a limit takes a right, which the control leader grants
//! (`camphordale_fleet::LimitLedger`). While the leader is silent, this VM falls back to a share of
//! its own: all entry VMs together stay below half of the limit, so that what the leader granted
//! before does not add up to more than the target takes.
//!
//! A cold target has a limit too (`camphordale_fleet::WarmUpBounds`). Its rights end sooner.

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
    COLD_FALLBACK_FRACTION,
    COLD_RIGHT_LIFETIME,
    RIGHT_LIFETIME,
    RequestRate,
    TargetState,
    lower_limit,
    warm_up, //
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
    asked_at: Duration,
    count: u16,
}

/// Whether a target is cold.
#[derive(Clone, Copy, Debug, Default)]
struct Warmth {
    /// Limit of the cold targets of its service, if there is one.
    limit: Option<RequestRate>,
    /// Whether the registry says that it is cold.
    recorded: bool,
    /// When a connection last failed, until the target is known to be warm.
    failed_at: Option<Duration>,
    /// Whether a connection from this VM failed since it last reached the target.
    unreached: bool,
    /// Whether the target announced that it is warm while this VM did not reach it. Then the cause is
    /// the link between them.
    link_fails: bool,
    /// When it last turned cold, to the knowledge of this VM.
    cold_since: Duration,
}

impl Warmth {
    fn is_cold(&self) -> bool {
        self.limit.is_some() && (self.recorded || self.failed_at.is_some())
    }
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
    warmth: Warmth,
}

impl TargetLimit {
    /// The limit, if the target has one: the lower one of what it stated and what cold targets get.
    pub fn limit(&self) -> Option<RequestRate> {
        let cold = self.warmth.limit.filter(|_| self.warmth.is_cold());
        lower_limit(self.limit, cold)
    }

    /// The limit that the target stated.
    pub fn stated(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Whether the target counts as cold.
    pub fn is_cold(&self) -> bool {
        self.warmth.is_cold()
    }

    /// When a connection to the target last failed, if it is not known to be warm since then.
    pub fn failed_at(&self) -> Option<Duration> {
        self.warmth.failed_at
    }

    /// Sets the limit of cold targets of this service, and the registered state of this one. A cold
    /// target that drains stays cold. Returns whether the target turned cold or warm.
    pub fn set_recorded(
        &mut self,
        limit: Option<RequestRate>,
        state: Option<TargetState>,
        now: Duration,
    ) -> bool {
        self.change_warmth(now, |warmth| {
            warmth.limit = limit;
            warmth.recorded = match state {
                Some(TargetState::Cold) => true,
                Some(TargetState::Draining | TargetState::Left) => warmth.recorded,
                Some(TargetState::Ready) | None => false,
            };
            warmth.failed_at = warmth.failed_at.filter(|_| limit.is_some());
        })
    }

    /// Records that a connection from this VM to the target could not be opened. Returns whether it
    /// turned cold.
    ///
    /// If the target announces that it is warm and this VM still cannot reach it, further failures
    /// show nothing: they would hold a target behind a broken link to its limit as long as the link
    /// is broken.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::TargetLimit;
    ///
    /// // Without a warm-up rate of the service, this has no effect.
    /// let mut limit = TargetLimit::default();
    /// assert!(!limit.connection_failed(Duration::ZERO));
    /// ```
    pub fn connection_failed(&mut self, now: Duration) -> bool {
        if self.warmth.link_fails {
            return false;
        }
        self.warmth.unreached = true;
        self.suspected(now, now)
    }

    /// Records that a connection of any VM failed at `failed_at`. Returns whether the target turned
    /// cold.
    pub fn suspected(&mut self, failed_at: Duration, now: Duration) -> bool {
        self.change_warmth(now, |warmth| {
            if warmth.limit.is_some() {
                warmth.failed_at = warmth.failed_at.max(Some(failed_at));
            }
        })
    }

    /// Records that this VM has reached the target.
    pub fn reached(&mut self) {
        self.warmth.unreached = false;
        self.warmth.link_fails = false;
    }

    /// Records that the leader heard at `warm_at` that the target is warm. Returns whether it turned
    /// warm.
    pub fn cleared(&mut self, warm_at: Duration, now: Duration) -> bool {
        self.change_warmth(now, |warmth| {
            if let Some(failed_at) = warmth.failed_at
                && warm_up::refutes(failed_at, warm_at)
            {
                warmth.failed_at = None;
                warmth.link_fails = warmth.unreached;
            }
        })
    }

    /// Records that the leader has heard nothing of the target and of failures for so long that it may
    /// be warm. Returns whether it turned warm.
    pub fn suspicion_expired(&mut self, now: Duration) -> bool {
        self.change_warmth(now, |warmth| warmth.failed_at = None)
    }

    fn change_warmth<Change>(&mut self, now: Duration, change: Change) -> bool
    where
        Change: FnOnce(&mut Warmth),
    {
        let was_cold = self.warmth.is_cold();
        change(&mut self.warmth);
        let is_cold = self.warmth.is_cold();
        if is_cold && !was_cold {
            // What was granted before may be more than a cold target bears.
            self.warmth.cold_since = now;
            self.grants.clear();
        }
        if self.limit().is_none() {
            self.grants.clear();
            self.wanted = 0;
        }
        is_cold != was_cold
    }

    fn right_lifetime(&self) -> Duration {
        match self.warmth.is_cold() {
            true => COLD_RIGHT_LIFETIME,
            false => RIGHT_LIFETIME,
        }
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
        if self.limit().is_none() {
            self.grants.clear();
            self.wanted = 0;
        }
        changed
    }

    /// Adds rights that this VM asked for at `asked_at`.
    pub fn granted(&mut self, count: u16, asked_at: Duration) {
        let is_old = self.warmth.is_cold() && asked_at < self.warmth.cold_since;
        if self.limit().is_some() && !is_old {
            self.grants.push_back(Grant { asked_at, count });
        }
    }

    /// Rights that can be used now.
    pub fn rights(&self, now: Duration) -> u16 {
        let lifetime = self.right_lifetime();
        let usable = self.grants.iter();
        let usable = usable.filter(|grant| now < grant.asked_at + lifetime);
        usable.fold(0, |sum, grant| sum.saturating_add(grant.count))
    }

    /// Whether a request may be sent now.
    pub fn allows(&self, source: LimitSource, now: Duration) -> bool {
        let Some(limit) = self.limit() else {
            return true;
        };
        if self.rights(now) > 0 {
            return true;
        }
        match source {
            LimitSource::Leader => false,
            LimitSource::Own { vms, entry_id } => {
                let period = FallbackPeriod::new(self.fallback_rate(limit), vms, entry_id);
                let open = period.and_then(|period| period.open_at(now));
                open.is_some_and(|number| self.used_period != Some(number))
            }
        }
    }

    /// Takes the right for a request that is sent now.
    pub fn take(&mut self, source: LimitSource, now: Duration) {
        let Some(limit) = self.limit() else {
            return;
        };
        // A right that is kept for the next request would mostly end unused at a cold target, whose
        // rights are few and short.
        if !self.warmth.is_cold() {
            self.want();
        }
        let lifetime = self.right_lifetime();
        while self
            .grants
            .front()
            .is_some_and(|g| now >= g.asked_at + lifetime || g.count == 0)
        {
            self.grants.pop_front();
        }
        if let Some(grant) = self.grants.front_mut() {
            grant.count -= 1;
        } else if let LimitSource::Own { vms, entry_id } = source {
            let period = FallbackPeriod::new(self.fallback_rate(limit), vms, entry_id);
            self.used_period = period.and_then(|period| period.open_at(now));
        }
    }

    /// Records that a request lacks a right.
    pub fn want(&mut self) {
        if self.limit().is_some() {
            self.wanted = self.wanted.saturating_add(1);
        }
    }

    /// What all entry VMs send together while the leader is silent.
    fn fallback_rate(&self, limit: RequestRate) -> f64 {
        let fraction = match self.warmth.is_cold() {
            true => COLD_FALLBACK_FRACTION,
            false => FALLBACK_FRACTION,
        };
        f64::from(limit) * fraction
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
    fn new(all_rate: f64, vms: u32, entry_id: u64) -> Option<FallbackPeriod> {
        let rate = all_rate / f64::from(vms.max(1));
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
