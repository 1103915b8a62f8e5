//! One entry VM in a small world: the life of a request, and patterns of load.

#![allow(clippy::unwrap_used)]

mod decisions;
mod harness;
mod load;
mod requests;
