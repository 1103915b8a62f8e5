//! Entry VMs, one control VM and targets on a network with delays.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration,
};

use camphordale_entry::{
    AttemptId,
    AttemptResult,
    Config,
    ControlStreamEffect,
    Effect,
    Entry,
    Event,
    IncomingRequest,
    Refusal,
    RequestHandle, //
};
use camphordale_fleet::{
    self as fleet,
    Announcement,
    Call,
    Control,
    Fingerprint,
    LeaseReport,
    LeaseTimes,
    MemberList,
    PeerMessage,
    TargetId,
    crash_evidence::SETTLE_AFTER, //
};
use camphordale_raft::RecoveredState;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use crate::setup::{
    change,
    control_member, //
};

pub(crate) const READS: &str = "reads";
pub(crate) const ORDERS: &str = "orders";
/// The request that crashes each target which executes it.
pub(crate) const DEADLY: Fingerprint = 1;
/// Time after the third crash in which the VMs may still send the request.
pub(crate) const CONTACT: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(5);
const RESTART: Duration = Duration::from_secs(3);
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(870);

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

struct Vm {
    entry: Entry,
    conn: Option<u64>,
    next_handle: RequestHandle,
}

struct Target {
    service: &'static str,
    address: SocketAddr,
    life: u64,
    sequence: u64,
    next_announcement: Duration,
    /// Whether the process runs.
    up: bool,
    restart_at: Duration,
    /// Whether it resets the connection of each request while it goes on running.
    resets: bool,
}

impl Target {
    /// Every other life has the id of the one before.
    fn id(&self, number: usize) -> TargetId {
        format!("t{number}-{}", self.life / 2).into()
    }
}

struct Running {
    attempt: AttemptId,
    vm: usize,
    target: usize,
    fingerprint: Fingerprint,
    ends_at: Duration,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Served,
    Refused(Refusal),
}

pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) random: StdRng,
    control: Option<Control>,
    disk: RecoveredState,
    vms: Vec<Vm>,
    targets: Vec<Target>,
    running: Vec<Running>,
    in_transit: Vec<(Duration, u64, bool, PeerMessage)>,
    next_conn: u64,
    /// Entry VMs that do not reach the control VM.
    pub(crate) cut: BTreeSet<usize>,
    /// Requests by VM and handle.
    asked: BTreeMap<(usize, RequestHandle), Fingerprint>,
    pub(crate) outcomes: Vec<(usize, Fingerprint, Outcome)>,
    /// Times and VMs of the attempts of the deadly request.
    pub(crate) deadly_sends: Vec<(Duration, usize)>,
    /// Times of the crashes.
    pub(crate) crashes: Vec<Duration>,
    /// Times of those that the deadly request caused.
    pub(crate) deadly_crashes: Vec<Duration>,
    /// Messages with evidence that entry VMs sent and received.
    pub(crate) reports: usize,
    pub(crate) updates: usize,
}

impl World {
    /// `targets` of each service.
    pub(crate) fn new(seed: u64, vms: usize, targets: usize) -> World {
        let mut world = World {
            now: ms(0),
            random: StdRng::seed_from_u64(seed),
            control: None,
            disk: Control::bootstrap_state(vec![control_member()]).unwrap(),
            vms: Vec::new(),
            targets: Vec::new(),
            running: Vec::new(),
            in_transit: Vec::new(),
            next_conn: 0,
            cut: BTreeSet::new(),
            asked: BTreeMap::new(),
            outcomes: Vec::new(),
            deadly_sends: Vec::new(),
            crashes: Vec::new(),
            deadly_crashes: Vec::new(),
            reports: 0,
            updates: 0,
        };
        for number in 0..targets * 2 {
            world.targets.push(Target {
                service: [READS, ORDERS][number % 2],
                address: format!("10.1.{}.{}:80", number / 200, number % 200 + 1)
                    .parse()
                    .unwrap(),
                life: 0,
                sequence: 0,
                next_announcement: ms(number as u64 * 7 % 870),
                up: true,
                restart_at: ms(0),
                resets: false,
            });
        }
        for number in 0..vms {
            let entry = World::entry(number as u64, seed);
            world.vms.push(Vm {
                entry,
                conn: None,
                next_handle: 0,
            });
        }
        world.start_control();
        world.run(ms(1500));
        let call = Call::Change(Box::new(change()));
        world.step_control(fleet::Event::Call { token: 1, call });
        world.run(ms(2500));
        for (number, vm) in world.vms.iter().enumerate() {
            assert!(vm.entry.is_ready(world.now), "VM {number} is not ready");
        }
        world
    }

