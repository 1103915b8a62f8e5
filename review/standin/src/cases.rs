//! The cases of the folders `review/N`. Each returns whether the rule was broken.

use std::{
    collections::BTreeSet,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Client, Load, Outcome, summarize},
    fleet::{Event, Fleet, HEARTBEAT_MS, end, resident_bytes, slow_link},
    further,
    record::Record,
    upstream::Spec,
};

pub const DRAIN_MS: u64 = 2000;
pub const CONTACT_MS: u64 = 3000;
const START_LIMIT: Duration = Duration::from_secs(20);
/// Memory of a front machine, `memory_mb` of its settings.
const MEMORY_BYTES: u64 = 260 << 20;

/// Memory of a machine of the core, `memory_mb` of its settings.
const CORE_MEMORY_BYTES: u64 = 256 << 20;
/// Changes of the configuration in the case `changes`.
const CHANGES: u64 = 500;
/// Routes that `big_config` adds at most, by the site file.
const BIG_CONFIG: usize = 367;

pub static ABANDONED: AtomicBool = AtomicBool::new(false);

/// Makes the loops of the running case end, so that it ends what it has started.
pub fn give_up() {
    ABANDONED.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));
    crate::fleet::end_all();
}

/// The parts of the disruption that are on: all of them, none with `TROUBLE=0`, or those that
/// `TROUBLE` names.
#[derive(Clone, Copy)]
pub struct Trouble<'a>(&'a str);

impl Trouble<'_> {
    pub fn has(self, part: &str) -> bool {
        match self.0 {
            "" | "1" => true,
            "0" => false,
            named => named.split(',').any(|name| name == part),
        }
    }
}

pub fn run(case: &str, path: &str, trouble: &str) -> io::Result<bool> {
    let record = Record::create(path)?;
    record.write(&format!("case {case}, TROUBLE={trouble}"));
    let trouble = Trouble(trouble);
    let result = match case {
        "changes" => changes(record.clone(), trouble),
        "owner" => owner(record.clone(), trouble),
        "foreign" => foreign(record.clone(), trouble),
        "uploads" => uploads(record.clone(), trouble),
        "drain" => drain(record.clone(), trouble),
        _ => further::run(case, record.clone(), trouble),
    };
    match &result {
        Ok(true) => record.write("the rule was broken"),
        Ok(false) => record.write("the rule held"),
        Err(error) => record.write(&format!("the case could not run: {error}")),
    }
    result
}

pub fn sleep(ms: u64) {
    let until = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < until && !ABANDONED.load(Ordering::SeqCst) {
        let left = until.saturating_duration_since(Instant::now());
        thread::sleep(left.min(Duration::from_millis(100)));
    }
}

/// A route of the configuration: name, path prefix, kind, timeout, objective, service.
pub type RouteSpec<'a> = (&'a str, &'a str, &'a str, u64, u64, &'a str);

pub fn configuration(routes: &[RouteSpec], services: &[(&str, bool)]) -> String {
    let mut resources = Vec::new();
    for (name, prefix, kind, timeout, objective, service) in routes {
        resources.push(format!(
            "{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
             \"host\":\"{}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{objective},\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":2}}}}",
            crate::client::HOST
        ));
    }
    for (name, keyed) in services {
        let keys = match keyed {
            true => ",\"sharded\":true,\"warm_s\":2.0,\"grants\":\"call\"",
            false => "",
        };
        resources.push(format!(
            "{{\"resource_type\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
             \"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\
             \"tls\":false{keys}}}}}"
        ));
    }
    resources.push(
        "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
            .to_owned(),
    );
    let resources = resources.join(",");
    format!("{{\"version\":\"00000002\",\"resources\":[{resources}]}}")
}

/// Starts the system and sends the first configuration.
pub fn start(record: Record, fronts: u8, configuration: &str) -> io::Result<Fleet> {
    let mut fleet = Fleet::new(record)?;
    fleet.start_all(fronts)?;
    let answer = fleet.operator("POST /Config.Put HTTP/1.1", Some("00000000"), configuration)?;
    fleet
        .record
        .write(&format!("configuration: {}", answer.start));
    match answer.status() {
        200 => Ok(fleet),
        _ => Err(io::Error::other("the configuration was not acknowledged")),
    }
}

