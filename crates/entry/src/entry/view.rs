//! The view from the control leader, and the reports to it.

use std::time::Duration;

use camphordale_fleet::{
    Command,
    Key,
    KeyLoad,
    Outcome,
    Part,
    PeerMessage,
    TargetId,
    TargetLatency,
    View, //
};
use rand::Rng;

use super::{
    Effect,
    Entry,
    LogEvent, //
};
use crate::{
    control_stream::{
        ControlStreamEffect,
        Position, //
    },
    retry_budget::RetryBudget,
    transfer::Received, //
};

/// Maximum number of keys in one report of a service.
const MAX_SAMPLE: usize = 48;

/// Interval between latency reports of all targets; latencies change slowly.
const LATENCY_REPORT_INTERVAL: Duration = Duration::from_millis(2000);

/// Number of responses at which a target's latency is reported before the interval has passed.
const EARLY_REPORT_RESPONSES: u32 = 4;

/// Uniform random sample of the keys requested since the last report.
#[derive(Debug, Default)]
pub(super) struct KeySample {
    total: u32,
    keys: Vec<Key>,
}

impl Entry {
    pub(super) fn maintain_control_stream(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let mut effects = Vec::new();
        let position = self.position();
        self.control_stream
            .tick((&self.view, position), now, &mut effects);
        if !self.control_stream.is_established() {
            self.load_reports.on_stream_left();
        }
        if !self.control_stream.is_open() {
            self.transfers.end_request();
        }
        if self.control_stream.ping_due(now) {
            let load = match self.control_stream.is_established() {
                true => {
                    self.report_loads(now, out);
                    self.take_reports(now)
                }
                false => Default::default(),
            };
            self.control_stream
                .ping(self.view.index, load, now, &mut effects);
        }
        out.extend(effects.into_iter().map(Effect::ControlStream));
        self.pull_parts(now, out);
        self.report_stream_state(out);
        let ready = self.is_ready(now);
        if ready != self.was_ready {
            self.was_ready = ready;
            let silence = self.control_stream.silence(now);
            let overdue = self.certainty.is_overdue(now);
            let event = LogEvent::Ready {
                ready,
                silence,
                overdue,
            };
            out.push(Effect::Log(event));
        }
    }

    pub(super) fn report_stream_state(&mut self, out: &mut Vec<Effect>) {
        let live = self.control_stream.is_established();
        if live != self.was_established {
            self.was_established = live;
            let view = self.view.index;
            out.push(Effect::Log(LogEvent::Control { live, view }));
        }
    }

