//! Measures the request rate and latency of one proxy hop against direct requests.
//!
//! Runs an echo server, a one-hop proxy and 32 connections of load in one process, and prints
//! requests per second and the 99th percentile of the latency for both ways, and the ratio of
//! the rates. The argument is the number of seconds for each run (default 3).
//!
//! Load, proxy and echo server share the processors, and a request through the hop is two
//! exchanges, so a ratio of about 0.5 is what saturated processors allow. Other work on the
//! machine makes single runs differ by a factor of two.

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
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    let echo = Server::start(
        any,
        limits.clone(),
        Arc::new(|request: Request| Response::new(200, request.body)),
    )?;
    let target = echo.local_addr();
    let pool = Pool::new(PoolConfig::default());
    let proxy = move |request: Request| match forward(&pool, target, &request) {
        Ok(response) => response,
        Err(error) => Response::text(502, &error.to_string()),
    };
    let hop = Server::start(any, limits, Arc::new(proxy))?;

    for run in 1..=RUNS {
        let direct = load(target, run_time)?;
        let hopped = load(hop.local_addr(), run_time)?;
        println!(
            "run {run}: direct {direct}; hop {hopped}; ratio {:.3}",
            hopped.rate / direct.rate
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

struct Measured {
    rate: f64,
    p99: Duration,
}

impl std::fmt::Display for Measured {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.0} requests/s, p99 {:?}", self.rate, self.p99)
    }
}

fn load(address: SocketAddr, run_time: Duration) -> Result<Measured, Box<dyn Error>> {
    let start = Instant::now();
    let end = start + run_time;
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|_| thread::spawn(move || requests(address, end)))
        .collect();
    let mut latencies = Vec::new();
    for thread in threads {
        let measured = thread.join().map_err(|_| "a load thread panicked")?;
        latencies.extend(measured?);
    }
    let rate = latencies.len() as f64 / start.elapsed().as_secs_f64();
    latencies.sort_unstable();
    let p99 = latencies
        .get(latencies.len() * 99 / 100)
        .copied()
        .unwrap_or_default();
    Ok(Measured { rate, p99 })
}

fn requests(address: SocketAddr, end: Instant) -> Result<Vec<Duration>, ClientError> {
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
        let sent = Instant::now();
        if sent >= end {
            return Ok(latencies);
        }
        conn.exchange(&request, sent + TIMEOUT, MAX_BODY)?;
        latencies.push(sent.elapsed());
    }
}
