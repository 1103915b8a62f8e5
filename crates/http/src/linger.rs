//! Lingering close of connections whose caller may still be sending.
//!
//! If a socket is closed while unread bytes arrive, the kernel sends a reset, which can discard
//! the response before the caller has read it. So the write side is shut down first, and input is
//! read and discarded for a short time.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        TcpStream, //
    },
    sync::mpsc::{
        Receiver,
        RecvTimeoutError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

/// Time for which input is discarded before the connection is closed.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// As [`LINGER_TIME`], for refused connections.
const REFUSED_LINGER_TIME: Duration = Duration::from_millis(200);

/// Interval at which input of refused connections is discarded.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of refused connections that linger at a time; beyond this the oldest is closed.
const MAX_REFUSED_LINGERING: usize = 64;

const REFUSED_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\
    Content-Type: text/plain\r\nContent-Length: 21\r\n\r\ntoo many connections\n";

/// Closes a connection whose last response was written.
pub(crate) fn close(mut stream: &TcpStream) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let deadline = Instant::now() + LINGER_TIME;
    let mut discarded = [0; 4096];
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() || stream.set_read_timeout(Some(remaining)).is_err() {
            return;
        }
        match stream.read(&mut discarded) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Sends a 503 response on refused connections and closes them. Returns when the channel's sender
/// is dropped.
pub(crate) fn serve_refusals(refused: &Receiver<TcpStream>) {
    let mut lingering: Vec<(TcpStream, Instant)> = Vec::new();
    loop {
        let received = if lingering.is_empty() {
            refused.recv().map_err(|_| RecvTimeoutError::Disconnected)
        } else {
            refused.recv_timeout(SWEEP_INTERVAL)
        };
        match received {
            Ok(stream) => {
                if write_refusal(&stream).is_ok() {
                    if lingering.len() == MAX_REFUSED_LINGERING {
                        lingering.remove(0);
                    }
                    lingering.push((stream, Instant::now() + REFUSED_LINGER_TIME));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        lingering.retain(|(stream, deadline)| now < *deadline && discard_input(stream));
    }
}

fn write_refusal(mut stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nonblocking(true)?;
    // The empty send buffer of a new socket takes the whole response.
    let _ = stream.write(REFUSED_RESPONSE)?;
    stream.shutdown(Shutdown::Write)
}

/// Discards input that has arrived. Returns false if the caller has closed the connection.
fn discard_input(mut stream: &TcpStream) -> bool {
    let mut discarded = [0; 4096];
    match stream.read(&mut discarded) {
        Ok(0) => false,
        Ok(_) => true,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}
