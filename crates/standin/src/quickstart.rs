//! Runs the example deployments as separate processes, injects failures and reports the results
//! that callers observed.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_bundle::parse_bundle;
use camphordale_types::Bundle;

use crate::{
    AttemptRecord, CallerOptions, CheckReport, JournalEntry, Outcome, Phase, Script, ScriptService,
    Summary, check,
    fleet::{
        Fleet,
        FleetError,
        FleetOptions,
        Programs,
        TargetProcessOptions,
        VmLocation, //
    },
    read_lines, run_caller,
};

/// Timeout of each step of starting a deployment.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Period during which requests are sent.
const RUN_DURATION: Duration = Duration::from_secs(14);

/// Request rate, per second.
const REQUEST_RATE: f64 = 300.0;

/// Percentage of shards that move to the new system during the run.
const NEW_SHARE_PERCENT: u8 = 30;

/// Targets and request mix of one service of an example.
#[derive(Clone, Copy, Debug)]
struct ServiceTraffic {
    service: &'static str,
    targets: u8,
    /// Number of these targets that belong to the new system.
    new_targets: u8,
    slots: u32,
    work_us: u64,
    path: &'static str,
    key_header: Option<&'static str>,
    post_percent: u8,
    weight: f64,
    keys: usize,
}

/// An example deployment.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// Name of the example and of its bundle file.
    pub name: &'static str,
    traffic: &'static [ServiceTraffic],
}

/// The example deployments, with their present numbers of targets.
pub const EXAMPLES: [Example; 2] = [
    Example {
        name: "kilimo",
        traffic: &[
            ServiceTraffic {
                service: "catalogue",
                targets: 10,
                new_targets: 3,
                slots: 4,
                work_us: 2_000,
                path: "/catalogue/titles",
                key_header: None,
                post_percent: 0,
                weight: 6.0,
                keys: 0,
            },
            ServiceTraffic {
                service: "reservations",
                targets: 6,
                new_targets: 3,
                slots: 4,
                work_us: 2_000,
                path: "/reservations/{key}",
                key_header: None,
                post_percent: 60,
                weight: 3.0,
                keys: 500,
            },
            ServiceTraffic {
                service: "reports",
                targets: 10,
                new_targets: 3,
                slots: 4,
                work_us: 10_000,
                path: "/reports",
                key_header: Some("x-school"),
                post_percent: 0,
                weight: 1.0,
                keys: 100,
            },
        ],
    },
    Example {
        name: "wiratama",
        traffic: &[
            ServiceTraffic {
                service: "schedules",
                targets: 10,
                new_targets: 3,
                slots: 6,
                work_us: 2_000,
                path: "/schedules/{key}",
                key_header: None,
                post_percent: 0,
                weight: 6.0,
                keys: 200,
            },
            ServiceTraffic {
                service: "bookings",
                targets: 8,
                new_targets: 3,
                slots: 6,
                work_us: 2_000,
                path: "/bookings",
                key_header: Some("x-buyer"),
                post_percent: 60,
                weight: 3.0,
                keys: 300,
            },
            ServiceTraffic {
                service: "tonnage",
                targets: 10,
                new_targets: 3,
                slots: 6,
                work_us: 10_000,
                path: "/tonnage?quarry={key}",
                key_header: None,
                post_percent: 0,
                weight: 1.0,
                keys: 50,
            },
        ],
    },
];

/// Results of a run.
pub struct Report {
    /// Name of the example.
    pub name: &'static str,
    /// Time from the submission of the first bundle until it was in force on every VM.
    pub in_force: Duration,
    /// The same time for the bundle that changed the traffic split under load.
    pub split: Duration,
    /// Summary of the requests of the caller.
    pub summary: Summary,
    /// Number of times that the commits of a shard moved from one target to another.
    pub moves: u64,
    /// Result of checking the journals against the records.
    pub check: CheckReport,
}

