//! Entry and control processes on a single-threaded event loop.
//!
//! [`EntryProcess`] applies the effects of `camphordale-entry`, [`ControlProcess`] those of
//! `camphordale-fleet`. A [`ProtocolAdapter`] translates the requests and responses of callers,
//! targets and operators, so that this crate does not depend on the names of one deployment. Start
//! with [`run`], then [`EventLoop`].
//!
//! | module | responsibility |
//! |---|---|
//! | `event_loop` | sockets, timers and connection pools |
//! | `server_connection`, `client_connection` | HTTP state machines, without I/O |
//! | `head_end` | the end of an HTTP head in input that comes in parts |
//! | `held_body` | complete bodies of requests, counted and shared |
//! | `peer_connection` | state machine between VMs, without I/O |
//! | `entry_process`, `control_process` | events to the reducers, effects from them |
//! | `target_answer` | what a target's response says about the execution of its request |
//! | `adapter` | interface to the protocol of a deployment |
//! | `settings` | validated settings |
//! | `log`, `metrics` | structured logs and Prometheus metrics |
//! | `turn` | time that the turns of a loop take, by kind of work |

mod adapter;
mod client_connection;
mod control_process;
mod entry_process;
mod event_loop;
mod fingerprint;
mod head_end;
mod held_body;
mod log;
mod metrics;
mod peer_connection;
mod process;
mod server_connection;
mod settings;
mod target_answer;
mod turn;

pub use adapter::{
    CallKind,
    CallerFields,
    ExecutionClaim,
    OrderRequest,
    ProtocolAdapter,
    StatedField,
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
    ConnectionUse,
    EventLoop,
    EventLoopStats,
    Exchange,
    ExchangeError,
    ExchangeId,
    FailureCause,
    IdleRetention,
    IoEvent,
    ListenerKind, //
};
pub use fingerprint::fingerprint;
pub use held_body::HeldBody;
pub use log::{
    LogRateLimiter,
    LogSink, //
};
pub use metrics::{
    Metrics,
    MetricsError, //
};
pub use peer_connection::{
    PeerConnection,
    PeerError, //
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
    Tuning,
    TuningFile, //
};
