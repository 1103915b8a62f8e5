//! Structured logs on standard output that never block and have a bounded volume.

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

/// Bytes of lines that may wait for a slow reader; further lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Length of a window of the budget.
const RATE_WINDOW: Duration = Duration::from_secs(1);

#[derive(Default)]
struct LogBuffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Lines that wait to be written.
#[derive(Clone, Default)]
pub struct LogSink(Arc<Mutex<LogBuffer>>);

impl Write for LogSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + bytes.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
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
    /// Makes a logger that writes JSON lines to this sink.
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
        // A line that has no encoding is left out; there is nowhere to report it.
        let drain = Mutex::new(drain).ignore_res();
        Logger::root(drain, o!("node" => node.to_owned()))
    }

    /// Writes what standard output takes now.
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
                    // Nobody reads: the lines are of no use any more.
                    buffer.dropped += 1;
                    break buffer.bytes.len();
                }
            }
        };
        buffer.bytes.drain(..written);
    }

    /// Lines that were dropped because nobody read them.
    pub fn dropped(&self) -> u64 {
        let buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.dropped
    }

    /// Makes writes to standard output return at once. A failure leaves it as it was.
    pub fn set_stdout_nonblocking() -> io::Result<()> {
        let stdout = rustix::stdio::stdout();
        let flags = fcntl_getfl(stdout)?;
        Ok(fcntl_setfl(stdout, flags | OFlags::NONBLOCK)?)
    }
}

/// Allows a number of lines of each kind in a second.
#[derive(Debug)]
pub struct LogRateLimiter {
    lines: u32,
    window_start: Duration,
    counts: HashMap<&'static str, u32>,
}

impl LogRateLimiter {
    /// Allows `lines` of each kind in a second.
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

    /// Whether one more line of a kind may be written.
    pub fn allow(&mut self, kind: &'static str) -> bool {
        let count = self.counts.entry(kind).or_default();
        *count += 1;
        *count <= self.lines
    }

    /// At the end of a window, returns how many lines of which kinds were left out.
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
