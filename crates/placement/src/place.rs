//! The placement of the shards of one service.
//!
//! One cost function decides: `imbalance / 2 * sum(capacity * load^2) + sum over moves`, where
//! the load of a target is relative to the mean, and a moved shard costs its share of the
//! traffic times the weights of churn and unavailable time.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use camphordale_types::{
    ShardIndex,
    Side,
    TargetId,
    Weights, //
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::load::Loads;

/// Loads relative to the mean below or above which held shards start to move. Rates are measured
/// and fluctuate; without a range in which nothing moves, shards would move to and fro.
const START: (f64, f64) = (0.85, 1.1);

/// Loads within which moves stop again.
const STOP: (f64, f64) = (0.93, 1.05);

/// Bounds of the difference of loads that a move must gain besides the moved load itself. Above
/// the upper bound a ratio of maximum to mean of 1.15 could not be reached.
const GAIN: (f64, f64) = (0.01, 0.06);

/// Difference of loads that a move must gain with equal weights.
const EVEN_GAIN: f64 = 0.03;

/// A target that serves the service.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its session.
    pub id: TargetId,
    /// The system it belongs to.
    pub side: Side,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Part of its slots that may be used while it warms up, 0.0 to 1.0.
    pub warm_fraction: f64,
    /// Whether it may get shards.
    pub assignable: bool,
}

/// A shard of the service.
#[derive(Clone, Debug)]
pub struct Shard {
    /// Its position within the service.
    pub index: ShardIndex,
    /// The system it belongs to.
    pub side: Side,
    /// Its owner.
    pub owner: Option<TargetId>,
    /// Requests per second.
    pub rate: f64,
}

/// Everything that [`place`] decides on.
#[derive(Clone, Debug)]
pub struct PlacementInput {
    /// The targets.
    pub targets: Vec<Target>,
    /// The shards.
    pub shards: Vec<Shard>,
    /// Weights of the measures.
    pub weights: Weights,
    /// Number of held shards that may move.
    pub max_moves: usize,
    /// Decides between equally good targets.
    pub seed: u64,
}

/// A shard that gets an owner, or another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The shard.
    pub shard: ShardIndex,
    /// Its present owner.
    pub from: Option<TargetId>,
    /// Its next owner.
    pub to: TargetId,
}

/// Places every shard that has no owner, and moves held shards where the gain in balance exceeds
/// the cost of the move.
///
/// A shard is placed only on an open target of its side; a shard for which there is none stays
/// without an owner. A shard whose owner is not among the targets counts as free.
///
/// # Examples
///
/// ```
/// use camphordale_placement::{PlacementInput, Shard, Target, place};
/// use camphordale_types::{Side, Weights};
///
/// let target = |id| Target { id, side: Side::Old, slots: 4, warm_fraction: 1.0, assignable: true };
/// let shard = |index| Shard { index, side: Side::Old, owner: None, rate: 0.0 };
/// let mut input = PlacementInput {
///     targets: vec![target(1), target(2)],
///     shards: (0..8).map(shard).collect(),
///     weights: Weights { imbalance: 1.0, churn: 1.0, unavailable: 1.0 },
///     max_moves: 8,
///     seed: 1,
/// };
/// let moves = place(&input);
/// assert_eq!(moves.iter().filter(|m| m.to == 1).count(), 4);
/// for m in moves {
///     input.shards[m.shard as usize].owner = Some(m.to);
/// }
/// assert!(place(&input).is_empty());
/// ```
pub fn place(input: &PlacementInput) -> Vec<Move> {
    let mut plan = Plan::new(input);
    plan.place_free();
    plan.rebalance();
    plan.moves()
}

struct Plan<'a> {
    input: &'a PlacementInput,
    loads: Loads,
    /// Position of each shard's owner among the targets.
    owner: Vec<Option<usize>>,
    /// Shards of each target, ordered by weight.
    held: Vec<BTreeSet<(Weight, usize)>>,
    /// Order of equally good targets.
    ties: Vec<u64>,
    /// Owners before any move.
    first: Vec<Option<usize>>,
}

/// A weight with a total order.
#[derive(Clone, Copy, PartialEq)]
struct Weight(f64);

impl Eq for Weight {}

impl PartialOrd for Weight {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Weight {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl<'a> Plan<'a> {
    fn new(input: &'a PlacementInput) -> Self {
        let mut loads = Loads::new(input);
        let position: BTreeMap<TargetId, usize> = input
            .targets
            .iter()
            .enumerate()
            .map(|(at, target)| (target.id, at))
            .collect();
        let owner: Vec<Option<usize>> = input
            .shards
            .iter()
            .map(|shard| position.get(shard.owner.as_ref()?).copied())
            .collect();
        let mut held = vec![BTreeSet::new(); input.targets.len()];
        for (shard, at) in owner.iter().enumerate() {
            if let Some(at) = *at {
                loads.load[at] += loads.weights[shard];
                held[at].insert((Weight(loads.weights[shard]), shard));
            }
        }
        let tie = |t: &Target| xxh3_64_with_seed(&t.id.to_le_bytes(), input.seed);
        Plan {
            input,
            loads,
            ties: input.targets.iter().map(tie).collect(),
            first: owner.clone(),
            owner,
            held,
        }
    }

