//! Home domains of shards, run-length encoded as ranges of adjacent shards with equal homes.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_types::{
    Bundle,
    DomainName,
    KeySource,
    Service,
    ServiceName,
    ShardIndex, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Home,
    HomeChange,
    chain::ServingBound, //
};

/// Maximum number of changes of domain lease or deadline that are kept per service; older ones are
/// merged.
const MAX_LEASE_LIMITS: usize = 64;
/// Maximum number of shards of a service, including those of hot keys.
const MAX_SHARDS: ShardIndex = 65_536 + 64;

/// A range of adjacent shards with the same home. It starts at the end of the previous range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRange {
    /// Exclusive end of the range.
    pub end: ShardIndex,
    /// Home of the shards in the range, if they have one.
    pub home: Option<Home>,
}

/// The homes of one service's shards. Shards after the last range have no home yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRanges(Vec<HomeRange>);

impl HomeRanges {
    /// Returns the home of shard `index`.
    pub fn get(&self, index: ShardIndex) -> Option<&Home> {
        let position = self.0.partition_point(|range| range.end <= index);
        self.0.get(position)?.home.as_ref()
    }

    /// Returns the ranges in order.
    pub fn ranges(&self) -> &[HomeRange] {
        &self.0
    }

    /// Returns all shards that have a home, with their homes.
    pub fn iter(&self) -> impl Iterator<Item = (ShardIndex, &Home)> {
        let mut start = 0;
        self.0.iter().flat_map(move |range| {
            let shards = start..range.end;
            start = range.end;
            let home = range.home.as_ref();
            shards.filter_map(move |index| home.map(|home| (index, home)))
        })
    }

    /// Returns whether the ranges are in order, none is empty, and none ends after the highest
    /// possible shard.
    pub(crate) fn is_valid(&self) -> bool {
        let ends = self.0.iter().map(|range| range.end);
        std::iter::once(0)
            .chain(ends)
            .is_sorted_by(|a, b| a < b && *b <= MAX_SHARDS)
    }

    /// Replaces the homes of some shards.
    fn replace(&mut self, changed: BTreeMap<ShardIndex, Home>) {
        let mut result = Vec::new();
        let mut start = 0;
        let old = std::mem::take(&mut self.0);
        let mut changed = changed.into_iter().peekable();
        for range in old {
            while let Some((index, home)) = changed.next_if(|(index, _)| *index < range.end) {
                push_range(&mut result, start, index, range.home.clone());
                push_range(&mut result, index, index + 1, Some(home));
                start = index + 1;
            }
            push_range(&mut result, start, range.end, range.home);
            start = range.end;
        }
        for (index, home) in changed {
            push_range(&mut result, start, index, None);
            push_range(&mut result, index, index + 1, Some(home));
            start = index + 1;
        }
        self.0 = result;
    }
}

/// Appends the range `start..end`, merged with the last range if their homes are equal.
fn push_range(ranges: &mut Vec<HomeRange>, start: ShardIndex, end: ShardIndex, home: Option<Home>) {
    if start >= end {
        return;
    }
    match ranges.last_mut() {
        Some(last) if last.home == home => last.end = end,
        _ => ranges.push(HomeRange { end, home }),
    }
}

/// State of a service that was part of any accepted bundle.
///
/// It is kept after the service is removed from the bundle. A partitioned domain may still serve
/// the shards, so a service that is added again must have the same shards and homes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServiceHistory {
    shards: u32,
    key: KeySource,
    lease_limits: Vec<LeaseLimit>,
    pub(crate) homes: HomeRanges,
    /// Control log index of the last change of `homes`.
    pub(crate) homes_index: u64,
}

/// Domain lease and deadline since a bundle version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseLimit {
    version: u64,
    lease: Option<Duration>,
    deadline: Duration,
}

/// The histories of all services that were part of any accepted bundle.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServiceHistories(BTreeMap<ServiceName, ServiceHistory>);

impl ServiceHistories {
    pub(crate) fn get(&self, service: &str) -> Option<&ServiceHistory> {
        self.0.get(service)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ServiceHistory)> {
        self.0.iter()
    }

