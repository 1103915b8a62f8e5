//! Queue of one target: first in, first out within a shard, round robin over shards.

use std::collections::VecDeque;

use camphordale_types::ShardIndex;

/// A shard by the position of its service in the router and its index.
pub(crate) type ShardKey = (usize, ShardIndex);

/// Shards with waiting requests for one target, in the order of their turns.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    ring: VecDeque<ShardKey>,
    waiting: usize,
}

impl Turns {
    /// Number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of shards that have a turn.
    pub(crate) fn shards(&self) -> usize {
        self.ring.len()
    }

    /// Iterates over the shards that have a turn.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ShardKey> + '_ {
        self.ring.iter().copied()
    }

    /// Counts one more request of `shard`, which had `before` waiting.
    pub(crate) fn add(&mut self, shard: ShardKey, before: usize) {
        if before == 0 {
            self.ring.push_back(shard);
        }
        self.waiting += 1;
    }

    /// Counts one request less of `shard`, which has `after` left, outside its turn.
    pub(crate) fn remove(&mut self, shard: ShardKey, after: usize) {
        self.waiting -= 1;
        if after == 0 {
            self.ring.retain(|s| *s != shard);
        }
    }

    /// Returns the shard whose turn it is.
    pub(crate) fn next(&self) -> Option<ShardKey> {
        self.ring.front().copied()
    }

    /// Ends the turn of the first shard, which gave up one request and has `after` left.
    pub(crate) fn served(&mut self, after: usize) {
        self.waiting -= 1;
        if let Some(shard) = self.ring.pop_front()
            && after > 0
        {
            self.ring.push_back(shard);
        }
    }
}
