//! Evacuations of data centres: the list for operators, and their orders.

use axum::Json;
use axum::extract::Path;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use bilberryloft_protocol::api::DaemonStatus;
use bilberryloft_protocol::api::EvacuationReport;
use bilberryloft_protocol::api::EvacuationRequest;
use bilberryloft_protocol::api::WatcherRow;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::evacuation::ListedEvacuation;
use bilberryloft_transport::clock::monotonic_ms;

use crate::admin::AdminState;
use crate::admin::STATUS_TIMEOUT;
use crate::admin::error_response;
use crate::evacuation::OrderResult;
use crate::evacuation::order;
use crate::shared::Shared;

/// Lists the evacuations that this daemon holds, and the version that each daemon held when it last asked a control host.
pub(super) async fn list(State(admin): State<AdminState>) -> Json<EvacuationReport> {
    let (mut watchers, mut unreachable) = (Vec::new(), Vec::new());
    for client in admin.shared.control.clients() {
        let response = client.call(Body::Status(wire::Status::new()), STATUS_TIMEOUT).await;
        match response {
            Ok(Body::StatusReply(reply)) => {
                match serde_json::from_slice::<DaemonStatus>(&reply.status) {
                    Ok(status) => watchers.extend(status.watchers),
                    Err(error) => unreachable.push(format!("{}: {error}", client.address())),
                }
            }
            Ok(_) => unreachable.push(format!("{}: unexpected response", client.address())),
            Err(error) => unreachable.push(format!("{}: {error}", client.address())),
        }
    }
    Json(EvacuationReport {
        version: admin.shared.view.evacuations().version,
        confirmed_age_ms: admin.shared.view.confirmed_age_ms(),
        data_centers: held(&admin.shared),
        watchers: latest_watches(watchers),
        unreachable,
    })
}

fn held(shared: &Shared) -> Vec<ListedEvacuation> {
    let (evacuations, now_ms) = (shared.view.evacuations(), monotonic_ms());
    let listed = evacuations.by_data_center.iter().map(|(data_center, held)| ListedEvacuation {
        data_center: data_center.clone(),
        state: held.state,
        age_ms: now_ms.saturating_sub(held.changed_local_ms),
    });
    listed.collect()
}

/// Keeps the latest watch of each daemon, which may have asked several control hosts.
fn latest_watches(mut watchers: Vec<WatcherRow>) -> Vec<WatcherRow> {
    watchers.sort_by(|left, right| {
        (&left.daemon, left.asked_ago_ms).cmp(&(&right.daemon, right.asked_ago_ms))
    });
    watchers.dedup_by(|left, right| left.daemon == right.daemon);
    watchers
}

/// Begins or ends the evacuation of a data centre.
pub(super) async fn submit(
    State(admin): State<AdminState>,
    Path(data_center): Path<String>,
    Json(request): Json<EvacuationRequest>,
) -> Response {
    let result = order(&admin.shared, &data_center, request.is_evacuated).await;
    match &result {
        OrderResult::InForce(state) => Json(*state).into_response(),
        _ => error_response(result.status(), &result.text(&data_center)),
    }
}
