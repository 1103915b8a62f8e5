//! Processes of a fleet on one readiness loop.
//!
//! [`EntryProcess`] carries out the effects of `camphordale-entry`, [`ControlProcess`] those of
//! `camphordale-fleet`. How callers, targets and operators speak is behind [`Dialect`], so that one
//! deployment's names stay outside. Start with [`run`], then [`Engine`].
//!
//! | module | responsibility |
//! |---|---|
//! | `engine` | sockets, timers, pools of connections |
//! | `server_side`, `client_side`, `peer_side` | what one connection says, without I/O |
//! | `entry_process`, `control_process` | from events to effects |
//! | `dialect` | the edge to one deployment's protocol |
//! | `settings` | checked settings |
//! | `log`, `metrics` | what operators see |

mod client_side;
mod control_process;
mod dialect;
mod engine;
mod entry_process;
mod log;
mod metrics;
mod peer_side;
mod process;
mod server_side;
mod settings;

pub use camphordale_clock::Clock;
pub use client_side::{
    ClientSide,
    Expected,
    Progress, //
};
pub use control_process::ControlProcess;
pub use dialect::{
    CallKind,
    CallerFields,
    Dialect,
    OrderRequest,
    TargetReply, //
};
pub use engine::{
    ConnId,
    Engine,
    EngineStats,
    Exchange,
    ExchangeFailure,
    ExchangeId,
    Incoming,
    Purpose, //
};
pub use entry_process::EntryProcess;
pub use log::{
    Budgeted,
    LogSink, //
};
pub use metrics::{
    Metrics,
    MetricsError, //
};
pub use peer_side::{
    PeerError,
    PeerSide, //
};
pub use process::{
    ProcessError,
    run, //
};
pub use server_side::{
    Refused,
    ServerSide, //
};
pub use settings::{
    ControlSettings,
    EntrySettings,
    RawTuning,
    Role,
    Settings,
    SettingsError,
    Tuning, //
};
