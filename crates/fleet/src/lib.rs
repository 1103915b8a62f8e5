//! Control plane of a fleet of entry VMs, as reducers without I/O.
//!
//! One [`Control`] runs on each control VM. It replicates a [`State`] with `camphordale-raft`: the
//! [`Routing`] that operators submit, the registry of [`Target`]s that announce themselves, and the
//! [`KeyMap`] of each service whose keys are assigned to targets. The leader grants key leases to
//! targets and streams the [`View`] to the entry VMs.
//!
//! Start with [`Control::step`], then [`State::apply`].
//!
//! | module | responsibility |
//! |---|---|
//! | `routing` | routes, services and limits: validation and changes |
//! | `registry` | target announcements and registry records |
//! | `keys` | key ranges and their holders |
//! | `state` | the replicated state machine |
//! | `message` | messages between VMs |
//! | `member_list` | control VMs as one of them knows them |
//! | `control` | the reducer of a control VM |
//! | `evacuation` | failure domains to whose targets nothing is sent |
//! | `crash_evidence` | requests that crash the targets that execute them |
//! | `crash_trials` | trials of such requests before a refusal is final |
//! | `request_limits` | limits that targets set on the requests of all entry VMs together |
//! | `load_summary` | load of targets by the reports of all entry VMs |
//! | `warm_up` | which targets are cold, and the limit on requests to one |
//! | `service_demand` | demand for plain services by failure domain |
//! | `key_leases` | the leader's record of the key leases that targets may hold |
//! | `balance` | which key ranges should move, and to which target |

pub mod balance;
mod content;
mod control;
pub mod crash_evidence;
pub mod crash_trials;
mod evacuation;
pub mod key_leases;
mod keys;
pub mod load_summary;
mod member_list;
mod message;
mod registry;
mod request_limits;
mod routing;
pub mod service_demand;
mod state;
pub mod warm_up;

pub use content::{
    Content,
    ContentError,
    ContentId,
    ContentKind,
    ContentRef,
    Part, //
};
pub use control::{
    Call,
    CallToken,
    Config,
    Control,
    Effect,
    Event,
    FleetVersions,
    LogEvent,
    Reply,
    RetainedBytes, //
};
pub use crash_evidence::{
    CrashEvidence,
    CrashRecord,
    Fingerprint,
    Verdict, //
};
pub use evacuation::{
    EvacuationOrder,
    Evacuations, //
};
pub use key_leases::{
    Answer,
    Dispatch,
    FencingToken,
    FreedRange,
    GrantedRange,
    HeldRange,
    LeaseReport,
    LeaseTimes,
    MAX_GRANTED_RANGES,
    Order,
    OrderConnection,
    OrderId,
    SessionId, //
};
pub use keys::{
    HandoverData,
    Key,
    KeyMap,
    KeyRange, //
};
pub use member_list::MemberList;
pub use message::{
    EntryCounts,
    KeyLoad,
    Member,
    PeerMessage,
    TargetLatency,
    Wanted, //
};
pub use registry::{
    Address,
    Announcement,
    Holder,
    Incarnation,
    InvalidAnnouncement,
    Target,
    TargetId,
    TargetState, //
};
pub use request_limits::{
    InvalidRate,
    LimitLedger,
    RIGHT_LIFETIME,
    RequestRate,
    RightRequest,
    StatedLimit,
    lower_limit, //
};
pub use routing::{
    Change,
    ConfigResource,
    Digest,
    Domain,
    Invalid,
    KeyDelivery,
    Limits,
    RetryPolicy,
    Route,
    RouteName,
    Routing,
    Service,
    ServiceName,
    Version,
    WarmUp,
    WeightedService, //
};
pub use state::{
    Accepted,
    Command,
    Outcome,
    State,
    View, //
};
pub use warm_up::{
    COLD_FALLBACK_FRACTION,
    COLD_RIGHT_LIFETIME,
    WarmUpBounds, //
};
