//! Services as a bundle describes them.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{ServiceName, ShardIndex};

/// Seed of the hash that decides the order in which shards migrate to the new system.
const SPLIT_SEED: u64 = 0x73_70_6c_69_74;

/// A validated service of a bundle.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique in the bundle.
    pub name: ServiceName,
    /// Which requests belong to the service.
    pub route: Route,
    /// Where the key of a request is read from.
    pub key: KeySource,
    /// Number of hashed shards; 0 for a service without keys.
    pub shards: u32,
    /// Keys that each have a shard of their own, numbered from `shards` on.
    pub hot_keys: Vec<Box<str>>,
    /// Which requests may be retried.
    pub repeat: RetryPolicy,
    /// Time limit of a request.
    pub deadline: Duration,
    /// How long a partitioned domain may keep serving the service's shards; `None` means without
    /// limit.
    pub domain_lease: Option<Duration>,
    /// Retention period of an idempotency record.
    pub record_life: Duration,
    /// Percentage of shards (or of requests, for a service without keys) that belong to the new
    /// system.
    pub new_percent: u8,
    /// Maximum number of requests that one target runs concurrently.
    pub slots: u32,
    /// Maximum number of connections to one target, from all VMs together.
    pub connections: u32,
    /// Maximum number of requests queued for one target.
    pub queue: u32,
    /// Time over which the share of a new target ramps up to its full size.
    pub warm_up: Duration,
    /// Weights of the costs in placement.
    pub weights: Weights,
}

/// Selects the requests of a service by path prefix and, when set, host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix, beginning with `/`; it matches whole path segments.
    pub prefix: Box<str>,
    /// Host name without port.
    pub host: Option<Box<str>>,
}

/// Where the key of a request is read from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeySource {
    /// The service has no keys; any target of the domain serves a request.
    None,
    /// A header.
    Header(Box<str>),
    /// A path segment, counted from 0.
    Segment(u32),
    /// A parameter of the query string.
    Query(Box<str>),
}

/// Which requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// Requests with the methods GET, HEAD and OPTIONS.
    ByMethod,
    /// All requests.
    Always,
    /// No requests.
    Never,
}

impl RetryPolicy {
    /// Returns whether a request with `method` may be retried.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_types::RetryPolicy;
    ///
    /// assert!(RetryPolicy::ByMethod.allows("GET"));
    /// assert!(!RetryPolicy::ByMethod.allows("POST"));
    /// assert!(!RetryPolicy::Never.allows("GET"));
    /// ```
    pub fn allows(self, method: &str) -> bool {
        match self {
            RetryPolicy::ByMethod => matches!(method, "GET" | "HEAD" | "OPTIONS"),
            RetryPolicy::Always => true,
            RetryPolicy::Never => false,
        }
    }
}

/// The system that serves a shard or request during a migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// The system being replaced.
    Old,
    /// The system that replaces it.
    New,
}

/// Relative weights of the costs in placement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of imbalance across targets.
    pub imbalance: f64,
    /// Weight of each moved shard.
    pub churn: f64,
    /// Weight of time in which a shard has no owner.
    pub unavailable: f64,
}

impl Service {
    /// Returns whether requests of the service carry a key.
    pub fn is_keyed(&self) -> bool {
        self.key != KeySource::None
    }

    /// Returns the number of shards, hot keys included.
    pub fn shard_count(&self) -> u32 {
        self.shards + self.hot_keys.len() as u32
    }

    /// Returns the shard of `key`.
    ///
    /// A hot key has a shard of its own; every other key hashes to one of the first `shards`.
    /// The service must be keyed, so that `shards` is not 0.
    pub fn shard_of(&self, key: &str) -> ShardIndex {
        if let Some(i) = self.hot_keys.iter().position(|hot| &**hot == key) {
            return self.shards + i as u32;
        }
        self.hashed_shard(key)
    }

    /// Returns the shard that `key` hashes to, whether or not it is a hot key.
    pub fn hashed_shard(&self, key: &str) -> ShardIndex {
        (xxh3_64(key.as_bytes()) % u64::from(self.shards.max(1))) as u32
    }

    /// Returns the shards whose set of keys differs from `before`, an earlier version of the
    /// service with the same number of hashed shards.
    ///
    /// Such a shard must have no owner while the change takes effect. Otherwise a key that moves
    /// from one shard to another would have two owners.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use camphordale_types::{KeySource, RetryPolicy, Route, Service, Weights};
    /// # let before = Service {
    /// #     name: "berths".into(),
    /// #     route: Route { prefix: "/berths".into(), host: None },
    /// #     key: KeySource::Segment(1),
    /// #     shards: 8,
    /// #     hot_keys: Vec::new(),
    /// #     repeat: RetryPolicy::ByMethod,
    /// #     deadline: Duration::from_secs(1),
    /// #     domain_lease: None,
    /// #     record_life: Duration::from_secs(60),
    /// #     new_percent: 0,
    /// #     slots: 6,
    /// #     connections: 60,
    /// #     queue: 16,
    /// #     warm_up: Duration::ZERO,
    /// #     weights: Weights { imbalance: 1.0, churn: 1.0, unavailable: 1.0 },
    /// # };
    /// let mut service = before.clone();
    /// service.hot_keys.push("berth-7".into());
    /// let remapped: Vec<u32> = service.remapped_shards(&before).into_iter().collect();
    /// assert_eq!(remapped, [service.hashed_shard("berth-7"), 8]);
    /// ```
    pub fn remapped_shards(&self, before: &Service) -> BTreeSet<ShardIndex> {
        let mut remapped = BTreeSet::new();
        for at in 0..self.hot_keys.len().max(before.hot_keys.len()) {
            let keys = [self.hot_keys.get(at), before.hot_keys.get(at)];
            if keys[0] == keys[1] {
                continue;
            }
            remapped.insert(self.shards + at as u32);
            for key in keys.into_iter().flatten() {
                remapped.insert(self.hashed_shard(key));
            }
        }
        remapped
    }

    /// Returns the side that shard `index` belongs to.
    ///
    /// Each shard compares a fixed hash with the percentage, so raising the percentage only adds
    /// shards to the new side. A hot key stays on the side of the shard it hashes to.
    pub fn side_of(&self, index: ShardIndex) -> Side {
        let base = match self.hot_keys.get(index.wrapping_sub(self.shards) as usize) {
            Some(key) => self.hashed_shard(key),
            None => index,
        };
        self.side_by_hash(xxh3_64_with_seed(&base.to_le_bytes(), SPLIT_SEED))
    }

    /// Returns the side of a request without a key, chosen by `hash`.
    pub fn side_by_hash(&self, hash: u64) -> Side {
        if hash % 100 < u64::from(self.new_percent) {
            Side::New
        } else {
            Side::Old
        }
    }
}
