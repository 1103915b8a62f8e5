//! The readiness loop against sockets of this test on loopback.

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
    time::Duration,
};

use camphordale_clock::Clock;
use camphordale_http::Response;
use camphordale_reactor::{
    EventLoop,
    Exchange,
    ExchangeError,
    ExpectedResponse,
    IoEvent,
    ListenerKind, //
};
use camphordale_wire::{
    ClusterKey,
    Keyring, //
};
use socket2::{
    Domain,
    Socket,
    Type, //
};

/// Longest wait of a test for something that must happen.
const LIMIT: Duration = Duration::from_secs(10);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

struct World {
    event_loop: EventLoop,
    clock: Clock,
}

impl World {
    fn new() -> World {
        let clock = Clock::start();
        let key = ClusterKey {
            id: 1,
            secret: [7; 32],
        };
        let keyring = Keyring::new(vec![key], 1).unwrap();
        World {
            event_loop: EventLoop::new(clock, keyring).unwrap(),
            clock,
        }
    }

    /// Runs the loop until `found` returns something.
    fn until<Found, Fact>(&mut self, mut found: Found) -> Fact
    where
        Found: FnMut(IoEvent) -> Option<Fact>,
    {
        let end = self.clock.now() + LIMIT;
        while self.clock.now() < end {
            let next = self.clock.now() + ms(20);
            for incoming in self.event_loop.wait(next).unwrap() {
                if let Some(fact) = found(incoming) {
                    return fact;
                }
            }
        }
        panic!("nothing came");
    }

    fn exchange(&mut self, id: u64, address: SocketAddr, connections: usize) {
        self.event_loop.exchange(Exchange {
            id,
            address,
            bytes: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(),
            expected: ExpectedResponse {
                request_id: Some(("request-id".into(), format!("r{id}").into())),
                is_head: false,
            },
            connections,
            deadline: self.clock.now() + LIMIT,
        });
    }

    fn exchanged(&mut self) -> (u64, Result<Response, ExchangeError>) {
        self.until(|incoming| match incoming {
            IoEvent::ExchangeEnded { id, result } => Some((id, result)),
            _ => None,
        })
    }
}

fn target() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream
}

fn response(id: u64) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: r{id}\r\nContent-Length: 2\r\n\r\nok").into_bytes()
}

fn read_request(stream: &mut TcpStream) {
    let mut seen = Vec::new();
    let mut part = [0; 256];
    while !seen.ends_with(b"\r\n\r\n") {
        let count = stream.read(&mut part).unwrap();
        assert!(count > 0, "closed within the request");
        seen.extend_from_slice(&part[..count]);
    }
}

/// A machine that starts may drop the first packet of a connection, which is sent again only
/// after a second: the connection is given up before, so that a new one can be opened. Seen as
/// 0.4 s without routing after restarts of everything.
#[test]
fn a_connection_between_vms_that_does_not_open_is_given_up_soon() {
    // A listener whose queue is full drops further packets.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let _fill = TcpStream::connect(address).unwrap();

    let mut world = World::new();
    let began = world.clock.now();
    let dialed = world.event_loop.dial(address).unwrap();
    world.until(|incoming| match incoming {
        IoEvent::PeerClosed(conn) => (conn == dialed).then_some(()),
        _ => None,
    });
    let took = world.clock.now() - began;
    assert!(took < ms(500), "{took:?}");
}

#[test]
fn a_response_of_another_request_is_skipped() {
    let (listener, address) = target();
    let mut world = World::new();
    world.exchange(1, address, 4);
    let mut stream = accept(&listener);
    read_request_while(&mut world, &mut stream);
    stream
        .write_all(&[response(9), response(1)].concat())
        .unwrap();
    let (id, result) = world.exchanged();
    assert_eq!((id, result.unwrap().body), (1, b"ok".to_vec()));
}

/// Reads a request in a thread of its own while the loop runs.
fn read_request_while(world: &mut World, stream: &mut TcpStream) {
    let mut other = stream.try_clone().unwrap();
    let reader = std::thread::spawn(move || read_request(&mut other));
    while !reader.is_finished() {
        let next = world.clock.now() + ms(5);
        world.event_loop.wait(next).unwrap();
    }
    reader.join().unwrap();
}

#[test]
fn a_response_that_is_cut_short_is_a_failure_after_sending() {
    let (listener, address) = target();
    let mut world = World::new();
    world.exchange(1, address, 4);
    let mut stream = accept(&listener);
    read_request_while(&mut world, &mut stream);
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nok")
        .unwrap();
    drop(stream);
    let failure = world.exchanged().1.unwrap_err();
    assert!(failure.sent && failure.received, "{failure:?}");
}

#[test]
fn a_refused_connection_is_a_failure_before_sending() {
    let (listener, address) = target();
    drop(listener);
    let mut world = World::new();
    world.exchange(1, address, 4);
    let failure = world.exchanged().1.unwrap_err();
    assert!(!failure.sent && !failure.received, "{failure:?}");
}

/// Work whose caller has gone must stop at the target.
#[test]
fn an_abort_ends_the_connection_at_the_target() {
    let (listener, address) = target();
    let mut world = World::new();
    world.exchange(1, address, 4);
    let mut stream = accept(&listener);
    read_request_while(&mut world, &mut stream);
    world.event_loop.abort(1);
    let mut rest = Vec::new();
    // A reset, or an end without a further byte.
    let _ = stream.read_to_end(&mut rest);
    assert!(rest.is_empty());
}

/// A target takes one request at a time on a connection, and a limited number of connections.
#[test]
fn exchanges_wait_for_a_free_connection() {
    let (listener, address) = target();
    let mut world = World::new();
    world.exchange(1, address, 1);
    world.exchange(2, address, 1);
    let mut stream = accept(&listener);
    read_request_while(&mut world, &mut stream);
    stream.write_all(&response(1)).unwrap();
    assert_eq!(world.exchanged().0, 1);
    read_request_while(&mut world, &mut stream);
    stream.write_all(&response(2)).unwrap();
    assert_eq!(world.exchanged().0, 2);
    assert_eq!(world.event_loop.stats().opened, 1);
}

#[test]
fn responses_of_a_draining_process_end_their_connections() {
    let mut world = World::new();
    let any = "127.0.0.1:0".parse().unwrap();
    let address = world.event_loop.listen(any, ListenerKind::Callers).unwrap();
    let mut caller = TcpStream::connect(address).unwrap();
    caller.set_read_timeout(Some(LIMIT)).unwrap();
    caller
        .write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    world.event_loop.end_connections(true);
    let conn = world.until(|incoming| match incoming {
        IoEvent::Request { conn, .. } => Some(conn),
        _ => None,
    });
    world.event_loop.respond(conn, &Response::text(200, "ok"));
    for _ in 0..5 {
        let next = world.clock.now() + ms(5);
        world.event_loop.wait(next).unwrap();
    }
    let mut answer = [0; 512];
    let count = caller.read(&mut answer).unwrap();
    let answer = String::from_utf8_lossy(&answer[..count]).to_ascii_lowercase();
    assert!(answer.contains("connection: close"), "{answer}");
}
