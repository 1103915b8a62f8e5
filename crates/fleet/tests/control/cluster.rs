//! Test cluster: three control VMs with disks on a network that partitions, loses and delays
//! messages.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration,
};

use camphordale_fleet::{
    Announcement,
    Call,
    CallToken,
    Change,
    Command,
    Config,
    ConfigResource,
    Control,
    Effect,
    Event,
    KeyRange,
    LeaseReport,
    LeaseTimes,
    Limits,
    LogEvent,
    Member,
    MemberList,
    PeerMessage,
    Reply,
    Routing,
    TargetId,
    View, //
};
use camphordale_raft::{
    DurableWrite,
    MemberId,
    RecoveredState, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

pub(crate) const TICK: Duration = Duration::from_millis(30);

/// Connections from this number on are of entry VMs whose messages are kept for the test.
pub(crate) const FIRST_WATCHED: u64 = 100;

/// Delay before the storage is opened again after a failure.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn member(number: u8, id: MemberId) -> Member {
    Member {
        id,
        peer: format!("10.0.0.{number}:7000").parse().unwrap(),
        control: format!("10.0.0.{number}:8000").parse().unwrap(),
        domain: "a".into(),
    }
}

pub(crate) fn config(member: Member, seed: u64) -> Config {
    Config {
        member,
        voters: 3,
        lease_times: LeaseTimes {
            call: ms(2000),
            heartbeat: ms(2740),
            interval: ms(870),
        },
        election_timeout: ms(350),
        leader_lease: ms(250),
        heartbeat_interval: ms(100),
        target_timeout: ms(20_000),
        warm_up: camphordale_fleet::WarmUpBounds::default(),
        member_timeout: ms(3500),
        catch_up: Duration::from_secs(4),
        apply_timeout: ms(500),
        log_limit: 16 << 20,
        domains: vec!["a".into(), "b".into()],
        view_limit: 64 << 20,
        seed,
    }
}

pub(crate) fn change(base_version: u64, version: u64, marker: u64) -> Change {
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&marker.to_be_bytes());
    digest[8..].copy_from_slice(&base_version.to_be_bytes());
    Change {
        base_version,
        version,
        replace_all: true,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Some(ConfigResource {
            spec: Limits::default(),
            document: marker.to_string().into(),
        }),
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest,
        received_ms: 1000 * version,
    }
}

pub(crate) fn marker_of(routing: &Routing) -> u64 {
    let limits = routing.limits.as_ref().unwrap();
    limits.document.parse().unwrap()
}

/// Applies a durable write to a disk.
pub(crate) fn store(disk: &mut RecoveredState, persist: DurableWrite) {
    if let Some(hard) = persist.hard_state {
        disk.hard_state = hard;
    }
    if let Some(snapshot) = persist.snapshot {
        disk.entries
            .retain(|entry| entry.index > snapshot.index && !persist.discard_log);
        disk.snapshot = Some(snapshot);
    }
    if let Some(first) = persist.entries.first() {
        disk.entries.retain(|entry| entry.index < first.index);
        disk.entries.extend(persist.entries);
    }
}

pub(crate) struct TestVm {
    pub(crate) member: Member,
    pub(crate) disk: RecoveredState,
    /// The control VMs that this one stored.
    pub(crate) stored: MemberList,
    pub(crate) control: Option<Control>,
    /// Whether the disk refuses every write.
    pub(crate) disk_full: bool,
    /// When the reducer is started again from the disk after a write failed.
    reopen_at: Option<Duration>,
}

impl TestVm {
    /// A VM with an empty disk that is not started.
    pub(crate) fn blank(member: Member) -> TestVm {
        TestVm {
            member,
            disk: RecoveredState::default(),
            stored: MemberList::default(),
            control: None,
            disk_full: false,
            reopen_at: None,
        }
    }
}

pub(crate) struct TestCluster {
    pub(crate) random: StdRng,
    pub(crate) now: Duration,
    pub(crate) vms: BTreeMap<SocketAddr, TestVm>,
    /// Control VMs that the settings of VMs that start name, with ids that follow from the addresses.
    pub(crate) seeds: Vec<Member>,
    /// Changes of state that VMs reported.
    pub(crate) events: Vec<(SocketAddr, LogEvent)>,
    /// Acknowledgements that VMs reported.
    pub(crate) acks: Vec<LogEvent>,
    /// Pairs of addresses between which messages are blocked.
    pub(crate) blocked: BTreeSet<(SocketAddr, SocketAddr)>,
    pub(crate) loss: f64,
    /// Bytes of log entries after which VMs that are started compact their log.
    pub(crate) log_limit: usize,
    /// Maximum delay of a message in milliseconds.
    pub(crate) delay: u64,
    /// Ranges whose assignment to a holder the entry VM received.
    pub(crate) assigned: Vec<KeyRange>,
    /// Ranges that started to move, with their next holders.
    pub(crate) moving: Vec<((u16, u16), TargetId)>,
    pub(crate) in_transit: Vec<(Duration, SocketAddr, SocketAddr, PeerMessage)>,
    pub(crate) replies: BTreeMap<CallToken, (Duration, Reply)>,
    pub(crate) next_token: CallToken,
    /// Whole views that the entry VM received.
    pub(crate) snapshots: usize,
    /// Messages that were streamed to watched entry VMs, by connection.
    pub(crate) watched: BTreeMap<u64, Vec<PeerMessage>>,
    /// View of an entry VM, and the VM to which it has a stream.
    pub(crate) entry: (Option<SocketAddr>, View),
}

