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

pub use labels::{Direction, GroupKind, Limit, Listener, Phase, RequestOutcome};
pub use service::ServiceMetrics;
use service::Totals;

/// Maximum number of label sets of an instrument. The SDK allocates memory for all of them in
/// advance, by default for 2,000.
const MAX_LABEL_SETS: usize = 256;

/// Upper bounds of the duration buckets, in seconds. They are dense around 10 ms, the objective
/// for the 99th percentile.
const DURATION_BOUNDS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.004, 0.006, 0.008, 0.010, 0.015, 0.025, 0.050, 0.100, 0.250, 1.0, 10.0,
];

/// All metrics of a VM.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    totals: Arc<Totals>,
    // The status page reads these four, because instruments cannot be read.
    retry_count: AtomicU64,
    forward_count: AtomicU64,
    in_flight: AtomicU64,
    queued: AtomicU64,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    duration: Histogram<f64>,
    retries: Counter<u64>,
    forwards: Counter<u64>,
    queue_length: Gauge<u64>,
    in_flight_gauge: Gauge<u64>,
    lease_valid: Gauge<u64>,
    elections: Counter<u64>,
    bundle_version: Gauge<u64>,
    shards: Gauge<u64>,
    moves: Counter<u64>,
    imbalance: Gauge<f64>,
    unavailable_time: Counter<f64>,
    connections_open: Gauge<u64>,
    connections_accepted: Counter<u64>,
    connections_refused: Counter<u64>,
    peer_bytes: Counter<u64>,
    peer_messages: Counter<u64>,
}

/// The metrics could not be set up or rendered.
#[derive(Debug, thiserror::Error)]
#[error("metrics: {0}")]
pub struct MetricsError(Box<str>);

impl Metrics {
    /// Sets up all metrics.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use camphordale_daemon::metrics::{RequestOutcome, Metrics};
    ///
    /// let metrics = Metrics::new()?;
    /// let catalogue = metrics.service("catalogue");
    /// catalogue.record(RequestOutcome::Responded, Duration::from_millis(3));
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
            let stream = Stream::builder().with_cardinality_limit(MAX_LABEL_SETS);
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
            retry_count: AtomicU64::new(0),
            forward_count: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
            queued: AtomicU64::new(0),
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
            queue_length: gauge("queue.length", "Requests that wait for a target"),
            in_flight_gauge: gauge("inflight", "Requests in flight"),
            lease_valid: gauge("lease.valid", "Whether the VM holds a valid lease"),
            elections: counter("elections", "Elections started by this VM, by group"),
            bundle_version: gauge("bundle.version", "Version of the bundle in force"),
            shards: gauge("shards", "Shards homed in the domain, by service and phase"),
            moves: counter("moves", "Shards that changed their owner, by service"),
            imbalance: meter
                .f64_gauge("camphordale.imbalance")
                .with_description("Greatest load of a target over the mean, by service")
                .build(),
            unavailable_time: meter
                .f64_counter("camphordale.unavailable.time")
                .with_unit("s")
                .with_description("Time that shards had no owner, summed over shards, by service")
                .build(),
            connections_open: gauge("connections", "Open connections by listener"),
            connections_accepted: counter(
                "connections.accepted",
                "Accepted connections by listener",
            ),
            connections_refused: counter(
                "connections.refused",
                "Connections and requests refused by a limit, by listener and limit",
            ),
            peer_bytes: counter("peer.bytes", "Bytes exchanged with other VMs, by direction"),
            peer_messages: counter(
                "peer.messages",
                "Messages exchanged with other VMs, by direction",
            ),
            provider,
        })
    }

    /// Returns the recorder of one service.
    pub fn service(&self, name: &str) -> ServiceMetrics {
        ServiceMetrics::new(
            name,
            self.requests.clone(),
            self.refusals.clone(),
            self.duration.clone(),
            Arc::clone(&self.totals),
        )
    }

    /// Counts a retry, which sends a request to a target a second time.
    pub fn count_retry(&self) {
        self.retry_count.fetch_add(1, Ordering::Relaxed);
        self.retries.add(1, &[]);
    }

    /// Counts a request that was forwarded to another VM.
    pub fn count_forward(&self) {
        self.forward_count.fetch_add(1, Ordering::Relaxed);
        self.forwards.add(1, &[]);
    }

    /// Sets the numbers of requests that are queued and in flight.
    pub fn set_load(&self, queued: u64, in_flight: u64) {
        self.queued.store(queued, Ordering::Relaxed);
        self.in_flight.store(in_flight, Ordering::Relaxed);
        self.queue_length.record(queued, &[]);
        self.in_flight_gauge.record(in_flight, &[]);
    }

    /// Sets whether the VM has a valid lease.
    pub fn set_lease(&self, valid: bool) {
        self.lease_valid.record(u64::from(valid), &[]);
    }

    /// Counts an election that this VM won.
    pub fn count_election(&self, group: GroupKind) {
        self.elections
            .add(1, &[KeyValue::new("group", group.label())]);
    }

    /// Sets the version of the bundle in force.
    pub fn set_bundle(&self, version: u64) {
        self.bundle_version.record(version, &[]);
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
    pub fn count_moves(&self, service: &str, shards: u64) {
        self.moves.add(shards, &service_label(service));
    }

    /// Sets the ratio of the maximum to the mean load of the targets of `service`.
    pub fn set_imbalance(&self, service: &str, ratio: f64) {
        self.imbalance.record(ratio, &service_label(service));
    }

    /// Adds time for which a shard of `service` had no owner.
    pub fn add_unavailable_time(&self, service: &str, time: Duration) {
        self.unavailable_time
            .add(time.as_secs_f64(), &service_label(service));
    }

    /// Counts an accepted connection.
    pub fn count_accepted(&self, listener: Listener) {
        self.connections_accepted.add(1, &listener_label(listener));
    }

    /// Sets the number of open connections.
    pub fn set_connections(&self, listener: Listener, connections: u64) {
        self.connections_open
            .record(connections, &listener_label(listener));
    }

    /// Counts a connection or request that was refused by a limit.
    pub fn count_refused(&self, listener: Listener, limit: Limit) {
        let labels = [
            KeyValue::new("limit", limit.label()),
            KeyValue::new("listener", listener.label()),
        ];
        self.connections_refused.add(1, &labels);
    }

    /// Counts messages exchanged with other VMs and their size in bytes.
    pub fn count_peer_traffic(&self, direction: Direction, messages: u64, bytes: u64) {
        let labels = [KeyValue::new("direction", direction.label())];
        self.peer_messages.add(messages, &labels);
        self.peer_bytes.add(bytes, &labels);
    }

    /// Returns the counters for the status page.
    pub fn counters(&self) -> Counters {
        let [responded, not_run, unknown] = &self.totals.by_outcome;
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Counters {
            answered: read(responded),
            not_run: read(not_run),
            unknown: read(unknown),
            retries: read(&self.retry_count),
            forwards: read(&self.forward_count),
            inflight: read(&self.in_flight),
            queued: read(&self.queued),
        }
    }

    /// Returns all metrics in Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
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
        // Fails only if the reader has already been shut down.
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

fn service_label(service: &str) -> [KeyValue; 1] {
    [KeyValue::new("service", service.to_string())]
}

fn listener_label(listener: Listener) -> [KeyValue; 1] {
    [KeyValue::new("listener", listener.label())]
}
