//! Everything a VM does apart from the control role: its session with the domain leader, its
//! member of the domain group, its copy of the directory, and the way of calls to the leaders.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use camphordale_bundle::SignedBundle;
use camphordale_control::{
    Directory,
    Versions, //
};
use camphordale_domain::{
    LeaseConfig,
    View, //
};
use camphordale_raft::{
    Config as RaftConfig,
    Role, //
};
use camphordale_route::Event as RouteEvent;
use camphordale_types::{
    Bundle,
    Incarnation,
    VmId,
    VmInfo, //
};

use crate::{
    Call,
    CallId,
    Cast,
    ControlCall,
    ControlReply,
    Datagram,
    DomainCall,
    DomainReply,
    Reply,
    SenderReport,
    calls::{
        Calls,
        Dest,
        Origin, //
    },
    directory::DirectoryView,
    domain::{
        DomainMember,
        Has,
        MemberEffect, //
    },
    domain_member,
    member_vm, //
};

/// Time between renewals with the control group after which shards may have got another home.
const CONTROL_GAP: Duration = Duration::from_secs(1);

/// A gap between ticks that shows that the process was paused.
const PAUSE: Duration = Duration::from_millis(250);

/// Time between reports of a domain leader to the control group.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// Time between requests for news of a VM without a domain leader.
const ASK_EVERY: Duration = Duration::from_millis(300);

/// Time without a renewal after which a VM counts as leaderless.
const LEADERLESS_AFTER: Duration = Duration::from_millis(600);

/// Time between registrations until the directory shows this run.
const REGISTER_EVERY: Duration = Duration::from_millis(500);

/// Renewals whose answers may still be used.
const RENEWALS: usize = 16;

/// Id of a call whose answer nobody waits for; the process counts its own from 1.
const NO_CALLER: CallId = 0;

/// Settings of an entry node.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// This VM.
    pub info: VmInfo,
    /// Addresses of the control voters.
    pub control: Vec<(VmId, SocketAddr)>,
    /// Lease times.
    pub lease: LeaseConfig,
    /// Time between renewals of this VM's lease.
    pub renew: Duration,
    /// Heartbeat of the domain group.
    pub heartbeat: Duration,
    /// Least election time of the domain group.
    pub election: Duration,
    /// Most voters of the domain group.
    pub group: usize,
    /// Seed of election times.
    pub seed: u64,
    /// The last bundle that this VM acted on, if its disk has one.
    pub bundle: Option<SignedBundle>,
}

/// Input of an entry node.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// Time has passed.
    Tick,
    /// A one-way message of another VM arrived.
    Cast {
        /// The VM.
        from: VmId,
        /// The message.
        cast: Cast,
    },
    /// A datagram of another VM arrived.
    Datagram {
        /// The VM.
        from: VmId,
        /// The datagram.
        datagram: Datagram,
    },
    /// A call arrived; it is answered by one `Reply`. Calls of this VM's own listeners are taken
    /// to the right leader; calls of other VMs are answered only if this VM leads.
    Call {
        /// Chosen by the caller.
        id: CallId,
        /// The VM, or none for this one.
        from: Option<VmId>,
        /// The call.
        call: Call,
    },
    /// A call that this node made ended.
    Returned {
        /// Its id.
        id: CallId,
        /// The answer, or whether the call may have been delivered.
        result: Result<Reply, bool>,
    },
    /// This VM's router has something to tell the domain leader.
    Sender(SenderReport),
    /// The VM is shutting down and sends nothing from now on. Raised again once all requests at
    /// targets have ended, it gives up the lease.
    Leave {
        /// Whether requests are still running at targets.
        busy: bool,
    },
}

