//! Reading a caller's request: who asks, for what, and on which terms.

use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::Method;
use bilberryloft_coordination::admission::BYTES_PER_TOKEN;
use bilberryloft_protocol::problem::Problem;
use bilberryloft_protocol::wire::Header;
use bilberryloft_state::configuration::TeamPolicy;
use bilberryloft_state::configuration::token_digest;
use bilberryloft_state::key::digest;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bytes::Bytes;
use serde::Deserialize;
use tokio::time::Instant;

use crate::entry::state::Entry;
use crate::entry::state::service_offer;

/// Header with the caller's key for one piece of work.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with which a caller says whether work may run more than once: `at-most-once` or `repeatable`.
pub const RUN_MODE: &str = "bilberryloft-run";
/// Header with the caller's deadline in milliseconds.
pub const DEADLINE_MS: &str = "bilberryloft-deadline-ms";
/// Longest idempotency key in bytes.
const KEY_MAX_BYTES: usize = 200;
/// Bytes of the body that stand for its prefix in the choice of a warm target.
const PREFIX_BYTES: usize = 1_024;
/// Tokens that a completion is expected to make when its request names no bound.
const DEFAULT_COMPLETION_TOKENS: u64 = 256;
/// Headers of a request that are not passed on to the target.
const OWN_HEADERS: [&str; 9] = [
    "host",
    "authorization",
    "connection",
    "content-length",
    "transfer-encoding",
    "expect",
    "keep-alive",
    "accept-encoding",
    "last-event-id",
];

/// A caller's request, ready to be routed.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub request_id: String,
    pub policy: TeamPolicy,
    pub offer: String,
    pub method: String,
    pub path: String,
    pub headers: Vec<Header>,
    pub body: Bytes,
    pub is_streamed: bool,
    pub is_idempotent: bool,
    /// Key of the claim, for work that must not run twice.
    pub claim_key: Option<String>,
    /// Digest of the body to the letter; a resend under the same key must have the same.
    pub body_digest: i64,
    /// Digest of what the work is, however it is sent; names suspects.
    pub fingerprint: i64,
    pub prefix: u64,
    pub work_tokens: u64,
    pub due: Instant,
}

impl Work {
    pub fn time_left(&self) -> Duration {
        self.due.saturating_duration_since(Instant::now())
    }
}

/// A request as the HTTP server hands it over.
#[derive(Clone, Debug)]
pub(super) struct RawRequest {
    pub request_id: String,
    pub method: Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
}

pub(super) fn not_run(reason: Reason, detail: impl Into<String>) -> Problem {
    Problem::new(reason, RunState::NotRun, 0, detail)
}

impl Entry {
    /// Finds the team that a request's token names.
    pub(super) fn authenticate(&self, headers: &HeaderMap) -> Result<TeamPolicy, Problem> {
        let value =
            headers.get("authorization").and_then(|it| it.to_str().ok()).unwrap_or_default();
        let Some(token) = value.strip_prefix("Bearer ") else {
            return Err(not_run(
                Reason::UnknownToken,
                "the header Authorization: Bearer TOKEN is missing",
            ));
        };
        let policy = self.view.configuration().policy_of_digest(&token_digest(token));
        policy.ok_or_else(|| not_run(Reason::UnknownToken, "the token names no team"))
    }

    /// Reads a request for a completion.
    pub(super) fn read_completion(
        &self,
        raw: RawRequest,
        policy: TeamPolicy,
    ) -> Result<Work, Problem> {
        let body: CompletionBody = serde_json::from_slice(&raw.body).map_err(|it| {
            not_run(Reason::BadRequest, format!("the body is not a completion request: {it}"))
        })?;
        if !policy.models.contains(&body.model) {
            let detail = format!("team {} may not call model {:?}", policy.team, body.model);
            return Err(not_run(Reason::NotAllowed, detail));
        }
        let bound =
            body.max_completion_tokens.or(body.max_tokens).unwrap_or(DEFAULT_COMPLETION_TOKENS);
        let work_tokens = raw.body.len() as u64 / BYTES_PER_TOKEN + bound;
        let is_repeatable = !policy.non_idempotent;
        self.build_work(raw, policy, body.model, body.stream, is_repeatable, work_tokens)
    }

