//! Discrete-event simulation of targets, request arrivals and load reports.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        HashMap, //
    },
    time::Duration,
};

use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use super::sender::{
    Action,
    AttemptOutcome,
    Sender, //
};

/// Number of targets.
pub(super) const TARGETS: usize = 10;
/// Mean time that a target needs for a request.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(4);
/// Offered load as a fraction of the capacity of all targets while they are healthy.
pub(super) const UTILIZATION: f64 = 0.6;
/// Time of the scenario's event.
pub(super) const EVENT_AT: Duration = Duration::from_secs(2);
/// Time after which no more requests arrive.
pub(super) const ARRIVAL_END: Duration = Duration::from_secs(8);
/// Deadline of each request.
pub(super) const DEADLINE: Duration = Duration::from_secs(2);
/// Factor by which a slow target is slower.
pub(super) const SLOW_FACTOR: f64 = 10.0;
/// Factor by which a cold target is slower at first; it falls to 1 over [`WARM_UP`].
const COLD_FACTOR: f64 = 5.0;
/// Warm-up time of the service.
pub(super) const WARM_UP: Duration = Duration::from_secs(5);
/// Time between two load reports of a target.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time from sending a load report until the sender has it.
pub(super) const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time between two ticks of the sender.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Length of the windows in which the affected target's share of the requests is counted.
const SHARE_WINDOW: Duration = Duration::from_millis(200);
/// The affected target counts as detected once its share of the requests stays below this fraction.
const DETECTION_FRACTION: f64 = 0.01;

/// What happens to one target at [`EVENT_AT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scenario {
    /// Nothing.
    NoEvent,
    /// The target becomes slow.
    Slow,
    /// The target becomes slow and reports no load at all.
    NoLoadReported,
    /// The target sends no more responses and no more load reports.
    Frozen,
    /// The target joins without having warmed up.
    ColdJoin,
}

/// Results for the requests that arrive after the event.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ScenarioResult {
    /// Median latency in ms.
    pub(super) p50_ms: f64,
    /// 99th percentile of the latency in ms.
    pub(super) p99_ms: f64,
    /// Refused requests, in percent.
    pub(super) refused_percent: f64,
    /// Requests that missed their deadline, in percent.
    pub(super) missed_percent: f64,
    /// Requests that arrive at least 1 s after the event and miss their deadline, in percent of
    /// the requests that arrive in that time.
    pub(super) missed_later: f64,
    /// Seconds until the affected target's share of the requests stays below 1%.
    pub(super) detection_s: f64,
    /// Share of the requests that the affected target gets in the last 2 s, in percent.
    pub(super) share_percent: f64,
}

/// Index of the target that the scenario affects. The id of a target is its index plus 1.
const AFFECTED_TARGET: usize = TARGETS - 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Finish(u128, u32),
    Expire(u128, u32),
    Report,
    Reported(usize, u32),
    Probed(usize, bool),
    Tick,
    StartScenario,
}

struct PendingRequest {
    arrived: Duration,
    attempt: u32,
    target: Option<(usize, Duration)>,
}

/// One simulation run.
pub(super) struct Simulation {
    scenario: Scenario,
    slots: u32,
    random: StdRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    next_id: u128,
    requests: HashMap<u128, PendingRequest>,
    in_flight: Vec<u32>,
    latencies: Vec<f64>,
    counts: Counts,
    /// Attempts started, and those at the affected target, by window.
    windows: Vec<(u32, u32)>,
}

#[derive(Default)]
struct Counts {
    all: u32,
    later: u32,
    refused: u32,
    missed: u32,
    missed_later: u32,
}

