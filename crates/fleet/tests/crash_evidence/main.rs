//! Evidence on requests that crash their targets.

#![allow(clippy::unwrap_used)]

mod histories;
mod naive;
mod store;
mod trials;