    fn give(&mut self, shard: usize, to: usize) {
        let weight = self.loads.weights[shard];
        if let Some(from) = self.owner[shard].replace(to) {
            self.loads.load[from] -= weight;
            self.held[from].remove(&(Weight(weight), shard));
        }
        self.loads.load[to] += weight;
        self.held[to].insert((Weight(weight), shard));
    }

    /// Places free shards, heaviest first, each on the target that is least loaded with it.
    fn place_free(&mut self) {
        let mut free: Vec<usize> = (0..self.owner.len())
            .filter(|&shard| self.owner[shard].is_none())
            .collect();
        free.sort_by_key(|&shard| (std::cmp::Reverse(Weight(self.loads.weights[shard])), shard));
        for shard in free {
            let side = self.input.shards[shard].side;
            let weight = self.loads.weights[shard];
            let best = self.open(side).min_by_key(|&at| {
                let load = self.loads.relative_with(at, weight);
                (Weight(load), self.ties[at])
            });
            if let Some(best) = best {
                self.give(shard, best);
            }
        }
    }

    fn open(&self, side: Side) -> impl Iterator<Item = usize> {
        let targets = self.input.targets.iter().enumerate();
        targets
            .filter(move |(_, target)| target.assignable && target.side == side)
            .map(|(at, _)| at)
    }

    /// Moves held shards from the most to the least loaded target while that lowers the cost.
    fn rebalance(&mut self) {
        let mut left = self.input.max_moves;
        for side in [Side::Old, Side::New] {
            let mut from: Vec<usize> = (0..self.held.len())
                .filter(|&at| self.input.targets[at].side == side)
                .collect();
            if self.even(&from, START) {
                continue;
            }
            // When only a new target is to be filled, the others need not get closer than they were.
            let stop = match self.even(&from, (0.0, START.1)) {
                true => (STOP.0, START.1),
                false => STOP,
            };
            while left > 0 && !self.even(&from, stop) {
                let Some(high) = max_by_load(&self.loads, &from) else {
                    break;
                };
                match self.best_move(side, high) {
                    Some((shard, to)) => {
                        self.give(shard, to);
                        left -= 1;
                    }
                    // Whatever it holds is better left where it is.
                    None => from.retain(|&at| at != high),
                }
            }
        }
    }

    /// Tells whether all loads of `targets` are within `bounds`.
    fn even(&self, targets: &[usize], bounds: (f64, f64)) -> bool {
        targets.iter().all(|&at| {
            let load = self.loads.relative(at);
            load <= bounds.1 && (load >= bounds.0 || !self.input.targets[at].assignable)
        })
    }

    /// Returns the move from target `high` that lowers the cost most.
    fn best_move(&self, side: Side, high: usize) -> Option<(usize, usize)> {
        let low = self
            .open(side)
            .filter(|&at| at != high)
            .min_by_key(|&at| (Weight(self.loads.relative(at)), self.ties[at]))?;
        let gap = self.loads.relative(high) - self.loads.relative(low) - self.least_gain();
        if gap <= 0.0 {
            return None;
        }
        // With `k` the load that one unit of weight adds to each end, a shard of weight `w` gains
        // `w * (gap - w * (k_high + k_low) / 2)`, which is largest at `ideal`.
        let per_weight = |at: usize| {
            let full = self.loads.mean[at] * self.loads.capacity[at];
            if full > 0.0 { 1.0 / full } else { 0.0 }
        };
        let slope = (per_weight(high) + per_weight(low)) / 2.0;
        let ideal = if slope > 0.0 { gap / slope / 2.0 } else { 0.0 };
        let gain = |shard: usize| {
            let weight = self.loads.weights[shard];
            weight * (gap - weight * slope)
        };
        let held = &self.held[high];
        let below = held.range(..(Weight(ideal), usize::MAX)).next_back();
        let above = held.range((Weight(ideal), usize::MAX)..).next();
        [below, above]
            .into_iter()
            .flatten()
            .map(|&(_, shard)| shard)
            .filter(|&shard| gain(shard) > 0.0)
            .max_by_key(|&shard| Weight(gain(shard)))
            .map(|shard| (shard, low))
    }

    /// Difference of loads that a move must gain to be worth its churn and unavailable time.
    fn least_gain(&self) -> f64 {
        let weights = &self.input.weights;
        let cost = (weights.churn + weights.unavailable) / 2.0;
        let ratio = if weights.imbalance > 0.0 {
            cost / weights.imbalance
        } else {
            f64::INFINITY
        };
        if ratio.is_nan() {
            EVEN_GAIN
        } else {
            (EVEN_GAIN * ratio).clamp(GAIN.0, GAIN.1)
        }
    }

    fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        for (at, shard) in self.input.shards.iter().enumerate() {
            if self.owner[at] != self.first[at]
                && let Some(to) = self.owner[at]
            {
                moves.push(Move {
                    shard: shard.index,
                    from: shard.owner,
                    to: self.input.targets[to].id,
                });
            }
        }
        moves
    }
}

fn max_by_load(loads: &Loads, from: &[usize]) -> Option<usize> {
    from.iter()
        .copied()
        .max_by_key(|&at| (Weight(loads.relative(at)), std::cmp::Reverse(at)))
}
