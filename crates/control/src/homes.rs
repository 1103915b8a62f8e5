//! Home domains of shards, kept as runs of shards with equal homes.

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

/// Changes of lease or deadline that are kept for a service; older ones are merged.
const MAX_LIMITS: usize = 64;
/// Shards that a service can have, those of hot keys included.
const MAX_SHARDS: ShardIndex = 65_536 + 64;

/// Adjacent shards with the same home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRange {
    /// The first shard after the run.
    pub end: ShardIndex,
    /// Their home, if they have one.
    pub home: Option<Home>,
}

/// The homes of one service's shards. Shards after the last run have no home yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRanges(Vec<HomeRange>);

impl HomeRanges {
    /// Returns the home of shard `index`.
    pub fn get(&self, index: ShardIndex) -> Option<&Home> {
        let at = self.0.partition_point(|run| run.end <= index);
        self.0.get(at)?.home.as_ref()
    }

    /// Returns the runs in order.
    pub fn ranges(&self) -> &[HomeRange] {
        &self.0
    }

    /// Returns all shards that have a home.
    pub fn iter(&self) -> impl Iterator<Item = (ShardIndex, &Home)> {
        let mut start = 0;
        self.0.iter().flat_map(move |run| {
            let range = start..run.end;
            start = run.end;
            let home = run.home.as_ref();
            range.filter_map(move |index| home.map(|home| (index, home)))
        })
    }

    /// Tells whether the runs are in order, none is empty, and they do not end after the last
    /// possible shard.
    pub(crate) fn is_valid(&self) -> bool {
        let ends = self.0.iter().map(|run| run.end);
        std::iter::once(0)
            .chain(ends)
            .is_sorted_by(|a, b| a < b && *b <= MAX_SHARDS)
    }

    /// Replaces the homes of some shards.
    fn set(&mut self, changed: BTreeMap<ShardIndex, Home>) {
        let mut result = Vec::new();
        let mut start = 0;
        let old = std::mem::take(&mut self.0);
        let mut changed = changed.into_iter().peekable();
        for run in old {
            while let Some((index, home)) = changed.next_if(|(index, _)| *index < run.end) {
                push(&mut result, start, index, run.home.clone());
                push(&mut result, index, index + 1, Some(home));
                start = index + 1;
            }
            push(&mut result, start, run.end, run.home);
            start = run.end;
        }
        for (index, home) in changed {
            push(&mut result, start, index, None);
            push(&mut result, index, index + 1, Some(home));
            start = index + 1;
        }
        self.0 = result;
    }
}

/// Appends the shards `start..end`, joined with the last run if their home is equal.
fn push(runs: &mut Vec<HomeRange>, start: ShardIndex, end: ShardIndex, home: Option<Home>) {
    if start >= end {
        return;
    }
    match runs.last_mut() {
        Some(last) if last.home == home => last.end = end,
        _ => runs.push(HomeRange { end, home }),
    }
}

/// What is remembered of a service after a bundle named it once.
///
/// It outlives the service in the bundle: a domain that is cut off may still serve the shards, so
/// a service that returns must find the same shards and the same homes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Layout {
    shards: u32,
    key: KeySource,
    limits: Vec<Limit>,
    pub(crate) runs: HomeRanges,
    /// Control log index of the last change of `runs`.
    pub(crate) changed: u64,
}

/// Domain lease and deadline from a bundle version on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Limit {
    version: u64,
    lease: Option<Duration>,
    deadline: Duration,
}

/// The layouts of all services that a bundle ever named.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Layouts(BTreeMap<ServiceName, Layout>);

impl Layouts {
    pub(crate) fn get(&self, service: &str) -> Option<&Layout> {
        self.0.get(service)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &Layout)> {
        self.0.iter()
    }

    /// Refuses another mapping from keys to shards for a known service.
    ///
    /// VMs put a bundle in force one after the other. With two mappings in force, one key would
    /// belong to two shards and could have two owners.
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

    /// Takes over the services of an accepted bundle.
    pub(crate) fn accept(&mut self, bundle: &Bundle) {
        for service in &bundle.services {
            let layout = self
                .0
                .entry(service.name.clone())
                .or_insert_with(|| Layout {
                    shards: service.shards,
                    key: service.key.clone(),
                    limits: Vec::new(),
                    runs: HomeRanges::default(),
                    changed: 0,
                });
            layout.limit(bundle.version, service);
        }
    }

    /// Carries out the changes whose expectations hold; tells whether any did.
    pub(crate) fn change(&mut self, index: u64, service: &Service, changes: &[HomeChange]) -> bool {
        let Some(layout) = self.0.get_mut(&service.name) else {
            return false;
        };
        let mut changed = BTreeMap::new();
        for change in changes {
            if change.index >= service.shard_count() {
                continue;
            }
            let home = changed.get(&change.index).or(layout.runs.get(change.index));
            if let Some(home) = changed_home(index, home, change) {
                changed.insert(change.index, home);
            }
        }
        let any = !changed.is_empty();
        if any {
            layout.runs.set(changed);
            layout.changed = index;
        }
        any
    }

    /// Returns the longest lease and deadline that a domain with the bundle `version` or a later
    /// one may follow.
    pub(crate) fn reach(&self, service: &str, version: u64) -> Option<ServingBound> {
        let limits = &self.get(service)?.limits;
        let first = limits.partition_point(|limit| limit.version <= version);
        let possible = &limits[first.saturating_sub(1)..];
        let leases: Option<Vec<Duration>> = possible.iter().map(|limit| limit.lease).collect();
        Some(ServingBound {
            lease: leases.and_then(|leases| leases.into_iter().max()),
            // A request may have started under any earlier deadline.
            deadline: limits.iter().map(|limit| limit.deadline).max()?,
        })
    }

    pub(crate) fn is_valid(&self) -> bool {
        self.0.values().all(|layout| layout.runs.is_valid())
    }
}

impl Layout {
    fn limit(&mut self, version: u64, service: &Service) {
        let limit = Limit {
            version,
            lease: service.domain_lease,
            deadline: service.deadline,
        };
        let same = |last: &Limit| (last.lease, last.deadline) == (limit.lease, limit.deadline);
        if !self.limits.last().is_some_and(same) {
            self.limits.push(limit);
        }
        if self.limits.len() > MAX_LIMITS {
            let first = self.limits.remove(0);
            let second = &mut self.limits[0];
            second.version = first.version;
            second.lease = first.lease.zip(second.lease).map(|(a, b)| a.max(b));
            second.deadline = second.deadline.max(first.deadline);
        }
    }
}

/// Returns the home that `change` gives a shard, or none if it does not apply.
fn changed_home(index: u64, home: Option<&Home>, change: &HomeChange) -> Option<Home> {
    if change.expected_since != home.map_or(0, |home| home.since) {
        return None;
    }
    let Some(home) = home else {
        return Some(new_home(&change.to, index, false));
    };
    let stays = change.to == home.domain;
    match (stays, change.immediate) {
        (true, _) if home.next.is_none() => None,
        // A withdrawn request gets a new `since`, so that a late report that the shard is parked
        // cannot move it after its home has assigned it again.
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
