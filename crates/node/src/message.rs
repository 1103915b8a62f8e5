//! Messages between VMs.

use std::time::Duration;

use camphordale_bundle::SignedBundle;
use camphordale_control::{
    AuditEntry,
    Command as ControlCommand,
    Directory,
    DomainReport,
    Outcome as ControlOutcome,
    Versions, //
};
use camphordale_domain::{
    Command as DomainCommand,
    Outcome as DomainOutcome,
    View, //
};
use camphordale_raft::Message as RaftMessage;
use camphordale_types::{
    Incarnation,
    LoadReport,
    MemberId,
    NotRun,
    RequestId,
    ServiceName,
    ShardIndex,
    ShardRef,
    TargetId,
    TargetSpec,
    Token,
    Unknown,
    VmId,
    VmInfo, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A message that expects no answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Cast {
    /// A message of the control group.
    ControlRaft {
        /// The sending member.
        from: MemberId,
        /// The receiving member.
        to: MemberId,
        /// The message.
        message: RaftMessage,
    },
    /// A message of a domain group.
    DomainRaft {
        /// Term of the group.
        term: u64,
        /// The sending member.
        from: MemberId,
        /// The receiving member.
        to: MemberId,
        /// The message.
        message: RaftMessage,
    },
    /// Changes of the domain group's state.
    View(View),
    /// A report of a sender to its domain leader.
    Sender {
        /// The run of the sender's process.
        incarnation: Incarnation,
        /// The report.
        report: SenderReport,
    },
}

/// What a sender tells its domain leader. A lost report is repeated or replaced by a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SenderReport {
    /// A target does not answer.
    Suspect(TargetId),
    /// Nothing is sent any more for a releasing shard.
    Released {
        /// The shard.
        shard: ShardRef,
        /// The token under which it was releasing.
        token: Token,
        /// Time until the last outstanding deadline.
        drain_time: Duration,
    },
    /// Requests by shard since the last report.
    Load(Vec<(ServiceName, ShardIndex, u32)>),
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Asks the domain leader to renew the VM's lease.
    Renew {
        /// The VM.
        vm: VmId,
        /// The run of its process.
        incarnation: Incarnation,
        /// Returned in the answer.
        nonce: u64,
        /// Term of the domain group the VM knows.
        term: u64,
        /// Index of the VM's view.
        view: u64,
        /// Version of the newest bundle that the VM has.
        bundle_version: u64,
        /// Version of the bundle in force on the VM.
        in_force: u64,
    },
    /// The lease is renewed.
    Renewed {
        /// The VM that asked. Datagrams are not bound to their receiver, so one that is sent
        /// again to another VM must not give it a lease.
        vm: VmId,
        /// The run of its process.
        incarnation: Incarnation,
        /// From the request.
        nonce: u64,
        /// Term of the domain group.
        term: u64,
        /// Length, counted from before the request was sent.
        lease: Duration,
        /// The lease may be used only with a view of at least this index.
        fence: u64,
        /// Time since the domain's last renewal with the control group; none if there was none.
        control_age: Option<Duration>,
        /// What the leader has of the directory.
        versions: Versions,
        /// Version of the bundle that the group has committed; the VM puts it in force.
        bundle_version: u64,
    },
    /// The receiver does not lead the domain group.
    NotLeader {
        /// Term of the group the receiver knows.
        term: u64,
        /// The leader, if known.
        leader: Option<VmId>,
    },
}

/// A request that expects an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// To the control leader.
    Control(ControlCall),
    /// To the domain leader.
    Domain(DomainCall),
    /// A caller's request, to the VM that may send it.
    Forward(ForwardedRequest),
    /// The parts of the directory that are newer than these versions, from any VM.
    Directory(Versions),
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// From the control leader.
    Control(ControlReply),
    /// From the domain leader.
    Domain(DomainReply),
    /// The outcome of a forwarded request.
    Forwarded(ForwardedResponse),
    /// Newer parts of the directory.
    Directory(Directory),
    /// The call could not be read.
    Malformed,
}

