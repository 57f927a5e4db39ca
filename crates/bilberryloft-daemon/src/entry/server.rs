//! The callers' HTTP interface.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::Path;
use axum::extract::Request;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::any;
use axum::routing::get;
use axum::routing::post;
use bilberryloft_protocol::problem::Problem;
use bilberryloft_state::configuration::TeamPolicy;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::refusal::Reason;
use bilberryloft_transport::http::with_nodelay;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::entry::attempt::Started;
use crate::entry::request::RawRequest;
use crate::entry::request::Work;
use crate::entry::request::header_text;
use crate::entry::request::not_run;
use crate::entry::respond::Terms;
use crate::entry::respond::refuse;
use crate::entry::respond::write_stream;
use crate::entry::respond::write_whole;
use crate::entry::resume::EventId;
use crate::entry::state::Entry;
use crate::entry::state::OpenRequest;

/// Longest time for a caller to send its body.
const BODY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// A running listener for callers.
#[derive(Debug)]
pub struct CallerServer {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl CallerServer {
    /// Listens for callers.
    pub async fn bind(entry: Arc<Entry>) -> Result<CallerServer> {
        let address = entry.settings.listen_address.clone();
        let failed = |it| Error::network("listen", &address, it);
        let listener = TcpListener::bind(&address).await.map_err(failed)?;
        let local = listener.local_addr().map_err(failed)?;
        entry.spawn_record_keeper();
        let (stop, stopped) = oneshot::channel();
        let router = build_router(entry);
        let task = tokio::spawn(async move {
            let stopped = async move {
                let _ = stopped.await;
            };
            let _ =
                axum::serve(with_nodelay(listener), router).with_graceful_shutdown(stopped).await;
        });
        Ok(CallerServer { address: local, stop, task })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connections and returns when the last answer has been written.
    pub async fn finish(self) {
        let _ = self.stop.send(());
        let _ = self.task.await;
    }
}

fn build_router(entry: Arc<Entry>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(completions))
        .route("/v1/completions", post(completions))
        .route("/v1/models", get(models))
        .route("/services/{name}", any(service))
        .route("/services/{name}/{*rest}", any(service_path))
        .with_state(entry)
}

async fn models(State(entry): State<Arc<Entry>>, request: Request) -> Response {
    let request_id = entry.next_request_id();
    let policy = match entry.authenticate(request.headers()) {
        Ok(policy) => policy,
        Err(problem) => return refuse(&entry, &request_id, "", problem),
    };
    let row = |model: &String| json!({"id": model, "object": "model", "owned_by": "bilberryloft"});
    let data: Vec<serde_json::Value> = policy.models.iter().map(row).collect();
    Json(json!({"object": "list", "data": data})).into_response()
}

async fn completions(State(entry): State<Arc<Entry>>, request: Request) -> Response {
    let request_id = entry.next_request_id();
    let admitted = match admit(&entry, &request_id, request).await {
        Ok(admitted) => admitted,
        Err((team, problem)) => return refuse(&entry, &request_id, &team, problem),
    };
    let team = admitted.policy.team.clone();
    match read_event_id(&admitted.raw) {
        Err(problem) => refuse(&entry, &request_id, &team, problem),
        Ok(Some(id)) => resume(entry, admitted, id).await,
        Ok(None) => match entry.read_completion(admitted.raw, admitted.policy) {
            Ok(work) => answer(entry, work, admitted.arrived, admitted.open).await,
            Err(problem) => refuse(&entry, &request_id, &team, problem),
        },
    }
}

async fn service(state: State<Arc<Entry>>, Path(name): Path<String>, request: Request) -> Response {
    serve_service(state.0, name, request).await
}

async fn service_path(
    state: State<Arc<Entry>>,
    Path((name, _)): Path<(String, String)>,
    request: Request,
) -> Response {
    serve_service(state.0, name, request).await
}

async fn serve_service(entry: Arc<Entry>, name: String, request: Request) -> Response {
    let request_id = entry.next_request_id();
    let admitted = match admit(&entry, &request_id, request).await {
        Ok(admitted) => admitted,
        Err((team, problem)) => return refuse(&entry, &request_id, &team, problem),
    };
    let team = admitted.policy.team.clone();
    let mut raw = admitted.raw;
    let below = raw.path.strip_prefix("/services/").and_then(|it| it.strip_prefix(&name));
    let path = below.map(str::to_string).unwrap_or_default();
    raw.path = if path.starts_with('/') { path } else { format!("/{path}") };
    match entry.read_service(raw, admitted.policy, &name) {
        Ok(work) => answer(entry, work, admitted.arrived, admitted.open).await,
        Err(problem) => refuse(&entry, &request_id, &team, problem),
    }
}

/// A request whose team is known and within its limit, with its body read.
struct Admitted {
    raw: RawRequest,
    policy: TeamPolicy,
    open: OpenRequest,
    arrived: Instant,
}

async fn admit(
    entry: &Arc<Entry>,
    request_id: &str,
    request: Request,
) -> std::result::Result<Admitted, (String, Problem)> {
    let arrived = Instant::now();
    entry.metrics.requests.inc();
    let policy = entry.authenticate(request.headers()).map_err(|it| (String::new(), it))?;
    let team = policy.team.clone();
    if entry.is_stopping() {
        return Err((
            team,
            Problem { retry_after_ms: 1_000, ..not_run(Reason::Stopping, "the entry stops") },
        ));
    }
    let Some(open) = entry.open_request(&policy) else {
        let detail =
            format!("team {team} has {} requests open, which is its limit", policy.in_flight_max);
        return Err((team, Problem { retry_after_ms: 500, ..not_run(Reason::TeamLimit, detail) }));
    };
    let (parts, body) = request.into_parts();
    let body = read_body(entry, body).await.map_err(|it| (team, it))?;
    let path = parts.uri.path_and_query().map(|it| it.to_string()).unwrap_or_default();
    let raw = RawRequest {
        request_id: request_id.to_string(),
        method: parts.method,
        path,
        headers: parts.headers,
        body,
    };
    Ok(Admitted { raw, policy, open, arrived })
}

async fn read_body(entry: &Entry, body: Body) -> std::result::Result<Bytes, Problem> {
    let max_bytes = entry.settings.body_max_bytes;
    let collected =
        tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect()).await;
    match collected {
        Err(_) => Err(not_run(Reason::SlowCaller, "the body did not arrive in time")),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(not_run(Reason::TooLarge, format!("the body is larger than {max_bytes} bytes")))
        }
        Ok(Err(error)) => Err(not_run(Reason::BadRequest, format!("the body broke off: {error}"))),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
    }
}

