//! What the router keeps for each service: its shards, their homes and its unkeyed queues.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use camphordale_types::{
    DomainName, RequestId, Service, ServiceName, ShardIndex, Side, TargetId, Token, VmId,
};

use crate::retry::RetryBudget;

/// A service, in force or not. It keeps its position for the life of the router.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) name: ServiceName,
    /// The service in the bundle in force; none if the bundle lacks it.
    pub(crate) service: Option<Arc<Service>>,
    /// Its shards, by index.
    pub(crate) shards: Vec<Shard>,
    /// The homes of its shards, by index.
    pub(crate) homes: Vec<Option<DomainName>>,
    /// Targets and queues of the old and the new side, for a service without keys.
    pub(crate) pools: [Pool; 2],
    pub(crate) retries: RetryBudget,
}

/// A shard as this VM knows it.
#[derive(Debug, Default)]
pub(crate) struct Shard {
    /// Whether the view lists it as homed here.
    pub(crate) present: bool,
    pub(crate) owner: Option<TargetId>,
    pub(crate) releasing: bool,
    pub(crate) token: Token,
    pub(crate) queue: VecDeque<RequestId>,
    /// The target whose turns include the queue.
    pub(crate) lane: Option<TargetId>,
    /// Requests that may have been written and have not ended.
    pub(crate) written: u32,
    /// Latest deadline of requests that were written.
    pub(crate) latest: Duration,
    /// Latest deadline of requests that ended without a known outcome and may still run.
    pub(crate) risk: Duration,
    /// VM that handled the shard's last forwarded request.
    pub(crate) hint: Option<VmId>,
    /// Requests since the last load report.
    pub(crate) load: u32,
}

/// One side of a service without keys.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Serving targets.
    pub(crate) members: Vec<TargetId>,
    pub(crate) queue: VecDeque<RequestId>,
    /// Most requests that wait here.
    pub(crate) bound: usize,
    /// Requests that this VM may have in flight at all members together.
    pub(crate) share: u32,
    /// The VM with the largest share, if this one has none.
    pub(crate) delegate: Option<VmId>,
}

impl Slot {
    /// Returns the slot of a service called `name`.
    pub(crate) fn new(name: &str, now: Duration) -> Self {
        Slot {
            name: name.into(),
            service: None,
            shards: Vec::new(),
            homes: Vec::new(),
            pools: Default::default(),
            retries: RetryBudget::new(now),
        }
    }

    /// Returns the shard at `index`, which is created if needed.
    pub(crate) fn shard_mut(&mut self, index: ShardIndex) -> &mut Shard {
        let at = index as usize;
        if at >= self.shards.len() {
            self.shards.resize_with(at + 1, Shard::default);
        }
        &mut self.shards[at]
    }

    /// Returns the shard at `index` if it is known.
    pub(crate) fn shard(&self, index: ShardIndex) -> Option<&Shard> {
        self.shards.get(index as usize)
    }

    /// Returns the home domain of the shard at `index`.
    pub(crate) fn home(&self, index: ShardIndex) -> Option<&DomainName> {
        self.homes.get(index as usize)?.as_ref()
    }

    /// Returns the pool of `side`.
    pub(crate) fn pool_mut(&mut self, side: Side) -> &mut Pool {
        &mut self.pools[side as usize]
    }

    /// Returns the pool of `side`.
    pub(crate) fn pool(&self, side: Side) -> &Pool {
        &self.pools[side as usize]
    }
}
