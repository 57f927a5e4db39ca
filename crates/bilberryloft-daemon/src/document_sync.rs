//! Asks control hosts for the document in parts while a newer version is known than the one held.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::document_transfer::PartRequest;
use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::convert::part_from_wire;
use bilberryloft_protocol::convert::part_request_to_wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::error::Error;

use crate::control_client::ControlClient;
use crate::events::Event;
use crate::log_event;
use crate::view::View;
use crate::view_sync::STALL_TIMEOUT;
use crate::view_sync::pause_before_retry;

/// Time for a control host to send one part of the document.
const PART_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Starts a task on the current runtime that asks for the document in parts while a newer version is known.
///
/// A long document thus holds up nothing else, and an interrupted transfer goes on at another host.
pub fn spawn_document_sync(view: Arc<View>, control: ControlClient) {
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
