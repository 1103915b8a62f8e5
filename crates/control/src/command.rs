//! Commands of the control group and their outcomes.

use camphordale_bundle::SignedBundle;
use camphordale_types::{
    Digest,
    DomainName,
    Incarnation,
    OperatorName,
    ServiceName,
    ShardIndex,
    Side,
    VmId,
    VmInfo, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A command of the control group's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A VM started or changed its addresses. The newest registration wins.
    RegisterVm(VmInfo),
    /// A VM is gone for good.
    RemoveVm {
        /// The VM.
        vm: VmId,
        /// The operator who says so.
        by: OperatorName,
        /// Seconds since the Unix epoch, for the audit trail.
        at: u64,
    },
    /// An operator submits a bundle.
    SubmitBundle {
        /// The bundle with its signatures.
        signed: SignedBundle,
        /// Seconds since the Unix epoch, for the audit trail.
        at: u64,
    },
    /// A domain group is formed, or replaces one that lost its quorum.
    ///
    /// A VM takes part in the group only once its own directory names the group. It then has at
    /// least the bundle that stood when the group was formed, and so does every leader.
    FormGroup {
        /// The domain.
        domain: DomainName,
        /// Term of the group it replaces, 0 for none.
        replaces: u64,
        /// Its first voters.
        members: Vec<(VmId, Incarnation)>,
    },
    /// Shards get a first home, are asked to move, or have moved.
    SetHomes {
        /// The service.
        service: ServiceName,
        /// Version of the standing bundle on which the changes were decided. They are refused if
        /// another one stands, because it may let a cut-off domain serve longer.
        bundle: u64,
        /// The changes. Each one whose expectation does not hold is skipped.
        changes: Vec<HomeChange>,
    },
    /// An operator declares that a domain is lost and runs nothing any more.
    DeclareLost {
        /// The domain.
        domain: DomainName,
        /// The operator.
        by: OperatorName,
        /// Seconds since the Unix epoch.
        at: u64,
    },
    /// An operator lets a domain that was declared lost take part again.
    ReturnDomain {
        /// The domain.
        domain: DomainName,
        /// The operator.
        by: OperatorName,
        /// Seconds since the Unix epoch.
        at: u64,
    },
    /// A domain group has put a bundle in force. A cut-off domain follows the domain leases of
    /// the bundle that it has, so the last version known here bounds how long it may serve.
    InForce {
        /// The domain.
        domain: DomainName,
        /// Term of its group.
        term: u64,
        /// Version of the bundle.
        version: u64,
    },
    /// Records another operator action in the audit trail.
    RecordAction {
        /// What was done.
        action: Box<str>,
        /// The operator.
        by: OperatorName,
        /// Seconds since the Unix epoch.
        at: u64,
    },
}

/// The home of one shard.
///
/// A domain group keeps the version of the homes that it applied last and never applies older
/// ones, whichever of its VMs leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Home {
    /// The domain whose group assigns the shard.
    pub domain: DomainName,
    /// Control log index at which this became so.
    pub since: u64,
    /// Whether the shard had another home before, so that idempotency records may be missing.
    pub moved: bool,
    /// The domain it shall move to, once its home has released it.
    pub next: Option<DomainName>,
}

/// One change of a shard's home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeChange {
    /// The shard.
    pub index: ShardIndex,
    /// `since` of the home that is replaced; 0 if it has none.
    pub expected_since: u64,
    /// The new home. The home itself withdraws a request to release the shard.
    pub to: DomainName,
    /// Whether the shard moves now (its home has released it or its leases have run out), or its
    /// home is only asked to release it.
    pub immediate: bool,
}

/// A formed domain group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Control log index of its formation.
    pub term: u64,
    /// Whether it replaced a group, so that idempotency records may be missing.
    pub recreated: bool,
    /// Its first voters.
    pub members: Vec<(VmId, Incarnation)>,
}

/// What a domain leader reports to the control leader at each renewal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainReport {
    /// The domain.
    pub domain: DomainName,
    /// Term of its group.
    pub term: u64,
    /// Version of the bundle whose services the group has in force, as committed in the group;
    /// 0 for none.
    pub bundle: u64,
    /// Shards that were asked to move and are released, with the `since` of their home.
    pub parked: Vec<(ServiceName, ShardIndex, u64)>,
    /// Slots of serving targets by service and side.
    pub capacity: Vec<(ServiceName, Side, u32)>,
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done.
    Done,
    /// The bundle with this version and digest stands; a resend of it gets the same answer.
    Accepted {
        /// Its version.
        version: u64,
        /// Its digest.
        digest: Digest,
    },
    /// The command was refused; the state is unchanged.
    Rejected(Rejection),
}

/// Why a command was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// The bundle does not follow the standing one.
    #[error(
        "bundle {version} does not follow the standing bundle {standing_version} ({standing:?})"
    )]
    Conflict {
        /// The version submitted.
        version: u64,
        /// Version of the standing bundle.
        standing_version: u64,
        /// Digest of the standing bundle.
        standing: Option<Digest>,
    },
    /// The signatures do not suffice, or the bundle cannot be read.
    #[error("bundle refused: {0}")]
    Bundle(Box<str>),
    /// The command does not fit the state.
    #[error("{0}")]
    PreconditionFailed(Box<str>),
}
