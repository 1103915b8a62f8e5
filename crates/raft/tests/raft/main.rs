//! Tests of the Raft reducer: random histories on a simulated network, and single scenarios.

// `allow-unwrap-in-tests` does not reach the helpers of the simulation.
#![allow(clippy::unwrap_used)]

mod histories;
mod long_entries;
mod malformed;
mod scenarios;
mod sim;
