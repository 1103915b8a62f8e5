//! Closed-loop load generator for one address.

use std::{
    collections::BTreeMap,
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Timeout of connecting and of each read.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of response headers, in bytes.
const MAX_HEADER_SIZE: usize = 64 * 1024;
/// Highest latency that the histogram distinguishes, in nanoseconds.
const MAX_LATENCY_NS: u64 = 60_000_000_000;
/// Delay after a failed connection, so that a closed port is not flooded with attempts.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Address to send requests to.
    pub address: SocketAddr,
    /// Number of connections, each with its own thread and one request at a time.
    pub connections: usize,
    /// Duration of the run.
    pub duration: Duration,
    /// HTTP method.
    pub method: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// Headers besides `Host` and `Content-Length`.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Size of the body in bytes.
    pub body_size: usize,
}

/// Result of a load run; latencies are in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// Number of responses with a status below 400.
    pub ok: u64,
    /// Responses with a status below 400 per second.
    pub per_second: f64,
    /// Failed requests by kind of error.
    pub errors: BTreeMap<Box<str>, u64>,
    /// Median latency.
    pub p50_us: f64,
    /// 90th percentile of the latency.
    pub p90_us: f64,
    /// 99th percentile of the latency.
    pub p99_us: f64,
    /// 99.9th percentile of the latency.
    pub p999_us: f64,
    /// Maximum latency.
    pub max_us: f64,
}

/// Sends requests over keep-alive connections, each as soon as the response to the
/// previous one has arrived.
///
/// # Errors
///
/// Returns an error if a thread cannot be started. Failed requests are counted in the report.
///
/// # Examples
///
/// ```
/// use std::{net::TcpListener, time::Duration};
/// use camphordale_standin::{LoadOptions, Response, run_load, serve};
///
/// let listener = TcpListener::bind("127.0.0.1:0")?;
/// let server = serve(listener, 4, |_| Response { status: 200, ..Response::default() })?;
/// let report = run_load(&LoadOptions {
///     address: server.address(),
///     connections: 2,
///     duration: Duration::from_millis(50),
///     method: "GET".into(),
///     path: "/".into(),
///     headers: Vec::new(),
///     body_size: 0,
/// })?;
/// assert!(report.ok > 0 && report.errors.is_empty());
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn run_load(options: &LoadOptions) -> io::Result<LoadReport> {
    let bytes = request_bytes(options);
    let started = Instant::now();
    let end = started + options.duration;
    let stats = thread::scope(|scope| {
        let spawn = |_| {
            let bytes = &bytes;
            let address = options.address;
            let run = move || WorkerStats::default().run(address, bytes, end);
            thread::Builder::new().spawn_scoped(scope, run)
        };
        let threads: Vec<_> = (0..options.connections)
            .map(spawn)
            .collect::<Result<_, _>>()?;
        let joined = threads.into_iter().map(|thread| thread.join());
        Ok::<_, io::Error>(joined.flatten().collect::<Vec<_>>())
    })?;
    Ok(report(&stats, started.elapsed()))
}

fn request_bytes(options: &LoadOptions) -> Vec<u8> {
    let mut text = format!(
        "{} {} HTTP/1.1\r\nhost: {}\r\n",
        options.method, options.path, options.address
    );
    for (name, value) in &options.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if options.body_size > 0 || &*options.method != "GET" {
        text.push_str(&format!("content-length: {}\r\n", options.body_size));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.resize(bytes.len() + options.body_size, b'b');
    bytes
}

fn report(stats: &[WorkerStats], elapsed: Duration) -> LoadReport {
    let mut report = LoadReport::default();
    let mut sum = WorkerStats::default();
    for worker in stats {
        report.ok += worker.ok;
        for (kind, count) in &worker.errors {
            *report.errors.entry(kind.clone()).or_default() += count;
        }
        if let (Some(sum), Some(one)) = (&mut sum.latency, &worker.latency) {
            // Both histograms have the same bounds, so adding cannot fail.
            let _ = sum.add(one);
        }
    }
    report.per_second = report.ok as f64 / elapsed.as_secs_f64();
    if let Some(latency) = &sum.latency {
        let quantile_us = |quantile| latency.value_at_quantile(quantile) as f64 / 1e3;
        report.p50_us = quantile_us(0.5);
        report.p90_us = quantile_us(0.9);
        report.p99_us = quantile_us(0.99);
        report.p999_us = quantile_us(0.999);
        report.max_us = latency.max() as f64 / 1e3;
    }
    report
}

struct WorkerStats {
    ok: u64,
    errors: BTreeMap<Box<str>, u64>,
    latency: Option<Histogram<u64>>,
}

impl Default for WorkerStats {
    fn default() -> Self {
        WorkerStats {
            ok: 0,
            errors: BTreeMap::new(),
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_NS, 3).ok(),
        }
    }
}

