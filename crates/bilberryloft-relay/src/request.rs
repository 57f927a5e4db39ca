//! Reads a caller's request completely and checks it against the routing document.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_routing::document::PRIORITY_MAX;
use bilberryloft_routing::document::Route;
use bilberryloft_routing::document::TeamKeys;
use bilberryloft_routing::header_text::check_header_text;
use bilberryloft_routing::routes::Caller;
use bilberryloft_routing::routes::RouteTable;
use bilberryloft_routing::routes::pick_share;
use bilberryloft_state::key::digest;
use bilberryloft_transport::account::Holder;
use bilberryloft_transport::account::Purpose;
use bilberryloft_transport::account::Reservation;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request::Parts;
use tokio::time::Instant;

use crate::answer::Refusal;
use crate::dialect::Dialect;
use crate::dialect::HeaderNames;
use crate::dialect::TokenCounts;
use crate::headers;
use crate::memory::body::BodyLimits;
use crate::memory::body::ROOM_TIMEOUT;
use crate::memory::caller_connection::CallerConnection;
use crate::memory::report::BodyFault;
use crate::prompt_part::PromptPart;
use crate::prompt_part::shared_parts;
use crate::state::RelayState;

/// Smallest remaining time that is sent to a target, in milliseconds.
const TIME_LEFT_MIN_MS: u64 = 1;

/// A request that may be sent to a target.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// Connection on which the request arrived.
    pub caller: Arc<CallerConnection>,
    /// Caller's id of the attempt; empty if the caller sent none.
    pub id: String,
    /// Time at which the head was read.
    pub arrived: Instant,
    /// Deadline for the final answer.
    pub deadline: Instant,
    /// Route that matches the request.
    pub route: Route,
    /// Service to which the request is sent.
    pub service: String,
    /// Name of the caller's team, if it has one.
    pub team: Option<String>,
    /// Priority, from 0 (most urgent) to 9.
    pub priority: u8,
    /// Order in which requests are admitted, the lowest first: by priority, and among equal priorities by that of the
    /// route, which a team's priority replaces.
    pub urgency: u8,
    /// Version of the document that was applied.
    pub document_version: u64,
    /// Digest of the host, team, method, path and body, by which a request is known when its caller sends it again.
    pub fingerprint: i64,
    /// Numbers of tokens that the caller names.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt that other requests may share, in order.
    pub shared_parts: Arc<[PromptPart]>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target_path: String,
    /// Headers that are forwarded to the target.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Memory of the headers, if they are many.
    _held_headers: Arc<Reservation>,
}

impl RelayRequest {
    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time until the deadline in whole milliseconds, at least 1, to be sent to a target.
    pub fn time_left_ms(&self) -> u64 {
        (self.time_left().as_millis() as u64).max(TIME_LEFT_MIN_MS)
    }
}

/// Reads a request and checks it; a refusal is to be sent to the caller.
pub async fn read(
    state: &RelayState,
    request: Request<Incoming>,
    routes: &RouteTable,
    caller: &Arc<CallerConnection>,
    arrived: Instant,
) -> Result<RelayRequest, Refusal> {
    let dialect = state.dialect.as_ref();
    let document_version = routes.version().ok_or(Refusal::NoDocument)?;
    let (parts, body) = request.into_parts();
    let host = host(&parts);
    let route = routes.find(host, parts.uri.path()).ok_or(Refusal::NoRoute)?;
    let key = authorization_key(&parts.headers, dialect.authorization_scheme());
    let team = find_team(route, routes, key)?;
    let names = dialect.headers();
    let deadline = arrived + time_limit(route, headers::text(&parts.headers, &names.time_left));
    let priority = team.and_then(|it| it.priority).unwrap_or(route.priority).min(PRIORITY_MAX);
    let team_name = team.map_or("", |it| it.name.as_str());
    let holder = Holder { address: caller.address, name: team_name.to_string() };
    let bytes_max = routes.limits().body_bytes_max;
    let limits = BodyLimits { bytes_max, deadline, purpose: Purpose::Body, holder };
    let held_headers = hold_headers(state, &parts.headers, deadline).await?;
    let body = read_body(state, body, limits).await?;
    let service = pick_share(route, fastrand::f64()).ok_or(Refusal::NoTarget)?;
    let prompt_parts = headers::text(&parts.headers, &names.prompt_parts).unwrap_or_default();
    let shared_parts = shared_parts(prompt_parts, service, dialect);
    let target_path = parts.uri.path_and_query().map_or("/", |it| it.as_str()).to_string();
    Ok(RelayRequest {
        caller: caller.clone(),
        id: headers::text(&parts.headers, &names.request_id).unwrap_or_default().to_string(),
        arrived,
        deadline,
        service: service.to_string(),
        team: team.map(|it| it.name.clone()),
        priority,
        urgency: urgency(priority, route.priority),
        route: route.clone(),
        document_version,
        fingerprint: fingerprint([host, team_name, parts.method.as_str(), &target_path], &body),
        tokens: token_counts(&parts.headers, dialect),
        shared_parts: shared_parts.into(),
        target_path,
        headers: forwarded_headers(&parts.headers, names),
        method: parts.method,
        body,
        _held_headers: held_headers,
    })
}

