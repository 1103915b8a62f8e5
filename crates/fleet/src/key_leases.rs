//! The leader's view of the holds that targets may have.
//!
//! A [`Lease`] stands for one range of keys and its holder. Its `until` is the latest time at
//! which the holder may still act on a grant, whatever became of the calls: a hold starts when the
//! call arrives, which is at the latest when the call ended, and a target's clock may be slow.

mod lease;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use self::lease::{
    carve,
    merge,
    slowest, //
};
use crate::{
    keys::{
        Handover,
        Key,
        KeyMap,
        KeyRange, //
    },
    registry::{
        Address,
        Holder, //
    },
    routing::ServiceName,
    state::View,
};

/// Orders the holders of a key; rises with each new holder.
pub type FencingToken = u64;
/// Number of a call to a target.
pub type OrderId = u64;

/// Bits of a fence below the term, enough for a million grants by one leader.
const TERM_SHIFT: u32 = 20;
/// Longest time a grant may take. A call is reset after it, so that it cannot arrive later.
pub const CALL_LIMIT: Duration = Duration::from_millis(300);
/// Longest time a release may take; it lasts as long as the work that runs on the keys.
pub const RELEASE_LIMIT: Duration = Duration::from_millis(2500);
/// Renewals in one hold.
const RENEWALS: u32 = 4;
/// Time between two attempts after a target did not take an order.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Grants or renews a range of keys.
    Grant {
        /// First key.
        from: Key,
        /// Last key.
        to: Key,
        /// Fence.
        fence: FencingToken,
        /// How long the target may hold the keys, from the arrival of the call.
        lease: Duration,
        /// What the former holder gave.
        handover: Option<Handover>,
    },
    /// Stops new work on a range of keys.
    Release {
        /// First key.
        from: Key,
        /// Last key.
        to: Key,
        /// Fence.
        fence: FencingToken,
    },
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The grant is in force.
    Granted,
    /// The target has seen a higher fence.
    Fenced,
    /// The keys are free.
    Released(Option<Handover>),
    /// The target refused the order with this status.
    Refused(u16),
    /// There is no answer; the target may carry the order out if some of it was sent.
    Lost {
        /// Whether a byte of the order may have arrived.
        sent: bool,
    },
}

/// Where a lease is on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The holder is granted the keys again and again.
    Renewing,
    /// The holder was told to release the keys.
    Releasing {
        /// Who gets the keys next.
        next: Holder,
    },
    /// The holder has released the keys; an earlier grant may still be carried out.
    Released {
        /// Who gets the keys next.
        next: Holder,
        /// What the holder gave for the next one.
        handover: Option<Handover>,
    },
    /// The change of holder was proposed.
    Proposed,
}

/// A range of keys and the hold that its holder may have.
#[derive(Clone, Debug)]
pub struct Lease {
    /// The range and its holder, as replicated.
    pub range: KeyRange,
    fence: FencingToken,
    phase: Phase,
    /// Whether the range was assigned under this leader and its holder has not confirmed it yet.
    is_new: bool,
    /// Whether a grant with this fence was answered.
    settled: bool,
    /// When the last answered grant started.
    confirmed: Option<Duration>,
    /// Latest time at which the holder may act on any grant.
    until: Duration,
    /// Latest time at which a grant without an answer may be carried out.
    late_until: Duration,
    /// Whether the last grant got no answer.
    lost: bool,
    /// Grants since the last one that was carried out.
    failures: u32,
    renew: Duration,
    open: Option<OrderId>,
}

#[derive(Clone, Debug)]
struct Open {
    service: ServiceName,
    holder: Holder,
    started: Duration,
    /// The hold asked for; zero for a release.
    hold: Duration,
    /// End of the holds before the call.
    former_until: Duration,
}

/// A change of holder that is safe now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handoff {
    /// The service.
    pub service: ServiceName,
    /// Who had the keys.
    pub former: Option<Holder>,
    /// The range, its next holder and what the former one gave.
    pub range: KeyRange,
}

/// An order to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Number of the call.
    pub id: OrderId,
    /// The target.
    pub holder: Holder,
    /// Its address.
    pub address: Address,
    /// The order.
    pub order: Order,
    /// When the call is reset.
    pub deadline: Duration,
}

/// What the answer to an order says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered {
    /// The service.
    pub service: ServiceName,
    /// The target that was asked.
    pub holder: Holder,
    /// First and last keys of ranges that the target has now and did not have before.
    pub received: Vec<(Key, Key)>,
}

/// All leases of a leader.
#[derive(Debug)]
pub struct Grants {
    hold: Duration,
    term: u64,
    counter: u64,
    calls: OrderId,
    leases: BTreeMap<ServiceName, Vec<Lease>>,
    open: BTreeMap<OrderId, Open>,
}

impl Lease {
    /// Whether the range is on its way to another holder.
    pub fn is_moving(&self) -> bool {
        self.phase != Phase::Renewing
    }

