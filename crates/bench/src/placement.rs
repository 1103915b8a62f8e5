//! Placement: balance, moves and time of `place` against the baselines, and the leader's reducer
//! in simulated time.

mod algorithms;
pub(crate) mod group;
mod rates;
mod sizes;

use std::time::Duration;

use crate::{
    MeasureError,
    Run,
    Spread,
    Table, //
};

use self::{
    group::Group,
    rates::{
        Keys,
        Skew, //
    },
    sizes::{
        RATE,
        SIZES,
        Size, //
    },
};

/// Bound of the ratio of maximum to mean load.
const LIMIT: f64 = 1.15;

/// Greatest part of a target's mean load that the hottest key has in the bounded distribution.
const HOTTEST_PART: f64 = 0.25;

/// Time until the placement is settled, simulated: the leader measures for 5 s, and targets are
/// warm after 5 s.
const SETTLE: Duration = Duration::from_secs(40);

/// Time that is looked at after a change, simulated.
const WATCH: Duration = Duration::from_secs(40);

/// Measures the section.
///
/// # Errors
///
/// Never fails; the result has the type of the other sections.
pub fn measure(run: &Run) -> Result<Vec<Table>, MeasureError> {
    let seeds = run.seeds();
    let mut tables = vec![
        algorithms::balance(&seeds, Skew::Bounded(HOTTEST_PART), "bounded"),
        algorithms::balance(&seeds, Skew::Zipf, "pure"),
        algorithms::moves(&seeds),
        changes(&seeds),
        algorithms::times(&seeds),
    ];
    for table in &mut tables {
        table.condition(run.command("placement"));
        table.condition(format!("seeds {seeds:?}; min / median / max"));
    }
    Ok(tables)
}

/// Runs the leader's reducer through a shift, a join and a leave.
fn changes(seeds: &[u64]) -> Table {
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
        let results: Vec<Changes> = seeds.iter().map(|&seed| change(&size, seed)).collect();
        let of = |value: fn(&Changes) -> f64| Spread::of(results.iter().map(value));
        let late = results.iter().filter(|r| r.back > 10.0).count();
        table.row([
            size.name.to_string(),
            format!("{:.0}", of(|r| r.idle)),
            format!("{:.0}", of(|r| r.shifted)),
            format!("{:.1}", of(|r| r.back)),
            format!("{late} of {}", seeds.len()),
            format!("{:.0}", of(|r| r.joined)),
            (size.shards as usize / (size.targets + 1)).to_string(),
            format!("{:.0}", of(|r| r.left)),
            format!("{:.0}", of(|r| r.held)),
            format!("{:.3}", of(|r| r.ratio)),
        ]);
    }
    table
}

struct Changes {
    idle: f64,
    shifted: f64,
    back: f64,
    joined: f64,
    left: f64,
    held: f64,
    ratio: f64,
}

fn change(size: &Size, seed: u64) -> Changes {
    let service = size.service();
    let skew = Skew::Bounded(HOTTEST_PART);
    let total = RATE * size.targets as f64;
    let mut keys = Keys::new(&service, size.keys, total, size.targets, skew, seed);
    let mut group = Group::new(service, 3, size.targets, keys.by_shard(), seed);
    group.run(SETTLE, LIMIT);
    group.take_moves();
    group.run(WATCH, LIMIT);
    let idle = group.take_moves() as f64;

    keys.shift(seed);
    group.rates = keys.by_shard();
    let back = group.run(WATCH, LIMIT).unwrap_or(WATCH).as_secs_f64();
    let shifted = group.take_moves() as f64;

    group.join();
    group.run(WATCH, LIMIT);
    let joined = group.take_moves() as f64;

    let held = group.leave() as f64;
    group.run(WATCH, LIMIT);
    Changes {
        idle,
        shifted,
        back,
        joined,
        left: group.take_moves() as f64,
        held,
        ratio: group.ratio(),
    }
}