impl Simulation {
    /// Runs a scenario with the given sender.
    pub(super) fn run(
        scenario: Scenario,
        slots: u32,
        sender: &mut Sender,
        seed: u64,
    ) -> ScenarioResult {
        let mut simulation = Simulation {
            scenario,
            slots,
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            next_id: 0,
            requests: HashMap::new(),
            in_flight: vec![0; TARGETS],
            latencies: Vec::new(),
            counts: Counts::default(),
            windows: Vec::new(),
        };
        simulation.schedule(Duration::ZERO, Event::Arrive);
        simulation.schedule(REPORT_INTERVAL, Event::Report);
        simulation.schedule(TICK_INTERVAL, Event::Tick);
        simulation.schedule(EVENT_AT, Event::StartScenario);
        while let Some(Reverse((time, _, event))) = simulation.events.pop() {
            if time > ARRIVAL_END + DEADLINE {
                break;
            }
            simulation.now = time;
            let actions = simulation.handle(event, sender);
            simulation.execute(actions, sender);
        }
        simulation.result()
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, event: Event, sender: &mut Sender) -> Vec<Action> {
        let now = self.now;
        match event {
            Event::Arrive => {
                let gap = -(1.0 - self.random.random::<f64>()).ln() / self.rate();
                let next = now + Duration::from_secs_f64(gap);
                if next < ARRIVAL_END {
                    self.schedule(next, Event::Arrive);
                }
                self.next_id += 1;
                let pending = PendingRequest {
                    arrived: now,
                    attempt: 0,
                    target: None,
                };
                self.requests.insert(self.next_id, pending);
                sender.request_arrived(self.next_id, now)
            }
            Event::Finish(id, attempt) => {
                self.end_attempt(id, attempt, AttemptOutcome::Responded, sender)
            }
            Event::Expire(id, attempt) => {
                self.end_attempt(id, attempt, AttemptOutcome::TimedOut, sender)
            }
            Event::Report => {
                self.schedule(now + REPORT_INTERVAL, Event::Report);
                for target in 0..TARGETS {
                    let affected = target == AFFECTED_TARGET && now >= EVENT_AT;
                    let load = match self.scenario {
                        Scenario::Frozen if affected => continue,
                        Scenario::NoLoadReported if affected => 0,
                        _ => self.in_flight[target] * 1_000 / self.slots,
                    };
                    self.schedule(now + REPORT_DELAY, Event::Reported(target, load));
                }
                Vec::new()
            }
            Event::Reported(target, load) => sender.load_reported(target, load as f32 / 1e3, now),
            Event::Probed(target, alive) => sender.probe_ended(target, alive, now),
            Event::Tick => {
                self.schedule(now + TICK_INTERVAL, Event::Tick);
                sender.tick(now)
            }
            Event::StartScenario if self.scenario == Scenario::ColdJoin => {
                sender.target_joined(AFFECTED_TARGET, now)
            }
            Event::StartScenario => Vec::new(),
        }
    }

    /// Arrival rate in requests per second.
    fn rate(&self) -> f64 {
        UTILIZATION * f64::from(self.slots) * TARGETS as f64 / MEAN_SERVICE_TIME.as_secs_f64()
    }

