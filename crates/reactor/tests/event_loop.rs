//! Tests of the event loop against loopback sockets.

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
use camphordale_fleet::{
    Change,
    Command,
    ConfigResource,
    Limits,
    MemberList,
    PeerMessage, //
};
use camphordale_http::Response;
use camphordale_reactor::{
    ConnectionUse,
    EventLoop,
    Exchange,
    ExchangeError,
    ExpectedResponse,
    IdleRetention,
    IoEvent,
    ListenerKind, //
};
use camphordale_wire::{
    ClusterKey,
    Keyring, //
};
use rstest::rstest;
use socket2::{
    Domain,
    Socket,
    Type, //
};

/// Longest wait for an expected event.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
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

    /// Runs the loop until `select` returns a value for an event.
    fn wait_for<Select, Selected>(&mut self, mut select: Select) -> Selected
    where
        Select: FnMut(IoEvent) -> Option<Selected>,
    {
        let end = self.clock.now() + WAIT_LIMIT;
        while self.clock.now() < end {
            let next = self.clock.now() + ms(20);
            for event in self.event_loop.wait(next).unwrap() {
                if let Some(selected) = select(event) {
                    return selected;
                }
            }
        }
        panic!("no such event within {WAIT_LIMIT:?}");
    }

    fn start_exchange(&mut self, id: u64, address: SocketAddr, connections: usize) {
        let connection = ConnectionUse::Pooled { limit: connections };
        self.start_exchange_over(id, address, connection);
    }

    fn start_exchange_over(&mut self, id: u64, address: SocketAddr, connection: ConnectionUse) {
        let deadline = self.clock.now() + WAIT_LIMIT;
        self.start_exchange_until(id, address, connection, deadline);
    }

    fn start_exchange_until(
        &mut self,
        id: u64,
        address: SocketAddr,
        connection: ConnectionUse,
        deadline: Duration,
    ) {
        self.event_loop.start_exchange(Exchange {
            id,
            address,
            bytes: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(),
            body: None,
            expected: ExpectedResponse {
                request_id: Some(("request-id".into(), format!("r{id}").into())),
                ..ExpectedResponse::default()
            },
            connection,
            deadline,
        });
    }

    fn next_exchange(&mut self) -> (u64, Result<Response, ExchangeError>) {
        self.wait_for(|event| match event {
            IoEvent::ExchangeEnded { id, result, .. } => Some((id, result)),
            _ => None,
        })
    }
}

fn target_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream
}

fn response(id: u64) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: r{id}\r\nContent-Length: 2\r\n\r\nok").into_bytes()
}

fn read_request(stream: &mut TcpStream) {
    let mut received = Vec::new();
    let mut chunk = [0; 256];
    while !received.ends_with(b"\r\n\r\n") {
        let count = stream.read(&mut chunk).unwrap();
        assert!(
            count > 0,
            "connection closed before the request was complete"
        );
        received.extend_from_slice(&chunk[..count]);
    }
}

/// Guards against 0.4 s without routing after a restart of all processes. A VM that is starting may
/// drop the first packet of a connection, which is retransmitted only after one second, so the
/// connection must fail earlier for a new one to be opened.
#[test]
fn a_peer_connection_that_does_not_open_fails_before_a_retransmission() {
    // A listener with a full backlog drops further packets.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let _fill = TcpStream::connect(address).unwrap();

    let mut fixture = Fixture::new();
    let start = fixture.clock.now();
    let opened = fixture.event_loop.connect_peer(address, ms(250)).unwrap();
    fixture.wait_for(|event| match event {
        IoEvent::PeerClosed { conn, .. } => (conn == opened).then_some(()),
        _ => None,
    });
    let took = fixture.clock.now() - start;
    assert!(took < ms(500), "{took:?}");
}

