//! Baseline placement policies, for comparison with [`place`].

use camphordale_types::{
    ShardIndex,
    TargetId, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    PlacementInput,
    place, //
};

/// Assigns each shard to the target at its hash modulo the number of targets.
///
/// # Examples
///
/// ```
/// use camphordale_placement::baseline::modulo;
///
/// assert_eq!(modulo(&[0, 1, 2], &[7]), [7, 7, 7]);
/// ```
pub fn modulo(shards: &[ShardIndex], targets: &[TargetId]) -> Vec<TargetId> {
    let hash = |shard: &ShardIndex| xxh3_64_with_seed(&shard.to_le_bytes(), 0);
    shards
        .iter()
        .filter_map(|shard| {
            let index = hash(shard).checked_rem(targets.len() as u64)?;
            targets.get(index as usize).copied()
        })
        .collect()
}

/// Assigns each shard to the target with the highest hash of shard and target (rendezvous
/// hashing).
///
/// # Examples
///
/// ```
/// use camphordale_placement::baseline::rendezvous;
///
/// assert_eq!(rendezvous(&[0, 1, 2], &[7]), [7, 7, 7]);
/// ```
pub fn rendezvous(shards: &[ShardIndex], targets: &[TargetId]) -> Vec<TargetId> {
    let score = |shard: ShardIndex, target: TargetId| {
        xxh3_64_with_seed(&target.to_le_bytes(), u64::from(shard))
    };
    shards
        .iter()
        .filter_map(|&shard| targets.iter().copied().max_by_key(|&t| score(shard, t)))
        .collect()
}

/// Ignores the current owners and assigns every shard to the least loaded target, heaviest first.
pub fn greedy(input: &PlacementInput) -> Vec<Option<TargetId>> {
    let mut unassigned = input.clone();
    unassigned.max_moves = 0;
    for shard in &mut unassigned.shards {
        shard.owner = None;
    }
    let moves = place(&unassigned);
    unassigned
        .shards
        .iter()
        .map(|shard| {
            let found = moves.binary_search_by_key(&shard.index, |m| m.shard);
            Some(moves.get(found.ok()?)?.to)
        })
        .collect()
}
