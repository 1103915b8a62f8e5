//! The view of the domain group: who owns and who sends to what.

use std::collections::BTreeSet;

use camphordale_domain::{ShardView, TargetView, View};
use camphordale_types::{Side, TargetId, TargetState, VmId};

use crate::{Router, queue::ShardKey, target::Target};

/// The domain group as of the last view.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) term: Option<u64>,
    /// Term of the last applied view.
    view_term: Option<u64>,
    /// Whether a complete view of the term has been applied.
    pub(crate) has_view: bool,
    pub(crate) view_index: u64,
    /// Version of the bundle under which the shards were assigned.
    pub(crate) bundle_version: u64,
    pub(crate) vms: Vec<VmId>,
}

impl Router {
    /// Moves to another term, which invalidates the lease and the view of the old one.
    pub(crate) fn change_term(&mut self, term: u64) {
        if self.group.term == Some(term) {
            return;
        }
        // The first view may have come before the first announcement of the term.
        if self.group.term.is_some() || self.group.has_view {
            self.lease.revoke();
        }
        self.group.term = Some(term);
        self.group.has_view = false;
        self.group.view_index = 0;
    }

    /// Applies a view if it is complete or an increment of the current one.
    pub(crate) fn apply_view(&mut self, view: View) {
        let complete = view.since == 0;
        let older = self.group.term.is_some_and(|term| view.term < term);
        let newer = self.group.term.is_none_or(|term| view.term > term);
        if older || (!complete && (newer || !self.group.has_view)) {
            return;
        }
        if !newer && self.group.has_view {
            let gap = !complete && view.since > self.group.view_index;
            if gap || view.index < self.group.view_index {
                return;
            }
        }
        let initial = self.group.term.is_none() || !self.group.has_view;
        let term_changed = self.group.view_term.is_some_and(|term| term != view.term);
        if newer {
            self.change_term(view.term);
        }
        self.group.view_term = Some(view.term);
        let limits_changed = complete || self.group.vms != view.vms || !view.targets.is_empty();
        self.group.has_view = true;
        self.group.view_index = view.index;
        let bundle_changed = self.group.bundle_version != view.bundle_version;
        self.group.bundle_version = view.bundle_version;
        self.group.vms = view.vms;

        let mut changed_shards: BTreeSet<ShardKey> = BTreeSet::new();
        if complete {
            self.remove_unlisted(
                &view.targets,
                &view.shards,
                term_changed,
                &mut changed_shards,
            );
        }
        for target in view.targets {
            self.apply_target(target, !initial, &mut changed_shards);
        }
        for (service, index) in view.removed_shards {
            let service_index = self.service_index_of(&service);
            self.set_shard((service_index, index), None, &mut changed_shards);
        }
        for shard in view.shards {
            let service_index = self.service_index_of(&shard.service);
            self.set_shard(
                (service_index, shard.index),
                Some(shard),
                &mut changed_shards,
            );
        }
        for id in &view.removed_targets {
            self.remove_target(*id, &mut changed_shards);
        }
        if limits_changed || !view.removed_targets.is_empty() {
            self.update_limits();
        }
        self.reassign_queues(&changed_shards);
        for key in &changed_shards {
            self.update_release(*key);
        }
        if bundle_changed {
            self.reroute_queued();
        }
        if bundle_changed || limits_changed || !view.removed_targets.is_empty() {
            self.dispatch_all();
        }
    }

