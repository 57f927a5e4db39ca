//! Calls of targets that end their membership. They name the target, not which start of it they mean, and may arrive late.

use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::view_sync::confirm_view;
use bilberryloft_routing::target_starts::MeantStart;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_transport::clock::boot_ms;
use serde_json::json;

use crate::control_api::COMMIT_TIMEOUT;
use crate::control_api::error_response;
use crate::state::RelayState;

/// What was decided on a call.
#[derive(Clone, Debug, PartialEq, Eq)]
enum LeaveDecision {
    /// The start that this entry knew is leaving.
    Accepted,
    /// A quorum knows of no such target, so there is nothing to end.
    NoTarget,
    /// The target has started again lately, so the call may be a late one of an earlier start.
    UncertainStart { remaining_ms: u64 },
    /// The quorum knows of another start than this entry.
    OtherStart { present: u64 },
    /// Whether the call is in force is not known.
    Unconfirmed { error: String },
}

impl LeaveDecision {
    fn name(&self) -> &'static str {
        match self {
            LeaveDecision::Accepted => "accepted",
            LeaveDecision::NoTarget => "no_target",
            LeaveDecision::UncertainStart { .. } => "uncertain_start",
            LeaveDecision::OtherStart { .. } => "other_start",
            LeaveDecision::Unconfirmed { .. } => "unconfirmed",
        }
    }

    fn into_response(self) -> Response {
        let text = match self {
            LeaveDecision::Accepted | LeaveDecision::NoTarget => {
                return axum::Json(json!({})).into_response();
            }
            LeaveDecision::UncertainStart { remaining_ms } => format!(
                "the target has started again lately, and this call may be one of an earlier start; it is accepted in \
                 {remaining_ms} ms"
            ),
            LeaveDecision::OtherStart { present } => {
                format!("this entry has not known of the target's present start {present}")
            }
            LeaveDecision::Unconfirmed { error } => error,
        };
        error_response(StatusCode::SERVICE_UNAVAILABLE, &text)
    }
}

/// Start of a target, as this entry knows it.
#[derive(Clone, Copy, Debug)]
struct PresentStart {
    incarnation: u64,
    is_leaving: bool,
    /// Incarnation before it.
    earlier: Option<u64>,
}

/// Marks the start of a target that a call means as leaving; the answer is a success only if that start is known for certain.
///
/// A caller that is told otherwise and is still there asks again; one of an earlier start has ended.
pub async fn leave(state: &RelayState, name: &str) -> Response {
    // A caller that gave up while this process was frozen may have asked another entry and ended.
    state.lifecycle.wait_after_stall().await;
    let waited_ms = state.lifecycle.unread_ms();
    let start = present_start(state, name);
    let decision = decide(state, name, start, waited_ms).await;
    log_event!(
        info,
        Event::LeaveDecided,
        target_id = name,
        outcome = decision.name(),
        ?decision,
        incarnation = start.map(|it| it.incarnation),
        earlier = start.and_then(|it| it.earlier),
        view_age_ms = state.daemon.view.confirmed_age_ms(),
        waited_ms
    );
    decision.into_response()
}

async fn decide(
    state: &RelayState,
    name: &str,
    known: Option<PresentStart>,
    waited_ms: u64,
) -> LeaveDecision {
    let Some(start) = known else {
        return decide_unknown(state, name).await;
    };
    if start.earlier.is_some() && !start.is_leaving {
        let starts = state.starts.lock();
        let meant = starts.meant_start(name, start.incarnation, waited_ms, boot_ms());
        if let MeantStart::Uncertain { remaining_ms } = meant {
            return LeaveDecision::UncertainStart { remaining_ms };
        }
    }
    let incarnation = Some(start.incarnation);
    let command = Command::Leave { name: name.to_string(), incarnation };
    match state.daemon.control.propose(&command, COMMIT_TIMEOUT).await {
        Ok(Outcome::OtherStart { present }) => LeaveDecision::OtherStart { present },
        Ok(_) => LeaveDecision::Accepted,
        Err(error) => LeaveDecision::Unconfirmed { error: error.to_string() },
    }
}

/// Decides on a call for a target that this entry doesn't know. If others do, the caller is to ask them.
async fn decide_unknown(state: &RelayState, name: &str) -> LeaveDecision {
    let (view, settings) = (&state.daemon.view, &state.daemon.settings);
    let (daemon, address) = (&settings.daemon, &settings.peer_address);
    let is_confirmed = confirm_view(view, &state.daemon.control, daemon, address, COMMIT_TIMEOUT);
    match (is_confirmed.await, present_start(state, name)) {
        (true, None) => LeaveDecision::NoTarget,
        (_, Some(start)) => LeaveDecision::OtherStart { present: start.incarnation },
        (false, None) => LeaveDecision::Unconfirmed {
            error: "this entry does not know the target, and no quorum confirms that there is none"
                .to_string(),
        },
    }
}

fn present_start(state: &RelayState, name: &str) -> Option<PresentStart> {
    let membership = state.daemon.view.membership();
    let record = membership.targets().get(name)?;
    Some(PresentStart {
        incarnation: record.incarnation,
        is_leaving: record.description.leaving,
        earlier: record.earlier_incarnation,
    })
}
