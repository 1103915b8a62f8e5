//! Events and effects of the router.

use std::{net::SocketAddr, time::Duration};

use camphordale_domain::{RecordKey, StoredResponse, View};
use camphordale_types::{
    Bundle, DomainName, NotRun, Refusal, RequestId, ServiceName, ShardIndex, ShardRef, TargetId,
    Token, Unknown, VmId,
};

/// A request as the router sees it; its body stays with the connection that received it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Where it came from.
    pub origin: Origin,
    /// HTTP method.
    pub method: Box<str>,
    /// Host without port.
    pub host: Option<Box<str>>,
    /// Path with query.
    pub path: Box<str>,
    /// Headers, names in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Time left that the caller allows; the service's deadline is the upper bound.
    pub allowed: Option<Duration>,
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
        /// How often it was forwarded before.
        hops: u8,
    },
}

/// Address of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmAddress {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is an entry VM.
    pub entry: bool,
}

/// Home domains of one service's shards, by shard index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteHome {
    /// The service.
    pub service: ServiceName,
    /// The home of each shard; none if it has none yet.
    pub domains: Vec<Option<DomainName>>,
}

/// Input of the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived. It ends in exactly one `Refuse`, `Replay` or `Redirect`, or the caller
    /// being given the answer after a `Send` or `Forward` that was not followed by another effect
    /// for it. A request whose id is in use is ignored: it is the same one, forwarded again, and
    /// its answer belongs to whoever forwarded it last.
    Request(Request),
    /// The record asked for by `Effect::Record` was decided.
    Recorded {
        /// The request.
        id: RequestId,
        /// The decision.
        result: RecordResult,
    },
    /// The connection is open and the request is about to be written: the last check of lease,
    /// ownership and deadline. Answered by `Proceed` or by another effect for the request, in
    /// which case nothing is written, the connection is free, and no `Done` is raised.
    Ready {
        /// The request.
        id: RequestId,
    },
    /// A `Send` or `Forward` ended. Raised once for each, unless `Ready` was not answered by
    /// `Proceed`.
    Done {
        /// The request.
        id: RequestId,
        /// How it ended.
        attempt: Attempt,
    },
    /// The caller is gone; a request that is waiting is dropped.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// The VM takes part in the domain group of this term. Raised before the first lease of the
    /// group; leases and views of another term are void from then on, because a fence says
    /// nothing about a view of another group.
    Term {
        /// Term of the group.
        term: u64,
    },
    /// This VM's lease was renewed.
    Lease {
        /// Valid until this time.
        until: Duration,
        /// Usable only with a view of at least this index.
        fence: u64,
        /// Time of the domain's last renewal with the control group, for domain leases.
        control: Duration,
    },
    /// All leases are void, because the process was paused.
    LeaseLost,
    /// The domain group's state changed.
    View(View),
    /// A bundle came into force.
    Bundle(Bundle),
    /// The homes of shards or the VMs changed.
    Directory {
        /// Homes of every service with keys.
        homes: Vec<RemoteHome>,
        /// All VMs.
        vms: Vec<VmAddress>,
    },
    /// A load report of a target reached this VM.
    TargetLoad {
        /// The target.
        target: TargetId,
        /// Share of its capacity in use.
        load: f32,
    },
    /// A probe on a fresh connection ended.
    Probed {
        /// The target.
        target: TargetId,
        /// Whether it answered.
        alive: bool,
    },
    /// Time has passed.
    Tick,
    /// The VM is shutting down: new callers' requests are refused, those in flight finish.
    Drain,
}

/// Decision on an idempotency record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordResult {
    /// New; the request may be sent.
    Fresh,
    /// Answered before.
    Replay(StoredResponse),
    /// Recorded before without an answer.
    Pending,
    /// Records may be missing.
    Unsettled,
    /// Certainly not recorded.
    Failed,
    /// It is not known whether it was recorded.
    Uncertain,
}

