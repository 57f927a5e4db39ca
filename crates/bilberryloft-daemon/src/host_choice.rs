//! Moves a daemon to the nearest control host, from the one that served it first or after a failure.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::wire::Body;

use crate::control_client::ControlClient;
use crate::events::Event;
use crate::log_event;
use crate::view::View;
use crate::view_sync::confirmation_request;

/// Longest interval between checks for a nearer control host, in milliseconds; the shortest is half of it.
const HOST_CHOICE_INTERVAL_MS: u64 = 2_000;
/// Time for a nearer control host to show that a quorum answers through it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a task on the current runtime that moves to the nearest control host once a quorum answers through it.
pub fn spawn_host_choice(view: Arc<View>, control: ControlClient, daemon: String) {
    tokio::spawn(async move {
        loop {
            let pause_ms = fastrand::u64(HOST_CHOICE_INTERVAL_MS / 2..=HOST_CHOICE_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            learn_data_centers(&control).await;
            move_nearer(&view, &control, &daemon).await;
        }
    });
}

/// Prefers the nearest control host that has applied what a quorum confirms. One that lags behind, as with a slow disk,
/// is left alone.
async fn move_nearer(view: &View, control: &ControlClient, daemon: &str) {
    for nearer in control.nearer() {
        let request = Body::Watch(confirmation_request(view, daemon, ""));
        let answer = nearer.call(request, PROBE_TIMEOUT).await;
        if matches!(answer, Ok(Body::Update(update)) if update.confirmed) {
            let (host, before) = (nearer.address(), control.preferred());
            log_event!(info, Event::ControlHostChosen, host, before = before.address());
            return control.prefer(&nearer);
        }
    }
}

/// Connects to the control hosts whose data centres are not known yet; they name them when a connection is opened.
async fn learn_data_centers(control: &ControlClient) {
    for client in control.clients() {
        if client.peer_data_center().is_none()
            && let Err(error) = client.open().await
        {
            tracing::debug!(host = client.address(), %error, "a control host's data centre is not known");
        }
    }
}
