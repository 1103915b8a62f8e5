//! What an event loop holds for its clients is bounded.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    sync::Arc,
    time::Duration,
};

use camphordale_fleet::Limits;
use camphordale_http::Response;
use camphordale_reactor::{
    Clock,
    ConnId,
    EventLoop,
    HeldBody,
    IoEvent,
    ListenerKind, //
};
use camphordale_wire::{
    ClusterKey,
    Keyring, //
};
use rstest::rstest;

/// Memory for the bodies of requests.
const BODY_LIMIT: usize = 1 << 20;
/// Memory for responses that are taken slowly.
const BUFFER_LIMIT: usize = 24 << 20;
/// Length of a body of which only one fits.
const LONG: usize = 600 << 10;
/// Time for which a caller does not read, far below the idle timeout.
const PAUSE: Duration = Duration::from_secs(4);
/// Longest time until something expected is seen, on a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

struct Fixture {
    event_loop: EventLoop,
    clock: Clock,
    address: SocketAddr,
    requests: Vec<(ConnId, Arc<HeldBody>)>,
}

impl Fixture {
    fn new() -> Fixture {
        let clock = Clock::start();
        let key = ClusterKey {
            id: 1,
            secret: [7; 32],
        };
        let keyring = Keyring::new(vec![key], 1).unwrap();
        let mut event_loop = EventLoop::new(clock, keyring).unwrap();
        event_loop.set_body_limit(BODY_LIMIT);
        event_loop.set_buffer_limit(BUFFER_LIMIT);
        let address = "127.0.0.1:0".parse().unwrap();
        let address = event_loop.listen(address, ListenerKind::Callers).unwrap();
        Fixture {
            event_loop,
            clock,
            address,
            requests: Vec::new(),
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        let limit = Some(Duration::from_millis(5));
        stream.set_read_timeout(limit).unwrap();
        stream
    }

    /// Handles events for a moment, and holds the bodies of requests.
    fn turn(&mut self) {
        let until = self.clock.now() + Duration::from_millis(2);
        for event in self.event_loop.wait(until).unwrap() {
            if let IoEvent::Request { conn, request, .. } = event {
                let body = self.event_loop.hold_body(conn, request.body);
                self.requests.push((conn, body));
            }
        }
    }

    fn turn_until<Done>(&mut self, what: &str, mut done: Done)
    where
        Done: FnMut(&mut Fixture) -> bool,
    {
        let limit = self.clock.now() + WAIT_LIMIT;
        while !done(self) {
            assert!(self.clock.now() < limit, "{what}");
            self.turn();
        }
    }

    /// The status of the response on a connection, and its head.
    fn response(&mut self, stream: &mut TcpStream) -> (u16, String) {
        let mut text = Vec::new();
        self.turn_until("a response", |_| {
            let mut buffer = [0; 4096];
            if let Ok(count) = stream.read(&mut buffer) {
                text.extend_from_slice(&buffer[..count]);
            }
            text.windows(4).any(|end| end == b"\r\n\r\n")
        });
        let text = String::from_utf8_lossy(&text).into_owned();
        (text[9..12].parse().unwrap(), text)
    }

    fn respond(&mut self) {
        for (conn, _) in std::mem::take(&mut self.requests) {
            self.event_loop.respond(conn, &Response::text(200, "done"));
        }
    }
}

fn head(length: usize) -> Vec<u8> {
    format!("PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n").into_bytes()
}

/// Guards against a process that long bodies end, with all that it has in progress: a body that has no
/// room is refused with its head, and short requests are served meanwhile.
#[test]
fn a_body_without_room_is_refused_before_it_is_read() {
    let mut fixture = Fixture::new();
    let mut first = fixture.connect();
    first.write_all(&head(LONG)).unwrap();
    fixture.turn_until("a reservation", |f| f.event_loop.body_bytes() == LONG);

    let mut second = fixture.connect();
    second.write_all(&head(LONG)).unwrap();
    let (status, text) = fixture.response(&mut second);
    assert!(
        status == 503 && text.contains("Retry-After: 1\r\n"),
        "{text}"
    );
    assert_eq!(fixture.event_loop.stats().without_memory, 1);

    let mut short = fixture.connect();
    short.write_all(&head(5)).unwrap();
    short.write_all(b"order").unwrap();
    fixture.turn_until("a short request", |f| !f.requests.is_empty());
    fixture.respond();
    assert_eq!(fixture.response(&mut short).0, 200);

    first.write_all(&vec![b'x'; LONG]).unwrap();
    fixture.turn_until("a long request", |f| !f.requests.is_empty());
    assert_eq!(fixture.event_loop.body_bytes(), LONG);
    fixture.respond();
    assert_eq!(fixture.response(&mut first).0, 200);
    assert_eq!(fixture.event_loop.body_bytes(), 0);
    let mut third = fixture.connect();
    third.write_all(&head(LONG)).unwrap();
    fixture.turn_until("a reservation", |f| f.event_loop.body_bytes() == LONG);
}

/// A body without a stated length is refused when it has outgrown what is left.
#[test]
fn a_chunked_body_is_refused_when_it_has_no_room() {
    let mut fixture = Fixture::new();
    let mut stream = fixture.connect();
    stream
        .write_all(b"PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    let chunk = [b"10000\r\n".as_slice(), &[b'x'; 1 << 16], b"\r\n"].concat();
    stream.set_nonblocking(true).unwrap();
    let (mut sent, mut most) = (0, 0);
    fixture.turn_until("a refusal", |fixture| {
        while sent < 32 * chunk.len() {
            match stream.write(&chunk[sent % chunk.len()..]) {
                Ok(count) => sent += count,
                Err(_) => break,
            }
        }
        most = most.max(fixture.event_loop.body_bytes());
        fixture.event_loop.stats().without_memory == 1
    });
    assert!((BODY_LIMIT / 2..=BODY_LIMIT).contains(&most), "{most}");
    assert_eq!(fixture.event_loop.body_bytes(), 0);
}

/// The body of a caller that leaves counts for as long as an attempt may need it.
#[rstest]
#[case::leaves(true)]
#[case::stays(false)]
fn a_body_counts_until_no_attempt_needs_it(#[case] leaves: bool) {
    let mut fixture = Fixture::new();
    let mut stream = fixture.connect();
    stream.write_all(&head(LONG)).unwrap();
    stream.set_nonblocking(true).unwrap();
    let mut sent = 0;
    fixture.turn_until("a request", |fixture| {
        if let Ok(count) = stream.write(&[b'x'; 1 << 16][..(LONG - sent).min(1 << 16)]) {
            sent += count;
        }
        !fixture.requests.is_empty()
    });
    if leaves {
        drop(stream);
        fixture.turn_until("a closed connection", |f| {
            f.event_loop.open_connections() == 0
        });
    }
    assert_eq!(fixture.event_loop.body_bytes(), LONG);
    fixture.requests.clear();
    assert_eq!(fixture.event_loop.body_bytes(), 0);
}

/// Guards against responses that are cut off although their callers go on reading them: the time in
/// which a connection may be idle ran while the response was being taken.
#[rstest]
#[case::reads_on(None)]
#[case::stops(Some(1 << 20))]
fn a_response_is_cut_off_only_if_nobody_takes_it(#[case] stops_after: Option<usize>) {
    const LENGTH: usize = 24 << 20;
    let mut fixture = Fixture::new();
    fixture.event_loop.set_buffer_limit(2 * LENGTH);
    fixture.event_loop.set_limits(Limits {
        idle_timeout: Duration::from_millis(100),
        ..Limits::default()
    });
    let mut stream = fixture.connect();
    stream.write_all(&head(0)).unwrap();
    fixture.turn_until("a request", |f| !f.requests.is_empty());
    let (conn, _) = fixture.requests.remove(0);
    let response = Response::new(200, vec![b'x'; LENGTH]);
    fixture.event_loop.respond(conn, &response);
    let started = fixture.clock.now();
    let (mut taken, mut buffer) = (0, vec![0; 1 << 17]);
    let goes_on = |f: &Fixture| f.event_loop.open_connections() > 0 || stops_after.is_none();
    while goes_on(&fixture) && taken < LENGTH {
        fixture.turn();
        assert!(fixture.clock.now() < started + WAIT_LIMIT);
        if stops_after.is_none_or(|stop| taken < stop) {
            let count = stream.read(&mut buffer);
            assert!(!matches!(count, Ok(0)), "{taken} bytes taken");
            taken += count.unwrap_or(0);
            // Longer in all than a connection may be idle.
            fixture.turn_until("time to read on", |f| {
                f.clock.now()
                    >= started + Duration::from_secs(2).mul_f64(taken as f64 / LENGTH as f64)
            });
        }
    }
    assert_eq!(
        taken >= LENGTH,
        stops_after.is_none(),
        "{taken} bytes taken"
    );
}

/// Guards against a response that is cut off because its caller does not read for a while: the
/// system breaks a connection whose window stays closed for `TCP_USER_TIMEOUT`.
#[test]
fn a_response_waits_for_a_caller_that_pauses() {
    const LENGTH: usize = 16 << 20;
    let mut fixture = Fixture::new();
    let mut stream = fixture.connect();
    stream.write_all(&head(0)).unwrap();
    fixture.turn_until("a request", |f| !f.requests.is_empty());
    let (conn, _) = fixture.requests.remove(0);
    let response = Response::new(200, vec![b'x'; LENGTH]);
    fixture.event_loop.respond(conn, &response);
    let resumed = fixture.clock.now() + PAUSE;
    fixture.turn_until("the end of the pause", |f| f.clock.now() >= resumed);
    let (mut taken, mut buffer) = (0, vec![0; 1 << 17]);
    fixture.turn_until("a whole response", |_| {
        let count = stream.read(&mut buffer);
        assert!(!matches!(count, Ok(0)), "{taken} bytes taken");
        taken += count.unwrap_or(0);
        taken >= LENGTH
    });
}

/// Guards against memory that callers fill by taking their responses slowly.
#[test]
fn responses_that_are_not_taken_are_bounded() {
    let mut fixture = Fixture::new();
    let response = Response::new(200, vec![b'x'; 8 << 20]);
    let mut streams = Vec::new();
    let mut most = 0;
    for _ in 0..30 {
        let mut stream = fixture.connect();
        stream.write_all(&head(0)).unwrap();
        streams.push(stream);
        fixture.turn_until("a request", |f| !f.requests.is_empty());
        for (conn, _) in std::mem::take(&mut fixture.requests) {
            fixture.event_loop.respond(conn, &response);
        }
        most = most.max(fixture.event_loop.buffered_bytes());
    }
    assert!(most <= BUFFER_LIMIT, "{most}");
    assert!(fixture.event_loop.open_connections() < 30);
    let mut short = fixture.connect();
    short.write_all(&head(0)).unwrap();
    fixture.turn_until("a short request", |f| !f.requests.is_empty());
    fixture.respond();
    assert_eq!(fixture.response(&mut short).0, 200);
}
