//! Faults, operators' changes, and the control group's decisions on homes.

use super::*;

impl World {
    /// Injects a random fault or repair, with low probability.
    pub(crate) fn inject_fault(&mut self) {
        if !self.random.random_bool(0.06) {
            return;
        }
        let now = self.now;
        let vm = self.random.random_range(0..self.vms.len());
        let target = self.random.random_range(0..self.processes.len());
        let pause = now + self.random.random_range(50..1500);
        let which = self.random.random_range(0..13);
        self.trace(|| format!("fault {which}, VM {vm}, target t{target}, until {pause} ms"));
        match which {
            0 => self.vms[vm].paused_until = pause,
            1 => self.vms[vm].alive = false,
            2 | 3 => self.restart_vm(vm),
            4 => self.processes[target].alive = false,
            5 => self.processes[target].restart(),
            6 => self.processes[target].frozen_until = pause,
            7 => self.processes[target].leaving = true,
            8 => {
                if let Some(node) = self.nodes.last_mut() {
                    node.isolated = true;
                }
            }
            9 => {
                self.version += 1;
                self.service.new_percent = [0, 20, 50, 80, 100][self.random.random_range(0..5)];
                self.set_services();
            }
            10 => self.vms[vm].views_from = pause,
            11 => self.replace_vm(vm, pause),
            _ => self.move_home(),
        }
    }

    fn restart_vm(&mut self, at: usize) {
        let id = self.vms[at].id;
        if self.vms.iter().all(|vm| vm.id != id || !vm.alive) {
            self.vms[at] = self.next_vm(id);
        }
    }

    /// Starts a new process of a VM whose earlier process is paused and considered dead.
    fn replace_vm(&mut self, at: usize, pause: u64) {
        if self.vms.len() < 5 && self.vms[at].alive {
            self.vms[at].paused_until = pause;
            let next = self.next_vm(self.vms[at].id);
            self.vms.push(next);
        }
    }

    fn next_vm(&self, id: VmId) -> Vm {
        let earlier = self.vms.iter().filter(|vm| vm.id == id);
        Vm::new(id, earlier.map(|vm| vm.incarnation).max().unwrap_or(0) + 1)
    }

    fn move_home(&mut self) {
        let index = self.random.random_range(0..SHARDS);
        match self.homes.get_mut(&index) {
            Some(home) => home.leaving = !home.leaving,
            None => {
                // The other domain has released it.
                self.foreign_shards.remove(&index);
                let home = HomedShard {
                    index,
                    since: self.homes_version + 1,
                    moved: true,
                    leaving: false,
                };
                self.homes.insert(index, home);
            }
        }
        self.set_homes();
        if self.random.random_bool(0.3) {
            let old = self.random.random_range(0..self.sent_homes.len());
            let command = self.sent_homes[old].clone();
            self.send(Message::Propose(self.epoch, command, None));
        }
    }

    /// Acts as the control group: moves shards that are to leave and are reported as parked.
    pub(crate) fn run_control_group(&mut self) {
        if self.now.is_multiple_of(200) && self.applied_versions.0 < self.homes_version {
            self.propose_homes();
        }
        if self.now.is_multiple_of(200) && self.applied_versions.1 < self.version {
            self.set_services();
        }
        let Some(node) = self.nodes.last() else {
            return;
        };
        let mut moved = false;
        for (_, index, since) in node.leader.parked(&node.state) {
            let Some(home) = self.homes.get_mut(&index).filter(|h| h.since == since) else {
                continue;
            };
            if home.leaving {
                self.homes.remove(&index);
                self.foreign_shards.insert(index);
            } else {
                // The move was cancelled after the shard was parked, so the shard gets a new home
                // here.
                home.since = self.homes_version + 1;
                home.moved = true;
            }
            moved = true;
        }
        if moved {
            self.set_homes();
        }
    }

    /// Ends all faults: every process runs, and every list is sent again.
    pub(crate) fn end_faults(&mut self) {
        self.faults_enabled = false;
        for at in 0..self.vms.len() {
            let newest = self.next_vm(self.vms[at].id).incarnation - 1;
            self.vms[at].alive &= self.vms[at].incarnation == newest;
            self.vms[at].paused_until = 0;
            self.vms[at].views_from = 0;
        }
        for at in 0..self.vms.len() {
            self.restart_vm(at);
        }
        for process in &mut self.processes {
            if !process.alive || process.leaving {
                process.restart();
            }
            process.frozen_until = 0;
        }
        for home in self.homes.values_mut() {
            home.leaving = false;
        }
        self.set_services();
        self.set_homes();
    }

    /// Updates since when each servable shard has not been served, and returns the shards that have
    /// not been served for more than `limit` milliseconds.
    pub(crate) fn unserved(&mut self, limit: u64) -> Vec<String> {
        let now = self.now;
        let possible = |side: Side| {
            let mut up = self.processes.iter().filter(|p| p.up(now));
            up.any(|p| p.spec.side == side)
        };
        let missing: Vec<u32> = self
            .homes
            .keys()
            .copied()
            .filter(|&index| possible(self.service.side_of(index)) && !self.serves(index))
            .collect();
        self.unserved_since
            .retain(|index, _| missing.contains(index));
        for index in missing {
            self.unserved_since.entry(index).or_insert(now);
        }
        let late = self
            .unserved_since
            .iter()
            .filter(|&(_, &since)| now > since + limit);
        late.map(|(&index, since)| {
            let shard = ShardRef::new(SERVICE, index);
            format!(
                "{index} since {since}: {:?}",
                self.committed_state.shard(&shard)
            )
        })
        .collect()
    }

    /// Returns whether a VM may write to a target for the shard and the target would accept the
    /// request.
    fn serves(&self, index: u32) -> bool {
        let reference = ShardRef::new(SERVICE, index);
        self.vms.iter().any(|vm| {
            let shard = vm.shards.get(&index);
            let target = shard.and_then(|s| Some((s, vm.may_write(s, self.now)?)));
            target.is_some_and(|(shard, target)| {
                let process = &self.processes[target.info.spec.address.port() as usize];
                process.accepts(&reference, shard.token.max(target.token), self.now)
            })
        })
    }
}