    fn end_attempt(
        &mut self,
        id: u128,
        attempt: u32,
        outcome: AttemptOutcome,
        sender: &mut Sender,
    ) -> Vec<Action> {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.attempt == attempt) else {
            return Vec::new();
        };
        let Some((target, started)) = request.target.take() else {
            return Vec::new();
        };
        self.in_flight[target] -= 1;
        if outcome == AttemptOutcome::Responded {
            let latency = self.now - request.arrived;
            self.requests.remove(&id);
            self.count_result(latency, true);
        }
        let actions = sender.attempt_ended(id, target, outcome, self.now - started, self.now);
        if outcome == AttemptOutcome::TimedOut && self.requests.remove(&id).is_some() {
            self.count_result(DEADLINE, false);
        }
        actions
    }

    /// Records the result of a request that was sent.
    fn count_result(&mut self, latency: Duration, responded: bool) {
        let arrived = self.now.saturating_sub(latency);
        if arrived < EVENT_AT {
            return;
        }
        let missed = u32::from(!responded || latency > DEADLINE);
        self.counts.all += 1;
        self.counts.missed += missed;
        if arrived >= EVENT_AT + Duration::from_secs(1) {
            self.counts.later += 1;
            self.counts.missed_later += missed;
        }
        if responded {
            self.latencies.push(latency.as_secs_f64() * 1e3);
        }
    }

    fn execute(&mut self, actions: Vec<Action>, sender: &mut Sender) {
        for action in actions {
            match action {
                Action::Start { id, target } => self.start(id, target),
                Action::Refuse { id } => {
                    if let Some(request) = self.requests.remove(&id)
                        && request.arrived >= EVENT_AT
                    {
                        self.counts.all += 1;
                        self.counts.refused += 1;
                    }
                }
                Action::Fail { id } => {
                    if let Some(request) = self.requests.remove(&id) {
                        self.count_result(self.now - request.arrived, false);
                    }
                }
                Action::Probe { target } => {
                    let alive = !self.is_frozen(target, self.now);
                    let took = if alive {
                        Duration::from_millis(1)
                    } else {
                        PROBE_TIMEOUT
                    };
                    self.schedule(self.now + took, Event::Probed(target, alive));
                }
                Action::Abort { id } => {
                    if let Some(attempt) = self.requests.get(&id).map(|r| r.attempt) {
                        let more = self.end_attempt(id, attempt, AttemptOutcome::Broken, sender);
                        self.execute(more, sender);
                    }
                }
            }
        }
    }

    fn start(&mut self, id: u128, target: usize) {
        let now = self.now;
        let time_factor = self.time_factor(target);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempt += 1;
        request.target = Some((target, now));
        let (attempt, deadline) = (request.attempt, request.arrived + DEADLINE);
        self.in_flight[target] += 1;
        if now >= EVENT_AT {
            let window = ((now - EVENT_AT).as_millis() / SHARE_WINDOW.as_millis()) as usize;
            self.windows
                .resize((window + 1).max(self.windows.len()), (0, 0));
            self.windows[window].0 += 1;
            self.windows[window].1 += u32::from(target == AFFECTED_TARGET);
        }
        // Half of the mean service time is constant, the other half exponentially distributed.
        let random = 0.5 - 0.5 * (1.0 - self.random.random::<f64>()).ln();
        let took = MEAN_SERVICE_TIME.mul_f64(random * time_factor);
        let done = now + took;
        let freezes =
            self.scenario == Scenario::Frozen && target == AFFECTED_TARGET && done >= EVENT_AT;
        if done <= deadline && !freezes {
            self.schedule(done, Event::Finish(id, attempt));
        } else {
            self.schedule(deadline, Event::Expire(id, attempt));
        }
    }

    fn is_frozen(&self, target: usize, now: Duration) -> bool {
        self.scenario == Scenario::Frozen && target == AFFECTED_TARGET && now >= EVENT_AT
    }

    /// Returns the factor by which requests at a target take longer than usual.
    fn time_factor(&self, target: usize) -> f64 {
        if target != AFFECTED_TARGET || self.now < EVENT_AT {
            return 1.0;
        }
        match self.scenario {
            Scenario::NoEvent | Scenario::Frozen => 1.0,
            Scenario::Slow | Scenario::NoLoadReported => SLOW_FACTOR,
            Scenario::ColdJoin => {
                let age = (self.now - EVENT_AT).as_secs_f64() / WARM_UP.as_secs_f64();
                COLD_FACTOR - (COLD_FACTOR - 1.0) * age.min(1.0)
            }
        }
    }

    fn result(mut self) -> ScenarioResult {
        self.latencies.sort_by(f64::total_cmp);
        let percent = |part: u32, all: u32| 100.0 * f64::from(part) / f64::from(all.max(1));
        let last = ((ARRIVAL_END - EVENT_AT).as_millis() / SHARE_WINDOW.as_millis()) as usize;
        let windows = &self.windows[..last.min(self.windows.len())];
        let share = |&(all, affected): &(u32, u32)| f64::from(affected) / f64::from(all.max(1));
        let found = windows.iter().rposition(|w| share(w) >= DETECTION_FRACTION);
        let tail = &windows[windows.len() - windows.len().min(10)..];
        let sums = tail.iter().fold((0, 0), |s, w| (s.0 + w.0, s.1 + w.1));
        ScenarioResult {
            p50_ms: crate::stats::quantile(&self.latencies, 0.5),
            p99_ms: crate::stats::quantile(&self.latencies, 0.99),
            refused_percent: percent(self.counts.refused, self.counts.all),
            missed_percent: percent(self.counts.missed, self.counts.all),
            missed_later: percent(self.counts.missed_later, self.counts.later),
            detection_s: found.map_or(0.0, |at| (at + 1) as f64 * SHARE_WINDOW.as_secs_f64()),
            share_percent: share(&sums) * 100.0,
        }
    }
}
