//! Limits that targets set on the requests of all entry VMs together.
//!
//! A target in need states in its answers how many requests a second it takes. One entry VM sees its
//! own requests only, so the leader hands out rights to send, one for each request. An entry VM asks
//! for as many as it needs, so that the rights follow demand.
//!
//! # Bound
//!
//! A target with limit `L` gets at most `L * (w + RIGHT_LIFETIME) + 1 + L / 2` requests in any time
//! `w`: rights are granted from a token bucket with rate `L` and size `1 + L / 2`, and a right is
//! used within [`RIGHT_LIFETIME`] after it was asked for, by the clock of the VM that asked. A new
//! leader starts with empty buckets. Its rights and the unused ones of its predecessor therefore
//! keep the same bound.
//!
//! A cold target has a limit too, with shorter rights and a smaller bucket
//! ([`WarmUpBounds`](crate::WarmUpBounds)). If it also states one, the lower one holds.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    registry::Holder,
    state::View,
    warm_up::COLD_BURST_SECONDS, //
};

/// Time for which a right to send can be used, from when it was asked for.
pub const RIGHT_LIFETIME: Duration = Duration::from_secs(1);
/// Highest rate that counts as a limit, in requests per second. No target serves as many.
const MAX_RATE: f64 = 1e6;
/// Rights that are kept for later, as seconds of the limit; one more is always kept.
const BURST_SECONDS: f64 = 0.5;
/// Fraction of the free rights that one entry VM gets at once, if there are several.
const GRANT_FRACTION: f64 = 0.5;

/// Time for which an entry VM waits for rights to send to a cold target: requests with an objective of
/// half a second wait for as long.
const WAIT_LIFETIME: Duration = Duration::from_millis(120);

/// A limit on requests, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// A number that is no limit on requests.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{0} is no number of requests per second")]
pub struct InvalidRate(f64);

impl RequestRate {
    /// Highest rate that counts as a limit.
    pub const MAX: RequestRate = RequestRate(MAX_RATE);
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    /// Checks a rate in requests per second.
    ///
    /// ```
    /// use camphordale_fleet::RequestRate;
    ///
    /// assert_eq!(RequestRate::try_from(3.5).map(f64::from), Ok(3.5));
    /// assert!(RequestRate::try_from(-1.0).is_err());
    /// assert!(RequestRate::try_from(f64::NAN).is_err());
    /// ```
    fn try_from(value: f64) -> Result<RequestRate, InvalidRate> {
        match (0.0..=MAX_RATE).contains(&value) {
            true => Ok(RequestRate(value)),
            false => Err(InvalidRate(value)),
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> f64 {
        rate.0
    }
}

/// What a target stated about its limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatedLimit {
    /// The target.
    pub holder: Holder,
    /// Its limit, or `None` if it no longer states one.
    pub limit: Option<RequestRate>,
    /// Time since it stated this.
    pub age: Duration,
}

/// The rights that are left of one target.
#[derive(Clone, Debug)]
struct TokenBucket {
    /// What the target stated.
    limit: Option<RequestRate>,
    /// Limit because the target is cold.
    cold: Option<RequestRate>,
    /// When the target stated the limit, by the leader's clock.
    stated_at: Duration,
    tokens: f64,
    updated: Duration,
    /// Entry VMs that wait for rights to send to a cold target, oldest first.
    waiting: Vec<WaitingRequest>,
}

/// A request of an entry VM for rights to send to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RightRequest {
    /// Its stream.
    pub conn: u64,
    /// Time of sending by its clock.
    pub sent: Duration,
    /// Number of rights.
    pub wanted: u16,
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    request: RightRequest,
    until: Duration,
}

impl TokenBucket {
    /// The limit in force.
    fn rate(&self) -> Option<RequestRate> {
        lower_limit(self.limit, self.cold)
    }

    fn refill(&mut self, now: Duration) {
        let rate = self.rate().map_or(0.0, f64::from);
        let burst = match self.cold {
            Some(_) => COLD_BURST_SECONDS,
            None => BURST_SECONDS,
        };
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.tokens = (self.tokens + passed * rate).min(1.0 + rate * burst);
    }

    fn grant(&mut self, wanted: u16, now: Duration) -> u16 {
        if self.rate().is_none() {
            return 0;
        }
        self.refill(now);
        let free = self.tokens.floor();
        let share = (free * GRANT_FRACTION).ceil();
        let granted = f64::from(wanted).min(share) as u16;
        self.tokens -= f64::from(granted);
        granted
    }
}

/// The lower one of two limits.
///
/// ```
/// use camphordale_fleet::{RequestRate, lower_limit};
///
/// let limit = RequestRate::try_from(2.0).ok();
/// assert_eq!(lower_limit(None, limit), limit);
/// assert_eq!(lower_limit(limit, Some(RequestRate::MAX)), limit);
/// ```
pub fn lower_limit(one: Option<RequestRate>, other: Option<RequestRate>) -> Option<RequestRate> {
    match (one, other) {
        (Some(one), Some(other)) if one < other => Some(one),
        (one, None) => one,
        (_, other) => other,
    }
}

/// The limits that a leader knows, and the rights that it has granted.
#[derive(Debug, Default)]
pub struct LimitLedger {
    buckets: BTreeMap<Holder, TokenBucket>,
    /// Targets for whose rights entry VMs wait.
    waiting: BTreeSet<Holder>,
}

