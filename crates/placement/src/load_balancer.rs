//! Choice of a target for a request without a key.

pub mod baseline;

use std::time::Duration;

use camphordale_types::TargetId;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

/// How far a reported load can raise the cost of a target. Reports lag and can mislead, so what
/// the sender sees must outweigh them.
const REPORT_BIAS: f64 = 0.25;

/// Bounds of the factor by which a target's latency relative to the mean changes its cost.
const LATENCY_FACTOR: (f64, f64) = (0.5, 8.0);

/// Part of its share that a target gets at the start of its warm-up.
const LEAST_WARM: f64 = 0.05;

/// A target as the sender sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its session.
    pub id: TargetId,
    /// Requests of this sender that it runs.
    pub in_flight: u32,
    /// Slots that this VM may use.
    pub share: u32,
    /// Exponentially weighted mean of the latency this sender saw; zero when unknown.
    pub latency_ewma: Duration,
    /// Share of its capacity in use by its own report, 0.0 to 1.0.
    pub reported_load: f32,
    /// Part of its share that may be used while it warms up, 0.0 to 1.0.
    pub warm_fraction: f32,
    /// Whether it recently failed to answer.
    pub suspect: bool,
}

impl Candidate {
    /// Returns the slots that may be used during warm-up; at least one while the share is not 0.
    pub fn usable_slots(&self) -> u32 {
        // In f64 a tenth of ten slots would be a little above one and count as two.
        (self.share as f32 * self.warm_fraction.clamp(LEAST_WARM as f32, 1.0)).ceil() as u32
    }

    /// Tells whether it has a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.in_flight < self.usable_slots()
    }
}

/// Picks the target that will probably answer first.
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
///     share: 4,
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
    /// Creates a chooser that draws from `seed`.
    pub fn new(seed: u64) -> Self {
        LoadBalancer {
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the best candidate with a free slot; suspects are used only when there is no other
    /// candidate at all.
    pub fn pick(&mut self, candidates: &[Candidate]) -> Option<TargetId> {
        let trusted = candidates.iter().any(|c| !c.suspect && c.share > 0);
        let usable = || candidates.iter().filter(|c| !(trusted && c.suspect));
        let known: Vec<f64> = usable()
            .map(|c| c.latency_ewma.as_secs_f64())
            .filter(|&latency| latency > 0.0)
            .collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let mut best: Option<(f64, TargetId)> = None;
        let mut ties = 0u32;
        for candidate in usable().filter(|c| c.has_free_slot()) {
            let cost = cost(candidate, mean);
            match best {
                Some((least, _)) if cost > least => {}
                Some((least, _)) if cost == least => {
                    // Every one of the equal candidates is taken with the same probability.
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

/// Expected time until a further request is answered, in units of the mean latency.
fn cost(candidate: &Candidate, mean: f64) -> f64 {
    let latency = candidate.latency_ewma.as_secs_f64();
    let factor = if latency > 0.0 && mean > 0.0 {
        (latency / mean).clamp(LATENCY_FACTOR.0, LATENCY_FACTOR.1)
    } else {
        1.0
    };
    let warm = f64::from(candidate.warm_fraction).clamp(LEAST_WARM, 1.0);
    let queue = f64::from(candidate.in_flight + 1) / (f64::from(candidate.share) * warm);
    let report = f64::from(candidate.reported_load);
    let report = if report.is_finite() {
        report.clamp(0.0, 1.0)
    } else {
        0.0
    };
    queue * factor * (1.0 + REPORT_BIAS * report)
}