#[test]
fn a_response_to_another_request_is_skipped() {
    let (listener, address) = target_listener();
    let mut fixture = Fixture::new();
    fixture.start_exchange(1, address, 4);
    let mut stream = accept(&listener);
    read_request_while_polling(&mut fixture, &mut stream);
    stream
        .write_all(&[response(9), response(1)].concat())
        .unwrap();
    let (id, result) = fixture.next_exchange();
    assert_eq!((id, result.unwrap().body), (1, b"ok".to_vec()));
}

/// Reads a request on another thread while the event loop runs.
fn read_request_while_polling(fixture: &mut Fixture, stream: &mut TcpStream) {
    let mut other = stream.try_clone().unwrap();
    let reader = std::thread::spawn(move || read_request(&mut other));
    while !reader.is_finished() {
        let next = fixture.clock.now() + ms(5);
        fixture.event_loop.wait(next).unwrap();
    }
    reader.join().unwrap();
}

#[test]
fn a_truncated_response_fails_the_exchange_as_sent() {
    let (listener, address) = target_listener();
    let mut fixture = Fixture::new();
    fixture.start_exchange(1, address, 4);
    let mut stream = accept(&listener);
    read_request_while_polling(&mut fixture, &mut stream);
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nok")
        .unwrap();
    drop(stream);
    let failure = fixture.next_exchange().1.unwrap_err();
    assert!(failure.sent && failure.received, "{failure:?}");
}

/// Guards against a response that is lost because its connection fails right after it: a target that
/// sheds a long request responds and closes the connection while the body is being written.
#[rstest]
#[case::write_fails(32 << 20)]
#[case::read_fails(1)]
fn a_response_that_precedes_a_failure_is_kept(#[case] length: usize) {
    let (listener, address) = target_listener();
    let mut fixture = Fixture::new();
    let mut bytes = format!("PUT / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    fixture.event_loop.start_exchange(Exchange {
        id: 1,
        address,
        bytes,
        body: None,
        expected: ExpectedResponse {
            request_id: Some(("request-id".into(), "r1".into())),
            ..ExpectedResponse::default()
        },
        connection: ConnectionUse::Pooled { limit: 1 },
        deadline: fixture.clock.now() + WAIT_LIMIT,
    });
    let mut stream = accept(&listener);
    // Fills the buffers of both sockets.
    for _ in 0..10 {
        let next = fixture.clock.now() + ms(10);
        fixture.event_loop.wait(next).unwrap();
    }
    stream.write_all(&response(1)).unwrap();
    // The reset that unread input causes follows the response.
    drop(stream);
    let (id, result) = fixture.next_exchange();
    assert_eq!((id, result.unwrap().body), (1, b"ok".to_vec()));
    assert_eq!(fixture.event_loop.idle_target_connections(), 0);
}

#[test]
fn a_refused_connection_fails_the_exchange_as_unsent() {
    let (listener, address) = target_listener();
    drop(listener);
    let mut fixture = Fixture::new();
    fixture.start_exchange(1, address, 4);
    let failure = fixture.next_exchange().1.unwrap_err();
    assert!(!failure.sent && !failure.received, "{failure:?}");
}

/// A target must be able to stop work whose caller has disconnected.
#[test]
fn an_aborted_exchange_closes_its_connection() {
    let (listener, address) = target_listener();
    let mut fixture = Fixture::new();
    fixture.start_exchange(1, address, 4);
    let mut stream = accept(&listener);
    read_request_while_polling(&mut fixture, &mut stream);
    fixture.event_loop.abort_exchange(1);
    let mut rest = Vec::new();
    // Either a reset or an end of stream without data.
    let _ = stream.read_to_end(&mut rest);
    assert!(rest.is_empty());
}

