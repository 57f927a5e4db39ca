//! `bilberryctl config`: the history of the configuration, and the version that each daemon has in force.

use bilberryloft_protocol::api::DaemonStatus;
use bilberryloft_protocol::api::History;
use clap::Subcommand;
use serde_json::json;

use crate::client::AdminClient;
use crate::commands::config_check::ConfigCheck;
use crate::failure::Failure;
use crate::table::print_json;
use crate::table::print_table;

/// Commands for the configuration.
#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Lists recent changes with their time, author and reason.
    History,
    /// Prints the changes after one version, up to and including another.
    Diff {
        /// Version after which to start.
        from: u64,
        /// Last version to print; the latest by default.
        to: Option<u64>,
    },
    /// Shows which version each daemon has in force.
    Status,
    /// Checks a routing configuration before it is sent: whether the control API would reject it, and what is probably a mistake.
    Check(ConfigCheck),
}

impl ConfigCommand {
    /// Fetches what the command shows and prints it.
    pub fn run(self, client: &AdminClient, json: bool) -> Result<(), Failure> {
        match self {
            ConfigCommand::History => history(client, json),
            ConfigCommand::Diff { from, to } => diff(client, from, to),
            ConfigCommand::Status => status(client, json),
            ConfigCommand::Check(check) => check.run(json),
        }
    }
}

fn history(client: &AdminClient, json: bool) -> Result<(), Failure> {
    let history: History = client.get("/operator/history")?;
    if json {
        return print_json(&history);
    }
    let mut rows = Vec::new();
    for change in &history.changes {
        rows.push(vec![
            change.version.to_string(),
            change.at_ms.to_string(),
            change.author.clone(),
            change.kind.object(),
            change.change_id.clone(),
            change.reason.clone(),
        ]);
    }
    print_table(&["VERSION", "AT_MS", "AUTHOR", "OBJECT", "CHANGE_ID", "REASON"], &rows);
    Ok(())
}

fn diff(client: &AdminClient, from: u64, to: Option<u64>) -> Result<(), Failure> {
    let history: History = client.get("/operator/history")?;
    let to = to.unwrap_or(history.version);
    let oldest = history.changes.first().map_or(history.version, |it| it.version);
    if from + 1 < oldest {
        return Err(Failure::NotFound(format!(
            "changes before version {oldest} are no longer kept"
        )));
    }
    let changes: Vec<_> =
        history.changes.iter().filter(|it| it.version > from && it.version <= to).collect();
    print_json(&changes)
}

fn status(client: &AdminClient, json: bool) -> Result<(), Failure> {
    let hosts: Vec<Result<DaemonStatus, String>> = client.get("/operator/fleet")?;
    if json {
        return print_json(&json!(hosts));
    }
    let latest = hosts.iter().flatten().map(|it| it.configuration_version).max().unwrap_or(0);
    let mut rows = Vec::new();
    for host in hosts.iter().flatten() {
        rows.push(status_row(
            &host.daemon,
            host.configuration_version,
            latest,
            host.confirmed_age_ms,
            "control",
        ));
        for watcher in &host.watchers {
            let age = Some(watcher.asked_ago_ms);
            rows.push(status_row(
                &watcher.daemon,
                watcher.configuration_version,
                latest,
                age,
                &host.daemon,
            ));
        }
    }
    rows.sort();
    rows.dedup_by(|left, right| left[0] == right[0]);
    print_table(&["DAEMON", "VERSION", "IN_FORCE", "LAST_HEARD_MS", "THROUGH"], &rows);
    for host in hosts.iter().flatten() {
        println!(
            "{}: term {}, committed {}, leader {}, {}",
            host.daemon,
            host.term.unwrap_or(0),
            host.commit_index.unwrap_or(0),
            host.leader.as_deref().unwrap_or("not known"),
            if host.may_vote == Some(true) { "votes" } else { "does not vote yet" },
        );
    }
    for error in hosts.iter().filter_map(|it| it.as_ref().err()) {
        println!("not reached: {error}");
    }
    Ok(())
}

fn status_row(
    daemon: &str,
    version: u64,
    latest: u64,
    age_ms: Option<u64>,
    through: &str,
) -> Vec<String> {
    vec![
        daemon.to_string(),
        version.to_string(),
        if version >= latest { "yes" } else { "not yet" }.to_string(),
        age_ms.map_or("never".to_string(), |it| it.to_string()),
        through.to_string(),
    ]
}
