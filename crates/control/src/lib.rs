//! Replicated state of the control group, and the planner that its leader runs.
//!
//! Start with [`Command`], then [`State::apply`] and [`Planner::step`]. Each VM caches the parts of
//! the state that it needs in a [`DirectoryCache`].

mod audit;
mod cache;
mod chain;
mod command;
mod directory;
mod homes;
mod planner;
mod registry;
mod state;

pub use audit::{
    AuditEntry,
    AuditError,
    AuditTrail,
    verify_audit, //
};
pub use cache::{
    DirectoryCache,
    MergeOutcome, //
};
pub use chain::ServingBound;
pub use command::{
    Command,
    DomainReport,
    EvacuationOrder,
    Group,
    Home,
    HomeChange,
    Outcome,
    Rejection, //
};
pub use directory::{
    Directory,
    DomainOrders,
    Versioned,
    Versions, //
};
pub use homes::{
    HomeRange,
    HomeRanges, //
};
pub use planner::{
    Planner,
    PlannerConfig,
    PlannerEvent, //
};
pub use state::{
    SnapshotError,
    State, //
};
