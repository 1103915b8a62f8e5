//! Compares load-balancing policies for requests without a key, in simulated time.

mod policy_sender;
mod router_sender;
mod sender;
mod simulation;

use camphordale_placement::{
    LoadBalancer,
    load_balancer::baseline::{
        Baseline,
        Policy as BaselinePolicy, //
    },
};

use crate::{
    MeasureError,
    RunOptions,
    Spread,
    Table, //
};

use self::{
    policy_sender::{
        Policy,
        PolicySender, //
    },
    router_sender::RouterSender,
    sender::Sender,
    simulation::{
        Scenario,
        ScenarioResult,
        Simulation, //
    },
};

/// Slots per target in the two deployments that are modelled.
const SLOTS: [u32; 2] = [4, 6];

/// The scenarios with their names in the table titles.
const SCENARIOS: [(&str, Scenario); 5] = [
    ("all targets equal", Scenario::NoEvent),
    ("one target 10x slower", Scenario::Slow),
    (
        "one target 10x slower that reports no load",
        Scenario::NoLoadReported,
    ),
    ("one target frozen", Scenario::Frozen),
    ("one target joins cold", Scenario::ColdJoin),
];

/// The baseline policies with their names in the tables.
const BASELINES: [(&str, BaselinePolicy); 5] = [
    ("random", BaselinePolicy::Random),
    ("round robin", BaselinePolicy::RoundRobin),
    ("least reported load", BaselinePolicy::LeastReported),
    ("two random choices", BaselinePolicy::TwoChoices),
    (
        "Metropolis-Hastings walk",
        BaselinePolicy::RandomWalk { reach: 2, steps: 8 },
    ),
];

/// Runs the benchmark.
///
/// # Errors
///
/// Never fails; it returns a `Result` like the other sections.
pub fn measure(options: &RunOptions) -> Result<Vec<Table>, MeasureError> {
    let mut tables = Vec::new();
    for slots in SLOTS {
        for (name, scenario) in SCENARIOS {
            tables.push(table(options, slots, name, scenario));
        }
    }
    Ok(tables)
}

fn table(options: &RunOptions, slots: u32, name: &str, scenario: Scenario) -> Table {
    let seeds = options.seeds();
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
    table.condition(options.command("choice"));
    table.condition(format!("seeds {seeds:?}; min / median / max"));
    table.condition(
        "one sender, 10 targets, 4 ms mean work, 60% load, reports every 150 ms that arrive after \
         500 ms; the event is at 2 s of 8 s and results count from it; the target's lease in the \
         domain group is not simulated; 6.0 s means never",
    );
    let mut row = |name: &str, make: &dyn Fn(u64) -> Sender| {
        let results: Vec<ScenarioResult> = seeds
            .iter()
            .map(|&seed| Simulation::run(scenario, slots, &mut make(seed), seed))
            .collect();
        let of = |value: fn(&ScenarioResult) -> f64| Spread::of(results.iter().map(value));
        let has_bad_target = scenario != Scenario::NoEvent && scenario != Scenario::ColdJoin;
        table.row([
            name.to_string(),
            format!("{:.1}", of(|o| o.p50_ms)),
            format!("{:.1}", of(|o| o.p99_ms)),
            format!("{:.2}", of(|o| o.refused_percent)),
            format!("{:.2}", of(|o| o.missed_percent)),
            format!("{:.2}", of(|o| o.missed_later)),
            match has_bad_target {
                true => format!("{:.1}", of(|o| o.detection_s)),
                false => "-".into(),
            },
            format!("{:.2}", of(|o| o.share_percent)),
        ]);
    };
    let joins_late = scenario == Scenario::ColdJoin;
    row("router (camphordale_route::Router)", &|seed| {
        Sender::Router(Box::new(RouterSender::new(slots, joins_late, seed)))
    });
    row("Chooser", &|seed| {
        let policy = Policy::LoadBalancer(LoadBalancer::new(seed));
        Sender::Policy(PolicySender::new(policy, slots, joins_late))
    });
    for (name, policy) in BASELINES {
        row(name, &|seed| {
            let policy = Policy::Baseline(Baseline::new(policy, seed));
            Sender::Policy(PolicySender::new(policy, slots, joins_late))
        });
    }
    table
}
