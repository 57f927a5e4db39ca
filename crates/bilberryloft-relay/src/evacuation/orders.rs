//! Orders of operators to the control API.

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
    let body = match &result {
        OrderResult::InForce(state) => {
            json!({"data_center": data_center, "is_evacuated": is_evacuated, "version": state.version})
        }
        _ => json!({"error": result.text(data_center)}),
    };
    (result.status(), axum::Json(body)).into_response()
}
