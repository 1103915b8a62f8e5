//! State of a service: its shards, their home domains and its unkeyed queues.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use camphordale_types::{
    DomainName, RequestId, Service, ServiceName, ShardIndex, Side, TargetId, Token, VmId,
};

use crate::retry::RetryBudget;

/// A service that the router has ever known. It keeps its index for the life of the router.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) name: ServiceName,
    /// The service as configured; `None` if the bundle in force does not have it.
    pub(crate) service: Option<Arc<Service>>,
    /// The shards, by index.
    pub(crate) shards: Vec<Shard>,
    /// The home domains of the shards, by index.
    pub(crate) homes: Vec<Option<DomainName>>,
    /// Targets and queues of the old and the new side, for an unkeyed service.
    pub(crate) pools: [Pool; 2],
    pub(crate) retry_budget: RetryBudget,
}

/// State of a shard on this VM.
#[derive(Debug, Default)]
pub(crate) struct Shard {
    /// Whether the view lists the shard as homed in this domain.
    pub(crate) homed_here: bool,
    pub(crate) owner: Option<TargetId>,
    pub(crate) releasing: bool,
    pub(crate) token: Token,
    pub(crate) queue: VecDeque<RequestId>,
    /// The target whose round robin the queue is part of.
    pub(crate) queue_target: Option<TargetId>,
    /// Number of requests that may have been written and have not ended.
    pub(crate) written: u32,
    /// Latest deadline of the written requests.
    pub(crate) latest_deadline: Duration,
    /// Latest deadline of requests that ended with an unknown outcome and may still run.
    pub(crate) unknown_until: Duration,
    /// The VM that handled the last forwarded request of the shard.
    pub(crate) last_vm: Option<VmId>,
    /// Number of requests since the last load report.
    pub(crate) load: u32,
}

/// One side of an unkeyed service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Serving targets.
    pub(crate) members: Vec<TargetId>,
    pub(crate) queue: VecDeque<RequestId>,
    /// Upper bound of requests in the queue.
    pub(crate) max_queued: usize,
    /// Upper bound of requests that this VM may have in flight, over all members.
    pub(crate) slot_share: u32,
    /// The VM with the largest share of slots, if this one has none.
    pub(crate) delegate: Option<VmId>,
}

impl ServiceState {
    /// Creates the state of the service `name`, without a configuration or shards.
    pub(crate) fn new(name: &str, now: Duration) -> Self {
        ServiceState {
            name: name.into(),
            service: None,
            shards: Vec::new(),
            homes: Vec::new(),
            pools: Default::default(),
            retry_budget: RetryBudget::new(now),
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
