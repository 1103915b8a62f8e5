//! One lease: its next order, and how ranges are divided and joined.

use std::time::Duration;

use super::{
    CALL_LIMIT,
    Lease,
    Order,
    Phase,
    RELEASE_LIMIT, //
};
use crate::keys::{
    Key,
    KeyRange, //
};

/// A shorter hold is not worth a call.
const MIN_HOLD: Duration = Duration::from_millis(300);
/// Added to the end of a hold, for the time between a target's checks and its start of work.
const HOLD_MARGIN: Duration = Duration::from_millis(100);
/// How much slower than the leader's clock a target's clock may be: a part of the hold.
const CLOCK_DRIFT: f64 = 0.02;

impl Lease {
    /// The next order to the holder and the longest time that it may take.
    pub(super) fn order(&self, hold: Duration, now: Duration) -> Option<(Order, Duration)> {
        let KeyRange { from, to, .. } = self.range;
        let fence = self.fence;
        match &self.phase {
            Phase::Released { .. } | Phase::Proposed => None,
            // A release before the first answered grant of this leader would leave calls of the
            // former leader that the fence does not cover.
            Phase::Releasing { .. } if self.settled => {
                Some((Order::Release { from, to, fence }, RELEASE_LIMIT))
            }
            Phase::Renewing | Phase::Releasing { .. } => {
                let order = Order::Grant {
                    from,
                    to,
                    fence,
                    lease: self.next_hold(hold, now)?,
                    handover: self.range.handover.clone(),
                };
                Some((order, CALL_LIMIT))
            }
        }
    }

    /// The hold to ask for. While a holder does not answer, holds get shorter, so that the time
    /// at which the keys are surely free does not move away with each attempt.
    fn next_hold(&self, hold: Duration, now: Duration) -> Option<Duration> {
        if !self.lost || now >= self.until {
            return Some(hold);
        }
        let left = self.until.saturating_sub(now + CALL_LIMIT + HOLD_MARGIN);
        let short = left.div_f64(1.0 + CLOCK_DRIFT).min(hold);
        (short >= MIN_HOLD).then_some(short)
    }
}

/// Joins neighbouring ranges of one holder, so that one grant renews them.
pub(super) fn merge(leases: &mut Vec<Lease>) {
    let is_steady = |lease: &Lease| {
        let steady = lease.phase == Phase::Renewing && lease.open.is_none() && !lease.lost;
        steady && lease.settled && lease.failures == 0
    };
    leases.dedup_by(|next, kept| {
        let joins = is_steady(next)
            && is_steady(kept)
            && kept.range.holder == next.range.holder
            && u32::from(kept.range.to) + 1 == u32::from(next.range.from);
        if joins {
            kept.range.to = next.range.to;
            kept.range.handover = None;
            // Fences of both were above those of all other holders.
            kept.fence = kept.fence.max(next.fence);
            kept.confirmed = kept.confirmed.min(next.confirmed);
            kept.until = kept.until.max(next.until);
            kept.late_until = kept.late_until.max(next.late_until);
            kept.renew = kept.renew.min(next.renew);
        }
        joins
    });
}

/// Longest time that a hold may last after the call arrived.
pub(super) fn slowest(hold: Duration) -> Duration {
    hold.mul_f64(1.0 + CLOCK_DRIFT) + HOLD_MARGIN
}

/// Divides leases so that none crosses `from` or `to`.
pub(super) fn carve(leases: &mut Vec<Lease>, from: Key, to: Key) {
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
