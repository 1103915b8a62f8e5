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
//! | `choice` | which target gets a request, and whether one can |
//! | `handovers` | ranges of keys between two holders |
//! | `budget` | how many repeats are allowed |
//! | `link` | the stream from the control leader |

mod budget;
mod choice;
mod entry;
mod handovers;
mod link;
mod routes;
mod targets;

pub use budget::Budget;
pub use choice::{
    Pick,
    Shortage,
    Situation, //
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
pub use link::{
    ControlStream,
    ControlStreamEffect, //
};
pub use routes::RouteTable;
pub use targets::{
    LoadReport,
    Peer,
    Peers, //
    TargetStats,
};
