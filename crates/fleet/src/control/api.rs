//! Settings, events and effects of a control VM.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use camphordale_raft::{
    DurableWrite, //
    MemberId,
};

use crate::{
    key_leases::{
        Answer,
        Dispatch, //
        OrderId,
    },
    keys::KeyRange,
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
        Routing,
        Version, //
    },
    state::Outcome,
};

/// Names a call of an operator or target that awaits its reply.
pub type CallToken = u64;

/// Settings of a control VM.
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub member: Member,
    /// Voters that the group aims at.
    pub voters: usize,
    /// How long a target may hold keys after a grant.
    pub key_lease: Duration,
    /// Least time without a leader before an election.
    pub election: Duration,
    /// How long a leader may rely on the answer of another member; the same for all members.
    pub leader_lease: Duration,
    /// Time between heartbeats of the leader.
    pub heartbeat: Duration,
    /// Time after which a silent target leaves the directory.
    pub target_silence: Duration,
    /// Time after which a silent voter is replaced by a member that is up to date.
    pub member_silence: Duration,
    /// Longest time for which an accepted change waits for entry VMs.
    pub apply_wait: Duration,
    /// Seed of the election times.
    pub seed: u64,
}

/// What an operator or a target wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Change the routing.
    Change(Box<Change>),
    /// Return the newest routing.
    Read,
    /// Take an announcement of a target.
    Announce(Box<Announcement>),
    /// A target leaves.
    Leave {
        /// Its id.
        id: TargetId,
        /// Its life, if it said so.
        incarnation: Option<Incarnation>,
    },
}

/// The reply to a [`Call`].
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The call is done. `is_leader` says whether this VM should get the next announcement.
    Done {
        /// Whether this VM leads.
        is_leader: bool,
    },
    /// The newest routing.
    Routing(Arc<Routing>),
    /// The leader listens there.
    Redirect(SocketAddr),
    /// Another version is current.
    Stale(Version),
    /// The call cannot be carried out as it is.
    Invalid(Box<str>),
    /// No answer can be given now; the call may have been carried out.
    Unavailable(&'static str),
}

/// Input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message of another control VM, or of a member-to-be.
    Peer(PeerMessage),
    /// A message on the stream of an entry VM.
    Stream {
        /// Number of the connection.
        conn: u64,
        /// The message.
        message: PeerMessage,
    },
    /// The connection of a stream ended.
    StreamClosed(u64),
    /// An operator or a target calls.
    Call {
        /// Names the call.
        token: CallToken,
        /// What is wanted.
        call: Call,
    },
    /// An order was answered.
    OrderAnswered {
        /// Number of the order.
        id: OrderId,
        /// The answer.
        answer: Answer,
    },
}

/// Something that changed what the process believes; the edge logs and counts it.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The role in the group changed.
    Role {
        /// Whether this VM leads and has the state of its term.
        leads: bool,
        /// The term.
        term: u64,
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// A change was decided.
    Change {
        /// Version that it builds on.
        base: Version,
        /// Its version.
        version: Version,
        /// What became of it.
        outcome: Outcome,
    },
    /// A target came, changed its state or was forgotten.
    Target {
        /// Its id.
        id: TargetId,
        /// The life.
        incarnation: Incarnation,
        /// What happened.
        change: &'static str,
    },
    /// A range of keys got another holder.
    Assigned {
        /// The service.
        service: Box<str>,
        /// The range and its holder.
        range: KeyRange,
    },
    /// A range of keys begins to move.
    Moving {
        /// The service.
        service: Box<str>,
        /// First and last key.
        range: (u16, u16),
        /// The next holder.
        next: Holder,
    },
    /// A grant or release was not carried out.
    Order {
        /// The target.
        holder: Holder,
        /// What became of it.
        answer: Answer,
    },
    /// The members of the group changed.
    Members {
        /// Voters.
        voters: Vec<MemberId>,
        /// Members that only receive the log.
        learners: Vec<MemberId>,
    },
    /// An entry VM opened or lost its stream.
    Entries(usize),
    /// A snapshot or command could not be read or written.
    Codec(&'static str),
}

/// Output of the reducer, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make this durable before the effects after it.
    Persist(DurableWrite),
    /// Send to the peer address of a control VM; may be lost.
    Send {
        /// The address.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Send on the stream of an entry VM.
    Stream {
        /// Number of the connection.
        conn: u64,
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
    /// Send an order to a target, unless `send_before` has passed by the clock at the time of
    /// sending.
    Order {
        /// The order.
        dispatch: Dispatch,
        /// Until when no other leader can exist.
        send_before: Duration,
    },
    /// Keep the addresses of the control VMs.
    StoreMembers(Vec<Member>),
    /// Log and count.
    Log(LogEvent),
}
