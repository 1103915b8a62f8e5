//! The domain group: a log, leaders that may not know of each other, and their effects.

use super::*;

/// A member that is leader or believes that it is.
pub(crate) struct Node {
    pub(crate) leader: Leader,
    pub(crate) state: State,
    pub(crate) epoch: u64,
    pub(crate) until: u64,
    /// Index of the VM that it runs on.
    pub(crate) host: usize,
    /// Whether it is cut off from all other members.
    pub(crate) isolated: bool,
    pub(crate) next_heartbeat: u64,
    /// Time before which it applies nothing.
    pub(crate) applies_from: u64,
}

impl World {
    /// Elects a new leader, whose state lags behind the log.
    pub(crate) fn elect(&mut self) {
        self.epoch += 1;
        // The proposals of the previous leader are either in the new leader's log or lost.
        let old: Vec<(u64, u64)> = self
            .messages
            .iter()
            .filter(|(_, m)| matches!(m, Message::Propose(epoch, ..) if *epoch < self.epoch))
            .map(|(key, _)| *key)
            .collect();
        for key in old {
            if let Some(Message::Propose(epoch, command, from)) = self.messages.remove(&key)
                && self.random.random()
            {
                self.append(epoch, command, from);
            }
        }
        let up: Vec<usize> = (0..self.vms.len())
            .filter(|&v| self.vms[v].up(self.now))
            .collect();
        let Some(&host) = up.get(self.random.random_range(0..up.len().max(1))) else {
            return;
        };
        let ms = Duration::from_millis;
        let config = LeaseConfig {
            vm_lease: ms(VM_LEASE_MS),
            target_lease: ms(TARGET_LEASE_MS),
            stall: ms(STALL_MS),
        };
        let slow = usize::from(self.faults_enabled && self.random.random_bool(0.4));
        let node = Node {
            leader: Leader::new(config, self.seed),
            state: self.lagging_state.clone(),
            epoch: self.epoch,
            until: self.now + 150,
            host,
            isolated: false,
            next_heartbeat: 0,
            applies_from: self.now + [0, self.random.random_range(0..300)][slow],
        };
        self.nodes.push(node);
        let elected = Event::Elected {
            epoch: self.epoch,
            recreated: self.committed_state.recreated(),
        };
        self.step_node(self.nodes.len() - 1, elected);
    }

    /// Commits a command unless its leader has been replaced.
    pub(crate) fn commit(&mut self, epoch: u64, command: Command, from: Option<usize>) {
        let leads = self
            .nodes
            .last()
            .is_some_and(|n| n.epoch == epoch && !n.isolated);
        if epoch == self.epoch && leads {
            self.append(epoch, command, from);
        }
    }

    fn append(&mut self, epoch: u64, command: Command, from: Option<usize>) {
        self.log.push((epoch, command.clone()));
        let outcome = self
            .committed_state
            .apply(self.log.len() as u64, epoch, &command);
        self.after_apply(&command, &outcome);
        if let (Outcome::Session(id), Some(at)) = (outcome, from) {
            let incarnation = self.processes[at].incarnation;
            self.send(Message::Registered(at, incarnation, id));
        }
    }

    pub(crate) fn step_group(&mut self) {
        while self.lagging_state.index() + 20 < self.log.len() as u64 {
            let index = self.lagging_state.index() + 1;
            let (epoch, command) = &self.log[index as usize - 1];
            self.lagging_state.apply(index, *epoch, command);
        }
        let current = self.nodes.len().wrapping_sub(1);
        for at in 0..self.nodes.len() {
            if !self.vms[self.nodes[at].host].up(self.now) {
                self.nodes[at].isolated = true;
                continue;
            }
            let node = &mut self.nodes[at];
            if at == current && !node.isolated {
                let lag = match self.random.random_range(0..10) {
                    0 => 3,
                    _ => 0,
                };
                let mut changed = false;
                while self.now >= node.applies_from
                    && node.state.index() + lag < self.log.len() as u64
                {
                    let index = node.state.index() + 1;
                    let (epoch, command) = &self.log[index as usize - 1];
                    node.state.apply(index, *epoch, command);
                    changed = true;
                }
                let heartbeat_due = self.now >= node.next_heartbeat;
                if heartbeat_due {
                    node.next_heartbeat = self.now + 40;
                    node.until = self.now + 150;
                }
                if heartbeat_due {
                    let until = Duration::from_millis(self.now + 150);
                    self.step_node(at, Event::LeadershipConfirmed { until });
                }
                if changed {
                    self.step_node(at, Event::StateChanged);
                }
            }
            self.step_node(at, Event::Tick);
        }
        // A replaced leader steps down some time after its leadership has ended.
        let (now, newest) = (self.now, self.epoch);
        self.nodes
            .retain(|n| n.epoch == newest || now < n.until + 400);
        // Election timeouts are between one and two times the length of a leadership.
        let until = self
            .nodes
            .last()
            .map_or(0, |n| if n.isolated { n.until } else { u64::MAX });
        if now >= until && (self.random.random_bool(0.1) || now - until > 130) {
            self.elect();
        }
    }

    /// Delivers an event to a member that believes that it is leader.
    pub(crate) fn deliver_to_leader(&mut self, event: Event) {
        if !self.nodes.is_empty() {
            let last = self.nodes.len() - 1;
            let at = match self.random.random_bool(0.8) {
                true => last,
                false => self.random.random_range(0..=last),
            };
            if self.vms[self.nodes[at].host].up(self.now) {
                self.step_node(at, event);
            }
        }
    }

    fn step_node(&mut self, at: usize, event: Event) {
        let now = self.ms();
        let node = &mut self.nodes[at];
        let epoch = node.epoch;
        for effect in node.leader.step(&node.state, event, now) {
            match effect {
                Effect::Propose(command) => {
                    self.checks.proposals += 1;
                    self.send(Message::Propose(epoch, command, None));
                }
                Effect::GrantVm {
                    vm,
                    incarnation,
                    nonce: sent,
                    min_view,
                    ..
                } => self.send(Message::GrantVm {
                    vm,
                    incarnation,
                    sent,
                    min_view,
                }),
                Effect::GrantTarget {
                    target,
                    nonce: sent,
                    ..
                } => self.send(Message::GrantTarget { target, sent }),
                Effect::RefuseTarget { target, .. } => self.send(Message::RefuseTarget(target)),
            }
        }
    }
}
