//! Commands on shards.

use std::collections::BTreeSet;

use camphordale_types::{
    ServiceName,
    ShardIndex,
    ShardRef,
    TargetId,
    TargetState,
    Token, //
};

use crate::{
    HomedShard,
    Outcome, //
};

use super::{
    Phase,
    Removal,
    ShardEntry,
    State, //
};

impl State {
    pub(super) fn set_homes(
        &mut self,
        service: &ServiceName,
        version: u64,
        shards: &[HomedShard],
    ) -> Outcome {
        let homes = self.homes.entry(service.clone()).or_default();
        if version < homes.version {
            return Outcome::Refused("a later list of homes is in force".into());
        }
        homes.version = version;
        let listed: BTreeSet<ShardIndex> = shards.iter().map(|s| s.index).collect();
        for home in shards {
            homes.max_since = homes.max_since.max(home.since);
            match homes.shards.get_mut(&home.index) {
                None => {
                    let shard = ShardEntry {
                        since: home.since,
                        leaving: home.leaving,
                        listed: true,
                        // The predecessor group had no records of a home that was assigned after
                        // this group was formed.
                        records_complete: !home.moved
                            && (!self.recreated || home.since > self.term),
                        homed_at: self.index,
                        phase: Phase::Free,
                        token: Token::default(),
                        changed: self.index,
                    };
                    homes.shards.insert(home.index, shard);
                }
                Some(shard) if home.since > shard.since => {
                    shard.since = home.since;
                    shard.leaving = home.leaving;
                    shard.listed = true;
                    shard.records_complete = false;
                    shard.homed_at = self.index;
                    if shard.phase == Phase::Parked {
                        shard.phase = Phase::Free;
                    }
                    shard.changed = self.index;
                }
                Some(shard) if home.since == shard.since => {
                    if shard.leaving != home.leaving || !shard.listed {
                        shard.leaving = home.leaving;
                        shard.listed = true;
                        shard.changed = self.index;
                    }
                }
                Some(_) => {}
            }
        }
        let mut dropped = Vec::new();
        for (&index, shard) in &mut homes.shards {
            if listed.contains(&index) {
                continue;
            }
            if shard.phase.owner().is_none() {
                dropped.push(index);
            } else if shard.listed {
                shard.listed = false;
                shard.changed = self.index;
            }
        }
        self.mark_layout_changed();
        for index in dropped {
            self.drop_shard(&ShardRef::new(service, index));
        }
        Outcome::Done
    }

    fn drop_shard(&mut self, shard: &ShardRef) {
        if let Some(homes) = self.homes.get_mut(&shard.service) {
            homes.shards.remove(&shard.index);
        }
        self.push_removal(Removal::Shard(shard.clone()));
    }

    /// Returns the shard if it has the expected token.
    fn shard_with_token(
        &mut self,
        shard: &ShardRef,
        expected_token: Token,
    ) -> Result<&mut ShardEntry, Outcome> {
        let entry = self
            .homes
            .get_mut(&shard.service)
            .and_then(|homes| homes.shards.get_mut(&shard.index));
        match entry {
            None => Err(Outcome::Refused("the shard is not homed here".into())),
            Some(entry) if entry.token != expected_token => {
                Err(Outcome::Refused("the shard has another token".into()))
            }
            Some(entry) => Ok(entry),
        }
    }

    pub(super) fn set_phase(&mut self, shard: &ShardRef, phase: Phase) {
        let index = self.index;
        if let Some(homes) = self.homes.get_mut(&shard.service)
            && let Some(entry) = homes.shards.get_mut(&shard.index)
        {
            entry.phase = phase;
            entry.changed = index;
        }
        self.mark_layout_changed();
    }

