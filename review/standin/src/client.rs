//! Clients: each keeps one connection to a front machine and sends one request at a time.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{http, http::Connection, record::Record};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub const HOST: &str = "jepu9.example";

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent_at: u64,
    pub done_at: u64,
    /// Status of the answer, or 0 if the connection ended without one.
    pub status: u16,
    /// Whether the connection was closed without an answer.
    pub closed: bool,
    /// Whether the connection had carried a request before.
    pub kept: bool,
    /// Whether the answer has an upstream's signature.
    pub signed: bool,
    pub reason: String,
}

pub fn next_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{number:016x}")
}

pub struct Client {
    to: SocketAddr,
    record: Record,
    connection: Option<Connection>,
    used: bool,
}

impl Client {
    pub fn new(to: SocketAddr, record: Record) -> Client {
        Client {
            to,
            record,
            connection: None,
            used: false,
        }
    }

    /// Sends a request and waits for its answer. A connection that has ended is replaced before.
    pub fn send(&mut self, line: &str, key: Option<u16>, deadline_ms: u64, body: &[u8]) -> Outcome {
        let id = next_id();
        let deadline = deadline_ms.to_string();
        let key = key.map(|key| key.to_string());
        let mut headers = vec![
            ("Host", HOST),
            ("Camphordale-Request-Id", id.as_str()),
            ("Camphordale-Deadline-Ms", deadline.as_str()),
        ];
        headers.extend(key.as_deref().map(|key| ("Camphordale-Shard-Key", key)));
        let request = http::encode(&format!("{line} HTTP/1.1"), &headers, body);
        let timeout = Duration::from_millis(deadline_ms + 500);
        let mut outcome = Outcome {
            id,
            sent_at: self.record.now(),
            done_at: 0,
            status: 0,
            kept: self.used,
            signed: false,
            closed: false,
            reason: String::new(),
        };
        if self.connection.is_none() {
            self.used = false;
            outcome.kept = false;
            match Connection::open(self.to, timeout) {
                Ok(connection) => self.connection = Some(connection),
                Err(error) => {
                    outcome.reason = format!("not connected: {error}");
                    outcome.done_at = self.record.now();
                    return outcome;
                }
            }
        }
        if let Some(connection) = &mut self.connection {
            match connection.exchange(&request, timeout) {
                Ok(answer) => {
                    outcome.status = answer.status();
                    outcome.signed = answer.header("camphordale-upstream-signature").is_some();
                    self.used = true;
                    if answer.header("connection") == Some("close") {
                        self.connection = None;
                    }
                }
                Err(error) => {
                    let kind = error.kind();
                    outcome.closed = kind != ErrorKind::WouldBlock && kind != ErrorKind::TimedOut;
                    outcome.reason = format!("no answer: {error}");
                    self.connection = None;
                }
            }
        }
        outcome.done_at = self.record.now();
        outcome
    }
}

/// Clients in the background that send the same kind of request over and over.
pub struct Load {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    /// Starts `count` clients at each front machine. `line` is the method and the first part of the
    /// path. Requests with a key have a random one.
    pub fn start(
        fronts: &[SocketAddr],
        count: usize,
        line: &'static str,
        keyed: bool,
        pause: Duration,
        record: &Record,
    ) -> Load {
        let mut load = Load {
            stop: Arc::default(),
            outcomes: Arc::default(),
            threads: Vec::new(),
        };
        for number in 0..fronts.len() * count {
            let mut client = Client::new(fronts[number % fronts.len()], record.clone());
            let (stop, outcomes) = (load.stop.clone(), load.outcomes.clone());
            let mut seed = 88_172_645_463_325_252u64 ^ (number as u64 * 7919 + 1);
            let thread = thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    seed ^= seed << 13;
                    seed ^= seed >> 7;
                    seed ^= seed << 17;
                    let key = keyed.then_some((seed >> 20) as u16);
                    let line = format!("{line}{}", seed % 1000);
                    let outcome = client.send(&line, key, 1000, b"");
                    if let Ok(mut outcomes) = outcomes.lock() {
                        outcomes.push(outcome);
                    }
                    thread::sleep(pause);
                }
            });
            load.threads.push(thread);
        }
        load
    }

    /// Stops the clients and returns what became of their requests.
    pub fn finish(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let outcomes = self.outcomes.lock();
        outcomes
            .map(|outcomes| outcomes.clone())
            .unwrap_or_default()
    }
}

/// Writes how many requests got which status.
pub fn summarize(record: &Record, what: &str, outcomes: &[Outcome]) {
    let mut counts = std::collections::BTreeMap::new();
    for outcome in outcomes {
        *counts.entry(outcome.status).or_insert(0) += 1;
    }
    record.write(&format!(
        "{what}: requests by status (0: no answer): {counts:?}"
    ));
}
