//! Admission control under load: which requests are sent, which wait, and which are refused.
//!
//! Load pattern: demand above the capacity of a target for seconds, by several kinds of request, with
//! callers that come back after a refusal. A long queue makes every response late, and a late one
//! is worth little, so a queue is kept as short as the latency objective asks for. Requests that
//! would be late anyway use only places that delay nobody, and a small guaranteed share.
//!
//! Many entry VMs share each target, and what one of them knows of the load is up to half a second
//! old. Below the first level, each VM therefore also keeps to its part of the speed of a loaded
//! target ([`Pace`]); otherwise all of them fill the places that the most urgent requests need.
//!
//! Requests have levels, and each level may fill seven tenths of the queue of the one before it. The level is
//! the rank of the route's priority among the routes of its service; a request that cannot be
//! answered within its objective any more is treated like the next less urgent kind. The last
//! level, late requests of the least urgent kind, takes free slots only.
//!
//! Decisions are pure: no clock, no network, and random numbers are inputs.

use std::{
    collections::HashMap,
    time::Duration, //
};

use camphordale_fleet::{
    RouteName,
    Routing,
    ServiceName,
    TargetId, //
};
use serde::Deserialize;

/// Fraction of the latency objective within which a response must be expected for a request to
/// queue. The work of requests varies: with a log-normal spread (sigma 0.8) of work whose mean is a
/// third of the objective, nine of ten responses are in time if the mean response takes three
/// quarters of it.
const IN_TIME_FRACTION: f64 = 0.75;
/// Fraction of the time until the deadline within which any response must be expected.
const REMAINING_FRACTION: f64 = 0.8;
/// Longest queue of a target, as a multiple of its slots, that requests of the first level fill.
const MAX_QUEUE_PER_SLOT: f64 = 1.5;
/// Factor between the queue lengths that a level and the next one may fill. With a half, bursts cost
/// the less urgent kind more than the urgent one gained.
const LEVEL_FACTOR: f64 = 0.7;
/// Part of an admission that each admission of a service adds to the guaranteed share of each level
/// but the first: one in twenty, so the share costs the first level at most a twentieth for each
/// other level.
const GUARANTEED_SHARE: f64 = 0.05;
/// Guaranteed admissions that a level may save up, so that it does not fill a queue at once after a
/// time without demand.
const MAX_SAVED_SHARE: f64 = 1.0;
/// A target counts as loaded when all its slots are in use if the objective allows this multiple of
/// the latency without a queue, and in proportion earlier if it allows less.
const LOADED_ROUNDS: f64 = 4.0;
/// Load to which the pace brings a target, above that from which it counts as loaded, as a multiple
/// of the slots. Without a margin, slots would be free between the load reports.
const PACE_GOAL_MARGIN: f64 = 0.5;
/// Time in which the pace brings the load of a target to its goal: about as long as it takes until
/// a VM knows of the load, because a faster correction would oscillate.
const PACE_CORRECTION_TIME: Duration = Duration::from_millis(500);
/// Requests that a VM may save up at one target.
const MAX_PACE_TOKENS: f64 = 2.0;
/// Lowest number of saved requests: more urgent ones are sent without them, and later ones must not
/// wait for long after a burst.
const MIN_PACE_TOKENS: f64 = -3.0;
/// Saved requests that each level leaves to the one before it.
const RESERVED_TOKENS: f64 = 0.5;
/// Time after which the pace at a target that got no requests is forgotten.
const PACE_MEMORY: Duration = Duration::from_secs(10);
/// Weight of one decision in the recent fraction of refused requests.
const REFUSAL_WEIGHT: f64 = 1.0 / 32.0;
/// Shortest suggested retry delay: a delay below the time to another VM and back only costs
/// requests.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(30);
/// Window over which returning callers are spread at least.
const MIN_RETRY_WINDOW: Duration = Duration::from_millis(40);
/// A caller waits at most its remaining time divided by this.
const RETRY_AFTER_DIVISOR: u32 = 3;
/// Timeouts that differ by less than this fraction are taken for the same.
const SAME_TIMEOUT_FRACTION: f64 = 0.05;
/// Votes that a repeated timeout gets, against one of each other timeout: retries of callers have
/// different timeouts each time, so the usual one is found if one in five requests has it.
const REPEATED_TIMEOUT_VOTES: u32 = 4;
/// Maximum number of votes of the usual timeout; with a changed configuration of callers, the new
/// timeout takes over after this many requests.
const MAX_TIMEOUT_VOTES: u32 = 64;
/// Votes from which on the usual timeout is known: it was repeated twice, with at most two others in
/// between.
const MIN_TIMEOUT_VOTES: u32 = 10;
/// Weight of one shorter timeout in the usual timeout.
const TIMEOUT_WEIGHT: u32 = 32;