/// Output of an entry node, to be carried out in order.
#[derive(Clone, Debug)]
pub enum EntryEffect {
    /// Send a one-way message.
    Cast {
        /// The receiving VM.
        to: VmId,
        /// Its address.
        address: SocketAddr,
        /// The message.
        cast: Cast,
    },
    /// Send a datagram.
    Datagram {
        /// The receiver's address.
        address: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Make a call and raise `Returned`. A call to this VM itself goes to its control role.
    Call {
        /// Chosen by this node.
        id: CallId,
        /// The receiving VM.
        to: VmId,
        /// Its address.
        address: SocketAddr,
        /// The call.
        call: Call,
        /// Time limit.
        timeout: Duration,
    },
    /// Answer a call.
    Reply {
        /// Id of the call.
        id: CallId,
        /// The answer.
        reply: Reply,
    },
    /// Tell this VM's router.
    Route(RouteEvent),
    /// A bundle is in force on this VM; keep it on the disk if there is one.
    InForce {
        /// The signed bundle.
        signed: SignedBundle,
        /// Its content.
        bundle: Box<Bundle>,
    },
    /// The domain group's role, term or leader changed here.
    Role {
        /// Term of the group.
        group: u64,
        /// The role.
        role: Role,
        /// Raft term.
        epoch: u64,
        /// The leader, if known.
        leader: Option<VmId>,
    },
    /// A newer bundle was not put in force.
    Refused {
        /// Why.
        reason: Box<str>,
    },
    /// The VM's lease was granted for the first time, or ran out.
    Lease {
        /// Whether it is valid.
        valid: bool,
    },
}

/// What an operator sees of an entry node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryStatus {
    /// Term of the domain group, 0 for none.
    pub group: u64,
    /// Raft term of the domain group.
    pub epoch: u64,
    /// Leader of the domain group.
    pub leader: Option<VmId>,
    /// Whether this VM votes in the domain group.
    pub voter: bool,
    /// Leader of the control group, as far as known.
    pub control: Option<VmId>,
    /// Whether the lease is valid.
    pub lease: bool,
    /// Index of the view.
    pub view: u64,
}

/// The VM's session with its domain leader.
#[derive(Default)]
struct Session {
    nonce: u64,
    sent: BTreeMap<u64, Duration>,
    renewed: Option<Duration>,
    until: Duration,
    valid: bool,
    last_try: Option<Duration>,
}

/// The entry node.
pub struct EntryNode {
    config: EntryConfig,
    directory: DirectoryView,
    member: Option<DomainMember>,
    sealed: u64,
    /// The newest bundle, until the domain group has committed it.
    accepted: Option<(SignedBundle, Bundle)>,
    /// Version of the bundle in force.
    in_force: u64,
    /// Whether the VM is shutting down and uses no lease any more.
    leaving: bool,
    /// Whether it has given its lease up.
    left: bool,
    leader: Option<VmId>,
    session: Session,
    view: (u64, u64),
    calls: Calls,
    /// Whether the control leader has answered this VM as domain leader.
    confirmed: bool,
    /// Start of the last renewal with the control group that this VM made as domain leader, until
    /// the group follows the homes that came with it.
    control_new: Option<Duration>,
    /// Start of the last such renewal that counts.
    control_ok: Option<Duration>,
    /// Index of the view that leases need since the last gap between renewals.
    control_fence: u64,
    /// The latest such start that this VM knows of.
    control_seen: Duration,
    reported: Option<Duration>,
    asked: Option<Duration>,
    registered: Option<Duration>,
    fetching: Option<Duration>,
    joined: Option<Duration>,
    last_tick: Option<Duration>,
}

impl EntryNode {
    /// Starts an entry node.
    pub fn new(config: EntryConfig) -> Self {
        let control = config.control.iter().map(|&(vm, _)| vm).collect();
        let directory = DirectoryView::new(&config);
        EntryNode {
            directory,
            member: None,
            sealed: 0,
            accepted: None,
            in_force: 0,
            leaving: false,
            left: false,
            leader: None,
            session: Session::default(),
            view: (0, 0),
            calls: Calls::new(control),
            confirmed: false,
            control_new: None,
            control_ok: None,
            control_fence: 0,
            control_seen: Duration::ZERO,
            reported: None,
            asked: None,
            registered: None,
            fetching: None,
            joined: None,
            last_tick: None,
            config,
        }
    }

