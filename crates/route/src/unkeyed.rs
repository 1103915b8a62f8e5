//! Requests without a key: choice among the targets of a side, and the queue of the side.

use std::time::Duration;

use camphordale_placement::shares;
use camphordale_types::{NotRun, RequestId, Side, TargetId, TargetState};

use crate::{
    Origin, Router,
    balance::{Candidate, choose},
    request::Lane,
};

impl Router {
    /// Places a request without a key that is nowhere at the moment.
    pub(crate) fn place_unkeyed(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let (slot, side, origin) = (flight.slot, flight.side, flight.origin);
        let (deadline, start_by) = (flight.deadline, flight.start_by);
        let pool = self.slots[slot].pool(side);
        if let Some(vm) = pool.delegate {
            return match origin {
                Origin::Caller => self.forward(id, vm),
                Origin::Vm { .. } => self.redirect(id, Some(vm)),
            };
        }
        if self.now >= start_by {
            return self.refuse(id, self.pool_reason(slot, side));
        }
        if pool.queue.is_empty()
            && self.leased()
            && let Some(target) = self.choose_target(slot, side, deadline)
        {
            return self.send(id, target);
        }
        let pool = self.slots[slot].pool(side);
        if pool.queue.len() >= pool.bound || self.waiting >= self.config.waiting {
            return self.refuse(id, NotRun::QueueFull);
        }
        if self.pool_wait(slot, side) > start_by - self.now {
            return self.refuse(id, NotRun::Deadline);
        }
        self.slots[slot].pool_mut(side).queue.push_back(id);
        self.wait(id, Lane::Pool, start_by);
    }

    /// Returns the time after which a request that joins the queue can be expected to start.
    fn pool_wait(&self, slot: usize, side: Side) -> Duration {
        let pool = self.slots[slot].pool(side);
        let latencies = pool
            .members
            .iter()
            .filter_map(|id| self.targets.get(id))
            .filter(|t| t.limit > 0 && !t.health.is_held(self.now))
            .map(|t| (t.health.latency(self.now), f64::from(t.limit)));
        // Requests that the usable targets finish per second.
        let rate: f64 = latencies.map(|(latency, limit)| limit / latency).sum();
        if rate > 0.0 {
            Duration::try_from_secs_f64(pool.queue.len() as f64 / rate).unwrap_or(Duration::MAX)
        } else {
            Duration::ZERO
        }
    }

    /// Returns the reason for refusing a request whose time ran out while it waited.
    pub(crate) fn pool_reason(&self, slot: usize, side: Side) -> NotRun {
        if self.slots[slot].pool(side).members.is_empty() {
            NotRun::NoTarget
        } else if !self.leased() {
            NotRun::NoLease
        } else {
            NotRun::Deadline
        }
    }

    /// Chooses a target with room for a request with `deadline`.
    fn choose_target(&mut self, slot: usize, side: Side, deadline: Duration) -> Option<TargetId> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let left = deadline.saturating_sub(self.now).as_secs_f64();
        let owner = &self.slots[slot];
        let warm_up = owner.service.as_ref().map_or(Duration::ZERO, |s| s.warm_up);
        let members = &owner.pool(side).members;
        for id in members {
            let Some(target) = self.targets.get(id) else {
                continue;
            };
            let health = &target.health;
            let latency = health.latency(self.now);
            // A target that would miss the deadline is worse than a wait for another one.
            if health.is_held(self.now) || (latency > left && members.len() > 1) {
                continue;
            }
            candidates.push(Candidate {
                target: *id,
                in_flight: target.flying.len() as u32,
                share: target.limit,
                latency,
                refusals: health.refusals(self.now),
                load: f64::from(health.load),
                warmth: health.warmth(warm_up, self.now),
            });
        }
        let start = self.random() as usize;
        let target = choose(&candidates, start);
        self.candidates = candidates;
        target
    }

    /// Sends waiting requests of a side while a target has room.
    pub(crate) fn pump_pool(&mut self, slot: usize, side: Side) {
        while self.leased() {
            let Some(id) = self.slots[slot].pool(side).queue.front().copied() else {
                return;
            };
            let Some((deadline, start_by)) =
                self.flights.get(&id).map(|f| (f.deadline, f.start_by))
            else {
                return;
            };
            if self.now >= start_by {
                self.refuse(id, NotRun::Deadline);
                continue;
            }
            let Some(target) = self.choose_target(slot, side, deadline) else {
                return;
            };
            self.detach(id);
            self.send(id, target);
        }
    }

    /// Computes the members, bounds and delegates of the pools of a service.
    pub(crate) fn resize_pools(&mut self, slot: usize) {
        let Some(service) = self.slots[slot].service.clone() else {
            return;
        };
        if service.is_keyed() {
            return;
        }
        let vms = &self.group.vms;
        for side in [Side::Old, Side::New] {
            let mut pool = std::mem::take(self.slots[slot].pool_mut(side));
            pool.members.clear();
            pool.share = 0;
            let mut totals = vec![0; vms.len()];
            for (id, target) in &self.targets {
                let spec = &target.info.spec;
                if target.slot != slot
                    || spec.side != side
                    || target.info.state != TargetState::Serving
                {
                    continue;
                }
                pool.members.push(*id);
                pool.share += target.limit;
                let parts = shares(service.slots.min(spec.slots), vms, *id);
                totals.iter_mut().zip(parts).for_each(|(t, p)| *t += p);
            }
            let queue = service.queue as usize * pool.members.len().max(1);
            pool.bound = queue.div_ceil(vms.len().max(1)).max(1);
            // With fewer slots than VMs, a VM can be left without a share of any target.
            pool.delegate = match totals.iter().zip(vms).max_by_key(|(total, _)| **total) {
                Some((1.., vm)) if pool.share == 0 && *vm != self.config.vm => Some(*vm),
                _ => None,
            };
            *self.slots[slot].pool_mut(side) = pool;
        }
    }

    /// Places the waiting requests of a pool again if they belong to another VM now.
    pub(crate) fn settle_pool(&mut self, slot: usize, side: Side) {
        let pool = self.slots[slot].pool(side);
        if pool.delegate.is_none() {
            return self.pump_pool(slot, side);
        }
        let ids: Vec<_> = pool.queue.iter().copied().collect();
        for id in ids {
            self.detach(id);
            self.place(id);
        }
    }
}
