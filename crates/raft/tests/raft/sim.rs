//! A simulated group: network, disks, clock, and the checks made after every step.

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
        seed,
    }
}

/// Durable state of the first members of a group.
pub(crate) fn first(voters: impl IntoIterator<Item = MemberId>) -> RecoveredState {
    let mut snapshot = Snapshot::default();
    snapshot.members.voters.extend(voters);
    snapshot.data = encode(0);
    RecoveredState {
        snapshot: Some(snapshot),
        ..RecoveredState::default()
    }
}

/// A member with its disk and its state machine, which is a hash over all entries applied.
#[derive(Default)]
pub(crate) struct Node {
    pub(crate) raft: Option<Raft>,
    pub(crate) disk: RecoveredState,
    pub(crate) applied: u64,
    hash: u64,
    shown: Option<(Role, u64, Option<MemberId>)>,
    paused: Duration,
    /// The next step ends at a random effect.
    crash: bool,
}

enum Job {
    Deliver(MemberId, MemberId, Message),
    Tick(MemberId),
    Restart(MemberId),
}

/// Prints the seed of a history that fails.
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
    /// Directions in which nothing arrives.
    pub(crate) cuts: BTreeSet<(MemberId, MemberId)>,
    /// Lost messages, and duplicated ones, in 1,000.
    pub(crate) loss: u64,
    pub(crate) twice: u64,
    /// Longest delay of a message, in microseconds.
    pub(crate) delay: u64,
    /// Members as of the latest entry applied anywhere.
    pub(crate) members: Members,
    /// Largest index of an acknowledged command or read.
    pub(crate) acked: u64,
    /// Senders of all messages.
    pub(crate) sent: Vec<MemberId>,
    /// Number of snapshots restored from a leader.
    pub(crate) restored: u64,
    _seed: Seed,
    random: u64,
    now: Duration,
    jobs: BTreeMap<(Duration, u64), Job>,
    serial: u64,
    last_id: MemberId,
    /// Requests that have not ended: the member asked, and `acked` at that time.
    requests: BTreeMap<u64, (MemberId, u64)>,
    /// Requests reported as not taken.
    refused: BTreeSet<u64>,
    /// The naive list: hash after each committed entry.
    hashes: Vec<u64>,
    commands: BTreeSet<u64>,
    /// Entries by index and term, with the term before them.
    entries: BTreeMap<(u64, u64), (u64, Payload)>,
    leaders: BTreeMap<u64, (MemberId, Duration)>,
    leases: BTreeMap<u64, Duration>,
}

impl Sim {
    pub(crate) fn new(seed: u64, voters: u64) -> Sim {
        let disk = first(1..=voters);
        let mut sim = Sim {
            _seed: Seed(seed),
            random: seed,
            delay: 4_000,
            members: Members {
                voters: (1..=voters).collect(),
                ..Members::default()
            },
            hashes: vec![0],
            ..Sim::default()
        };
        for _ in 0..voters {
            sim.add(disk.clone());
        }
        sim
    }

