//! Homes of shards: first homes, moves by consent, and moves away from domains that are gone.

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
        Leaving,
        Watch, //
    }, //
    may_ask,
    shards::{
        Place,
        ShardMap,
        apportion,
        base_of, //
    },
};
use crate::{
    Command,
    Home,
    HomeChange,
    State, //
};

/// Most changes in one command, so that a command stays well below a message's limit.
const MAX_CHANGES: usize = 4096;

const SIDES: [Side; 2] = [Side::Old, Side::New];

/// What the planner remembers of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServicePlan {
    map: ShardMap,
    /// Since when shards without a home could get one.
    open: BTreeMap<Side, Duration>,
    /// Since when domains are imbalanced.
    uneven: BTreeMap<Side, Duration>,
    /// When changes were proposed last, and `State::homes_changed` at that time.
    asked: Option<(Duration, u64)>,
}

impl Planner {
    pub(super) fn plan_homes(
        &mut self,
        state: &State,
        elected: Duration,
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
            plan.map.refresh(state, service);
            let mut round = Round {
                config: &self.config,
                state,
                service,
                elected,
                now,
                domains: &mut self.domains,
                plan,
                changes: BTreeMap::new(),
            };
            round.plan();
            let changes: Vec<HomeChange> = round.changes.into_values().collect();
            let changed = state.homes_changed(&service.name);
            let asked = plan.asked.filter(|(_, seen)| *seen == changed);
            if changes.is_empty()
                || !may_ask(asked.map(|(at, _)| at), now, self.config.retry_interval)
            {
                continue;
            }
            plan.asked = Some((now, changed));
            mark_leaving(&mut self.domains, state, service, &changes);
            commands.push(Command::SetHomes {
                service: service.name.clone(),
                bundle: bundle.version,
                changes,
            });
        }
        commands
    }
}

/// Notes which domains lose shards without having parked them.
fn mark_leaving(
    domains: &mut BTreeMap<DomainName, Watch>,
    state: &State,
    service: &Service,
    changes: &[HomeChange],
) {
    for change in changes.iter().filter(|change| change.immediate) {
        let Some(home) = state.home(&service.name, change.index) else {
            continue;
        };
        if let Some(watch) = domains.get_mut(&home.domain)
            && !is_parked(watch, service, change.index, home)
        {
            let moving = (service.name.clone(), change.index);
            let leaving = Leaving {
                since: home.since,
                bundle: state.bundle().map_or(0, |bundle| bundle.version),
                to: change.to.clone(),
            };
            watch.leaving.insert(moving, leaving);
            watch.renews = false;
        }
    }
}

fn is_parked(watch: &Watch, service: &Service, index: ShardIndex, home: &Home) -> bool {
    let parked = |(name, shard, since): &(Box<str>, ShardIndex, u64)| {
        (&**name, *shard, *since) == (&*service.name, index, home.since)
    };
    watch.parked.iter().any(parked)
}

/// One look at one service.
struct Round<'a> {
    config: &'a PlannerConfig,
    state: &'a State,
    service: &'a Service,
    elected: Duration,
    now: Duration,
    domains: &'a mut BTreeMap<DomainName, Watch>,
    plan: &'a mut ServicePlan,
    /// Changes to propose; the first rule that names a shard decides.
    changes: BTreeMap<ShardIndex, HomeChange>,
}

