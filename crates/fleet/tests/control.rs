//! The control group: three VMs with disks on a network that cuts, loses and delays.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use camphordale_fleet::{
    Announcement,
    Call,
    Change,
    Command,
    Config,
    Control,
    Effect,
    Event,
    Item,
    Limits,
    Member,
    PeerMessage,
    Reply,
    Routing,
    Service,
    Span,
    TargetState,
    Token,
    View, //
};
use camphordale_raft::{
    MemberId,
    Persist,
    Recovered, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

const TICK: Duration = Duration::from_millis(30);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn member(number: u8, id: MemberId) -> Member {
    Member {
        id,
        peer: format!("10.0.0.{number}:7000").parse().unwrap(),
        control: format!("10.0.0.{number}:8000").parse().unwrap(),
        domain: "a".into(),
    }
}

fn config(me: Member, seed: u64) -> Config {
    Config {
        me,
        voters: 3,
        hold: ms(2000),
        election: ms(350),
        heartbeat: ms(100),
        target_silence: ms(20_000),
        member_silence: ms(3500),
        apply_wait: ms(500),
        seed,
    }
}

fn change(base: u64, version: u64, mark: u64) -> Change {
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&mark.to_be_bytes());
    digest[8..].copy_from_slice(&base.to_be_bytes());
    Change {
        base,
        version,
        whole: true,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Some(Item {
            content: Limits::default(),
            source: mark.to_string().into(),
        }),
        dropped_routes: Vec::new(),
        dropped_services: Vec::new(),
        digest,
    }
}

fn mark_of(routing: &Routing) -> u64 {
    let limits = routing.limits.as_ref().unwrap();
    limits.source.parse().unwrap()
}

/// What a disk holds.
fn store(disk: &mut Recovered, persist: Persist) {
    if let Some(hard) = persist.hard {
        disk.hard = hard;
    }
    if let Some(snapshot) = persist.snapshot {
        disk.entries
            .retain(|entry| entry.index > snapshot.index && !persist.reset);
        disk.snapshot = Some(snapshot);
    }
    if let Some(first) = persist.entries.first() {
        disk.entries.retain(|entry| entry.index < first.index);
        disk.entries.extend(persist.entries);
    }
}

struct Vm {
    member: Member,
    disk: Recovered,
    control: Option<Control>,
}

struct World {
    random: StdRng,
    now: Duration,
    vms: BTreeMap<SocketAddr, Vm>,
    /// Pairs of addresses between which nothing passes.
    cut: BTreeSet<(SocketAddr, SocketAddr)>,
    loss: f64,
    /// Longest delay of a message in milliseconds.
    delay: u64,
    /// Ranges that entry VMs saw change their holder.
    assigned: Vec<Span>,
    wire: Vec<(Duration, SocketAddr, SocketAddr, PeerMessage)>,
    replies: BTreeMap<Token, (Duration, Reply)>,
    next_token: Token,
    /// View of an entry VM with a stream to the VM at the address.
    entry: (Option<SocketAddr>, View),
}

impl World {
    fn new(seed: u64) -> World {
        let members: Vec<Member> = (1..=3).map(|n| member(n, u64::from(n))).collect();
        let mut world = World {
            random: StdRng::seed_from_u64(seed),
            now: ms(0),
            vms: BTreeMap::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            delay: 20,
            assigned: Vec::new(),
            wire: Vec::new(),
            replies: BTreeMap::new(),
            next_token: 0,
            entry: (None, View::default()),
        };
        for member in &members {
            let disk = Control::found(members.clone()).unwrap();
            let vm = Vm {
                member: member.clone(),
                disk,
                control: None,
            };
            world.vms.insert(member.peer, vm);
            world.start(member.peer);
        }
        world
    }

    fn start(&mut self, at: SocketAddr) {
        let seed = self.random.random();
        let book: Vec<Member> = self.vms.values().map(|vm| vm.member.clone()).collect();
        let vm = self.vms.get_mut(&at).unwrap();
        let config = config(vm.member.clone(), seed);
        vm.control = Some(Control::new(config, vm.disk.clone(), book).unwrap());
    }

    fn stop(&mut self, at: SocketAddr) {
        self.vms.get_mut(&at).unwrap().control = None;
        if self.entry.0 == Some(at) {
            self.entry.0 = None;
        }
    }

    /// The VM comes back under a new id, because its disk is empty.
    fn wipe(&mut self, at: SocketAddr, id: MemberId) {
        self.stop(at);
        let vm = self.vms.get_mut(&at).unwrap();
        vm.member.id = id;
        vm.disk = Recovered::default();
        self.start(at);
    }

