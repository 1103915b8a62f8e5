//! Evidence that certain requests crash the targets that execute them.

/// Identifies a request across retries of its caller and across entry VMs: a hash of everything
/// that determines how a target executes it.
pub type Fingerprint = u128;
