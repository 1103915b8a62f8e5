//! The view from control, and the report of keys to it.

use std::time::Duration;

use camphordale_fleet::{
    Command,
    Key,
    KeyLoad,
    PeerMessage,
    TargetState,
    TargetTimes,
    View, //
};
use rand::Rng;

use super::{
    Effect,
    Entry,
    LogEvent, //
};
use crate::{
    control_stream::ControlStreamEffect, //
    retry_budget::Budget,
};

/// Most keys in one report of a service.
const SAMPLE_MAX: usize = 48;

/// Time between two reports of the times of targets, which change slowly.
const TIMES_PERIOD: Duration = Duration::from_millis(2000);

/// Answers of one target that are reported before the others' are due.
const MANY_ANSWERS: u32 = 4;

/// Keys requested since the last report: an even sample.
#[derive(Debug, Default)]
pub(super) struct KeySample {
    total: u32,
    keys: Vec<Key>,
}

impl Entry {
    pub(super) fn tend_link(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let mut effects = Vec::new();
        self.link.tick(&self.view, now, &mut effects);
        if self.link.wants_ping(now) {
            let load = self.report(now);
            self.link.ping(self.view.index, load, now, &mut effects);
        }
        out.extend(effects.into_iter().map(Effect::ControlStream));
        self.note_link(out);
        let ready = self.is_ready(now);
        if ready != self.was_ready {
            self.was_ready = ready;
            let silence = self.link.silence(now);
            out.push(Effect::Log(LogEvent::Ready { ready, silence }));
        }
    }

    pub(super) fn note_link(&mut self, out: &mut Vec<Effect>) {
        let live = self.link.is_live();
        if live != self.was_live {
            self.was_live = live;
            let view = self.view.index;
            out.push(Effect::Log(LogEvent::Control { live, view }));
        }
    }

    pub(super) fn stream(&mut self, message: PeerMessage, now: Duration, out: &mut Vec<Effect>) {
        let mut effects = Vec::new();
        let follow = self.link.heard(&message, now, &mut effects);
        out.extend(effects.into_iter().map(Effect::ControlStream));
        match message {
            PeerMessage::Snapshot(view) if follow => self.take_view(*view, now, out),
            PeerMessage::Update { index, command } if follow => {
                self.take_update(index, &command, now, out);
            }
            PeerMessage::Handover {
                service,
                from,
                to,
                done: false,
            } if follow => {
                self.handovers.begin(&service, (from, to), now);
                self.limit_work(&service, (from, to), now);
            }
            PeerMessage::Handover {
                service, from, to, ..
            } if follow => {
                self.handovers.end(&service, (from, to));
                self.retry_range(&service, (from, to), now, out);
            }
            PeerMessage::Pong { share, .. } => {
                for budget in self.budgets.values_mut() {
                    budget.share(share.all);
                }
            }
            _ => {}
        }
        self.note_link(out);
    }

    fn take_view(&mut self, view: View, now: Duration, out: &mut Vec<Effect>) {
        // An older leader may still answer; this VM never goes back.
        if view.index < self.view.index {
            out.push(Effect::ControlStream(ControlStreamEffect::Close));
            self.link.ended(now);
            return;
        }
        let old = self.version();
        self.view = view;
        self.peers.follow(&self.view);
        for (id, target) in &self.view.targets {
            if target.state != TargetState::Ready {
                self.draining.entry(id.clone()).or_insert(Duration::ZERO);
            }
        }
        self.follow_routing(old, now, out);
        self.peers.repeat_times();
        self.next_times = now;
        self.handovers.clear();
        self.confirm(now, out);
        self.retry_where(now, out, |_| true);
    }

    fn take_update(&mut self, index: u64, command: &Command, now: Duration, out: &mut Vec<Effect>) {
        if index <= self.view.index {
            return;
        }
        let old = self.version();
        self.view.apply(index, command);
        match command {
            Command::Change(_) => {
                self.follow_routing(old, now, out);
                self.confirm(now, out);
            }
            Command::Announce { id, target } => {
                if target.state == TargetState::Ready {
                    self.draining.remove(id);
                } else {
                    self.draining.entry(id.clone()).or_insert(now);
                }
                self.peers.follow(&self.view);
            }
            Command::Remove { id, .. } => {
                self.draining.remove(id);
                self.peers.follow(&self.view);
            }
            Command::Assign { service, range, .. } => {
                let range = (range.from, range.to);
                self.handovers.assigned(service, range, now);
                return self.retry_range(service, range, now, out);
            }
            Command::Member(_) | Command::Forget(_) => return,
        }
        self.retry_parked(None, now, out);
    }

    fn version(&self) -> u64 {
        self.view.routing.as_ref().map_or(0, |r| r.version)
    }

    fn follow_routing(&mut self, old: u64, now: Duration, out: &mut Vec<Effect>) {
        let Some(routing) = &self.view.routing else {
            return;
        };
        if routing.version == old {
            return;
        }
        self.routes.follow(routing);
        let (ratio, extra) = (self.config.retry_ratio, self.config.retry_extra);
        self.budgets
            .retain(|name, _| routing.services.contains_key(name));
        for name in routing.services.keys() {
            if !self.budgets.contains_key(name) {
                let mut budget = Budget::new(ratio, extra);
                if self.link.share.all > 0 {
                    budget.share(self.link.share.all);
                }
                self.budgets.insert(name.clone(), budget);
            }
        }
        out.push(Effect::Log(LogEvent::Routing {
            version: routing.version,
            view: self.view.index,
        }));
        self.route_waiting(now, out);
    }

    /// Tells the leader at once that a routing is in force here: an operator waits for it.
    fn confirm(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if !self.link.is_live() {
            return;
        }
        let mut effects = Vec::new();
        let load = self.report(now);
        self.link.ping(self.view.index, load, now, &mut effects);
        out.extend(effects.into_iter().map(Effect::ControlStream));
    }

    pub(super) fn sample_key(&mut self, service: &str, key: Key) {
        let sample = match self.samples.get_mut(service) {
            Some(sample) => sample,
            None => self.samples.entry(service.into()).or_default(),
        };
        sample.total += 1;
        if sample.keys.len() < SAMPLE_MAX {
            sample.keys.push(key);
            return;
        }
        let at = self.random.random_range(0..sample.total) as usize;
        if let Some(kept) = sample.keys.get_mut(at) {
            *kept = key;
        }
    }

    /// What the leader needs to balance the load on keys.
    fn report(&mut self, now: Duration) -> (Vec<KeyLoad>, Vec<TargetTimes>) {
        let mut times = Vec::new();
        // A target with many answers is under load, and its speed may be changing.
        let least = if now < self.next_times {
            MANY_ANSWERS
        } else {
            self.next_times = now + TIMES_PERIOD;
            1
        };
        let routing = self.view.routing.clone();
        let services = routing.iter().flat_map(|routing| &routing.services);
        for (name, _) in services.filter(|(_, item)| item.spec.keyed) {
            times.extend(self.peers.take_times(name, least));
        }
        (self.key_load(), times)
    }

    fn key_load(&mut self) -> Vec<KeyLoad> {
        let samples = std::mem::take(&mut self.samples).into_iter();
        let load = samples.map(|(service, sample)| KeyLoad {
            service,
            total: sample.total,
            sample: sample.keys,
        });
        load.collect()
    }
}
