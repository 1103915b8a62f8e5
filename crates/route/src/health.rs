//! Passive and active health checks of a target: latency, refusals, broken connections, probes.

use std::time::Duration;

/// Weight of a new sample in the moving average of the latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;
/// Latency assumed of a target without samples, and lower bound of the estimate.
const MIN_LATENCY_SECS: f64 = 0.001;
/// Half-life of an unused latency estimate, so that a recovered target is tried again.
const LATENCY_HALF_LIFE_SECS: f64 = 1.0;
/// Half-life of the number of refusals.
const REFUSAL_HALF_LIFE_SECS: f64 = 1.0;
/// Two broken connections within this time cause a probe.
const BROKEN_WINDOW: Duration = Duration::from_secs(2);
/// Minimum time between two probes of a target.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time without a response, with requests in flight, after which a target is probed. A
/// frozen target must be detected within 1 s, and request deadlines can be much longer.
const MIN_UNRESPONSIVE: Duration = Duration::from_millis(300);
/// The time without a response must also reach this multiple of the average latency.
const UNRESPONSIVE_LATENCIES: f64 = 8.0;
/// Upper bound of the time for which nothing is sent during a probe.
const MAX_PROBE_BACKOFF: Duration = Duration::from_millis(300);
/// Time for which nothing is sent to a target that failed a probe.
const SUSPECT_BACKOFF: Duration = Duration::from_secs(1);
/// Backoff after a target shed a request or refused a connection; it doubles with each refusal.
const MIN_BACKOFF: Duration = Duration::from_millis(5);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(160);

/// Health of one target as observed by this VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    latency: f64,
    sampled_at: Duration,
    refusals: f64,
    refused_at: Duration,
    broken_at: Option<Duration>,
    probed_at: Option<Duration>,
    /// Start time of the last probe, if it succeeded.
    answered_probe: Option<Duration>,
    /// When the last probe failed, if the target has not responded since.
    suspected_at: Option<Duration>,
    backoff_until: Duration,
    backoff: Duration,
    /// Time at which a request last ended, or started with no other in flight.
    last_progress: Duration,
    /// Load last reported by the target.
    pub(crate) load: f32,
    /// Start of the warm-up; `None` for a target that the first view of this VM listed already.
    joined: Option<Duration>,
}

impl Health {
    /// Creates the health of a target that joined at `joined`, or before the first view of this VM.
    pub(crate) fn new(joined: Option<Duration>) -> Self {
        Health {
            joined,
            ..Health::default()
        }
    }

    /// Records a response that arrived after `elapsed`.
    pub(crate) fn record_response(&mut self, elapsed: Duration, now: Duration) {
        self.sample(elapsed, now);
        self.backoff = Duration::ZERO;
        self.broken_at = None;
        self.suspected_at = None;
    }

    /// Records a refusal and starts a backoff; returns its end.
    pub(crate) fn record_refusal(&mut self, now: Duration) -> Duration {
        self.refusals = self.refusals(now) + 1.0;
        self.refused_at = now;
        self.last_progress = now;
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff_until = self.backoff_until.max(now + self.backoff);
        self.backoff_until
    }

    /// Records a request that ran into its deadline; returns whether a probe is due.
    pub(crate) fn record_timeout(&mut self, elapsed: Duration, now: Duration) -> bool {
        self.sample(elapsed, now);
        self.may_probe(now)
    }

    /// Records a broken connection; returns whether a probe is due.
    pub(crate) fn record_broken(&mut self, now: Duration) -> bool {
        self.last_progress = now;
        let second = self.broken_at.is_some_and(|at| now < at + BROKEN_WINDOW);
        self.broken_at = Some(now);
        second && self.may_probe(now)
    }

    /// Records the start of a request with no other in flight.
    pub(crate) fn record_start(&mut self, now: Duration) {
        self.last_progress = now;
    }

