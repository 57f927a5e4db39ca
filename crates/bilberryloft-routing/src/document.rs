//! The routing document, with its routes, services and teams, and its validation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::header_text::HeaderTextFault;
use crate::header_text::check_header_text;

/// Largest priority number; larger numbers are less urgent.
pub const PRIORITY_MAX: u8 = 9;

/// Lower bound for the time that a request adds to a step, in milliseconds, because a document may say 0.
const REQUEST_MS_MIN: f64 = 1e-3;

/// How often a request may run, which decides whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    AtMostOnce,
    /// Answered by a stream of events with ids.
    Stream,
}

/// Share of a route's requests that one service gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other shares.
    pub weight: u64,
}

/// Routing rule for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, used in logs and errors.
    pub name: String,
    /// Host name in the request.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// How often a request may run.
    pub kind: RequestKind,
    /// Longest time until a request is answered, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective for the answer, or for a stream's first event, in milliseconds.
    pub objective_ms: u64,
    /// Objective for the pause between events of a stream, in milliseconds.
    pub gap_objective_ms: Option<u64>,
    /// Priority, from 0 (most urgent) to 9.
    pub priority: u8,
    /// Services among which the requests are split.
    pub shares: Vec<Share>,
    /// Largest number of attempts of one request that ran or may have run.
    pub attempts_max: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Whether an interrupted stream may be resumed at another target.
    pub is_resumable: bool,
}

impl Route {
    /// Returns whether a request may be retried when it is unknown whether it has run.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::AtMostOnce => false,
            RequestKind::Stream => self.is_resumable,
        }
    }
}

/// Experts of a lock-step group of targets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Experts {
    /// Number of layer sets, each with its own expert map.
    pub sets: usize,
    /// Number of experts in a set.
    pub experts: usize,
    /// Largest number of a set's experts that one rank can hold.
    pub slots: usize,
    /// Largest number of a set's experts that one map change may add to a rank.
    pub new_max: usize,
    /// Time for a rank to copy one expert, in milliseconds.
    pub copy_ms: f64,
}

/// Capacity and step times of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one target runs concurrently.
    pub slots: usize,
    /// Time of an engine step without requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub request_ms: f64,
    /// Tokens that one target can hold for all its requests together.
    pub memory_tokens: Option<u64>,
    /// Mean number of tokens of a request, of its prompt and its answer together.
    pub usual_tokens: Option<u64>,
    /// Experts, if the targets form a lock-step group.
    pub experts: Option<Experts>,
}

impl Engine {
    /// Returns the time of a step without requests, in units of the time that one request adds.
    pub fn idle_load(&self) -> f64 {
        self.step_ms / self.request_ms.max(REQUEST_MS_MIN)
    }
}

/// What the targets of a service can handle after they have started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which a target is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// Requests a second that a cold target can handle, from all entries together.
    pub requests_per_s: f64,
}

/// Delay of the network between two data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Distance {
    /// One of the data centres.
    pub from: String,
    /// The other one.
    pub to: String,
    /// Delay one way, in milliseconds.
    pub delay_ms: f64,
}

/// A service, whose targets are interchangeable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Connections that one target accepts in total.
    pub connections_max: usize,
    /// Model engine of the targets; absent for a plain service.
    pub engine: Option<Engine>,
    /// What a cold target can handle; absent if targets are never cold.
    pub cold_start: Option<ColdStart>,
    /// Known delays between data centres.
    pub distances: Vec<Distance>,
}

/// A team and the keys that identify its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamKeys {
    /// Unique name.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest size of a request's head, in bytes.
    pub header_bytes_max: usize,
    /// Largest size of a request's body, in bytes.
    pub body_bytes_max: usize,
    /// Time for which a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Time within which a request's head must arrive, in milliseconds.
    pub header_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            header_bytes_max: 16 << 10,
            body_bytes_max: 4 << 20,
            idle_timeout_ms: 15_000,
            header_timeout_ms: 15_000,
        }
    }
}

/// One version of the routing document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Version number; the document with the highest one is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams; `None` when callers need no keys.
    pub teams: Option<Vec<TeamKeys>>,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
}

