//! Delivery of key leases in the answers to targets' announcements.
//!
//! A target counts its lease from the moment at which it *sent* the announcement, so the lease ends
//! at the latest one lease, by a slow clock, after the leader answered, whether or not the answer
//! arrived. Nothing takes effect later than that.
//!
//! A range moves in these steps: an answer leaves it out ([`Phase::Withheld`]); a later announcement
//! reports that the target has let it go; the change of holder is committed; the answer to the next
//! holder contains it. An announcement proves that a range is free only if the target has reported
//! the range under a fencing token of this leader before. Without that, the announcement may have
//! been sent before an answer of the previous leader was received.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    FENCE_COUNTER_BITS,
    FencingToken,
    Lease,
    LeaseTable,
    Phase,
    lease::merge_adjacent,
    split_at,
    worst_case_duration, //
};
use crate::{
    keys::{
        HandoverData,
        Key, //
    },
    registry::Holder,
    routing::ServiceName,
};

/// Maximum number of ranges in one answer, which bounds its size.
pub const MAX_GRANTED_RANGES: usize = 40;
/// Maximum length of handover data that is passed on, in bytes. A range with longer data, or with
/// characters that would need escapes in the answer, moves without it.
const MAX_HANDOVER_BYTES: usize = 40;

/// A range that a target holds or still works on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Fencing token under which the target got the range.
    pub fence: FencingToken,
}

/// A range that a target has let go since its last announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreedRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Handover data for the next holder.
    pub handover: HandoverData,
}

/// What a target says about its keys in an announcement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseReport {
    /// Ranges that it holds or still works on.
    pub held: Vec<HeldRange>,
    /// Ranges that it has let go.
    pub freed: Vec<FreedRange>,
}

/// A range in an answer to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Fencing token.
    pub fence: FencingToken,
    /// Handover data of the previous holder.
    pub handover: Option<HandoverData>,
}

/// State of a range at its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldPhase {
    /// The range does not move.
    Steady,
    /// The next answer may leave the range out.
    Leaving,
}

/// The answer to an announcement: all that the target may hold from now on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatAnswer {
    /// The granted ranges, in key order.
    pub granted: Vec<GrantedRange>,
    /// First and last keys of the ranges that the target gets for the first time.
    pub confirmed: Vec<(Key, Key)>,
    /// First and last keys of the ranges that are left out from now on, with their next holders.
    pub withheld: Vec<((Key, Key), Holder)>,
}

impl LeaseReport {
    /// Whether the reported ranges cover all keys of `from..=to` under tokens of `term` or later.
    fn covers(&self, from: Key, to: Key, term: u64) -> bool {
        let mut next = u32::from(from);
        let mut held: Vec<&HeldRange> = self
            .held
            .iter()
            .filter(|held| held.fence >> FENCE_COUNTER_BITS >= term)
            .collect();
        held.sort_by_key(|held| held.from);
        for held in held {
            if u32::from(held.from) <= next {
                next = next.max(u32::from(held.to) + 1);
            }
        }
        next > u32::from(to)
    }

    fn overlaps(&self, from: Key, to: Key) -> bool {
        self.held
            .iter()
            .any(|held| held.from <= to && held.to >= from)
    }

    fn handover(&self, from: Key, to: Key) -> Option<&HandoverData> {
        let freed = self
            .freed
            .iter()
            .find(|freed| freed.from <= from && freed.to >= to)?;
        let data = &freed.handover;
        let is_plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'"' | b'\\');
        let usable = !data.is_empty() && data.len() <= MAX_HANDOVER_BYTES;
        (usable && data.bytes().all(is_plain)).then_some(data)
    }
}

