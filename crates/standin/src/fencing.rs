//! Lease and fencing-token checks of a target.

use std::{
    collections::HashMap,
    time::Duration, //
};

use camphordale_types::Token;

use crate::protocol::Grant;

/// Each lease is shortened by a tenth of its length to allow for clock drift.
const CLOCK_DRIFT_DIVISOR: u32 = 10;

/// Reason for refusing a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The lease has expired.
    #[error("the lease has run out")]
    LeaseExpired,
    /// The target has no grant for the shard.
    #[error("no grant for shard {0}")]
    NotGranted(Box<str>),
    /// A higher token of the shard was seen before.
    #[error("token {token} is lower than {highest_token}")]
    StaleToken {
        /// Token of the request.
        token: Token,
        /// Highest token seen for the shard.
        highest_token: Token,
    },
}

/// Lease, grants and highest fencing tokens of a target.
///
/// Points in time are monotonic, measured from the start of the process.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use camphordale_standin::{AdmissionError, FencingState, Grant};
/// use camphordale_types::Token;
///
/// let token = Token { term: 4, epoch: 2, seq: 31 };
/// let mut fencing = FencingState::default();
/// fencing.extend_lease(Duration::ZERO, Duration::from_millis(600));
/// fencing.replace_grants(1, &[Grant { service: "catalogue".into(), shard: 4, token }]);
/// let keyed = Some(("catalogue/4", token));
/// assert_eq!(fencing.check(Duration::from_millis(539), keyed), Ok(()));
/// assert_eq!(fencing.check(Duration::from_millis(540), keyed), Err(AdmissionError::LeaseExpired));
/// ```
#[derive(Debug, Default)]
pub struct FencingState {
    lease_expiry: Duration,
    grants_version: u64,
    /// Whether the grants come from an open session.
    in_session: bool,
    shards: HashMap<Box<str>, ShardState>,
}

#[derive(Debug, Default)]
struct ShardState {
    granted: bool,
    highest_token: Token,
}

impl FencingState {
    /// Extends the lease after a successful renewal that was sent at `sent`.
    pub fn extend_lease(&mut self, sent: Duration, lease: Duration) {
        let expiry = sent + lease - lease / CLOCK_DRIFT_DIVISOR;
        self.lease_expiry = self.lease_expiry.max(expiry);
    }

    /// Replaces the grants. The highest tokens seen are kept, so that requests of earlier senders
    /// are still refused when a shard is granted again.
    pub fn replace_grants(&mut self, version: u64, grants: &[Grant]) {
        self.grants_version = version;
        self.in_session = true;
        for shard in self.shards.values_mut() {
            shard.granted = false;
        }
        for grant in grants {
            let name = format!("{}/{}", grant.service, grant.shard);
            let shard = self.shards.entry(name.into()).or_default();
            shard.granted = true;
            shard.highest_token = shard.highest_token.max(grant.token);
        }
    }

    /// Drops the lease and all grants after the session was lost.
    pub fn clear_session(&mut self) {
        self.lease_expiry = Duration::ZERO;
        self.replace_grants(0, &[]);
        self.in_session = false;
    }

    /// Checks whether a request may start or commit at `now`, and raises the highest token seen
    /// for its shard. `keyed` is the shard and token of a request with a key.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is refused.
    pub fn check(
        &mut self,
        now: Duration,
        keyed: Option<(&str, Token)>,
    ) -> Result<(), AdmissionError> {
        let mut result = Ok(());
        if let Some((name, token)) = keyed {
            result = self.check_shard(name, token);
        }
        if now >= self.lease_expiry {
            return Err(AdmissionError::LeaseExpired);
        }
        result
    }

    fn check_shard(&mut self, name: &str, token: Token) -> Result<(), AdmissionError> {
        // A token newer than the grants belongs to an assignment that they do not contain yet.
        // Refusing it until the next renewal would make the shard unavailable for up to
        // `renew_ms`.
        let newer = self.in_session && token.seq > self.grants_version;
        let shard = self.shards.entry(name.into()).or_default();
        if token < shard.highest_token {
            let highest_token = shard.highest_token;
            return Err(AdmissionError::StaleToken {
                token,
                highest_token,
            });
        }
        shard.highest_token = token;
        if shard.granted || newer {
            Ok(())
        } else {
            Err(AdmissionError::NotGranted(name.into()))
        }
    }

    /// Returns the version of the grants.
    pub fn grants_version(&self) -> u64 {
        self.grants_version
    }

    /// Returns the names of the granted shards, `service/index`.
    pub fn granted_shards(&self) -> Vec<Box<str>> {
        let granted = self.shards.iter().filter(|(_, shard)| shard.granted);
        granted.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the time at which the lease expires.
    pub fn lease_expiry(&self) -> Duration {
        self.lease_expiry
    }
}