impl TestCluster {
    pub(crate) fn new(seed: u64) -> TestCluster {
        let members: Vec<Member> = (1..=3).map(|n| member(n, u64::from(n))).collect();
        let mut cluster = TestCluster {
            random: StdRng::seed_from_u64(seed),
            now: ms(0),
            vms: BTreeMap::new(),
            seeds: members.clone(),
            events: Vec::new(),
            acks: Vec::new(),
            blocked: BTreeSet::new(),
            loss: 0.0,
            log_limit: 16 << 20,
            delay: 20,
            assigned: Vec::new(),
            moving: Vec::new(),
            in_transit: Vec::new(),
            replies: BTreeMap::new(),
            next_token: 0,
            snapshots: 0,
            watched: BTreeMap::new(),
            entry: (None, View::default()),
        };
        for member in &members {
            let disk = Control::bootstrap_state(members.clone()).unwrap();
            let vm = TestVm {
                member: member.clone(),
                disk,
                stored: MemberList::default(),
                control: None,
                disk_full: false,
                reopen_at: None,
            };
            cluster.vms.insert(member.peer, vm);
            cluster.start(member.peer);
        }
        cluster
    }

    pub(crate) fn start(&mut self, at: SocketAddr) {
        let seed = self.random.random();
        let vm = self.vms.get_mut(&at).unwrap();
        let config = Config {
            log_limit: self.log_limit,
            ..config(vm.member.clone(), seed)
        };
        vm.reopen_at = None;
        let (disk, stored) = (vm.disk.clone(), vm.stored.clone());
        vm.control = Some(Control::new(config, disk, self.seeds.clone(), stored).unwrap());
    }

    pub(crate) fn stop(&mut self, at: SocketAddr) {
        self.vms.get_mut(&at).unwrap().control = None;
        if self.entry.0 == Some(at) {
            self.entry.0 = None;
        }
    }

    /// Restarts a VM with an empty disk and a new id.
    pub(crate) fn wipe(&mut self, at: SocketAddr, id: MemberId) {
        self.stop(at);
        let vm = self.vms.get_mut(&at).unwrap();
        vm.disk_full = false;
        vm.member.id = id;
        vm.disk = RecoveredState::default();
        vm.stored = MemberList::default();
        self.start(at);
    }

