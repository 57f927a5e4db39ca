//! Parsing a caller's request: its team, the model or service, the deadline and whether it may run twice.

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

/// Header with the caller's idempotency key for a request and its resends.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that says whether a request may run more than once: `at-most-once` or `repeatable`.
pub const RUN_MODE_HEADER: &str = "bilberryloft-run";
/// Header with the caller's deadline in milliseconds.
pub const DEADLINE_MS_HEADER: &str = "bilberryloft-deadline-ms";
/// Longest idempotency key in bytes.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 200;
/// Bytes at the start of the body whose digest is used to pick a target with a warm prefix cache.
const PREFIX_BYTES: usize = 1_024;
/// Tokens assumed for a completion when its request sets no maximum.
const DEFAULT_COMPLETION_TOKENS: u64 = 256;
/// Request headers that are not forwarded to the target.
const UNFORWARDED_HEADERS: [&str; 9] = [
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

/// A caller's request, parsed and ready to be routed.
#[derive(Clone, Debug)]
pub(super) struct ParsedRequest {
    pub request_id: String,
    pub policy: TeamPolicy,
    /// What a target must offer: a model's name, or `service/NAME`.
    pub offer: String,
    pub method: String,
    pub path: String,
    pub headers: Vec<Header>,
    pub body: Bytes,
    pub is_streamed: bool,
    pub is_idempotent: bool,
    /// Key of the claim, for a request that must not run twice or has an idempotency key.
    pub claim_key: Option<String>,
    /// Digest of the team, method, path and exact body; a resend under the same key must have the same.
    pub body_digest: i64,
    /// Digest of the team, method, path and canonical body; identifies a suspect request however its answer
    /// is sent.
    pub fingerprint: i64,
    /// Digest of the offer and the start of the body, used to pick a target with a warm prefix cache.
    pub prefix_digest: u64,
    /// Estimated tokens of the request and its answer.
    pub work_tokens: u64,
    pub deadline: Instant,
}

impl ParsedRequest {
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// A request as received by the HTTP server, not parsed yet.
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

/// Creates a refusal of a request that did not run.
pub(super) fn not_run_problem(reason: Reason, detail: impl Into<String>) -> Problem {
    Problem::new(reason, RunState::NotRun, 0, detail)
}

impl Entry {
    /// Returns the policy of the team that a request's bearer token belongs to.
    pub(super) fn authenticate(&self, headers: &HeaderMap) -> Result<TeamPolicy, Problem> {
        let value =
            headers.get("authorization").and_then(|it| it.to_str().ok()).unwrap_or_default();
        let Some(token) = value.strip_prefix("Bearer ") else {
            return Err(not_run_problem(
                Reason::UnknownToken,
                "the header Authorization: Bearer TOKEN is missing",
            ));
        };
        let policy = self.view.configuration().policy_of_digest(&token_digest(token));
        policy.ok_or_else(|| not_run_problem(Reason::UnknownToken, "the token belongs to no team"))
    }

    /// Parses a completion request.
    pub(super) fn parse_completion(
        &self,
        raw: RawRequest,
        policy: TeamPolicy,
    ) -> Result<ParsedRequest, Problem> {
        let body: CompletionBody = serde_json::from_slice(&raw.body).map_err(|error| {
            not_run_problem(
                Reason::BadRequest,
                format!("the body is not a completion request: {error}"),
            )
        })?;
        if !policy.models.contains(&body.model) {
            let detail = format!("team {} may not call model {:?}", policy.team, body.model);
            return Err(not_run_problem(Reason::NotAllowed, detail));
        }
        let max_answer_tokens =
            body.max_completion_tokens.or(body.max_tokens).unwrap_or(DEFAULT_COMPLETION_TOKENS);
        let work_tokens = raw.body.len() as u64 / BYTES_PER_TOKEN + max_answer_tokens;
        let is_idempotent_by_default = !policy.non_idempotent;
        self.build_request(
            raw,
            policy,
            body.model,
            body.stream,
            is_idempotent_by_default,
            work_tokens,
        )
    }

    /// Parses a request to a plain service; `raw.path` is the path below the service's name.
    pub(super) fn parse_service_request(
        &self,
        raw: RawRequest,
        policy: TeamPolicy,
        service: &str,
    ) -> Result<ParsedRequest, Problem> {
        if !policy.services.iter().any(|it| it == service) {
            let detail = format!("team {} may not call service {service:?}", policy.team);
            return Err(not_run_problem(Reason::NotAllowed, detail));
        }
        let is_idempotent_by_default = match raw.method {
            Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS => true,
            _ => !policy.non_idempotent && raw.headers.contains_key(IDEMPOTENCY_KEY_HEADER),
        };
        let work_tokens = raw.body.len() as u64 / BYTES_PER_TOKEN + 1;
        self.build_request(
            raw,
            policy,
            service_offer(service),
            false,
            is_idempotent_by_default,
            work_tokens,
        )
    }

    fn build_request(
        &self,
        raw: RawRequest,
        policy: TeamPolicy,
        offer: String,
        is_streamed: bool,
        is_idempotent_by_default: bool,
        work_tokens: u64,
    ) -> Result<ParsedRequest, Problem> {
        let is_idempotent = read_run_mode(&raw.headers)?.unwrap_or(is_idempotent_by_default);
        let key = read_idempotency_key(&raw.headers)?;
        let arrived = Instant::now();
        let deadline_ms = read_deadline_ms(&raw.headers)?.unwrap_or(policy.deadline_ms);
        let needs_claim = key.is_some() || !is_idempotent;
        let claim_key = needs_claim.then(|| match &key {
            Some(key) => format!("{}/key/{key}", policy.team),
            None => format!("{}/request/{}", policy.team, raw.request_id),
        });
        let scope: [&[u8]; 3] =
            [policy.team.as_bytes(), raw.method.as_str().as_bytes(), raw.path.as_bytes()];
        let body_digest = digest(&[scope[0], scope[1], scope[2], &raw.body]);
        let fingerprint = digest(&[scope[0], scope[1], scope[2], &canonical_body(&raw.body)]);
        let prefix_end = raw.body.len().min(PREFIX_BYTES);
        let prefix_digest = digest(&[offer.as_bytes(), &raw.body[..prefix_end]]).cast_unsigned();
        Ok(ParsedRequest {
            request_id: raw.request_id,
            offer,
            method: raw.method.to_string(),
            path: raw.path,
            headers: forwarded_headers(&raw.headers),
            body: raw.body,
            is_streamed,
            is_idempotent,
            claim_key,
            body_digest,
            fingerprint,
            prefix_digest,
            work_tokens,
            deadline: arrived + Duration::from_millis(deadline_ms),
            policy,
        })
    }
}

/// Returns a JSON body in a fixed member order, without the members that only say how the answer is sent.
///
/// A body that is not a JSON object is returned unchanged.
fn canonical_body(body: &[u8]) -> Vec<u8> {
    match serde_json::from_slice::<serde_json::Value>(body) {
        Ok(serde_json::Value::Object(mut members)) => {
            members.remove("stream");
            members.remove("stream_options");
            serde_json::to_vec(&members).unwrap_or_else(|_| body.to_vec())
        }
        Ok(_) | Err(_) => body.to_vec(),
    }
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let mut forwarded = Vec::new();
    for (name, value) in headers {
        let Ok(value) = value.to_str() else { continue };
        if !UNFORWARDED_HEADERS.contains(&name.as_str()) {
            forwarded.push(Header::new(name.to_string(), value.to_string()));
        }
    }
    forwarded
}

fn read_run_mode(headers: &HeaderMap) -> Result<Option<bool>, Problem> {
    match header_text(headers, RUN_MODE_HEADER)? {
        None => Ok(None),
        Some("at-most-once") => Ok(Some(false)),
        Some("repeatable") => Ok(Some(true)),
        Some(other) => {
            let detail =
                format!("{RUN_MODE_HEADER}: {other:?} is neither at-most-once nor repeatable");
            Err(not_run_problem(Reason::BadRequest, detail))
        }
    }
}

fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    match header_text(headers, IDEMPOTENCY_KEY_HEADER)? {
        None => Ok(None),
        Some(key) if key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX_BYTES => {
            let detail = format!(
                "{IDEMPOTENCY_KEY_HEADER}: the key must have 1 to {IDEMPOTENCY_KEY_MAX_BYTES} bytes"
            );
            Err(not_run_problem(Reason::BadRequest, detail))
        }
        Some(key) => Ok(Some(key.to_string())),
    }
}

fn read_deadline_ms(headers: &HeaderMap) -> Result<Option<u64>, Problem> {
    let Some(text) = header_text(headers, DEADLINE_MS_HEADER)? else {
        return Ok(None);
    };
    match text.parse::<u64>() {
        Ok(deadline_ms) if (1..=3_600_000).contains(&deadline_ms) => Ok(Some(deadline_ms)),
        _ => {
            let detail = format!("{DEADLINE_MS_HEADER}: {text:?} is not in 1..=3600000");
            Err(not_run_problem(Reason::BadRequest, detail))
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
    text.map(Some).map_err(|_| {
        not_run_problem(Reason::BadRequest, format!("{name}: the value is not plain text"))
    })
}
