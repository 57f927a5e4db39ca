//! Readiness endpoint, by which the balancer checks whether this entry takes new connections.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_state::error::Result;
use http_body_util::Empty;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::memory::serve::accept;
use crate::memory::serve::listen;
use crate::state::RelayState;

/// Serves the readiness endpoint at the configured address.
pub async fn serve_readiness(state: Arc<RelayState>) -> Result<()> {
    let address = state.settings.ready_address.clone();
    let listener = listen(&address, &state.memory).await?;
    let was_ready = Arc::new(AtomicBool::new(false));
    let (table, served) = (state.memory.balancers.clone(), state.clone());
    let serve = move |request: Request<Incoming>, _| {
        let (state, was_ready) = (served.clone(), was_ready.clone());
        async move {
            let is_known = request.uri().path() == state.dialect.readiness_path();
            let status = match *request.method() {
                Method::GET | Method::HEAD if is_known => status(&state, &was_ready),
                _ if is_known => StatusCode::METHOD_NOT_ALLOWED,
                _ => StatusCode::NOT_FOUND,
            };
            let mut answer = Response::new(Empty::new());
            *answer.status_mut() = status;
            answer
        }
    };
    tokio::spawn(accept(listener, state, table, serve));
    Ok(())
}

fn status(state: &RelayState, was_ready: &AtomicBool) -> StatusCode {
    let is_ready = state.is_ready();
    if was_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
        let (version, stopping) = (state.routes().version(), state.lifecycle.is_stopping());
        log_event!(info, Event::ReadinessChanged, is_ready, version, stopping);
    }
    if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}
