//! What the planner knows of one domain.

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

/// What the planner knows of one domain. Nothing of it is replicated.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watch {
    /// Term of the group, 0 for none.
    pub(crate) term: u64,
    /// When this planner saw the term first.
    pub(crate) began: Duration,
    /// Last report of the term's leader.
    pub(crate) reported: Option<Duration>,
    /// Last report, of any term, that renewed the domain lease.
    pub(crate) granted: Option<Duration>,
    /// Whether the latest report renewed the domain lease.
    pub(crate) renews: bool,
    /// Slots of serving targets, from the latest report of the term.
    pub(crate) capacity: BTreeMap<(ServiceName, Side), u32>,
    /// Shards released in the term, with the `since` of their home.
    pub(crate) parked: Vec<(ServiceName, ShardIndex, u64)>,
    /// Runs of VMs that sealed the term, and when they said so last.
    pub(crate) sealed: BTreeMap<VmId, (Incarnation, Duration)>,
    /// The term that VMs are asked to seal.
    pub(crate) sealing: Option<u64>,
    /// When a group could first be formed.
    pub(crate) ready: Option<Duration>,
    /// When a group was proposed that replaces `term`.
    pub(crate) forming: Option<Duration>,
    /// Log index at which the domain was declared lost, and when this planner saw that first.
    pub(crate) lost: Option<(u64, Duration)>,
    /// When the version that the group has in force was proposed last.
    pub(crate) force: Option<Duration>,
    /// Version of the bundle in the latest report.
    pub(crate) bundle: u64,
    /// Since when the domain has shards but no targets for them.
    pub(crate) starved: BTreeMap<(ServiceName, Side), Duration>,
    /// Proposed moves out of this domain that it has not confirmed by parking. While one of them
    /// may still take effect, the domain lease is not renewed.
    pub(crate) leaving: BTreeMap<(ServiceName, ShardIndex), Leaving>,
}

/// A proposed move.
#[derive(Clone, Debug)]
pub(crate) struct Leaving {
    /// `since` of the home that is replaced.
    pub(crate) since: u64,
    /// Version of the bundle on which the move was decided.
    pub(crate) bundle: u64,
    /// The new home.
    pub(crate) to: DomainName,
}

impl Watch {
    /// Brings the watch up to date with the state.
    pub(crate) fn refresh(&mut self, state: &State, domain: &DomainName, now: Duration) {
        let term = state.group(domain).map_or(0, |group| group.term);
        if term != self.term {
            *self = Watch {
                term,
                began: now,
                granted: self.granted,
                lost: self.lost,
                leaving: std::mem::take(&mut self.leaving),
                ..Watch::default()
            };
        }
        self.lost = state.lost_since(domain).map(|index| {
            let known = self.lost.filter(|(known, _)| *known == index);
            known.unwrap_or((index, now))
        });
        let standing = state.latest_bundle_id().map_or(0, |(version, _)| version);
        self.leaving.retain(|(service, index), leaving| {
            let home = state.home(service, *index);
            home.is_some_and(|home| home.domain == *domain && home.since == leaving.since)
                && leaving.bundle == standing
        });
    }

    /// Takes a report. Only a report of the current term can renew the domain lease.
    pub(crate) fn report(&mut self, report: DomainReport, now: Duration) {
        self.renews = false;
        if report.term != self.term || self.term == 0 || self.lost.is_some() {
            return;
        }
        self.reported = Some(now);
        self.bundle = report.bundle;
        self.parked = report.parked;
        self.capacity.clear();
        for (service, side, slots) in report.capacity {
            let sum = self.capacity.entry((service, side)).or_default();
            *sum = sum.saturating_add(slots);
        }
        if self.leaving.is_empty() {
            self.granted = Some(now);
            self.renews = true;
        }
    }

    /// Returns the slots of serving targets.
    pub(crate) fn slots(&self, service: &str, side: Side) -> u32 {
        let slots = self.capacity.get(&(service.into(), side));
        slots.copied().unwrap_or(0)
    }

    /// Tells whether the domain can be given shards and its word on parked shards counts.
    pub(crate) fn is_alive(&self, now: Duration, silence: Duration) -> bool {
        let heard = self.reported.is_some_and(|at| now < at + silence);
        heard && self.forming.is_none() && self.lost.is_none() && self.leaving.is_empty()
    }
}
