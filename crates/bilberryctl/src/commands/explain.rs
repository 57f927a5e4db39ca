//! `bilberryctl explain`: why a request was routed to its target or refused.

use bilberryloft_protocol::api::Explanation;
use bilberryloft_state::record::DecisionRecord;
use clap::Args;

use crate::client::AdminClient;
use crate::failure::Failure;
use crate::table::print_json;
use crate::table::print_table;

/// Arguments of `bilberryctl explain`.
#[derive(Args)]
pub struct ExplainCommand {
    /// Id of the request, from the response header `bilberryloft-request-id` or from a refusal.
    request_id: String,
}

impl ExplainCommand {
    /// Prints the decision records of the request; fails if no daemon that responded has one.
    pub fn run(self, client: &AdminClient, json: bool) -> Result<(), Failure> {
        let explanation: Explanation =
            client.get(&format!("/operator/explain/{}", self.request_id))?;
        if json {
            print_json(&explanation)?;
        } else {
            explanation.records.iter().for_each(print_record);
        }
        for error in &explanation.unreachable {
            eprintln!("could not fetch the records of a daemon: {error}");
        }
        if explanation.records.is_empty() {
            let text =
                format!("no record of request {} on any daemon that responded", self.request_id);
            return Err(Failure::NotFound(text));
        }
        Ok(())
    }
}

fn print_record(record: &DecisionRecord) {
    println!("{} at {} ms by {}", record.step, record.at_ms, record.daemon);
    println!("  request {} of team {}, attempt {}", record.request_id, record.team, record.attempt);
    println!(
        "  configuration {}, membership {}",
        record.configuration_version, record.membership_version
    );
    println!("  rule    {}", record.rule);
    println!("  outcome {}", record.outcome);
    if record.candidates.is_empty() {
        return;
    }
    let mut rows = Vec::new();
    for candidate in &record.candidates {
        rows.push(vec![
            format!("  {}", candidate.target),
            candidate.reported.to_string(),
            candidate.own_since.to_string(),
            candidate.report_age_ms.to_string(),
            format!("{:.3}", candidate.score),
        ]);
    }
    print_table(&["  CANDIDATE", "REPORTED", "OWN_SINCE", "REPORT_AGE_MS", "SCORE"], &rows);
}
