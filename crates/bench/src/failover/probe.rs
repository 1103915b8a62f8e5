//! Callers that ask for one key of each shard every few milliseconds.

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

/// Callers for each key, so that a request that hangs does not hide that others are answered.
const CALLERS_PER_KEY: u32 = 8;

/// Deadline of each request. With the service's 2 s all callers of a key can hang at once.
const DEADLINE_HEADER: &str = "camphordale-deadline: 300\r\n";

/// Least time without an answer that counts as an outage.
pub(super) const MIN_OUTAGE: Duration = Duration::from_millis(100);

/// Running callers. Dropping them ends them.
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

/// What one key saw after an event.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyOutcome {
    /// Longest time between two answers.
    pub(super) longest_gap: Duration,
    /// From the event to the end of the last outage; none without an outage.
    pub(super) recovery: Option<Duration>,
    /// Answers that were no success.
    pub(super) failed: usize,
}

impl Probes {
    /// Starts callers for a key of each shard, through `vms` in turn.
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

    /// Returns what each key saw between `event` and `until`.
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
            // A thread that panicked has no more requests under way.
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
        // Turns that passed during a slow request are left out.
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
    let mut ends: Vec<Instant> = log
        .iter()
        .filter(|result| result.ok && result.sent >= event && result.ended < until)
        .map(|result| result.ended)
        .collect();
    ends.sort();
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
    for end in ends.into_iter().chain([until]) {
        let gap = end - before;
        outcome.longest_gap = outcome.longest_gap.max(gap);
        if gap >= MIN_OUTAGE {
            outcome.recovery = Some(end - event);
        }
        before = end;
    }
    outcome
}
