//! Orders of operators to the control API.

use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use bilberryloft_daemon::evacuation::OrderResult;
use bilberryloft_daemon::evacuation::order;
use serde_json::json;

use crate::state::RelayState;

/// Begins or ends the evacuation of a data centre; the answer says that it is in force only after the quorum has committed
/// the order.
pub async fn handle_order(state: &RelayState, data_center: &str, is_evacuated: bool) -> Response {
    // An operator that gave up while this process was frozen may have sent later orders to other entries.
    state.lifecycle.wait_after_stall().await;
    let result = order(&state.daemon, data_center, is_evacuated).await;
    let status = match &result {
        OrderResult::InForce(it) => {
            let version = it.version;
            let body = json!({"data_center": data_center, "is_evacuated": is_evacuated, "version": version});
            return axum::Json(body).into_response();
        }
        OrderResult::UnknownDataCenter => StatusCode::NOT_FOUND,
        OrderResult::Uninformed
        | OrderResult::Superseded(_)
        | OrderResult::EarlierMember
        | OrderResult::Unknown { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, axum::Json(json!({"error": result.text(data_center)}))).into_response()
}
