//! `bilberryctl report`: reports on service levels.

use bilberryloft_protocol::api::BurnRow;
use bilberryloft_protocol::api::RemoteRow;
use clap::Subcommand;

use crate::client::AdminClient;
use crate::failure::Failure;
use crate::table::print_json;
use crate::table::print_table;

/// Commands for reports.
#[derive(Subcommand)]
pub enum ReportCommand {
    /// Error-budget burn rates of teams at one entry; above 1 a team spends more than its budget.
    Burn,
    /// Share of each service's requests that one entry may send to far data centres, and the reason for it.
    Remote,
}

impl ReportCommand {
    /// Fetches the report and prints it.
    pub fn run(self, client: &AdminClient, json: bool) -> Result<(), Failure> {
        match self {
            ReportCommand::Burn => burn(client, json),
            ReportCommand::Remote => remote(client, json),
        }
    }
}

fn burn(client: &AdminClient, json: bool) -> Result<(), Failure> {
    let report: Vec<BurnRow> = client.get("/operator/burn")?;
    if json {
        return print_json(&report);
    }
    let mut rows = Vec::new();
    for row in &report {
        let mut cells = vec![row.team.clone()];
        for window in &row.windows {
            cells.push(format!("{:.2} ({}/{})", window.burn_rate, window.bad, window.total));
        }
        cells.push(format!("{:.0}%", row.budget_left * 100.0));
        rows.push(cells);
    }
    print_table(&["TEAM", "5M", "1H", "6H", "3D", "BUDGET_LEFT"], &rows);
    Ok(())
}

fn remote(client: &AdminClient, json: bool) -> Result<(), Failure> {
    let report: Vec<RemoteRow> = client.get("/operator/remote")?;
    if json {
        return print_json(&report);
    }
    let mut rows = Vec::new();
    for row in &report {
        let costs = row.costs.iter().map(|(data_center, cost)| format!("{data_center}={cost:.1}"));
        let costs = costs.collect::<Vec<_>>().join(" ");
        let share = format!("{:.0}%", row.share * 100.0);
        rows.push(vec![row.service.clone(), share, row.reason.clone(), costs]);
    }
    print_table(&["SERVICE", "AWAY", "REASON", "COSTS_IN_REQUESTS"], &rows);
    Ok(())
}
