//! Load balancing of requests without a key.

pub mod baseline;

use std::time::Duration;

use camphordale_types::TargetId;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

/// Maximum relative increase of a target's cost due to its reported load. Reports are delayed and
/// may be wrong, so the sender's own measurements must outweigh them.
const MAX_REPORT_BIAS: f64 = 0.25;

/// Bounds of the cost factor derived from a target's latency relative to the mean.
const LATENCY_FACTOR_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Fraction of its share that a target gets at the start of its warm-up.
const MIN_WARM_FRACTION: f64 = 0.05;

/// A target, as observed by the sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its session id.
    pub id: TargetId,
    /// Requests from this sender in flight to it.
    pub in_flight: u32,
    /// Number of its slots that this VM may use.
    pub slot_share: u32,
    /// Exponentially weighted moving average of the latency observed by this sender; zero if
    /// unknown.
    pub latency_ewma: Duration,
    /// Fraction of its capacity in use according to its own report, 0.0 to 1.0.
    pub reported_load: f32,
    /// Fraction of its share that may be used while it warms up, 0.0 to 1.0.
    pub warm_fraction: f32,
    /// Whether it recently failed to respond.
    pub suspect: bool,
}

impl Candidate {
    /// Returns the number of slots usable at the current stage of warm-up; at least one if the
    /// share is not 0.
    pub fn usable_slots(&self) -> u32 {
        // The product is computed in f32, because in f64 a tenth of ten slots is slightly more than
        // one and would be rounded up to two.
        (self.slot_share as f32 * self.warm_fraction.clamp(MIN_WARM_FRACTION as f32, 1.0)).ceil()
            as u32
    }

    /// Returns whether it has a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.in_flight < self.usable_slots()
    }
}

/// Picks the target with the lowest expected response time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use camphordale_placement::{Candidate, LoadBalancer};
///
/// let candidate = |id, in_flight| Candidate {
///     id,
///     in_flight,
///     slot_share: 4,
///     latency_ewma: Duration::from_millis(2),
///     reported_load: 0.0,
///     warm_fraction: 1.0,
///     suspect: false,
/// };
/// let mut balancer = LoadBalancer::new(1);
/// assert_eq!(balancer.pick(&[candidate(1, 3), candidate(2, 1)]), Some(2));
/// assert_eq!(balancer.pick(&[candidate(1, 4)]), None);
/// ```
#[derive(Clone, Debug)]
pub struct LoadBalancer {
    random: StdRng,
}

impl LoadBalancer {
    /// Creates a load balancer whose random choices are derived from `seed`.
    pub fn new(seed: u64) -> Self {
        LoadBalancer {
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the candidate with a free slot and the lowest cost. Suspects are considered only if
    /// there are no other candidates.
    pub fn pick(&mut self, candidates: &[Candidate]) -> Option<TargetId> {
        let any_trusted = candidates.iter().any(|c| !c.suspect && c.slot_share > 0);
        let usable = || candidates.iter().filter(|c| !(any_trusted && c.suspect));
        let latencies: Vec<f64> = usable()
            .map(|c| c.latency_ewma.as_secs_f64())
            .filter(|&latency| latency > 0.0)
            .collect();
        let mean = latencies.iter().sum::<f64>() / latencies.len().max(1) as f64;
        let mut best: Option<(f64, TargetId)> = None;
        let mut ties = 0u32;
        for candidate in usable().filter(|c| c.has_free_slot()) {
            let cost = cost(candidate, mean);
            match best {
                Some((lowest, _)) if cost > lowest => {}
                Some((lowest, _)) if cost == lowest => {
                    // Reservoir sampling: candidates with equal cost are picked with equal
                    // probability.
                    ties += 1;
                    if self.random.random_range(0..ties) == 0 {
                        best = Some((cost, candidate.id));
                    }
                }
                _ => {
                    ties = 1;
                    best = Some((cost, candidate.id));
                }
            }
        }
        best.map(|(_, id)| id)
    }
}

/// Returns the expected response time of one more request, in units of the mean latency.
fn cost(candidate: &Candidate, mean: f64) -> f64 {
    let latency = candidate.latency_ewma.as_secs_f64();
    let factor = if latency > 0.0 && mean > 0.0 {
        (latency / mean).clamp(LATENCY_FACTOR_BOUNDS.0, LATENCY_FACTOR_BOUNDS.1)
    } else {
        1.0
    };
    let warm = f64::from(candidate.warm_fraction).clamp(MIN_WARM_FRACTION, 1.0);
    let queue = f64::from(candidate.in_flight + 1) / (f64::from(candidate.slot_share) * warm);
    let report = f64::from(candidate.reported_load);
    let report = if report.is_finite() {
        report.clamp(0.0, 1.0)
    } else {
        0.0
    };
    queue * factor * (1.0 + MAX_REPORT_BIAS * report)
}
