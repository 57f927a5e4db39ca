//! Records of requests that were refused because of an evacuation, for `bilberryctl explain`.

use bilberryloft_state::record::DecisionRecord;
use bilberryloft_transport::clock::epoch_ms;

use crate::answer::Refusal;
use crate::request::RelayRequest;
use crate::state::RelayState;

/// Records and counts a refusal if an evacuation is its cause.
pub fn record_refusal(state: &RelayState, request: &RelayRequest, refusal: Refusal) {
    if refusal != Refusal::Evacuated {
        return;
    }
    state.daemon.metrics.evacuations.refusals.inc();
    let view = &state.daemon.view;
    let evacuated = state.services.targets.lock().evacuated().clone();
    let names: Vec<String> = evacuated.into_iter().collect();
    let confirmed = match view.confirmed_age_ms() {
        Some(age_ms) => format!("confirmed {age_ms} ms ago"),
        None => "never confirmed".to_string(),
    };
    let record = DecisionRecord {
        request_id: request.id.clone(),
        daemon: state.daemon.settings.daemon.clone(),
        at_ms: epoch_ms(),
        step: "refuse".to_string(),
        team: request.team.clone().unwrap_or_default(),
        attempt: 1,
        configuration_version: request.document_version,
        membership_version: view.membership().version(),
        candidates: Vec::new(),
        rule: format!(
            "all targets of service {} are in evacuated data centres: {}; order {}, {confirmed}",
            request.service,
            names.join(", "),
            state.evacuations.version(),
        ),
        outcome: refusal.name().to_string(),
    };
    state.daemon.refusals.lock().push(record);
}