    /// Whether the change of holder is on its way to the disks.
    pub fn is_proposed(&self) -> bool {
        self.phase == Phase::Proposed
    }

    /// Whether the last grant got no answer.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// The range and its holder.
    pub fn range(&self) -> KeyRange {
        self.range.clone()
    }

    /// The range and the holder that it has, or is on its way to.
    pub fn next_range(&self) -> KeyRange {
        let next = match &self.phase {
            Phase::Releasing { next } | Phase::Released { next, .. } => Some(next),
            Phase::Renewing | Phase::Proposed => None,
        };
        KeyRange {
            holder: next.or(self.range.holder.as_ref()).cloned(),
            ..self.range.clone()
        }
    }

    /// Latest time at which the holder may act on a grant.
    pub fn until(&self) -> Duration {
        self.until
    }
}

impl Grants {
    /// Starts with what the state machine says. Until a holder answers, it may hold its keys from
    /// a grant that the former leader sent last just before `now`.
    pub fn new(hold: Duration, term: u64, view: &View, now: Duration) -> Grants {
        let mut grants = Grants {
            hold,
            term,
            counter: 0,
            calls: 0,
            leases: BTreeMap::new(),
            open: BTreeMap::new(),
        };
        let until = now + CALL_LIMIT + slowest(hold);
        for (service, map) in &view.keys {
            let leases = map.ranges().iter().map(|range| grants.lease(range, until));
            let leases = leases.collect();
            grants.leases.insert(service.clone(), leases);
        }
        grants
    }

    fn lease(&mut self, range: &KeyRange, until: Duration) -> Lease {
        self.counter += 1;
        Lease {
            range: range.clone(),
            fence: (self.term << TERM_SHIFT) + self.counter,
            phase: Phase::Renewing,
            is_new: false,
            settled: false,
            confirmed: None,
            until,
            // A release follows an answered grant, whose fence is above those of former leaders.
            late_until: Duration::ZERO,
            lost: false,
            failures: 0,
            renew: Duration::ZERO,
            open: None,
        }
    }

    /// Leases of a service in the order of their keys.
    pub fn leases(&self, service: &str) -> &[Lease] {
        self.leases.get(service).map_or(&[], Vec::as_slice)
    }

