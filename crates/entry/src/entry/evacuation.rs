//! Evacuated failure domains, as this VM acts on them.
//!
//! Selection excludes their targets at once. The holder of a key is the only target that can serve
//! it until the key has moved, so requests with a key are still sent there for a time. That time
//! counts from when this VM learnt of the order, at the earliest from when it was last certain that
//! none was in force. A VM that has just started cannot know how old an order is and allows no time:
//! other VMs serve these keys, or they have moved already.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use camphordale_fleet::{
    Domain,
    EvacuationOrder,
    Evacuations,
    TargetId, //
};

use super::{
    Effect,
    Entry,
    LogEvent, //
};

/// Until when requests with a key may be sent to the targets of evacuated domains.
#[derive(Debug, Default)]
pub(super) struct EvacuationDeadlines {
    /// Time from which nothing is sent there, by domain.
    by_domain: BTreeMap<Domain, Duration>,
    /// Domains whose time has not passed yet.
    running: BTreeSet<Domain>,
    /// When the leader was last heard from before the stream was resumed, until a reply shows that
    /// all updates that were missed have arrived.
    missed_since: Option<Duration>,
}

impl EvacuationDeadlines {
    /// Takes note that updates since `last_heard` may have been missed and follow now.
    pub(super) fn on_resumed(&mut self, last_heard: Duration) {
        self.missed_since = Some(last_heard);
    }

    /// Takes note that no updates are missing.
    pub(super) fn on_confirmed(&mut self) {
        self.missed_since = None;
    }

    /// Whether nothing more may be sent to the targets of a domain.
    pub(super) fn has_passed(&self, domain: &str, now: Duration) -> bool {
        let deadline = self.by_domain.get(domain);
        deadline.is_some_and(|deadline| now >= *deadline)
    }
}

impl Entry {
    /// Adopts an order that was streamed as an update.
    pub(super) fn on_evacuation_order(
        &mut self,
        domain: &Domain,
        order: EvacuationOrder,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let since = self.evacuations.missed_since.unwrap_or(now);
        let deadline = since + self.config.evacuation_grace;
        match order {
            EvacuationOrder::Start => self.start_evacuation(domain, deadline, now, out),
            EvacuationOrder::End => {
                self.end_evacuation(domain, out);
                self.adopt_all_warmth(now, out);
            }
        }
    }

    /// Adopts the evacuations in a whole view, which does not tell when they were ordered.
    /// `last_heard` is when this VM was last certain of its former view, if it had one.
    pub(super) fn sync_evacuations(
        &mut self,
        last_heard: Option<Duration>,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        self.evacuations.on_confirmed();
        let current: Evacuations = self.view.evacuations.clone();
        let known = self.evacuations.by_domain.keys().cloned();
        let known: Vec<Domain> = known.collect();
        for domain in known.iter().filter(|domain| !current.contains(domain)) {
            self.end_evacuation(domain, out);
        }
        let grace = self.config.evacuation_grace;
        let deadline = last_heard.map_or(Duration::ZERO, |heard| heard + grace);
        for domain in current.evacuated().filter(|domain| !known.contains(domain)) {
            self.start_evacuation(domain, deadline, now, out);
        }
    }

    fn start_evacuation(
        &mut self,
        domain: &Domain,
        deadline: Duration,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let deadlines = &mut self.evacuations;
        deadlines.by_domain.insert(domain.clone(), deadline);
        deadlines.running.insert(domain.clone());
        self.withdraw_attempts(domain, false, out);
        out.push(Effect::Log(LogEvent::Evacuation {
            domain: domain.clone(),
            order: EvacuationOrder::Start,
            keyed_for: deadline.saturating_sub(now),
        }));
    }

    /// Withdraws requests with a key when the time of their holders has passed.
    pub(super) fn withdraw_keyed_attempts(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let evacuations = &mut self.evacuations;
        let by_domain = &evacuations.by_domain;
        let has_passed = |domain: &Domain| by_domain.get(domain).is_none_or(|at| now >= *at);
        let passed = evacuations.running.extract_if(.., has_passed);
        let passed: Vec<Domain> = passed.collect();
        for domain in passed {
            self.withdraw_attempts(&domain, true, out);
        }
    }

    /// Withdraws the attempts at targets of a domain that wait for a connection. They could be sent
    /// long after the order.
    fn withdraw_attempts(&self, domain: &Domain, keyed: bool, out: &mut Vec<Effect>) {
        let requests = self.requests.values();
        let attempts = requests
            .filter(|request| request.key.is_some() == keyed)
            .flat_map(|request| &request.in_flight);
        let is_inside = |id: &TargetId| {
            let target = self.targets.get(id);
            target.is_some_and(|target| target.domain == *domain)
        };
        let withdrawn = attempts.filter(|(_, holder)| is_inside(&holder.id));
        out.extend(withdrawn.map(|(attempt, _)| Effect::Withdraw(*attempt)));
    }

    fn end_evacuation(&mut self, domain: &Domain, out: &mut Vec<Effect>) {
        self.evacuations.by_domain.remove(domain);
        self.evacuations.running.remove(domain);
        out.push(Effect::Log(LogEvent::Evacuation {
            domain: domain.clone(),
            order: EvacuationOrder::End,
            keyed_for: Duration::ZERO,
        }));
    }
}
