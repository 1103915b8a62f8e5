//! Release, move to other domains, and placement of shards.

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
    LeaderState,
    Subject, //
};

/// Time between two balance checks of a service while no shard moves.
const STABLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two balance checks of a service while shards move.
const MOVING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after an election before the first balance check. The request rates have to be measured
/// first, because without them a good placement looks unbalanced.
const FIRST_CHECK_DELAY: Duration = Duration::from_secs(5);

/// Shards of a service that may move for balance at the same time even if [`MOVE_DIVISOR`] allows
/// fewer.
const MIN_CONCURRENT_MOVES: usize = 2;

/// The shards of a service that may move for balance at the same time are its shards divided by
/// this, but at least [`MIN_CONCURRENT_MOVES`].
const MOVE_DIVISOR: usize = 10;

/// Time and result of the last balance check of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct BalanceCheck {
    checked_at: Duration,
    moved: bool,
}

impl LeaderState {
    pub(super) fn plan_shards(&mut self, state: &State, now: Duration) {
        self.release_reports.retain(|shard, report| {
            state.shard(shard).is_some_and(|entry| {
                matches!(entry.phase, Phase::Releasing(_)) && entry.token == report.token
            })
        });
        for name in state.homed_services() {
            let service = state.service(name).filter(|s| s.is_keyed());
            // A shard that may still be served under the predecessor group must get no owner,
            // neither here nor in another domain.
            let predecessor_may_serve = self.predecessor_may_serve(state, name, now);
            let mut has_free = false;
            if self.stable_layouts.get(name) != Some(&state.layout_index()) {
                let mut stable = true;
                for (index, entry) in state.shards(name) {
                    let shard = || ShardRef::new(name, index);
                    match entry.phase {
                        Phase::Held(owner) => {
                            if must_release(state, service, index, entry, owner) {
                                stable = false;
                                self.release(shard(), entry, now);
                            }
                            continue;
                        }
                        Phase::Parked => continue,
                        Phase::Releasing(owner) => {
                            self.free(state, shard(), entry, owner, now);
                        }
                        Phase::Free if predecessor_may_serve || state.is_remapping(name, index) => {
                        }
                        Phase::Free if entry.leaving => self.park(shard(), entry, now),
                        Phase::Free => {
                            let subject = Subject::Shard(shard());
                            has_free |= !self.pending.is_pending(&subject, entry.changed, now);
                        }
                    }
                    stable = false;
                }
                if stable {
                    self.stable_layouts
                        .insert(name.clone(), state.layout_index());
                }
            }
            if let Some(service) = service
                && !predecessor_may_serve
            {
                self.place_shards(state, service, has_free, now);
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
                expected_token: entry.token,
            };
            self.propose(Subject::Shard(shard), entry.changed, command, now);
        }
    }

    fn park(&mut self, shard: ShardRef, entry: &ShardEntry, now: Duration) {
        let command = Command::Park {
            shard: shard.clone(),
            expected_token: entry.token,
        };
        self.propose(Subject::Shard(shard), entry.changed, command, now);
    }

    fn release(&mut self, shard: ShardRef, entry: &ShardEntry, now: Duration) {
        let command = Command::Release {
            shard: shard.clone(),
            expected_token: entry.token,
        };
        self.propose(Subject::Shard(shard), entry.changed, command, now);
    }

