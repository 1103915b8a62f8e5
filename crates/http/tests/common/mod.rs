//! Raw connections, and a server that sends prepared bytes.

#![allow(dead_code, reason = "each test file uses a part of this module")]
#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use camphordale_http::{
    Handler,
    Limits,
    Server, //
};
use socket2::{
    Domain,
    Socket,
    Type, //
};

/// Longer than anything takes, so that a test fails instead of hanging.
pub(crate) const LONG: Duration = Duration::from_secs(20);

pub(crate) const SHORT: Duration = Duration::from_millis(200);

pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

pub(crate) fn limits() -> Limits {
    Limits {
        ip_fraction: 1.0,
        ..Limits::default()
    }
}

pub(crate) fn server(limits: Limits, handler: impl Handler + 'static) -> Server {
    Server::start(loopback(), limits, Arc::new(handler)).unwrap()
}

pub(crate) fn connect(to: SocketAddr) -> TcpStream {
    connect_from(to, Ipv4Addr::LOCALHOST)
}

pub(crate) fn connect_from(to: SocketAddr, source: Ipv4Addr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from((source, 0)).into()).unwrap();
    socket.connect(&to.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// Reads until the server closes the connection.
pub(crate) fn rest(mut stream: &TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset after the response is a close as well.
    if let Err(error) = stream.read_to_end(&mut bytes) {
        let timed_out = error.kind() == std::io::ErrorKind::WouldBlock;
        assert!(!timed_out, "the connection was not closed");
    }
    String::from_utf8(bytes).unwrap()
}

/// Sends bytes on a new connection and reads until the server closes it.
pub(crate) fn ask(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(to);
    stream.write_all(bytes).unwrap();
    rest(&stream)
}

/// Sends one byte every 20 ms until the server answers or closes, then reads until it closes.
pub(crate) fn drip(mut stream: TcpStream, byte: u8) -> String {
    stream
        .set_read_timeout(Some(Duration::from_millis(20)))
        .unwrap();
    let mut first = [0];
    let deadline = Instant::now() + LONG;
    loop {
        assert!(Instant::now() < deadline, "the slow sender is not cut");
        match stream.read(&mut first) {
            Ok(count) => {
                stream.set_read_timeout(Some(LONG)).unwrap();
                let start = String::from_utf8(first[..count].to_vec()).unwrap();
                return start + &rest(&stream);
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                let _ = stream.write_all(&[byte]);
            }
            Err(_) => return String::new(),
        }
    }
}

/// Waits for a state that nothing announces.
pub(crate) fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < deadline, "{what} did not happen");
        thread::yield_now();
    }
}

/// What a prepared server does after a request.
#[derive(Clone)]
pub(crate) enum Answer {
    /// Sends bytes and awaits the next request.
    Keep(&'static [u8]),
    /// Sends bytes and closes the connection.
    Close(&'static [u8]),
    /// Sends bytes, then nothing more until the client closes.
    Silent(&'static [u8]),
}

pub(crate) const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Serves one connection for each list of answers, one answer for each request.
pub(crate) fn prepared(connections: Vec<Vec<Answer>>) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for answers in connections {
            let (stream, _) = listener.accept().unwrap();
            thread::spawn(move || answer(stream, answers));
        }
    });
    address
}

fn answer(mut stream: TcpStream, answers: Vec<Answer>) {
    let mut buffer = [0; 4096];
    for answer in answers {
        // A request without a body ends in an empty line, and is sent with one write.
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(count @ 1..) => request.extend_from_slice(&buffer[..count]),
                _ => return,
            }
        }
        let (Answer::Keep(bytes) | Answer::Close(bytes) | Answer::Silent(bytes)) = answer;
        stream.write_all(bytes).unwrap();
        match answer {
            Answer::Keep(_) => {}
            Answer::Close(_) => return,
            Answer::Silent(_) => {
                while let Ok(1..) = stream.read(&mut buffer) {}
                return;
            }
        }
    }
    // A close at this point would look like the answer to the next request.
    while let Ok(1..) = stream.read(&mut buffer) {}
}