/// What decides on requests to a loaded target if the routing is contended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdmissionRule {
    /// Every request that is expected to be answered within its objective has a place, until the
    /// target has two and a half requests per slot.
    #[default]
    Capacity,
    /// The queue of a target is kept as short as the objectives ask for, and urgent requests may
    /// queue deeper. Under overload more responses are in time and fewer requests are served.
    Objective,
}

/// Urgency of a route among the routes of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Number of more urgent priorities of the service.
    pub rank: u32,
    /// Number of different priorities of the service.
    pub ranks: u32,
    /// Shortest latency objective of the routes that are at least as urgent. A request must not
    /// wait in a queue that makes these late.
    pub queue_objective: Duration,
}

/// Urgencies of the routes of each service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UrgencyTable {
    /// Priorities of each service with the shortest objective, the most urgent one first.
    by_service: HashMap<ServiceName, Vec<(u32, Duration)>>,
}

impl UrgencyTable {
    /// Collects the priorities of a routing.
    pub fn new(routing: &Routing) -> UrgencyTable {
        let mut by_service: HashMap<ServiceName, Vec<(u32, Duration)>> = HashMap::new();
        let routes = routing.routes.values().map(|item| &item.spec);
        for route in routes {
            for part in route.split.iter().filter(|part| part.weight > 0.0) {
                let kinds = by_service.entry(part.service.clone()).or_default();
                match kinds.iter_mut().find(|(p, _)| *p == route.priority) {
                    Some((_, objective)) => *objective = route.latency_objective.min(*objective),
                    None => kinds.push((route.priority, route.latency_objective)),
                }
            }
        }
        for kinds in by_service.values_mut() {
            kinds.sort_unstable();
        }
        UrgencyTable { by_service }
    }

    /// Urgency of a route of a service. A route that is not of the service is the only one of its
    /// priority.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::UrgencyTable;
    ///
    /// let objective = Duration::from_millis(500);
    /// let urgency = UrgencyTable::default().find("reads", 1, objective);
    /// assert_eq!((urgency.rank, urgency.ranks), (0, 1));
    /// ```
    pub fn find(&self, service: &str, priority: u32, objective: Duration) -> Urgency {
        let kinds = self.by_service.get(service).map_or(&[][..], |kinds| kinds);
        let urgent = kinds.iter().filter(|(other, _)| *other < priority);
        let least = kinds.iter().filter(|(other, _)| *other > priority);
        let as_urgent = kinds.iter().filter(|(other, _)| *other <= priority);
        let rank = urgent.count() as u32;
        Urgency {
            rank,
            ranks: rank + 1 + least.count() as u32,
            queue_objective: as_urgent.map(|(_, o)| *o).fold(objective, Duration::min),
        }
    }
}

/// What is known of a request when it is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Urgency of its route.
    pub urgency: Urgency,
    /// Time left until the latency objective, counted from the caller's first attempt; zero if it
    /// has passed.
    pub objective_left: Duration,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Whether the request has been sent already. Another attempt gets nothing from the guaranteed
    /// share.
    pub is_repeated: bool,
    /// How long the request may still wait in this VM.
    pub may_wait: Duration,
}

/// What is known of a target when a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Estimated requests at the target, running and queued, of all VMs.
    pub load: f64,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Expected latency of one more request in seconds.
    pub expected_latency: f64,
    /// Requests of this VM there.
    pub in_flight: usize,
    /// What this VM may send there by its part of the target's speed.
    pub pace: Pace,
    /// Whether the limits that are independent of the kind of request allow no more: this VM's
    /// share of the places, or its connections.
    pub is_full: bool,
}

/// What one VM may send to one target: its part of the speed of the target, with a correction that
/// brings the load to a goal near the slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Requests saved up; negative if more urgent requests exceeded the pace.
    tokens: f64,
    /// When they were counted.
    at: Duration,
}

impl Pace {
    /// The pace at a target that got no requests of this VM recently.
    pub const UNUSED: Pace = Pace {
        tokens: MAX_PACE_TOKENS,
        at: Duration::ZERO,
    };
}