impl LeaseTable {
    /// Records what a target reports of its keys. The announcement must be newer than all others
    /// of its incarnation that were recorded.
    pub fn record_report(&mut self, service: &str, holder: &Holder, report: &LeaseReport) {
        let term = self.term;
        let Some(leases) = self.leases.get_mut(service) else {
            return;
        };
        // Parts of a withheld range may have been let go with handover data of their own.
        for freed in &report.freed {
            let splits = leases.iter().any(|lease| {
                let bounds = lease.range.from..=lease.range.to;
                let cut = bounds.contains(&freed.from) && freed.from != lease.range.from
                    || bounds.contains(&freed.to) && freed.to != lease.range.to;
                let withheld = matches!(lease.phase, Phase::Withheld { .. });
                withheld && cut && lease.range.holder.as_ref() == Some(holder)
            });
            if splits {
                split_at(leases, freed.from, freed.to);
            }
        }
        for lease in leases {
            if lease.range.holder.as_ref() != Some(holder) {
                continue;
            }
            let (from, to) = (lease.range.from, lease.range.to);
            match &lease.phase {
                Phase::Renewing | Phase::Releasing { .. } => {
                    if report.covers(from, to, term) {
                        lease.acknowledged = true;
                        lease.range.handover = None;
                    } else if let Some(handover) = report.handover(from, to) {
                        lease.range.handover = Some(handover.clone());
                    }
                }
                Phase::Withheld { next } if !report.overlaps(from, to) => {
                    lease.phase = Phase::Released {
                        next: next.clone(),
                        handover: report.handover(from, to).cloned(),
                    };
                }
                Phase::Withheld { .. } | Phase::Released { .. } | Phase::Proposed { .. } => {}
            }
        }
        let holds_holder = |lease: &&Lease| lease.range.holder.as_ref() == Some(holder);
        if let Some(leases) = self.leases.get_mut(service)
            && leases.iter().filter(holds_holder).count() > 1
        {
            merge_adjacent(leases);
        }
    }

    /// Composes the answer to an announcement of a target. `next_holder` decides for each range
    /// that is to move whether it may be left out now, and names its next holder; with `None` the
    /// target keeps the range.
    pub fn answer_heartbeat<NextHolder>(
        &mut self,
        service: &str,
        holder: &Holder,
        now: Duration,
        mut next_holder: NextHolder,
    ) -> HeartbeatAnswer
    where
        NextHolder: FnMut(&Lease, &Holder) -> Option<Holder>,
    {
        let mut answer = HeartbeatAnswer::default();
        let expiry = now + worst_case_duration(self.times.heartbeat);
        for lease in self.leases.get_mut(service).into_iter().flatten() {
            if lease.range.holder.as_ref() != Some(holder) {
                continue;
            }
            match &lease.phase {
                Phase::Withheld { .. } | Phase::Released { .. } | Phase::Proposed { .. } => {
                    continue;
                }
                Phase::Releasing { next } if lease.acknowledged => {
                    if let Some(next) = next_holder(lease, next) {
                        let range = (lease.range.from, lease.range.to);
                        answer.withheld.push((range, next.clone()));
                        lease.phase = Phase::Withheld { next };
                        continue;
                    }
                }
                Phase::Renewing | Phase::Releasing { .. } => {}
            }
            // A range that does not fit and was never granted goes to another target when its
            // holder is late to claim it.
            if answer.granted.len() >= MAX_GRANTED_RANGES {
                continue;
            }
            lease.expiry = lease.expiry.max(expiry);
            if std::mem::take(&mut lease.unconfirmed) {
                let range = (lease.range.from, lease.range.to);
                answer.confirmed.push(range);
            }
            answer.granted.push(GrantedRange {
                from: lease.range.from,
                to: lease.range.to,
                fence: lease.fence,
                handover: lease.range.handover.clone(),
            });
        }
        answer
    }

    /// Number of ranges that each target holds or is to hold.
    pub fn range_counts(&self, service: &str) -> BTreeMap<Holder, usize> {
        let mut counts = BTreeMap::new();
        for lease in self.leases(service) {
            if let Some(holder) = lease.next_range().holder {
                *counts.entry(holder).or_default() += 1;
            }
        }
        counts
    }

    /// Whether a target has a range that does not move, or one that its next answer may leave out.
    pub fn has_ranges_in(&self, service: &str, holder: &Holder, phase: HeldPhase) -> bool {
        self.leases(service).iter().any(|lease| {
            let found = match &lease.phase {
                Phase::Renewing => phase == HeldPhase::Steady,
                Phase::Releasing { .. } => phase == HeldPhase::Leaving && lease.acknowledged,
                Phase::Withheld { .. } | Phase::Released { .. } | Phase::Proposed { .. } => false,
            };
            found && lease.range.holder.as_ref() == Some(holder)
        })
    }

    /// Whether a range is on its way to a target: its previous holder has been told to let it go,
    /// and the target has not been told yet.
    pub fn is_receiving(&self, service: &ServiceName, holder: &Holder) -> bool {
        self.leases(service).iter().any(|lease| match &lease.phase {
            Phase::Withheld { next } | Phase::Released { next, .. } | Phase::Proposed { next } => {
                next == holder
            }
            Phase::Renewing | Phase::Releasing { .. } => false,
        })
    }
}
