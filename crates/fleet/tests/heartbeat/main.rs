//! Key leases that targets get in the answers to their announcements.

#![allow(clippy::unwrap_used)]

mod histories;
mod steps;
mod target;
