//! Raft as a reducer without I/O: `(state, event, now) -> effects`.
//!
//! One implementation serves the durable control group and the volatile domain groups. The
//! caller carries out the effects in order; see [`Effect`] for the contract. Start with
//! [`Raft::step`].
//!
//! | module | responsibility |
//! |---|---|
//! | `raft` | state of a member, dispatch of events |
//! | `log` | entries, the snapshot below them and the members they name |
//! | `election` | pre-vote, votes, changes of role |
//! | `follower` | appends and snapshots from the leader |
//! | `replication` | the leader's view of the followers, commit by counting |
//! | `heartbeat` | heartbeat rounds, the leader's lease, linearizable reads |
//! | `membership` | learners, promotion, removal |

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
