//! Requests with a key: who sends them, and the queues of shards.

use std::{collections::BTreeSet, time::Duration};

use camphordale_types::{DomainName, NotRun, RequestId, TargetId, VmId};

use crate::{Origin, Router, queue::ShardKey, request::Lane, status::Blocked};

/// Where a request with a key goes now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// This VM may send it to the target.
    Here(TargetId),
    /// Another VM of this domain is the sender.
    Vm(VmId),
    /// The shard is homed in another domain.
    Domain(DomainName),
    /// It has to wait.
    Blocked(Blocked),
}

impl Blocked {
    /// Returns the refusal of a request that waited in vain.
    fn reason(&self) -> NotRun {
        match self {
            Blocked::NoLease | Blocked::DomainLease | Blocked::Mapping => NotRun::NoLease,
            Blocked::Held => NotRun::Deadline,
            _ => NotRun::NoOwner,
        }
    }
}

impl Router {
    /// Tells whether this VM's lease allows sending.
    pub(crate) fn leased(&self) -> bool {
        self.group.known && self.lease.usable(self.group.index, self.now)
    }

    /// Returns the obstacle to sending requests of a service that is due to the VM's or the
    /// domain's lease.
    fn lease_blocked(&self, slot: usize) -> Option<Blocked> {
        if !self.leased() {
            return Some(Blocked::NoLease);
        }
        if self.bundle.as_ref().map(|bundle| bundle.version) != Some(self.group.bundle) {
            return Some(Blocked::Mapping);
        }
        match &self.slots[slot].service {
            Some(service) if self.lease.domain_serves(service, self.now) => None,
            _ => Some(Blocked::DomainLease),
        }
    }

    /// Returns where a request for the shard goes, leases aside.
    fn owner_of(&self, (slot, index): ShardKey) -> Place {
        let slot = &self.slots[slot];
        let away = slot.home(index).filter(|d| **d != self.config.domain);
        let Some(shard) = slot.shard(index).filter(|s| s.present) else {
            return match away {
                Some(domain) => Place::Domain(domain.clone()),
                None => Place::Blocked(Blocked::NoOwner),
            };
        };
        let Some(owner) = shard.owner else {
            return match away {
                Some(domain) => Place::Domain(domain.clone()),
                None => Place::Blocked(Blocked::NoOwner),
            };
        };
        if shard.releasing {
            return Place::Blocked(Blocked::Releasing);
        }
        let Some(target) = self.targets.get(&owner) else {
            return Place::Blocked(Blocked::NoOwner);
        };
        if target.is_lost() {
            return Place::Blocked(Blocked::OwnerLost);
        }
        match target.sender {
            Some(vm) if vm == self.config.vm => Place::Here(owner),
            Some(vm) if self.group.vms.contains(&vm) => Place::Vm(vm),
            _ => Place::Blocked(Blocked::NoSender),
        }
    }

    /// Returns where a request for the shard goes now.
    pub(crate) fn locate(&self, key: ShardKey) -> Place {
        match self.owner_of(key) {
            Place::Here(target) => match self.lease_blocked(key.0) {
                None => Place::Here(target),
                // Without a lease the directory is the better source.
                Some(blocked) => match self.slots[key.0].home(key.1) {
                    Some(domain) if *domain != self.config.domain => Place::Domain(domain.clone()),
                    _ => Place::Blocked(blocked),
                },
            },
            place => place,
        }
    }

