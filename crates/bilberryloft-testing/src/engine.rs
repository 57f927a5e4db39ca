//! A stand-in for a model engine or a plain service, which crashes if a prompt contains [`CRASH_MARKER`].

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::any;
use axum::routing::get;
use axum::routing::post;
use bilberryloft_daemon::agent::Announcement;
use bilberryloft_transport::clock::epoch_ms;
use bilberryloft_transport::http::HttpClient;
use bilberryloft_transport::http::with_nodelay;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::ranks::RankGroup;
use crate::ranks::RankSettings;

/// Text in a prompt that makes the process of the engine crash.
pub const CRASH_MARKER: &str = "CRASH-ENGINE";
/// Time between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

/// Settings of a stand-in engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineSettings {
    /// Address to listen on.
    pub listen_address: String,
    /// Announce address of its agent.
    pub announce_address: String,
    /// Names of the models that it serves.
    pub models: Vec<String>,
    /// Names of the plain services that it serves.
    pub services: Vec<String>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of tokens of an answer to a request without `max_tokens`.
    pub tokens: u64,
    /// Time between tokens in milliseconds.
    pub token_ms: u64,
    /// Time to the first token in milliseconds.
    pub first_token_ms: u64,
    /// File to which a line is appended for each request that starts to run.
    pub runs_file: Option<PathBuf>,
    /// Whether its streams end inside their last event, in chunks of good order.
    pub ends_inside_event: bool,
    /// Size of the lock-step group of ranks whose endpoints the engine serves, if it has one.
    pub ranks: Option<RankSettings>,
}

impl EngineSettings {
    /// Returns the settings of a fast engine with one model.
    pub fn new(listen_address: String, announce_address: String) -> EngineSettings {
        EngineSettings {
            listen_address,
            announce_address,
            models: vec!["forecast-writer".to_string()],
            services: Vec::new(),
            slots: 8,
            tokens: 8,
            token_ms: 1,
            first_token_ms: 1,
            runs_file: None,
            ends_inside_event: false,
            ranks: None,
        }
    }
}

/// A running stand-in engine that stops on drop.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    incarnation: u64,
    runs: Mutex<BTreeMap<String, u64>>,
    running: AtomicUsize,
    peak_concurrency: AtomicUsize,
    cancelled: AtomicU64,
    requests_by_rank: Mutex<BTreeMap<usize, u64>>,
}

impl Engine {
    /// Starts an engine on the current runtime.
    pub async fn spawn(settings: EngineSettings) -> std::io::Result<Engine> {
        let listener = TcpListener::bind(&settings.listen_address).await?;
        let shared = Arc::new(Shared {
            settings,
            incarnation: epoch_ms(),
            runs: Mutex::default(),
            running: AtomicUsize::new(0),
            peak_concurrency: AtomicUsize::new(0),
            cancelled: AtomicU64::new(0),
            requests_by_rank: Mutex::default(),
        });
        let mut router = Router::new()
            .route("/health", get(health))
            .route("/v1/chat/completions", post(handle_completion))
            .route("/v1/completions", post(handle_completion))
            .fallback(any(handle_service_call))
            .with_state(shared.clone());
        if let Some(ranks) = shared.settings.ranks {
            let group =
                RankGroup::spawn(ranks, shared.incarnation, &shared.settings.announce_address);
            router = router.merge(group.router());
        }
        let server = tokio::spawn(async move {
            let _ = axum::serve(with_nodelay(listener), router).await;
        });
        let announcer = tokio::spawn(announce(shared.clone()));
        Ok(Engine { shared, tasks: vec![server, announcer] })
    }

    /// Number of runs of each prompt or service call.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.shared.runs.lock().clone()
    }

    /// Largest number of requests that ran at the same time.
    pub fn peak_concurrency(&self) -> usize {
        self.shared.peak_concurrency.load(Ordering::SeqCst)
    }

    /// Number of requests for each rank that the agent chose.
    pub fn requests_by_rank(&self) -> BTreeMap<usize, u64> {
        self.shared.requests_by_rank.lock().clone()
    }

    /// Number of requests that were cancelled before their answer was complete.
    pub fn cancelled(&self) -> u64 {
        self.shared.cancelled.load(Ordering::SeqCst)
    }
}