    /// Returns what an operator sees of the node.
    pub fn status(&self, now: Duration) -> EntryStatus {
        EntryStatus {
            group: self.member.as_ref().map_or(0, DomainMember::term),
            epoch: self.member.as_ref().map_or(0, DomainMember::epoch),
            leader: self.leader,
            voter: self.member.as_ref().is_some_and(DomainMember::is_voter),
            control: self.calls.control_leader(),
            lease: self.session.valid && now < self.session.until,
            view: self.view.1,
        }
    }

    /// Returns the directory as this VM knows it.
    pub fn directory(&self) -> &DirectoryView {
        &self.directory
    }

    /// Returns the state of the domain group, if this VM is a member.
    pub fn domain_state(&self) -> Option<&camphordale_domain::State> {
        self.member.as_ref().map(|member| &member.state)
    }

    /// Handles one event.
    pub fn step(&mut self, event: EntryEvent, now: Duration) -> Vec<EntryEffect> {
        let mut out = Vec::new();
        match event {
            EntryEvent::Tick => self.tick(now, &mut out),
            EntryEvent::Cast { from, cast } => self.cast(from, cast, now, &mut out),
            EntryEvent::Datagram { from, datagram } => {
                self.datagram(from, datagram, now, &mut out);
            }
            EntryEvent::Call { id, from, call } => self.call(id, from, call, now, &mut out),
            EntryEvent::Returned { id, result } => self.returned(id, result, now, &mut out),
            EntryEvent::Sender(report) => self.report_sender(report, now, &mut out),
            EntryEvent::Leave { busy } => self.leave(busy, now, &mut out),
        }
        out
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        if self.last_tick.is_some_and(|last| now > last + PAUSE) {
            self.lose_lease(out);
        }
        self.last_tick = Some(now);
        if self.session.valid && now >= self.session.until {
            self.session.valid = false;
            out.push(EntryEffect::Lease { valid: false });
        }
        if self.member.is_none() {
            self.start_member(now, out);
        }
        self.with_member(now, out, |member, now, effects| member.tick(now, effects));
        if self.config.info.entry {
            self.renew(now, out);
            self.join(now, out);
        }
        self.talk_to_control(now);
        self.pump_calls(now, out);
    }

    fn leave(&mut self, busy: bool, now: Duration, out: &mut Vec<EntryEffect>) {
        if !self.leaving {
            self.leaving = true;
            self.lose_lease(out);
        }
        if !busy && !self.left {
            self.left = true;
            let (vm, incarnation) = (self.config.info.vm, self.config.info.incarnation);
            let call = Call::Domain(DomainCall::Leave { vm, incarnation });
            self.internal(call, Dest::Domain, now);
            self.pump_calls(now, out);
        }
    }

    fn lose_lease(&mut self, out: &mut Vec<EntryEffect>) {
        // Answers to renewals sent before the pause must not bring the lease back.
        self.session.sent.clear();
        self.session.until = Duration::ZERO;
        out.push(EntryEffect::Route(RouteEvent::LeaseLost));
    }

    /// Registers, reports as domain leader, or asks for news while there is no leader.
    fn talk_to_control(&mut self, now: Duration) {
        let due = |last: Option<Duration>, every| last.is_none_or(|at| now >= at + every);
        let shown = self.directory.shows(&self.config.info);
        if !shown && due(self.registered, REGISTER_EVERY) {
            self.registered = Some(now);
            let call = ControlCall::Register(self.config.info.clone());
            self.internal(Call::Control(call), Dest::Control, now);
        }
        let leads = self.member.as_ref().is_some_and(|m| m.leads(now));
        if leads {
            if due(self.reported, REPORT_EVERY) {
                self.reported = Some(now);
                if let Some(member) = &self.member {
                    let report = member.report(&self.config.info.domain);
                    let versions = self.directory.versions();
                    let call = ControlCall::Report {
                        report,
                        versions,
                        in_force: member.in_force(),
                    };
                    self.internal(Call::Control(call), Dest::Control, now);
                }
            }
        } else {
            let renewed = self.session.renewed;
            let leaderless = renewed.is_none_or(|at| now >= at + LEADERLESS_AFTER);
            if leaderless && due(self.asked, ASK_EVERY) {
                self.asked = Some(now);
                let term = self.member.as_ref().map_or(self.sealed, DomainMember::term);
                let call = ControlCall::Leaderless {
                    info: self.config.info.clone(),
                    term,
                    sealed: self.sealed >= term,
                    versions: self.directory.versions(),
                    in_force: self.in_force,
                };
                self.internal(Call::Control(call), Dest::Control, now);
            }
        }
    }

