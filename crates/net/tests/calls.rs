//! Calls: whether `maybe_delivered` is exact, limits, key rotation and unauthenticated peers.

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
    ConnectionError,
    Operation,
    PeerClient,
    ServerLimits, //
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
    LONG_REPLY,
    Proxy,
    SERVER_VM,
    TEST_TIMEOUT,
    client,
    eventually,
    keyring,
    loopback,
    recording_handler,
    server, //
};
use socket2::{
    Domain,
    Socket,
    Type, //
};

const SHORT: Duration = Duration::from_millis(200);

fn call(client: &PeerClient, to: SocketAddr, request: &[u8]) -> Result<Vec<u8>, CallError> {
    client.call(to, Some(SERVER_VM), request, TEST_TIMEOUT)
}

#[test]
fn request_is_not_sent_to_another_vm() {
    // Guards against a request that reaches a VM that took over the address of another VM.
    let (handler, _control) = recording_handler();
    let server = server(handler.clone(), keyring(&[1], 1), ServerLimits::default());
    let error = client(|_| {})
        .call(server.local_addr(), Some(7), b"reserve", TEST_TIMEOUT)
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
fn refused_connection_is_reported_as_undelivered() {
    let closed = TcpListener::bind(loopback(0))
        .unwrap()
        .local_addr()
        .unwrap();
    let error = call(&client(|_| {}), closed, b"reserve").unwrap_err();
    assert_eq!(
        (error.operation, error.maybe_delivered),
        (Operation::Connect, false)
    );
}

#[test]
fn client_with_wrong_key_is_rejected() {
    let (handler, _control) = recording_handler();
    let server = server(handler.clone(), keyring(&[1], 1), ServerLimits::default());
    let impostor = ClusterKey {
        id: 1,
        secret: [9; 32],
    };
    let client = client(|config| config.keyring = Keyring::new(vec![impostor], 1).unwrap());
    let error = call(&client, server.local_addr(), b"reserve").unwrap_err();
    assert_eq!(
        (error.operation, error.maybe_delivered),
        (Operation::Handshake, false)
    );
    eventually("the rejection", || {
        server.stats().refused.get("tag") == Some(&1)
    });
    assert_eq!(handler.calls.load(Ordering::SeqCst), 0);
}

#[test]
fn request_is_not_sent_to_a_server_with_wrong_key() {
    // Guards against a client that does not authenticate the server.
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
    assert!(
        matches!(error.kind, CallErrorKind::Connection(ConnectionError::Frame(found)) if found == tag)
    );
    let received = impostor.join().unwrap();
    assert!(!received.windows(7).any(|bytes| bytes == b"reserve"));
}

#[test]
fn calls_succeed_during_key_rotation() {
    let (handler, _control) = recording_handler();
    let both = server(handler, keyring(&[1, 2], 1), ServerLimits::default());
    for ring in [keyring(&[1], 1), keyring(&[1, 2], 2)] {
        let client = client(|config| config.keyring = ring);
        assert_eq!(call(&client, both.local_addr(), b"a").unwrap(), b"a");
    }
    let removed = client(|config| config.keyring = keyring(&[3], 3));
    let error = call(&removed, both.local_addr(), b"a").unwrap_err();
    assert!(!error.maybe_delivered);
    eventually("the rejection", || {
        both.stats().refused.get("unknown_key") == Some(&1)
    });
}

#[test]
fn replayed_session_is_rejected() {
    // Guards against an attacker who replays the bytes of an earlier connection.
    let (handler, _control) = recording_handler();
    let server = server(handler.clone(), keyring(&[1], 1), ServerLimits::default());
    let proxy = Proxy::start(server.local_addr());
    call(&client(|_| {}), proxy.address, b"reserve").unwrap();
    let mut stream = TcpStream::connect(server.local_addr()).unwrap();
    stream.write_all(&proxy.recorded()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply);
    assert_eq!(reply.len(), HELLO_LEN, "the server sends no Ready frame");
    eventually("the rejection", || {
        server.stats().refused.get("tag") == Some(&1)
    });
    assert_eq!(handler.calls.load(Ordering::SeqCst), 1);
}

#[test]
fn unauthenticated_connections_do_not_lock_out_peers() {
    // Guards against unauthenticated clients that occupy all connections with incomplete hellos.
    let (handler, _control) = recording_handler();
    let limits = ServerLimits {
        ip_limit: 3,
        handshake_timeout: SHORT,
        ..ServerLimits::default()
    };
    let server = server(handler, keyring(&[1], 1), limits);
    let attackers: Vec<TcpStream> = (0..10)
        .map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            let source: SocketAddr = "127.0.0.2:0".parse().unwrap();
            socket.bind(&source.into()).unwrap();
            socket.connect(&server.local_addr().into()).unwrap();
            let mut stream = TcpStream::from(socket);
            // The server may have closed the connection already.
            let _ = stream.write_all(b"CmpD");
            stream
        })
        .collect();
    let own = client(|_| {});
    assert_eq!(call(&own, server.local_addr(), b"a").unwrap(), b"a");
    for mut attacker in attackers {
        attacker.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let end = attacker.read(&mut [0]);
        let timed_out =
            matches!(&end, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!timed_out, "the unauthenticated client is still connected");
    }
    eventually("the rejections", || {
        server.stats().refused.get("unfinished_per_ip") >= Some(&7)
    });
    eventually("the handshake timeout", || {
        server.stats().refused.contains_key("handshake_time")
    });
}

