//! Calls to leaders, and the replies of the control leader to reports and update requests.

use super::*;

impl EntryNode {
    /// Registers this VM, reports as domain leader, or asks for updates while there is no domain
    /// leader.
    pub(super) fn contact_control(&mut self, now: Duration) {
        let due = |last: Option<Duration>, every| last.is_none_or(|at| now >= at + every);
        let registered = self.directory.is_registered(&self.config.info);
        if !registered && due(self.registered_at, REGISTER_INTERVAL) {
            self.registered_at = Some(now);
            let call = ControlCall::Register(self.config.info.clone());
            self.call_internal(Call::Control(call), Destination::Control, now);
        }
        let leads = self.member.as_ref().is_some_and(|m| m.is_leader(now));
        if leads {
            if due(self.reported_at, REPORT_INTERVAL)
                && let Some(versions) = self.wanted_versions()
            {
                self.reported_at = Some(now);
                if let Some(member) = &self.member {
                    let report = member.report(&self.config.info.domain);
                    let call = ControlCall::Report {
                        report,
                        versions,
                        in_force: member.versions_in_force(),
                    };
                    self.call_internal(Call::Control(call), Destination::Control, now);
                }
            }
        } else {
            let renewed = self.session.renewed_at;
            let leaderless = renewed.is_none_or(|at| now >= at + LEADERLESS_TIMEOUT);
            if leaderless
                && due(self.update_sent, REQUEST_INTERVAL)
                && let Some(versions) = self.wanted_versions()
            {
                self.update_sent = Some(now);
                let term = self
                    .member
                    .as_ref()
                    .map_or(self.sealed_term, DomainMember::term);
                let call = ControlCall::Leaderless {
                    info: self.config.info.clone(),
                    term,
                    sealed: self.sealed_term >= term,
                    versions,
                    in_force: self.in_force,
                };
                self.call_internal(Call::Control(call), Destination::Control, now);
            }
        }
    }

    /// Returns the versions of the directory parts to name to the control leader. While the parts
    /// that an earlier call asked for are on their way, a further call asks for none, so that the
    /// same content is not sent twice and control still hears of the domain. `None` if such a call
    /// is on its way too.
    fn wanted_versions(&self) -> Option<Versions> {
        let asks_for = |newest: bool| {
            self.calls.is_in_flight(|call, _| match call {
                Call::Control(
                    ControlCall::Report { versions, .. } | ControlCall::Leaderless { versions, .. },
                ) => (*versions == Versions::NEWEST) == newest,
                _ => false,
            })
        };
        if !asks_for(false) {
            Some(self.directory.versions())
        } else if !asks_for(true) {
            Some(Versions::NEWEST)
        } else {
            None
        }
    }

    pub(super) fn handle_call(
        &mut self,
        id: CallId,
        from: Option<VmId>,
        call: Call,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        match (call, from) {
            (Call::Directory(versions), _) => {
                let reply = Reply::Directory(self.directory.newer_than(&versions));
                out.push(EntryEffect::Reply { id, reply });
            }
            (Call::Domain(call), from) => {
                let leads = self.member.as_ref().is_some_and(|m| m.is_leader(now));
                if leads {
                    self.with_member(now, out, |member, now, effects| {
                        member.call(id, call, now, effects);
                    });
                } else if from.is_some() {
                    let reply = Reply::Domain(DomainReply::NotLeader(self.domain_leader));
                    out.push(EntryEffect::Reply { id, reply });
                } else {
                    let origin = Origin::Listener(id);
                    self.calls
                        .add(Call::Domain(call), Destination::Domain, origin, now);
                    self.dispatch_calls(now, out);
                }
            }
            (Call::Control(call), None) => {
                let origin = Origin::Listener(id);
                self.calls
                    .add(Call::Control(call), Destination::Control, origin, now);
                self.dispatch_calls(now, out);
            }
            (Call::Control(_), Some(_)) => {
                let reply = Reply::Control(ControlReply::NotLeader(None));
                out.push(EntryEffect::Reply { id, reply });
            }
            (Call::Forward(_), _) => out.push(EntryEffect::Reply {
                id,
                reply: Reply::Malformed,
            }),
        }
    }

    pub(super) fn call_internal(&mut self, call: Call, destination: Destination, now: Duration) {
        self.calls.add(call, destination, Origin::Internal, now);
    }

