//! Sends a configuration change and prints its outcome.

use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::ChangeOutcome;
use bilberryloft_state::configuration::ChangeRequest;
use clap::Args;

use crate::client::AdminClient;
use crate::client::error_text;
use crate::failure::Failure;
use crate::table::print_json;

/// Arguments of every command that changes the configuration.
#[derive(Args, Clone, Debug)]
pub struct ChangeArguments {
    /// Id of the change; sending a change again with the same id is safe. Generated and printed if not given.
    #[arg(long)]
    pub change_id: Option<String>,
    /// Configuration version that this change is based on; a later change of the same object is a conflict.
    #[arg(long)]
    pub base_version: Option<u64>,
    /// Author of the change, for the history.
    #[arg(long, env = "USER", default_value = "operator")]
    pub author: String,
    /// Reason for the change, for the history.
    #[arg(long, default_value = "")]
    pub reason: String,
}

/// Sends a change and prints the version that accepted it; a conflict or an invalid change is an error.
pub fn send_change(
    client: &AdminClient,
    json: bool,
    arguments: &ChangeArguments,
    kind: ChangeKind,
) -> Result<(), Failure> {
    let change_id = arguments.change_id.clone().unwrap_or_else(generate_change_id);
    let request = ChangeRequest {
        change_id: change_id.clone(),
        base_version: arguments.base_version,
        author: arguments.author.clone(),
        reason: arguments.reason.clone(),
        kind,
    };
    let (status, body) = client.post("/operator/changes", &request).map_err(|failure| match failure {
        Failure::Daemon(text) => Failure::Daemon(format!(
            "{text}; it is unknown whether the change was accepted, send it again with --change-id {change_id}"
        )),
        other => other,
    })?;
    if !matches!(status, 200 | 409 | 422) {
        return Err(Failure::Daemon(format!("{} (change id {change_id})", error_text(&body))));
    }
    let outcome: ChangeOutcome = client.parse(&body)?;
    match outcome {
        ChangeOutcome::Accepted { version } => {
            if json {
                return print_json(&outcome);
            }
            println!("accepted as version {version} (change id {change_id})");
            Ok(())
        }
        ChangeOutcome::Conflict { object_version, winner_change_id, winner_author } => {
            Err(Failure::Conflict(format!(
                "the object was changed in version {object_version} by {winner_author} (change id {winner_change_id})"
            )))
        }
        ChangeOutcome::Invalid { detail } => Err(Failure::Invalid(detail)),
    }
}

fn generate_change_id() -> String {
    format!("ctl-{:016x}", fastrand::u64(..))
}
