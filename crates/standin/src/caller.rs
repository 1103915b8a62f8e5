//! Open-loop caller that sends a request mix at a fixed rate.

use std::{
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    path::PathBuf,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use ureq::Agent;

use crate::{
    JsonLineWriter, agent,
    attempt::{
        AttemptResult,
        RequestSpec,
        run_attempt, //
    },
    record::{
        AttemptRecord,
        Outcome, //
    },
    script::{
        RequestMix,
        SampledRequest,
        Script, //
    },
    summary::{
        RequestResult,
        Summary,
        summarize, //
    },
    unix_micros,
};

/// Stack size of a thread, in bytes.
const STACK_SIZE: usize = 512 * 1024;
/// Delay after the scheduled time from which a start counts as late.
const LATE_THRESHOLD: Duration = Duration::from_millis(10);

/// Options of a caller.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Prefix of all request ids; must differ between callers whose records are checked
    /// together.
    pub name: Box<str>,
    /// Addresses of the caller listeners of the entry VMs.
    pub vms: Vec<SocketAddr>,
    /// Script that defines the request mix.
    pub script: Script,
    /// Seed of the request mix.
    pub seed: u64,
    /// Total rate of all threads, in requests per second.
    pub rate: f64,
    /// Number of threads, which bounds the requests in flight.
    pub threads: usize,
    /// Period during which requests are started.
    pub duration: Duration,
    /// Timeout of an attempt, after which its outcome is unknown.
    pub attempt_timeout: Duration,
    /// Deadline sent with each request, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Maximum number of retries of a request that was not run.
    pub max_retries: u32,
    /// Delay before a retry.
    pub retry_delay: Duration,
    /// Whether a POST with an idempotency key is retried after an unknown outcome.
    pub retry_unknown: bool,
    /// Number of times that the hottest keys are swapped with others, and the time after the start
    /// at which this takes effect.
    pub key_shift: (usize, Duration),
    /// Source IP address of connections.
    pub source_ip: Option<IpAddr>,
    /// Path of the file for the records.
    pub records: Option<PathBuf>,
}

/// Sends the request mix and returns a summary.
///
/// Requests are scheduled at fixed times whether or not earlier ones were answered; latency is
/// measured from the scheduled time.
///
/// # Errors
///
/// Returns an error if the records cannot be opened or written, a thread cannot be started, or
/// the options have no entry VM or no positive rate.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use camphordale_standin::{CallerOptions, Script, run_caller};
///
/// let script: Script =
///     serde_norway::from_str("services: [{name: cat, path: /cat}]").map_err(std::io::Error::other)?;
/// let summary = run_caller(CallerOptions {
///     name: "c1".into(),
///     vms: vec![([127, 0, 0, 1], 1).into()],
///     script,
///     seed: 1,
///     rate: 100.0,
///     threads: 2,
///     duration: Duration::from_millis(50),
///     attempt_timeout: Duration::from_secs(1),
///     deadline_ms: None,
///     max_retries: 0,
///     retry_delay: Duration::ZERO,
///     retry_unknown: false,
///     key_shift: (0, Duration::ZERO),
///     source_ip: None,
///     records: None,
/// })?;
/// assert_eq!(summary.requests, 5);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn run_caller(options: CallerOptions) -> io::Result<Summary> {
    if options.vms.is_empty() || options.rate.is_nan() || options.rate <= 0.0 {
        let text = "a caller needs an entry VM and a rate above 0";
        return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
    }
    let record_writer = match &options.records {
        Some(path) => Some(JsonLineWriter::open(path)?),
        None => None,
    };
    let shared = Arc::new(Shared {
        started: Instant::now(),
        started_us: unix_micros(),
        next_request: AtomicU64::new(0),
        late_starts: AtomicU64::new(0),
        record_writer,
        mix: RequestMix::new(&options.script, options.seed),
        options,
    });
    let spawn = |_| {
        let shared = shared.clone();
        let builder = thread::Builder::new().stack_size(STACK_SIZE);
        builder.spawn(move || Worker::new(shared).run())
    };
    let threads: Vec<_> = (0..shared.options.threads.max(1))
        .map(spawn)
        .collect::<Result<_, _>>()?;
    let mut finished = Vec::new();
    for thread in threads {
        let result = thread.join();
        finished.extend(result.map_err(|_| io::Error::other("a caller thread panicked"))??);
    }
    let mut summary = summarize(&shared.options.script, finished);
    summary.late_starts = shared.late_starts.load(Ordering::Relaxed);
    Ok(summary)
}

