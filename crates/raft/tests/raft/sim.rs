//! A simulated group with network, disks and clock, and the invariants checked after every step.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        hash_map::DefaultHasher, //
    },
    hash::{
        Hash,
        Hasher, //
    },
    thread,
    time::Duration,
};

use camphordale_raft::{
    Config,
    DurableWrite,
    Effect,
    Event,
    MemberId,
    Members,
    MembershipChange,
    Message,
    Payload,
    Raft,
    RecoveredState,
    Role,
    Snapshot, //
};

pub(crate) const ELECTION: Duration = Duration::from_millis(150);
pub(crate) const LEASE: Duration = Duration::from_millis(90);
const TICK: Duration = Duration::from_millis(10);

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn config(id: MemberId, seed: u64) -> Config {
    Config {
        id,
        election_timeout: ELECTION,
        lease: ELECTION,
        heartbeat_interval: ms(40),
        max_batch: 4,
        max_batch_bytes: 1 << 20,
        seed,
    }
}

/// Durable state of the initial members of a group.
pub(crate) fn initial_state(voters: impl IntoIterator<Item = MemberId>) -> RecoveredState {
    let mut snapshot = Snapshot::default();
    snapshot.members.voters.extend(voters);
    snapshot.data = encode(0);
    RecoveredState {
        snapshot: Some(snapshot),
        ..RecoveredState::default()
    }
}

/// A member with its disk and its state machine, which is a hash over all applied entries.
#[derive(Default)]
pub(crate) struct Node {
    pub(crate) raft: Option<Raft>,
    pub(crate) disk: RecoveredState,
    pub(crate) applied: u64,
    hash: u64,
    reported_role: Option<(Role, u64, Option<MemberId>)>,
    paused: Duration,
    /// Whether the member crashes at a random effect of its next step.
    crash: bool,
}

enum Task {
    Deliver(MemberId, MemberId, Message),
    Tick(MemberId),
    Restart(MemberId),
}

/// Prints the seed of a failed history.
#[derive(Default)]
struct Seed(u64);

impl Drop for Seed {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("seed {}", self.0);
        }
    }
}

#[derive(Default)]
pub(crate) struct Sim {
    pub(crate) nodes: BTreeMap<MemberId, Node>,
    /// Directions in which no message arrives, as sender and receiver.
    pub(crate) blocked_links: BTreeSet<(MemberId, MemberId)>,
    /// Rates of lost and of duplicated messages, per 1,000.
    pub(crate) loss_rate: u64,
    pub(crate) duplication: u64,
    /// Maximum delay of a message, in microseconds.
    pub(crate) max_delay: u64,
    /// Members according to the latest entry applied anywhere.
    pub(crate) members: Members,
    /// Highest index of an acknowledged command or read.
    pub(crate) acked_index: u64,
    /// Sender of each message sent.
    pub(crate) sent: Vec<MemberId>,
    /// Number of snapshots restored from a leader.
    pub(crate) restored_snapshots: u64,
    _seed: Seed,
    random: u64,
    now: Duration,
    tasks: BTreeMap<(Duration, u64), Task>,
    last_serial: u64,
    last_id: MemberId,
    /// Requests without a result, by id: the member asked, and `acked_index` at that time.
    requests: BTreeMap<u64, (MemberId, u64)>,
    /// Requests dropped without being appended.
    dropped: BTreeSet<u64>,
    /// Reference model: the state machine's hash after each committed entry.
    expected_hashes: Vec<u64>,
    commands: BTreeSet<u64>,
    /// Entries by index and term, with the term of the preceding entry.
    entries: BTreeMap<(u64, u64), (u64, Payload)>,
    leaders: BTreeMap<u64, (MemberId, Duration)>,
    lease_expiries: BTreeMap<u64, Duration>,
}

impl Sim {
    pub(crate) fn new(seed: u64, voters: u64) -> Sim {
        let disk = initial_state(1..=voters);
        let mut sim = Sim {
            _seed: Seed(seed),
            random: seed,
            max_delay: 4_000,
            members: Members {
                voters: (1..=voters).collect(),
                ..Members::default()
            },
            expected_hashes: vec![0],
            ..Sim::default()
        };
        for _ in 0..voters {
            sim.add(disk.clone());
        }
        sim
    }

