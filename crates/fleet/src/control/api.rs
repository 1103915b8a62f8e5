//! Settings, events and effects of a control VM.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use camphordale_raft::{
    DurableWrite,
    MemberId, //
};

use crate::{
    evacuation::EvacuationOrder,
    key_leases::{
        Answer,
        Dispatch,
        GrantedRange,
        LeaseTimes,
        OrderId, //
    },
    keys::KeyRange,
    member_list::MemberList,
    message::{
        Member,
        PeerMessage, //
    },
    registry::{
        Announcement,
        Holder,
        Incarnation,
        TargetId, //
    },
    routing::{
        Change,
        Domain,
        Routing,
        Version, //
    },
    state::Outcome,
    warm_up::WarmUpBounds,
};

/// Identifies a call of an operator or target that awaits its reply.
pub type CallToken = u64;

/// Settings of a control VM.
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub member: Member,
    /// Desired number of voters.
    pub voters: usize,
    /// Durations of key leases.
    pub lease_times: LeaseTimes,
    /// Minimum time without a leader before an election.
    pub election_timeout: Duration,
    /// Duration of the leader lease: how long a leader may rely on another member's answer. It must
    /// be the same for all members.
    pub leader_lease: Duration,
    /// Time between heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Time without announcements after which a target is removed from the registry.
    pub target_timeout: Duration,
    /// Bounds on the requests to a cold target.
    pub warm_up: WarmUpBounds,
    /// Silence after which a voter is replaced by a member that is up to date.
    pub member_timeout: Duration,
    /// Time in which a member that was away catches up with the log.
    pub catch_up: Duration,
    /// Maximum time for which an accepted change waits for confirmation by the entry VMs. A change of
    /// many routes waits for 3 ms more for each of them.
    pub apply_timeout: Duration,
    /// Failure domains of the deployment, as far as the settings name them. Operators may order
    /// evacuations of these and of all domains that have members, entry VMs or targets.
    pub domains: Vec<Domain>,
    /// Maximum number of bytes of log entries that are kept in memory and on disk, apart from those
    /// that are not applied yet.
    pub log_limit: usize,
    /// Maximum number of bytes of views that are sent to entry VMs and not confirmed by them.
    pub view_limit: usize,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// A call of an operator or a target.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Change the routing.
    Change(Box<Change>),
    /// Read the latest routing.
    Read,
    /// Register a target or update its record.
    Announce(Box<Announcement>),
    /// Announce that a target leaves.
    Leave {
        /// Its id.
        id: TargetId,
        /// Its incarnation, if it was sent.
        incarnation: Option<Incarnation>,
    },
    /// Start or end the evacuation of a failure domain.
    Evacuate {
        /// The domain.
        domain: Domain,
        /// The order.
        order: EvacuationOrder,
    },
}

/// The reply to a [`Call`].
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The call is done. `is_leader` tells whether the target should send its next announcement
    /// here.
    Done {
        /// Whether this VM is the leader.
        is_leader: bool,
    },
    /// The announcement is registered; these are all the keys that the target may hold.
    Leases {
        /// The granted ranges, in key order.
        granted: Box<[GrantedRange]>,
        /// Lease duration, counted from when the target sent the announcement.
        lease: Duration,
    },
    /// The latest routing.
    Routing(Arc<Routing>),
    /// Calls are served by the leader at this address.
    Redirect(SocketAddr),
    /// The change is based on a version that is not current; this is the current one.
    Stale(Version),
    /// The call is invalid, with the reason.
    Invalid(Box<str>),
    /// The call contradicts the present state, with the reason.
    Conflict(Box<str>),
    /// No reply is possible now, with the reason. The call may have taken effect.
    Unavailable(&'static str),
}

/// Input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The timer fired.
    Tick,
    /// The control VMs in the settings changed.
    Seeds(Vec<Member>),
    /// A message from another control VM, or from one that wants to join.
    Peer(PeerMessage),
    /// A message on the stream of an entry VM.
    Stream {
        /// Id of the connection.
        conn: u64,
        /// The message.
        message: PeerMessage,
    },
    /// The connection of a stream was closed.
    StreamClosed(u64),
    /// Bytes of a message of another VM were received that is not complete yet.
    StreamProgress(u64),
    /// A call of an operator or a target.
    Call {
        /// Identifies the call.
        token: CallToken,
        /// The call.
        call: Call,
    },
    /// An order was answered or failed.
    OrderAnswered {
        /// Number of the order.
        id: OrderId,
        /// The answer.
        answer: Answer,
    },
}