impl Shared {
    fn count_rank(&self, headers: &axum::http::HeaderMap) {
        let rank =
            headers.get("x-rank").and_then(|it| it.to_str().ok()).and_then(|it| it.parse().ok());
        if let Some(rank) = rank {
            *self.requests_by_rank.lock().entry(rank).or_default() += 1;
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn announce(shared: Arc<Shared>) {
    let http = HttpClient::new();
    let settings = &shared.settings;
    let announcement = Announcement {
        url: format!("http://{}", settings.listen_address),
        incarnation: shared.incarnation,
        models: settings.models.clone(),
        services: settings.services.clone(),
        slots: settings.slots,
        ranks: 4,
        checks_fencing: false,
    };
    let body = Bytes::from(serde_json::to_vec(&announcement).unwrap_or_default());
    loop {
        let request =
            hyper::Request::post(format!("http://{}/announce", settings.announce_address))
                .header("content-type", "application/json")
                .body(Full::new(body.clone()));
        let is_accepted = match request {
            Ok(request) => http.fetch(request).await.is_ok_and(|(status, _)| status == 204),
            Err(_) => false,
        };
        tokio::time::sleep(if is_accepted { ANNOUNCE_INTERVAL } else { ANNOUNCE_INTERVAL / 10 })
            .await;
    }
}

async fn health(State(shared): State<Arc<Shared>>) -> Json<Value> {
    Json(json!({"incarnation": shared.incarnation}))
}

/// Counts a run as running until it is dropped, and as cancelled if it is dropped before it is finished.
struct RunGuard {
    shared: Arc<Shared>,
    is_finished: bool,
}

impl RunGuard {
    fn start(shared: &Arc<Shared>, name: &str) -> RunGuard {
        let running = shared.running.fetch_add(1, Ordering::SeqCst) + 1;
        shared.peak_concurrency.fetch_max(running, Ordering::SeqCst);
        *shared.runs.lock().entry(name.to_string()).or_default() += 1;
        if let Some(path) = &shared.settings.runs_file
            && let Ok(mut file) = std::fs::OpenOptions::new().create(true).append(true).open(path)
        {
            let _ = file.write_all(format!("{name}\n").as_bytes());
        }
        RunGuard { shared: shared.clone(), is_finished: false }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::SeqCst);
        if !self.is_finished {
            self.shared.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

fn prompt_text(body: &Value) -> String {
    if let Some(prompt) = body.get("prompt").and_then(Value::as_str) {
        return prompt.to_string();
    }
    let messages = body.get("messages").and_then(Value::as_array);
    let last =
        messages.and_then(|it| it.last()).and_then(|it| it.get("content")).and_then(Value::as_str);
    last.unwrap_or_default().to_string()
}

async fn handle_completion(
    State(shared): State<Arc<Shared>>,
    headers: axum::http::HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let prompt = prompt_text(&body);
    shared.count_rank(&headers);
    let run = RunGuard::start(&shared, &prompt);
    if prompt.contains(CRASH_MARKER) {
        std::process::exit(134);
    }
    let tokens = body.get("max_tokens").and_then(Value::as_u64).unwrap_or(shared.settings.tokens);
    let is_streamed = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    match is_streamed {
        true => streamed_response(shared, run, prompt, tokens),
        false => buffered_response(shared, run, prompt, tokens).await,
    }
}

fn streamed_response(shared: Arc<Shared>, run: RunGuard, prompt: String, tokens: u64) -> Response {
    let state = (shared, run, prompt, 0);
    let events = futures_util::stream::unfold(
        state,
        move |(shared, mut run, prompt, index)| async move {
            if index > tokens {
                return None;
            }
            let pause_ms =
                if index == 0 { shared.settings.first_token_ms } else { shared.settings.token_ms };
            if pause_ms > 0 {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            let event = if index == tokens {
                run.is_finished = true;
                let blank_line = if shared.settings.ends_inside_event { "" } else { "\n" };
                format!("data: [DONE]\n{blank_line}")
            } else {
                let chunk = json!({"choices": [{"index": 0, "delta": {"content": token_text(&prompt, index)}}]});
                format!("data: {chunk}\n\n")
            };
            Some((Ok::<Bytes, Infallible>(Bytes::from(event)), (shared, run, prompt, index + 1)))
        },
    );
    let response = Response::builder()
        .header("content-type", "text/event-stream")
        // Describes the bytes that the engine sends, to which an entry adds the ids of events.
        .header("etag", "\"engine\"");
    response.body(Body::from_stream(events)).unwrap_or_default()
}

async fn buffered_response(
    shared: Arc<Shared>,
    mut run: RunGuard,
    prompt: String,
    tokens: u64,
) -> Response {
    let pause_ms =
        shared.settings.first_token_ms + tokens.saturating_sub(1) * shared.settings.token_ms;
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    run.is_finished = true;
    Json(json!({"choices": [{"index": 0, "message": {"content": expected_answer(&prompt, tokens)}}]})).into_response()
}

/// Returns the text of one token. It contains the prompt, so that a test notices the answer to another request.
pub fn token_text(prompt: &str, index: u64) -> String {
    format!("{prompt}#{index} ")
}

/// Returns the complete answer of an engine to a prompt.
pub fn expected_answer(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|it| token_text(prompt, it)).collect()
}

async fn handle_service_call(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(|it| it.to_bytes()).unwrap_or_default();
    let name = format!("{} {}", parts.method, parts.uri);
    let mut run = RunGuard::start(&shared, &format!("{name} {}", String::from_utf8_lossy(&body)));
    tokio::time::sleep(Duration::from_millis(shared.settings.first_token_ms)).await;
    run.is_finished = true;
    Json(json!({"call": name, "body_bytes": body.len()})).into_response()
}
