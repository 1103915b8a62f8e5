//! Messages between VMs.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_raft::{
    MemberId,
    Message, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    content::{
        ContentId,
        Part, //
    },
    crash_evidence::CrashRecord,
    crash_trials::{
        self,
        TrialNews, //
    },
    evacuation,
    keys::Key,
    load_summary::{
        TargetLoad,
        TargetTag, //
    },
    member_list::MemberList,
    registry::{
        Holder,
        TargetId, //
    },
    request_limits::StatedLimit,
    routing::{
        Domain,
        ServiceName,
        Version, //
    },
    service_demand::{
        ServiceDemand,
        ServiceLoad,
        TargetWork, //
    },
    state::{
        Command,
        View, //
    },
};

/// A control VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Id in the Raft group. A VM that lost its disk gets a new id.
    pub id: MemberId,
    /// Address for messages between VMs.
    pub peer: SocketAddr,
    /// Address for operators and targets.
    pub control: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
}

/// Requests for the keys of one service since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyLoad {
    /// The service.
    pub service: ServiceName,
    /// Number of keyed requests.
    pub total: u32,
    /// Keys of a uniform random sample of these requests.
    pub sample: Vec<Key>,
}

/// Latency of the responses of one target since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLatency {
    /// The target.
    pub id: TargetId,
    /// Number of responses.
    pub count: u32,
    /// Sum of their latencies in milliseconds, without the queueing delay explained by the target's
    /// load.
    pub total_ms: u32,
}

/// Number of entry VMs that send requests to the same targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryCounts {
    /// Entry VMs with a live stream.
    pub all: u32,
    /// Entry VMs with a live stream in the receiver's failure domain.
    pub domain: u32,
}

