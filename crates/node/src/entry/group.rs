//! The member of the domain group: start, join, views, sealing, and effects.

use super::*;

impl EntryNode {
    /// Asks to join the domain group if this VM is not a member.
    pub(super) fn join(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        let Some(member) = &self.member else {
            return;
        };
        if member.is_member() || self.join_sent.is_some_and(|at| now < at + REQUEST_INTERVAL) {
            return;
        }
        self.join_sent = Some(now);
        let info = &self.config.info;
        let call = DomainCall::Join {
            term: member.term(),
            member: domain_member_id(info.vm, info.incarnation),
        };
        self.call_internal(Call::Domain(call), Destination::Domain, now);
        self.dispatch_calls(now, out);
    }

    pub(super) fn apply_view(&mut self, view: View, out: &mut Vec<EntryEffect>) {
        let (term, index) = self.view;
        if view.term == term && view.index > index && view.since <= index {
            self.view = (view.term, view.index);
            self.put_in_force(view.bundle_version, out);
            out.push(EntryEffect::Route(RouteEvent::View(view)));
        }
    }

    /// Seals the domain group of `term` unless it has a leader: this member leaves the group and
    /// never takes part in the term again.
    pub(super) fn seal(&mut self, term: Option<u64>, now: Duration, out: &mut Vec<EntryEffect>) {
        let Some(term) = term else {
            return;
        };
        let renewed = self.session.renewed_at;
        let leaderless = renewed.is_none_or(|at| now >= at + LEADERLESS_TIMEOUT);
        let current = self.member.as_ref().is_none_or(|m| m.term() == term);
        if leaderless && current && self.sealed_term < term {
            self.sealed_term = term;
            self.member = None;
            self.domain_leader = None;
            self.update_sent = None;
            self.revoke_lease(out);
        }
    }

    /// Joins a group again that still has a leader although this VM sealed its term. The sealed
    /// member id is never used again, so the VM joins with a new incarnation, as after a restart.
    pub(super) fn rejoin(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        self.config.info.incarnation += 1;
        self.sealed_term = 0;
        self.registered_at = None;
        self.start_member(now, out);
        self.join_sent = None;
    }

    pub(super) fn update_assignment(&mut self, now: Duration) {
        if let Some(member) = &mut self.member {
            let mut assignment = self.directory.assignment(&self.config.info.domain);
            assignment.confirmed = self.control_confirmed;
            member.assign(assignment, now);
        }
    }

    /// Puts the newest accepted bundle in force once the domain group has committed `version`.
    ///
    /// A VM that restarts without a disk learns at least the version that its group has committed,
    /// so the bundle version in force on a VM never decreases.
    pub(super) fn put_in_force(&mut self, version: u64, out: &mut Vec<EntryEffect>) {
        let ready = |(_, bundle): &mut (SignedBundle, Bundle)| bundle.version <= version;
        if let Some((signed, bundle)) = self.accepted_bundle.take_if(ready) {
            self.in_force = bundle.version;
            out.push(EntryEffect::Route(RouteEvent::Bundle(bundle.clone())));
            let bundle = Box::new(bundle);
            out.push(EntryEffect::BundleInForce { signed, bundle });
        }
    }

    /// Starts a member of the current domain group, if the group is newer than that of the running
    /// member.
    pub(super) fn start_member(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        let info = &self.config.info;
        if !info.entry {
            return;
        }
        let Some(group) = self.directory.group(&info.domain) else {
            return;
        };
        let current = self
            .member
            .as_ref()
            .map_or(self.sealed_term, DomainMember::term);
        if group.term <= current {
            return;
        }
        let founders: Vec<u64> = group
            .members
            .iter()
            .map(|&(vm, incarnation)| domain_member_id(vm, incarnation))
            .collect();
        let config = RaftConfig {
            id: domain_member_id(info.vm, info.incarnation),
            election_timeout: self.config.election_timeout,
            lease: self.config.election_timeout,
            heartbeat_interval: self.config.heartbeat_interval,
            max_batch: 256,
            max_batch_bytes: 1 << 20,
            seed: self.config.seed ^ group.term,
        };
        let lease = self.config.lease_config.clone();
        let (term, recreated) = (group.term, group.recreated);
        let mut member = DomainMember::new(
            config,
            lease,
            term,
            recreated,
            &founders,
            self.config.max_voters,
        );
        member.assign(self.directory.assignment(&info.domain), now);
        self.member = Some(member);
        self.domain_leader = None;
        self.join_sent = Some(now);
        // Leases and views of an earlier group are not valid in this one.
        self.session.pending.clear();
        self.session.expiry = Duration::ZERO;
        self.view = (term, 0);
        out.push(EntryEffect::Route(RouteEvent::Term { term }));
    }

