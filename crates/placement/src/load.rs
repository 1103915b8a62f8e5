//! Loads of targets during one placement.

use camphordale_types::Side;

use crate::{
    PlacementInput,
    Target, //
};

/// Least capacity of a target, so that a cold target can get its first shards.
const LEAST_CAPACITY: f64 = 0.05;

/// Part of the mean rate that every shard counts for besides its own rate. It spreads shards
/// that have no requests at the moment.
const BASE_RATE: f64 = 0.02;

/// Load of each target relative to its capacity; 1.0 is the mean of its side.
pub(crate) struct Loads {
    /// Weight of each shard; on average 1.0 in proportion to its rate.
    pub(crate) weights: Vec<f64>,
    /// Capacity of each target.
    pub(crate) capacity: Vec<f64>,
    /// Weight of the shards of each target.
    pub(crate) load: Vec<f64>,
    /// Weight per capacity, by target, of the target's side.
    pub(crate) mean: Vec<f64>,
}

/// Returns the weight of each shard.
pub(crate) fn weights(rates: &[f64]) -> Vec<f64> {
    let clean = |rate: f64| if rate.is_finite() { rate.max(0.0) } else { 0.0 };
    let total: f64 = rates.iter().copied().map(clean).sum();
    if total <= 0.0 {
        return vec![1.0; rates.len()];
    }
    let mean = total / rates.len() as f64;
    rates
        .iter()
        .map(|&rate| (clean(rate) / mean + BASE_RATE) / (1.0 + BASE_RATE))
        .collect()
}

/// Returns the capacity of a target.
pub(crate) fn capacity(target: &Target) -> f64 {
    let warm = if target.warm_fraction.is_finite() {
        target.warm_fraction.clamp(LEAST_CAPACITY, 1.0)
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
            let room: f64 = targets
                .filter(|(target, _)| target.side == side && target.assignable)
                .map(|(_, capacity)| capacity)
                .sum();
            if room > 0.0 { weight / room } else { 0.0 }
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

    /// Returns the load of target `at` relative to the mean.
    pub(crate) fn relative(&self, at: usize) -> f64 {
        self.relative_with(at, 0.0)
    }

    /// Returns the relative load of target `at` with `extra` weight.
    pub(crate) fn relative_with(&self, at: usize, extra: f64) -> f64 {
        let full = self.mean[at] * self.capacity[at];
        if full > 0.0 {
            (self.load[at] + extra) / full
        } else {
            0.0
        }
    }
}