/// A message between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Between members of the control group.
    Raft {
        /// The sender.
        from: MemberId,
        /// The recipient. A VM that lost its disk must ignore messages for its previous id.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Control VMs known to the sender. The leader sends it to VMs that request to join and to members
    /// that do not answer, and a candidate names itself to the voters: the recipient may not know
    /// where to reply.
    MemberList(MemberList),
    /// Request of a control VM to join the group; forwarded to the leader.
    Join(Member),
    /// Request of an entry VM for the leader's view and its updates.
    Subscribe {
        /// Random id of the process.
        entry_id: u64,
        /// Failure domain of the entry VM.
        domain: Domain,
        /// Index of the entry VM's view.
        index: u64,
    },
    /// The receiver of [`PeerMessage::Subscribe`] is not the leader.
    NotLeader {
        /// Peer address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The complete view.
    Snapshot(#[serde(with = "evacuation::sent_view")] Box<View>),
    /// One command of the state machine.
    Update {
        /// Index of the command.
        index: u64,
        /// The command.
        command: Box<Command>,
    },
    /// A key range started or finished moving to another holder. This is not replicated: it only
    /// spares entry VMs requests that a target would reject.
    Handover {
        /// The service.
        service: ServiceName,
        /// First key.
        from: Key,
        /// Last key.
        to: Key,
        /// Whether the next holder has the keys. Otherwise the previous one is releasing them.
        done: bool,
    },
    /// Keep-alive of an entry VM, with its reports.
    Ping {
        /// Time of sending by the sender's clock.
        sent: Duration,
        /// Index of the entry VM's view.
        index: u64,
        /// Requests for keys since the last ping.
        load: Vec<KeyLoad>,
        /// Latencies of targets that hold keys.
        latencies: Vec<TargetLatency>,
    },
    /// Reply to a ping.
    Pong {
        /// Copied from the ping.
        sent: Duration,
        /// Number of entry VMs that share the targets.
        entries: EntryCounts,
    },
    /// [`PeerMessage::Subscribe`] of an entry VM that can go on from its view.
    Resubscribe {
        /// Random id of the process.
        entry_id: u64,
        /// Failure domain of the entry VM.
        domain: Domain,
        /// Index of the entry VM's view.
        index: u64,
    },
    /// Reply to [`PeerMessage::Resubscribe`] instead of a snapshot: the updates after the index of
    /// the entry VM's view follow.
    Resume {
        /// Index of the entry VM's view.
        index: u64,
    },
    /// Evidence on requests that end their targets, between an entry VM and the leader. An entry VM
    /// sends it when its stream is established, which also says that it takes such messages, and
    /// after each change that it saw itself. The leader sends what all entry VMs must know.
    CrashEvidence {
        /// Evidence on single requests.
        records: Vec<CrashRecord>,
        /// Incarnations that announced themselves after a reported crash, and the time since. Only
        /// the leader knows them.
        alive: Vec<(Holder, Duration)>,
        /// Trials of requests that are refused. They follow the records of their requests, in this
        /// message or an earlier one.
        #[serde(deserialize_with = "crash_trials::deserialize_last")]
        trials: Vec<TrialNews>,
    },
    /// What targets state about themselves in responses, and rights to send requests to those with a
    /// limit, between an entry VM and the leader. An entry VM sends it when its stream is
    /// established, which also says that it takes such messages, and when it hears something new or
    /// needs rights. The leader grants rights and tells all entry VMs of changes.
    TargetStatements {
        /// Time of sending by the clock of the entry VM. The leader copies it.
        sent: Duration,
        /// Limits that targets stated.
        stated: Vec<StatedLimit>,
        /// Targets that stated that they leave. The leader tells entry VMs of these by the registry.
        leaving: Vec<Holder>,
        /// Rights that the entry VM needs, or that the leader grants, by target.
        rights: Vec<(Holder, u16)>,
    },
    /// Loads that targets stated in responses to an entry VM, and the demand of its callers. It is sent
    /// with each ping if the routing is contended, also without any load, and says that the entry VM
    /// takes summaries.
    TargetLoads {
        /// The newest load of each target that responded since the last report.
        loads: Vec<TargetLoad>,
        /// Time in milliseconds since the last report. It is longer than a ping interval after a time
        /// without a leader.
        covered_ms: u16,
        /// Requests for plain services since the last report.
        demand: Vec<ServiceDemand>,
        /// Responses of targets of plain services since the last report.
        work: Vec<TargetWork>,
        /// Targets of plain services that the entry VM cannot reach.
        unreachable: Vec<TargetTag>,
    },
    /// Loads of targets, by the reports of all entry VMs, from the leader to each of them.
    LoadSummary {
        /// The loads that changed.
        loads: Vec<TargetLoad>,
        /// Demand for all plain services.
        demand: Vec<ServiceLoad>,
    },
    /// Targets to which a connection could not be opened, between an entry VM and the leader, for
    /// services with a warm-up rate only. An entry VM sends those that it saw itself; the leader sends
    /// the changes to all entry VMs.
    ColdTargets {
        /// Targets that count as cold, and the time since a connection last failed.
        suspected: Vec<(Holder, Duration)>,
        /// Targets that do not any more, and the time since they announced that they are warm. Only
        /// the leader knows them.
        cleared: Vec<(Holder, Duration)>,
        /// Targets that do not any more, because nothing was heard for long. Only the leader knows
        /// them.
        expired: Vec<Holder>,
    },
    /// Mean latencies of targets that hold keys in milliseconds, without the wait in their queues and
    /// the momentary slowdown of their machines. The leader tells all entry VMs if the routing is
    /// contended, as it knows them from the responses to all VMs.
    TargetLatencies(Vec<(TargetId, u16)>),
    /// Request of an entry VM for the leader's updates, of which it takes long ones in parts. The
    /// reply is [`PeerMessage::Resume`] with the updates after the index, and a notice of each change
    /// of the routing after the version; or the first part of the whole view. A VM that has received
    /// the view follows on the same connection, and gets the updates before the resumption.
    Follow {
        /// Random id of the process.
        entry_id: u64,
        /// Failure domain of the entry VM.
        domain: Domain,
        /// Index of the entry VM's view.
        index: u64,
        /// Version of its routing; 0 for none.
        version: Version,
    },
    /// Notice of a change of the routing, in the place of its command, with the first part of its
    /// content.
    RoutingNotice {
        /// Index of the command.
        index: u64,
        /// The first part of the content.
        part: Part,
    },
    /// Part of a content that an entry VM asked for, or the first one of the whole view.
    Part(Part),
    /// Request of an entry VM for a part of a content.
    Pull {
        /// What it needs.
        wanted: Wanted,
        /// Position of the first byte.
        offset: u32,
        /// Number of bytes.
        length: u32,
    },
    /// Version of the routing on which an entry VM acts from now on.
    RoutingInForce(Version),
}

/// What an entry VM asks for with [`PeerMessage::Pull`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wanted {
    /// The change on this version of the routing.
    ChangeOn(Version),
    /// The view with this content.
    View(ContentId),
}

impl PeerMessage {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Returns the error of `postcard` if the message cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns the error of `postcard` if the bytes are not a valid message.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_fleet::PeerMessage;
    ///
    /// let message = PeerMessage::NotLeader { leader: None };
    /// assert_eq!(PeerMessage::decode(&message.encode()?)?, message);
    /// # Ok::<(), postcard::Error>(())
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<PeerMessage, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
