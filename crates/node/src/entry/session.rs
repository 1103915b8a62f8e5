//! The session with the domain leader: renewal and revocation of the lease of this VM.

use super::*;

impl EntryNode {
    /// Revokes the lease, and announces to the domain that this VM leaves once it is not `busy`.
    pub(super) fn leave(&mut self, busy: bool, now: Duration, out: &mut Vec<EntryEffect>) {
        if !self.leaving {
            self.leaving = true;
            self.revoke_lease(out);
        }
        if !busy && !self.left {
            self.left = true;
            let (vm, incarnation) = (self.config.info.vm, self.config.info.incarnation);
            let call = Call::Domain(DomainCall::Leave { vm, incarnation });
            self.call_internal(call, Destination::Domain, now);
            self.dispatch_calls(now, out);
        }
    }

    /// Makes the lease invalid before its expiry.
    pub(super) fn revoke_lease(&mut self, out: &mut Vec<EntryEffect>) {
        // Replies to earlier renewals, for example from before a pause of this VM, must not restore
        // the lease.
        self.session.pending.clear();
        self.session.expiry = Duration::ZERO;
        out.push(EntryEffect::Route(RouteEvent::LeaseLost));
    }

    /// Asks the domain leader to renew the lease of this VM. If no leader is known, all entry VMs
    /// of the domain are asked; the others reply with the leader.
    pub(super) fn renew_lease(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        // After this VM has left, a renewal would open a new session, in which it could become a
        // sender.
        if self.left {
            return;
        }
        let last = self.session.attempted_at;
        if last.is_some_and(|at| now < at + self.config.renew_interval) {
            return;
        }
        self.session.attempted_at = Some(now);
        self.session.nonce += 1;
        let nonce = self.session.nonce;
        self.session.pending.insert(nonce, now);
        while self.session.pending.len() > MAX_PENDING_RENEWALS {
            self.session.pending.pop_first();
        }
        if self.member.as_ref().is_some_and(|m| m.is_leader(now)) {
            self.domain_leader = Some(self.config.info.vm);
            let info = &self.config.info;
            let (vm, incarnation) = (info.vm, info.incarnation);
            let reported = VmReport {
                view_index: self.view.1,
                bundle_version: self.directory.bundle_version(),
                in_force: self.in_force,
            };
            self.with_member(now, out, |member, now, effects| {
                member.renew_vm(vm, incarnation, nonce, reported, now, effects);
            });
            return;
        }
        let unresponsive = self
            .session
            .renewed_at
            .is_none_or(|at| now >= at + 3 * self.config.renew_interval);
        let own = self.config.info.vm;
        let leader = self.domain_leader.filter(|&vm| vm != own && !unresponsive);
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

    pub(super) fn handle_datagram(
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
                let leads = self.member.as_ref().is_some_and(|m| m.is_leader(now));
                if !leads {
                    let leader = self.domain_leader;
                    self.send_datagram(vm, Datagram::NotLeader { term: own, leader }, out);
                    return;
                }
                let view_index = if term == own { view } else { 0 };
                let reported = VmReport {
                    view_index,
                    bundle_version,
                    in_force,
                };
                self.with_member(now, out, |member, now, effects| {
                    member.renew_vm(vm, incarnation, nonce, reported, now, effects);
                });
            }
            Datagram::Renew { .. } => {}
            Datagram::Renewed {
                vm,
                incarnation,
                nonce,
                term,
                lease,
                min_view,
                control_age,
                versions,
                bundle_version,
            } => {
                let info = &self.config.info;
                if (vm, incarnation) != (info.vm, info.incarnation) {
                    return;
                }
                if self.member.is_none() && term > 0 && self.sealed_term == term {
                    self.rejoin(now, out);
                }
                if self.member.as_ref().is_some_and(|m| m.term() == term) {
                    self.domain_leader = Some(from);
                    self.put_in_force(bundle_version, out);
                    self.lease_renewed(nonce, lease, min_view, control_age, now, out);
                }
                self.named_bundle = self.named_bundle.max(versions.bundle);
                self.fetch_directory(from, &versions, now);
            }
            Datagram::NotLeader { term, leader } => {
                let known = self.member.as_ref().map_or(0, DomainMember::term);
                if term >= known && leader.is_some() && leader != Some(self.config.info.vm) {
                    self.domain_leader = leader;
                }
            }
        }
    }

    /// Applies a renewal. The lease starts when the renewal was sent, and a tenth of its length is
    /// subtracted for clock drift.
    pub(super) fn lease_renewed(
        &mut self,
        nonce: u64,
        lease: Duration,
        min_view: u64,
        control_age: Option<Duration>,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(sent) = self.session.pending.remove(&nonce) else {
            return;
        };
        self.session.renewed_at = Some(now);
        if lease.is_zero() || self.leaving {
            return;
        }
        let until = sent + lease - lease / 10;
        if until <= self.session.expiry {
            return;
        }
        self.session.expiry = until;
        if !self.session.valid {
            self.session.valid = true;
            out.push(EntryEffect::Lease { valid: true });
        }
        // A new domain leader knows only its own renewals with the control group, so an earlier one
        // that this VM knows of stays valid.
        let control_renewed = control_age.map_or(Duration::ZERO, |age| sent.saturating_sub(age));
        self.known_renewal = self.known_renewal.max(control_renewed);
        let control_renewed = self.known_renewal;
        out.push(EntryEffect::Route(RouteEvent::Lease {
            until,
            min_view,
            control_renewed,
        }));
    }

    /// Fetches the parts of the directory of which the leader has a newer version.
    pub(super) fn fetch_directory(&mut self, from: VmId, versions: &Versions, now: Duration) {
        let recently = self
            .fetched_at
            .is_some_and(|at| now < at + REQUEST_INTERVAL);
        if recently || !self.directory.is_behind(versions) {
            return;
        }
        let source = Destination::Vm(from);
        let asked = |call: &Call, to| matches!(call, Call::Directory(_)) && to == source;
        if self.calls.is_in_flight(asked) {
            return;
        }
        self.fetched_at = Some(now);
        let call = Call::Directory(self.directory.versions());
        self.call_internal(call, source, now);
    }
}
