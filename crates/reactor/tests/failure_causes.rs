//! Tests of what an exchange reports as the cause of its failure, against loopback sockets.

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
    thread,
    time::Duration,
};

use camphordale_clock::Clock;
use camphordale_reactor::{
    ConnectionUse,
    EventLoop,
    Exchange,
    ExchangeError,
    ExpectedResponse,
    FailureCause,
    IoEvent, //
};
use camphordale_wire::{
    ClusterKey,
    Keyring, //
};
use rstest::rstest;
use socket2::{
    Domain,
    SockRef,
    Socket,
    Type, //
};

/// Longest wait for an expected event.
const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Deadline of exchanges that must reach it.
const SHORT_DEADLINE: Duration = Duration::from_millis(150);
/// Body that fits in no socket buffer, so that it is never written completely.
const LONG_BODY_BYTES: usize = 32 << 20;

/// What the target does once it has read the head of the request.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Resets the connection.
    Reset,
    /// Closes the connection in order.
    Close,
    /// Sends this and closes the connection in order.
    SendAndClose(&'static [u8]),
    /// Sends this and resets the connection once the event loop has had time to read it.
    SendAndReset(&'static [u8]),
    /// Sends this and keeps the connection open.
    Send(&'static [u8]),
}

fn read_head(stream: &mut TcpStream) {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        received.push(byte[0]);
    }
}

fn reset(stream: TcpStream) {
    let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    linger.unwrap();
    drop(stream);
}

/// Accepts one connection and returns it if it stays open.
fn serve(listener: &TcpListener, behaviour: Behaviour) -> Option<TcpStream> {
    let (mut stream, _) = listener.accept().unwrap();
    read_head(&mut stream);
    match behaviour {
        Behaviour::Reset => reset(stream),
        Behaviour::Close => drop(stream),
        Behaviour::SendAndClose(bytes) => stream.write_all(bytes).unwrap(),
        Behaviour::SendAndReset(bytes) => {
            stream.write_all(bytes).unwrap();
            thread::sleep(Duration::from_millis(50));
            reset(stream);
        }
        Behaviour::Send(bytes) => {
            stream.write_all(bytes).unwrap();
            return Some(stream);
        }
    }
    None
}

struct Fixture {
    event_loop: EventLoop,
    clock: Clock,
}

impl Fixture {
    fn new() -> Fixture {
        let clock = Clock::start();
        let key = ClusterKey {
            id: 1,
            secret: [7; 32],
        };
        let keyring = Keyring::new(vec![key], 1).unwrap();
        Fixture {
            event_loop: EventLoop::new(clock, keyring).unwrap(),
            clock,
        }
    }

    fn start_exchange(&mut self, address: SocketAddr, body: usize, limit: Duration) {
        self.start_exchange_as(1, address, body, limit);
    }

    fn start_exchange_as(&mut self, id: u64, address: SocketAddr, body: usize, limit: Duration) {
        let head = format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {body}\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + body, b'x');
        self.event_loop.start_exchange(Exchange {
            id,
            address,
            bytes,
            body: None,
            expected: ExpectedResponse {
                request_id: Some(("request-id".into(), "r1".into())),
                ..ExpectedResponse::default()
            },
            connection: ConnectionUse::Pooled { limit: 1 },
            deadline: self.clock.now() + limit,
        });
    }

    /// Runs the loop for `time`, or until the exchange has ended.
    fn run(&mut self, time: Duration) -> Option<ExchangeError> {
        let end = self.clock.now() + time;
        while self.clock.now() < end {
            let next = self.clock.now() + Duration::from_millis(20);
            for event in self.event_loop.wait(next).unwrap() {
                if let IoEvent::ExchangeEnded { result, .. } = event {
                    return Some(result.unwrap_err());
                }
            }
        }
        None
    }
}

/// Runs an exchange against a target that behaves in this way.
fn failure_of(behaviour: Behaviour, body: usize, limit: Duration) -> ExchangeError {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let target = thread::spawn(move || serve(&listener, behaviour));
    let mut fixture = Fixture::new();
    fixture.start_exchange(address, body, limit);
    let failure = fixture.run(WAIT_LIMIT).expect("the exchange has not ended");
    target.join().unwrap();
    failure
}

const HALF_A_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
const HALF_A_BODY: &[u8] = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nok";
const NO_HTTP: &[u8] = b"?? not a response\r\n\r\n";
const BAD_CHUNK: &[u8] =
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
const OVERSIZED: &[u8] =
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 99999999999\r\n\r\n";

/// A target that ends closes or resets its connections, whatever it had sent before.
#[rstest]
#[case::reset(Behaviour::Reset, 0, false)]
#[case::close(Behaviour::Close, 0, false)]
#[case::close_within_the_head(Behaviour::SendAndClose(HALF_A_HEAD), 0, true)]
#[case::close_within_the_body(Behaviour::SendAndClose(HALF_A_BODY), 0, true)]
#[case::reset_within_the_body(Behaviour::SendAndReset(HALF_A_BODY), 0, true)]
#[case::reset_within_the_request(Behaviour::Reset, LONG_BODY_BYTES, false)]
#[case::close_within_the_request(Behaviour::Close, LONG_BODY_BYTES, false)]
fn a_connection_that_the_target_closes_is_reported_as_closed(
    #[case] behaviour: Behaviour,
    #[case] body: usize,
    #[case] received: bool,
) {
    let failure = failure_of(behaviour, body, WAIT_LIMIT);
    assert_eq!(failure.cause, FailureCause::Closed, "{failure:?}");
    assert!(failure.closed_by_target() && failure.sent, "{failure:?}");
    assert_eq!(failure.received, received, "{failure:?}");
}