/// Why a request was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionClass {
    /// The response is expected within the objective.
    InTime,
    /// The response may be late, but delays nobody, or only less urgent requests.
    Late,
    /// The guaranteed share of the level.
    Guaranteed,
}

/// A decision about a request at one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is sent.
    Admit(AdmissionClass),
    /// It may wait in this VM: a place is expected to be free within its waiting time.
    Wait(Duration),
    /// It is refused: a place is expected to be free after this time.
    Refuse(Duration),
}

impl LoadEstimate {
    /// Slots, requests beyond them with one more, and the latency of a request without a queue in
    /// seconds.
    fn queue(&self) -> (f64, f64, f64) {
        let slots = f64::from(self.slots.max(1));
        let queue = (self.load + 1.0 - slots).max(0.0);
        (slots, queue, self.expected_latency / (1.0 + queue / slots))
    }
}

impl Demand {
    /// Whether a response with this expected latency in seconds is likely to be in time.
    pub(crate) fn is_in_time(&self, expected: f64) -> bool {
        expected <= self.objective_left.as_secs_f64() * IN_TIME_FRACTION
    }

    /// Level of the request at a target with this expected latency. The first one is 0.
    fn level(&self, expected: f64) -> u32 {
        self.urgency.rank + u32::from(!self.is_in_time(expected))
    }

    /// Part of the objective within which a mean response must be expected, as a multiple of the
    /// latency of a request without a queue, `unit` in seconds.
    fn rounds(&self, unit: f64) -> f64 {
        self.urgency.queue_objective.as_secs_f64() * IN_TIME_FRACTION / unit
    }

    /// Load from which a target counts as loaded. The less of a queue the objective allows, the
    /// earlier: what other VMs send before the next load report must not exceed it.
    fn loaded_from(&self, slots: f64, unit: f64) -> f64 {
        slots * (self.rounds(unit) / LOADED_ROUNDS).min(1.0)
    }

    /// The estimate with the pace at this time. `vms` VMs send to the target.
    pub(crate) fn paced(&self, target: LoadEstimate, vms: u32, now: Duration) -> LoadEstimate {
        let (slots, _, unit) = target.queue();
        let goal = self.loaded_from(slots, unit) + slots * PACE_GOAL_MARGIN;
        let correction = (goal - target.load) / PACE_CORRECTION_TIME.as_secs_f64();
        let rate = (slots / unit + correction).max(0.0) / f64::from(vms.max(1));
        let time = now.saturating_sub(target.pace.at).as_secs_f64();
        let tokens = (target.pace.tokens + rate * time).min(MAX_PACE_TOKENS);
        LoadEstimate {
            pace: Pace { tokens, at: now },
            ..target
        }
    }

    /// Longest queue in which a request of a level may wait at a target. `unit` is the latency of a
    /// request without a queue in seconds.
    fn queue_limit(&self, level: u32, slots: f64, unit: f64) -> f64 {
        if level >= self.urgency.ranks {
            return 0.0;
        }
        let first = (self.rounds(unit) - 1.0).clamp(0.0, MAX_QUEUE_PER_SLOT);
        slots * first * LEVEL_FACTOR.powi(level as i32)
    }

    /// Requests by which the queue of a target, with one more, is longer than the request may find
    /// it; negative if it is shorter. Also the latency of a request without a queue in seconds.
    fn queue_excess(&self, target: &LoadEstimate) -> (f64, f64) {
        let (slots, queue, unit) = target.queue();
        let level = self.level(target.expected_latency);
        (queue - self.queue_limit(level, slots, unit), unit)
    }

    /// Time in which the excess queue of a target drains.
    pub(crate) fn drain(&self, target: &LoadEstimate) -> Duration {
        let (excess, unit) = self.queue_excess(target);
        Duration::from_secs_f64(excess.max(0.0) * unit / f64::from(target.slots.max(1)))
    }