    /// Returns a random number below `bound` (SplitMix64).
    pub(crate) fn draw(&mut self, bound: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    pub(crate) fn pick<T>(&mut self, items: &[T]) -> Option<T>
    where
        T: Copy,
    {
        let at = self.draw(items.len().max(1) as u64);
        items.get(at as usize).copied()
    }

    /// Adds a member under a new id.
    pub(crate) fn add(&mut self, disk: RecoveredState) -> MemberId {
        self.last_id += 1;
        let id = self.last_id;
        let node = Node {
            disk,
            ..Node::default()
        };
        self.nodes.insert(id, node);
        self.start(id);
        self.schedule(self.now, Task::Tick(id));
        id
    }

    fn schedule(&mut self, at: Duration, task: Task) {
        self.last_serial += 1;
        self.tasks.insert((at, self.last_serial), task);
    }

    fn start(&mut self, id: MemberId) {
        let seed = self.draw(u64::MAX);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let snapshot = node.disk.snapshot.as_ref();
        node.applied = snapshot.map_or(0, |snapshot| snapshot.index);
        node.hash = snapshot.map_or(0, |snapshot| decode(&snapshot.data));
        node.reported_role = Some((Role::Follower, node.disk.hard_state.term, None));
        node.crash = false;
        // Random histories use a lease shorter than the election timeout.
        let config = Config {
            lease: LEASE,
            // Some members send few bytes at a time, so that all their entries count as long.
            max_batch_bytes: if seed.is_multiple_of(2) { 1 << 20 } else { 200 },
            ..config(id, seed)
        };
        node.raft = Some(Raft::new(config, node.disk.clone()));
        self.requests.retain(|_, (node, _)| *node != id);
    }

    /// Crashes a member at a random effect of its next step, and restarts it after `downtime`.
    pub(crate) fn crash(&mut self, id: MemberId, downtime: Duration) {
        self.node(id).crash = true;
        self.schedule(self.now + TICK + downtime, Task::Restart(id));
    }

    /// Removes a member together with its disk. It is never started again under this id.
    pub(crate) fn destroy(&mut self, id: MemberId) {
        self.nodes.remove(&id);
        self.requests.retain(|_, (node, _)| *node != id);
    }

    pub(crate) fn pause(&mut self, id: MemberId, time: Duration) {
        self.node(id).paused = self.now + time;
    }

    /// Blocks both directions between `id` and all other members.
    pub(crate) fn isolate(&mut self, id: MemberId) {
        for other in self.nodes.keys().copied() {
            self.blocked_links.insert((id, other));
            self.blocked_links.insert((other, id));
        }
    }

    pub(crate) fn node(&mut self, id: MemberId) -> &mut Node {
        self.nodes.get_mut(&id).unwrap()
    }

    pub(crate) fn raft(&self, id: MemberId) -> &Raft {
        self.nodes[&id].raft.as_ref().unwrap()
    }

    /// The running leader with the highest term.
    pub(crate) fn leader(&self) -> Option<MemberId> {
        let running = self.nodes.iter().filter_map(|(id, node)| {
            let raft = node.raft.as_ref()?;
            (raft.role() == Role::Leader).then_some((raft.term(), *id))
        });
        running.max().map(|(_, id)| id)
    }

    /// Sends a request to a member. It must get exactly one result unless the member crashes first.
    pub(crate) fn submit(&mut self, node: MemberId, event: impl FnOnce(u64) -> Event) -> u64 {
        self.last_serial += 1;
        let id = self.last_serial;
        self.requests.insert(id, (node, self.acked_index));
        self.step(node, event(id));
        id
    }

    pub(crate) fn propose(&mut self, node: MemberId) -> u64 {
        self.submit(node, |id| Event::Propose {
            id,
            data: encode(id),
        })
    }

    pub(crate) fn change(&mut self, node: MemberId, change: MembershipChange) {
        self.submit(node, |id| Event::ChangeMembers { id, change });
    }

    pub(crate) fn compact(&mut self, id: MemberId) {
        let (index, data) = (self.nodes[&id].applied, encode(self.nodes[&id].hash));
        self.step(id, Event::Compact { index, data });
    }

    pub(crate) fn pending(&self, request: u64) -> bool {
        self.requests.contains_key(&request)
    }

    pub(crate) fn was_dropped(&self, request: u64) -> bool {
        self.dropped.contains(&request)
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.tasks.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), task) = entry.remove_entry();
            self.now = at;
            self.run_task(task);
        }
        self.now = end;
    }

    /// Runs until there is a leader that has committed an entry of its term.
    pub(crate) fn wait_for_leader(&mut self) -> MemberId {
        for _ in 0..1_000 {
            self.run(TICK);
            if let Some(id) = self.leader() {
                let request = self.propose(id);
                self.run(ms(60));
                if !self.pending(request) && !self.was_dropped(request) && self.leader() == Some(id)
                {
                    return id;
                }
            }
        }
        panic!("no leader");
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Deliver(from, to, message) => {
                let Some(node) = self.nodes.get(&to) else {
                    return;
                };
                if node.paused > self.now {
                    self.schedule(node.paused, Task::Deliver(from, to, message));
                } else {
                    self.step(to, Event::Receive { from, message });
                }
            }
            Task::Tick(id) => {
                let Some(node) = self.nodes.get(&id) else {
                    return;
                };
                let next = self.now.max(node.paused) + TICK;
                if node.paused <= self.now {
                    self.step(id, Event::Tick);
                }
                self.schedule(next, Task::Tick(id));
            }
            Task::Restart(id) => self.start(id),
        }
    }

    pub(crate) fn step(&mut self, id: MemberId, event: Event) {
        let (now, node) = (self.now, self.node(id));
        let crash = node.crash;
        let Some(raft) = &mut node.raft else {
            self.requests.retain(|_, (node, _)| *node != id);
            return;
        };
        let mut effects = raft.step(event, now);
        let is_persist = |effect: &Effect| matches!(effect, Effect::Persist(_));
        let is_send = |effect: &Effect| matches!(effect, Effect::Send { .. });
        let first_send = effects.iter().position(is_send).unwrap_or(effects.len());
        let persist_after_send = effects[first_send..].iter().any(is_persist);
        assert!(
            !persist_after_send,
            "message sent before its state was persisted"
        );
        if crash {
            effects.truncate(self.draw(effects.len() as u64 + 1) as usize);
        }
        for effect in effects {
            self.carry_out_effect(id, effect);
        }
        if crash {
            self.node(id).raft = None;
            self.requests.retain(|_, (node, _)| *node != id);
        } else {
            self.check(id);
        }
    }

    fn carry_out_effect(&mut self, id: MemberId, effect: Effect) {
        match effect {
            Effect::Persist(persist) => self.persist(id, persist),
            Effect::Send { to, message } => self.send(id, to, message),
            Effect::Apply {
                index,
                term,
                id: request,
                payload,
            } => {
                self.apply(id, index, term, &payload);
                if let Some(request) = request {
                    self.finish_request(request);
                    self.acked_index = self.acked_index.max(index);
                }
            }
            Effect::RestoreSnapshot(snapshot) => {
                self.restored_snapshots += 1;
                let hash = decode(&snapshot.data);
                let known = self.expected_hashes.get(snapshot.index as usize);
                assert_eq!(known, Some(&hash), "snapshot");
                let node = self.node(id);
                (node.applied, node.hash) = (snapshot.index, hash);
            }
            Effect::ReadReady { id: request, index } => {
                assert!(index >= self.finish_request(request), "stale read");
                assert!(
                    index < self.expected_hashes.len() as u64,
                    "read index beyond the last entry"
                );
                self.acked_index = self.acked_index.max(index);
            }
            Effect::RequestDropped { id, may_commit, .. } => {
                self.finish_request(id);
                if !may_commit {
                    self.dropped.insert(id);
                }
            }
            Effect::RoleChanged { role, term, leader } => {
                self.node(id).reported_role = Some((role, term, leader))
            }
        }
    }

    fn finish_request(&mut self, request: u64) -> u64 {
        let (_, min_index) = self
            .requests
            .remove(&request)
            .expect("exactly one result per request");
        min_index
    }

    fn persist(&mut self, id: MemberId, persist: DurableWrite) {
        let disk = &mut self.nodes.get_mut(&id).unwrap().disk;
        if let Some(hard) = persist.hard_state {
            let old = disk.hard_state;
            let kept =
                hard.term == old.term && old.voted_for.is_none_or(|id| Some(id) == hard.voted_for);
            assert!(hard.term > old.term || kept, "vote changed within a term");
            disk.hard_state = hard;
        }
        if let Some(snapshot) = persist.snapshot {
            let mut entries = disk.entries.iter();
            let last = entries.find(|entry| entry.index == snapshot.index);
            let matches = last.is_some_and(|entry| entry.term == snapshot.term);
            disk.entries
                .retain(|entry| entry.index > snapshot.index && !persist.discard_log);
            let fits = matches || disk.entries.is_empty();
            assert!(fits, "snapshot does not match the log on disk");
            disk.snapshot = Some(snapshot);
        }
        for entry in persist.entries {
            disk.entries.retain(|kept| kept.index < entry.index);
            let snapshot = disk.snapshot.as_ref().unwrap();
            let base = (snapshot.index, snapshot.term);
            let last = disk.entries.last();
            let (before, term) = last.map_or(base, |entry| (entry.index, entry.term));
            assert_eq!(entry.index, before + 1, "gap in the log on disk");
            // Log matching: an index and a term identify one entry and its predecessor.
            let value = (term, entry.payload.clone());
            let known = self.entries.entry((entry.index, entry.term));
            assert_eq!(
                *known.or_insert(value.clone()),
                value,
                "log matching violated"
            );
            disk.entries.push(entry);
        }
    }

    fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        self.sent.push(from);
        if self.blocked_links.contains(&(from, to)) {
            return;
        }
        let copies = u64::from(self.draw(1_000) >= self.loss_rate);
        for _ in 0..copies + u64::from(self.draw(1_000) < self.duplication) {
            let at = self.now + Duration::from_micros(100 + self.draw(self.max_delay));
            self.schedule(at, Task::Deliver(from, to, message.clone()));
        }
    }

    fn apply(&mut self, id: MemberId, index: u64, term: u64, payload: &Payload) {
        let node = self.nodes.get_mut(&id).unwrap();
        assert_eq!(index, node.applied + 1, "entry applied out of order");
        let mut hasher = DefaultHasher::new();
        (node.hash, term, format!("{payload:?}")).hash(&mut hasher);
        (node.applied, node.hash) = (index, hasher.finish());
        if let Some(known) = self.expected_hashes.get(index as usize) {
            assert_eq!(*known, node.hash, "committed entry {index} differs");
            return;
        }
        self.expected_hashes.push(node.hash);
        match payload {
            Payload::Members(members) => self.members = members.clone(),
            Payload::Data(data) => {
                let command = decode(data);
                assert!(self.commands.insert(command), "command applied twice");
                assert!(!self.was_dropped(command), "dropped command was applied");
            }
            Payload::Noop => {}
        }
    }

    /// Checks the invariants of a member after a step.
    fn check(&mut self, id: MemberId) {
        let node = &self.nodes[&id];
        let Some(raft) = &node.raft else { return };
        let (role, term, disk) = (raft.role(), raft.term(), &node.disk);
        let reported_role = Some((role, term, raft.leader()));
        assert_eq!(
            node.reported_role, reported_role,
            "role change not reported"
        );
        assert_eq!(
            (raft.applied_index(), raft.commit_index()),
            (node.applied, node.applied)
        );
        let log = (term, raft.log_len());
        assert_eq!(
            log,
            (disk.hard_state.term, disk.entries.len() as u64),
            "disk"
        );
        let until = raft.lease_expiry();
        if role != Role::Leader {
            assert_eq!(until, None, "lease without leadership");
            return;
        }
        let until = until.unwrap_or_default();
        let (leader, _) = *self.leaders.entry(term).or_insert((id, self.now));
        assert_eq!(leader, id, "two leaders in term {term}");
        let lease = self.lease_expiries.entry(term).or_default();
        *lease = until.max(*lease);
        // A leader lease of an earlier term ends before the next leader is elected.
        let mut latest_expiry = Duration::ZERO;
        for (term, (_, elected)) in &self.leaders {
            assert!(latest_expiry <= *elected, "overlapping leases");
            latest_expiry = latest_expiry.max(self.lease_expiries[term]);
        }
    }

    /// Ends all faults and checks that the group commits an entry on every voter.
    pub(crate) fn heal_and_verify(&mut self) {
        self.blocked_links.clear();
        (self.loss_rate, self.duplication, self.max_delay) = (0, 0, 4_000);
        self.run(ms(600));
        self.wait_for_leader();
        self.run(ms(400));
        let last = self.expected_hashes.len() as u64 - 1;
        assert!(last >= self.acked_index, "acknowledged entry lost");
        assert!(self.requests.is_empty(), "requests without a result");
        for id in &self.members.voters {
            let node = self
                .nodes
                .get(id)
                .expect("every voter runs after the repair");
            assert_eq!(node.applied, last, "member {id} lags behind");
        }
    }
}

fn encode(hash: u64) -> Vec<u8> {
    hash.to_le_bytes().to_vec()
}

fn decode(data: &[u8]) -> u64 {
    u64::from_le_bytes(data.try_into().unwrap())
}
