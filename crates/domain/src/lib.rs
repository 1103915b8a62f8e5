//! Replicated state of a domain group, and the reducer that its leader runs.
//!
//! Start with [`Command`], then `State::apply` and `Leader::step`.

mod command;
mod leader_api;
mod view;

pub use command::{Command, HomedShard, Outcome, RecordKey, StoredAnswer};
pub use leader_api::{Effect, Event, LeaseConfig};
pub use view::{ShardView, TargetView, View};