impl WorkerStats {
    fn run(mut self, address: SocketAddr, bytes: &[u8], end: Instant) -> Self {
        let mut connection = None;
        let mut buffer = Vec::with_capacity(16 * 1024);
        while Instant::now() < end {
            let open = match connection.take() {
                Some(open) => Ok(open),
                None => connect(address),
            };
            let mut stream = match open {
                Ok(stream) => stream,
                Err(_) => {
                    self.count_error("connect");
                    thread::sleep(CONNECT_RETRY_DELAY);
                    continue;
                }
            };
            let sent = Instant::now();
            match send_request(&mut stream, bytes, &mut buffer) {
                Ok(response) => {
                    self.record_response(response.status, sent.elapsed());
                    if response.keep_alive {
                        connection = Some(stream);
                    }
                }
                Err(error) => self.count_error(match error.kind() {
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => "timeout",
                    io::ErrorKind::UnexpectedEof => "short",
                    io::ErrorKind::InvalidData => "malformed",
                    _ => "broken",
                }),
            }
        }
        self
    }

    fn record_response(&mut self, status: u16, elapsed: Duration) {
        if status >= 400 {
            return self.count_error(&format!("status {status}"));
        }
        self.ok += 1;
        if let Some(latency) = &mut self.latency {
            latency.saturating_record(elapsed.as_nanos() as u64);
        }
    }

    fn count_error(&mut self, kind: &str) {
        *self.errors.entry(kind.into()).or_default() += 1;
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    Ok(stream)
}

struct ResponseStatus {
    status: u16,
    keep_alive: bool,
}

/// Sends one request and reads its response, which must have a `Content-Length`.
fn send_request(
    stream: &mut TcpStream,
    bytes: &[u8],
    buffer: &mut Vec<u8>,
) -> io::Result<ResponseStatus> {
    stream.write_all(bytes)?;
    buffer.clear();
    let mut chunk = [0; 16 * 1024];
    loop {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&chunk[..count]);
        let Some(header) = parse(buffer)? else {
            if buffer.len() > MAX_HEADER_SIZE {
                return Err(io::ErrorKind::InvalidData.into());
            }
            continue;
        };
        let mut received = buffer.len();
        let total = header.header_size + header.body_size;
        while received < total {
            let count = stream.read(&mut chunk)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            received += count;
        }
        if received > total {
            return Err(io::ErrorKind::InvalidData.into());
        }
        return Ok(header.response);
    }
}

struct ParsedHeader {
    response: ResponseStatus,
    header_size: usize,
    body_size: usize,
}

fn parse(buffer: &[u8]) -> io::Result<Option<ParsedHeader>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut parsed = httparse::Response::new(&mut headers);
    let header_size = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(header_size)) => header_size,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(e) => return Err(io::Error::new(io::ErrorKind::InvalidData, e)),
    };
    let mut header = ParsedHeader {
        response: ResponseStatus {
            status: parsed.code.unwrap_or(0),
            keep_alive: true,
        },
        header_size,
        body_size: 0,
    };
    for field in parsed.headers.iter() {
        let value = std::str::from_utf8(field.value).unwrap_or_default();
        if field.name.eq_ignore_ascii_case("content-length") {
            let body = value.parse();
            header.body_size = body.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        } else if field.name.eq_ignore_ascii_case("connection") {
            header.response.keep_alive = !value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some(header))
}
