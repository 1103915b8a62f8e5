//! What this VM has seen of each target.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration,
};

use camphordale_fleet::{
    Address,
    Domain,
    Incarnation,
    ServiceName,
    Target,
    TargetId,
    TargetState,
    TargetTimes,
    View, //
};

/// Assumed time of a request at a target that has answered none.
const FIRST_GUESS: Duration = Duration::from_millis(150);
/// Weight of one answer in the mean time of a target.
const TIME_WEIGHT: f64 = 0.1;
/// Weight of one answer in the mean rate of failures of a target.
const FAIL_WEIGHT: f64 = 0.08;
/// How much longer a request takes at a target whose slots are all in use.
const BUSY_PART: f64 = 0.3;
/// How fast a report of a target's load loses its meaning.
const REPORT_AGE: Duration = Duration::from_millis(1500);
/// Answers that a summary for a new leader stands for.
const SUMMARY_COUNT: u32 = 10;
/// First pause after a connection to a target failed; doubled with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between attempts to reach a target.
const LAST_PAUSE: Duration = Duration::from_millis(800);
/// A target is taken to be stuck when its oldest request has waited this multiple of its mean.
const STUCK_MULTIPLE: f64 = 6.0;
/// Least wait before a target is taken to be stuck.
const STUCK_LEAST: Duration = Duration::from_millis(1000);

/// Requests that a target says it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Running.
    pub running: u32,
    /// Waiting.
    pub queued: u32,
    /// Run at a time.
    pub slots: u32,
}

/// What this VM knows of a target at the time of a decision, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetStats {
    /// Requests of this VM under way there.
    pub in_flight: usize,
    /// Requests that the target probably has from all VMs.
    pub load: f64,
    /// Expected time of one more request.
    pub expected_latency: Duration,
    /// Age of the target's last report of its load, if there was one.
    pub report_age: Option<Duration>,
    /// Share of recent requests that failed.
    pub failure_rate: f64,
    /// Whether the target gets no requests now because it could not be reached or does not answer.
    pub unresponsive: bool,
}

/// A request under way.
#[derive(Clone, Copy, Debug)]
struct Started {
    at: Duration,
    /// By how much the load at that time makes the answer later.
    slowdown: f64,
}

/// One life of a target as this VM sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The life.
    pub incarnation: Incarnation,
    /// Service.
    pub service: ServiceName,
    /// Address.
    pub address: Address,
    /// Failure domain.
    pub domain: Domain,
    /// Requests that the target runs at a time.
    pub slots: u32,
    /// Whether new work may go there.
    pub takes: bool,
    /// Mean time of a request in seconds, without the wait that its load explains.
    mean: f64,
    /// Share of recent requests that failed.
    failing: f64,
    /// Requests of this VM under way.
    open: BTreeMap<u64, Started>,
    /// Answers since the last report, and the sum of their times in milliseconds.
    times: (u32, f64),
    others: f64,
    reported: Duration,
    pause: Duration,
    paused_until: Duration,
    answered: Duration,
}

impl Peer {
    fn new(target: &Target) -> Peer {
        Peer {
            incarnation: target.incarnation,
            service: target.service.clone(),
            address: target.address,
            domain: target.domain.clone(),
            slots: target.slots.max(1),
            takes: target.state == TargetState::Ready,
            mean: 0.0,
            failing: 0.0,
            open: BTreeMap::new(),
            times: (0, 0.0),
            others: 0.0,
            reported: Duration::ZERO,
            pause: Duration::ZERO,
            paused_until: Duration::ZERO,
            answered: Duration::ZERO,
        }
    }

    /// Requests of this VM under way.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Whether the target has neither answered nor got a request yet.
    pub fn is_untried(&self) -> bool {
        self.answered.is_zero() && self.open.is_empty()
    }