    /// Removes targets and shards that a complete view does not list. If the term has changed, all
    /// targets are removed, because ids are unique only within a group.
    fn remove_unlisted(
        &mut self,
        targets: &[TargetView],
        shards: &[ShardView],
        term_changed: bool,
        changed_shards: &mut BTreeSet<ShardKey>,
    ) {
        let listed: BTreeSet<_> = targets.iter().map(|t| t.info.id).collect();
        let removed: Vec<_> = self
            .targets
            .keys()
            .copied()
            .filter(|id| term_changed || !listed.contains(id))
            .collect();
        for id in removed {
            self.remove_target(id, changed_shards);
        }
        let listed: BTreeSet<_> = shards.iter().map(|s| (&*s.service, s.index)).collect();
        let mut missing = Vec::new();
        for (at, state) in self.services.iter().enumerate() {
            for (index, shard) in state.shards.iter().enumerate() {
                let index = index as u32;
                if shard.homed_here && !listed.contains(&(&*state.name, index)) {
                    missing.push((at, index));
                }
            }
        }
        for key in missing {
            self.set_shard(key, None, changed_shards);
        }
    }

    fn apply_target(
        &mut self,
        view: TargetView,
        joined: bool,
        changed_shards: &mut BTreeSet<ShardKey>,
    ) {
        let id = view.info.id;
        let own = Some(self.config.vm);
        let service_index = self.service_index_of(&view.info.spec.service);
        let Some(target) = self.targets.get_mut(&id) else {
            let mut target = Target::new(view, service_index, self.now, joined);
            let shards = &self.services[service_index].shards;
            target.shards = (0..)
                .zip(shards)
                .filter(|(_, shard)| shard.owner == Some(id))
                .map(|(index, _)| index)
                .collect();
            changed_shards.extend(target.shards.iter().map(|index| (service_index, *index)));
            self.targets.insert(id, target);
            return;
        };
        let sender_removed = target.sender == own && view.sender != own;
        let became_sender = target.sender != own && view.sender == own;
        let lost = view.info.state == TargetState::Lost && !target.is_lost();
        target.info = view.info;
        target.sender = view.sender;
        target.token = view.token;
        if became_sender {
            target.sender_since = self.now;
        }
        changed_shards.extend(
            target
                .shards
                .iter()
                .map(|index| (target.service_index, *index)),
        );
        let is_keyed = self.services[service_index]
            .service
            .as_ref()
            .is_some_and(|s| s.is_keyed());
        if is_keyed && (lost || sender_removed) {
            self.abort_all(id, |_| true);
        } else if lost {
            // No other VM takes over for an unkeyed target, so only requests that can run elsewhere
            // are aborted.
            self.retry_unanswered(id);
        }
    }

    /// Removes a target. Requests in flight at the target may complete until their deadlines.
    fn remove_target(&mut self, id: TargetId, changed_shards: &mut BTreeSet<ShardKey>) {
        self.abort_all(id, |_| false);
        if let Some(target) = self.targets.remove(&id) {
            let owned = target
                .shards
                .iter()
                .map(|index| (target.service_index, *index));
            for key in owned.chain(target.round_robin.iter()) {
                // Another target may get the same id before the queue is assigned again.
                self.services[key.0].shard_mut(key.1).queue_target = None;
                changed_shards.insert(key);
            }
        }
        self.busy_targets.remove(&id);
    }

    fn set_shard(
        &mut self,
        key: ShardKey,
        view: Option<ShardView>,
        changed_shards: &mut BTreeSet<ShardKey>,
    ) {
        changed_shards.insert(key);
        let shard = self.services[key.0].shard_mut(key.1);
        let before = shard.owner;
        shard.homed_here = view.is_some();
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

    /// Updates the slots and connections of each target that this VM may use.
    pub(crate) fn update_limits(&mut self) {
        for target in self.targets.values_mut() {
            let service = self.services[target.service_index].service.as_deref();
            target.update_limits(service, self.config.vm, &self.group.vms);
        }
        for service_index in 0..self.services.len() {
            self.update_pools(service_index);
        }
    }

    /// Sends queued requests to every target with free slots.
    pub(crate) fn dispatch_all(&mut self) {
        let ids: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, t)| t.round_robin.queued() > 0)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.dispatch_keyed(id);
        }
        for service_index in 0..self.services.len() {
            for side in [Side::Old, Side::New] {
                if !self.services[service_index].pool(side).queue.is_empty() {
                    self.redistribute_pool(service_index, side);
                }
            }
        }
    }
}