    pub(crate) fn step(&mut self, at: SocketAddr, event: Event) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(&at) else {
            return;
        };
        let Some(control) = &mut vm.control else {
            return;
        };
        let mut effects = control.step(event, now);
        let writes = effects
            .iter()
            .any(|effect| matches!(effect, Effect::Persist(_)));
        if writes && vm.disk_full {
            // As the process does, carries out nothing that relies on the write.
            effects = control.storage_failed(now);
            vm.reopen_at = Some(now + REOPEN_INTERVAL);
        }
        for effect in effects {
            match effect {
                Effect::Persist(persist) => {
                    let vm = self.vms.get_mut(&at).unwrap();
                    store(&mut vm.disk, persist);
                }
                Effect::Send { to, message } => {
                    let delay = ms(self.random.random_range(self.delay / 2..self.delay));
                    if !self.random.random_bool(self.loss) {
                        self.in_transit.push((now + delay, at, to, message));
                    }
                }
                Effect::Reply { token, reply } => {
                    self.replies.insert(token, (now, reply));
                }
                Effect::LeaseReply {
                    token,
                    granted,
                    lease,
                    send_before,
                } => {
                    assert!(now < send_before);
                    let reply = Reply::Leases { granted, lease };
                    self.replies.insert(token, (now, reply));
                }
                Effect::Log(LogEvent::Moving { range, next, .. }) => {
                    self.moving.push((range, next.id));
                }
                Effect::Log(event @ (LogEvent::Lagging { .. } | LogEvent::Unaddressed { .. })) => {
                    self.events.push((at, event));
                }
                Effect::Log(event @ LogEvent::Acknowledged { .. }) => self.acks.push(event),
                Effect::StoreMembers(members) => {
                    let vm = self.vms.get_mut(&at).unwrap();
                    vm.stored = members;
                }
                Effect::Stream { conn, message } => {
                    self.on_streamed(at, &[conn], message);
                }
                Effect::Broadcast { conns, message } => {
                    self.on_streamed(at, &conns, message);
                }
                _ => {}
            }
        }
    }

    fn on_streamed(&mut self, at: SocketAddr, conns: &[u64], message: PeerMessage) {
        let (watched, others): (Vec<u64>, Vec<u64>) =
            conns.iter().partition(|conn| **conn >= FIRST_WATCHED);
        for conn in watched {
            let messages = self.watched.entry(conn).or_default();
            messages.push(message.clone());
        }
        if !others.is_empty() && self.entry.0 == Some(at) {
            self.on_entry_message(message);
        }
    }

    pub(crate) fn on_entry_message(&mut self, message: PeerMessage) {
        let view = &mut self.entry.1;
        match message {
            PeerMessage::Snapshot(new) => {
                self.snapshots += 1;
                assert!(new.index >= view.index, "the view index decreased");
                *view = *new;
            }
            PeerMessage::Update { index, command } => {
                if index <= view.index {
                    return;
                }
                view.apply(index, &command);
                if let Command::Assign { range, .. } = *command {
                    self.assigned.push(range);
                }
            }
            PeerMessage::NotLeader { .. } => self.entry.0 = None,
            _ => {}
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(5);
            let now = self.now;
            let (due, later) = std::mem::take(&mut self.in_transit)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.in_transit = later;
            for (_, from, to, message) in due {
                if !self.blocked.contains(&(from, to)) {
                    self.step(to, Event::Peer(message));
                }
            }
            if now.as_millis().is_multiple_of(TICK.as_millis()) {
                let all: Vec<SocketAddr> = self.vms.keys().copied().collect();
                for at in all {
                    if self.vms[&at].reopen_at.is_some_and(|reopen| now >= reopen) {
                        self.stop(at);
                        self.start(at);
                    }
                    self.step(at, Event::Tick);
                }
                self.step_entry();
            }
        }
    }

    pub(crate) fn step_entry(&mut self) {
        let index = self.entry.1.index;
        if let Some(at) = self.entry.0 {
            let message = PeerMessage::Ping {
                sent: self.now,
                index,
                load: Vec::new(),
                latencies: Vec::new(),
            };
            return self.step(at, Event::Stream { conn: 1, message });
        }
        if let Some(leader) = self.leader() {
            self.entry.0 = Some(leader);
            let message = PeerMessage::Subscribe {
                entry_id: 1,
                domain: "a".into(),
                index,
            };
            self.step(leader, Event::Stream { conn: 1, message });
        }
    }

    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        let is_leader = |vm: &TestVm| vm.control.as_ref().is_some_and(Control::is_leader);
        self.vms
            .iter()
            .find(|(_, vm)| is_leader(vm))
            .map(|(at, _)| *at)
    }

    /// Whether the voters are exactly the VMs of the cluster.
    pub(crate) fn is_repaired(&self) -> bool {
        let ids: BTreeSet<MemberId> = self.vms.values().map(|vm| vm.member.id).collect();
        let agrees = |vm: &TestVm| {
            vm.control
                .as_ref()
                .is_some_and(|c| c.members().voters == ids)
        };
        self.leader().is_some() && self.vms.values().all(agrees)
    }

    pub(crate) fn call(&mut self, at: SocketAddr, call: Call) -> CallToken {
        self.next_token += 1;
        let token = self.next_token;
        self.step(at, Event::Call { token, call });
        token
    }

    pub(crate) fn reply(&self, token: CallToken) -> Option<&Reply> {
        self.replies.get(&token).map(|(_, reply)| reply)
    }

    /// Calls the leader and waits for the reply, with retries.
    pub(crate) fn ask(&mut self, call: Call) -> Reply {
        for _ in 0..200 {
            if let Some(leader) = self.leader() {
                let token = self.call(leader, call.clone());
                self.run(ms(700));
                match self.reply(token) {
                    Some(Reply::Unavailable(_) | Reply::Redirect(_)) | None => {}
                    Some(reply) => return reply.clone(),
                }
            }
            self.run(ms(100));
        }
        panic!("no reply after 200 attempts");
    }

    pub(crate) fn isolate(&mut self, address: SocketAddr) {
        for other in self.vms.keys().filter(|other| **other != address) {
            self.blocked.insert((address, *other));
            self.blocked.insert((*other, address));
        }
    }
}

pub(crate) fn announcement(sequence: u64, incarnation: u64, draining: bool) -> Announcement {
    Announcement {
        id: "t1".into(),
        incarnation,
        sequence,
        service: "s".into(),
        address: "10.1.0.1:80".parse().unwrap(),
        domain: "a".into(),
        slots: 4,
        draining,
        warm_up: 0,
        report: LeaseReport::default(),
    }
}

pub(crate) fn announce(sequence: u64, incarnation: u64, draining: bool) -> Call {
    Call::Announce(Box::new(announcement(sequence, incarnation, draining)))
}
