//! Upkeep of the holders of keys by the leader.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    Control,
    Effect,
    LogEvent,
    calls::Pending, //
};
use crate::{
    balance::{
        self,
        Candidate,
        Demand,
        Move, //
    },
    key_leases::Lease,
    keys::{
        Key,
        KeyRange, //
    },
    message::{
        KeyLoad,
        TargetTimes, //
    },
    registry::{
        Holder,
        TargetId,
        TargetState, //
    },
    routing::ServiceName,
    state::Command,
};

/// Time after the start of a leader in which targets announce themselves before keys are divided.
const SETTLE: Duration = Duration::from_millis(1500);
/// Time between two looks at the balance.
const PLAN_PERIOD: Duration = Duration::from_millis(200);
/// How long a sampled key counts for the slow balance.
const SAMPLE_AGE: Duration = Duration::from_millis(5000);
/// How long a sampled key counts for a sudden rise.
const RECENT_AGE: Duration = Duration::from_millis(600);
/// Time for which a range stays after a move for the sake of balance.
const REST_AFTER_MOVE: Duration = Duration::from_millis(2500);
/// A part of a range this many times narrower than the range does not rest with it.
const NARROW_PART: u32 = 4;
/// Weight of one answer in the mean time of a target.
const TIME_WEIGHT: f64 = 0.03;
/// Answers of the middle target that a target's own are weighed against: with fewer, chance decides.
const PRIOR_ANSWERS: f64 = 10.0;
/// Bounds of a target's speed relative to the middle one.
const SPEED: (f64, f64) = (0.4, 2.0);
/// Assumed time of an answer in milliseconds while no target of a service has answered.
const FIRST_GUESS_MS: f64 = 150.0;
/// Most sampled keys of one service.
const SAMPLE_MAX: usize = 4000;
/// Time without an announcement after which a target gets no more keys.
const FRESH: Duration = Duration::from_millis(2500);

/// Recent requests of one service, by the time at which they were reported.
#[derive(Default)]
struct Requests {
    keys: VecDeque<(Duration, Key)>,
    counts: VecDeque<(Duration, u32)>,
}

impl Requests {
    fn forget(&mut self, before: Duration) {
        let old = self.keys.partition_point(|(at, _)| *at < before);
        self.keys.drain(..old);
        let old = self.counts.partition_point(|(at, _)| *at < before);
        self.counts.drain(..old);
    }

    fn sample(&self, since: Duration) -> Vec<Key> {
        let recent = self.keys.iter().filter(|(at, _)| *at >= since);
        recent.map(|(_, key)| *key).collect()
    }

    /// Requests in a second since then.
    fn rate(&self, since: Duration, now: Duration) -> f64 {
        let recent = self.counts.iter().filter(|(at, _)| *at >= since);
        let count: u32 = recent.map(|(_, count)| count).sum();
        let time = now.saturating_sub(since).as_secs_f64();
        f64::from(count) / time.max(f64::MIN_POSITIVE)
    }
}

/// Mean time of the answers of one target in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct MeanTime {
    mean: f64,
    answers: u32,
}

impl MeanTime {
    /// Takes the mean of some answers: all count alike until there are many, then the last ones
    /// count most.
    fn add(&mut self, seen: f64, count: u32) {
        self.answers = self.answers.saturating_add(count);
        let recent = 1.0 - (1.0 - TIME_WEIGHT).powf(f64::from(count));
        let even = f64::from(count) / f64::from(self.answers.max(1));
        self.mean += (seen - self.mean) * recent.max(even);
    }

    /// The mean, drawn towards that of the middle target while there are few answers.
    fn estimate(&self, middle: f64) -> f64 {
        let answers = f64::from(self.answers);
        (self.mean * answers + middle * PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS)
    }
}

/// What the leader knows of the load on keys.
#[derive(Default)]
pub(super) struct Holders {
    requests: BTreeMap<ServiceName, Requests>,
    /// Ranges that moved for the sake of balance, and when.
    moved: Vec<(ServiceName, Key, Key, Duration)>,
    times: BTreeMap<TargetId, MeanTime>,
    next_plan: Duration,
}

impl Holders {
    /// Takes the report of an entry VM.
    pub(super) fn record(&mut self, load: Vec<KeyLoad>, now: Duration) {
        for KeyLoad {
            service,
            total,
            sample,
        } in load
        {
            let Requests { keys, counts } = self.requests.entry(service).or_default();
            counts.push_back((now, total));
            keys.extend(sample.into_iter().map(|key| (now, key)));
            let over = keys.len().saturating_sub(SAMPLE_MAX);
            keys.drain(..over);
        }
    }

    fn forget(&mut self, now: Duration) {
        for requests in self.requests.values_mut() {
            requests.forget(now.saturating_sub(SAMPLE_AGE));
        }
    }