pub fn spec(fleet: &Fleet, id: &str, service: &str) -> io::Result<Spec> {
    Ok(Spec {
        id: id.to_owned(),
        service: service.to_owned(),
        address: fleet.free_address()?.to_string(),
        zone: "a".to_owned(),
        slots: 4,
        queue: 16,
        work_ms: 20,
        heartbeat_ms: HEARTBEAT_MS,
        controls: (1..=3).map(|n| fleet.control(n).to_string()).collect(),
        via: Vec::new(),
        retry_after: String::new(),
        once: false,
    })
}

/// The numbers of a line `take FROM TO fence FENCE for MS`.
fn taken(event: &Event) -> Option<(usize, usize, u64)> {
    let mut words = event.text.strip_prefix("take ")?.split(' ');
    let (from, to) = (words.next()?.parse().ok()?, words.next()?.parse().ok()?);
    Some((from, to, words.nth(1)?.parse().ok()?))
}

/// Another writer sends heartbeats without the field `version`. What listens at its address answers
/// as no upstream does: without a signature.
fn foreign(record: Record, trouble: Trouble) -> io::Result<bool> {
    let routes = [("r-1", "/lepu/", "unsafe", 1000, 400, "orders")];
    let body = configuration(&routes, &[("orders", false)]);
    let mut fleet = start(record, 2, &body)?;
    for id in ["i-1", "i-2", "i-3"] {
        let spec = Spec {
            work_ms: 120,
            ..spec(&fleet, id, "orders")?
        };
        fleet.start_upstream(&spec)?;
    }
    let fronts = [fleet.front(1), fleet.front(2)];
    let pause = Duration::from_millis(40);
    let load = Load::start(&fronts, 5, "POST /lepu/", false, pause, &fleet.record);
    sleep(4000);
    if trouble.has("foreign") {
        let spec = Spec {
            work_ms: 120,
            ..spec(&fleet, "foreign-1", "orders")?
        };
        fleet.start_upstream(&spec)?;
    }
    sleep(6000);
    let outcomes = load.finish();
    summarize(&fleet.record, "clients", &outcomes);
    let unsigned = outcomes
        .iter()
        .filter(|o| (200..300).contains(&o.status) && !o.signed);
    let unsigned: Vec<&Outcome> = unsigned.collect();
    for outcome in &unsigned {
        fleet.record.write_at(
            outcome.done_at,
            &format!(
                "a client got {} without a signature for {}",
                outcome.status, outcome.id
            ),
        );
    }
    fleet.record.write(&format!(
        "successes without a signature: {}",
        unsigned.len()
    ));
    Ok(!unsigned.is_empty())
}

/// An upstream answers a grant twice, the second copy late, and leaves the next grant without an
/// answer and carries it out two seconds later. Then it drains.
fn owner(record: Record, trouble: Trouble) -> io::Result<bool> {
    let routes = [("r-1", "/lepu/", "safe", 1500, 600, "keyed-reports")];
    let body = configuration(&routes, &[("keyed-reports", true)]);
    let mut fleet = start(record, 2, &body)?;
    let ids = ["i-1", "i-2", "i-3"];
    for id in ids {
        let spec = spec(&fleet, id, "keyed-reports")?;
        fleet.start_upstream(&spec)?;
    }
    for id in ids {
        fleet.wait_for("first grants", START_LIMIT, |e| {
            e.upstream == id && e.text.starts_with("take ")
        })?;
    }
    let fronts = [fleet.front(1), fleet.front(2)];
    let pause = Duration::from_millis(50);
    let load = Load::start(&fronts, 3, "GET /lepu/", true, pause, &fleet.record);
    sleep(6000);
    for part in ["extra", "late"] {
        if trouble.has(part) {
            fleet.tell("i-1", part);
        }
    }
    for (part, text) in [("extra", "a second copy"), ("late", "it gets no answer")] {
        if trouble.has(part) {
            fleet.wait_for(text, Duration::from_secs(5), |e| {
                e.upstream == "i-1" && e.text.contains(text)
            })?;
        }
    }
    fleet.tell("i-1", "drain");
    sleep(5000);
    let outcomes = load.finish();
    summarize(&fleet.record, "clients", &outcomes);
    // The highest token with which each key was taken, by upstream.
    let mut highest: Vec<Vec<(String, u64)>> = vec![Vec::new(); 1 << 16];
    let mut events: Vec<(Event, (usize, usize, u64))> = fleet
        .seen()
        .into_iter()
        .filter_map(|event| taken(&event).map(|taken| (event, taken)))
        .collect();
    events.sort_by_key(|(event, _)| event.at);
    let mut broken = false;
    for (event, (from, to, fence)) in events {
        let mut other: Option<(String, u64)> = None;
        for known in &mut highest[from..=to] {
            let above = known
                .iter()
                .find(|(id, f)| *id != event.upstream && *f >= fence);
            other = other.or_else(|| above.cloned());
            known.push((event.upstream.clone(), fence));
        }
        if let Some((id, token)) = other {
            fleet.record.write_at(
                event.at,
                &format!(
                    "BROKEN: {} takes keys {from} to {to} with token {fence}, but {id} had some of \
                     them with token {token}",
                    event.upstream
                ),
            );
            broken = true;
        }
    }
    Ok(broken)
}

