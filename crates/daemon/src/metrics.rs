//! Metrics in Prometheus text format.
//!
//! Start with [`Metrics`]. The request path uses [`ServiceMetrics`], one for each service.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use camphordale_api::Counters;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::{Instrument, SdkMeterProvider, Stream};
use prometheus::{Encoder, Registry, TextEncoder};

mod labels;
mod service;

pub use labels::{Direction, Ending, GroupKind, Limit, Listener, Phase};
pub use service::ServiceMetrics;
use service::Totals;

/// Most label sets of one instrument. The SDK reserves memory for all of them in advance, and its
/// default is 2000.
const LABEL_SETS: usize = 256;

/// Upper bounds of the duration buckets in seconds. The goal is 10 ms for 99 in 100 requests.
const DURATION_BOUNDS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.004, 0.006, 0.008, 0.010, 0.015, 0.025, 0.050, 0.100, 0.250, 1.0, 10.0,
];

/// All metrics of a VM.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    totals: Arc<Totals>,
    retried: AtomicU64,
    forwarded: AtomicU64,
    running: AtomicU64,
    waiting: AtomicU64,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    duration: Histogram<f64>,
    retries: Counter<u64>,
    forwards: Counter<u64>,
    queue: Gauge<u64>,
    inflight: Gauge<u64>,
    lease: Gauge<u64>,
    elections: Counter<u64>,
    bundle: Gauge<u64>,
    shards: Gauge<u64>,
    moves: Counter<u64>,
    imbalance: Gauge<f64>,
    unavailable: Counter<f64>,
    connections: Gauge<u64>,
    accepted: Counter<u64>,
    refused: Counter<u64>,
    bytes: Counter<u64>,
    messages: Counter<u64>,
}

/// The metrics could not be set up or written.
#[derive(Debug, thiserror::Error)]
#[error("metrics: {0}")]
pub struct MetricsError(Box<str>);

