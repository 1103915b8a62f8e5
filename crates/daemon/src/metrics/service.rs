//! Metrics of one service, with their labels made once.

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

use super::Ending;

/// Totals over all services, for the status page.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    /// Requests by the position of their outcome.
    pub(crate) endings: [AtomicU64; 3],
}

/// Records the requests of one service.
///
/// It is kept by the caller while the service is in the bundle, so that the request path makes no
/// labels.
#[derive(Clone, Debug)]
pub struct ServiceMetrics {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    duration: Histogram<f64>,
    by_ending: Arc<[[KeyValue; 2]; 3]>,
    by_service: Arc<[KeyValue; 1]>,
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
            // The order of the keys is that of their names, so the SDK finds them without sorting.
            [KeyValue::new("outcome", outcome), service.clone()]
        });
        ServiceMetrics {
            requests,
            refusals,
            duration,
            by_ending: Arc::new(labels),
            by_service: Arc::new([service]),
            totals,
        }
    }

    /// Records the end of a request that took `time` from the end of its header to the end of its
    /// answer.
    pub fn ended(&self, ending: Ending, time: Duration) {
        let index = ending.index();
        self.requests.add(1, &self.by_ending[index]);
        self.totals.endings[index].fetch_add(1, Ordering::Relaxed);
        self.duration.record(time.as_secs_f64(), &*self.by_service);
        if let Ending::Refused(refusal) = ending {
            self.refusals
                .add(1, &[KeyValue::new("reason", refusal.code())]);
        }
    }
}
