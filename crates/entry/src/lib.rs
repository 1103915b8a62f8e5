//! One entry VM, as a reducer without I/O.
//!
//! [`Entry`] accepts the requests of callers, selects a target for each, and decides what the
//! caller is told. It follows the view of the control leader and learns about targets only through
//! its own requests and their responses.
//!
//! Start with [`Entry::step`].
//!
//! | module | responsibility |
//! |---|---|
//! | `entry` | events, effects and the lifecycle of a request |
//! | `routes` | matching of host and path to a service |
//! | `targets` | latency, load and failures of each target as seen by this VM |
//! | `machine_speed` | speed of targets' machines, as stated and as latencies show it |
//! | `selection` | target selection and admission |
//! | `admission` | admission control under load, for contended routings |
//! | `domain_overflow` | how many requests leave a failure domain, and where they go |
//! | `evidence` | what shows that a request was not executed, and the promise that rests on it |
//! | `link` | share of the VM's link for long responses |
//! | `handovers` | key ranges that are moving between two holders |
//! | `retry_budget` | limit on retries |
//! | `limits` | limits that targets set on the requests of all entry VMs |
//! | `control_stream` | the stream from the control leader |
//! | `transfer` | contents from the control leader, in parts |
//! | `certainty` | whether the routing is the newest one, on which final refusals rest |

mod admission;
mod certainty;
mod control_stream;
mod domain_overflow;
mod entry;
mod evidence;
mod handovers;
mod limits;
mod link;
mod machine_speed;
mod retry_budget;
mod routes;
mod selection;
mod targets;
mod transfer;

pub use admission::{
    Admission,
    AdmissionClass,
    AdmissionCounts,
    AdmissionRule,
    AdmissionShares,
    Demand,
    LoadEstimate,
    Pace,
    Urgency,
    UrgencyTable,
    UsualTimeouts, //
};
pub use certainty::{
    RoutingCertainty,
    unsure_retry_after, //
};
pub use control_stream::{
    ControlStream,
    ControlStreamEffect,
    Position, //
};
pub use domain_overflow::{
    Departure,
    DepartureDraw,
    DomainBalance,
    OverflowPlan,
    OverflowPlans, //
};
pub use entry::{
    AttemptId,
    AttemptResult,
    ColdSource,
    Config,
    Decision,
    DepartureCounts,
    Effect,
    Entry,
    Event,
    IncomingRequest,
    LogEvent,
    Reason,
    Refusal,
    RequestHandle,
    Shutdown,
    TargetStatement, //
};
pub use evidence::{
    Evidence,
    NotRun, //
};
pub use handovers::Handovers;
pub use limits::{
    LimitSource,
    TargetLimit, //
};
pub use link::LinkShare;
pub use machine_speed::{
    InvalidSlowdown,
    Slowdown, //
};
pub use retry_budget::RetryBudget;
pub use routes::RouteTable;
pub use selection::{
    AdmissionContext,
    DepartureReason,
    Selection,
    SelectionContext,
    SelectionError, //
};
pub use targets::{
    LoadReport,
    TargetStats,
    TargetTracker,
    TrackedTarget, //
};
pub use transfer::{
    Received,
    TransferStats,
    Transfers, //
};