    /// Asks the domain leader to renew this VM's lease; without a known leader, asks every entry
    /// VM of the domain who leads.
    fn renew(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        // A renewal would open a session again, and with it new rights to send.
        if self.left {
            return;
        }
        let last = self.session.last_try;
        if last.is_some_and(|at| now < at + self.config.renew) {
            return;
        }
        self.session.last_try = Some(now);
        self.session.nonce += 1;
        let nonce = self.session.nonce;
        self.session.sent.insert(nonce, now);
        while self.session.sent.len() > RENEWALS {
            self.session.sent.pop_first();
        }
        if self.member.as_ref().is_some_and(|m| m.leads(now)) {
            self.leader = Some(self.config.info.vm);
            let info = &self.config.info;
            let (vm, incarnation) = (info.vm, info.incarnation);
            let has = Has {
                view: self.view.1,
                bundle: self.directory.bundle_version(),
                in_force: self.in_force,
            };
            self.with_member(now, out, |member, now, effects| {
                member.renew_vm(vm, incarnation, nonce, has, now, effects);
            });
            return;
        }
        let silent = self
            .session
            .renewed
            .is_none_or(|at| now >= at + 3 * self.config.renew);
        let own = self.config.info.vm;
        let leader = self.leader.filter(|&vm| vm != own && !silent);
        let datagram = Datagram::Renew {
            vm: own,
            incarnation: self.config.info.incarnation,
            nonce,
            term: self.view.0,
            view: self.view.1,
            bundle: self.directory.bundle_version(),
            in_force: self.in_force,
        };
        for vm in self.directory.entry_vms(&self.config.info.domain) {
            if vm != own && leader.is_none_or(|leader| leader == vm) {
                self.send_datagram(vm, datagram.clone(), out);
            }
        }
    }

    /// Asks to become a member of the domain group, if this VM is not one.
    fn join(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        let Some(member) = &self.member else {
            return;
        };
        if member.is_member() || self.joined.is_some_and(|at| now < at + ASK_EVERY) {
            return;
        }
        self.joined = Some(now);
        let info = &self.config.info;
        let call = DomainCall::Join {
            term: member.term(),
            member: domain_member(info.vm, info.incarnation),
        };
        self.internal(Call::Domain(call), Dest::Domain, now);
        self.pump_calls(now, out);
    }

    fn cast(&mut self, from: VmId, cast: Cast, now: Duration, out: &mut Vec<EntryEffect>) {
        match cast {
            // The control role is served by its own reducer.
            Cast::ControlRaft { .. } => {}
            Cast::DomainRaft {
                term,
                from: sender,
                to,
                message,
            } => {
                let current = self.member.as_ref().is_some_and(|m| m.term() == term);
                if current && member_vm(sender) == from {
                    self.with_member(now, out, |member, now, effects| {
                        member.receive(sender, to, message, now, effects);
                    });
                }
            }
            Cast::View(view) => self.take_view(view, out),
            Cast::Sender {
                incarnation,
                report,
            } => self.with_member(now, out, |member, now, effects| {
                member.sender(from, incarnation, report, now, effects);
            }),
        }
    }

    fn take_view(&mut self, view: View, out: &mut Vec<EntryEffect>) {
        let (term, index) = self.view;
        if view.term == term && view.index > index && view.since <= index {
            self.view = (view.term, view.index);
            self.put_in_force(view.bundle, out);
            out.push(EntryEffect::Route(RouteEvent::View(view)));
        }
    }

