//! Loads of targets during a placement.

use camphordale_types::Side;

use crate::{
    PlacementInput,
    Target, //
};

/// Minimum fraction of a target's slots that counts as capacity, so that a cold target can get its
/// first shards.
const MIN_WARM_FRACTION: f64 = 0.05;

/// Fraction of the mean rate that is added to every shard's own rate, so that idle shards are
/// spread over the targets as well.
const BASE_RATE_FRACTION: f64 = 0.02;

/// Load of each target relative to its capacity; 1.0 is the mean of its side.
pub(crate) struct Loads {
    /// Weight of each shard, proportional to its rate with a mean of 1.0.
    pub(crate) weights: Vec<f64>,
    /// Capacity of each target.
    pub(crate) capacity: Vec<f64>,
    /// Total weight of the shards of each target.
    pub(crate) load: Vec<f64>,
    /// For each target, the mean weight per unit of capacity on the target's side.
    pub(crate) mean: Vec<f64>,
}

/// Returns the weight of each shard.
pub(crate) fn weights(rates: &[f64]) -> Vec<f64> {
    let sanitize = |rate: f64| if rate.is_finite() { rate.max(0.0) } else { 0.0 };
    let total: f64 = rates.iter().copied().map(sanitize).sum();
    if total <= 0.0 {
        return vec![1.0; rates.len()];
    }
    let mean = total / rates.len() as f64;
    rates
        .iter()
        .map(|&rate| (sanitize(rate) / mean + BASE_RATE_FRACTION) / (1.0 + BASE_RATE_FRACTION))
        .collect()
}

/// Returns the capacity of a target.
pub(crate) fn capacity(target: &Target) -> f64 {
    let warm = if target.warm_fraction.is_finite() {
        target.warm_fraction.clamp(MIN_WARM_FRACTION, 1.0)
    } else {
        1.0
    };
    f64::from(target.slots.max(1)) * warm
}

impl Loads {
    /// Computes the weights and an empty assignment.
    pub(crate) fn new(input: &PlacementInput) -> Self {
        let rates: Vec<f64> = input.shards.iter().map(|s| s.rate).collect();
        let weights = weights(&rates);
        let capacity: Vec<f64> = input.targets.iter().map(capacity).collect();
        let side_mean = |side: Side| {
            let shards = input.shards.iter().zip(&weights);
            let weight: f64 = shards
                .filter(|(shard, _)| shard.side == side)
                .map(|(_, weight)| weight)
                .sum();
            let targets = input.targets.iter().zip(&capacity);
            let capacity: f64 = targets
                .filter(|(target, _)| target.side == side && target.assignable)
                .map(|(_, capacity)| capacity)
                .sum();
            if capacity > 0.0 {
                weight / capacity
            } else {
                0.0
            }
        };
        let (old, new) = (side_mean(Side::Old), side_mean(Side::New));
        let mean = input
            .targets
            .iter()
            .map(|target| match target.side {
                Side::Old => old,
                Side::New => new,
            })
            .collect();
        let load = vec![0.0; capacity.len()];
        Loads {
            weights,
            capacity,
            load,
            mean,
        }
    }

    /// Returns the load of the target at index `target` relative to the mean.
    pub(crate) fn relative_load(&self, target: usize) -> f64 {
        self.relative_load_with(target, 0.0)
    }

    /// Returns the relative load of the target at index `target` with `extra` weight added.
    pub(crate) fn relative_load_with(&self, target: usize, extra: f64) -> f64 {
        let mean_load = self.mean[target] * self.capacity[target];
        if mean_load > 0.0 {
            (self.load[target] + extra) / mean_load
        } else {
            0.0
        }
    }
}
