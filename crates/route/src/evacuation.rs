//! Evacuated domains: nothing new is sent to their targets.
//!
//! While the domain of this VM is under evacuation, requests without a key are forwarded to VMs of
//! other domains. Requests with a key are sent until the domain has had time to release its shards,
//! because until then no other target can serve them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use camphordale_types::{DomainName, NotRun, RequestId, VmId};

use crate::{Origin, Router};

/// Time from when this VM learns of the evacuation until requests with a key are refused.
///
/// A shard is released within a second or two of the order; a shard that still is not is kept here
/// by the lack of another domain or of control. Callers are promised that nothing is sent later
/// than 5 s after the order, of which this leaves a second for the order to reach this VM.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which no request is forwarded to a domain that had no target for its service.
const NO_TARGET_BACKOFF: Duration = Duration::from_secs(1);

/// The domains under evacuation, and where requests without a key go instead.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    evacuated: BTreeSet<DomainName>,
    /// Until when requests with a key are sent to targets of this VM's domain; `None` if it is not
    /// under evacuation.
    keyed_until: Option<Duration>,
    /// Other domains with entry VMs that are not under evacuation, in order.
    alternatives: Vec<DomainName>,
    /// Domains without a target, by service, and until when they are not tried again.
    without_target: BTreeMap<(usize, DomainName), Duration>,
}

impl Router {
    /// Replaces the set of domains under evacuation.
    pub(crate) fn apply_evacuations(&mut self, domains: Vec<DomainName>) {
        let evacuated: BTreeSet<DomainName> = domains.into_iter().collect();
        let own = evacuated.contains(&self.config.domain);
        // A VM that starts allows no time, or one that restarts often would send here for ever.
        let time = match self.peers.is_empty() {
            true => Duration::ZERO,
            false => RELEASE_TIMEOUT,
        };
        let until = self.evacuations.keyed_until.unwrap_or(self.now + time);
        self.evacuations.keyed_until = own.then_some(until);
        self.evacuations.evacuated = evacuated;
        self.evacuations.without_target.clear();
        self.update_alternatives();
        self.reroute_queued();
    }

    /// Updates the domains to which requests without a key may go.
    pub(crate) fn update_alternatives(&mut self) {
        let evacuations = &mut self.evacuations;
        let domains = self.peers.domains();
        evacuations.alternatives = domains
            .filter(|domain| {
                **domain != self.config.domain && !evacuations.evacuated.contains(*domain)
            })
            .cloned()
            .collect();
        evacuations.alternatives.sort_unstable();
    }

    /// Returns whether the domain of this VM is under evacuation.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.evacuations.keyed_until.is_some()
    }

    /// Returns whether requests with a key are not sent to targets of this domain any more.
    pub(crate) fn has_release_timed_out(&self) -> bool {
        let until = self.evacuations.keyed_until;
        until.is_some_and(|until| self.now >= until)
    }

    /// Routes a request without a key to a VM of another domain.
    pub(crate) fn route_to_other_domain(&mut self, id: RequestId, service_index: usize) {
        let Some(origin) = self.requests.get(&id).map(|request| request.origin) else {
            return;
        };
        match (origin, self.alternative_vm(service_index)) {
            (_, None) => self.refuse(id, NotRun::NoTarget),
            (Origin::Vm { .. }, vm) => self.redirect(id, vm),
            (Origin::Caller, Some(vm)) => self.forward(id, vm),
        }
    }

    /// Returns a VM of a domain that is not known to lack targets of the service, preferably one
    /// that has not failed recently.
    pub(crate) fn alternative_vm(&mut self, service_index: usize) -> Option<VmId> {
        let start = self.random() as usize;
        let count = self.evacuations.alternatives.len();
        let mut fallback = None;
        for i in 0..count {
            let domain = self.evacuations.alternatives[(start % count + i) % count].clone();
            let key = (service_index, domain);
            let until = self.evacuations.without_target.get(&key);
            if until.is_some_and(|until| self.now < *until) {
                continue;
            }
            let vm = self.entry_vm_for(&key.1, None);
            if vm.is_some_and(|vm| !self.peers.is_avoided(vm, self.now)) {
                return vm;
            }
            fallback = fallback.or(vm);
        }
        fallback
    }

    /// Forwards a request to another domain after the domain of `vm` had no target for it. Returns
    /// false if the request is not one that leaves this domain because of an evacuation.
    pub(crate) fn try_other_domain(&mut self, id: RequestId, vm: VmId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let service_index = request.service_index;
        let domain = self.peers.domain_of(vm).cloned();
        let Some(domain) = domain.filter(|_| self.is_evacuated() && request.shard.is_none()) else {
            return false;
        };
        let until = self.now + NO_TARGET_BACKOFF;
        let without_target = &mut self.evacuations.without_target;
        without_target.insert((service_index, domain), until);
        if self.refresh_shard(id) {
            self.route_request(id);
        }
        true
    }
}
