//! Tests of the relay between failure domains.
#![allow(clippy::unwrap_used)]

use std::{
    io::{
        self,
        ErrorKind,
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
            AtomicUsize,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_standin::{
    Link,
    LinkFile,
    handle_link_command, //
};
use rouille::Request;
use rstest::rstest;

/// Time without received data after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Starts a relay from domain `a` (all of loopback) to an echo server in domain `b`.
fn start_link() -> Link {
    start_link_to("b").0
}

/// Starts a relay to an echo server in `domain`; also returns the number of connections that the
/// server has accepted.
fn start_link_to(domain: &str) -> (Link, Arc<AtomicUsize>) {
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            count.fetch_add(1, Ordering::SeqCst);
            let mut from = stream.unwrap();
            let mut to = from.try_clone().unwrap();
            thread::spawn(move || io::copy(&mut from, &mut to));
        }
    });
    let text = format!(
        "{{domains: [{{name: a, prefix: 127.0.0.0/8}}],
          links: [{{listen: '127.0.0.1:0', to: '{address}', domain: {domain}}}]}}"
    );
    let file: LinkFile = serde_norway::from_str(&text).unwrap();
    (Link::start(file).unwrap(), accepted)
}

fn send_command(link: &Link, method: &str, path: &str) -> u16 {
    let request = Request::fake_http(method, path, vec![], vec![]);
    handle_link_command(link, &request).status_code
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(SILENCE_TIMEOUT)).unwrap();
    stream
}

fn is_silent(stream: &mut TcpStream) -> bool {
    let read = stream.read(&mut [0]);
    matches!(read, Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

fn receive(stream: &mut TcpStream) -> u8 {
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut byte = [0];
    stream.read_exact(&mut byte).unwrap();
    stream.set_read_timeout(Some(SILENCE_TIMEOUT)).unwrap();
    byte[0]
}

/// Guards against a partition that closes or refuses connections, loses data, or does not block a
/// direction.
#[rstest]
#[case("/cut?domain=a")]
#[case("/cut?domain=b")]
#[case("/cut?domain=b&way=in")]
#[case("/cut?domain=b&way=out")]
#[case("/cut?domain=a&peer=b")]
fn partitions_block_without_closing(#[case] cut: &str) {
    let (link, accepted) = start_link_to("b");
    let mut old = connect(link.addresses()[0]);
    old.write_all(b"1").unwrap();
    assert_eq!(receive(&mut old), b'1');

    assert_eq!(send_command(&link, "POST", cut), 200);
    old.write_all(b"2").unwrap();
    let mut new = connect(link.addresses()[0]);
    new.write_all(b"3").unwrap();
    assert!(is_silent(&mut old) && is_silent(&mut new));
    assert_eq!(
        accepted.load(Ordering::SeqCst),
        1,
        "connection accepted during a partition"
    );

    assert_eq!(send_command(&link, "POST", "/heal"), 200);
    assert_eq!((receive(&mut old), receive(&mut new)), (b'2', b'3'));
}

/// Guards against a partition that affects domains it does not name.
#[rstest]
#[case("/cut?domain=c")]
#[case("/cut?domain=a&peer=c")]
fn partitions_do_not_affect_other_domains(#[case] cut: &str) {
    let link = start_link();
    assert_eq!(send_command(&link, "POST", cut), 200);
    let mut stream = connect(link.addresses()[0]);
    stream.write_all(b"1").unwrap();
    assert_eq!(receive(&mut stream), b'1');
}

/// Guards against a partition that blocks traffic within a domain.
#[test]
fn partitions_do_not_affect_traffic_within_a_domain() {
    let (link, _) = start_link_to("a");
    send_command(&link, "POST", "/cut?domain=a");
    let mut stream = connect(link.addresses()[0]);
    stream.write_all(b"1").unwrap();
    assert_eq!(receive(&mut stream), b'1');
}

/// Guards against healing one domain also healing another.
#[test]
fn heals_one_domain() {
    let link = start_link();
    send_command(&link, "POST", "/cut?domain=a");
    send_command(&link, "POST", "/cut?domain=c");
    send_command(&link, "POST", "/heal?domain=c");
    let mut stream = connect(link.addresses()[0]);
    stream.write_all(b"1").unwrap();
    assert!(is_silent(&mut stream));
}

/// Guards against a reset that leaves connections open, including those blocked by a partition, and
/// against counting connections after they were closed.
#[test]
fn reset_closes_connections() {
    let link = start_link();
    let mut old = connect(link.addresses()[0]);
    old.write_all(b"1").unwrap();
    assert_eq!(receive(&mut old), b'1');
    send_command(&link, "POST", "/cut?domain=b");
    let mut new = connect(link.addresses()[0]);
    new.write_all(b"2").unwrap();
    assert!(is_silent(&mut new));
    assert_eq!(link.partitions.connection_count(), 2);
    assert_eq!(send_command(&link, "POST", "/reset?domain=c"), 200);
    assert!(is_silent(&mut old));
    assert_eq!(send_command(&link, "POST", "/reset?domain=b"), 200);
    for stream in [&mut old, &mut new] {
        let ended = stream.read(&mut [0]);
        assert!(matches!(&ended, Ok(0)) || !is_silent(stream), "{ended:?}");
    }
    let deadline = Instant::now() + Duration::from_secs(20);
    while link.partitions.connection_count() > 0 {
        assert!(
            Instant::now() < deadline,
            "closed connections are still counted"
        );
        thread::yield_now();
    }
}

/// Guards against clients that give up during a partition exhausting the connections of the relay.
#[test]
fn removes_closed_connections_during_a_partition() {
    let link = start_link();
    send_command(&link, "POST", "/cut?domain=b");
    for _ in 0..5 {
        connect(link.addresses()[0]).write_all(b"1").unwrap();
    }
    let deadline = Instant::now() + Duration::from_secs(20);
    while link.partitions.connection_count() > 0 {
        assert!(
            Instant::now() < deadline,
            "closed connections are still counted"
        );
        thread::yield_now();
    }
}

/// Guards against a mistyped command that has no effect without an error.
#[rstest]
#[case("POST", "/cut")]
#[case("POST", "/cut?domain=a&way=up")]
#[case("GET", "/heal")]
fn unknown_commands_are_refused(#[case] method: &str, #[case] path: &str) {
    assert_eq!(send_command(&start_link(), method, path), 400);
}
