//! Routes, services and limits for callers.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::request_limits::RequestRate;

/// Name of a route.
pub type RouteName = Box<str>;
/// Name of a service.
pub type ServiceName = Box<str>;
/// Name of a failure domain.
pub type Domain = Box<str>;
/// Version of a routing. Versions increase, not always by one.
pub type Version = u64;
/// Digest of a change as the operator submitted it.
pub type Digest = [u8; 16];

/// Maximum timeout of a route.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// Any number of times.
    Idempotent,
    /// At most once per attempt of the caller.
    AtMostOnce,
}

/// A service and its weight in a traffic split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Weight, relative to the sum of the weights.
    pub weight: f64,
}

/// Routing of the requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredRoute", into = "StoredRoute")]
pub struct Route {
    /// Host name, without port.
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// How often a request may be executed.
    pub retry_policy: RetryPolicy,
    /// Whether requests have large bodies.
    pub large_bodies: bool,
    /// Time limit for the final response.
    pub timeout: Duration,
    /// Latency up to which a response has its full value.
    pub latency_objective: Duration,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
    /// Maximum number of targets that a request is sent to.
    pub max_attempts: u32,
    /// Traffic split over services.
    pub split: Vec<WeightedService>,
}

/// Encoding of a [`Route`]. That of a route without large bodies is the one of versions that did not
/// know of any.
#[derive(Serialize, Deserialize)]
struct StoredRoute {
    host: Box<str>,
    path_prefix: Box<str>,
    requests: StoredRequests,
    timeout: Duration,
    latency_objective: Duration,
    priority: u32,
    max_attempts: u32,
    split: Vec<WeightedService>,
}

/// [`RetryPolicy`], and whether bodies are large.
#[derive(Serialize, Deserialize)]
enum StoredRequests {
    Idempotent,
    AtMostOnce,
    Large(RetryPolicy),
}

impl From<Route> for StoredRoute {
    fn from(route: Route) -> StoredRoute {
        let requests = match (route.large_bodies, route.retry_policy) {
            (true, policy) => StoredRequests::Large(policy),
            (false, RetryPolicy::Idempotent) => StoredRequests::Idempotent,
            (false, RetryPolicy::AtMostOnce) => StoredRequests::AtMostOnce,
        };
        StoredRoute {
            host: route.host,
            path_prefix: route.path_prefix,
            requests,
            timeout: route.timeout,
            latency_objective: route.latency_objective,
            priority: route.priority,
            max_attempts: route.max_attempts,
            split: route.split,
        }
    }
}

impl From<StoredRoute> for Route {
    fn from(stored: StoredRoute) -> Route {
        let (large_bodies, retry_policy) = match stored.requests {
            StoredRequests::Idempotent => (false, RetryPolicy::Idempotent),
            StoredRequests::AtMostOnce => (false, RetryPolicy::AtMostOnce),
            StoredRequests::Large(policy) => (true, policy),
        };
        Route {
            host: stored.host,
            path_prefix: stored.path_prefix,
            retry_policy,
            large_bodies,
            timeout: stored.timeout,
            latency_objective: stored.latency_objective,
            priority: stored.priority,
            max_attempts: stored.max_attempts,
            split: stored.split,
        }
    }
}

/// How the targets of a service get the leases of the keys that they hold.
///
/// The first two variants have the `postcard` encodings of `false` and `true`, which older versions
/// stored in this place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyDelivery {
    /// The service is not divided by key.
    #[default]
    Unkeyed,
    /// The leader calls the target to grant and release keys.
    Call,
    /// The target gets all its leases in the answer to each of its announcements.
    Heartbeat,
}

impl KeyDelivery {
    /// Whether the service is divided by key.
    ///
    /// ```
    /// use camphordale_fleet::KeyDelivery;
    ///
    /// assert!(KeyDelivery::Heartbeat.is_keyed());
    /// assert!(!KeyDelivery::Unkeyed.is_keyed());
    /// ```
    pub fn is_keyed(self) -> bool {
        self != KeyDelivery::Unkeyed
    }
}

