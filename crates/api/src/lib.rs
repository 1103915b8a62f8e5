//! Request and response bodies of the operator API, shared by the daemon and the command-line
//! tool.
//!
//! Start with [`Status`], the response to `GET /v1/status`, and [`SignedBundleBody`], the body of
//! `POST /v1/bundle`. Every error response carries an [`ErrorBody`].
//!
//! | request | body | response |
//! |---|---|---|
//! | `GET /v1/status` | | [`Status`] |
//! | `GET /v1/bundle[?version=N]` | | [`SignedBundleBody`] |
//! | `POST /v1/bundle` | [`SignedBundleBody`] | [`SubmitReply`] |
//! | `GET /v1/vms` | | list of [`VmBody`] |
//! | `GET /v1/targets` | | list of [`TargetBody`] |
//! | `POST /v1/targets/{id}/drain` | [`ActionRequest`] | [`ActionReply`] |
//! | `GET /v1/shards?service=S` | | list of [`ShardBody`] |
//! | `POST /v1/shards/move` | [`MoveRequest`] | [`ActionReply`] |
//! | `POST /v1/domains/{name}/lost` | [`ActionRequest`] | [`ActionReply`] |
//! | `POST /v1/domains/{name}/return` | [`ActionRequest`] | [`ActionReply`] |
//! | `GET /v1/explain?service=S&key=K` | | [`Explanation`] |
//! | `GET /v1/audit?from=N` | | list of [`AuditBody`] |
//! | `GET /v1/members` | | [`MembersBody`] |
//! | `POST /v1/members/add`, `POST /v1/members/remove` | [`MemberRequest`] | [`ActionReply`] |

mod action;
mod audit;
mod bundle;
mod hex;
mod ownership;
mod status;

pub use action::{
    ActionReply, ActionRequest, ErrorBody, MemberBody, MemberRequest, MembersBody, MoveRequest,
};
pub use audit::AuditBody;
pub use bundle::{BodyError, BundleParts, SignatureBody, SignedBundleBody, SubmitReply};
pub use hex::Hex;
pub use ownership::{Explanation, ShardBody, TargetBody};
pub use status::{Counters, LeaderBody, LeaseBody, RolesBody, Status, VmBody, VmVersion};
