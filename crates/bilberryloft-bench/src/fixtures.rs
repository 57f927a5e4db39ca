//! Teams and targets for the benchmarks.

use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::ChangeRequest;
use bilberryloft_state::configuration::Team;
use bilberryloft_state::configuration::token_digest;
use bilberryloft_state::membership::TargetDescription;
use bilberryloft_testing::fleet::change_request;

/// Returns a change that adds a team with its own token.
pub fn team_change(number: usize) -> ChangeRequest {
    let team = Team {
        name: format!("team-{number}"),
        template: "depots".to_string(),
        token_sha256: vec![token_digest(&format!("token-{number}"))],
        weight: None,
        models: None,
        in_flight_max: None,
    };
    change_request(ChangeKind::SetTeam(team))
}

/// Returns the description of a target of usual size.
pub fn target_description() -> TargetDescription {
    TargetDescription {
        agent_address: "10.100.100.100:7402".to_string(),
        data_center: "dc-1".to_string(),
        models: vec!["forecast-writer".to_string()],
        services: Vec::new(),
        slots: 16,
        ranks: 32,
        checks_fencing: true,
        direct: false,
        leaving: false,
        cold_for_ms: 0,
    }
}
