//! Assignment of home domains to shards: first homes, moves after a release by the home, and moves
//! away from lost domains.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_types::{
    DomainName,
    Service,
    ShardIndex,
    Side, //
};

use super::{
    Planner,
    PlannerConfig,
    domain_status::{
        DomainStatus,
        PendingMove, //
    },
    may_propose,
    shards::{
        CandidateDomain,
        ShardMap,
        apportion,
        hashed_shard_of, //
    }, //
};
use crate::{
    Command,
    Home,
    HomeChange,
    State, //
};

/// Maximum number of changes in one command, so that a command stays well below the message size
/// limit.
const MAX_CHANGES: usize = 4096;

const SIDES: [Side; 2] = [Side::Old, Side::New];

/// State of the planner for one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServicePlan {
    shards: ShardMap,
    /// Since when shards without a home could be given one.
    unassigned_since: BTreeMap<Side, Duration>,
    /// Since when domains are imbalanced.
    imbalanced_since: BTreeMap<Side, Duration>,
    /// When changes were last proposed, and `State::homes_index` at that time.
    proposed: Option<(Duration, u64)>,
}

impl Planner {
    pub(super) fn plan_homes(
        &mut self,
        state: &State,
        elected_at: Duration,
        now: Duration,
    ) -> Vec<Command> {
        let Some(bundle) = state.bundle() else {
            return Vec::new();
        };
        self.services
            .retain(|name, _| bundle.service(name).is_some());
        let mut commands = Vec::new();
        for service in bundle.services.iter().filter(|service| service.is_keyed()) {
            let plan = self.services.entry(service.name.clone()).or_default();
            plan.shards.refresh(state, service);
            let mut pass = PlanningPass {
                config: &self.config,
                state,
                service,
                elected_at,
                now,
                domains: &mut self.domains,
                plan,
                changes: BTreeMap::new(),
            };
            pass.plan();
            let changes: Vec<HomeChange> = pass.changes.into_values().collect();
            let changed = state.homes_index(&service.name);
            let proposed = plan.proposed.filter(|(_, seen)| *seen == changed);
            if changes.is_empty()
                || !may_propose(proposed.map(|(at, _)| at), now, self.config.retry_interval)
            {
                continue;
            }
            plan.proposed = Some((now, changed));
            mark_pending_moves(&mut self.domains, state, service, &changes);
            commands.push(Command::SetHomes {
                service: service.name.clone(),
                bundle: bundle.version,
                changes,
            });
        }
        commands
    }
}

/// Records the moves of shards away from domains that have not parked them.
fn mark_pending_moves(
    domains: &mut BTreeMap<DomainName, DomainStatus>,
    state: &State,
    service: &Service,
    changes: &[HomeChange],
) {
    for change in changes.iter().filter(|change| change.immediate) {
        let Some(home) = state.home(&service.name, change.index) else {
            continue;
        };
        if let Some(status) = domains.get_mut(&home.domain)
            && !is_parked(status, service, change.index, home)
        {
            let shard = (service.name.clone(), change.index);
            let pending = PendingMove {
                since: home.since,
                bundle_version: state.bundle().map_or(0, |bundle| bundle.version),
                to: change.to.clone(),
            };
            status.pending_moves.insert(shard, pending);
            status.renews_lease = false;
        }
    }
}

fn is_parked(status: &DomainStatus, service: &Service, index: ShardIndex, home: &Home) -> bool {
    let parked = |(name, shard, since): &(Box<str>, ShardIndex, u64)| {
        (&**name, *shard, *since) == (&*service.name, index, home.since)
    };
    status.parked.iter().any(parked)
}

/// One planning pass over one service.
struct PlanningPass<'a> {
    config: &'a PlannerConfig,
    state: &'a State,
    service: &'a Service,
    elected_at: Duration,
    now: Duration,
    domains: &'a mut BTreeMap<DomainName, DomainStatus>,
    plan: &'a mut ServicePlan,
    /// Changes to propose; the first rule that changes a shard takes precedence.
    changes: BTreeMap<ShardIndex, HomeChange>,
}