/// Reason for which a document is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The document cannot be parsed.
    #[error("the document can't be read: {detail}")]
    Unreadable {
        /// Message of the parser.
        detail: String,
    },
    /// Two services have the same name.
    #[error("services: {service:?} is listed more than once")]
    DuplicateService {
        /// Name of the service.
        service: String,
    },
    /// A route refers to a service that the document does not define.
    #[error("route {route:?}: service {service:?} is not in the document")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes match the same requests.
    #[error("routes {first:?} and {second:?} have the same host and path prefix")]
    DuplicateRoute {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
    },
    /// The weights of a route add up to 0, so that no service gets its requests.
    #[error("route {route:?}: the weights add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// A route has a timeout of 0.
    #[error("route {route:?}: a timeout of 0 is not allowed")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[error("route {route:?}: the path prefix {prefix:?} must begin and end with a slash")]
    BadPrefix {
        /// Name of the route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// No request can name the host of a route.
    #[error("route {route:?}: no request can name the host {host:?}: {fault}")]
    UnsendableHost {
        /// Name of the route.
        route: String,
        /// The host.
        host: String,
        /// Why it can't be sent.
        fault: HeaderTextFault,
    },
    /// No request can have the path prefix of a route.
    #[error(
        "route {route:?}: no request can have the path prefix {prefix:?}, because of {character:?}"
    )]
    UnsendablePrefix {
        /// Name of the route.
        route: String,
        /// The prefix.
        prefix: String,
        /// Character that no path has.
        character: char,
    },
    /// Targets can't be told the name of a team.
    #[error("team {team:?}: targets can't be told this name: {fault}")]
    UnsendableTeam {
        /// Name of the team.
        team: String,
        /// Why it can't be sent.
        fault: HeaderTextFault,
    },
    /// No caller can send a key. The key is a secret, so only its place is named.
    #[error("team {team:?}: no caller can send key {number}: {fault}")]
    UnsendableKey {
        /// Name of the team.
        team: String,
        /// Place of the key among those of the team, from 1.
        number: usize,
        /// Why it can't be sent.
        fault: HeaderTextFault,
    },
    /// Two teams have the same key.
    #[error("teams {first:?} and {second:?} share a key")]
    SharedKey {
        /// Name of the first team.
        first: String,
        /// Name of the second team.
        second: String,
    },
}

impl Document {
    /// Returns the document if it is valid, and otherwise the first error found.
    pub fn checked(self) -> Result<Document, DocumentError> {
        self.check()?;
        Ok(self)
    }

    /// Validates the document; returns the first error found.
    pub fn check(&self) -> Result<(), DocumentError> {
        let mut services = BTreeSet::new();
        for service in &self.services {
            if !services.insert(service.name.as_str()) {
                return Err(DocumentError::DuplicateService { service: service.name.clone() });
            }
        }
        let mut names_by_prefix = BTreeMap::new();
        for route in &self.routes {
            check_route(route, &services)?;
            let prefix = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(first) = names_by_prefix.insert(prefix, &route.name) {
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
    if let Some(character) = prefix.chars().find(|it| is_no_path_character(*it)) {
        let prefix = prefix.clone();
        return Err(DocumentError::UnsendablePrefix { route: name(), prefix, character });
    }
    match check_header_text(&route.host) {
        // Requests of HTTP/1.0 may name no host.
        Ok(()) | Err(HeaderTextFault::Empty) => {}
        Err(fault) => {
            let host = route.host.clone();
            return Err(DocumentError::UnsendableHost { route: name(), host, fault });
        }
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

/// Returns whether a character ends the path of a request, or can't stand in a request's first line.
fn is_no_path_character(character: char) -> bool {
    matches!(character, ' ' | '?' | '#') || character.is_control()
}

fn check_teams(teams: &[TeamKeys]) -> Result<(), DocumentError> {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for team in teams {
        if let Err(fault) = check_header_text(&team.name) {
            return Err(DocumentError::UnsendableTeam { team: team.name.clone(), fault });
        }
        for (idx, key) in team.keys.iter().enumerate() {
            if let Err(fault) = check_header_text(key) {
                let (team, number) = (team.name.clone(), idx + 1);
                return Err(DocumentError::UnsendableKey { team, number, fault });
            }
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
