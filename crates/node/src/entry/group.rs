//! The member of the domain group: joining, views, sealing, and its effects.

use super::*;

impl EntryNode {
    /// Asks to become a member of the domain group, if this VM is not one.
    pub(super) fn join(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        let Some(member) = &self.member else {
            return;
        };
        if member.is_member() || self.joined.is_some_and(|at| now < at + ASK_EVERY) {
            return;
        }
        self.joined = Some(now);
        let info = &self.config.info;
        let call = DomainCall::Join {
            term: member.term(),
            member: domain_member_id(info.vm, info.incarnation),
        };
        self.internal(Call::Domain(call), Dest::Domain, now);
        self.pump_calls(now, out);
    }

    pub(super) fn take_view(&mut self, view: View, out: &mut Vec<EntryEffect>) {
        let (term, index) = self.view;
        if view.term == term && view.index > index && view.since <= index {
            self.view = (view.term, view.index);
            self.put_in_force(view.bundle_version, out);
            out.push(EntryEffect::Route(RouteEvent::View(view)));
        }
    }

    /// Leaves the domain group of `term` for good, unless it has a leader after all.
    pub(super) fn seal(&mut self, term: Option<u64>, now: Duration, out: &mut Vec<EntryEffect>) {
        let Some(term) = term else {
            return;
        };
        let renewed = self.session.renewed;
        let leaderless = renewed.is_none_or(|at| now >= at + LEADERLESS_AFTER);
        let current = self.member.as_ref().is_none_or(|m| m.term() == term);
        if leaderless && current && self.sealed < term {
            self.sealed = term;
            self.member = None;
            self.leader = None;
            self.asked = None;
            self.lose_lease(out);
        }
    }

    /// Comes back to a group that lives on although this VM sealed its term. The identity that
    /// sealed it stays out for good, so the VM joins as a new run, as after a restart.
    pub(super) fn start_over(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        self.config.info.incarnation += 1;
        self.sealed = 0;
        self.registered = None;
        self.start_member(now, out);
        self.joined = None;
    }

    pub(super) fn assign_member(&mut self, now: Duration) {
        if let Some(member) = &mut self.member {
            let mut assigned = self.directory.assigned(&self.config.info.domain);
            assigned.confirmed = self.confirmed;
            member.assign(assigned, now);
        }
    }

    /// Puts the newest accepted bundle in force once the domain group has committed `version`.
    ///
    /// A VM without a disk that restarts learns at least the version that its group has
    /// committed, so no VM goes back to a bundle before one that it acted on.
    pub(super) fn put_in_force(&mut self, version: u64, out: &mut Vec<EntryEffect>) {
        let ready = |(_, bundle): &mut (SignedBundle, Bundle)| bundle.version <= version;
        if let Some((signed, bundle)) = self.accepted.take_if(ready) {
            self.in_force = bundle.version;
            out.push(EntryEffect::Route(RouteEvent::Bundle(bundle.clone())));
            let bundle = Box::new(bundle);
            out.push(EntryEffect::BundleInForce { signed, bundle });
        }
    }

    /// Starts the member of the domain's current group, if it is newer than the one that runs.
    pub(super) fn start_member(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        let info = &self.config.info;
        if !info.entry {
            return;
        }
        let Some(group) = self.directory.group(&info.domain) else {
            return;
        };
        let current = self.member.as_ref().map_or(self.sealed, DomainMember::term);
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
            seed: self.config.seed ^ group.term,
        };
        let lease = self.config.lease_config.clone();
        let (term, reformed) = (group.term, group.recreated);
        let mut member = DomainMember::new(
            config,
            lease,
            term,
            reformed,
            &founders,
            self.config.max_voters,
        );
        member.assign(self.directory.assigned(&info.domain), now);
        self.member = Some(member);
        self.leader = None;
        self.joined = Some(now);
        // The leases and views of an earlier group say nothing about this one.
        self.session.sent.clear();
        self.session.until = Duration::ZERO;
        self.view = (term, 0);
        out.push(EntryEffect::Route(RouteEvent::Term { term }));
    }

    pub(super) fn report_sender(
        &mut self,
        report: SenderReport,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        let own = self.config.info.vm;
        let incarnation = self.config.info.incarnation;
        if self.member.as_ref().is_some_and(|m| m.leads(now)) {
            self.with_member(now, out, |member, now, effects| {
                member.sender(own, incarnation, report, now, effects);
            });
        } else if let Some(leader) = self.leader.filter(|&vm| vm != own) {
            let cast = Cast::Sender {
                incarnation,
                report,
            };
            self.send_cast(leader, cast, out);
        }
    }

    /// Runs `f` on the member and carries its effects over.
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
            self.carry_out(effect, group_term, now, out);
        }
    }

    pub(super) fn carry_out(
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
                fence,
            } => {
                self.count_renewal();
                let control_age = self.control_ok.map(|at| now.saturating_sub(at));
                let fence = fence.max(self.control_fence);
                let bundle_version = self.member.as_ref().map_or(0, DomainMember::bundle_version);
                if vm == self.config.info.vm {
                    self.put_in_force(bundle_version, out);
                    self.renewed(nonce, lease, fence, control_age, now, out);
                    return;
                }
                let datagram = Datagram::Renewed {
                    vm,
                    incarnation,
                    nonce,
                    term: group_term,
                    lease,
                    fence,
                    control_age,
                    versions: self.directory.versions(),
                    bundle_version,
                };
                self.send_datagram(vm, datagram, out);
            }
            MemberEffect::View { vm, view } if vm == self.config.info.vm => {
                self.take_view(view, out);
            }
            MemberEffect::View { vm, view } => self.send_cast(vm, Cast::View(view), out),
            MemberEffect::Role { role, term, leader } => {
                if leader.is_some() {
                    self.leader = leader;
                }
                if role != Role::Leader {
                    self.confirmed = false;
                    (self.control_new, self.control_ok) = (None, None);
                    self.control_fence = 0;
                    self.reported = None;
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
