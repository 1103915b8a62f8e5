//! Failures, operators' changes, and the control group's decisions on homes.

use super::*;

impl World {
    /// Lets something fail or come back, now and then.
    pub(crate) fn inject(&mut self) {
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
                    node.cut = true;
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

    /// Starts a process for a VM whose earlier process is paused and taken for dead.
    fn replace_vm(&mut self, at: usize, pause: u64) {
        if self.vms.len() < 5 && self.vms[at].alive {
            self.vms[at].paused_until = pause;
            let next = self.next_vm(self.vms[at].id);
            self.vms.push(next);
        }
    }

    fn next_vm(&self, id: VmId) -> Vm {
        let runs = self.vms.iter().filter(|vm| vm.id == id);
        Vm::new(id, runs.map(|vm| vm.incarnation).max().unwrap_or(0) + 1)
    }

    fn move_home(&mut self) {
        let index = self.random.random_range(0..SHARDS);
        match self.homes.get_mut(&index) {
            Some(home) => home.leaving = !home.leaving,
            None => {
                // The other domain has released it.
                self.away.remove(&index);
                let home = HomedShard {
                    index,
                    since: self.directory + 1,
                    moved: true,
                    leaving: false,
                };
                self.homes.insert(index, home);
            }
        }
        self.set_homes();
        if self.random.random_bool(0.3) {
            let old = self.random.random_range(0..self.old_lists.len());
            let command = self.old_lists[old].clone();
            self.send(Message::Propose(self.epoch, command, None));
        }
    }

    /// Moves shards that were asked to leave and are reported as parked.
    pub(crate) fn control(&mut self) {
        if self.now.is_multiple_of(200) && self.applied.0 < self.directory {
            self.repeat_homes();
        }
        if self.now.is_multiple_of(200) && self.applied.1 < self.version {
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
                self.away.insert(index);
            } else {
                // The move was called off after the shard was parked: it gets a new home here.
                home.since = self.directory + 1;
                home.moved = true;
            }
            moved = true;
        }
        if moved {
            self.set_homes();
        }
    }

    /// Ends all failures: everything runs, every list is sent again.
    pub(crate) fn heal(&mut self) {
        self.faulty = false;
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

    /// Notes since when each shard that could be served here has not been served, and returns those
    /// that have waited for more than `limit`.
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
        self.waiting.retain(|index, _| missing.contains(index));
        for index in missing {
            self.waiting.entry(index).or_insert(now);
        }
        let late = self
            .waiting
            .iter()
            .filter(|&(_, &since)| now > since + limit);
        late.map(|(&index, since)| {
            let shard = ShardRef::new(SERVICE, index);
            format!("{index} since {since}: {:?}", self.truth.shard(&shard))
        })
        .collect()
    }

    /// Tells whether a VM may write to a target for the shard and the target would accept it.
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