    fn step(&mut self, at: SocketAddr, event: Event) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(&at) else {
            return;
        };
        let Some(control) = &mut vm.control else {
            return;
        };
        let effects = control.step(event, now);
        for effect in effects {
            match effect {
                Effect::Persist(persist) => {
                    let vm = self.vms.get_mut(&at).unwrap();
                    store(&mut vm.disk, persist);
                }
                Effect::Send { to, message } => {
                    let delay = ms(self.random.random_range(self.delay / 2..self.delay));
                    if !self.random.random_bool(self.loss) {
                        self.wire.push((now + delay, at, to, message));
                    }
                }
                Effect::Reply { token, reply } => {
                    self.replies.insert(token, (now, reply));
                }
                Effect::Stream { message, .. } if self.entry.0 == Some(at) => {
                    self.entry_heard(message);
                }
                _ => {}
            }
        }
    }

    fn entry_heard(&mut self, message: PeerMessage) {
        let view = &mut self.entry.1;
        match message {
            PeerMessage::Snapshot(new) => {
                assert!(new.index >= view.index, "a view went back");
                *view = *new;
            }
            PeerMessage::Update { index, command } => {
                if index > view.index {
                    view.apply(index, &command);
                    if let Command::Assign { span, .. } = *command {
                        self.assigned.push(span);
                    }
                }
            }
            PeerMessage::NotLeader { .. } => self.entry.0 = None,
            _ => {}
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(5);
            let now = self.now;
            let (due, later) = std::mem::take(&mut self.wire)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.wire = later;
            for (_, from, to, message) in due {
                if !self.cut.contains(&(from, to)) {
                    self.step(to, Event::Peer(message));
                }
            }
            if now.as_millis().is_multiple_of(TICK.as_millis()) {
                let all: Vec<SocketAddr> = self.vms.keys().copied().collect();
                for at in all {
                    self.step(at, Event::Tick);
                }
                self.tend_entry();
            }
        }
    }

    fn tend_entry(&mut self) {
        let index = self.entry.1.index;
        if let Some(at) = self.entry.0 {
            let message = PeerMessage::Ping {
                sent: self.now,
                index,
                load: Vec::new(),
                times: Vec::new(),
            };
            return self.step(at, Event::Stream { conn: 1, message });
        }
        if let Some(leader) = self.leader() {
            self.entry.0 = Some(leader);
            let message = PeerMessage::Subscribe {
                entry: 1,
                domain: "a".into(),
                index,
            };
            self.step(leader, Event::Stream { conn: 1, message });
        }
    }

    fn leader(&self) -> Option<SocketAddr> {
        let leads = |vm: &Vm| vm.control.as_ref().is_some_and(Control::leads);
        self.vms.iter().find(|(_, vm)| leads(vm)).map(|(at, _)| *at)
    }

    /// Whether all VMs that run are the voters, and no others are.
    fn is_repaired(&self) -> bool {
        let ids: BTreeSet<MemberId> = self.vms.values().map(|vm| vm.member.id).collect();
        let agrees = |vm: &Vm| {
            vm.control
                .as_ref()
                .is_some_and(|c| c.members().voters == ids)
        };
        self.leader().is_some() && self.vms.values().all(agrees)
    }

    fn call(&mut self, at: SocketAddr, call: Call) -> Token {
        self.next_token += 1;
        let token = self.next_token;
        self.step(at, Event::Call { token, call });
        token
    }

    fn reply(&self, token: Token) -> Option<&Reply> {
        self.replies.get(&token).map(|(_, reply)| reply)
    }

    /// Calls the leader and waits for the reply.
    fn ask(&mut self, call: Call) -> Reply {
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
        panic!("no reply");
    }

    fn separate(&mut self, alone: SocketAddr) {
        for other in self.vms.keys().filter(|other| **other != alone) {
            self.cut.insert((alone, *other));
            self.cut.insert((*other, alone));
        }
    }
}

fn announcement(sequence: u64, born: u64, draining: bool) -> Announcement {
    Announcement {
        id: "t1".into(),
        born,
        sequence,
        service: "s".into(),
        address: "10.1.0.1:80".parse().unwrap(),
        domain: "a".into(),
        slots: 4,
        draining,
        warming: 0,
    }
}

fn announce(sequence: u64, born: u64, draining: bool) -> Call {
    Call::Announce(Box::new(announcement(sequence, born, draining)))
}

#[test]
fn a_change_is_acknowledged_and_read_back() {
    let mut world = World::new(1);
    let accepted = world.ask(Call::Change(Box::new(change(0, 2, 7))));
    assert_eq!(accepted, Reply::Done { here: true });
    let Reply::Routing(routing) = world.ask(Call::Read) else {
        panic!("no routing");
    };
    assert_eq!((routing.version, mark_of(&routing)), (2, 7));
    assert_eq!(world.entry.1.routing.as_ref().unwrap().version, 2);
}

