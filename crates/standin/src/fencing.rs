//! Lease and token rules of a target.

use std::{
    collections::HashMap,
    time::Duration, //
};

use camphordale_types::Token;

use crate::protocol::Grant;

/// Part of a lease that is given up for clock drift: a tenth.
const DRIFT_SHARE: u32 = 10;

/// Why a request may not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// The lease has run out.
    #[error("the lease has run out")]
    NoLease,
    /// The target does not own the shard.
    #[error("no grant for shard {0}")]
    NoGrant(Box<str>),
    /// A higher token was seen before.
    #[error("token {token} is lower than {highest}")]
    Stale {
        /// Token of the request.
        token: Token,
        /// Highest token seen for the shard.
        highest: Token,
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
/// use camphordale_standin::{Denied, Fence, Grant};
/// use camphordale_types::Token;
///
/// let token = Token { term: 4, epoch: 2, seq: 31 };
/// let mut fence = Fence::default();
/// fence.renewed(Duration::ZERO, Duration::from_millis(600));
/// fence.replace(1, &[Grant { service: "catalogue".into(), shard: 4, token }]);
/// let keyed = Some(("catalogue/4", token));
/// assert_eq!(fence.check(Duration::from_millis(539), keyed), Ok(()));
/// assert_eq!(fence.check(Duration::from_millis(540), keyed), Err(Denied::NoLease));
/// ```
#[derive(Debug, Default)]
pub struct Fence {
    lease_until: Duration,
    grants_version: u64,
    /// Whether the grants are those of a session.
    listed: bool,
    shards: HashMap<Box<str>, Shard>,
}

#[derive(Debug, Default)]
struct Shard {
    granted: bool,
    highest: Token,
}

impl Fence {
    /// Extends the lease by an answer to a renewal that was sent at `sent`.
    pub fn renewed(&mut self, sent: Duration, lease: Duration) {
        let until = sent + lease - lease / DRIFT_SHARE;
        self.lease_until = self.lease_until.max(until);
    }

    /// Replaces the grants. Tokens seen before are kept, because a shard that comes back must
    /// not accept an earlier sender.
    pub fn replace(&mut self, version: u64, grants: &[Grant]) {
        self.grants_version = version;
        self.listed = true;
        for shard in self.shards.values_mut() {
            shard.granted = false;
        }
        for grant in grants {
            let name = format!("{}/{}", grant.service, grant.shard);
            let shard = self.shards.entry(name.into()).or_default();
            shard.granted = true;
            shard.highest = shard.highest.max(grant.token);
        }
    }

    /// Drops the lease and all grants, because the session is gone.
    pub fn forget(&mut self) {
        self.lease_until = Duration::ZERO;
        self.replace(0, &[]);
        self.listed = false;
    }

    /// Decides whether a request may run or commit now, and raises the highest token seen.
    /// `keyed` is the shard and token of a request with a key.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the request fails.
    pub fn check(&mut self, now: Duration, keyed: Option<(&str, Token)>) -> Result<(), Denied> {
        let mut result = Ok(());
        if let Some((name, token)) = keyed {
            result = self.check_shard(name, token);
        }
        if now >= self.lease_until {
            return Err(Denied::NoLease);
        }
        result
    }

    fn check_shard(&mut self, name: &str, token: Token) -> Result<(), Denied> {
        // A token made after the grants were read belongs to an assignment that they do not show
        // yet. Waiting for the next renewal would cost the shard up to `renew_ms`.
        let newer = self.listed && token.seq > self.grants_version;
        let shard = self.shards.entry(name.into()).or_default();
        if token < shard.highest {
            let highest = shard.highest;
            return Err(Denied::Stale { token, highest });
        }
        shard.highest = token;
        if shard.granted || newer {
            Ok(())
        } else {
            Err(Denied::NoGrant(name.into()))
        }
    }

    /// Returns the version of the grants.
    pub fn version(&self) -> u64 {
        self.grants_version
    }

    /// Returns the names of the shards that the target owns, `service/index`.
    pub fn shards(&self) -> Vec<Box<str>> {
        let granted = self.shards.iter().filter(|(_, shard)| shard.granted);
        granted.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the time at which the lease runs out.
    pub fn lease_until(&self) -> Duration {
        self.lease_until
    }
}
