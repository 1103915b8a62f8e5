//! Types shared by all crates: ids, fencing tokens, digests, and the validated content of a
//! bundle.
//!
//! Start with [`Bundle`] and [`Service`], which define what is routed, then [`ShardRef`], the unit
//! of ownership, and [`Token`], the fencing token that orders the owners of a shard.

mod bundle;
mod digest;
mod ids;
mod outcome;
mod service;
mod shard;
mod target;
mod token;
mod vm;

pub use bundle::{Bundle, Operator, Operators};
pub use digest::{Digest, DigestError};
pub use ids::{
    DomainName, Incarnation, MemberId, OperatorName, RequestId, ServiceName, SessionId, ShardIndex,
    TargetId, TargetName, VmId,
};
pub use outcome::{NotRun, Refusal, Unknown};
pub use service::{KeySource, RetryPolicy, Route, Service, Side, Weights};
pub use shard::ShardRef;
pub use target::{LoadReport, TargetInfo, TargetSpec, TargetState};
pub use token::{Token, TokenError};
pub use vm::VmInfo;
