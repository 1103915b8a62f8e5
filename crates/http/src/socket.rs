//! A blocking socket with a read buffer and deadlines.

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

const BUFFER: usize = 8 * 1024;

/// Most bytes by which a body grows before it is read, so that a stated length alone does not
/// take memory.
const BODY_STEP: usize = 64 * 1024;

const MSG_PEEK: i32 = 2;
#[cfg(any(target_os = "linux", target_os = "android"))]
const MSG_DONTWAIT: i32 = 0x40;
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const MSG_DONTWAIT: i32 = 0x80;

pub(crate) struct Socket {
    stream: Arc<TcpStream>,
    buffer: Vec<u8>,
    start: usize,
    end: usize,
    /// Timeouts that are set at the socket, so that they are set again only when they change.
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
}

/// Why a read or write ended.
#[derive(Debug)]
pub(crate) enum Failure {
    Io(io::Error),
    Timeout,
    Closed,
}

/// A write that failed, and whether any byte was written before.
#[derive(Debug)]
pub(crate) struct WriteFailure {
    pub(crate) wrote: bool,
    pub(crate) kind: Failure,
}

/// What an unused connection looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Peek {
    Silent,
    Data,
    Closed,
}

impl Socket {
    pub(crate) fn new(stream: Arc<TcpStream>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Socket {
            stream,
            buffer: vec![0; BUFFER],
            start: 0,
            end: 0,
            read_timeout: None,
            write_timeout: None,
        })
    }

    pub(crate) fn stream(&self) -> &Arc<TcpStream> {
        &self.stream
    }

    /// Returns the bytes that were read and not consumed.
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
    pub(crate) fn fill(&mut self, deadline: Instant) -> Result<usize, Failure> {
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

    /// Reads until `body` has `length` bytes.
    pub(crate) fn read_body(
        &mut self,
        body: &mut Vec<u8>,
        length: usize,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let buffered = self.data().len().min(length - body.len());
        body.extend_from_slice(&self.data()[..buffered]);
        self.consume(buffered);
        while body.len() < length {
            let filled = body.len();
            body.resize(length.min(filled + BODY_STEP), 0);
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

    /// Writes a head and the part of the body that is not in it.
    pub(crate) fn write(
        &mut self,
        head: &[u8],
        body: &[u8],
        deadline: Instant,
    ) -> Result<(), WriteFailure> {
        let total = head.len() + body.len();
        let mut written = 0;
        while written < total {
            match self.write_some(head, body, written, deadline) {
                Ok(count) => written += count,
                Err(kind) => {
                    let wrote = written > 0;
                    return Err(WriteFailure { wrote, kind });
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
    ) -> Result<usize, Failure> {
        let mut stream = &*self.stream;
        loop {
            let timeout = coarse(deadline)?;
            if self.write_timeout != Some(timeout) {
                stream
                    .set_write_timeout(Some(timeout))
                    .map_err(Failure::Io)?;
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
                Ok(0) => return Err(Failure::Closed),
                Ok(count) => return Ok(count),
                Err(error) if is_wait(&error) => {}
                Err(error) => return Err(Failure::Io(error)),
            }
        }
    }

    /// Looks at the connection without waiting. Bytes that were read before count as data.
    pub(crate) fn peek(&self) -> Peek {
        if !self.data().is_empty() {
            return Peek::Data;
        }
        let flags = MSG_PEEK | MSG_DONTWAIT;
        match SockRef::from(&*self.stream).recv_with_flags(&mut [MaybeUninit::uninit()], flags) {
            Ok(0) => Peek::Closed,
            Ok(_) => Peek::Data,
            Err(error) if is_wait(&error) => Peek::Silent,
            Err(_) => Peek::Closed,
        }
    }
}

fn read(
    mut stream: &TcpStream,
    buffer: &mut [u8],
    current: &mut Option<Duration>,
    deadline: Instant,
) -> Result<usize, Failure> {
    loop {
        let timeout = coarse(deadline)?;
        if *current != Some(timeout) {
            stream
                .set_read_timeout(Some(timeout))
                .map_err(Failure::Io)?;
            *current = Some(timeout);
        }
        match stream.read(buffer) {
            Ok(0) => return Err(Failure::Closed),
            Ok(count) => return Ok(count),
            Err(error) if is_wait(&error) => {}
            Err(error) => return Err(Failure::Io(error)),
        }
    }
}

fn is_wait(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

/// Returns a socket timeout that does not pass the deadline. It is a power of two in
/// milliseconds, so that equal limits of successive requests need no further system call; a read
/// that times out is repeated with the rest.
fn coarse(deadline: Instant) -> Result<Duration, Failure> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(Failure::Timeout);
    }
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    Ok(match millis.checked_ilog2() {
        Some(power) if power > 0 => Duration::from_millis(1 << power.min(20)),
        _ => left.max(Duration::from_micros(100)),
    })
}
