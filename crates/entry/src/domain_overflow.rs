//! How many requests leave a failure domain, and where they go.
//!
//! Load pattern: the targets of one domain are too few for its callers, because of a burst there, an
//! evacuation or lost targets, while other domains have room. If each VM decided alone, all VMs of a
//! domain would leave at the same moment, for targets whose room they do not know.
//!
//! The decision depends only on the demand and the capacity of each domain, which all VMs get in the
//! same summary from the leader. Demand counts where requests enter the fleet, so requests that leave
//! do not change it, and the decision does not feed back on itself. It is a continuous function: a
//! small change of demand moves few requests.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_fleet::{
    Domain,
    ServiceName,
    service_demand::Bodies, //
};
use rand::Rng;

/// Utilization up to which a domain keeps its requests and takes those of others. With 30 to 60 slots
/// in a domain, few requests queue below it; traffic between domains costs more than this wait.
const COMFORTABLE_UTILIZATION: f64 = 0.8;
/// Difference from the mean utilization at which a domain sends requests to domains that are above the
/// comfortable utilization too: below it, moving them costs more than it evens out.
const CLEAR_DIFFERENCE: f64 = 0.25;
/// Steps of the search for a utilization, each of which halves the interval.
const SEARCH_STEPS: u32 = 40;
/// Change of a fraction that takes effect at once. Demand that is averaged over 0.5 s varies by 7 to
/// 10 % at 100 to 200 requests per second.
const MIN_CHANGE: f64 = 0.05;
/// Time after which a smaller change takes effect as well.
const SMALL_CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Demand and capacity of one failure domain for a service, in slots of a target of usual speed.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainBalance {
    /// The domain.
    pub domain: Domain,
    /// Demand of its callers for requests with short bodies.
    pub short: f64,
    /// Demand of its callers for requests with large bodies.
    pub large: f64,
    /// Slots of its targets that accept requests.
    pub capacity: f64,
}

impl DomainBalance {
    fn demand(&self) -> f64 {
        self.short + self.large
    }

    /// Demand beyond a utilization.
    fn excess(&self, utilization: f64) -> f64 {
        (self.demand() - self.capacity * utilization).max(0.0)
    }

    /// Room up to a utilization.
    fn room(&self, utilization: f64) -> f64 {
        (self.capacity * utilization - self.demand()).max(0.0)
    }
}

/// Fractions of a domain's requests that leave it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Departure {
    /// Of those with short bodies.
    pub short: f64,
    /// Of those with large bodies. They leave last, because a body of 60 kB takes 220 ms on a link of
    /// 2.2 Mbit/s and bytes between domains cost money.
    pub large: f64,
}

impl Departure {
    /// The fraction of requests with such bodies.
    pub fn of(self, bodies: Bodies) -> f64 {
        match bodies {
            Bodies::Short => self.short,
            Bodies::Large => self.large,
        }
    }

    fn differs(self, other: Departure) -> bool {
        let change = (self.short - other.short).abs();
        change.max((self.large - other.large).abs()) >= MIN_CHANGE
    }
}

/// The random choice of a request, from 0 to 1. It is drawn once: a request that waits is tried several
/// times, and would leave in the end if each try were another choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DepartureDraw {
    /// The request leaves if this is below the fraction.
    pub leaving: f64,
    /// Selects the domain that receives it.
    pub receiver: f64,
}

impl DepartureDraw {
    /// Draws for a request.
    pub fn new<Random>(random: &mut Random) -> DepartureDraw
    where
        Random: Rng,
    {
        DepartureDraw {
            leaving: random.random(),
            receiver: random.random(),
        }
    }
}

/// Which requests for a service leave each domain, and which domains receive them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverflowPlan {
    departures: BTreeMap<Domain, Departure>,
    /// Shares of the requests that leave; their sum is 1 unless there are none.
    receivers: Vec<(Domain, f64)>,
}

impl OverflowPlan {
    /// Decides for one service. The result does not depend on the order of the domains.
    ///
    /// ```
    /// use camphordale_entry::{DomainBalance, OverflowPlan};
    ///
    /// let balance = |domain: &str, short, capacity| DomainBalance {
    ///     domain: domain.into(),
    ///     short,
    ///     large: 0.0,
    ///     capacity,
    /// };
    /// // Of the demand for 20 slots, those beyond 8 leave.
    /// let plan = OverflowPlan::new(&[balance("a", 20.0, 10.0), balance("b", 8.0, 30.0)]);
    /// assert!((plan.departure("a").short - 0.6).abs() < 0.01);
    /// assert_eq!(plan.departure("b").short, 0.0);
    /// ```
    pub fn new(domains: &[DomainBalance]) -> OverflowPlan {
        let total = |part: &dyn Fn(&DomainBalance) -> f64| domains.iter().map(part).sum::<f64>();
        let (demand, capacity) = (total(&DomainBalance::demand), total(&|d| d.capacity));
        if capacity <= 0.0 || demand <= 0.0 {
            return OverflowPlan::default();
        }
        let mean = demand / capacity;
        let (keep, fill) = if mean <= COMFORTABLE_UTILIZATION {
            (COMFORTABLE_UTILIZATION, COMFORTABLE_UTILIZATION)
        } else {
            // The domains above the mark are brought to a common utilization by the room that the
            // others have below it, and if that is still far from the mean, by more.
            let room = total(&|d| d.room(COMFORTABLE_UTILIZATION));
            let most = mean + CLEAR_DIFFERENCE;
            let keep = search((COMFORTABLE_UTILIZATION, most), |level| {
                total(&|d| d.excess(level)) > room
            });
            let leaving = total(&|d| d.excess(keep));
            let fill = search((COMFORTABLE_UTILIZATION, mean), |level| {
                total(&|d| d.room(level)) < leaving
            });
            (keep, fill)
        };
        let room = total(&|d| d.room(fill));
        let departures = domains.iter().filter_map(|domain| {
            let excess = domain.excess(keep);
            let others = room - domain.room(fill);
            if excess <= 0.0 || others <= 0.0 {
                return None;
            }
            let short = fraction(excess, domain.short);
            let large = fraction(excess - domain.short, domain.large);
            Some((domain.domain.clone(), Departure { short, large }))
        });
        let departures: BTreeMap<Domain, Departure> = departures.collect();
        let receivers = domains.iter().filter(|domain| domain.room(fill) > 0.0);
        let receivers = receivers.map(|domain| (domain.domain.clone(), domain.room(fill) / room));
        let mut receivers: Vec<(Domain, f64)> = receivers.collect();
        receivers.sort_by(|(a, _), (b, _)| a.cmp(b));
        if departures.is_empty() {
            receivers.clear();
        }
        OverflowPlan {
            departures,
            receivers,
        }
    }

