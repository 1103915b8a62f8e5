//! Blocking socket with a read buffer and deadlines.

use std::{
    io::{
        self,
        ErrorKind,
        IoSlice,
        Read,
        Write, //
    },
    mem::MaybeUninit,
    net::TcpStream,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use socket2::SockRef;

/// Initial size of the read buffer in bytes.
const READ_BUFFER_SIZE: usize = 8 * 1024;

/// Most bytes that are allocated for a body before they are read, so that a large
/// `Content-Length` alone allocates little memory.
const MAX_BODY_GROWTH: usize = 64 * 1024;

const MSG_PEEK: i32 = 2;
#[cfg(any(target_os = "linux", target_os = "android"))]
const MSG_DONTWAIT: i32 = 0x40;
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const MSG_DONTWAIT: i32 = 0x80;

/// A TCP stream with a read buffer, whose operations take deadlines.
pub(crate) struct Socket {
    stream: Arc<TcpStream>,
    buffer: Vec<u8>,
    start: usize,
    end: usize,
    /// Timeouts that are set on the socket, cached to save system calls.
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
}

/// Why a read or write failed.
#[derive(Debug)]
pub(crate) enum SocketError {
    Io(io::Error),
    /// The deadline passed.
    Timeout,
    /// The peer closed the connection.
    Closed,
}

/// A failed write.
#[derive(Debug)]
pub(crate) struct WriteError {
    /// Whether any byte was written before the failure.
    pub(crate) any_written: bool,
    pub(crate) kind: SocketError,
}

/// State of the input of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Peek {
    /// Open, without input.
    NoData,
    /// Input is available.
    Data,
    /// The peer has closed the connection, or the socket failed.
    Closed,
}

impl Socket {
    pub(crate) fn new(stream: Arc<TcpStream>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Socket {
            stream,
            buffer: vec![0; READ_BUFFER_SIZE],
            start: 0,
            end: 0,
            read_timeout: None,
            write_timeout: None,
        })
    }

    pub(crate) fn stream(&self) -> &Arc<TcpStream> {
        &self.stream
    }

    /// Returns the buffered bytes: read but not consumed.
    pub(crate) fn data(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    pub(crate) fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
        }
    }

    /// Reads more bytes and returns their number.
    pub(crate) fn fill(&mut self, deadline: Instant) -> Result<usize, SocketError> {
        if self.end == self.buffer.len() {
            if self.start > 0 {
                self.buffer.copy_within(self.start..self.end, 0);
                self.end -= self.start;
                self.start = 0;
            } else {
                self.buffer.resize(2 * self.buffer.len(), 0);
            }
        }
        let read = read(
            &self.stream,
            &mut self.buffer[self.end..],
            &mut self.read_timeout,
            deadline,
        )?;
        self.end += read;
        Ok(read)
    }

    /// Reads until `body` has `length` bytes, buffered bytes first.
    pub(crate) fn read_body(
        &mut self,
        body: &mut Vec<u8>,
        length: usize,
        deadline: Instant,
    ) -> Result<(), SocketError> {
        let buffered = self.data().len().min(length - body.len());
        body.extend_from_slice(&self.data()[..buffered]);
        self.consume(buffered);
        while body.len() < length {
            let filled = body.len();
            body.resize(length.min(filled + MAX_BODY_GROWTH), 0);
            let result = read(
                &self.stream,
                &mut body[filled..],
                &mut self.read_timeout,
                deadline,
            );
            body.truncate(filled + result.as_ref().map_or(0, |count| *count));
            result?;
        }
        Ok(())
    }

    /// Writes `head`, which may include a short body, and then `body`.
    pub(crate) fn write(
        &mut self,
        head: &[u8],
        body: &[u8],
        deadline: Instant,
    ) -> Result<(), WriteError> {
        let total = head.len() + body.len();
        let mut written = 0;
        while written < total {
            match self.write_some(head, body, written, deadline) {
                Ok(count) => written += count,
                Err(kind) => {
                    let any_written = written > 0;
                    return Err(WriteError { any_written, kind });
                }
            }
        }
        Ok(())
    }

    fn write_some(
        &mut self,
        head: &[u8],
        body: &[u8],
        written: usize,
        deadline: Instant,
    ) -> Result<usize, SocketError> {
        let mut stream = &*self.stream;
        loop {
            let timeout = socket_timeout(deadline)?;
            if self.write_timeout != Some(timeout) {
                stream
                    .set_write_timeout(Some(timeout))
                    .map_err(SocketError::Io)?;
                self.write_timeout = Some(timeout);
            }
            let result = match head.get(written..) {
                Some(head) if !head.is_empty() && !body.is_empty() => {
                    stream.write_vectored(&[IoSlice::new(head), IoSlice::new(body)])
                }
                Some(head) if !head.is_empty() => stream.write(head),
                _ => stream.write(&body[written - head.len()..]),
            };
            match result {
                Ok(0) => return Err(SocketError::Closed),
                Ok(count) => return Ok(count),
                Err(error) if is_transient(&error) => {}
                Err(error) => return Err(SocketError::Io(error)),
            }
        }
    }

    /// Checks for input or a close without blocking. Buffered bytes count as data.
    pub(crate) fn peek(&self) -> Peek {
        if !self.data().is_empty() {
            return Peek::Data;
        }
        let flags = MSG_PEEK | MSG_DONTWAIT;
        match SockRef::from(&*self.stream).recv_with_flags(&mut [MaybeUninit::uninit()], flags) {
            Ok(0) => Peek::Closed,
            Ok(_) => Peek::Data,
            Err(error) if is_transient(&error) => Peek::NoData,
            Err(_) => Peek::Closed,
        }
    }
}

fn read(
    mut stream: &TcpStream,
    buffer: &mut [u8],
    current_timeout: &mut Option<Duration>,
    deadline: Instant,
) -> Result<usize, SocketError> {
    loop {
        let timeout = socket_timeout(deadline)?;
        if *current_timeout != Some(timeout) {
            stream
                .set_read_timeout(Some(timeout))
                .map_err(SocketError::Io)?;
            *current_timeout = Some(timeout);
        }
        match stream.read(buffer) {
            Ok(0) => return Err(SocketError::Closed),
            Ok(count) => return Ok(count),
            Err(error) if is_transient(&error) => {}
            Err(error) => return Err(SocketError::Io(error)),
        }
    }
}

/// Reports whether the operation can be tried again until its deadline.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

/// Returns a socket timeout that ends by the deadline. It is rounded down to a power of two in
/// milliseconds, so that successive requests with the same time limit mostly need no system call
/// to set it. Callers retry after a timeout until the deadline has passed.
fn socket_timeout(deadline: Instant) -> Result<Duration, SocketError> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(SocketError::Timeout);
    }
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    Ok(match millis.checked_ilog2() {
        Some(power) if power > 0 => Duration::from_millis(1 << power.min(20)),
        _ => left.max(Duration::from_micros(100)),
    })
}
