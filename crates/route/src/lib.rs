//! Router reducer of one entry VM: where a request goes, when it waits, when it is refused.
//!
//! Start with [`Event`] and [`Effect`], then [`Router::step`]. A request is admitted
//! (`admission`), placed with a target, another VM or a queue (`keyed`, `unkeyed`, `forward`),
//! checked a last time before it is written (`attempts`), and ends in exactly one way.

mod admission;
mod attempts;
mod balance;
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
pub use status::{Blocked, Counters, Explanation, QueueStatus, Status, TargetStatus};
pub use types::{
    Attempt, Effect, Event, Origin, RecordResult, RemoteHome, Request, Send, VmAddress,
};
