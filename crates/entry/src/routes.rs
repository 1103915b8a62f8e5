//! From host and path to a service.

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

/// Routes of a routing, found by host and longest prefix, with the state of their splits.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Box<str>, Vec<Place>>,
    splits: HashMap<RouteName, Vec<f64>>,
}

#[derive(Debug)]
struct Place {
    prefix: Box<str>,
    name: RouteName,
    route: Arc<Route>,
}

impl RouteTable {
    /// Takes a new routing. Splits of routes that stay the same go on where they are.
    pub fn follow(&mut self, routing: &Routing) {
        self.hosts.clear();
        for (name, item) in &routing.routes {
            let host = item.spec.host.to_ascii_lowercase().into_boxed_str();
            self.hosts.entry(host).or_default().push(Place {
                prefix: item.spec.path_prefix.clone(),
                name: name.clone(),
                route: Arc::new(item.spec.clone()),
            });
        }
        for places in self.hosts.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(place.prefix.len()));
        }
        self.splits.retain(|name, credits| {
            let item = routing.routes.get(name);
            item.is_some_and(|item| item.spec.split.len() == credits.len())
        });
    }

    /// Finds the route of a request. `host` may have a port, `path` a query.
    ///
    /// ```
    /// use camphordale_entry::RouteTable;
    ///
    /// assert!(RouteTable::default().find("a.example:80", "/x/?q").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<(&RouteName, &Arc<Route>)> {
        let host = host.split(':').next().unwrap_or(host);
        let places = match self.hosts.get(host) {
            Some(places) => places,
            None => self.hosts.get(&*host.to_ascii_lowercase())?,
        };
        let path = path.split('?').next().unwrap_or(path);
        let place = places
            .iter()
            .find(|place| path.starts_with(&*place.prefix))?;
        Some((&place.name, &place.route))
    }

    /// Picks the service of the next request on a route by smooth weighted round robin, which
    /// keeps each part near its weight even over few requests.
    pub fn pick(&mut self, name: &RouteName, route: &Route) -> Option<ServiceName> {
        if let [part] = &route.split[..] {
            return Some(part.service.clone());
        }
        let parts = route.split.len();
        let credits = self
            .splits
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
