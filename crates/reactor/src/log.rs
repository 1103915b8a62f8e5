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
const MAX_WAITING: usize = 256 << 10;
/// Length of a window of the budget.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Lines that wait to be written.
#[derive(Clone, Default)]
pub struct LogSink(Arc<Mutex<Waiting>>);

impl Write for LogSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() + bytes.len() > MAX_WAITING {
            waiting.dropped += 1;
        } else {
            waiting.bytes.extend_from_slice(bytes);
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
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.is_empty() {
            return;
        }
        let written = loop {
            match rustix::io::write(rustix::stdio::stdout(), &waiting.bytes) {
                Ok(count) => break count,
                Err(rustix::io::Errno::INTR) => {}
                Err(error) if io::Error::from(error).kind() == ErrorKind::WouldBlock => break 0,
                Err(_) => {
                    // Nobody reads: the lines are of no use any more.
                    waiting.dropped += 1;
                    break waiting.bytes.len();
                }
            }
        };
        waiting.bytes.drain(..written);
    }

    /// Lines that were dropped because nobody read them.
    pub fn dropped(&self) -> u64 {
        let waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.dropped
    }

    /// Makes writes to standard output return at once. A failure leaves it as it was.
    pub fn unblock_stdout() -> io::Result<()> {
        let stdout = rustix::stdio::stdout();
        let flags = fcntl_getfl(stdout)?;
        Ok(fcntl_setfl(stdout, flags | OFlags::NONBLOCK)?)
    }
}

/// Allows a number of lines of each kind in a second.
#[derive(Debug)]
pub struct LogRateLimiter {
    lines: u32,
    window: Duration,
    used: HashMap<&'static str, u32>,
}

impl LogRateLimiter {
    /// Allows `lines` of each kind in a second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_reactor::LogRateLimiter;
    ///
    /// let mut budget = LogRateLimiter::new(1);
    /// assert!(budget.allows("refused"));
    /// assert!(!budget.allows("refused"));
    /// assert_eq!(budget.left_out(Duration::from_secs(1)), vec![("refused", 1)]);
    /// ```
    pub fn new(lines: u32) -> LogRateLimiter {
        LogRateLimiter {
            lines,
            window: Duration::ZERO,
            used: HashMap::new(),
        }
    }

    /// Whether one more line of a kind may be written.
    pub fn allows(&mut self, kind: &'static str) -> bool {
        let used = self.used.entry(kind).or_default();
        *used += 1;
        *used <= self.lines
    }

    /// At the end of a window, returns how many lines of which kinds were left out.
    pub fn left_out(&mut self, now: Duration) -> Vec<(&'static str, u32)> {
        if now.saturating_sub(self.window) < WINDOW {
            return Vec::new();
        }
        self.window = now;
        let lines = self.lines;
        let used = std::mem::take(&mut self.used).into_iter();
        let over = used.map(|(kind, used)| (kind, used.saturating_sub(lines)));
        over.filter(|(_, count)| *count > 0).collect()
    }
}