/// A heartbeat `ready` is late and arrives after the upstream's `draining` was acknowledged and the
/// leader was killed.
fn drain(record: Record, trouble: Trouble) -> io::Result<bool> {
    let routes = [("r-1", "/lepu/", "safe", 1000, 400, "browse")];
    let body = configuration(&routes, &[("browse", false)]);
    let mut fleet = start(record, 2, &body)?;
    let leader = fleet.leader().ok_or(io::Error::other("no leader"))?;
    fleet.record.write(&format!("core-{leader} leads"));
    for id in ["i-1", "i-2", "i-3"] {
        let mut spec = Spec {
            work_ms: 90,
            ..spec(&fleet, id, "browse")?
        };
        if id == "i-1" && trouble.has("late") {
            for number in (1..=3).filter(|number| *number != leader) {
                let proxy = fleet.free_address()?;
                slow_link(proxy, fleet.control(number), Duration::from_millis(6500))?;
                spec.via.push(format!("{}={proxy}", fleet.control(number)));
            }
        }
        fleet.start_upstream(&spec)?;
    }
    let fronts = [fleet.front(1), fleet.front(2)];
    let pause = Duration::from_millis(40);
    let load = Load::start(&fronts, 8, "GET /lepu/", false, pause, &fleet.record);
    fleet.wait_for("requests at i-1", START_LIMIT, |e| {
        e.upstream == "i-1" && e.text.starts_with("run ")
    })?;
    sleep(3000);
    if trouble.has("late") {
        fleet.tell("i-1", "unanswered");
        fleet.wait_for("late heartbeats", Duration::from_secs(8), |e| {
            e.upstream == "i-1" && e.text.contains("have not answered")
        })?;
    }
    fleet.tell("i-1", "drain");
    let acknowledged = fleet.wait_for("draining", Duration::from_secs(8), |e| {
        let acknowledged = e.text.contains("draining acknowledged");
        e.upstream == "i-1" && acknowledged
    })?;
    let mut in_touch_from = acknowledged.at + DRAIN_MS;
    if trouble.has("kill") {
        fleet.kill(&format!("core-{leader}"));
        sleep(400);
        fleet.start_control(leader, false)?;
        in_touch_from = in_touch_from.max(fleet.record.now() + CONTACT_MS);
    }
    for _ in 0..12 {
        sleep(1000);
        fleet.record.write(&format!("leader: {:?}", fleet.leader()));
    }
    let outcomes = load.finish();
    summarize(&fleet.record, "clients", &outcomes);
    let late = fleet.seen().into_iter().filter(|event| {
        event.upstream == "i-1" && event.text.starts_with("run ") && event.at > in_touch_from
    });
    let late: Vec<Event> = late.collect();
    fleet.record.write(&format!(
        "draining was acknowledged at {:.3}; machines are in touch and {DRAIN_MS} ms have passed \
         from {:.3}; requests that i-1 ran after that: {}",
        acknowledged.at as f64 / 1000.0,
        in_touch_from as f64 / 1000.0,
        late.len()
    ));
    Ok(!late.is_empty())
}

