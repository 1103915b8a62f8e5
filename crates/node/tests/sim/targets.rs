//! Targets that announce themselves and renew their leases through the entry VMs.

use camphordale_domain::Outcome;
use camphordale_node::{
    Call,
    DomainCall,
    DomainReply,
    Reply, //
};
use camphordale_types::{
    LoadReport,
    Side,
    TargetId,
    TargetSpec,
    VmId, //
};
use rand::Rng;

use super::Sim;

/// Time between renewals, in steps.
const RENEW_INTERVAL: u64 = 150;
/// Time after which a call is given up, in steps.
const CALL_TIMEOUT: u64 = 1_000;

/// A simulated target.
pub struct SimTarget {
    spec: TargetSpec,
    entries: Vec<VmId>,
    pub session: Option<TargetId>,
    next_renewal: u64,
    pending_call: Option<(u64, u64)>,
}

impl Sim {
    pub fn add_targets(&mut self, count: usize, entries: Vec<VmId>) {
        for i in 0..count {
            self.targets.push(SimTarget {
                spec: TargetSpec {
                    name: format!("t{i}").into(),
                    service: "berths".into(),
                    side: Side::Old,
                    address: ([127, 0, 0, 2], 100 + i as u16).into(),
                    checks_tokens: i % 2 == 0,
                    slots: 4,
                },
                entries: entries.clone(),
                session: None,
                next_renewal: self.now,
                pending_call: None,
            });
        }
    }

    pub(super) fn renew_targets(&mut self) {
        let running = self.running_vms();
        for i in 0..self.targets.len() {
            let now = self.now;
            let target = &mut self.targets[i];
            if let Some((number, at)) = target.pending_call {
                let Some(reply) = self.replies.remove(&number) else {
                    if now >= at + CALL_TIMEOUT {
                        target.pending_call = None;
                    }
                    continue;
                };
                target.pending_call = None;
                match reply {
                    Reply::Domain(DomainReply::Applied(Outcome::Session(id))) => {
                        target.session = Some(id);
                    }
                    Reply::Domain(DomainReply::NoSession) => target.session = None,
                    _ => {}
                }
            }
            let up: Vec<VmId> = target
                .entries
                .iter()
                .copied()
                .filter(|vm| running.contains(vm))
                .collect();
            if now < target.next_renewal || up.is_empty() {
                continue;
            }
            target.next_renewal = now + RENEW_INTERVAL;
            let call = match target.session {
                None => DomainCall::Announce(target.spec.clone()),
                Some(target) => DomainCall::RenewTarget {
                    target,
                    load: LoadReport::default(),
                    grants_version: 0,
                },
            };
            let at = up[self.rng.random_range(0..up.len())];
            let number = self.call(at, Call::Domain(call));
            self.targets[i].pending_call = Some((number, now));
        }
    }
}