    fn entry(number: u64, seed: u64) -> Entry {
        Entry::new(Config {
            entry_id: number,
            domain: "a".into(),
            seeds: vec![control_member().peer],
            retry_ratio: 0.2,
            retry_extra: 500.0,
            drain_grace: ms(1000),
            evacuation_grace: ms(4000),
            admission: camphordale_entry::AdmissionRule::Capacity,
            warm_up: camphordale_fleet::WarmUpBounds::default(),
            link_rate: None,
            seed: seed + number,
        })
    }

    fn start_control(&mut self) {
        let config = fleet::Config {
            member: control_member(),
            voters: 1,
            lease_times: LeaseTimes {
                call: ms(2000),
                heartbeat: ms(2740),
                interval: ANNOUNCEMENT_INTERVAL,
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
            domains: Vec::new(),
            view_limit: 64 << 20,
            seed: self.random.random(),
        };
        let control = Control::new(
            config,
            self.disk.clone(),
            vec![control_member()],
            MemberList::default(),
        );
        self.control = Some(control.unwrap());
    }

    /// Replaces the leader: the next one has the log, and nothing that was only in memory.
    pub(crate) fn change_leader(&mut self) {
        self.control = None;
        for at in 0..self.vms.len() {
            if self.vms[at].conn.take().is_some() {
                self.step_entry(at, Event::StreamClosed);
            }
        }
        self.start_control();
    }

    /// Replaces an entry VM by one that knows nothing.
    pub(crate) fn restart_vm(&mut self, at: usize) {
        let entry = World::entry(at as u64, self.random.random_range(0..1000));
        let conn = self.vms[at].conn.take();
        self.vms[at].entry = entry;
        self.vms[at].next_handle += 1000;
        self.running.retain(|running| running.vm != at);
        if let Some(conn) = conn {
            self.step_control(fleet::Event::StreamClosed(conn));
        }
    }

    pub(crate) fn make_targets_reset(&mut self, resets: bool) {
        for target in &mut self.targets {
            target.resets = resets;
        }
    }

    /// Ends targets for a reason of their own.
    pub(crate) fn crash_targets(&mut self, count: usize) {
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].up)
            .collect();
        for target in up.into_iter().take(count) {
            self.crash(target);
        }
    }

    fn step_control(&mut self, event: fleet::Event) {
        let now = self.now;
        let Some(control) = &mut self.control else {
            return;
        };
        for effect in control.step(event, now) {
            match effect {
                fleet::Effect::Persist(persist) => {
                    if let Some(hard) = persist.hard_state {
                        self.disk.hard_state = hard;
                    }
                    if let Some(first) = persist.entries.first() {
                        self.disk.entries.retain(|entry| entry.index < first.index);
                        self.disk.entries.extend(persist.entries);
                    }
                    if let Some(snapshot) = persist.snapshot {
                        self.disk
                            .entries
                            .retain(|entry| entry.index > snapshot.index);
                        self.disk.snapshot = Some(snapshot);
                    }
                }
                fleet::Effect::Stream { conn, message } => self.send_later(conn, false, message),
                fleet::Effect::Broadcast { conns, message } => {
                    for conn in conns {
                        self.send_later(conn, false, message.clone());
                    }
                }
                _ => {}
            }
        }
    }

    fn send_later(&mut self, conn: u64, to_control: bool, message: PeerMessage) {
        // In order, as on one connection.
        let delay = ms(15);
        self.in_transit
            .push((self.now + delay, conn, to_control, message));
    }

    fn step_entry(&mut self, at: usize, event: Event) {
        let now = self.now;
        for effect in self.vms[at].entry.step(event, now) {
            match effect {
                Effect::Send {
                    attempt,
                    request,
                    target,
                    address,
                    ..
                } => self.start_attempt(at, (attempt, request), &target, address),
                Effect::Cancel(attempt) => self
                    .running
                    .retain(|running| (running.vm, running.attempt) != (at, attempt)),
                Effect::ForwardResponse { request, .. } => {
                    self.finish(at, request, Outcome::Served);
                }
                Effect::Refuse { request, refusal } => {
                    self.finish(at, request, Outcome::Refused(refusal));
                }
                Effect::ControlStream(ControlStreamEffect::Connect { .. }) => {
                    self.next_conn += 1;
                    self.vms[at].conn = Some(self.next_conn);
                }
                Effect::ControlStream(ControlStreamEffect::Send(message)) => {
                    if matches!(message, PeerMessage::CrashEvidence { .. }) {
                        self.reports += 1;
                    }
                    if let Some(conn) = self.vms[at].conn {
                        self.send_later(conn, true, message);
                    }
                }
                Effect::ControlStream(ControlStreamEffect::Close) => self.vms[at].conn = None,
                Effect::Withdraw(_) | Effect::Discard(_) | Effect::Log(_) => {}
            }
        }
    }

    fn finish(&mut self, at: usize, request: RequestHandle, outcome: Outcome) {
        let fingerprint = self.asked.remove(&(at, request)).unwrap();
        self.outcomes.push((at, fingerprint, outcome));
    }

    fn start_attempt(
        &mut self,
        vm: usize,
        (attempt, request): (AttemptId, RequestHandle),
        id: &TargetId,
        address: SocketAddr,
    ) {
        let fingerprint = self.asked[&(vm, request)];
        let found = self.targets.iter().position(|t| t.address == address);
        let target = found.unwrap();
        if fingerprint == DEADLY {
            self.deadly_sends.push((self.now, vm));
        }
        let is_same = self.targets[target].up && self.targets[target].id(target) == *id;
        let takes = match (is_same, fingerprint) {
            (true, DEADLY) => ms(100),
            (true, _) => ms(self.random.random_range(20..80)),
            (false, _) => ms(5),
        };
        self.running.push(Running {
            attempt,
            vm,
            target: if is_same { target } else { usize::MAX },
            fingerprint,
            ends_at: self.now + takes,
        });
    }

    fn end_attempt(&mut self, running: &Running, result: AttemptResult) {
        let event = Event::AttemptEnded {
            attempt: running.attempt,
            result,
            length: 10,
        };
        self.step_entry(running.vm, event);
    }

    /// Ends a target, which breaks all its connections.
    fn crash(&mut self, at: usize) {
        self.crashes.push(self.now);
        self.targets[at].up = false;
        self.targets[at].restart_at = self.now + RESTART;
        let lost: Vec<Running> = self
            .running
            .extract_if(.., |running| running.target == at)
            .collect();
        for running in lost {
            self.end_attempt(&running, closed());
        }
    }

    /// A request arrives at a VM.
    pub(crate) fn request(&mut self, vm: usize, service: &str, fingerprint: Fingerprint) {
        self.vms[vm].next_handle += 1;
        let handle = self.vms[vm].next_handle;
        self.asked.insert((vm, handle), fingerprint);
        let incoming = IncomingRequest {
            handle,
            host: "a.example".into(),
            path: format!("/{service}/x").into(),
            caller_timeout: Some(ms(1500)),
            key: None,
            fingerprint,
        };
        self.step_entry(vm, Event::Request(incoming));
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            self.step_targets();
            let due: Vec<Running> = self
                .running
                .extract_if(.., |running| running.ends_at <= self.now)
                .collect();
            for running in due {
                self.end_due(running);
            }
            if self.now.as_millis().is_multiple_of(20) {
                self.step_control(fleet::Event::Tick);
                for at in 0..self.vms.len() {
                    self.step_entry(at, Event::Tick);
                }
            }
        }
    }

    fn end_due(&mut self, running: Running) {
        let Some(target) = self.targets.get(running.target) else {
            return self.end_attempt(&running, not_sent());
        };
        if running.fingerprint == DEADLY {
            let at = running.target;
            self.end_attempt(&running, closed());
            if self.targets[at].up {
                self.deadly_crashes.push(self.now);
                self.crash(at);
            }
        } else if target.resets {
            self.end_attempt(&running, closed());
        } else {
            let result = AttemptResult::Complete {
                status: 200,
                load: None,
                executed: true,
            };
            self.end_attempt(&running, result);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .in_transit
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, conn, to_control, message) in due {
            let Some(vm) = self.vms.iter().position(|vm| vm.conn == Some(conn)) else {
                continue;
            };
            if self.cut.contains(&vm) {
                // A connection delivers all or, after a loss, nothing any more.
                self.vms[vm].conn = None;
                continue;
            }
            if to_control {
                self.step_control(fleet::Event::Stream { conn, message });
            } else {
                if matches!(message, PeerMessage::CrashEvidence { .. }) {
                    self.updates += 1;
                }
                self.step_entry(vm, Event::Stream(message));
            }
        }
    }

    fn step_targets(&mut self) {
        for at in 0..self.targets.len() {
            let now = self.now;
            let target = &mut self.targets[at];
            if !target.up && now >= target.restart_at {
                target.up = true;
                target.life += 1;
                target.sequence = 0;
                target.next_announcement = now;
            }
            if !target.up || now < target.next_announcement {
                continue;
            }
            target.next_announcement = now + ANNOUNCEMENT_INTERVAL;
            target.sequence += 1;
            let announcement = Announcement {
                id: target.id(at),
                incarnation: 100 + target.life,
                sequence: target.sequence,
                service: target.service.into(),
                address: target.address,
                domain: "a".into(),
                slots: 4,
                draining: false,
                warm_up: 0,
                report: LeaseReport::default(),
            };
            let call = Call::Announce(Box::new(announcement));
            self.step_control(fleet::Event::Call { token: 2, call });
        }
    }

    /// Sends the deadly request for a time, eight times a second at any of `vms`.
    pub(crate) fn run_with_deadly_request(&mut self, service: &str, vms: &[usize], time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let vm = vms[self.random.random_range(0..vms.len())];
            self.request(vm, service, DEADLY);
            self.run(ms(125));
        }
    }

    /// Attempts of the deadly request that the rule counts, by VMs that are not cut off.
    pub(crate) fn sends_after_third_crash(&self) -> usize {
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        let sends = self.deadly_sends.iter();
        let late = sends.filter(|(at, vm)| *at > *third + CONTACT && !self.cut.contains(vm));
        late.count()
    }

    /// Targets that the deadly request crashed after the crashes that quarantined it were settled.
    pub(crate) fn trials(&self) -> usize {
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        let crashes = self.deadly_crashes.iter();
        crashes.filter(|at| **at > *third + SETTLE_AFTER).count()
    }

    /// Number of requests, other than the deadly one, with this outcome.
    pub(crate) fn innocents<Fits>(&self, fits: Fits) -> usize
    where
        Fits: Fn(Outcome) -> bool,
    {
        let outcomes = self.outcomes.iter();
        let found =
            outcomes.filter(|(_, fingerprint, outcome)| *fingerprint != DEADLY && fits(*outcome));
        found.count()
    }
}

/// The target closed the connection while it had the request.
fn closed() -> AttemptResult {
    AttemptResult::Failed {
        sent: true,
        received: false,
        closed: true,
    }
}

fn not_sent() -> AttemptResult {
    AttemptResult::Failed {
        sent: false,
        received: false,
        closed: false,
    }
}
