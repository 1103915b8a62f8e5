//! The lease and view of a router, and the check that no two VMs may send to the same target.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_route::Event;
use camphordale_types::{
    TargetId,
    VmId, //
};

use super::Sim;

/// The lease and view of the router of one VM.
#[derive(Clone, Debug, Default)]
pub struct LeaseState {
    term: u64,
    expiry: Duration,
    min_view: u64,
    view_index: u64,
    senders: BTreeMap<TargetId, Option<VmId>>,
    /// Number of revocations of the lease.
    pub revocations: u64,
    /// Whether the VM knows of a bundle that is newer than the one in force.
    pub outdated: bool,
}

impl LeaseState {
    pub(super) fn apply(&mut self, event: Event) {
        match event {
            Event::Term { term } => {
                *self = LeaseState {
                    term,
                    revocations: self.revocations,
                    outdated: self.outdated,
                    ..LeaseState::default()
                };
            }
            Event::Lease {
                until, min_view, ..
            } => {
                assert!(until >= self.expiry, "a lease became shorter");
                (self.expiry, self.min_view) = (until, min_view);
            }
            Event::LeaseLost => {
                self.expiry = Duration::ZERO;
                self.revocations += 1;
            }
            Event::View(view) if view.term == self.term && view.since <= self.view_index => {
                if view.since == 0 {
                    self.senders.clear();
                }
                self.view_index = view.index;
                for target in view.targets {
                    self.senders.insert(target.info.id, target.sender);
                }
                for gone in view.removed_targets {
                    self.senders.remove(&gone);
                }
            }
            Event::BundleOutdated(outdated) => self.outdated = outdated,
            _ => {}
        }
    }

    /// Returns whether the lease is valid and the view satisfies it.
    pub fn valid(&self, now: Duration) -> bool {
        now < self.expiry && self.view_index >= self.min_view
    }

    /// Returns the targets to which `vm` may send.
    pub fn sendable_targets(&self, vm: VmId, now: Duration) -> Vec<TargetId> {
        let own = self
            .senders
            .iter()
            .filter(|(_, sender)| **sender == Some(vm));
        match self.valid(now) {
            true => own.map(|(&target, _)| target).collect(),
            false => Vec::new(),
        }
    }
}

impl Sim {
    /// Checks every VM with a valid lease against the newest state that any member of its domain
    /// group has applied: no VM may use a lease after another VM became the sender.
    pub(super) fn check_leases(&mut self) {
        for machine in self.vms.values() {
            let state = machine
                .process
                .as_ref()
                .and_then(|process| process.entry.domain_state());
            if let Some(state) = state {
                let known = self.newest_states.entry(machine.setup.domain);
                let known = known.or_insert_with(|| state.clone());
                if (state.term(), state.index()) > (known.term(), known.index()) {
                    *known = state.clone();
                }
            }
        }
        for (&vm, machine) in &self.vms {
            let (Some(process), false) = (&machine.process, machine.paused) else {
                continue;
            };
            let now = self.local_time(vm);
            if !process.lease_state.valid(now) {
                continue;
            }
            let Some(state) = self.newest_states.get(machine.setup.domain) else {
                continue;
            };
            let at = self.now;
            let session = state.vm(vm).map(|session| session.incarnation);
            if process.lease_state.term == state.term() {
                // A state from before the start of the session does not list it yet.
                assert!(
                    state.index() < process.lease_state.min_view
                        || session == Some(process.entry.incarnation()),
                    "at {at} ms VM {vm} holds a lease of a session that ended: {session:?}"
                );
            } else {
                // A new group has no senders before the leases of the old one have expired.
                let senders = state.targets().filter(|target| target.sender.is_some());
                assert_eq!(
                    senders.count(),
                    0,
                    "at {at} ms VM {vm} holds a lease of an old term"
                );
                continue;
            }
            for target in process.lease_state.sendable_targets(vm, now) {
                let sender = state.target(target).and_then(|entry| entry.sender);
                let taken = sender.is_some() && sender != Some(vm);
                assert!(
                    !taken,
                    "at {at} ms VM {vm} sends to target {target} of VM {sender:?}"
                );
            }
        }
    }
}
