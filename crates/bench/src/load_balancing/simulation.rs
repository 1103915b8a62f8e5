//! Targets, arrivals and reports in simulated time.

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
    Ended,
    Sender, //
};

/// Targets of the service.
pub(super) const TARGETS: usize = 10;
/// Mean time of a request.
const WORK: Duration = Duration::from_millis(4);
/// Part of the capacity of healthy targets that the requests need.
pub(super) const LOAD: f64 = 0.6;
/// When the scenario's event happens.
pub(super) const EVENT: Duration = Duration::from_secs(2);
/// When requests cease.
pub(super) const END: Duration = Duration::from_secs(8);
/// Deadline of each request.
pub(super) const DEADLINE: Duration = Duration::from_secs(2);
/// Factor of a slow target.
pub(super) const SLOW: f64 = 10.0;
/// Factor of a cold target, which falls to 1 over [`WARM_UP`].
const COLD: f64 = 5.0;
/// Warm-up of the service.
pub(super) const WARM_UP: Duration = Duration::from_secs(5);
/// Time between two load reports of a target.
const REPORT: Duration = Duration::from_millis(150);
/// Time until a report arrives.
pub(super) const LAG: Duration = Duration::from_millis(500);
/// Time between two ticks of the sender.
const TICK: Duration = Duration::from_millis(10);
/// Longest time of a probe.
const PROBE: Duration = Duration::from_millis(300);
/// Length of the windows in which the share of a bad target is counted.
const WINDOW: Duration = Duration::from_millis(200);
/// Share under which a bad target counts as found.
const FOUND: f64 = 0.01;

/// What happens to one target at [`EVENT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scenario {
    /// Nothing.
    Even,
    /// The target becomes slow.
    Slow,
    /// The target becomes slow and reports no load at all.
    Lying,
    /// The target answers nothing more and reports nothing more.
    Frozen,
    /// The target joins cold.
    Cold,
}

/// What callers saw from the event on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outcome {
    /// Median latency in ms.
    pub(super) p50: f64,
    /// 99th percentile of the latency in ms.
    pub(super) p99: f64,
    /// Requests refused, in percent.
    pub(super) refused: f64,
    /// Requests that missed their deadline, in percent.
    pub(super) missed: f64,
    /// The same from 1 s after the event on.
    pub(super) missed_later: f64,
    /// Seconds until the bad target got under 1% of the requests for good.
    pub(super) found: f64,
    /// Share of the bad target at the end, in percent.
    pub(super) share: f64,
}

/// A target has this number in the simulation; its id is one higher.
const BAD: usize = TARGETS - 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Finish(u128, u32),
    Expire(u128, u32),
    Report,
    Reported(usize, u32),
    Probed(usize, bool),
    Tick,
    Happen,
}

struct Running {
    arrived: Duration,
    attempt: u32,
    target: Option<(usize, Duration)>,
}

/// One simulation.
pub(super) struct World {
    scenario: Scenario,
    slots: u32,
    random: StdRng,
    now: Duration,
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    order: u64,
    next: u128,
    requests: HashMap<u128, Running>,
    in_flight: Vec<u32>,
    latencies: Vec<f64>,
    counts: Counts,
    /// Requests started, and those at the bad target, by window.
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

impl World {
    /// Runs a scenario with a sender.
    pub(super) fn run(scenario: Scenario, slots: u32, sender: &mut Sender, seed: u64) -> Outcome {
        let mut world = World {
            scenario,
            slots,
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            heap: BinaryHeap::new(),
            order: 0,
            next: 0,
            requests: HashMap::new(),
            in_flight: vec![0; TARGETS],
            latencies: Vec::new(),
            counts: Counts::default(),
            windows: Vec::new(),
        };
        world.at(Duration::ZERO, Event::Arrive);
        world.at(REPORT, Event::Report);
        world.at(TICK, Event::Tick);
        world.at(EVENT, Event::Happen);
        while let Some(Reverse((time, _, event))) = world.heap.pop() {
            if time > END + DEADLINE {
                break;
            }
            world.now = time;
            let actions = world.handle(event, sender);
            world.carry_out(actions, sender);
        }
        world.outcome()
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.order += 1;
        self.heap.push(Reverse((time, self.order, event)));
    }

    fn handle(&mut self, event: Event, sender: &mut Sender) -> Vec<Action> {
        let now = self.now;
        match event {
            Event::Arrive => {
                let gap = -(1.0 - self.random.random::<f64>()).ln() / self.rate();
                let next = now + Duration::from_secs_f64(gap);
                if next < END {
                    self.at(next, Event::Arrive);
                }
                self.next += 1;
                let running = Running {
                    arrived: now,
                    attempt: 0,
                    target: None,
                };
                self.requests.insert(self.next, running);
                sender.arrive(self.next, now)
            }
            Event::Finish(id, attempt) => self.end(id, attempt, Ended::Answered, sender),
            Event::Expire(id, attempt) => self.end(id, attempt, Ended::TimedOut, sender),
            Event::Report => {
                self.at(now + REPORT, Event::Report);
                for target in 0..TARGETS {
                    let bad = target == BAD && now >= EVENT;
                    let load = match self.scenario {
                        Scenario::Frozen if bad => continue,
                        Scenario::Lying if bad => 0,
                        _ => self.in_flight[target] * 1_000 / self.slots,
                    };
                    self.at(now + LAG, Event::Reported(target, load));
                }
                Vec::new()
            }
            Event::Reported(target, load) => sender.report(target, load as f32 / 1e3, now),
            Event::Probed(target, alive) => sender.probed(target, alive, now),
            Event::Tick => {
                self.at(now + TICK, Event::Tick);
                sender.tick(now)
            }
            Event::Happen if self.scenario == Scenario::Cold => sender.join(BAD, now),
            Event::Happen => Vec::new(),
        }
    }

