//! Reports to the domain leader: releases of shards, and load per shard.

use std::time::Duration;

use camphordale_types::{ShardRef, Token};

use crate::{Effect, Router, queue::ShardKey};

/// Interval of reports of one release.
const RELEASE_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of load reports.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A release of a shard that this VM reports until the view changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Release {
    token: Token,
    /// Time of the next report; `None` while requests are in flight.
    next_report: Option<Duration>,
}

impl Router {
    /// Starts, continues or ends the release of a shard according to the view.
    pub(crate) fn update_release(&mut self, key: ShardKey) {
        let Some(shard) = self.services[key.0].shard(key.1) else {
            return;
        };
        let (token, written) = (shard.token, shard.written);
        let target = shard.owner.and_then(|id| self.targets.get(&id));
        let is_sender = target.is_some_and(|t| t.sender == Some(self.config.vm));
        let lost = target.is_none_or(|t| t.is_lost());
        let is_releasing = shard.homed_here && shard.owner.is_some() && (shard.releasing || lost);
        let before = self.releases.get(&key).copied();
        // Only the current sender reports: a former one does not know what its successor sent, and
        // the successor allows for requests of the former one in `drain_time`.
        if !is_releasing || !is_sender {
            self.releases.remove(&key);
            return;
        }
        if before.is_some_and(|r| r.token == token && r.next_report.is_some()) {
            return;
        }
        let drained = written == 0 || lost;
        let release = Release {
            token,
            next_report: None,
        };
        self.releases.insert(key, release);
        if drained {
            self.report_release(key);
        }
    }

    /// Reports a release.
    fn report_release(&mut self, key: ShardKey) {
        let drain_time = self.drain_time(key);
        if let Some(release) = self.releases.get_mut(&key) {
            release.next_report = Some(self.now + RELEASE_REPORT_INTERVAL);
            self.effects.push(Effect::ReportRelease {
                shard: ShardRef::new(&self.services[key.0].name, key.1),
                token: release.token,
                drain_time,
            });
        }
    }

    /// Returns the time for which requests of a shard may still run at its owner.
    ///
    /// Requests that ended with an unknown outcome count until their deadline. If the shard was
    /// assigned before this VM became the sender, a former sender or an earlier incarnation of this
    /// process may have sent requests that this VM does not know, so one service deadline from the
    /// change of the sender is allowed for them.
    fn drain_time(&self, key: ShardKey) -> Duration {
        let state = &self.services[key.0];
        let Some(shard) = state.shard(key.1) else {
            return Duration::ZERO;
        };
        let former = shard
            .owner
            .and_then(|id| self.targets.get(&id))
            .filter(|t| t.first_sender || shard.token < t.token)
            .zip(state.service.as_ref())
            .map_or(Duration::ZERO, |(t, service)| {
                t.sender_since.saturating_add(service.deadline)
            });
        let written = if shard.written > 0 {
            shard.latest_deadline
        } else {
            Duration::ZERO
        };
        shard
            .unknown_until
            .max(former)
            .max(written)
            .saturating_sub(self.now)
    }

    /// Sends the reports of releases that are due.
    pub(crate) fn report_due_releases(&mut self) {
        let due: Vec<_> = self
            .releases
            .iter()
            .filter(|(_, r)| r.next_report.is_some_and(|at| at <= self.now))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.report_release(key);
        }
    }

    /// Reports the number of requests per shard if a report is due.
    pub(crate) fn report_load(&mut self) {
        if self.now < self.report_due {
            return;
        }
        self.report_due = self.now + LOAD_REPORT_INTERVAL;
        if self.loaded_shards.is_empty() {
            return;
        }
        let mut shards = Vec::with_capacity(self.loaded_shards.len());
        for (service_index, index) in std::mem::take(&mut self.loaded_shards) {
            let state = &mut self.services[service_index];
            let load = std::mem::take(&mut state.shard_mut(index).load);
            shards.push((state.name.clone(), index, load));
        }
        self.effects.push(Effect::ReportLoad { shards });
    }
}
