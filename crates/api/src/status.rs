//! Status of a VM and its view of the other VMs.

use std::net::SocketAddr;

use camphordale_types::{Digest, DomainName, Incarnation, VmId};
use serde::{Deserialize, Serialize};

use crate::hex;

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The VM.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its roles.
    pub roles: RolesBody,
    /// Version of the program.
    pub program: Box<str>,
    /// Version of the bundle in force on the VM; 0 if there is none.
    pub bundle_version: u64,
    /// Digest of that bundle.
    #[serde(with = "hex::digest_option", default)]
    pub bundle_digest: Option<Digest>,
    /// Versions in force on the registered VMs, in order of their ids.
    pub versions: Vec<VmVersion>,
    /// The control group, as known to this VM.
    pub control: LeaderBody,
    /// The group of the VM's domain, as known to this VM.
    pub group: LeaderBody,
    /// The VM's own lease.
    pub lease: LeaseBody,
    /// Whether the VM is shutting down.
    pub draining: bool,
    /// Request counters since the process started.
    pub counters: Counters,
}

/// Roles of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolesBody {
    /// Whether it serves callers.
    pub entry: bool,
    /// Whether it may vote in the control group.
    pub control: bool,
}

/// The bundle version in force on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmVersion {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainName,
    /// The version; 0 if none is in force.
    pub version: u64,
    /// Milliseconds since the VM last reported its version; absent if it never did.
    pub age_ms: Option<u64>,
}

/// The leader of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderBody {
    /// Term of the group: the control log index of its formation; 0 for the control group.
    pub term: u64,
    /// Raft term.
    pub epoch: u64,
    /// The leader, if one is known.
    pub leader: Option<VmId>,
    /// Whether this VM is a voter.
    pub voter: bool,
}

/// The lease of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Whether it is valid.
    pub valid: bool,
    /// Milliseconds until it expires.
    pub left_ms: u64,
}

/// Request counters since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests that received a response from a target.
    pub answered: u64,
    /// Requests refused without being run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Retries of requests to targets.
    pub retries: u64,
    /// Requests forwarded to other VMs.
    pub forwards: u64,
    /// Requests in flight.
    pub inflight: u64,
    /// Requests in queues.
    pub queued: u64,
}

/// One element of the response to `GET /v1/vms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmBody {
    /// The VM.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// Address for VMs of the same domain.
    pub inner: SocketAddr,
    /// Address for VMs of other domains.
    pub outer: SocketAddr,
    /// Whether it serves callers.
    pub entry: bool,
    /// Whether it votes in the control group.
    pub control_voter: bool,
    /// Whether it votes in its domain's group, if known.
    pub group_voter: Option<bool>,
    /// Bundle version in force on it, if known.
    pub version: Option<u64>,
}