    pub(super) fn on_stream_message(
        &mut self,
        message: PeerMessage,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let mut effects = Vec::new();
        let last_heard = now.saturating_sub(self.control_stream.silence(now));
        let is_established = self.control_stream.on_message(&message, now, &mut effects);
        out.extend(effects.into_iter().map(Effect::ControlStream));
        match message {
            PeerMessage::Snapshot(view) if is_established => {
                self.replace_view(*view, last_heard, now, out);
            }
            PeerMessage::Resume { .. } if is_established => {
                self.transfers.discard_view();
                if let Some(view) = self.received_view.take() {
                    self.replace_view(*view, last_heard, now, out);
                }
                // Notices of moves may have been missed.
                self.handovers.clear();
                self.evacuations.on_resumed(last_heard);
                if self.routes.is_contended() {
                    // A new leader has no reports of latencies.
                    self.targets.requeue_latencies();
                }
                self.confirm_routing(now, out);
                self.retry_where(now, out, |_| true);
            }
            PeerMessage::Update { index, command } if !is_established => {
                if let Some(view) = &mut self.received_view {
                    view.apply(index, &command);
                }
            }
            PeerMessage::RoutingNotice { index, part } if !is_established => {
                self.complete_view(index, part, now, out);
            }
            PeerMessage::Update { index, command } => {
                self.apply_update(index, &command, now, out);
            }
            PeerMessage::RoutingNotice { index, part } => {
                self.view.index = self.view.index.max(index);
                self.receive_part(part, now, out);
            }
            PeerMessage::Part(part) if is_established => {
                self.transfers.end_request();
                self.receive_part(part, now, out);
            }
            PeerMessage::Handover {
                service,
                from,
                to,
                done: false,
            } if is_established => {
                self.handovers.begin(&service, (from, to), now);
            }
            PeerMessage::Handover {
                service, from, to, ..
            } if is_established => {
                self.handovers.end(&service, (from, to));
                self.retry_range(&service, (from, to), now, out);
            }
            PeerMessage::CrashEvidence {
                records,
                alive,
                trials,
            } if is_established => {
                self.on_crash_evidence(&records, &alive, &trials, now, out);
            }
            PeerMessage::TargetStatements {
                sent,
                stated,
                rights,
                ..
            } if is_established => self.on_target_statements(sent, &stated, &rights, now, out),
            PeerMessage::LoadSummary { loads, demand } if is_established => {
                self.on_load_summary(&loads, demand, now, out);
            }
            PeerMessage::ColdTargets {
                suspected,
                cleared,
                expired,
            } if is_established => {
                self.on_cold_targets(&suspected, &cleared, &expired, now, out);
            }
            PeerMessage::ColdTargets { suspected, .. } => self.keep_suspicions(suspected),
            PeerMessage::TargetLatencies(latencies) if is_established => {
                self.targets.adopt_latencies(&latencies);
            }
            PeerMessage::Pong { entries, sent } => {
                if self.control_stream.is_established() {
                    self.certainty.confirm(sent);
                }
                self.evacuations.on_confirmed();
                self.crashes.confirm(sent);
                self.statement_reports.confirm(sent);
                self.load_reports.confirm(sent);
                for budget in self.budgets.values_mut() {
                    budget.set_vm_count(entries.all);
                }
            }
            _ => {}
        }
        self.pull_parts(now, out);
        self.report_stream_state(out);
    }

    /// Handles the loss of the connection to the leader.
    pub(super) fn on_stream_closed(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.crashes.on_stream_closed(now);
        self.statement_reports.on_stream_closed(now);
        self.load_reports.on_stream_closed(now);
        self.transfers.end_request();
        self.report_stream_state(out);
    }

    /// Asks for the next part of a content if it is due.
    fn pull_parts(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.control_stream.is_open()
            && let Some(message) = self.transfers.pull(self.routing_version(), now)
        {
            out.push(Effect::ControlStream(ControlStreamEffect::Send(message)));
        }
    }

    /// Takes a part of a content, and adopts what is complete.
    fn receive_part(&mut self, part: Part, now: Duration, out: &mut Vec<Effect>) {
        self.certainty.learn(&part.content, now);
        match self.transfers.receive(part, self.routing_version(), now) {
            Received::Accepted => {}
            Received::Gap => return self.follow_again(now, out),
        }
        if let Some((view, stats)) = self.transfers.take_view(now) {
            out.push(Effect::Log(LogEvent::Transferred(stats)));
            match view {
                Ok(view) => {
                    self.received_view = Some(view);
                    self.follow_again(now, out);
                }
                Err(error) => {
                    out.push(Effect::Log(LogEvent::Unusable(error.to_string().into())));
                    self.close_stream(now, out);
                }
            }
            return;
        }
        self.adopt_changes(now, out);
    }

    /// Applies a change of the routing to a view that was received and is not in use yet. A change
    /// whose content is longer than the notice follows when the view is in use.
    fn complete_view(&mut self, index: u64, part: Part, now: Duration, out: &mut Vec<Effect>) {
        let Some(view) = &mut self.received_view else {
            return;
        };
        self.certainty.learn(&part.content, now);
        let version = |view: &View| view.routing.as_ref().map_or(0, |routing| routing.version);
        self.transfers.receive(part, version(view), now);
        view.index = view.index.max(index);
        while let Some((change, stats)) = self.transfers.take_change(version(view), now) {
            out.push(Effect::Log(LogEvent::Transferred(stats)));
            let applied = change.is_ok_and(|change| view.change_routing(&change) == Outcome::Done);
            if !applied {
                // The version shows that it is missing, and it is asked for again.
                break;
            }
        }
    }

