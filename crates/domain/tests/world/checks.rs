//! Invariants that are checked after every step.

use super::*;

/// State of the checks between steps.
pub(crate) struct CheckState {
    shards: BTreeMap<u32, ShardEntry>,
    tokens: BTreeMap<ShardRef, Token>,
    senders: BTreeMap<TargetId, Token>,
    /// Time at which each record was created.
    created_at: BTreeMap<RecordKey, u64>,
    /// Time at which records of a shard may have been lost.
    records_lost: BTreeMap<u32, u64>,
    recreated: bool,
    pub(crate) executions: u64,
    pub(crate) assigned: u64,
    pub(crate) freed: u64,
    pub(crate) records: u64,
    pub(crate) proposals: u64,
}

impl CheckState {
    pub(crate) fn new(recreated: bool) -> Self {
        CheckState {
            shards: BTreeMap::new(),
            tokens: BTreeMap::new(),
            senders: BTreeMap::new(),
            created_at: BTreeMap::new(),
            records_lost: BTreeMap::new(),
            recreated,
            executions: 0,
            assigned: 0,
            freed: 0,
            records: 0,
            proposals: 0,
        }
    }
}

impl World {
    fn fail(&self, what: &str) -> ! {
        panic!("seed {} at {} ms: {what}", self.seed, self.now)
    }

    /// Prints an event if `CAMPHORDALE_TRACE` is set, to follow one history.
    pub(crate) fn trace(&self, what: impl FnOnce() -> String) {
        if self.trace_enabled {
            eprintln!("{} ms: {}", self.now, what());
        }
    }

    /// Checks one transition of the replicated state.
    pub(crate) fn after_apply(&mut self, command: &Command, outcome: &Outcome) {
        self.trace(|| format!("#{} {command:?}: {outcome:?}", self.log.len()));
        if let (Command::CreateRecord { key, shard, .. }, Outcome::Recorded) = (command, outcome) {
            self.checks.records += 1;
            let life = self.service.record_life.as_millis() as u64;
            let earlier = self.checks.created_at.insert(*key, self.now);
            if earlier.is_some_and(|at| self.now < at + life) {
                self.fail("a record was created twice within its lifetime");
            }
            let lost = self.checks.records_lost.get(&shard.index);
            if lost.is_some_and(|at| self.now < at + life) {
                self.fail("a record was created while records may be missing");
            }
        }
        match (command, outcome) {
            (Command::MarkTargetLost(id), Outcome::Done) => {
                let mut owners = self.processes.iter().filter(|p| p.id == Some(*id));
                if owners.any(|p| p.alive && self.now < p.lease_until) {
                    self.fail("a target was marked as lost during its lease");
                }
            }
            (Command::SetHomes { version, .. }, Outcome::Done) => {
                self.applied_versions.0 = *version
            }
            (Command::SetServices { version, .. }, Outcome::Done) => {
                self.applied_versions.1 = *version
            }
            _ => {}
        }
        let now: BTreeMap<u32, ShardEntry> = self
            .committed_state
            .shards(SERVICE)
            .map(|(index, entry)| (index, entry.clone()))
            .collect();
        for (&index, entry) in &now {
            let before = self.checks.shards.get(&index);
            if before.is_none_or(|b| b.since != entry.since)
                && (self.homes.get(&index).is_some_and(|h| h.moved)
                    || self.checks.recreated && entry.since <= 100)
            {
                self.checks.records_lost.insert(index, self.now);
            }
            match (before.map(|b| b.phase), entry.phase) {
                (Some(Phase::Held(a)), Phase::Held(b) | Phase::Releasing(b)) if a == b => {}
                (Some(Phase::Held(_)), _) => self.fail("an assignment ended without a release"),
                (Some(Phase::Releasing(a)), Phase::Releasing(b)) if a == b => {}
                (Some(Phase::Releasing(_)), Phase::Free) => self.checks.freed += 1,
                (Some(Phase::Releasing(_)), _) => self.fail("a releasing shard changed its owner"),
                (_, Phase::Held(owner)) => {
                    self.checks.assigned += 1;
                    let target = self.committed_state.target(owner);
                    if target.is_none_or(|t| t.info.state != TargetState::Serving) {
                        self.fail("a target that is not serving was assigned a shard");
                    }
                }
                _ => {}
            }
            let shard = ShardRef::new(SERVICE, index);
            if let Some(token) = self.committed_state.request_token(&shard) {
                let before = self.checks.tokens.insert(shard, token);
                if before.is_some_and(|before| before > token) {
                    self.fail("a shard's token decreased");
                }
            }
        }
        let gone = self.checks.shards.iter().find(|(index, entry)| {
            matches!(entry.phase, Phase::Held(_)) && !now.contains_key(index)
        });
        if gone.is_some() {
            self.fail("an owned shard was dropped");
        }
        for target in self.committed_state.targets() {
            let before = self.checks.senders.insert(target.info.id, target.token);
            if before.is_some_and(|before| before > target.token) {
                self.fail("a sender's token decreased");
            }
        }
        self.checks.shards = now;
    }

    /// Checks that no shard is executed by two targets or also by another domain, and that no two
    /// VMs write to a target that does not check tokens.
    pub(crate) fn check(&mut self) {
        let now = self.now;
        let mut writers: BTreeMap<TargetId, (VmId, u64)> = BTreeMap::new();
        for vm in &self.vms {
            let targets = vm.shards.values().filter_map(|s| vm.may_write(s, now));
            for target in targets.filter(|t| !t.info.spec.checks_tokens) {
                let id = target.info.id;
                let process = (vm.id, vm.incarnation);
                if *writers.entry(id).or_insert(process) != process {
                    self.fail(&format!("two VMs write to target {id}"));
                }
            }
        }
        let mut acting: BTreeMap<u32, BTreeSet<usize>> = BTreeMap::new();
        for (at, process) in self
            .processes
            .iter()
            .enumerate()
            .filter(|(_, p)| p.may_execute(now))
        {
            for (write, _) in process.running.iter().filter(|(_, end)| *end > now) {
                acting.entry(write.shard.index).or_default().insert(at);
                self.checks.executions += 1;
            }
        }
        for (index, targets) in acting {
            if targets.len() > 1 {
                self.fail(&format!(
                    "shard {index} is executed by the targets {targets:?}"
                ));
            }
            if self.foreign_shards.contains(&index) {
                self.fail(&format!(
                    "shard {index} is executed here and in another domain"
                ));
            }
        }
    }
}
