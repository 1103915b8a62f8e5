//! Counters and histograms in the Prometheus text format.

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{
        Counter,
        Gauge,
        Histogram,
        MeterProvider as _, //
    },
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{
    Encoder,
    Registry,
    TextEncoder, //
};

/// Bucket bounds of latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 10.0,
];

/// Metrics of a process.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    target_refusals: Counter<u64>,
    failures: Counter<u64>,
    queued: Histogram<f64>,
    served: Histogram<f64>,
    duration: Histogram<f64>,
    events: Counter<u64>,
    departures: Counter<u64>,
    long_turns: Counter<u64>,
    gauges: Gauge<u64>,
}

/// Metrics that cannot be set up or rendered.
#[derive(Debug, thiserror::Error)]
#[error("metrics: {0}")]
pub struct MetricsError(Box<str>);

impl Metrics {
    /// Creates the metrics with all values at zero.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if the exporter cannot be set up.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_reactor::Metrics;
    ///
    /// let metrics = Metrics::new().unwrap();
    /// metrics.count_refusal("full");
    /// assert!(metrics.render().unwrap().contains(r#"reason="full""#));
    /// ```
    pub fn new() -> Result<Metrics, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(|error| MetricsError(error.to_string().into()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("camphordale");
        let counter = |name: &'static str, help: &'static str| {
            meter.u64_counter(name).with_description(help).build()
        };
        let histogram = |name: &'static str, help: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(help)
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build()
        };
        Ok(Metrics {
            queued: histogram(
                "camphordale.request.queued",
                "Time from the end of a request until it is first sent, by service",
            ),
            served: histogram(
                "camphordale.request.served",
                "Time from the first sending of a request to its answer, by service",
            ),
            requests: counter(
                "camphordale.requests",
                "Requests answered, by service and status",
            ),
            refusals: counter(
                "camphordale.refusals",
                "Answers that this VM gave itself, by reason",
            ),
            retries: counter(
                "camphordale.repeats",
                "Requests sent to another target, by reason",
            ),
            target_refusals: counter(
                "camphordale.target.refusals",
                "Responses of targets whose status promises that the request was not executed, by status and whether they state it",
            ),
            failures: counter(
                "camphordale.exchange.failures",
                "Exchanges with targets that ended without a response, by cause",
            ),
            duration: histogram(
                "camphordale.request.duration",
                "Time from the end of a request to its answer, by service",
            ),
            events: counter("camphordale.events", "Changes of state, by kind"),
            departures: counter(
                "camphordale.departures",
                "Requests for plain services that were sent to another failure domain, by reason",
            ),
            long_turns: counter(
                "camphordale.long_turns",
                "Turns of the event loop of 40 ms or more, by the work that took most of it",
            ),
            gauges: meter
                .u64_gauge("camphordale.level")
                .with_description("Present numbers, by kind")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Records the response of a target. `queued` is the time until the request was first sent,
    /// `took` the total time.
    pub fn record_response(&self, service: &str, status: u16, queued: Duration, took: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        let status = KeyValue::new("status", i64::from(status));
        let timings = [
            (&self.queued, queued),
            (&self.served, took.saturating_sub(queued)),
            (&self.duration, took),
        ];
        for (histogram, time) in timings {
            histogram.record(time.as_secs_f64(), std::slice::from_ref(&service));
        }
        self.requests.add(1, &[service, status]);
    }

    /// Counts a request that this VM refused.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a response of a target whose status promises that the request was not executed.
    /// `stated` tells whether the response states this.
    pub fn count_target_refusal(&self, status: u16, stated: bool) {
        let labels = [
            KeyValue::new("status", i64::from(status)),
            KeyValue::new("stated", stated),
        ];
        self.target_refusals.add(1, &labels);
    }

    /// Counts a retry on another target.
    pub fn count_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an exchange with a target that ended without a response.
    pub fn count_failure(&self, cause: &'static str) {
        self.failures.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a state change.
    pub fn count_event(&self, kind: &'static str) {
        self.events.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Sets the fraction of the requests for a service that leaves the failure domain, in thousandths.
    /// `bodies` tells for which length of bodies.
    pub fn set_departure(&self, service: &str, bodies: &'static str, permille: u64) {
        let labels = [
            KeyValue::new("kind", "leaving-permille"),
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("bodies", bodies),
        ];
        self.gauges.record(permille, &labels);
    }

    /// Counts requests that were sent to another failure domain.
    pub fn count_departures(&self, reason: &'static str, count: u64) {
        if count > 0 {
            self.departures
                .add(count, &[KeyValue::new("reason", reason)]);
        }
    }

    /// Counts a long turn of the event loop.
    pub fn count_long_turn(&self, work: &'static str) {
        self.long_turns.add(1, &[KeyValue::new("work", work)]);
    }

    /// Sets the current value of a gauge.
    pub fn set_gauge(&self, kind: &'static str, value: u64) {
        self.gauges.record(value, &[KeyValue::new("kind", kind)]);
    }

    /// Renders the metrics in the text format.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if a metric cannot be encoded.
    pub fn render(&self) -> Result<String, MetricsError> {
        let mut out = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut out)
            .map_err(|error| MetricsError(error.to_string().into()))?;
        String::from_utf8(out).map_err(|error| MetricsError(error.to_string().into()))
    }
}