    /// Refuses a bundle that changes the mapping from keys to shards of a known service.
    ///
    /// VMs do not put a bundle in force at the same time. With two mappings in force, a key could
    /// belong to two shards with different owners.
    pub(crate) fn check(&self, bundle: &Bundle) -> Result<(), Box<str>> {
        let differs = |service: &&Service| {
            self.get(&service.name)
                .is_some_and(|known| (known.shards, &known.key) != (service.shards, &service.key))
        };
        match bundle.services.iter().find(differs) {
            None => Ok(()),
            Some(service) => Err(format!(
                "service {}: shards and key cannot change; give the service a new name",
                service.name
            )
            .into()),
        }
    }

    /// Records the services of an accepted bundle.
    pub(crate) fn record_bundle(&mut self, bundle: &Bundle) {
        for service in &bundle.services {
            let history = self
                .0
                .entry(service.name.clone())
                .or_insert_with(|| ServiceHistory {
                    shards: service.shards,
                    key: service.key.clone(),
                    lease_limits: Vec::new(),
                    homes: HomeRanges::default(),
                    homes_index: 0,
                });
            history.record_limit(bundle.version, service);
        }
    }

    /// Applies the changes whose `expected_since` matches; returns whether any was applied.
    pub(crate) fn apply_changes(
        &mut self,
        index: u64,
        service: &Service,
        changes: &[HomeChange],
    ) -> bool {
        let Some(history) = self.0.get_mut(&service.name) else {
            return false;
        };
        let mut changed = BTreeMap::new();
        for change in changes {
            if change.index >= service.shard_count() {
                continue;
            }
            let home = changed
                .get(&change.index)
                .or(history.homes.get(change.index));
            if let Some(home) = changed_home(index, home, change) {
                changed.insert(change.index, home);
            }
        }
        let any = !changed.is_empty();
        if any {
            history.homes.replace(changed);
            history.homes_index = index;
        }
        any
    }

    /// Returns the longest domain lease and deadline that a domain may follow with bundle `version`
    /// or a later one in force.
    pub(crate) fn serving_bound(&self, service: &str, version: u64) -> Option<ServingBound> {
        let limits = &self.get(service)?.lease_limits;
        let first = limits.partition_point(|limit| limit.version <= version);
        let possible = &limits[first.saturating_sub(1)..];
        let leases: Option<Vec<Duration>> = possible.iter().map(|limit| limit.lease).collect();
        Some(ServingBound {
            lease: leases.and_then(|leases| leases.into_iter().max()),
            // A request may have started under the deadline of any earlier bundle.
            deadline: limits.iter().map(|limit| limit.deadline).max()?,
        })
    }

    pub(crate) fn is_valid(&self) -> bool {
        self.0.values().all(|history| history.homes.is_valid())
    }
}

impl ServiceHistory {
    fn record_limit(&mut self, version: u64, service: &Service) {
        let limit = LeaseLimit {
            version,
            lease: service.domain_lease,
            deadline: service.deadline,
        };
        let same = |last: &LeaseLimit| (last.lease, last.deadline) == (limit.lease, limit.deadline);
        if !self.lease_limits.last().is_some_and(same) {
            self.lease_limits.push(limit);
        }
        if self.lease_limits.len() > MAX_LEASE_LIMITS {
            let first = self.lease_limits.remove(0);
            let second = &mut self.lease_limits[0];
            second.version = first.version;
            second.lease = first.lease.zip(second.lease).map(|(a, b)| a.max(b));
            second.deadline = second.deadline.max(first.deadline);
        }
    }
}

/// Returns the home of a shard after `change`, or `None` if the change does not apply.
fn changed_home(index: u64, home: Option<&Home>, change: &HomeChange) -> Option<Home> {
    if change.expected_since != home.map_or(0, |home| home.since) {
        return None;
    }
    let Some(home) = home else {
        return Some(new_home(&change.to, index, false));
    };
    let same_domain = change.to == home.domain;
    match (same_domain, change.immediate) {
        (true, _) if home.next.is_none() => None,
        // Cancelling a requested move sets a new `since`. Otherwise a delayed report that the shard
        // is parked could move it after its home has assigned it to a target again.
        (true, _) => Some(new_home(&home.domain, index, home.moved)),
        (false, true) => Some(new_home(&change.to, index, true)),
        (false, false) if home.next.as_ref() == Some(&change.to) => None,
        (false, false) => Some(Home {
            next: Some(change.to.clone()),
            ..home.clone()
        }),
    }
}

fn new_home(domain: &DomainName, since: u64, moved: bool) -> Home {
    Home {
        domain: domain.clone(),
        since,
        moved,
        next: None,
    }
}
