//! Matching of host and path to a service.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use camphordale_fleet::{
    Route,
    RouteName,
    Routing,
    ServiceName, //
};

use crate::admission::{
    Urgency,
    UrgencyTable, //
};

/// Routes of a routing by host and longest path prefix, with the state of their traffic splits.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Box<str>, Vec<RouteEntry>>,
    split_credits: HashMap<RouteName, Vec<f64>>,
    is_contended: bool,
    urgencies: UrgencyTable,
}

#[derive(Debug)]
struct RouteEntry {
    prefix: Box<str>,
    name: RouteName,
    route: Arc<Route>,
}

impl RouteTable {
    /// Adopts a new routing. Splits of unchanged routes keep their state.
    pub fn sync(&mut self, routing: &Routing) {
        self.is_contended = routing.is_contended();
        self.urgencies = match self.is_contended {
            true => UrgencyTable::new(routing),
            false => UrgencyTable::default(),
        };
        self.hosts.clear();
        for (name, item) in &routing.routes {
            let host = item.spec.host.to_ascii_lowercase().into_boxed_str();
            self.hosts.entry(host).or_default().push(RouteEntry {
                prefix: item.spec.path_prefix.clone(),
                name: name.clone(),
                route: Arc::new(item.spec.clone()),
            });
        }
        for entries in self.hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.prefix.len()));
        }
        self.split_credits.retain(|name, credits| {
            let item = routing.routes.get(name);
            item.is_some_and(|item| item.spec.split.len() == credits.len())
        });
    }

    /// Whether a badly chosen target costs much in this routing ([`Routing::is_contended`]).
    ///
    /// ```
    /// assert!(!camphordale_entry::RouteTable::default().is_contended());
    /// ```
    pub fn is_contended(&self) -> bool {
        self.is_contended
    }

    /// Urgency of a route among the routes of a service.
    pub(crate) fn urgency(&self, service: &str, route: &Route) -> Urgency {
        self.urgencies
            .find(service, route.priority, route.latency_objective)
    }

    /// Finds the route of a request. `host` may include a port, `path` a query.
    ///
    /// ```
    /// use camphordale_entry::RouteTable;
    ///
    /// assert!(RouteTable::default().find("a.example:80", "/x/?q").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<(&RouteName, &Arc<Route>)> {
        let host = host.split(':').next().unwrap_or(host);
        let entries = match self.hosts.get(host) {
            Some(entries) => entries,
            None => self.hosts.get(&*host.to_ascii_lowercase())?,
        };
        let path = path.split('?').next().unwrap_or(path);
        let entry = entries
            .iter()
            .find(|entry| path.starts_with(&*entry.prefix))?;
        Some((&entry.name, &entry.route))
    }

    /// Selects the service of the next request on a route by smooth weighted round robin, which
    /// keeps each service near its weight even over few requests.
    pub fn pick(&mut self, name: &RouteName, route: &Route) -> Option<ServiceName> {
        if let [part] = &route.split[..] {
            return Some(part.service.clone());
        }
        let parts = route.split.len();
        let credits = self
            .split_credits
            .entry(name.clone())
            .or_insert_with(|| vec![0.0; parts]);
        let sum: f64 = route.split.iter().map(|part| part.weight).sum();
        for (credit, part) in credits.iter_mut().zip(&route.split) {
            *credit += part.weight;
        }
        let weighted = |at: &usize| route.split[*at].weight > 0.0;
        let best = (0..parts)
            .filter(weighted)
            .max_by(|a, b| credits[*a].total_cmp(&credits[*b]))?;
        credits[best] -= sum;
        Some(route.split[best].service.clone())
    }
}
