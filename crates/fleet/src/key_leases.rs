//! The leader's record of the key leases that targets may hold.
//!
//! A [`Lease`] covers one key range and its holder. Its `expiry` is the latest time at which the
//! holder may still act on a grant, whether or not the grant was answered. It is a worst case: the
//! target counts the lease from the arrival of the order, which may be as late as the order's
//! deadline, and the target's clock may be slow.
//!
//! Services with [`KeyDelivery::Call`] get orders from [`LeaseTable::due_orders`]. Targets of
//! services with [`KeyDelivery::Heartbeat`] report what they hold and get all their leases in the
//! answer: see the module `heartbeat`.

mod heartbeat;
mod lease;
mod orders;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

pub use self::heartbeat::{
    FreedRange,
    GrantedRange,
    HeartbeatAnswer,
    HeldPhase,
    HeldRange,
    LeaseReport,
    MAX_GRANTED_RANGES, //
};
pub use self::orders::{
    Answer,
    AnsweredOrder,
    Dispatch,
    FencingToken,
    Order,
    OrderConnection,
    OrderId,
    SessionId, //
};
use self::{
    lease::{
        split_at,
        worst_case_duration, //
    },
    orders::InFlightOrder, //
};
use crate::{
    keys::{
        HandoverData,
        Key,
        KeyMap,
        KeyRange, //
    },
    registry::Holder,
    routing::{
        KeyDelivery,
        ServiceName, //
    },
    state::View,
};

/// Number of low bits of a fencing token that count the grants of one leader, about a million; the
/// term is in the bits above.
const FENCE_COUNTER_BITS: u32 = 20;
/// Number of low bits of the numbers of orders and of connections that count those of one leader;
/// the term is in the bits above. They aren't stored, and a busy leader sends a million orders in
/// less than an hour, so they have more bits than fencing tokens: years of orders.
const ORDER_COUNTER_BITS: u32 = 40;
/// Number of fencing tokens that are left when the leader resigns. It checks at each tick. Between
/// two ticks a range may get a new holder, lose its connection and be fenced; this is enough for all
/// of these with as many ranges as there are keys.
const FENCE_RESERVE: u64 = 1 << 18;
/// Time limit for a grant on a connection on which the target has answered before. The connection is
/// reset when it passes.
pub const GRANT_TIMEOUT: Duration = Duration::from_millis(300);
/// Part of a lease for which the first order on a connection may wait before a loaded target reads it.
/// Resetting the connection does not recall such an order.
const FIRST_ORDER_WAIT: f64 = 2.0 / 3.0;
/// Time limit for a release, which lasts as long as the requests that are running on the keys.
pub const RELEASE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Announcement intervals in which the holder of a newly assigned range is expected to announce
/// itself.
const CLAIM_INTERVALS: u32 = 2;
/// State of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The lease is renewed periodically.
    Renewing,
    /// The holder is to release the keys. It has been ordered to, or, with delivery by heartbeat,
    /// its next answer may leave them out.
    Releasing {
        /// The next holder.
        next: Holder,
    },
    /// The keys were left out of an answer to the holder, which has not reported their release.
    Withheld {
        /// The next holder.
        next: Holder,
    },
    /// The holder has released the keys. An earlier grant may still take effect.
    Released {
        /// The next holder.
        next: Holder,
        /// Handover data for the next holder.
        handover: Option<HandoverData>,
    },
    /// The change of holder has been proposed to the Raft group.
    Proposed {
        /// The next holder.
        next: Holder,
    },
}

/// A key range and the lease that its holder may have.
#[derive(Clone, Debug)]
pub struct Lease {
    /// The range and its holder, as replicated.
    pub range: KeyRange,
    fence: FencingToken,
    phase: Phase,
    /// Whether the range was assigned under this leader and its holder has not acknowledged a grant
    /// yet.
    unconfirmed: bool,
    /// Whether a grant with this fencing token was acknowledged.
    acknowledged: bool,
    /// Whether the answer to the last grant is certainly its own, because nothing was sent over its
    /// connection before. On a kept connection a second copy of an earlier answer may take the place
    /// of the answer to a grant that the target carries out later.
    proved: bool,
    /// When the last acknowledged grant was sent.
    acknowledged_at: Option<Duration>,
    /// Latest time at which the holder may act on any grant.
    expiry: Duration,
    /// Latest time at which a lease from an unanswered grant may still be valid.
    unanswered_expiry: Duration,
    /// Whether the last grant was left unanswered.
    unanswered: bool,
    /// Whether another target was found at the address of the holder, which has ended therefore.
    has_ended: bool,
    /// Consecutive orders that were not carried out.
    failures: u32,
    next_renewal: Duration,
    in_flight: Option<OrderId>,
    /// The connection over which the current fencing token was sent. The token is sent over no
    /// other one, because another incarnation of the target may answer there.
    session: Option<SessionId>,
    /// Until when the holder of a range assigned under this leader is expected to announce itself,
    /// which is when it can be told. Only with delivery by heartbeat.
    claim_by: Option<Duration>,
}

