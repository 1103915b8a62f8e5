//! Request rates of shards, from the load reports of their senders.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_types::{
    ServiceName,
    ShardIndex, //
};

/// Time in which the weight of a request halves.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Minimum time of measurement before rates are meaningful.
const MIN_MEASURE_TIME: Duration = Duration::from_secs(3);

/// Minimum number of requests per target before rates are meaningful.
const MIN_REQUESTS_PER_TARGET: f64 = 20.0;

#[derive(Debug, Default)]
pub(super) struct Rates {
    services: BTreeMap<ServiceName, ServiceRates>,
}

#[derive(Debug)]
struct ServiceRates {
    measured_since: Duration,
    /// Decayed number of requests, and the time that it refers to.
    counts: BTreeMap<ShardIndex, (f64, Duration)>,
    /// Last measured rates, used while there are too few requests for a measurement. Without them
    /// every period of low load would move shards.
    last_rates: BTreeMap<ShardIndex, f64>,
}

fn decayed((count, at): (f64, Duration), now: Duration) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    count * (-age / HALF_LIFE.as_secs_f64()).exp2()
}

impl Rates {
    pub(super) fn add(&mut self, service: &str, index: ShardIndex, count: u32, now: Duration) {
        if !self.services.contains_key(service) {
            let rates = ServiceRates {
                measured_since: now,
                counts: BTreeMap::new(),
                last_rates: BTreeMap::new(),
            };
            self.services.insert(service.into(), rates);
        }
        if let Some(rates) = self.services.get_mut(service) {
            let entry = rates.counts.entry(index).or_insert((0.0, now));
            *entry = (decayed(*entry, now) + f64::from(count), now);
        }
    }

    /// Returns the requests per second by shard; shards that are missing have none. Empty before
    /// the first measurement.
    pub(super) fn measure(
        &mut self,
        service: &str,
        targets: usize,
        now: Duration,
    ) -> &BTreeMap<ShardIndex, f64> {
        static NONE: BTreeMap<ShardIndex, f64> = BTreeMap::new();
        let Some(rates) = self.services.get_mut(service) else {
            return &NONE;
        };
        let per_second = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        let total: f64 = rates.counts.values().map(|&c| decayed(c, now)).sum();
        if now >= rates.measured_since + MIN_MEASURE_TIME
            && total >= MIN_REQUESTS_PER_TARGET * targets as f64
        {
            rates.last_rates = rates
                .counts
                .iter()
                .map(|(&index, &count)| (index, decayed(count, now) * per_second))
                .collect();
        }
        &rates.last_rates
    }
}
