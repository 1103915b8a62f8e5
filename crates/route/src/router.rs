//! The reducer: its state, the dispatch of events, and the ends of requests.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use camphordale_types::{
    Bundle, DomainName, NotRun, Refusal, RequestId, ServiceName, Side, TargetId, Unknown, VmId,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Counters, Effect, Event,
    balance::Candidate,
    forward::Peers,
    lease::Lease,
    queue::ShardKey,
    release::Release,
    request::{Flight, Lane, Stage},
    service::Slot,
    target::Target,
    view::Group,
};

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// This VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Seed for choices between equals.
    pub seed: u64,
    /// Most requests that wait on this VM, over all queues.
    pub waiting: usize,
}

impl RouterConfig {
    /// Most requests that wait on one VM by default, about 3 s of the requests of one entry VM.
    pub const WAITING: usize = 20_000;

    /// Returns the settings of `vm` in `domain`, with the defaults for the rest.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_route::RouterConfig;
    ///
    /// let config = RouterConfig::new(1, "east", 7);
    /// assert_eq!(config.waiting, RouterConfig::WAITING);
    /// ```
    pub fn new(vm: VmId, domain: &str, seed: u64) -> Self {
        RouterConfig {
            vm,
            domain: domain.into(),
            seed,
            waiting: Self::WAITING,
        }
    }
}

/// The router of one entry VM.
#[derive(Debug)]
pub struct Router {
    pub(crate) config: RouterConfig,
    /// Time of the last event.
    pub(crate) now: Duration,
    pub(crate) bundle: Option<Bundle>,
    pub(crate) draining: bool,
    pub(crate) names: HashMap<ServiceName, usize>,
    pub(crate) slots: Vec<Slot>,
    pub(crate) flights: HashMap<RequestId, Flight>,
    /// Number of requests in queues.
    pub(crate) waiting: usize,
    pub(crate) timers: BTreeSet<(Duration, RequestId)>,
    pub(crate) lease: Lease,
    pub(crate) group: Group,
    pub(crate) targets: BTreeMap<TargetId, Target>,
    /// Targets with requests in flight.
    pub(crate) busy: BTreeSet<TargetId>,
    /// Ends of pauses of targets.
    pub(crate) wakes: BTreeSet<(Duration, TargetId)>,
    pub(crate) releases: BTreeMap<ShardKey, Release>,
    /// Shards with requests since the last load report.
    pub(crate) loaded: Vec<ShardKey>,
    pub(crate) load_due: Duration,
    pub(crate) peers: Peers,
    pub(crate) counters: Counters,
    /// Buffer for the choice of a target.
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) out: Vec<Effect>,
    drawn: u64,
}

impl Router {
    /// Returns a router without bundle, lease and view, which refuses every request.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_route::{Router, RouterConfig};
    ///
    /// let router = Router::new(RouterConfig::new(1, "east", 7));
    /// assert_eq!(router.status().bundle, None);
    /// ```
    pub fn new(config: RouterConfig) -> Self {
        Router {
            config,
            now: Duration::ZERO,
            bundle: None,
            draining: false,
            names: HashMap::new(),
            slots: Vec::new(),
            flights: HashMap::new(),
            waiting: 0,
            timers: BTreeSet::new(),
            lease: Lease::default(),
            group: Group::default(),
            targets: BTreeMap::new(),
            busy: BTreeSet::new(),
            wakes: BTreeSet::new(),
            releases: BTreeMap::new(),
            loaded: Vec::new(),
            load_due: Duration::ZERO,
            peers: Peers::default(),
            counters: Counters::default(),
            candidates: Vec::new(),
            out: Vec::new(),
            drawn: 0,
        }
    }