    fn datagram(
        &mut self,
        from: VmId,
        datagram: Datagram,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        match datagram {
            Datagram::Renew {
                vm,
                incarnation,
                nonce,
                term,
                view,
                bundle,
                in_force,
            } if vm == from => {
                let own = self.member.as_ref().map_or(0, DomainMember::term);
                let leads = self.member.as_ref().is_some_and(|m| m.leads(now));
                if !leads {
                    let leader = self.leader;
                    self.send_datagram(vm, Datagram::NotLeader { term: own, leader }, out);
                    return;
                }
                let view = if term == own { view } else { 0 };
                let has = Has {
                    view,
                    bundle,
                    in_force,
                };
                self.with_member(now, out, |member, now, effects| {
                    member.renew_vm(vm, incarnation, nonce, has, now, effects);
                });
            }
            Datagram::Renew { .. } => {}
            Datagram::Renewed {
                vm,
                incarnation,
                nonce,
                term,
                lease,
                fence,
                control_age,
                versions,
                bundle,
            } => {
                let info = &self.config.info;
                if (vm, incarnation) != (info.vm, info.incarnation) {
                    return;
                }
                if self.member.is_none() && term > 0 && self.sealed == term {
                    self.start_over(now, out);
                }
                if self.member.as_ref().is_some_and(|m| m.term() == term) {
                    self.leader = Some(from);
                    self.put_in_force(bundle, out);
                    self.renewed(nonce, lease, fence, control_age, now, out);
                }
                self.fetch(from, &versions, now);
            }
            Datagram::NotLeader { term, leader } => {
                let known = self.member.as_ref().map_or(0, DomainMember::term);
                if term >= known && leader.is_some() && leader != Some(self.config.info.vm) {
                    self.leader = leader;
                }
            }
        }
    }

    /// Takes a renewal: the lease counts from before it was asked for, less the drift margin.
    fn renewed(
        &mut self,
        nonce: u64,
        lease: Duration,
        fence: u64,
        control_age: Option<Duration>,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(sent) = self.session.sent.remove(&nonce) else {
            return;
        };
        self.session.renewed = Some(now);
        if lease.is_zero() || self.leaving {
            return;
        }
        let until = sent + lease - lease / 10;
        if until <= self.session.until {
            return;
        }
        self.session.until = until;
        if !self.session.valid {
            self.session.valid = true;
            out.push(EntryEffect::Lease { valid: true });
        }
        // An earlier renewal of the domain still counts: a new domain leader knows only its own.
        let control = control_age.map_or(Duration::ZERO, |age| sent.saturating_sub(age));
        self.control_seen = self.control_seen.max(control);
        let control = self.control_seen;
        out.push(EntryEffect::Route(RouteEvent::Lease {
            until,
            fence,
            control,
        }));
    }

    /// Asks the leader for the parts of the directory that it has newer.
    fn fetch(&mut self, from: VmId, versions: &Versions, now: Duration) {
        let busy = self.fetching.is_some_and(|at| now < at + ASK_EVERY);
        if busy || !self.directory.lags(versions) {
            return;
        }
        self.fetching = Some(now);
        let call = Call::Directory(self.directory.versions());
        self.internal(call, Dest::Vm(from), now);
    }

    fn call(
        &mut self,
        id: CallId,
        from: Option<VmId>,
        call: Call,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        match (call, from) {
            (Call::Directory(versions), _) => {
                let reply = Reply::Directory(self.directory.newer(&versions));
                out.push(EntryEffect::Reply { id, reply });
            }
            (Call::Domain(call), from) => {
                let leads = self.member.as_ref().is_some_and(|m| m.leads(now));
                if leads {
                    self.with_member(now, out, |member, now, effects| {
                        member.call(id, call, now, effects);
                    });
                } else if from.is_some() {
                    let reply = Reply::Domain(DomainReply::NotLeader(self.leader));
                    out.push(EntryEffect::Reply { id, reply });
                } else {
                    let origin = Origin::Listener(id);
                    self.calls
                        .add(Call::Domain(call), Dest::Domain, origin, now);
                    self.pump_calls(now, out);
                }
            }
            (Call::Control(call), None) => {
                let origin = Origin::Listener(id);
                self.calls
                    .add(Call::Control(call), Dest::Control, origin, now);
                self.pump_calls(now, out);
            }
            (Call::Control(_), Some(_)) => {
                let reply = Reply::Control(ControlReply::NotLeader(None));
                out.push(EntryEffect::Reply { id, reply });
            }
            (Call::Forward(_), _) => out.push(EntryEffect::Reply {
                id,
                reply: Reply::Malformed,
            }),
        }
    }