    /// A random number below `bound`, by SplitMix64.
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
        self.plan(self.now, Job::Tick(id));
        id
    }

    fn plan(&mut self, at: Duration, job: Job) {
        self.serial += 1;
        self.jobs.insert((at, self.serial), job);
    }

    fn start(&mut self, id: MemberId) {
        let seed = self.draw(u64::MAX);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let snapshot = node.disk.snapshot.as_ref();
        node.applied = snapshot.map_or(0, |snapshot| snapshot.index);
        node.hash = snapshot.map_or(0, |snapshot| decode(&snapshot.data));
        node.shown = Some((Role::Follower, node.disk.hard_state.term, None));
        node.crash = false;
        // Histories run with a lease below the election time.
        let config = Config {
            lease: LEASE,
            ..config(id, seed)
        };
        node.raft = Some(Raft::new(config, node.disk.clone()));
        self.requests.retain(|_, (node, _)| *node != id);
    }

    /// Ends a member at a random effect of its next step, and restarts it later.
    pub(crate) fn crash(&mut self, id: MemberId, down: Duration) {
        self.node(id).crash = true;
        self.plan(self.now + TICK + down, Job::Restart(id));
    }

    /// Ends a member whose disk is lost. It never comes back under this id.
    pub(crate) fn lose(&mut self, id: MemberId) {
        self.nodes.remove(&id);
        self.requests.retain(|_, (node, _)| *node != id);
    }

    pub(crate) fn pause(&mut self, id: MemberId, time: Duration) {
        self.node(id).paused = self.now + time;
    }

    /// Cuts both directions between `id` and everyone else.
    pub(crate) fn isolate(&mut self, id: MemberId) {
        for other in self.nodes.keys().copied() {
            self.cuts.insert((id, other));
            self.cuts.insert((other, id));
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

    /// Sends a request to a member. It must end exactly once, unless the member ends first.
    pub(crate) fn ask(&mut self, node: MemberId, event: impl FnOnce(u64) -> Event) -> u64 {
        self.serial += 1;
        let id = self.serial;
        self.requests.insert(id, (node, self.acked));
        self.step(node, event(id));
        id
    }

    pub(crate) fn propose(&mut self, node: MemberId) -> u64 {
        self.ask(node, |id| Event::Propose {
            id,
            data: encode(id),
        })
    }

    pub(crate) fn change(&mut self, node: MemberId, change: MembershipChange) {
        self.ask(node, |id| Event::ChangeMembers { id, change });
    }

    pub(crate) fn compact(&mut self, id: MemberId) {
        let (index, data) = (self.nodes[&id].applied, encode(self.nodes[&id].hash));
        self.step(id, Event::Compact { index, data });
    }

    pub(crate) fn pending(&self, request: u64) -> bool {
        self.requests.contains_key(&request)
    }

    pub(crate) fn refused(&self, request: u64) -> bool {
        self.refused.contains(&request)
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.jobs.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), job) = entry.remove_entry();
            self.now = at;
            self.work(job);
        }
        self.now = end;
    }

    /// Runs until there is a leader that committed an entry of its term.
    pub(crate) fn elect(&mut self) -> MemberId {
        for _ in 0..1_000 {
            self.run(TICK);
            if let Some(id) = self.leader() {
                let request = self.propose(id);
                self.run(ms(60));
                if !self.pending(request) && !self.refused(request) && self.leader() == Some(id) {
                    return id;
                }
            }
        }
        panic!("no leader");
    }

    fn work(&mut self, job: Job) {
        match job {
            Job::Deliver(from, to, message) => {
                let Some(node) = self.nodes.get(&to) else {
                    return;
                };
                if node.paused > self.now {
                    self.plan(node.paused, Job::Deliver(from, to, message));
                } else {
                    self.step(to, Event::Receive { from, message });
                }
            }
            Job::Tick(id) => {
                let Some(node) = self.nodes.get(&id) else {
                    return;
                };
                let next = self.now.max(node.paused) + TICK;
                if node.paused <= self.now {
                    self.step(id, Event::Tick);
                }
                self.plan(next, Job::Tick(id));
            }
            Job::Restart(id) => self.start(id),
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
        let kept = |effect: &Effect| matches!(effect, Effect::Persist(_));
        let sent = |effect: &Effect| matches!(effect, Effect::Send { .. });
        let first = effects.iter().position(sent).unwrap_or(effects.len());
        let late = effects[first..].iter().any(kept);
        assert!(!late, "sent before it was persisted");
        if crash {
            effects.truncate(self.draw(effects.len() as u64 + 1) as usize);
        }
        for effect in effects {
            self.carry_out(id, effect);
        }
        if crash {
            self.node(id).raft = None;
            self.requests.retain(|_, (node, _)| *node != id);
        } else {
            self.check(id);
        }
    }

    fn carry_out(&mut self, id: MemberId, effect: Effect) {
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
                    self.end(request);
                    self.acked = self.acked.max(index);
                }
            }
            Effect::RestoreSnapshot(snapshot) => {
                self.restored += 1;
                let hash = decode(&snapshot.data);
                let known = self.hashes.get(snapshot.index as usize);
                assert_eq!(known, Some(&hash), "snapshot");
                let node = self.node(id);
                (node.applied, node.hash) = (snapshot.index, hash);
            }
            Effect::ReadReady { id: request, index } => {
                assert!(index >= self.end(request), "stale read");
                assert!(index < self.hashes.len() as u64, "read of the future");
                self.acked = self.acked.max(index);
            }
            Effect::RequestDropped { id, may_commit, .. } => {
                self.end(id);
                if !may_commit {
                    self.refused.insert(id);
                }
            }
            Effect::RoleChanged { role, term, leader } => {
                self.node(id).shown = Some((role, term, leader))
            }
        }
    }

    fn end(&mut self, request: u64) -> u64 {
        let (_, floor) = self.requests.remove(&request).expect("ends once");
        floor
    }

    fn persist(&mut self, id: MemberId, persist: DurableWrite) {
        let disk = &mut self.nodes.get_mut(&id).unwrap().disk;
        if let Some(hard) = persist.hard_state {
            let old = disk.hard_state;
            let kept =
                hard.term == old.term && old.voted_for.is_none_or(|id| Some(id) == hard.voted_for);
            assert!(hard.term > old.term || kept, "a vote changed");
            disk.hard_state = hard;
        }
        if let Some(snapshot) = persist.snapshot {
            let mut entries = disk.entries.iter();
            let last = entries.find(|entry| entry.index == snapshot.index);
            let matches = last.is_some_and(|entry| entry.term == snapshot.term);
            disk.entries
                .retain(|entry| entry.index > snapshot.index && !persist.discard_log);
            let fits = matches || disk.entries.is_empty();
            assert!(fits, "a snapshot in another log");
            disk.snapshot = Some(snapshot);
        }
        for entry in persist.entries {
            disk.entries.retain(|kept| kept.index < entry.index);
            let snapshot = disk.snapshot.as_ref().unwrap();
            let base = (snapshot.index, snapshot.term);
            let last = disk.entries.last();
            let (before, term) = last.map_or(base, |entry| (entry.index, entry.term));
            assert_eq!(entry.index, before + 1, "gap on disk");
            // An index and a term name one entry and one predecessor: log matching.
            let value = (term, entry.payload.clone());
            let known = self.entries.entry((entry.index, entry.term));
            assert_eq!(*known.or_insert(value.clone()), value, "log matching");
            disk.entries.push(entry);
        }
    }

    fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        self.sent.push(from);
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let copies = u64::from(self.draw(1_000) >= self.loss);
        for _ in 0..copies + u64::from(self.draw(1_000) < self.twice) {
            let at = self.now + Duration::from_micros(100 + self.draw(self.delay));
            self.plan(at, Job::Deliver(from, to, message.clone()));
        }
    }

    fn apply(&mut self, id: MemberId, index: u64, term: u64, payload: &Payload) {
        let node = self.nodes.get_mut(&id).unwrap();
        assert_eq!(index, node.applied + 1, "order of entries");
        let mut hasher = DefaultHasher::new();
        (node.hash, term, format!("{payload:?}")).hash(&mut hasher);
        (node.applied, node.hash) = (index, hasher.finish());
        if let Some(known) = self.hashes.get(index as usize) {
            assert_eq!(*known, node.hash, "committed entry {index} differs");
            return;
        }
        self.hashes.push(node.hash);
        match payload {
            Payload::Members(members) => self.members = members.clone(),
            Payload::Data(data) => {
                let command = decode(data);
                assert!(self.commands.insert(command), "applied twice");
                assert!(!self.refused(command), "a refused command was applied");
            }
            Payload::Noop => {}
        }
    }

    /// Checks what must hold after every step of a member.
    fn check(&mut self, id: MemberId) {
        let node = &self.nodes[&id];
        let Some(raft) = &node.raft else { return };
        let (role, term, disk) = (raft.role(), raft.term(), &node.disk);
        let shown = Some((role, term, raft.leader()));
        assert_eq!(node.shown, shown, "role not reported");
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
            assert_eq!(until, None, "lease without office");
            return;
        }
        let until = until.unwrap_or_default();
        let (leader, _) = *self.leaders.entry(term).or_insert((id, self.now));
        assert_eq!(leader, id, "two leaders in term {term}");
        let lease = self.leases.entry(term).or_default();
        *lease = until.max(*lease);
        // No lease of an earlier term reaches beyond the first step of a leader.
        let mut held = Duration::ZERO;
        for (term, (_, elected)) in &self.leaders {
            assert!(held <= *elected, "overlapping leases");
            held = held.max(self.leases[term]);
        }
    }

    /// Ends all faults and expects that the group commits on every voter.
    pub(crate) fn settle(&mut self) {
        self.cuts.clear();
        (self.loss, self.twice, self.delay) = (0, 0, 4_000);
        self.run(ms(600));
        self.elect();
        self.run(ms(400));
        let last = self.hashes.len() as u64 - 1;
        assert!(last >= self.acked, "acknowledged entry lost");
        assert!(self.requests.is_empty(), "requests without an end");
        for id in &self.members.voters {
            let node = self.nodes.get(id).expect("voters run after a repair");
            assert_eq!(node.applied, last, "member {id} lags");
        }
    }
}

fn encode(hash: u64) -> Vec<u8> {
    hash.to_le_bytes().to_vec()
}

fn decode(data: &[u8]) -> u64 {
    u64::from_le_bytes(data.try_into().unwrap())
}
