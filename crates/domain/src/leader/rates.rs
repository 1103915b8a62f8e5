//! Request rates of shards, from the reports of their senders.

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

/// Time of reports that is needed before rates say something.
const WARM_UP: Duration = Duration::from_secs(3);

/// Requests per target that are needed before rates say something.
const ENOUGH: f64 = 20.0;

#[derive(Debug, Default)]
pub(super) struct Rates {
    services: BTreeMap<ServiceName, ServiceRates>,
}

#[derive(Debug)]
struct ServiceRates {
    since: Duration,
    /// Decayed number of requests, and the time it is valid for.
    counts: BTreeMap<ShardIndex, (f64, Duration)>,
    /// Rates used while there are too few requests to measure. Without them every quiet night
    /// would move shards.
    kept: BTreeMap<ShardIndex, f64>,
}

fn decayed((count, at): (f64, Duration), now: Duration) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    count * (-age / HALF_LIFE.as_secs_f64()).exp2()
}

impl Rates {
    pub(super) fn add(&mut self, service: &str, index: ShardIndex, count: u32, now: Duration) {
        if !self.services.contains_key(service) {
            let rates = ServiceRates {
                since: now,
                counts: BTreeMap::new(),
                kept: BTreeMap::new(),
            };
            self.services.insert(service.into(), rates);
        }
        if let Some(rates) = self.services.get_mut(service) {
            let entry = rates.counts.entry(index).or_insert((0.0, now));
            *entry = (decayed(*entry, now) + f64::from(count), now);
        }
    }

    /// Returns requests per second by shard; shards that are not listed have none. Empty when
    /// nothing was measured yet.
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
        if now >= rates.since + WARM_UP && total >= ENOUGH * targets as f64 {
            rates.kept = rates
                .counts
                .iter()
                .map(|(&index, &count)| (index, decayed(count, now) * per_second))
                .collect();
        }
        &rates.kept
    }
}