    /// Reads a request for a plain service; the path below the service's name goes to the target.
    pub(super) fn read_service(
        &self,
        raw: RawRequest,
        policy: TeamPolicy,
        service: &str,
    ) -> Result<Work, Problem> {
        if !policy.services.iter().any(|it| it == service) {
            let detail = format!("team {} may not call service {service:?}", policy.team);
            return Err(not_run(Reason::NotAllowed, detail));
        }
        let is_repeatable = match raw.method {
            Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS => true,
            _ => !policy.non_idempotent && raw.headers.contains_key(IDEMPOTENCY_KEY),
        };
        let work_tokens = raw.body.len() as u64 / BYTES_PER_TOKEN + 1;
        self.build_work(raw, policy, service_offer(service), false, is_repeatable, work_tokens)
    }

    fn build_work(
        &self,
        raw: RawRequest,
        policy: TeamPolicy,
        offer: String,
        is_streamed: bool,
        is_repeatable: bool,
        work_tokens: u64,
    ) -> Result<Work, Problem> {
        let is_idempotent = read_run_mode(&raw.headers)?.unwrap_or(is_repeatable);
        let key = read_key(&raw.headers)?;
        let arrived = Instant::now();
        let deadline_ms = read_deadline_ms(&raw.headers)?.unwrap_or(policy.deadline_ms);
        let needs_claim = key.is_some() || !is_idempotent;
        let claim_key = needs_claim.then(|| match &key {
            Some(key) => format!("{}/key/{key}", policy.team),
            None => format!("{}/request/{}", policy.team, raw.request_id),
        });
        let place: [&[u8]; 3] =
            [policy.team.as_bytes(), raw.method.as_str().as_bytes(), raw.path.as_bytes()];
        let body_digest = digest(&[place[0], place[1], place[2], &raw.body]);
        let fingerprint = digest(&[place[0], place[1], place[2], &content_of(&raw.body)]);
        let prefix_end = raw.body.len().min(PREFIX_BYTES);
        let prefix = digest(&[offer.as_bytes(), &raw.body[..prefix_end]]) as u64;
        Ok(Work {
            request_id: raw.request_id,
            offer,
            method: raw.method.to_string(),
            path: raw.path,
            headers: headers_to_pass(&raw.headers),
            body: raw.body,
            is_streamed,
            is_idempotent,
            claim_key,
            body_digest,
            fingerprint,
            prefix,
            work_tokens,
            due: arrived + Duration::from_millis(deadline_ms),
            policy,
        })
    }
}

/// Returns a body without the members that only say how its answer is sent, and with the rest in a fixed
/// order; a body that is no JSON object is returned as it is.
fn content_of(body: &[u8]) -> Vec<u8> {
    match serde_json::from_slice::<serde_json::Value>(body) {
        Ok(serde_json::Value::Object(mut members)) => {
            members.remove("stream");
            members.remove("stream_options");
            serde_json::to_vec(&members).unwrap_or_else(|_| body.to_vec())
        }
        Ok(_) | Err(_) => body.to_vec(),
    }
}

fn headers_to_pass(headers: &HeaderMap) -> Vec<Header> {
    let mut passed = Vec::new();
    for (name, value) in headers {
        let Ok(value) = value.to_str() else { continue };
        if !OWN_HEADERS.contains(&name.as_str()) {
            passed.push(Header::new(name.to_string(), value.to_string()));
        }
    }
    passed
}

fn read_run_mode(headers: &HeaderMap) -> Result<Option<bool>, Problem> {
    match header_text(headers, RUN_MODE)? {
        None => Ok(None),
        Some("at-most-once") => Ok(Some(false)),
        Some("repeatable") => Ok(Some(true)),
        Some(other) => {
            let detail = format!("{RUN_MODE}: {other:?} is neither at-most-once nor repeatable");
            Err(not_run(Reason::BadRequest, detail))
        }
    }
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    match header_text(headers, IDEMPOTENCY_KEY)? {
        None => Ok(None),
        Some(key) if key.is_empty() || key.len() > KEY_MAX_BYTES => {
            let detail = format!("{IDEMPOTENCY_KEY}: the key must have 1 to {KEY_MAX_BYTES} bytes");
            Err(not_run(Reason::BadRequest, detail))
        }
        Some(key) => Ok(Some(key.to_string())),
    }
}

fn read_deadline_ms(headers: &HeaderMap) -> Result<Option<u64>, Problem> {
    let Some(text) = header_text(headers, DEADLINE_MS)? else {
        return Ok(None);
    };
    match text.parse::<u64>() {
        Ok(deadline_ms) if (1..=3_600_000).contains(&deadline_ms) => Ok(Some(deadline_ms)),
        _ => {
            let detail = format!("{DEADLINE_MS}: {text:?} is not in 1..=3600000");
            Err(not_run(Reason::BadRequest, detail))
        }
    }
}

pub(super) fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| not_run(Reason::BadRequest, format!("{name}: the value is not plain text")))
}
