//! Targets that announce themselves and renew through the VMs.

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
const RENEW: u64 = 150;
/// Time after which a call counts as lost, in steps.
const LOST: u64 = 1_000;

/// A target.
pub struct SimTarget {
    spec: TargetSpec,
    entries: Vec<VmId>,
    pub session: Option<TargetId>,
    next: u64,
    asked: Option<(u64, u64)>,
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
                next: self.now,
                asked: None,
            });
        }
    }

    pub(super) fn renew_targets(&mut self) {
        let awake = self.awake();
        for i in 0..self.targets.len() {
            let now = self.now;
            let target = &mut self.targets[i];
            if let Some((number, at)) = target.asked {
                let Some(reply) = self.answers.remove(&number) else {
                    if now >= at + LOST {
                        target.asked = None;
                    }
                    continue;
                };
                target.asked = None;
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
                .filter(|vm| awake.contains(vm))
                .collect();
            if now < target.next || up.is_empty() {
                continue;
            }
            target.next = now + RENEW;
            let call = match target.session {
                None => DomainCall::Announce(target.spec.clone()),
                Some(target) => DomainCall::RenewTarget {
                    target,
                    load: LoadReport::default(),
                    grants_version: 0,
                },
            };
            let at = up[self.rng.random_range(0..up.len())];
            let number = self.ask(at, Call::Domain(call));
            self.targets[i].asked = Some((number, now));
        }
    }
}