    pub(super) fn assign(
        &mut self,
        shard: &ShardRef,
        expected_token: Token,
        owner: TargetId,
    ) -> Outcome {
        if self.is_remapping(&shard.service, shard.index) {
            return Outcome::Refused("an owner under the earlier keys may still act".into());
        }
        let token = self.new_token(&shard.service);
        let Some(service) = self.services.get(&shard.service).filter(|s| s.is_keyed()) else {
            return Outcome::Refused("no service with keys of this name is in force".into());
        };
        let side = service.side_of(shard.index);
        let eligible = self.targets.get(&owner).is_some_and(|t| {
            t.info.state == TargetState::Serving
                && t.info.spec.service == shard.service
                && t.info.spec.side == side
        });
        if !eligible {
            return Outcome::Refused("the target does not serve the shard".into());
        }
        let entry = match self.shard_with_token(shard, expected_token) {
            Ok(entry) => entry,
            Err(refused) => return refused,
        };
        if entry.phase != Phase::Free || entry.leaving || !entry.listed {
            return Outcome::Refused("the shard is not free".into());
        }
        entry.token = token;
        self.set_phase(shard, Phase::Held(owner));
        if let Some(target) = self.targets.get_mut(&owner) {
            target.owned_shards += 1;
        }
        self.assigned_services.insert(shard.service.clone());
        Outcome::Done
    }

    pub(super) fn release(&mut self, shard: &ShardRef, expected_token: Token) -> Outcome {
        match self
            .shard_with_token(shard, expected_token)
            .map(|entry| entry.phase)
        {
            Err(refused) => refused,
            Ok(Phase::Held(owner)) => {
                self.set_phase(shard, Phase::Releasing(owner));
                Outcome::Done
            }
            Ok(_) => Outcome::Refused("the shard is not held".into()),
        }
    }

    /// Ends the remapping of a service once none of its shards with changed keys has an owner, so
    /// that they can be assigned again.
    pub(super) fn end_remapping(&mut self, service: &str) {
        let owned = |index: &ShardIndex| {
            let entry = self.shard(&ShardRef::new(service, *index));
            entry.is_some_and(|entry| entry.phase.owner().is_some())
        };
        let draining = self.remapping.get(service);
        if draining.is_some_and(|shards| !shards.iter().any(owned)) {
            self.remapping.remove(service);
            self.mark_layout_changed();
        }
    }

    pub(super) fn free(&mut self, shard: &ShardRef, expected_token: Token) -> Outcome {
        let (owner, listed) = match self.shard_with_token(shard, expected_token) {
            Err(refused) => return refused,
            Ok(ShardEntry {
                phase: Phase::Releasing(owner),
                listed,
                ..
            }) => (*owner, *listed),
            Ok(_) => return Outcome::Refused("the shard is not releasing".into()),
        };
        self.set_phase(shard, Phase::Free);
        if let Some(target) = self.targets.get_mut(&owner) {
            target.owned_shards = target.owned_shards.saturating_sub(1);
        }
        if !listed {
            self.drop_shard(shard);
        }
        self.remove_if_unused(owner);
        self.end_remapping(&shard.service);
        Outcome::Done
    }

    pub(super) fn park(&mut self, shard: &ShardRef, expected_token: Token) -> Outcome {
        match self.shard_with_token(shard, expected_token) {
            Err(refused) => refused,
            Ok(entry) if entry.phase == Phase::Free && entry.leaving => {
                self.set_phase(shard, Phase::Parked);
                Outcome::Done
            }
            Ok(_) => Outcome::Refused("the shard is not free and leaving".into()),
        }
    }

    pub(super) fn mark_records_complete(&mut self, shards: &[(ShardRef, u64)]) -> Outcome {
        for (shard, since) in shards {
            if let Some(homes) = self.homes.get_mut(&shard.service)
                && let Some(entry) = homes.shards.get_mut(&shard.index)
                && entry.since == *since
                && !entry.records_complete
            {
                entry.records_complete = true;
                self.layout_index = self.index;
            }
        }
        Outcome::Done
    }
}