/// How an attempt to run a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// A whole answer arrived and was or will be given to the caller.
    Answered {
        /// Its status.
        status: u16,
        /// The answer, for the idempotency record, if small enough to keep.
        stored: Option<StoredResponse>,
    },
    /// The request certainly did not run.
    NotRun(NotRun),
    /// It may have run.
    Unknown(Unknown),
    /// A forwarded request came back because another VM is the sender.
    Redirect {
        /// The sender, if the answering VM knows it.
        vm: Option<VmId>,
    },
}

/// A request to be sent to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// The request.
    pub id: RequestId,
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// The shard and token, for a keyed request.
    pub grant: Option<(ShardRef, Token)>,
    /// When the answer must be complete.
    pub deadline: Duration,
    /// Connections this VM may have to the target.
    pub connections: u32,
}

/// Output of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open or take a connection, raise `Ready`, on `Proceed` write the request, raise `Done`.
    Send(Send),
    /// The request may be written now.
    Proceed {
        /// The request.
        id: RequestId,
    },
    /// The request must not be written now and waits; it stays with its connection to the caller.
    Hold {
        /// The request.
        id: RequestId,
    },
    /// Forward the request to a VM and raise `Done` with the result.
    Forward {
        /// The request.
        id: RequestId,
        /// The VM.
        vm: VmId,
        /// Hops so far, this one included.
        hops: u8,
        /// When the answer must be complete.
        deadline: Duration,
    },
    /// Answer a forwarded request by naming the sender to go to.
    Redirect {
        /// The request.
        id: RequestId,
        /// The sender, if known.
        vm: Option<VmId>,
    },
    /// Write an idempotency record through the domain group and raise `Recorded`.
    Record {
        /// The request.
        id: RequestId,
        /// The shard.
        shard: ShardRef,
        /// The sender's token.
        token: Token,
        /// The record's key.
        key: RecordKey,
        /// When the record must be decided.
        deadline: Duration,
    },
    /// Store the answer of a recorded request.
    Finish {
        /// The record's key.
        key: RecordKey,
        /// The request.
        id: RequestId,
        /// The answer.
        answer: Option<StoredResponse>,
    },
    /// Remove the record of a request that did not run.
    Erase {
        /// The record's key.
        key: RecordKey,
        /// The request.
        id: RequestId,
    },
    /// Give the caller a refusal.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        refusal: Refusal,
    },
    /// Give the caller a recorded answer.
    Replay {
        /// The request.
        id: RequestId,
        /// The answer.
        answer: StoredResponse,
    },
    /// Abort the connection of a request in flight; its `Done` will follow. A `Ready` that was
    /// raised before is not answered.
    Abort {
        /// The request.
        id: RequestId,
    },
    /// Close pooled connections to a target, then probe it on a fresh connection.
    Probe {
        /// The target.
        target: TargetId,
        /// Its address.
        address: SocketAddr,
    },
    /// Tell the domain leader that a target does not answer.
    Suspect {
        /// The target.
        target: TargetId,
    },
    /// Tell the domain leader that nothing is sent any more for a releasing shard.
    Released {
        /// The shard.
        shard: ShardRef,
        /// The token under which it was releasing.
        token: Token,
        /// Time until the last outstanding deadline; zero when drained.
        clear: Duration,
    },
    /// Report requests per shard to the domain leader.
    Load {
        /// Requests by shard since the last report.
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
    /// assert_eq!(Effect::Suspect { target: 4 }.request(), None);
    /// ```
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Effect::Send(send) => Some(send.id),
            Effect::Proceed { id }
            | Effect::Hold { id }
            | Effect::Forward { id, .. }
            | Effect::Redirect { id, .. }
            | Effect::Record { id, .. }
            | Effect::Refuse { id, .. }
            | Effect::Replay { id, .. }
            | Effect::Abort { id } => Some(*id),
            Effect::Finish { .. }
            | Effect::Erase { .. }
            | Effect::Probe { .. }
            | Effect::Suspect { .. }
            | Effect::Released { .. }
            | Effect::Load { .. } => None,
        }
    }
}
