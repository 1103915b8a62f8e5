//! Lower-case names of the headers in `docs/protocols.md`.

/// Id of a request to a target; echoed in the response.
pub const REQUEST: &str = "camphordale-request";
/// Shard of a keyed request, `service/index`.
pub const SHARD: &str = "camphordale-shard";
/// Fencing token of a keyed request.
pub const TOKEN: &str = "camphordale-token";
/// Time left until the deadline, in milliseconds.
pub const DEADLINE: &str = "camphordale-deadline";
/// Whether a failed request may have been executed: `not-run` or `unknown`.
pub const OUTCOME: &str = "camphordale-outcome";
/// Reason code of a refusal.
pub const REASON: &str = "camphordale-reason";
/// Name of the stand-in target that responded.
pub const TARGET: &str = "camphordale-target";
/// Idempotency key: requests with the same key must be executed at most once.
pub const IDEMPOTENCY: &str = "idempotency-key";
/// Marker that the stand-in caller sends and the stand-in target echoes.
pub const MARKER: &str = "x-standin-marker";

/// Value of [`OUTCOME`] for a request that was not executed.
pub const NOT_RUN: &str = "not-run";
/// Value of [`OUTCOME`] for a request that may have been executed.
pub const UNKNOWN: &str = "unknown";
