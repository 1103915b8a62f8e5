//! Calls: exactness of `maybe_delivered`, limits, keys and strangers.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

mod common;

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
    sync::atomic::Ordering,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use camphordale_net::{
    CallError,
    CallErrorKind,
    LinkError,
    Operation, //
    PeerClient,
    ServerLimits,
};
use camphordale_wire::{
    ClusterKey,
    FrameError,
    FrameKind,
    HELLO_LEN,
    Handshake,
    Keyring,
    Role, //
};
use common::{
    LONG,
    Relay,
    SERVER_VM,
    client,
    eventually,
    keyring,
    loopback,
    reporter,
    server, //
};
use socket2::{
    Domain,
    Socket,
    Type, //
};

const SHORT: Duration = Duration::from_millis(200);

fn call(client: &PeerClient, to: SocketAddr, request: &[u8]) -> Result<Vec<u8>, CallError> {
    client.call(to, Some(SERVER_VM), request, LONG)
}

#[test]
fn another_vm_gets_no_request() {
    // Guards against a request that reaches a VM which took over the address of another.
    let (handler, _reports) = reporter();
    let server = server(handler.clone(), keyring(&[1], 1), ServerLimits::default());
    let error = client(|_| {})
        .call(server.local_addr(), Some(7), b"reserve", LONG)
        .unwrap_err();
    assert!(matches!(
        error.kind,
        CallErrorKind::WrongPeer {
            expected: 7,
            found: SERVER_VM
        }
    ));
    assert!(!error.maybe_delivered);
    assert_eq!(handler.calls.load(Ordering::SeqCst), 0);
}

#[test]
fn a_refused_connection_is_not_delivered() {
    let closed = TcpListener::bind(loopback(0))
        .unwrap()
        .local_addr()
        .unwrap();
    let error = call(&client(|_| {}), closed, b"reserve").unwrap_err();
    assert_eq!(
        (error.step, error.maybe_delivered),
        (Operation::Connect, false)
    );
}

#[test]
fn a_client_with_a_wrong_key_is_refused() {
    let (handler, _reports) = reporter();
    let server = server(handler.clone(), keyring(&[1], 1), ServerLimits::default());
    let impostor = ClusterKey {
        id: 1,
        secret: [9; 32],
    };
    let client = client(|config| config.keyring = Keyring::new(vec![impostor], 1).unwrap());
    let error = call(&client, server.local_addr(), b"reserve").unwrap_err();
    assert_eq!(
        (error.step, error.maybe_delivered),
        (Operation::Handshake, false)
    );
    eventually("the refusal", || {
        server.stats().refused.get("tag") == Some(&1)
    });
    assert_eq!(handler.calls.load(Ordering::SeqCst), 0);
}

#[test]
fn a_server_with_a_wrong_key_gets_no_request() {
    // Guards against a client that trusts whoever answers at an address.
    let listener = TcpListener::bind(loopback(0)).unwrap();
    let address = listener.local_addr().unwrap();
    let impostor = thread::spawn(move || {
        let secret = [9; 32];
        let keyring = Keyring::new(vec![ClusterKey { id: 1, secret }], 1).unwrap();
        let (mut stream, _) = listener.accept().unwrap();
        let handshake = Handshake::new(Role::Server, SERVER_VM, &keyring, [3; 16]);
        let mut hello = [0; HELLO_LEN];
        stream.read_exact(&mut hello).unwrap();
        let mut bytes = handshake.hello().to_vec();
        let mut session = handshake.finish(&hello, &keyring, 0).unwrap();
        session
            .encoder
            .encode(FrameKind::Ready, b"", &mut bytes)
            .unwrap();
        stream.write_all(&bytes).unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        rest
    });
    let error = call(&client(|_| {}), address, b"reserve").unwrap_err();
    assert!(!error.maybe_delivered);
    let tag = FrameError::Tag { sequence: 0 };
    assert!(matches!(error.kind, CallErrorKind::Link(LinkError::Frame(found)) if found == tag));
    let received = impostor.join().unwrap();
    assert!(!received.windows(7).any(|bytes| bytes == b"reserve"));
}

