//! Long messages on a narrow link: short ones are not held up behind them.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Arc,
    thread,
    time::Duration, //
};

use camphordale_clock::Clock;
use camphordale_http::Response;
use camphordale_reactor::{
    ConnId,
    ConnectionUse,
    EventLoop,
    Exchange,
    ExpectedResponse,
    HeldBody,
    IoEvent,
    ListenerKind, //
};
use camphordale_wire::{
    ClusterKey,
    Keyring, //
};

/// Rate of the link in bytes per second.
const LINK_RATE: f64 = 400_000.0;

struct Fixture {
    event_loop: EventLoop,
    clock: Clock,
    address: std::net::SocketAddr,
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
        event_loop.set_link_rate(Some(LINK_RATE));
        let any = "127.0.0.1:0".parse().unwrap();
        let address = event_loop.listen(any, ListenerKind::Callers).unwrap();
        Fixture {
            event_loop,
            clock,
            address,
        }
    }

    /// Sends a request from a thread, which returns the body of the response.
    fn request(&mut self) -> (ConnId, thread::JoinHandle<Vec<u8>>) {
        let address = self.address;
        let caller = thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            stream
                .write_all(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                .unwrap();
            let mut received = Vec::new();
            stream.read_to_end(&mut received).unwrap();
            received
        });
        loop {
            let next = self.clock.now() + Duration::from_millis(5);
            for event in self.event_loop.wait(next).unwrap() {
                if let IoEvent::Request { conn, .. } = event {
                    return (conn, caller);
                }
            }
        }
    }

    /// Runs the loop until `select` returns a value for an event.
    fn wait_for<Select, Selected>(&mut self, mut select: Select) -> Selected
    where
        Select: FnMut(IoEvent) -> Option<Selected>,
    {
        loop {
            let next = self.clock.now() + Duration::from_millis(5);
            let events = self.event_loop.wait(next).unwrap();
            if let Some(selected) = events.into_iter().find_map(&mut select) {
                return selected;
            }
        }
    }

    fn start_exchange(
        &mut self,
        id: u64,
        address: std::net::SocketAddr,
        method: &str,
        body: Option<Arc<HeldBody>>,
    ) {
        let length = body.as_ref().map_or(0, |body| body.len());
        let head = format!("{method} / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
        self.event_loop.start_exchange(Exchange {
            id,
            address,
            bytes: head.into_bytes(),
            body,
            expected: ExpectedResponse::default(),
            connection: ConnectionUse::Single,
            deadline: self.clock.now() + Duration::from_secs(10),
        });
    }

    fn run_until_finished(&mut self, caller: thread::JoinHandle<Vec<u8>>) -> Vec<u8> {
        while !caller.is_finished() {
            let next = self.clock.now() + Duration::from_millis(5);
            self.event_loop.wait(next).unwrap();
        }
        caller.join().unwrap()
    }
}

#[test]
fn a_long_response_takes_the_time_of_the_link_and_arrives_whole() {
    let mut fixture = Fixture::new();
    let (conn, caller) = fixture.request();
    let body: Vec<u8> = (0..200_000u32).map(|at| at as u8).collect();
    let started = fixture.clock.now();
    fixture
        .event_loop
        .respond(conn, &Response::new(200, body.clone()));
    let received = fixture.run_until_finished(caller);
    let took = fixture.clock.now() - started;
    assert!(received.ends_with(&body));
    // All but the first portion at the rate of the link.
    assert!(took >= Duration::from_millis(350), "{took:?}");
}

/// Guards against a response that is cut off by the end of the process, though its target has
/// finished it: most of it waits for its turn on the link.
#[test]
fn a_process_that_ends_writes_out_its_responses() {
    let mut fixture = Fixture::new();
    let (conn, caller) = fixture.request();
    let body: Vec<u8> = (0..200_000u32).map(|at| at as u8).collect();
    let response = Response::new(200, body.clone());
    fixture.event_loop.respond(conn, &response);
    fixture.event_loop.write_out_responses();
    drop(fixture);
    assert!(caller.join().unwrap().ends_with(&body));
}

#[test]
fn a_short_response_passes_a_long_one() {
    let mut fixture = Fixture::new();
    let (long, long_caller) = fixture.request();
    let (short, short_caller) = fixture.request();
    let body = vec![7; 400_000];
    fixture.event_loop.respond(long, &Response::new(200, body));
    fixture
        .event_loop
        .respond(short, &Response::text(200, "short"));
    let received = fixture.run_until_finished(short_caller);
    assert!(received.ends_with(b"short\n"));
    assert!(!long_caller.is_finished());
    fixture.run_until_finished(long_caller);
}

