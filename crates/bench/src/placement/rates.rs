//! Request rates of keys and shards.

use std::f64::consts::PI;

use camphordale_types::Service;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng,
    seq::SliceRandom, //
};

/// Exponent of the key distribution, as in the stand-in load generator.
const ZIPF_EXPONENT: f64 = 0.99;

/// Number of the hottest keys that swap their rates with cold keys when the load shifts.
pub(super) const SWAPPED_KEYS: usize = 11;

/// Distribution of the rates over the keys, by rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Skew {
    /// `1 / rank^0.99`.
    Zipf,
    /// `1 / (rank + q)^0.99`, with `q` just large enough that the hottest key has at most this
    /// fraction of a target's mean load. As a key has one owner, a hotter key could make the
    /// required ratio of maximum to mean load unreachable.
    Bounded(f64),
}

/// Request rate and shard of each key.
pub(super) struct KeyRates {
    rates: Vec<f64>,
    key_shards: Vec<usize>,
    shard_total: usize,
}

impl KeyRates {
    /// Creates `count` keys whose rates add up to `total`, and maps them to the shards of `service`,
    /// which has `targets` targets.
    pub(super) fn new(
        service: &Service,
        count: usize,
        total: f64,
        targets: usize,
        skew: Skew,
        seed: u64,
    ) -> Self {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut rates = match skew {
            Skew::Zipf => zipf(count, 0.0),
            Skew::Bounded(max_fraction) => {
                let max_share = max_fraction / targets as f64;
                let mut offset = 0.0;
                let mut rates = zipf(count, offset);
                while rates[0] > max_share && offset < count as f64 {
                    offset = f64::max(1.0, offset * 1.3);
                    rates = zipf(count, offset);
                }
                rates
            }
        };
        rates.iter_mut().for_each(|rate| *rate *= total);
        let salt: u32 = rng.random();
        let shard = |key: usize| service.shard_of(&format!("{salt}-{key}")) as usize;
        KeyRates {
            rates,
            key_shards: (0..count).map(shard).collect(),
            shard_total: service.shard_count() as usize,
        }
    }

    /// Swaps the rates of the hottest keys with those of random keys in the colder half.
    pub(super) fn swap_hottest(&mut self, seed: u64) {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut cold: Vec<usize> = (self.rates.len() / 2..self.rates.len()).collect();
        cold.shuffle(rng);
        for (hot, &other) in cold.iter().take(SWAPPED_KEYS).enumerate() {
            self.rates.swap(hot, other);
        }
    }

    /// Returns the request rate of each shard.
    pub(super) fn shard_rates(&self) -> Vec<f64> {
        let mut sums = vec![0.0; self.shard_total];
        for (&shard, rate) in self.key_shards.iter().zip(&self.rates) {
            sums[shard] += rate;
        }
        sums
    }

    /// Returns the lower bound of the ratio of maximum to mean load that the hottest key imposes.
    pub(super) fn min_ratio(&self, targets: usize) -> f64 {
        let total: f64 = self.rates.iter().sum();
        let hottest = self.rates.iter().copied().fold(0.0, f64::max);
        f64::max(1.0, hottest / total * targets as f64)
    }
}

fn zipf(keys: usize, offset: f64) -> Vec<f64> {
    let weight = |rank: usize| (rank as f64 + offset).powf(-ZIPF_EXPONENT);
    let weights: Vec<f64> = (1..=keys).map(weight).collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / sum).collect()
}

/// Draws a Poisson-distributed number of requests with the given mean; a normal approximation is
/// used for means above 50.
pub(super) fn draw_count(mean: f64, rng: &mut StdRng) -> u32 {
    if mean > 50.0 {
        let (a, b): (f64, f64) = (rng.random(), rng.random());
        let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (2.0 * PI * b).cos();
        return (mean + mean.sqrt() * normal).round().max(0.0) as u32;
    }
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
