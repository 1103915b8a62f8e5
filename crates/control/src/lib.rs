//! Replicated state of the control group, and the planner that its leader runs.
//!
//! Start with [`Command`], then `State::apply` and `Planner::step`.

mod command;

pub use command::{Command, DomainReport, Group, Home, HomeChange, Outcome, Rejection};
