//! One lease: its next order, and splitting and merging of ranges.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    CLAIM_INTERVALS,
    GRANT_TIMEOUT,
    Lease,
    LeaseTimes,
    Order,
    Phase,
    RELEASE_TIMEOUT, //
};
use crate::{
    keys::{
        HandoverData,
        Key,
        KeyRange, //
    },
    registry::Holder,
    routing::KeyDelivery,
    state::View,
};

/// A shorter lease is not worth an order.
const MIN_LEASE: Duration = Duration::from_millis(300);
/// Added to the end of a lease, for the time between the target's check and the start of a request.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);
/// How much slower than the leader's clock a target's clock may run, as a fraction of the lease.
const MAX_CLOCK_DRIFT: f64 = 0.02;

/// A range whose holder can no longer act.
pub(super) struct FreeRange {
    /// The next holder, if it was picked before.
    pub(super) next: Option<Holder>,
    /// Handover data of the previous holder.
    pub(super) handover: Option<HandoverData>,
}

impl Lease {
    /// Returns the range with what is known of its move if its holder can no longer act. A holder
    /// that is called and to which this leader has sent no grant yet does not count as failing.
    pub(super) fn free_range(
        &mut self,
        failing: &BTreeSet<Holder>,
        service: &str,
        view: &View,
        times: LeaseTimes,
        now: Duration,
    ) -> Option<FreeRange> {
        let holder = self.range.holder.as_ref()?;
        let expired = match view.key_delivery(service) {
            KeyDelivery::Heartbeat => {
                let replaced = view.is_replaced(holder);
                // The holder of a newly assigned range is told when it announces itself.
                let claim_by = self
                    .claim_by
                    .get_or_insert(now + times.interval * CLAIM_INTERVALS);
                let claimable = self.expiry.is_zero()
                    && self.phase == Phase::Renewing
                    && view.is_current(holder)
                    && now < *claim_by;
                replaced || (now >= self.expiry && !claimable)
            }
            KeyDelivery::Call | KeyDelivery::Unkeyed => {
                let is_moved =
                    matches!(self.phase, Phase::Released { .. } | Phase::Proposed { .. });
                // A grant may have reached the later incarnation before that was known, so no other
                // target can have the range yet.
                let successor = view.successor(holder, service);
                if successor.is_some() && !is_moved && self.in_flight.is_none() {
                    return Some(FreeRange {
                        next: successor,
                        handover: None,
                    });
                }
                let ended = self.has_ended && self.in_flight.is_none();
                let failing = failing.contains(holder) || !view.is_current(holder);
                ended || (failing && now >= self.expiry)
            }
        };
        let (next, handover) = match &self.phase {
            Phase::Released { next, handover } if expired || now >= self.unanswered_expiry => {
                (Some(next.clone()), handover.clone())
            }
            Phase::Releasing { next } | Phase::Withheld { next } if expired => {
                (Some(next.clone()), None)
            }
            Phase::Renewing if expired => (None, None),
            _ => return None,
        };
        Some(FreeRange { next, handover })
    }

    /// Whether the holder is an earlier incarnation of the target `next`.
    pub(super) fn is_of_earlier_incarnation(&self, next: Option<&Holder>) -> bool {
        let earlier = |(holder, next): (&Holder, &Holder)| {
            holder.id == next.id && holder.incarnation < next.incarnation
        };
        self.range.holder.as_ref().zip(next).is_some_and(earlier)
    }

    /// Returns the next order to the holder and its time limit. `wait` is the time for which a grant may
    /// wait before the holder reads it.
    pub(super) fn next_order(
        &self,
        lease_duration: Duration,
        wait: Duration,
        now: Duration,
    ) -> Option<(Order, Duration)> {
        let KeyRange { from, to, .. } = self.range;
        let fence = self.fence;
        match &self.phase {
            Phase::Withheld { .. } | Phase::Released { .. } | Phase::Proposed { .. } => None,
            // A release before a grant that certainly arrived would leave earlier grants in flight,
            // of this leader or the previous one, that its fencing token does not cover.
            Phase::Releasing { .. } if self.acknowledged && self.proved => {
                Some((Order::Release { from, to, fence }, RELEASE_TIMEOUT))
            }
            Phase::Renewing | Phase::Releasing { .. } => {
                let order = Order::Grant {
                    from,
                    to,
                    fence,
                    lease: self.next_duration(lease_duration, wait, now)?,
                    handover: self.range.handover.clone(),
                };
                Some((order, GRANT_TIMEOUT + wait))
            }
        }
    }

    /// Lease duration to request. While the holder does not answer, requested leases get shorter,
    /// so that the time at which the keys are certainly free does not move further away with each
    /// attempt.
    fn next_duration(
        &self,
        lease_duration: Duration,
        wait: Duration,
        now: Duration,
    ) -> Option<Duration> {
        // By the end of the lease, a grant that waits is like one that is read at once.
        let longest = lease_duration.saturating_sub(wait.div_f64(1.0 + MAX_CLOCK_DRIFT));
        if !self.unanswered || now >= self.expiry {
            return Some(longest);
        }
        let left = self
            .expiry
            .saturating_sub(now + GRANT_TIMEOUT + wait + EXPIRY_MARGIN);
        let short = left.div_f64(1.0 + MAX_CLOCK_DRIFT).min(longest);
        (short >= MIN_LEASE).then_some(short)
    }
}

/// Merges adjacent ranges of one holder, so that one grant renews them.
pub(super) fn merge_adjacent(leases: &mut Vec<Lease>) {
    let is_steady = |lease: &Lease| {
        let steady =
            lease.phase == Phase::Renewing && lease.in_flight.is_none() && !lease.unanswered;
        steady && lease.acknowledged && lease.failures == 0
    };
    leases.dedup_by(|next, kept| {
        let joins = is_steady(next)
            && is_steady(kept)
            && kept.range.holder == next.range.holder
            && kept.session == next.session
            && u32::from(kept.range.to) + 1 == u32::from(next.range.from);
        if joins {
            kept.range.to = next.range.to;
            kept.range.handover = None;
            // Both fencing tokens are above those of all other holders.
            kept.fence = kept.fence.max(next.fence);
            kept.proved &= next.proved;
            kept.acknowledged_at = kept.acknowledged_at.min(next.acknowledged_at);
            kept.expiry = kept.expiry.max(next.expiry);
            kept.unanswered_expiry = kept.unanswered_expiry.max(next.unanswered_expiry);
            kept.next_renewal = kept.next_renewal.min(next.next_renewal);
        }
        joins
    });
}

/// Longest time for which a lease may last after its grant arrived, by the leader's clock.
pub(super) fn worst_case_duration(lease_duration: Duration) -> Duration {
    lease_duration.mul_f64(1.0 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN
}

/// Splits leases so that none extends across the bounds of `from..=to`.
pub(super) fn split_at(leases: &mut Vec<Lease>, from: Key, to: Key) {
    let mut parts = Vec::new();
    for lease in leases.iter_mut() {
        if lease.range.from < from && lease.range.to >= from {
            let mut part = lease.clone();
            part.range.from = from;
            lease.range.to = from - 1;
            parts.push(part);
        }
    }
    leases.append(&mut parts);
    for lease in leases.iter_mut() {
        if lease.range.from <= to && lease.range.to > to {
            let mut part = lease.clone();
            part.range.from = to + 1;
            lease.range.to = to;
            parts.push(part);
        }
    }
    leases.append(&mut parts);
    leases.sort_by_key(|lease| lease.range.from);
}