/// What the targets of a service bear while they are cold, after a start during traffic or after a
/// time without requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// How long a target stays cold.
    pub time: Duration,
    /// Requests per second that a cold target takes from all entry VMs together.
    pub rate: RequestRate,
}

/// A service whose targets register themselves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredService", into = "StoredService")]
pub struct Service {
    /// Path of the health check.
    pub health_path: Box<str>,
    /// Maximum number of connections that one target accepts from all VMs.
    pub max_connections: u32,
    /// Whether each key is served by one target only, the holder of the key, and how the holder
    /// gets its lease.
    pub keys: KeyDelivery,
    /// How long keys are slow at a holder that received them without handover data.
    pub warm_up: Duration,
    /// What cold targets bear, if the service states it.
    pub cold: Option<WarmUp>,
}

/// Encoding of a [`Service`]. That of a service without a warm-up rate is the one of versions that
/// did not know of any.
#[derive(Serialize, Deserialize)]
struct StoredService {
    health_path: Box<str>,
    max_connections: u32,
    keys: StoredKeys,
    warm_up: Duration,
}

/// [`KeyDelivery`], and the warm-up rate if there is one.
#[derive(Serialize, Deserialize)]
enum StoredKeys {
    Unkeyed,
    Call,
    Heartbeat,
    Cold(KeyDelivery, WarmUp),
}

impl From<Service> for StoredService {
    fn from(service: Service) -> StoredService {
        let keys = match (service.cold, service.keys) {
            (Some(cold), keys) => StoredKeys::Cold(keys, cold),
            (None, KeyDelivery::Unkeyed) => StoredKeys::Unkeyed,
            (None, KeyDelivery::Call) => StoredKeys::Call,
            (None, KeyDelivery::Heartbeat) => StoredKeys::Heartbeat,
        };
        StoredService {
            health_path: service.health_path,
            max_connections: service.max_connections,
            keys,
            warm_up: service.warm_up,
        }
    }
}

impl From<StoredService> for Service {
    fn from(stored: StoredService) -> Service {
        let (keys, cold) = match stored.keys {
            StoredKeys::Unkeyed => (KeyDelivery::Unkeyed, None),
            StoredKeys::Call => (KeyDelivery::Call, None),
            StoredKeys::Heartbeat => (KeyDelivery::Heartbeat, None),
            StoredKeys::Cold(keys, cold) => (keys, Some(cold)),
        };
        Service {
            health_path: stored.health_path,
            max_connections: stored.max_connections,
            keys,
            warm_up: stored.warm_up,
            cold,
        }
    }
}

/// Limits for callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub max_head: usize,
    /// Maximum size of a request body in bytes.
    pub max_body: usize,
    /// Time limit from the first byte of a request to the end of its head.
    pub header_timeout: Duration,
    /// Time limit for an idle connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_head: 16 << 10,
            max_body: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A validated routing resource with the document that it was parsed from. Operators get the
/// document back as they submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigResource<Spec> {
    /// The parsed specification.
    pub spec: Spec,
    /// The operator's document.
    pub document: Box<str>,
}

/// The routing in force: how a request reaches a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// Version of the latest change.
    pub version: Version,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, ConfigResource<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ConfigResource<Service>>,
    /// Limits for callers, if an operator set them.
    pub limits: Option<ConfigResource<Limits>>,
}

/// A change of the routing, based on the version that the operator saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change is based on.
    pub base_version: Version,
    /// Version after the change.
    pub version: Version,
    /// Whether routes, services and limits that the change does not name are removed.
    pub replace_all: bool,
    /// Routes to add or replace.
    pub routes: Vec<(RouteName, ConfigResource<Route>)>,
    /// Services to add or replace.
    pub services: Vec<(ServiceName, ConfigResource<Service>)>,
    /// New limits.
    pub limits: Option<ConfigResource<Limits>>,
    /// Routes to remove.
    pub removed_routes: Vec<RouteName>,
    /// Services to remove.
    pub removed_services: Vec<ServiceName>,
    /// Digest of the operator's request, by which a repeated change is recognized.
    pub digest: Digest,
    /// When a control VM received the change, in milliseconds since 1970 by its clock.
    pub received_ms: u64,
}

