//! Cold targets: which targets are cold, and the limit on the requests of all entry VMs to one.
//!
//! Load pattern: a target comes back while all entry VMs probe it with real requests, or turns cold
//! under load. A cold target works slowly, and too many requests end it again. Each entry VM sees its
//! own requests only, so a cold target is handled as one with a limit
//! (see [`LimitLedger`](crate::LimitLedger)).
//!
//! A target is cold while its record says [`TargetState::Cold`], and while it is *suspected*: a
//! connection to it could not be opened, and no announcement since then shows that it is warm. It may
//! have restarted under its id without being announced.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    registry::{
        Holder,
        Incarnation,
        TargetId,
        TargetState, //
    },
    request_limits::RequestRate,
    routing::WarmUp,
    state::View, //
};

/// Time for which a right to send to a cold target can be used, from when it was asked for. A round
/// trip to the leader takes a few milliseconds; the rest is for the next request of the entry VM. A
/// longer time lowers the limit that keeps the bound.
pub const COLD_RIGHT_LIFETIME: Duration = Duration::from_millis(250);
/// Rights to send to a cold target that are kept for later, as seconds of the limit; one more is
/// always kept.
pub const COLD_BURST_SECONDS: f64 = 0.15;
/// Fraction of the limit of a cold target that all entry VMs use together while the leader is silent.
/// It adds to what the leader grants if only some entry VMs do not hear it.
pub const COLD_FALLBACK_FRACTION: f64 = 0.25;
/// Longest time from the decision to send until the request arrives, beyond which requests of
/// different seconds could arrive together.
const DELIVERY_TIME: Duration = Duration::from_millis(100);
/// Time over which the bound counts requests.
const BOUND_WINDOW: Duration = Duration::from_secs(1);
/// Least bound, in requests per second: a target that gets no requests never warms up.
const MIN_BOUND: f64 = 1.0;
/// Keeps the number of rights below the next whole number despite rounding.
const ROUNDING_MARGIN: f64 = 0.999;
/// Time after a failed connection in which an announcement is ignored: it may have been sent before.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(30);
/// Announcement intervals after the warm-up time for which a suspicion lasts if nothing is heard.
const SILENT_INTERVALS: u32 = 2;
/// Successive announcements that must say that a target is warm, where one may be out of date.
const PROOF_ANNOUNCEMENTS: u32 = 2;

/// How many requests a cold target may get in any one second: the warm-up rate of its service times
/// `overshoot`, and `slack` more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBounds {
    /// Multiple of the warm-up rate.
    pub overshoot: f64,
    /// Requests per second beyond this.
    pub slack: f64,
}

impl Default for WarmUpBounds {
    fn default() -> Self {
        WarmUpBounds {
            overshoot: 1.0,
            slack: 0.0,
        }
    }
}

/// Bounds that no requests can keep.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("a warm-up overshoot of {overshoot} and a slack of {slack} are no bounds")]
pub struct InvalidBounds {
    overshoot: f64,
    slack: f64,
}

impl TryFrom<(f64, f64)> for WarmUpBounds {
    type Error = InvalidBounds;

    /// Checks the overshoot and the slack.
    ///
    /// ```
    /// use camphordale_fleet::WarmUpBounds;
    ///
    /// assert!(WarmUpBounds::try_from((1.5, 8.0)).is_ok());
    /// assert!(WarmUpBounds::try_from((f64::NAN, 8.0)).is_err());
    /// ```
    fn try_from((overshoot, slack): (f64, f64)) -> Result<WarmUpBounds, InvalidBounds> {
        let is_bound = |value: f64| value.is_finite() && value >= 0.0;
        match is_bound(overshoot) && is_bound(slack) {
            true => Ok(WarmUpBounds { overshoot, slack }),
            false => Err(InvalidBounds { overshoot, slack }),
        }
    }
}

