//! Random event histories of one router, checked against a simple model of what is allowed.
//!
//! `CAMPHORDALE_HISTORIES` sets the number of histories, `CAMPHORDALE_SEED` the first seed.
#![allow(clippy::unwrap_used)]

#[path = "../common/mod.rs"]
mod common;
mod model;

use std::collections::BTreeMap;

use camphordale_domain::{ShardView, TargetView, View};
use camphordale_route::*;
use camphordale_types::*;
use common::*;
use model::millis;
use rand::{Rng, SeedableRng, rngs::StdRng};

const STEPS: u32 = 250;

/// Stage of a request in the model; `bool` tells whether the attempt was aborted.
#[derive(Clone, Debug, Default, PartialEq)]
enum Stage {
    #[default]
    Router,
    Recording,
    Opening(SendRequest, bool),
    Written(SendRequest, bool),
    Forwarded,
}

/// A request that has not completed, as the connections and the caller see it.
#[derive(Clone, Debug, Default)]
struct ActiveRequest {
    service: &'static str,
    key: String,
    side: Option<Side>,
    retryable: bool,
    from_caller: bool,
    idempotent: bool,
    recorded: bool,
    cancelled: bool,
    /// Term of the fencing token in the request for the record.
    record_term: u64,
    stage: Stage,
    writes: u32,
    /// Whether an ended attempt may have run.
    may_have_run: bool,
    forwarded: bool,
}

/// The state of the domain group.
#[derive(Clone, Debug, Default)]
struct Group {
    term: u64,
    index: u64,
    bundle: u64,
    vms: Vec<VmId>,
    targets: BTreeMap<TargetId, TargetView>,
    shards: BTreeMap<u32, ShardView>,
}

