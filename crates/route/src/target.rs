//! A target as this VM uses it.

use std::{collections::BTreeSet, time::Duration};

use camphordale_domain::TargetView;
use camphordale_types::{RequestId, Service, ShardIndex, TargetInfo, TargetState, Token, VmId};

use camphordale_placement::shares;

use crate::{health::Health, queue::Turns};

/// A target of this VM's domain.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) info: TargetInfo,
    pub(crate) sender: Option<VmId>,
    pub(crate) token: Token,
    /// Position of its service in the router.
    pub(crate) slot: usize,
    /// Requests that this VM may have in flight there.
    pub(crate) limit: u32,
    /// Connections that this VM may have to it.
    pub(crate) connections: u32,
    /// When this VM became its sender, or learnt that it is.
    pub(crate) took: Duration,
    /// Whether this VM was its sender already in the first view, so that an earlier run of the
    /// process may have sent to it.
    pub(crate) inherited: bool,
    /// Requests in flight there, and whether they may have been written.
    pub(crate) flying: Vec<(RequestId, bool)>,
    /// Requests whose idempotency record is being written.
    pub(crate) recording: u32,
    pub(crate) turns: Turns,
    /// The shards it owns.
    pub(crate) shards: BTreeSet<ShardIndex>,
    pub(crate) health: Health,
}

impl Target {
    /// Returns a target as a view shows it first.
    pub(crate) fn new(view: TargetView, slot: usize, now: Duration, joined: bool) -> Self {
        Target {
            info: view.info,
            sender: view.sender,
            inherited: !joined,
            token: view.token,
            slot,
            limit: 0,
            connections: 0,
            took: now,
            flying: Vec::new(),
            recording: 0,
            turns: Turns::default(),
            shards: BTreeSet::new(),
            health: Health::new(joined.then_some(now)),
        }
    }

    /// Tells whether it has been lost.
    pub(crate) fn is_lost(&self) -> bool {
        self.info.state == TargetState::Lost
    }

    /// Number of requests that may have been written to it and have not ended.
    pub(crate) fn written(&self) -> u32 {
        self.flying.iter().filter(|(_, written)| *written).count() as u32
    }

    /// Tells whether one more request may be sent.
    pub(crate) fn has_room(&self) -> bool {
        (self.flying.len() as u32) < self.limit
    }

    /// Computes what this VM may use of it.
    pub(crate) fn resize(&mut self, service: Option<&Service>, vm: VmId, vms: &[VmId]) {
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
                        own.and_then(|i| shares(whole, vms, self.info.id).get(i).copied())
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
