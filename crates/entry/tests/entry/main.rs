//! One entry VM: the lifecycle of a request, and patterns of load.

#![allow(clippy::unwrap_used)]

mod admission;
mod control_stream;
mod crashes;
mod decisions;
mod harness;
mod load;
mod outside_numbers;
mod overload;
mod requests;
mod statements;