    fn internal(&mut self, call: Call, dest: Dest, now: Duration) {
        self.calls.add(call, dest, Origin::Node, now);
    }

    /// Starts the calls that are due and gives up those whose time is over.
    fn pump_calls(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        let own = self.config.info.vm;
        let leads = self.member.as_ref().is_some_and(|m| m.leads(now));
        let leader = if leads {
            Some(own)
        } else {
            self.leader.filter(|&vm| vm != own)
        };
        let due = self.calls.due(now, leader);
        for start in due.starts {
            if leads && matches!(start.call, Call::Domain(_)) {
                self.run_own(start.id, start.call, now, out);
                continue;
            }
            match self.directory.address(start.to) {
                Some(address) => out.push(EntryEffect::Call {
                    id: start.id,
                    to: start.to,
                    address,
                    call: start.call,
                    timeout: start.timeout,
                }),
                None => self.calls.failed(start.id, false, now),
            }
        }
        for (id, reply) in due.expired {
            out.push(EntryEffect::Reply { id, reply });
        }
    }

    /// Runs a waiting domain call here, after this VM became the leader.
    fn run_own(&mut self, id: CallId, call: Call, now: Duration, out: &mut Vec<EntryEffect>) {
        let caller = match self.calls.finish(id).map(|finished| finished.origin) {
            Some(Origin::Listener(caller)) => caller,
            // Nobody waits for the answer to a call of the node itself.
            Some(Origin::Node) => NO_CALLER,
            None => return,
        };
        let Call::Domain(call) = call else {
            return;
        };
        self.with_member(now, out, |member, now, effects| {
            member.call(caller, call, now, effects);
        });
    }

    fn returned(
        &mut self,
        id: CallId,
        result: Result<Reply, bool>,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        let reply = match result {
            Ok(reply) => reply,
            Err(delivered) => {
                self.calls.failed(id, delivered, now);
                return self.pump_calls(now, out);
            }
        };
        match &reply {
            Reply::Control(ControlReply::NotLeader(leader)) => {
                self.calls.moved(id, *leader, now);
                return;
            }
            Reply::Domain(DomainReply::NotLeader(leader)) => {
                if leader.is_some() && *leader != Some(self.config.info.vm) {
                    self.leader = *leader;
                }
                self.calls.moved(id, *leader, now);
                return;
            }
            _ => {}
        }
        let Some(finished) = self.calls.finish(id) else {
            return;
        };
        match (finished.origin, reply) {
            (Origin::Listener(caller), reply) => {
                out.push(EntryEffect::Reply { id: caller, reply });
            }
            (
                Origin::Node,
                Reply::Control(ControlReply::News {
                    directory,
                    renewed,
                    seal,
                }),
            ) => {
                let leads = self.member.as_ref().is_some_and(|m| m.leads(now));
                let first = !self.confirmed;
                if leads && renewed && finished.report {
                    self.confirmed = true;
                    self.control_new = self.control_new.max(Some(finished.started));
                }
                if !directory.is_empty() {
                    self.take_directory(directory, now, out);
                } else if first && self.confirmed {
                    self.assign_member(now);
                }
                self.count_renewal();
                self.seal(seal, now, out);
            }
            (Origin::Node, Reply::Directory(directory)) => {
                self.fetching = None;
                self.take_directory(directory, now, out);
            }
            (Origin::Node, _) => {}
        }
    }

