//! Routing of keyed requests: the VM that sends to the owner, and the queues of shards.

use std::{collections::BTreeSet, time::Duration};

use camphordale_types::{DomainName, NotRun, RequestId, TargetId, VmId};

use crate::{Origin, Router, queue::ShardKey, request::QueueKind, status::BlockReason};

/// Where a keyed request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Destination {
    /// This VM may send it to the target.
    Target(TargetId),
    /// Another VM of this domain is the sender.
    Vm(VmId),
    /// The shard is homed in another domain.
    Domain(DomainName),
    /// The request waits in the queue of the shard.
    Blocked(BlockReason),
}

impl BlockReason {
    /// Returns the refusal of a request that waited for the obstacle to pass until its time was up.
    fn reason(&self) -> NotRun {
        match self {
            BlockReason::NoLease | BlockReason::DomainLease | BlockReason::BundleMismatch => {
                NotRun::NoLease
            }
            BlockReason::BackingOff => NotRun::Deadline,
            BlockReason::Evacuated => NotRun::NoTarget,
            _ => NotRun::NoOwner,
        }
    }
}

impl Router {
    /// Returns whether this VM holds a valid lease and a view that satisfies it.
    pub(crate) fn has_lease(&self) -> bool {
        self.group.has_view && self.lease.is_valid(self.group.view_index, self.now)
    }

    /// Returns why the leases of the VM and of the domain do not allow requests of a service to be
    /// sent; `None` if they do.
    fn lease_obstacle(&self, service_index: usize) -> Option<BlockReason> {
        if !self.has_lease() {
            return Some(BlockReason::NoLease);
        }
        if self.bundle.as_ref().map(|bundle| bundle.version) != Some(self.group.bundle_version) {
            return Some(BlockReason::BundleMismatch);
        }
        match &self.services[service_index].service {
            Some(service) if self.lease.domain_serves(service, self.now) => None,
            _ => Some(BlockReason::DomainLease),
        }
    }

    /// Returns why requests of a service may not be sent to targets of this domain; `None` if they
    /// may.
    fn send_obstacle(&self, service_index: usize) -> Option<BlockReason> {
        let evacuated = self.has_release_timed_out();
        self.lease_obstacle(service_index)
            .or_else(|| evacuated.then_some(BlockReason::Evacuated))
    }

    /// Returns where a request for the shard goes according to the view, without a check of leases.
    fn owner_destination(&self, (service_index, index): ShardKey) -> Destination {
        let state = &self.services[service_index];
        let other_domain = state.home(index).filter(|d| **d != self.config.domain);
        let Some(shard) = state.shard(index).filter(|s| s.homed_here) else {
            return match other_domain {
                Some(domain) => Destination::Domain(domain.clone()),
                None => Destination::Blocked(BlockReason::NoOwner),
            };
        };
        let Some(owner) = shard.owner else {
            return match other_domain {
                Some(domain) => Destination::Domain(domain.clone()),
                None => Destination::Blocked(BlockReason::NoOwner),
            };
        };
        if shard.releasing {
            return Destination::Blocked(BlockReason::Releasing);
        }
        let Some(target) = self.targets.get(&owner) else {
            return Destination::Blocked(BlockReason::NoOwner);
        };
        if target.is_lost() {
            return Destination::Blocked(BlockReason::OwnerLost);
        }
        match target.sender {
            Some(vm) if vm == self.config.vm => Destination::Target(owner),
            Some(vm) if self.group.vms.contains(&vm) => Destination::Vm(vm),
            _ => Destination::Blocked(BlockReason::NoSender),
        }
    }

    /// Returns where a request for the shard goes, with leases checked.
    pub(crate) fn destination(&self, key: ShardKey) -> Destination {
        match self.owner_destination(key) {
            Destination::Target(target) => match self.send_obstacle(key.0) {
                None => Destination::Target(target),
                // Without a valid lease the view may be out of date, so the directory decides.
                Some(blocked) => match self.services[key.0].home(key.1) {
                    Some(domain) if *domain != self.config.domain => {
                        Destination::Domain(domain.clone())
                    }
                    _ => Destination::Blocked(blocked),
                },
            },
            other => other,
        }
    }