struct Shared {
    started: Instant,
    started_us: u64,
    next_request: AtomicU64,
    late_starts: AtomicU64,
    record_writer: Option<JsonLineWriter>,
    mix: RequestMix,
    options: CallerOptions,
}

impl Shared {
    /// Returns the wall-clock time of the start plus the monotonic time since then.
    fn now_us(&self) -> u64 {
        self.started_us + self.started.elapsed().as_micros() as u64
    }
}

struct Worker {
    shared: Arc<Shared>,
    agent: Agent,
}

impl Worker {
    fn new(shared: Arc<Shared>) -> Self {
        let agent = agent(shared.options.source_ip, shared.options.attempt_timeout);
        Worker { shared, agent }
    }

    fn run(&self) -> io::Result<Vec<RequestResult>> {
        let options = &self.shared.options;
        let (shift, shift_after) = options.key_shift;
        let mut finished = Vec::new();
        loop {
            let number = self.shared.next_request.fetch_add(1, Ordering::Relaxed);
            let due = Duration::from_secs_f64(number as f64 / options.rate);
            if due >= options.duration {
                return Ok(finished);
            }
            let hot_shift = if due >= shift_after { shift } else { 0 };
            let sample = self.shared.mix.sample(number, hot_shift);
            let now = self.shared.started.elapsed();
            thread::sleep(due.saturating_sub(now));
            if self.shared.started.elapsed() > due + LATE_THRESHOLD {
                self.shared.late_starts.fetch_add(1, Ordering::Relaxed);
            }
            finished.push(self.send_request(number, due, &sample)?);
        }
    }

    fn send_request(
        &self,
        number: u64,
        due: Duration,
        sample: &SampledRequest,
    ) -> io::Result<RequestResult> {
        let options = &self.shared.options;
        let spec = self.request_spec(number, sample);
        let due_us = self.shared.started_us + due.as_micros() as u64;
        let mut start_us = due_us;
        let mut attempt_number = 1;
        loop {
            let vm =
                options.vms[(sample.vm.wrapping_add(attempt_number as usize)) % options.vms.len()];
            let result = run_attempt(&self.agent, vm, &spec);
            let end_us = self.shared.now_us();
            let last = attempt_number > options.max_retries || !self.may_retry(&spec, &result);
            if let Some(writer) = &self.shared.record_writer {
                writer.write(&AttemptRecord {
                    id: spec.id.clone(),
                    idempotency: spec.idempotency.clone(),
                    service: options.script.services[sample.service].name.clone(),
                    key: sample.key.map(key_name),
                    method: if sample.post { "POST" } else { "GET" }.into(),
                    start_us,
                    latency_us: end_us.saturating_sub(start_us),
                    outcome: result.outcome,
                    status: result.status,
                    reason: result.reason,
                    target: result.target,
                    attempt: attempt_number,
                    last,
                    vm: vm.to_string().into(),
                })?;
            }
            if last {
                return Ok(RequestResult {
                    service: sample.service,
                    key: sample.key,
                    start_us: due_us,
                    end_us,
                    outcome: result.outcome,
                    attempts: attempt_number,
                });
            }
            thread::sleep(options.retry_delay);
            start_us = self.shared.now_us();
            attempt_number += 1;
        }
    }

    fn request_spec(&self, number: u64, sample: &SampledRequest) -> RequestSpec {
        let options = &self.shared.options;
        let service = &options.script.services[sample.service];
        let id: Box<str> = format!("{}-{number}", options.name).into();
        let key = sample.key.map(key_name);
        let path = match &key {
            Some(key) => service.path.replace("{key}", key).into(),
            None => service.path.clone(),
        };
        let body = sample.post.then(|| {
            let mut body = id.as_bytes().to_vec();
            body.resize(body.len().max(service.body_size), b'b');
            body
        });
        RequestSpec {
            idempotency: (sample.post && service.idempotent).then(|| id.clone()),
            path,
            key: service.key_header.clone().zip(key),
            body,
            deadline_ms: options.deadline_ms,
            id,
        }
    }

    fn may_retry(&self, spec: &RequestSpec, result: &AttemptResult) -> bool {
        match result.outcome {
            Outcome::ConnectFailed => true,
            // A retry after 400 or 404 has the same result.
            Outcome::NotRun => result.status == Some(503),
            Outcome::Unknown if spec.body.is_none() => true,
            Outcome::Unknown => self.shared.options.retry_unknown && spec.idempotency.is_some(),
            Outcome::Ok | Outcome::Refused | Outcome::Wrong | Outcome::Short => false,
        }
    }
}

fn key_name(key: usize) -> Box<str> {
    format!("key-{key}").into()
}
