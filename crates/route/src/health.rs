//! What this VM observes of a target: latency, refusals, broken connections, probes.

use std::time::Duration;

/// Weight of a new latency sample.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Latency assumed of a target without samples, and the least that is assumed.
const LEAST_LATENCY: f64 = 0.001;
/// Time in which an unused latency estimate halves, so that a recovered target is tried again.
const LATENCY_HALF_LIFE: f64 = 1.0;
/// Time in which the weight of past refusals halves.
const REFUSAL_HALF_LIFE: f64 = 1.0;
/// Time within which two broken connections lead to a probe.
const BROKEN_WINDOW: Duration = Duration::from_secs(2);
/// Least time between two probes of a target.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Time without any answer, with requests in flight, that leads to a probe. A frozen target is to
/// be found within 1 s, and request deadlines can be much longer.
const SILENCE: Duration = Duration::from_millis(300);
/// Multiple of the usual latency that silence must reach as well.
const SILENCE_FACTOR: f64 = 8.0;
/// Longest time for which nothing is sent while a probe runs.
const PROBE_HOLD: Duration = Duration::from_millis(300);
/// Time for which nothing is sent to a target that did not answer a probe.
const SUSPECT_HOLD: Duration = Duration::from_secs(1);
/// First pause after a target shed a request or refused a connection; it doubles up to the most.
const BACKOFF_FIRST: Duration = Duration::from_millis(5);
/// Longest pause after a refusal.
const BACKOFF_MOST: Duration = Duration::from_millis(160);

/// Observations of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    latency: f64,
    sampled: Duration,
    refusals: f64,
    refused: Duration,
    broken: Option<Duration>,
    probed: Option<Duration>,
    /// Start of the last probe that was answered.
    answered: Option<Duration>,
    hold_until: Duration,
    backoff: Duration,
    /// Last time a request ended, or started while no other was in flight.
    progress: Duration,
    /// Last reported load.
    pub(crate) load: f32,
    /// Start of the warm-up; none for a target that was there before this VM's first view.
    joined: Option<Duration>,
}

impl Health {
    /// Returns the health of a target that joined at `joined`, or long before this VM's start.
    pub(crate) fn new(joined: Option<Duration>) -> Self {
        Health {
            joined,
            ..Health::default()
        }
    }

    /// Records an answer after `took`.
    pub(crate) fn answered(&mut self, took: Duration, now: Duration) {
        self.sample(took, now);
        self.backoff = Duration::ZERO;
        self.broken = None;
    }

    /// Records a refusal and starts a pause; returns its end.
    pub(crate) fn refused(&mut self, now: Duration) -> Duration {
        self.refusals = self.refusals(now) + 1.0;
        self.refused = now;
        self.progress = now;
        self.backoff = (self.backoff * 2).clamp(BACKOFF_FIRST, BACKOFF_MOST);
        self.hold_until = self.hold_until.max(now + self.backoff);
        self.hold_until
    }

    /// Records a request that ran into its deadline; a probe is due.
    pub(crate) fn timed_out(&mut self, took: Duration, now: Duration) -> bool {
        self.sample(took, now);
        self.may_probe(now)
    }

    /// Records a broken connection; returns whether a probe is due.
    pub(crate) fn broke(&mut self, now: Duration) -> bool {
        self.progress = now;
        let second = self.broken.is_some_and(|at| now < at + BROKEN_WINDOW);
        self.broken = Some(now);
        second && self.may_probe(now)
    }

    /// Records the start of the only request in flight.
    pub(crate) fn started(&mut self, now: Duration) {
        self.progress = now;
    }

    /// Tells whether requests in flight have seen no answer for so long that a probe is due.
    pub(crate) fn is_silent(&self, now: Duration) -> bool {
        now >= self.progress + self.silence() && self.may_probe(now)
    }

    /// Returns the time without an answer that is out of the ordinary.
    fn silence(&self) -> Duration {
        let usual = Duration::try_from_secs_f64(self.latency * SILENCE_FACTOR).unwrap_or_default();
        SILENCE.max(usual)
    }

    /// Records the start of a probe and returns the end of the pause that it causes.
    pub(crate) fn probe(&mut self, now: Duration) -> Duration {
        self.probed = Some(now);
        self.hold_until = self.hold_until.max(now + PROBE_HOLD);
        self.hold_until
    }

    /// Records the result of a probe and returns the end of the pause that it causes.
    pub(crate) fn probe_ended(&mut self, alive: bool, now: Duration) -> Duration {
        self.broken = None;
        self.progress = now;
        self.answered = if alive { self.probed } else { None };
        self.hold_until = if alive { now } else { now + SUSPECT_HOLD };
        self.hold_until
    }

    /// Tells whether a request that was started at `started` is on a connection that lost its way:
    /// it has been silent for long, and the target answered on a newer connection since.
    pub(crate) fn is_stuck(&self, started: Duration, now: Duration) -> bool {
        self.answered.is_some_and(|at| started < at) && now >= started + self.silence()
    }

    /// Tells whether new sends are held back.
    pub(crate) fn is_held(&self, now: Duration) -> bool {
        now < self.hold_until
    }

    /// Expected time of a request in seconds.
    pub(crate) fn latency(&self, now: Duration) -> f64 {
        decayed(self.latency, self.sampled, now, LATENCY_HALF_LIFE).max(LEAST_LATENCY)
    }

    /// Recent refusals, decayed.
    pub(crate) fn refusals(&self, now: Duration) -> f64 {
        decayed(self.refusals, self.refused, now, REFUSAL_HALF_LIFE)
    }

    /// Share of full load during the warm-up, from above 0 to 1.
    pub(crate) fn warmth(&self, warm_up: Duration, now: Duration) -> f64 {
        match self.joined {
            Some(joined) if !warm_up.is_zero() => {
                let age = now.saturating_sub(joined).as_secs_f64();
                (age / warm_up.as_secs_f64()).clamp(0.05, 1.0)
            }
            _ => 1.0,
        }
    }

    fn may_probe(&self, now: Duration) -> bool {
        // A probe whose result never came does not prevent the next one.
        self.probed.is_none_or(|at| now >= at + PROBE_EVERY)
    }

    fn sample(&mut self, took: Duration, now: Duration) {
        let took = took.as_secs_f64();
        self.latency = if self.latency == 0.0 {
            took
        } else {
            self.latency + SAMPLE_WEIGHT * (took - self.latency)
        };
        self.sampled = now;
        self.progress = now;
    }
}

fn decayed(value: f64, since: Duration, now: Duration, half_life: f64) -> f64 {
    let idle = now.saturating_sub(since).as_secs_f64();
    // Skips the power function for values in constant use.
    if value == 0.0 || idle < 0.05 {
        value
    } else {
        value * (-idle / half_life).exp2()
    }
}