#[test]
fn full_server_rejects_before_delivery() {
    // Guards against a call to a full server that is reported as possibly delivered.
    let (handler, control) = recording_handler();
    let limits = ServerLimits {
        max_connections: 1,
        ..ServerLimits::default()
    };
    let server = server(handler, keyring(&[1], 1), limits);
    let (first, second) = (client(|_| {}), client(|_| {}));
    call(&first, server.local_addr(), b"a").unwrap();
    let error = call(&second, server.local_addr(), b"a").unwrap_err();
    assert_eq!(
        (error.operation, error.maybe_delivered),
        (Operation::Handshake, false)
    );
    drop(control);
}

#[test]
fn connections_per_peer_are_limited() {
    let (handler, control) = recording_handler();
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
        control.gate.send(()).unwrap();
        assert_eq!(first.join().unwrap().unwrap(), b"wait");
    });
    assert_eq!(call(&client, server.local_addr(), b"b").unwrap(), b"b");
    assert_eq!(client.stats().connects, 1);
}

#[test]
fn unresponsive_connection_times_out_and_is_replaced() {
    // Guards against a connection that is reused although it no longer carries data.
    let (handler, _control) = recording_handler();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let proxy = Proxy::start(server.local_addr());
    let client = client(|_| {});
    call(&client, proxy.address, b"a").unwrap();
    proxy.set_blocked(true);
    let started = Instant::now();
    let error = client.call(proxy.address, None, b"b", SHORT).unwrap_err();
    assert!(matches!(
        error.kind,
        CallErrorKind::Connection(ConnectionError::Timeout)
    ));
    assert!(error.maybe_delivered);
    assert!(started.elapsed() < TEST_TIMEOUT / 2);
    proxy.set_blocked(false);
    assert_eq!(call(&client, proxy.address, b"c").unwrap(), b"c");
    assert_eq!(proxy.accepted.load(Ordering::SeqCst), 2);
}

#[test]
fn connection_closed_by_the_server_is_not_reused() {
    // Guards against calls that fail because the server closed a pooled connection.
    let (handler, _control) = recording_handler();
    let limits = ServerLimits {
        idle_timeout: Duration::from_millis(50),
        ..ServerLimits::default()
    };
    let server = server(handler, keyring(&[1], 1), limits);
    let client = client(|_| {});
    call(&client, server.local_addr(), b"a").unwrap();
    eventually("the idle timeout", || server.stats().connections == 0);
    assert_eq!(call(&client, server.local_addr(), b"b").unwrap(), b"b");
    assert_eq!(client.stats().connects, 2);
}

