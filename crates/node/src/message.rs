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

/// A one-way message.
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
    /// A report of an entry VM to its domain leader.
    Sender {
        /// Incarnation of the reporting VM.
        incarnation: Incarnation,
        /// The report.
        report: SenderReport,
    },
}

/// A report of an entry VM about the targets that it sends to. A lost report is sent again or
/// superseded by a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SenderReport {
    /// A target failed a probe.
    Suspect(TargetId),
    /// No more requests are sent for a shard that is being released.
    Released {
        /// The shard.
        shard: ShardRef,
        /// Fencing token of the shard.
        token: Token,
        /// Time for which earlier requests may still run.
        drain_time: Duration,
    },
    /// Number of requests by shard since the last report.
    Load(Vec<(ServiceName, ShardIndex, u32)>),
}

/// A datagram between VMs, for lease renewals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Asks the domain leader to renew the lease of the VM.
    Renew {
        /// The VM.
        vm: VmId,
        /// Incarnation of the VM.
        incarnation: Incarnation,
        /// Returned in the reply.
        nonce: u64,
        /// Term of the domain group that the VM knows.
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
        /// The VM that asked. Datagrams are not bound to their receiver, so one that is replayed to
        /// another VM must not give that VM a lease.
        vm: VmId,
        /// Incarnation of the VM.
        incarnation: Incarnation,
        /// The nonce of the request.
        nonce: u64,
        /// Term of the domain group.
        term: u64,
        /// Length of the lease, which starts when the request was sent.
        lease: Duration,
        /// Minimum index of a view that the lease can be used with.
        min_view: u64,
        /// Time since the last renewal of the domain with the control group, if there was one.
        control_age: Option<Duration>,
        /// Versions of the directory parts of the leader.
        versions: Versions,
        /// Version of the bundle that the group has committed and that the VM puts in force.
        bundle_version: u64,
    },
    /// The receiver is not the leader of the domain group.
    NotLeader {
        /// Term of the group that the receiver knows.
        term: u64,
        /// The leader, if known.
        leader: Option<VmId>,
    },
}

/// A request that gets a reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// To the control leader.
    Control(ControlCall),
    /// To the domain leader.
    Domain(DomainCall),
    /// A request of a caller, forwarded to the sender.
    Forward(ForwardedRequest),
    /// Asks any VM for the parts of the directory that are newer than these versions.
    Directory(Versions),
}

/// The reply to a [`Call`].
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
    /// The call could not be decoded.
    Malformed,
}

/// A call to the control leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlCall {
    /// A VM started.
    Register(VmInfo),
    /// A domain leader renews the lease of its domain and asks for updates.
    Report {
        /// The report.
        report: DomainReport,
        /// Versions of the directory parts that the domain leader has.
        versions: Versions,
        /// Bundle versions in force on the VMs of the domain.
        in_force: Vec<(VmId, u64)>,
    },
    /// A VM without a domain leader asks for updates.
    Leaderless {
        /// The VM.
        info: VmInfo,
        /// Term of the domain group that the VM knows, 0 for none.
        term: u64,
        /// Whether the VM has sealed that term, so that it never takes part in it again.
        sealed: bool,
        /// Versions of the directory parts that the VM has.
        versions: Versions,
        /// Version of the bundle in force on the VM.
        in_force: u64,
    },
    /// An operator executes a command.
    Execute(ControlCommand),
    /// A member that has never been a voter asks to join the control group.
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
    /// Asks for an accepted bundle; without a version, for the latest one.
    Bundle(Option<u64>),
    /// Asks for the audit trail from this entry on.
    Audit(u64),
    /// Asks for the members of the control group.
    Members,
    /// Asks for the bundle versions in force on all VMs.
    BundleVersions,
}

/// The reply of the control leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The receiver is not the leader of the control group; the leader, if known.
    NotLeader(Option<VmId>),
    /// A command was applied.
    Applied(ControlOutcome),
    /// Newer parts of the directory.
    DirectoryUpdate {
        /// The parts.
        directory: Directory,
        /// Whether the lease of the domain is renewed.
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
        /// Whether the command may still be committed.
        may_commit: bool,
        /// The reason.
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
        /// Member id of the VM.
        member: MemberId,
    },
    /// A target announces itself and opens a session.
    Announce(TargetSpec),
    /// A target renews its lease.
    RenewTarget {
        /// Session of the target.
        target: TargetId,
        /// Load of the target.
        load: LoadReport,
        /// Version of the grants that the target has.
        grants_version: u64,
    },
    /// A VM has stopped sending and gives up its lease.
    Leave {
        /// The VM.
        vm: VmId,
        /// Incarnation of the VM.
        incarnation: Incarnation,
    },
    /// A target is leaving.
    Drain(TargetId),
    /// Proposes a command: of a sender about an idempotency record, or of an operator about a
    /// shard.
    Propose(DomainCommand),
}

/// The reply of the domain leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DomainReply {
    /// The receiver is not the leader of the group; the leader, if known.
    NotLeader(Option<VmId>),
    /// The VM is a member or will be one.
    Joined,
    /// A command was applied.
    Applied(DomainOutcome),
    /// The target's lease is renewed.
    TargetLease {
        /// Session of the target.
        target: TargetId,
        /// Length of the lease, which starts when the target asked.
        lease: Duration,
        /// Whether the target is leaving.
        leaving: bool,
        /// Index of the domain state that the grants are taken from.
        grants_version: u64,
        /// The shards that the target owns, with their fencing tokens.
        grants: Vec<(ShardRef, Token)>,
    },
    /// The target has no session.
    NoSession,
    /// The call failed.
    Failed {
        /// Whether the command may still be committed.
        may_commit: bool,
        /// The reason.
        reason: Box<str>,
    },
}

/// A request of a caller that is forwarded to the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Number of forwards, this one included.
    pub hops: u8,
    /// Time left until the deadline.
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
    /// A response of the target or of an idempotency record.
    Response {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(Box<str>, Box<str>)>,
        /// Body.
        body: Vec<u8>,
    },
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
    /// Another VM is the sender; that VM, if known.
    Redirect(Option<VmId>),
}