#[test]
fn keys_rotate_while_calls_run() {
    let (handler, _reports) = reporter();
    let both = server(handler, keyring(&[1, 2], 1), ServerLimits::default());
    for ring in [keyring(&[1], 1), keyring(&[1, 2], 2)] {
        let client = client(|config| config.keyring = ring);
        assert_eq!(call(&client, both.local_addr(), b"a").unwrap(), b"a");
    }
    let removed = client(|config| config.keyring = keyring(&[3], 3));
    let error = call(&removed, both.local_addr(), b"a").unwrap_err();
    assert!(!error.maybe_delivered);
    eventually("the refusal", || {
        both.stats().refused.get("unknown_key") == Some(&1)
    });
}

#[test]
fn a_recorded_session_is_refused() {
    // Guards against an attacker who sends the bytes of an earlier connection again.
    let (handler, _reports) = reporter();
    let server = server(handler.clone(), keyring(&[1], 1), ServerLimits::default());
    let relay = Relay::start(server.local_addr());
    call(&client(|_| {}), relay.address, b"reserve").unwrap();
    let mut stream = TcpStream::connect(server.local_addr()).unwrap();
    stream.write_all(&relay.recorded()).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    assert_eq!(answer.len(), HELLO_LEN, "no confirmation is sent");
    eventually("the refusal", || {
        server.stats().refused.get("tag") == Some(&1)
    });
    assert_eq!(handler.calls.load(Ordering::SeqCst), 1);
}

#[test]
fn strangers_leave_room_for_peers() {
    // Guards against strangers who hold all connections with half a hello.
    let (handler, _reports) = reporter();
    let limits = ServerLimits {
        handshakes_per_ip: 3,
        handshake_timeout: SHORT,
        ..ServerLimits::default()
    };
    let server = server(handler, keyring(&[1], 1), limits);
    let strangers: Vec<TcpStream> = (0..10)
        .map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            let source: SocketAddr = "127.0.0.2:0".parse().unwrap();
            socket.bind(&source.into()).unwrap();
            socket.connect(&server.local_addr().into()).unwrap();
            let mut stream = TcpStream::from(socket);
            // The server may have closed it already.
            let _ = stream.write_all(b"CmpD");
            stream
        })
        .collect();
    let own = client(|_| {});
    assert_eq!(call(&own, server.local_addr(), b"a").unwrap(), b"a");
    for mut stranger in strangers {
        stranger.set_read_timeout(Some(LONG)).unwrap();
        let end = stranger.read(&mut [0]);
        let waited = matches!(&end, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!waited, "the stranger is still connected");
    }
    eventually("the refusals", || {
        server.stats().refused.get("unfinished_per_ip") >= Some(&7)
    });
    eventually("the time limit", || {
        server.stats().refused.contains_key("handshake_time")
    });
}

#[test]
fn a_full_server_refuses_before_delivery() {
    // Guards against a call to a full server that counts as possibly run.
    let (handler, reports) = reporter();
    let limits = ServerLimits {
        max_connections: 1,
        ..ServerLimits::default()
    };
    let server = server(handler, keyring(&[1], 1), limits);
    let (first, second) = (client(|_| {}), client(|_| {}));
    call(&first, server.local_addr(), b"a").unwrap();
    let error = call(&second, server.local_addr(), b"a").unwrap_err();
    assert_eq!(
        (error.step, error.maybe_delivered),
        (Operation::Handshake, false)
    );
    drop(reports);
}

#[test]
fn connections_per_peer_are_bounded() {
    let (handler, reports) = reporter();
    let server = server(handler.clone(), keyring(&[1], 1), ServerLimits::default());
    let client = client(|config| config.max_connections = 1);
    thread::scope(|scope| {
        let first = scope.spawn(|| call(&client, server.local_addr(), b"wait"));
        eventually("the first call", || {
            handler.calls.load(Ordering::SeqCst) == 1
        });
        let error = client
            .call(server.local_addr(), None, b"a", SHORT)
            .unwrap_err();
        assert!(matches!(error.kind, CallErrorKind::Busy));
        assert!(!error.maybe_delivered);
        reports.gate.send(()).unwrap();
        assert_eq!(first.join().unwrap().unwrap(), b"wait");
    });
    assert_eq!(call(&client, server.local_addr(), b"b").unwrap(), b"b");
    assert_eq!(client.stats().connects, 1);
}

