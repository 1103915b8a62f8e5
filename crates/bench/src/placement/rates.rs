//! Request rates of keys and shards.

use std::f64::consts::PI;

use camphordale_types::Service;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng,
    seq::SliceRandom, //
};

/// Exponent of the distribution of keys, as in the stand-in caller.
const ZIPF: f64 = 0.99;

/// Hottest keys that change places in a shift.
pub(super) const HOTTEST: usize = 11;

/// How the rates of keys fall with their rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Skew {
    /// `1 / rank^0.99`.
    Zipf,
    /// `1 / (rank + q)^0.99` with the least `q` for which the hottest key is at most this part
    /// of the mean load of a target. A key has one owner, so a hotter key alone can make the
    /// ratio of maximum to mean impossible to reach.
    Bounded(f64),
}

/// Rates of keys by key, and the shard of each.
pub(super) struct Keys {
    rates: Vec<f64>,
    shards: Vec<usize>,
    count: usize,
}

impl Keys {
    /// Draws `count` keys whose rates add up to `total`, on `service` with `targets`.
    pub(super) fn new(
        service: &Service,
        count: usize,
        total: f64,
        targets: usize,
        skew: Skew,
        seed: u64,
    ) -> Self {
        let random = &mut StdRng::seed_from_u64(seed);
        let mut rates = match skew {
            Skew::Zipf => zipf(count, 0.0),
            Skew::Bounded(part) => {
                let most = part / targets as f64;
                let mut offset = 0.0;
                let mut rates = zipf(count, offset);
                while rates[0] > most && offset < count as f64 {
                    offset = f64::max(1.0, offset * 1.3);
                    rates = zipf(count, offset);
                }
                rates
            }
        };
        rates.iter_mut().for_each(|rate| *rate *= total);
        let salt: u32 = random.random();
        let shard = |key: usize| service.shard_of(&format!("{salt}-{key}")) as usize;
        Keys {
            rates,
            shards: (0..count).map(shard).collect(),
            count: service.shard_count() as usize,
        }
    }

    /// Lets the hottest keys change places with keys of the colder half.
    pub(super) fn shift(&mut self, seed: u64) {
        let random = &mut StdRng::seed_from_u64(seed);
        let mut cold: Vec<usize> = (self.rates.len() / 2..self.rates.len()).collect();
        cold.shuffle(random);
        for (hot, &other) in cold.iter().take(HOTTEST).enumerate() {
            self.rates.swap(hot, other);
        }
    }

    /// Returns the rate of each shard.
    pub(super) fn by_shard(&self) -> Vec<f64> {
        let mut sums = vec![0.0; self.count];
        for (&shard, rate) in self.shards.iter().zip(&self.rates) {
            sums[shard] += rate;
        }
        sums
    }

    /// Returns the least ratio of maximum to mean load that any owner of the hottest key allows.
    pub(super) fn bound(&self, targets: usize) -> f64 {
        let total: f64 = self.rates.iter().sum();
        let hottest = self.rates.iter().copied().fold(0.0, f64::max);
        f64::max(1.0, hottest / total * targets as f64)
    }
}

fn zipf(keys: usize, offset: f64) -> Vec<f64> {
    let weight = |rank: usize| (rank as f64 + offset).powf(-ZIPF);
    let weights: Vec<f64> = (1..=keys).map(weight).collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / sum).collect()
}

/// Draws the number of requests in a time in which `mean` are expected.
pub(super) fn draw_count(mean: f64, random: &mut StdRng) -> u32 {
    if mean > 50.0 {
        let (a, b): (f64, f64) = (random.random(), random.random());
        let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (2.0 * PI * b).cos();
        return (mean + mean.sqrt() * normal).round().max(0.0) as u32;
    }
    let limit = (-mean).exp();
    let mut product: f64 = random.random();
    let mut count = 0;
    while product > limit {
        product *= random.random::<f64>();
        count += 1;
    }
    count
}