    /// Counts the last renewal with the control group once the group follows the homes that came
    /// with it.
    ///
    /// After a gap, shards may have got another home meanwhile. Leases then need a view that shows
    /// that this domain no longer serves them.
    fn count_renewal(&mut self) {
        let Some(member) = self.member.as_ref().filter(|member| member.follows_homes()) else {
            return;
        };
        let Some(renewed) = self.control_new.take() else {
            return;
        };
        let gap = self
            .control_ok
            .is_none_or(|last| renewed > last + CONTROL_GAP);
        if gap {
            self.control_fence = member.view_index();
        }
        self.control_ok = self.control_ok.max(Some(renewed));
    }

    /// Leaves the domain group of `term` for good, unless it has a leader after all.
    fn seal(&mut self, term: Option<u64>, now: Duration, out: &mut Vec<EntryEffect>) {
        let Some(term) = term else {
            return;
        };
        let renewed = self.session.renewed;
        let leaderless = renewed.is_none_or(|at| now >= at + LEADERLESS_AFTER);
        let current = self.member.as_ref().is_none_or(|m| m.term() == term);
        if leaderless && current && self.sealed < term {
            self.sealed = term;
            self.member = None;
            self.leader = None;
            self.asked = None;
            self.lose_lease(out);
        }
    }

    /// Comes back to a group that lives on although this VM sealed its term. The identity that
    /// sealed it stays out for good, so the VM joins as a new run, as after a restart.
    fn start_over(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        self.config.info.incarnation += 1;
        self.sealed = 0;
        self.registered = None;
        self.start_member(now, out);
        self.joined = None;
    }

    fn take_directory(&mut self, news: Directory, now: Duration, out: &mut Vec<EntryEffect>) {
        let changes = self.directory.take(news);
        if let Some(reason) = changes.refused {
            out.push(EntryEffect::Refused { reason });
        }
        if let Some(accepted) = changes.bundle {
            self.accepted = Some(accepted);
            if !self.config.info.entry {
                self.put_in_force(u64::MAX, out);
            }
        }
        if changes.homes {
            out.push(EntryEffect::Route(self.directory.route_event()));
        }
        self.start_member(now, out);
        self.assign_member(now);
    }

    fn assign_member(&mut self, now: Duration) {
        if let Some(member) = &mut self.member {
            let mut assigned = self.directory.assigned(&self.config.info.domain);
            assigned.confirmed = self.confirmed;
            member.assign(assigned, now);
        }
    }

    /// Puts the newest accepted bundle in force once the domain group has committed `version`.
    ///
    /// A VM without a disk that restarts learns at least the version that its group has
    /// committed, so no VM goes back to a bundle before one that it acted on.
    fn put_in_force(&mut self, version: u64, out: &mut Vec<EntryEffect>) {
        let ready = |(_, bundle): &mut (SignedBundle, Bundle)| bundle.version <= version;
        if let Some((signed, bundle)) = self.accepted.take_if(ready) {
            self.in_force = bundle.version;
            out.push(EntryEffect::Route(RouteEvent::Bundle(bundle.clone())));
            let bundle = Box::new(bundle);
            out.push(EntryEffect::InForce { signed, bundle });
        }
    }

    /// Starts the member of the domain's current group, if it is newer than the one that runs.
    fn start_member(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        let info = &self.config.info;
        if !info.entry {
            return;
        }
        let Some(group) = self.directory.group(&info.domain) else {
            return;
        };
        let current = self.member.as_ref().map_or(self.sealed, DomainMember::term);
        if group.term <= current {
            return;
        }
        let founders: Vec<u64> = group
            .members
            .iter()
            .map(|&(vm, incarnation)| domain_member(vm, incarnation))
            .collect();
        let config = RaftConfig {
            id: domain_member(info.vm, info.incarnation),
            election: self.config.election,
            heartbeat: self.config.heartbeat,
            batch: 256,
            seed: self.config.seed ^ group.term,
        };
        let lease = self.config.lease.clone();
        let (term, reformed) = (group.term, group.reformed);
        let mut member =
            DomainMember::new(config, lease, term, reformed, &founders, self.config.group);
        member.assign(self.directory.assigned(&info.domain), now);
        self.member = Some(member);
        self.leader = None;
        self.joined = Some(now);
        // The leases and views of an earlier group say nothing about this one.
        self.session.sent.clear();
        self.session.until = Duration::ZERO;
        self.view = (term, 0);
        out.push(EntryEffect::Route(RouteEvent::Term { term }));
    }