impl Metrics {
    /// Sets up all metrics.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be registered.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use camphordale_daemon::metrics::{Ending, Metrics};
    ///
    /// let metrics = Metrics::new()?;
    /// let catalogue = metrics.service("catalogue");
    /// catalogue.ended(Ending::Answered, Duration::from_millis(3));
    /// let text = metrics.render()?;
    /// assert!(text.contains(
    ///     r#"camphordale_requests_total{outcome="answered",service="catalogue"} 1"#
    /// ));
    /// # Ok::<(), camphordale_daemon::metrics::MetricsError>(())
    /// ```
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(|e| MetricsError(e.to_string().into()))?;
        let limited = |_: &Instrument| {
            let stream = Stream::builder().with_cardinality_limit(LABEL_SETS);
            stream.build().ok()
        };
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(limited)
            .build();
        let meter = provider.meter("camphordale");
        let counter = |name, help| counter(&meter, name, help);
        let gauge = |name, help| gauge(&meter, name, help);
        Ok(Metrics {
            registry,
            totals: Arc::default(),
            retried: AtomicU64::new(0),
            forwarded: AtomicU64::new(0),
            running: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            requests: counter("requests", "Requests of callers by service and outcome"),
            refusals: counter("refusals", "Refused requests by reason"),
            duration: meter
                .f64_histogram("camphordale.request.duration")
                .with_unit("s")
                .with_description("Time from the end of a request's header to its answer")
                .with_boundaries(DURATION_BOUNDS.to_vec())
                .build(),
            retries: counter("retries", "Requests sent to a target a second time"),
            forwards: counter("forwards", "Requests forwarded to other VMs"),
            queue: gauge("queue.length", "Requests that wait for a target"),
            inflight: gauge("inflight", "Requests in flight"),
            lease: gauge("lease.valid", "Whether the VM holds a valid lease"),
            elections: counter("elections", "Elections started by this VM, by group"),
            bundle: gauge("bundle.version", "Version of the bundle in force"),
            shards: gauge("shards", "Shards homed in the domain, by service and phase"),
            moves: counter("moves", "Shards that changed their owner, by service"),
            imbalance: meter
                .f64_gauge("camphordale.imbalance")
                .with_description("Greatest load of a target over the mean, by service")
                .build(),
            unavailable: meter
                .f64_counter("camphordale.unavailable.time")
                .with_unit("s")
                .with_description("Time that shards had no owner, summed over shards, by service")
                .build(),
            connections: gauge("connections", "Open connections by listener"),
            accepted: counter("connections.accepted", "Accepted connections by listener"),
            refused: counter(
                "connections.refused",
                "Connections and requests refused by a limit, by listener and limit",
            ),
            bytes: counter("peer.bytes", "Bytes exchanged with other VMs, by direction"),
            messages: counter(
                "peer.messages",
                "Messages exchanged with other VMs, by direction",
            ),
            provider,
        })
    }

    /// Returns the recorder of one service. An empty name stands for requests that belong to none.
    pub fn service(&self, name: &str) -> ServiceMetrics {
        ServiceMetrics::new(
            name,
            self.requests.clone(),
            self.refusals.clone(),
            self.duration.clone(),
            Arc::clone(&self.totals),
        )
    }

    /// Counts a request that was sent to a target a second time.
    pub fn retry(&self) {
        self.retried.fetch_add(1, Ordering::Relaxed);
        self.retries.add(1, &[]);
    }

    /// Counts a request that was forwarded to another VM.
    pub fn forward(&self) {
        self.forwarded.fetch_add(1, Ordering::Relaxed);
        self.forwards.add(1, &[]);
    }

    /// Sets the numbers of requests that wait and that are in flight.
    pub fn set_load(&self, waiting: u64, running: u64) {
        self.waiting.store(waiting, Ordering::Relaxed);
        self.running.store(running, Ordering::Relaxed);
        self.queue.record(waiting, &[]);
        self.inflight.record(running, &[]);
    }

    /// Sets whether the VM holds a valid lease.
    pub fn set_lease(&self, valid: bool) {
        self.lease.record(u64::from(valid), &[]);
    }

    /// Counts an election that this VM started.
    pub fn election(&self, group: GroupKind) {
        self.elections
            .add(1, &[KeyValue::new("group", group.label())]);
    }

    /// Sets the version of the bundle in force.
    pub fn set_bundle(&self, version: u64) {
        self.bundle.record(version, &[]);
    }

    /// Sets the number of shards of `service` in `phase`.
    pub fn set_shards(&self, service: &str, phase: Phase, shards: u64) {
        let labels = [
            KeyValue::new("phase", phase.label()),
            KeyValue::new("service", service.to_string()),
        ];
        self.shards.record(shards, &labels);
    }

    /// Counts shards of `service` that changed their owner.
    pub fn moved(&self, service: &str, shards: u64) {
        self.moves.add(shards, &by_service(service));
    }

    /// Sets the ratio of the greatest to the mean load of the targets of `service`.
    pub fn set_imbalance(&self, service: &str, ratio: f64) {
        self.imbalance.record(ratio, &by_service(service));
    }

    /// Adds time in which a shard of `service` had no owner.
    pub fn unavailable(&self, service: &str, time: Duration) {
        self.unavailable
            .add(time.as_secs_f64(), &by_service(service));
    }

    /// Counts an accepted connection.
    pub fn accepted(&self, listener: Listener) {
        self.accepted.add(1, &by_listener(listener));
    }

    /// Sets the number of open connections.
    pub fn set_connections(&self, listener: Listener, open: u64) {
        self.connections.record(open, &by_listener(listener));
    }

    /// Counts a connection or request that was refused by a limit.
    pub fn refused(&self, listener: Listener, limit: Limit) {
        let labels = [
            KeyValue::new("limit", limit.label()),
            KeyValue::new("listener", listener.label()),
        ];
        self.refused.add(1, &labels);
    }

    /// Counts `messages` exchanged with other VMs and their size in bytes.
    pub fn peer_traffic(&self, direction: Direction, messages: u64, bytes: u64) {
        let labels = [KeyValue::new("direction", direction.label())];
        self.messages.add(messages, &labels);
        self.bytes.add(bytes, &labels);
    }

    /// Returns the counts for the status page.
    pub fn counters(&self) -> Counters {
        let [answered, not_run, unknown] = &self.totals.endings;
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Counters {
            answered: read(answered),
            not_run: read(not_run),
            unknown: read(unknown),
            retries: read(&self.retried),
            forwards: read(&self.forwarded),
            inflight: read(&self.running),
            queued: read(&self.waiting),
        }
    }

    /// Returns all metrics in Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be written in the format.
    pub fn render(&self) -> Result<String, MetricsError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|e| MetricsError(e.to_string().into()))?;
        String::from_utf8(text).map_err(|e| MetricsError(e.to_string().into()))
    }
}

impl Drop for Metrics {
    fn drop(&mut self) {
        // A reader that was shut down before is no failure.
        let _ = self.provider.shutdown();
    }
}

fn counter(meter: &Meter, name: &str, help: &'static str) -> Counter<u64> {
    meter
        .u64_counter(format!("camphordale.{name}"))
        .with_description(help)
        .build()
}

fn gauge(meter: &Meter, name: &str, help: &'static str) -> Gauge<u64> {
    meter
        .u64_gauge(format!("camphordale.{name}"))
        .with_description(help)
        .build()
}

fn by_service(service: &str) -> [KeyValue; 1] {
    [KeyValue::new("service", service.to_string())]
}

fn by_listener(listener: Listener) -> [KeyValue; 1] {
    [KeyValue::new("listener", listener.label())]
}