struct Simulation {
    seed: u64,
    rng: StdRng,
    router: Router,
    now: u64,
    bundle: Bundle,
    group: Group,
    /// The group as of the last view that the router must have applied.
    viewed: Group,
    past_views: Vec<View>,
    /// Expiry, minimum view index and time of the last renewal with the control group.
    lease: (u64, u64, u64),
    /// Another term that was announced after the last view.
    announced_term: Option<u64>,
    requests: BTreeMap<RequestId, ActiveRequest>,
    last_ended: RequestId,
    /// Latest deadline of requests with an unknown outcome, by shard.
    unknown_deadlines: BTreeMap<u32, u64>,
    /// Lengths of the unkeyed queues after the last step.
    pool_lengths: Vec<usize>,
    /// Number of aborts, requeues and reports of releases so far.
    event_counts: [u64; 3],
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Simulation {
            seed,
            rng: StdRng::seed_from_u64(seed),
            router: Router::new(RouterConfig::new(VM, "east", seed)),
            now: 0,
            bundle: bundle(1),
            group: Group::default(),
            viewed: Group::default(),
            past_views: Vec::new(),
            lease: (0, 0, 0),
            announced_term: None,
            requests: BTreeMap::new(),
            last_ended: 7,
            unknown_deadlines: BTreeMap::new(),
            pool_lengths: Vec::new(),
            event_counts: [0; 3],
        };
        simulation.recreate_group();
        simulation.step(Event::Bundle(bundle(1)));
        simulation.step(directory());
        simulation.deliver_view(true);
        simulation
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn pick(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    /// Creates a new group, whose targets have the same ids as the old ones.
    fn recreate_group(&mut self) {
        let announced = self.group.term > 0 && self.chance(50);
        let term = self.group.term + 1;
        let View {
            targets,
            shards,
            vms,
            ..
        } = view(1);
        let (mut index, mut ids) = (BTreeMap::new(), BTreeMap::new());
        for mut shard in shards {
            shard.token.term = term;
            index.insert(shard.index, shard);
        }
        for mut target in targets {
            target.token.term = term;
            ids.insert(target.info.id, target);
        }
        self.group = Group {
            term,
            index: 1,
            bundle: self.bundle.version,
            vms,
            targets: ids,
            shards: index,
        };
        if announced {
            (self.lease.0, self.announced_term) = (0, Some(term));
            self.step(Event::Term { term });
        }
    }

    /// Makes one random change of the group.
    fn change_group(&mut self) {
        if self.chance(2) {
            return self.recreate_group();
        }
        let (index, choice) = (self.pick(4) as u32, self.pick(12));
        let sender = [None, Some(1), Some(1), Some(2)][self.pick(4)];
        let at = self.pick(self.group.targets.len());
        let group = &mut self.group;
        group.index += 1;
        let next = Token {
            term: group.term,
            epoch: 1,
            seq: group.index + 4,
        };
        let serves = |t: &&TargetView| t.info.state == TargetState::Serving;
        let keyed = |t: &&TargetView| &*t.info.spec.service == "k";
        let owner = group
            .targets
            .values()
            .filter(serves)
            .filter(keyed)
            .nth(index as usize);
        let owner = owner.map(|t| t.info.id);
        let count = group.targets.len();
        let target = group.targets.values_mut().nth(at).unwrap();
        let (id, state) = (target.info.id, target.info.state);
        match choice {
            0..5 => {
                let free = ShardView {
                    token: next,
                    ..shard(index, None, 0)
                };
                let shard = group.shards.entry(index).or_insert_with(|| free.clone());
                match (shard.owner, shard.releasing) {
                    (None, _) => (shard.owner, shard.token) = (owner, next),
                    (Some(_), false) => shard.releasing = true,
                    (Some(_), true) => *shard = free,
                }
            }
            5 => drop(group.shards.remove(&index)),
            6 | 7 if target.sender != sender => (target.sender, target.token) = (sender, next),
            8 if index < 2 && state == TargetState::Serving => {
                target.info.state = TargetState::Leaving;
            }
            8 => target.info.state = TargetState::Lost,
            9 if count > 3 && state != TargetState::Serving => {
                group.targets.remove(&id);
                group.shards.retain(|_, s| s.owner != Some(id));
            }
            10 => {
                let id = 30 + group.index;
                let mut new = new_target(id, index, sender);
                new.token = next;
                group.targets.insert(id, new);
            }
            11 => group.vms = [&[1, 2][..], &[1], &[1, 2, 3], &[2, 3]][index as usize].to_vec(),
            _ => {}
        }
    }

    /// Delivers a view of the group, complete or incremental.
    fn deliver_view(&mut self, complete: bool) {
        let (new, seen) = (self.group.clone(), self.viewed.clone());
        let other = new.term != seen.term;
        let complete = complete || other;
        let mut view = View {
            term: new.term,
            since: if complete { 0 } else { seen.index },
            index: new.index,
            bundle_version: new.bundle,
            vms: new.vms.clone(),
            targets: new.targets.values().cloned().collect(),
            shards: new.shards.values().cloned().collect(),
            ..View::default()
        };
        if !complete {
            let before = &seen.targets;
            view.targets.retain(|t| before.get(&t.info.id) != Some(t));
            view.shards.retain(|s| seen.shards.get(&s.index) != Some(s));
            let gone = seen.targets.keys().copied();
            view.removed_targets = gone.filter(|id| !new.targets.contains_key(id)).collect();
            let dropped = seen.shards.keys().filter(|i| !new.shards.contains_key(i));
            view.removed_shards = dropped.map(|index| ("k".into(), *index)).collect();
        }
        if other && self.announced_term != Some(new.term) {
            self.lease.0 = 0;
        }
        self.announced_term = None;
        self.viewed = new;
        self.past_views.push(view.clone());
        self.step(Event::View(view));
    }

    fn arrive(&mut self) {
        let id = self.rng.random::<u64>().into();
        let method = ["GET", "POST"][self.pick(2)];
        let service = ["k", "k", "k", "u"][self.pick(4)];
        let mut request = match service {
            "k" => keyed(id, method, [0, 0, 0, 1, 2, 3][self.pick(6)]),
            _ => request(id, method, "/u/list"),
        };
        request.timeout = [None, Some(ms(40)), Some(ms(300))][self.pick(3)];
        let idempotent = method == "POST" && self.chance(50);
        if idempotent {
            request.headers.push(("idempotency-key".into(), "a".into()));
        }
        let from_caller = self.chance(80);
        if !from_caller {
            let hops = self.rng.random_range(1..4);
            request.origin = Origin::Vm { vm: 2, hops };
        }
        let hash = xxhash_rust::xxh3::xxh3_64(&id.to_le_bytes());
        let rules = self.bundle.service(service);
        let state = ActiveRequest {
            service,
            key: request.path.rsplit('/').next().unwrap().into(),
            side: rules.map(|s| s.side_by_hash(hash)),
            retryable: method == "GET",
            from_caller,
            idempotent,
            ..ActiveRequest::default()
        };
        self.requests.insert(id, state);
        self.step(Event::Request(request));
    }

    /// Raises a random event for a request, possibly a duplicate one.
    fn raise_event(&mut self) {
        let count = self.requests.len();
        if count == 0 || self.chance(5) {
            let idle = self.requests.iter().find(|(_, o)| o.stage == Stage::Router);
            let id = idle.map_or(self.last_ended, |(id, _)| *id);
            let redirect = AttemptResult::Redirect { vm: Some(3) };
            let all = [AttemptResult::NotRun(NotRun::Shed), responded(), redirect];
            let result = all[self.pick(3)].clone();
            return self.step(Event::Done { id, result });
        }
        let at = self.pick(count);
        let (id, request) = self.requests.iter().nth(at).unwrap();
        let (id, at, pick) = (*id, request.stage.clone(), self.pick(20));
        let result = match (at, pick) {
            (Stage::Router | Stage::Recording | Stage::Opening(..), 0) => return self.cancel(id),
            (Stage::Router, _) => return,
            (Stage::Recording, _) => return self.finish_record(id),
            (Stage::Opening(_, true), 1..6) => AttemptResult::NotRun(NotRun::Connect),
            (Stage::Opening(..), 1..3) => AttemptResult::NotRun(NotRun::Connect),
            (Stage::Opening(..), _) => return self.step(Event::Ready { id }),
            (Stage::Written(..), 0) => AttemptResult::NotRun(NotRun::Shed),
            (Stage::Written(..), 1) => AttemptResult::Unknown(Unknown::Timeout),
            (Stage::Written(..), 2) => AttemptResult::Unknown(Unknown::Broken),
            (Stage::Written(..), 3) => return self.step(Event::Ready { id }),
            (Stage::Forwarded, 0) => AttemptResult::Unknown(Unknown::VmLost),
            (Stage::Forwarded, 1) => AttemptResult::NotRun(NotRun::DomainUnreachable),
            (Stage::Forwarded, 2) => AttemptResult::NotRun(NotRun::NoOwner),
            (Stage::Forwarded, 3) => AttemptResult::Redirect { vm: None },
            (Stage::Forwarded, 4..6) => AttemptResult::Redirect {
                vm: Some(pick as VmId - 3),
            },
            (Stage::Written(..) | Stage::Forwarded, _) => responded(),
        };
        self.end_attempt(id, result);
    }

    fn end_attempt(&mut self, id: RequestId, result: AttemptResult) {
        let request = self.requests.get_mut(&id).unwrap();
        let was = std::mem::take(&mut request.stage);
        let unknown = matches!(result, AttemptResult::Unknown(_));
        request.may_have_run |= unknown;
        if let Stage::Written(
            SendRequest {
                grant: Some((shard, _)),
                deadline,
                ..
            },
            _,
        ) = &was
            && unknown
        {
            let risk = self.unknown_deadlines.entry(shard.index).or_default();
            *risk = (*risk).max(millis(*deadline));
        }
        if matches!(result, AttemptResult::Responded { .. }) {
            self.requests.remove(&id);
            self.last_ended = id;
        }
        self.step(Event::Done { id, result });
    }

    fn cancel(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).unwrap();
        request.cancelled = true;
        if request.stage == Stage::Router {
            self.requests.remove(&id);
            self.last_ended = id;
        }
        self.step(Event::Cancel { id });
    }