impl Change {
    /// Returns the change without what `routing` has already. Applied to `routing`, both have the
    /// same result, so the cost of a complete routing follows what it changes.
    ///
    /// A change that is based on another version stays as it is, and so does a complete routing that
    /// removes the limits, which a difference cannot express.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_fleet::{Change, Routing};
    ///
    /// let change = Change {
    ///     base_version: 3,
    ///     version: 4,
    ///     replace_all: true,
    ///     routes: Vec::new(),
    ///     services: Vec::new(),
    ///     limits: None,
    ///     removed_routes: Vec::new(),
    ///     removed_services: Vec::new(),
    ///     digest: [0; 16],
    ///     received_ms: 0,
    /// };
    /// let routing = Routing { version: 3, ..Routing::default() };
    /// let difference = change.clone().relative_to(&routing);
    /// assert!(!difference.replace_all);
    /// assert_eq!(routing.with_change(&difference), routing.with_change(&change));
    /// ```
    pub fn relative_to(mut self, routing: &Routing) -> Change {
        let removes_limits = self.replace_all && self.limits.is_none() && routing.limits.is_some();
        if self.base_version != routing.version || removes_limits {
            return self;
        }
        if self.replace_all {
            self.replace_all = false;
            self.removed_routes = missing_names(&routing.routes, &self.routes);
            self.removed_services = missing_names(&routing.services, &self.services);
        }
        let removed = &self.removed_routes;
        self.routes.retain(|(name, item)| {
            routing.routes.get(name) != Some(item) || removed.contains(name)
        });
        let removed = &self.removed_services;
        self.services.retain(|(name, item)| {
            routing.services.get(name) != Some(item) || removed.contains(name)
        });
        if self.limits == routing.limits {
            self.limits = None;
        }
        self
    }

    /// Returns the change without its content. Once the change is accepted, it is recognized as the
    /// same by its digest.
    pub(crate) fn without_content(self) -> Change {
        Change {
            replace_all: false,
            routes: Vec::new(),
            services: Vec::new(),
            limits: None,
            removed_routes: Vec::new(),
            removed_services: Vec::new(),
            ..self
        }
    }
}

/// Names in `known` that are not in `kept`.
fn missing_names<Item>(
    known: &BTreeMap<Box<str>, Item>,
    kept: &[(Box<str>, Item)],
) -> Vec<Box<str>> {
    let kept: BTreeSet<&str> = kept.iter().map(|(name, _)| &**name).collect();
    let names = known.keys();
    names
        .filter(|name| !kept.contains(&***name))
        .cloned()
        .collect()
}

/// Why a routing is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// The version is not above the current one.
    #[error("version {version} is not above {current}")]
    Version {
        /// Version of the change.
        version: Version,
        /// Version in force.
        current: Version,
    },
    /// A route names an unknown service.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// The weights of a route are negative, not finite, or add up to 0.
    #[error("route {route} has unusable weights")]
    Weights {
        /// The route.
        route: RouteName,
    },
    /// The timeout of a route is 0 or too long.
    #[error("route {route} has a timeout of {millis} ms")]
    Timeout {
        /// The route.
        route: RouteName,
        /// The timeout in milliseconds.
        millis: u128,
    },
    /// The path prefix of a route does not begin with a slash.
    #[error("route {route} has the prefix {prefix:?}")]
    Prefix {
        /// The route.
        route: RouteName,
        /// The path prefix.
        prefix: Box<str>,
    },
    /// A route has no host.
    #[error("route {route} has no host")]
    Host {
        /// The route.
        route: RouteName,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    SamePlace {
        /// One route.
        first: RouteName,
        /// The other route.
        second: RouteName,
    },
    /// A name occurs twice in one change.
    #[error("{name} stands twice in the change")]
    Duplicate {
        /// The name.
        name: Box<str>,
    },
}