impl Report {
    /// Returns whether all rules hold: no request was executed twice, lost or answered with the
    /// response to another.
    pub fn holds(&self) -> bool {
        self.check.holds()
    }

    /// Prints the report as tables.
    pub fn print(&self) {
        let count = |outcome| self.summary.outcomes.get(&outcome).copied().unwrap_or(0);
        println!("\n== {} ==", self.name);
        println!(
            "bundle in force on every VM after {} ms; split changed under load after {} ms",
            self.in_force.as_millis(),
            self.split.as_millis()
        );
        println!(
            "{:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7}",
            "requests", "ok", "not run", "unknown", "other", "p50 ms", "p99 ms", "moves"
        );
        let known = [Outcome::Ok, Outcome::NotRun, Outcome::Unknown];
        let named: u64 = known.into_iter().map(count).sum();
        println!(
            "{:>9} {:>9} {:>9} {:>9} {:>9} {:>9.2} {:>9.2} {:>7}",
            self.summary.requests,
            count(Outcome::Ok),
            count(Outcome::NotRun),
            count(Outcome::Unknown),
            self.summary.requests - named,
            self.summary.p50_ms,
            self.summary.p99_ms,
            self.moves
        );
        println!(
            "{:<14} {:>9} {:>9} {:>22}",
            "service", "requests", "ok", "unavailable ms (key)"
        );
        for service in &self.summary.services {
            let key = service.unavailable.key.as_deref().unwrap_or("-");
            println!(
                "{:<14} {:>9} {:>9} {:>14.0} ({key})",
                service.service, service.requests, service.ok, service.unavailable.ms
            );
        }
        println!("{}", self.check);
    }
}

/// Runs one example with its files in the directory `folder` and its bundle from the directory
/// `bundles`.
///
/// # Errors
///
/// Returns an error if a process cannot be started or does not become ready in time.
pub fn run(
    example: &Example,
    programs: &Programs,
    bundles: &Path,
    folder: &Path,
) -> Result<Report, FleetError> {
    let mut fleet = Fleet::start(FleetOptions {
        programs: programs.clone(),
        folder: folder.join(example.name),
        domains: 3,
        vms: 3,
        extra_settings: "drain: {notice: 200ms, limit: 5s}\n".into(),
    })?;
    let first = VmLocation { domain: 1, vm: 1 };
    fleet.wait_for_leader(START_TIMEOUT)?;
    let mut bundle = read_bundle(bundles, example.name)?;
    let version = fleet.submit_bundle(bundle.clone(), first)?;
    let in_force = fleet.wait_for_bundle(version, START_TIMEOUT)?;
    start_targets(&mut fleet, example)?;
    let keyed: Vec<&str> = example
        .traffic
        .iter()
        .filter(|traffic| traffic.keys > 0)
        .map(|traffic| traffic.service)
        .collect();
    fleet.wait_for_owners(&keyed, START_TIMEOUT)?;

    let records = folder.join(format!("{}.records", example.name));
    let caller = start_caller(&fleet, example, &records);
    let start = Instant::now();
    let sleep_until = |second: u64| {
        let deadline = start + Duration::from_secs(second);
        thread::sleep(deadline.saturating_duration_since(Instant::now()));
    };
    sleep_until(1);
    for service in &mut bundle.services {
        if keyed.contains(&&*service.name) {
            service.new_percent = NEW_SHARE_PERCENT;
        }
    }
    let version = fleet.submit_bundle(bundle, first)?;
    let split = fleet.wait_for_bundle(version, START_TIMEOUT)?;
    sleep_until(4);
    let victim = format!("{}-1-1", keyed[0]);
    fleet.kill_target(&victim);
    sleep_until(6);
    let restarted = VmLocation { domain: 2, vm: 2 };
    fleet.kill_daemon(restarted);
    sleep_until(8);
    fleet.start_daemon(restarted)?;
    fleet.set_partition(Some(3))?;
    sleep_until(11);
    fleet.set_partition(None)?;

    let summary = caller
        .join()
        .map_err(|_| FleetError::new("call", "the caller panicked"))?
        .map_err(FleetError::io("call"))?;
    let entries = read_journals(&fleet)?;
    let records: Vec<AttemptRecord> =
        read_lines(&records).map_err(FleetError::io("read the records"))?;
    Ok(Report {
        name: example.name,
        in_force,
        split,
        summary,
        moves: count_moves(&entries),
        check: check(&entries, &records),
    })
}

