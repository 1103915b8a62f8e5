//! The relay between failure domains.
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
    answer_link, //
};
use rouille::Request;
use rstest::rstest;

/// Time without a byte that counts as silence.
const SILENCE: Duration = Duration::from_millis(150);

/// A relay from domain `a` (all of loopback) to an echo server in domain `b`.
fn relay() -> Link {
    relay_to("b").0
}

/// The same to a server in `domain`, and the number of connections that it accepted.
fn relay_to(domain: &str) -> (Link, Arc<AtomicUsize>) {
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

fn command(link: &Link, method: &str, path: &str) -> u16 {
    let request = Request::fake_http(method, path, vec![], vec![]);
    answer_link(link, &request).status_code
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(SILENCE)).unwrap();
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
    stream.set_read_timeout(Some(SILENCE)).unwrap();
    byte[0]
}

/// Guards against a cut that closes or refuses connections, loses bytes, or misses a direction.
#[rstest]
#[case("/cut?domain=a")]
#[case("/cut?domain=b")]
#[case("/cut?domain=b&way=in")]
#[case("/cut?domain=b&way=out")]
#[case("/cut?domain=a&peer=b")]
fn cuts_are_silent(#[case] cut: &str) {
    let (link, accepted) = relay_to("b");
    let mut old = connect(link.addresses()[0]);
    old.write_all(b"1").unwrap();
    assert_eq!(receive(&mut old), b'1');

    assert_eq!(command(&link, "POST", cut), 200);
    old.write_all(b"2").unwrap();
    let mut new = connect(link.addresses()[0]);
    new.write_all(b"3").unwrap();
    assert!(is_silent(&mut old) && is_silent(&mut new));
    assert_eq!(
        accepted.load(Ordering::SeqCst),
        1,
        "no handshake during a cut"
    );

    assert_eq!(command(&link, "POST", "/heal"), 200);
    assert_eq!((receive(&mut old), receive(&mut new)), (b'2', b'3'));
}

/// Guards against a cut that hits domains it does not name.
#[rstest]
#[case("/cut?domain=c")]
#[case("/cut?domain=a&peer=c")]
fn other_domains_pass(#[case] cut: &str) {
    let link = relay();
    assert_eq!(command(&link, "POST", cut), 200);
    let mut stream = connect(link.addresses()[0]);
    stream.write_all(b"1").unwrap();
    assert_eq!(receive(&mut stream), b'1');
}

/// Guards against a cut that separates a domain from itself.
#[test]
fn a_domain_reaches_itself() {
    let (link, _) = relay_to("a");
    command(&link, "POST", "/cut?domain=a");
    let mut stream = connect(link.addresses()[0]);
    stream.write_all(b"1").unwrap();
    assert_eq!(receive(&mut stream), b'1');
}

/// Guards against one healed domain healing another.
#[test]
fn heals_one_domain() {
    let link = relay();
    command(&link, "POST", "/cut?domain=a");
    command(&link, "POST", "/cut?domain=c");
    command(&link, "POST", "/heal?domain=c");
    let mut stream = connect(link.addresses()[0]);
    stream.write_all(b"1").unwrap();
    assert!(is_silent(&mut stream));
}

/// Guards against a reset that leaves connections open, also those held back by a cut, and
/// against connections that stay counted after they ended.
#[test]
fn reset_closes_connections() {
    let link = relay();
    let mut old = connect(link.addresses()[0]);
    old.write_all(b"1").unwrap();
    assert_eq!(receive(&mut old), b'1');
    command(&link, "POST", "/cut?domain=b");
    let mut new = connect(link.addresses()[0]);
    new.write_all(b"2").unwrap();
    assert!(is_silent(&mut new));
    assert_eq!(link.cuts.connections(), 2);
    assert_eq!(command(&link, "POST", "/reset?domain=c"), 200);
    assert!(is_silent(&mut old));
    assert_eq!(command(&link, "POST", "/reset?domain=b"), 200);
    for stream in [&mut old, &mut new] {
        let ended = stream.read(&mut [0]);
        assert!(matches!(&ended, Ok(0)) || !is_silent(stream), "{ended:?}");
    }
    let end = Instant::now() + Duration::from_secs(20);
    while link.cuts.connections() > 0 {
        assert!(Instant::now() < end, "connections stay counted");
        thread::yield_now();
    }
}

/// Guards against callers that give up during a cut using up the relay.
#[test]
fn forgets_callers_that_gave_up() {
    let link = relay();
    command(&link, "POST", "/cut?domain=b");
    for _ in 0..5 {
        connect(link.addresses()[0]).write_all(b"1").unwrap();
    }
    let end = Instant::now() + Duration::from_secs(20);
    while link.cuts.connections() > 0 {
        assert!(Instant::now() < end, "connections stay counted");
        thread::yield_now();
    }
}

/// Guards against a mistyped command that a test believes to be carried out.
#[rstest]
#[case("POST", "/cut")]
#[case("POST", "/cut?domain=a&way=up")]
#[case("GET", "/heal")]
fn unknown_commands_are_refused(#[case] method: &str, #[case] path: &str) {
    assert_eq!(command(&relay(), method, path), 400);
}