    /// Handles one event at `now`, the time since the process started, and returns what is to be
    /// done, in order.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use camphordale_route::{Effect, Event, Origin, Request, Router, RouterConfig};
    /// use camphordale_types::{NotRun, Refusal};
    ///
    /// let mut router = Router::new(RouterConfig::new(1, "east", 7));
    /// let request = Request {
    ///     id: 9,
    ///     origin: Origin::Caller,
    ///     method: "GET".into(),
    ///     host: None,
    ///     path: "/berths/7".into(),
    ///     headers: Vec::new(),
    ///     allowed: None,
    /// };
    /// let effects = router.step(Event::Request(request), Duration::from_millis(1));
    /// let refusal = Refusal::NotRun(NotRun::NoBundle);
    /// assert_eq!(effects, [Effect::Refuse { id: 9, refusal }]);
    /// ```
    pub fn step(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        // Time does not run backwards, whatever the order in which events were stamped.
        self.now = self.now.max(now);
        match event {
            Event::Request(request) => self.admit(request),
            Event::Recorded { id, result } => self.recorded(id, result),
            Event::Ready { id } => self.ready(id),
            Event::Done { id, attempt } => self.done(id, attempt),
            Event::Cancel { id } => self.cancel(id),
            Event::Term { term } => self.take_term(term),
            Event::Lease {
                until,
                fence,
                control,
            } => {
                self.lease.renew(until, fence, control);
                self.pump_all();
            }
            Event::LeaseLost => self.lease.void(),
            Event::View(view) => self.take_view(view),
            Event::Bundle(bundle) => self.take_bundle(bundle),
            Event::Directory { homes, vms } => self.take_directory(homes, &vms),
            Event::TargetLoad { target, load } => {
                if let Some(target) = self.targets.get_mut(&target)
                    && load.is_finite()
                {
                    target.health.load = load;
                }
            }
            Event::Probed { target, alive } => self.probed(target, alive),
            Event::Tick => self.tick(),
            Event::Drain => self.draining = true,
        }
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self) {
        while let Some((at, id)) = self.timers.first().copied()
            && at <= self.now
        {
            self.timers.pop_first();
            self.expire(id);
        }
        while let Some((at, id)) = self.wakes.first().copied()
            && at <= self.now
        {
            self.wakes.pop_first();
            self.pump_target(id);
        }
        let silent: Vec<_> = self
            .busy
            .iter()
            .copied()
            .filter(|id| {
                let target = self.targets.get(id);
                target.is_some_and(|t| t.health.is_silent(self.now))
            })
            .collect();
        for id in silent {
            self.probe(id);
        }
        for id in self.busy.clone() {
            self.renew_stuck(id);
        }
        for slot in 0..self.slots.len() {
            for side in [Side::Old, Side::New] {
                if !self.slots[slot].pool(side).queue.is_empty() {
                    self.pump_pool(slot, side);
                }
            }
        }
        self.repeat_releases();
        self.report_load();
    }

    /// Handles a timer of a request.
    fn expire(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.timer = None;
        let over = self.now >= flight.start_by;
        let (slot, side, shard) = (flight.slot, flight.side, flight.shard);
        match flight.stage {
            Stage::Waiting(_) if over => {
                let reason = match shard {
                    Some(index) => self.vain_reason((slot, index)),
                    None => self.pool_reason(slot, side),
                };
                self.refuse(id, reason);
            }
            Stage::Waiting(_) => {
                self.detach(id);
                if self.refresh(id) {
                    self.place(id);
                }
            }
            // A record that is written later stays pending; a resend is then a duplicate.
            Stage::Recording(_) => self.refuse(id, NotRun::Record),
            Stage::New | Stage::Opening(_) | Stage::Written(_) | Stage::Forwarded(_) => {}
        }
    }

    /// Sends a request that is nowhere at the moment, or lets it wait, or refuses it.
    pub(crate) fn place(&mut self, id: RequestId) {
        match self.flights.get(&id).map(|f| (f.slot, f.shard)) {
            Some((slot, Some(index))) => self.place_keyed(id, (slot, index)),
            Some((_, None)) => self.place_unkeyed(id),
            None => {}
        }
    }

    /// Sends what waits for a target whose pause is over.
    pub(crate) fn pump_target(&mut self, id: TargetId) {
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        let (slot, side) = (target.slot, target.info.spec.side);
        self.pump(id);
        self.pump_pool(slot, side);
    }

    /// Puts a bundle in force, unless a later one is.
    fn take_bundle(&mut self, bundle: Bundle) {
        if self
            .bundle
            .as_ref()
            .is_some_and(|b| b.version > bundle.version)
        {
            return;
        }
        for slot in &mut self.slots {
            slot.service = None;
        }
        for service in &bundle.services {
            let slot = self.slot_of(&service.name);
            self.slots[slot].service = Some(Arc::new(service.clone()));
        }
        self.bundle = Some(bundle);
        self.resize();
        self.replace_waiting();
        self.pump_all();
    }

    /// Places all waiting requests again, the oldest first.
    pub(crate) fn replace_waiting(&mut self) {
        let mut ids: Vec<_> = self
            .flights
            .iter()
            .filter(|(_, f)| matches!(f.stage, Stage::Waiting(_)))
            .map(|(id, f)| (f.arrived, *id))
            .collect();
        ids.sort_unstable();
        for (_, id) in &ids {
            self.detach(*id);
        }
        for (_, id) in ids {
            if self.refresh(id) {
                self.place(id);
            }
        }
    }

