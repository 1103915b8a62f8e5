//! Benchmarks of camphordale, and a capacity estimate that is derived from their results.
//!
//! Start with [`SECTIONS`]. Each section runs one benchmark and returns its results as [`Table`]s.
//! The values that the estimate in `docs/CAPACITY.md` needs are stored in [`MeasuredValues`].

pub mod bundle;
pub mod capacity;
pub mod control;
mod deployment;
mod error;
pub mod failover;
pub mod http;
pub mod load_balancing;
mod measured_values;
mod page;
pub mod placement;
pub mod router;
mod run_options;
mod section;
mod service;
pub mod state;
mod stats;
mod table;

pub use error::MeasureError;
pub use measured_values::MeasuredValues;
pub use page::{
    replace_section,
    write_section, //
};
pub use run_options::RunOptions;
pub use section::{
    SECTIONS,
    Section, //
};
pub use stats::{
    Spread,
    least_squares, //
};
pub use table::Table;
