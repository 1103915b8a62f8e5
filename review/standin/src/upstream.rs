//! An upstream as a process of its own. It prints what it does to standard output, each line with
//! the Unix time in milliseconds, takes commands from standard input, and ends with its input.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::unix_ms,
};

const KEYS: usize = 1 << 16;
/// Length in bytes of an answer to a path that begins with `/long/`.
pub const LONG_ANSWER: usize = 24 << 20;
/// Time after which an unanswered grant is carried out in `late` trouble.
const LATE: Duration = Duration::from_millis(2000);

fn say(text: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{} {text}", unix_ms());
    let _ = out.flush();
}

/// What an upstream is started with.
#[derive(Clone, Default)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    pub work_ms: u64,
    pub heartbeat_ms: u64,
    /// Addresses that serve control.
    pub controls: Vec<String>,
    /// Addresses through which others are reached: `address=proxy`.
    pub via: Vec<String>,
    /// Seconds for which it wants nothing: it turns each request away. Empty if it runs requests.
    pub retry_after: String,
    /// Whether it sends one heartbeat only.
    pub once: bool,
}

impl Spec {
    pub fn to_args(&self) -> Vec<String> {
        vec![
            self.id.clone(),
            self.service.clone(),
            self.address.clone(),
            self.zone.clone(),
            self.slots.to_string(),
            self.queue.to_string(),
            self.work_ms.to_string(),
            self.heartbeat_ms.to_string(),
            self.controls.join(","),
            self.via.join(","),
            self.retry_after.clone(),
            self.once.to_string(),
        ]
    }

    pub fn from_args(args: &[String]) -> Option<Spec> {
        let list = |text: &String| {
            let parts = text.split(',').filter(|part| !part.is_empty());
            parts.map(str::to_owned).collect::<Vec<String>>()
        };
        let [
            id,
            service,
            address,
            zone,
            slots,
            queue,
            work,
            beat,
            controls,
            via,
            retry_after,
            once,
        ] = args
        else {
            return None;
        };
        Some(Spec {
            id: id.clone(),
            service: service.clone(),
            address: address.clone(),
            zone: zone.clone(),
            slots: slots.parse().ok()?,
            queue: queue.parse().ok()?,
            work_ms: work.parse().ok()?,
            heartbeat_ms: beat.parse().ok()?,
            controls: list(controls),
            via: list(via),
            retry_after: retry_after.clone(),
            once: once == "true",
        })
    }
}

/// Leases by key, and the highest fencing token that was seen with each key.
struct Leases {
    until: Vec<Option<Instant>>,
    seen: Vec<u64>,
}

struct Upstream {
    spec: Spec,
    born: u64,
    draining: AtomicBool,
    sequence: AtomicU64,
    beat_now: AtomicBool,
    leases: Mutex<Leases>,
    running: Mutex<(usize, usize)>,
    slot_free: Condvar,
    /// Keys of running requests.
    busy_keys: Mutex<Vec<usize>>,
    waiting: AtomicUsize,
    /// Whether the next grant meets the trouble: an extra answer comes in place of its own, or it
    /// is carried out late.
    extra: AtomicBool,
    late: AtomicBool,
    /// Whether the answer to the latest heartbeat counts as lost, so that the next nodes are called.
    unanswered: AtomicBool,
}

pub fn main(spec: Spec) -> io::Result<()> {
    let listener = TcpListener::bind(&spec.address)?;
    let upstream = Arc::new(Upstream {
        spec,
        born: unix_ms(),
        draining: AtomicBool::new(false),
        sequence: AtomicU64::new(0),
        beat_now: AtomicBool::new(false),
        leases: Mutex::new(Leases {
            until: vec![None; KEYS],
            seen: vec![0; KEYS],
        }),
        running: Mutex::new((0, 0)),
        slot_free: Condvar::new(),
        busy_keys: Mutex::new(Vec::new()),
        waiting: AtomicUsize::new(0),
        extra: AtomicBool::new(false),
        late: AtomicBool::new(false),
        unanswered: AtomicBool::new(false),
    });
    say(&format!("start born {}", upstream.born));
    let shared = upstream.clone();
    thread::spawn(move || shared.announce());
    let shared = upstream.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            thread::spawn(move || {
                let _ = shared.serve(stream);
            });
        }
    });
    for line in io::stdin().lock().lines() {
        match line?.trim() {
            "drain" => {
                upstream.draining.store(true, Ordering::SeqCst);
                upstream.beat_now.store(true, Ordering::SeqCst);
            }
            "unanswered" => {
                upstream.unanswered.store(true, Ordering::SeqCst);
                upstream.beat_now.store(true, Ordering::SeqCst);
            }
            "leave" => upstream.leave(),
            "extra" => upstream.extra.store(true, Ordering::SeqCst),
            "late" => upstream.late.store(true, Ordering::SeqCst),
            "end" => break,
            _ => {}
        }
    }
    say("end");
    Ok(())
}