    fn finish_record(&mut self, id: RequestId) {
        let pick = self.pick(10);
        let request = self.requests.get_mut(&id).unwrap();
        request.stage = Stage::Router;
        request.recorded = pick > 3;
        let result = match pick {
            0 => RecordResult::InProgress,
            1 => RecordResult::RecordsIncomplete,
            2 => RecordResult::Failed,
            3 => RecordResult::Uncertain,
            _ => RecordResult::Recorded,
        };
        self.step(Event::Recorded { id, result });
    }

    fn put_in_force(&mut self, version: u64) {
        self.group.index += 1;
        self.group.bundle = version;
        if self.chance(50) {
            self.deliver_view(false);
        }
    }

    fn change_bundle(&mut self) {
        let mut next = bundle(self.bundle.version + 1);
        let pick = self.rng.random_range(0..4);
        for service in &mut next.services {
            (service.slots, service.queue) = (1 + pick, 1 + 2 * pick);
            service.new_percent = 10 * pick as u8;
        }
        next.services[0].domain_lease = (pick == 0).then(|| ms(500));
        let hot = (pick == 3).then(|| key(0).into());
        next.services[0].hot_keys.extend(hot);
        next.services.truncate(if self.chance(10) { 1 } else { 2 });
        // The view with the new bundle version arrives before or after the bundle.
        let (before, version) = (self.chance(30), next.version);
        if before {
            self.put_in_force(version);
        }
        self.bundle = next.clone();
        self.step(Event::Bundle(next));
        if !before {
            self.put_in_force(version);
        }
    }

