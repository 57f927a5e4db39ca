//! `bilberryctl template`: lists and applies templates, from which teams take their defaults.

use std::path::PathBuf;

use bilberryloft_protocol::api::TeamList;
use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::Template;
use bilberryloft_state::error::Error;
use clap::Subcommand;

use crate::change::ChangeArguments;
use crate::change::send_change;
use crate::client::AdminClient;
use crate::failure::Failure;
use crate::table::print_json;
use crate::table::print_table;

/// Commands for templates.
#[derive(Subcommand)]
pub enum TemplateCommand {
    /// Creates or replaces a template from a JSON file.
    Apply {
        /// JSON file with the template.
        file: PathBuf,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Lists all templates.
    List,
}

impl TemplateCommand {
    /// Lists the templates, or reads a template from its file and sends it.
    pub fn run(self, client: &AdminClient, json: bool) -> Result<(), Failure> {
        match self {
            TemplateCommand::Apply { file, change } => {
                let text =
                    std::fs::read_to_string(&file).map_err(|it| Error::disk("read", &file, it))?;
                let template: Template = serde_json::from_str(&text)
                    .map_err(|it| Failure::Invalid(format!("{}: {it}", file.display())))?;
                send_change(client, json, &change, ChangeKind::ApplyTemplate(template))
            }
            TemplateCommand::List => list(client, json),
        }
    }
}

fn list(client: &AdminClient, json: bool) -> Result<(), Failure> {
    let list: TeamList = client.get("/operator/teams")?;
    if json {
        return print_json(&list.templates);
    }
    let mut rows = Vec::new();
    for template in &list.templates {
        rows.push(vec![
            template.name.clone(),
            template.models.join(","),
            template.services.join(","),
            template.weight.to_string(),
            template.priority.to_string(),
            if template.non_idempotent { "at most once" } else { "repeatable" }.to_string(),
            template.deadline_ms.to_string(),
        ]);
    }
    print_table(
        &["TEMPLATE", "MODELS", "SERVICES", "WEIGHT", "PRIORITY", "RUNS", "DEADLINE_MS"],
        &rows,
    );
    Ok(())
}
