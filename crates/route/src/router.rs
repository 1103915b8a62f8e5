//! The state of the router, the dispatch of events, and the completion of requests.

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
    evacuation::Evacuations,
    forward::Peers,
    lease::Lease,
    queue::ShardKey,
    release::Release,
    request::{ActiveRequest, QueueKind, Stage},
    service::ServiceState,
    target::Target,
    view::Group,
};

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// This VM.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub domain: DomainName,
    /// Seed of the pseudo-random choice between equal candidates.
    pub seed: u64,
    /// Upper bound of queued requests, over all queues of this VM.
    pub max_queued: usize,
}

impl RouterConfig {
    /// Default upper bound of queued requests: 3 s at the request rate of one entry VM.
    pub const DEFAULT_MAX_QUEUED: usize = 20_000;

    /// Returns the settings of `vm` in `domain`, with the defaults for the rest.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_route::RouterConfig;
    ///
    /// let config = RouterConfig::new(1, "east", 7);
    /// assert_eq!(config.max_queued, RouterConfig::DEFAULT_MAX_QUEUED);
    /// ```
    pub fn new(vm: VmId, domain: &str, seed: u64) -> Self {
        RouterConfig {
            vm,
            domain: domain.into(),
            seed,
            max_queued: Self::DEFAULT_MAX_QUEUED,
        }
    }
}

/// The router of one entry VM.
#[derive(Debug)]
pub struct Router {
    pub(crate) config: RouterConfig,
    /// Time of the last event, since the process started.
    pub(crate) now: Duration,
    pub(crate) bundle: Option<Bundle>,
    /// Whether a newer bundle is known that is not in force here.
    pub(crate) bundle_outdated: bool,
    pub(crate) draining: bool,
    pub(crate) service_indices: HashMap<ServiceName, usize>,
    pub(crate) services: Vec<ServiceState>,
    pub(crate) requests: HashMap<RequestId, ActiveRequest>,
    /// Number of queued requests.
    pub(crate) queued: usize,
    pub(crate) timers: BTreeSet<(Duration, RequestId)>,
    pub(crate) lease: Lease,
    pub(crate) group: Group,
    pub(crate) targets: BTreeMap<TargetId, Target>,
    /// Targets with requests in flight.
    pub(crate) busy_targets: BTreeSet<TargetId>,
    /// Ends of the backoffs of targets.
    pub(crate) resume_timers: BTreeSet<(Duration, TargetId)>,
    pub(crate) releases: BTreeMap<ShardKey, Release>,
    /// Shards with requests since the last load report.
    pub(crate) loaded_shards: Vec<ShardKey>,
    pub(crate) report_due: Duration,
    pub(crate) peers: Peers,
    pub(crate) evacuations: Evacuations,
    pub(crate) counters: Counters,
    /// Reused buffer for the choice of a target.
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) effects: Vec<Effect>,
    random_counter: u64,
}