impl WarmUpBounds {
    /// The limit of a cold target. In any second there arrive at most
    /// `1 + limit * (1 s + lifetime of a right + time of delivery + burst)` requests by rights of the
    /// leader, and about `limit * COLD_FALLBACK_FRACTION` of entry VMs that do not hear it. Their sum
    /// stays below the bound and is a whole number, so a fraction of the bound counts as nothing.
    ///
    /// ```
    /// use camphordale_fleet::{RequestRate, WarmUpBounds};
    ///
    /// let bounds = WarmUpBounds { overshoot: 1.5, slack: 8.0 };
    /// let limit = f64::from(bounds.limit(RequestRate::try_from(5.7)?));
    /// assert!((8.5..9.5).contains(&limit));
    /// # Ok::<(), camphordale_fleet::InvalidRate>(())
    /// ```
    pub fn limit(&self, rate: RequestRate) -> RequestRate {
        let bound = f64::from(rate) * self.overshoot + self.slack;
        let window = BOUND_WINDOW + COLD_RIGHT_LIFETIME + DELIVERY_TIME;
        let seconds = window.as_secs_f64() + COLD_BURST_SECONDS + COLD_FALLBACK_FRACTION;
        let limit = bound.floor().max(MIN_BOUND) / seconds * ROUNDING_MARGIN;
        // Bounds without end set no limit below that of a target without a warm-up rate.
        RequestRate::try_from(limit).unwrap_or(RequestRate::MAX)
    }
}

impl View {
    /// What the cold targets of a service bear, if the service states it.
    pub fn cold_service(&self, service: &str) -> Option<WarmUp> {
        let routing = self.routing.as_ref()?;
        routing.services.get(service)?.spec.cold
    }

    /// Registers the targets of a failure domain as cold whose service has a warm-up rate. At the end
    /// of an evacuation they may have become cold shortly before, without being announced.
    ///
    /// Leader and entry VMs do this as they apply the same command. The leader then requires a proof
    /// that each of them is warm.
    ///
    /// ```
    /// let mut view = camphordale_fleet::View::default();
    /// view.mark_domain_cold("a");
    /// assert!(view.targets.is_empty());
    /// ```
    pub fn mark_domain_cold(&mut self, domain: &str) {
        let Some(routing) = &self.routing else {
            return;
        };
        let has_rate = |service: &str| {
            let item = routing.services.get(service);
            item.is_some_and(|item| item.spec.cold.is_some())
        };
        for target in self.targets.values_mut() {
            let accepts = target.state.accepts_requests();
            if *target.domain == *domain && accepts && has_rate(&target.service) {
                target.state = TargetState::Cold;
            }
        }
    }
}

/// What the leader does with the report that a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// The target is suspected from now on.
    New,
    /// The target is suspected already.
    Known,
    /// The target announced later, so long ago, that it is warm.
    Refuted(Duration),
}

/// What one target announced to this leader.
#[derive(Clone, Debug)]
struct Heard {
    incarnation: Incarnation,
    /// When it last announced that it is warm.
    warm_at: Option<Duration>,
    /// Further announcements that must say so before it counts as warm.
    unproved: u32,
    /// Whether it counts as cold by what it announced.
    is_cold: bool,
}

/// What the leader knows of cold targets besides the registry. It is not replicated: entry VMs tell a
/// new leader which targets they suspect, and the registry records which targets are cold.
#[derive(Debug, Default)]
pub struct ColdTargets {
    heard: BTreeMap<TargetId, Heard>,
    /// Suspected incarnations, and when a connection last failed.
    suspected: BTreeMap<Holder, Duration>,
}

impl ColdTargets {
    /// Handles an announcement, `is_warm` as it says, of a target that accepts requests. `recorded` is
    /// the state in the registry of this incarnation. Returns the state to register.
    ///
    /// What was announced to former leaders may still arrive. A target that is recorded as cold
    /// therefore counts as warm to a new leader after two announcements that say so.
    pub fn announced(
        &mut self,
        holder: &Holder,
        is_warm: bool,
        recorded: Option<TargetState>,
        now: Duration,
    ) -> TargetState {
        let known = self.heard.get(&holder.id);
        if known.is_none_or(|known| known.incarnation != holder.incarnation) {
            let unproved = match recorded {
                Some(TargetState::Cold) => PROOF_ANNOUNCEMENTS,
                _ => 0,
            };
            let heard = Heard {
                incarnation: holder.incarnation,
                warm_at: None,
                unproved,
                is_cold: true,
            };
            self.heard.insert(holder.id.clone(), heard);
        }
        let Some(heard) = self.heard.get_mut(&holder.id) else {
            return TargetState::Cold;
        };
        if is_warm {
            heard.warm_at = Some(now);
            heard.unproved = heard.unproved.saturating_sub(1);
        } else if heard.unproved > 0 {
            heard.unproved = PROOF_ANNOUNCEMENTS;
        }
        heard.is_cold = !is_warm || heard.unproved > 0;
        match heard.is_cold {
            true => TargetState::Cold,
            false => TargetState::Ready,
        }
    }

