//! Shards of a service by home and side, and their distribution over domains.

use std::collections::BTreeMap;

use camphordale_types::{
    DomainName,
    Service,
    ShardIndex,
    Side, //
};

use crate::State;

/// The shards of one service, sorted by who holds them. Kept until bundle or homes change, because
/// the side of each shard takes a hash.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardMap {
    key: (u64, u64),
    /// Shards without a home.
    pub(super) free: BTreeMap<Side, Vec<ShardIndex>>,
    /// Shards by home domain and side.
    pub(super) held: BTreeMap<(DomainName, Side), Vec<ShardIndex>>,
    /// Whether any shard has been asked to move.
    pub(super) moving: bool,
}

impl ShardMap {
    /// Sorts the shards again if something changed.
    pub(super) fn refresh(&mut self, state: &State, service: &Service) {
        let key = (state.versions().bundle, state.homes_changed(&service.name));
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
                None => self.free.entry(side).or_default().push(index),
                Some(home) => {
                    self.moving |= home.next.is_some();
                    let held = self.held.entry((home.domain.clone(), side)).or_default();
                    held.push(index);
                }
            }
        }
    }

    pub(super) fn free(&self, side: Side) -> &[ShardIndex] {
        self.free.get(&side).map_or(&[], Vec::as_slice)
    }

    pub(super) fn held(&self, domain: &DomainName, side: Side) -> &[ShardIndex] {
        let held = self.held.get(&(domain.clone(), side));
        held.map_or(&[], Vec::as_slice)
    }
}

/// A domain that can take shards of one side of a service.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) domain: DomainName,
    /// Slots of its serving targets, at least 1.
    pub(super) slots: u32,
    /// Shards that it has.
    pub(super) held: u32,
}

/// Returns how many of `count` further shards each place gets, so that the shards for each slot
/// are as even as possible.
pub(super) fn apportion(places: &[Place], count: usize) -> Vec<usize> {
    let mut given = vec![0; places.len()];
    for _ in 0..count {
        let load = |i: &usize| {
            let place: &Place = &places[*i];
            let shards = u64::from(place.held) + given[*i] as u64 + 1;
            // Shards for each slot in fixed point; fractions would need a total order.
            (u128::from(shards) << 64) / u128::from(place.slots.max(1))
        };
        let Some(least) = (0..places.len()).min_by_key(load) else {
            break;
        };
        given[least] += 1;
    }
    given
}

/// Returns the shard that a hot key's shard stays with: the one that the key hashes to. Until a
/// change of the hot keys is in force everywhere, requests for the key use both, so one domain
/// group has to own both.
pub(super) fn base_of(service: &Service, index: ShardIndex) -> ShardIndex {
    match service
        .hot_keys
        .get(index.wrapping_sub(service.shards) as usize)
    {
        Some(key) => service.hashed_shard(key),
        None => index,
    }
}
