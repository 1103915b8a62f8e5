//! The state of one VM as it sees itself and the others.

use std::net::SocketAddr;

use camphordale_types::{Digest, DomainName, Incarnation, VmId};
use serde::{Deserialize, Serialize};

use crate::hex;

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The VM.
    pub vm: VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// What it does.
    pub roles: RolesBody,
    /// Version of the program.
    pub program: Box<str>,
    /// Version of the bundle in force here; 0 if there is none.
    pub bundle_version: u64,
    /// Digest of that bundle.
    #[serde(with = "hex::digest_option", default)]
    pub bundle_digest: Option<Digest>,
    /// Versions in force on the VMs that the control group knows, in order of their numbers.
    pub versions: Vec<VmVersion>,
    /// The control group, as far as this VM knows.
    pub control: LeaderBody,
    /// The group of the VM's domain, as far as this VM knows.
    pub group: LeaderBody,
    /// The VM's own lease.
    pub lease: LeaseBody,
    /// Whether the VM is shutting down.
    pub draining: bool,
    /// Counts since the process started.
    pub counters: Counters,
}

/// What a VM does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolesBody {
    /// It serves callers.
    pub entry: bool,
    /// It may vote in the control group.
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
    /// Milliseconds since the VM last reported it; absent if it never did.
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
    /// Milliseconds until it runs out.
    pub left_ms: u64,
}

/// Counts since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests answered by a target.
    pub answered: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests sent to a target a second time.
    pub retries: u64,
    /// Requests forwarded to other VMs.
    pub forwards: u64,
    /// Requests in flight.
    pub inflight: u64,
    /// Requests waiting.
    pub queued: u64,
}

/// One element of the answer to `GET /v1/vms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmBody {
    /// The VM.
    pub vm: VmId,
    /// The run of its process.
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
    /// Whether it votes in its domain's group, as far as known.
    pub group_voter: Option<bool>,
    /// Bundle version in force there, as far as known.
    pub version: Option<u64>,
}
