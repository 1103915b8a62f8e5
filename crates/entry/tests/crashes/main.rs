//! Requests that crash the targets which execute them: several entry VMs, a control leader and
//! targets that end and start again.

#![allow(clippy::unwrap_used)]

mod histories;
mod load;
mod scenarios;
mod setup;
mod world;
