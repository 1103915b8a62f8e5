//! Requests that other VMs handle.

use std::{collections::HashMap, time::Duration};

use camphordale_types::{DomainName, NotRun, RequestId, Unknown, VmId};

use crate::{
    Attempt, Effect, RemoteHome, Router, VmAddress,
    queue::ShardKey,
    request::{Lane, Stage},
};

/// Most times that a request is passed on.
const MAX_HOPS: u8 = 3;
/// Time for which a VM that could not be reached is avoided.
const AVOID: Duration = Duration::from_secs(1);
/// Pause before a request is forwarded again when nobody knew the sender.
const PAUSE: Duration = Duration::from_millis(20);
/// Most requests that are with one other VM at a time, so that one that does not answer cannot
/// collect all of them.
const MAX_FORWARDED: u32 = 4096;

/// The other VMs.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<VmId, Peer>,
    /// Entry VMs by domain.
    domains: HashMap<DomainName, Vec<VmId>>,
}

#[derive(Debug, Default)]
struct Peer {
    in_flight: u32,
    failed: Option<Duration>,
}

impl Peers {
    /// Takes the VMs of a directory.
    pub(crate) fn replace(&mut self, vms: &[VmAddress]) {
        self.domains.clear();
        for vm in vms.iter().filter(|vm| vm.entry) {
            let entries = self.domains.entry(vm.domain.clone()).or_default();
            entries.push(vm.vm);
        }
        self.peers
            .retain(|vm, peer| peer.in_flight > 0 || vms.iter().any(|v| v.vm == *vm));
    }

    fn is_avoided(&self, vm: VmId, now: Duration) -> bool {
        let failed = self.peers.get(&vm).and_then(|p| p.failed);
        failed.is_some_and(|at| now < at + AVOID)
    }

    fn peer(&mut self, vm: VmId) -> &mut Peer {
        self.peers.entry(vm).or_default()
    }
}

impl Router {
    /// Returns an entry VM of `domain` for a request of a shard: the one that handled the shard
    /// last, or else one of those that answered lately.
    pub(crate) fn entry_of(&mut self, domain: &str, key: Option<ShardKey>) -> Option<VmId> {
        let start = self.random() as usize;
        let hint = key.and_then(|(slot, index)| self.slots[slot].shard(index)?.hint);
        let entries = self.peers.domains.get(domain)?;
        if let Some(vm) = hint
            && entries.contains(&vm)
            && !self.peers.is_avoided(vm, self.now)
        {
            return Some(vm);
        }
        let own = self.config.vm;
        let nth = |i: usize| entries[(start % entries.len() + i) % entries.len()];
        let all = || (0..entries.len()).map(nth).filter(|vm| *vm != own);
        all()
            .find(|vm| !self.peers.is_avoided(*vm, self.now))
            .or_else(|| all().next())
    }

    /// Passes a request on to another VM.
    pub(crate) fn forward(&mut self, id: RequestId, vm: VmId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.hops >= MAX_HOPS {
            return self.refuse(id, NotRun::TooManyHops);
        }
        if self.now >= flight.start_by {
            return self.refuse(id, NotRun::Deadline);
        }
        let peer = self.peers.peer(vm);
        if peer.in_flight >= MAX_FORWARDED {
            return self.refuse(id, NotRun::QueueFull);
        }
        peer.in_flight += 1;
        flight.hops += 1;
        flight.attempts += 1;
        flight.stage = Stage::Forwarded(vm);
        self.counters.forwards += 1;
        self.out.push(Effect::Forward {
            id,
            vm,
            hops: flight.hops,
            deadline: flight.deadline,
        });
    }

    /// Answers a forwarded request that this VM does not send.
    pub(crate) fn redirect(&mut self, id: RequestId, vm: Option<VmId>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if let Some(unknown) = flight.taint {
            // The VM that forwarded it would not learn that it may have run here.
            return self.refuse_unknown(id, unknown);
        }
        if flight.hops >= MAX_HOPS {
            return self.refuse(id, NotRun::TooManyHops);
        }
        self.counters.redirected += 1;
        self.end(id);
        self.out.push(Effect::Redirect { id, vm });
    }

    /// Handles the end of a forward.
    pub(crate) fn forwarded(&mut self, id: RequestId, vm: VmId, attempt: Attempt) {
        let peer = self.peers.peer(vm);
        peer.in_flight = peer.in_flight.saturating_sub(1);
        let lost = matches!(
            attempt,
            Attempt::Unknown(Unknown::VmLost)
                | Attempt::NotRun(
                    NotRun::DomainUnreachable | NotRun::Connect | NotRun::ShuttingDown
                )
        );
        peer.failed = lost.then_some(self.now);
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.stage = Stage::New;
        let key = flight.shard.map(|index| (flight.slot, index));
        let hint = match &attempt {
            Attempt::Answered { .. } => Some(vm),
            Attempt::Redirect { vm } => *vm,
            Attempt::NotRun(_) | Attempt::Unknown(_) if lost => None,
            Attempt::NotRun(_) | Attempt::Unknown(_) => Some(vm),
        };
        if let Some((slot, index)) = key {
            self.slots[slot].shard_mut(index).hint = hint;
        }
        match attempt {
            Attempt::Answered { .. } => {
                self.counters.answered += 1;
                self.end(id);
            }
            Attempt::Redirect { vm: Some(next) } if next != self.config.vm => {
                if self.refresh(id) {
                    self.forward(id, next);
                }
            }
            // The other VM takes this one for the sender, whose own view decides.
            Attempt::Redirect { vm: Some(_) } => {
                if self.refresh(id) {
                    self.place(id);
                }
            }
            Attempt::Redirect { vm: None } => self.pause(id),
            Attempt::NotRun(reason) => {
                if !passes(reason) || !self.may_retry(id) {
                    return self.refuse(id, reason);
                }
                if lost && let Some(flight) = self.flights.get_mut(&id) {
                    // The limit on hops is against loops, and this one led nowhere.
                    flight.hops -= 1;
                }
                self.counters.retries += 1;
                if !self.refresh(id) {
                    return;
                }
                if lost { self.place(id) } else { self.pause(id) }
            }
            Attempt::Unknown(unknown) => {
                if let Some(flight) = self.flights.get_mut(&id) {
                    flight.taint = Some(unknown);
                }
                self.retry_unknown(id, unknown);
            }
        }
    }

    /// Lets a request wait for a moment before it is placed again.
    fn pause(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let until = (self.now + PAUSE).min(flight.start_by);
        if self.waiting >= self.config.waiting {
            return self.refuse(id, NotRun::QueueFull);
        }
        self.wait(id, Lane::Pause, until);
    }

    /// Takes a new directory.
    pub(crate) fn take_directory(&mut self, homes: Vec<RemoteHome>, vms: &[VmAddress]) {
        self.peers.replace(vms);
        for remote in homes {
            let slot = self.slot_of(&remote.service);
            self.slots[slot].homes = remote.domains;
        }
        self.replace_waiting();
    }
}

/// Tells whether a refusal of another VM can be due to that VM alone, or to a passing state.
fn passes(reason: NotRun) -> bool {
    matches!(
        reason,
        NotRun::DomainUnreachable
            | NotRun::Connect
            | NotRun::ShuttingDown
            | NotRun::NoBundle
            | NotRun::NoLease
            | NotRun::NoOwner
    )
}
