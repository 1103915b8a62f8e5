//! Processes of a fleet on one readiness loop.
//!
//! [`EntryProcess`] carries out the effects of `camphordale-entry`, [`ControlProcess`] those of
//! `camphordale-fleet`. How callers, targets and operators speak is behind [`ProtocolAdapter`], so that one
//! deployment's names stay outside. Start with [`run`], then [`EventLoop`].
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
    OrderRequest,
    ProtocolAdapter,
    TargetFields, //
};
pub use camphordale_clock::Clock;
pub use client_connection::{
    ClientConnection,
    ExpectedResponse,
    Progress, //
};
pub use control_process::ControlProcess;
pub use entry_process::EntryProcess;
pub use event_loop::{
    ConnId,
    EventLoop,
    EventLoopStats,
    Exchange,
    ExchangeError,
    ExchangeId,
    IoEvent,
    ListenerKind, //
};
pub use log::{
    LogRateLimiter,
    LogSink, //
};
pub use metrics::{
    Metrics,
    MetricsError, //
};
pub use peer_connection::{
    PeerConnection, //
    PeerError,
};
pub use process::{
    ProcessError,
    run, //
};
pub use server_connection::{
    RequestError,
    ServerConnection, //
};
pub use settings::{
    ControlSettings,
    EntrySettings,
    Role,
    Settings,
    SettingsError,
    Tuning, //
    TuningFile,
};