/// A target accepts a limited number of connections, and one request at a time on each.
#[test]
fn an_exchange_is_queued_until_a_connection_is_free() {
    let (listener, address) = target_listener();
    let mut fixture = Fixture::new();
    fixture.start_exchange(1, address, 1);
    fixture.start_exchange(2, address, 1);
    let mut stream = accept(&listener);
    read_request_while_polling(&mut fixture, &mut stream);
    stream.write_all(&response(1)).unwrap();
    assert_eq!(fixture.next_exchange().0, 1);
    read_request_while_polling(&mut fixture, &mut stream);
    stream.write_all(&response(2)).unwrap();
    assert_eq!(fixture.next_exchange().0, 2);
    assert_eq!(fixture.event_loop.stats().opened, 1);
}

/// Guards against queued exchanges that are neither started nor ended: one whose deadline passes in
/// the queue, and the one behind it, if the connection closes for which both wait.
#[rstest]
#[case::closes(false)]
#[case::responds(true)]
fn an_expired_exchange_ends_and_does_not_strand_the_next_one(#[case] responds: bool) {
    let (listener, address) = target_listener();
    let mut fixture = Fixture::new();
    let connection = ConnectionUse::Pooled { limit: 1 };
    let short = fixture.clock.now() + ms(50);
    fixture.start_exchange(1, address, 1);
    fixture.start_exchange_until(2, address, connection, short);
    fixture.start_exchange(3, address, 1);
    let mut stream = accept(&listener);
    read_request_while_polling(&mut fixture, &mut stream);
    std::thread::sleep(ms(60));
    match responds {
        true => stream.write_all(&response(1)).unwrap(),
        false => stream.shutdown(std::net::Shutdown::Both).unwrap(),
    }
    // Both may end in the same turn.
    let mut ended = Vec::new();
    let limit = fixture.clock.now() + ms(500);
    while ended.len() < 2 && fixture.clock.now() < limit {
        let events = fixture.event_loop.wait(limit).unwrap();
        ended.extend(events.into_iter().filter_map(|event| match event {
            IoEvent::ExchangeEnded { id, result, .. } => Some((id, result.is_ok())),
            _ => None,
        }));
    }
    assert_eq!(ended, [(1, responds), (2, false)]);
    if !responds {
        assert_eq!(fixture.event_loop.stats().opened, 2);
        stream = accept(&listener);
    }
    read_request_while_polling(&mut fixture, &mut stream);
    stream.write_all(&response(3)).unwrap();
    let (id, result) = fixture.next_exchange();
    assert_eq!((id, result.unwrap().status), (3, 200));
}

#[test]
fn responses_of_a_draining_process_close_their_connections() {
    let mut fixture = Fixture::new();
    let any = "127.0.0.1:0".parse().unwrap();
    let address = fixture
        .event_loop
        .listen(any, ListenerKind::Callers)
        .unwrap();
    let mut caller = TcpStream::connect(address).unwrap();
    caller.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    caller
        .write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    fixture.event_loop.set_close_after_response(true);
    let conn = fixture.wait_for(|event| match event {
        IoEvent::Request { conn, .. } => Some(conn),
        _ => None,
    });
    fixture.event_loop.respond(conn, &Response::text(200, "ok"));
    for _ in 0..5 {
        let next = fixture.clock.now() + ms(5);
        fixture.event_loop.wait(next).unwrap();
    }
    let mut buffer = [0; 512];
    let count = caller.read(&mut buffer).unwrap();
    let response = String::from_utf8_lossy(&buffer[..count]).to_ascii_lowercase();
    assert!(response.contains("connection: close"), "{response}");
}

fn connected_caller(fixture: &mut Fixture) -> TcpStream {
    let any = "127.0.0.1:0".parse().unwrap();
    let address = fixture
        .event_loop
        .listen(any, ListenerKind::Callers)
        .unwrap();
    let caller = TcpStream::connect(address).unwrap();
    caller.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    while fixture.event_loop.caller_connections() == 0 {
        let next = fixture.clock.now() + ms(5);
        fixture.event_loop.wait(next).unwrap();
    }
    caller
}

