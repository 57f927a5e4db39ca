//! The replicated state machine: every member applies the same commands in the same order.

use serde::Deserialize;
use serde::Serialize;

use crate::claim::ClaimOutcome;
use crate::claim::ClaimSite;
use crate::claim::Claims;
use crate::configuration::ChangeOutcome;
use crate::configuration::ChangeRequest;
use crate::configuration::Configuration;
use crate::document::StoredDocument;
use crate::expert_map_register::Decision;
use crate::expert_map_register::ExpertMapRegisters;
use crate::expert_map_register::SettleResult;
use crate::membership::Membership;
use crate::membership::TargetDescription;
use crate::suspect::Suspects;
use crate::suspect::TrialOutcome;

/// One command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A change of the configuration.
    Change(ChangeRequest),
    /// Puts a whole document of routes and services in force, unless one of the same or a higher version is.
    PutDocument(StoredDocument),
    /// Asks for the claim of a new piece of work.
    Claim {
        /// Key of the work.
        key: String,
        /// Request that asks.
        request_id: String,
        /// Digest of the work.
        fingerprint: i64,
        /// Where it shall run.
        site: ClaimSite,
    },
    /// Moves a claim after the agent has voided the expected attempt.
    MoveClaim {
        /// Key of the work.
        key: String,
        /// Request that must hold the claim.
        expected_request_id: String,
        /// Attempt that must hold the claim.
        expected_attempt: u32,
        /// Request that takes it over.
        request_id: String,
        /// Where it shall run.
        site: ClaimSite,
    },
    /// Gives a claim back.
    ReleaseClaim {
        /// Key of the work.
        key: String,
        /// Request that must hold the claim.
        request_id: String,
        /// Attempt that must hold the claim.
        attempt: u32,
    },
    /// Records a target that is new or changed.
    Register {
        /// Name of the target.
        name: String,
        /// Life of its agent.
        incarnation: u64,
        /// What it says of itself.
        description: TargetDescription,
    },
    /// Marks a target as leaving, in its present incarnation.
    Leave {
        /// Name of the target.
        name: String,
    },
    /// Marks targets as unreachable, with the incarnations that lost their leases.
    Lose {
        /// Names and incarnations.
        targets: Vec<(String, u64)>,
    },
    /// Counts a crash against the work that was in flight.
    ReportCrash {
        /// Target that crashed.
        target: String,
        /// Number of the crash, unique for the target.
        crash_number: u64,
        /// Digests of the work in flight.
        fingerprints: Vec<i64>,
    },
    /// Asks to run a suspect alone.
    BeginTrial {
        /// Digest of the work.
        fingerprint: i64,
        /// Request that asks.
        request_id: String,
    },
    /// Gives a planner of expert maps its fencing token.
    ExpertMapToken {
        /// Group of ranks.
        group: String,
    },
    /// Decides a switch of expert maps, unless it is decided already.
    ExpertMapDecide {
        /// Group of ranks.
        group: String,
        /// Version of the map.
        version: u64,
        /// What to decide.
        decision: Decision,
        /// Token of the planner.
        token: u64,
    },
    /// Settles what a rank may have been armed for before it restarted.
    ExpertMapSettle {
        /// Group of ranks.
        group: String,
        /// Next step of the group.
        next_step: u64,
    },
    /// Ends a suspect's trial.
    EndTrial {
        /// Digest of the work.
        fingerprint: i64,
        /// Request on trial.
        request_id: String,
        /// Whether the target survived.
        clean: bool,
    },
}

/// A command with the leader's time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Leader's time, in milliseconds since the epoch.
    pub at_ms: u64,
    /// The command.
    pub command: Command,
}

/// Answer of the state machine to one command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Answer to a change.
    Change(ChangeOutcome),
    /// Version of the document in force after [`Command::PutDocument`].
    Document {
        /// Version in force.
        version: u64,
    },
    /// Answer to a claim or a move.
    Claim(ClaimOutcome),
    /// Answer to the wish for a trial.
    Trial(TrialOutcome),
    /// Token of a planner, and the version that it may plan.
    ExpertMapToken {
        /// Fencing token.
        token: u64,
        /// Version after the last decided one.
        next_version: u64,
    },
    /// Decision on a switch of expert maps.
    ExpertMapDecision(Decision),
    /// What a restarting rank learns.
    ExpertMapSettled(SettleResult),
    /// The command is applied.
    Applied,
    /// The command could not be read.
    Unreadable,
}

