//! The camphordale daemon: settings, logs, metrics and the boundaries of the process.
//!
//! Start with [`app::App`], which puts the parts together, and [`settings::Settings`]. The data
//! plane, which serves requests, is in `plane`; the threads of the reducers are `entry_loop` and
//! `control_loop`.

mod answers;
pub mod app;
mod callers;
mod control_loop;
mod entry_loop;
mod flights;
mod handle;
mod live;
pub mod log;
pub mod metrics;
mod operators;
mod peer_handler;
mod plane;
mod probe;
mod pump;
mod records;
pub mod settings;
mod sync;
mod targets;

pub use camphordale_clock::Clock;
