//! Structured logging to standard output that never blocks and has a bounded volume.

use std::{
    collections::HashMap,
    io::{
        self,
        ErrorKind,
        Write, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use rustix::fs::{
    OFlags,
    fcntl_getfl,
    fcntl_setfl, //
};
use slog::{
    Drain,
    Logger,
    o, //
};

/// Bytes of lines buffered for a slow reader; further lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

#[derive(Default)]
struct LogBuffer {
    bytes: Vec<u8>,
    dropped_lines: u64,
}

/// Buffer of log lines that have not been written.
#[derive(Clone, Default)]
pub struct LogSink(Arc<Mutex<LogBuffer>>);

impl Write for LogSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + bytes.len() > MAX_BUFFERED_BYTES {
            buffer.dropped_lines += 1;
        } else {
            buffer.bytes.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogSink {
    /// Creates a logger that writes JSON lines to this sink.
    ///
    /// ```
    /// use camphordale_reactor::LogSink;
    ///
    /// let sink = LogSink::default();
    /// slog::info!(sink.logger("vm-1"), "start");
    /// assert_eq!(sink.dropped(), 0);
    /// ```
    pub fn logger(&self, node: &str) -> Logger {
        let drain = slog_json::Json::new(self.clone())
            .add_default_keys()
            .build();
        // A line that cannot be encoded is skipped; there is nowhere to report it.
        let drain = Mutex::new(drain).ignore_res();
        Logger::root(drain, o!("node" => node.to_owned()))
    }

    /// Writes buffered lines until standard output would block.
    pub fn flush_to_stdout(&self) {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.is_empty() {
            return;
        }
        let written = loop {
            match rustix::io::write(rustix::stdio::stdout(), &buffer.bytes) {
                Ok(count) => break count,
                Err(rustix::io::Errno::INTR) => {}
                Err(error) if io::Error::from(error).kind() == ErrorKind::WouldBlock => break 0,
                Err(_) => {
                    // The reader has closed the pipe: discard the lines.
                    buffer.dropped_lines += 1;
                    break buffer.bytes.len();
                }
            }
        };
        buffer.bytes.drain(..written);
    }

    /// Number of times that lines were dropped because the reader was too slow or had closed
    /// the pipe.
    pub fn dropped(&self) -> u64 {
        let buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.dropped_lines
    }

    /// Makes standard output non-blocking. On failure it is left unchanged.
    pub fn set_stdout_nonblocking() -> io::Result<()> {
        let stdout = rustix::stdio::stdout();
        let flags = fcntl_getfl(stdout)?;
        Ok(fcntl_setfl(stdout, flags | OFlags::NONBLOCK)?)
    }
}

/// Limits the number of log lines of each kind per second.
#[derive(Debug)]
pub struct LogRateLimiter {
    lines: u32,
    window_start: Duration,
    counts: HashMap<&'static str, u32>,
}

impl LogRateLimiter {
    /// Allows `lines` of each kind per second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_reactor::LogRateLimiter;
    ///
    /// let mut limiter = LogRateLimiter::new(1);
    /// assert!(limiter.allow("refused"));
    /// assert!(!limiter.allow("refused"));
    /// assert_eq!(limiter.take_suppressed(Duration::from_secs(1)), vec![("refused", 1)]);
    /// ```
    pub fn new(lines: u32) -> LogRateLimiter {
        LogRateLimiter {
            lines,
            window_start: Duration::ZERO,
            counts: HashMap::new(),
        }
    }

    /// Counts a line of a kind and returns whether it may be written.
    pub fn allow(&mut self, kind: &'static str) -> bool {
        let count = self.counts.entry(kind).or_default();
        *count += 1;
        *count <= self.lines
    }

    /// At the end of a window, starts the next one and returns how many lines of each kind were
    /// suppressed.
    pub fn take_suppressed(&mut self, now: Duration) -> Vec<(&'static str, u32)> {
        if now.saturating_sub(self.window_start) < RATE_WINDOW {
            return Vec::new();
        }
        self.window_start = now;
        let lines = self.lines;
        let counts = std::mem::take(&mut self.counts).into_iter();
        let suppressed = counts.map(|(kind, count)| (kind, count.saturating_sub(lines)));
        suppressed.filter(|(_, count)| *count > 0).collect()
    }
}
