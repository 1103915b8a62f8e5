//! Closing of connections whose caller may still be sending.
//!
//! If a socket is closed while unread bytes arrive, the peer is sent a reset, which can discard
//! the response before the caller has read it. So the sending side is closed first, and what
//! still arrives is discarded for a short time.

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

/// Time for which arriving bytes are discarded.
const TIME: Duration = Duration::from_millis(500);

/// Time for which a refused connection is kept.
const REFUSED_TIME: Duration = Duration::from_millis(200);

/// Interval at which refused connections are looked at.
const SWEEP: Duration = Duration::from_millis(10);

/// Refused connections that are kept at a time; older ones are closed for further ones.
const REFUSED_KEPT: usize = 64;

const REFUSED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\
    Content-Type: text/plain\r\nContent-Length: 21\r\n\r\ntoo many connections\n";

/// Closes a connection after its response was written.
pub(crate) fn close(mut stream: &TcpStream) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let deadline = Instant::now() + TIME;
    let mut discarded = [0; 4096];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return;
        }
        match stream.read(&mut discarded) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Answers refused connections with status 503 and closes them, until the sender is gone.
pub(crate) fn refuse(refused: &Receiver<TcpStream>) {
    let mut kept: Vec<(TcpStream, Instant)> = Vec::new();
    loop {
        let received = if kept.is_empty() {
            refused.recv().map_err(|_| RecvTimeoutError::Disconnected)
        } else {
            refused.recv_timeout(SWEEP)
        };
        match received {
            Ok(stream) => {
                if answer(&stream).is_ok() {
                    if kept.len() == REFUSED_KEPT {
                        kept.remove(0);
                    }
                    kept.push((stream, Instant::now() + REFUSED_TIME));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        kept.retain(|(stream, until)| now < *until && is_sending(stream));
    }
}

fn answer(mut stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nonblocking(true)?;
    // The buffer of a new socket takes all of it at once.
    let _ = stream.write(REFUSED)?;
    stream.shutdown(Shutdown::Write)
}

/// Discards what has arrived. Reports whether the caller has not closed its side.
fn is_sending(mut stream: &TcpStream) -> bool {
    let mut discarded = [0; 4096];
    match stream.read(&mut discarded) {
        Ok(0) => false,
        Ok(_) => true,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}
