//! Leases of VMs and targets, counted from the receipt of a renewal.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use camphordale_types::{
    SessionId,
    TargetId, //
};

use crate::{
    LeaseConfig,
    State, //
};

#[derive(Debug)]
pub(super) struct Leases {
    config: LeaseConfig,
    /// All leases count as renewed at this time or later.
    min_renewal: Duration,
    /// Last renewal, by VM session.
    vm_renewals: BTreeMap<SessionId, Duration>,
    /// Time at which VMs gave up their leases, by VM session.
    vm_departures: BTreeMap<SessionId, Duration>,
    /// Last renewal, by target session.
    target_renewals: BTreeMap<TargetId, Duration>,
    /// Time at which targets that joined after the election were first seen.
    target_joins: BTreeMap<TargetId, Duration>,
    /// The last observed sender of each target.
    target_senders: BTreeMap<TargetId, ObservedSender>,
    observed_layout: Option<u64>,
}

/// The last observed sender of a target.
#[derive(Clone, Copy, Debug, Default)]
struct ObservedSender {
    session: Option<SessionId>,
    /// Expiry of the leases of all senders before `session`.
    previous_expiry: Duration,
}

impl Leases {
    pub(super) fn new(config: LeaseConfig, now: Duration) -> Self {
        Leases {
            config,
            min_renewal: now,
            vm_renewals: BTreeMap::new(),
            vm_departures: BTreeMap::new(),
            target_renewals: BTreeMap::new(),
            target_joins: BTreeMap::new(),
            target_senders: BTreeMap::new(),
            observed_layout: None,
        }
    }

    /// Counts all leases as renewed at `now`.
    pub(super) fn renew_all(&mut self, now: Duration) {
        self.min_renewal = self.min_renewal.max(now);
    }

    pub(super) fn renew_vm(&mut self, session: SessionId, now: Duration) {
        self.vm_renewals.insert(session, now);
    }

    pub(super) fn renew_target(&mut self, target: TargetId, now: Duration) {
        self.target_renewals.insert(target, now);
    }

    /// Records that a VM gave up the lease of a session. Later renewals of that session are
    /// ignored: they were sent earlier.
    pub(super) fn end_vm_lease(&mut self, session: SessionId, now: Duration) {
        self.vm_departures.entry(session).or_insert(now);
    }

    /// Returns the time by which the lease of a VM session has expired.
    pub(super) fn vm_lease_expiry(&self, session: SessionId) -> Duration {
        match self.vm_departures.get(&session) {
            Some(&at) => at,
            None => self.vm_renewed_at(session) + self.config.vm_lease,
        }
    }

    /// Returns the time of the last renewal of a VM session.
    pub(super) fn vm_renewed_at(&self, session: SessionId) -> Duration {
        self.vm_renewals
            .get(&session)
            .map_or(self.min_renewal, |&at| at.max(self.min_renewal))
    }

    /// Returns the time by which the lease of a target session has expired.
    pub(super) fn target_lease_expiry(&self, target: TargetId) -> Duration {
        self.target_renewed_at(target) + self.config.target_lease
    }

    /// Returns the time of the last renewal of a target session.
    pub(super) fn target_renewed_at(&self, target: TargetId) -> Duration {
        self.target_renewals
            .get(&target)
            .map_or(self.min_renewal, |&at| at.max(self.min_renewal))
    }

    /// Returns the time since a target joined; `None` if it was present at the election.
    pub(super) fn target_age(&self, target: TargetId, now: Duration) -> Option<Duration> {
        self.target_joins
            .get(&target)
            .map(|&at| now.saturating_sub(at))
    }

    /// Returns the time by which the leases of all senders of a target before the last one have
    /// expired.
    pub(super) fn previous_senders_expiry(&self, target: TargetId) -> Duration {
        self.target_senders
            .get(&target)
            .map_or(Duration::ZERO, |s| s.previous_expiry)
    }

    /// Records sessions and senders that are new in `state`.
    pub(super) fn observe(&mut self, state: &State, now: Duration) {
        if self.observed_layout == Some(state.layout_index()) {
            return;
        }
        let first = self.observed_layout.replace(state.layout_index()).is_none();
        for (_, session) in state.vms() {
            self.vm_renewals.entry(session.id).or_insert(now);
        }
        for target in state.targets() {
            let id = target.info.id;
            if !first && !self.target_renewals.contains_key(&id) {
                self.target_joins.insert(id, now);
            }
            self.target_renewals.entry(id).or_insert(now);
            let known = self.target_senders.get(&id).copied();
            if known.is_some_and(|observed| observed.session == target.sender_session) {
                continue;
            }
            let mut observed = known.unwrap_or_default();
            if let Some(previous) = target.previous_session {
                observed.previous_expiry =
                    observed.previous_expiry.max(self.vm_lease_expiry(previous));
            }
            if known.is_some() && observed.session != target.previous_session {
                // A sender in between was not observed; its last renewal was not after `now`.
                observed.previous_expiry = observed.previous_expiry.max(now + self.config.vm_lease);
            }
            observed.session = target.sender_session;
            self.target_senders.insert(id, observed);
        }
        self.remove_unused(state);
    }

    fn remove_unused(&mut self, state: &State) {
        let used: BTreeSet<SessionId> = state
            .targets()
            .filter_map(|t| t.sender_session)
            .chain(state.vms().map(|(_, session)| session.id))
            .chain(state.vms().filter_map(|(_, session)| session.previous))
            .collect();
        self.vm_renewals.retain(|id, _| used.contains(id));
        self.vm_departures.retain(|id, _| used.contains(id));
        self.target_renewals
            .retain(|&id, _| state.target(id).is_some());
        self.target_joins
            .retain(|&id, _| state.target(id).is_some());
        self.target_senders
            .retain(|&id, _| state.target(id).is_some());
    }
}