    /// Mean time of one request in seconds.
    pub fn mean(&self) -> f64 {
        if self.mean == 0.0 {
            FIRST_GUESS.as_secs_f64()
        } else {
            self.mean
        }
    }

    /// Share of recent requests that failed.
    pub fn failing(&self) -> f64 {
        self.failing
    }

    /// Requests that the target probably has: those of this VM, and those of others by the last
    /// report, which fades.
    pub fn load(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported).as_secs_f64();
        let fade = (-age / REPORT_AGE.as_secs_f64()).exp();
        self.open.len() as f64 + self.others * fade
    }

    /// Whether the target does not answer: it cannot be reached, or its oldest request has waited
    /// far longer than usual without another answer meanwhile.
    pub fn is_stuck(&self, now: Duration) -> bool {
        let Some(oldest) = self.open.values().map(|started| started.at).min() else {
            return false;
        };
        let limit = Duration::from_secs_f64(self.mean() * STUCK_MULTIPLE).max(STUCK_LEAST);
        now.saturating_sub(oldest.max(self.answered)) > limit
    }

    /// Whether the target should get no work now. After a pause, one request tries it.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until || (!self.pause.is_zero() && !self.open.is_empty())
    }

    /// By how much one more request takes longer than at an idle target.
    pub fn slowdown(&self, now: Duration) -> f64 {
        self.slowdown_at(self.load(now))
    }

    fn slowdown_at(&self, load: f64) -> f64 {
        let slots = f64::from(self.slots);
        let wait = ((load + 1.0 - slots) / slots).max(0.0);
        let busy = (load / slots).min(1.0);
        1.0 + BUSY_PART * busy * busy + wait
    }

    /// Expected time of one more request in seconds.
    pub fn expected(&self, now: Duration) -> f64 {
        self.mean() * self.slowdown(now)
    }

    /// Age of the target's last report of its load, if there was one.
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        (!self.reported.is_zero()).then(|| now.saturating_sub(self.reported))
    }

    /// What this VM knows of the target now.
    pub fn target_stats(&self, now: Duration) -> TargetStats {
        TargetStats {
            in_flight: self.open.len(),
            load: self.load(now),
            expected_latency: Duration::from_secs_f64(self.expected(now)),
            report_age: self.report_age(now),
            failure_rate: self.failing,
            unresponsive: self.is_paused(now) || self.is_stuck(now),
        }
    }

    /// The target answered something.
    fn heard(&mut self, report: Option<LoadReport>, now: Duration) {
        self.answered = now;
        self.pause = Duration::ZERO;
        self.paused_until = Duration::ZERO;
        if let Some(report) = report {
            let total = f64::from(report.running + report.queued);
            self.others = (total - self.open.len() as f64).max(0.0);
            self.reported = now;
            self.slots = report.slots.max(1);
        }
    }

    fn fail(&mut self, now: Duration) {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LAST_PAUSE);
        self.paused_until = now + self.pause;
    }
}

/// All targets by id.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<TargetId, Peer>,
    by_service: HashMap<ServiceName, Vec<TargetId>>,
}

impl Peers {
    /// Takes over the directory. What was seen of a life that goes on is kept.
    pub fn follow(&mut self, view: &View) {
        self.peers.retain(|id, peer| {
            let target = view.targets.get(id);
            target.is_some_and(|target| target.incarnation == peer.incarnation)
        });
        for (id, target) in &view.targets {
            self.update(id, target);
        }
        self.index();
    }

    /// Takes over the record of one target.
    pub fn update(&mut self, id: &TargetId, target: &Target) {
        let peer = self.peers.get_mut(id);
        match peer.filter(|peer| peer.incarnation == target.incarnation) {
            Some(peer) => {
                peer.service = target.service.clone();
                peer.address = target.address;
                peer.slots = target.slots.max(1);
                peer.takes = target.state == TargetState::Ready;
            }
            None => {
                self.peers.insert(id.clone(), Peer::new(target));
            }
        }
    }