    /// Services with leases.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.leases.keys()
    }

    /// Takes a committed assignment. The new holder has nothing yet, and the former one can no
    /// longer act.
    pub fn assigned(&mut self, service: &ServiceName, range: &KeyRange) {
        let mut leases = self.leases.remove(service).unwrap_or_default();
        if leases.is_empty() {
            for old in KeyMap::default().ranges() {
                leases.push(self.lease(old, Duration::ZERO));
            }
        }
        let fresh = Lease {
            is_new: true,
            ..self.lease(range, Duration::ZERO)
        };
        carve(&mut leases, range.from, range.to);
        leases.retain(|lease| lease.range.to < range.from || lease.range.from > range.to);
        leases.push(fresh);
        leases.sort_by_key(|lease| lease.range.from);
        self.leases.insert(service.clone(), leases);
    }

    /// Begins to move a range to another holder. Returns whether it did: a range that overlaps a
    /// move is left alone.
    pub fn begin_move(&mut self, service: &str, from: Key, to: Key, next: &Holder) -> bool {
        let Some(leases) = self.leases.get_mut(service) else {
            return false;
        };
        let inside = |lease: &Lease| lease.range.from <= to && lease.range.to >= from;
        if leases.iter().filter(|l| inside(l)).any(Lease::is_moving) {
            return false;
        }
        carve(leases, from, to);
        for lease in leases.iter_mut().filter(|lease| inside(lease)) {
            lease.phase = Phase::Releasing { next: next.clone() };
            lease.renew = Duration::ZERO;
        }
        true
    }

    /// Returns the orders that are due.
    pub fn due(&mut self, view: &View, now: Duration) -> Vec<Dispatch> {
        let mut out = Vec::new();
        for leases in self.leases.values_mut() {
            merge(leases);
        }
        let mut busy: Vec<Holder> = self
            .open
            .values()
            .filter(|open| !open.hold.is_zero())
            .map(|open| open.holder.clone())
            .collect();
        for (service, leases) in &mut self.leases {
            for lease in leases {
                let Some(holder) = lease.range.holder.clone() else {
                    continue;
                };
                if lease.open.is_some() || now < lease.renew || !view.is_current(&holder) {
                    continue;
                }
                let Some(target) = view.targets.get(&holder.id) else {
                    continue;
                };
                let Some((order, limit)) = lease.order(self.hold, now) else {
                    continue;
                };
                let former_until = lease.until;
                let hold = match order {
                    Order::Grant { lease, .. } => lease,
                    Order::Release { .. } => Duration::ZERO,
                };
                if !hold.is_zero() {
                    // One grant at a time keeps a target's connections and bursts of work low.
                    if busy.contains(&holder) {
                        continue;
                    }
                    busy.push(holder.clone());
                    lease.until = lease.until.max(now + limit + slowest(hold));
                }
                self.calls += 1;
                lease.open = Some(self.calls);
                self.open.insert(
                    self.calls,
                    Open {
                        service: service.clone(),
                        holder: holder.clone(),
                        started: now,
                        hold,
                        former_until,
                    },
                );
                out.push(Dispatch {
                    id: self.calls,
                    holder,
                    address: target.address,
                    order,
                    deadline: now + limit,
                });
            }
        }
        out
    }

    /// Takes the answer to an order. Returns what it says about the target, if the call is known.
    pub fn answered(&mut self, call: OrderId, answer: &Answer, now: Duration) -> Option<Answered> {
        let open = self.open.remove(&call)?;
        let mut fresh_ranges = Vec::new();
        self.counter += 1;
        let fresh = (self.term << TERM_SHIFT) + self.counter;
        let hold = self.hold;
        let leases = self.leases.get_mut(&open.service);
        // Parts of a range that was divided meanwhile share the fate of the call.
        for lease in leases.into_iter().flatten() {
            if lease.open != Some(call) {
                continue;
            }
            lease.open = None;
            if !open.hold.is_zero() {
                lease.failures += 1;
            }
            match answer {
                Answer::Granted => {
                    if lease.is_new {
                        lease.is_new = false;
                        fresh_ranges.push((lease.range.from, lease.range.to));
                    }
                    lease.settled = true;
                    lease.range.handover = None;
                    lease.lost = false;
                    lease.failures = 0;
                    lease.confirmed = Some(open.started);
                    lease.renew = open.started + hold / RENEWALS;
                }
                Answer::Released(handover) => {
                    if let Phase::Releasing { next } = &lease.phase {
                        lease.phase = Phase::Released {
                            next: next.clone(),
                            handover: handover.clone(),
                        };
                    }
                }
                Answer::Fenced => {
                    lease.fence = fresh;
                    lease.renew = now + RETRY_PAUSE;
                }
                Answer::Lost { sent: true } if !open.hold.is_zero() => {
                    lease.lost = true;
                    lease.late_until = lease.late_until.max(now + slowest(open.hold));
                    lease.renew = now + RETRY_PAUSE;
                }
                Answer::Refused(_) | Answer::Lost { .. } => {
                    if !open.hold.is_zero() {
                        lease.until = open.former_until;
                    }
                    lease.renew = now + RETRY_PAUSE;
                }
            }
        }
        Some(Answered {
            service: open.service,
            holder: open.holder,
            received: fresh_ranges,
        })
    }

    /// Returns the changes of holder that are safe now, and notes them as proposed. `heir` picks a
    /// holder for a range whose holder is gone; without one, the range waits.
    pub fn handoffs<Heir>(&mut self, view: &View, now: Duration, mut heir: Heir) -> Vec<Handoff>
    where
        Heir: FnMut(&ServiceName, &KeyRange) -> Option<Holder>,
    {
        let mut out = Vec::new();
        let deaf: BTreeSet<Holder> = self
            .leases
            .values()
            .flatten()
            .filter(|lease| lease.failures > 0)
            .filter_map(|lease| lease.range.holder.clone())
            .collect();
        for (service, leases) in &mut self.leases {
            for lease in leases {
                let Some(holder) = &lease.range.holder else {
                    continue;
                };
                let replaced = view.is_replaced(holder) && lease.open.is_none();
                // A holder that was not asked yet is no reason to look for another. One that failed
                // to answer for one range does so for all.
                let asked = deaf.contains(holder) || !view.is_current(holder);
                let ended = replaced || (asked && now >= lease.until);
                let (next, handover) = match &lease.phase {
                    Phase::Proposed => continue,
                    Phase::Released { next, handover } if ended || now >= lease.late_until => {
                        (Some(next.clone()), handover.clone())
                    }
                    Phase::Releasing { next } if ended => (Some(next.clone()), None),
                    Phase::Renewing if ended => (None, None),
                    _ => continue,
                };
                let next = next.filter(|next| view.is_current(next));
                let Some(next) = next.or_else(|| heir(service, &lease.range)) else {
                    continue;
                };
                lease.phase = Phase::Proposed;
                out.push(Handoff {
                    service: service.clone(),
                    former: lease.range.holder.clone(),
                    range: KeyRange {
                        holder: Some(next),
                        handover,
                        ..lease.range.clone()
                    },
                });
            }
        }
        out
    }

    /// Notes that a proposal was dropped; the change of holder is tried again.
    pub fn reopen(&mut self, service: &str, range: &KeyRange) {
        for lease in self.leases.get_mut(service).into_iter().flatten() {
            if lease.phase == Phase::Proposed
                && lease.range.from >= range.from
                && lease.range.to <= range.to
            {
                // The keys are free already, so the next look at them proposes again.
                lease.phase = Phase::Renewing;
                lease.failures += 1;
                lease.until = Duration::ZERO;
            }
        }
    }
}
