//! The document of routes, services and teams, and what makes one invalid.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

/// Largest priority number, the least urgent.
pub const PRIORITY_MAX: u8 = 9;

/// Least time that a running request adds to a step, in milliseconds: a document may say 0.
const REQUEST_MS_MIN: f64 = 1e-3;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    AtMostOnce,
    /// Answered by a stream of numbered events.
    Stream,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight against the route's other shares.
    pub weight: u64,
}

/// Where requests of one host and path go, and what they may do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time for which a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Objective for the answer, or for a stream's first event, in milliseconds.
    pub objective_ms: u64,
    /// Objective for the pause between events of a stream, in milliseconds.
    pub gap_objective_ms: Option<u64>,
    /// Class of urgency, 0 is most urgent.
    pub priority: u8,
    /// Services that share the requests.
    pub shares: Vec<Share>,
    /// Targets to which one attempt of a caller may be sent.
    pub attempts_max: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether a stream may go on at another target.
    pub is_resumable: bool,
}

impl Route {
    /// Whether a request may run again when it is unknown whether it has run.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::AtMostOnce => false,
            RequestKind::Stream => self.is_resumable,
        }
    }
}

/// Experts of a group of targets that run in lock-step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Experts {
    /// Sets of layers, each with a map of its own.
    pub sets: usize,
    /// Experts of a set.
    pub experts: usize,
    /// Experts that one rank holds of a set, at most.
    pub slots: usize,
    /// Experts of a set that one change may bring to a rank, at most.
    pub new_max: usize,
    /// Time for a rank to copy one expert, in milliseconds.
    pub copy_ms: f64,
}

/// What a step of an engine costs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run side by side on one target.
    pub slots: usize,
    /// Time of an empty step in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub request_ms: f64,
    /// Experts, where the targets form a lock-step group.
    pub experts: Option<Experts>,
}

impl Engine {
    /// Time of an empty step, counted in running requests.
    pub fn idle_load(&self) -> f64 {
        self.step_ms / self.request_ms.max(REQUEST_MS_MIN)
    }
}

/// A kind of target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Connections that one target takes from all callers together.
    pub connections_max: usize,
    /// What a model engine's steps cost; absent for a plain service.
    pub engine: Option<Engine>,
}

/// A team and the keys that name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamKeys {
    /// Unique name.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Class of urgency in place of the route's.
    pub priority: Option<u8>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes_max: usize,
    /// Bytes of a request's body.
    pub body_bytes_max: usize,
    /// Time for which a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { header_bytes_max: 16 << 10, body_bytes_max: 4 << 20, idle_timeout_ms: 15_000 }
    }
}

/// One version of all routes, services and teams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Version; the highest is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams; `None` when callers need no keys.
    pub teams: Option<Vec<TeamKeys>>,
    /// What a caller may send.
    pub limits: Limits,
}

/// Why a document is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// It cannot be read in full.
    #[error("the document can't be read: {detail}")]
    Unreadable {
        /// What the parser said.
        detail: String,
    },
    /// A service has two entries.
    #[error("services: {service:?} stands twice")]
    DuplicateService {
        /// Name of the service.
        service: String,
    },
    /// A route names a service that the document lacks.
    #[error("route {route:?}: service {service:?} is not in the document")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes take the same requests.
    #[error("routes {first:?} and {second:?} have the same host and path prefix")]
    DuplicateRoute {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
    },
    /// No service gets any of a route's requests.
    #[error("route {route:?}: the weights add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// A route lets no request wait.
    #[error("route {route:?}: a timeout of 0 is not allowed")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A prefix lacks a slash.
    #[error("route {route:?}: the path prefix {prefix:?} must begin and end with a slash")]
    BadPrefix {
        /// Name of the route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// A key names two teams.
    #[error("teams {first:?} and {second:?} share a key")]
    SharedKey {
        /// Name of the first team.
        first: String,
        /// Name of the second team.
        second: String,
    },
}

impl Document {
    /// Checks everything that can be told from the document alone.
    pub fn check(&self) -> Result<(), DocumentError> {
        let mut services = BTreeSet::new();
        for service in &self.services {
            if !services.insert(service.name.as_str()) {
                return Err(DocumentError::DuplicateService { service: service.name.clone() });
            }
        }
        let mut places = BTreeMap::new();
        for route in &self.routes {
            check_route(route, &services)?;
            let place = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(first) = places.insert(place, &route.name) {
                let second = route.name.clone();
                return Err(DocumentError::DuplicateRoute { first: first.clone(), second });
            }
        }
        check_teams(self.teams.as_deref().unwrap_or_default())
    }
}

fn check_route(route: &Route, services: &BTreeSet<&str>) -> Result<(), DocumentError> {
    let name = || route.name.clone();
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(DocumentError::BadPrefix { route: name(), prefix: prefix.clone() });
    }
    if let Some(share) = route.shares.iter().find(|it| !services.contains(it.service.as_str())) {
        let service = share.service.clone();
        return Err(DocumentError::UnknownService { route: name(), service });
    }
    if route.shares.iter().all(|it| it.weight == 0) {
        return Err(DocumentError::ZeroWeight { route: name() });
    }
    if route.timeout_ms == 0 {
        return Err(DocumentError::ZeroTimeout { route: name() });
    }
    Ok(())
}

fn check_teams(teams: &[TeamKeys]) -> Result<(), DocumentError> {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for team in teams {
        for key in &team.keys {
            let Some(first) = owners.insert(key, &team.name) else {
                continue;
            };
            if first != team.name {
                let (first, second) = (first.to_string(), team.name.clone());
                return Err(DocumentError::SharedKey { first, second });
            }
        }
    }
    Ok(())
}