    /// Requests per second.
    fn rate(&self) -> f64 {
        LOAD * f64::from(self.slots) * TARGETS as f64 / WORK.as_secs_f64()
    }

    fn end(&mut self, id: u128, attempt: u32, ended: Ended, sender: &mut Sender) -> Vec<Action> {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.attempt == attempt) else {
            return Vec::new();
        };
        let Some((target, started)) = request.target.take() else {
            return Vec::new();
        };
        self.in_flight[target] -= 1;
        if ended == Ended::Answered {
            let latency = self.now - request.arrived;
            self.requests.remove(&id);
            self.close(latency, true);
        }
        let actions = sender.ended(id, target, ended, self.now - started, self.now);
        if ended == Ended::TimedOut && self.requests.remove(&id).is_some() {
            self.close(DEADLINE, false);
        }
        actions
    }

    /// Counts the end of a request that was sent.
    fn close(&mut self, latency: Duration, answered: bool) {
        let arrived = self.now.saturating_sub(latency);
        if arrived < EVENT {
            return;
        }
        let missed = u32::from(!answered || latency > DEADLINE);
        self.counts.all += 1;
        self.counts.missed += missed;
        if arrived >= EVENT + Duration::from_secs(1) {
            self.counts.later += 1;
            self.counts.missed_later += missed;
        }
        if answered {
            self.latencies.push(latency.as_secs_f64() * 1e3);
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>, sender: &mut Sender) {
        for action in actions {
            match action {
                Action::Start { id, target } => self.start(id, target),
                Action::Refuse { id } => {
                    if let Some(request) = self.requests.remove(&id)
                        && request.arrived >= EVENT
                    {
                        self.counts.all += 1;
                        self.counts.refused += 1;
                    }
                }
                Action::Fail { id } => {
                    if let Some(request) = self.requests.remove(&id) {
                        self.close(self.now - request.arrived, false);
                    }
                }
                Action::Probe { target } => {
                    let alive = !self.is_frozen(target, self.now);
                    let took = if alive {
                        Duration::from_millis(1)
                    } else {
                        PROBE
                    };
                    self.at(self.now + took, Event::Probed(target, alive));
                }
                Action::Abort { id } => {
                    if let Some(attempt) = self.requests.get(&id).map(|r| r.attempt) {
                        let more = self.end(id, attempt, Ended::Broken, sender);
                        self.carry_out(more, sender);
                    }
                }
            }
        }
    }

    fn start(&mut self, id: u128, target: usize) {
        let now = self.now;
        let factor = self.factor(target);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempt += 1;
        request.target = Some((target, now));
        let (attempt, limit) = (request.attempt, request.arrived + DEADLINE);
        self.in_flight[target] += 1;
        if now >= EVENT {
            let window = ((now - EVENT).as_millis() / WINDOW.as_millis()) as usize;
            self.windows
                .resize((window + 1).max(self.windows.len()), (0, 0));
            self.windows[window].0 += 1;
            self.windows[window].1 += u32::from(target == BAD);
        }
        // Half of the time is fixed, half is exponential.
        let random = 0.5 - 0.5 * (1.0 - self.random.random::<f64>()).ln();
        let took = WORK.mul_f64(random * factor);
        let done = now + took;
        let freezes = self.scenario == Scenario::Frozen && target == BAD && done >= EVENT;
        if done <= limit && !freezes {
            self.at(done, Event::Finish(id, attempt));
        } else {
            self.at(limit, Event::Expire(id, attempt));
        }
    }

    fn is_frozen(&self, target: usize, now: Duration) -> bool {
        self.scenario == Scenario::Frozen && target == BAD && now >= EVENT
    }

    /// Factor of the time of a request at a target.
    fn factor(&self, target: usize) -> f64 {
        if target != BAD || self.now < EVENT {
            return 1.0;
        }
        match self.scenario {
            Scenario::Even | Scenario::Frozen => 1.0,
            Scenario::Slow | Scenario::Lying => SLOW,
            Scenario::Cold => {
                let age = (self.now - EVENT).as_secs_f64() / WARM_UP.as_secs_f64();
                COLD - (COLD - 1.0) * age.min(1.0)
            }
        }
    }

    fn outcome(mut self) -> Outcome {
        self.latencies.sort_by(f64::total_cmp);
        let percent = |part: u32, all: u32| 100.0 * f64::from(part) / f64::from(all.max(1));
        let last = ((END - EVENT).as_millis() / WINDOW.as_millis()) as usize;
        let windows = &self.windows[..last.min(self.windows.len())];
        let share = |&(all, bad): &(u32, u32)| f64::from(bad) / f64::from(all.max(1));
        let found = windows.iter().rposition(|w| share(w) >= FOUND);
        let tail = &windows[windows.len() - windows.len().min(10)..];
        let sums = tail.iter().fold((0, 0), |s, w| (s.0 + w.0, s.1 + w.1));
        Outcome {
            p50: crate::stats::quantile(&self.latencies, 0.5),
            p99: crate::stats::quantile(&self.latencies, 0.99),
            refused: percent(self.counts.refused, self.counts.all),
            missed: percent(self.counts.missed, self.counts.all),
            missed_later: percent(self.counts.missed_later, self.counts.later),
            found: found.map_or(0.0, |at| (at + 1) as f64 * WINDOW.as_secs_f64()),
            share: share(&sums) * 100.0,
        }
    }
}
