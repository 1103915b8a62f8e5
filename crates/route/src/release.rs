//! Releases of shards, and the load report.

use std::time::Duration;

use camphordale_types::{ShardRef, Token};

use crate::{Effect, Router, queue::ShardKey};

/// Time between two reports of the same release.
const REPORT_EVERY: Duration = Duration::from_millis(200);
/// Time between two load reports.
const LOAD_EVERY: Duration = Duration::from_secs(1);

/// A release that this VM reports until the view changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Release {
    token: Token,
    /// When it is reported next; none while requests are in flight.
    next: Option<Duration>,
}

impl Router {
    /// Starts, continues or ends the release of a shard according to the view.
    pub(crate) fn review_release(&mut self, key: ShardKey) {
        let Some(shard) = self.slots[key.0].shard(key.1) else {
            return;
        };
        let (token, written) = (shard.token, shard.written);
        let target = shard.owner.and_then(|id| self.targets.get(&id));
        let own = target.is_some_and(|t| t.sender == Some(self.config.vm));
        let lost = target.is_none_or(|t| t.is_lost());
        let leaves = shard.present && shard.owner.is_some() && (shard.releasing || lost);
        let before = self.releases.get(&key).copied();
        // Only the sender reports. A former one cannot speak for what its successor sent; the
        // successor allows for the requests of the former one.
        if !leaves || !own {
            self.releases.remove(&key);
            return;
        }
        if before.is_some_and(|r| r.token == token && r.next.is_some()) {
            return;
        }
        let drained = written == 0 || lost;
        let release = Release { token, next: None };
        self.releases.insert(key, release);
        if drained {
            self.report_release(key);
        }
    }

    /// Reports a release.
    fn report_release(&mut self, key: ShardKey) {
        let clear = self.clear(key);
        if let Some(release) = self.releases.get_mut(&key) {
            release.next = Some(self.now + REPORT_EVERY);
            self.out.push(Effect::Released {
                shard: ShardRef::new(&self.slots[key.0].name, key.1),
                token: release.token,
                clear,
            });
        }
    }

    /// Returns the time for which requests of a shard may still run at its owner.
    ///
    /// Requests that ended without a known outcome count until their deadline. So do requests
    /// of a former sender or an earlier run of this process, which this VM does not know, if
    /// the shard was assigned before this VM became the sender.
    fn clear(&self, key: ShardKey) -> Duration {
        let slot = &self.slots[key.0];
        let Some(shard) = slot.shard(key.1) else {
            return Duration::ZERO;
        };
        let former = shard
            .owner
            .and_then(|id| self.targets.get(&id))
            .filter(|t| t.inherited || shard.token < t.token)
            .zip(slot.service.as_ref())
            .map_or(Duration::ZERO, |(t, service)| {
                t.took.saturating_add(service.deadline)
            });
        let written = if shard.written > 0 {
            shard.latest
        } else {
            Duration::ZERO
        };
        shard.risk.max(former).max(written).saturating_sub(self.now)
    }

    /// Repeats due reports of releases.
    pub(crate) fn repeat_releases(&mut self) {
        let due: Vec<_> = self
            .releases
            .iter()
            .filter(|(_, r)| r.next.is_some_and(|at| at <= self.now))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.report_release(key);
        }
    }

    /// Reports requests per shard once a second.
    pub(crate) fn report_load(&mut self) {
        if self.now < self.load_due {
            return;
        }
        self.load_due = self.now + LOAD_EVERY;
        if self.loaded.is_empty() {
            return;
        }
        let mut shards = Vec::with_capacity(self.loaded.len());
        for (slot, index) in std::mem::take(&mut self.loaded) {
            let slot = &mut self.slots[slot];
            let load = std::mem::take(&mut slot.shard_mut(index).load);
            shards.push((slot.name.clone(), index, load));
        }
        self.out.push(Effect::Load { shards });
    }
}
