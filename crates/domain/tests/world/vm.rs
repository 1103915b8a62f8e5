//! An entry VM, which sends requests while its lease and its view allow.

use super::*;

pub(crate) struct Vm {
    pub(crate) id: VmId,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) paused_until: u64,
    pub(crate) last_tick: u64,
    pub(crate) lease_until: u64,
    pub(crate) min_view: u64,
    pub(crate) view_index: u64,
    pub(crate) targets: BTreeMap<TargetId, TargetView>,
    pub(crate) shards: BTreeMap<u32, ShardView>,
    /// Requests without a response: shard, and time by which they have ended.
    pub(crate) in_flight: BTreeMap<RequestId, (u32, u64)>,
    pub(crate) next_renewal: u64,
    /// Time before which no view arrives.
    pub(crate) views_from: u64,
}

impl Vm {
    pub(crate) fn new(id: VmId, incarnation: u64) -> Self {
        Vm {
            id,
            incarnation,
            alive: true,
            paused_until: 0,
            last_tick: 0,
            lease_until: 0,
            min_view: 0,
            view_index: 0,
            targets: BTreeMap::new(),
            shards: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            next_renewal: 0,
            views_from: 0,
        }
    }

    pub(crate) fn up(&self, now: u64) -> bool {
        self.alive && now >= self.paused_until
    }

    pub(crate) fn grant_lease(&mut self, sent: u64, min_view: u64) {
        // The holder subtracts a tenth of the lease for clock drift; here its clock is slow by most
        // of that tenth.
        let until = sent + VM_LEASE_MS * 97 / 100;
        if until > self.lease_until {
            self.lease_until = until;
            self.min_view = min_view;
        }
    }

    pub(crate) fn apply_view(&mut self, view: View) {
        if view.since > self.view_index || view.index < self.view_index && view.since > 0 {
            return;
        }
        if view.since == 0 {
            if view.index < self.view_index {
                return;
            }
            self.targets.clear();
            self.shards.clear();
        }
        self.view_index = view.index;
        for id in view.removed_targets {
            self.targets.remove(&id);
        }
        for (_, index) in view.removed_shards {
            self.shards.remove(&index);
        }
        self.targets
            .extend(view.targets.into_iter().map(|t| (t.info.id, t)));
        self.shards
            .extend(view.shards.into_iter().map(|s| (s.index, s)));
    }

    fn has_lease(&self, now: u64) -> bool {
        now < self.lease_until && self.view_index >= self.min_view
    }

    /// Returns the target that this VM may write to for `shard` according to its lease and view.
    pub(crate) fn may_write(&self, shard: &ShardView, now: u64) -> Option<&TargetView> {
        let target = self.targets.get(&shard.owner?)?;
        let sender = target.sender == Some(self.id);
        (!shard.releasing && sender && self.has_lease(now) && self.up(now)).then_some(target)
    }
}

impl World {
    pub(crate) fn step_vm(&mut self, at: usize) {
        let now = self.now;
        let vm = &mut self.vms[at];
        if !vm.up(now) {
            return;
        }
        if now > vm.last_tick + 250 {
            vm.lease_until = 0;
        }
        vm.last_tick = now;
        vm.in_flight.retain(|_, (_, end)| *end > now);
        let (id, incarnation) = (vm.id, vm.incarnation);
        if now >= vm.next_renewal {
            vm.next_renewal = now + 100;
            let nonce = now;
            self.send(Message::ToLeader(Event::RenewVm {
                vm: id,
                incarnation,
                nonce,
            }));
        }
        if now >= self.vms[at].views_from && self.random.random_bool(0.6) {
            // Any member replies with the state that it has applied.
            let source = match self.random.random_bool(0.1) {
                true => &self.lagging_state,
                false => &self.committed_state,
            };
            let view = source.view(self.vms[at].view_index);
            self.send(Message::View(id, incarnation, view));
        }
        self.report_released(at);
        self.report_others(id);
        if self.requests_enabled {
            self.write_requests(at);
        }
    }

    /// Reports load, and suspicions that are mostly wrong.
    fn report_others(&mut self, vm: VmId) {
        if self.requests_enabled && self.random.random_bool(0.1) {
            let index = self.random.random_range(0..SHARDS);
            let count = self.random.random_range(0..100);
            let shards = vec![(SERVICE.into(), index, count)];
            self.send(Message::ToLeader(Event::ShardLoad { vm, shards }));
        }
        if self.faults_enabled && self.random.random_bool(0.02) {
            let at = self.random.random_range(0..self.processes.len());
            if let Some(target) = self.processes[at].id {
                self.send(Message::ToLeader(Event::SuspectTarget { vm, target }));
            }
        }
    }

    fn report_released(&mut self, at: usize) {
        let (now, vm) = (self.now, &self.vms[at]);
        let mut reports = Vec::new();
        for shard in vm.shards.values().filter(|s| s.releasing) {
            let target = shard.owner.and_then(|owner| vm.targets.get(&owner));
            if target.is_some_and(|t| t.sender == Some(vm.id)) {
                let ends = vm.in_flight.values().filter(|(s, _)| *s == shard.index);
                let clear = ends.map(|(_, end)| end - now).max().unwrap_or(0);
                reports.push(Event::ShardReleased {
                    vm: vm.id,
                    incarnation: vm.incarnation,
                    shard: ShardRef::new(SERVICE, shard.index),
                    token: shard.token,
                    drain_time: Duration::from_millis(clear),
                });
            }
        }
        for report in reports {
            self.send(Message::ToLeader(report));
        }
    }

    fn write_requests(&mut self, at: usize) {
        let now = self.now;
        let deadline = self.service.deadline.as_millis() as u64;
        let vm = &self.vms[at];
        let writable: Vec<(ShardView, TargetView)> = vm
            .shards
            .values()
            .filter_map(|s| Some((s.clone(), vm.may_write(s, now)?.clone())))
            .collect();
        for (shard, target) in writable {
            if self.random.random_bool(0.5) {
                continue;
            }
            self.sequence += 1;
            let id = u128::from(self.sequence);
            let reference = ShardRef::new(SERVICE, shard.index);
            if self.random.random_bool(0.2) {
                let key = Digest::of(&[self.random.random_range(0..12u8), shard.index as u8]);
                self.propose(Command::CreateRecord {
                    shard: reference.clone(),
                    token: shard.token,
                    key,
                    request: id,
                });
            }
            // The write follows the check immediately, or after a pause of up to the stall time.
            let delay = match self.random.random_range(0..10) {
                0 => self.random.random_range(0..STALL_MS),
                1 => STALL_MS,
                _ => 0,
            };
            let duration = match self.random.random_range(0..10) {
                0 | 1 => self.random.random_range(0..=deadline),
                2 => deadline,
                _ => 5,
            };
            let write = Write {
                id,
                vm: self.vms[at].id,
                incarnation: self.vms[at].incarnation,
                shard: reference,
                token: shard.token.max(target.token),
                duration,
                end: now + delay + deadline,
            };
            self.vms[at]
                .in_flight
                .insert(id, (shard.index, now + deadline));
            // The connection leads to the process that has the address now.
            let address = target.info.spec.address.port() as usize;
            let incarnation = self.processes[address].incarnation;
            self.send_after(delay, Message::Write(address, incarnation, write));
        }
    }
}
