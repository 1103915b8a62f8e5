//! Processes of a fleet on one readiness loop.
//!
//! [`EntryProcess`] carries out the effects of `camphordale-entry`, [`ControlProcess`] those of
//! `camphordale-fleet`. How callers, targets and operators speak is behind [`Dialect`], so that one
//! deployment's names stay outside. Start with [`run`], then [`Engine`].
//!
//! | module | responsibility |
//! |---|---|
//! | `event_loop` | sockets, timers, pools of connections |
//! | `server_connection`, `client_connection`, `peer_connection` | what one connection says, without I/O |
//! | `entry_process`, `control_process` | from events to effects |
//! | `adapter` | the edge to one deployment's protocol |
//! | `settings` | checked settings |
//! | `log`, `metrics` | what operators see |

mod adapter;
mod client_connection;
mod control_process;
mod entry_process;
mod event_loop;
mod log;
mod metrics;
mod peer_connection;
mod process;
mod server_connection;
mod settings;

pub use adapter::{
    CallKind,
    CallerFields,
    Dialect,
    OrderRequest,
    TargetReply, //
};
pub use camphordale_clock::Clock;
pub use client_connection::{
    ClientSide,
    Expected,
    Progress, //
};
pub use control_process::ControlProcess;
pub use entry_process::EntryProcess;
pub use event_loop::{
    ConnId,
    Engine,
    EngineStats,
    Exchange,
    ExchangeFailure,
    ExchangeId,
    Incoming,
    Purpose, //
};
pub use log::{
    Budgeted,
    LogSink, //
};
pub use metrics::{
    Metrics,
    MetricsError, //
};
pub use peer_connection::{
    PeerError,
    PeerSide, //
};
pub use process::{
    ProcessError,
    run, //
};
pub use server_connection::{
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
