//! `bilberryctl members`: lists and changes the members of the quorum, through the leader's admin address.

use bilberryloft_coordination::loss_tolerance::LossTolerance;
use bilberryloft_protocol::api::QuorumReport;
use bilberryloft_state::member_set::MemberSet;
use clap::Subcommand;

use crate::client::AdminClient;
use crate::client::error_text;
use crate::failure::Failure;
use crate::table::print_json;
use crate::table::print_table;

/// Commands for the quorum.
#[derive(Subcommand)]
pub enum MembersCommand {
    /// Lists voters and learners, and how many voters may be lost at this moment.
    List,
    /// Adds a learner: a member that receives the log but does not vote.
    Add {
        /// Id of the new member; it must never have been used before.
        member: u32,
        /// Peer address of the new member.
        address: String,
    },
    /// Makes a learner a voter.
    Promote {
        /// Id of the learner.
        member: u32,
    },
    /// Removes a voter or learner.
    Remove {
        /// Id of the member.
        member: u32,
    },
}

impl MembersCommand {
    /// Runs the command; changes are made to the member set that the daemon returns.
    pub fn run(self, client: &AdminClient, json: bool) -> Result<(), Failure> {
        let mut members: MemberSet = client.get("/operator/members")?;
        match self {
            MembersCommand::List => return list(client, json),
            MembersCommand::Add { member, address } => {
                if members.address(member).is_some() {
                    return Err(Failure::Invalid(format!(
                        "member {member} is already in the quorum"
                    )));
                }
                members.learners.insert(member, address);
            }
            MembersCommand::Promote { member } => match members.learners.remove(&member) {
                Some(address) => drop(members.voters.insert(member, address)),
                None => return Err(Failure::NotFound(format!("learner {member}"))),
            },
            MembersCommand::Remove { member } => {
                let voter = members.voters.remove(&member);
                let learner = members.learners.remove(&member);
                if voter.or(learner).is_none() {
                    return Err(Failure::NotFound(format!("member {member}")));
                }
            }
        }
        let (status, body) = client.post("/operator/members", &members)?;
        match status {
            200 if json => print_json(&members),
            200 => {
                println!("accepted");
                Ok(())
            }
            409 => Err(Failure::Conflict(error_text(&body))),
            _ => Err(Failure::Daemon(error_text(&body))),
        }
    }
}

fn list(client: &AdminClient, json: bool) -> Result<(), Failure> {
    let report: QuorumReport = client.get("/operator/quorum")?;
    if json {
        return print_json(&report);
    }
    let row = |role: &str, member: &u32, address: &String| {
        let leads = report.leader.as_ref() == Some(address);
        let leader = if leads { "leader" } else { "" };
        vec![member.to_string(), address.clone(), role.to_string(), leader.to_string()]
    };
    let members = &report.members;
    let mut rows: Vec<_> = members.voters.iter().map(|it| row("voter", it.0, it.1)).collect();
    rows.extend(members.learners.iter().map(|it| row("learner", it.0, it.1)));
    print_table(&["MEMBER", "ADDRESS", "ROLE", "LEADS"], &rows);
    println!("{}", describe(report.loss_tolerance.as_ref()));
    Ok(())
}

/// Says in a sentence how many losses the quorum tolerates, and why fewer than wanted.
fn describe(known: Option<&LossTolerance>) -> String {
    let Some(known) = known else {
        return "the leader did not say how many voters may be lost now".to_string();
    };
    let mut text = format!("{} of {} voters may be lost now", known.tolerated, known.wanted);
    if !known.out_of_sync.is_empty() {
        text.push_str(&format!("; out of sync: {:?}", known.out_of_sync));
    }
    if known.missing_voters > 0 {
        text.push_str(&format!("; {} voters are missing", known.missing_voters));
    }
    text
}
