//! Measurements of camphordale, and the capacity that follows from them.
//!
//! Start with [`SECTIONS`]. Each section returns [`Table`]s and writes the values that
//! `docs/CAPACITY.md` needs to [`Slopes`].

pub mod bundle;
pub mod capacity;
pub mod choice;
pub mod control;
mod deploy;
mod error;
pub mod failover;
pub mod http;
mod page;
pub mod placement;
pub mod router;
mod run;
mod section;
mod service;
mod slopes;
mod spread;
pub mod state;
mod table;

pub use error::MeasureError;
pub use page::{
    replace,
    write_section, //
};
pub use run::Run;
pub use section::{
    SECTIONS,
    Section, //
};
pub use slopes::Slopes;
pub use spread::{
    Spread,
    fit, //
};
pub use table::Table;
