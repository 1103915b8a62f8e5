//! Forwarding of requests to other VMs.

use std::{collections::HashMap, time::Duration};

use camphordale_types::{DomainName, NotRun, RequestId, Unknown, VmId};

use crate::{
    AttemptResult, Effect, Router, ShardHomes, VmLocation,
    queue::ShardKey,
    request::{QueueKind, Stage},
};

/// Upper bound of forwards of one request.
pub(crate) const MAX_HOPS: u8 = 3;
/// Time for which a VM that could not be reached is not preferred.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(1);
/// Delay before a request is routed again when the other VM did not know the sender.
const FORWARD_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Upper bound of requests forwarded to one VM at a time, so that an unresponsive VM cannot hold
/// all requests of this one.
const MAX_FORWARDED: u32 = 4096;

/// The other VMs, as the directory lists them.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<VmId, Peer>,
    /// Entry VMs by domain.
    entry_vms: HashMap<DomainName, Vec<VmId>>,
}

#[derive(Debug, Default)]
struct Peer {
    in_flight: u32,
    failed_at: Option<Duration>,
}

impl Peers {
    /// Replaces the list of VMs by the one of a directory.
    pub(crate) fn replace(&mut self, vms: &[VmLocation]) {
        self.entry_vms.clear();
        for vm in vms.iter().filter(|vm| vm.entry) {
            let entries = self.entry_vms.entry(vm.domain.clone()).or_default();
            entries.push(vm.vm);
        }
        self.peers
            .retain(|vm, peer| peer.in_flight > 0 || vms.iter().any(|v| v.vm == *vm));
    }

    /// Returns whether no directory with entry VMs has been applied yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.entry_vms.is_empty()
    }

    /// Returns the domains with entry VMs, in no particular order.
    pub(crate) fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.entry_vms.keys()
    }

    /// Returns the domain of an entry VM.
    pub(crate) fn domain_of(&self, vm: VmId) -> Option<&DomainName> {
        let mut domains = self.entry_vms.iter();
        domains
            .find(|(_, vms)| vms.contains(&vm))
            .map(|(domain, _)| domain)
    }

    pub(crate) fn is_avoided(&self, vm: VmId, now: Duration) -> bool {
        let failed = self.peers.get(&vm).and_then(|p| p.failed_at);
        failed.is_some_and(|at| now < at + UNREACHABLE_BACKOFF)
    }

    fn peer(&mut self, vm: VmId) -> &mut Peer {
        self.peers.entry(vm).or_default()
    }
}

