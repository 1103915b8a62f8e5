//! Compares the placement algorithm with baselines in balance, moves and running time, and measures
//! how a domain leader rebalances in simulated time.

mod algorithms;
pub(crate) mod group;
mod rates;
mod sizes;

use std::time::Duration;

use crate::{
    MeasureError,
    RunOptions,
    Spread,
    Table, //
};

use self::{
    group::SimulatedGroup,
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

/// Ratio of maximum to mean load below which a placement counts as balanced.
const MAX_LOAD_RATIO: f64 = 1.15;

/// Load of the hottest key in the bounded distribution, as a fraction of a target's mean load.
const HOTTEST_FRACTION: f64 = 0.25;

/// Simulated time until the placement has settled: the leader measures rates for 5 s, and the
/// warm-up of targets takes 5 s.
const SETTLE_TIME: Duration = Duration::from_secs(40);

/// Simulated time that is observed after a change.
const OBSERVATION_TIME: Duration = Duration::from_secs(40);

/// Runs the benchmark.
///
/// # Errors
///
/// Never fails; it returns a `Result` like the other sections.
pub fn measure(options: &RunOptions) -> Result<Vec<Table>, MeasureError> {
    let seeds = options.seeds();
    let mut tables = vec![
        algorithms::balance_table(&seeds, Skew::Bounded(HOTTEST_FRACTION), "bounded"),
        algorithms::balance_table(&seeds, Skew::Zipf, "pure"),
        algorithms::move_table(&seeds),
        change_table(&seeds),
        algorithms::time_table(&seeds),
    ];
    for table in &mut tables {
        table.condition(options.command("placement"));
        table.condition(format!("seeds {seeds:?}; min / median / max"));
    }
    Ok(tables)
}

/// Runs a simulated group through a shift of the load, a joining target and a leaving target.
fn change_table(seeds: &[u64]) -> Table {
    let mut table = Table::new(
        "Leader's reducer in simulated time",
        &[
            "size",
            "moves in 40 s without a change",
            "moved by a shift",
            "s until < 1.15 after a shift",
            "not within 10 s",
            "moved by a join",
            "even share",
            "moved by a leave",
            "shards of the one leaving",
            "ratio at the end",
        ],
    );
    table.condition(
        "camphordale_domain::Leader and State; load reports every second with random counts; \
         bounded zipf-like rates, 500 requests/s per target; a shift swaps the 11 hottest keys \
         with cold ones",
    );
    table.condition("s: from the shift until the ratio stays below 1.15; 40 means never");
    for size in SIZES {
        let results: Vec<ChangeResult> =
            seeds.iter().map(|&seed| run_changes(&size, seed)).collect();
        let of = |value: fn(&ChangeResult) -> f64| Spread::of(results.iter().map(value));
        let late = results.iter().filter(|r| r.recovery_s > 10.0).count();
        table.row([
            size.name.to_string(),
            format!("{:.0}", of(|r| r.idle_moves)),
            format!("{:.0}", of(|r| r.shift_moves)),
            format!("{:.1}", of(|r| r.recovery_s)),
            format!("{late} of {}", seeds.len()),
            format!("{:.0}", of(|r| r.join_moves)),
            (size.shards as usize / (size.targets + 1)).to_string(),
            format!("{:.0}", of(|r| r.leave_moves)),
            format!("{:.0}", of(|r| r.leaving_shards)),
            format!("{:.3}", of(|r| r.ratio)),
        ]);
    }
    table
}

struct ChangeResult {
    idle_moves: f64,
    shift_moves: f64,
    recovery_s: f64,
    join_moves: f64,
    leave_moves: f64,
    leaving_shards: f64,
    ratio: f64,
}

fn run_changes(size: &Size, seed: u64) -> ChangeResult {
    let service = size.service();
    let skew = Skew::Bounded(HOTTEST_FRACTION);
    let total = RATE_PER_TARGET * size.targets as f64;
    let mut keys = KeyRates::new(&service, size.keys, total, size.targets, skew, seed);
    let mut group = SimulatedGroup::new(service, 3, size.targets, keys.shard_rates(), seed);
    group.run(SETTLE_TIME, MAX_LOAD_RATIO);
    group.take_moves();
    group.run(OBSERVATION_TIME, MAX_LOAD_RATIO);
    let idle_moves = group.take_moves() as f64;

    keys.swap_hottest(seed);
    group.rates = keys.shard_rates();
    let recovery_s = group
        .run(OBSERVATION_TIME, MAX_LOAD_RATIO)
        .unwrap_or(OBSERVATION_TIME)
        .as_secs_f64();
    let shift_moves = group.take_moves() as f64;

    group.add_target();
    group.run(OBSERVATION_TIME, MAX_LOAD_RATIO);
    let join_moves = group.take_moves() as f64;

    let leaving_shards = group.remove_oldest_target() as f64;
    group.run(OBSERVATION_TIME, MAX_LOAD_RATIO);
    ChangeResult {
        idle_moves,
        shift_moves,
        recovery_s,
        join_moves,
        leave_moves: group.take_moves() as f64,
        leaving_shards,
        ratio: group.ratio(),
    }
}