    /// Returns whether requests in flight have had no response for so long that a probe is due.
    pub(crate) fn is_unresponsive(&self, now: Duration) -> bool {
        now >= self.last_progress + self.unresponsive_after() && self.may_probe(now)
    }

    /// Returns the time without a response after which the target counts as unresponsive.
    fn unresponsive_after(&self) -> Duration {
        let usual =
            Duration::try_from_secs_f64(self.latency * UNRESPONSIVE_LATENCIES).unwrap_or_default();
        MIN_UNRESPONSIVE.max(usual)
    }

    /// Records the start of a probe and returns the end of the backoff that it causes.
    pub(crate) fn record_probe(&mut self, now: Duration) -> Duration {
        self.probed_at = Some(now);
        self.backoff_until = self.backoff_until.max(now + MAX_PROBE_BACKOFF);
        self.backoff_until
    }

    /// Records the result of a probe and returns the end of the backoff that it causes.
    pub(crate) fn record_probe_result(&mut self, alive: bool, now: Duration) -> Duration {
        self.broken_at = None;
        self.suspected_at = (!alive).then_some(now);
        self.last_progress = now;
        self.answered_probe = if alive { self.probed_at } else { None };
        self.backoff_until = if alive { now } else { now + SUSPECT_BACKOFF };
        self.backoff_until
    }

    /// Returns whether a request that was started at `started` is on a dead connection: it had no
    /// response for long, and the target has answered a probe on a newer connection since.
    pub(crate) fn is_stuck(&self, started: Duration, now: Duration) -> bool {
        self.answered_probe.is_some_and(|at| started < at)
            && now >= started + self.unresponsive_after()
    }

    /// Returns whether the target has failed a probe since `started` and not responded after it.
    pub(crate) fn is_suspect_since(&self, started: Duration) -> bool {
        self.suspected_at.is_some_and(|at| started <= at)
    }

    /// Returns whether the last probe failed and the target has not responded since.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspected_at.is_some()
    }

    /// Returns whether new requests are not sent for now.
    pub(crate) fn is_backing_off(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    /// Returns the expected latency of a request, in seconds.
    pub(crate) fn latency(&self, now: Duration) -> f64 {
        decayed(self.latency, self.sampled_at, now, LATENCY_HALF_LIFE_SECS).max(MIN_LATENCY_SECS)
    }

    /// Returns the exponentially decayed number of refusals.
    pub(crate) fn refusals(&self, now: Duration) -> f64 {
        decayed(self.refusals, self.refused_at, now, REFUSAL_HALF_LIFE_SECS)
    }

    /// Returns the fraction of its share that the target gets: 0.05 at the start of the warm-up, 1
    /// at its end.
    pub(crate) fn warm_up_factor(&self, warm_up: Duration, now: Duration) -> f64 {
        match self.joined {
            Some(joined) if !warm_up.is_zero() => {
                let age = now.saturating_sub(joined).as_secs_f64();
                (age / warm_up.as_secs_f64()).clamp(0.05, 1.0)
            }
            _ => 1.0,
        }
    }

    fn may_probe(&self, now: Duration) -> bool {
        // The start of the last probe counts, so a lost result does not prevent the next probe.
        self.probed_at.is_none_or(|at| now >= at + PROBE_INTERVAL)
    }

    fn sample(&mut self, elapsed: Duration, now: Duration) {
        let elapsed = elapsed.as_secs_f64();
        self.latency = if self.latency == 0.0 {
            elapsed
        } else {
            self.latency + LATENCY_SAMPLE_WEIGHT * (elapsed - self.latency)
        };
        self.sampled_at = now;
        self.last_progress = now;
    }
}

fn decayed(value: f64, since: Duration, now: Duration, half_life: f64) -> f64 {
    let idle = now.saturating_sub(since).as_secs_f64();
    // Avoids the cost of `exp2` for values that were updated just now.
    if value == 0.0 || idle < 0.05 {
        value
    } else {
        value * (-idle / half_life).exp2()
    }
}