    /// Applies the changes of the routing that have arrived.
    fn adopt_changes(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let old = self.routing_version();
        while let Some((change, stats)) = self.transfers.take_change(self.routing_version(), now) {
            out.push(Effect::Log(LogEvent::Transferred(stats)));
            let reason = match change {
                Ok(change) => match self.view.change_routing(&change) {
                    Outcome::Done => continue,
                    outcome => format!("{outcome:?}"),
                },
                Err(error) => error.to_string(),
            };
            out.push(Effect::Log(LogEvent::Unusable(reason.into())));
            self.transfers.discard_changes();
            self.needs_view = true;
            return self.follow_again(now, out);
        }
        if self.routing_version() == old {
            return;
        }
        self.routing_changed(old, now, out);
        self.confirm_routing(now, out);
        self.retry_parked(None, now, out);
    }

    /// Confirms the routing to the leader at once, because an operator waits for it.
    fn confirm_routing(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.control_stream.follows() {
            let message = PeerMessage::RoutingInForce(self.routing_version());
            out.push(Effect::ControlStream(ControlStreamEffect::Send(message)));
        }
        self.confirm_view(now, out);
    }

    /// From where the VM follows the leader.
    fn position(&self) -> Position {
        match &self.received_view {
            Some(view) => Position::from(&**view),
            None if self.needs_view => Position::default(),
            None => Position::from(&self.view),
        }
    }

    fn close_stream(&mut self, now: Duration, out: &mut Vec<Effect>) {
        out.push(Effect::ControlStream(ControlStreamEffect::Close));
        self.control_stream.on_closed(now);
    }

    /// Asks the leader for what follows the view, on the open connection.
    fn follow_again(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let mut effects = Vec::new();
        self.transfers.end_request();
        self.control_stream
            .follow(self.position(), now, &mut effects);
        out.extend(effects.into_iter().map(Effect::ControlStream));
    }

    fn replace_view(
        &mut self,
        view: View,
        last_heard: Duration,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        // An older leader may still reply; this VM never returns to an older view.
        if view.index < self.view.index {
            self.close_stream(now, out);
            return;
        }
        self.needs_view = false;
        let old = self.routing_version();
        let last_heard = (self.view.index > 0).then_some(last_heard);
        self.view = view;
        self.targets.sync(&self.view);
        self.domain_loads.capacity_changed();
        let targets = &self.view.targets;
        let accepts = |id: &TargetId| targets.get(id).is_none_or(|t| t.state.accepts_requests());
        self.draining_since.retain(|id, _| !accepts(id));
        for (id, target) in targets {
            if !target.state.accepts_requests() {
                self.draining_since
                    .entry(id.clone())
                    .or_insert(Duration::ZERO);
            }
        }
        self.sync_evacuations(last_heard, now, out);
        self.adopt_all_warmth(now, out);
        self.routing_changed(old, now, out);
        self.adopt_kept_suspicions(now, out);
        self.targets.requeue_latencies();
        self.next_latency = now;
        self.handovers.clear();
        self.confirm_view(now, out);
        self.retry_where(now, out, |_| true);
    }

    fn apply_update(
        &mut self,
        index: u64,
        command: &Command,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if index <= self.view.index {
            return;
        }
        let old = self.routing_version();
        if self.view.apply(index, command) == Outcome::Outdated {
            return;
        }
        match command {
            Command::Change(_) => {
                self.routing_changed(old, now, out);
                self.confirm_routing(now, out);
            }
            Command::Announce { id, target } => {
                if target.state.accepts_requests() {
                    self.draining_since.remove(id);
                } else {
                    self.draining_since.entry(id.clone()).or_insert(now);
                }
                self.targets.update(id, target);
                self.adopt_warmth(id, now, out);
                self.domain_loads.capacity_changed();
            }
            Command::Remove { id, .. } => {
                self.draining_since.remove(id);
                self.targets.remove(id);
                self.domain_loads.capacity_changed();
            }
            Command::Assign { service, range, .. } => {
                let range = (range.from, range.to);
                let delivery = self.view.key_delivery(service);
                self.handovers.assigned(service, range, delivery, now);
                return self.retry_range(service, range, now, out);
            }
            Command::Evacuate { domain, order } => {
                self.on_evacuation_order(domain, *order, now, out);
                self.domain_loads.capacity_changed();
                self.confirm_view(now, out);
            }
            Command::Member(_) | Command::Forget(_) => return,
        }
        self.retry_parked(None, now, out);
    }

