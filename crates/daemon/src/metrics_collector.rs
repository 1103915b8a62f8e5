//! Collects metrics once a second: requests in flight, traffic between VMs and the state of the
//! shards.

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
    data_plane::DataPlane,
    metrics::{
        Direction,
        Metrics,
        Phase, //
    },
    node_handle::NodeHandle,
};

const COLLECT_INTERVAL: Duration = Duration::from_secs(1);

/// The collector and the sources of its metrics.
pub(crate) struct MetricsCollector {
    pub(crate) data_plane: Weak<DataPlane>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) peer_server: Arc<PeerServer>,
    pub(crate) datagrams: Arc<DatagramSocket>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) node: NodeHandle,
}

/// The shards of one service whose home is this VM's domain.
#[derive(Clone, Default)]
struct ServiceShards {
    /// Number of shards in each phase, in the order of [`PHASES`].
    phases: [u64; 4],
    /// Owner of each shard that has one.
    owners: BTreeMap<ShardIndex, TargetId>,
    /// Slots of each target that owns a shard.
    slots: BTreeMap<TargetId, u32>,
}

const PHASES: [Phase; 4] = [Phase::Free, Phase::Held, Phase::Releasing, Phase::Parked];

/// Messages and bytes exchanged with other VMs since the start.
#[derive(Clone, Copy, Default)]
struct PeerTraffic {
    messages_in: u64,
    bytes_in: u64,
    messages_out: u64,
    bytes_out: u64,
}

impl MetricsCollector {
    /// Starts the thread. It stops when the data plane is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub(crate) fn start(self) -> io::Result<()> {
        thread::Builder::new()
            .name("metrics".into())
            .stack_size(128 * 1024)
            .spawn(move || self.run())?;
        Ok(())
    }

    fn run(&self) {
        let mut before = PeerTraffic::default();
        let mut shards = BTreeMap::new();
        loop {
            thread::sleep(COLLECT_INTERVAL);
            let Some(data_plane) = self.data_plane.upgrade() else {
                return;
            };
            let status = data_plane.with_router(|router| router.status());
            self.metrics
                .set_load(status.queued as u64, data_plane.in_flight() as u64);
            data_plane.close_expired_connections();
            let now = self.traffic();
            let (messages, bytes) = (
                now.messages_in - before.messages_in,
                now.bytes_in - before.bytes_in,
            );
            self.metrics
                .count_peer_traffic(Direction::In, messages, bytes);
            let (messages, bytes) = (
                now.messages_out - before.messages_out,
                now.bytes_out - before.bytes_out,
            );
            self.metrics
                .count_peer_traffic(Direction::Out, messages, bytes);
            before = now;
            if let Some(current) = self.node.inspect(|node, _| read_shards(node)) {
                self.record_shards(&shards, &current);
                shards = current;
            }
        }
    }

    /// Records phases, imbalance, moves and unavailable time of the shards. A shard that has no
    /// owner in this sample counts as unavailable since the sample before.
    fn record_shards(
        &self,
        before: &BTreeMap<ServiceName, ServiceShards>,
        current: &BTreeMap<ServiceName, ServiceShards>,
    ) {
        for (service, shards) in current {
            for (phase, count) in PHASES.into_iter().zip(shards.phases) {
                self.metrics.set_shards(service, phase, count);
            }
            self.metrics.set_imbalance(service, shards.imbalance());
            let unavailable =
                COLLECT_INTERVAL * u32::try_from(shards.phases[0]).unwrap_or(u32::MAX);
            self.metrics.add_unavailable_time(service, unavailable);
            if let Some(old) = before.get(service) {
                let moved = shards.owners.iter().filter(|(index, owner)| {
                    old.owners.get(index).is_some_and(|before| before != *owner)
                });
                self.metrics.count_moves(service, moved.count() as u64);
            }
        }
        for service in before.keys().filter(|name| !current.contains_key(*name)) {
            for phase in PHASES {
                self.metrics.set_shards(service, phase, 0);
            }
        }
    }

    fn traffic(&self) -> PeerTraffic {
        let client = self.peers.stats();
        let (server, datagrams) = (self.peer_server.stats(), self.datagrams.stats());
        PeerTraffic {
            messages_in: client.messages_in + server.messages_in + datagrams.messages_in,
            bytes_in: client.bytes_in + server.bytes_in + datagrams.bytes_in,
            messages_out: client.messages_out + server.messages_out + datagrams.messages_out,
            bytes_out: client.bytes_out + server.bytes_out + datagrams.bytes_out,
        }
    }
}

impl ServiceShards {
    /// Returns the highest number of shards per slot of a target, divided by the mean.
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

fn read_shards(node: &EntryNode) -> BTreeMap<ServiceName, ServiceShards> {
    let mut services: BTreeMap<ServiceName, ServiceShards> = BTreeMap::new();
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
