//! Measures the time from the failure of a process until requests for each affected key succeed
//! again.

mod probe;

use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_standin::fleet::{
    CALLER_PORT,
    VmLocation, //
};

use crate::{
    MeasureError, MeasuredValues, RunOptions, Spread, Table,
    deployment::{
        Deployment,
        KEYED,
        Shape, //
    },
    service::keyed_service,
};

use self::probe::{
    KeyOutcome,
    MIN_OUTAGE,
    PROBE_INTERVAL,
    Probes, //
};

/// Runs of each case.
const REPETITIONS: usize = 10;

/// Time after a failure during which responses are recorded.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

/// Longest wait until the deployment is stable again after the failed process was replaced.
const STABLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between `SIGSTOP` and `SIGCONT` of a target.
const STOP_TIME: Duration = Duration::from_secs(3);

/// Targets in the first domain; each other domain has two.
const TARGETS: u8 = 4;

/// Required time until requests for a key succeed again, in ms.
const MAX_RECOVERY_MS: f64 = 1_000.0;

/// The process that fails, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    TargetKilled,
    TargetStopped,
    TargetContinued,
    SenderKilled,
    DomainLeaderKilled,
    ControlLeaderKilled,
}

impl Case {
    fn name(self) -> &'static str {
        match self {
            Case::TargetKilled => "target killed",
            Case::TargetStopped => "target stopped (SIGSTOP)",
            Case::TargetContinued => "the same target continued 3 s later",
            Case::SenderKilled => "entry VM killed that sends and does not lead its domain",
            Case::DomainLeaderKilled => "entry VM killed that leads its domain",
            Case::ControlLeaderKilled => "VM killed that leads the control group",
        }
    }

    fn key_part(self) -> &'static str {
        match self {
            Case::TargetKilled => "target_killed",
            Case::TargetStopped => "target_stopped",
            Case::TargetContinued => "target_continued",
            Case::SenderKilled => "sender_killed",
            Case::DomainLeaderKilled => "domain_leader_killed",
            Case::ControlLeaderKilled => "control_leader_killed",
        }
    }
}

/// Results of all runs of one case.
struct Results {
    case: Case,
    /// The outcome for each key, by run.
    runs: Vec<Vec<KeyOutcome>>,
    failures: Vec<String>,
}

/// Runs the benchmark.
///
/// # Errors
///
/// Fails when a deployment cannot be started. A run that fails is listed below the table instead.
pub fn measure(
    options: &RunOptions,
    measured: &mut MeasuredValues,
) -> Result<Vec<Table>, MeasureError> {
    let mut tables = Vec::new();
    for domains in [1, 3] {
        let mut cases = vec![
            Case::TargetKilled,
            Case::TargetStopped,
            Case::SenderKilled,
            Case::DomainLeaderKilled,
        ];
        if domains > 1 {
            cases.push(Case::ControlLeaderKilled);
        }
        let mut all = Vec::new();
        let mut shards = 0;
        for case in cases {
            // Each case has its own deployment, so that failures of one case do not affect another.
            let mut bench = FailoverBench::start(options, domains)?;
            shards = bench.shape.shards;
            all.extend(bench.run_case(case, options)?);
        }
        for results in &all {
            measured.set(
                &format!("failover.{}_ms_max_{domains}d", results.case.key_part()),
                results.recovery_times().max,
            );
            let failed = format!("failover.{}_failed_{domains}d", results.case.key_part());
            measured.set(&failed, results.failures.len() as f64);
        }
        tables.push(table(options, domains, shards, &all));
    }
    Ok(tables)
}

impl Results {
    /// Returns the times until requests for affected keys succeeded again, in ms.
    fn recovery_times(&self) -> Spread {
        let keys = self.runs.iter().flatten();
        Spread::of(keys.filter_map(|outcome| Some(outcome.recovery?.as_secs_f64() * 1e3)))
    }
}