    /// Keys sampled within `age`, and the requests in a second during that time.
    fn demand(&self, service: &str, age: Duration, now: Duration) -> (Vec<Key>, f64) {
        let since = now.saturating_sub(age);
        match self.requests.get(service) {
            Some(requests) => (requests.sample(since), requests.rate(since, now)),
            None => (Vec::new(), 0.0),
        }
    }

    /// The moves that balance the load of a service. A sudden rise shows in the last moments, a
    /// slow one only in a longer sample.
    fn moves(
        &self,
        service: &str,
        ranges: &[KeyRange],
        candidates: &[Candidate],
        now: Duration,
    ) -> Vec<Move> {
        let (sample, rate) = self.demand(service, RECENT_AGE, now);
        let sample = &sample;
        let recent = Demand { sample, rate };
        let moves = balance::plan(ranges, candidates, &recent);
        if !moves.is_empty() {
            return moves;
        }
        let hot = balance::hot_holders(ranges, candidates, &recent);
        let (sample, rate) = self.demand(service, SAMPLE_AGE, now);
        let sample = &sample;
        let mut moves = balance::plan(ranges, candidates, &Demand { sample, rate });
        // The longer sample shows a range as busy of which only one key is hot, and that for a
        // moment.
        moves.retain(|found| {
            let mut held = ranges.iter();
            let holder = held.find(|range| range.from <= found.from && found.from <= range.to);
            let former = holder.and_then(|range| range.holder.as_ref());
            !hot.contains(&found.next) && former.is_none_or(|former| !hot.contains(former))
        });
        moves
    }

    /// Takes the times that an entry VM reports.
    pub(super) fn record_times(&mut self, times: Vec<TargetTimes>) {
        for TargetTimes { id, count, millis } in times {
            if count == 0 {
                continue;
            }
            let seen = f64::from(millis) / f64::from(count);
            self.times.entry(id).or_default().add(seen, count);
        }
    }

    /// Requests that a target can carry in a second. `middle` is the time of an answer of the
    /// middle target of the service in milliseconds.
    fn capacity(&self, id: &TargetId, slots: u32, middle: f64) -> f64 {
        let time = self.times.get(id).copied().unwrap_or_default();
        let mean = time.estimate(middle);
        let speed = (middle / mean.max(1.0)).clamp(SPEED.0, SPEED.1);
        f64::from(slots.max(1)) * speed * 1000.0 / middle
    }

    fn middle_time<'a>(&self, ids: impl Iterator<Item = &'a TargetId>) -> f64 {
        let times = ids.filter_map(|id| self.times.get(id));
        let mut times: Vec<f64> = times.map(|time| time.mean).collect();
        times.sort_by(f64::total_cmp);
        let middle = times.get(times.len() / 2).copied();
        middle.unwrap_or(FIRST_GUESS_MS).max(1.0)
    }
}

impl Control {
    /// Sends due grants and releases, gives free ranges to others and balances the load.
    pub(super) fn tend_holders(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.divide_unheld(now, out);
        self.hand_off(now, out);
        self.plan_moves(now, out);
        let send_before = self.raft.lease_expiry();
        let Some(send_before) = send_before.filter(|send_before| *send_before > now) else {
            return;
        };
        let Some(lead) = &mut self.lead else { return };
        for dispatch in lead.grants.due(&self.state.view, now) {
            out.push(Effect::Order {
                dispatch,
                send_before,
            });
        }
    }

    /// Targets of a keyed service, and whether they may take keys.
    fn candidates(&self, service: &str, now: Duration) -> Vec<Candidate> {
        let Some(lead) = &self.lead else {
            return Vec::new();
        };
        let mut out = Vec::new();
        let targets = &self.state.view.targets;
        let own = targets
            .iter()
            .filter(|(_, target)| &*target.service == service);
        let middle = lead.holders.middle_time(own.clone().map(|(id, _)| id));
        for (id, target) in own {
            let holder = Holder {
                id: id.clone(),
                incarnation: target.incarnation,
            };
            let ready = target.state == TargetState::Ready;
            let seen = lead
                .seen
                .get(id)
                .filter(|seen| seen.incarnation == target.incarnation);
            let at = seen.map_or(lead.since, |seen| seen.at);
            let mut leases = lead.grants.leases(service).iter();
            let deaf = leases.any(|l| l.range.holder.as_ref() == Some(&holder) && l.is_lost());
            if ready && (now.saturating_sub(at) > FRESH || deaf) {
                continue;
            }
            out.push(Candidate {
                holder,
                capacity: lead.holders.capacity(id, target.slots, middle),
                takes: ready,
            });
        }
        out
    }

