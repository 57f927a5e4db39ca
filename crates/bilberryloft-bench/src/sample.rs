//! Teams for measurements.

use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::ChangeRequest;
use bilberryloft_state::configuration::Team;
use bilberryloft_state::configuration::token_digest;
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