    /// Starts the call attempts that are due and fails the calls that have timed out.
    pub(super) fn dispatch_calls(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        let own = self.config.info.vm;
        let leads = self.member.as_ref().is_some_and(|m| m.is_leader(now));
        let leader = if leads {
            Some(own)
        } else {
            self.domain_leader.filter(|&vm| vm != own)
        };
        let due = self.calls.due_calls(now, leader);
        for attempt in due.attempts {
            if leads && matches!(attempt.call, Call::Domain(_)) {
                self.run_locally(attempt.id, attempt.call, now, out);
                continue;
            }
            match self.directory.address(attempt.to) {
                Some(address) => out.push(EntryEffect::Call {
                    id: attempt.id,
                    to: attempt.to,
                    address,
                    call: attempt.call,
                    timeout: attempt.timeout,
                }),
                None => self.calls.attempt_failed(attempt.id, false, now),
            }
        }
        for (id, reply) in due.expired {
            out.push(EntryEffect::Reply { id, reply });
        }
    }

    /// Serves a pending domain call on this VM after it became the leader.
    pub(super) fn run_locally(
        &mut self,
        id: CallId,
        call: Call,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        let caller = match self.calls.complete(id).map(|completed| completed.origin) {
            Some(Origin::Listener(caller)) => caller,
            // The reply to an internal call is not needed.
            Some(Origin::Internal) => NO_CALLER,
            None => return,
        };
        let Call::Domain(call) = call else {
            return;
        };
        self.with_member(now, out, |member, now, effects| {
            member.call(caller, call, now, effects);
        });
    }

    pub(super) fn call_returned(
        &mut self,
        id: CallId,
        result: Result<Reply, bool>,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        let reply = match result {
            Ok(reply) => reply,
            Err(maybe_delivered) => {
                self.calls.attempt_failed(id, maybe_delivered, now);
                return self.dispatch_calls(now, out);
            }
        };
        match &reply {
            Reply::Control(ControlReply::NotLeader(leader)) => {
                self.calls.redirected(id, *leader, now);
                return;
            }
            Reply::Domain(DomainReply::NotLeader(leader)) => {
                if leader.is_some() && *leader != Some(self.config.info.vm) {
                    self.domain_leader = *leader;
                }
                self.calls.redirected(id, *leader, now);
                return;
            }
            _ => {}
        }
        let Some(completed) = self.calls.complete(id) else {
            return;
        };
        match (completed.origin, reply) {
            (Origin::Listener(caller), reply) => {
                out.push(EntryEffect::Reply { id: caller, reply });
            }
            (
                Origin::Internal,
                Reply::Control(ControlReply::DirectoryUpdate {
                    directory,
                    renewed,
                    seal,
                }),
            ) => {
                let leads = self.member.as_ref().is_some_and(|m| m.is_leader(now));
                let first = !self.control_confirmed;
                if leads && renewed && completed.is_report {
                    self.control_confirmed = true;
                    self.pending_renewal = self.pending_renewal.max(Some(completed.started));
                }
                if !directory.is_empty() {
                    self.merge_directory(directory, now, out);
                } else if first && self.control_confirmed {
                    self.update_assignment(now);
                }
                self.confirm_renewal();
                self.seal(seal, now, out);
            }
            (Origin::Internal, Reply::Directory(directory)) => {
                self.fetched_at = None;
                self.merge_directory(directory, now, out);
            }
            (Origin::Internal, _) => {}
        }
    }

    /// Makes the last renewal with the control group effective once the domain group has applied
    /// the shard homes that came with it.
    ///
    /// After a gap between renewals, shards may have been given another home. Leases then require a
    /// view from which those shards have been removed.
    pub(super) fn confirm_renewal(&mut self) {
        let Some(member) = self.member.as_ref().filter(|member| member.homes_applied()) else {
            return;
        };
        let Some(renewed) = self.pending_renewal.take() else {
            return;
        };
        let gap = self
            .own_renewal
            .is_none_or(|last| renewed > last + MAX_RENEWAL_GAP);
        if gap {
            self.min_view = member.view_index();
        }
        self.own_renewal = self.own_renewal.max(Some(renewed));
    }

    pub(super) fn merge_directory(
        &mut self,
        update: Directory,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        let changes = self.directory.merge(update);
        if let Some(reason) = changes.rejected {
            out.push(EntryEffect::BundleRejected { reason });
        }
        if let Some(accepted) = changes.bundle {
            self.accepted_bundle = Some(accepted);
            if !self.config.info.entry {
                self.put_in_force(u64::MAX, out);
            }
        }
        // A router that learns of an evacuation before its first directory has just started.
        if changes.evacuated {
            let domains = self.directory.cache().evacuated().to_vec();
            out.push(EntryEffect::Route(RouteEvent::Evacuated { domains }));
        }
        if changes.homes {
            out.push(EntryEffect::Route(self.directory.route_event()));
        }
        self.start_member(now, out);
        self.update_assignment(now);
    }
}
