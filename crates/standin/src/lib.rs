//! Stand-ins for the programs around camphordale, for tests and the quickstart.
//!
//! [`Target`] is a target that follows `docs/protocols.md` and misbehaves on request; [`Fence`]
//! holds its lease and token rules. [`run_caller`] sends a mix of requests at a fixed rate and
//! checks the answers; [`run_load`] measures throughput, and [`Link`] relays connections that can be
//! cut. [`check`] compares the journals of targets with the records of callers.

mod agent;
mod attempt;
mod caller;
mod check;
mod check_shards;
mod cli;
mod clock;
mod fault_api;
mod faults;
mod fencing;
pub mod fleet;
pub mod headers;
mod journal;
mod link;
mod link_api;
mod load;
mod partitions;
mod prefix;
pub mod protocol;
pub mod quickstart;
mod record;
mod run;
mod script;
mod server;
mod session;
mod summary;
mod target;

pub use agent::agent;
pub use caller::{
    CallerOptions,
    run_caller, //
};
pub use check::{
    CheckReport,
    Checked,
    Rule,
    check, //
};
pub use cli::{
    HeaderArg,
    SideArg, //
};
pub use clock::{
    Clock,
    unix_micros, //
};
pub use faults::{
    Answer,
    Fault,
    Settings,
    Switches, //
};
pub use fencing::{
    Denied,
    Fence, //
};
pub use journal::{
    JournalEntry,
    LineWriter,
    Phase,
    read_lines, //
};
pub use link::{
    Link,
    LinkEntry,
    LinkError,
    LinkFile,
    SourceDomain, //
};
pub use link_api::answer_link;
pub use load::{
    LoadOptions,
    LoadReport,
    run_load, //
};
pub use partitions::{
    Cut,
    Cuts, //
};
pub use prefix::{
    Prefix,
    PrefixError, //
};
pub use protocol::Grant;
pub use record::{
    AttemptRecord,
    Outcome, //
};
pub use script::{
    Draw,
    Mix,
    Script,
    ScriptError,
    ScriptService, //
};
pub use server::{
    Delivery,
    Reply,
    Request,
    Server,
    serve, //
};
pub use session::SessionError;
pub use summary::{
    Finished,
    Gap,
    ServiceSummary,
    Summary,
    summarize, //
};
pub use target::{
    Target,
    TargetOptions, //
};
