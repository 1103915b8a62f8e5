//! Limits that targets set on the requests of all entry VMs together.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

mod cold;
mod histories;
mod single;
mod world;