    /// Sorts the targets by service after updates.
    pub fn index(&mut self) {
        self.by_service.clear();
        let mut ids: Vec<&TargetId> = self.peers.keys().collect();
        ids.sort();
        for id in ids {
            let service = self.peers[id].service.clone();
            self.by_service.entry(service).or_default().push(id.clone());
        }
    }

    /// The target with this id.
    pub fn get(&self, id: &str) -> Option<&Peer> {
        self.peers.get(id)
    }

    /// Targets of a service.
    pub fn of<'a>(&'a self, service: &str) -> impl Iterator<Item = (&'a TargetId, &'a Peer)> {
        let ids = self.by_service.get(service);
        let ids = ids.into_iter().flatten();
        ids.filter_map(|id| self.peers.get(id).map(|peer| (id, peer)))
    }

    /// Makes the next report repeat what this VM knows of each target, for a leader that has heard
    /// nothing yet.
    pub fn repeat_times(&mut self) {
        for peer in self.peers.values_mut().filter(|peer| peer.mean > 0.0) {
            peer.times = (SUMMARY_COUNT, peer.mean * 1000.0 * f64::from(SUMMARY_COUNT));
        }
    }

    /// Takes the times of answers since the last report, for the targets of a service that gave at
    /// least so many.
    pub fn take_times(&mut self, service: &str, least: u32) -> Vec<TargetTimes> {
        let mut out = Vec::new();
        for id in self.by_service.get(service).into_iter().flatten() {
            let Some(peer) = self.peers.get_mut(id).filter(|peer| peer.times.0 >= least) else {
                continue;
            };
            let (count, millis) = std::mem::take(&mut peer.times);
            out.push(TargetTimes {
                id: id.clone(),
                count,
                millis: millis as u32,
            });
        }
        out
    }

    /// Notes that a request is sent.
    pub fn began(&mut self, id: &str, attempt: u64, now: Duration) {
        if let Some(peer) = self.peers.get_mut(id) {
            let slowdown = peer.slowdown(now);
            peer.open.insert(attempt, Started { at: now, slowdown });
        }
    }

    /// Notes that a request was given up without an answer.
    pub fn dropped(&mut self, id: &str, attempt: u64) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.open.remove(&attempt);
        }
    }

    /// Notes that the target sent a request away because it does not hold the key. That says
    /// nothing about its speed or health.
    pub fn sent_away(&mut self, id: &str, attempt: u64, report: Option<LoadReport>, now: Duration) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.open.remove(&attempt);
            peer.heard(report, now);
        }
    }

    /// Notes a complete answer.
    pub fn answered(
        &mut self,
        id: &str,
        attempt: u64,
        failed: bool,
        report: Option<LoadReport>,
        now: Duration,
    ) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        let started = peer.open.remove(&attempt);
        peer.heard(report, now);
        let fail = if failed { 1.0 } else { 0.0 };
        peer.failing += (fail - peer.failing) * FAIL_WEIGHT;
        if let Some(started) = started.filter(|_| !failed) {
            // The load that the target reports with the answer is fresher than what this VM knew
            // when the request started.
            let reported = report.map_or(0.0, |r| f64::from(r.running + r.queued));
            let slowdown = started.slowdown.max(peer.slowdown_at(reported));
            let took = now.saturating_sub(started.at).as_secs_f64() / slowdown;
            let mean = peer.mean();
            peer.mean = mean + (took - mean) * TIME_WEIGHT;
            peer.times.0 += 1;
            peer.times.1 += took * 1000.0;
        }
    }

    /// Notes that a request got no answer. `reached` tells whether the target took it.
    pub fn failed(&mut self, id: &str, attempt: u64, reached: bool, now: Duration) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        peer.open.remove(&attempt);
        peer.failing += (1.0 - peer.failing) * FAIL_WEIGHT;
        if !reached {
            peer.fail(now);
        }
    }
}
