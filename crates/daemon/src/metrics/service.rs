//! Metrics of one service, with labels that are created only once.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};

use super::RequestOutcome;

/// Totals over all services, for the status page.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    /// Number of requests by [`RequestOutcome::index`].
    pub(crate) by_outcome: [AtomicU64; 3],
}

/// Records the requests of one service.
///
/// The data plane keeps it while the service is in the bundle, so that no labels are created for
/// each request.
#[derive(Clone, Debug)]
pub struct ServiceMetrics {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    duration: Histogram<f64>,
    outcome_labels: Arc<[[KeyValue; 2]; 3]>,
    service_label: Arc<[KeyValue; 1]>,
    totals: Arc<Totals>,
}

impl ServiceMetrics {
    pub(crate) fn new(
        name: &str,
        requests: Counter<u64>,
        refusals: Counter<u64>,
        duration: Histogram<f64>,
        totals: Arc<Totals>,
    ) -> Self {
        let service = KeyValue::new("service", name.to_string());
        let labels = ["answered", "not-run", "unknown"].map(|outcome| {
            // Sorted by key, so that the SDK does not have to sort them.
            [KeyValue::new("outcome", outcome), service.clone()]
        });
        ServiceMetrics {
            requests,
            refusals,
            duration,
            outcome_labels: Arc::new(labels),
            service_label: Arc::new([service]),
            totals,
        }
    }

    /// Records a request that ended `duration` after the end of its header.
    pub fn record(&self, outcome: RequestOutcome, duration: Duration) {
        let index = outcome.index();
        self.requests.add(1, &self.outcome_labels[index]);
        self.totals.by_outcome[index].fetch_add(1, Ordering::Relaxed);
        self.duration
            .record(duration.as_secs_f64(), &*self.service_label);
        if let RequestOutcome::Refused(refusal) = outcome {
            self.refusals
                .add(1, &[KeyValue::new("reason", refusal.code())]);
        }
    }
}