#[test]
fn handler_panic_closes_only_its_connection() {
    let (handler, _control) = recording_handler();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let client = client(|_| {});
    let error = call(&client, server.local_addr(), b"panic").unwrap_err();
    assert_eq!(
        (error.operation, error.maybe_delivered),
        (Operation::Read, true)
    );
    assert_eq!(call(&client, server.local_addr(), b"a").unwrap(), b"a");
    assert_eq!(server.stats().panics, 1);
}

#[test]
fn long_frames_are_rejected_on_both_sides() {
    let (handler, _control) = recording_handler();
    let limits = ServerLimits {
        max_payload: 1_000,
        ..ServerLimits::default()
    };
    let server = server(handler.clone(), keyring(&[1], 1), limits);
    let bounded = client(|config| config.max_payload = 1_000);
    let error = call(&bounded, server.local_addr(), &[0; 1_001]).unwrap_err();
    assert_eq!(
        (error.operation, error.maybe_delivered),
        (Operation::Write, false)
    );
    let unbounded = client(|_| {});
    let error = call(&unbounded, server.local_addr(), &[0; 100_000]).unwrap_err();
    assert!(error.maybe_delivered);
    eventually("the rejection", || {
        server.stats().refused.get("length") == Some(&1)
    });
    assert_eq!(handler.calls.load(Ordering::SeqCst), 0);
}

#[test]
fn shutdown_closes_connections_and_the_listener() {
    let (handler, _control) = recording_handler();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let address = server.local_addr();
    let client = client(|_| {});
    call(&client, address, b"a").unwrap();
    server.shutdown();
    assert_eq!(server.stats().connections, 0);
    let error = call(&client, address, b"b").unwrap_err();
    assert_eq!(
        (error.operation, error.maybe_delivered),
        (Operation::Connect, false)
    );
}

#[test]
fn connections_use_the_configured_source_address() {
    let listener = TcpListener::bind(loopback(0)).unwrap();
    let address = listener.local_addr().unwrap();
    let source = "127.0.0.3".parse().unwrap();
    let client = client(|config| config.bind_ip = Some(source));
    client.cast(address, b"a".to_vec());
    assert_eq!(listener.accept().unwrap().1.ip(), source);
}

#[test]
fn long_reply_arrives_on_a_slow_link() {
    // Guards against a reply that takes longer to arrive than any time limit, and is given up and
    // asked for again from its first byte for ever.
    let (handler, _control) = recording_handler();
    let limits = ServerLimits {
        idle_timeout: Duration::from_millis(400),
        write_timeout: Duration::from_millis(400),
        ..ServerLimits::default()
    };
    let server = server(handler.clone(), keyring(&[1], 1), limits);
    let proxy = Proxy::start(server.local_addr());
    proxy.set_rate(250_000);
    // The reply takes 2 s on the link.
    let limit = Duration::from_millis(400);
    let reply = client(|_| {}).transfer(proxy.address, Some(SERVER_VM), b"long", limit);
    assert_eq!(reply.map(|reply| reply.len()).ok(), Some(LONG_REPLY));
    assert_eq!(handler.calls.load(Ordering::SeqCst), 1);
}

#[test]
fn silent_transfer_is_given_up() {
    // Guards against a transfer that waits for good once the link stops inside the reply.
    let (handler, control) = recording_handler();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let started = Instant::now();
    let error = client(|_| {})
        .transfer(server.local_addr(), Some(SERVER_VM), b"wait", SHORT)
        .unwrap_err();
    assert!(error.maybe_delivered);
    assert!(started.elapsed() < TEST_TIMEOUT / 2);
    control.gate.send(()).unwrap();
}
