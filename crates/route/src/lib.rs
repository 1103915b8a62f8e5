//! Router of one entry VM as a sans-I/O state machine: where a request is sent, when it is queued,
//! when it is refused.
//!
//! Start with [`Event`] and [`Effect`], then [`Router::step`]. A request is admitted
//! (`admission`), routed to a target, another VM or a queue (`keyed`, `unkeyed`, `forward`) and
//! checked a final time before it is written (`attempts`). It completes in exactly one way.

mod admission;
mod attempts;
mod balance;
mod evacuation;
mod forward;
mod health;
mod keyed;
mod lease;
mod queue;
mod records;
mod release;
mod request;
mod retry;
mod router;
mod service;
mod status;
mod target;
mod types;
mod unkeyed;
mod view;

pub use router::{Router, RouterConfig};
pub use status::{BlockReason, Counters, Explanation, QueueStatus, Status, TargetStatus};
pub use types::{
    AttemptResult, Effect, Event, Origin, RecordResult, Request, SendRequest, ShardHomes,
    VmLocation,
};
