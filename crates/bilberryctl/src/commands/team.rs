//! `bilberryctl team`: lists, creates, changes and removes teams.

use bilberryloft_protocol::api::TeamList;
use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::Team;
use bilberryloft_state::configuration::token_digest;
use clap::Subcommand;

use crate::change::ChangeArguments;
use crate::change::send_change;
use crate::client::AdminClient;
use crate::failure::Failure;
use crate::table::print_json;
use crate::table::print_table;

/// Commands for teams.
#[derive(Subcommand)]
pub enum TeamCommand {
    /// Creates a team, or changes the given parameters of an existing one.
    Set {
        /// Name of the team.
        name: String,
        /// Template of the team; required for a new team.
        #[arg(long)]
        template: Option<String>,
        /// Token that identifies the team; may be repeated. The given tokens replace all earlier ones.
        #[arg(long = "token")]
        tokens: Vec<String>,
        /// Weight, overriding the template's.
        #[arg(long)]
        weight: Option<u32>,
        /// Model, overriding the template's models; may be repeated.
        #[arg(long = "model")]
        models: Vec<String>,
        /// Most requests in flight at one entry, overriding the template's.
        #[arg(long)]
        in_flight_max: Option<u32>,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Removes a team.
    Remove {
        /// Name of the team.
        name: String,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Lists all teams.
    List,
    /// Shows one team.
    Show {
        /// Name of the team.
        name: String,
    },
}

impl TeamCommand {
    /// Runs the command; an update of a team keeps every parameter that is not given.
    pub fn run(self, client: &AdminClient, json: bool) -> Result<(), Failure> {
        match self {
            TeamCommand::Set {
                name,
                template,
                tokens,
                weight,
                models,
                in_flight_max,
                mut change,
            } => {
                let list: TeamList = client.get("/operator/teams")?;
                // Parameters that are not given keep their value of this version, so a later change of the team
                // is a conflict.
                change.base_version = change.base_version.or(Some(list.version));
                let existing = list.teams.into_iter().find(|it| it.name == name);
                let Some(template) =
                    template.or_else(|| existing.as_ref().map(|it| it.template.clone()))
                else {
                    return Err(Failure::Invalid(format!(
                        "team {name:?} is new; --template is required"
                    )));
                };
                let digests: Vec<String> = tokens.iter().map(|it| token_digest(it)).collect();
                let existing = existing.as_ref();
                let team = Team {
                    name,
                    template,
                    token_sha256: match digests.is_empty() {
                        true => existing.map(|it| it.token_sha256.clone()).unwrap_or_default(),
                        false => digests,
                    },
                    weight: weight.or(existing.and_then(|it| it.weight)),
                    models: match models.is_empty() {
                        true => existing.and_then(|it| it.models.clone()),
                        false => Some(models),
                    },
                    in_flight_max: in_flight_max.or(existing.and_then(|it| it.in_flight_max)),
                };
                send_change(client, json, &change, ChangeKind::SetTeam(team))
            }
            TeamCommand::Remove { name, change } => {
                send_change(client, json, &change, ChangeKind::RemoveTeam { name })
            }
            TeamCommand::List => list(client, json),
            TeamCommand::Show { name } => show(client, &name),
        }
    }
}

fn list(client: &AdminClient, json: bool) -> Result<(), Failure> {
    let list: TeamList = client.get("/operator/teams")?;
    if json {
        return print_json(&list.teams);
    }
    let or_template =
        |value: Option<u32>| value.map_or("template".to_string(), |it| it.to_string());
    let mut rows = Vec::new();
    for team in &list.teams {
        rows.push(vec![
            team.name.clone(),
            team.template.clone(),
            team.token_sha256.len().to_string(),
            or_template(team.weight),
            team.models.as_ref().map_or("template".to_string(), |it| it.join(",")),
            or_template(team.in_flight_max),
        ]);
    }
    println!("configuration version {}", list.version);
    print_table(&["TEAM", "TEMPLATE", "TOKENS", "WEIGHT", "MODELS", "IN_FLIGHT_MAX"], &rows);
    Ok(())
}

fn show(client: &AdminClient, name: &str) -> Result<(), Failure> {
    let list: TeamList = client.get("/operator/teams")?;
    match list.teams.iter().find(|it| it.name == name) {
        Some(team) => print_json(team),
        None => Err(Failure::NotFound(format!("team {name:?}"))),
    }
}