impl LimitLedger {
    /// Records what a target stated. Returns whether its limit is another one than before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_fleet::{Holder, LimitLedger, RequestRate, StatedLimit};
    ///
    /// let holder = Holder { id: "t1".into(), incarnation: 1 };
    /// let limit = RequestRate::try_from(10.0).ok();
    /// let stated = StatedLimit { holder: holder.clone(), limit, age: Duration::ZERO };
    /// let mut ledger = LimitLedger::default();
    /// assert!(ledger.record(&stated, Duration::from_secs(1)));
    /// assert_eq!(ledger.grant(&holder, 5, Duration::from_secs(1)), 0);
    /// assert_eq!(ledger.grant(&holder, 5, Duration::from_secs(2)), 3);
    /// ```
    pub fn record(&mut self, stated: &StatedLimit, now: Duration) -> bool {
        let stated_at = now.saturating_sub(stated.age);
        let Some(bucket) = self.buckets.get_mut(&stated.holder) else {
            let bucket = TokenBucket {
                limit: stated.limit,
                cold: None,
                stated_at,
                tokens: 0.0,
                updated: now,
                waiting: Vec::new(),
            };
            self.buckets.insert(stated.holder.clone(), bucket);
            return stated.limit.is_some();
        };
        if stated_at < bucket.stated_at {
            return false;
        }
        bucket.stated_at = stated_at;
        if bucket.limit == stated.limit {
            return false;
        }
        bucket.refill(now);
        bucket.limit = stated.limit;
        // What was saved up under a higher limit is more than the new one allows.
        bucket.refill(now);
        true
    }

    /// Sets the limit of a target that is cold, or removes it. A target that turns cold gets no rights
    /// for what was saved up before.
    pub fn set_cold(&mut self, holder: &Holder, cold: Option<RequestRate>, now: Duration) {
        let Some(bucket) = self.buckets.get_mut(holder) else {
            if cold.is_some() {
                let bucket = TokenBucket {
                    limit: None,
                    cold,
                    stated_at: Duration::ZERO,
                    tokens: 0.0,
                    updated: now,
                    waiting: Vec::new(),
                };
                self.buckets.insert(holder.clone(), bucket);
            }
            return;
        };
        if bucket.cold == cold {
            return;
        }
        bucket.refill(now);
        if bucket.cold.is_none() {
            bucket.tokens = 0.0;
        }
        bucket.cold = cold;
        bucket.refill(now);
    }

    /// Grants up to `wanted` rights to send to a target. `now` must be certain to be a time at which
    /// no other leader grants any.
    pub fn grant(&mut self, holder: &Holder, wanted: u16, now: Duration) -> u16 {
        let Some(bucket) = self.buckets.get_mut(holder) else {
            return 0;
        };
        bucket.grant(wanted, now)
    }

    /// Grants rights like [`LimitLedger::grant`]. If a cold target has too few, the entry VM waits for
    /// the rest: its requests wait too, but not for long, and rights that nobody waits for are lost.
    pub fn grant_or_wait(&mut self, holder: &Holder, request: RightRequest, now: Duration) -> u16 {
        let granted = self.grant(holder, request.wanted, now);
        let bucket = self.buckets.get_mut(holder);
        if let Some(bucket) = bucket.filter(|bucket| bucket.cold.is_some()) {
            bucket.waiting.retain(|w| w.request.conn != request.conn);
            let wanted = request.wanted - granted;
            if wanted > 0 {
                self.waiting.insert(holder.clone());
                bucket.waiting.push(WaitingRequest {
                    request: RightRequest { wanted, ..request },
                    until: now + WAIT_LIFETIME,
                });
            }
        }
        granted
    }

    /// Grants rights that have become free to entry VMs that wait for them, the newest first: their
    /// requests have the most time left. `now` must be as certain as for [`LimitLedger::grant`].
    pub fn serve_waiting(&mut self, now: Duration) -> Vec<(Holder, RightRequest)> {
        let mut out = Vec::new();
        self.waiting.retain(|holder| {
            let Some(bucket) = self.buckets.get_mut(holder) else {
                return false;
            };
            let is_cold = bucket.cold.is_some();
            bucket.waiting.retain(|w| is_cold && now < w.until);
            while let Some(last) = bucket.waiting.last().copied() {
                let granted = bucket.grant(last.request.wanted, now);
                if granted == 0 {
                    break;
                }
                bucket.waiting.pop();
                let wanted = last.request.wanted - granted;
                if wanted > 0 {
                    let request = RightRequest {
                        wanted,
                        ..last.request
                    };
                    bucket.waiting.insert(0, WaitingRequest { request, ..last });
                }
                let request = RightRequest {
                    wanted: granted,
                    ..last.request
                };
                out.push((holder.clone(), request));
            }
            !bucket.waiting.is_empty()
        });
        out
    }

    /// What the targets that have a limit stated last, oldest id first.
    pub fn stated(&self, now: Duration) -> Vec<StatedLimit> {
        let limited = self.buckets.iter().filter(|(_, b)| b.limit.is_some());
        limited
            .filter_map(|(holder, _)| self.stated_by(holder, now))
            .collect()
    }

    /// What a target stated last.
    pub fn stated_by(&self, holder: &Holder, now: Duration) -> Option<StatedLimit> {
        let bucket = self.buckets.get(holder)?;
        Some(StatedLimit {
            holder: holder.clone(),
            limit: bucket.limit,
            age: now.saturating_sub(bucket.stated_at),
        })
    }

    /// Forgets incarnations that are not registered any more.
    pub fn retain_current(&mut self, view: &View) {
        self.buckets.retain(|holder, _| view.is_current(holder));
    }
}
