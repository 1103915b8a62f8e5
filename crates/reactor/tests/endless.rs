//! Bytes without end from a target or a caller: bounded time and memory, and other connections are
//! served meanwhile.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    thread,
    time::Duration, //
};

use camphordale_clock::Clock;
use camphordale_fleet::Limits;
use camphordale_http::Response;
use camphordale_reactor::{
    ClientConnection,
    ConnectionUse,
    EventLoop,
    Exchange,
    ExpectedResponse,
    IoEvent,
    ListenerKind,
    Progress,
    ServerConnection, //
};
use camphordale_wire::{
    ClusterKey,
    Keyring, //
};
use rstest::rstest;

/// Time limit of an exchange with a target that sends without end.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(600);
/// Longest time for which a loop may be late, on a busy machine.
const SLACK: Duration = Duration::from_secs(2);
/// Memory that the loop may use for what it has received.
const BUFFER_LIMIT: usize = 8 << 20;

fn event_loop() -> (EventLoop, Clock) {
    let clock = Clock::start();
    let key = ClusterKey {
        id: 1,
        secret: [7; 32],
    };
    let keyring = Keyring::new(vec![key], 1).unwrap();
    let mut event_loop = EventLoop::new(clock, keyring).unwrap();
    event_loop.set_buffer_limit(BUFFER_LIMIT);
    (event_loop, clock)
}

/// A target that answers each connection with `head` and then `filler` until it is closed. Returns
/// its address and the number of bytes sent.
fn endless_target(head: &'static [u8], filler: &'static [u8]) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicU64::new(0));
    let counter = sent.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let counter = counter.clone();
            thread::spawn(move || {
                if stream.write_all(head).is_err() {
                    return;
                }
                let block = filler.repeat((64 << 10) / filler.len());
                while stream.write_all(&block).is_ok() {
                    counter.fetch_add(block.len() as u64, Ordering::Relaxed);
                }
            });
        }
    });
    (address, sent)
}

/// An exchange with a target that sends without end fails, and a caller is served meanwhile.
#[rstest]
#[case::head(b"HTTP/1.1 200 OK\r\nX: ", b"a")]
#[case::no_http(b"", b"x")]
#[case::body_without_length(b"HTTP/1.1 200 OK\r\nI: 1\r\n\r\n", b"b")]
#[case::body_with_length(b"HTTP/1.1 200 OK\r\nI: 1\r\nContent-Length: 60000000\r\n\r\n", b"b")]
#[case::chunks(
    b"HTTP/1.1 200 OK\r\nI: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"1\r\nb\r\n"
)]
#[case::chunk_extension(
    b"HTTP/1.1 200 OK\r\nI: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    b"e"
)]
#[case::interim(b"", b"HTTP/1.1 100 Continue\r\n\r\n")]
#[case::foreign(b"", b"HTTP/1.1 200 OK\r\nI: 2\r\nContent-Length: 0\r\n\r\n")]
fn a_target_that_sends_without_end(#[case] head: &'static [u8], #[case] filler: &'static [u8]) {
    let (mut event_loop, clock) = event_loop();
    let (target, _) = endless_target(head, filler);
    let listener = event_loop
        .listen("127.0.0.1:0".parse().unwrap(), ListenerKind::Callers)
        .unwrap();
    let started = clock.now();
    for id in 1..=3 {
        event_loop.start_exchange(Exchange {
            id,
            address: target,
            bytes: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(),
            body: None,
            expected: ExpectedResponse {
                request_id: Some(("i".into(), "1".into())),
                ..ExpectedResponse::default()
            },
            connection: ConnectionUse::Pooled { limit: 10 },
            deadline: started + EXCHANGE_LIMIT,
        });
    }
    let caller = thread::spawn(move || {
        thread::sleep(Duration::from_millis(100));
        let mut stream = TcpStream::connect(listener).unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            .unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    });
    let (mut failed, mut served) = (0, false);
    while failed < 3 || !served {
        let now = clock.now();
        assert!(
            now < started + EXCHANGE_LIMIT + SLACK,
            "{failed} failed, served {served}"
        );
        for event in event_loop.wait(now + Duration::from_millis(20)).unwrap() {
            match event {
                IoEvent::Request { conn, .. } => {
                    event_loop.respond(conn, &Response::text(200, "ok"));
                    served = true;
                }
                IoEvent::ExchangeEnded { result, .. } => {
                    assert!(result.is_err());
                    failed += 1;
                }
                _ => {}
            }
        }
        assert!(event_loop.buffered_bytes() <= BUFFER_LIMIT + (1 << 20));
    }
    while !caller.is_finished() {
        event_loop
            .wait(clock.now() + Duration::from_millis(20))
            .unwrap();
    }
    let text = caller.join().unwrap();
    assert!(text.ends_with("ok\n"), "{text:?}");
    assert_eq!(event_loop.buffered_bytes(), 0);
}