    fn report_sender(&mut self, report: SenderReport, now: Duration, out: &mut Vec<EntryEffect>) {
        let own = self.config.info.vm;
        let incarnation = self.config.info.incarnation;
        if self.member.as_ref().is_some_and(|m| m.leads(now)) {
            self.with_member(now, out, |member, now, effects| {
                member.sender(own, incarnation, report, now, effects);
            });
        } else if let Some(leader) = self.leader.filter(|&vm| vm != own) {
            let cast = Cast::Sender {
                incarnation,
                report,
            };
            self.send_cast(leader, cast, out);
        }
    }

    /// Runs `f` on the member and carries its effects over.
    fn with_member<F>(&mut self, now: Duration, out: &mut Vec<EntryEffect>, f: F)
    where
        F: FnOnce(&mut DomainMember, Duration, &mut Vec<MemberEffect>),
    {
        let Some(member) = &mut self.member else {
            return;
        };
        let mut effects = Vec::new();
        f(member, now, &mut effects);
        let group = member.term();
        for effect in effects {
            self.carry_out(effect, group, now, out);
        }
    }

    fn carry_out(
        &mut self,
        effect: MemberEffect,
        group: u64,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        match effect {
            MemberEffect::Send { to, message } => {
                let from = domain_member(self.config.info.vm, self.config.info.incarnation);
                let cast = Cast::DomainRaft {
                    term: group,
                    from,
                    to,
                    message,
                };
                self.send_cast(member_vm(to), cast, out);
            }
            MemberEffect::Reply { id, reply } => out.push(EntryEffect::Reply {
                id,
                reply: Reply::Domain(reply),
            }),
            MemberEffect::Grant {
                vm,
                incarnation,
                nonce,
                lease,
                fence,
            } => {
                self.count_renewal();
                let control_age = self.control_ok.map(|at| now.saturating_sub(at));
                let fence = fence.max(self.control_fence);
                let bundle = self.member.as_ref().map_or(0, DomainMember::bundle_version);
                if vm == self.config.info.vm {
                    self.put_in_force(bundle, out);
                    self.renewed(nonce, lease, fence, control_age, now, out);
                    return;
                }
                let datagram = Datagram::Renewed {
                    vm,
                    incarnation,
                    nonce,
                    term: group,
                    lease,
                    fence,
                    control_age,
                    versions: self.directory.versions(),
                    bundle,
                };
                self.send_datagram(vm, datagram, out);
            }
            MemberEffect::View { vm, view } if vm == self.config.info.vm => {
                self.take_view(view, out);
            }
            MemberEffect::View { vm, view } => self.send_cast(vm, Cast::View(view), out),
            MemberEffect::Role { role, term, leader } => {
                if leader.is_some() {
                    self.leader = leader;
                }
                if role != Role::Leader {
                    self.confirmed = false;
                    (self.control_new, self.control_ok) = (None, None);
                    self.control_fence = 0;
                    self.reported = None;
                }
                out.push(EntryEffect::Role {
                    group,
                    role,
                    epoch: term,
                    leader,
                });
            }
        }
    }

    fn send_cast(&self, to: VmId, cast: Cast, out: &mut Vec<EntryEffect>) {
        if let Some(address) = self.directory.address(to) {
            out.push(EntryEffect::Cast { to, address, cast });
        }
    }

    fn send_datagram(&self, to: VmId, datagram: Datagram, out: &mut Vec<EntryEffect>) {
        if let Some(address) = self.directory.address(to) {
            out.push(EntryEffect::Datagram { address, datagram });
        }
    }

    /// Returns the run of this VM's process.
    pub fn incarnation(&self) -> Incarnation {
        self.config.info.incarnation
    }
}