/// Guards against a queue on the link that grows while short messages take more than the share that
/// long responses leave.
#[test]
fn long_responses_give_way_to_short_ones() {
    let mut fixture = Fixture::new();
    let time_for = |fixture: &mut Fixture, others: usize| {
        let (long, long_caller) = fixture.request();
        let started = fixture.clock.now();
        let body = vec![7; 120_000];
        fixture.event_loop.respond(long, &Response::new(200, body));
        let callers: Vec<_> = (0..others)
            .map(|_| {
                let (conn, caller) = fixture.request();
                let body = vec![1; 10_000];
                fixture.event_loop.respond(conn, &Response::new(200, body));
                caller
            })
            .collect();
        for caller in callers {
            fixture.run_until_finished(caller);
        }
        fixture.run_until_finished(long_caller);
        fixture.clock.now() - started
    };
    let alone = time_for(&mut fixture, 0);
    let beside = time_for(&mut fixture, 10);
    // 100,000 bytes of short responses take a quarter of a second of the link.
    assert!(
        beside >= alone + Duration::from_millis(150),
        "{alone:?} alone, {beside:?} beside others"
    );
}

/// Number of no connection: the body comes from no caller.
const NO_CALLER: ConnId = ConnId::MAX;
/// Length of an upload. It takes half a second on the link.
const UPLOAD_BYTES: usize = 200_000;

/// Guards against uploads that fill the queue of the VM's link, so that everything else waits behind
/// them: the body is read from its caller no faster than the link carries it.
#[test]
fn an_upload_is_read_at_the_rate_of_the_link() {
    let mut fixture = Fixture::new();
    let address = fixture.address;
    let started = fixture.clock.now();
    let caller = thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        let head = format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&vec![7; UPLOAD_BYTES]).unwrap();
        stream
    });
    let body = fixture.wait_for(|event| match event {
        IoEvent::Request { request, .. } => Some(request.body.len()),
        _ => None,
    });
    let took = fixture.clock.now() - started;
    assert_eq!(body, UPLOAD_BYTES);
    // All but the first portion at the rate of the link.
    assert!(took >= Duration::from_millis(350), "{took:?}");
    caller.join().unwrap();
}

/// The same towards the target, where a short request that is sent meanwhile arrives first.
#[test]
fn an_upload_is_sent_at_the_rate_of_the_link() {
    let mut fixture = Fixture::new();
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = target.local_addr().unwrap();
    let arrivals = thread::spawn(move || {
        let serving: Vec<_> = (0..2)
            .map(|_| target.accept().unwrap().0)
            .map(|mut stream| {
                thread::spawn(move || {
                    let (mut received, mut buffer) = (0, [0; 65536]);
                    while !buffer.starts_with(b"GET") && received < UPLOAD_BYTES {
                        received += stream.read(&mut buffer).unwrap();
                    }
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(answer).unwrap();
                })
            })
            .collect();
        for thread in serving {
            thread.join().unwrap();
        }
    });
    let started = fixture.clock.now();
    let body = fixture
        .event_loop
        .hold_body(NO_CALLER, vec![7; UPLOAD_BYTES]);
    fixture.start_exchange(1, address, "POST", Some(body));
    fixture.start_exchange(2, address, "GET", None);
    let mut ended = Vec::new();
    while ended.len() < 2 {
        ended.push(fixture.wait_for(|event| match event {
            IoEvent::ExchangeEnded { id, result, .. } => Some((id, result.is_ok())),
            _ => None,
        }));
    }
    let took = fixture.clock.now() - started;
    assert_eq!(ended, [(2, true), (1, true)]);
    assert!(took >= Duration::from_millis(350), "{took:?}");
    arrivals.join().unwrap();
}

/// Guards against a request that arrives at a target more than two seconds after the target has said
/// that it leaves, because its body waited for the link: 2,006 ms were measured.
#[test]
fn an_upload_that_takes_long_is_sent_without_pacing() {
    let mut fixture = Fixture::new();
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = target.local_addr().unwrap();
    // Two seconds at the rate of the link.
    let length = LINK_RATE as usize * 2;
    let arrival = thread::spawn(move || {
        let (mut stream, _) = target.accept().unwrap();
        let (mut received, mut buffer) = (0, vec![0; 1 << 16]);
        while received < length {
            received += stream.read(&mut buffer).unwrap();
        }
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).unwrap();
    });
    let started = fixture.clock.now();
    let body = fixture.event_loop.hold_body(NO_CALLER, vec![7; length]);
    fixture.start_exchange(1, address, "POST", Some(body));
    let ended = fixture.wait_for(|event| match event {
        IoEvent::ExchangeEnded { result, .. } => Some(result.is_ok()),
        _ => None,
    });
    let took = fixture.clock.now() - started;
    assert!(ended && took < Duration::from_millis(1200), "{took:?}");
    arrival.join().unwrap();
}