#[test]
fn a_silent_connection_times_out_and_is_replaced() {
    // Guards against a connection that went silent for good but is used again and again.
    let (handler, _reports) = reporter();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let relay = Relay::start(server.local_addr());
    let client = client(|_| {});
    call(&client, relay.address, b"a").unwrap();
    relay.set_silent(true);
    let started = Instant::now();
    let error = client.call(relay.address, None, b"b", SHORT).unwrap_err();
    assert!(matches!(
        error.kind,
        CallErrorKind::Link(LinkError::Timeout)
    ));
    assert!(error.maybe_delivered);
    assert!(started.elapsed() < LONG / 2);
    relay.set_silent(false);
    assert_eq!(call(&client, relay.address, b"c").unwrap(), b"c");
    assert_eq!(relay.accepted.load(Ordering::SeqCst), 2);
}

#[test]
fn a_connection_that_the_server_closed_is_not_used() {
    // Guards against calls that fail because a pooled connection was reaped by the server.
    let (handler, _reports) = reporter();
    let limits = ServerLimits {
        idle_timeout: Duration::from_millis(50),
        ..ServerLimits::default()
    };
    let server = server(handler, keyring(&[1], 1), limits);
    let client = client(|_| {});
    call(&client, server.local_addr(), b"a").unwrap();
    eventually("the reaping", || server.stats().connections == 0);
    assert_eq!(call(&client, server.local_addr(), b"b").unwrap(), b"b");
    assert_eq!(client.stats().connects, 2);
}

#[test]
fn a_panic_ends_one_connection_only() {
    let (handler, _reports) = reporter();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let client = client(|_| {});
    let error = call(&client, server.local_addr(), b"panic").unwrap_err();
    assert_eq!((error.step, error.maybe_delivered), (Operation::Read, true));
    assert_eq!(call(&client, server.local_addr(), b"a").unwrap(), b"a");
    assert_eq!(server.stats().panics, 1);
}

#[test]
fn long_frames_are_refused_on_both_sides() {
    let (handler, _reports) = reporter();
    let limits = ServerLimits {
        max_payload: 1_000,
        ..ServerLimits::default()
    };
    let server = server(handler.clone(), keyring(&[1], 1), limits);
    let bounded = client(|config| config.max_payload = 1_000);
    let error = call(&bounded, server.local_addr(), &[0; 1_001]).unwrap_err();
    assert_eq!(
        (error.step, error.maybe_delivered),
        (Operation::Write, false)
    );
    let unbounded = client(|_| {});
    let error = call(&unbounded, server.local_addr(), &[0; 100_000]).unwrap_err();
    assert!(error.maybe_delivered);
    eventually("the refusal", || {
        server.stats().refused.get("length") == Some(&1)
    });
    assert_eq!(handler.calls.load(Ordering::SeqCst), 0);
}

#[test]
fn shutdown_closes_connections_and_stops_to_listen() {
    let (handler, _reports) = reporter();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let address = server.local_addr();
    let client = client(|_| {});
    call(&client, address, b"a").unwrap();
    server.shutdown();
    assert_eq!(server.stats().connections, 0);
    let error = call(&client, address, b"b").unwrap_err();
    assert_eq!(
        (error.step, error.maybe_delivered),
        (Operation::Connect, false)
    );
}

#[test]
fn connections_come_from_the_set_address() {
    let listener = TcpListener::bind(loopback(0)).unwrap();
    let address = listener.local_addr().unwrap();
    let source = "127.0.0.3".parse().unwrap();
    let client = client(|config| config.bind_ip = Some(source));
    client.cast(address, b"a".to_vec());
    assert_eq!(listener.accept().unwrap().1.ip(), source);
}