impl Router {
    /// Creates a router without bundle, lease and view, which refuses every request.
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
            bundle_outdated: false,
            draining: false,
            service_indices: HashMap::new(),
            services: Vec::new(),
            requests: HashMap::new(),
            queued: 0,
            timers: BTreeSet::new(),
            lease: Lease::default(),
            group: Group::default(),
            targets: BTreeMap::new(),
            busy_targets: BTreeSet::new(),
            resume_timers: BTreeSet::new(),
            releases: BTreeMap::new(),
            loaded_shards: Vec::new(),
            report_due: Duration::ZERO,
            peers: Peers::default(),
            evacuations: Evacuations::default(),
            counters: Counters::default(),
            candidates: Vec::new(),
            effects: Vec::new(),
            random_counter: 0,
        }
    }

    /// Handles one event at `now`, the time since the process started, and returns the effects to
    /// carry out, in order.
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
    ///     timeout: None,
    /// };
    /// let effects = router.step(Event::Request(request), Duration::from_millis(1));
    /// let refusal = Refusal::NotRun(NotRun::NoBundle);
    /// assert_eq!(effects, [Effect::Refuse { id: 9, refusal }]);
    /// ```
    pub fn step(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        // Events may be stamped out of order; the time of the router never goes back.
        self.now = self.now.max(now);
        match event {
            Event::Request(request) => self.admit(request),
            Event::Recorded { id, result } => self.record_decided(id, result),
            Event::Ready { id } => self.ready(id),
            Event::Done { id, result } => self.attempt_ended(id, result),
            Event::Cancel { id } => self.cancel(id),
            Event::Term { term } => self.change_term(term),
            Event::Lease {
                until,
                min_view,
                control_renewed,
            } => {
                self.lease.renew(until, min_view, control_renewed);
                self.dispatch_all();
            }
            Event::LeaseLost => self.lease.revoke(),
            Event::View(view) => self.apply_view(view),
            Event::Bundle(bundle) => self.apply_bundle(bundle),
            Event::BundleOutdated(outdated) => self.bundle_outdated = outdated,
            Event::Directory { homes, vms } => self.apply_directory(homes, &vms),
            Event::Evacuated { domains } => self.apply_evacuations(domains),
            Event::TargetLoad { target, load } => {
                if let Some(target) = self.targets.get_mut(&target)
                    && load.is_finite()
                {
                    target.health.load = load;
                }
            }
            Event::Probed { target, alive } => self.probe_ended(target, alive),
            Event::Tick => self.tick(),
            Event::Drain => self.draining = true,
        }
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self) {
        while let Some((at, id)) = self.timers.first().copied()
            && at <= self.now
        {
            self.timers.pop_first();
            self.timer_expired(id);
        }
        while let Some((at, id)) = self.resume_timers.first().copied()
            && at <= self.now
        {
            self.resume_timers.pop_first();
            self.dispatch_target(id);
        }
        let unresponsive: Vec<_> = self
            .busy_targets
            .iter()
            .copied()
            .filter(|id| {
                let target = self.targets.get(id);
                target.is_some_and(|t| t.health.is_unresponsive(self.now))
            })
            .collect();
        for id in unresponsive {
            self.start_probe(id);
        }
        for id in self.busy_targets.clone() {
            self.retry_unanswered(id);
        }
        for service_index in 0..self.services.len() {
            for side in [Side::Old, Side::New] {
                if !self.services[service_index].pool(side).queue.is_empty() {
                    self.dispatch_pool(service_index, side);
                }
            }
        }
        self.report_due_releases();
        self.report_load();
    }

    /// Handles an expired timer of a request.
    fn timer_expired(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.timer = None;
        let expired = self.now >= request.start_by;
        let (service_index, side, shard) = (request.service_index, request.side, request.shard);
        match request.stage {
            Stage::Waiting(_) if expired => {
                let reason = match shard {
                    Some(index) => self.queue_timeout_reason((service_index, index)),
                    None => self.pool_timeout_reason(service_index, side),
                };
                self.refuse(id, reason);
            }
            Stage::Waiting(_) => {
                self.detach(id);
                if self.refresh_shard(id) {
                    self.route_request(id);
                }
            }
            // If the record is still written, it stays pending, and a resend is a duplicate.
            Stage::Recording(_) => self.refuse(id, NotRun::Record),
            Stage::New | Stage::Opening(_) | Stage::Written(_) | Stage::Forwarded(_) => {}
        }
    }

    /// Sends, forwards, queues or refuses a request that is in no queue.
    pub(crate) fn route_request(&mut self, id: RequestId) {
        match self
            .requests
            .get(&id)
            .map(|request| (request.service_index, request.shard))
        {
            Some((service_index, Some(index))) => self.route_keyed(id, (service_index, index)),
            Some((_, None)) => self.route_unkeyed(id),
            None => {}
        }
    }

    /// Sends queued requests to a target whose backoff is over.
    pub(crate) fn dispatch_target(&mut self, id: TargetId) {
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        let (service_index, side) = (target.service_index, target.info.spec.side);
        self.dispatch_keyed(id);
        self.dispatch_pool(service_index, side);
    }

    /// Puts a bundle in force, unless a later version is.
    fn apply_bundle(&mut self, bundle: Bundle) {
        if self
            .bundle
            .as_ref()
            .is_some_and(|b| b.version > bundle.version)
        {
            return;
        }
        for state in &mut self.services {
            state.service = None;
        }
        for service in &bundle.services {
            let service_index = self.service_index_of(&service.name);
            self.services[service_index].service = Some(Arc::new(service.clone()));
        }
        self.bundle = Some(bundle);
        self.update_limits();
        self.reroute_queued();
        self.dispatch_all();
    }

    /// Routes all queued requests again, the oldest first.
    pub(crate) fn reroute_queued(&mut self) {
        let mut ids: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| matches!(request.stage, Stage::Waiting(_)))
            .map(|(id, request)| (request.arrived, *id))
            .collect();
        ids.sort_unstable();
        for (_, id) in &ids {
            self.detach(*id);
        }
        for (_, id) in ids {
            if self.refresh_shard(id) {
                self.route_request(id);
            }
        }
    }

    /// Returns the index of the service called `name`, which is added if it is not known.
    pub(crate) fn service_index_of(&mut self, name: &str) -> usize {
        if let Some(service_index) = self.service_indices.get(name) {
            return *service_index;
        }
        let service_index = self.services.len();
        self.services.push(ServiceState::new(name, self.now));
        self.service_indices.insert(name.into(), service_index);
        service_index
    }

    /// Returns the next pseudo-random number.
    pub(crate) fn random(&mut self) -> u64 {
        self.random_counter += 1;
        xxh3_64_with_seed(&self.random_counter.to_le_bytes(), self.config.seed)
    }

    /// Marks a request as waiting in a queue of `kind` and sets its timer to `at`.
    pub(crate) fn set_waiting(&mut self, id: RequestId, kind: QueueKind, at: Duration) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Waiting(kind);
            self.queued += 1;
        }
        self.set_timer(id, at);
    }

    /// Sets the timer of a request.
    pub(crate) fn set_timer(&mut self, id: RequestId, at: Duration) {
        if let Some(request) = self.requests.get_mut(&id) {
            if let Some(old) = request.timer.replace(at) {
                self.timers.remove(&(old, id));
            }
            self.timers.insert((at, id));
        }
    }

    /// Marks a request as not waiting, after it was removed from its queue.
    pub(crate) fn clear_waiting(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            if matches!(request.stage, Stage::Waiting(_)) {
                self.queued -= 1;
            }
            request.stage = Stage::New;
            if let Some(at) = request.timer.take() {
                self.timers.remove(&(at, id));
            }
        }
    }

    /// Removes a request from its queue, or ends the wait for its record.
    pub(crate) fn detach(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (service_index, side, shard) = (request.service_index, request.side, request.shard);
        match request.stage {
            Stage::Waiting(QueueKind::Shard) => {
                if let Some(index) = shard {
                    self.dequeue(id, (service_index, index));
                }
            }
            Stage::Waiting(QueueKind::Pool) => {
                let queue = &mut self.services[service_index].pool_mut(side).queue;
                queue.retain(|q| *q != id);
            }
            Stage::Waiting(QueueKind::Delay) => {}
            Stage::Recording(target) => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.recording = target.recording.saturating_sub(1);
                }
            }
            Stage::New | Stage::Opening(_) | Stage::Written(_) | Stage::Forwarded(_) => return,
        }
        self.clear_waiting(id);
    }

    /// Removes a request from all state of the router.
    pub(crate) fn remove_request(&mut self, id: RequestId) -> Option<ActiveRequest> {
        self.detach(id);
        let request = self.requests.remove(&id)?;
        if let Some(at) = request.timer {
            self.timers.remove(&(at, id));
        }
        Some(request)
    }

    /// Refuses a request that was not admitted.
    pub(crate) fn refuse_new(&mut self, id: RequestId, reason: NotRun) {
        self.push_refusal(id, Refusal::NotRun(reason));
    }

    /// Refuses a request as not run, or as unknown if an earlier attempt may have run.
    pub(crate) fn refuse(&mut self, id: RequestId, reason: NotRun) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        if let Some(unknown) = request.unknown_outcome {
            return self.push_refusal(id, Refusal::Unknown(unknown));
        }
        if let Some(record) = request.record {
            let key = record.key;
            self.effects.push(Effect::EraseRecord { key, id });
        }
        self.push_refusal(id, Refusal::NotRun(reason));
    }

    /// Refuses a request that may have run. Its record stays, so that a resend does not run.
    pub(crate) fn refuse_unknown(&mut self, id: RequestId, unknown: Unknown) {
        if self.remove_request(id).is_some() {
            self.push_refusal(id, Refusal::Unknown(unknown));
        }
    }

    fn push_refusal(&mut self, id: RequestId, refusal: Refusal) {
        *self.counters.refused.entry(refusal).or_default() += 1;
        self.effects.push(Effect::Refuse { id, refusal });
    }

    /// Handles the disconnect of a caller.
    fn cancel(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match request.stage {
            Stage::New | Stage::Waiting(_) => self.drop_cancelled(id),
            Stage::Recording(_) => request.cancelled = true,
            Stage::Opening(_) => {
                request.cancelled = true;
                if !request.aborted {
                    request.aborted = true;
                    self.effects.push(Effect::Abort { id });
                }
            }
            // It may be running; its target slot and its record are released when the attempt ends.
            Stage::Written(_) | Stage::Forwarded(_) => {}
        }
    }

    /// Drops a request that was not sent and whose caller has disconnected.
    pub(crate) fn drop_cancelled(&mut self, id: RequestId) {
        if let Some(request) = self.remove_request(id) {
            self.counters.cancelled += 1;
            if let Some(record) = request.record {
                let key = record.key;
                self.effects.push(Effect::EraseRecord { key, id });
            }
        }
    }
}
