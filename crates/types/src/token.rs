//! Fencing tokens.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Fencing token that orders the successive owners of one shard. A target that checks tokens
/// rejects a request whose token is lower than the highest it has seen for the shard.
///
/// # Examples
///
/// ```
/// use camphordale_types::Token;
///
/// let old: Token = "4.2.17".parse()?;
/// let new = Token { term: 4, epoch: 3, seq: 1 };
/// assert!(new > old);
/// assert_eq!(new.to_string(), "4.3.1");
/// # Ok::<(), camphordale_types::TokenError>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Token {
    /// Control log index of the domain group's formation or of the shard's last change of home,
    /// whichever is later.
    pub term: u64,
    /// Raft term of the domain group.
    pub epoch: u64,
    /// Log index of the assignment in the domain group.
    pub seq: u64,
}

/// Error returned when a fencing token cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("fencing token {0:?} is not of the form TERM.EPOCH.SEQ")]
pub struct TokenError(Box<str>);

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.term, self.epoch, self.seq)
    }
}

impl FromStr for Token {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || TokenError(text.into());
        let mut parts = text.split('.').map(str::parse::<u64>);
        let mut next = || parts.next().and_then(Result::ok).ok_or_else(error);
        let token = Token {
            term: next()?,
            epoch: next()?,
            seq: next()?,
        };
        match parts.next() {
            None => Ok(token),
            Some(_) => Err(error()),
        }
    }
}
