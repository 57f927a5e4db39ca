//! HTTP endpoints of the agent that its target calls.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::post;
use bilberryloft_protocol::ranks::SettleRequest;
use bilberryloft_protocol::ranks::SettleResponse;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_transport::clock::monotonic_ms;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::agent::Agent;
use crate::events::Event;
use crate::log_event;

/// Announcement of a target, which the target repeats about once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Base URL of the target, such as `http://10.0.0.1:8000`.
    pub url: String,
    /// Incarnation of the target's process.
    pub incarnation: u64,
    /// Models that the target serves.
    #[serde(default)]
    pub models: Vec<String>,
    /// Plain services that the target serves.
    #[serde(default)]
    pub services: Vec<String>,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Ranks of the target's group.
    #[serde(default = "one_rank")]
    pub ranks: u32,
    /// Whether the target refuses requests with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

fn one_rank() -> u32 {
    1
}

/// Serves the target's endpoints on `announce_address` until the process ends.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn serve_announcements(agent: Arc<Agent>) -> Result<()> {
    let address = agent.settings.announce_address.clone();
    let listener =
        TcpListener::bind(&address).await.map_err(|it| Error::network("listen", &address, it))?;
    let router = Router::new()
        .route("/announce", post(handle_announcement))
        .route("/ranks/settle", post(handle_settle))
        .with_state(agent);
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}

async fn handle_announcement(
    State(agent): State<Arc<Agent>>,
    body: std::result::Result<Json<Announcement>, axum::extract::rejection::JsonRejection>,
) -> (StatusCode, String) {
    let Json(announcement) = match body {
        Ok(body) => body,
        Err(error) => return (StatusCode::BAD_REQUEST, error.body_text()),
    };
    if announcement.slots == 0 {
        return (
            StatusCode::BAD_REQUEST,
            "slots: 0 is not allowed, it must be at least 1".to_string(),
        );
    }
    let is_new = agent.record_announcement(announcement.clone(), monotonic_ms());
    if is_new {
        log_event!(info, Event::TargetAnnounced, target_id = agent.settings.target, ?announcement);
    }
    (StatusCode::NO_CONTENT, String::new())
}

async fn handle_settle(
    State(agent): State<Arc<Agent>>,
    Json(request): Json<SettleRequest>,
) -> std::result::Result<Json<SettleResponse>, StatusCode> {
    match agent.settle_rank(request.incarnation, request.next_step).await {
        Some(settled) => Ok(Json(SettleResponse { settled })),
        None => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}
