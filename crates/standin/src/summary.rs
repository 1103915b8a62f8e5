//! Summary of the requests of a caller.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    record::Outcome,
    script::Script, //
};

/// Result of a request after its last attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestResult {
    /// Index of the service in the script.
    pub service: usize,
    /// Index of the key.
    pub key: Option<usize>,
    /// Scheduled start, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// End of the last attempt, in microseconds since the Unix epoch.
    pub end_us: u64,
    /// Outcome of the last attempt.
    pub outcome: Outcome,
    /// Number of attempts.
    pub attempts: u32,
}

/// Summary of a run. Latencies are those of `ok` requests, measured from their scheduled start
/// and including retries.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Number of requests.
    pub requests: u64,
    /// Number of retries.
    pub resent: u64,
    /// Requests that started more than 10 ms after their scheduled time because no thread was
    /// free. A high number means that the rate needs more threads.
    pub late_starts: u64,
    /// Number of requests by the outcome of the last attempt.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// Maximum latency in milliseconds.
    pub max_ms: f64,
    /// Summaries of the services.
    pub services: Vec<ServiceSummary>,
}

/// Summary of one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceSummary {
    /// Name of the service.
    pub service: Box<str>,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests with outcome `ok`.
    pub ok: u64,
    /// Longest time between two successive `ok` responses for one key.
    pub longest_gap: Gap,
    /// Longest such time during which a request for the key failed. Here the start and the end of
    /// the run count as responses, so that a key that never recovers is included.
    pub unavailable: Gap,
}

/// Time without an `ok` response.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Gap {
    /// Length in milliseconds.
    pub ms: f64,
    /// The key; `None` for a service without keys.
    pub key: Option<Box<str>>,
}

/// Summarises the results of the requests of `script`.
///
/// # Examples
///
/// ```
/// use camphordale_standin::{RequestResult, Outcome, Script, summarize};
///
/// let script: Script = serde_norway::from_str("services: [{name: cat, path: /cat}]")?;
/// let at = |ms: u64, outcome| RequestResult {
///     service: 0,
///     key: None,
///     start_us: ms * 1000,
///     end_us: (ms + 1) * 1000,
///     outcome,
///     attempts: 1,
/// };
/// let results = vec![at(0, Outcome::Ok), at(5, Outcome::NotRun), at(9, Outcome::Ok)];
/// let summary = summarize(&script, results);
/// assert_eq!(summary.services[0].unavailable.ms, 9.0);
/// # Ok::<(), serde_norway::Error>(())
/// ```
pub fn summarize(script: &Script, mut results: Vec<RequestResult>) -> Summary {
    results.sort_by_key(|request| request.end_us);
    let mut summary = Summary::default();
    let mut latencies = Vec::new();
    for request in &results {
        summary.requests += 1;
        summary.resent += u64::from(request.attempts.saturating_sub(1));
        *summary.outcomes.entry(request.outcome).or_default() += 1;
        if request.outcome == Outcome::Ok {
            latencies.push(request.end_us.saturating_sub(request.start_us));
        }
    }
    latencies.sort_unstable();
    summary.p50_ms = quantile(&latencies, 0.5);
    summary.p99_ms = quantile(&latencies, 0.99);
    summary.max_ms = quantile(&latencies, 1.0);
    let names = script.services.iter().map(|service| service.name.clone());
    summary.services = names
        .enumerate()
        .map(|(i, name)| service_summary(i, name, &results))
        .collect();
    summary
}

fn quantile(sorted: &[u64], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    let value = sorted.get(rank.saturating_sub(1));
    value.copied().unwrap_or(0) as f64 / 1e3
}

fn service_summary(service: usize, name: Box<str>, results: &[RequestResult]) -> ServiceSummary {
    let mut summary = ServiceSummary {
        service: name,
        requests: 0,
        ok: 0,
        longest_gap: Gap::default(),
        unavailable: Gap::default(),
    };
    let started_us = results.iter().map(|request| request.start_us).min();
    let ended_us = results.iter().map(|request| request.end_us).max();
    let (Some(started_us), Some(ended_us)) = (started_us, ended_us) else {
        return summary;
    };
    let mut keys: BTreeMap<Option<usize>, KeyState> = BTreeMap::new();
    for request in results.iter().filter(|request| request.service == service) {
        summary.requests += 1;
        let state = keys.entry(request.key).or_insert(KeyState {
            last_ok: started_us,
            answered: false,
            failed: false,
        });
        if request.outcome != Outcome::Ok {
            state.failed = true;
            continue;
        }
        summary.ok += 1;
        let gap = request.end_us - state.last_ok;
        if state.answered {
            summary.longest_gap.record_max(gap, request.key);
        }
        if state.failed {
            summary.unavailable.record_max(gap, request.key);
        }
        *state = KeyState {
            last_ok: request.end_us,
            answered: true,
            failed: false,
        };
    }
    for (key, state) in keys {
        if state.failed {
            summary
                .unavailable
                .record_max(ended_us - state.last_ok, key);
        }
    }
    summary
}

struct KeyState {
    last_ok: u64,
    answered: bool,
    failed: bool,
}

impl Gap {
    fn record_max(&mut self, us: u64, key: Option<usize>) {
        let ms = us as f64 / 1e3;
        if ms > self.ms {
            let key = key.map(|key| format!("key-{key}").into());
            *self = Gap { ms, key };
        }
    }
}
