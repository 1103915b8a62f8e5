//! What a VM's router would act on, and the check that nobody acts on rights of another.

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

/// The lease and view of one VM, as its router has them.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    term: u64,
    until: Duration,
    fence: u64,
    index: u64,
    senders: BTreeMap<TargetId, Option<VmId>>,
    /// Times that the lease became void at once.
    pub voided: u64,
}

impl Holder {
    pub(super) fn take(&mut self, event: Event) {
        match event {
            Event::Term { term } => {
                *self = Holder {
                    term,
                    voided: self.voided,
                    ..Holder::default()
                };
            }
            Event::Lease { until, fence, .. } => {
                assert!(until >= self.until, "a lease became shorter");
                (self.until, self.fence) = (until, fence);
            }
            Event::LeaseLost => {
                self.until = Duration::ZERO;
                self.voided += 1;
            }
            Event::View(view) if view.term == self.term && view.since <= self.index => {
                if view.since == 0 {
                    self.senders.clear();
                }
                self.index = view.index;
                for target in view.targets {
                    self.senders.insert(target.info.id, target.sender);
                }
                for gone in view.removed_targets {
                    self.senders.remove(&gone);
                }
            }
            _ => {}
        }
    }

    /// Tells whether the lease may be acted on.
    pub fn valid(&self, now: Duration) -> bool {
        now < self.until && self.index >= self.fence
    }

    /// Returns the targets to which `vm` may send.
    pub fn rights(&self, vm: VmId, now: Duration) -> Vec<TargetId> {
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
    /// Checks that every VM that would send now has the right to in the newest state that any
    /// member of its domain's group ever applied, so that nobody acts on a lease after another took over.
    pub(super) fn check(&mut self) {
        for one in self.vms.values() {
            let state = one.run.as_ref().and_then(|run| run.entry.domain_state());
            if let Some(state) = state {
                let known = self.newest.entry(one.setup.domain);
                let known = known.or_insert_with(|| state.clone());
                if (state.term(), state.index()) > (known.term(), known.index()) {
                    *known = state.clone();
                }
            }
        }
        for (&vm, one) in &self.vms {
            let (Some(run), false) = (&one.run, one.paused) else {
                continue;
            };
            let now = self.local(vm);
            if !run.holder.valid(now) {
                continue;
            }
            let Some(state) = self.newest.get(one.setup.domain) else {
                continue;
            };
            let at = self.now;
            let session = state.vm(vm).map(|session| session.incarnation);
            if run.holder.term == state.term() {
                // A state before the session's start says nothing about its end.
                assert!(
                    state.index() < run.holder.fence || session == Some(run.entry.incarnation()),
                    "at {at} ms VM {vm} holds a lease of a session that ended: {session:?}"
                );
            } else {
                // A new group gives no rights before the leases of the old one ran out.
                let senders = state.targets().filter(|target| target.sender.is_some());
                assert_eq!(
                    senders.count(),
                    0,
                    "at {at} ms VM {vm} holds a lease of an old term"
                );
                continue;
            }
            for target in run.holder.rights(vm, now) {
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
