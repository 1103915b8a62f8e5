//! Compares throughput and latency through one VM with direct requests to the target.

use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_standin::{
    LoadOptions, LoadReport,
    fleet::{
        CALLER_PORT,
        VmLocation, //
    },
    run_load,
};

use crate::{
    MeasureError, MeasuredValues, RunOptions, Spread, Table,
    deployment::{
        Client,
        Deployment,
        KEYED,
        OPEN,
        START_TIMEOUT,
        Shape, //
    },
    stats::quantile,
};

/// Connections that the load generator opens.
const CONNECTIONS: usize = 32;

/// Slots of each target: more than there are connections, so that they do not limit the load.
const SLOTS: u32 = 64;

/// Ports of the two targets.
const PORTS: [u16; 2] = [9101, 9102];

/// Smallest acceptable ratio of the request rate through the router to the direct one.
const MIN_RATIO: f64 = 0.45;

/// Runs the benchmark.
///
/// # Errors
///
/// Fails when the deployment cannot be started or does not respond.
pub fn measure(
    options: &RunOptions,
    measured: &mut MeasuredValues,
) -> Result<Vec<Table>, MeasureError> {
    let shape = Shape {
        domains: 1,
        vms: 1,
        shards: 64,
        slots: SLOTS,
    };
    let mut deployment = Deployment::start(options, shape)?;
    let (keyed, _keyed) = deployment.add_target_without_journal(KEYED, PORTS[0], SLOTS, options)?;
    let (open, _open) = deployment.add_target_without_journal(OPEN, PORTS[1], SLOTS, options)?;
    deployment.await_stable(START_TIMEOUT)?;
    // The warm-up of the targets takes 1 s.
    thread::sleep(Duration::from_secs(2));
    let router = deployment
        .fleet
        .address(VmLocation { domain: 1, vm: 1 }, CALLER_PORT);

    let mut closed_loop = Table::new(
        "Closed loop, 32 connections, GET",
        &[
            "path",
            "requests/s",
            "p50 µs",
            "p99 µs",
            "errors",
            "ratio to direct",
        ],
    );
    let mut open_loop = Table::new(
        "Open loop at half of the router's greatest rate, GET",
        &["path", "requests/s", "p50 µs", "p99 µs", "added at p99 µs"],
    );
    let seconds = if options.trial { 1.0 } else { 3.0 };
    let rounds = options.count(10);
    closed_loop.condition(options.command("http"));
    closed_loop.condition(format!(
        "{rounds} rounds, direct and router in turn, {seconds} s each; one VM, one target per \
         service with 64 slots and no work; forward: 3 VMs, requests go to one \
         that is not the sender; all on one machine; min / median / max; the ratio is \
         of the same round; at least {MIN_RATIO}"
    ));
    open_loop.condition(format!(
        "{rounds} rounds, direct and router in turn, {seconds} s each, 32 connections; latency \
         counts from the time a request was due; added: router minus direct of the same round; \
         limit 1000"
    ));
    let mut bench = LoadBench {
        closed_loop,
        open_loop,
        rounds,
        time: Duration::from_secs_f64(seconds),
    };
    bench.measure_path(KEYED, KEYED, keyed, router, measured)?;
    bench.measure_path(OPEN, OPEN, open, router, measured)?;
    drop(deployment);

    // Requests that arrive at a VM other than the sender are forwarded.
    let shape = Shape { vms: 3, ..shape };
    let mut deployment = Deployment::start(options, shape)?;
    let (target, _target) =
        deployment.add_target_without_journal(KEYED, PORTS[0], SLOTS, options)?;
    deployment.await_stable(START_TIMEOUT)?;
    thread::sleep(Duration::from_secs(2));
    let shards = deployment.shards(1)?;
    let sender = shards[0]["sender"].as_u64().unwrap_or_default();
    let vm = if sender == 11 { 2 } else { 1 };
    let other = deployment
        .fleet
        .address(VmLocation { domain: 1, vm }, CALLER_PORT);
    bench.measure_path("forward", KEYED, target, other, measured)?;
    Ok(vec![bench.closed_loop, bench.open_loop])
}

/// Fills the result tables.
struct LoadBench {
    closed_loop: Table,
    open_loop: Table,
    rounds: usize,
    time: Duration,
}

