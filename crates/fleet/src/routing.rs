//! Routes, services and limits of callers.

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

/// Name of a route.
pub type RouteName = Box<str>;
/// Name of a service.
pub type ServiceName = Box<str>;
/// Name of a failure domain.
pub type Domain = Box<str>;
/// Version of a routing; versions rise, not always by one.
pub type Version = u64;
/// Digest of a change as the operator sent it.
pub type Digest = [u8; 16];

/// Longest timeout of a route.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// How often the work of a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// Any number of times.
    Idempotent,
    /// At most once for each attempt of a caller.
    AtMostOnce,
}

/// One service of a split and its weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the sum of the weights.
    pub weight: f64,
}

/// Where the requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host, without port.
    pub host: Box<str>,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// How often the work may run.
    pub retry_policy: RetryPolicy,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub latency_objective: Duration,
    /// Rank under overload; 0 is the highest.
    pub priority: u32,
    /// Most targets that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Services and weights.
    pub split: Vec<WeightedService>,
}

/// A service that targets announce themselves for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path of the health check.
    pub health_path: Box<str>,
    /// Most connections that one target takes from all VMs.
    pub max_connections: u32,
    /// Whether each key is served by the one target that holds it.
    pub keyed: bool,
    /// How long keys are slow at a holder that took them without a hand-over.
    pub warm_up: Duration,
}

/// Limits on what a caller may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest head in bytes.
    pub max_head: usize,
    /// Longest body in bytes.
    pub max_body: usize,
    /// Longest time from the first byte of a request to the end of its head.
    pub header_timeout: Duration,
    /// Longest time that a connection stays open without a request.
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

/// A checked entry with the document that it was read from. The document is returned to operators
/// as they sent it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigResource<Spec> {
    /// What the product acts on.
    pub spec: Spec,
    /// The operator's document.
    pub document: Box<str>,
}

/// The routing in force: what a bundle says on the way from a request to a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// Version of the latest change.
    pub version: Version,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, ConfigResource<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ConfigResource<Service>>,
    /// Limits of callers, if an operator set them.
    pub limits: Option<ConfigResource<Limits>>,
}

/// A change of the routing, based on the version that the operator saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change builds on.
    pub base_version: Version,
    /// Version after the change.
    pub version: Version,
    /// Whether entries that the change does not name are dropped.
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
    /// Digest of the operator's bytes, by which a repeated change is recognised.
    pub digest: Digest,
    /// When a control VM received the change, in milliseconds of its clock since 1970.
    pub received_ms: u64,
}

/// Why a routing is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// The version does not rise.
    #[error("version {version} is not above {current}")]
    Version {
        /// Version of the change.
        version: Version,
        /// Version in force.
        current: Version,
    },
    /// A route names a service that is not there.
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
    /// The prefix of a route does not begin and end with a slash.
    #[error("route {route} has the prefix {prefix:?}")]
    Prefix {
        /// The route.
        route: RouteName,
        /// The prefix.
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
    /// A name stands twice in one change.
    #[error("{name} stands twice in the change")]
    Duplicate {
        /// The name.
        name: Box<str>,
    },
}

impl Routing {
    /// Limits of callers.
    pub fn limits(&self) -> Limits {
        match &self.limits {
            Some(item) => item.spec.clone(),
            None => Limits::default(),
        }
    }

    /// Returns the routing after `change`, which must build on this version.
    ///
    /// # Errors
    ///
    /// [`Invalid`] names the first entry that cannot be used.
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
        unique(change.routes.iter().map(|(name, _)| name))?;
        unique(change.services.iter().map(|(name, _)| name))?;
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
        let mut places = BTreeMap::new();
        for (name, item) in &self.routes {
            self.check_route(name, &item.spec)?;
            let place = (&item.spec.host, &item.spec.path_prefix);
            if let Some(first) = places.insert(place, name) {
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

fn unique<'a>(names: impl Iterator<Item = &'a Box<str>>) -> Result<(), Invalid> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(Invalid::Duplicate { name: name.clone() });
        }
    }
    Ok(())
}