fn read_bundle(folder: &Path, name: &str) -> Result<Bundle, FleetError> {
    let file = folder.join(format!("{name}.yaml"));
    let text = std::fs::read_to_string(file).map_err(FleetError::io("read the bundle"))?;
    parse_bundle(&text).map_err(|err| FleetError::new("parse the bundle", err))
}

/// Starts the targets of an example, distributed over the domains. One target in four does not
/// check fencing tokens.
fn start_targets(fleet: &mut Fleet, example: &Example) -> Result<(), FleetError> {
    let mut numbers = [0u8; 3];
    for traffic in example.traffic {
        for i in 0..traffic.targets {
            let domain = i % 3;
            let number = &mut numbers[usize::from(domain)];
            *number += 1;
            fleet.start_target(&TargetProcessOptions {
                domain: domain + 1,
                number: *number,
                service: traffic.service.into(),
                side: if i < traffic.new_targets {
                    "new"
                } else {
                    "old"
                },
                slots: traffic.slots,
                work_us: traffic.work_us,
                checks_tokens: i % 4 != 3,
                key_header: traffic.key_header.unwrap_or("x-key").into(),
            })?;
        }
    }
    Ok(())
}

fn start_caller(
    fleet: &Fleet,
    example: &Example,
    records: &Path,
) -> thread::JoinHandle<std::io::Result<Summary>> {
    let services = example
        .traffic
        .iter()
        .map(|traffic| ScriptService {
            name: traffic.service.into(),
            path: traffic.path.into(),
            key_header: traffic.key_header.map(Into::into),
            keys: traffic.keys,
            post_percent: traffic.post_percent,
            weight: traffic.weight,
            body_size: 100,
            idempotent: true,
        })
        .collect();
    let options = CallerOptions {
        name: example.name.into(),
        vms: fleet.caller_addresses(),
        script: Script { services },
        seed: 1,
        rate: REQUEST_RATE,
        threads: 96,
        duration: RUN_DURATION,
        attempt_timeout: Duration::from_secs(6),
        deadline_ms: Some(2_000),
        max_retries: 3,
        retry_delay: Duration::from_millis(50),
        retry_unknown: true,
        key_shift: (0, Duration::ZERO),
        source_ip: None,
        records: Some(records.to_path_buf()),
    };
    thread::spawn(move || run_caller(options))
}

fn read_journals(fleet: &Fleet) -> Result<Vec<JournalEntry>, FleetError> {
    let mut entries = Vec::new();
    let journals: Vec<PathBuf> = fleet
        .targets()
        .iter()
        .map(|target| target.journal.clone())
        .filter(|journal| journal.exists())
        .collect();
    for journal in journals {
        let lines: Vec<JournalEntry> =
            read_lines(&journal).map_err(FleetError::io("read a journal"))?;
        entries.extend(lines);
    }
    entries.sort_by_key(|entry| entry.wall_us);
    Ok(entries)
}

/// Counts how often the commits of a shard move from one target to another.
fn count_moves(entries: &[JournalEntry]) -> u64 {
    let mut owners = std::collections::BTreeMap::new();
    let mut moves = 0;
    for entry in entries.iter().filter(|e| e.phase == Phase::Commit) {
        if let Some(shard) = &entry.shard {
            let before = owners.insert(shard.clone(), entry.target.clone());
            moves += u64::from(before.is_some_and(|before| before != entry.target));
        }
    }
    moves
}
