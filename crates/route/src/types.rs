//! Events and effects of the router.

use std::{net::SocketAddr, time::Duration};

use camphordale_domain::{RecordKey, StoredResponse, View};
use camphordale_types::{
    Bundle, DomainName, NotRun, Refusal, RequestId, ServiceName, ShardIndex, ShardRef, TargetId,
    Token, Unknown, VmId,
};

/// The head of a request; the body stays with the connection that received it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Where the request came from.
    pub origin: Origin,
    /// HTTP method.
    pub method: Box<str>,
    /// Host without port.
    pub host: Option<Box<str>>,
    /// Path with query.
    pub path: Box<str>,
    /// Headers, names in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Time limit set by the caller; the deadline of the service is the upper bound.
    pub timeout: Option<Duration>,
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From a caller.
    Caller,
    /// Forwarded by another VM.
    Vm {
        /// The VM.
        vm: VmId,
        /// Number of earlier forwards.
        hops: u8,
    },
}

/// A VM and its place in the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmLocation {
    /// The VM.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub domain: DomainName,
    /// Whether it is an entry VM.
    pub entry: bool,
}

/// Home domains of one service's shards, by shard index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardHomes {
    /// The service.
    pub service: ServiceName,
    /// The home of each shard; none if it has none yet.
    pub domains: Vec<Option<DomainName>>,
}

/// Input of the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived. It completes with exactly one `Refuse`, `Replay` or `Redirect`, or with a
    /// response passed to the caller after a `Send` or `Forward` that no other effect for the
    /// request followed. A request whose id is in use is ignored: it is the same one, forwarded
    /// again, and the response goes to the VM that forwarded it last.
    Request(Request),
    /// The creation of a record requested by `Effect::CreateRecord` completed.
    Recorded {
        /// The request.
        id: RequestId,
        /// The result.
        result: RecordResult,
    },
    /// The connection is open and the request is about to be written. Triggers the final check of
    /// lease, ownership and deadline, whose result is `Proceed` or another effect for the request.
    /// In the latter case nothing is written, the connection is free, and no `Done` is raised.
    Ready {
        /// The request.
        id: RequestId,
    },
    /// A `Send` or `Forward` ended. Raised once for each, unless the result of `Ready` was not
    /// `Proceed`.
    Done {
        /// The request.
        id: RequestId,
        /// The result.
        result: AttemptResult,
    },
    /// The caller has disconnected; a queued request is dropped.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// The VM joined the domain group of this term. Raised before the first lease of the group.
    /// Leases and views of another term are invalid from then on, because the `min_view` of a lease
    /// is a log index within one group.
    Term {
        /// Term of the group.
        term: u64,
    },
    /// This VM's lease was renewed.
    Lease {
        /// Time at which the lease expires.
        until: Duration,
        /// Minimum view index: the VM may use the lease only with this view or a later one.
        min_view: u64,
        /// Time of the domain's last renewal with the control group, for domain leases.
        control_renewed: Duration,
    },
    /// The lease was revoked: the process had been paused, the VM leaves the domain, or it sealed
    /// the term of its domain group.
    LeaseLost,
    /// The domain group's state changed.
    View(View),
    /// A bundle came into force.
    Bundle(Bundle),
    /// Whether this VM knows of a bundle that is newer than the one in force.
    BundleOutdated(bool),
    /// The directory changed: home domains of shards, or VMs.
    Directory {
        /// Home domains of the shards of every keyed service.
        homes: Vec<ShardHomes>,
        /// All VMs.
        vms: Vec<VmLocation>,
    },
    /// The set of domains under evacuation changed.
    Evacuated {
        /// All domains under evacuation.
        domains: Vec<DomainName>,
    },
    /// A target reported its load.
    TargetLoad {
        /// The target.
        target: TargetId,
        /// Fraction of its capacity in use.
        load: f32,
    },
    /// A probe on a new connection ended.
    Probed {
        /// The target.
        target: TargetId,
        /// Whether the target answered.
        alive: bool,
    },
    /// Time has passed.
    Tick,
    /// The VM is shutting down: new requests of callers are refused, those in flight complete.
    Drain,
}

/// Result of the creation of an idempotency record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordResult {
    /// The record was created; the request may be sent.
    Recorded,
    /// The request has run before; the record has its response.
    Replay(StoredResponse),
    /// The request has a record without a response; it may be running.
    InProgress,
    /// Earlier records of the shard may have been lost.
    RecordsIncomplete,
    /// The record was not created.
    Failed,
    /// It is unknown whether the record was created.
    Uncertain,
}

