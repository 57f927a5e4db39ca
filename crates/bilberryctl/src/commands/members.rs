//! `bilberryctl members`: lists and changes the members of the quorum, through the leader's admin address.

use bilberryloft_state::member_set::MemberSet;
use clap::Subcommand;

use crate::client::AdminClient;
use crate::client::error_text;
use crate::failure::Failure;
use crate::table::print_json;

/// Commands for the quorum.
#[derive(Subcommand)]
pub enum MembersCommand {
    /// Lists voters and learners.
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
            MembersCommand::List => return print_json(&members),
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
