//! Compares the request rate and latency through one proxy hop with direct requests.
//!
//! Runs an echo server, a proxy and 32 client connections in one process, and prints for both paths
//! the requests per second and the 99th percentile of the latency, and the ratio of the rates. The
//! argument is the length of each run in seconds (default 3).
//!
//! The clients, the proxy and the echo server share the processors, and a request through the proxy
//! is two exchanges, so saturated processors allow a ratio of about 0.5. Other work on the machine
//! can change single runs by a factor of two.

use std::{
    error::Error,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use camphordale_http::{
    ClientError,
    Conn,
    Limits,
    OutgoingRequest,
    Pool,
    PoolConfig,
    Request,
    Response,
    Server, //
};

const CONNECTIONS: usize = 32;
const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY: usize = 64 * 1024;
const RUNS: usize = 3;

fn main() -> Result<(), Box<dyn Error>> {
    let seconds = std::env::args()
        .nth(1)
        .map_or(Ok(3.0), |text| text.parse())?;
    let run_time = Duration::try_from_secs_f64(seconds)?;
    let limits = Limits {
        ip_fraction: 1.0,
        ..Limits::default()
    };
    let bind_address: SocketAddr = "127.0.0.1:0".parse()?;
    let echo = Server::start(
        bind_address,
        limits.clone(),
        Arc::new(|request: Request| Response::new(200, request.body)),
    )?;
    let target = echo.local_addr();
    let pool = Pool::new(PoolConfig::default());
    let proxy = move |request: Request| match forward(&pool, target, &request) {
        Ok(response) => response,
        Err(error) => Response::text(502, &error.to_string()),
    };
    let hop = Server::start(bind_address, limits, Arc::new(proxy))?;

    for run in 1..=RUNS {
        let direct = measure_load(target, run_time)?;
        let proxied = measure_load(hop.local_addr(), run_time)?;
        println!(
            "run {run}: direct {direct}; hop {proxied}; ratio {:.3}",
            proxied.rate / direct.rate
        );
    }
    Ok(())
}

fn forward(pool: &Pool, target: SocketAddr, request: &Request) -> Result<Response, ClientError> {
    let deadline = Instant::now() + TIMEOUT;
    let mut conn = pool.acquire(target, 110, deadline)?;
    let out = OutgoingRequest {
        method: &request.method,
        path: &request.path,
        headers: &request.headers,
        body: &request.body,
    };
    let response = conn.exchange(&out, deadline, MAX_BODY)?;
    pool.release(conn);
    Ok(response)
}

struct Measurement {
    rate: f64,
    p99: Duration,
}

impl std::fmt::Display for Measurement {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.0} requests/s, p99 {:?}", self.rate, self.p99)
    }
}

fn measure_load(address: SocketAddr, run_time: Duration) -> Result<Measurement, Box<dyn Error>> {
    let start = Instant::now();
    let end = start + run_time;
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|_| thread::spawn(move || send_requests(address, end)))
        .collect();
    let mut latencies = Vec::new();
    for thread in threads {
        let measured = thread.join().map_err(|_| "a client thread panicked")?;
        latencies.extend(measured?);
    }
    let rate = latencies.len() as f64 / start.elapsed().as_secs_f64();
    latencies.sort_unstable();
    let p99 = latencies
        .get(latencies.len() * 99 / 100)
        .copied()
        .unwrap_or_default();
    Ok(Measurement { rate, p99 })
}

fn send_requests(address: SocketAddr, end: Instant) -> Result<Vec<Duration>, ClientError> {
    let mut conn = Conn::connect(address, None, TIMEOUT)?;
    let headers = [("Accept".into(), "*/*".into())];
    let request = OutgoingRequest {
        method: "POST",
        path: "/books/17",
        headers: &headers,
        body: &[b'x'; 100],
    };
    let mut latencies = Vec::new();
    loop {
        let sent_at = Instant::now();
        if sent_at >= end {
            return Ok(latencies);
        }
        conn.exchange(&request, sent_at + TIMEOUT, MAX_BODY)?;
        latencies.push(sent_at.elapsed());
    }
}