#[test]
fn a_change_that_was_accepted_is_acknowledged_again_and_another_on_its_base_is_not() {
    let mut world = World::new(2);
    let first = Call::Change(Box::new(change(0, 2, 7)));
    world.ask(first.clone());
    let other = world.ask(Call::Change(Box::new(change(0, 2, 8))));
    assert_eq!(other, Reply::Stale(2));
    world.ask(Call::Change(Box::new(change(2, 5, 9))));
    assert_eq!(world.ask(first), Reply::Done { here: true });
}

#[test]
fn a_version_that_does_not_rise_is_refused() {
    let mut world = World::new(3);
    world.ask(Call::Change(Box::new(change(0, 4, 7))));
    let same = world.ask(Call::Change(Box::new(change(4, 4, 8))));
    assert!(matches!(same, Reply::Invalid(_)));
}

#[test]
fn a_leader_without_a_quorum_answers_no_read() {
    let mut world = World::new(4);
    world.ask(Call::Change(Box::new(change(0, 2, 7))));
    let old = world.leader().unwrap();
    world.separate(old);
    let token = world.call(old, Call::Read);
    world.run(ms(2000));
    let reply = world.reply(token);
    assert!(!matches!(reply, Some(Reply::Routing(_))), "{reply:?}");
}

#[test]
fn the_others_redirect_to_the_leader() {
    let mut world = World::new(5);
    world.run(ms(2000));
    let leader = world.leader().unwrap();
    let other = *world.vms.keys().find(|at| **at != leader).unwrap();
    let token = world.call(other, Call::Read);
    let control = world.vms[&leader].member.control;
    assert_eq!(world.reply(token), Some(&Reply::Redirect(control)));
}

#[test]
fn a_wiped_member_comes_back_under_a_new_id_and_tolerance_is_restored() {
    let mut world = World::new(6);
    world.ask(Call::Change(Box::new(change(0, 2, 7))));
    let all: Vec<SocketAddr> = world.vms.keys().copied().collect();
    world.wipe(all[0], 1 << 63 | 5);
    world.run(ms(6000));
    // Two losses after the repair: the wiped member and one other form the quorum.
    world.stop(all[1]);
    world.run(ms(3000));
    let reply = world.ask(Call::Change(Box::new(change(2, 3, 8))));
    assert_eq!(reply, Reply::Done { here: true });
    let Reply::Routing(routing) = world.ask(Call::Read) else {
        panic!("no routing");
    };
    assert_eq!(mark_of(&routing), 8);
}

#[test]
fn a_member_at_a_new_address_replaces_one_that_is_gone() {
    let mut world = World::new(7);
    world.ask(Call::Change(Box::new(change(0, 2, 7))));
    let all: Vec<SocketAddr> = world.vms.keys().copied().collect();
    world.stop(all[2]);
    let fresh = member(9, 1 << 63 | 9);
    let vm = Vm {
        member: fresh.clone(),
        disk: Recovered::default(),
        control: None,
    };
    world.vms.insert(fresh.peer, vm);
    world.start(fresh.peer);
    world.run(ms(12_000));
    world.stop(all[1]);
    world.run(ms(3000));
    let reply = world.ask(Call::Change(Box::new(change(2, 3, 8))));
    assert_eq!(reply, Reply::Done { here: true });
}

#[test]
fn late_announcements_change_nothing() {
    let mut world = World::new(8);
    world.ask(announce(5, 100, true));
    world.ask(announce(4, 100, false));
    assert_eq!(world.entry.1.targets["t1"].state, TargetState::Draining);
    world.ask(announce(1, 200, false));
    assert_eq!(world.entry.1.targets["t1"].state, TargetState::Ready);
    world.ask(announce(9, 100, true));
    assert_eq!(world.entry.1.targets["t1"].state, TargetState::Ready);
}

#[test]
fn an_address_belongs_to_the_younger_life() {
    let mut world = World::new(9);
    world.ask(announce(1, 100, false));
    let mut other = announcement(1, 200, false);
    other.id = "t2".into();
    world.ask(Call::Announce(Box::new(other)));
    // A heartbeat of the former life that was delayed.
    world.ask(announce(2, 100, false));
    let ids: Vec<&str> = world.entry.1.targets.keys().map(|id| &**id).collect();
    assert_eq!(ids, ["t2"]);
}

#[test]
fn a_leave_is_durable_before_it_is_acknowledged() {
    let mut world = World::new(10);
    world.ask(announce(1, 100, false));
    let leader = world.leader().unwrap();
    world.separate(leader);
    let id = "t1".into();
    let token = world.call(
        leader,
        Call::Leave {
            id,
            born: Some(100),
        },
    );
    world.run(ms(1500));
    assert!(!matches!(world.reply(token), Some(Reply::Done { .. })));
}