/// A slow or garbled response does not show that the target ended, even if the connection is closed
/// after it.
#[rstest]
#[case::silence(Behaviour::Send(b""), FailureCause::TimedOut)]
#[case::half_a_response(Behaviour::Send(HALF_A_BODY), FailureCause::TimedOut)]
#[case::no_http(Behaviour::Send(NO_HTTP), FailureCause::Invalid)]
#[case::no_http_and_close(Behaviour::SendAndClose(NO_HTTP), FailureCause::Invalid)]
#[case::bad_chunk(Behaviour::Send(BAD_CHUNK), FailureCause::Invalid)]
#[case::oversized(Behaviour::SendAndClose(OVERSIZED), FailureCause::Invalid)]
fn another_failure_after_the_request_was_sent_is_not_reported_as_closed(
    #[case] behaviour: Behaviour,
    #[case] cause: FailureCause,
) {
    let limit = match cause {
        FailureCause::TimedOut => SHORT_DEADLINE,
        _ => WAIT_LIMIT,
    };
    let failure = failure_of(behaviour, 0, limit);
    assert_eq!(failure.cause, cause, "{failure:?}");
    assert!(failure.sent && !failure.closed_by_target(), "{failure:?}");
}

#[test]
fn a_refused_connection_is_reported_as_unconnected() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let mut fixture = Fixture::new();
    fixture.start_exchange(address, 0, WAIT_LIMIT);
    let failure = fixture.run(WAIT_LIMIT).unwrap();
    assert_eq!(failure.cause, FailureCause::Unconnected, "{failure:?}");
    assert!(!failure.sent && !failure.closed_by_target(), "{failure:?}");
}

/// This process closes connections when it holds too many bytes; the target did not end.
#[test]
fn a_connection_closed_for_its_size_is_reported_as_local() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let target = thread::spawn(move || serve(&listener, Behaviour::Send(HALF_A_BODY)));
    let mut fixture = Fixture::new();
    fixture.event_loop.set_buffer_limit(1);
    fixture.start_exchange(address, 0, WAIT_LIMIT);
    let failure = fixture.run(WAIT_LIMIT).unwrap();
    assert_eq!(failure.cause, FailureCause::Local, "{failure:?}");
    assert!(!failure.closed_by_target(), "{failure:?}");
    target.join().unwrap();
}

/// A caller that leaves ends its exchange. The close that the target then makes is no failure.
#[test]
fn an_aborted_exchange_reports_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let target = thread::spawn(move || serve(&listener, Behaviour::Send(b"")));
    let mut fixture = Fixture::new();
    fixture.start_exchange(address, 0, WAIT_LIMIT);
    while !target.is_finished() {
        assert_eq!(fixture.run(Duration::from_millis(20)), None);
    }
    fixture.event_loop.abort_exchange(1);
    drop(target.join().unwrap());
    assert_eq!(fixture.run(SHORT_DEADLINE), None);
}

/// Guards against a request that waits for a connection and is sent after its target must not get any
/// more, and against one that is broken off although it may have been sent.
#[test]
fn a_withdrawn_exchange_is_unsent_and_others_go_on() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let target = thread::spawn(move || serve(&listener, Behaviour::Send(b"")));
    let mut fixture = Fixture::new();
    fixture.start_exchange_as(1, address, 0, WAIT_LIMIT);
    fixture.start_exchange_as(2, address, 0, WAIT_LIMIT);
    fixture.event_loop.withdraw_exchange(2);
    let failure = fixture.run(WAIT_LIMIT).unwrap();
    assert!(!failure.sent && !failure.closed_by_target(), "{failure:?}");
    while !target.is_finished() {
        assert_eq!(fixture.run(Duration::from_millis(20)), None);
    }
    fixture.event_loop.withdraw_exchange(1);
    assert_eq!(fixture.run(SHORT_DEADLINE), None);
    drop(target.join().unwrap());
    assert!(fixture.run(WAIT_LIMIT).unwrap().sent);
}

/// Guards against a request that is sent after its target must not get any more, because its
/// connection was being opened when it was withdrawn.
#[test]
fn an_exchange_whose_connection_does_not_open_is_withdrawn() {
    // A listener with a full backlog answers no further connection.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let _fill = TcpStream::connect(address).unwrap();
    let mut fixture = Fixture::new();
    fixture.start_exchange(address, 0, WAIT_LIMIT);
    assert_eq!(fixture.run(Duration::from_millis(20)), None);
    fixture.event_loop.withdraw_exchange(1);
    let failure = fixture.run(WAIT_LIMIT).unwrap();
    assert!(!failure.sent, "{failure:?}");
    assert_eq!(failure.cause, FailureCause::Local);
}