/// How an attempt to run a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A complete response arrived and is passed to the caller.
    Responded {
        /// HTTP status.
        status: u16,
        /// The response for the idempotency record, if it is small enough to be stored.
        stored: Option<StoredResponse>,
    },
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
    /// The VM that the request was forwarded to is not the sender.
    Redirect {
        /// The sender, if that VM knows it.
        vm: Option<VmId>,
    },
}

/// A request to be sent to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct SendRequest {
    /// The request.
    pub id: RequestId,
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// The shard and its fencing token, for a keyed request.
    pub grant: Option<(ShardRef, Token)>,
    /// Time by which the response must be complete.
    pub deadline: Duration,
    /// Upper bound of connections of this VM to the target.
    pub connections: u32,
}

/// Output of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a connection or take one from the pool, raise `Ready`, write the request after
    /// `Proceed`, and raise `Done`.
    Send(SendRequest),
    /// The request may be written now.
    Proceed {
        /// The request.
        id: RequestId,
    },
    /// The request must not be written now and is queued again; it stays with its connection to
    /// the caller.
    Requeue {
        /// The request.
        id: RequestId,
    },
    /// Forward the request to a VM and raise `Done` with the result.
    Forward {
        /// The request.
        id: RequestId,
        /// The VM.
        vm: VmId,
        /// Number of forwards, this one included.
        hops: u8,
        /// Time by which the response must be complete.
        deadline: Duration,
    },
    /// Reply to a forwarded request with the VM that is the sender.
    Redirect {
        /// The request.
        id: RequestId,
        /// The sender, if known.
        vm: Option<VmId>,
    },
    /// Create an idempotency record in the domain group and raise `Recorded`.
    CreateRecord {
        /// The request.
        id: RequestId,
        /// The shard.
        shard: ShardRef,
        /// Fencing token of the sender.
        token: Token,
        /// The record's key.
        key: RecordKey,
        /// Time by which the record must be created.
        deadline: Duration,
    },
    /// Store the response in the record of a request.
    FinishRecord {
        /// The record's key.
        key: RecordKey,
        /// The request.
        id: RequestId,
        /// The response; `None` if it is too large.
        response: Option<StoredResponse>,
    },
    /// Erase the record of a request that did not run.
    EraseRecord {
        /// The record's key.
        key: RecordKey,
        /// The request.
        id: RequestId,
    },
    /// Refuse the request to its caller.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        refusal: Refusal,
    },
    /// Give the caller the response in the record of an earlier request.
    Replay {
        /// The request.
        id: RequestId,
        /// The response.
        response: StoredResponse,
    },
    /// Abort the connection of a request in flight; `Done` follows. A `Ready` that was raised
    /// before has no result.
    Abort {
        /// The request.
        id: RequestId,
    },
    /// Close the pooled connections to a target, then probe it on a new connection.
    Probe {
        /// The target.
        target: TargetId,
        /// Its address.
        address: SocketAddr,
    },
    /// Report to the domain leader that a target failed a probe.
    ReportSuspect {
        /// The target.
        target: TargetId,
    },
    /// Report to the domain leader that no more requests are sent for a shard that is being
    /// released.
    ReportRelease {
        /// The shard.
        shard: ShardRef,
        /// Fencing token of the shard.
        token: Token,
        /// Time for which earlier requests may still run; zero if all have ended.
        drain_time: Duration,
    },
    /// Report requests per shard to the domain leader.
    ReportLoad {
        /// Number of requests by shard since the last report.
        shards: Vec<(ServiceName, ShardIndex, u32)>,
    },
}

impl Effect {
    /// Returns the request that the effect is about; none for effects that concern targets,
    /// shards or records of requests that have ended.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_route::Effect;
    ///
    /// assert_eq!(Effect::Proceed { id: 9 }.request(), Some(9));
    /// assert_eq!(Effect::ReportSuspect { target: 4 }.request(), None);
    /// ```
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Effect::Send(send) => Some(send.id),
            Effect::Proceed { id }
            | Effect::Requeue { id }
            | Effect::Forward { id, .. }
            | Effect::Redirect { id, .. }
            | Effect::CreateRecord { id, .. }
            | Effect::Refuse { id, .. }
            | Effect::Replay { id, .. }
            | Effect::Abort { id } => Some(*id),
            Effect::FinishRecord { .. }
            | Effect::EraseRecord { .. }
            | Effect::Probe { .. }
            | Effect::ReportSuspect { .. }
            | Effect::ReportRelease { .. }
            | Effect::ReportLoad { .. } => None,
        }
    }
}
