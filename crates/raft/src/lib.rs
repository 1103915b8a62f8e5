//! The Raft consensus algorithm as a reducer without I/O: `(state, event, now) -> effects`.
//!
//! The durable control group and the in-memory domain groups use the same implementation. The
//! caller carries out the effects in order; see [`Effect`] for the contract. Start with
//! [`Raft::step`].
//!
//! | module | responsibility |
//! |---|---|
//! | `raft` | state of a member, dispatch of events |
//! | `log` | snapshot, entries and memberships in memory |
//! | `election` | pre-votes, votes, role changes |
//! | `follower` | entries and snapshots from the leader |
//! | `replication` | progress of each follower, advance of the commit index |
//! | `heartbeat` | heartbeat rounds, leader lease, linearizable reads |
//! | `membership` | membership changes by one member at a time |

mod election;
mod follower;
mod heartbeat;
mod log;
mod membership;
mod raft;
mod replication;
mod types;

pub use raft::Raft;
pub use types::{
    AppendReply, Config, DurableWrite, Effect, Entry, Event, HardState, MemberId, Members,
    MembershipChange, Message, Payload, RecoveredState, Role, Snapshot,
};