    /// Returns whether no request for a releasing shard can still run.
    ///
    /// A request that was sent may run until its deadline on a live owner, whether or not the owner
    /// checks tokens: requests of the next owner are not sent to this one, so it never sees their
    /// tokens. Only for an owner that checks tokens does the expiry of its lease end its requests.
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
        let requests_ended = self.requests_ended(state, target, now);
        let max_runtime = match requests_ended {
            true => Duration::ZERO,
            false => state.max_deadline(&shard.service),
        };
        let ended = |lease_end: Duration| now >= lease_end + self.config.stall + max_runtime;
        // Earlier senders knew the shard only if it was assigned while they were senders.
        if entry.token.seq < target.token.seq && !ended(self.leases.previous_senders_expiry(owner))
        {
            return false;
        }
        let Some(sender_session) = target.sender_session else {
            return true;
        };
        let report = self
            .release_reports
            .get(shard)
            .filter(|r| r.token == entry.token && r.session == sender_session);
        match report {
            Some(report) => {
                now >= report.drained_at
                    || requests_ended && now >= report.received_at + self.config.stall
            }
            None => target.sender.is_none() && ended(self.leases.vm_lease_expiry(sender_session)),
        }
    }

    /// Returns whether no request sent to `target` can still run.
    ///
    /// That is the case if it checks tokens and its lease has expired: such a target aborts the
    /// requests that it accepted under a lease when the lease expires, and does not resume them in
    /// a later session. It is not the case if it has registered again: a new process at the same
    /// address has a lease, has not seen any tokens yet, and may have accepted requests that were
    /// sent to the old one.
    fn requests_ended(&self, state: &State, target: &TargetEntry, now: Duration) -> bool {
        let info = &target.info;
        let replaces_target = |other: &TargetEntry| {
            other.info.id != info.id
                && (other.info.spec.name == info.spec.name
                    || other.info.spec.address == info.spec.address)
        };
        info.spec.checks_tokens
            && info.state == TargetState::Lost
            && now >= self.leases.target_lease_expiry(info.id)
            && !state.targets().any(replaces_target)
    }

    /// Assigns free shards and, at intervals, moves others for balance.
    fn place_shards(&mut self, state: &State, service: &Service, has_free: bool, now: Duration) {
        let balance_due = now >= self.elected_at + FIRST_CHECK_DELAY
            && self.balance_checks.get(&service.name).is_none_or(|last| {
                let interval = if last.moved {
                    MOVING_CHECK_INTERVAL
                } else {
                    STABLE_CHECK_INTERVAL
                };
                now >= last.checked_at + interval
            });
        if !has_free && !balance_due {
            return;
        }
        let input = self.placement_input(state, service, balance_due, now);
        let moves = placement::place(&input);
        if balance_due {
            let moved = moves.iter().any(|m| m.from.is_some());
            let last = BalanceCheck {
                checked_at: now,
                moved,
            };
            self.balance_checks.insert(service.name.clone(), last);
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
                        expected_token: entry.token,
                        owner: m.to,
                    };
                    self.propose(Subject::Shard(shard), entry.changed, command, now);
                }
                // A shard moves for balance only if its sender can report that it is drained.
                // Without the report, the shard would have no owner until the deadline.
                Phase::Held(owner) if self.sender_is_alive(state, owner, now) => {
                    self.release(shard, entry, now);
                }
                Phase::Held(_) | Phase::Releasing(_) | Phase::Parked => {}
            }
        }
    }

    fn sender_is_alive(&self, state: &State, owner: TargetId, now: Duration) -> bool {
        let sender = state.target(owner).and_then(|target| target.sender);
        sender.and_then(|vm| state.vm(vm)).is_some_and(|session| {
            now < self.leases.vm_renewed_at(session.id) + self.config.vm_lease / 2
        })
    }

    fn placement_input(
        &mut self,
        state: &State,
        service: &Service,
        balance_due: bool,
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
            // A suspected or unresponsive target is better than none.
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
                // A releasing shard will be free soon, so it is placed as if it had no owner.
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
        let max_moving: usize = (total / MOVE_DIVISOR).max(MIN_CONCURRENT_MOVES);
        placement::PlacementInput {
            targets,
            shards,
            weights: service.weights,
            max_moves: if balance_due {
                max_moving.saturating_sub(moving)
            } else {
                0
            },
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
        let warm_fraction = match self.leases.target_age(id, now) {
            Some(age) if age < service.warm_up => age.as_secs_f64() / service.warm_up.as_secs_f64(),
            _ => 1.0,
        };
        let unresponsive = now >= self.leases.target_renewed_at(id) + self.config.target_lease / 2;
        placement::Target {
            id,
            side: spec.side,
            slots: spec.slots.min(service.slots),
            warm_fraction,
            assignable: !unresponsive && !self.suspects.is_suspect(id, now),
        }
    }
}

/// Returns whether a held shard must leave its owner regardless of balance.
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
