//! Following the replicated state: one long question to a control host after another.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::Watch;
use bilberryloft_transport::clock::monotonic_ms;

use crate::control_client::ControlClient;
use crate::events::Event;
use crate::log_event;
use crate::view::View;

/// Time for which a control host holds a question open when nothing changes, in milliseconds.
pub const WATCH_WAIT_MS: u64 = 500;
/// Time for a control host to answer beyond that.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(WATCH_WAIT_MS + 600);
/// Shortest pause after a failed question, in milliseconds.
const PAUSE_MS: u64 = 30;

/// Starts following on the current runtime.
pub fn spawn_view_sync(
    view: Arc<View>,
    control: ControlClient,
    daemon: String,
    peer_address: String,
) {
    tokio::spawn(async move {
        let mut was_serving = false;
        loop {
            let watch = watch_from(&view, &daemon, &peer_address);
            if !ask(&view, &control, watch).await {
                continue_soon().await;
            }
            let serves = view.may_serve();
            if was_serving && !serves {
                let age_ms = view.confirmed_age_ms();
                log_event!(error, Event::ConfigurationUnconfirmed, age_ms);
            }
            was_serving = serves;
        }
    });
}

/// The question for everything after what the view holds.
fn watch_from(view: &View, daemon: &str, peer_address: &str) -> Watch {
    let versions = view.versions_to_ask();
    Watch {
        daemon: daemon.to_string(),
        configuration_version: versions.configuration as i64,
        membership_version: versions.membership as i64,
        wait_ms: WATCH_WAIT_MS as i64,
        suspects_version: versions.suspects as i64,
        peer_address: peer_address.to_string(),
        document_version: Some(versions.document as i64),
    }
}

/// Asks one control host; returns whether a quorum has confirmed its answer.
async fn ask(view: &View, control: &ControlClient, watch: Watch) -> bool {
    let asked_ms = monotonic_ms();
    let client = control.preferred();
    match client.call(Body::Watch(watch), ANSWER_TIMEOUT).await {
        Ok(Body::Update(update)) => {
            let is_confirmed = update.confirmed;
            control.learn(update.control_addresses.as_deref().unwrap_or_default());
            view.apply(update, asked_ms);
            if !is_confirmed {
                // Another host may still reach a quorum.
                control.avoid(&client);
            }
            is_confirmed
        }
        Ok(Body::Redirect(redirect)) => {
            control.follow_redirect(&client, &redirect.addresses);
            false
        }
        Ok(_) | Err(_) => {
            control.avoid(&client);
            false
        }
    }
}

async fn continue_soon() {
    tokio::time::sleep(Duration::from_millis(fastrand::u64(PAUSE_MS..=3 * PAUSE_MS))).await;
}
