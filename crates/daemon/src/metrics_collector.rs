//! Copies counts of the edges and the state of the shards into the metrics once a second.

use std::{
    collections::BTreeMap,
    io,
    sync::{
        Arc,
        Weak, //
    },
    thread,
    time::Duration,
};

use camphordale_domain::Phase as ShardPhase;
use camphordale_net::{
    DatagramSocket,
    PeerClient,
    PeerServer, //
};
use camphordale_node::EntryNode;
use camphordale_types::{
    ServiceName,
    ShardIndex,
    TargetId, //
};

use crate::{
    data_plane::Plane,
    metrics::{
        Direction,
        Metrics,
        Phase, //
    },
    node_handle::NodeHandle,
};

/// Time between copies.
const EVERY: Duration = Duration::from_secs(1);

/// What is copied.
pub(crate) struct Pump {
    pub(crate) plane: Weak<Plane>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) server: Arc<PeerServer>,
    pub(crate) datagrams: Arc<DatagramSocket>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) node: NodeHandle,
}

/// The shards of one service that are homed here.
#[derive(Clone, Default)]
struct Shards {
    /// Number in each phase, in the order of [`PHASES`].
    phases: [u64; 4],
    /// Owner of each shard that has one.
    owners: BTreeMap<ShardIndex, TargetId>,
    /// Slots of each target that owns a shard.
    slots: BTreeMap<TargetId, u32>,
}

const PHASES: [Phase; 4] = [Phase::Free, Phase::Held, Phase::Releasing, Phase::Parked];

/// Messages and bytes, in and out.
#[derive(Clone, Copy, Default)]
struct Traffic {
    messages_in: u64,
    bytes_in: u64,
    messages_out: u64,
    bytes_out: u64,
}

impl Pump {
    /// Starts the thread. It ends with the data plane.
    ///
    /// # Errors
    ///
    /// The system may refuse the thread.
    pub(crate) fn start(self) -> io::Result<()> {
        thread::Builder::new()
            .name("metrics".into())
            .stack_size(128 * 1024)
            .spawn(move || self.run())?;
        Ok(())
    }

    fn run(&self) {
        let mut before = Traffic::default();
        let mut shards = BTreeMap::new();
        loop {
            thread::sleep(EVERY);
            let Some(plane) = self.plane.upgrade() else {
                return;
            };
            let status = plane.with_router(|router| router.status());
            self.metrics
                .set_load(status.queued as u64, plane.in_flight() as u64);
            plane.reap();
            let now = self.traffic();
            let (messages, bytes) = (
                now.messages_in - before.messages_in,
                now.bytes_in - before.bytes_in,
            );
            self.metrics.peer_traffic(Direction::In, messages, bytes);
            let (messages, bytes) = (
                now.messages_out - before.messages_out,
                now.bytes_out - before.bytes_out,
            );
            self.metrics.peer_traffic(Direction::Out, messages, bytes);
            before = now;
            if let Some(current) = self.node.inspect(|node, _| read_shards(node)) {
                self.record_shards(&shards, &current);
                shards = current;
            }
        }
    }

    /// Records phases, imbalance, moves and unavailable time. A shard that is without an owner at
    /// a look counts as unavailable since the look before.
    fn record_shards(
        &self,
        before: &BTreeMap<ServiceName, Shards>,
        current: &BTreeMap<ServiceName, Shards>,
    ) {
        for (service, shards) in current {
            for (phase, count) in PHASES.into_iter().zip(shards.phases) {
                self.metrics.set_shards(service, phase, count);
            }
            self.metrics.set_imbalance(service, shards.imbalance());
            let free = EVERY * u32::try_from(shards.phases[0]).unwrap_or(u32::MAX);
            self.metrics.unavailable(service, free);
            if let Some(old) = before.get(service) {
                let moved = shards.owners.iter().filter(|(index, owner)| {
                    old.owners.get(index).is_some_and(|before| before != *owner)
                });
                self.metrics.moved(service, moved.count() as u64);
            }
        }
        for service in before.keys().filter(|name| !current.contains_key(*name)) {
            for phase in PHASES {
                self.metrics.set_shards(service, phase, 0);
            }
        }
    }

    fn traffic(&self) -> Traffic {
        let client = self.peers.stats();
        let (server, datagrams) = (self.server.stats(), self.datagrams.stats());
        Traffic {
            messages_in: client.messages_in + server.messages_in + datagrams.messages_in,
            bytes_in: client.bytes_in + server.bytes_in + datagrams.bytes_in,
            messages_out: client.messages_out + server.messages_out + datagrams.messages_out,
            bytes_out: client.bytes_out + server.bytes_out + datagrams.bytes_out,
        }
    }
}

impl Shards {
    /// Returns the ratio of the highest to the mean number of shards for each slot.
    fn imbalance(&self) -> f64 {
        let slots: u32 = self.slots.values().sum();
        if slots == 0 {
            return 1.0;
        }
        let mean = self.owners.len() as f64 / f64::from(slots);
        let highest = self.slots.iter().map(|(target, &slots)| {
            let owned = self.owners.values().filter(|owner| *owner == target);
            owned.count() as f64 / f64::from(slots.max(1))
        });
        highest.fold(0.0, f64::max) / mean
    }
}

fn read_shards(node: &EntryNode) -> BTreeMap<ServiceName, Shards> {
    let mut services: BTreeMap<ServiceName, Shards> = BTreeMap::new();
    let Some(state) = node.domain_state() else {
        return services;
    };
    for name in state.homed_services() {
        let shards = services.entry(name.clone()).or_default();
        for (index, entry) in state.shards(name) {
            let position = match entry.phase {
                ShardPhase::Free => 0,
                ShardPhase::Held(_) => 1,
                ShardPhase::Releasing(_) => 2,
                ShardPhase::Parked => 3,
            };
            shards.phases[position] += 1;
            if let Some(owner) = entry.phase.owner() {
                shards.owners.insert(index, owner);
                let slots = state.target(owner).map_or(1, |t| t.info.spec.slots);
                shards.slots.insert(owner, slots);
            }
        }
    }
    services
}