    /// Decides on the request at a target.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::{
    ///     Admission, AdmissionClass, AdmissionShares, Demand, LoadEstimate, Pace, UrgencyTable,
    /// };
    ///
    /// let objective = Duration::from_millis(500);
    /// let demand = Demand {
    ///     urgency: UrgencyTable::default().find("reads", 0, objective),
    ///     objective_left: objective,
    ///     remaining: Duration::from_secs(3),
    ///     is_repeated: false,
    ///     may_wait: Duration::ZERO,
    /// };
    /// let target = LoadEstimate {
    ///     load: 2.0,
    ///     slots: 4,
    ///     expected_latency: 0.16,
    ///     in_flight: 0,
    ///     pace: Pace::UNUSED,
    ///     is_full: false,
    /// };
    /// let admitted = Admission::Admit(AdmissionClass::InTime);
    /// assert_eq!(demand.decide(&target, &AdmissionShares::default()), admitted);
    /// ```
    pub fn decide(&self, target: &LoadEstimate, shares: &AdmissionShares) -> Admission {
        let expected = target.expected_latency;
        let level = self.level(expected);
        let reserve = 1.0 + RESERVED_TOKENS * f64::from(level);
        let (slots, _, unit) = target.queue();
        let is_loaded = target.load + 1.0 > self.loaded_from(slots, unit);
        let is_ahead = level > 0 && is_loaded && target.pace.tokens < reserve;
        let (excess, _) = self.queue_excess(target);
        let drain = self.drain(target);
        if expected > self.remaining.as_secs_f64() * REMAINING_FRACTION {
            return Admission::Refuse(drain);
        }
        if target.is_full {
            // The next of this VM's own requests there makes room.
            return match target.in_flight > 0 && !self.may_wait.is_zero() {
                true => Admission::Wait(self.may_wait),
                false => Admission::Refuse(drain),
            };
        }
        if excess <= 0.0 && !is_ahead {
            return Admission::Admit(match self.is_in_time(expected) {
                true => AdmissionClass::InTime,
                false => AdmissionClass::Late,
            });
        }
        if !self.is_repeated && shares.has_guaranteed(level) {
            return Admission::Admit(AdmissionClass::Guaranteed);
        }
        match target.in_flight > 0 || drain < self.may_wait {
            true if self.may_wait.is_zero() => Admission::Refuse(drain),
            true if is_ahead => Admission::Wait(self.may_wait),
            true => Admission::Wait(drain.min(self.may_wait)),
            false => Admission::Refuse(drain),
        }
    }
}

/// Number of admissions by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Responses expected within the objective.
    pub in_time: u64,
    /// Responses that may be late.
    pub late: u64,
    /// Admissions from a guaranteed share.
    pub guaranteed: u64,
}

impl AdmissionCounts {
    /// Sum of both.
    pub(crate) fn sum(self, other: AdmissionCounts) -> AdmissionCounts {
        AdmissionCounts {
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            guaranteed: self.guaranteed + other.guaranteed,
        }
    }
}

/// What this VM admitted and refused of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionShares {
    /// Guaranteed admissions saved up by the levels from the second on.
    saved: Vec<f64>,
    /// Paces at single targets.
    paces: HashMap<TargetId, Pace>,
    /// Recent fraction of refused requests.
    refused: f64,
    counts: AdmissionCounts,
}

impl AdmissionShares {
    /// Whether a level has a guaranteed admission. The first level has none: nothing goes before it.
    fn has_guaranteed(&self, level: u32) -> bool {
        let index = (level as usize).checked_sub(1);
        index
            .and_then(|index| self.saved.get(index))
            .is_some_and(|saved| *saved >= MAX_SAVED_SHARE)
    }

    /// The pace of this VM at a target.
    pub(crate) fn pace(&self, target: &str) -> Pace {
        self.paces.get(target).copied().unwrap_or(Pace::UNUSED)
    }

    /// Records that a request was sent to a target, where the pace was this.
    pub(crate) fn record_pace(&mut self, target: &TargetId, pace: Pace) {
        let next = Pace {
            tokens: (pace.tokens - 1.0).max(MIN_PACE_TOKENS),
            ..pace
        };
        if self.paces.insert(target.clone(), next).is_none() {
            let is_recent = |at: Duration| pace.at.saturating_sub(at) < PACE_MEMORY;
            self.paces.retain(|_, other| is_recent(other.at));
        }
    }

    /// Records that a request was admitted at a target with this expected latency.
    pub fn record_admission(&mut self, demand: &Demand, expected: f64, class: AdmissionClass) {
        self.refused -= self.refused * REFUSAL_WEIGHT;
        match class {
            AdmissionClass::InTime => self.counts.in_time += 1,
            AdmissionClass::Late => self.counts.late += 1,
            AdmissionClass::Guaranteed => self.counts.guaranteed += 1,
        }
        self.saved.resize(demand.urgency.ranks as usize, 0.0);
        let level = demand.level(expected) as usize;
        for (index, saved) in self.saved.iter_mut().enumerate() {
            let is_own = index + 1 == level;
            *saved = match class {
                AdmissionClass::Guaranteed if is_own => 0.0,
                _ => (*saved + GUARANTEED_SHARE).min(MAX_SAVED_SHARE),
            };
        }
    }

