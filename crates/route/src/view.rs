//! The view of the domain group.

use std::collections::BTreeSet;

use camphordale_domain::{ShardView, TargetView, View};
use camphordale_types::{Side, TargetId, TargetState, VmId};

use crate::{Router, queue::ShardKey, target::Target};

/// What is known of the domain group.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) term: Option<u64>,
    /// Term of the last view that was taken.
    shown: Option<u64>,
    /// Whether a complete view of the term has been taken.
    pub(crate) known: bool,
    pub(crate) index: u64,
    /// Version of the bundle under which the shards were assigned.
    pub(crate) bundle: u64,
    pub(crate) vms: Vec<VmId>,
}

impl Router {
    /// Makes leases and views of other terms void.
    pub(crate) fn take_term(&mut self, term: u64) {
        if self.group.term == Some(term) {
            return;
        }
        // The first view may have come before the first announcement of the term.
        if self.group.term.is_some() || self.group.known {
            self.lease.void();
        }
        self.group.term = Some(term);
        self.group.known = false;
        self.group.index = 0;
    }

    /// Takes a view if it continues the one at hand or replaces it.
    pub(crate) fn take_view(&mut self, view: View) {
        let complete = view.since == 0;
        let older = self.group.term.is_some_and(|term| view.term < term);
        let newer = self.group.term.is_none_or(|term| view.term > term);
        if older || (!complete && (newer || !self.group.known)) {
            return;
        }
        if !newer && self.group.known {
            let gap = !complete && view.since > self.group.index;
            if gap || view.index < self.group.index {
                return;
            }
        }
        let first = self.group.term.is_none() || !self.group.known;
        let other = self.group.shown.is_some_and(|term| term != view.term);
        if newer {
            self.take_term(view.term);
        }
        self.group.shown = Some(view.term);
        let resized = complete || self.group.vms != view.vms || !view.targets.is_empty();
        self.group.known = true;
        self.group.index = view.index;
        let remapped = self.group.bundle != view.bundle_version;
        self.group.bundle = view.bundle_version;
        self.group.vms = view.vms;

        let mut touched: BTreeSet<ShardKey> = BTreeSet::new();
        if complete {
            self.drop_missing(&view.targets, &view.shards, other, &mut touched);
        }
        for target in view.targets {
            self.take_target(target, !first, &mut touched);
        }
        for (service, index) in view.removed_shards {
            let slot = self.slot_of(&service);
            self.set_shard((slot, index), None, &mut touched);
        }
        for shard in view.shards {
            let slot = self.slot_of(&shard.service);
            self.set_shard((slot, shard.index), Some(shard), &mut touched);
        }
        for id in &view.removed_targets {
            self.drop_target(*id, &mut touched);
        }
        if resized || !view.removed_targets.is_empty() {
            self.resize();
        }
        self.rebind(&touched);
        for key in &touched {
            self.review_release(*key);
        }
        if remapped {
            self.replace_waiting();
        }
        if remapped || resized || !view.removed_targets.is_empty() {
            self.pump_all();
        }
    }

    /// Drops everything that a complete view does not list. Targets of another term are all
    /// dropped, since ids are unique only within a group.
    fn drop_missing(
        &mut self,
        targets: &[TargetView],
        shards: &[ShardView],
        other: bool,
        touched: &mut BTreeSet<ShardKey>,
    ) {
        let listed: BTreeSet<_> = targets.iter().map(|t| t.info.id).collect();
        let gone: Vec<_> = self
            .targets
            .keys()
            .copied()
            .filter(|id| other || !listed.contains(id))
            .collect();
        for id in gone {
            self.drop_target(id, touched);
        }
        let listed: BTreeSet<_> = shards.iter().map(|s| (&*s.service, s.index)).collect();
        let mut missing = Vec::new();
        for (at, slot) in self.slots.iter().enumerate() {
            for (index, shard) in slot.shards.iter().enumerate() {
                let index = index as u32;
                if shard.present && !listed.contains(&(&*slot.name, index)) {
                    missing.push((at, index));
                }
            }
        }
        for key in missing {
            self.set_shard(key, None, touched);
        }
    }

