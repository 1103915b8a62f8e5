//! Operator actions and their responses.

use std::net::SocketAddr;

use camphordale_types::{DomainName, MemberId, OperatorName, ServiceName, ShardIndex, VmId};
use serde::{Deserialize, Serialize};

/// Body of actions that take no parameter besides the operator's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActionRequest {
    /// The operator.
    pub by: OperatorName,
}

/// Response to a completed action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionReply {
    /// What was done, in one sentence.
    pub done: Box<str>,
}

/// Response to a request that was refused or failed.
///
/// Status 400 stands for a malformed request, 401 for a missing or wrong key, 404 for an unknown
/// object, 409 for a conflict with the state, 421 for a VM that cannot reach the group concerned,
/// 503 for a group without a leader, and 504 for an unknown outcome. With every status except 504,
/// the request had no effect. After 421 and 503, the tool sends the action to its next server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong.
    pub error: Box<str>,
    /// The processing step that failed.
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
    /// The new home domain.
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
    /// Its address for other VMs; required to add a VM that has not registered yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// The operator.
    pub by: OperatorName,
}

/// Response to `GET /v1/members`.
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
    /// Number of voters that may fail simultaneously, from the configuration.
    pub tolerate: u32,
}

/// A member of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// Its member id; a voter that lost its disk has a new one.
    pub member: MemberId,
    /// The VM.
    pub vm: Option<VmId>,
    /// Whether it votes; otherwise it is a learner that is catching up.
    pub voter: bool,
    /// Highest log index known by the leader to be replicated to it.
    pub matched: Option<u64>,
}
