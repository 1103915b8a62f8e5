//! Everything on a VM apart from the control role: the session with the domain leader, the member
//! of the domain group, the local copy of the directory, and calls to leaders.

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
        CallTracker,
        Destination,
        Origin, //
    },
    directory::DirectoryView,
    domain::{
        DomainMember,
        MemberEffect,
        VmReport, //
    },
    domain_member_id,
    member_vm, //
};

mod control;
mod group;
mod session;

/// Time between renewals with the control group after which shards may have been given another
/// home.
const MAX_RENEWAL_GAP: Duration = Duration::from_secs(1);

/// A longer time between two ticks means that the process was paused.
const MAX_TICK_GAP: Duration = Duration::from_millis(250);

/// Interval of reports of a domain leader to the control group.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two requests of the same kind: for updates while there is no domain leader,
/// to join the group, or for the directory.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a lease renewal after which a VM has no domain leader.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval of registrations until the directory lists this incarnation.
const REGISTER_INTERVAL: Duration = Duration::from_millis(500);

/// Upper bound of lease renewals without a reply whose reply is still accepted.
const MAX_PENDING_RENEWALS: usize = 16;

/// Id of a call whose reply is not needed. Other ids start at 1.
const NO_CALLER: CallId = 0;

/// Settings of an entry node.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// This VM.
    pub info: VmInfo,
    /// Addresses of the control voters.
    pub control_voters: Vec<(VmId, SocketAddr)>,
    /// Lengths of leases.
    pub lease_config: LeaseConfig,
    /// Interval of renewals of the lease of this VM.
    pub renew_interval: Duration,
    /// Raft heartbeat interval of the domain group.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout of the domain group.
    pub election_timeout: Duration,
    /// Upper bound of voters of the domain group.
    pub max_voters: usize,
    /// Seed of random election timeouts.
    pub seed: u64,
    /// The last bundle in force on this VM, if it is saved on the disk.
    pub bundle: Option<SignedBundle>,
}

/// Input of an entry node.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// Time has passed.
    Tick,
    /// A one-way message from another VM arrived.
    Cast {
        /// The VM.
        from: VmId,
        /// The message.
        cast: Cast,
    },
    /// A datagram from another VM arrived.
    Datagram {
        /// The VM.
        from: VmId,
        /// The datagram.
        datagram: Datagram,
    },
    /// A call arrived; it gets one `Reply`. Calls of the listeners of this VM are sent to the
    /// leader; calls of other VMs are served only if this VM is the leader.
    Call {
        /// Id of the call, chosen by the caller.
        id: CallId,
        /// The calling VM; `None` for this one.
        from: Option<VmId>,
        /// The call.
        call: Call,
    },
    /// A call that this node made ended.
    Returned {
        /// Id of the call.
        id: CallId,
        /// The reply, or whether the call may have been delivered.
        result: Result<Reply, bool>,
    },
    /// The router of this VM has a report for the domain leader.
    SenderReport(SenderReport),
    /// The VM is shutting down and sends no more requests. Raised again without `busy` once all
    /// requests at targets have ended; the lease is then given up.
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
    /// Make a call and raise `Returned`. A call to this VM goes to its control role.
    Call {
        /// Id of the call, chosen by this node.
        id: CallId,
        /// The receiving VM.
        to: VmId,
        /// Its address.
        address: SocketAddr,
        /// The call.
        call: Call,
        /// Time without progress after which the call fails.
        timeout: Duration,
    },
    /// Reply to a call.
    Reply {
        /// Id of the call.
        id: CallId,
        /// The reply.
        reply: Reply,
    },
    /// Pass an event to the router of this VM.
    Route(RouteEvent),
    /// A bundle came into force on this VM; save it if there is a disk.
    BundleInForce {
        /// The signed bundle.
        signed: SignedBundle,
        /// Its content.
        bundle: Box<Bundle>,
    },
    /// The role in the domain group, its term or its leader changed.
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
    /// A newer bundle was rejected.
    BundleRejected {
        /// Why.
        reason: Box<str>,
    },
    /// The lease of the VM became valid or expired.
    Lease {
        /// Whether it is valid.
        valid: bool,
    },
}

/// Status of an entry node, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryStatus {
    /// Term of the domain group, 0 for none.
    pub group_term: u64,
    /// Raft term of the domain group.
    pub epoch: u64,
    /// Leader of the domain group.
    pub leader: Option<VmId>,
    /// Whether this VM is a voter of the domain group.
    pub voter: bool,
    /// Leader of the control group, if known.
    pub control_leader: Option<VmId>,
    /// Whether the lease is valid.
    pub lease_valid: bool,
    /// Index of the view.
    pub view_index: u64,
}

/// The session of this VM with its domain leader.
#[derive(Default)]
struct Session {
    /// Nonce of the last renewal.
    nonce: u64,
    /// Send times of the renewals without a reply, by nonce.
    pending: BTreeMap<u64, Duration>,
    renewed_at: Option<Duration>,
    expiry: Duration,
    /// Whether the lease was reported as valid.
    valid: bool,
    attempted_at: Option<Duration>,
}