    fn take_target(&mut self, view: TargetView, joined: bool, touched: &mut BTreeSet<ShardKey>) {
        let id = view.info.id;
        let own = Some(self.config.vm);
        let slot = self.slot_of(&view.info.spec.service);
        let Some(target) = self.targets.get_mut(&id) else {
            let mut target = Target::new(view, slot, self.now, joined);
            let shards = &self.slots[slot].shards;
            target.shards = (0..)
                .zip(shards)
                .filter(|(_, shard)| shard.owner == Some(id))
                .map(|(index, _)| index)
                .collect();
            touched.extend(target.shards.iter().map(|index| (slot, *index)));
            self.targets.insert(id, target);
            return;
        };
        let ceased = target.sender == own && view.sender != own;
        let took = target.sender != own && view.sender == own;
        let lost = view.info.state == TargetState::Lost && !target.is_lost();
        target.info = view.info;
        target.sender = view.sender;
        target.token = view.token;
        if took {
            target.took = self.now;
        }
        touched.extend(target.shards.iter().map(|index| (target.slot, *index)));
        let keyed = self.slots[slot]
            .service
            .as_ref()
            .is_some_and(|s| s.is_keyed());
        if keyed && (lost || ceased) {
            self.abort_all(id, |_| true);
        } else if lost {
            // No other VM waits for their end, so only those are ended that can run elsewhere.
            self.abort_all(id, |flight| flight.repeatable);
        }
    }

    /// Forgets a target. Requests in flight there may finish until their deadlines.
    fn drop_target(&mut self, id: TargetId, touched: &mut BTreeSet<ShardKey>) {
        self.abort_all(id, |_| false);
        if let Some(target) = self.targets.remove(&id) {
            let owned = target.shards.iter().map(|index| (target.slot, *index));
            for key in owned.chain(target.turns.iter()) {
                // Another target may get the id before the queue is bound again.
                self.slots[key.0].shard_mut(key.1).lane = None;
                touched.insert(key);
            }
        }
        self.busy.remove(&id);
    }

    fn set_shard(
        &mut self,
        key: ShardKey,
        view: Option<ShardView>,
        touched: &mut BTreeSet<ShardKey>,
    ) {
        touched.insert(key);
        let shard = self.slots[key.0].shard_mut(key.1);
        let before = shard.owner;
        shard.present = view.is_some();
        match view {
            Some(view) => {
                shard.owner = view.owner;
                shard.releasing = view.releasing;
                shard.token = view.token;
            }
            None => {
                shard.owner = None;
                shard.releasing = false;
            }
        }
        let after = shard.owner;
        if before == after {
            return;
        }
        if let Some(target) = before.and_then(|id| self.targets.get_mut(&id)) {
            target.shards.remove(&key.1);
        }
        if let Some(target) = after.and_then(|id| self.targets.get_mut(&id)) {
            target.shards.insert(key.1);
        }
    }

    /// Computes what this VM may use of each target.
    pub(crate) fn resize(&mut self) {
        for target in self.targets.values_mut() {
            let service = self.slots[target.slot].service.as_deref();
            target.resize(service, self.config.vm, &self.group.vms);
        }
        for slot in 0..self.slots.len() {
            self.resize_pools(slot);
        }
    }

    /// Sends waiting requests wherever there is room.
    pub(crate) fn pump_all(&mut self) {
        let ids: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, t)| t.turns.waiting() > 0)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.pump(id);
        }
        for slot in 0..self.slots.len() {
            for side in [Side::Old, Side::New] {
                if !self.slots[slot].pool(side).queue.is_empty() {
                    self.settle_pool(slot, side);
                }
            }
        }
    }
}
