//! Clients read their answers slowly: each rests once for some seconds, and then reads on. Meanwhile
//! the front machine is stopped as planned, with SIGTERM.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use super::{request, wait_until_served};
use crate::{
    Verdict,
    fleet::{Fleet, config, route, service},
    http::{self, Reader},
    record::Record,
};

/// Bytes of an answer: the longest body that a site file names.
const BODY: usize = 360_000;
/// How long a client waits for its answer.
const DEADLINE: Duration = Duration::from_secs(8);
/// For how long a client rests in the middle of its answer.
const REST: Duration = Duration::from_secs(2);
const CLIENTS: u32 = 8;
/// Time from the requests to the SIGTERM: all of them have been passed on by then.
const STOP_AFTER: Duration = Duration::from_millis(300);
/// Connections that may end without a complete answer. The rule on planned work names no number;
/// the one that holds at any time allows three.
const ALLOWED: usize = 3;

pub fn run(record: Record, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(record.clone(), &["zone-a"])?;
    let entries = [
        route("files", "download", 8000, 2),
        service("files", false, 62),
    ];
    for number in 1..=3 {
        fleet.start_upstream(number, "files", &[]);
    }
    fleet.found(1, &config(1, &entries))?;
    wait_until_served(&fleet, "files", 0)?;
    // The machines are in touch: nothing has happened to them for longer than `contact_ms`.
    thread::sleep(Duration::from_millis(4000));
    let front = fleet.front(1);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            let rest = if trouble { REST } else { Duration::ZERO };
            thread::spawn(move || fetch(front, number, rest, &record))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    record.add("front-1 gets SIGTERM");
    fleet.terminate("front-1");
    let mut cut = 0;
    for client in clients {
        let is_whole = client.join().map_err(|_| "a client failed")??;
        cut += usize::from(!is_whole);
    }
    let runs = record.find("upstream-");
    let done = runs
        .iter()
        .filter(|(_, line)| line.contains(" done long-"))
        .count();
    record.add(format!(
        "{CLIENTS} answers, made by upstreams: {done}, not complete: {cut}"
    ));
    if done < CLIENTS as usize {
        return Err("not all requests were run".into());
    }
    Ok(match cut > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends a short request and then a long one on the same connection. Returns whether the long answer
/// arrived whole.
fn fetch(front: SocketAddr, number: u32, rest: Duration, record: &Record) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(front).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let head = request("files", "w20", &format!("short-{number}"), DEADLINE, 0);
    let first = http::exchange(&mut stream, &head, b"", DEADLINE).map_err(text)?;
    if first.status() != 200 {
        return Err("the first request on a connection failed".into());
    }
    let id = format!("long-{number}");
    let head = request("files", &format!("w100/b{BODY}"), &id, DEADLINE, 0);
    let sent = Instant::now();
    stream.write_all(&http::encode(&head, b"")).map_err(text)?;
    record.add(format!("client {id} sent on a kept connection"));
    let mut reader = Reader::default();
    let mut buffer = vec![0; 16 << 10];
    let (mut received, mut rest) = (0, rest);
    loop {
        let left = DEADLINE.saturating_sub(sent.elapsed());
        if left.is_zero() {
            return Err("a client has waited until its deadline".into());
        }
        stream.set_read_timeout(Some(left)).map_err(text)?;
        match stream.read(&mut buffer) {
            Ok(0) => {
                record.add(format!(
                    "client {id} after {received} bytes: connection closed"
                ));
                return Ok(false);
            }
            Ok(count) => {
                received += count;
                if let Some(answer) = reader.push(&buffer[..count]).map_err(text)? {
                    let (status, length) = (answer.status(), answer.body.len());
                    record.add(format!("client {id} answer {status} with {length} bytes"));
                    return Ok(status == 200 && length == BODY);
                }
                if !rest.is_zero() {
                    record.add(format!("client {id} rests after {received} bytes"));
                    thread::sleep(std::mem::take(&mut rest));
                    record.add(format!("client {id} reads on"));
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => {
                record.add(format!("client {id} after {received} bytes: {error}"));
                return Ok(false);
            }
        }
    }
}