    /// Records that a request was refused because of load.
    pub fn record_refusal(&mut self) {
        self.refused += (1.0 - self.refused) * REFUSAL_WEIGHT;
    }

    /// Admissions so far.
    pub fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// Suggested retry delay after a refusal because of load. `drain` is the time in which the
    /// queue gets short enough, `remaining` the time that the caller has left, and `random` from 0
    /// to 1.
    ///
    /// Callers come back within a window from `drain` on. Refused callers return to other VMs, so
    /// only time spreads them, and while many are refused, capacity is free only when those before
    /// them have been served or have given up: the window grows with the queue and with the
    /// fraction of requests refused recently.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::AdmissionShares;
    ///
    /// let shares = AdmissionShares::default();
    /// let delay = shares.retry_after(Duration::from_secs(1), Duration::from_millis(900), 1.0);
    /// assert_eq!(delay, Duration::from_millis(300));
    /// ```
    pub fn retry_after(&self, drain: Duration, remaining: Duration, random: f64) -> Duration {
        let longest = (remaining / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER);
        // A delay beyond the longest one is no reason to come back all at the longest.
        let first = drain.max(MIN_RETRY_AFTER).min(longest / 2);
        let window = first.max(MIN_RETRY_WINDOW) + longest.mul_f64(self.refused);
        let last = first.saturating_add(window).min(longest);
        let spread = last.saturating_sub(first).mul_f64(random);
        (first + spread).max(MIN_RETRY_AFTER)
    }
}

/// The timeout with which callers of each route come first, by which returning callers are
/// recognized: they have less time left.
///
/// Callers may state a longer timeout than the route's, so the route's alone does not show that a
/// caller came back.
#[derive(Clone, Debug, Default)]
pub struct UsualTimeouts {
    by_route: HashMap<RouteName, UsualTimeout>,
}

#[derive(Clone, Copy, Debug)]
struct UsualTimeout {
    timeout: Duration,
    votes: u32,
}

impl UsualTimeout {
    fn new(timeout: Duration) -> UsualTimeout {
        UsualTimeout {
            timeout,
            votes: REPEATED_TIMEOUT_VOTES,
        }
    }
}

impl UsualTimeouts {
    /// Records the timeout of a caller, and returns the time since its first attempt: how much it
    /// is shorter than the usual one, if that is known.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::UsualTimeouts;
    ///
    /// let mut timeouts = UsualTimeouts::default();
    /// let route = "reads".into();
    /// for _ in 0..3 {
    ///     timeouts.record(&route, Duration::from_secs(3));
    /// }
    /// let elapsed = timeouts.record(&route, Duration::from_millis(2400));
    /// assert_eq!(elapsed, Some(Duration::from_millis(600)));
    /// ```
    pub fn record(&mut self, route: &RouteName, timeout: Duration) -> Option<Duration> {
        let Some(usual) = self.by_route.get_mut(route) else {
            self.by_route
                .insert(route.clone(), UsualTimeout::new(timeout));
            return None;
        };
        let tolerance = usual.timeout.mul_f64(SAME_TIMEOUT_FRACTION);
        if timeout.abs_diff(usual.timeout) <= tolerance {
            usual.votes = (usual.votes + REPEATED_TIMEOUT_VOTES).min(MAX_TIMEOUT_VOTES);
            usual.timeout = match timeout >= usual.timeout {
                true => timeout,
                false => usual.timeout - (usual.timeout - timeout) / TIMEOUT_WEIGHT,
            };
        } else {
            usual.votes -= 1;
            if usual.votes == 0 {
                *usual = UsualTimeout::new(timeout);
            }
        }
        let is_known = usual.votes >= MIN_TIMEOUT_VOTES;
        is_known.then(|| usual.timeout.saturating_sub(timeout))
    }

    /// Forgets routes that are not in a routing.
    pub fn retain(&mut self, routing: &Routing) {
        self.by_route
            .retain(|name, _| routing.routes.contains_key(name));
    }
}
