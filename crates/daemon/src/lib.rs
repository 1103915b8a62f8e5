//! The camphordale daemon: settings, logs, metrics and the boundaries of the process.
//!
//! Start with [`settings::Settings`].

pub mod log;
pub mod metrics;
pub mod settings;
