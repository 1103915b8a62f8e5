//! One entry VM in a small world: the life of a request, and patterns of load.

#![allow(clippy::unwrap_used)]

mod common;
mod decisions;
mod load;
mod requests;