/// Guards against a planned stop that cuts off a request which has arrived, but was not read when
/// the idle connections were closed.
#[test]
fn a_request_that_has_arrived_is_served_when_idle_connections_are_closed() {
    let mut fixture = Fixture::new();
    let mut caller = connected_caller(&mut fixture);
    caller
        .write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    fixture.event_loop.set_close_after_response(true);
    fixture.event_loop.close_idle_callers();
    let conn = fixture.wait_for(|event| match event {
        IoEvent::Request { conn, .. } => Some(conn),
        _ => None,
    });
    fixture.event_loop.respond(conn, &Response::text(200, "ok"));
    let mut text = String::new();
    caller.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

/// A request that crosses the close of its idle connection must not be read: its caller may send
/// it again only if it was not.
#[test]
fn a_request_after_the_close_of_an_idle_connection_is_not_read() {
    let mut fixture = Fixture::new();
    let mut caller = connected_caller(&mut fixture);
    fixture.event_loop.close_idle_callers();
    assert_eq!(fixture.event_loop.open_connections(), 0);
    // The write may succeed before the reset arrives.
    let written = caller.write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    let mut text = String::new();
    let read = caller.read_to_string(&mut text);
    assert!(text.is_empty(), "{written:?} {read:?}");
}

/// Accepts connections one after the other and answers the exchanges on each, whose ids are given.
fn serve_connections(listener: TcpListener, exchanges: &'static [&'static [u64]]) {
    std::thread::spawn(move || {
        for ids in exchanges {
            let mut stream = accept(&listener);
            for id in *ids {
                read_request(&mut stream);
                stream.write_all(&response(*id)).unwrap();
            }
        }
    });
}

/// Guards against an order that reaches the next process at an address, because the connection to
/// the former one has closed and another is opened.
#[test]
fn an_exchange_for_a_closed_connection_is_not_sent_over_another() {
    let (listener, address) = target_listener();
    serve_connections(listener, &[&[1, 2], &[3]]);
    let mut fixture = Fixture::new();
    fixture.start_exchange_over(1, address, ConnectionUse::Open(7));
    assert!(fixture.next_exchange().1.is_ok());
    // While it is open, the connection carries further exchanges.
    fixture.start_exchange_over(2, address, ConnectionUse::Kept(7));
    assert!(fixture.next_exchange().1.is_ok());

    let end = fixture.clock.now() + WAIT_LIMIT;
    while fixture.event_loop.open_connections() > 0 && fixture.clock.now() < end {
        let next = fixture.clock.now() + ms(20);
        fixture.event_loop.wait(next).unwrap();
    }
    fixture.start_exchange_over(3, address, ConnectionUse::Kept(7));
    let (id, result) = fixture.next_exchange();
    assert_eq!((id, result.unwrap_err().sent), (3, false));
    assert_eq!(fixture.event_loop.stats().opened, 1);
}

/// Guards against a second copy of an answer that is taken for the answer to the next order.
#[test]
fn a_single_exchange_has_a_connection_of_its_own() {
    let (listener, address) = target_listener();
    serve_connections(listener, &[&[1], &[2]]);
    let mut fixture = Fixture::new();
    for id in 1..=2 {
        fixture.start_exchange_over(id, address, ConnectionUse::Single);
        let (ended, result) = fixture.next_exchange();
        assert_eq!((ended, result.is_ok()), (id, true));
        assert_eq!(fixture.event_loop.open_connections(), 0);
        assert_eq!(fixture.event_loop.stats().opened, id);
    }
}

/// Guards against a connection that a target closes while a request that may run once is sent over
/// it: however long a target keeps connections, this side closes them first.
#[rstest]
#[case::short(IdleRetention::Short, Some(15_000), 4000)]
#[case::stated(STATED, Some(15_000), 9000)]
#[case::stated_short(STATED, Some(2000), 1200)]
#[case::stated_forever(STATED, Some(u64::MAX), 60_000)]
#[case::unstated(STATED, None, 4000)]
#[case::zero(STATED, Some(0), 0)]
fn idle_connections_close_before_the_target_closes_them(
    #[case] retention: IdleRetention,
    #[case] stated_ms: Option<u64>,
    #[case] expected_ms: u64,
) {
    assert_eq!(retention.timeout(stated_ms.map(ms)), ms(expected_ms));
}

