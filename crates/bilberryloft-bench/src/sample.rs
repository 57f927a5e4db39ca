//! Teams and targets for measurements.

use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::ChangeRequest;
use bilberryloft_state::configuration::Team;
use bilberryloft_state::configuration::token_digest;
use bilberryloft_state::membership::TargetDescription;
use bilberryloft_testing::fleet::change_request;

/// Change that makes a team with a token of its own.
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

/// A target of the usual size.
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
    }
}
