//! Replicated state of a domain group, and the reducer that its leader runs.
//!
//! Start with [`Command`], then [`State::apply`] and [`Leader::step`].

mod command;
mod leader;
mod leader_api;
mod state;
mod view;

pub use command::{
    Command,
    HomedShard,
    Outcome,
    RecordKey,
    StoredResponse, //
};
pub use leader::Leader;
pub use leader_api::{
    Effect,
    Event,
    LeaseConfig, //
};
pub use state::{
    Phase,
    Record,
    ShardEntry,
    State,
    StateError,
    TargetEntry,
    VmSession, //
};
pub use view::{
    ShardView,
    TargetView,
    View, //
};