    fn random_step(&mut self) {
        self.now += [0, 0, 1, 3, 10, 40][self.pick(6)];
        match self.pick(100) {
            0..25 => self.arrive(),
            25..75 => self.raise_event(),
            75..78 => self.change_group(),
            78..83 => {
                let complete = self.chance(20);
                self.deliver_view(complete);
            }
            83 => {
                let old = self.past_views[self.rng.random_range(0..self.past_views.len())].clone();
                if (old.term, old.index) != (self.viewed.term, self.viewed.index) {
                    self.step(Event::View(old));
                }
            }
            84..90 => {
                let until = self.now + self.rng.random_range(50..900);
                let min_view = self.viewed.index + u64::from(self.chance(10));
                let control_renewed = self.now.saturating_sub(self.rng.random_range(0..400));
                if until >= self.lease.0 {
                    (self.lease.0, self.lease.1) = (until, min_view);
                }
                self.lease.2 = self.lease.2.max(control_renewed);
                let (until, control_renewed) = (ms(until), ms(control_renewed));
                self.step(Event::Lease {
                    until,
                    min_view,
                    control_renewed,
                });
            }
            90 => {
                self.lease.0 = 0;
                self.step(Event::LeaseLost);
            }
            91 => self.change_bundle(),
            92..95 => {
                let at = self.pick(self.viewed.targets.len());
                let target = *self.viewed.targets.keys().nth(at).unwrap();
                let alive = self.chance(80);
                self.step(Event::Probed { target, alive });
            }
            95 if self.chance(10) => self.step(Event::Drain),
            _ => self.step(Event::Tick),
        }
    }

