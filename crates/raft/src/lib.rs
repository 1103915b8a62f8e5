//! Raft as a reducer without I/O: `(state, event, now) -> effects`.
//!
//! One implementation serves the durable control group and the volatile domain groups. The
//! caller carries out the effects in order; see [`Effect`] for the contract. Start with
//! `Raft::step`.

mod types;

pub use types::{
    AppendReply, Change, Config, Effect, Entry, Event, HardState, MemberId, Members, Message,
    Payload, Persist, Recovered, Role, Snapshot,
};