/// Durations of key leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Lease of services whose targets are called.
    pub call: Duration,
    /// Lease of services whose targets get it in answers to their announcements.
    pub heartbeat: Duration,
    /// Time between two announcements of a target.
    pub interval: Duration,
}

/// A change of holder that is safe to propose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderChange {
    /// The service.
    pub service: ServiceName,
    /// The previous holder.
    pub previous: Option<Holder>,
    /// The range, its next holder and the handover data.
    pub range: KeyRange,
}

/// All key leases of a leader.
#[derive(Debug)]
pub struct LeaseTable {
    times: LeaseTimes,
    term: u64,
    fence_counter: u64,
    last_order: OrderId,
    leases: BTreeMap<ServiceName, Vec<Lease>>,
    in_flight: BTreeMap<OrderId, InFlightOrder>,
    last_session: SessionId,
    /// The open connections for grants.
    sessions: BTreeMap<Holder, SessionId>,
}

impl Lease {
    /// Whether the range is moving to another holder.
    pub fn is_moving(&self) -> bool {
        self.phase != Phase::Renewing
    }

    /// Whether a change of holder has been proposed and is not committed yet.
    pub fn is_proposed(&self) -> bool {
        matches!(self.phase, Phase::Proposed { .. })
    }

    /// Whether the last grant was left unanswered.
    pub fn is_unanswered(&self) -> bool {
        self.unanswered
    }

    /// The range and its holder.
    pub fn range(&self) -> KeyRange {
        self.range.clone()
    }

    /// The range with its next holder if it is moving, otherwise with its current one.
    pub fn next_range(&self) -> KeyRange {
        let next = match &self.phase {
            Phase::Releasing { next }
            | Phase::Withheld { next }
            | Phase::Released { next, .. }
            | Phase::Proposed { next } => Some(next),
            Phase::Renewing => None,
        };
        KeyRange {
            holder: next.or(self.range.holder.as_ref()).cloned(),
            ..self.range.clone()
        }
    }

    /// Latest time at which the holder may act on a grant.
    pub fn expiry(&self) -> Duration {
        self.expiry
    }
}

impl LeaseTable {
    /// Starts from the replicated state. Until a holder answers, it may have a lease from a grant
    /// that the previous leader sent just before `now`.
    pub fn new(times: LeaseTimes, term: u64, view: &View, now: Duration) -> LeaseTable {
        let mut table = LeaseTable {
            times,
            term,
            fence_counter: 0,
            // An answer to an order of a former term may still arrive.
            last_order: term << ORDER_COUNTER_BITS,
            leases: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            // Numbers of a former term may still be in use by the process.
            last_session: term << ORDER_COUNTER_BITS,
            sessions: BTreeMap::new(),
        };
        for (service, map) in &view.keys {
            let expiry = match view.key_delivery(service) {
                KeyDelivery::Heartbeat => now + worst_case_duration(times.heartbeat),
                KeyDelivery::Call | KeyDelivery::Unkeyed => {
                    now + GRANT_TIMEOUT + worst_case_duration(times.call)
                }
            };
            let mut leases: Vec<Lease> = Vec::with_capacity(map.ranges().len());
            for range in map.ranges() {
                match leases.last_mut() {
                    // Answers to heartbeats have room for a limited number of ranges.
                    Some(last)
                        if view.key_delivery(service) == KeyDelivery::Heartbeat
                            && last.range.holder == range.holder =>
                    {
                        last.range.to = range.to;
                        last.range.handover = None;
                    }
                    _ => leases.push(table.new_lease(range, expiry)),
                }
            }
            table.leases.insert(service.clone(), leases);
        }
        table
    }

    fn next_fence(&mut self) -> FencingToken {
        self.fence_counter += 1;
        (self.term << FENCE_COUNTER_BITS) + self.fence_counter
    }

    fn new_lease(&mut self, range: &KeyRange, expiry: Duration) -> Lease {
        Lease {
            range: range.clone(),
            fence: self.next_fence(),
            phase: Phase::Renewing,
            unconfirmed: false,
            acknowledged: false,
            proved: false,
            acknowledged_at: None,
            expiry,
            // A release follows a proved grant, whose fencing token is above those of previous
            // leaders.
            unanswered_expiry: Duration::ZERO,
            unanswered: false,
            has_ended: false,
            failures: 0,
            next_renewal: Duration::ZERO,
            in_flight: None,
            session: None,
            claim_by: None,
        }
    }

    /// Whether the fencing tokens of this term are used up but for a reserve. Further ones would be
    /// those of the next term, which may have other holders.
    pub fn needs_new_term(&self) -> bool {
        self.fence_counter >= (1 << FENCE_COUNTER_BITS) - FENCE_RESERVE
    }

    /// Leases of a service in key order.
    pub fn leases(&self, service: &str) -> &[Lease] {
        self.leases.get(service).map_or(&[], Vec::as_slice)
    }