    /// Routes a keyed request that is in no queue.
    pub(crate) fn route_keyed(&mut self, id: RequestId, key: ShardKey) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let stale = request.record.is_some_and(|r| {
            self.services[key.0]
                .shard(key.1)
                .is_none_or(|s| s.token.term != r.term)
        });
        if stale {
            // The domain group was formed anew or the home has moved, and the record may be lost.
            return self.refuse(id, NotRun::Record);
        }
        let (origin, recorded) = (request.origin, request.record.is_some());
        let unrecorded = request.is_unrecorded();
        match self.destination(key) {
            Destination::Target(target) if unrecorded => self.create_record(id, key, target),
            Destination::Target(target) => {
                if self.enqueue(id, key) {
                    self.dispatch_keyed(target);
                }
            }
            Destination::Blocked(BlockReason::Evacuated) => self.refuse(id, NotRun::NoTarget),
            Destination::Blocked(_) => {
                self.enqueue(id, key);
            }
            // Another VM would find the record of this one and refuse the request as a duplicate.
            Destination::Vm(_) | Destination::Domain(_) if recorded => {
                self.refuse(id, NotRun::NoOwner)
            }
            Destination::Vm(vm) => match origin {
                Origin::Caller => self.forward(id, vm),
                Origin::Vm { .. } => self.redirect(id, Some(vm)),
            },
            Destination::Domain(domain) => {
                let vm = self.entry_vm_for(&domain, Some(key));
                match (origin, vm) {
                    (Origin::Vm { .. }, _) => self.redirect(id, vm),
                    (Origin::Caller, Some(vm)) => self.forward(id, vm),
                    (Origin::Caller, None) => self.refuse(id, NotRun::DomainUnreachable),
                }
            }
        }
    }

    /// Returns whether a request for `target` can start in time behind the queued ones, of which
    /// `before` belong to its own shard.
    pub(crate) fn can_start_in_time(&self, id: RequestId, target: TargetId, before: usize) -> bool {
        let (Some(request), Some(target)) = (self.requests.get(&id), self.targets.get(&target))
        else {
            return true;
        };
        if target.limit == 0 || target.has_free_slot() {
            return true;
        }
        // Round robin: for each request of this shard, every other shard starts at most one.
        let ahead =
            (target.round_robin.queued()).min((before + 1) * (target.round_robin.shards() + 1));
        let wait = ahead as f64 * target.health.latency(self.now) / f64::from(target.limit);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        self.now.saturating_add(wait) < request.start_by
    }

    /// Adds a request to the queue of its shard; returns false if it was refused instead.
    fn enqueue(&mut self, id: RequestId, key: ShardKey) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let limit = request.service.queue.max(1) as usize;
        let start_by = request.start_by;
        if self.now >= start_by {
            self.refuse(id, self.queue_timeout_reason(key));
            return false;
        }
        let shard = self.services[key.0].shard_mut(key.1);
        let (before, queue_target) = (shard.queue.len(), shard.queue_target);
        match queue_target {
            Some(target) => {
                let full = self
                    .targets
                    .get(&target)
                    .is_some_and(|t| t.round_robin.queued() >= limit);
                if full && !self.evict_newest(target, before) {
                    self.refuse(id, NotRun::QueueFull);
                    return false;
                }
                if !self.can_start_in_time(id, target, before) {
                    self.refuse(id, NotRun::Deadline);
                    return false;
                }
            }
            None if before >= limit => {
                self.refuse(id, NotRun::QueueFull);
                return false;
            }
            None => {}
        }
        if self.queued >= self.config.max_queued {
            self.refuse(id, NotRun::QueueFull);
            return false;
        }
        let shard = self.services[key.0].shard_mut(key.1);
        shard.queue.push_back(id);
        if let Some(target) = queue_target.and_then(|t| self.targets.get_mut(&t)) {
            target.round_robin.add(key, before);
        }
        self.set_waiting(id, QueueKind::Shard, start_by);
        true
    }

    /// Refuses the newest request of the shard with the longest queue, so that one hot shard cannot
    /// fill the queue of the target. Returns false if that queue has at most `before + 1` requests.
    fn evict_newest(&mut self, target: TargetId, before: usize) -> bool {
        let Some(target) = self.targets.get(&target) else {
            return true;
        };
        let length = |(service_index, index): ShardKey| {
            let shard = self.services[service_index].shard(index);
            shard.map_or(0, |s| s.queue.len())
        };
        let Some(longest) = target.round_robin.iter().max_by_key(|key| length(*key)) else {
            return true;
        };
        if length(longest) <= before + 1 {
            return false;
        }
        let shard = self.services[longest.0].shard_mut(longest.1);
        if let Some(newest) = shard.queue.back().copied() {
            self.refuse(newest, NotRun::QueueFull);
        }
        true
    }

    /// Returns the refusal of a request whose time ran out in the queue of a shard.
    pub(crate) fn queue_timeout_reason(&self, key: ShardKey) -> NotRun {
        match self.destination(key) {
            Destination::Blocked(blocked) => blocked.reason(),
            _ => NotRun::Deadline,
        }
    }

    /// Sends queued requests to a target while it has free slots.
    pub(crate) fn dispatch_keyed(&mut self, id: TargetId) {
        loop {
            let Some(target) = self.targets.get_mut(&id) else {
                return;
            };
            if !target.has_free_slot() || target.health.is_backing_off(self.now) {
                return;
            }
            let Some(key) = target.round_robin.next() else {
                return;
            };
            if self.destination(key) != Destination::Target(id) {
                return;
            }
            let shard = self.services[key.0].shard_mut(key.1);
            let request_id = shard.queue.pop_front();
            let after = shard.queue.len();
            if let Some(target) = self.targets.get_mut(&id) {
                target.round_robin.advance(after);
            }
            let Some(request_id) = request_id else {
                return;
            };
            self.clear_waiting(request_id);
            match self.requests.get(&request_id) {
                Some(request) if self.now >= request.start_by => {
                    self.refuse(request_id, NotRun::Deadline);
                }
                // It was queued while this VM had no lease, so its record is not written yet.
                Some(request) if request.is_unrecorded() => self.route_request(request_id),
                Some(_) => self.send(request_id, id),
                None => {}
            }
        }
    }

    /// Removes a request from the queue of its shard.
    pub(crate) fn dequeue(&mut self, id: RequestId, key: ShardKey) {
        let shard = self.services[key.0].shard_mut(key.1);
        let Some(at) = shard.queue.iter().position(|q| *q == id) else {
            return;
        };
        shard.queue.remove(at);
        let (after, queue_target) = (shard.queue.len(), shard.queue_target);
        if let Some(target) = queue_target.and_then(|t| self.targets.get_mut(&t)) {
            target.round_robin.remove(key, after);
        }
    }

    /// Assigns the queues of shards to the current owners and routes the queued requests again. All
    /// queues are assigned before the first request is routed, because a target must not be sent
    /// requests of a shard that it no longer owns.
    pub(crate) fn reassign_queues(&mut self, keys: &BTreeSet<ShardKey>) {
        let mut ids = Vec::new();
        for key in keys {
            let queue_target = match self.owner_destination(*key) {
                Destination::Target(target) => Some(target),
                _ => None,
            };
            let queue = &self.services[key.0].shard_mut(key.1).queue;
            let first = ids.len();
            ids.extend(queue.iter().copied());
            for id in &ids[first..] {
                self.dequeue(*id, *key);
                self.clear_waiting(*id);
            }
            self.services[key.0].shard_mut(key.1).queue_target = queue_target;
        }
        for id in ids {
            self.route_request(id);
        }
    }
}
