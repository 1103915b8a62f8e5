//! The root logger of the process.
//!
//! Only state changes are logged. Events that occur for each request are counted in the metrics.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use slog::{Discard, Drain, FilterLevel, Logger, Never, OwnedKVList, Record, o};

use crate::settings::{self, Format};

/// Maximum number of queued lines. If the queue is full, lines are dropped and their number is
/// logged, so that a blocked terminal never blocks the process.
const QUEUE_LINES: usize = 1024;

/// The root logger, whose level can be changed.
///
/// Dropping it writes the queued lines.
pub struct Log {
    root: Logger,
    level: Arc<AtomicUsize>,
    _writer: slog_async::AsyncGuard,
}

impl Log {
    /// Returns a logger that writes to standard error.
    pub fn to_stderr(settings: settings::Log) -> Self {
        Log::to_writer(settings, io::stderr())
    }

    /// Returns a logger that writes to `out`.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_daemon::{log::Log, settings};
    ///
    /// let settings = settings::Log {
    ///     format: settings::Format::Json,
    ///     level: settings::Level::Info,
    /// };
    /// let log = Log::to_writer(settings, std::io::sink());
    /// slog::info!(log.root(), "Bundle in force"; "version" => 3);
    /// ```
    pub fn to_writer<W>(settings: settings::Log, out: W) -> Self
    where
        W: io::Write + Send + 'static,
    {
        match settings.format {
            Format::Text => {
                let lines = slog_term::PlainDecorator::new(out);
                let drain = slog_term::FullFormat::new(lines)
                    .use_utc_timestamp()
                    .use_original_order()
                    .build();
                Log::build(settings.level, drain.ignore_res())
            }
            Format::Json => {
                let drain = slog_json::Json::new(out).add_default_keys().build();
                Log::build(settings.level, drain.ignore_res())
            }
        }
    }

    fn build<D>(level: settings::Level, drain: D) -> Self
    where
        D: Drain<Ok = (), Err = Never> + Send + 'static,
    {
        let (queue, writer) = slog_async::Async::new(drain)
            .chan_size(QUEUE_LINES)
            .build_with_guard();
        let level = Arc::new(AtomicUsize::new(filter_level(level).as_usize()));
        let drain = LevelFilter {
            level: Arc::clone(&level),
            drain: queue.ignore_res(),
        };
        Log {
            root: Logger::root(drain, o!()),
            level,
            _writer: writer,
        }
    }

    /// Returns the root logger.
    pub fn root(&self) -> &Logger {
        &self.root
    }

    /// Changes the level of this logger and of all loggers derived from it.
    pub fn set_level(&self, level: settings::Level) {
        self.level
            .store(filter_level(level).as_usize(), Ordering::Relaxed);
    }
}

/// Returns a logger for tests that discards all lines.
pub fn discard() -> Logger {
    Logger::root(Discard, o!())
}

/// Drain that drops records below a level that can be changed.
struct LevelFilter<D> {
    level: Arc<AtomicUsize>,
    drain: D,
}

impl<D> Drain for LevelFilter<D>
where
    D: Drain<Ok = (), Err = Never>,
{
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        match self.is_enabled(record.level()) {
            true => self.drain.log(record, values),
            false => Ok(()),
        }
    }

    fn is_enabled(&self, level: slog::Level) -> bool {
        level.as_usize() <= self.level.load(Ordering::Relaxed)
    }
}

fn filter_level(level: settings::Level) -> FilterLevel {
    match level {
        settings::Level::Critical => FilterLevel::Critical,
        settings::Level::Error => FilterLevel::Error,
        settings::Level::Warning => FilterLevel::Warning,
        settings::Level::Info => FilterLevel::Info,
        settings::Level::Debug => FilterLevel::Debug,
        settings::Level::Trace => FilterLevel::Trace,
    }
}