    /// Requires two successive announcements from now on before the target counts as warm.
    pub fn require_proof(&mut self, holder: &Holder) {
        let heard = Heard {
            incarnation: holder.incarnation,
            warm_at: None,
            unproved: PROOF_ANNOUNCEMENTS,
            is_cold: true,
        };
        self.heard.insert(holder.id.clone(), heard);
    }

    /// Records that a connection to the target could not be opened.
    pub fn suspect(&mut self, holder: &Holder, failed_at: Duration, now: Duration) -> Suspicion {
        let heard = self.heard.get(&holder.id);
        let heard = heard.filter(|heard| heard.incarnation == holder.incarnation);
        let warm_at = heard.and_then(|heard| heard.warm_at);
        if let Some(at) = warm_at.filter(|at| refutes(failed_at, *at)) {
            return Suspicion::Refuted(now.saturating_sub(at));
        }
        match self.suspected.get_mut(holder) {
            Some(last) => {
                *last = failed_at.max(*last);
                Suspicion::Known
            }
            None => {
                self.suspected.insert(holder.clone(), failed_at);
                Suspicion::New
            }
        }
    }

    /// Ends the suspicion of a target that announced at `warm_at` that it is warm. Returns whether it
    /// was suspected.
    pub fn refute(&mut self, holder: &Holder, warm_at: Duration) -> bool {
        let failed_at = self.suspected.get(holder);
        let is_refuted = failed_at.is_some_and(|failed_at| refutes(*failed_at, warm_at));
        is_refuted && self.suspected.remove(holder).is_some()
    }

    /// Whether the last announcement of the target left it cold.
    pub fn is_announced_cold(&self, holder: &Holder) -> bool {
        let heard = self.heard.get(&holder.id);
        let heard = heard.filter(|heard| heard.incarnation == holder.incarnation);
        heard.is_some_and(|heard| heard.is_cold)
    }

    /// Whether the target is suspected.
    pub fn is_suspected(&self, holder: &Holder) -> bool {
        self.suspected.contains_key(holder)
    }

    /// The suspected targets, and the time since a connection last failed.
    pub fn suspected(&self, now: Duration) -> Vec<(Holder, Duration)> {
        let all = self.suspected.iter();
        all.map(|(holder, at)| (holder.clone(), now.saturating_sub(*at)))
            .collect()
    }

    /// Forgets what targets announced that are not registered any more.
    pub fn retain_registered(&mut self, view: &View) {
        self.heard.retain(|id, _| view.targets.contains_key(id));
    }

    /// Ends suspicions for which nothing was heard for the warm-up time and two announcement
    /// intervals, and those of incarnations that are not registered any more. Returns the targets that
    /// are no longer suspected.
    pub fn expire(&mut self, view: &View, interval: Duration, now: Duration) -> Vec<Holder> {
        let ended = self.suspected.extract_if(.., |holder, failed_at| {
            let target = view.targets.get(&holder.id);
            let target = target.filter(|target| target.incarnation == holder.incarnation);
            let cold = target.and_then(|target| view.cold_service(&target.service));
            let until = cold.map(|cold| *failed_at + cold.time + interval * SILENT_INTERVALS);
            until.is_none_or(|until| now >= until)
        });
        ended.map(|(holder, _)| holder).collect()
    }
}

/// Whether an announcement that was received at `warm_at` shows that a target is warm to which a
/// connection failed at `failed_at`.
pub fn refutes(failed_at: Duration, warm_at: Duration) -> bool {
    failed_at + ANNOUNCEMENT_DELAY <= warm_at
}
