//! Keeps a [`View`] in sync with the replicated state by long polling the control hosts.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::convert::version_to_wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::Watch;
use bilberryloft_state::error::Error;
use bilberryloft_transport::clock::monotonic_ms;

use crate::control_client::ControlClient;
use crate::document_sync::spawn_document_sync;
use crate::events::Event;
use crate::host_choice::spawn_host_choice;
use crate::log_event;
use crate::view::View;

/// Time for which a control host holds a watch open when nothing changes, in milliseconds.
pub const WATCH_WAIT_MS: u64 = 500;
/// Time for a control host to respond to a watch: the time that it is held open, and 600 ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(WATCH_WAIT_MS + 600);
/// Time without any further byte after which an answer that is late counts as lost.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest pause after a failed watch, in milliseconds; the longest is three times that.
const RETRY_PAUSE_MS: u64 = 30;

/// Starts tasks on the current runtime that keep the view in sync.
pub fn spawn_view_sync(
    view: Arc<View>,
    control: ControlClient,
    daemon: String,
    peer_address: String,
) {
    spawn_document_sync(view.clone(), control.clone());
    spawn_host_choice(view.clone(), control.clone(), daemon.clone());
    tokio::spawn(async move {
        let mut was_serving = false;
        loop {
            let watch = build_watch(&view, &daemon, &peer_address);
            if !sync_once(&view, &control, watch).await {
                pause_before_retry().await;
            }
            let may_serve = view.may_serve();
            if was_serving && !may_serve {
                let age_ms = view.confirmed_age_ms();
                log_event!(error, Event::ConfigurationUnconfirmed, age_ms);
            }
            was_serving = may_serve;
        }
    });
}

/// Builds a watch for all changes after the versions that the view holds.
fn build_watch(view: &View, daemon: &str, peer_address: &str) -> Watch {
    let versions = view.requested_versions();
    let (document_version, holds_version_zero) = version_to_wire(versions.document);
    let (known_document_version, knows_version_zero) = version_to_wire(versions.known_document);
    Watch {
        daemon: daemon.to_string(),
        configuration_version: versions.configuration.cast_signed(),
        membership_version: versions.membership.cast_signed(),
        wait_ms: WATCH_WAIT_MS.cast_signed(),
        suspects_version: versions.suspects.cast_signed(),
        peer_address: peer_address.to_string(),
        document_version: Some(document_version),
        known_document_version: Some(known_document_version),
        takes_compact_updates: Some(true),
        evacuations_version: Some(versions.evacuations.cast_signed()),
        holds_version_zero,
        knows_version_zero,
    }
}

/// Builds a watch that is answered at once and asks only whether a quorum confirms what the host has applied, and for the
/// version of the document.
pub fn confirmation_request(view: &View, daemon: &str, peer_address: &str) -> Watch {
    Watch {
        configuration_version: i64::MAX,
        membership_version: i64::MAX,
        suspects_version: i64::MAX,
        document_version: None,
        // The highest version keeps its bits on the wire.
        known_document_version: Some(u64::MAX.cast_signed()),
        evacuations_version: None,
        wait_ms: 0,
        ..build_watch(view, daemon, peer_address)
    }
}

/// Asks control hosts for the newest state until a quorum has confirmed it and the view holds it; returns whether that came
/// about in time.
pub async fn confirm_view(
    view: &View,
    control: &ControlClient,
    daemon: &str,
    peer_address: &str,
    timeout: Duration,
) -> bool {
    let confirm = async {
        loop {
            let watch = Watch { wait_ms: 0, ..build_watch(view, daemon, peer_address) };
            if sync_once(view, control, watch).await {
                return;
            }
            pause_before_retry().await;
        }
    };
    tokio::time::timeout(timeout, confirm).await.is_ok()
}

/// Sends one watch to a control host and applies its update; returns whether a quorum has confirmed the update.
async fn sync_once(view: &View, control: &ControlClient, watch: Watch) -> bool {
    let requested_ms = monotonic_ms();
    let client = control.preferred();
    let document = view.document_version();
    let answer =
        client.call_while_arriving(Body::Watch(watch), RESPONSE_TIMEOUT, STALL_TIMEOUT).await;
    let error = match answer {
        Ok(Body::Update(update)) => {
            let is_confirmed = update.confirmed;
            control.learn(update.control_addresses.as_deref().unwrap_or_default());
            view.apply(update, requested_ms);
            if is_confirmed {
                return true;
            }
            // Another host may still reach a quorum.
            Error::protocol("watch", client.address(), "no quorum has confirmed the update")
        }
        Ok(Body::Redirect(redirect)) => {
            control.follow_redirect(&client, &redirect.addresses);
            return false;
        }
        Ok(other) => Error::protocol("watch", client.address(), body_name(&other)),
        Err(error) => error,
    };
    let (host, elapsed_ms) = (client.address(), monotonic_ms() - requested_ms);
    log_event!(warn, Event::WatchFailed, host, elapsed_ms, document, %error);
    control.avoid(&client);
    false
}

/// Pauses after a failed call, for a random time, so that daemons don't all come back at once.
pub async fn pause_before_retry() {
    tokio::time::sleep(Duration::from_millis(fastrand::u64(RETRY_PAUSE_MS..=3 * RETRY_PAUSE_MS)))
        .await;
}
