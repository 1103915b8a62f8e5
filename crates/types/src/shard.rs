//! Shards, the unit of ownership.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ServiceName, ShardIndex};

/// One shard of one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardRef {
    /// The service.
    pub service: ServiceName,
    /// The shard's index within the service.
    pub index: ShardIndex,
}

impl ShardRef {
    /// Returns the reference to shard `index` of `service`.
    pub fn new(service: &str, index: ShardIndex) -> Self {
        ShardRef {
            service: service.into(),
            index,
        }
    }
}

impl fmt::Display for ShardRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}
