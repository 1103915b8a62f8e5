//! Choice of a target for requests without a key, in simulated time.

mod policy_sender;
mod router_sender;
mod sender;
mod simulation;

use camphordale_placement::{
    LoadBalancer,
    load_balancer::baseline::{
        Baseline,
        Policy as Simple, //
    },
};

use crate::{
    MeasureError,
    Run,
    Spread,
    Table, //
};

use self::{
    policy_sender::{
        Plain,
        Policy, //
    },
    router_sender::Routed,
    sender::Sender,
    simulation::{
        Outcome,
        Scenario,
        World, //
    },
};

/// Slots of the targets of both deployments.
const SLOTS: [u32; 2] = [4, 6];

/// The scenarios with their names.
const SCENARIOS: [(&str, Scenario); 5] = [
    ("all targets equal", Scenario::Even),
    ("one target 10x slower", Scenario::Slow),
    (
        "one target 10x slower that reports no load",
        Scenario::Lying,
    ),
    ("one target frozen", Scenario::Frozen),
    ("one target joins cold", Scenario::Cold),
];

/// The baselines with their names.
const BASELINES: [(&str, Simple); 5] = [
    ("random", Simple::Random),
    ("round robin", Simple::RoundRobin),
    ("least reported load", Simple::LeastReported),
    ("two random choices", Simple::TwoChoices),
    (
        "Metropolis-Hastings walk",
        Simple::RandomWalk { reach: 2, steps: 8 },
    ),
];

/// Measures the section.
///
/// # Errors
///
/// Never fails; the result has the type of the other sections.
pub fn measure(run: &Run) -> Result<Vec<Table>, MeasureError> {
    let mut tables = Vec::new();
    for slots in SLOTS {
        for (name, scenario) in SCENARIOS {
            tables.push(table(run, slots, name, scenario));
        }
    }
    Ok(tables)
}

fn table(run: &Run, slots: u32, name: &str, scenario: Scenario) -> Table {
    let seeds = run.seeds();
    let mut table = Table::new(
        &format!("Choice without keys, {slots} slots: {name}"),
        &[
            "policy",
            "p50 ms",
            "p99 ms",
            "refused %",
            "missed 2 s deadline %",
            "missed from 1 s on %",
            "s until the target gets < 1%",
            "its share at the end %",
        ],
    );
    table.condition(run.command("choice"));
    table.condition(format!("seeds {seeds:?}; min / median / max"));
    table.condition(
        "one sender, 10 targets, 4 ms mean work, 60% load, reports every 150 ms that arrive after \
         500 ms; the event is at 2 s of 8 s and figures count from it; the target's lease in the \
         domain group is not simulated; 6.0 s means never",
    );
    let mut row = |name: &str, make: &dyn Fn(u64) -> Sender| {
        let outcomes: Vec<Outcome> = seeds
            .iter()
            .map(|&seed| World::run(scenario, slots, &mut make(seed), seed))
            .collect();
        let of = |value: fn(&Outcome) -> f64| Spread::of(outcomes.iter().map(value));
        let bad = scenario != Scenario::Even && scenario != Scenario::Cold;
        table.row([
            name.to_string(),
            format!("{:.1}", of(|o| o.p50)),
            format!("{:.1}", of(|o| o.p99)),
            format!("{:.2}", of(|o| o.refused)),
            format!("{:.2}", of(|o| o.missed)),
            format!("{:.2}", of(|o| o.missed_later)),
            match bad {
                true => format!("{:.1}", of(|o| o.found)),
                false => "-".into(),
            },
            format!("{:.2}", of(|o| o.share)),
        ]);
    };
    let late = scenario == Scenario::Cold;
    row("router (camphordale_route::Router)", &|seed| {
        Sender::Routed(Box::new(Routed::new(slots, late, seed)))
    });
    row("Chooser", &|seed| {
        let policy = Policy::Chooser(LoadBalancer::new(seed));
        Sender::Plain(Plain::new(policy, slots, late))
    });
    for (name, policy) in BASELINES {
        row(name, &|seed| {
            let policy = Policy::Baseline(Baseline::new(policy, seed));
            Sender::Plain(Plain::new(policy, slots, late))
        });
    }
    table
}
