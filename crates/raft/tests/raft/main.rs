//! Tests of the reducer: random histories in a simulated network, and single situations.

// `allow-unwrap-in-tests` does not reach the helpers of the simulation.
#![allow(clippy::unwrap_used)]

mod histories;
mod malformed;
mod scenarios;
mod sim;