    /// Services with leases.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.leases.keys()
    }

    /// Records a committed assignment. The new holder has no lease yet, and the previous holder can
    /// no longer act. A later incarnation of the previous holder may have a lease from a grant that
    /// reached it instead of the earlier one.
    pub fn record_assignment(&mut self, service: &ServiceName, range: &KeyRange, view: &View) {
        let mut leases = self.leases.remove(service).unwrap_or_default();
        if leases.is_empty() {
            for old in KeyMap::default().ranges() {
                leases.push(self.new_lease(old, Duration::ZERO));
            }
        }
        let mut assigned = Lease {
            unconfirmed: true,
            ..self.new_lease(range, Duration::ZERO)
        };
        split_at(&mut leases, range.from, range.to);
        let is_called = view.key_delivery(service) != KeyDelivery::Heartbeat;
        let overlaps =
            |lease: &&Lease| lease.range.to >= range.from && lease.range.from <= range.to;
        for former in leases.iter().filter(overlaps) {
            if is_called && former.is_of_earlier_incarnation(range.holder.as_ref()) {
                assigned.expiry = assigned.expiry.max(former.expiry);
                assigned.unanswered_expiry =
                    assigned.unanswered_expiry.max(former.unanswered_expiry);
            }
        }
        leases.retain(|lease| lease.range.to < range.from || lease.range.from > range.to);
        leases.push(assigned);
        leases.sort_by_key(|lease| lease.range.from);
        self.leases.insert(service.clone(), leases);
    }

    /// Starts to move a range to another holder. Returns `false` if the range overlaps one that is
    /// already moving.
    pub fn begin_move(&mut self, service: &str, from: Key, to: Key, next: &Holder) -> bool {
        let Some(leases) = self.leases.get_mut(service) else {
            return false;
        };
        let inside = |lease: &Lease| lease.range.from <= to && lease.range.to >= from;
        if leases.iter().filter(|l| inside(l)).any(Lease::is_moving) {
            return false;
        }
        split_at(leases, from, to);
        for lease in leases.iter_mut().filter(|lease| inside(lease)) {
            lease.phase = Phase::Releasing { next: next.clone() };
            lease.next_renewal = Duration::ZERO;
        }
        true
    }

    /// Returns the changes of holder that are safe now, and marks them as proposed. `pick_holder`
    /// picks the next holder of a range if none was picked yet or that one is no longer current. If
    /// it returns `None`, the range keeps its holder until a later call.
    pub fn due_holder_changes<PickHolder>(
        &mut self,
        view: &View,
        now: Duration,
        mut pick_holder: PickHolder,
    ) -> Vec<HolderChange>
    where
        PickHolder: FnMut(&ServiceName, &KeyRange) -> Option<Holder>,
    {
        let mut out = Vec::new();
        let failing = self.failing_holders();
        for (service, leases) in &mut self.leases {
            for lease in leases {
                let Some(free) = lease.free_range(&failing, service, view, self.times, now) else {
                    continue;
                };
                // Only a later incarnation of the holder can have the range at once, wherever it is.
                let is_usable = |next: &Holder| {
                    view.is_current(next)
                        && (!view.is_in_evacuated_domain(&next.id)
                            || lease.is_of_earlier_incarnation(Some(next)))
                };
                let next = free.next.filter(is_usable);
                let Some(next) = next.or_else(|| pick_holder(service, &lease.range)) else {
                    continue;
                };
                lease.phase = Phase::Proposed { next: next.clone() };
                out.push(HolderChange {
                    service: service.clone(),
                    previous: lease.range.holder.clone(),
                    range: KeyRange {
                        holder: Some(next),
                        handover: free.handover,
                        ..lease.range.clone()
                    },
                });
            }
        }
        out
    }

    /// Services with ranges that have no holder any more and wait for a change.
    pub fn services_with_free_ranges(&mut self, view: &View, now: Duration) -> Vec<ServiceName> {
        let failing = self.failing_holders();
        let times = self.times;
        let mut with_free = Vec::new();
        for (service, leases) in &mut self.leases {
            let mut free = leases
                .iter_mut()
                .filter_map(|lease| lease.free_range(&failing, service, view, times, now));
            if free.next().is_some() {
                with_free.push(service.clone());
            }
        }
        with_free
    }

    /// Holders that did not carry out a grant. One that failed for one range counts as failing for
    /// all its ranges.
    fn failing_holders(&self) -> BTreeSet<Holder> {
        let leases = self.leases.values().flatten();
        leases
            .filter(|lease| lease.failures > 0)
            .filter_map(|lease| lease.range.holder.clone())
            .collect()
    }

    /// Records that the proposal of an assignment was dropped, so that the change of holder is
    /// proposed again.
    pub fn record_dropped_assignment(&mut self, service: &str, range: &KeyRange) {
        for lease in self.leases.get_mut(service).into_iter().flatten() {
            if lease.is_proposed() && lease.range.from >= range.from && lease.range.to <= range.to {
                // Unless the next holder is a later incarnation, the keys are already free, so the
                // next pass proposes the change again.
                let next = lease.next_range().holder;
                lease.phase = Phase::Renewing;
                lease.failures += 1;
                if !lease.is_of_earlier_incarnation(next.as_ref()) {
                    lease.expiry = Duration::ZERO;
                }
            }
        }
    }
}
