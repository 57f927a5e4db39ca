//! The HTTP API for callers.

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

use crate::entry::attempt::ended_problem;
use crate::entry::request::ParsedRequest;
use crate::entry::request::RawRequest;
use crate::entry::request::header_text;
use crate::entry::request::not_run_problem;
use crate::entry::response::ResponseContext;
use crate::entry::response::buffered_response;
use crate::entry::response::refusal_response;
use crate::entry::response::streamed_response;
use crate::entry::resume::EventId;
use crate::entry::started_answer::StartedAnswer;
use crate::entry::state::Entry;
use crate::entry::state::OpenRequest;

/// Time for a caller to send its request body.
const BODY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// The running HTTP server for callers.
#[derive(Debug)]
pub struct CallerServer {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl CallerServer {
    /// Binds the entry's listen address and starts serving callers.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(entry: Arc<Entry>) -> Result<CallerServer> {
        let address = entry.settings.listen_address.clone();
        let listen_error = |it| Error::network("listen", &address, it);
        let listener = TcpListener::bind(&address).await.map_err(listen_error)?;
        let local = listener.local_addr().map_err(listen_error)?;
        entry.spawn_record_upload();
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

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no new connections and returns when the last answer has been written.
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
        Err(problem) => return refusal_response(&entry, &request_id, "", problem),
    };
    let row = |model: &String| json!({"id": model, "object": "model", "owned_by": "bilberryloft"});
    let data: Vec<serde_json::Value> = policy.models.iter().map(row).collect();
    Json(json!({"object": "list", "data": data})).into_response()
}

async fn completions(State(entry): State<Arc<Entry>>, request: Request) -> Response {
    let request_id = entry.next_request_id();
    let admitted = match admit(&entry, &request_id, request).await {
        Ok(admitted) => admitted,
        Err((team, problem)) => return refusal_response(&entry, &request_id, &team, problem),
    };
    let team = admitted.policy.team.clone();
    match read_event_id(&admitted.raw) {
        Err(problem) => refusal_response(&entry, &request_id, &team, problem),
        Ok(Some(id)) => resume(entry, admitted, id).await,
        Ok(None) => match entry.parse_completion(admitted.raw, admitted.policy) {
            Ok(request) => {
                answer_request(entry, request, admitted.arrived, admitted.open_request).await
            }
            Err(problem) => refusal_response(&entry, &request_id, &team, problem),
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
        Err((team, problem)) => return refusal_response(&entry, &request_id, &team, problem),
    };
    let team = admitted.policy.team.clone();
    let mut raw = admitted.raw;
    let rest = raw.path.strip_prefix("/services/").and_then(|it| it.strip_prefix(&name));
    let path = rest.map(str::to_string).unwrap_or_default();
    raw.path = if path.starts_with('/') { path } else { format!("/{path}") };
    match entry.parse_service_request(raw, admitted.policy, &name) {
        Ok(request) => {
            answer_request(entry, request, admitted.arrived, admitted.open_request).await
        }
        Err(problem) => refusal_response(&entry, &request_id, &team, problem),
    }
}

/// A request whose team is authenticated and within its limit, and whose body has been read.
struct AdmittedRequest {
    raw: RawRequest,
    policy: TeamPolicy,
    open_request: OpenRequest,
    arrived: Instant,
}

/// Authenticates a request, counts it as open and reads its body.
///
/// An error comes with the name of the team, empty if it is unknown.
async fn admit(
    entry: &Arc<Entry>,
    request_id: &str,
    request: Request,
) -> std::result::Result<AdmittedRequest, (String, Problem)> {
    let arrived = Instant::now();
    entry.metrics.requests.inc();
    let policy = entry.authenticate(request.headers()).map_err(|it| (String::new(), it))?;
    let team = policy.team.clone();
    if entry.is_stopping() {
        return Err((
            team,
            Problem {
                retry_after_ms: 1_000,
                ..not_run_problem(Reason::Stopping, "the entry is stopping")
            },
        ));
    }
    let Some(open_request) = entry.try_open_request(&policy) else {
        let detail =
            format!("team {team} has {} requests open, which is its limit", policy.in_flight_max);
        return Err((
            team,
            Problem { retry_after_ms: 500, ..not_run_problem(Reason::TeamLimit, detail) },
        ));
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
    Ok(AdmittedRequest { raw, policy, open_request, arrived })
}

async fn read_body(entry: &Entry, body: Body) -> std::result::Result<Bytes, Problem> {
    let max_bytes = entry.settings.body_max_bytes;
    let collected =
        tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect()).await;
    match collected {
        Err(_) => Err(not_run_problem(Reason::SlowCaller, "the body did not arrive in time")),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(not_run_problem(
            Reason::TooLarge,
            format!("the body is larger than {max_bytes} bytes"),
        )),
        Ok(Err(error)) => Err(not_run_problem(
            Reason::BadRequest,
            format!("the body could not be read completely: {error}"),
        )),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
    }
}

fn read_event_id(raw: &RawRequest) -> std::result::Result<Option<EventId>, Problem> {
    let Some(text) = header_text(&raw.headers, "last-event-id")? else {
        return Ok(None);
    };
    let id = EventId::parse(text);
    id.map(Some).ok_or_else(|| {
        not_run_problem(Reason::BadRequest, "last-event-id: the value is not a valid event id")
    })
}

async fn answer_request(
    entry: Arc<Entry>,
    request: ParsedRequest,
    arrived: Instant,
    open_request: OpenRequest,
) -> Response {
    let result = entry.execute(&request).await;
    let is_streamed = request.is_streamed;
    let context = ResponseContext {
        entry,
        request_id: request.request_id,
        team: request.policy.team,
        arrived,
        open_request,
    };
    build_response(context, result, is_streamed)
}

async fn resume(entry: Arc<Entry>, admitted: AdmittedRequest, id: EventId) -> Response {
    let request_id = id.request_id.clone();
    let result = tokio::select! {
        result = entry.resume(&admitted.policy, id) => result,
        () = entry.wait_for_end() => Err(ended_problem()),
    };
    let (team, arrived, open_request) =
        (admitted.policy.team, admitted.arrived, admitted.open_request);
    build_response(ResponseContext { entry, request_id, team, arrived, open_request }, result, true)
}

fn build_response(
    context: ResponseContext,
    result: std::result::Result<StartedAnswer, Problem>,
    is_streamed: bool,
) -> Response {
    match result {
        Err(problem) => {
            refusal_response(&context.entry, &context.request_id, &context.team, problem)
        }
        Ok(started) if is_streamed => streamed_response(context, started),
        Ok(started) => buffered_response(context, started),
    }
}
