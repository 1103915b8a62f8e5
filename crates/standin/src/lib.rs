//! Stand-in programs for tests and the quickstart.
//!
//! [`Target`] implements the target side of `docs/protocols.md` and supports fault injection;
//! [`FencingState`] tracks its lease and fencing tokens. [`run_caller`] sends a request mix at a
//! fixed rate and verifies the responses, [`run_load`] measures throughput, and [`Link`] is a TCP
//! relay that can partition failure domains. [`check`] compares the journals of targets with the
//! records of callers.

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
    Rule,
    RuleResult,
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
    Fault,
    FaultInjector,
    FaultSettings,
    SwappedResponse, //
};
pub use fencing::{
    AdmissionError,
    FencingState, //
};
pub use journal::{
    JournalEntry,
    JsonLineWriter,
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
pub use link_api::handle_link_command;
pub use load::{
    LoadOptions,
    LoadReport,
    run_load, //
};
pub use partitions::{
    Partition,
    Partitions, //
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
    RequestMix,
    SampledRequest,
    Script,
    ScriptError,
    ScriptService, //
};
pub use server::{
    Delivery,
    Request,
    Response,
    Server,
    serve, //
};
pub use session::SessionError;
pub use summary::{
    Gap,
    RequestResult,
    ServiceSummary,
    Summary,
    summarize, //
};
pub use target::{
    Target,
    TargetOptions, //
};
