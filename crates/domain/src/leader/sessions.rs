//! Expiry of sessions, senders of targets, and lifetime of records.

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
    Reign,
    Subject, //
};

/// Records or shards that one command names at most.
const BATCH: usize = 512;

/// Time for which the leader of a replaced group could still grant leases after its last round
/// of heartbeats.
const QUORUM_TAIL: Duration = Duration::from_millis(300);

impl Reign {
    /// Returns the time at which every lease of a replaced group has run out.
    fn old_leases_end(&self) -> Duration {
        match self.recreated {
            true => self.elected + QUORUM_TAIL + self.config.vm_lease.max(self.config.target_lease),
            false => Duration::ZERO,
        }
    }

    /// Tells whether a shard of service `name` may still be served under a replaced group.
    ///
    /// Its owner may be a target that does not check tokens and has not announced itself to this
    /// group, so the deadline counts whatever the targets known here say.
    pub(super) fn served_before(&self, state: &State, name: &str, now: Duration) -> bool {
        let sent = self.elected + QUORUM_TAIL + self.config.vm_lease + self.config.stall;
        let end = self.old_leases_end().max(sent + state.deadline(name));
        // Without a bundle the deadlines are not known.
        self.recreated && !state.opened(name) && (now < end || state.bundle_version() == 0)
    }

    pub(super) fn expire_sessions(&mut self, state: &State, now: Duration) {
        // Once this group has assigned a shard, an earlier leader has waited for the old leases.
        let opened = state.services().any(|s| state.opened(&s.name));
        if !opened && now < self.old_leases_end() {
            return;
        }
        for (vm, session) in state.vms() {
            if now >= self.leases.vm_end(session.id) {
                let incarnation = session.incarnation;
                let command = Command::EndVmSession { vm, incarnation };
                self.propose(Subject::VmDown(vm), session.id, command, now);
            }
        }
        for target in state.targets() {
            let id = target.info.id;
            if target.info.state != TargetState::Lost && now >= self.leases.target_end(id) {
                let command = Command::MarkTargetLost(id);
                self.propose(Subject::Target(id), target.changed, command, now);
            }
        }
    }

    /// Gives a sender to every target of a keyed service that has none.
    pub(super) fn set_senders(&mut self, state: &State, now: Duration) {
        if state
            .targets()
            .all(|target| !self.needs_sender(state, target, now))
        {
            return;
        }
        let fresh = |renewed: Duration| now < renewed + self.config.vm_lease / 2;
        // An earlier process of the VM that still runs would take the right for its own.
        let alone = |session: VmSession| {
            session
                .earlier
                .is_none_or(|id| now >= self.leases.vm_end(id) + self.config.stall)
        };
        let usable = || state.vms().filter(|(_, session)| alone(*session));
        let mut vms: Vec<(VmId, VmSession)> = usable()
            .filter(|(_, session)| fresh(self.leases.vm_renewed(session.id)))
            .collect();
        if vms.is_empty() {
            vms = usable().collect();
        }
        let mut total: BTreeMap<VmId, u32> = BTreeMap::new();
        let mut by_service: BTreeMap<(&str, VmId), u32> = BTreeMap::new();
        for target in state.targets() {
            if let Some(vm) = target.sender {
                *total.entry(vm).or_default() += 1;
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
                let all = total.get(&vm).copied().unwrap_or(0);
                (same, all, vm)
            });
            let Some((sender, session)) = sender else {
                return;
            };
            *total.entry(sender).or_default() += 1;
            *by_service.entry((service, sender)).or_default() += 1;
            let id = target.info.id;
            let command = Command::SetSender {
                target: id,
                expect: target.sender,
                sender,
                session: session.id,
            };
            self.propose(Subject::Sender(id), target.changed, command, now);
        }
    }

    fn needs_sender(&self, state: &State, target: &TargetEntry, now: Duration) -> bool {
        let spec = &target.info.spec;
        let keyed = state.service(&spec.service).is_some_and(|s| s.is_keyed());
        // A target that checks tokens refuses the former sender once the new one has sent.
        let quiet = match target.sender_session {
            Some(holder) if !spec.checks_tokens => {
                now >= self.leases.vm_end(holder) + self.config.stall
            }
            _ => true,
        };
        keyed && target.sender.is_none() && target.info.state != TargetState::Lost && quiet
    }

    /// Ends the lifetime of records, and of the time in which records may be missing.
    pub(super) fn expire_records(&mut self, state: &State, now: Duration) {
        let sent = self.config.vm_lease + self.config.stall;
        for name in state.homed_services() {
            let Some(service) = state.service(name) else {
                continue;
            };
            // A record must outlive the request that made it.
            let life = service.record_life.max(state.deadline(name) + sent);
            let Some(index) = self.marks.reached(life, now) else {
                continue;
            };
            let keys = state.records_until(name, index, BATCH);
            if let Some(&(_, request)) = keys.first() {
                let command = Command::ExpireRecords { keys };
                let subject = Subject::Records(name.clone());
                self.propose(subject, request as u64, command, now);
            }
            let shards: Vec<(ShardRef, u64)> = state
                .shards(name)
                .filter(|(_, shard)| !shard.records_complete && shard.homed_at <= index)
                .map(|(at, shard)| (ShardRef::new(name, at), shard.since))
                .take(BATCH)
                .collect();
            if let Some((first, _)) = shards.first() {
                let version = u64::from(first.index);
                let command = Command::MarkRecordsComplete { shards };
                self.propose(Subject::Settle(name.clone()), version, command, now);
            }
        }
    }
}