/// Clients upload bodies within the limits to upstreams that work on them for some seconds.
fn uploads(record: Record, trouble: Trouble) -> io::Result<bool> {
    let routes = [
        ("r-1", "/put/", "unsafe", 15_000, 8000, "store"),
        ("r-2", "/lepu/", "safe", 1000, 400, "browse"),
    ];
    let body = configuration(&routes, &[("store", false), ("browse", false)]);
    let mut fleet = start(record.clone(), 2, &body)?;
    for (id, service, work) in [
        ("i-1", "store", 5000),
        ("i-2", "store", 5000),
        ("i-3", "store", 5000),
        ("i-4", "browse", 100),
        ("i-5", "browse", 100),
    ] {
        let spec = Spec {
            work_ms: work,
            ..spec(&fleet, id, service)?
        };
        fleet.start_upstream(&spec)?;
    }
    let fronts = [fleet.front(1), fleet.front(2)];
    let pause = Duration::from_millis(20);
    let load = Load::start(&fronts, 4, "GET /lepu/", false, pause, &record);
    sleep(4000);
    // The platform kills a process that uses more than its memory.
    let killed: Arc<Mutex<Vec<String>>> = Arc::default();
    let stop: Arc<AtomicBool> = Arc::default();
    let mut watchers = Vec::new();
    for number in 1..=2 {
        let name = format!("front-{number}");
        let Some(process) = fleet.process(&name) else {
            return Err(io::Error::other("no process"));
        };
        let pid = process.lock().map_or(0, |child| child.id());
        let (killed, stop, record) = (killed.clone(), stop.clone(), record.clone());
        watchers.push(thread::spawn(move || {
            let mut peak = 0;
            while !stop.load(Ordering::SeqCst) {
                let bytes = resident_bytes(pid).unwrap_or(0);
                peak = peak.max(bytes);
                if bytes > MEMORY_BYTES {
                    let mib = bytes >> 20;
                    record.write(&format!(
                        "{name} uses {mib} MiB, over its 260 MiB; it is killed"
                    ));
                    if let Ok(mut killed) = killed.lock() {
                        killed.push(name.clone());
                    }
                    end(&process);
                    return;
                }
                thread::sleep(Duration::from_millis(5));
            }
            record.write(&format!("{name} used {} MiB at most", peak >> 20));
        }));
    }
    let length = if trouble.has("long") {
        40 << 20
    } else {
        40 << 10
    };
    let upload: Arc<Vec<u8>> = Arc::new(vec![b'x'; length]);
    let mut threads = Vec::new();
    for number in 0..16 {
        let mut client = Client::new(fronts[number % 2], record.clone());
        let (upload, record) = (upload.clone(), record.clone());
        threads.push(thread::spawn(move || {
            // A short request first, so that the connection is a kept one.
            let first = client.send("GET /lepu/1", None, 1000, b"");
            thread::sleep(Duration::from_millis(500 + 450 * number as u64));
            let outcome = client.send(&format!("POST /put/{number}"), None, 15_000, &upload);
            record.write(&format!(
                "upload {number} of {} bytes, {}: {} {} after {} ms",
                upload.len(),
                outcome.id,
                outcome.status,
                outcome.reason,
                outcome.done_at - outcome.sent_at
            ));
            (first, outcome)
        }));
    }
    let mut outcomes: Vec<Outcome> = Vec::new();
    for thread in threads {
        if let Ok((first, upload)) = thread.join() {
            outcomes.extend([first, upload]);
        }
    }
    stop.store(true, Ordering::SeqCst);
    for watcher in watchers {
        let _ = watcher.join();
    }
    summarize(&record, "uploads", &outcomes);
    let small = load.finish();
    summarize(&record, "other clients", &small);
    outcomes.extend(small);
    let passed_on: BTreeSet<String> = fleet
        .seen()
        .iter()
        .filter_map(|e| Some(e.text.strip_prefix("run ")?.split(' ').next()?.to_owned()))
        .collect();
    let lost = outcomes
        .iter()
        .filter(|o| o.closed && o.kept && passed_on.contains(&o.id));
    let lost: Vec<&Outcome> = lost.collect();
    for outcome in &lost {
        record.write(&format!(
            "passed on and closed without an answer: {} ({})",
            outcome.id, outcome.reason
        ));
    }
    let killed = killed
        .lock()
        .map(|killed| killed.clone())
        .unwrap_or_default();
    record.write(&format!(
        "killed for their memory: {killed:?}; requests of kept connections that were passed on and \
         ended without an answer: {}",
        lost.len()
    ));
    Ok(lost.len() > 3)
}

/// The platform's watch over the memory of the core: kills a process that uses more than its memory,
/// and starts it again after half a second.
struct CoreWatch {
    ends: [usize; 3],
    peaks: [u64; 3],
    back: Vec<(Instant, u8)>,
}