const STATED: IdleRetention = IdleRetention::Stated { descriptors: 12 };

/// Guards against idle connections that take the descriptors of callers: a quarter of 12 may be
/// idle, and the one that was used last stays.
#[rstest]
#[case(IdleRetention::Short, 5)]
#[case(STATED, 3)]
fn idle_connections_leave_descriptors_for_callers(
    #[case] retention: IdleRetention,
    #[case] expected: usize,
) {
    let mut fixture = Fixture::new();
    fixture.event_loop.set_idle_retention(retention);
    let mut last = None;
    for id in 1..=5 {
        let (listener, address) = target_listener();
        std::thread::spawn(move || {
            let mut stream = accept(&listener);
            let mut answers = [id, 6].into_iter();
            // Keeps the connection open until the other side closes it.
            while stream.read(&mut [0; 256]).is_ok_and(|length| length > 0) {
                let answer = answers.next().unwrap();
                stream.write_all(&response(answer)).unwrap();
            }
        });
        fixture.start_exchange(id, address, 1);
        assert!(fixture.next_exchange().1.is_ok());
        last = Some(address);
    }
    assert_eq!(fixture.event_loop.idle_target_connections(), expected);
    assert_eq!(fixture.event_loop.open_connections(), expected);
    fixture.start_exchange(6, last.unwrap(), 1);
    assert!(fixture.next_exchange().1.is_ok());
    let stats = fixture.event_loop.stats();
    assert_eq!((stats.opened, stats.reused), (5, 1));
    assert_eq!(fixture.event_loop.idle_target_connections(), expected);
}

/// A message of about `bytes` bytes.
fn long_message(bytes: usize) -> PeerMessage {
    let document = "d".repeat(bytes).into();
    let spec = Limits::default();
    let change = Change {
        base_version: 1,
        version: 2,
        replace_all: false,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Some(ConfigResource { spec, document }),
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest: [0; 16],
        received_ms: 0,
    };
    let command = Box::new(Command::Change(Box::new(change)));
    PeerMessage::Update { index: 1, command }
}

/// Opens a connection from `client` to `server` and returns its ids at both ends.
fn connect(server: &mut Fixture, client: &mut Fixture, address: SocketAddr) -> (u64, u64) {
    let local = client.event_loop.connect_peer(address, ms(5000)).unwrap();
    let hello = PeerMessage::MemberList(MemberList::default());
    client.event_loop.send(local, &hello);
    let end = server.clock.now() + WAIT_LIMIT;
    while server.clock.now() < end {
        let next = client.clock.now() + ms(5);
        client.event_loop.wait(next).unwrap();
        let next = server.clock.now() + ms(5);
        for event in server.event_loop.wait(next).unwrap() {
            if let IoEvent::PeerMessage { conn, .. } = event {
                return (conn, local);
            }
        }
    }
    panic!("no connection within {WAIT_LIMIT:?}");
}