/// A caller that sends without end is answered with an error and closed.
#[rstest]
#[case::head(b"GET / HTTP/1.1\r\nX: ", b"a")]
#[case::request_line(b"", b"x")]
#[case::blank_lines(b"", b"\r\n")]
#[case::body(
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n",
    b"b"
)]
#[case::chunks(
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"1\r\nb\r\n"
)]
#[case::chunk_extension(
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    b"e"
)]
fn a_caller_that_sends_without_end(#[case] head: &'static [u8], #[case] filler: &'static [u8]) {
    let (mut event_loop, clock) = event_loop();
    event_loop.set_limits(Limits {
        max_body: 4 << 20,
        ..Limits::default()
    });
    let listener = event_loop
        .listen("127.0.0.1:0".parse().unwrap(), ListenerKind::Callers)
        .unwrap();
    let callers: Vec<_> = (0..3)
        .map(|_| {
            thread::spawn(move || {
                let mut stream = TcpStream::connect(listener).unwrap();
                let block = filler.repeat((64 << 10) / filler.len());
                if stream.write_all(head).is_err() {
                    return;
                }
                while stream.write_all(&block).is_ok() {}
            })
        })
        .collect();
    let started = clock.now();
    while !callers.iter().all(thread::JoinHandle::is_finished) {
        let now = clock.now();
        assert!(now < started + Duration::from_secs(20), "not closed");
        for event in event_loop.wait(now + Duration::from_millis(20)).unwrap() {
            assert!(!matches!(event, IoEvent::Request { .. }), "{event:?}");
        }
        assert!(event_loop.buffered_bytes() <= BUFFER_LIMIT + (1 << 20));
    }
}

/// Guards against work that grows with the square of a head that comes one byte at a time.
#[test]
fn a_head_that_comes_byte_by_byte_is_cheap() {
    let clock = Clock::start();
    let started = clock.now();
    let mut client = ClientConnection::new(ExpectedResponse::default());
    let mut input = b"HTTP/1.1 200 OK\r\nX: ".to_vec();
    while client.advance(&mut input, false) == Progress::Incomplete {
        input.push(b'a');
    }
    let mut server = ServerConnection::new();
    let limits = Limits {
        max_head: 64 << 10,
        ..Limits::default()
    };
    let (mut input, mut output) = (b"GET / HTTP/1.1\r\nX: ".to_vec(), Vec::new());
    let peer = "127.0.0.1:1".parse().unwrap();
    while server
        .advance(&mut input, &mut output, &limits, peer, Duration::ZERO)
        .is_ok()
    {
        input.push(b'a');
    }
    let spent = clock.now() - started;
    assert!(spent < Duration::from_secs(1), "{spent:?}");
}

/// Length of a sound answer, which comes in portions.
const SOUND_BYTES: usize = 256 << 10;

/// A target that answers each connection with `SOUND_BYTES`, over 200 ms.
fn sound_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let head =
                    format!("HTTP/1.1 200 OK\r\nI: 1\r\nContent-Length: {SOUND_BYTES}\r\n\r\n");
                let mut result = stream.read(&mut [0; 256]).map(drop);
                result = result.and_then(|()| stream.write_all(head.as_bytes()));
                for _ in 0..16 {
                    thread::sleep(Duration::from_millis(12));
                    result = result.and_then(|()| stream.write_all(&[b's'; SOUND_BYTES / 16]));
                }
                // The loop may have closed the connection, which the test sees as a failed exchange.
                result.ok();
            });
        }
    });
    address
}

/// Guards against sound answers that are given up because faulty targets fill the memory for what is
/// received: those that hold the most make room.
#[rstest]
#[case::body_without_length(b"HTTP/1.1 200 OK\r\nI: 1\r\n\r\n", b"b")]
#[case::chunks(
    b"HTTP/1.1 200 OK\r\nI: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"40\r\nbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\n"
)]
fn answers_without_end_leave_room_for_sound_ones(
    #[case] head: &'static [u8],
    #[case] filler: &'static [u8],
) {
    const SOUND: u64 = 12;
    const ENDLESS: u64 = 40;
    let (mut event_loop, clock) = event_loop();
    let (endless, _) = endless_target(head, filler);
    let sound = sound_target();
    let started = clock.now();
    let exchange = |id, address, deadline| Exchange {
        id,
        address,
        bytes: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(),
        body: None,
        expected: ExpectedResponse {
            request_id: Some(("i".into(), "1".into())),
            ..ExpectedResponse::default()
        },
        connection: ConnectionUse::Single,
        deadline,
    };
    for id in 1..=SOUND {
        event_loop.start_exchange(exchange(id, sound, started + SLACK * 5));
    }
    let (mut next, mut done) = (SOUND + 1, 0);
    for _ in 0..ENDLESS {
        event_loop.start_exchange(exchange(next, endless, started + SLACK * 5));
        next += 1;
    }
    let mut given_up = 0;
    while done < SOUND {
        let now = clock.now();
        assert!(now < started + SLACK * 5, "{done} sound answers");
        for event in event_loop.wait(now + Duration::from_millis(20)).unwrap() {
            let IoEvent::ExchangeEnded { id, result, .. } = event else {
                continue;
            };
            if id <= SOUND {
                let response = result.unwrap();
                assert_eq!(response.body.len(), SOUND_BYTES);
                done += 1;
            } else {
                // Another request goes to the faulty target at once.
                given_up += 1;
                event_loop.start_exchange(exchange(next, endless, started + SLACK * 5));
                next += 1;
            }
        }
        assert!(event_loop.buffered_bytes() <= BUFFER_LIMIT + (1 << 20));
    }
    assert!(given_up > 0, "the faulty target fills the memory");
}