impl CoreWatch {
    fn look(&mut self, fleet: &mut Fleet) -> io::Result<()> {
        for number in 1..=3 {
            let name = format!("core-{number}");
            let Some(process) = fleet.process(&name) else {
                continue;
            };
            let pid = process.lock().map_or(0, |child| child.id());
            let bytes = resident_bytes(pid).unwrap_or(0);
            let index = usize::from(number) - 1;
            self.peaks[index] = bytes.max(self.peaks[index]);
            if bytes > CORE_MEMORY_BYTES {
                let mib = bytes >> 20;
                fleet
                    .record
                    .write(&format!("{name} uses {mib} MiB, over its 256 MiB"));
                fleet.kill(&name);
                self.ends[index] += 1;
                self.back
                    .push((Instant::now() + Duration::from_millis(500), number));
            }
        }
        let due = |(at, _): &mut (Instant, u8)| Instant::now() >= *at;
        for (_, number) in self.back.extract_if(.., due).collect::<Vec<_>>() {
            fleet.start_control(number, false)?;
        }
        Ok(())
    }
}

/// An operator sends hundreds of changes of a configuration that has grown by many routes twice.
fn changes(record: Record, trouble: Trouble) -> io::Result<bool> {
    let mut count = 10;
    let mut fleet = start(record.clone(), 2, &many_routes(count, 2))?;
    let mut watch = CoreWatch {
        ends: [0; 3],
        peaks: [0; 3],
        back: Vec::new(),
    };
    let (mut refused, mut unanswered) = (0, 0);
    let mut version = 2;
    let begun = Instant::now();
    let mut first_end: Option<Instant> = None;
    while version < 2 + CHANGES && begun.elapsed() < Duration::from_secs(70) {
        if [3, 4].contains(&version) && trouble.has("big") {
            count += BIG_CONFIG;
        }
        let base = format!("{version:08x}");
        let text = many_routes(count, version + 1);
        // Sent again unchanged until it has a clear answer.
        let sent = Instant::now();
        loop {
            let answer = fleet.operator_once("POST /Config.Put HTTP/1.1", Some(&base), &text);
            watch.look(&mut fleet)?;
            if let Some(answer) = answer {
                version += 1;
                if answer.status() != 200 {
                    refused += 1;
                    record.write(&format!("change {version}: {}", answer.start));
                }
                break;
            }
            unanswered += 1;
            if sent.elapsed() > Duration::from_secs(15) {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        if version % 50 == 0 {
            let mib = watch.peaks.map(|bytes| bytes >> 20);
            record.write(&format!(
                "version {version}, {} bytes: {mib:?} MiB at most",
                text.len()
            ));
        }
        if watch.ends.iter().any(|ends| *ends > 0) {
            let first = *first_end.get_or_insert(Instant::now());
            if first.elapsed() > Duration::from_secs(10) {
                break;
            }
        }
    }
    record.write(&format!(
        "{} changes, {refused} refused, {unanswered} times without an answer; the configuration is \
         read back now",
        version - 2
    ));
    let (mut reads, mut newest) = (0, 0);
    let wanted = format!("\"version\":\"{version:08x}\"");
    let reading = Instant::now();
    while reading.elapsed() < Duration::from_secs(20) {
        reads += 1;
        let answer = fleet.operator_once("GET /Config.Get HTTP/1.1", None, "");
        watch.look(&mut fleet)?;
        newest +=
            usize::from(answer.is_some_and(|a| a.status() == 200 && a.text().contains(&wanted)));
        thread::sleep(Duration::from_millis(100));
    }
    let peaks = watch.peaks.map(|bytes| bytes >> 20);
    record.write(&format!(
        "read {reads} times, answered with version {version} {newest} times; processes of the core \
         that ended for their memory: {:?} times; peaks in MiB: {peaks:?}",
        watch.ends
    ));
    // On half of the core, three times.
    Ok(watch.ends.iter().filter(|ends| **ends >= 3).count() >= 2)
}

/// A configuration with routes as on the users' pages.
fn many_routes(count: usize, version: u64) -> String {
    let mut resources = Vec::new();
    for number in 0..count {
        resources.push(format!(
            "{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"r-{number:06}x\"}},\"spec\":{{\
             \"host\":\"{}\",\"path_prefix\":\"/lepu{number:03}/\",\"kind\":\"safe\",\
             \"timeout_ms\":{},\"target_latency_ms\":400,\"priority\":2,\"traffic_split\":[\
             {{\"service\":\"huvo11a\",\"weight\":90}},{{\"service\":\"kafi81c\",\"weight\":10}}],\
             \"max_attempts\":2}}}}",
            crate::client::HOST,
            800 + version % 100
        ));
    }
    let services = [("huvo11a", false), ("kafi81c", false)];
    let rest = configuration(&[], &services);
    let rest = rest.split_once('[').map_or("", |(_, rest)| rest);
    format!(
        "{{\"version\":\"{version:08x}\",\"resources\":[{},{rest}",
        resources.join(",")
    )
}
