//! Stand-ins for the programs around camphordale, for tests and the quickstart.
//!
//! [`Target`] is a target that follows `docs/protocols.md` and misbehaves on request; [`Fence`]
//! holds its lease and token rules.

mod agent;
mod cli;
mod clock;
mod fence;
pub mod headers;
mod journal;
mod load;
pub mod protocol;
mod run;
mod server;
mod session;
mod switch_api;
mod switches;
mod target;

pub use agent::agent;
pub use cli::{
    HeaderArg,
    SideArg, //
};
pub use clock::{
    Clock,
    wall_us, //
};
pub use fence::{
    Denied,
    Fence, //
};
pub use journal::{
    Entry,
    LineWriter,
    Phase,
    read_lines, //
};
pub use load::{
    LoadOptions,
    LoadReport,
    run_load, //
};
pub use protocol::Grant;
pub use server::{
    Delivery,
    Reply,
    Request,
    Server,
    serve, //
};
pub use session::SessionError;
pub use switches::{
    Answer,
    Fault,
    Settings,
    Switches, //
};
pub use target::{
    Target,
    TargetOptions, //
};
