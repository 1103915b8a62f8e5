//! State of a target on this VM.

use std::{collections::BTreeSet, time::Duration};

use camphordale_domain::TargetView;
use camphordale_types::{RequestId, Service, ShardIndex, TargetInfo, TargetState, Token, VmId};

use camphordale_placement::divide_slots;

use crate::{health::Health, queue::RoundRobin};

/// A target of this VM's domain.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) info: TargetInfo,
    pub(crate) sender: Option<VmId>,
    pub(crate) token: Token,
    /// Index of the service in `Router::services`.
    pub(crate) service_index: usize,
    /// Upper bound of requests that this VM may have in flight at the target.
    pub(crate) limit: u32,
    /// Upper bound of connections of this VM to the target.
    pub(crate) connections: u32,
    /// Time at which this VM became the sender, or learned that it is.
    pub(crate) sender_since: Duration,
    /// Whether the target was in the first view already, so that an earlier incarnation of this
    /// process may have sent to it.
    pub(crate) first_sender: bool,
    /// Requests in flight at the target, and whether they may have been written.
    pub(crate) in_flight: Vec<(RequestId, bool)>,
    /// Number of requests whose idempotency record is being written.
    pub(crate) recording: u32,
    pub(crate) round_robin: RoundRobin,
    /// The shards that the target owns.
    pub(crate) shards: BTreeSet<ShardIndex>,
    pub(crate) health: Health,
}

impl Target {
    /// Creates the state of a target that a view lists for the first time.
    pub(crate) fn new(view: TargetView, service_index: usize, now: Duration, joined: bool) -> Self {
        Target {
            info: view.info,
            sender: view.sender,
            first_sender: !joined,
            token: view.token,
            service_index,
            limit: 0,
            connections: 0,
            sender_since: now,
            in_flight: Vec::new(),
            recording: 0,
            round_robin: RoundRobin::default(),
            shards: BTreeSet::new(),
            health: Health::new(joined.then_some(now)),
        }
    }

    /// Returns whether the lease of the target has expired.
    pub(crate) fn is_lost(&self) -> bool {
        self.info.state == TargetState::Lost
    }

    /// Returns the number of requests that may have been written and have not ended.
    pub(crate) fn written(&self) -> u32 {
        self.in_flight
            .iter()
            .filter(|(_, written)| *written)
            .count() as u32
    }

    /// Returns whether one more request may be sent.
    pub(crate) fn has_free_slot(&self) -> bool {
        (self.in_flight.len() as u32) < self.limit
    }

    /// Updates the number of slots and connections that this VM may use.
    pub(crate) fn update_limits(&mut self, service: Option<&Service>, vm: VmId, vms: &[VmId]) {
        let (limit, connections) = match service {
            None => (0, 0),
            Some(service) => {
                let slots = service.slots.min(self.info.spec.slots);
                let total = service.connections;
                if service.is_keyed() {
                    let sole = self.sender == Some(vm) && !self.is_lost();
                    if sole { (slots, total) } else { (0, 0) }
                } else if self.info.state == TargetState::Serving {
                    let own = vms.iter().position(|v| *v == vm);
                    let part = |whole| {
                        own.and_then(|i| divide_slots(whole, vms, self.info.id).get(i).copied())
                            .unwrap_or(0)
                    };
                    (part(slots), part(total))
                } else {
                    (0, 0)
                }
            }
        };
        self.limit = limit.min(connections);
        self.connections = connections;
    }
}