impl Router {
    /// Returns an entry VM of `domain` for a request: preferably the one that handled the last
    /// request of the shard, or else one that has not failed recently.
    pub(crate) fn entry_vm_for(&mut self, domain: &str, key: Option<ShardKey>) -> Option<VmId> {
        let start = self.random() as usize;
        let last_vm = key
            .and_then(|(service_index, index)| self.services[service_index].shard(index)?.last_vm);
        let entries = self.peers.entry_vms.get(domain)?;
        if let Some(vm) = last_vm
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

    /// Forwards a request to another VM.
    pub(crate) fn forward(&mut self, id: RequestId, vm: VmId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.hops >= MAX_HOPS {
            return self.refuse(id, NotRun::TooManyHops);
        }
        if self.now >= request.start_by {
            return self.refuse(id, NotRun::Deadline);
        }
        let peer = self.peers.peer(vm);
        if peer.in_flight >= MAX_FORWARDED {
            return self.refuse(id, NotRun::QueueFull);
        }
        peer.in_flight += 1;
        request.hops += 1;
        request.attempts += 1;
        request.stage = Stage::Forwarded(vm);
        self.counters.forwards += 1;
        self.effects.push(Effect::Forward {
            id,
            vm,
            hops: request.hops,
            deadline: request.deadline,
        });
    }

    /// Redirects a forwarded request that this VM is not the sender for.
    pub(crate) fn redirect(&mut self, id: RequestId, vm: Option<VmId>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let Some(unknown) = request.unknown_outcome {
            // A redirect would not tell the forwarding VM that the request may have run.
            return self.refuse_unknown(id, unknown);
        }
        if request.hops >= MAX_HOPS {
            return self.refuse(id, NotRun::TooManyHops);
        }
        self.counters.redirected += 1;
        self.remove_request(id);
        self.effects.push(Effect::Redirect { id, vm });
    }

    /// Handles the result of a forward.
    pub(crate) fn forward_ended(&mut self, id: RequestId, vm: VmId, result: AttemptResult) {
        let peer = self.peers.peer(vm);
        peer.in_flight = peer.in_flight.saturating_sub(1);
        let lost = matches!(
            result,
            AttemptResult::Unknown(Unknown::VmLost)
                | AttemptResult::NotRun(
                    NotRun::DomainUnreachable | NotRun::Connect | NotRun::ShuttingDown
                )
        );
        peer.failed_at = lost.then_some(self.now);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::New;
        let key = request.shard.map(|index| (request.service_index, index));
        let last_vm = match &result {
            AttemptResult::Responded { .. } => Some(vm),
            AttemptResult::Redirect { vm } => *vm,
            AttemptResult::NotRun(_) | AttemptResult::Unknown(_) if lost => None,
            AttemptResult::NotRun(_) | AttemptResult::Unknown(_) => Some(vm),
        };
        if let Some((service_index, index)) = key {
            self.services[service_index].shard_mut(index).last_vm = last_vm;
        }
        match result {
            AttemptResult::Responded { .. } => {
                self.counters.responses += 1;
                self.remove_request(id);
            }
            AttemptResult::Redirect { vm: Some(next) } if next != self.config.vm => {
                if self.refresh_shard(id) {
                    self.forward(id, next);
                }
            }
            // The other VM names this one as the sender; the view of this VM decides.
            AttemptResult::Redirect { vm: Some(_) } => {
                if self.refresh_shard(id) {
                    self.route_request(id);
                }
            }
            AttemptResult::Redirect { vm: None } => self.route_after_delay(id),
            AttemptResult::NotRun(NotRun::NoTarget) if self.try_other_domain(id, vm) => {}
            AttemptResult::NotRun(reason) => {
                // The bundle of this VM has the service, so one of the two VMs has an older bundle.
                let reason = match reason {
                    NotRun::NoService | NotRun::NoKey => NotRun::UnconfirmedBundle,
                    reason => reason,
                };
                if !is_transient(reason) || !self.may_retry(id) {
                    return self.refuse(id, reason);
                }
                if lost && let Some(request) = self.requests.get_mut(&id) {
                    // The hop limit prevents loops; a forward that did not arrive does not count.
                    request.hops -= 1;
                }
                self.counters.retries += 1;
                if !self.refresh_shard(id) {
                    return;
                }
                if lost {
                    self.route_request(id)
                } else {
                    self.route_after_delay(id)
                }
            }
            AttemptResult::Unknown(unknown) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.unknown_outcome = Some(unknown);
                }
                self.retry_unknown(id, unknown);
            }
        }
    }

    /// Routes a request again after a short delay.
    fn route_after_delay(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let retry_at = (self.now + FORWARD_RETRY_DELAY).min(request.start_by);
        if self.queued >= self.config.max_queued {
            return self.refuse(id, NotRun::QueueFull);
        }
        self.set_waiting(id, QueueKind::Delay, retry_at);
    }

    /// Replaces the shard homes and the VMs by those of a new directory.
    pub(crate) fn apply_directory(&mut self, homes: Vec<ShardHomes>, vms: &[VmLocation]) {
        self.peers.replace(vms);
        self.update_alternatives();
        for service_homes in homes {
            let service_index = self.service_index_of(&service_homes.service);
            self.services[service_index].homes = service_homes.domains;
        }
        self.reroute_queued();
    }
}

/// Returns whether the request may succeed on another VM or a moment later.
fn is_transient(reason: NotRun) -> bool {
    matches!(
        reason,
        NotRun::DomainUnreachable
            | NotRun::Connect
            | NotRun::ShuttingDown
            | NotRun::NoBundle
            | NotRun::NoLease
            | NotRun::NoOwner
            | NotRun::UnconfirmedBundle
    )
}
