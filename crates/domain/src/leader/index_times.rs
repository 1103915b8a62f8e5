//! Times at which log indexes were reached, from which the age of records and homes is derived.

use std::time::Duration;

/// Minimum time between two samples.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of samples; when it is exceeded, every second one is removed.
const MAX_SAMPLES: usize = 1024;

#[derive(Debug, Default)]
pub(super) struct IndexTimes {
    /// Time and log index, in order.
    samples: Vec<(Duration, u64)>,
}

impl IndexTimes {
    pub(super) fn add(&mut self, now: Duration, index: u64) {
        if self
            .samples
            .last()
            .is_some_and(|&(at, _)| now < at + MIN_INTERVAL)
        {
            return;
        }
        self.samples.push((now, index));
        if self.samples.len() > MAX_SAMPLES {
            let mut odd = false;
            self.samples.retain(|_| {
                odd = !odd;
                odd
            });
        }
    }

    /// Returns the latest sampled index that was reached at least `age` ago.
    pub(super) fn index_at_age(&self, age: Duration, now: Duration) -> Option<u64> {
        let old = |&(at, _): &(Duration, u64)| at + age <= now;
        let count = self.samples.partition_point(old);
        self.samples.get(count.checked_sub(1)?).map(|&(_, i)| i)
    }
}