/// All replicated state of one cell.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StateMachine {
    /// Operators' configuration.
    pub configuration: Configuration,
    /// Routes and services, as one document.
    #[serde(default)]
    pub document: StoredDocument,
    /// Known targets.
    pub membership: Membership,
    /// Claims of non-idempotent requests.
    pub claims: Claims,
    /// Work that was near a crash.
    pub suspects: Suspects,
    /// Decisions on expert maps.
    #[serde(default)]
    pub expert_maps: ExpertMapRegisters,
    now_ms: u64,
    suspects_version: u64,
}

impl StateMachine {
    /// Applies one encoded command; empty bytes are the no-op of a new leader.
    pub fn apply_bytes(&mut self, bytes: &[u8]) -> Outcome {
        if bytes.is_empty() {
            return Outcome::Applied;
        }
        match serde_json::from_slice::<StampedCommand>(bytes) {
            Ok(stamped) => self.apply(stamped),
            Err(_) => Outcome::Unreadable,
        }
    }

    /// Number that grows when the list of suspects changes.
    pub fn suspects_version(&self) -> u64 {
        self.suspects_version
    }

    /// Applies one command. Time never goes back, whatever the leaders' clocks say.
    pub fn apply(&mut self, stamped: StampedCommand) -> Outcome {
        self.now_ms = self.now_ms.max(stamped.at_ms);
        let now_ms = self.now_ms;
        match stamped.command {
            Command::Change(request) => {
                Outcome::Change(self.configuration.decide(&request, now_ms))
            }
            Command::PutDocument(document) => {
                self.document.replace(document);
                Outcome::Document { version: self.document.version }
            }
            Command::Claim { key, request_id, fingerprint, site } => {
                Outcome::Claim(self.claims.claim(&key, &request_id, fingerprint, &site, now_ms))
            }
            Command::MoveClaim { key, expected_request_id, expected_attempt, request_id, site } => {
                let moved = self.claims.move_claim(
                    &key,
                    &expected_request_id,
                    expected_attempt,
                    &request_id,
                    &site,
                );
                Outcome::Claim(moved)
            }
            Command::ReleaseClaim { key, request_id, attempt } => {
                self.claims.release(&key, &request_id, attempt);
                Outcome::Applied
            }
            Command::Register { name, incarnation, description } => {
                self.membership.register(&name, incarnation, description, now_ms);
                Outcome::Applied
            }
            Command::Leave { name } => {
                self.membership.mark_leaving(&name, now_ms);
                Outcome::Applied
            }
            Command::Lose { targets } => {
                self.membership.mark_unreachable(&targets, now_ms);
                Outcome::Applied
            }
            Command::ReportCrash { target, crash_number, fingerprints } => {
                self.suspects.report_crash(&target, crash_number, &fingerprints, now_ms);
                self.suspects_version += 1;
                Outcome::Applied
            }
            Command::ExpertMapToken { group } => {
                let register = self.expert_maps.group(&group, now_ms);
                let token = register.next_token();
                Outcome::ExpertMapToken { token, next_version: register.last_version() + 1 }
            }
            Command::ExpertMapDecide { group, version, decision, token } => {
                let register = self.expert_maps.group(&group, now_ms);
                Outcome::ExpertMapDecision(register.decide(version, decision, token))
            }
            Command::ExpertMapSettle { group, next_step } => {
                Outcome::ExpertMapSettled(self.expert_maps.group(&group, now_ms).settle(next_step))
            }
            Command::BeginTrial { fingerprint, request_id } => {
                Outcome::Trial(self.suspects.begin_trial(fingerprint, &request_id, now_ms))
            }
            Command::EndTrial { fingerprint, request_id, clean } => {
                self.suspects.end_trial(fingerprint, &request_id, clean);
                self.suspects_version += 1;
                Outcome::Applied
            }
        }
    }
}