    pub(super) fn send_sender_report(
        &mut self,
        report: SenderReport,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        let own = self.config.info.vm;
        let incarnation = self.config.info.incarnation;
        if self.member.as_ref().is_some_and(|m| m.is_leader(now)) {
            self.with_member(now, out, |member, now, effects| {
                member.sender_report(own, incarnation, report, now, effects);
            });
        } else if let Some(leader) = self.domain_leader.filter(|&vm| vm != own) {
            let cast = Cast::Sender {
                incarnation,
                report,
            };
            self.send_cast(leader, cast, out);
        }
    }

    /// Runs `f` on the member and applies the effects.
    pub(super) fn with_member<F>(&mut self, now: Duration, out: &mut Vec<EntryEffect>, f: F)
    where
        F: FnOnce(&mut DomainMember, Duration, &mut Vec<MemberEffect>),
    {
        let Some(member) = &mut self.member else {
            return;
        };
        let mut effects = Vec::new();
        f(member, now, &mut effects);
        let group_term = member.term();
        for effect in effects {
            self.apply_effect(effect, group_term, now, out);
        }
    }

    pub(super) fn apply_effect(
        &mut self,
        effect: MemberEffect,
        group_term: u64,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        match effect {
            MemberEffect::Send { to, message } => {
                let from = domain_member_id(self.config.info.vm, self.config.info.incarnation);
                let cast = Cast::DomainRaft {
                    term: group_term,
                    from,
                    to,
                    message,
                };
                self.send_cast(member_vm(to), cast, out);
            }
            MemberEffect::Reply { id, reply } => out.push(EntryEffect::Reply {
                id,
                reply: Reply::Domain(reply),
            }),
            MemberEffect::Grant {
                vm,
                incarnation,
                nonce,
                lease,
                min_view,
            } => {
                self.confirm_renewal();
                let control_age = self.own_renewal.map(|at| now.saturating_sub(at));
                let min_view = min_view.max(self.min_view);
                let bundle_version = self.member.as_ref().map_or(0, DomainMember::bundle_version);
                if vm == self.config.info.vm {
                    self.put_in_force(bundle_version, out);
                    self.lease_renewed(nonce, lease, min_view, control_age, now, out);
                    return;
                }
                let datagram = Datagram::Renewed {
                    vm,
                    incarnation,
                    nonce,
                    term: group_term,
                    lease,
                    min_view,
                    control_age,
                    versions: self.directory.versions(),
                    bundle_version,
                };
                self.send_datagram(vm, datagram, out);
            }
            MemberEffect::View { vm, view } if vm == self.config.info.vm => {
                self.apply_view(view, out);
            }
            MemberEffect::View { vm, view } => self.send_cast(vm, Cast::View(view), out),
            MemberEffect::Role { role, term, leader } => {
                if leader.is_some() {
                    self.domain_leader = leader;
                }
                if role != Role::Leader {
                    self.control_confirmed = false;
                    (self.pending_renewal, self.own_renewal) = (None, None);
                    self.min_view = 0;
                    self.reported_at = None;
                }
                out.push(EntryEffect::Role {
                    group_term,
                    role,
                    epoch: term,
                    leader,
                });
            }
        }
    }
}
