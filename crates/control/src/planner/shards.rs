//! Index of a service's shards by home and side, and their apportionment to domains.

use std::collections::BTreeMap;

use camphordale_types::{
    DomainName,
    Service,
    ShardIndex,
    Side, //
};

use crate::State;

/// The shards of one service, grouped by home domain and side. The groups are cached until the
/// bundle or the homes change, because computing the side of each shard takes a hash.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardMap {
    key: (u64, u64),
    /// Shards without a home.
    pub(super) without_home: BTreeMap<Side, Vec<ShardIndex>>,
    /// Shards by home domain and side.
    pub(super) by_home: BTreeMap<(DomainName, Side), Vec<ShardIndex>>,
    /// Whether a move of any shard has been requested.
    pub(super) any_moving: bool,
}

impl ShardMap {
    /// Groups the shards again if the bundle or the homes changed.
    pub(super) fn refresh(&mut self, state: &State, service: &Service) {
        let key = (state.versions().bundle, state.homes_index(&service.name));
        if self.key == key {
            return;
        }
        *self = ShardMap {
            key,
            ..ShardMap::default()
        };
        for index in 0..service.shard_count() {
            let side = service.side_of(index);
            match state.home(&service.name, index) {
                None => self.without_home.entry(side).or_default().push(index),
                Some(home) => {
                    self.any_moving |= home.next.is_some();
                    let shards = self.by_home.entry((home.domain.clone(), side)).or_default();
                    shards.push(index);
                }
            }
        }
    }

    pub(super) fn without_home(&self, side: Side) -> &[ShardIndex] {
        self.without_home.get(&side).map_or(&[], Vec::as_slice)
    }

    pub(super) fn homed_in(&self, domain: &DomainName, side: Side) -> &[ShardIndex] {
        let shards = self.by_home.get(&(domain.clone(), side));
        shards.map_or(&[], Vec::as_slice)
    }
}

/// A domain that can be the home of shards of one side of a service.
#[derive(Clone, Debug)]
pub(super) struct CandidateDomain {
    pub(super) domain: DomainName,
    /// Number of slots of its serving targets, at least 1.
    pub(super) slots: u32,
    /// Number of shards that it is the home of.
    pub(super) shards: u32,
}

/// Returns how many of `count` additional shards each candidate gets, so that the numbers of shards
/// per slot are as even as possible.
pub(super) fn apportion(candidates: &[CandidateDomain], count: usize) -> Vec<usize> {
    let mut assigned = vec![0; candidates.len()];
    for _ in 0..count {
        let load = |i: &usize| {
            let candidate: &CandidateDomain = &candidates[*i];
            let shards = u64::from(candidate.shards) + assigned[*i] as u64 + 1;
            // Shards per slot in fixed point, because floating-point numbers have no total order.
            (u128::from(shards) << 64) / u128::from(candidate.slots.max(1))
        };
        let Some(least_loaded) = (0..candidates.len()).min_by_key(load) else {
            break;
        };
        assigned[least_loaded] += 1;
    }
    assigned
}

/// Returns the shard to which the key of a hot shard hashes, or `index` itself for a hashed shard.
///
/// Both must have the same home: until a change of the hot keys is in force on all VMs, requests
/// for the key use either of them.
pub(super) fn hashed_shard_of(service: &Service, index: ShardIndex) -> ShardIndex {
    match service
        .hot_keys
        .get(index.wrapping_sub(service.shards) as usize)
    {
        Some(key) => service.hashed_shard(key),
        None => index,
    }
}
