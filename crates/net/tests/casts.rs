//! Casts and datagrams.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

mod common;

use std::{
    net::UdpSocket,
    sync::atomic::Ordering,
    thread,
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
    Proxy,
    TEST_TIMEOUT,
    client,
    eventually,
    keyring,
    loopback,
    recording_handler,
    server, //
};

#[test]
fn casts_arrive_in_order() {
    let (handler, control) = recording_handler();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let client = client(|config| config.cast_queue = 10_000);
    for number in 0..1_000_u32 {
        client.cast(server.local_addr(), number.to_be_bytes().to_vec());
    }
    for number in 0..1_000_u32 {
        let expected = (CLIENT_VM, number.to_be_bytes().to_vec());
        assert_eq!(control.messages.recv_timeout(TEST_TIMEOUT), Ok(expected));
    }
}

#[test]
fn full_queue_drops_the_oldest() {
    // Guards against a queue that grows without bound while a peer does not respond, or that keeps
    // stale messages instead of new ones.
    let (handler, control) = recording_handler();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let proxy = Proxy::start(server.local_addr());
    proxy.set_blocked(true);
    let client = client(|config| {
        config.cast_queue = 10;
        config.connect_timeout = Duration::from_secs(2);
    });
    client.cast(proxy.address, vec![0]);
    // The writer has taken the first message and waits for the handshake.
    eventually("the connection", || {
        proxy.accepted.load(Ordering::SeqCst) == 1
    });
    let started = Instant::now();
    for number in 1..=100 {
        client.cast(proxy.address, vec![number]);
    }
    assert!(started.elapsed() < Duration::from_secs(1), "cast blocks");
    assert_eq!(client.stats().casts_dropped, 90);
    proxy.set_blocked(false);
    let first = control.messages.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(first, (CLIENT_VM, vec![91]));
    for number in 92..=100 {
        let next = control.messages.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(next, (CLIENT_VM, vec![number]));
    }
}

#[test]
fn unresponsive_connection_is_replaced_while_casts_are_sent() {
    // Guards against messages that are lost on a connection that is open but no longer carries
    // data.
    let (handler, control) = recording_handler();
    // The server must not close the connection itself while the test waits.
    let limits = ServerLimits {
        idle_timeout: 10 * TEST_TIMEOUT,
        ..ServerLimits::default()
    };
    let server = server(handler, keyring(&[1], 1), limits);
    let proxy = Proxy::start(server.local_addr());
    let client = client(|config| config.ack_timeout = Duration::from_millis(300));
    client.cast(proxy.address, b"first".to_vec());
    assert!(control.messages.recv_timeout(TEST_TIMEOUT).is_ok());
    proxy.set_blocked(true);
    client.cast(proxy.address, b"lost".to_vec());
    // The proxy must read data while it is blocked, so that the connection stays blocked.
    eventually("the replacement", || {
        client.cast(proxy.address, b"lost".to_vec());
        proxy.accepted.load(Ordering::SeqCst) >= 2
    });
    proxy.set_blocked(false);
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        assert!(
            Instant::now() < deadline,
            "casts do not arrive after the replacement"
        );
        client.cast(proxy.address, b"again".to_vec());
        let received = control.messages.recv_timeout(Duration::from_millis(20));
        if received.is_ok_and(|(_, message)| message == b"again") {
            return;
        }
    }
}

#[test]
fn responsive_connection_is_kept_while_casts_are_sent() {
    // Guards against missing acknowledgements under constant traffic.
    let (handler, control) = recording_handler();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let client = client(|config| config.ack_timeout = Duration::from_secs(1));
    let end = Instant::now() + Duration::from_millis(2_500);
    let mut sent = 0;
    while Instant::now() < end {
        client.cast(server.local_addr(), vec![1]);
        sent += 1;
        assert!(control.messages.recv_timeout(TEST_TIMEOUT).is_ok());
    }
    assert!(sent > 1);
    assert_eq!(client.stats().connects, 1);
}

#[test]
fn long_cast_arrives_on_a_slow_link() {
    // Guards against a cast that takes longer to arrive than any time limit, and is given up and
    // sent again from its first byte for ever.
    let (handler, control) = recording_handler();
    let limits = ServerLimits {
        idle_timeout: Duration::from_millis(400),
        ..ServerLimits::default()
    };
    let server = server(handler, keyring(&[1], 1), limits);
    let proxy = Proxy::start(server.local_addr());
    proxy.set_rate(250_000);
    let client = client(|config| {
        config.ack_timeout = Duration::from_millis(400);
        config.write_timeout = Duration::from_millis(400);
    });
    // 2 s on the link.
    let message = vec![7; 500_000];
    client.cast(proxy.address, message.clone());
    let received = control.messages.recv_timeout(Duration::from_secs(10));
    assert!(
        received == Ok((CLIENT_VM, message)),
        "the cast was lost; {} connections",
        client.stats().connects
    );
    assert_eq!(client.stats().connects, 1);
}

#[test]
fn long_cast_is_given_up_when_it_stops() {
    // Guards against a connection that is kept for good once the link stops inside a cast.
    let (handler, _control) = recording_handler();
    let server = server(handler, keyring(&[1], 1), ServerLimits::default());
    let proxy = Proxy::start(server.local_addr());
    proxy.set_rate(250_000);
    let client = client(|config| config.ack_timeout = Duration::from_millis(400));
    client.cast(proxy.address, vec![7; 500_000]);
    eventually("a part of the cast", || proxy.recorded().len() > 100_000);
    proxy.set_blocked(true);
    eventually("the replacement", || {
        client.cast(proxy.address, b"next".to_vec());
        thread::sleep(Duration::from_millis(10));
        proxy.accepted.load(Ordering::SeqCst) >= 2
    });
}

#[test]
fn replayed_and_old_datagrams_are_rejected() {
    // Guards against recorded lease renewals that are replayed, also after a restart of the sender.
    let (handler, control) = recording_handler();
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
        let received = control.messages.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(received, (CLIENT_VM, expected.to_vec()));
    }
    let refused = receiver.stats().refused;
    let expected = [("incarnation", 1), ("length", 2), ("seen", 1)];
    assert_eq!(refused.into_iter().collect::<Vec<_>>(), expected);
}

#[test]
fn long_datagrams_are_rejected_by_the_sender() {
    let (handler, _control) = recording_handler();
    let sender = DatagramSocket::start(loopback(0), 1, 1, keyring(&[1], 1), handler).unwrap();
    let error = sender.send(sender.local_addr(), &[0; 1_201]).unwrap_err();
    assert!(matches!(error, SendError::Datagram { .. }));
    assert!(sender.send(sender.local_addr(), &[0; 1_200]).is_ok());
}