    fn keyed_services(&self) -> Vec<ServiceName> {
        let routing = self.state.view.routing.as_ref();
        let services = routing.into_iter().flat_map(|routing| &routing.services);
        services
            .filter(|(_, item)| item.spec.keyed)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Divides the keys of services that have no holders yet.
    fn divide_unheld(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(lead) = &self.lead else { return };
        if now.saturating_sub(lead.since) < SETTLE {
            return;
        }
        for service in self.keyed_services() {
            let map = self.state.view.keys.get(&service);
            let held = map.is_some_and(|map| map.ranges().iter().any(|s| s.holder.is_some()));
            let Some(lead) = &mut self.lead else { return };
            // A division that is on its way to the disks must not be followed by another.
            let under_way =
                |pending: &Pending| matches!(pending, Pending::Assign(name, _) if *name == service);
            if held || !lead.holders.may_plan(now) || self.pending.values().any(under_way) {
                continue;
            }
            let candidates = self.candidates(&service, now);
            for found in balance::divide(&candidates) {
                let range = KeyRange {
                    from: found.from,
                    to: found.to,
                    holder: Some(found.next),
                    handover: None,
                };
                self.assign(&service, None, range, now, out);
            }
        }
    }

    fn assign(
        &mut self,
        service: &ServiceName,
        former: Option<Holder>,
        range: KeyRange,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let command = Command::Assign {
            service: service.clone(),
            former,
            range: range.clone(),
        };
        self.propose(&command, Pending::Assign(service.clone(), range), now, out);
    }

    /// Gives ranges that are free to the next holder.
    fn hand_off(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(lead) = &self.lead else { return };
        let services: Vec<ServiceName> = lead.grants.services().cloned().collect();
        let mut heirs = BTreeMap::new();
        for service in services {
            let candidates = self.candidates(&service, now);
            let Some(lead) = &self.lead else { return };
            let (sample, _) = lead.holders.demand(&service, SAMPLE_AGE, now);
            let ranges: Vec<KeyRange> = lead
                .grants
                .leases(&service)
                .iter()
                .map(Lease::range)
                .collect();
            heirs.insert(service, (ranges, candidates, sample));
        }
        let Some(lead) = &mut self.lead else { return };
        let handoffs = lead
            .grants
            .handoffs(&self.state.view, now, |service, range| {
                let (ranges, candidates, sample) = heirs.get_mut(service)?;
                let heir = balance::heir(ranges, candidates, sample)?;
                // The next range sees the load that this one brings.
                for known in ranges.iter_mut().filter(|known| known.from == range.from) {
                    known.holder = Some(heir.clone());
                }
                Some(heir)
            });
        for handoff in handoffs {
            self.assign(&handoff.service, handoff.former, handoff.range, now, out);
        }
    }

    /// Begins the moves that balance the load.
    fn plan_moves(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(lead) = &mut self.lead else { return };
        if !lead.holders.may_plan(now) {
            return;
        }
        lead.holders.next_plan = now + PLAN_PERIOD;
        lead.holders.forget(now);
        for service in self.keyed_services() {
            let candidates = self.candidates(&service, now);
            let Some(lead) = &mut self.lead else { return };
            let leases = lead.grants.leases(&service);
            // A proposed range has its next holder within a moment, and is not known here.
            if leases.iter().any(Lease::is_proposed) {
                continue;
            }
            let ranges: Vec<KeyRange> = leases.iter().map(Lease::next_range).collect();
            let mut begun = Vec::new();
            let moves = lead.holders.moves(&service, &ranges, &candidates, now);
            for found in moves {
                let leaves = candidates.iter().any(|candidate| {
                    let held =
                        |range: &&KeyRange| range.from <= found.from && range.to >= found.from;
                    let holder = ranges
                        .iter()
                        .find(held)
                        .and_then(|range| range.holder.as_ref());
                    !candidate.takes && holder == Some(&candidate.holder)
                });
                if !leaves && !lead.holders.may_move(&service, found.from, found.to, now) {
                    continue;
                }
                let range = (found.from, found.to);
                if lead
                    .grants
                    .begin_move(&service, range.0, range.1, &found.next)
                {
                    begun.push(range);
                    out.push(Effect::Log(LogEvent::Moving {
                        service: service.clone(),
                        range,
                        next: found.next,
                    }));
                }
            }
            for range in begun {
                self.stream_handover(&service, range, false, out);
            }
        }
    }
}

impl Holders {
    fn may_plan(&self, now: Duration) -> bool {
        now >= self.next_plan
    }

    /// Whether a range may move for the sake of balance. One that has just moved rests: the
    /// samples still show the load at its former holder. A narrow part of it may go on, because
    /// that is how a hot key is found.
    fn may_move(&mut self, service: &ServiceName, from: Key, to: Key, now: Duration) -> bool {
        self.moved
            .retain(|(.., at)| now.saturating_sub(*at) < REST_AFTER_MOVE);
        let mut recent = self.moved.iter();
        let rests = |(name, f, t, _): &(ServiceName, Key, Key, Duration)| {
            let overlaps = name == service && *f <= to && *t >= from;
            overlaps && u32::from(t - f) < (u32::from(to - from) + 1) * NARROW_PART
        };
        if recent.any(rests) {
            return false;
        }
        self.moved.push((service.clone(), from, to, now));
        true
    }
}
