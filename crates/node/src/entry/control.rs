//! Calls to the leaders, and what control answers to reports and requests for news.

use super::*;

impl EntryNode {
    /// Registers, reports as domain leader, or asks for news while there is no leader.
    pub(super) fn talk_to_control(&mut self, now: Duration) {
        let due = |last: Option<Duration>, every| last.is_none_or(|at| now >= at + every);
        let shown = self.directory.shows(&self.config.info);
        if !shown && due(self.registered, REGISTER_EVERY) {
            self.registered = Some(now);
            let call = ControlCall::Register(self.config.info.clone());
            self.internal(Call::Control(call), Dest::Control, now);
        }
        let leads = self.member.as_ref().is_some_and(|m| m.leads(now));
        if leads {
            if due(self.reported, REPORT_EVERY) {
                self.reported = Some(now);
                if let Some(member) = &self.member {
                    let report = member.report(&self.config.info.domain);
                    let versions = self.directory.versions();
                    let call = ControlCall::Report {
                        report,
                        versions,
                        in_force: member.in_force(),
                    };
                    self.internal(Call::Control(call), Dest::Control, now);
                }
            }
        } else {
            let renewed = self.session.renewed;
            let leaderless = renewed.is_none_or(|at| now >= at + LEADERLESS_AFTER);
            if leaderless && due(self.asked, ASK_EVERY) {
                self.asked = Some(now);
                let term = self.member.as_ref().map_or(self.sealed, DomainMember::term);
                let call = ControlCall::Leaderless {
                    info: self.config.info.clone(),
                    term,
                    sealed: self.sealed >= term,
                    versions: self.directory.versions(),
                    in_force: self.in_force,
                };
                self.internal(Call::Control(call), Dest::Control, now);
            }
        }
    }

    pub(super) fn call(
        &mut self,
        id: CallId,
        from: Option<VmId>,
        call: Call,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        match (call, from) {
            (Call::Directory(versions), _) => {
                let reply = Reply::Directory(self.directory.newer(&versions));
                out.push(EntryEffect::Reply { id, reply });
            }
            (Call::Domain(call), from) => {
                let leads = self.member.as_ref().is_some_and(|m| m.leads(now));
                if leads {
                    self.with_member(now, out, |member, now, effects| {
                        member.call(id, call, now, effects);
                    });
                } else if from.is_some() {
                    let reply = Reply::Domain(DomainReply::NotLeader(self.leader));
                    out.push(EntryEffect::Reply { id, reply });
                } else {
                    let origin = Origin::Listener(id);
                    self.calls
                        .add(Call::Domain(call), Dest::Domain, origin, now);
                    self.pump_calls(now, out);
                }
            }
            (Call::Control(call), None) => {
                let origin = Origin::Listener(id);
                self.calls
                    .add(Call::Control(call), Dest::Control, origin, now);
                self.pump_calls(now, out);
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

    pub(super) fn internal(&mut self, call: Call, dest: Dest, now: Duration) {
        self.calls.add(call, dest, Origin::Node, now);
    }

    /// Starts the calls that are due and gives up those whose time is over.
    pub(super) fn pump_calls(&mut self, now: Duration, out: &mut Vec<EntryEffect>) {
        let own = self.config.info.vm;
        let leads = self.member.as_ref().is_some_and(|m| m.leads(now));
        let leader = if leads {
            Some(own)
        } else {
            self.leader.filter(|&vm| vm != own)
        };
        let due = self.calls.due(now, leader);
        for start in due.starts {
            if leads && matches!(start.call, Call::Domain(_)) {
                self.run_own(start.id, start.call, now, out);
                continue;
            }
            match self.directory.address(start.to) {
                Some(address) => out.push(EntryEffect::Call {
                    id: start.id,
                    to: start.to,
                    address,
                    call: start.call,
                    timeout: start.timeout,
                }),
                None => self.calls.failed(start.id, false, now),
            }
        }
        for (id, reply) in due.expired {
            out.push(EntryEffect::Reply { id, reply });
        }
    }

    /// Runs a waiting domain call here, after this VM became the leader.
    pub(super) fn run_own(
        &mut self,
        id: CallId,
        call: Call,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        let caller = match self.calls.finish(id).map(|finished| finished.origin) {
            Some(Origin::Listener(caller)) => caller,
            // Nobody waits for the answer to a call of the node itself.
            Some(Origin::Node) => NO_CALLER,
            None => return,
        };
        let Call::Domain(call) = call else {
            return;
        };
        self.with_member(now, out, |member, now, effects| {
            member.call(caller, call, now, effects);
        });
    }

    pub(super) fn returned(
        &mut self,
        id: CallId,
        result: Result<Reply, bool>,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        let reply = match result {
            Ok(reply) => reply,
            Err(delivered) => {
                self.calls.failed(id, delivered, now);
                return self.pump_calls(now, out);
            }
        };
        match &reply {
            Reply::Control(ControlReply::NotLeader(leader)) => {
                self.calls.moved(id, *leader, now);
                return;
            }
            Reply::Domain(DomainReply::NotLeader(leader)) => {
                if leader.is_some() && *leader != Some(self.config.info.vm) {
                    self.leader = *leader;
                }
                self.calls.moved(id, *leader, now);
                return;
            }
            _ => {}
        }
        let Some(finished) = self.calls.finish(id) else {
            return;
        };
        match (finished.origin, reply) {
            (Origin::Listener(caller), reply) => {
                out.push(EntryEffect::Reply { id: caller, reply });
            }
            (
                Origin::Node,
                Reply::Control(ControlReply::DirectoryUpdate {
                    directory,
                    renewed,
                    seal,
                }),
            ) => {
                let leads = self.member.as_ref().is_some_and(|m| m.leads(now));
                let first = !self.confirmed;
                if leads && renewed && finished.report {
                    self.confirmed = true;
                    self.control_new = self.control_new.max(Some(finished.started));
                }
                if !directory.is_empty() {
                    self.take_directory(directory, now, out);
                } else if first && self.confirmed {
                    self.assign_member(now);
                }
                self.count_renewal();
                self.seal(seal, now, out);
            }
            (Origin::Node, Reply::Directory(directory)) => {
                self.fetching = None;
                self.take_directory(directory, now, out);
            }
            (Origin::Node, _) => {}
        }
    }

    /// Counts the last renewal with the control group once the group follows the homes that came
    /// with it.
    ///
    /// After a gap, shards may have got another home meanwhile. Leases then need a view that shows
    /// that this domain no longer serves them.
    pub(super) fn count_renewal(&mut self) {
        let Some(member) = self.member.as_ref().filter(|member| member.follows_homes()) else {
            return;
        };
        let Some(renewed) = self.control_new.take() else {
            return;
        };
        let gap = self
            .control_ok
            .is_none_or(|last| renewed > last + CONTROL_GAP);
        if gap {
            self.control_fence = member.view_index();
        }
        self.control_ok = self.control_ok.max(Some(renewed));
    }

    pub(super) fn take_directory(
        &mut self,
        news: Directory,
        now: Duration,
        out: &mut Vec<EntryEffect>,
    ) {
        let changes = self.directory.take(news);
        if let Some(reason) = changes.refused {
            out.push(EntryEffect::BundleRejected { reason });
        }
        if let Some(accepted) = changes.bundle {
            self.accepted = Some(accepted);
            if !self.config.info.entry {
                self.put_in_force(u64::MAX, out);
            }
        }
        if changes.homes {
            out.push(EntryEffect::Route(self.directory.route_event()));
        }
        self.start_member(now, out);
        self.assign_member(now);
    }
}