fn table(options: &RunOptions, domains: u8, shards: u32, all: &[Results]) -> Table {
    let mut table = Table::new(
        &format!("Time until a key is served again, {domains} domain(s) x 3 VMs"),
        &[
            "lost",
            "runs",
            "affected keys per run",
            "ms until served again",
            "runs over 1 s",
            "longest gap between answers, ms",
            "failed answers per run",
        ],
    );
    table.condition(options.command("failover"));
    table.condition(format!(
        "{shards} keys, one in each shard, requested every {} ms through the remaining VMs of the \
         domain with the failure, with a deadline of 300 ms; affected: at least {} ms between two \
         successful responses to requests sent after the failure; min / median / max over all affected keys of all runs; 4000 can mean never",
        PROBE_INTERVAL.as_millis(),
        MIN_OUTAGE.as_millis(),
    ));
    table.condition(
        "targets check tokens; the domain's other VMs keep running; a control voter can also be \
         the domain's leader",
    );
    for results in all {
        let keys = || results.runs.iter().flatten();
        let affected = |outcomes: &Vec<KeyOutcome>| {
            outcomes.iter().filter(|key| key.recovery.is_some()).count() as f64
        };
        let failed = |outcomes: &Vec<KeyOutcome>| {
            outcomes.iter().map(|key| key.failed).sum::<usize>() as f64
        };
        let late = results
            .runs
            .iter()
            .filter(|outcomes| {
                let mut times = outcomes.iter().filter_map(|key| key.recovery);
                times.any(|recovery| recovery.as_secs_f64() * 1e3 > MAX_RECOVERY_MS)
            })
            .count();
        if results.runs.is_empty() {
            let mut cells = vec![results.case.name().to_string(), "0".into()];
            cells.resize(table.headers.len(), "-".into());
            table.row(cells);
            add_failures(&mut table, results);
            continue;
        }
        let recovery = match results.recovery_times() {
            spread if spread.max.is_nan() => "no outage".to_string(),
            spread => format!("{spread:.0}"),
        };
        let gap = Spread::of(keys().map(|outcome| outcome.longest_gap.as_secs_f64() * 1e3)).max;
        let count = results.runs.len();
        table.row([
            results.case.name().to_string(),
            count.to_string(),
            format!("{:.0}", Spread::of(results.runs.iter().map(affected))),
            recovery,
            format!("{late} of {count}"),
            format!("{gap:.0}"),
            format!("{:.0}", Spread::of(results.runs.iter().map(failed))),
        ]);
        add_failures(&mut table, results);
    }
    table
}

/// Lists the failed runs in the table's conditions.
fn add_failures(table: &mut Table, results: &Results) {
    for failure in &results.failures {
        table.condition(format!("{}: {failure}", results.case.name()));
    }
}

struct FailoverBench {
    shape: Shape,
    deployment: Deployment,
    /// Names of the running targets of the first domain, oldest first.
    targets: Vec<String>,
}

impl FailoverBench {
    fn start(options: &RunOptions, domains: u8) -> Result<Self, MeasureError> {
        let shape = Shape {
            domains,
            vms: 3,
            shards: if domains == 1 { 12 } else { 24 },
            slots: 6,
        };
        let mut deployment = Deployment::start(options, shape)?;
        let mut targets = Vec::new();
        for _ in 0..TARGETS {
            targets.push(deployment.add_target(1, KEYED, shape.slots)?);
        }
        for domain in 2..=domains {
            for _ in 0..2 {
                deployment.add_target(domain, KEYED, shape.slots)?;
            }
        }
        Ok(FailoverBench {
            shape,
            deployment,
            targets,
        })
    }

    /// Runs a case several times. A stopped target gives two results: after `SIGSTOP` and after
    /// `SIGCONT`.
    fn run_case(&mut self, case: Case, options: &RunOptions) -> Result<Vec<Results>, MeasureError> {
        let results = |case| Results {
            case,
            runs: Vec::new(),
            failures: Vec::new(),
        };
        let mut all = vec![results(case)];
        if case == Case::TargetStopped {
            all.push(results(Case::TargetContinued));
        }
        for number in 0..options.count(REPETITIONS) {
            let outcome = self
                .deployment
                .await_stable(STABLE_TIMEOUT)
                .and_then(|()| self.run_once(case));
            match outcome {
                Ok(outcomes) => {
                    for (results, outcomes) in all.iter_mut().zip(outcomes) {
                        results.runs.push(outcomes);
                    }
                }
                Err(err) => {
                    eprintln!("camphordale-measure: {}, run {number}: {err}", case.name());
                    all[0].failures.push(format!("run {number}: {err}"));
                    // The deployment may not recover, so the next run gets a new one.
                    *self = FailoverBench::start(options, self.shape.domains)?;
                }
            }
        }
        Ok(all)
    }

    /// Replaces the oldest target. The VM with the fewest targets, which is the one that was
    /// restarted, becomes the sender of the new target; otherwise it would not be a sender in the
    /// following runs.
    fn replace_target(&mut self) -> Result<(), MeasureError> {
        let name = self.targets.remove(0);
        self.deployment.fleet.kill_target(&name);
        let next = self.deployment.add_target(1, KEYED, self.shape.slots)?;
        self.targets.push(next);
        Ok(())
    }