/// A change of state for the process to log and count.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The role in the group changed.
    Role {
        /// Whether this VM is the leader and has applied the state of its term.
        leads: bool,
        /// The term.
        term: u64,
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// Connections to a target could not be opened, so it counts as cold, or it no longer does.
    Suspected {
        /// The target.
        holder: Holder,
        /// Whether it counts as cold.
        suspected: bool,
    },
    /// The result of a change is known.
    Change {
        /// Version that the change is based on.
        base: Version,
        /// Version after the change.
        version: Version,
        /// Its result.
        outcome: Outcome,
    },
    /// A change, leave or order of an operator was acknowledged.
    Acknowledged {
        /// Index of its command.
        index: u64,
        /// Version of the routing after a change.
        version: Option<Version>,
        /// Time since it was committed.
        waited: Duration,
        /// Entry VMs that may still act without it.
        behind: usize,
        /// Oldest version of the routing on which an entry VM acts.
        oldest: Version,
        /// Whether the leader is new, and does not know all entry VMs yet.
        is_new: bool,
    },
    /// The result of an order about an evacuation is known.
    Evacuation {
        /// The domain.
        domain: Domain,
        /// The order.
        order: EvacuationOrder,
        /// Its result.
        outcome: Outcome,
    },
    /// A target was registered, changed its state or was removed.
    Target {
        /// Its id.
        id: TargetId,
        /// The incarnation.
        incarnation: Incarnation,
        /// The new state.
        change: &'static str,
    },
    /// A key range was assigned to another holder.
    Assigned {
        /// The service.
        service: Box<str>,
        /// The range and its new holder.
        range: KeyRange,
    },
    /// A key range starts to move to another holder.
    Moving {
        /// The service.
        service: Box<str>,
        /// First and last key.
        range: (u16, u16),
        /// The next holder.
        next: Holder,
    },
    /// A key range was left out of an answer to its holder, so that it can move.
    Withheld {
        /// The service.
        service: Box<str>,
        /// First and last key.
        range: (u16, u16),
        /// The previous holder.
        holder: Holder,
        /// The next holder.
        next: Holder,
    },
    /// An order was not carried out.
    Order {
        /// The target.
        holder: Holder,
        /// The result.
        answer: Answer,
    },
    /// The members of the group changed.
    Members {
        /// Voters.
        voters: Vec<MemberId>,
        /// Learners: members that receive the log but do not vote.
        learners: Vec<MemberId>,
    },
    /// A member lags behind the log for longer than it takes to catch up, or no longer does. The
    /// leader reports it once each way.
    Lagging {
        /// The member.
        member: MemberId,
        /// Whether it lags behind.
        lagging: bool,
        /// Committed entries that it is not known to have.
        missing: u64,
        /// Time since its last message.
        silence: Duration,
    },
    /// A message to a member was dropped, because its address is not known.
    Unaddressed {
        /// The member.
        member: MemberId,
        /// Whether an earlier message to it was dropped since its address was last known.
        repeated: bool,
    },
    /// Number of entry VMs with a stream, after one was opened or closed.
    Entries(usize),
    /// A snapshot or command could not be encoded or decoded.
    Codec(&'static str),
}

/// Output of the reducer, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make this durable before carrying out the effects after it.
    Persist(DurableWrite),
    /// Send to the peer address of a control VM. The message may be lost.
    Send {
        /// The address.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Send on the stream of an entry VM.
    Stream {
        /// Id of the connection.
        conn: u64,
        /// The message.
        message: PeerMessage,
    },
    /// Send the same message on several streams.
    Broadcast {
        /// Ids of the connections.
        conns: Box<[u64]>,
        /// The message.
        message: PeerMessage,
    },
    /// Close the connection of a stream.
    CloseStream(u64),
    /// Reply to a call.
    Reply {
        /// The call.
        token: CallToken,
        /// The reply.
        reply: Reply,
    },
    /// Reply to an announcement with [`Reply::Leases`], or with [`Reply::Unavailable`] if the clock
    /// has passed `send_before` at the time of sending.
    LeaseReply {
        /// The call.
        token: CallToken,
        /// The granted ranges, in key order.
        granted: Box<[GrantedRange]>,
        /// Lease duration, counted from when the target sent the announcement.
        lease: Duration,
        /// End of the leader lease: no other leader can exist before it.
        send_before: Duration,
    },
    /// Send an order to a target, unless the clock has passed `send_before` at the time of sending.
    Order {
        /// The order.
        dispatch: Dispatch,
        /// End of the leader lease: no other leader can exist before it.
        send_before: Duration,
    },
    /// Store the list of known control VMs.
    StoreMembers(MemberList),
    /// Log and count a change of state.
    Log(LogEvent),
}
