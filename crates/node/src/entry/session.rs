//! The session with the domain leader: renewals, the lease, and giving it up.

use super::*;

impl EntryNode {
    pub(super) fn leave(&mut self, busy: bool, now: Duration, out: &mut Vec<EntryEffect>) {
        if !self.leaving {
            self.leaving = true;
            self.lose_lease(out);
        }
        if !busy && !self.left {
            self.left = true;
            let (vm, incarnation) = (self.config.info.vm, self.config.info.incarnation);
            let call = Call::Domain(DomainCall::Leave { vm, incarnation });
            self.internal(call, Dest::Domain, now);
            self.pump_calls(now, out);
        }
    }

    pub(super) fn lose_lease(&mut self, out: &mut Vec<EntryEffect>) {
        // Answers to renewals sent before the pause must not bring the lease back.
        self.session.sent.clear();
        self.session.until = Duration::ZERO;
        out.push(EntryEffect::Route(RouteEvent::LeaseLost));
    }

    /// Asks the domain leader to renew this VM's lease; without a known leader, asks every entry
    /// VM of the domain who leads.
    pub(super) fn renew(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        // A renewal would open a session again, and with it new rights to send.
        if self.left {
            return;
        }
        let last = self.session.last_try;
        if last.is_some_and(|at| now < at + self.config.renew_interval) {
            return;
        }
        self.session.last_try = Some(now);
        self.session.nonce += 1;
        let nonce = self.session.nonce;
        self.session.sent.insert(nonce, now);
        while self.session.sent.len() > RENEWALS {
            self.session.sent.pop_first();
        }
        if self.member.as_ref().is_some_and(|m| m.leads(now)) {
            self.leader = Some(self.config.info.vm);
            let info = &self.config.info;
            let (vm, incarnation) = (info.vm, info.incarnation);
            let has = Has {
                view: self.view.1,
                bundle_version: self.directory.bundle_version(),
                in_force: self.in_force,
            };
            self.with_member(now, out, |member, now, effects| {
                member.renew_vm(vm, incarnation, nonce, has, now, effects);
            });
            return;
        }
        let silent = self
            .session
            .renewed
            .is_none_or(|at| now >= at + 3 * self.config.renew_interval);
        let own = self.config.info.vm;
        let leader = self.leader.filter(|&vm| vm != own && !silent);
        let datagram = Datagram::Renew {
            vm: own,
            incarnation: self.config.info.incarnation,
            nonce,
            term: self.view.0,
            view: self.view.1,
            bundle_version: self.directory.bundle_version(),
            in_force: self.in_force,
        };
        for vm in self.directory.entry_vms(&self.config.info.domain) {
            if vm != own && leader.is_none_or(|leader| leader == vm) {
                self.send_datagram(vm, datagram.clone(), out);
            }
        }
    }

    pub(super) fn datagram(
        &mut self,
        from: VmId,
        datagram: Datagram,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        match datagram {
            Datagram::Renew {
                vm,
                incarnation,
                nonce,
                term,
                view,
                bundle_version,
                in_force,
            } if vm == from => {
                let own = self.member.as_ref().map_or(0, DomainMember::term);
                let leads = self.member.as_ref().is_some_and(|m| m.leads(now));
                if !leads {
                    let leader = self.leader;
                    self.send_datagram(vm, Datagram::NotLeader { term: own, leader }, out);
                    return;
                }
                let view = if term == own { view } else { 0 };
                let has = Has {
                    view,
                    bundle_version,
                    in_force,
                };
                self.with_member(now, out, |member, now, effects| {
                    member.renew_vm(vm, incarnation, nonce, has, now, effects);
                });
            }
            Datagram::Renew { .. } => {}
            Datagram::Renewed {
                vm,
                incarnation,
                nonce,
                term,
                lease,
                fence,
                control_age,
                versions,
                bundle_version,
            } => {
                let info = &self.config.info;
                if (vm, incarnation) != (info.vm, info.incarnation) {
                    return;
                }
                if self.member.is_none() && term > 0 && self.sealed == term {
                    self.start_over(now, out);
                }
                if self.member.as_ref().is_some_and(|m| m.term() == term) {
                    self.leader = Some(from);
                    self.put_in_force(bundle_version, out);
                    self.renewed(nonce, lease, fence, control_age, now, out);
                }
                self.fetch(from, &versions, now);
            }
            Datagram::NotLeader { term, leader } => {
                let known = self.member.as_ref().map_or(0, DomainMember::term);
                if term >= known && leader.is_some() && leader != Some(self.config.info.vm) {
                    self.leader = leader;
                }
            }
        }
    }

    /// Takes a renewal: the lease counts from before it was asked for, less the drift margin.
    pub(super) fn renewed(
        &mut self,
        nonce: u64,
        lease: Duration,
        fence: u64,
        control_age: Option<Duration>,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(sent) = self.session.sent.remove(&nonce) else {
            return;
        };
        self.session.renewed = Some(now);
        if lease.is_zero() || self.leaving {
            return;
        }
        let until = sent + lease - lease / 10;
        if until <= self.session.until {
            return;
        }
        self.session.until = until;
        if !self.session.valid {
            self.session.valid = true;
            out.push(EntryEffect::Lease { valid: true });
        }
        // An earlier renewal of the domain still counts: a new domain leader knows only its own.
        let control_renewed = control_age.map_or(Duration::ZERO, |age| sent.saturating_sub(age));
        self.control_seen = self.control_seen.max(control_renewed);
        let control_renewed = self.control_seen;
        out.push(EntryEffect::Route(RouteEvent::Lease {
            until,
            fence,
            control_renewed,
        }));
    }

    /// Asks the leader for the parts of the directory that it has newer.
    pub(super) fn fetch(&mut self, from: VmId, versions: &Versions, now: Duration) {
        let busy = self.fetching.is_some_and(|at| now < at + ASK_EVERY);
        if busy || !self.directory.lags(versions) {
            return;
        }
        self.fetching = Some(now);
        let call = Call::Directory(self.directory.versions());
        self.internal(call, Dest::Vm(from), now);
    }
}