/// Seen on a day with 78 entry VMs: keys were divided a second time while the first division was on
/// its way to the disks, and two targets held the same keys.
#[test]
fn keys_are_divided_once_however_long_that_takes() {
    let mut world = World::new(11);
    let mut first = change(0, 2, 7);
    let service = Service {
        health: "/health".into(),
        connections: 10,
        keyed: true,
        warm: ms(0),
    };
    let source = "{}".into();
    let item = Item {
        content: service,
        source,
    };
    first.services.push(("s".into(), item));
    world.ask(Call::Change(Box::new(first)));
    world.delay = 300;
    let leader = world.leader().unwrap();
    for step in 0..100u64 {
        let number = step / 10;
        let mut target = announcement(1 + step, 100, false);
        target.id = format!("t{number}").into();
        target.address = format!("10.1.0.{}:80", number + 1).parse().unwrap();
        world.call(leader, Call::Announce(Box::new(target)));
        world.run(ms(40));
    }
    world.run(ms(3000));
    // Moves need a release, and no order is answered here, so each key has one holder so far.
    let width: u32 = world.assigned.iter().map(Span::width).sum();
    assert_eq!(width, 65536);
}

/// Random histories of cuts, losses, restarts and lost disks, with racing changes. Compared with a
/// naive record of what operators were told.
#[test]
fn random_histories_lose_no_acknowledged_change() {
    let accepted: usize = (0..300).map(history).sum();
    assert!(accepted > 3000, "{accepted} changes were accepted");
}

/// Returns how many changes were accepted.
fn history(seed: u64) -> usize {
    let mut world = World::new(1000 + seed);
    let all: Vec<SocketAddr> = world.vms.keys().copied().collect();
    let mut fresh_id = 1u64 << 63;
    let mut mark = 0;
    // Changes under way: token, base, version, mark. Accepted: base to mark.
    let mut asked: Vec<(Token, u64, u64, u64)> = Vec::new();
    let mut accepted: BTreeMap<u64, u64> = BTreeMap::new();
    let mut newest = 0;
    let mut reads: Vec<(Token, u64)> = Vec::new();
    for _ in 0..60 {
        world.run(ms(200));
        match world.random.random_range(0..12) {
            0 => {
                let at = all[world.random.random_range(0..3)];
                world.separate(at);
            }
            1 => world.cut.clear(),
            2 => world.loss = [0.0, 0.1, 0.3][world.random.random_range(0..3)],
            3 | 4 => {
                let at = all[world.random.random_range(0..3)];
                world.stop(at);
                world.run(ms(50));
                world.start(at);
            }
            5 if world.is_repaired() => {
                let at = all[world.random.random_range(0..3)];
                // One disk may be lost at a time, until the group has repaired itself.
                fresh_id += 1;
                world.wipe(at, fresh_id);
                world.cut.clear();
                world.loss = 0.0;
            }
            _ => {}
        }
        for _ in 0..2 {
            mark += 1;
            let at = all[world.random.random_range(0..3)];
            let known = world.vms[&at].control.as_ref().map(Control::state);
            let routing = known.and_then(|state| state.view.routing.clone());
            let base = routing
                .unwrap_or_else(|| Arc::new(Routing::default()))
                .version;
            let version = base + world.random.random_range(1..3);
            let call = Call::Change(Box::new(change(base, version, mark)));
            let token = world.call(at, call);
            asked.push((token, base, version, mark));
        }
        let at = all[world.random.random_range(0..3)];
        reads.push((world.call(at, Call::Read), newest));
        for (token, base, version, mark) in &asked {
            if matches!(world.reply(*token), Some(Reply::Done { .. })) {
                let other = accepted.insert(*base, *mark);
                assert!(
                    other.is_none_or(|other| other == *mark),
                    "seed {seed}: two changes on base {base}"
                );
                newest = newest.max(*version);
            }
        }
        for (token, least) in &reads {
            if let Some(Reply::Routing(routing)) = world.reply(*token) {
                assert!(routing.version >= *least, "seed {seed}: a stale read");
            }
        }
    }
    world.cut.clear();
    world.loss = 0.0;
    for at in &all {
        if world.vms[at].control.is_none() {
            world.start(*at);
        }
    }
    world.run(ms(4000));
    if newest > 0 {
        let Reply::Routing(routing) = world.ask(Call::Read) else {
            panic!("seed {seed}: no routing");
        };
        assert!(routing.version >= newest, "seed {seed}: a change is lost");
    }
    accepted.len()
}