fn read_event_id(raw: &RawRequest) -> std::result::Result<Option<EventId>, Problem> {
    let Some(text) = header_text(&raw.headers, "last-event-id")? else {
        return Ok(None);
    };
    let id = EventId::parse(text);
    id.map(Some).ok_or_else(|| not_run(Reason::BadRequest, "last-event-id: this is no id of ours"))
}

async fn answer(entry: Arc<Entry>, work: Work, arrived: Instant, open: OpenRequest) -> Response {
    let result = entry.carry_out(&work).await;
    let is_streamed = work.is_streamed;
    let terms = Terms { entry, request_id: work.request_id, team: work.policy.team, arrived, open };
    write_result(terms, result, is_streamed)
}

async fn resume(entry: Arc<Entry>, admitted: Admitted, id: EventId) -> Response {
    let request_id = id.request_id.clone();
    let result = entry.resume(&admitted.policy, id).await;
    let (team, arrived, open) = (admitted.policy.team, admitted.arrived, admitted.open);
    write_result(Terms { entry, request_id, team, arrived, open }, result, true)
}

fn write_result(
    terms: Terms,
    result: std::result::Result<Started, Problem>,
    is_streamed: bool,
) -> Response {
    match result {
        Err(problem) => refuse(&terms.entry, &terms.request_id, &terms.team, problem),
        Ok(started) if is_streamed => write_stream(terms, started),
        Ok(started) => write_whole(terms, started),
    }
}
