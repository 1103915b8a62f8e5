//! Compares [`place`] with the baseline algorithms on fixed inputs.

use std::{
    collections::BTreeMap,
    time::Instant, //
};

use camphordale_placement::{
    PlacementInput, Shard, Target,
    baseline::{
        greedy,
        modulo,
        rendezvous, //
    },
    place,
};
use camphordale_types::{
    Side,
    TargetId, //
};

use crate::{
    Spread,
    Table, //
};

use super::{
    HOTTEST_FRACTION,
    rates::{
        KeyRates,
        Skew, //
    },
    sizes::{
        RATE_PER_TARGET,
        SIZES,
        Size, //
    },
};

/// One pass may move the number of shards divided by this, as in the leader.
const MOVE_DIVISOR: usize = 10;

/// Maximum number of passes until a placement counts as settled.
const MAX_PASSES: usize = 200;

type Owners = Vec<Option<TargetId>>;

/// Returns the table of the ratios of maximum to mean load with constant key rates.
pub(super) fn balance_table(seeds: &[u64], skew: Skew, name: &str) -> Table {
    let mut table = Table::new(
        &format!("Ratio of maximum to mean load, steady keys, {name} zipf-like rates"),
        &[
            "size",
            "targets",
            "shards",
            "place",
            "greedy from nothing",
            "modulo",
            "rendezvous",
            "least possible with the hottest key",
        ],
    );
    table.condition(match skew {
        Skew::Zipf => "rate of a key is 1 / rank^0.99; one key has one owner".to_string(),
        Skew::Bounded(part) => format!(
            "rate of a key is 1 / (rank + q)^0.99 with q so that the hottest key is at most {part} \
             of a target's mean load"
        ),
    });
    table.condition(
        "place: shards placed without rates, then passes with at most a tenth of the shards moved \
         in each, until none moves",
    );
    for size in SIZES {
        let mut ratios: [Vec<f64>; 5] = Default::default();
        for &seed in seeds {
            let keys = keys(&size, skew, seed);
            let rates = keys.shard_rates();
            let input = settled(&size, &rates, seed);
            let target_ids: Vec<TargetId> = input.targets.iter().map(|t| t.id).collect();
            let shards: Vec<u32> = (0..size.shards).collect();
            let assigned = |owners: Vec<TargetId>| owners.into_iter().map(Some).collect();
            let all: [Owners; 4] = [
                owners(&input),
                greedy(&input),
                assigned(modulo(&shards, &target_ids)),
                assigned(rendezvous(&shards, &target_ids)),
            ];
            for (ratios, owners) in ratios.iter_mut().zip(&all) {
                ratios.push(ratio(owners, &rates, size.targets));
            }
            ratios[4].push(keys.min_ratio(size.targets));
        }
        let mut cells = vec![
            size.name.to_string(),
            size.targets.to_string(),
            size.shards.to_string(),
        ];
        cells.extend(ratios.map(|values| format!("{:.3}", Spread::of(values))));
        table.row(cells);
    }
    table
}

/// Returns the table of the moves when a target joins or leaves.
pub(super) fn move_table(seeds: &[u64]) -> Table {
    let mut table = Table::new(
        "Moves of place on a join and a leave, as multiples of the least possible",
        &[
            "size",
            "join: place",
            "join: greedy",
            "join: modulo",
            "join: rendezvous",
            "join: place, ratio after",
            "leave: place",
            "leave: greedy",
            "leave: modulo",
            "leave: rendezvous",
            "nothing changed: place",
        ],
    );
    table.condition(
        "least possible: on a join the even share of the shards (shards / targets), on a leave the \
         shards of the target that leaves; the last column counts moves",
    );
    for size in SIZES {
        let mut values: [Vec<f64>; 10] = Default::default();
        for &seed in seeds {
            let results = join_and_leave(&size, seed);
            for (values, result) in values.iter_mut().zip(results) {
                values.push(result);
            }
        }
        let mut cells = vec![size.name.to_string()];
        cells.extend(values.map(|values| format!("{:.2}", Spread::of(values))));
        table.row(cells);
    }
    table
}

/// Returns the table of the time that one call of [`place`] takes.
pub(super) fn time_table(seeds: &[u64]) -> Table {
    let mut table = Table::new(
        "Time of one place call in µs",
        &[
            "size",
            "all shards free",
            "nothing to do",
            "after a shift of 11 keys",
            "one target lost",
        ],
    );
    for size in SIZES {
        let mut values: [Vec<f64>; 4] = Default::default();
        for &seed in seeds {
            let mut keys = keys(&size, Skew::Bounded(HOTTEST_FRACTION), seed);
            let input = settled(&size, &keys.shard_rates(), seed);
            let mut free = input.clone();
            free.shards.iter_mut().for_each(|shard| shard.owner = None);
            let mut lost = input.clone();
            lost.targets.pop();
            keys.swap_hottest(seed);
            let mut shifted = input.clone();
            set_rates(&mut shifted, &keys.shard_rates());
            for (values, input) in values.iter_mut().zip([&free, &input, &shifted, &lost]) {
                values.push(time_place_us(input));
            }
        }
        let mut cells = vec![size.name.to_string()];
        cells.extend(values.map(|values| format!("{:.0}", Spread::of(values))));
        table.row(cells);
    }
    table
}