    /// Places a request with a key that is nowhere at the moment.
    pub(crate) fn place_keyed(&mut self, id: RequestId, key: ShardKey) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let stale = flight.record.is_some_and(|r| {
            self.slots[key.0]
                .shard(key.1)
                .is_none_or(|s| s.token.term != r.term)
        });
        if stale {
            // The group or the home has changed, and the record may be lost with it.
            return self.refuse(id, NotRun::Record);
        }
        let (origin, recorded) = (flight.origin, flight.record.is_some());
        let unrecorded = flight.is_unrecorded();
        match self.locate(key) {
            Place::Here(target) if unrecorded => self.record(id, key, target),
            Place::Here(target) => {
                if self.enqueue(id, key) {
                    self.pump(target);
                }
            }
            Place::Blocked(_) => {
                self.enqueue(id, key);
            }
            // Another VM would find this VM's record and take the request for a duplicate.
            Place::Vm(_) | Place::Domain(_) if recorded => self.refuse(id, NotRun::NoOwner),
            Place::Vm(vm) => match origin {
                Origin::Caller => self.forward(id, vm),
                Origin::Vm { .. } => self.redirect(id, Some(vm)),
            },
            Place::Domain(domain) => {
                let vm = self.entry_of(&domain, Some(key));
                match (origin, vm) {
                    (Origin::Vm { .. }, _) => self.redirect(id, vm),
                    (Origin::Caller, Some(vm)) => self.forward(id, vm),
                    (Origin::Caller, None) => self.refuse(id, NotRun::DomainUnreachable),
                }
            }
        }
    }

    /// Tells whether a request bound for `target` could start in time behind those that wait, of
    /// which `before` are of its own shard.
    pub(crate) fn starts_in_time(&self, id: RequestId, target: TargetId, before: usize) -> bool {
        let (Some(flight), Some(target)) = (self.flights.get(&id), self.targets.get(&target))
        else {
            return true;
        };
        if target.limit == 0 || target.has_room() {
            return true;
        }
        // Round robin lets each other shard start at most one request per own request.
        let ahead = (target.turns.waiting()).min((before + 1) * (target.turns.shards() + 1));
        let wait = ahead as f64 * target.health.latency(self.now) / f64::from(target.limit);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        self.now.saturating_add(wait) < flight.start_by
    }

    /// Puts a request into the queue of its shard; returns false if it was refused instead.
    fn enqueue(&mut self, id: RequestId, key: ShardKey) -> bool {
        let Some(flight) = self.flights.get(&id) else {
            return false;
        };
        let bound = flight.service.queue.max(1) as usize;
        let start_by = flight.start_by;
        if self.now >= start_by {
            self.refuse(id, self.vain_reason(key));
            return false;
        }
        let shard = self.slots[key.0].shard_mut(key.1);
        let (before, lane) = (shard.queue.len(), shard.lane);
        match lane {
            Some(target) => {
                let full = self
                    .targets
                    .get(&target)
                    .is_some_and(|t| t.turns.waiting() >= bound);
                if full && !self.make_room(target, before) {
                    self.refuse(id, NotRun::QueueFull);
                    return false;
                }
                if !self.starts_in_time(id, target, before) {
                    self.refuse(id, NotRun::Deadline);
                    return false;
                }
            }
            None if before >= bound => {
                self.refuse(id, NotRun::QueueFull);
                return false;
            }
            None => {}
        }
        if self.waiting >= self.config.waiting {
            self.refuse(id, NotRun::QueueFull);
            return false;
        }
        let shard = self.slots[key.0].shard_mut(key.1);
        shard.queue.push_back(id);
        if let Some(target) = lane.and_then(|t| self.targets.get_mut(&t)) {
            target.turns.add(key, before);
        }
        self.wait(id, Lane::Shard, start_by);
        true
    }

    /// Refuses the newest request of the shard with the longest queue, unless that is no longer
    /// than one with `before` requests would become. So one hot shard cannot fill the queue.
    fn make_room(&mut self, target: TargetId, before: usize) -> bool {
        let Some(target) = self.targets.get(&target) else {
            return true;
        };
        let length = |(slot, index): ShardKey| {
            let shard = self.slots[slot].shard(index);
            shard.map_or(0, |s| s.queue.len())
        };
        let Some(longest) = target.turns.iter().max_by_key(|key| length(*key)) else {
            return true;
        };
        if length(longest) <= before + 1 {
            return false;
        }
        let shard = self.slots[longest.0].shard_mut(longest.1);
        if let Some(newest) = shard.queue.back().copied() {
            self.refuse(newest, NotRun::QueueFull);
        }
        true
    }

    /// Returns the reason for refusing a request whose time ran out while it waited.
    pub(crate) fn vain_reason(&self, key: ShardKey) -> NotRun {
        match self.locate(key) {
            Place::Blocked(blocked) => blocked.reason(),
            _ => NotRun::Deadline,
        }
    }

    /// Sends waiting requests to a target while it has free slots.
    pub(crate) fn pump(&mut self, id: TargetId) {
        loop {
            let Some(target) = self.targets.get_mut(&id) else {
                return;
            };
            if !target.has_room() || target.health.is_held(self.now) {
                return;
            }
            let Some(key) = target.turns.next() else {
                return;
            };
            if self.locate(key) != Place::Here(id) {
                return;
            }
            let shard = self.slots[key.0].shard_mut(key.1);
            let request = shard.queue.pop_front();
            let after = shard.queue.len();
            if let Some(target) = self.targets.get_mut(&id) {
                target.turns.served(after);
            }
            let Some(request) = request else {
                return;
            };
            self.leave(request);
            match self.flights.get(&request) {
                Some(flight) if self.now >= flight.start_by => {
                    self.refuse(request, NotRun::Deadline);
                }
                // It came into the queue while there was no lease, and has no record yet.
                Some(flight) if flight.is_unrecorded() => self.place(request),
                Some(_) => self.send(request, id),
                None => {}
            }
        }
    }

    /// Takes a request out of the queue of its shard.
    pub(crate) fn unqueue(&mut self, id: RequestId, key: ShardKey) {
        let shard = self.slots[key.0].shard_mut(key.1);
        let Some(at) = shard.queue.iter().position(|q| *q == id) else {
            return;
        };
        shard.queue.remove(at);
        let (after, lane) = (shard.queue.len(), shard.lane);
        if let Some(target) = lane.and_then(|t| self.targets.get_mut(&t)) {
            target.turns.remove(key, after);
        }
    }

    /// Binds the queues of shards to the targets that they now belong to, and places their
    /// requests again. No request is placed before all queues are bound, because a target must
    /// not be sent requests from the queue of a shard that it lost.
    pub(crate) fn rebind(&mut self, keys: &BTreeSet<ShardKey>) {
        let mut ids = Vec::new();
        for key in keys {
            let lane = match self.owner_of(*key) {
                Place::Here(target) => Some(target),
                _ => None,
            };
            let queue = &self.slots[key.0].shard_mut(key.1).queue;
            let first = ids.len();
            ids.extend(queue.iter().copied());
            for id in &ids[first..] {
                self.unqueue(*id, *key);
                self.leave(*id);
            }
            self.slots[key.0].shard_mut(key.1).lane = lane;
        }
        for id in ids {
            self.place(id);
        }
    }
}
