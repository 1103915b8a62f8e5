//! Routing of unkeyed requests: the choice of a target, and the queue of each side.

use std::time::Duration;

use camphordale_placement::divide_slots;
use camphordale_types::{NotRun, RequestId, Side, TargetId, TargetState};

use crate::{
    Origin, Router,
    balance::{Candidate, choose},
    forward::MAX_HOPS,
    request::QueueKind,
};

impl Router {
    /// Routes an unkeyed request that is in no queue.
    pub(crate) fn route_unkeyed(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (service_index, side, origin) = (request.service_index, request.side, request.origin);
        let (deadline, start_by) = (request.deadline, request.start_by);
        if self.is_evacuated() {
            return self.route_to_other_domain(id, service_index);
        }
        let pool = self.services[service_index].pool(side);
        if let Origin::Vm { vm, .. } = origin
            && pool.members.is_empty()
            && let Some(domain) = self.peers.domain_of(vm)
            && *domain != self.config.domain
        {
            // The other domain is under evacuation and tries the next one.
            return self.refuse(id, NotRun::NoTarget);
        }
        if let Some(vm) = pool.delegate {
            return match origin {
                Origin::Caller => self.forward(id, vm),
                Origin::Vm { .. } => self.redirect(id, Some(vm)),
            };
        }
        if self.now >= start_by {
            return self.refuse(id, self.pool_timeout_reason(service_index, side));
        }
        if pool.queue.is_empty()
            && self.has_lease()
            && let Some(target) = self.choose_target(service_index, side, deadline)
        {
            return self.send(id, target);
        }
        let pool = self.services[service_index].pool(side);
        if pool.queue.len() >= pool.max_queued || self.queued >= self.config.max_queued {
            return self.refuse(id, NotRun::QueueFull);
        }
        if self.expected_pool_wait(service_index, side) > start_by - self.now {
            return self.refuse(id, NotRun::Deadline);
        }
        self.services[service_index]
            .pool_mut(side)
            .queue
            .push_back(id);
        self.set_waiting(id, QueueKind::Pool, start_by);
    }

    /// Returns the expected time in the queue of a request that arrives now.
    fn expected_pool_wait(&self, service_index: usize, side: Side) -> Duration {
        let pool = self.services[service_index].pool(side);
        let latencies = pool
            .members
            .iter()
            .filter_map(|id| self.targets.get(id))
            .filter(|t| t.limit > 0 && !t.health.is_backing_off(self.now))
            .map(|t| (t.health.latency(self.now), f64::from(t.limit)));
        // Requests per second that the usable targets can complete.
        let rate: f64 = latencies.map(|(latency, limit)| limit / latency).sum();
        if rate > 0.0 {
            Duration::try_from_secs_f64(pool.queue.len() as f64 / rate).unwrap_or(Duration::MAX)
        } else {
            Duration::ZERO
        }
    }

    /// Returns the refusal of a request whose time ran out in the queue of a side.
    pub(crate) fn pool_timeout_reason(&self, service_index: usize, side: Side) -> NotRun {
        if self.services[service_index].pool(side).members.is_empty() {
            NotRun::NoTarget
        } else if !self.has_lease() {
            NotRun::NoLease
        } else {
            NotRun::Deadline
        }
    }

