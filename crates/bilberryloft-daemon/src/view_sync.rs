//! Keeps a [`View`] in sync with the replicated state by long polling the control hosts.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::document_transfer::PartRequest;
use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::convert::part_from_wire;
use bilberryloft_protocol::convert::part_request_to_wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::ReadIndex;
use bilberryloft_protocol::wire::Watch;
use bilberryloft_state::error::Error;
use bilberryloft_transport::clock::monotonic_ms;

use crate::control_client::ControlClient;
use crate::events::Event;
use crate::log_event;
use crate::view::View;

/// Time for which a control host holds a watch open when nothing changes, in milliseconds.
pub const WATCH_WAIT_MS: u64 = 500;
/// Time for a control host to respond to a watch: the time that it is held open, and 600 ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(WATCH_WAIT_MS + 600);
/// Time without any further byte after which an answer that is late counts as lost.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for a control host to send one part of the document.
const PART_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest interval between checks for a nearer control host, in milliseconds; the shortest is half of it.
const HOST_CHOICE_INTERVAL_MS: u64 = 2_000;
/// Time for a nearer control host to show that a quorum answers through it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
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
    spawn_host_choice(control.clone());
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

/// Starts a task on the current runtime that moves to the nearest control host once a quorum answers through it.
fn spawn_host_choice(control: ControlClient) {
    tokio::spawn(async move {
        loop {
            let pause_ms = fastrand::u64(HOST_CHOICE_INTERVAL_MS / 2..=HOST_CHOICE_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            learn_data_centers(&control).await;
            move_nearer(&control).await;
        }
    });
}

/// Prefers the nearest control host through which a quorum answers.
async fn move_nearer(control: &ControlClient) {
    for nearer in control.nearer() {
        let request = Body::ReadIndex(ReadIndex::new(false));
        if let Ok(Body::ReadIndexReply(_)) = nearer.call(request, PROBE_TIMEOUT).await {
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

/// Starts a task on the current runtime that asks for the document in parts while a newer version is known.
///
/// A long document thus holds up nothing else, and an interrupted transfer goes on at another host.
fn spawn_document_sync(view: Arc<View>, control: ControlClient) {
    tokio::spawn(async move {
        let mut versions = view.versions();
        loop {
            let Some(request) = view.next_document_request() else {
                if versions.changed().await.is_err() {
                    return;
                }
                continue;
            };
            if !read_part(&view, &control, request).await {
                pause_before_retry().await;
            }
        }
    });
}

/// Asks a control host for one part of the document; returns whether it was of use.
async fn read_part(view: &View, control: &ControlClient, request: PartRequest) -> bool {
    let client = control.preferred();
    let body = Body::ReadDocument(part_request_to_wire(request));
    let error = match client.call_while_arriving(body, PART_TIMEOUT, STALL_TIMEOUT).await {
        Ok(Body::DocumentPart(part)) => {
            return part_from_wire(part).is_some_and(|it| view.receive_part(it));
        }
        Ok(Body::Redirect(redirect)) => {
            control.follow_redirect(&client, &redirect.addresses);
            return false;
        }
        Ok(other) => Error::protocol("read_document", client.address(), body_name(&other)),
        Err(error) => error,
    };
    let (host, version) = (client.address(), request.held_version);
    log_event!(warn, Event::DocumentReadFailed, host, version, offset = request.offset, %error);
    control.avoid(&client);
    false
}

/// Builds a watch for all changes after the versions that the view holds.
fn build_watch(view: &View, daemon: &str, peer_address: &str) -> Watch {
    let versions = view.requested_versions();
    Watch {
        daemon: daemon.to_string(),
        configuration_version: versions.configuration as i64,
        membership_version: versions.membership as i64,
        wait_ms: WATCH_WAIT_MS as i64,
        suspects_version: versions.suspects as i64,
        peer_address: peer_address.to_string(),
        document_version: Some(versions.document as i64),
        known_document_version: Some(versions.known_document as i64),
        takes_compact_updates: Some(true),
    }
}

/// Sends one watch to a control host and applies its update; returns whether a quorum has confirmed the update.
async fn sync_once(view: &View, control: &ControlClient, watch: Watch) -> bool {
    let requested_ms = monotonic_ms();
    let client = control.preferred();
    let document = watch.document_version;
    let result =
        client.call_while_arriving(Body::Watch(watch), RESPONSE_TIMEOUT, STALL_TIMEOUT).await;
    let elapsed_ms = monotonic_ms() - requested_ms;
    match result {
        Ok(Body::Update(update)) => {
            let is_confirmed = update.confirmed;
            if !is_confirmed {
                let error = "no quorum has confirmed the answer";
                log_event!(
                    warn,
                    Event::WatchFailed,
                    host = client.address(),
                    elapsed_ms,
                    document,
                    error
                );
            }
            control.learn(update.control_addresses.as_deref().unwrap_or_default());
            view.apply(update, requested_ms);
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
        Ok(other) => {
            let error = format!("unexpected answer {}", body_name(&other));
            log_event!(
                warn,
                Event::WatchFailed,
                host = client.address(),
                elapsed_ms,
                document,
                error
            );
            control.avoid(&client);
            false
        }
        Err(error) => {
            log_event!(warn, Event::WatchFailed, host = client.address(), elapsed_ms, document, %error);
            control.avoid(&client);
            false
        }
    }
}

async fn pause_before_retry() {
    tokio::time::sleep(Duration::from_millis(fastrand::u64(RETRY_PAUSE_MS..=3 * RETRY_PAUSE_MS)))
        .await;
}
