//! Commands on sessions, senders and services.

use std::collections::BTreeSet;

use camphordale_types::{
    Incarnation,
    Service,
    ServiceName,
    SessionId,
    ShardIndex,
    ShardRef,
    TargetId,
    TargetInfo,
    TargetSpec,
    TargetState,
    Token,
    VmId, //
};

use crate::{
    Command,
    Outcome, //
};

use super::{
    Phase,
    State,
    TargetEntry,
    VmSession, //
};

impl State {
    /// Applies the command at log `index` of Raft term `epoch`.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_domain::{Command, Outcome, State};
    ///
    /// let mut state = State::new(1, false);
    /// let lost = state.apply(1, 1, &Command::MarkTargetLost(5));
    /// assert!(matches!(lost, Outcome::Refused(_)));
    /// ```
    pub fn apply(&mut self, index: u64, epoch: u64, command: &Command) -> Outcome {
        self.index = index;
        self.epoch = epoch;
        match command {
            Command::OpenVmSession { vm, incarnation } => self.open_vm_session(*vm, *incarnation),
            Command::EndVmSession { vm, incarnation } => self.end_vm_session(*vm, *incarnation),
            Command::OpenTargetSession(spec) => self.open_target_session(spec),
            Command::MarkTargetLeaving(id) => self.mark_target_leaving(*id),
            Command::MarkTargetLost(id) => self.mark_target_lost(*id),
            Command::SetServices { version, services } => self.set_services(*version, services),
            Command::SetHomes {
                service,
                version,
                shards,
            } => self.set_homes(service, *version, shards),
            Command::SetSender {
                target,
                expected_sender,
                sender,
                session,
            } => self.set_sender(*target, *expected_sender, *sender, *session),
            Command::Assign {
                shard,
                expected_token,
                owner,
            } => self.assign(shard, *expected_token, *owner),
            Command::Release {
                shard,
                expected_token,
            } => self.release(shard, *expected_token),
            Command::Free {
                shard,
                expected_token,
            } => self.free(shard, *expected_token),
            Command::Park {
                shard,
                expected_token,
            } => self.park(shard, *expected_token),
            Command::CreateRecord {
                shard,
                token,
                key,
                request,
            } => self.create_record(shard, *token, *key, *request),
            Command::FinishRecord {
                key,
                request,
                response,
            } => self.finish_record(*key, *request, response.as_ref()),
            Command::EraseRecord { key, request } => self.erase_record(*key, *request),
            Command::ExpireRecords { keys } => self.expire_records(keys),
            Command::MarkRecordsComplete { shards } => self.mark_records_complete(shards),
        }
    }

    fn open_vm_session(&mut self, vm: VmId, incarnation: Incarnation) -> Outcome {
        if self
            .vms
            .get(&vm)
            .is_some_and(|s| s.incarnation == incarnation)
        {
            return Outcome::Done;
        }
        self.end_sender_rights(vm);
        let id = self.index;
        let session = VmSession {
            id,
            incarnation,
            previous: self.last_sessions.insert(vm, id),
        };
        self.vms.insert(vm, session);
        self.mark_layout_changed();
        Outcome::Done
    }

    fn end_vm_session(&mut self, vm: VmId, incarnation: Incarnation) -> Outcome {
        match self.vms.get(&vm) {
            Some(session) if session.incarnation == incarnation => {
                self.vms.remove(&vm);
                self.end_sender_rights(vm);
                self.mark_layout_changed();
                Outcome::Done
            }
            _ => Outcome::Refused("the VM has no such session".into()),
        }
    }

    /// Removes a VM as the sender of its targets. A later session of the same VM must not stay
    /// sender, because it would use the same token as the earlier one.
    fn end_sender_rights(&mut self, vm: VmId) {
        for target in self.targets.values_mut().filter(|t| t.sender == Some(vm)) {
            target.sender = None;
            target.changed = self.index;
        }
    }