impl Upstream {
    /// Whether this is no upstream, but another writer of heartbeats.
    fn is_foreign(&self) -> bool {
        self.spec.id.starts_with("foreign")
    }

    fn via(&self, to: &str) -> String {
        let found = self.spec.via.iter().find_map(|pair| {
            let (real, proxy) = pair.split_once('=')?;
            (real == to).then(|| proxy.to_owned())
        });
        found.unwrap_or_else(|| to.to_owned())
    }

    fn beat(&self) -> (u64, bool, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let draining = self.draining.load(Ordering::SeqCst);
        let state = if draining { "draining" } else { "ready" };
        let Spec {
            service,
            address,
            zone,
            slots,
            ..
        } = &self.spec;
        let version = match self.is_foreign() {
            true => "",
            false => "\"version\":\"v1\",",
        };
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             {version}\"slots\":{slots},\"state\":\"{state}\",\"warmup_left_ms\":0,\
             \"sequence\":{sequence},\"born\":{}}}",
            self.born
        );
        (sequence, draining, body)
    }

    /// Sends a heartbeat to a node and follows redirects. Returns the answer if it is an
    /// acknowledgement that came within a second.
    fn send_beat(&self, node: &str) -> Option<Message> {
        let (sequence, draining, body) = self.beat();
        let state = if draining { "draining" } else { "ready" };
        let deadline = Instant::now() + Duration::from_millis(1000);
        let mut to = node.to_owned();
        say(&format!("beat {sequence} {state} sent to {to}"));
        for _ in 0..3 {
            let start = format!("POST /Instances.Heartbeat/{} HTTP/1.1", self.spec.id);
            let headers = [
                ("Host", to.as_str()),
                ("Content-Type", "application/json"),
                ("Connection", "close"),
            ];
            let request = http::encode(&start, &headers, body.as_bytes());
            let left = deadline.saturating_duration_since(Instant::now());
            let address: SocketAddr = self.via(&to).parse().ok()?;
            let answer = http::call(address, &request, left.max(Duration::from_millis(1))).ok()?;
            if Instant::now() > deadline {
                return None;
            }
            match answer.status() {
                200..=299 => {
                    say(&format!("beat {sequence} {state} acknowledged by {to}"));
                    return Some(answer);
                }
                307 => {
                    let location = answer.header("location")?;
                    let rest = location.strip_prefix("http://")?;
                    to = rest.split('/').next()?.to_owned();
                }
                _ => return None,
            }
        }
        None
    }

    /// Says that it leaves, to the nodes in turn.
    fn leave(&self) {
        for node in &self.spec.controls {
            let mut to = node.clone();
            for _ in 0..3 {
                let start = format!("POST /Instances.Leave/{} HTTP/1.1", self.spec.id);
                let headers = [("Host", to.as_str()), ("Connection", "close")];
                let body = format!("{{\"born\":{}}}", self.born);
                let request = http::encode(&start, &headers, body.as_bytes());
                let Ok(address) = to.parse() else { break };
                let Ok(answer) = http::call(address, &request, Duration::from_secs(1)) else {
                    break;
                };
                let location = answer.header("location").unwrap_or_default();
                let rest = location.strip_prefix("http://").unwrap_or_default();
                match answer.status() {
                    200..=299 => {
                        say(&format!("leave acknowledged by {to}"));
                        return;
                    }
                    307 => to = rest.split('/').next().unwrap_or_default().to_owned(),
                    _ => break,
                }
            }
        }
    }

    /// Calls the nodes that are reached through a slow link, one after the other.
    fn call_next_nodes(&self) {
        say("no answer to the latest heartbeat; the next nodes are called");
        let nodes = self.spec.controls.iter();
        for node in nodes.filter(|node| self.via(node) != **node) {
            let _ = self.send_beat(node);
        }
        say("the next nodes have not answered within a second");
    }

    fn announce(&self) {
        let interval = Duration::from_millis(self.spec.heartbeat_ms);
        let mut next = 0;
        let mut url: Option<String> = None;
        loop {
            let begun = Instant::now();
            self.beat_now.store(false, Ordering::SeqCst);
            if self.unanswered.swap(false, Ordering::SeqCst) {
                self.call_next_nodes();
            }
            for _ in 0..self.spec.controls.len() + 1 {
                let node = url.take().unwrap_or_else(|| {
                    next += 1;
                    self.spec.controls[next % self.spec.controls.len()].clone()
                });
                if let Some(answer) = self.send_beat(&node) {
                    let text = answer.text();
                    url = http::json_text(&text, "heartbeat_url").map(str::to_owned);
                    url.get_or_insert(node);
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
            if self.spec.once {
                return;
            }
            while begun.elapsed() < interval && !self.beat_now.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        // The last answer to a grant on this connection.
        let mut last_grant: Option<Vec<u8>> = None;
        while let Some(mut request) = http::read(&mut reader)? {
            let arrived = Instant::now();
            let path = request.path().to_owned();
            match path.as_str() {
                "/health" => {
                    let id = self.spec.id.as_str();
                    let headers = [("Camphordale-Instance-Id", id)];
                    out.write_all(&http::encode("HTTP/1.1 200 OK", &headers, b""))?;
                }
                "/grant" if self.is_meant(&request) => {
                    let is_renewal = last_grant.is_some();
                    let is_late = is_renewal && self.late.swap(false, Ordering::SeqCst);
                    let is_extra = is_renewal && self.extra.swap(false, Ordering::SeqCst);
                    if is_extra {
                        // A second copy of the answer to the grant before, late.
                        say("grant: a second copy of the answer to the grant before is sent");
                        out.write_all(&last_grant.clone().unwrap_or_default())?;
                    }
                    if is_late {
                        let (from, to, fence, hold) = parse_grant(&request);
                        say(&format!(
                            "grant {from} {to} fence {fence} hold {hold} arrived; it gets no answer"
                        ));
                        let shared = self.clone();
                        thread::spawn(move || {
                            thread::sleep(LATE);
                            let status = shared.carry_out(&request, arrived);
                            say(&format!("that grant is carried out now: {status}"));
                        });
                        continue;
                    }
                    let status = self.carry_out(&request, arrived);
                    let answer = http::encode(&status_line(status), &[], b"");
                    out.write_all(&answer)?;
                    last_grant = Some(answer);
                }
                "/release" if self.is_meant(&request) => {
                    let (from, to, fence, _) = parse_grant(&request);
                    if let Ok(mut leases) = self.leases.lock() {
                        for key in from..=to {
                            leases.until[key] = None;
                            leases.seen[key] = leases.seen[key].max(fence);
                        }
                    }
                    let busy = |key: &usize| (from..=to).contains(key);
                    while self
                        .busy_keys
                        .lock()
                        .is_ok_and(|keys| keys.iter().any(busy))
                    {
                        thread::sleep(Duration::from_millis(2));
                    }
                    say(&format!("release {from} {to} fence {fence}"));
                    let headers = [("Camphordale-Handover", "5c0e7a21d94b36f8")];
                    out.write_all(&http::encode("HTTP/1.1 200 OK", &headers, b""))?;
                }
                _ => {
                    request.body = Vec::new();
                    let answer = self.execute(&request);
                    out.write_all(&answer)?;
                }
            }
        }
        Ok(())
    }

    fn is_meant(&self, request: &Message) -> bool {
        let expected = request.header("camphordale-expected-instance");
        expected.is_none_or(|expected| expected == self.spec.id)
    }

    /// Carries out a grant whose call arrived at `arrived`.
    fn carry_out(&self, request: &Message, arrived: Instant) -> u16 {
        let (from, to, fence, hold) = parse_grant(request);
        let Ok(mut leases) = self.leases.lock() else {
            return 400;
        };
        if leases.seen[from..=to].iter().any(|seen| *seen > fence) {
            return 409;
        }
        let until = arrived + Duration::from_millis(hold);
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return 200;
        }
        for key in from..=to {
            leases.seen[key] = fence;
            leases.until[key] = Some(until);
        }
        say(&format!(
            "take {from} {to} fence {fence} for {}",
            left.as_millis()
        ));
        200
    }

    fn refusal(&self, id: &str, status: u16) -> Vec<u8> {
        let headers = [
            ("Camphordale-Request-Id", id),
            ("Camphordale-Not-Executed", "1"),
            ("Camphordale-Instance-Id", self.spec.id.as_str()),
        ];
        http::encode(&status_line(status), &headers, b"")
    }

    /// Runs a request of a client.
    fn execute(&self, request: &Message) -> Vec<u8> {
        let id = request.header("camphordale-request-id").unwrap_or_default();
        let key = request.header("camphordale-shard-key");
        let key: Option<usize> = key.and_then(|key| key.parse().ok());
        if !self.is_meant(request) {
            return self.refusal(id, 421);
        }
        if self.spec.service.starts_with("keyed") {
            let holds = |key: usize| {
                let leases = self.leases.lock();
                leases.is_ok_and(|l| l.until[key].is_some_and(|until| Instant::now() < until))
            };
            if !key.is_some_and(holds) {
                return self.refusal(id, 421);
            }
        }
        if !self.spec.retry_after.is_empty() {
            say(&format!("turned away {id}"));
            let headers = [
                ("Camphordale-Request-Id", id),
                ("Camphordale-Not-Executed", "1"),
                ("Retry-After", self.spec.retry_after.as_str()),
            ];
            return http::encode(&status_line(503), &headers, b"");
        }
        if self.waiting.load(Ordering::SeqCst) >= self.spec.slots + self.spec.queue {
            return self.refusal(id, 503);
        }
        let waiting = self.waiting.fetch_add(1, Ordering::SeqCst);
        let Ok(mut running) = self.running.lock() else {
            return self.refusal(id, 503);
        };
        while running.0 >= self.spec.slots {
            running = match self.slot_free.wait(running) {
                Ok(running) => running,
                Err(_) => return self.refusal(id, 503),
            };
        }
        running.0 += 1;
        let now_running = running.0;
        drop(running);
        if let (Some(key), Ok(mut keys)) = (key, self.busy_keys.lock()) {
            keys.push(key);
        }
        say(&format!("run {id} {} {}", request.method(), request.path()));
        if request.path().ends_with("/deadly") {
            thread::sleep(Duration::from_millis(self.spec.work_ms));
            say(&format!("crash {id}"));
            std::process::exit(134);
        }
        thread::sleep(Duration::from_millis(self.spec.work_ms));
        if let (Some(key), Ok(mut keys)) = (key, self.busy_keys.lock())
            && let Some(at) = keys.iter().position(|other| *other == key)
        {
            keys.remove(at);
        }
        if let Ok(mut running) = self.running.lock() {
            running.0 -= 1;
        }
        self.slot_free.notify_one();
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        let load = format!(
            "{now_running},{},{}",
            waiting.saturating_sub(now_running),
            self.spec.slots
        );
        let signature = format!("{}.{id}", self.spec.id);
        let headers = [
            ("Camphordale-Request-Id", id),
            ("Camphordale-Upstream-Load", load.as_str()),
            ("Camphordale-Upstream-Signature", signature.as_str()),
        ];
        let count = if self.is_foreign() { 2 } else { 3 };
        let body = match request.path().starts_with("/long/") {
            true => vec![b'x'; LONG_ANSWER],
            false => b"done".to_vec(),
        };
        http::encode("HTTP/1.1 200 OK", &headers[..count], &body)
    }
}

fn parse_grant(request: &Message) -> (usize, usize, u64, u64) {
    let text = request.text();
    let number = |name| http::json_number(&text, name).unwrap_or(0);
    let (from, to) = (number("from") as usize, number("target") as usize);
    (from, to.min(KEYS - 1), number("fence"), number("hold_ms"))
}

fn status_line(status: u16) -> String {
    let names: HashMap<u16, &str> = [
        (200, "OK"),
        (409, "Conflict"),
        (421, "Misdirected Request"),
        (503, "Service Unavailable"),
    ]
    .into();
    format!("HTTP/1.1 {status} {}", names.get(&status).unwrap_or(&""))
}
