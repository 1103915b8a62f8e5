//! Measurements of camphordale, and the capacity that follows from them.
//!
//! Start with [`SECTIONS`]. Each section returns [`Table`]s and writes the values that
//! `docs/CAPACITY.md` needs to [`MeasuredValues`].

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
