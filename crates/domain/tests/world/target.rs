//! A target process.

use super::*;

pub(crate) struct Process {
    pub(crate) spec: TargetSpec,
    /// Number of its restarts.
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) frozen_until: u64,
    pub(crate) leaving: bool,
    pub(crate) id: Option<TargetId>,
    pub(crate) lease_until: u64,
    pub(crate) seen_tokens: BTreeMap<ShardRef, Token>,
    pub(crate) inbox: Vec<Write>,
    /// Running requests with the time at which they end.
    pub(crate) running: Vec<(Write, u64)>,
    pub(crate) next_message: u64,
}

impl Process {
    /// Creates the process at address `at`. Processes 0 to 2 serve the old side, the others the new
    /// side.
    pub(crate) fn new(at: usize, checks: bool) -> Self {
        let spec = TargetSpec {
            name: format!("t{at}").into(),
            service: SERVICE.into(),
            side: if at < 3 { Side::Old } else { Side::New },
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, at as u16)),
            checks_tokens: checks,
            slots: 4,
        };
        Process {
            spec,
            incarnation: 0,
            alive: true,
            frozen_until: 0,
            leaving: false,
            id: None,
            lease_until: 0,
            seen_tokens: BTreeMap::new(),
            inbox: Vec::new(),
            running: Vec::new(),
            next_message: 0,
        }
    }

    pub(crate) fn up(&self, now: u64) -> bool {
        self.alive && now >= self.frozen_until
    }

    /// Restarts the process, which loses all its state.
    pub(crate) fn restart(&mut self) {
        let at = usize::from(self.spec.address.port());
        let incarnation = self.incarnation + 1;
        *self = Process {
            incarnation,
            ..Process::new(at, self.spec.checks_tokens)
        };
    }

    pub(crate) fn registered(&mut self, incarnation: u64, id: TargetId) {
        if self.alive && self.incarnation == incarnation && self.id.is_none_or(|old| old < id) {
            self.id = Some(id);
        }
    }

    pub(crate) fn grant_lease(&mut self, sent: u64) {
        self.lease_until = self.lease_until.max(sent + TARGET_LEASE_MS * 97 / 100);
    }

    /// Returns whether it may execute requests.
    pub(crate) fn may_execute(&self, now: u64) -> bool {
        self.up(now) && (!self.spec.checks_tokens || now < self.lease_until)
    }

    pub(crate) fn accepts(&self, shard: &ShardRef, token: Token, now: u64) -> bool {
        let fresh = self
            .seen_tokens
            .get(shard)
            .is_none_or(|&seen| token >= seen);
        self.may_execute(now) && (!self.spec.checks_tokens || fresh)
    }
}

impl World {
    pub(crate) fn step_process(&mut self, at: usize) {
        let now = self.now;
        if !self.processes[at].up(now) {
            return;
        }
        if now >= self.processes[at].next_message {
            self.processes[at].next_message = now + 150;
            match self.processes[at].id {
                None => {
                    let command = Command::OpenTargetSession(self.processes[at].spec.clone());
                    let message = Message::Propose(self.epoch, command, Some(at));
                    self.send(message);
                }
                Some(target) => {
                    self.send(Message::ToLeader(Event::RenewTarget {
                        target,
                        load: LoadReport::default(),
                        nonce: now,
                    }));
                    if self.processes[at].leaving {
                        self.propose(Command::MarkTargetLeaving(target));
                    }
                }
            }
        }
        let process = &mut self.processes[at];
        if process.spec.checks_tokens && now >= process.lease_until {
            // Requests accepted under a lease end with it, even if a new session follows.
            process.running.clear();
        }
        for write in std::mem::take(&mut process.inbox) {
            if now < write.end && process.accepts(&write.shard, write.token, now) {
                process.seen_tokens.insert(write.shard.clone(), write.token);
                let end = write.end.min(now + write.duration);
                process.running.push((write, end));
            }
        }
        let (running, ended): (Vec<_>, Vec<_>) =
            process.running.drain(..).partition(|(_, end)| *end > now);
        process.running = running;
        for (write, _) in ended {
            self.send(Message::Response(write.vm, write.incarnation, write.id));
        }
    }
}
