//! Probes that request one key of each shard every few milliseconds.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_types::Service;

use crate::deployment::{
    Client,
    KEYED, //
};

/// Time between two requests for a key.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// Concurrent callers per key, so that requests are still sent while some of them hang.
const CALLERS_PER_KEY: u32 = 8;

/// Header that sets the deadline of each request to 300 ms. With the service's deadline of 2 s all
/// callers of a key could hang at the same time.
const DEADLINE_HEADER: &str = "camphordale-deadline: 300\r\n";

/// Shortest time without a successful response that counts as an outage.
pub(super) const MIN_OUTAGE: Duration = Duration::from_millis(100);

/// Running probes. Dropping the value stops them.
pub(super) struct Probes {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    results: Vec<Arc<Mutex<Vec<ProbeResult>>>>,
}

#[derive(Clone, Copy, Debug)]
struct ProbeResult {
    sent: Instant,
    ended: Instant,
    ok: bool,
}

/// Outcome of the requests for one key after a failure.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyOutcome {
    /// Longest time between two successful responses.
    pub(super) longest_gap: Duration,
    /// Time from the failure to the end of the last outage; `None` without an outage.
    pub(super) recovery: Option<Duration>,
    /// Number of failed requests.
    pub(super) failed: usize,
}

impl Probes {
    /// Starts the probes for one key of each shard. They are distributed over `vms`.
    pub(super) fn start(shards: u32, service: &Service, vms: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        let mut results = Vec::new();
        for shard in 0..shards {
            let key = (0u32..).find(|key| service.shard_of(&key.to_string()) == shard);
            let path = format!("/{KEYED}/{}", key.unwrap_or_default());
            let log = Arc::new(Mutex::new(Vec::new()));
            for number in 0..CALLERS_PER_KEY {
                let vm = vms[(shard + number) as usize % vms.len()];
                let (path, log, stop) = (path.clone(), log.clone(), stop.clone());
                let run = move || send_requests(vm, &path, number, &log, &stop);
                threads.push(thread::spawn(run));
            }
            results.push(log);
        }
        Probes {
            stop,
            threads,
            results,
        }
    }

    /// Returns the outcome for each key between `event` and `until`.
    pub(super) fn outcomes(&self, event: Instant, until: Instant) -> Vec<KeyOutcome> {
        let outcome = |log: &Arc<Mutex<Vec<ProbeResult>>>| {
            let log = log.lock().unwrap_or_else(PoisonError::into_inner);
            evaluate(&log, event, until)
        };
        self.results.iter().map(outcome).collect()
    }
}

impl Drop for Probes {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // A thread that panicked sends no more requests, so its result does not matter.
            let _ = thread.join();
        }
    }
}

fn send_requests(
    vm: SocketAddr,
    path: &str,
    number: u32,
    log: &Mutex<Vec<ProbeResult>>,
    stop: &AtomicBool,
) {
    let mut client = Client::new(vm);
    let start = Instant::now() + PROBE_INTERVAL * number;
    for count in 0.. {
        let due = start + PROBE_INTERVAL * CALLERS_PER_KEY * count;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if stop.load(Ordering::SeqCst) {
            return;
        }
        // Skips requests that became due during a slow request.
        if due.elapsed() > PROBE_INTERVAL * CALLERS_PER_KEY {
            continue;
        }
        let sent = Instant::now();
        let result = client.get(path, DEADLINE_HEADER);
        let ok = matches!(result, Ok((200, _)));
        let ended = Instant::now();
        log.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(ProbeResult { sent, ended, ok });
    }
}

fn evaluate(log: &[ProbeResult], event: Instant, until: Instant) -> KeyOutcome {
    let mut end_times: Vec<Instant> = log
        .iter()
        .filter(|result| result.ok && result.sent >= event && result.ended < until)
        .map(|result| result.ended)
        .collect();
    end_times.sort();
    let failed = log
        .iter()
        .filter(|result| !result.ok && result.ended >= event && result.ended < until)
        .count();
    let mut outcome = KeyOutcome {
        longest_gap: Duration::ZERO,
        recovery: None,
        failed,
    };
    let mut before = event;
    for end in end_times.into_iter().chain([until]) {
        let gap = end - before;
        outcome.longest_gap = outcome.longest_gap.max(gap);
        if gap >= MIN_OUTAGE {
            outcome.recovery = Some(end - event);
        }
        before = end;
    }
    outcome
}
