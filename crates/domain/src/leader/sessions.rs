//! Expiry of sessions and records, and assignment of senders to targets.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_types::{
    ShardRef,
    TargetState,
    VmId, //
};

use crate::{
    Command,
    State,
    TargetEntry,
    VmSession, //
};

use super::{
    LeaderState,
    Subject, //
};

/// Maximum number of records or shards in one command.
const MAX_BATCH: usize = 512;

/// Time for which the leader of a lost predecessor group could still grant leases after its last
/// heartbeat round.
const PREDECESSOR_LEADER_LEASE: Duration = Duration::from_millis(300);

impl LeaderState {
    /// Returns the time by which all leases of a lost predecessor group have expired.
    fn predecessor_lease_expiry(&self) -> Duration {
        match self.recreated {
            true => {
                self.elected_at
                    + PREDECESSOR_LEADER_LEASE
                    + self.config.vm_lease.max(self.config.target_lease)
            }
            false => Duration::ZERO,
        }
    }

    /// Returns whether a shard of service `name` may still be served under the predecessor group.
    ///
    /// Its owner may be a target that does not check tokens and has not registered with this group,
    /// so the deadline applies regardless of which targets are known here.
    pub(super) fn predecessor_may_serve(&self, state: &State, name: &str, now: Duration) -> bool {
        let last_send_at =
            self.elected_at + PREDECESSOR_LEADER_LEASE + self.config.vm_lease + self.config.stall;
        let end = self
            .predecessor_lease_expiry()
            .max(last_send_at + state.max_deadline(name));
        // Without a bundle the deadlines are unknown.
        self.recreated && !state.has_assigned(name) && (now < end || state.bundle_version() == 0)
    }

    pub(super) fn expire_sessions(&mut self, state: &State, now: Duration) {
        // Once this group has assigned a shard, an earlier leader has waited for the predecessor's
        // leases.
        let has_assigned = state.services().any(|s| state.has_assigned(&s.name));
        if !has_assigned && now < self.predecessor_lease_expiry() {
            return;
        }
        for (vm, session) in state.vms() {
            if now >= self.leases.vm_lease_expiry(session.id) {
                let incarnation = session.incarnation;
                let command = Command::EndVmSession { vm, incarnation };
                self.propose(Subject::EndVmSession(vm), session.id, command, now);
            }
        }
        for target in state.targets() {
            let id = target.info.id;
            if target.info.state != TargetState::Lost && now >= self.leases.target_lease_expiry(id)
            {
                let command = Command::MarkTargetLost(id);
                self.propose(Subject::Target(id), target.changed, command, now);
            }
        }
    }

    /// Assigns a sender to every target of a keyed service that has none.
    pub(super) fn assign_senders(&mut self, state: &State, now: Duration) {
        if state
            .targets()
            .all(|target| !self.needs_sender(state, target, now))
        {
            return;
        }
        let recently_renewed = |renewed: Duration| now < renewed + self.config.vm_lease / 2;
        // An earlier process of the VM that still runs would consider itself the sender.
        let is_only_process = |session: VmSession| {
            session
                .previous
                .is_none_or(|id| now >= self.leases.vm_lease_expiry(id) + self.config.stall)
        };
        let usable = || state.vms().filter(|(_, session)| is_only_process(*session));
        let mut vms: Vec<(VmId, VmSession)> = usable()
            .filter(|(_, session)| recently_renewed(self.leases.vm_renewed_at(session.id)))
            .collect();
        if vms.is_empty() {
            vms = usable().collect();
        }
        let mut totals: BTreeMap<VmId, u32> = BTreeMap::new();
        let mut by_service: BTreeMap<(&str, VmId), u32> = BTreeMap::new();
        for target in state.targets() {
            if let Some(vm) = target.sender {
                *totals.entry(vm).or_default() += 1;
                *by_service
                    .entry((&target.info.spec.service, vm))
                    .or_default() += 1;
            }
        }
        for target in state.targets() {
            if !self.needs_sender(state, target, now) {
                continue;
            }
            let service = &*target.info.spec.service;
            let sender = vms.iter().copied().min_by_key(|&(vm, _)| {
                let same = by_service.get(&(service, vm)).copied().unwrap_or(0);
                let total = totals.get(&vm).copied().unwrap_or(0);
                (same, total, vm)
            });
            let Some((sender, session)) = sender else {
                return;
            };
            *totals.entry(sender).or_default() += 1;
            *by_service.entry((service, sender)).or_default() += 1;
            let id = target.info.id;
            let command = Command::SetSender {
                target: id,
                expected_sender: target.sender,
                sender,
                session: session.id,
            };
            self.propose(Subject::Sender(id), target.changed, command, now);
        }
    }

    fn needs_sender(&self, state: &State, target: &TargetEntry, now: Duration) -> bool {
        let spec = &target.info.spec;
        let keyed = state.service(&spec.service).is_some_and(|s| s.is_keyed());
        // A target that checks tokens refuses the previous sender once the new one has sent a
        // request.
        let old_sender_stopped = match target.sender_session {
            Some(session) if !spec.checks_tokens => {
                now >= self.leases.vm_lease_expiry(session) + self.config.stall
            }
            _ => true,
        };
        keyed
            && target.sender.is_none()
            && target.info.state != TargetState::Lost
            && old_sender_stopped
    }

    /// Expires records, and ends the time in which records may be missing.
    pub(super) fn expire_records(&mut self, state: &State, now: Duration) {
        let send_window = self.config.vm_lease + self.config.stall;
        for name in state.homed_services() {
            let Some(service) = state.service(name) else {
                continue;
            };
            // A record must outlive the request that created it.
            let lifetime = service
                .record_life
                .max(state.max_deadline(name) + send_window);
            let Some(index) = self.index_times.index_at_age(lifetime, now) else {
                continue;
            };
            let keys = state.records_until(name, index, MAX_BATCH);
            if let Some(&(_, request)) = keys.first() {
                let command = Command::ExpireRecords { keys };
                let subject = Subject::Records(name.clone());
                self.propose(subject, request as u64, command, now);
            }
            let shards: Vec<(ShardRef, u64)> = state
                .shards(name)
                .filter(|(_, shard)| !shard.records_complete && shard.homed_at <= index)
                .map(|(at, shard)| (ShardRef::new(name, at), shard.since))
                .take(MAX_BATCH)
                .collect();
            if let Some((first, _)) = shards.first() {
                let version = u64::from(first.index);
                let command = Command::MarkRecordsComplete { shards };
                self.propose(
                    Subject::RecordsComplete(name.clone()),
                    version,
                    command,
                    now,
                );
            }
        }
    }
}
