//! Commands in the log of the control group, and their outcomes.

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

/// A command in the log of the control group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Registers a VM that started or changed its addresses. The newest registration wins.
    RegisterVm(VmInfo),
    /// Removes a VM permanently.
    RemoveVm {
        /// The VM.
        vm: VmId,
        /// The operator.
        by: OperatorName,
        /// Seconds since the Unix epoch, for the audit trail.
        at: u64,
    },
    /// Submits a bundle.
    SubmitBundle {
        /// The bundle with its signatures.
        signed: SignedBundle,
        /// Seconds since the Unix epoch, for the audit trail.
        at: u64,
    },
    /// Forms a domain group, or replaces one that lost its quorum.
    ///
    /// A VM takes part in the group only once its own directory contains the group. Then it has at
    /// least the bundle that was the latest when the group was formed, and so does every leader.
    FormGroup {
        /// The domain.
        domain: DomainName,
        /// Term of the group it replaces; 0 if there is none.
        replaces: u64,
        /// Its initial voters.
        members: Vec<(VmId, Incarnation)>,
    },
    /// Changes the homes of shards: sets a first home, requests a move, or completes one.
    SetHomes {
        /// The service.
        service: ServiceName,
        /// Version of the latest bundle when the changes were decided. They are refused if there is
        /// a newer one, because it may allow a partitioned domain to serve longer.
        bundle: u64,
        /// The changes. A change whose `expected_since` does not match is skipped.
        changes: Vec<HomeChange>,
    },
    /// An operator declares that a domain is lost and no longer runs any request.
    DeclareLost {
        /// The domain.
        domain: DomainName,
        /// The operator.
        by: OperatorName,
        /// Seconds since the Unix epoch.
        at: u64,
    },
    /// An operator readmits a domain that was declared lost.
    ReturnDomain {
        /// The domain.
        domain: DomainName,
        /// The operator.
        by: OperatorName,
        /// Seconds since the Unix epoch.
        at: u64,
    },
    /// Records that a domain group has put a bundle in force. A partitioned domain follows the
    /// domain leases of the bundle that it has, so the last version recorded here bounds how long
    /// it may serve.
    InForce {
        /// The domain.
        domain: DomainName,
        /// Term of its group.
        term: u64,
        /// Version of the bundle.
        version: u64,
    },
    /// Records any other operator action in the audit trail.
    RecordAction {
        /// What was done.
        action: Box<str>,
        /// The operator.
        by: OperatorName,
        /// Seconds since the Unix epoch.
        at: u64,
    },
    /// An operator orders or ends the evacuation of a domain.
    Evacuate {
        /// The domain.
        domain: DomainName,
        /// Whether the evacuation starts or ends.
        order: EvacuationOrder,
        /// The operator.
        by: OperatorName,
        /// Seconds since the Unix epoch.
        at: u64,
    },
}

/// An operator's order about the evacuation of a domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationOrder {
    /// Nothing new is to be sent to the targets of the domain.
    Start,
    /// The domain takes part again.
    End,
}

/// The home of one shard.
///
/// A domain group replicates the version of the homes that it applied last and never applies older
/// ones, whichever of its VMs is the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Home {
    /// The domain whose group assigns the shard to a target.
    pub domain: DomainName,
    /// Control log index of the command that set this home.
    pub since: u64,
    /// Whether the shard had another home before, in which case idempotency records may be missing.
    pub moved: bool,
    /// The domain to which it moves once its home has released it.
    pub next: Option<DomainName>,
}

/// One change of a shard's home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeChange {
    /// The shard.
    pub index: ShardIndex,
    /// `since` of the home that is replaced; 0 if the shard has none.
    pub expected_since: u64,
    /// The new home. The current home as the destination cancels a requested move.
    pub to: DomainName,
    /// Whether the shard moves immediately, because its home has released it or its leases have
    /// expired. Otherwise its home is asked to release it first.
    pub immediate: bool,
}

/// A domain group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Control log index of its formation.
    pub term: u64,
    /// Whether it replaced another group, in which case idempotency records may be missing.
    pub recreated: bool,
    /// Its initial voters.
    pub members: Vec<(VmId, Incarnation)>,
}

/// Report that a domain leader sends to the control leader at each lease renewal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainReport {
    /// The domain.
    pub domain: DomainName,
    /// Term of its group.
    pub term: u64,
    /// Version of the bundle that the group has in force, as committed in the group; 0 if there
    /// is none.
    pub bundle: u64,
    /// Shards that were requested to move and have been released, with the `since` of their home.
    pub parked: Vec<(ServiceName, ShardIndex, u64)>,
    /// Number of slots of serving targets, by service and side.
    pub capacity: Vec<(ServiceName, Side, u32)>,
}

/// Outcome of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was applied.
    Done,
    /// The bundle with this version and digest was accepted. A resubmission gets the same outcome.
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
    /// The bundle does not follow the latest one.
    #[error(
        "bundle {version} does not follow the standing bundle {latest_version} ({latest_digest:?})"
    )]
    Conflict {
        /// The version submitted.
        version: u64,
        /// Version of the latest bundle.
        latest_version: u64,
        /// Digest of the latest bundle.
        latest_digest: Option<Digest>,
    },
    /// The bundle is invalid or has too few valid signatures.
    #[error("bundle refused: {0}")]
    Bundle(Box<str>),
    /// A precondition of the command does not hold in the current state.
    #[error("{0}")]
    PreconditionFailed(Box<str>),
}
