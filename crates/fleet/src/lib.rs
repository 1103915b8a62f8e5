//! Control of a fleet of entry VMs, as reducers without I/O.
//!
//! One [`Control`] runs on each control VM. It replicates a [`State`] with `camphordale-raft`:
//! the [`Routing`] that operators send, the directory of [`Target`]s that announce themselves,
//! and the [`KeyMap`] of each service whose targets own keys. The leader grants keys by calls to
//! the targets and streams the [`View`] to the entry VMs.
//!
//! Start with [`Control::step`], then [`State::apply`].
//!
//! | module | responsibility |
//! |---|---|
//! | `routing` | routes, services and limits; checks; changes |
//! | `registry` | announcements of targets |
//! | `keys` | ranges of keys and their holders |
//! | `state` | the replicated state machine |
//! | `message` | messages between VMs |
//! | `control` | the reducer of a control VM |
//! | `key_leases` | the leader's view of the holds that targets may have |
//! | `balance` | which ranges should move |

pub mod balance;
mod control;
pub mod key_leases;
mod keys;
mod message;
mod registry;
mod routing;
mod state;

pub use control::{
    Call,
    CallToken, //
    Config,
    Control,
    Effect,
    Event,
    LogEvent,
    Reply,
};
pub use key_leases::{
    Answer,
    FencingToken,
    Order, //
    OrderId,
};
pub use keys::{
    Handover,
    Key,
    KeyMap,
    KeyRange, //
};
pub use message::{
    KeyLoad,
    Member,
    PeerMessage,
    Share,
    TargetTimes, //
};
pub use registry::{
    Address,
    Announcement,
    Holder,
    Incarnation,
    Target,
    TargetId,
    TargetState, //
};
pub use routing::{
    Change,
    ConfigResource,
    Digest,
    Domain,
    Invalid,
    Limits,
    RetryPolicy,
    Route,
    RouteName,
    Routing,
    Service,
    ServiceName,
    Version, //
    WeightedService,
};
pub use state::{
    Accepted,
    Command,
    Outcome,
    State,
    View, //
};
