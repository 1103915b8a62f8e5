//! Router reducer of one entry VM: where a request goes, when it waits, when it is refused.
//!
//! Start with [`Event`] and [`Effect`], then `Router::step`.

mod types;

pub use types::{
    Attempt, Effect, Event, Origin, RecordResult, RemoteHome, Request, Send, VmAddress,
};
