//! One entry VM, as a reducer without I/O.
//!
//! [`Entry`] takes the requests of callers, decides which target gets each of them, and what the
//! caller is told. It follows the view of the control leader and sees the targets only through
//! its own requests.
//!
//! Start with [`Entry::step`].
//!
//! | module | responsibility |
//! |---|---|
//! | `entry` | events and effects, the life of a request |
//! | `routes` | from host and path to a service |
//! | `targets` | what this VM has seen of each target |
//! | `selection` | which target gets a request, and whether one can |
//! | `handovers` | ranges of keys between two holders |
//! | `retry_budget` | how many repeats are allowed |
//! | `control_stream` | the stream from the control leader |

mod control_stream;
mod entry;
mod handovers;
mod retry_budget;
mod routes;
mod selection;
mod targets;

pub use control_stream::{
    ControlStream,
    ControlStreamEffect, //
};
pub use entry::{
    AttemptId,
    AttemptResult,
    Config,
    Decision,
    Effect,
    Entry,
    Event,
    IncomingRequest,
    LogEvent,
    Reason, //
    Refusal,
    RequestHandle,
};
pub use handovers::Handovers;
pub use retry_budget::Budget;
pub use routes::RouteTable;
pub use selection::{
    Pick,
    Shortage,
    Situation, //
};
pub use targets::{
    LoadReport,
    Peer,
    Peers, //
    TargetStats,
};
