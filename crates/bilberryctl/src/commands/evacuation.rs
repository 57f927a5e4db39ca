//! `bilberryctl evacuation`: data centres whose targets get no requests.

use bilberryloft_protocol::api::EvacuationReport;
use bilberryloft_protocol::api::EvacuationRequest;
use bilberryloft_protocol::api::WatcherRow;
use bilberryloft_state::evacuation::Evacuation;
use clap::Subcommand;

use crate::client::AdminClient;
use crate::client::error_text;
use crate::failure::Failure;
use crate::table::print_json;
use crate::table::print_table;

/// Commands for evacuations.
#[derive(Subcommand)]
pub enum EvacuationCommand {
    /// Lists the data centres that orders have named, and where an order is not in force yet.
    List,
    /// Orders that nothing more be sent to the targets of a data centre.
    Begin {
        /// Name of the data centre.
        data_center: String,
    },
    /// Withdraws the order.
    End {
        /// Name of the data centre.
        data_center: String,
    },
}

impl EvacuationCommand {
    /// Runs the command; an order is in force once it succeeds, and may be sent again if it fails.
    pub fn run(self, client: &AdminClient, json: bool) -> Result<(), Failure> {
        match self {
            EvacuationCommand::List => list(client, json),
            EvacuationCommand::Begin { data_center } => order(client, &data_center, true, json),
            EvacuationCommand::End { data_center } => order(client, &data_center, false, json),
        }
    }
}

fn order(
    client: &AdminClient,
    data_center: &str,
    is_evacuated: bool,
    json: bool,
) -> Result<(), Failure> {
    let path = format!("/operator/evacuations/{data_center}");
    let (status, body) = client.post(&path, &EvacuationRequest { is_evacuated })?;
    match status {
        200 => {
            let state: Evacuation = client.parse(&body)?;
            if json {
                return print_json(&state);
            }
            println!("order {} is in force: {}", state.version, describe(state.is_evacuated));
            Ok(())
        }
        404 => Err(Failure::NotFound(error_text(&body))),
        _ => Err(Failure::Daemon(error_text(&body))),
    }
}

fn list(client: &AdminClient, json: bool) -> Result<(), Failure> {
    let report: EvacuationReport = client.get("/operator/evacuations")?;
    if json {
        return print_json(&report);
    }
    let mut rows = Vec::new();
    for listed in &report.data_centers {
        let behind = report.watchers.iter().filter(|it| is_behind(it, listed.state.version));
        rows.push(vec![
            listed.data_center.clone(),
            describe(listed.state.is_evacuated).to_string(),
            listed.state.version.to_string(),
            listed.age_ms.to_string(),
            behind.count().to_string(),
        ]);
    }
    print_table(&["DATA_CENTER", "STATE", "ORDER", "AGE_MS", "NOT_YET_AT"], &rows);
    for watcher in report.watchers.iter().filter(|it| is_behind(it, report.version)) {
        println!("{}", describe_watcher(watcher, report.version));
    }
    match report.confirmed_age_ms {
        Some(age_ms) => println!("confirmed by a quorum {age_ms} ms ago"),
        None => println!("no quorum has confirmed this list"),
    }
    for error in &report.unreachable {
        println!("not reached: {error}");
    }
    Ok(())
}

fn describe(is_evacuated: bool) -> &'static str {
    if is_evacuated { "evacuated" } else { "in use" }
}

fn is_behind(watcher: &WatcherRow, version: u64) -> bool {
    watcher.evacuations_version.is_none_or(|it| it < version)
}

/// Says why the latest order is not in force at a daemon.
fn describe_watcher(watcher: &WatcherRow, version: u64) -> String {
    let (daemon, asked_ago_ms) = (&watcher.daemon, watcher.asked_ago_ms);
    match watcher.evacuations_version {
        Some(held) => format!(
            "{daemon}: held order {held} of {version} when it asked last, {asked_ago_ms} ms ago"
        ),
        None => format!(
            "{daemon}: runs an earlier version that has no evacuations; it asked last {asked_ago_ms} ms ago"
        ),
    }
}
