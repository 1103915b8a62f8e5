//! Common parts of all processes: startup, signals, logging and shutdown.

use std::{
    io,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use camphordale_http::{
    Request,
    Response, //
};
use camphordale_store::StoreError;
use slog::{
    Logger,
    info,
    warn, //
};

use crate::{
    Clock,
    adapter::ProtocolAdapter,
    control_process::ControlProcess,
    entry_process::EntryProcess,
    event_loop::EventLoop,
    log::{
        LogRateLimiter,
        LogSink, //
    },
    metrics::{
        Metrics,
        MetricsError, //
    },
    settings::{
        Role,
        Settings,
        SettingsError, //
    },
};

/// Part of the memory for messages that are being received and responses that callers take slowly. A
/// complete response is copied once before it is sent on, so it takes up to twice its length.
const BUFFER_DIVISOR: usize = 4;

/// Parts of the memory of which [`BODY_SHARE`] are for the bodies of requests.
const BODY_PARTS: usize = 16;

/// Share of the memory for the bodies of requests. A body of 64 MiB fits on a VM with 160 MB.
const BODY_SHARE: usize = 7;

/// Part of the memory for messages to other VMs that these have not read.
const PEER_OUTPUT_DIVISOR: usize = 2;

/// An error that ends a process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The settings are invalid.
    #[error("cannot load the settings: {0}")]
    Settings(#[from] SettingsError),
    /// A call of the operating system failed.
    #[error("cannot {step}: {source}")]
    System {
        /// The step that failed, as an infinitive.
        step: Box<str>,
        /// Cause.
        source: io::Error,
    },
    /// The durable state cannot be opened.
    #[error("cannot open the durable state: {0}")]
    Store(#[from] StoreError),
    /// The durable state cannot be decoded.
    #[error("cannot decode the durable state: {0}")]
    State(Box<str>),
    /// The metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

pub(crate) fn system_error<Step>(step: Step) -> impl FnOnce(io::Error) -> ProcessError
where
    Step: ToString,
{
    move |source| ProcessError::System {
        step: step.to_string().into(),
        source,
    }
}

/// Signals that the process has received.
#[derive(Clone, Default)]
pub(crate) struct Signals {
    stop_requested: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    fn register() -> io::Result<Signals> {
        let signals = Signals::default();
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            signal_hook::flag::register(signal, signals.stop_requested.clone())?;
        }
        signal_hook::flag::register(signal_hook::consts::SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    pub(crate) fn stop_requested(&self) -> bool {
        self.stop_requested.load(Ordering::Relaxed)
    }

    pub(crate) fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}

/// Interval at which the settings are read again, because the file may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_millis(2000);

/// State that all kinds of processes share.
pub(crate) struct ProcessContext {
    pub(crate) clock: Clock,
    pub(crate) event_loop: EventLoop,
    pub(crate) signals: Signals,
    pub(crate) logger: Logger,
    pub(crate) log_limiter: LogRateLimiter,
    pub(crate) metrics: Metrics,
    next_reload: Duration,
    log_sink: LogSink,
}

impl ProcessContext {
    /// Reads the settings again after a signal and periodically. Returns them if they were read
    /// and are valid.
    pub(crate) fn reload<Reload>(&mut self, now: Duration, reload: &Reload) -> Option<Settings>
    where
        Reload: Fn() -> Result<Settings, SettingsError>,
    {
        let signalled = self.signals.take_reload();
        if !signalled && now < self.next_reload {
            return None;
        }
        self.next_reload = now + RELOAD_INTERVAL;
        match reload() {
            Ok(settings) => {
                if signalled {
                    info!(self.logger, "settings reloaded"; "seeds" => settings.seeds.len());
                }
                Some(settings)
            }
            Err(error) => {
                if self.may_log("reload") {
                    warn!(self.logger, "settings not reloaded"; "error" => error.to_string());
                }
                None
            }
        }
    }

    /// Counts a log line of a kind and returns whether it may be written.
    pub(crate) fn may_log(&mut self, kind: &'static str) -> bool {
        self.log_limiter.allow(kind)
    }

    /// Logs how many lines were suppressed and writes the buffered lines.
    pub(crate) fn flush_logs(&mut self, now: Duration) {
        for (kind, count) in self.log_limiter.take_suppressed(now) {
            warn!(self.logger, "log lines left out"; "kind" => kind, "count" => count);
        }
        self.log_sink.flush_to_stdout();
    }

    /// The response to a metrics scrape.
    pub(crate) fn metrics_response(&mut self, request: &Request) -> Response {
        if !request.path.starts_with("/metrics") {
            return Response::text(404, "not found");
        }
        let stats = self.event_loop.stats();
        self.metrics
            .set_gauge("connections", self.event_loop.open_connections() as u64);
        self.metrics.set_gauge("accepted", stats.accepted);
        self.metrics.set_gauge("connections-refused", stats.refused);
        self.metrics.set_gauge("malformed", stats.malformed);
        self.metrics
            .set_gauge("bodies-without-memory", stats.without_memory);
        self.metrics
            .set_gauge("body-bytes", self.event_loop.body_bytes() as u64);
        self.metrics
            .set_gauge("buffered-bytes", self.event_loop.buffered_bytes() as u64);
        self.metrics
            .set_gauge("target-connections-opened", stats.opened);
        self.metrics
            .set_gauge("target-connections-reused", stats.reused);
        let idle = self.event_loop.idle_target_connections();
        self.metrics
            .set_gauge("target-connections-idle", idle as u64);
        self.metrics.set_gauge("socket-errors", stats.socket_errors);
        self.metrics
            .set_gauge("log-lines-dropped", self.log_sink.dropped());
        match self.metrics.render() {
            Ok(text) => Response::new(200, text.into_bytes())
                .with_header("Content-Type", "text/plain; version=0.0.4"),
            Err(error) => {
                warn!(self.logger, "metrics cannot be rendered"; "error" => error.to_string());
                Response::text(500, "metrics cannot be rendered")
            }
        }
    }
}

/// Runs a process until a signal stops it. `reload` reads the settings again.
///
/// # Errors
///
/// [`ProcessError`] if the process cannot start or cannot continue.
pub fn run<Adapter, Reload>(
    settings: Settings,
    adapter: Adapter,
    reload: Reload,
) -> Result<(), ProcessError>
where
    Adapter: ProtocolAdapter,
    Reload: Fn() -> Result<Settings, SettingsError>,
{
    let clock = Clock::start();
    let log_sink = LogSink::default();
    let logger = log_sink.logger(&settings.node);
    if let Err(error) = LogSink::set_stdout_nonblocking() {
        warn!(logger, "cannot make standard output non-blocking"; "error" => error.to_string());
    }
    let mut event_loop = EventLoop::new(clock, settings.keyring.clone())
        .map_err(system_error("start the event loop"))?;
    event_loop.set_link_rate(settings.link_rate);
    if let Some(memory) = settings.memory {
        event_loop.set_buffer_limit(memory / BUFFER_DIVISOR);
        event_loop.set_body_limit(memory / BODY_PARTS * BODY_SHARE);
        event_loop.set_peer_output_limit(memory / PEER_OUTPUT_DIVISOR);
    }
    let mut context = ProcessContext {
        clock,
        event_loop,
        signals: Signals::register().map_err(system_error("register signal handlers"))?,
        logger,
        log_limiter: LogRateLimiter::new(settings.tuning.log_lines),
        metrics: Metrics::new()?,
        next_reload: RELOAD_INTERVAL,
        log_sink,
    };
    let role = match &settings.role {
        Role::Entry(_) => "entry",
        Role::Control(_) => "control",
    };
    info!(context.logger, "start"; "role" => role, "version" => env!("CARGO_PKG_VERSION"));
    let result = match settings.role.clone() {
        Role::Entry(entry) => EntryProcess::start(&settings, &entry, adapter, &mut context)
            .and_then(|mut process| process.run(&mut context, reload)),
        Role::Control(control) => ControlProcess::start(&settings, control, adapter, &mut context)
            .and_then(|mut process| process.run(&mut context, reload)),
    };
    match &result {
        Ok(()) => info!(context.logger, "stop"),
        Err(error) => {
            warn!(context.logger, "stop"; "error" => error.to_string())
        }
    }
    context.log_sink.flush_to_stdout();
    result
}