    /// Chooses a target with a free slot for a request with `deadline`.
    fn choose_target(
        &mut self,
        service_index: usize,
        side: Side,
        deadline: Duration,
    ) -> Option<TargetId> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        candidates.extend(self.usable_targets(service_index, side, deadline));
        let start = self.random() as usize;
        let target = choose(&candidates, start);
        self.candidates = candidates;
        target
    }

    /// Returns the targets that a request with `deadline` may be sent to once they have a free slot.
    fn usable_targets(
        &self,
        service_index: usize,
        side: Side,
        deadline: Duration,
    ) -> impl Iterator<Item = Candidate> {
        let left = deadline.saturating_sub(self.now).as_secs_f64();
        let state = &self.services[service_index];
        let warm_up = state.service.as_ref().map_or(Duration::ZERO, |s| s.warm_up);
        let members = &state.pool(side).members;
        members.iter().filter_map(move |id| {
            let target = self.targets.get(id)?;
            let health = &target.health;
            let latency = health.latency(self.now);
            // Waiting for another target is better than one that is expected to miss the deadline.
            if health.is_backing_off(self.now) || (latency > left && members.len() > 1) {
                return None;
            }
            Some(Candidate {
                target: *id,
                in_flight: target.in_flight.len() as u32,
                share: target.limit,
                latency,
                refusals: health.refusals(self.now),
                load: f64::from(health.load),
                warm_up_factor: health.warm_up_factor(warm_up, self.now),
            })
        })
    }

    /// Returns whether an unkeyed request that is in flight at a target has a free slot elsewhere, or
    /// may be forwarded. `pending` attempts of its side are aborted and have not ended.
    pub(crate) fn can_run_elsewhere(
        &mut self,
        id: RequestId,
        at: TargetId,
        pending: usize,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let (service_index, side, deadline) =
            (request.service_index, request.side, request.deadline);
        // A request that another VM forwarded would be redirected, which is refused if it may have run.
        let may_forward = request.origin == Origin::Caller && request.hops < MAX_HOPS;
        if self.is_evacuated() {
            return may_forward && self.alternative_vm(service_index).is_some();
        }
        let pool = self.services[service_index].pool(side);
        if pool.delegate.is_some() {
            return may_forward;
        }
        if !self.has_lease() {
            return false;
        }
        let others = self.usable_targets(service_index, side, deadline);
        let free: u32 = others
            .filter(|candidate| candidate.target != at)
            .map(|candidate| candidate.free_slots())
            .sum();
        free as usize > pool.queue.len() + pending
    }

    /// Returns the number of requests of a side whose attempts were aborted and have not ended.
    pub(crate) fn pending_retries(&self, service_index: usize, side: Side) -> usize {
        let targets = self.targets.values();
        let in_flight = targets
            .filter(|t| t.service_index == service_index && t.info.spec.side == side)
            .flat_map(|t| &t.in_flight);
        let aborted = in_flight.filter(|(id, _)| self.requests.get(id).is_some_and(|r| r.aborted));
        aborted.count()
    }

    /// Sends queued requests of a side while a target has a free slot.
    pub(crate) fn dispatch_pool(&mut self, service_index: usize, side: Side) {
        while self.has_lease() {
            let Some(id) = self.services[service_index]
                .pool(side)
                .queue
                .front()
                .copied()
            else {
                return;
            };
            let Some((deadline, start_by)) = self
                .requests
                .get(&id)
                .map(|request| (request.deadline, request.start_by))
            else {
                return;
            };
            if self.now >= start_by {
                self.refuse(id, NotRun::Deadline);
                continue;
            }
            let Some(target) = self.choose_target(service_index, side, deadline) else {
                return;
            };
            self.detach(id);
            self.send(id, target);
        }
    }

    /// Updates the members, queue limits and delegates of both sides of a service.
    pub(crate) fn update_pools(&mut self, service_index: usize) {
        let Some(service) = self.services[service_index].service.clone() else {
            return;
        };
        if service.is_keyed() {
            return;
        }
        let vms = &self.group.vms;
        for side in [Side::Old, Side::New] {
            let mut pool = std::mem::take(self.services[service_index].pool_mut(side));
            pool.members.clear();
            pool.slot_share = 0;
            let mut totals = vec![0; vms.len()];
            for (id, target) in &self.targets {
                let spec = &target.info.spec;
                if target.service_index != service_index
                    || spec.side != side
                    || target.info.state != TargetState::Serving
                {
                    continue;
                }
                pool.members.push(*id);
                pool.slot_share += target.limit;
                let parts = divide_slots(service.slots.min(spec.slots), vms, *id);
                totals.iter_mut().zip(parts).for_each(|(t, p)| *t += p);
            }
            let queue = service.queue as usize * pool.members.len().max(1);
            pool.max_queued = queue.div_ceil(vms.len().max(1)).max(1);
            // With fewer slots than VMs, a VM can have no slot of any target.
            pool.delegate = match totals.iter().zip(vms).max_by_key(|(total, _)| **total) {
                Some((1.., vm)) if pool.slot_share == 0 && *vm != self.config.vm => Some(*vm),
                _ => None,
            };
            *self.services[service_index].pool_mut(side) = pool;
        }
    }

    /// Sends the queued requests of a side, or routes them to the delegate if there is one.
    pub(crate) fn redistribute_pool(&mut self, service_index: usize, side: Side) {
        let pool = self.services[service_index].pool(side);
        if pool.delegate.is_none() {
            return self.dispatch_pool(service_index, side);
        }
        let ids: Vec<_> = pool.queue.iter().copied().collect();
        for id in ids {
            self.detach(id);
            self.route_request(id);
        }
    }
}
