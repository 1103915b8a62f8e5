//! Work of the leader of a large fleet, in simulated time and without a network.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

mod allocations;
mod fleet;
mod retention;
mod scenarios;
