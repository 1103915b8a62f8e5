//! Status, counters and explanations of routing decisions.

use std::{collections::HashMap, time::Duration};

use camphordale_types::{DomainName, Refusal, ShardRef, Side, TargetId, TargetName, Token, VmId};

use crate::{Router, keyed::Destination};

/// Event counts since the router started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests with a response of a target, sent by this VM or another.
    pub responses: u64,
    /// Requests with a response from an idempotency record.
    pub replayed: u64,
    /// Forwarded requests that were redirected to another VM.
    pub redirected: u64,
    /// Requests whose caller disconnected before they were sent.
    pub cancelled: u64,
    /// Requests written to a target.
    pub written: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Forwards to other VMs.
    pub forwards: u64,
    /// Probes of targets.
    pub probes: u64,
    /// Failed probes reported to the domain leader.
    pub suspects: u64,
    /// Refused requests by reason.
    pub refused: HashMap<Refusal, u64>,
}

/// State of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Term of the domain group; `None` before the first view.
    pub term: Option<u64>,
    /// Index of the view.
    pub view_index: u64,
    /// Whether this VM holds a valid lease and a view that satisfies it.
    pub leased: bool,
    /// Time at which the lease expires.
    pub lease_expiry: Duration,
    /// Version of the bundle in force.
    pub bundle: Option<u64>,
    /// Whether the VM is shutting down.
    pub draining: bool,
    /// Requests that have not completed.
    pub in_flight: usize,
    /// Requests in queues.
    pub queued: usize,
    /// Targets of this VM's domain, by id.
    pub targets: Vec<TargetStatus>,
    /// Queues of unkeyed services.
    pub queues: Vec<QueueStatus>,
}

/// State of one target on this VM.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    /// The target.
    pub target: TargetId,
    /// Name of the target.
    pub name: TargetName,
    /// The VM that sends keyed requests to it.
    pub sender: Option<VmId>,
    /// Requests that this VM has in flight at the target.
    pub in_flight: u32,
    /// Upper bound of requests that this VM may have in flight at the target.
    pub limit: u32,
    /// Keyed requests that are queued for the target.
    pub queued: usize,
    /// Expected latency of a request.
    pub latency: Duration,
    /// Whether new requests are not sent for now, after failures.
    pub backing_off: bool,
}

/// Queue of one side of an unkeyed service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueStatus {
    /// The service.
    pub service: Box<str>,
    /// The side.
    pub side: Side,
    /// Requests in the queue.
    pub queued: usize,
    /// Upper bound of requests in the queue.
    pub limit: usize,
}

/// The shard, home and owner of a key, and whether this VM would send a request for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Shard of the key.
    pub shard: ShardRef,
    /// Side of the traffic split, old or new system, that the shard belongs to.
    pub side: Side,
    /// Home domain of the shard, if the directory has one.
    pub home: Option<DomainName>,
    /// Owner of the shard, if the shard is homed in this domain and has one.
    pub owner: Option<TargetId>,
    /// Name of the owner.
    pub owner_name: Option<TargetName>,
    /// The VM that sends keyed requests to the owner.
    pub sender: Option<VmId>,
    /// The fencing token that a request would carry.
    pub token: Option<Token>,
    /// Why this VM would not send the request; `None` if it would.
    pub blocked: Option<BlockReason>,
}

/// Why a VM does not send a request for a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockReason {
    /// The shard is homed in another domain.
    #[error("the shard is homed in domain {0}")]
    OtherDomain(DomainName),
    /// The shard has no owner here.
    #[error("the shard has no owner")]
    NoOwner,
    /// The shard is being released.
    #[error("the shard is being released")]
    Releasing,
    /// The lease of the owner has expired.
    #[error("the owner is lost")]
    OwnerLost,
    /// No VM may send to the owner.
    #[error("the owner has no sender")]
    NoSender,
    /// Another VM sends to the owner.
    #[error("VM {0} is the sender of the owner")]
    OtherSender(VmId),
    /// This VM holds no valid lease, or its view does not satisfy the lease.
    #[error("this VM holds no valid lease")]
    NoLease,
    /// The domain group has another bundle in force, which may map keys to other shards.
    #[error("the domain group has another bundle in force than this VM")]
    BundleMismatch,
    /// The domain has been cut off from the control group for longer than the domain lease.
    #[error("the domain lease of the service has run out")]
    DomainLease,
    /// The domain is under evacuation and has had time to release the shard.
    #[error("the domain is under evacuation")]
    Evacuated,
    /// New requests to the owner are not sent for now, after failures.
    #[error("requests to the owner are held back after failures")]
    BackingOff,
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
    /// assert_eq!((status.leased, status.in_flight), (false, 0));
    /// ```
    pub fn status(&self) -> Status {
        Status {
            term: self.group.term,
            view_index: self.group.view_index,
            leased: self.has_lease(),
            lease_expiry: self.lease.expiry(),
            bundle: self.bundle.as_ref().map(|b| b.version),
            draining: self.draining,
            in_flight: self.requests.len(),
            queued: self.queued,
            targets: self
                .targets
                .values()
                .map(|t| TargetStatus {
                    target: t.info.id,
                    name: t.info.spec.name.clone(),
                    sender: t.sender,
                    in_flight: t.in_flight.len() as u32,
                    limit: t.limit,
                    queued: t.round_robin.queued(),
                    latency: Duration::try_from_secs_f64(t.health.latency(self.now))
                        .unwrap_or_default(),
                    backing_off: t.health.is_backing_off(self.now),
                })
                .collect(),
            queues: self
                .services
                .iter()
                .filter(|state| state.service.as_ref().is_some_and(|s| !s.is_keyed()))
                .flat_map(|state| {
                    [Side::Old, Side::New].map(|side| QueueStatus {
                        service: state.name.clone(),
                        side,
                        queued: state.pool(side).queue.len(),
                        limit: state.pool(side).max_queued,
                    })
                })
                .collect(),
        }
    }

    /// Explains how a request for `key` of `service` is routed, as of the last event; `None` if the
    /// bundle in force has no keyed service of this name.
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
        let service_index = *self.service_indices.get(service)?;
        let service = self.services[service_index].service.as_ref()?;
        if !service.is_keyed() {
            return None;
        }
        let index = service.shard_of(key);
        let shard = self.services[service_index]
            .shard(index)
            .filter(|s| s.homed_here);
        let owner = shard.and_then(|s| s.owner);
        let target = owner.and_then(|id| self.targets.get(&id));
        let held = target.is_some_and(|t| t.health.is_backing_off(self.now));
        Some(Explanation {
            shard: ShardRef::new(&service.name, index),
            side: service.side_of(index),
            home: self.services[service_index].home(index).cloned(),
            owner,
            owner_name: target.map(|t| t.info.spec.name.clone()),
            sender: target.and_then(|t| t.sender),
            token: shard.zip(target).map(|(s, t)| s.token.max(t.token)),
            blocked: match self.destination((service_index, index)) {
                Destination::Target(_) => held.then_some(BlockReason::BackingOff),
                Destination::Blocked(blocked) => Some(blocked),
                Destination::Vm(vm) => Some(BlockReason::OtherSender(vm)),
                Destination::Domain(domain) => Some(BlockReason::OtherDomain(domain)),
            },
        })
    }
}