/// The entry node.
pub struct EntryNode {
    config: EntryConfig,
    directory: DirectoryView,
    member: Option<DomainMember>,
    /// The last domain group term that this VM sealed, 0 for none.
    sealed_term: u64,
    /// The newest accepted bundle, until the domain group has committed its version.
    accepted_bundle: Option<(SignedBundle, Bundle)>,
    /// Version of the bundle in force.
    in_force: u64,
    /// Version of the newest bundle part of the directory that a domain leader has named.
    named_bundle: u64,
    /// Whether the router was told that the bundle in force is outdated.
    outdated: bool,
    /// Whether the VM is shutting down and ignores lease grants.
    leaving: bool,
    /// Whether the VM has given up its lease.
    left: bool,
    domain_leader: Option<VmId>,
    session: Session,
    /// Term and index of the last view.
    view: (u64, u64),
    calls: CallTracker,
    /// Whether the control leader has renewed the domain lease since this VM leads the domain
    /// group.
    control_confirmed: bool,
    /// Start of the last renewal with the control group that this VM made as domain leader, until
    /// the domain group has applied the shard homes that came with it.
    pending_renewal: Option<Duration>,
    /// Start of the last such renewal whose shard homes have been applied.
    own_renewal: Option<Duration>,
    /// Minimum view index for leases since the last gap between renewals.
    min_view: u64,
    /// Start of the last renewal with the control group, by any domain leader, that this VM knows
    /// of.
    known_renewal: Duration,
    reported_at: Option<Duration>,
    update_sent: Option<Duration>,
    registered_at: Option<Duration>,
    fetched_at: Option<Duration>,
    join_sent: Option<Duration>,
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
            sealed_term: 0,
            accepted_bundle: None,
            in_force: 0,
            named_bundle: 0,
            outdated: false,
            leaving: false,
            left: false,
            domain_leader: None,
            session: Session::default(),
            view: (0, 0),
            calls: CallTracker::new(config.info.vm, control),
            control_confirmed: false,
            pending_renewal: None,
            own_renewal: None,
            min_view: 0,
            known_renewal: Duration::ZERO,
            reported_at: None,
            update_sent: None,
            registered_at: None,
            fetched_at: None,
            join_sent: None,
            last_tick: None,
            config,
        }
    }

    /// Returns the status of the node.
    pub fn status(&self, now: Duration) -> EntryStatus {
        EntryStatus {
            group_term: self.member.as_ref().map_or(0, DomainMember::term),
            epoch: self.member.as_ref().map_or(0, DomainMember::epoch),
            leader: self.domain_leader,
            voter: self.member.as_ref().is_some_and(DomainMember::is_voter),
            control_leader: self.calls.control_leader(),
            lease_valid: self.session.valid && now < self.session.expiry,
            view_index: self.view.1,
        }
    }

    /// Returns the local copy of the directory.
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
            EntryEvent::Cast { from, cast } => self.handle_cast(from, cast, now, &mut out),
            EntryEvent::Datagram { from, datagram } => {
                self.handle_datagram(from, datagram, now, &mut out);
            }
            EntryEvent::Call { id, from, call } => self.handle_call(id, from, call, now, &mut out),
            EntryEvent::Returned { id, result } => self.call_returned(id, result, now, &mut out),
            EntryEvent::SenderReport(report) => self.send_sender_report(report, now, &mut out),
            EntryEvent::Leave { busy } => self.leave(busy, now, &mut out),
        }
        self.report_outdated(&mut out);
        out
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        if self.last_tick.is_some_and(|last| now > last + MAX_TICK_GAP) {
            self.revoke_lease(out);
        }
        self.last_tick = Some(now);
        if self.session.valid && now >= self.session.expiry {
            self.session.valid = false;
            out.push(EntryEffect::Lease { valid: false });
        }
        if self.member.is_none() {
            self.start_member(now, out);
        }
        self.with_member(now, out, |member, now, effects| member.tick(now, effects));
        if self.config.info.entry {
            self.renew_lease(now, out);
            self.join(now, out);
        }
        self.contact_control(now);
        self.dispatch_calls(now, out);
    }

    fn handle_cast(&mut self, from: VmId, cast: Cast, now: Duration, out: &mut Vec<EntryEffect>) {
        match cast {
            // Handled by `ControlNode`.
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
            Cast::View(view) => self.apply_view(view, out),
            Cast::Sender {
                incarnation,
                report,
            } => self.with_member(now, out, |member, now, effects| {
                member.sender_report(from, incarnation, report, now, effects);
            }),
        }
    }

    /// Tells the router when a bundle becomes known that is newer than the one in force, and when
    /// it is in force.
    fn report_outdated(&mut self, out: &mut Vec<EntryEffect>) {
        let fetched = self.directory.versions().bundle;
        let outdated = self.accepted_bundle.is_some() || self.named_bundle > fetched;
        if outdated != self.outdated {
            self.outdated = outdated;
            out.push(EntryEffect::Route(RouteEvent::BundleOutdated(outdated)));
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

    /// Returns the incarnation of this VM.
    pub fn incarnation(&self) -> Incarnation {
        self.config.info.incarnation
    }
}