impl Round<'_> {
    fn plan(&mut self) {
        let names: Vec<DomainName> = self.domains.keys().cloned().collect();
        for domain in &names {
            self.leave_lost(domain);
            self.move_parked(domain);
        }
        for side in SIDES {
            self.first_homes(side);
            for domain in &names {
                self.leave_starved(domain, side);
            }
            self.even_out(side);
        }
        self.join_hot_keys();
    }

    /// Gives shards without a home their first one, in proportion to the slots that domains have.
    ///
    /// It waits a while for domains that have not reported targets yet, so that the first domain
    /// to start does not get everything.
    fn first_homes(&mut self, side: Side) {
        let free = self.plan.map.free(side).to_vec();
        let places = if free.is_empty() {
            Vec::new()
        } else {
            self.places(side)
        };
        if places.is_empty() {
            self.plan.open.remove(&side);
            return;
        }
        let since = *self.plan.open.entry(side).or_insert(self.now);
        let known = self.state.domains();
        let expected = known.iter().filter(|name| !self.state.is_lost(name));
        // Shards of hot keys follow the shards that have homes already.
        let waits = free.iter().any(|index| *index < self.service.shards);
        let complete = expected.count() <= places.len();
        if waits && !complete && self.now < since + self.config.home_delay {
            return;
        }
        self.spread(&free, &places, true);
    }

    /// Moves shards that their home has released, and withdraws the request if no other domain
    /// can serve them any more but the home can.
    fn move_parked(&mut self, domain: &DomainName) {
        let Some(watch) = self.alive(domain) else {
            return;
        };
        let parked: Vec<(ShardIndex, u64)> = watch
            .parked
            .iter()
            .filter(|(service, _, _)| *service == self.service.name)
            .map(|(_, index, since)| (*index, *since))
            .collect();
        let places = SIDES.map(|side| (side, self.places(side)));
        for (index, since) in parked {
            let Some(home) = self.home(index).filter(|home| home.since == since) else {
                continue;
            };
            let Some(next) = home.next.as_ref().filter(|_| home.domain == *domain) else {
                continue;
            };
            let side = self.service.side_of(index);
            let places = places.iter().filter(|(own, _)| *own == side);
            let places = || places.clone().flat_map(|(_, places)| places);
            let wanted = places().find(|place| place.domain == *next);
            let other = || {
                let others = places().filter(|place| place.domain != *domain);
                others.max_by_key(|place| place.slots)
            };
            let own = || places().find(|place| place.domain == *domain);
            if let Some(place) = wanted.or_else(other).or_else(own) {
                let to = place.domain.clone();
                self.change(index, to, true);
            }
        }
    }

    /// Gives the shards of a domain that is gone another home.
    ///
    /// A domain that is cut off stops serving when its domain lease has run out, counted from
    /// before it sent the last report that was answered. Its VMs may then still use their leases,
    /// and the last requests may run until their deadline. A replaced group may have served until
    /// its replacement was formed, by a bundle older than its successor's. A domain that was declared lost runs
    /// nothing, so only what was in flight is waited for.
    fn leave_lost(&mut self, domain: &DomainName) {
        let Some(watch) = self.domains.get(domain) else {
            return;
        };
        let Some(reach) = self.state.serving_bound(domain, &self.service.name) else {
            return;
        };
        let rest = self.config.vm_lease + reach.deadline + self.config.safety_margin;
        let declared = watch.lost.map(|(_, at)| at + rest);
        let silent = reach.lease.map(|lease| {
            let granted = watch.granted.unwrap_or(self.elected).max(self.elected);
            granted.max(watch.began) + lease + lease / 10 + rest
        });
        let over = |at: Option<Duration>| at.is_some_and(|at| self.now >= at);
        if !over(declared) && !over(silent) {
            return;
        }
        // A repeated proposal names the same domain, so that both have the same effect.
        let mut again = Vec::new();
        for ((service, index), leaving) in &watch.leaving {
            if *service == self.service.name {
                again.push((*index, leaving.to.clone()));
            }
        }
        for (index, to) in again {
            self.change(index, to, true);
        }
        for side in SIDES {
            let held = self.plan.map.held(domain, side).to_vec();
            let mut places = self.places(side);
            places.retain(|place| place.domain != *domain);
            self.spread(&held, &places, true);
        }
    }

    /// Asks a domain to release the shards of a side for which it has had no targets for a while.
    fn leave_starved(&mut self, domain: &DomainName, side: Side) {
        let holds = !self.plan.map.held(domain, side).is_empty();
        let places = self.places(side);
        let starved = self.alive(domain).is_some_and(|watch| {
            watch.slots(&self.service.name, side) == 0 && holds && !places.is_empty()
        });
        let Some(watch) = self.domains.get_mut(domain) else {
            return;
        };
        let key = (self.service.name.clone(), side);
        if !starved {
            watch.starved.remove(&key);
            return;
        }
        let since = *watch.starved.entry(key).or_insert(self.now);
        if self.now < since + self.config.starvation_timeout {
            return;
        }
        let held = self.settled(self.plan.map.held(domain, side));
        self.spread(&held, &places, false);
    }

    /// Evens out the shards between domains after a lasting imbalance, if the service's weights
    /// put imbalance at least as high as churn. Hot keys and the shards they hash to stay.
    fn even_out(&mut self, side: Side) {
        let weights = &self.service.weights;
        let allowed = weights.imbalance >= weights.churn && !self.plan.map.moving;
        let places = self.places(side);
        if !allowed || !self.is_uneven(side, &places) {
            self.plan.uneven.remove(&side);
            return;
        }
        let since = *self.plan.uneven.entry(side).or_insert(self.now);
        if self.now < since + self.config.rebalance_delay {
            return;
        }
        let total: usize = places.iter().map(|place| place.held as usize).sum();
        let empty: Vec<Place> = places
            .iter()
            .map(|place| Place {
                held: 0,
                ..place.clone()
            })
            .collect();
        let quotas = apportion(&empty, total);
        let bases: Vec<ShardIndex> = (self.service.shards..self.service.shard_count())
            .map(|hot| base_of(self.service, hot))
            .collect();
        let mut excess = Vec::new();
        for (place, quota) in places.iter().zip(&quotas) {
            let held = self.plan.map.held(&place.domain, side);
            let movable = held.iter().rev().copied();
            let movable = movable.filter(|i| *i < self.service.shards && !bases.contains(i));
            excess.extend(movable.take(held.len().saturating_sub(*quota)));
        }
        let mut rest = excess.into_iter();
        for (place, quota) in places.iter().zip(&quotas) {
            let missing = quota.saturating_sub(place.held as usize);
            for index in rest.by_ref().take(missing).collect::<Vec<_>>() {
                self.change(index, place.domain.clone(), false);
            }
        }
    }

    /// Tells whether a domain has too many shards for its slots. Shards in domains that cannot be
    /// judged now leave everything as it is.
    fn is_uneven(&self, side: Side, places: &[Place]) -> bool {
        let held: usize = places.iter().map(|place| place.held as usize).sum();
        let holders = self.plan.map.held.iter();
        let all: usize = holders
            .filter(|((_, own), _)| *own == side)
            .map(|(_, shards)| shards.len())
            .sum();
        if held != all || held == 0 || !self.plan.map.free(side).is_empty() {
            return false;
        }
        let slots: f64 = places.iter().map(|place| f64::from(place.slots)).sum();
        let mean = held as f64 / slots;
        let ratios = places
            .iter()
            .map(|place| f64::from(place.held) / f64::from(place.slots));
        ratios.fold(0.0, f64::max) > self.config.imbalance_ratio * mean
    }

    /// Asks to release a hot key's shard whose home is not the home of the shard that the key
    /// hashes to. This happens when a position in the list of hot keys gets another key.
    fn join_hot_keys(&mut self) {
        for index in self.service.shards..self.service.shard_count() {
            let base = self.home(base_of(self.service, index));
            let (Some(home), Some(base)) = (self.home(index), base) else {
                continue;
            };
            let settled = home.next.is_none() && base.next.is_none();
            if settled && home.domain != base.domain && self.alive(&base.domain).is_some() {
                let to = base.domain.clone();
                self.change(index, to, false);
            }
        }
    }

    /// Distributes shards over places, each place a contiguous part, so that homes have few runs.
    /// A hot key's shard follows the shard that the key hashes to.
    fn spread(&mut self, shards: &[ShardIndex], places: &[Place], now: bool) {
        let hot = |index: &&ShardIndex| **index >= self.service.shards;
        let (hot, hashed): (Vec<&ShardIndex>, Vec<&ShardIndex>) = shards.iter().partition(hot);
        let counts = apportion(places, hashed.len());
        let mut hashed = hashed.into_iter();
        for (place, count) in places.iter().zip(counts) {
            for index in hashed.by_ref().take(count) {
                self.change(*index, place.domain.clone(), now);
            }
        }
        for index in hot {
            let base = base_of(self.service, *index);
            let planned = self.changes.get(&base).map(|change| &change.to);
            let domain = planned.or_else(|| self.home(base).map(|home| &home.domain));
            let old = self.home(*index).map(|home| &home.domain);
            let fallback = places.first().map(|place| &place.domain);
            let to = domain.filter(|domain| Some(*domain) != old);
            let to = if old.is_some() { to.or(fallback) } else { to };
            if let Some(to) = to.cloned() {
                self.change(*index, to, now);
            }
        }
    }

    fn change(&mut self, index: ShardIndex, to: DomainName, now: bool) {
        if self.changes.len() >= MAX_CHANGES {
            return;
        }
        let expect = self.home(index).map_or(0, |home| home.since);
        self.changes.entry(index).or_insert(HomeChange {
            index,
            expected_since: expect,
            to,
            immediate: now,
        });
    }

    fn home(&self, index: ShardIndex) -> Option<&Home> {
        self.state.home(&self.service.name, index)
    }

    /// Returns those of `shards` that were not asked to move.
    fn settled(&self, shards: &[ShardIndex]) -> Vec<ShardIndex> {
        let settled =
            |index: &ShardIndex| self.home(*index).is_some_and(|home| home.next.is_none());
        shards.iter().copied().filter(settled).collect()
    }

    /// Returns the watch of a domain that reports.
    fn alive(&self, domain: &DomainName) -> Option<&Watch> {
        let watch = self.domains.get(domain)?;
        watch
            .is_alive(self.now, self.config.report_timeout)
            .then_some(watch)
    }

    /// Returns the domains that have targets for `side` of the service.
    fn places(&self, side: Side) -> Vec<Place> {
        let domains = self.domains.keys();
        domains
            .filter_map(|domain| {
                let slots = self.alive(domain)?.slots(&self.service.name, side);
                (slots > 0).then(|| Place {
                    domain: domain.clone(),
                    slots,
                    held: self.plan.map.held(domain, side).len() as u32,
                })
            })
            .collect()
    }
}
