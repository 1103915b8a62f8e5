//! Further findings, which have no folder: `review-case NAME RECORD`, with `deadly`, `same`, `leave`,
//! `pause` or `slow`.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cases::{ABANDONED, CONTACT_MS, DRAIN_MS, Trouble, configuration, sleep, spec, start},
    client::{Client, HOST, Load, Outcome, next_id, summarize},
    fleet::slow_link,
    record::Record,
    upstream::{LONG_ANSWER, Spec},
};

pub fn run(case: &str, record: Record, trouble: Trouble) -> io::Result<bool> {
    match case {
        "deadly" => deadly(record, trouble),
        "same" => same(record, trouble),
        "leave" => leave(record, trouble),
        "pause" => pause(record, trouble),
        "slow" => slow(record, trouble),
        _ => Err(io::Error::other("no such case")),
    }
}

/// A request crashes each upstream that runs it and comes again every three seconds. Heartbeats of
/// upstreams are three seconds late.
fn deadly(record: Record, trouble: Trouble) -> io::Result<bool> {
    let routes = [("r-1", "/lepu/", "safe", 1000, 400, "browse")];
    let body = configuration(&routes, &[("browse", false)]);
    let mut fleet = start(record.clone(), 2, &body)?;
    let mut via = Vec::new();
    if trouble.has("late") {
        for number in 1..=3 {
            let proxy = fleet.free_address()?;
            slow_link(proxy, fleet.control(number), Duration::from_millis(3000))?;
            via.push(format!("{}={proxy}", fleet.control(number)));
        }
    }
    let mut specs = Vec::new();
    for number in 1..=8 {
        let spec = Spec {
            work_ms: 50,
            via: via.clone(),
            ..spec(&fleet, &format!("i-{number}-0"), "browse")?
        };
        fleet.start_upstream(&spec)?;
        specs.push(spec);
    }
    let fronts = [fleet.front(1), fleet.front(2)];
    let pause = Duration::from_millis(60);
    let load = Load::start(&fronts, 3, "GET /lepu/", false, pause, &record);
    sleep(9000);
    let begun = Instant::now();
    let mut back: Vec<(Instant, Spec)> = Vec::new();
    let mut starts = 0;
    let mut clients = fronts.map(|front| Client::new(front, record.clone()));
    let mut next_deadly = Instant::now();
    let mut deadly_sent = 0;
    while begun.elapsed() < Duration::from_secs(70) && !ABANDONED.load(Ordering::SeqCst) {
        if Instant::now() >= next_deadly {
            next_deadly = Instant::now() + Duration::from_millis(3000);
            deadly_sent += 1;
            let outcome = clients[deadly_sent % 2].send("GET /lepu/deadly", None, 1000, b"");
            record.write(&format!(
                "deadly request {}: {} {}",
                outcome.id, outcome.status, outcome.reason
            ));
        }
        for id in fleet.take_ended_upstreams() {
            if let Some(spec) = specs.iter_mut().find(|spec| spec.id == id) {
                starts += 1;
                let base = id.rsplit_once('-').map_or(id.as_str(), |(base, _)| base);
                spec.id = format!("{base}-{starts}");
                back.push((Instant::now() + Duration::from_millis(3000), spec.clone()));
            }
        }
        let due = |(at, _): &mut (Instant, Spec)| Instant::now() >= *at;
        for (_, spec) in back.extract_if(.., due).collect::<Vec<_>>() {
            fleet.start_upstream(&spec)?;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let outcomes = load.finish();
    summarize(&record, "clients", &outcomes);
    let mut events = fleet.seen();
    events.sort_by_key(|event| event.at);
    let crashes = events.iter().filter(|e| e.text.starts_with("crash "));
    let third = crashes.clone().nth(2).map(|event| event.at);
    let runs = events.iter().filter(|e| e.text.ends_with("/deadly"));
    let limit = third.map_or(u64::MAX, |third| third + CONTACT_MS);
    let late = runs.clone().filter(|run| run.at > limit).count();
    record.write(&format!(
        "the request was sent {deadly_sent} times and ran {} times; it crashed {} upstreams, the \
         third at {:?} ms; it ran {late} times later than {CONTACT_MS} ms after that",
        runs.count(),
        crashes.count(),
        third
    ));
    Ok(late > 3)
}

/// The upstreams of one zone crash together while they run the same order of several clients.
fn same(record: Record, trouble: Trouble) -> io::Result<bool> {
    let routes = [("r-1", "/lepu/", "unsafe", 1000, 400, "orders")];
    let body = configuration(&routes, &[("orders", false)]);
    let mut fleet = start(record.clone(), 2, &body)?;
    let mut specs = Vec::new();
    for number in 1..=6 {
        let spec = Spec {
            work_ms: 120,
            zone: if number <= 3 { "a" } else { "b" }.to_owned(),
            ..spec(&fleet, &format!("i-{number}-0"), "orders")?
        };
        fleet.start_upstream(&spec)?;
        specs.push(spec);
    }
    let fronts = [fleet.front(1), fleet.front(2)];
    let stop: Arc<AtomicBool> = Arc::default();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..16 {
        let mut client = Client::new(fronts[number % 2], record.clone());
        let (stop, outcomes) = (stop.clone(), outcomes.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let outcome = client.send("POST /lepu/nightly", None, 1000, b"{}");
                if let Ok(mut all) = outcomes.lock() {
                    all.push(outcome);
                }
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    sleep(6000);
    let crashed_at = record.now();
    if trouble.has("crash") {
        for number in 1..=3 {
            fleet.end_upstream(&format!("i-{number}-0"));
        }
        sleep(4500);
        for spec in &mut specs[..3] {
            spec.id = spec.id.replace("-0", "-1");
            fleet.start_upstream(spec)?;
        }
    }
    sleep(20_000);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let all = outcomes.lock().map(|all| all.clone()).unwrap_or_default();
    summarize(&record, "clients", &all);
    let denied = all.iter().filter(|o| o.status == 400);
    let late = denied
        .clone()
        .filter(|o| o.sent_at > crashed_at + CONTACT_MS);
    record.write(&format!(
        "400: {}, of these later than contact_ms {}",
        denied.count(),
        late.clone().count()
    ));
    Ok(late.count() > 5 + all.len() / 500)
}

/// The first heartbeat of an upstream is four seconds late. Before it arrives, the upstream says that
/// it leaves.
fn leave(record: Record, trouble: Trouble) -> io::Result<bool> {
    let routes = [("r-1", "/lepu/", "safe", 1000, 400, "browse")];
    let body = configuration(&routes, &[("browse", false)]);
    let mut fleet = start(record.clone(), 2, &body)?;
    let leader = fleet.leader().ok_or(io::Error::other("no leader"))?;
    for id in ["i-1", "i-2"] {
        let spec = Spec {
            work_ms: 90,
            ..spec(&fleet, id, "browse")?
        };
        fleet.start_upstream(&spec)?;
    }
    let fronts = [fleet.front(1), fleet.front(2)];
    let load = Load::start(
        &fronts,
        8,
        "GET /lepu/",
        false,
        Duration::from_millis(40),
        &record,
    );
    sleep(3000);
    let mut spec = Spec {
        work_ms: 90,
        ..spec(&fleet, "once-1", "browse")?
    };
    spec.once = true;
    spec.controls = vec![fleet.control(leader).to_string()];
    if trouble.has("late") {
        let proxy = fleet.free_address()?;
        slow_link(proxy, fleet.control(leader), Duration::from_millis(4000))?;
        spec.via.push(format!("{}={proxy}", fleet.control(leader)));
    }
    fleet.start_upstream(&spec)?;
    sleep(1200);
    fleet.tell("once-1", "leave");
    let acknowledged = fleet.wait_for("leave", Duration::from_secs(5), |e| {
        e.text.contains("leave acknowledged")
    })?;
    sleep(8000);
    summarize(&record, "clients", &load.finish());
    let late = fleet
        .seen()
        .iter()
        .filter(|e| {
            e.upstream == "once-1"
                && e.text.starts_with("run ")
                && e.at > acknowledged.at + DRAIN_MS
        })
        .count();
    record.write(&format!(
        "acknowledged at {}; requests later than drain_ms: {late}",
        acknowledged.at
    ));
    Ok(late > 0)
}

/// Upstreams turn all requests away with 503 and want nothing for 15 minutes; with `TROUBLE=0`, for one
/// minute.
fn pause(record: Record, trouble: Trouble) -> io::Result<bool> {
    let routes = [("r-1", "/lepu/", "safe", 1000, 400, "browse")];
    let body = configuration(&routes, &[("browse", false)]);
    let mut fleet = start(record.clone(), 1, &body)?;
    let seconds = if trouble.has("long") { "900" } else { "60" };
    for id in ["busy-1", "busy-2"] {
        let spec = Spec {
            work_ms: 90,
            retry_after: seconds.to_owned(),
            ..spec(&fleet, id, "browse")?
        };
        fleet.start_upstream(&spec)?;
    }
    let load = Load::start(
        &[fleet.front(1)],
        8,
        "GET /lepu/",
        false,
        Duration::from_millis(30),
        &record,
    );
    sleep(12_000);
    summarize(&record, "clients", &load.finish());
    let away: Vec<u64> = fleet
        .seen()
        .iter()
        .filter(|e| e.text.starts_with("turned away"))
        .map(|e| e.at)
        .collect();
    let first = away.first().copied().unwrap_or(u64::MAX);
    let late = away
        .iter()
        .filter(|at| **at > first.saturating_add(500))
        .count();
    record.write(&format!(
        "turned away {}, of these {late} later than half a second after the first",
        away.len()
    ));
    Ok(late > 2)
}

/// Clients read answers of 24 MiB at 1 MiB/s each; with `TROUBLE=0`, as fast as they can.
fn slow(record: Record, trouble: Trouble) -> io::Result<bool> {
    let routes = [("r-1", "/long/", "safe", 60_000, 30_000, "store")];
    let body = configuration(&routes, &[("store", false)]);
    let mut fleet = start(record.clone(), 1, &body)?;
    for id in ["i-1", "i-2", "i-3"] {
        let spec = spec(&fleet, id, "store")?;
        fleet.start_upstream(&spec)?;
    }
    sleep(3000);
    let to = fleet.front(1);
    let rate: usize = if trouble.has("slow") {
        1 << 20
    } else {
        1 << 30
    };
    let mut threads = Vec::new();
    for _ in 0..5 {
        let record = record.clone();
        threads.push(thread::spawn(move || read_slowly(to, rate, &record)));
    }
    let (mut whole, mut cut) = (0, 0);
    for thread in threads {
        match thread.join() {
            Ok(Ok(Reading::Whole)) => whole += 1,
            Ok(Ok(Reading::Cut)) => cut += 1,
            _ => {}
        }
    }
    record.write(&format!(
        "answers with status 200: {whole} whole, {cut} cut off"
    ));
    Ok(cut > 3)
}

enum Reading {
    Whole,
    Cut,
    Refused,
}

/// Sends a request and reads its answer with `rate` bytes a second.
fn read_slowly(to: SocketAddr, rate: usize, record: &Record) -> io::Result<Reading> {
    let mut stream = TcpStream::connect(to)?;
    let id = next_id();
    write!(
        stream,
        "GET /long/1 HTTP/1.1\r\nHost: {HOST}\r\nCamphordale-Request-Id: {id}\r\n\
         Camphordale-Deadline-Ms: 60000\r\n\r\n"
    )?;
    let begun = Instant::now();
    let mut buffer = vec![0; 64 << 10];
    let mut total = 0;
    while total <= LONG_ANSWER {
        let count = stream.read(&mut buffer).unwrap_or(0);
        if total == 0 && !buffer.starts_with(b"HTTP/1.1 200") {
            record.write(&format!("{id}: refused"));
            return Ok(Reading::Refused);
        }
        if count == 0 {
            let after = begun.elapsed().as_millis();
            record.write(&format!("{id}: closed after {total} bytes and {after} ms"));
            return Ok(Reading::Cut);
        }
        total += count;
        let due = Duration::from_secs_f64(total as f64 / rate as f64);
        thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    Ok(Reading::Whole)
}