/// A call to the control leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlCall {
    /// A VM started.
    Register(VmInfo),
    /// A domain leader renews its domain's lease and asks for news.
    Report {
        /// The report.
        report: DomainReport,
        /// What the domain has of the directory.
        versions: Versions,
        /// Bundle versions in force on the domain's VMs.
        in_force: Vec<(VmId, u64)>,
    },
    /// A VM without a domain leader asks for news.
    Leaderless {
        /// The VM.
        info: VmInfo,
        /// Term of the domain group it knows, 0 for none.
        term: u64,
        /// Whether it promised not to take part in that term any more.
        sealed: bool,
        /// What it has of the directory.
        versions: Versions,
        /// Version of the bundle in force there.
        in_force: u64,
    },
    /// An operator's command.
    Execute(ControlCommand),
    /// A voter with a new identity asks to join the control group.
    Join(MemberId),
    /// An operator removes a member of the control group.
    Remove {
        /// The member.
        member: MemberId,
        /// The operator.
        by: Box<str>,
        /// Seconds since the Unix epoch.
        at: u64,
    },
    /// An accepted bundle, the standing one without a version.
    Bundle(Option<u64>),
    /// The audit trail from this entry on.
    Audit(u64),
    /// The members of the control group.
    Members,
    /// The bundle versions in force on all VMs.
    BundleVersions,
}

/// The control leader's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The receiver does not lead the control group.
    NotLeader(Option<VmId>),
    /// A command was applied.
    Applied(ControlOutcome),
    /// Newer parts of the directory.
    DirectoryUpdate {
        /// The parts.
        directory: Directory,
        /// Whether the domain's lease is renewed.
        renewed: bool,
        /// The domain group term that the VM is asked to seal.
        seal: Option<u64>,
    },
    /// A bundle.
    Bundle(Option<SignedBundle>),
    /// Entries of the audit trail.
    Audit(Vec<AuditEntry>),
    /// The control group.
    Members(MemberList),
    /// Bundle versions in force, as last reported.
    BundleVersions(Vec<VmVersion>),
    /// The call failed.
    Failed {
        /// Whether the command may still be applied.
        may_commit: bool,
        /// Why.
        reason: Box<str>,
    },
}

/// The bundle version in force on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmVersion {
    /// The VM.
    pub vm: VmId,
    /// The version, 0 for none.
    pub version: u64,
    /// Time since the report.
    pub report_age: Duration,
}

/// Members of the control group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberList {
    /// Raft term.
    pub term: u64,
    /// The leader.
    pub leader: MemberId,
    /// Index of the last committed entry.
    pub commit: u64,
    /// Voting members.
    pub voters: Vec<MemberId>,
    /// Members that do not vote yet.
    pub learners: Vec<MemberId>,
}

/// A call to the domain leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DomainCall {
    /// A VM asks to join the group.
    Join {
        /// Term of the group.
        term: u64,
        /// Its member id.
        member: MemberId,
    },
    /// A target announces itself.
    Announce(TargetSpec),
    /// A target renews its lease.
    RenewTarget {
        /// Its session.
        target: TargetId,
        /// Its load.
        load: LoadReport,
        /// Version of the grants that it has.
        grants_version: u64,
    },
    /// A VM has stopped sending and gives up its lease.
    Leave {
        /// The VM.
        vm: VmId,
        /// The run of its process.
        incarnation: Incarnation,
    },
    /// A target is leaving.
    Drain(TargetId),
    /// A sender's command about an idempotency record, or an operator's about a shard.
    Propose(DomainCommand),
}

/// The domain leader's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DomainReply {
    /// The receiver does not lead the group.
    NotLeader(Option<VmId>),
    /// The VM is a member or will be one.
    Joined,
    /// A command was applied.
    Applied(DomainOutcome),
    /// The target's lease is renewed.
    TargetLease {
        /// Its session.
        target: TargetId,
        /// Length, counted from before it asked.
        lease: Duration,
        /// Whether it is leaving.
        leaving: bool,
        /// Index of the state from which the grants are.
        grants_version: u64,
        /// The shards it owns.
        grants: Vec<(ShardRef, Token)>,
    },
    /// The target has no session.
    NoSession,
    /// The call failed.
    Failed {
        /// Whether the command may still be applied.
        may_commit: bool,
        /// Why.
        reason: Box<str>,
    },
}

/// A caller's request on its way to the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Its id.
    pub id: RequestId,
    /// How often it was forwarded, this time included.
    pub hops: u8,
    /// Time left.
    pub timeout: Duration,
    /// HTTP method.
    pub method: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// Headers, names in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// The outcome of a forwarded request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwardedResponse {
    /// The target's answer, or a recorded one.
    Response {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(Box<str>, Box<str>)>,
        /// Body.
        body: Vec<u8>,
    },
    /// It certainly did not run.
    NotRun(NotRun),
    /// It may have run.
    Unknown(Unknown),
    /// Another VM is the sender.
    Redirect(Option<VmId>),
}
