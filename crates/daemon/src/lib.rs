//! The camphordale daemon: settings, logs, metrics, listeners and connections, storage and threads.
//!
//! Start with [`app::App`], which starts all parts, and [`settings::Settings`]. `data_plane` serves
//! requests; `entry_loop` and `control_loop` run the entry node and the control node, which are
//! state machines without I/O.

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
