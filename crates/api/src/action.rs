//! Actions of operators and their answers.

use std::net::SocketAddr;

use camphordale_types::{DomainName, MemberId, OperatorName, ServiceName, ShardIndex, VmId};
use serde::{Deserialize, Serialize};

/// Body of actions that need nothing but the operator's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActionRequest {
    /// The operator.
    pub by: OperatorName,
}

/// Answer to an action that was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionReply {
    /// What was done, in one sentence.
    pub done: Box<str>,
}

/// Answer to a request that was refused or failed.
///
/// Status 400 stands for a malformed request, 401 for a missing or wrong key, 404 for an unknown
/// object, 409 for a conflict with the state, 421 for a VM that cannot reach the group concerned,
/// 503 for a group without a leader, and 504 for an unknown outcome. With every status but 504, the
/// request certainly changed nothing; the tool sends an action to its next server after 421 and 503.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong.
    pub error: Box<str>,
    /// The step at which it was found.
    pub step: Box<str>,
}

/// Body of `POST /v1/shards/move`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRequest {
    /// The service.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardIndex,
    /// The domain that shall be its home.
    pub to: DomainName,
    /// The operator.
    pub by: OperatorName,
}

/// Body of `POST /v1/members/add` and `POST /v1/members/remove`: voters of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRequest {
    /// The VM.
    pub vm: VmId,
    /// Its address for other VMs; needed to add a VM that has not registered yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// The operator.
    pub by: OperatorName,
}

/// Answer to `GET /v1/members`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersBody {
    /// Raft term of the control group.
    pub epoch: u64,
    /// Its leader, if one is known.
    pub leader: Option<VmId>,
    /// Index of the last committed entry.
    pub commit: u64,
    /// Its members.
    pub members: Vec<MemberBody>,
    /// Voters that may be lost at a time, from the settings.
    pub tolerate: u32,
}

/// A member of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// Its identity; a voter that lost its disk has a new one.
    pub member: MemberId,
    /// The VM.
    pub vm: Option<VmId>,
    /// Whether it votes; otherwise it is catching up.
    pub voter: bool,
    /// Index up to which it has the log, as far as the leader knows.
    pub matched: Option<u64>,
}
