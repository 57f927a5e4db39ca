//! `bilberryctl target`: lists, drains and resumes targets.

use bilberryloft_protocol::api::TargetRow;
use bilberryloft_state::configuration::ChangeKind;
use clap::Subcommand;

use crate::change::ChangeArguments;
use crate::change::send_change;
use crate::client::AdminClient;
use crate::failure::Failure;
use crate::table::print_json;
use crate::table::print_table;

/// Commands for targets.
#[derive(Subcommand)]
pub enum TargetCommand {
    /// Lists all known targets.
    List,
    /// Drains a target: it gets no new work.
    Drain {
        /// Name of the target.
        name: String,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Ends the drain of a target: it gets new work again.
    Resume {
        /// Name of the target.
        name: String,
        #[command(flatten)]
        change: ChangeArguments,
    },
}

impl TargetCommand {
    /// Lists the targets, or sends the change.
    pub fn run(self, client: &AdminClient, json: bool) -> Result<(), Failure> {
        match self {
            TargetCommand::List => list(client, json),
            TargetCommand::Drain { name, change } => {
                send_change(client, json, &change, ChangeKind::SetTarget { name, draining: true })
            }
            TargetCommand::Resume { name, change } => {
                send_change(client, json, &change, ChangeKind::SetTarget { name, draining: false })
            }
        }
    }
}

fn list(client: &AdminClient, json: bool) -> Result<(), Failure> {
    let targets: Vec<TargetRow> = client.get("/operator/targets")?;
    if json {
        return print_json(&targets);
    }
    let mut rows = Vec::new();
    for target in &targets {
        let description = &target.record.description;
        let state = match (target.record.reachable, target.draining) {
            (false, _) => "unreachable",
            (true, true) => "draining",
            (true, false) => "in use",
        };
        rows.push(vec![
            target.record.name.clone(),
            state.to_string(),
            description.data_center.clone(),
            description.models.join(","),
            description.services.join(","),
            description.slots.to_string(),
            target.record.incarnation.to_string(),
        ]);
    }
    print_table(
        &["TARGET", "STATE", "DATA_CENTRE", "MODELS", "SERVICES", "SLOTS", "INCARNATION"],
        &rows,
    );
    Ok(())
}
