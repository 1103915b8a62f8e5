//! Release, return and placement of shards.

use std::time::Duration;

use camphordale_placement as placement;
use camphordale_types::{
    Service,
    ShardRef,
    TargetId,
    TargetState, //
};

use crate::{
    Command,
    Phase,
    ShardEntry,
    State,
    TargetEntry, //
};

use super::{
    Reign,
    Subject, //
};

/// Time between two checks of the balance while it is good.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two checks of the balance while shards move.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after an election in which nothing is moved for balance. The rates have to be measured
/// first; without them a good placement looks uneven.
const MEASURE: Duration = Duration::from_secs(5);

/// Least number of shards that may be in motion for balance.
const LEAST_MOVES: usize = 2;

/// A service has at most one in this many of its shards in motion for balance.
const MOVE_PART: usize = 10;

/// The last check of a service's balance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placed {
    at: Duration,
    moved: bool,
}

impl Reign {
    pub(super) fn plan_shards(&mut self, state: &State, now: Duration) {
        self.released.retain(|shard, report| {
            state.shard(shard).is_some_and(|entry| {
                matches!(entry.phase, Phase::Releasing(_)) && entry.token == report.token
            })
        });
        for name in state.homed_services() {
            let service = state.service(name).filter(|s| s.is_keyed());
            // Neither this nor another domain may own a shard that a replaced group still serves.
            let served = self.served_before(state, name, now);
            let mut free = false;
            if self.at_rest.get(name) != Some(&state.layout_index()) {
                let mut rest = true;
                for (index, entry) in state.shards(name) {
                    let shard = || ShardRef::new(name, index);
                    match entry.phase {
                        Phase::Held(owner) => {
                            if must_release(state, service, index, entry, owner) {
                                rest = false;
                                self.release(shard(), entry, now);
                            }
                            continue;
                        }
                        Phase::Parked => continue,
                        Phase::Releasing(owner) => {
                            self.free(state, shard(), entry, owner, now);
                        }
                        Phase::Free if served || state.is_remapping(name, index) => {}
                        Phase::Free if entry.leaving => self.park(shard(), entry, now),
                        Phase::Free => {
                            let subject = Subject::Shard(shard());
                            free |= !self.pending.waits(&subject, entry.changed, now);
                        }
                    }
                    rest = false;
                }
                if rest {
                    self.at_rest.insert(name.clone(), state.layout_index());
                }
            }
            if let Some(service) = service
                && !served
            {
                self.place(state, service, free, now);
            }
        }
    }

    fn free(
        &mut self,
        state: &State,
        shard: ShardRef,
        entry: &ShardEntry,
        owner: TargetId,
        now: Duration,
    ) {
        if self.may_free(state, &shard, entry, owner, now) {
            let command = Command::Free {
                shard: shard.clone(),
                expect: entry.token,
            };
            self.propose(Subject::Shard(shard), entry.changed, command, now);
        }
    }

    fn park(&mut self, shard: ShardRef, entry: &ShardEntry, now: Duration) {
        let command = Command::Park {
            shard: shard.clone(),
            expect: entry.token,
        };
        self.propose(Subject::Shard(shard), entry.changed, command, now);
    }

    fn release(&mut self, shard: ShardRef, entry: &ShardEntry, now: Duration) {
        let command = Command::Release {
            shard: shard.clone(),
            expect: entry.token,
        };
        self.propose(Subject::Shard(shard), entry.changed, command, now);
    }

    /// Tells whether nothing can act for a releasing shard any more.
    ///
    /// A request that was sent may run until its deadline on a live owner, whether or not the
    /// owner checks tokens: the next owner's requests do not pass this owner, so it never sees
    /// their tokens. Only the end of the lease of an owner that checks tokens ends its requests.
    fn may_free(
        &self,
        state: &State,
        shard: &ShardRef,
        entry: &ShardEntry,
        owner: TargetId,
        now: Duration,
    ) -> bool {
        let Some(target) = state.target(owner) else {
            return true;
        };
        let over = self.is_over(state, target, now);
        let running = match over {
            true => Duration::ZERO,
            false => state.deadline(&shard.service),
        };
        let ended = |lease_end: Duration| now >= lease_end + self.config.stall + running;
        // Senders before the last one knew the shard only if it was assigned under them.
        if entry.token.seq < target.token.seq && !ended(self.leases.former_end(owner)) {
            return false;
        }
        let Some(holder) = target.sender_session else {
            return true;
        };
        let report = self
            .released
            .get(shard)
            .filter(|r| r.token == entry.token && r.holder == holder);
        match report {
            Some(report) => now >= report.clear || over && now >= report.at + self.config.stall,
            None => target.sender.is_none() && ended(self.leases.vm_end(holder)),
        }
    }

    /// Tells whether no request that was sent to `target` runs any more.
    ///
    /// That is so when it checks tokens and its lease has run out: such a target ends with its
    /// lease what it accepted under it, and does not resume it in a later session. It is not so
    /// when it announced itself again: a new process at the same address knows no tokens yet, has
    /// a lease, and may have accepted requests that were meant for the old one.
    fn is_over(&self, state: &State, target: &TargetEntry, now: Duration) -> bool {
        let info = &target.info;
        let again = |other: &TargetEntry| {
            other.info.id != info.id
                && (other.info.spec.name == info.spec.name
                    || other.info.spec.address == info.spec.address)
        };
        info.spec.checks_tokens
            && info.state == TargetState::Lost
            && now >= self.leases.target_end(info.id)
            && !state.targets().any(again)
    }

