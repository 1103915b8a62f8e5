//! The camphordale daemon: settings, logs, metrics and the boundaries of the process.
//!
//! Start with [`app::App`], which puts the parts together, and [`settings::Settings`]. The data
//! plane, which serves requests, is in `data_plane`; the threads of the reducers are `entry_loop` and
//! `control_loop`.

pub mod app;
mod bundle_file;
mod control_loop;
mod data_plane;
mod entry_loop;
mod http_messages;
mod in_flight;
mod live_settings;
pub mod log;
pub mod metrics;
mod metrics_collector;
mod node_handle;
mod operator_listener;
mod peer_calls;
mod peer_handler;
mod probe;
pub mod settings;
mod sync;
mod target_listener;

pub use camphordale_clock::Clock;