/// Reserves the memory of many headers.
async fn hold_headers(
    state: &RelayState,
    headers: &HeaderMap,
    deadline: Instant,
) -> Result<Arc<Reservation>, Refusal> {
    let mut held = state.memory.open(Purpose::Body);
    let bytes = headers::charged_bytes(headers) as u64;
    if bytes > 0 {
        let until = deadline.min(Instant::now() + ROOM_TIMEOUT);
        held.grow(bytes, until).await.map_err(|_| Refusal::MemoryShort)?;
    }
    Ok(Arc::new(held))
}

/// Returns the numbers of tokens that a caller names.
fn token_counts(from: &HeaderMap, dialect: &dyn Dialect) -> Option<TokenCounts> {
    let text = headers::text(from, &dialect.headers().token_counts)?;
    dialect.decode_token_counts(text)
}

/// Returns the order of a request among those with other priorities, or with the same one on other routes.
fn urgency(priority: u8, route_priority: u8) -> u8 {
    priority * (PRIORITY_MAX + 1) + route_priority.min(PRIORITY_MAX)
}

/// Returns the time for the final answer: what the caller names, at most the timeout of the route.
fn time_limit(route: &Route, named: Option<&str>) -> Duration {
    let named_ms: Option<u64> = named.and_then(|it| it.parse().ok());
    Duration::from_millis(named_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms))
}

fn host(parts: &Parts) -> &str {
    match parts.uri.host() {
        Some(host) => host,
        None => headers::text(&parts.headers, &header::HOST).unwrap_or_default(),
    }
}

/// Returns the team that a key belongs to; none on a public route.
fn find_team<'a>(
    route: &Route,
    routes: &'a RouteTable,
    key: Option<&str>,
) -> Result<Option<&'a TeamKeys>, Refusal> {
    let caller = if route.is_public { Caller::Anonymous } else { routes.caller(key) };
    match caller {
        Caller::Anonymous => Ok(None),
        Caller::Team(team) if check_header_text(&team.name).is_err() => {
            Err(Refusal::UnsendableTeam)
        }
        Caller::Team(team) => Ok(Some(team)),
        Caller::Unknown => Err(Refusal::UnknownKey),
    }
}

/// Returns a digest of what names the request (host, team, method, path) and of its body.
fn fingerprint(names: [&str; 4], body: &[u8]) -> i64 {
    let names = names.map(str::as_bytes);
    digest(&[names.as_slice(), &[body]].concat())
}

/// Returns the headers that the target gets as the caller sent them.
fn forwarded_headers(from: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let relay_headers = [&names.time_left, &names.team, &names.expected_target, &names.priority];
    let mut forwarded = headers::copy_end_to_end(from, &relay_headers);
    forwarded.remove(header::AUTHORIZATION);
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded
}

fn authorization_key<'a>(headers: &'a HeaderMap, scheme: &str) -> Option<&'a str> {
    let value = headers::text(headers, &header::AUTHORIZATION)?;
    let (given_scheme, key) = value.split_once(' ')?;
    given_scheme.eq_ignore_ascii_case(scheme).then(|| key.trim())
}

async fn read_body(
    state: &RelayState,
    body: Incoming,
    limits: BodyLimits,
) -> Result<Bytes, Refusal> {
    state.memory.read_body(body, limits).await.map_err(|fault| match fault {
        BodyFault::TooLarge => Refusal::TooLarge,
        BodyFault::Broken => Refusal::BadBody,
        BodyFault::Late => Refusal::BodyLate,
        BodyFault::Dropped => Refusal::BodyDropped,
        BodyFault::NoRoom => Refusal::MemoryShort,
    })
}
