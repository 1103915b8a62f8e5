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
    domain_member_id,
    member_vm, //
};

mod control;
mod group;
mod session;

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
    pub control_voters: Vec<(VmId, SocketAddr)>,
    /// Lease times.
    pub lease_config: LeaseConfig,
    /// Time between renewals of this VM's lease.
    pub renew_interval: Duration,
    /// Heartbeat of the domain group.
    pub heartbeat_interval: Duration,
    /// Least election time of the domain group.
    pub election_timeout: Duration,
    /// Most voters of the domain group.
    pub max_voters: usize,
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
    SenderReport(SenderReport),
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
    BundleInForce {
        /// The signed bundle.
        signed: SignedBundle,
        /// Its content.
        bundle: Box<Bundle>,
    },
    /// The domain group's role, term or leader changed here.
    Role {
        /// Term of the group.
        group_term: u64,
        /// The role.
        role: Role,
        /// Raft term.
        epoch: u64,
        /// The leader, if known.
        leader: Option<VmId>,
    },
    /// A newer bundle was not put in force.
    BundleRejected {
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
    pub group_term: u64,
    /// Raft term of the domain group.
    pub epoch: u64,
    /// Leader of the domain group.
    pub leader: Option<VmId>,
    /// Whether this VM votes in the domain group.
    pub voter: bool,
    /// Leader of the control group, as far as known.
    pub control_leader: Option<VmId>,
    /// Whether the lease is valid.
    pub lease_valid: bool,
    /// Index of the view.
    pub view_index: u64,
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
        let control = config.control_voters.iter().map(|&(vm, _)| vm).collect();
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
            group_term: self.member.as_ref().map_or(0, DomainMember::term),
            epoch: self.member.as_ref().map_or(0, DomainMember::epoch),
            leader: self.leader,
            voter: self.member.as_ref().is_some_and(DomainMember::is_voter),
            control_leader: self.calls.control_leader(),
            lease_valid: self.session.valid && now < self.session.until,
            view_index: self.view.1,
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
            EntryEvent::SenderReport(report) => self.report_sender(report, now, &mut out),
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
