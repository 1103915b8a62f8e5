//! Placement of the shards of one service.
//!
//! The placement minimizes a cost function: `imbalance / 2 * sum(capacity * load^2)` plus the cost
//! of the moves. The load of a target is relative to the mean. Moving a shard costs its fraction
//! of the traffic times the weights of churn and unavailable time.

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

/// Rebalancing starts when a target's load relative to the mean is outside these bounds. Measured
/// rates fluctuate, so without hysteresis shards would oscillate between targets.
const REBALANCE_START: (f64, f64) = (0.85, 1.1);

/// Rebalancing stops when all relative loads are within these bounds.
const REBALANCE_STOP: (f64, f64) = (0.93, 1.05);

/// Bounds of the minimum difference of relative loads, besides the moved load itself, that
/// justifies a move. Above the upper bound, a maximum-to-mean ratio of 1.15 would be unreachable.
const MIN_GAIN_BOUNDS: (f64, f64) = (0.01, 0.06);

/// Minimum difference of relative loads that justifies a move when all weights are equal.
const DEFAULT_MIN_GAIN: f64 = 0.03;

/// A target that serves the service.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its session id.
    pub id: TargetId,
    /// The system it belongs to.
    pub side: Side,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Fraction of its slots that may be used while it warms up, 0.0 to 1.0.
    pub warm_fraction: f64,
    /// Whether new shards may be assigned to it.
    pub assignable: bool,
}

/// A shard of the service.
#[derive(Clone, Debug)]
pub struct Shard {
    /// Its index within the service.
    pub index: ShardIndex,
    /// The system it belongs to.
    pub side: Side,
    /// Its current owner.
    pub owner: Option<TargetId>,
    /// Request rate, per second.
    pub rate: f64,
}

/// Input of [`place`].
#[derive(Clone, Debug)]
pub struct PlacementInput {
    /// The targets.
    pub targets: Vec<Target>,
    /// The shards.
    pub shards: Vec<Shard>,
    /// Weights of the costs.
    pub weights: Weights,
    /// Maximum number of owned shards that may move.
    pub max_moves: usize,
    /// Seed of the tie-breaker between equally good targets.
    pub seed: u64,
}

/// Assignment of a shard to its first owner or to a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The shard.
    pub shard: ShardIndex,
    /// Its current owner.
    pub from: Option<TargetId>,
    /// Its new owner.
    pub to: TargetId,
}

/// Assigns every shard that has no owner, and moves owned shards if the improvement in balance
/// outweighs the cost of the move.
///
/// A shard is assigned only to an assignable target of its side; if there is none, it stays without
/// an owner. A shard whose owner is not among the targets counts as unowned.
///
/// # Examples
///
/// ```
/// use camphordale_placement::{PlacementInput, Shard, Target, place};
/// use camphordale_types::{Side, Weights};
///
/// let target =
///     |id| Target { id, side: Side::Old, slots: 4, warm_fraction: 1.0, assignable: true };
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
    let mut plan = PlacementPlan::new(input);
    plan.place_unowned();
    plan.rebalance();
    plan.moves()
}

struct PlacementPlan<'a> {
    input: &'a PlacementInput,
    loads: Loads,
    /// Index of each shard's owner in the targets.
    owner: Vec<Option<usize>>,
    /// Shards of each target, ordered by weight.
    owned: Vec<BTreeSet<(Weight, usize)>>,
    /// Order of equally good targets, by target.
    tie_breakers: Vec<u64>,
    /// Owners before any assignment.
    initial_owner: Vec<Option<usize>>,
}

/// An `f64` with a total order.
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