    /// The fractions of the requests of a domain that leave it.
    pub fn departure(&self, domain: &str) -> Departure {
        self.departures.get(domain).copied().unwrap_or_default()
    }

    /// The domains that receive requests, with their shares.
    pub fn receivers(&self) -> &[(Domain, f64)] {
        &self.receivers
    }

    /// The other domain that a request of `domain` goes to, or `None` if it stays.
    ///
    /// ```
    /// use camphordale_entry::{DepartureDraw, OverflowPlan};
    /// use camphordale_fleet::service_demand::Bodies;
    ///
    /// let draw = DepartureDraw { leaving: 0.0, receiver: 0.5 };
    /// assert_eq!(OverflowPlan::default().destination("a", Bodies::Short, draw), None);
    /// ```
    pub fn destination(
        &self,
        domain: &str,
        bodies: Bodies,
        draw: DepartureDraw,
    ) -> Option<&Domain> {
        if draw.leaving >= self.departure(domain).of(bodies) {
            return None;
        }
        let mut point = draw.receiver;
        let mut chosen = None;
        for (receiver, share) in &self.receivers {
            chosen = Some(receiver);
            point -= share;
            if point < 0.0 {
                break;
            }
        }
        chosen.filter(|receiver| ***receiver != *domain)
    }

    fn differs(&self, other: &OverflowPlan) -> bool {
        let domains = self.departures.keys().chain(other.departures.keys());
        let mut departures = domains.map(|d| (self.departure(d), other.departure(d)));
        if departures.any(|(departure, other)| departure.differs(other)) {
            return true;
        }
        // Shares matter as far as requests leave.
        let share = |plan: &OverflowPlan, domain: &Domain| {
            let found = plan.receivers.iter().find(|(other, _)| other == domain);
            found.map_or(0.0, |(_, share)| *share)
        };
        let domains = self.receivers.iter().chain(&other.receivers);
        let mut changes = domains.map(|(d, _)| (share(self, d) - share(other, d)).abs());
        changes.any(|change| change >= 2.0 * MIN_CHANGE)
    }
}

/// The part of `whole` that `amount` is, between 0 and 1.
fn fraction(amount: f64, whole: f64) -> f64 {
    if amount <= 0.0 || whole <= 0.0 {
        0.0
    } else {
        (amount / whole).min(1.0)
    }
}

/// The least level between the bounds at which `is_below` is false, or the upper bound.
fn search<Predicate>((mut low, mut high): (f64, f64), is_below: Predicate) -> f64
where
    Predicate: Fn(f64) -> bool,
{
    for _ in 0..SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        if is_below(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// The plans in force.
///
/// A plan is replaced at once if a fraction changes by a twentieth or more, as after a loss of
/// capacity, and otherwise once per second, so that it does not follow the noise of the demand.
#[derive(Debug, Default)]
pub struct OverflowPlans {
    plans: BTreeMap<ServiceName, (OverflowPlan, Duration)>,
}

impl OverflowPlans {
    /// Adopts the plan for a service if it differs enough from the one in force. Returns whether it
    /// changes what is in force.
    pub fn adopt(&mut self, service: &ServiceName, plan: OverflowPlan, now: Duration) -> bool {
        if let Some((known, adopted_at)) = self.plans.get_mut(service) {
            let is_due = now.saturating_sub(*adopted_at) >= SMALL_CHANGE_INTERVAL;
            if *known == plan || (!is_due && !plan.differs(known)) {
                return false;
            }
            (*known, *adopted_at) = (plan, now);
            return true;
        }
        let leaves = plan != OverflowPlan::default();
        self.plans.insert(service.clone(), (plan, now));
        leaves
    }

    /// The plan for a service.
    pub fn get(&self, service: &str) -> Option<&OverflowPlan> {
        self.plans.get(service).map(|(plan, _)| plan)
    }

    /// Forgets the services for which `keep` is false.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&ServiceName) -> bool,
    {
        self.plans.retain(|service, _| keep(service));
    }
}
