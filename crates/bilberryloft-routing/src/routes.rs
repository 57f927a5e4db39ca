//! Looks up the route and the team of a request.

use std::collections::BTreeMap;

use crate::document::Document;
use crate::document::Limits;
use crate::document::Route;
use crate::document::Service;
use crate::document::TeamKeys;

/// Index of a route in a [`RouteTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey(usize);

/// A routing document, indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: Option<u64>,
    routes: Vec<Route>,
    routes_by_host: BTreeMap<String, BTreeMap<String, RouteKey>>,
    services: BTreeMap<String, Service>,
    teams: Option<Vec<TeamKeys>>,
    team_of_key: BTreeMap<String, usize>,
    limits: Limits,
}

/// Identity of a caller, as determined by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller<'a> {
    /// Callers need no key.
    Anonymous,
    /// The key belongs to this team.
    Team(&'a TeamKeys),
    /// The key is missing or belongs to no team.
    Unknown,
}

impl RouteTable {
    /// Builds the table of a document that has passed [`Document::check`].
    pub fn new(document: Document) -> RouteTable {
        let mut routes_by_host: BTreeMap<String, BTreeMap<String, RouteKey>> = BTreeMap::new();
        for (idx, route) in document.routes.iter().enumerate() {
            let host = routes_by_host.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.path_prefix.clone(), RouteKey(idx));
        }
        let mut team_of_key = BTreeMap::new();
        for (idx, team) in document.teams.iter().flatten().enumerate() {
            for key in &team.keys {
                team_of_key.insert(key.clone(), idx);
            }
        }
        let services = document.services.into_iter().map(|it| (it.name.clone(), it)).collect();
        RouteTable {
            version: Some(document.version),
            routes: document.routes,
            routes_by_host,
            services,
            teams: document.teams,
            team_of_key,
            limits: document.limits,
        }
    }

    /// Returns the version of the document; `None` for the empty table before the first one.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Iterates over the routes that send requests to a service.
    pub fn routes_to<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Route> {
        self.routes.iter().filter(move |it| {
            it.shares.iter().any(|share| share.service == service && share.weight > 0)
        })
    }

    /// Returns the host's route with the longest prefix of the path; a port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let prefixes = self.routes_by_host.get(&host.to_ascii_lowercase())?;
        let slash_positions =
            path.bytes().enumerate().rev().filter(|(_, it)| *it == b'/').map(|(idx, _)| idx);
        let key = slash_positions.into_iter().find_map(|idx| prefixes.get(&path[..=idx]))?;
        self.routes.get(key.0)
    }

    /// Identifies a caller by its key.
    pub fn caller(&self, key: Option<&str>) -> Caller<'_> {
        let Some(teams) = &self.teams else {
            return Caller::Anonymous;
        };
        let team = key.and_then(|it| self.team_of_key.get(it)).and_then(|idx| teams.get(*idx));
        team.map_or(Caller::Unknown, Caller::Team)
    }
}

/// Picks a service of a route with a probability proportional to its weight; `draw` is uniform in 0..1.
pub fn pick_share(route: &Route, draw: f64) -> Option<&str> {
    // The sum of a few weights of 64 bits needs more.
    let total: u128 = route.shares.iter().map(|it| u128::from(it.weight)).sum();
    let mut left = (draw * total as f64) as u128;
    for share in &route.shares {
        let weight = u128::from(share.weight);
        if left < weight {
            return Some(&share.service);
        }
        left -= weight;
    }
    // `f64` may round the draw up to the sum.
    route.shares.iter().rev().find(|it| it.weight > 0).map(|it| it.service.as_str())
}