impl<'a> PlacementPlan<'a> {
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
        let mut owned = vec![BTreeSet::new(); input.targets.len()];
        for (shard, at) in owner.iter().enumerate() {
            if let Some(at) = *at {
                loads.load[at] += loads.weights[shard];
                owned[at].insert((Weight(loads.weights[shard]), shard));
            }
        }
        let tie_breaker = |t: &Target| xxh3_64_with_seed(&t.id.to_le_bytes(), input.seed);
        PlacementPlan {
            input,
            loads,
            tie_breakers: input.targets.iter().map(tie_breaker).collect(),
            initial_owner: owner.clone(),
            owner,
            owned,
        }
    }

    fn assign(&mut self, shard: usize, to: usize) {
        let weight = self.loads.weights[shard];
        if let Some(from) = self.owner[shard].replace(to) {
            self.loads.load[from] -= weight;
            self.owned[from].remove(&(Weight(weight), shard));
        }
        self.loads.load[to] += weight;
        self.owned[to].insert((Weight(weight), shard));
    }

    /// Assigns unowned shards, heaviest first, each to the target that has the lowest load with it.
    fn place_unowned(&mut self) {
        let mut unowned: Vec<usize> = (0..self.owner.len())
            .filter(|&shard| self.owner[shard].is_none())
            .collect();
        unowned.sort_by_key(|&shard| (std::cmp::Reverse(Weight(self.loads.weights[shard])), shard));
        for shard in unowned {
            let side = self.input.shards[shard].side;
            let weight = self.loads.weights[shard];
            let best = self.assignable_targets(side).min_by_key(|&at| {
                let load = self.loads.relative_load_with(at, weight);
                (Weight(load), self.tie_breakers[at])
            });
            if let Some(best) = best {
                self.assign(shard, best);
            }
        }
    }

    fn assignable_targets(&self, side: Side) -> impl Iterator<Item = usize> {
        let targets = self.input.targets.iter().enumerate();
        targets
            .filter(move |(_, target)| target.assignable && target.side == side)
            .map(|(at, _)| at)
    }

    /// Moves owned shards from the most to the least loaded target while this lowers the cost.
    fn rebalance(&mut self) {
        let mut remaining = self.input.max_moves;
        for side in [Side::Old, Side::New] {
            let mut sources: Vec<usize> = (0..self.owned.len())
                .filter(|&at| self.input.targets[at].side == side)
                .collect();
            if self.is_balanced(&sources, REBALANCE_START) {
                continue;
            }
            // If no target is overloaded, only the underloaded ones have to be filled; the others
            // need not get closer to the mean.
            let stop = match self.is_balanced(&sources, (0.0, REBALANCE_START.1)) {
                true => (REBALANCE_STOP.0, REBALANCE_START.1),
                false => REBALANCE_STOP,
            };
            while remaining > 0 && !self.is_balanced(&sources, stop) {
                let Some(high) = max_by_load(&self.loads, &sources) else {
                    break;
                };
                match self.best_move(side, high) {
                    Some((shard, to)) => {
                        self.assign(shard, to);
                        remaining -= 1;
                    }
                    // No move from this target lowers the cost.
                    None => sources.retain(|&at| at != high),
                }
            }
        }
    }

    /// Returns whether the relative loads of all `targets` are within `bounds`. The lower bound
    /// applies only to assignable targets.
    fn is_balanced(&self, targets: &[usize], bounds: (f64, f64)) -> bool {
        targets.iter().all(|&at| {
            let load = self.loads.relative_load(at);
            load <= bounds.1 && (load >= bounds.0 || !self.input.targets[at].assignable)
        })
    }

    /// Returns the shard and destination of the move from target `high` that lowers the cost most.
    fn best_move(&self, side: Side, high: usize) -> Option<(usize, usize)> {
        let low = self
            .assignable_targets(side)
            .filter(|&at| at != high)
            .min_by_key(|&at| (Weight(self.loads.relative_load(at)), self.tie_breakers[at]))?;
        let gap = self.loads.relative_load(high) - self.loads.relative_load(low) - self.min_gain();
        if gap <= 0.0 {
            return None;
        }
        // Let `k` be the relative load that one unit of weight adds to a target. Moving a shard of
        // weight `w` gains `w * (gap - w * (k_high + k_low) / 2)`, which is largest at `ideal`.
        let per_weight = |at: usize| {
            let mean_load = self.loads.mean[at] * self.loads.capacity[at];
            if mean_load > 0.0 {
                1.0 / mean_load
            } else {
                0.0
            }
        };
        let slope = (per_weight(high) + per_weight(low)) / 2.0;
        let ideal = if slope > 0.0 { gap / slope / 2.0 } else { 0.0 };
        let gain = |shard: usize| {
            let weight = self.loads.weights[shard];
            weight * (gap - weight * slope)
        };
        let owned = &self.owned[high];
        let below = owned.range(..(Weight(ideal), usize::MAX)).next_back();
        let above = owned.range((Weight(ideal), usize::MAX)..).next();
        [below, above]
            .into_iter()
            .flatten()
            .map(|&(_, shard)| shard)
            .filter(|&shard| gain(shard) > 0.0)
            .max_by_key(|&shard| Weight(gain(shard)))
            .map(|shard| (shard, low))
    }

    /// Returns the minimum difference of relative loads that justifies the churn and unavailable
    /// time of a move.
    fn min_gain(&self) -> f64 {
        let weights = &self.input.weights;
        let cost = (weights.churn + weights.unavailable) / 2.0;
        let ratio = if weights.imbalance > 0.0 {
            cost / weights.imbalance
        } else {
            f64::INFINITY
        };
        if ratio.is_nan() {
            DEFAULT_MIN_GAIN
        } else {
            (DEFAULT_MIN_GAIN * ratio).clamp(MIN_GAIN_BOUNDS.0, MIN_GAIN_BOUNDS.1)
        }
    }

    fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        for (at, shard) in self.input.shards.iter().enumerate() {
            if self.owner[at] != self.initial_owner[at]
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

fn max_by_load(loads: &Loads, targets: &[usize]) -> Option<usize> {
    targets
        .iter()
        .copied()
        .max_by_key(|&at| (Weight(loads.relative_load(at)), std::cmp::Reverse(at)))
}
