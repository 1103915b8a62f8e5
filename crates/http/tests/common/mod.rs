//! Test helpers: raw connections, and a server that sends scripted responses.

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

/// Upper bound of every wait, so that a test fails instead of hanging.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// For timeouts and waits that a test lets expire.
pub(crate) const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

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
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Reads until the server closes the connection.
pub(crate) fn read_to_close(mut stream: &TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset after the response counts as a close.
    if let Err(error) = stream.read_to_end(&mut bytes) {
        let timed_out = error.kind() == std::io::ErrorKind::WouldBlock;
        assert!(!timed_out, "the server did not close the connection");
    }
    String::from_utf8(bytes).unwrap()
}

/// Sends bytes on a new connection and reads until the server closes it.
pub(crate) fn send_and_read(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(to);
    stream.write_all(bytes).unwrap();
    read_to_close(&stream)
}

/// Sends one byte every 20 ms until the server responds or closes, then reads until it closes.
pub(crate) fn send_slowly(mut stream: TcpStream, byte: u8) -> String {
    stream
        .set_read_timeout(Some(Duration::from_millis(20)))
        .unwrap();
    let mut first = [0];
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        assert!(
            Instant::now() < deadline,
            "the server did not close the connection of a slow sender"
        );
        match stream.read(&mut first) {
            Ok(count) => {
                stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                let start = String::from_utf8(first[..count].to_vec()).unwrap();
                return start + &read_to_close(&stream);
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                let _ = stream.write_all(&[byte]);
            }
            Err(_) => return String::new(),
        }
    }
}

/// Polls until a condition holds.
pub(crate) fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !is_met() {
        assert!(
            Instant::now() < deadline,
            "condition not met in time: {condition}"
        );
        thread::yield_now();
    }
}

/// What the scripted server does after a request.
#[derive(Clone)]
pub(crate) enum ScriptedResponse {
    /// Sends bytes and awaits the next request.
    Keep(&'static [u8]),
    /// Sends bytes and closes the connection.
    Close(&'static [u8]),
    /// Sends bytes, then nothing more until the client closes.
    Stall(&'static [u8]),
}

/// Complete response with the body `ok`.
pub(crate) const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Starts a server that accepts one connection for each script and sends one scripted response
/// for each request.
pub(crate) fn scripted_server(scripts: Vec<Vec<ScriptedResponse>>) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for script in scripts {
            let (stream, _) = listener.accept().unwrap();
            thread::spawn(move || serve_script(stream, script));
        }
    });
    address
}

fn serve_script(mut stream: TcpStream, script: Vec<ScriptedResponse>) {
    let mut buffer = [0; 4096];
    for response in script {
        // The requests have no body, so they end with an empty line.
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(count @ 1..) => request.extend_from_slice(&buffer[..count]),
                _ => return,
            }
        }
        let (ScriptedResponse::Keep(bytes)
        | ScriptedResponse::Close(bytes)
        | ScriptedResponse::Stall(bytes)) = response;
        stream.write_all(bytes).unwrap();
        match response {
            ScriptedResponse::Keep(_) => {}
            ScriptedResponse::Close(_) => return,
            ScriptedResponse::Stall(_) => {
                while let Ok(1..) = stream.read(&mut buffer) {}
                return;
            }
        }
    }
    // Keep the connection open: a close here would look like the response to the next request.
    while let Ok(1..) = stream.read(&mut buffer) {}
}