/// Guards against a VM that runs out of memory because several others read nothing, each of them
/// within the limit for one connection. The one that reads is served.
#[test]
fn output_for_all_peers_together_is_limited() {
    const LIMIT: usize = 8 << 20;
    const MESSAGE: usize = 512 << 10;
    let mut server = Fixture::new();
    server.event_loop.set_peer_output_limit(LIMIT);
    let any = "127.0.0.1:0".parse().unwrap();
    let address = server.event_loop.listen(any, ListenerKind::Peers).unwrap();
    let mut clients: Vec<Fixture> = (0..6).map(|_| Fixture::new()).collect();
    let conns: Vec<u64> = clients
        .iter_mut()
        .map(|client| connect(&mut server, client, address).0)
        .collect();
    let reader = clients.first_mut().unwrap();
    let message = long_message(MESSAGE);
    let (mut received, mut closed) = (0, 0);
    let end = server.clock.now() + WAIT_LIMIT;
    for sent in 1..=40 {
        server.event_loop.send_all(&conns, &message);
        let output = server.event_loop.peer_output();
        assert!(output <= LIMIT * 5 / 4 + MESSAGE, "{output} bytes");
        let longest = server.event_loop.longest_peer_output();
        assert!((output.div_ceil(6)..=output).contains(&longest));
        while received < sent {
            assert!(server.clock.now() < end, "{received} of {sent} messages");
            let next = server.clock.now() + ms(2);
            for event in server.event_loop.wait(next).unwrap() {
                if let IoEvent::PeerClosed { conn, .. } = event {
                    assert_ne!(conn, conns[0], "the reader was closed");
                    closed += 1;
                }
            }
            let next = reader.clock.now() + ms(2);
            for event in reader.event_loop.wait(next).unwrap() {
                received += usize::from(matches!(event, IoEvent::PeerMessage { .. }));
            }
        }
    }
    assert!(closed > 0, "the others fill the output");
}

/// Guards against a stream that is given up while a long message arrives, because nothing shows that
/// it does.
#[test]
fn the_bytes_of_a_long_message_are_reported() {
    let mut server = Fixture::new();
    let any = "127.0.0.1:0".parse().unwrap();
    let address = server.event_loop.listen(any, ListenerKind::Peers).unwrap();
    let mut client = Fixture::new();
    let (conn, local) = connect(&mut server, &mut client, address);
    let mut receive = |bytes| {
        client.event_loop.send(local, &long_message(bytes));
        let mut progress = 0;
        loop {
            let next = client.clock.now() + ms(2);
            client.event_loop.wait(next).unwrap();
            let next = server.clock.now() + ms(2);
            for event in server.event_loop.wait(next).unwrap() {
                match event {
                    IoEvent::PeerProgress(id) => {
                        assert_eq!(id, conn);
                        progress += 1;
                    }
                    IoEvent::PeerMessage { .. } => return progress,
                    other => panic!("{other:?}"),
                }
            }
        }
    };
    assert_eq!(receive(100), 0, "a short message is complete at once");
    assert!(receive(4 << 20) > 0);
    assert_eq!(receive(100), 0, "nothing is left of the long message");
}

/// Guards against a long request that is given up at a live target which does not read its body for a
/// few seconds.
///
/// Listed in KNOWN-RED.txt; runs with CAMPHORDALE_KNOWN_RED=1.
#[test]
fn a_target_may_pause_while_it_reads_a_body() {
    if !std::env::var("CAMPHORDALE_KNOWN_RED").is_ok_and(|value| value == "1") {
        println!("KNOWN-RED: a_target_may_pause_while_it_reads_a_body is passed over");
        return;
    }
    let (listener, address) = target_listener();
    let mut fixture = Fixture::new();
    let length = 200 << 10;
    let mut bytes = format!("PUT / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    let total = bytes.len();
    fixture.event_loop.start_exchange(Exchange {
        id: 1,
        address,
        bytes,
        body: None,
        expected: ExpectedResponse {
            request_id: Some(("request-id".into(), "r1".into())),
            ..ExpectedResponse::default()
        },
        connection: ConnectionUse::Pooled { limit: 1 },
        deadline: fixture.clock.now() + WAIT_LIMIT,
    });
    let mut stream = accept(&listener);
    let target = std::thread::spawn(move || {
        std::thread::sleep(ms(4000));
        let (mut taken, mut chunk) = (0, vec![0; 1 << 16]);
        while taken < total {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return stream,
                Ok(count) => taken += count,
            }
        }
        stream.write_all(&response(1)).unwrap();
        stream
    });
    let (_, result) = fixture.next_exchange();
    drop(target.join().unwrap());
    assert_eq!(result.unwrap().body, b"ok");
}
