//! Names of the headers in `docs/protocols.md`, in lower case.

/// Id of a request to a target; echoed in the answer.
pub const REQUEST: &str = "camphordale-request";
/// Shard of a keyed request, `service/index`.
pub const SHARD: &str = "camphordale-shard";
/// Fencing token of a keyed request.
pub const TOKEN: &str = "camphordale-token";
/// Milliseconds left.
pub const DEADLINE: &str = "camphordale-deadline";
/// `not-run` or `unknown`.
pub const OUTCOME: &str = "camphordale-outcome";
/// Reason code of a refusal.
pub const REASON: &str = "camphordale-reason";
/// Name of the stand-in target that answered.
pub const TARGET: &str = "camphordale-target";
/// Names a piece of work that must not run twice.
pub const IDEMPOTENCY: &str = "idempotency-key";
/// Marker that the stand-in caller sends and the stand-in target echoes.
pub const MARKER: &str = "x-standin-marker";

/// Value of [`OUTCOME`] for a request that was not run.
pub const NOT_RUN: &str = "not-run";
/// Value of [`OUTCOME`] for a request that may have been run.
pub const UNKNOWN: &str = "unknown";