    fn routing_version(&self) -> u64 {
        self.view.routing.as_ref().map_or(0, |r| r.version)
    }

    fn routing_changed(&mut self, old: u64, now: Duration, out: &mut Vec<Effect>) {
        let Some(routing) = &self.view.routing else {
            return;
        };
        if routing.version == old {
            return;
        }
        self.certainty.adopt(routing.version, now);
        self.routes.sync(routing);
        self.usual_timeouts.retain(routing);
        let is_contended = self.routes.is_contended();
        self.targets.set_contended(is_contended);
        self.handovers.set_contended(is_contended);
        self.adopt_warm_up_rates(now, out);
        let Some(routing) = &self.view.routing else {
            return;
        };
        let (ratio, burst) = (self.config.retry_ratio, self.config.retry_extra);
        self.budgets
            .retain(|name, _| routing.services.contains_key(name));
        for name in routing.services.keys() {
            if !self.budgets.contains_key(name) {
                let mut budget = RetryBudget::new(ratio, burst);
                if self.control_stream.entries.all > 0 {
                    budget.set_vm_count(self.control_stream.entries.all);
                }
                self.budgets.insert(name.clone(), budget);
            }
        }
        out.push(Effect::Log(LogEvent::Routing {
            version: routing.version,
            view: self.view.index,
            contended: self.routes.is_contended(),
        }));
        self.resume_unrouted(now, out);
    }

    /// Confirms the view to the leader at once, because an operator waits for it.
    fn confirm_view(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if !self.control_stream.is_established() {
            return;
        }
        let mut effects = Vec::new();
        let load = self.take_reports(now);
        self.control_stream
            .ping(self.view.index, load, now, &mut effects);
        out.extend(effects.into_iter().map(Effect::ControlStream));
    }

    pub(super) fn sample_key(&mut self, service: &str, key: Key) {
        let sample = match self.key_samples.get_mut(service) {
            Some(sample) => sample,
            None => self.key_samples.entry(service.into()).or_default(),
        };
        sample.total += 1;
        if sample.keys.len() < MAX_SAMPLE {
            sample.keys.push(key);
            return;
        }
        let at = self.random.random_range(0..sample.total) as usize;
        if let Some(kept) = sample.keys.get_mut(at) {
            *kept = key;
        }
    }

    /// Reports that the leader needs to balance the load on keys.
    fn take_reports(&mut self, now: Duration) -> (Vec<KeyLoad>, Vec<TargetLatency>) {
        let mut latencies = Vec::new();
        // A target with many responses is under load, and its speed may be changing.
        self.targets.assume_latencies();
        let least = if self.routes.is_contended() {
            // With many VMs, each sees few responses of a target, and the sooner the leader knows of
            // a slow one the fewer requests wait there.
            1
        } else if now < self.next_latency {
            EARLY_REPORT_RESPONSES
        } else {
            self.next_latency = now + LATENCY_REPORT_INTERVAL;
            1
        };
        let routing = self.view.routing.clone();
        let services = routing.iter().flat_map(|routing| &routing.services);
        for (name, _) in services.filter(|(_, item)| item.spec.keys.is_keyed()) {
            latencies.extend(self.targets.take_latencies(name, least));
        }
        (self.key_load(), latencies)
    }

    fn key_load(&mut self) -> Vec<KeyLoad> {
        let samples = std::mem::take(&mut self.key_samples).into_iter();
        let load = samples.map(|(service, sample)| KeyLoad {
            service,
            total: sample.total,
            sample: sample.keys,
        });
        load.collect()
    }
}
