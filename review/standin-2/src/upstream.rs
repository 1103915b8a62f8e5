//! An upstream as a process of its own: it announces itself, takes grants, and runs requests.
//!
//! What it does with a request stands in its path, as segments of a letter and a number:
//! `w` milliseconds of work, `b` bytes of the answer, `c` milliseconds until it crashes the upstream.

use std::{
    collections::HashMap,
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet,
    http::{self, Message, Reader},
};

/// Time after its start for which an upstream is slow, and the factor.
const COLD: (Duration, u32) = (Duration::from_secs(3), 2);
/// Places in the queue for each slot.
const QUEUE_FACTOR: usize = 4;

#[derive(Clone, Debug)]
struct Hold {
    from: u16,
    to: u16,
    until: Instant,
    /// Until when requests for the keys are slow, since they came without handover.
    slow_until: Instant,
}

struct Upstream {
    id: String,
    address: SocketAddr,
    service: String,
    zone: String,
    controls: Vec<SocketAddr>,
    slots: usize,
    sharded: bool,
    warm: Duration,
    cold: bool,
    beat: Duration,
    started: Instant,
    born: u128,
    holds: Mutex<Vec<Hold>>,
    /// Highest fence seen of each granted range.
    fences: Mutex<Vec<(u16, u16, u64)>>,
    work: Mutex<Work>,
    work_ended: Condvar,
}

/// Numbers of requests.
#[derive(Default)]
struct Work {
    running: usize,
    waiting: usize,
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    if writeln!(out, "{text}").and_then(|()| out.flush()).is_err() {
        std::process::exit(0);
    }
}