    fn open_target_session(&mut self, spec: &TargetSpec) -> Outcome {
        let earlier: Vec<TargetId> = self
            .targets
            .values()
            .filter(|t| t.info.spec.name == spec.name && t.info.state != TargetState::Lost)
            .map(|t| t.info.id)
            .collect();
        for id in earlier {
            self.set_target_state(id, TargetState::Lost);
            self.remove_if_unused(id);
        }
        let id = self.index;
        let info = TargetInfo {
            id,
            spec: spec.clone(),
            state: TargetState::Serving,
        };
        let entry = TargetEntry {
            info,
            sender: None,
            sender_session: None,
            previous_session: None,
            token: Token::default(),
            owned_shards: 0,
            changed: id,
        };
        self.targets.insert(id, entry);
        self.mark_layout_changed();
        Outcome::Session(id)
    }

    fn mark_target_leaving(&mut self, id: TargetId) -> Outcome {
        match self.targets.get(&id).map(|t| t.info.state) {
            Some(TargetState::Serving) => {
                self.set_target_state(id, TargetState::Leaving);
                Outcome::Done
            }
            Some(TargetState::Leaving) => Outcome::Done,
            _ => Outcome::Refused("the target has no session".into()),
        }
    }

    fn mark_target_lost(&mut self, id: TargetId) -> Outcome {
        match self.targets.get(&id).map(|t| t.info.state) {
            Some(TargetState::Serving | TargetState::Leaving) => {
                self.set_target_state(id, TargetState::Lost);
                self.remove_if_unused(id);
                Outcome::Done
            }
            _ => Outcome::Refused("the target has no session".into()),
        }
    }

    fn set_target_state(&mut self, id: TargetId, state: TargetState) {
        if let Some(target) = self.targets.get_mut(&id) {
            target.info.state = state;
            target.changed = self.index;
            self.mark_layout_changed();
        }
    }

    fn set_services(&mut self, version: u64, services: &[Service]) -> Outcome {
        if version < self.bundle_version {
            return Outcome::Refused("a later bundle is in force".into());
        }
        if version == self.bundle_version {
            return Outcome::Done;
        }
        for service in services {
            let longest = self.max_deadlines.entry(service.name.clone()).or_default();
            *longest = service.deadline.max(*longest);
        }
        let changed: Vec<(ServiceName, BTreeSet<ShardIndex>)> = services
            .iter()
            .filter_map(|service| {
                let before = self.services.get(&service.name)?;
                let remapped = service.remapped_shards(before);
                (!remapped.is_empty()).then(|| (service.name.clone(), remapped))
            })
            .collect();
        self.bundle_version = version;
        self.services = services
            .iter()
            .map(|s| (s.name.clone(), s.clone()))
            .collect();
        for (service, remapped) in changed {
            self.start_remapping(&service, remapped);
        }
        self.mark_layout_changed();
        Outcome::Done
    }

    /// Starts the release of owned shards whose keys changed, and keeps all changed shards from
    /// being assigned until none of them has an owner.
    fn start_remapping(&mut self, service: &ServiceName, remapped: BTreeSet<ShardIndex>) {
        for &index in &remapped {
            let shard = ShardRef::new(service, index);
            if let Some(Phase::Held(owner)) = self.shard(&shard).map(|entry| entry.phase) {
                self.set_phase(&shard, Phase::Releasing(owner));
            }
        }
        let draining = self.remapping.entry(service.clone()).or_default();
        draining.extend(remapped);
        self.end_remapping(service);
    }

    fn set_sender(
        &mut self,
        id: TargetId,
        expected_sender: Option<VmId>,
        sender: VmId,
        session: SessionId,
    ) -> Outcome {
        if self.vms.get(&sender).is_none_or(|s| s.id != session) {
            return Outcome::Refused("the VM has no such session".into());
        }
        let Some(service) = self.targets.get(&id).map(|t| &t.info.spec.service) else {
            return Outcome::Refused("the target has no session".into());
        };
        let token = self.new_token(service);
        let Some(target) = self.targets.get_mut(&id) else {
            return Outcome::Refused("the target has no session".into());
        };
        if target.sender != expected_sender {
            return Outcome::Refused("the target has another sender".into());
        }
        if target.sender.is_some() {
            return Outcome::Refused("the target's sender has a session".into());
        }
        target.sender = Some(sender);
        target.previous_session = target.sender_session.replace(session);
        target.token = token;
        target.changed = self.index;
        self.mark_layout_changed();
        Outcome::Done
    }
}
