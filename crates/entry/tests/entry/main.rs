//! One entry VM: the lifecycle of a request, and patterns of load.

#![allow(clippy::unwrap_used)]

mod admission;
mod certainty;
mod cold;
mod control_stream;
mod crashes;
mod decisions;
mod departures;
mod evacuation;
mod harness;
mod load;
mod loads;
mod outside_numbers;
mod overload;
mod requests;
mod shutdown;
mod statements;
mod transfer;
mod uncontended;
mod uneven;