    /// Runs a case once. Returns the outcome for each key after each event of the case.
    fn run_once(&mut self, case: Case) -> Result<Vec<Vec<KeyOutcome>>, MeasureError> {
        match case {
            Case::TargetKilled => {
                let name = self.owning_target()?;
                let probes = self.probes(None);
                let event = Instant::now();
                self.deployment.fleet.kill_target(&name);
                let outcomes = observe(&probes, event, OBSERVATION_TIME);
                drop(probes);
                self.targets.retain(|target| *target != name);
                let slots = self.shape.slots;
                let next = self.deployment.add_target(1, KEYED, slots)?;
                self.targets.push(next);
                // The new target gets shards after its warm-up.
                thread::sleep(Duration::from_secs(2));
                Ok(vec![outcomes])
            }
            Case::TargetStopped | Case::TargetContinued => {
                let name = self.owning_target()?;
                let probes = self.probes(None);
                let stopped = Instant::now();
                self.signal(&name, "STOP")?;
                let first = observe(&probes, stopped, STOP_TIME);
                let continued = Instant::now();
                self.signal(&name, "CONT")?;
                let second = observe(&probes, continued, OBSERVATION_TIME);
                drop(probes);
                thread::sleep(Duration::from_secs(2));
                Ok(vec![first, second])
            }
            Case::SenderKilled | Case::DomainLeaderKilled | Case::ControlLeaderKilled => {
                let victim = self.victim(case)?;
                let probes = self.probes(Some(victim));
                let event = Instant::now();
                self.deployment.fleet.kill_daemon(victim);
                let outcomes = observe(&probes, event, OBSERVATION_TIME);
                drop(probes);
                self.deployment.fleet.start_daemon(victim)?;
                // The restarted VM first joins its group as a learner.
                thread::sleep(Duration::from_secs(2));
                self.replace_target()?;
                Ok(vec![outcomes])
            }
        }
    }

    fn signal(&mut self, name: &str, signal: &str) -> Result<(), MeasureError> {
        match self.deployment.fleet.target(name) {
            Some(process) => Ok(process.signal(signal)?),
            None => Err(MeasureError::unexpected(
                "signal",
                format!("target {name} is not running"),
            )),
        }
    }

    /// Returns a target of the first domain that owns a shard.
    fn owning_target(&mut self) -> Result<String, MeasureError> {
        let shards = self.deployment.shards(1)?;
        let owners = shards.as_array().into_iter().flatten();
        let mut owners = owners.filter_map(|shard| shard["owner"].as_str());
        let found = owners.find(|&owner| self.targets.iter().any(|target| target == owner));
        found.map(str::to_string).ok_or_else(|| {
            MeasureError::unexpected("choose a target", "no target of domain 1 owns a shard")
        })
    }

    /// Returns the VM that fails in this case.
    fn victim(&mut self, case: Case) -> Result<VmLocation, MeasureError> {
        let first = VmLocation { domain: 1, vm: 1 };
        let leader = self.deployment.leader(first, "group")?;
        match case {
            Case::DomainLeaderKilled => Ok(leader),
            Case::ControlLeaderKilled => self.deployment.leader(first, "control"),
            _ => {
                let shards = self.deployment.shards(1)?;
                let shards = shards.as_array().into_iter().flatten();
                let senders = shards.filter_map(|shard| shard["sender"].as_u64());
                // The VM with the highest number has no persistent storage and is no control voter.
                senders
                    .filter(|&sender| sender != u64::from(leader.number()) && sender / 10 == 1)
                    .max()
                    .map(|sender| VmLocation {
                        domain: 1,
                        vm: (sender % 10) as u8,
                    })
                    .ok_or_else(|| {
                        MeasureError::unexpected("choose a sender", "the leader is the only sender")
                    })
            }
        }
    }

    /// Starts probes through all VMs of the victim's domain except the victim.
    fn probes(&mut self, victim: Option<VmLocation>) -> Probes {
        let domain = victim.map_or(1, |victim| victim.domain);
        let vms: Vec<SocketAddr> = (1..=self.shape.vms)
            .map(|vm| VmLocation { domain, vm })
            .filter(|&location| Some(location) != victim)
            .map(|location| self.deployment.fleet.address(location, CALLER_PORT))
            .collect();
        let shards = self.shape.shards;
        let service = keyed_service(KEYED, shards, self.shape.slots);
        let probes = Probes::start(shards, &service, &vms);
        // Leaves time for the connections and the first requests.
        thread::sleep(Duration::from_millis(500));
        probes
    }
}

/// Returns the outcome for each key in the given time after the event.
fn observe(probes: &Probes, event: Instant, time: Duration) -> Vec<KeyOutcome> {
    let until = event + time;
    thread::sleep(until.saturating_duration_since(Instant::now()));
    probes.outcomes(event, until)
}
