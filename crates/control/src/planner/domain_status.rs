//! What the planner knows about a domain: reports, leases, seals and pending moves.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_types::{
    DomainName,
    Incarnation,
    ServiceName,
    ShardIndex,
    Side,
    VmId, //
};

use crate::{
    DomainReport,
    State, //
};

/// Status of a domain, as known to the planner. It is not replicated.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainStatus {
    /// Term of the domain's group; 0 if there is none.
    pub(crate) term: u64,
    /// When this planner first saw the term.
    pub(crate) seen_at: Duration,
    /// Time of the last report of the term's leader.
    pub(crate) reported_at: Option<Duration>,
    /// Time of the last report, of any term, that renewed the domain lease.
    pub(crate) renewed_at: Option<Duration>,
    /// Whether the latest report renewed the domain lease.
    pub(crate) renews_lease: bool,
    /// Number of slots of serving targets, from the latest report of the term.
    pub(crate) capacity: BTreeMap<(ServiceName, Side), u32>,
    /// Shards that the domain has parked, with the `since` of their home, from the latest report of
    /// the term.
    pub(crate) parked: Vec<(ServiceName, ShardIndex, u64)>,
    /// Incarnations of VMs that sealed the term, and when they last reported it.
    pub(crate) seals: BTreeMap<VmId, (Incarnation, Duration)>,
    /// The term that VMs are asked to seal.
    pub(crate) sealing_term: Option<u64>,
    /// Since when a group could be formed.
    pub(crate) formable_since: Option<Duration>,
    /// When a group that replaces `term` was last proposed.
    pub(crate) formation_at: Option<Duration>,
    /// Log index at which the domain was declared lost, and when this planner first saw it.
    pub(crate) declared_lost: Option<(u64, Duration)>,
    /// When the bundle version that the group has in force was last proposed.
    pub(crate) proposed_at: Option<Duration>,
    /// Version of the bundle in the latest report.
    pub(crate) bundle_version: u64,
    /// Since when the domain has shards but no targets for them, by service and side.
    pub(crate) starved_since: BTreeMap<(ServiceName, Side), Duration>,
    /// Proposed moves of shards away from this domain that it has not parked. While one of them may
    /// still take effect, the domain lease is not renewed.
    pub(crate) pending_moves: BTreeMap<(ServiceName, ShardIndex), PendingMove>,
}

/// A proposed move of a shard.
#[derive(Clone, Debug)]
pub(crate) struct PendingMove {
    /// `since` of the home that is replaced.
    pub(crate) since: u64,
    /// Version of the bundle on which the move was decided.
    pub(crate) bundle_version: u64,
    /// The new home.
    pub(crate) to: DomainName,
}

impl DomainStatus {
    /// Updates the status from the replicated state.
    pub(crate) fn refresh(&mut self, state: &State, domain: &DomainName, now: Duration) {
        let term = state.group(domain).map_or(0, |group| group.term);
        if term != self.term {
            *self = DomainStatus {
                term,
                seen_at: now,
                renewed_at: self.renewed_at,
                declared_lost: self.declared_lost,
                pending_moves: std::mem::take(&mut self.pending_moves),
                ..DomainStatus::default()
            };
        }
        self.declared_lost = state.lost_since(domain).map(|index| {
            let known = self.declared_lost.filter(|(known, _)| *known == index);
            known.unwrap_or((index, now))
        });
        let latest = state.latest_bundle_id().map_or(0, |(version, _)| version);
        self.pending_moves.retain(|(service, index), pending| {
            let home = state.home(service, *index);
            home.is_some_and(|home| home.domain == *domain && home.since == pending.since)
                && pending.bundle_version == latest
        });
    }

    /// Applies a report. Only a report of the current term can renew the domain lease.
    pub(crate) fn apply_report(&mut self, report: DomainReport, now: Duration) {
        self.renews_lease = false;
        if report.term != self.term || self.term == 0 || self.declared_lost.is_some() {
            return;
        }
        self.reported_at = Some(now);
        self.bundle_version = report.bundle;
        self.parked = report.parked;
        self.capacity.clear();
        for (service, side, slots) in report.capacity {
            let sum = self.capacity.entry((service, side)).or_default();
            *sum = sum.saturating_add(slots);
        }
        if self.pending_moves.is_empty() {
            self.renewed_at = Some(now);
            self.renews_lease = true;
        }
    }

    /// Returns the number of slots of serving targets.
    pub(crate) fn slots(&self, service: &str, side: Side) -> u32 {
        let slots = self.capacity.get(&(service.into(), side));
        slots.copied().unwrap_or(0)
    }

    /// Returns whether the domain is reporting, so that it can receive shards and its list of
    /// parked shards is current.
    pub(crate) fn is_reporting(&self, now: Duration, timeout: Duration) -> bool {
        let recent = self.reported_at.is_some_and(|at| now < at + timeout);
        recent
            && self.formation_at.is_none()
            && self.declared_lost.is_none()
            && self.pending_moves.is_empty()
    }
}
