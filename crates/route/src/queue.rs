//! Fair queue of one target: round robin over its shards, first in, first out within a shard.

use std::collections::VecDeque;

use camphordale_types::ShardIndex;

/// A shard: the index of its service in `Router::services` and its own index.
pub(crate) type ShardKey = (usize, ShardIndex);

/// The shards with queued requests for one target, in round-robin order.
#[derive(Debug, Default)]
pub(crate) struct RoundRobin {
    order: VecDeque<ShardKey>,
    queued: usize,
}

impl RoundRobin {
    /// Returns the number of queued requests.
    pub(crate) fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the number of shards with queued requests.
    pub(crate) fn shards(&self) -> usize {
        self.order.len()
    }

    /// Iterates over the shards with queued requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ShardKey> + '_ {
        self.order.iter().copied()
    }

    /// Counts one more request of `shard`, which had `before` queued.
    pub(crate) fn add(&mut self, shard: ShardKey, before: usize) {
        if before == 0 {
            self.order.push_back(shard);
        }
        self.queued += 1;
    }

    /// Counts one request less of `shard`, which has `after` left and keeps its place in the order.
    pub(crate) fn remove(&mut self, shard: ShardKey, after: usize) {
        self.queued -= 1;
        if after == 0 {
            self.order.retain(|s| *s != shard);
        }
    }

    /// Returns the shard that the next request is taken from.
    pub(crate) fn next(&self) -> Option<ShardKey> {
        self.order.front().copied()
    }

    /// Moves the first shard to the back after one of its requests was taken and `after` are left.
    pub(crate) fn advance(&mut self, after: usize) {
        self.queued -= 1;
        if let Some(shard) = self.order.pop_front()
            && after > 0
        {
            self.order.push_back(shard);
        }
    }
}