impl Routing {
    /// Limits for callers, or their defaults.
    pub fn limits(&self) -> Limits {
        match &self.limits {
            Some(item) => item.spec.clone(),
            None => Limits::default(),
        }
    }

    /// Whether a badly chosen target costs much: some targets bear only a limited rate while they are
    /// cold, or some requests have large bodies. Entry VMs then share what they know of the load of
    /// targets, and urgent requests go first. Other deployments are spared the exchange.
    ///
    /// ```
    /// assert!(!camphordale_fleet::Routing::default().is_contended());
    /// ```
    pub fn is_contended(&self) -> bool {
        let has_cold = self.services.values().any(|s| s.spec.cold.is_some());
        has_cold || self.routes.values().any(|r| r.spec.large_bodies)
    }

    /// Returns the routing after `change`, which must be based on this version.
    ///
    /// # Errors
    ///
    /// [`Invalid`] names the first route, service or version that cannot be used.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_fleet::{Change, Invalid, Routing};
    ///
    /// let change = Change {
    ///     base_version: 0,
    ///     version: 0,
    ///     replace_all: true,
    ///     routes: Vec::new(),
    ///     services: Vec::new(),
    ///     limits: None,
    ///     removed_routes: Vec::new(),
    ///     removed_services: Vec::new(),
    ///     digest: [0; 16],
    ///     received_ms: 0,
    /// };
    /// let refused = Routing::default().with_change(&change);
    /// assert_eq!(refused, Err(Invalid::Version { version: 0, current: 0 }));
    /// ```
    pub fn with_change(&self, change: &Change) -> Result<Routing, Invalid> {
        if change.version <= self.version {
            return Err(Invalid::Version {
                version: change.version,
                current: self.version,
            });
        }
        check_unique(change.routes.iter().map(|(name, _)| name))?;
        check_unique(change.services.iter().map(|(name, _)| name))?;
        let mut next = if change.replace_all {
            Routing::default()
        } else {
            self.clone()
        };
        next.version = change.version;
        for name in &change.removed_routes {
            next.routes.remove(name);
        }
        for name in &change.removed_services {
            next.services.remove(name);
        }
        next.routes.extend(change.routes.iter().cloned());
        next.services.extend(change.services.iter().cloned());
        if change.limits.is_some() {
            next.limits.clone_from(&change.limits);
        }
        next.check()?;
        Ok(next)
    }

    fn check(&self) -> Result<(), Invalid> {
        let mut routes_by_match = BTreeMap::new();
        for (name, item) in &self.routes {
            self.check_route(name, &item.spec)?;
            let host_and_prefix = (&item.spec.host, &item.spec.path_prefix);
            if let Some(first) = routes_by_match.insert(host_and_prefix, name) {
                return Err(Invalid::SamePlace {
                    first: first.clone(),
                    second: name.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_route(&self, name: &RouteName, route: &Route) -> Result<(), Invalid> {
        if route.host.is_empty() {
            return Err(Invalid::Host {
                route: name.clone(),
            });
        }
        if !route.path_prefix.starts_with('/') {
            return Err(Invalid::Prefix {
                route: name.clone(),
                prefix: route.path_prefix.clone(),
            });
        }
        if route.timeout.is_zero() || route.timeout > MAX_TIMEOUT {
            return Err(Invalid::Timeout {
                route: name.clone(),
                millis: route.timeout.as_millis(),
            });
        }
        let usable = |part: &WeightedService| part.weight.is_finite() && part.weight >= 0.0;
        let sum: f64 = route.split.iter().map(|part| part.weight).sum();
        if !route.split.iter().all(usable) || sum <= 0.0 {
            return Err(Invalid::Weights {
                route: name.clone(),
            });
        }
        for part in &route.split {
            if !self.services.contains_key(&part.service) {
                return Err(Invalid::UnknownService {
                    route: name.clone(),
                    service: part.service.clone(),
                });
            }
        }
        Ok(())
    }
}

fn check_unique<'a>(names: impl Iterator<Item = &'a Box<str>>) -> Result<(), Invalid> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(Invalid::Duplicate { name: name.clone() });
        }
    }
    Ok(())
}
