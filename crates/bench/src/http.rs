//! Requests per second and latency through one VM against the target alone.

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
    MeasureError, Run, Slopes, Spread, Table,
    deployment::{
        Client,
        Deployment,
        KEYED,
        OPEN,
        START_LIMIT,
        Shape, //
    },
    stats::quantile,
};

/// Connections of the load.
const CONNECTIONS: usize = 32;

/// Slots of the target, so that they do not bound the load.
const SLOTS: u32 = 64;

/// Ports of the two targets.
const PORTS: [u16; 2] = [9101, 9102];

/// Least ratio of the requests per second.
const LEAST_RATIO: f64 = 0.45;

/// Measures the section.
///
/// # Errors
///
/// Fails when the deployment cannot be started or does not answer.
pub fn measure(run: &Run, slopes: &mut Slopes) -> Result<Vec<Table>, MeasureError> {
    let shape = Shape {
        domains: 1,
        vms: 1,
        shards: 64,
        slots: SLOTS,
    };
    let mut deployment = Deployment::start(run, shape)?;
    let (keyed, _keyed) = deployment.add_plain_target(KEYED, PORTS[0], SLOTS, run)?;
    let (open, _open) = deployment.add_plain_target(OPEN, PORTS[1], SLOTS, run)?;
    deployment.await_quiet(START_LIMIT)?;
    // The targets are warm after 1 s.
    thread::sleep(Duration::from_secs(2));
    let router = deployment
        .fleet
        .address(VmLocation { domain: 1, vm: 1 }, CALLER_PORT);

    let mut loads = Table::new(
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
    let mut paces = Table::new(
        "Open loop at half of the router's greatest rate, GET",
        &["path", "requests/s", "p50 µs", "p99 µs", "added at p99 µs"],
    );
    let seconds = if run.trial { 1.0 } else { 3.0 };
    let rounds = run.count(10);
    loads.condition(run.command("http"));
    loads.condition(format!(
        "{rounds} rounds, direct and router in turn, {seconds} s each; one VM, one target per \
         service with 64 slots and no work; forward: 3 VMs, asked is the one \
         that is not the sender; all on one machine; min / median / max; the ratio is \
         of the same round; at least {LEAST_RATIO}"
    ));
    paces.condition(format!(
        "{rounds} rounds, direct and router in turn, {seconds} s each, 32 connections; latency \
         counts from the time a request was due; added: router minus direct of the same round; \
         limit 1000"
    ));
    let mut bench = Bench {
        loads,
        paces,
        rounds,
        time: Duration::from_secs_f64(seconds),
    };
    bench.path(KEYED, KEYED, keyed, router, slopes)?;
    bench.path(OPEN, OPEN, open, router, slopes)?;
    drop(deployment);

    // A request that arrives at another VM than the sender.
    let shape = Shape { vms: 3, ..shape };
    let mut deployment = Deployment::start(run, shape)?;
    let (target, _target) = deployment.add_plain_target(KEYED, PORTS[0], SLOTS, run)?;
    deployment.await_quiet(START_LIMIT)?;
    thread::sleep(Duration::from_secs(2));
    let shards = deployment.shards(1)?;
    let sender = shards[0]["sender"].as_u64().unwrap_or_default();
    let vm = if sender == 11 { 2 } else { 1 };
    let other = deployment
        .fleet
        .address(VmLocation { domain: 1, vm }, CALLER_PORT);
    bench.path("forward", KEYED, target, other, slopes)?;
    Ok(vec![bench.loads, bench.paces])
}

/// The tables while they are filled.
struct Bench {
    loads: Table,
    paces: Table,
    rounds: usize,
    time: Duration,
}

impl Bench {
    /// Measures one path through the router against the target alone.
    fn path(
        &mut self,
        name: &str,
        service: &str,
        target: SocketAddr,
        router: SocketAddr,
        slopes: &mut Slopes,
    ) -> Result<(), MeasureError> {
        let path = format!("/{service}/book-7");
        let (time, rounds) = (self.time, self.rounds);
        let load = |address| load(address, &path, time);
        load(router)?;
        let (mut direct, mut routed) = (Vec::new(), Vec::new());
        for _ in 0..rounds {
            direct.push(load(target)?);
            routed.push(load(router)?);
        }
        let both = direct.iter().zip(&routed);
        let ratio = Spread::of(both.map(|(d, r)| r.per_second / d.per_second));
        load_row(&mut self.loads, &format!("{name}, direct"), &direct, None);
        load_row(
            &mut self.loads,
            &format!("{name}, router"),
            &routed,
            Some(ratio),
        );
        let rate = Spread::of(routed.iter().map(|r| r.per_second)).median;
        slopes.set(&format!("http.{name}_rate"), rate);
        slopes.set(&format!("http.{name}_ratio"), ratio.median);

        let half = rate / 2.0;
        let pace = |address| pace(address, &path, half, time);
        let (mut direct, mut routed) = (Vec::new(), Vec::new());
        for _ in 0..rounds {
            direct.push(pace(target)?);
            routed.push(pace(router)?);
        }
        let both = direct.iter().zip(&routed);
        let added = Spread::of(both.map(|(d, r)| r.p99 - d.p99));
        pace_row(
            &mut self.paces,
            &format!("{name}, direct"),
            half,
            &direct,
            None,
        );
        pace_row(
            &mut self.paces,
            &format!("{name}, router"),
            half,
            &routed,
            Some(added),
        );
        slopes.set(&format!("http.{name}_added_p99_us"), added.median);
        Ok(())
    }
}

fn load(address: SocketAddr, path: &str, time: Duration) -> Result<LoadReport, MeasureError> {
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

fn load_row(table: &mut Table, name: &str, reports: &[LoadReport], ratio: Option<Spread>) {
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
struct Pace {
    p50: f64,
    p99: f64,
    rate: f64,
}

/// Sends at a fixed rate over [`CONNECTIONS`] connections. A request that starts late because
/// the one before it took long counts from the time at which it was due.
fn pace(address: SocketAddr, path: &str, rate: f64, time: Duration) -> Result<Pace, MeasureError> {
    let start = Instant::now();
    let gap = CONNECTIONS as f64 / rate;
    let sender = |number: usize| {
        let mut client = Client::new(address);
        let mut taken = Vec::new();
        let first = gap * number as f64 / CONNECTIONS as f64;
        for count in 0.. {
            let due = Duration::from_secs_f64(first + gap * f64::from(count));
            if due >= time {
                break;
            }
            thread::sleep(due.saturating_sub(start.elapsed()));
            if let Ok((200, _)) = client.get(path, "") {
                taken.push((start.elapsed() - due).as_secs_f64() * 1e6);
            }
        }
        taken
    };
    let mut all: Vec<f64> = thread::scope(|scope| {
        let senders: Vec<_> = (0..CONNECTIONS)
            .map(|number| scope.spawn(move || sender(number)))
            .collect();
        let joined = senders.into_iter().filter_map(|sender| sender.join().ok());
        joined.flatten().collect()
    });
    if all.is_empty() {
        return Err(MeasureError::result("pace", "no request was answered"));
    }
    all.sort_by(f64::total_cmp);
    Ok(Pace {
        p50: quantile(&all, 0.5),
        p99: quantile(&all, 0.99),
        rate: all.len() as f64 / time.as_secs_f64(),
    })
}

fn pace_row(table: &mut Table, name: &str, rate: f64, paces: &[Pace], added: Option<Spread>) {
    let of = |value: fn(&Pace) -> f64| Spread::of(paces.iter().map(value));
    table.row([
        name.to_string(),
        format!("{:.0} of {rate:.0}", of(|p| p.rate).median),
        format!("{:.0}", of(|p| p.p50)),
        format!("{:.0}", of(|p| p.p99)),
        added.map_or_else(|| "-".into(), |added| format!("{added:.0}")),
    ]);
}