/// Returns the shortest of five times of one call in µs, so that context switches do not distort
/// the result.
fn time_place_us(input: &PlacementInput) -> f64 {
    let once = || {
        let start = Instant::now();
        std::hint::black_box(place(std::hint::black_box(input)));
        start.elapsed().as_secs_f64() * 1e6
    };
    (0..5).map(|_| once()).fold(f64::INFINITY, f64::min)
}

fn join_and_leave(size: &Size, seed: u64) -> [f64; 10] {
    let keys = keys(size, Skew::Bounded(HOTTEST_FRACTION), seed);
    let rates = keys.shard_rates();
    let input = settled(size, &rates, seed);
    let before = owners(&input);
    let shards: Vec<u32> = (0..size.shards).collect();
    let target_ids: Vec<TargetId> = input.targets.iter().map(|t| t.id).collect();
    let assigned = |owners: Vec<TargetId>| owners.into_iter().map(Some).collect::<Owners>();

    let mut with_joined = input.clone();
    with_joined.targets.push(target(size, size.targets));
    let joined_ids: Vec<TargetId> = with_joined.targets.iter().map(|t| t.id).collect();
    let even = f64::from(size.shards) / joined_ids.len() as f64;
    let moved = |from: &Owners, to: &Owners| {
        let both = from.iter().zip(to);
        both.filter(|(from, to)| from != to).count() as f64
    };
    let mut joined = with_joined.clone();
    settle(&mut joined);
    let after = owners(&joined);

    let mut without_left = input.clone();
    let left_id = without_left.targets.remove(0).id;
    let remaining_ids: Vec<TargetId> = without_left.targets.iter().map(|t| t.id).collect();
    let mut left = without_left.clone();
    settle(&mut left);
    let owned_by_left =
        |owners: &Owners| owners.iter().filter(|o| **o == Some(left_id)).count() as f64;
    let modulo_before = assigned(modulo(&shards, &target_ids));
    let rendezvous_before = assigned(rendezvous(&shards, &target_ids));
    let mut same = input.clone();
    [
        moved(&before, &after) / even,
        moved(&before, &greedy(&with_joined)) / even,
        moved(&modulo_before, &assigned(modulo(&shards, &joined_ids))) / even,
        moved(
            &rendezvous_before,
            &assigned(rendezvous(&shards, &joined_ids)),
        ) / even,
        ratio(&after, &rates, size.targets + 1),
        moved(&before, &owners(&left)) / owned_by_left(&before),
        moved(&before, &greedy(&without_left)) / owned_by_left(&before),
        moved(&modulo_before, &assigned(modulo(&shards, &remaining_ids)))
            / owned_by_left(&modulo_before),
        moved(
            &rendezvous_before,
            &assigned(rendezvous(&shards, &remaining_ids)),
        ) / owned_by_left(&rendezvous_before),
        settle(&mut same) as f64,
    ]
}

fn keys(size: &Size, skew: Skew, seed: u64) -> KeyRates {
    let total = RATE_PER_TARGET * size.targets as f64;
    KeyRates::new(&size.service(), size.keys, total, size.targets, skew, seed)
}

fn target(size: &Size, number: usize) -> Target {
    Target {
        id: number as TargetId + 1,
        side: Side::Old,
        slots: size.slots,
        warm_fraction: 1.0,
        assignable: true,
    }
}

/// Returns a placement that was computed without rates and then rebalanced for `rates`.
fn settled(size: &Size, rates: &[f64], seed: u64) -> PlacementInput {
    let shard = |index| Shard {
        index,
        side: Side::Old,
        owner: None,
        rate: 0.0,
    };
    let mut input = PlacementInput {
        targets: (0..size.targets).map(|at| target(size, at)).collect(),
        shards: (0..size.shards).map(shard).collect(),
        weights: size.weights(),
        max_moves: (size.shards as usize / MOVE_DIVISOR).max(2),
        seed,
    };
    settle(&mut input);
    set_rates(&mut input, rates);
    settle(&mut input);
    input
}

fn set_rates(input: &mut PlacementInput, rates: &[f64]) {
    for (shard, &rate) in input.shards.iter_mut().zip(rates) {
        shard.rate = rate;
    }
}

/// Applies placement passes until no shard moves. Returns the number of moves.
fn settle(input: &mut PlacementInput) -> usize {
    let mut moves = 0;
    for _ in 0..MAX_PASSES {
        let pass = place(input);
        if pass.is_empty() {
            break;
        }
        moves += pass.len();
        for step in pass {
            input.shards[step.shard as usize].owner = Some(step.to);
        }
    }
    moves
}

fn owners(input: &PlacementInput) -> Owners {
    input.shards.iter().map(|shard| shard.owner).collect()
}

fn ratio(owners: &Owners, rates: &[f64], targets: usize) -> f64 {
    let mut loads: BTreeMap<TargetId, f64> = BTreeMap::new();
    for (owner, rate) in owners.iter().zip(rates) {
        if let Some(owner) = owner {
            *loads.entry(*owner).or_default() += rate;
        }
    }
    let mean = rates.iter().sum::<f64>() / targets as f64;
    loads.into_values().fold(0.0, f64::max) / mean
}
