//! Lease and token rules of a target.

use std::{
    collections::HashMap,
    time::Duration, //
};

use camphordale_types::Token;

use crate::protocol::Grant;

/// Part of a lease that is given up for clock drift: a tenth.
const CLOCK_DRIFT_DIVISOR: u32 = 10;

/// Why a request may not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The lease has run out.
    #[error("the lease has run out")]
    LeaseExpired,
    /// The target does not own the shard.
    #[error("no grant for shard {0}")]
    NotGranted(Box<str>),
    /// A higher token was seen before.
    #[error("token {token} is lower than {highest_token}")]
    StaleToken {
        /// Token of the request.
        token: Token,
        /// Highest token seen for the shard.
        highest_token: Token,
    },
}

/// What a target knows of its lease and shards.
///
/// `now` and `sent` are times since the process started, from a monotonic clock.
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
    /// Whether the grants are those of a session.
    in_session: bool,
    shards: HashMap<Box<str>, ShardState>,
}

#[derive(Debug, Default)]
struct ShardState {
    granted: bool,
    highest_token: Token,
}

impl FencingState {
    /// Extends the lease by an answer to a renewal that was sent at `sent`.
    pub fn extend_lease(&mut self, sent: Duration, lease: Duration) {
        let expiry = sent + lease - lease / CLOCK_DRIFT_DIVISOR;
        self.lease_expiry = self.lease_expiry.max(expiry);
    }

    /// Replaces the grants. Tokens seen before are kept, because a shard that comes back must
    /// not accept an earlier sender.
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

    /// Drops the lease and all grants, because the session is gone.
    pub fn clear_session(&mut self) {
        self.lease_expiry = Duration::ZERO;
        self.replace_grants(0, &[]);
        self.in_session = false;
    }

    /// Decides whether a request may run or commit now, and raises the highest token seen.
    /// `keyed` is the shard and token of a request with a key.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the request fails.
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
        // A token made after the grants were read belongs to an assignment that they do not show
        // yet. Waiting for the next renewal would cost the shard up to `renew_ms`.
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

    /// Returns the names of the shards that the target owns, `service/index`.
    pub fn granted_shards(&self) -> Vec<Box<str>> {
        let granted = self.shards.iter().filter(|(_, shard)| shard.granted);
        granted.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the time at which the lease runs out.
    pub fn lease_expiry(&self) -> Duration {
        self.lease_expiry
    }
}
