//! What the router tells of itself.

use std::{collections::HashMap, time::Duration};

use camphordale_types::{DomainName, Refusal, ShardRef, Side, TargetId, TargetName, Token, VmId};

use crate::{Router, keyed::Place};

/// Numbers of events since the router started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that got an answer of a target, by this VM or another.
    pub answered: u64,
    /// Requests that got a recorded answer.
    pub replayed: u64,
    /// Forwarded requests that were answered by naming another VM.
    pub redirected: u64,
    /// Requests whose caller went away before they were sent.
    pub cancelled: u64,
    /// Requests written to a target.
    pub written: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Requests passed to another VM.
    pub forwards: u64,
    /// Probes of targets.
    pub probes: u64,
    /// Targets reported as not answering.
    pub suspects: u64,
    /// Refused requests by reason.
    pub refused: HashMap<Refusal, u64>,
}

/// State of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Term of the domain group; none before the first view.
    pub term: Option<u64>,
    /// Index of the view.
    pub index: u64,
    /// Whether the lease allows sending now.
    pub leased: bool,
    /// End of the lease.
    pub until: Duration,
    /// Version of the bundle in force.
    pub bundle: Option<u64>,
    /// Whether the VM is shutting down.
    pub draining: bool,
    /// Requests that have not ended.
    pub open: usize,
    /// Requests that wait in queues.
    pub waiting: usize,
    /// Targets of this VM's domain, by id.
    pub targets: Vec<TargetStatus>,
    /// Queues of services without keys.
    pub queues: Vec<QueueStatus>,
}

/// State of one target as this VM uses it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    /// The target.
    pub target: TargetId,
    /// Its name.
    pub name: TargetName,
    /// The VM that sends keyed requests to it.
    pub sender: Option<VmId>,
    /// Requests of this VM in flight there.
    pub in_flight: u32,
    /// Most requests that this VM may have in flight there.
    pub limit: u32,
    /// Requests with a key that wait for it.
    pub queued: usize,
    /// Expected time of a request.
    pub latency: Duration,
    /// Whether new requests are held back.
    pub held: bool,
}

/// Queue of one side of a service without keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueStatus {
    /// The service.
    pub service: Box<str>,
    /// The side.
    pub side: Side,
    /// Requests that wait.
    pub queued: usize,
    /// Most requests that may wait.
    pub bound: usize,
}

/// Where a key belongs and whether this VM would send a request for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Its shard.
    pub shard: ShardRef,
    /// The system that the shard belongs to.
    pub side: Side,
    /// The domain that is home to the shard, if the directory knows.
    pub home: Option<DomainName>,
    /// The owner, if the shard is homed here and has one.
    pub owner: Option<TargetId>,
    /// Name of the owner.
    pub name: Option<TargetName>,
    /// The VM that sends to the owner.
    pub sender: Option<VmId>,
    /// The token that a request would carry.
    pub token: Option<Token>,
    /// Why this VM would not send; none if it would.
    pub blocked: Option<Blocked>,
}

/// Why a VM does not send a request for a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Blocked {
    /// The shard is homed in another domain.
    #[error("the shard is homed in domain {0}")]
    Elsewhere(DomainName),
    /// The shard has no owner here.
    #[error("the shard has no owner")]
    NoOwner,
    /// The shard is being released.
    #[error("the shard is being released")]
    Releasing,
    /// The owner's lease has run out.
    #[error("the owner is lost")]
    OwnerLost,
    /// No VM may send to the owner.
    #[error("the owner has no sender")]
    NoSender,
    /// Another VM sends to the owner.
    #[error("VM {0} is the sender of the owner")]
    OtherSender(VmId),
    /// This VM holds no lease that its view satisfies.
    #[error("this VM holds no valid lease")]
    NoLease,
    /// The domain has been cut off from the control group for longer than the domain lease.
    #[error("the domain lease of the service has run out")]
    DomainLease,
    /// New requests to the owner are held back for a while.
    #[error("requests to the owner are held back after failures")]
    Held,
}

impl Router {
    /// Returns the counters.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_route::{Router, RouterConfig};
    ///
    /// let router = Router::new(RouterConfig::new(1, "east", 7));
    /// assert_eq!(router.counters().requests, 0);
    /// ```
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the state as of the last event.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_route::{Router, RouterConfig};
    ///
    /// let status = Router::new(RouterConfig::new(1, "east", 7)).status();
    /// assert_eq!((status.leased, status.open), (false, 0));
    /// ```
    pub fn status(&self) -> Status {
        Status {
            term: self.group.term,
            index: self.group.index,
            leased: self.leased(),
            until: self.lease.until(),
            bundle: self.bundle.as_ref().map(|b| b.version),
            draining: self.draining,
            open: self.flights.len(),
            waiting: self.waiting,
            targets: self
                .targets
                .values()
                .map(|t| TargetStatus {
                    target: t.info.id,
                    name: t.info.spec.name.clone(),
                    sender: t.sender,
                    in_flight: t.flying.len() as u32,
                    limit: t.limit,
                    queued: t.turns.waiting(),
                    latency: Duration::try_from_secs_f64(t.health.latency(self.now))
                        .unwrap_or_default(),
                    held: t.health.is_held(self.now),
                })
                .collect(),
            queues: self
                .slots
                .iter()
                .filter(|slot| slot.service.as_ref().is_some_and(|s| !s.is_keyed()))
                .flat_map(|slot| {
                    [Side::Old, Side::New].map(|side| QueueStatus {
                        service: slot.name.clone(),
                        side,
                        queued: slot.pool(side).queue.len(),
                        bound: slot.pool(side).bound,
                    })
                })
                .collect(),
        }
    }

    /// Explains where `key` of `service` belongs, as of the last event; none if the bundle in
    /// force has no such service with keys.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_route::{Router, RouterConfig};
    ///
    /// let router = Router::new(RouterConfig::new(1, "east", 7));
    /// assert_eq!(router.explain("berths", "7"), None);
    /// ```
    pub fn explain(&self, service: &str, key: &str) -> Option<Explanation> {
        let slot = *self.names.get(service)?;
        let service = self.slots[slot].service.as_ref()?;
        if !service.is_keyed() {
            return None;
        }
        let index = service.shard_of(key);
        let shard = self.slots[slot].shard(index).filter(|s| s.present);
        let owner = shard.and_then(|s| s.owner);
        let target = owner.and_then(|id| self.targets.get(&id));
        let held = target.is_some_and(|t| t.health.is_held(self.now));
        Some(Explanation {
            shard: ShardRef::new(&service.name, index),
            side: service.side_of(index),
            home: self.slots[slot].home(index).cloned(),
            owner,
            name: target.map(|t| t.info.spec.name.clone()),
            sender: target.and_then(|t| t.sender),
            token: shard.zip(target).map(|(s, t)| s.token.max(t.token)),
            blocked: match self.locate((slot, index)) {
                Place::Here(_) => held.then_some(Blocked::Held),
                Place::Blocked(blocked) => Some(blocked),
                Place::Vm(vm) => Some(Blocked::OtherSender(vm)),
                Place::Domain(domain) => Some(Blocked::Elsewhere(domain)),
            },
        })
    }
}
