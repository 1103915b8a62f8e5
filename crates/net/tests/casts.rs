//! Casts and datagrams.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

mod common;

use std::{
    net::UdpSocket,
    sync::atomic::Ordering,
    time::{
        Duration,
        Instant, //
    }, //
};

use camphordale_net::{
    DatagramSocket,
    SendError,
    ServerLimits, //
};
use camphordale_wire::Datagram;
use common::{
    CLIENT_VM,
    LONG,
    Relay,
    client,
    eventually,
    keyring,
    loopback,
    reporter,
    server, //
};

#[test]
fn casts_arrive_in_order() {
    let (handler, reports) = reporter();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let client = client(|config| config.cast_queue = 10_000);
    for number in 0..1_000_u32 {
        client.cast(server.local_addr(), number.to_be_bytes().to_vec());
    }
    for number in 0..1_000_u32 {
        let expected = (CLIENT_VM, number.to_be_bytes().to_vec());
        assert_eq!(reports.messages.recv_timeout(LONG), Ok(expected));
    }
}

#[test]
fn a_full_queue_drops_the_oldest() {
    // Guards against a queue that grows while a peer does not answer, or that keeps stale
    // messages instead of new ones.
    let (handler, reports) = reporter();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let relay = Relay::start(server.local_addr());
    relay.set_silent(true);
    let client = client(|config| {
        config.cast_queue = 10;
        config.connect_timeout = Duration::from_secs(2);
    });
    client.cast(relay.address, vec![0]);
    // The writer holds the first message while its handshake is unanswered.
    eventually("the connection", || {
        relay.accepted.load(Ordering::SeqCst) == 1
    });
    let started = Instant::now();
    for number in 1..=100 {
        client.cast(relay.address, vec![number]);
    }
    assert!(started.elapsed() < Duration::from_secs(1), "cast waits");
    assert_eq!(client.stats().casts_dropped, 90);
    relay.set_silent(false);
    let first = reports.messages.recv_timeout(LONG).unwrap();
    assert_eq!(first, (CLIENT_VM, vec![91]));
    for number in 92..=100 {
        let next = reports.messages.recv_timeout(LONG).unwrap();
        assert_eq!(next, (CLIENT_VM, vec![number]));
    }
}

#[test]
fn a_silent_connection_is_replaced_while_casts_flow() {
    // Guards against messages that go into a connection which is dead but not closed.
    let (handler, reports) = reporter();
    // The server must not end the connection itself while the test waits.
    let limits = ServerLimits {
        idle_timeout: 10 * LONG,
        ..ServerLimits::default()
    };
    let server = server(handler, keyring(&[1], 1), limits);
    let relay = Relay::start(server.local_addr());
    let client = client(|config| config.ack_timeout = Duration::from_millis(300));
    client.cast(relay.address, b"first".to_vec());
    assert!(reports.messages.recv_timeout(LONG).is_ok());
    relay.set_silent(true);
    client.cast(relay.address, b"lost".to_vec());
    // The relay has to read it while it is silent, so that the connection stays silent.
    eventually("the replacement", || {
        client.cast(relay.address, b"lost".to_vec());
        relay.accepted.load(Ordering::SeqCst) >= 2
    });
    relay.set_silent(false);
    let deadline = Instant::now() + LONG;
    loop {
        assert!(Instant::now() < deadline, "casts do not arrive again");
        client.cast(relay.address, b"again".to_vec());
        let received = reports.messages.recv_timeout(Duration::from_millis(20));
        if received.is_ok_and(|(_, message)| message == b"again") {
            return;
        }
    }
}

#[test]
fn a_live_connection_is_kept_while_casts_flow() {
    // Guards against confirmations that are missing under constant traffic.
    let (handler, reports) = reporter();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let client = client(|config| config.ack_timeout = Duration::from_secs(1));
    let end = Instant::now() + Duration::from_millis(2_500);
    let mut sent = 0;
    while Instant::now() < end {
        client.cast(server.local_addr(), vec![1]);
        sent += 1;
        assert!(reports.messages.recv_timeout(LONG).is_ok());
    }
    assert!(sent > 1);
    assert_eq!(client.stats().connects, 1);
}

#[test]
fn repeated_and_old_datagrams_are_refused() {
    // Guards against renewals that are recorded and sent again, also after a restart.
    let (handler, reports) = reporter();
    let ring = keyring(&[1], 1);
    let receiver = DatagramSocket::start(loopback(0), 1, 1, ring.clone(), handler).unwrap();
    let socket = UdpSocket::bind(loopback(0)).unwrap();
    let send = |incarnation, counter, payload: &[u8]| {
        let datagram = Datagram {
            vm: CLIENT_VM,
            incarnation,
            counter,
            payload: payload.to_vec(),
        };
        let bytes = datagram.encode(&ring).unwrap();
        socket.send_to(&bytes, receiver.local_addr()).unwrap();
    };
    send(5, 1, b"one");
    send(5, 1, b"one");
    send(6, 1, b"two");
    send(5, 2, b"old");
    socket.send_to(&[0; 2_000], receiver.local_addr()).unwrap();
    socket.send_to(b"noise", receiver.local_addr()).unwrap();
    send(6, 2, b"three");
    for expected in [&b"one"[..], b"two", b"three"] {
        let received = reports.messages.recv_timeout(LONG).unwrap();
        assert_eq!(received, (CLIENT_VM, expected.to_vec()));
    }
    let refused = receiver.stats().refused;
    let expected = [("incarnation", 1), ("length", 2), ("seen", 1)];
    assert_eq!(refused.into_iter().collect::<Vec<_>>(), expected);
}

#[test]
fn long_datagrams_are_not_sent() {
    let (handler, _reports) = reporter();
    let sender = DatagramSocket::start(loopback(0), 1, 1, keyring(&[1], 1), handler).unwrap();
    let error = sender.send(sender.local_addr(), &[0; 1_201]).unwrap_err();
    assert!(matches!(error, SendError::Datagram { .. }));
    assert!(sender.send(sender.local_addr(), &[0; 1_200]).is_ok());
}