impl PlanningPass<'_> {
    fn plan(&mut self) {
        let names: Vec<DomainName> = self.domains.keys().cloned().collect();
        for domain in &names {
            self.evacuate_lost(domain);
            self.move_parked(domain);
        }
        for side in SIDES {
            self.assign_first_homes(side);
            for domain in &names {
                self.release_evacuated(domain, side);
                self.release_starved(domain, side);
            }
            self.rebalance(side);
        }
        self.colocate_hot_keys();
    }

    /// Assigns homes to shards that have none, in proportion to the slots of the domains.
    ///
    /// It waits up to `home_delay` for domains that have not reported targets yet, so that the
    /// first domain to start does not get all shards.
    fn assign_first_homes(&mut self, side: Side) {
        let unassigned = self.plan.shards.without_home(side).to_vec();
        let candidates = if unassigned.is_empty() {
            Vec::new()
        } else {
            self.candidates(side)
        };
        if candidates.is_empty() {
            self.plan.unassigned_since.remove(&side);
            return;
        }
        let since = *self.plan.unassigned_since.entry(side).or_insert(self.now);
        let known = self.state.domains();
        let expected = known
            .iter()
            .filter(|name| !self.state.is_lost(name) && !self.state.is_evacuated(name));
        // Shards of hot keys follow hashed shards, which already have homes.
        let any_hashed = unassigned.iter().any(|index| *index < self.service.shards);
        let complete = expected.count() <= candidates.len();
        if any_hashed && !complete && self.now < since + self.config.home_delay {
            return;
        }
        self.distribute(&unassigned, &candidates, true);
    }

    /// Moves shards that their home has released. If only the home itself can serve them any more,
    /// the move is cancelled.
    fn move_parked(&mut self, domain: &DomainName) {
        let Some(status) = self.reporting(domain) else {
            return;
        };
        let parked: Vec<(ShardIndex, u64)> = status
            .parked
            .iter()
            .filter(|(service, _, _)| *service == self.service.name)
            .map(|(_, index, since)| (*index, *since))
            .collect();
        let candidates = SIDES.map(|side| (side, self.candidates(side)));
        for (index, since) in parked {
            let Some(home) = self.home(index).filter(|home| home.since == since) else {
                continue;
            };
            let Some(next) = home.next.as_ref().filter(|_| home.domain == *domain) else {
                continue;
            };
            let side = self.service.side_of(index);
            let candidates = candidates.iter().filter(|(own, _)| *own == side);
            let candidates = || candidates.clone().flat_map(|(_, candidates)| candidates);
            let requested = candidates().find(|candidate| candidate.domain == *next);
            let other = || {
                let others = candidates().filter(|candidate| candidate.domain != *domain);
                others.max_by_key(|candidate| candidate.slots)
            };
            let own = || candidates().find(|candidate| candidate.domain == *domain);
            if let Some(candidate) = requested.or_else(other).or_else(own) {
                let to = candidate.domain.clone();
                self.propose_change(index, to, true);
            }
        }
    }

    /// Assigns new homes to the shards of a lost domain.
    ///
    /// A partitioned domain stops serving when its domain lease has expired, measured from before
    /// it sent the last report that was replied to. Its VMs may then still use their own leases,
    /// and the last requests may run until their deadline. A replaced group may have served until
    /// its replacement was formed, under an older bundle than its successor. A domain that was
    /// declared lost starts no requests, so only those in flight are waited for.
    fn evacuate_lost(&mut self, domain: &DomainName) {
        let Some(status) = self.domains.get(domain) else {
            return;
        };
        let Some(bound) = self.state.serving_bound(domain, &self.service.name) else {
            return;
        };
        let grace = self.config.vm_lease + bound.deadline + self.config.safety_margin;
        let declared_end = status.declared_lost.map(|(_, at)| at + grace);
        let lease_end = bound.lease.map(|lease| {
            let renewed = status
                .renewed_at
                .unwrap_or(self.elected_at)
                .max(self.elected_at);
            renewed.max(status.seen_at) + lease + lease / 10 + grace
        });
        let passed = |at: Option<Duration>| at.is_some_and(|at| self.now >= at);
        if !passed(declared_end) && !passed(lease_end) {
            return;
        }
        // A repeated proposal contains the same destination, so that both have the same effect.
        let mut repeated = Vec::new();
        for ((service, index), pending) in &status.pending_moves {
            if *service == self.service.name {
                repeated.push((*index, pending.to.clone()));
            }
        }
        for (index, to) in repeated {
            self.propose_change(index, to, true);
        }
        for side in SIDES {
            let shards = self.plan.shards.homed_in(domain, side).to_vec();
            let mut candidates = self.candidates(side);
            candidates.retain(|candidate| candidate.domain != *domain);
            self.distribute(&shards, &candidates, true);
        }
    }

    /// Asks a domain under evacuation to release the shards of a side, if another domain can serve
    /// them. Shards with a requested move keep its destination.
    fn release_evacuated(&mut self, domain: &DomainName, side: Side) {
        if !self.state.is_evacuated(domain) || self.reporting(domain).is_none() {
            return;
        }
        let candidates = self.candidates(side);
        if !candidates.is_empty() {
            let shards = self.not_moving(self.plan.shards.homed_in(domain, side));
            self.distribute(&shards, &candidates, false);
        }
    }

    /// Asks a domain to release the shards of a side for which it has had no targets for
    /// `starvation_timeout`.
    fn release_starved(&mut self, domain: &DomainName, side: Side) {
        let has_shards = !self.plan.shards.homed_in(domain, side).is_empty();
        let candidates = self.candidates(side);
        let starved = self.reporting(domain).is_some_and(|status| {
            status.slots(&self.service.name, side) == 0 && has_shards && !candidates.is_empty()
        });
        let Some(status) = self.domains.get_mut(domain) else {
            return;
        };
        let key = (self.service.name.clone(), side);
        if !starved {
            status.starved_since.remove(&key);
            return;
        }
        let since = *status.starved_since.entry(key).or_insert(self.now);
        if self.now < since + self.config.starvation_timeout {
            return;
        }
        let shards = self.not_moving(self.plan.shards.homed_in(domain, side));
        self.distribute(&shards, &candidates, false);
    }

    /// Rebalances the shards between domains after a persistent imbalance, if the service weighs
    /// imbalance at least as high as churn. Shards of hot keys, and the shards to which these keys
    /// hash, are not moved.
    fn rebalance(&mut self, side: Side) {
        let weights = &self.service.weights;
        let allowed = weights.imbalance >= weights.churn && !self.plan.shards.any_moving;
        let candidates = self.candidates(side);
        if !allowed || !self.is_imbalanced(side, &candidates) {
            self.plan.imbalanced_since.remove(&side);
            return;
        }
        let since = *self.plan.imbalanced_since.entry(side).or_insert(self.now);
        if self.now < since + self.config.rebalance_delay {
            return;
        }
        let total: usize = candidates
            .iter()
            .map(|candidate| candidate.shards as usize)
            .sum();
        let unassigned: Vec<CandidateDomain> = candidates
            .iter()
            .map(|candidate| CandidateDomain {
                shards: 0,
                ..candidate.clone()
            })
            .collect();
        let quotas = apportion(&unassigned, total);
        let pinned: Vec<ShardIndex> = (self.service.shards..self.service.shard_count())
            .map(|hot| hashed_shard_of(self.service, hot))
            .collect();
        let mut excess = Vec::new();
        for (candidate, quota) in candidates.iter().zip(&quotas) {
            let shards = self.plan.shards.homed_in(&candidate.domain, side);
            let movable = shards.iter().rev().copied();
            let movable = movable.filter(|i| *i < self.service.shards && !pinned.contains(i));
            excess.extend(movable.take(shards.len().saturating_sub(*quota)));
        }
        let mut movable = excess.into_iter();
        for (candidate, quota) in candidates.iter().zip(&quotas) {
            let missing = quota.saturating_sub(candidate.shards as usize);
            for index in movable.by_ref().take(missing).collect::<Vec<_>>() {
                self.propose_change(index, candidate.domain.clone(), false);
            }
        }
    }

    /// Returns whether a domain has too many shards for its slots. Returns false if any shard has
    /// no home, or its home is not a candidate, because the balance is unknown then.
    fn is_imbalanced(&self, side: Side, candidates: &[CandidateDomain]) -> bool {
        let shards: usize = candidates
            .iter()
            .map(|candidate| candidate.shards as usize)
            .sum();
        let holders = self.plan.shards.by_home.iter();
        let all: usize = holders
            .filter(|((_, own), _)| *own == side)
            .map(|(_, shards)| shards.len())
            .sum();
        if shards != all || shards == 0 || !self.plan.shards.without_home(side).is_empty() {
            return false;
        }
        let slots: f64 = candidates
            .iter()
            .map(|candidate| f64::from(candidate.slots))
            .sum();
        let mean = shards as f64 / slots;
        let ratios = candidates
            .iter()
            .map(|candidate| f64::from(candidate.shards) / f64::from(candidate.slots));
        ratios.fold(0.0, f64::max) > self.config.imbalance_ratio * mean
    }

    /// Requests a move of each hot key's shard whose home differs from that of the shard to which
    /// the key hashes. This happens when an entry in the list of hot keys is replaced by another
    /// key.
    fn colocate_hot_keys(&mut self) {
        for index in self.service.shards..self.service.shard_count() {
            let base = self.home(hashed_shard_of(self.service, index));
            let (Some(home), Some(base)) = (self.home(index), base) else {
                continue;
            };
            let settled = home.next.is_none() && base.next.is_none();
            let accepts =
                self.reporting(&base.domain).is_some() && !self.state.is_evacuated(&base.domain);
            if settled && home.domain != base.domain && accepts {
                let to = base.domain.clone();
                self.propose_change(index, to, false);
            }
        }
    }

    /// Distributes shards to candidates. Each candidate gets a contiguous part, so that there are
    /// few home ranges. The shard of a hot key follows the shard to which the key hashes.
    fn distribute(
        &mut self,
        shards: &[ShardIndex],
        candidates: &[CandidateDomain],
        immediate: bool,
    ) {
        let hot = |index: &&ShardIndex| **index >= self.service.shards;
        let (hot, hashed): (Vec<&ShardIndex>, Vec<&ShardIndex>) = shards.iter().partition(hot);
        let counts = apportion(candidates, hashed.len());
        let mut hashed = hashed.into_iter();
        for (candidate, count) in candidates.iter().zip(counts) {
            for index in hashed.by_ref().take(count) {
                self.propose_change(*index, candidate.domain.clone(), immediate);
            }
        }
        for index in hot {
            let base = hashed_shard_of(self.service, *index);
            let planned = self.changes.get(&base).map(|change| &change.to);
            let domain = planned.or_else(|| {
                let home = self.home(base)?;
                // Of a large service, a hashed shard may be asked to move one command earlier.
                let next = home.next.as_ref();
                let next = next.filter(|_| self.state.is_evacuated(&home.domain));
                Some(next.unwrap_or(&home.domain))
            });
            let old = self.home(*index).map(|home| &home.domain);
            let fallback = candidates.first().map(|candidate| &candidate.domain);
            let to =
                domain.filter(|domain| Some(*domain) != old && !self.state.is_evacuated(domain));
            let to = if old.is_some() { to.or(fallback) } else { to };
            if let Some(to) = to.cloned() {
                self.propose_change(*index, to, immediate);
            }
        }
    }

    fn propose_change(&mut self, index: ShardIndex, to: DomainName, immediate: bool) {
        if self.changes.len() >= MAX_CHANGES {
            return;
        }
        let expected_since = self.home(index).map_or(0, |home| home.since);
        self.changes.entry(index).or_insert(HomeChange {
            index,
            expected_since,
            to,
            immediate,
        });
    }

    fn home(&self, index: ShardIndex) -> Option<&Home> {
        self.state.home(&self.service.name, index)
    }

    /// Returns those of `shards` for which no move was requested.
    fn not_moving(&self, shards: &[ShardIndex]) -> Vec<ShardIndex> {
        let settled =
            |index: &ShardIndex| self.home(*index).is_some_and(|home| home.next.is_none());
        shards.iter().copied().filter(settled).collect()
    }

    /// Returns the status of a domain that reports.
    fn reporting(&self, domain: &DomainName) -> Option<&DomainStatus> {
        let status = self.domains.get(domain)?;
        status
            .is_reporting(self.now, self.config.report_timeout)
            .then_some(status)
    }

    /// Returns the reporting domains that have targets for `side` of the service and are not under
    /// evacuation.
    fn candidates(&self, side: Side) -> Vec<CandidateDomain> {
        let domains = self.domains.keys();
        domains
            .filter(|domain| !self.state.is_evacuated(domain))
            .filter_map(|domain| {
                let slots = self.reporting(domain)?.slots(&self.service.name, side);
                (slots > 0).then(|| CandidateDomain {
                    domain: domain.clone(),
                    slots,
                    shards: self.plan.shards.homed_in(domain, side).len() as u32,
                })
            })
            .collect()
    }
}