    /// Returns the position of the service called `name`, which is created if needed.
    pub(crate) fn slot_of(&mut self, name: &str) -> usize {
        if let Some(slot) = self.names.get(name) {
            return *slot;
        }
        let slot = self.slots.len();
        self.slots.push(Slot::new(name, self.now));
        self.names.insert(name.into(), slot);
        slot
    }

    /// Returns the next pseudo-random number.
    pub(crate) fn random(&mut self) -> u64 {
        self.drawn += 1;
        xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.config.seed)
    }

    /// Notes that a request waits in `lane` and is looked at again at `at`.
    pub(crate) fn wait(&mut self, id: RequestId, lane: Lane, at: Duration) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.stage = Stage::Waiting(lane);
            self.waiting += 1;
        }
        self.set_timer(id, at);
    }

    /// Sets the timer of a request.
    pub(crate) fn set_timer(&mut self, id: RequestId, at: Duration) {
        if let Some(flight) = self.flights.get_mut(&id) {
            if let Some(old) = flight.timer.replace(at) {
                self.timers.remove(&(old, id));
            }
            self.timers.insert((at, id));
        }
    }

    /// Notes that a request does not wait any more; its queue has given it up already.
    pub(crate) fn leave(&mut self, id: RequestId) {
        if let Some(flight) = self.flights.get_mut(&id) {
            if matches!(flight.stage, Stage::Waiting(_)) {
                self.waiting -= 1;
            }
            flight.stage = Stage::New;
            if let Some(at) = flight.timer.take() {
                self.timers.remove(&(at, id));
            }
        }
    }

    /// Takes a request out of its queue, or from the wait for its record.
    pub(crate) fn detach(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let (slot, side, shard) = (flight.slot, flight.side, flight.shard);
        match flight.stage {
            Stage::Waiting(Lane::Shard) => {
                if let Some(index) = shard {
                    self.unqueue(id, (slot, index));
                }
            }
            Stage::Waiting(Lane::Pool) => {
                let queue = &mut self.slots[slot].pool_mut(side).queue;
                queue.retain(|q| *q != id);
            }
            Stage::Waiting(Lane::Pause) => {}
            Stage::Recording(target) => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.recording = target.recording.saturating_sub(1);
                }
            }
            Stage::New | Stage::Opening(_) | Stage::Written(_) | Stage::Forwarded(_) => return,
        }
        self.leave(id);
    }

    /// Forgets a request.
    pub(crate) fn end(&mut self, id: RequestId) -> Option<Flight> {
        self.detach(id);
        let flight = self.flights.remove(&id)?;
        if let Some(at) = flight.timer {
            self.timers.remove(&(at, id));
        }
        Some(flight)
    }

    /// Refuses a request that was not admitted.
    pub(crate) fn refuse_new(&mut self, id: RequestId, reason: NotRun) {
        self.give_refusal(id, Refusal::NotRun(reason));
    }

    /// Refuses a request that did not run, or as unknown if an earlier attempt may have run.
    pub(crate) fn refuse(&mut self, id: RequestId, reason: NotRun) {
        let Some(flight) = self.end(id) else {
            return;
        };
        if let Some(unknown) = flight.taint {
            return self.give_refusal(id, Refusal::Unknown(unknown));
        }
        if let Some(record) = flight.record {
            let key = record.key;
            self.out.push(Effect::Erase { key, id });
        }
        self.give_refusal(id, Refusal::NotRun(reason));
    }

    /// Refuses a request that may have run. Its record stays, so that a resend is not run.
    pub(crate) fn refuse_unknown(&mut self, id: RequestId, unknown: Unknown) {
        if self.end(id).is_some() {
            self.give_refusal(id, Refusal::Unknown(unknown));
        }
    }

    fn give_refusal(&mut self, id: RequestId, refusal: Refusal) {
        *self.counters.refused.entry(refusal).or_default() += 1;
        self.out.push(Effect::Refuse { id, refusal });
    }

    /// Handles the loss of a caller.
    fn cancel(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        match flight.stage {
            Stage::New | Stage::Waiting(_) => self.drop_cancelled(id),
            Stage::Recording(_) => flight.cancelled = true,
            Stage::Opening(_) => {
                flight.cancelled = true;
                if !flight.aborted {
                    flight.aborted = true;
                    self.out.push(Effect::Abort { id });
                }
            }
            // It may be running; its slot and record are settled when it ends.
            Stage::Written(_) | Stage::Forwarded(_) => {}
        }
    }

    /// Drops a request that was not sent and whose caller is gone.
    pub(crate) fn drop_cancelled(&mut self, id: RequestId) {
        if let Some(flight) = self.end(id) {
            self.counters.cancelled += 1;
            if let Some(record) = flight.record {
                let key = record.key;
                self.out.push(Effect::Erase { key, id });
            }
        }
    }
}