    fn step(&mut self, event: Event) {
        let shown = format!("seed {} at {} ms after {event:?}", self.seed, self.now);
        let ready = match &event {
            Event::Ready { id } => Some(*id),
            _ => None,
        };
        let opening = ready.and_then(|id| match self.requests.get(&id)?.stage {
            Stage::Opening(_, aborted) => Some(aborted),
            _ => None,
        });
        let effects = self.router.step(event, ms(self.now));
        if let Some(aborted) = opening {
            let answer = effects.iter().any(|e| e.request() == ready);
            assert_eq!(answer, !aborted, "answer to ready, {shown}");
        }
        for effect in effects {
            if let Err(violation) = self.apply_effect(&effect, ready) {
                panic!("{violation} by {effect:?}, {shown}");
            }
        }
        let status = self.router.status();
        let queue = self.bundle.service("k").map_or(0, |s| s.queue as usize);
        let keyed = status.targets.iter().all(|t| t.queued <= queue);
        // A limit that shrinks, because a VM joined or a target left, applies to new requests only.
        let before = std::mem::take(&mut self.pool_lengths)
            .into_iter()
            .chain([0; 4]);
        let pools = (status.queues.iter().zip(before)).all(|(q, b)| q.queued <= q.limit.max(b));
        assert!(keyed && pools, "queue too long, {shown}");
        self.pool_lengths = status.queues.iter().map(|q| q.queued).collect();
        assert!(
            status.in_flight <= self.requests.len(),
            "ended twice, {shown}"
        );
    }

    /// Completes everything in flight and checks that every request completes.
    fn complete_all(&mut self) {
        for _ in 0..150 {
            self.now += 30;
            let ids: Vec<_> = self.requests.keys().copied().collect();
            for id in ids {
                match self.requests.get(&id).map(|o| o.stage.clone()) {
                    Some(Stage::Recording) => self.finish_record(id),
                    Some(Stage::Opening(_, false)) => self.step(Event::Ready { id }),
                    Some(Stage::Opening(_, true)) => {
                        self.end_attempt(id, AttemptResult::NotRun(NotRun::Connect))
                    }
                    Some(Stage::Written(..) | Stage::Forwarded) => {
                        self.end_attempt(id, responded())
                    }
                    Some(Stage::Router) | None => {}
                }
            }
            self.step(Event::Tick);
        }
        let status = self.router.status();
        let flying: u32 = status.targets.iter().map(|t| t.in_flight).sum();
        let left = (status.in_flight, status.queued, flying);
        assert_eq!(left, (0, 0, 0), "seed {}", self.seed);
        let ended = self.requests.values().all(|o| o.cancelled);
        assert!(ended, "a request got no outcome, seed {}", self.seed);
    }
}

fn new_target(id: TargetId, index: u32, sender: Option<VmId>) -> TargetView {
    let mut new = target(id, if index < 2 { "k" } else { "u" }, sender);
    new.info.spec.slots = 1 + index;
    new
}

/// Guards against writes without a valid lease or ownership, requests that run twice, refusals as
/// *not run* of requests that may have run, exceeded slots and queues, early releases, and requests
/// that never complete.
#[test]
fn random_histories_follow_the_model() {
    let setting = |name, default| {
        let value = std::env::var(name).ok();
        value.map_or(default, |v| v.parse().unwrap())
    };
    let count = setting("CAMPHORDALE_HISTORIES", 3000);
    let first = setting("CAMPHORDALE_SEED", 1);
    println!("{count} histories from seed {first}");
    let mut reached = [0; 8];
    for seed in first..first + count {
        let mut simulation = Simulation::new(seed);
        (0..STEPS).for_each(|_| simulation.random_step());
        simulation.complete_all();
        let [aborts, requeues, releases] = simulation.event_counts;
        let c = simulation.router.counters();
        let all = [
            aborts,
            requeues,
            releases,
            c.written,
            c.responses,
            c.retries,
            c.forwards,
            c.probes,
        ];
        reached.iter_mut().zip(all).for_each(|(sum, n)| *sum += n);
    }
    println!(
        "aborts, requeues, releases, written, answered, retries, forwards, probes: {reached:?}"
    );
    assert!(count < 100 || !reached.contains(&0));
}