    /// Assigns free shards and, from time to time, moves others for balance.
    fn place(&mut self, state: &State, service: &Service, free: bool, now: Duration) {
        let due = now >= self.elected + MEASURE
            && self.placed.get(&service.name).is_none_or(|last| {
                let wait = if last.moved {
                    BUSY_INTERVAL
                } else {
                    IDLE_INTERVAL
                };
                now >= last.at + wait
            });
        if !free && !due {
            return;
        }
        let input = self.placement_input(state, service, due, now);
        let moves = placement::place(&input);
        if due {
            let moved = moves.iter().any(|m| m.from.is_some());
            let last = Placed { at: now, moved };
            self.placed.insert(service.name.clone(), last);
        }
        for m in moves {
            let shard = ShardRef::new(&service.name, m.shard);
            let Some(entry) = state.shard(&shard) else {
                continue;
            };
            match entry.phase {
                Phase::Free => {
                    let command = Command::Assign {
                        shard: shard.clone(),
                        expect: entry.token,
                        owner: m.to,
                    };
                    self.propose(Subject::Shard(shard), entry.changed, command, now);
                }
                // Without its sender's report the shard would have no owner until the deadline.
                Phase::Held(owner) if self.sender_answers(state, owner, now) => {
                    self.release(shard, entry, now);
                }
                Phase::Held(_) | Phase::Releasing(_) | Phase::Parked => {}
            }
        }
    }

    fn sender_answers(&self, state: &State, owner: TargetId, now: Duration) -> bool {
        let sender = state.target(owner).and_then(|target| target.sender);
        sender.and_then(|vm| state.vm(vm)).is_some_and(|session| {
            now < self.leases.vm_renewed(session.id) + self.config.vm_lease / 2
        })
    }

    fn placement_input(
        &mut self,
        state: &State,
        service: &Service,
        due: bool,
        now: Duration,
    ) -> placement::PlacementInput {
        let serving: Vec<&TargetEntry> = state
            .targets()
            .filter(|t| t.info.state == TargetState::Serving)
            .filter(|t| t.info.spec.service == service.name)
            .collect();
        let mut targets: Vec<placement::Target> = serving
            .iter()
            .map(|t| self.placement_target(service, t, now))
            .collect();
        for at in 0..targets.len() {
            // A doubtful target is better than none.
            let side = targets[at].side;
            if targets.iter().all(|t| t.side != side || !t.assignable) {
                for target in targets.iter_mut().filter(|t| t.side == side) {
                    target.assignable = true;
                }
            }
        }
        let rates = self.rates.measure(&service.name, targets.len(), now);
        let mut moving = 0;
        let mut total = 0;
        let mut shards = Vec::new();
        for (index, entry) in state.shards(&service.name) {
            total += 1;
            let leaving = entry.leaving
                || !entry.listed
                || entry.phase == Phase::Parked
                || state.is_remapping(&service.name, index);
            if matches!(entry.phase, Phase::Releasing(_)) {
                moving += 1;
            }
            if leaving {
                continue;
            }
            let owner = match entry.phase {
                Phase::Held(owner) => Some(owner),
                // It will be free soon and is planned for already.
                Phase::Releasing(_) | Phase::Free | Phase::Parked => None,
            };
            if let Some(owner) = owner
                && must_release(state, Some(service), index, entry, owner)
            {
                continue;
            }
            shards.push(placement::Shard {
                index,
                side: service.side_of(index),
                owner,
                rate: rates.get(&index).copied().unwrap_or(0.0),
            });
        }
        let most: usize = (total / MOVE_PART).max(LEAST_MOVES);
        placement::PlacementInput {
            targets,
            shards,
            weights: service.weights,
            max_moves: if due { most.saturating_sub(moving) } else { 0 },
            seed: self.seed,
        }
    }

    fn placement_target(
        &self,
        service: &Service,
        target: &TargetEntry,
        now: Duration,
    ) -> placement::Target {
        let id = target.info.id;
        let spec = &target.info.spec;
        let warm = match self.leases.age(id, now) {
            Some(age) if age < service.warm_up => age.as_secs_f64() / service.warm_up.as_secs_f64(),
            _ => 1.0,
        };
        let silent = now >= self.leases.target_renewed(id) + self.config.target_lease / 2;
        placement::Target {
            id,
            side: spec.side,
            slots: spec.slots.min(service.slots),
            warm_fraction: warm,
            assignable: !silent && !self.suspects.is_suspect(id, now),
        }
    }
}

/// Tells whether a held shard must leave its owner, whatever the balance is.
fn must_release(
    state: &State,
    service: Option<&Service>,
    index: u32,
    entry: &ShardEntry,
    owner: TargetId,
) -> bool {
    let Some(service) = service else {
        return true;
    };
    entry.leaving
        || !entry.listed
        || state.target(owner).is_none_or(|target| {
            target.info.state != TargetState::Serving
                || target.info.spec.side != service.side_of(index)
        })
}