impl LoadBench {
    /// Compares requests for one path through the router with direct requests to the target.
    fn measure_path(
        &mut self,
        name: &str,
        service: &str,
        target: SocketAddr,
        router: SocketAddr,
        measured: &mut MeasuredValues,
    ) -> Result<(), MeasureError> {
        let path = format!("/{service}/book-7");
        let (time, rounds) = (self.time, self.rounds);
        let run_closed_loop = |address| run_closed_loop(address, &path, time);
        run_closed_loop(router)?;
        let (mut direct, mut routed) = (Vec::new(), Vec::new());
        for _ in 0..rounds {
            direct.push(run_closed_loop(target)?);
            routed.push(run_closed_loop(router)?);
        }
        let pairs = direct.iter().zip(&routed);
        let ratio = Spread::of(pairs.map(|(d, r)| r.per_second / d.per_second));
        closed_loop_row(
            &mut self.closed_loop,
            &format!("{name}, direct"),
            &direct,
            None,
        );
        closed_loop_row(
            &mut self.closed_loop,
            &format!("{name}, router"),
            &routed,
            Some(ratio),
        );
        let rate = Spread::of(routed.iter().map(|r| r.per_second)).median;
        measured.set(&format!("http.{name}_rate"), rate);
        measured.set(&format!("http.{name}_ratio"), ratio.median);

        let half_rate = rate / 2.0;
        let run_open_loop = |address| run_open_loop(address, &path, half_rate, time);
        let (mut direct, mut routed) = (Vec::new(), Vec::new());
        for _ in 0..rounds {
            direct.push(run_open_loop(target)?);
            routed.push(run_open_loop(router)?);
        }
        let pairs = direct.iter().zip(&routed);
        let added = Spread::of(pairs.map(|(d, r)| r.p99_us - d.p99_us));
        open_loop_row(
            &mut self.open_loop,
            &format!("{name}, direct"),
            half_rate,
            &direct,
            None,
        );
        open_loop_row(
            &mut self.open_loop,
            &format!("{name}, router"),
            half_rate,
            &routed,
            Some(added),
        );
        measured.set(&format!("http.{name}_added_p99_us"), added.median);
        Ok(())
    }
}

fn run_closed_loop(
    address: SocketAddr,
    path: &str,
    time: Duration,
) -> Result<LoadReport, MeasureError> {
    run_load(&LoadOptions {
        address,
        connections: CONNECTIONS,
        duration: time,
        method: "GET".into(),
        path: path.into(),
        headers: Vec::new(),
        body_size: 0,
    })
    .map_err(MeasureError::file("load"))
}

fn closed_loop_row(table: &mut Table, name: &str, reports: &[LoadReport], ratio: Option<Spread>) {
    let of = |value: fn(&LoadReport) -> f64| Spread::of(reports.iter().map(value));
    let errors: u64 = reports.iter().flat_map(|r| r.errors.values()).sum();
    table.row([
        name.to_string(),
        format!("{:.0}", of(|r| r.per_second)),
        format!("{:.0}", of(|r| r.p50_us)),
        format!("{:.0}", of(|r| r.p99_us)),
        errors.to_string(),
        ratio.map_or_else(|| "-".into(), |ratio| format!("{ratio:.3}")),
    ]);
}

#[derive(Clone, Copy, Debug)]
struct OpenLoopReport {
    p50_us: f64,
    p99_us: f64,
    rate: f64,
}

/// Sends requests at a fixed rate over [`CONNECTIONS`] connections. The latency of a request counts
/// from the time at which it was due, also if it starts late because the previous request on its
/// connection was slow.
fn run_open_loop(
    address: SocketAddr,
    path: &str,
    rate: f64,
    time: Duration,
) -> Result<OpenLoopReport, MeasureError> {
    let start = Instant::now();
    let interval = CONNECTIONS as f64 / rate;
    let send_loop = |number: usize| {
        let mut client = Client::new(address);
        let mut latencies_us = Vec::new();
        let first = interval * number as f64 / CONNECTIONS as f64;
        for count in 0.. {
            let due = Duration::from_secs_f64(first + interval * f64::from(count));
            if due >= time {
                break;
            }
            thread::sleep(due.saturating_sub(start.elapsed()));
            if let Ok((200, _)) = client.get(path, "") {
                latencies_us.push((start.elapsed() - due).as_secs_f64() * 1e6);
            }
        }
        latencies_us
    };
    let mut all: Vec<f64> = thread::scope(|scope| {
        let threads: Vec<_> = (0..CONNECTIONS)
            .map(|number| scope.spawn(move || send_loop(number)))
            .collect();
        let joined = threads.into_iter().filter_map(|thread| thread.join().ok());
        joined.flatten().collect()
    });
    if all.is_empty() {
        return Err(MeasureError::unexpected(
            "pace",
            "no request got a response with status 200",
        ));
    }
    all.sort_by(f64::total_cmp);
    Ok(OpenLoopReport {
        p50_us: quantile(&all, 0.5),
        p99_us: quantile(&all, 0.99),
        rate: all.len() as f64 / time.as_secs_f64(),
    })
}

fn open_loop_row(
    table: &mut Table,
    name: &str,
    rate: f64,
    reports: &[OpenLoopReport],
    added: Option<Spread>,
) {
    let of = |value: fn(&OpenLoopReport) -> f64| Spread::of(reports.iter().map(value));
    table.row([
        name.to_string(),
        format!("{:.0} of {rate:.0}", of(|p| p.rate).median),
        format!("{:.0}", of(|p| p.p50_us)),
        format!("{:.0}", of(|p| p.p99_us)),
        added.map_or_else(|| "-".into(), |added| format!("{added:.0}")),
    ]);
}