fn number(body: &str, name: &str) -> Option<u64> {
    let at = body.find(&format!("\"{name}\":"))?;
    let rest = body[at + name.len() + 3..].trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// The number of a path segment that begins with this letter.
fn segment(path: &str, letter: char) -> Option<u64> {
    let path = path.split('?').next().unwrap_or(path);
    path.split('/')
        .find_map(|part| part.strip_prefix(letter)?.parse().ok())
}

/// Runs an upstream until it is killed. Arguments are `name=value`.
pub fn run(arguments: &[String]) -> Result<(), String> {
    let given: HashMap<&str, &str> = arguments.iter().filter_map(|a| a.split_once('=')).collect();
    let get = |name: &str| given.get(name).copied().ok_or(format!("no {name}"));
    let millis = |name: &str, usual: u64| {
        let value = given.get(name).and_then(|value| value.parse().ok());
        Duration::from_millis(value.unwrap_or(usual))
    };
    let address: SocketAddr = get("address")?.parse().map_err(|_| "address")?;
    let controls = get("controls")?
        .split(',')
        .filter_map(|text| text.parse().ok());
    let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let upstream = Arc::new(Upstream {
        id: get("id")?.to_owned(),
        address,
        service: get("service")?.to_owned(),
        zone: get("zone")?.to_owned(),
        controls: controls.collect(),
        slots: given.get("slots").and_then(|s| s.parse().ok()).unwrap_or(4),
        sharded: given.contains_key("sharded"),
        warm: millis("warm", 2000),
        cold: given.contains_key("cold"),
        beat: millis("beat", 870),
        started: Instant::now(),
        born: now.as_millis(),
        holds: Mutex::default(),
        fences: Mutex::default(),
        work: Mutex::default(),
        work_ended: Condvar::new(),
    });
    let beating = upstream.clone();
    thread::spawn(move || beating.announce());
    for stream in listener.incoming().flatten() {
        let upstream = upstream.clone();
        thread::spawn(move || {
            let _ = upstream.serve(stream);
        });
    }
    Ok(())
}

impl Upstream {
    fn announce(&self) {
        let mut controls = self.controls.clone();
        for sequence in 1.. {
            let cold = match self.cold {
                true => COLD.0.saturating_sub(self.started.elapsed()),
                false => Duration::ZERO,
            };
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"ready\",\"warmup_left_ms\":{},\"sequence\":{sequence},\
                 \"born\":{}}}",
                self.service,
                self.address,
                self.zone,
                self.slots,
                cold.as_millis(),
                self.born
            );
            let head = format!(
                "POST /Instances.Heartbeat/{} HTTP/1.1\r\nHost: control\r\n\
                 Content-Type: application/json",
                self.id
            );
            let answer = fleet::operate(&controls, &head, body.as_bytes());
            let is_acknowledged = answer.as_ref().is_some_and(|a| a.status() == 200);
            if sequence == 1 || !is_acknowledged {
                let status = answer.as_ref().map_or(0, Message::status);
                say(&format!("beat {sequence} answered {status}"));
            }
            // An address for later beats stays valid until one fails there.
            let text = answer
                .filter(|_| is_acknowledged)
                .map(|a| a.text())
                .unwrap_or_default();
            let next = text.split("\"heartbeat_url\":\"").nth(1);
            let next = next.and_then(|rest| rest.split('"').next()?.parse().ok());
            controls = match next {
                Some(next) => vec![next],
                None => self.controls.clone(),
            };
            thread::sleep(if is_acknowledged {
                self.beat
            } else {
                Duration::from_millis(100)
            });
        }
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::default();
        while let Some(request) = reader.read(&mut stream)? {
            let answer = match request.path() {
                "/grant" => Some(self.grant(&request)),
                "/release" => Some(self.release(&request)),
                "/health" => Some(http::encode(
                    &format!("HTTP/1.1 200 OK\r\nCamphordale-Instance-Id: {}", self.id),
                    b"",
                )),
                _ => self.run(&request, &mut stream)?,
            };
            match answer {
                Some(answer) => stream.write_all(&answer)?,
                // The caller has left.
                None => return Ok(()),
            }
            stream.set_nonblocking(false)?;
        }
        Ok(())
    }

    fn is_meant(&self, request: &Message) -> bool {
        let expected = request.header("camphordale-expected-instance");
        expected.is_none_or(|expected| expected == self.id)
    }

    fn not_executed(&self, status: &str, request: &Message) -> Vec<u8> {
        let id = request.header("camphordale-request-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 {status}\r\nCamphordale-Request-Id: {id}\r\n\
             Camphordale-Not-Executed: 1\r\nCamphordale-Instance-Id: {}\r\n\
             Camphordale-Upstream-Load: {}",
            self.id,
            self.load()
        );
        http::encode(&head, b"")
    }

    fn load(&self) -> String {
        let work = lock(&self.work);
        format!("{},{},{}", work.running, work.waiting, self.slots)
    }

    fn grant(&self, request: &Message) -> Vec<u8> {
        if !self.is_meant(request) {
            return self.not_executed("421 Misdirected Request", request);
        }
        let body = request.text();
        let parts = ["from", "target", "fence", "hold_ms"].map(|name| number(&body, name));
        let [Some(from), Some(to), Some(fence), Some(hold)] = parts else {
            return http::encode("HTTP/1.1 400 Bad Request", b"");
        };
        let (from, to) = (from as u16, to as u16);
        let now = Instant::now();
        let mut fences = lock(&self.fences);
        let seen = fences.iter().filter(|(f, t, _)| *f <= to && *t >= from);
        if seen.map(|(.., fence)| *fence).max() > Some(fence) {
            say(&format!("grant {from} {to} {fence} refused"));
            return http::encode("HTTP/1.1 409 Conflict", b"");
        }
        fences.retain(|(f, t, _)| !(from <= *f && *t <= to));
        fences.push((from, to, fence));
        let mut holds = lock(&self.holds);
        let known = holds
            .iter()
            .find(|h| h.from <= from && to <= h.to && now < h.until);
        let slow_until = match known {
            Some(known) => known.slow_until,
            None if body.contains("\"handover\"") => now,
            None => now + self.warm,
        };
        if known.is_none() {
            say(&format!("grant {from} {to} {fence} for {hold} ms"));
        }
        cut(&mut holds, from, to);
        holds.push(Hold {
            from,
            to,
            until: now + Duration::from_millis(hold),
            slow_until,
        });
        http::encode("HTTP/1.1 200 OK", b"")
    }

    fn release(&self, request: &Message) -> Vec<u8> {
        if !self.is_meant(request) {
            return self.not_executed("421 Misdirected Request", request);
        }
        let body = request.text();
        let (from, to) = (number(&body, "from"), number(&body, "target"));
        let (from, to) = (from.unwrap_or(0) as u16, to.unwrap_or(0) as u16);
        cut(&mut lock(&self.holds), from, to);
        say(&format!("release {from} {to}"));
        // Running work is not told apart by key: the answer waits for all of it.
        let mut running = lock(&self.work);
        while running.running > 0 {
            running = self
                .work_ended
                .wait(running)
                .unwrap_or_else(PoisonError::into_inner);
        }
        drop(running);
        http::encode(
            "HTTP/1.1 200 OK\r\nCamphordale-Handover: 5c0e7a21d94b36f8",
            b"",
        )
    }

    /// The hold of a request's key, if there is one.
    fn hold_of(&self, request: &Message) -> Option<Hold> {
        let key: u16 = request.header("camphordale-shard-key")?.parse().ok()?;
        let holds = lock(&self.holds);
        let now = Instant::now();
        let found = holds
            .iter()
            .find(|h| h.from <= key && key <= h.to && now < h.until);
        found.cloned()
    }

    /// Waits in the queue for a slot. Returns whether the queue had room.
    fn wait_for_slot(&self) -> bool {
        let mut work = lock(&self.work);
        if work.waiting >= self.slots * QUEUE_FACTOR {
            return false;
        }
        work.waiting += 1;
        while work.running >= self.slots {
            work = self
                .work_ended
                .wait(work)
                .unwrap_or_else(PoisonError::into_inner);
        }
        work.waiting -= 1;
        work.running += 1;
        true
    }

    /// Runs a request. Returns no answer if its connection has closed.
    fn run(&self, request: &Message, stream: &mut TcpStream) -> std::io::Result<Option<Vec<u8>>> {
        let id = request
            .header("camphordale-request-id")
            .unwrap_or_default()
            .to_owned();
        if !self.is_meant(request) || (self.sharded && self.hold_of(request).is_none()) {
            return Ok(Some(self.not_executed("421 Misdirected Request", request)));
        }
        if !self.wait_for_slot() {
            return Ok(Some(self.not_executed("503 Service Unavailable", request)));
        }
        let path = request.path();
        let mut work = Duration::from_millis(segment(path, 'w').unwrap_or(20));
        if self.cold && self.started.elapsed() < COLD.0 {
            work *= COLD.1;
        }
        if self
            .hold_of(request)
            .is_some_and(|hold| Instant::now() < hold.slow_until)
        {
            work *= 2;
        }
        say(&format!(
            "run {id} {} for {} ms",
            request.first,
            work.as_millis()
        ));
        if let Some(crash) = segment(path, 'c') {
            thread::sleep(Duration::from_millis(crash));
            say(&format!("crash {id}"));
            std::process::exit(1);
        }
        let until = Instant::now() + work;
        let mut left = false;
        let mut probe = [0; 1];
        stream.set_nonblocking(true)?;
        while Instant::now() < until && !left {
            thread::sleep(Duration::from_millis(5).min(until.duration_since(Instant::now())));
            left = match stream.peek(&mut probe) {
                Ok(count) => count == 0,
                Err(error) => error.kind() != ErrorKind::WouldBlock,
            };
        }
        stream.set_nonblocking(false)?;
        lock(&self.work).running -= 1;
        self.work_ended.notify_all();
        if left {
            say(&format!("left {id}"));
            return Ok(None);
        }
        say(&format!("done {id}"));
        let body = vec![b'x'; segment(path, 'b').unwrap_or(200) as usize];
        let head = format!(
            "HTTP/1.1 200 OK\r\nCamphordale-Request-Id: {id}\r\n\
             Camphordale-Upstream-Signature: {}.{id}.{}\r\nCamphordale-Upstream-Load: {}\r\n\
             Keep-Alive: timeout=10",
            self.id,
            body.len(),
            self.load()
        );
        Ok(Some(http::encode(&head, &body)))
    }
}

/// Takes a range out of what is held.
fn cut(holds: &mut Vec<Hold>, from: u16, to: u16) {
    let mut rest = Vec::new();
    holds.retain(|hold| {
        if hold.to < from || hold.from > to {
            return true;
        }
        if hold.from < from {
            rest.push(Hold {
                to: from - 1,
                ..hold.clone()
            });
        }
        if hold.to > to {
            rest.push(Hold {
                from: to + 1,
                ..hold.clone()
            });
        }
        false
    });
    holds.append(&mut rest);
}
