//! The replicated state machine, to which every member applies the same commands in the same order.

use serde::Deserialize;
use serde::Serialize;

use crate::claim::ClaimOutcome;
use crate::claim::ClaimSite;
use crate::claim::Claims;
use crate::compression;
use crate::configuration::ChangeOutcome;
use crate::configuration::ChangeRequest;
use crate::configuration::Configuration;
use crate::document::DocumentPatch;
use crate::document::DocumentStore;
use crate::document::StoredDocument;
use crate::evacuation::EvacuationOrder;
use crate::evacuation::Evacuations;
use crate::evacuation::OrderOutcome;
use crate::expert_map_register::Decision;
use crate::expert_map_register::ExpertMapRegisters;
use crate::expert_map_register::SettleResult;
use crate::expert_map_schedule::MapSchedule;
use crate::expert_map_schedule::MapSchedules;
use crate::membership::Membership;
use crate::membership::OtherStart;
use crate::membership::TargetDescription;
use crate::suspect::LostRun;
use crate::suspect::SurvivedPart;
use crate::suspect::Suspects;
use crate::suspect::TrialOutcome;

/// Format of the commands that this version reads.
pub const COMMAND_FORMAT: i32 = SCHEDULE_COMMAND_FORMAT;
/// Format from which on commands may be patches and compressed.
pub const COMPACT_COMMAND_FORMAT: i32 = 2;
/// Format from which on commands may be orders to evacuate data centres.
pub const EVACUATION_COMMAND_FORMAT: i32 = 3;
/// Format from which on a document of version 0 is one, which was ignored before, and changes of expert maps are scheduled.
pub const SCHEDULE_COMMAND_FORMAT: i32 = 4;

/// One command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A change of the configuration.
    Change(ChangeRequest),
    /// Replaces the routes and services document, unless the present one has the same or a higher version.
    PutDocument(StoredDocument),
    /// Like [`Command::PutDocument`], with what differs from the version that the sender holds.
    PatchDocument(DocumentPatch),
    /// Claims a request, so that only one attempt may run it.
    Claim {
        /// Key of the claim.
        key: String,
        /// Id of the claiming request.
        request_id: String,
        /// Digest of the request.
        fingerprint: i64,
        /// Target and agent incarnation at which the attempt is to run.
        site: ClaimSite,
    },
    /// Moves a claim to a new attempt. The expected attempt was voided by its agent, or its request may run again.
    MoveClaim {
        /// Key of the claim.
        key: String,
        /// Id of the request that must hold the claim.
        expected_request_id: String,
        /// Number of the attempt that must hold the claim.
        expected_attempt: u32,
        /// Id of the request that takes the claim over.
        request_id: String,
        /// Target and agent incarnation at which the attempt is to run.
        site: ClaimSite,
    },
    /// Releases a claim.
    ReleaseClaim {
        /// Key of the claim.
        key: String,
        /// Id of the request that must hold the claim.
        request_id: String,
        /// Number of the attempt that must hold the claim.
        attempt: u32,
    },
    /// Registers a new target, or changes a known one.
    Register {
        /// Name of the target.
        name: String,
        /// Incarnation of its agent.
        incarnation: u64,
        /// Description that the target announced.
        description: TargetDescription,
    },
    /// Marks a target as leaving.
    Leave {
        /// Name of the target.
        name: String,
        /// Incarnation that is leaving. `None`, for the present one, is in the logs of earlier versions only.
        #[serde(default)]
        incarnation: Option<u64>,
    },
    /// Marks targets as unreachable whose leases have expired.
    Lose {
        /// Names of the targets, with the incarnations whose leases expired.
        targets: Vec<(String, u64)>,
    },
    /// Counts a crash against the requests that were in flight.
    ReportCrash {
        /// Name of the target that crashed.
        target: String,
        /// Number of the crash, unique for each target; deduplicates reports.
        crash_number: u64,
        /// Digests of the requests in flight.
        fingerprints: Vec<i64>,
    },
    /// Reports how runs ended that entries sent to targets themselves.
    ReportRuns {
        /// Runs whose targets ended.
        lost: Vec<LostRun>,
        /// Digests of requests whose targets survived them.
        survived: Vec<i64>,
        /// Parts of prompts that targets survived.
        #[serde(default)]
        survived_parts: Vec<SurvivedPart>,
    },
    /// Asks for a trial of a suspect, which runs alone on its target.
    BeginTrial {
        /// Digest of the request.
        fingerprint: i64,
        /// Id of the request.
        request_id: String,
        /// Target on which no other trial may run, if an entry sends the request there itself.
        #[serde(default)]
        target: Option<String>,
    },
    /// Issues a fencing token to a planner of expert maps.
    ExpertMapToken {
        /// Name of the group of ranks.
        group: String,
    },
    /// Decides a switch to a new expert map, unless it is decided already.
    ExpertMapDecide {
        /// Name of the group of ranks.
        group: String,
        /// Version of the new map.
        version: u64,
        /// Proposed decision.
        decision: Decision,
        /// Fencing token of the planner.
        token: u64,
    },
    /// Aborts the switch that a restarted rank may have been armed for, if it is undecided.
    ExpertMapSettle {
        /// Name of the group of ranks.
        group: String,
        /// Next step that the group runs.
        next_step: u64,
    },
    /// Records before which pass a group is held for a map, unless a higher version was recorded.
    ScheduleExpertMap {
        /// Name of the group of ranks.
        group: String,
        /// The schedule.
        schedule: MapSchedule,
    },
    /// Ends a suspect's trial.
    EndTrial {
        /// Digest of the request.
        fingerprint: i64,
        /// Id of the request on trial.
        request_id: String,
        /// Whether the target survived the trial.
        clean: bool,
    },
    /// Begins or ends the evacuation of a data centre, unless a later order says otherwise.
    Evacuate(EvacuationOrder),
}

/// A command with the leader's timestamp.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Leader's time, in milliseconds since the epoch.
    pub at_ms: u64,
    /// The command.
    pub command: Command,
}

/// Result of applying one command to the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Outcome of a configuration change.
    Change(ChangeOutcome),
    /// Document in force after [`Command::PutDocument`].
    Document {
        /// Version of the document.
        version: u64,
    },
    /// The patch of [`Command::PatchDocument`] was made for another version and changed nothing.
    DocumentBase {
        /// Version of the document in force; 0 also if there is none.
        version: u64,
    },
    /// Outcome of claiming a request or moving its claim.
    Claim(ClaimOutcome),
    /// Outcome of asking for a trial.
    Trial(TrialOutcome),
    /// Fencing token of a planner, and the map version that it may plan.
    ExpertMapToken {
        /// Fencing token.
        token: u64,
        /// Map version after the latest decided one.
        next_version: u64,
    },
    /// Decision in force on a switch to a new expert map.
    ExpertMapDecision(Decision),
    /// State of the expert map that a restarted rank resumes with.
    ExpertMapSettled(SettleResult),
    /// Whether [`Command::ScheduleExpertMap`] was recorded.
    ExpertMapScheduled {
        /// False if a higher version was scheduled before.
        is_latest: bool,
    },
    /// Outcome of [`Command::Evacuate`].
    Evacuation(OrderOutcome),
    /// The incarnation that [`Command::Leave`] names is not the present one, so nothing was changed.
    OtherStart {
        /// The present incarnation.
        present: u64,
    },
    /// A member of an earlier version cannot read the command, so it was not proposed.
    EarlierMember,
    /// The command was applied and has no other result.
    Applied,
    /// The command could not be decoded and changed nothing.
    Unreadable,
}

/// All replicated state of one quorum.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StateMachine {
    /// Configuration set by operators.
    pub configuration: Configuration,
    /// Routes and services document.
    #[serde(default)]
    pub document: DocumentStore,
    /// Known targets.
    pub membership: Membership,
    /// Claims of non-idempotent requests.
    pub claims: Claims,
    /// Requests that were in flight when a target crashed.
    pub suspects: Suspects,
    /// Decisions on expert map switches.
    #[serde(default)]
    pub expert_maps: ExpertMapRegisters,
    /// Schedules of changes of expert maps.
    #[serde(default)]
    pub map_schedules: MapSchedules,
    /// Evacuations of data centres.
    #[serde(default)]
    pub evacuations: Evacuations,
    now_ms: u64,
    suspects_version: u64,
}

impl StateMachine {
    /// Returns a command that members of an earlier format understand and that has the same effect, or the outcome if
    /// there is none.
    pub fn for_format(&self, format: i32, command: Command) -> Result<Command, Outcome> {
        match command {
            Command::Evacuate(_) if format < EVACUATION_COMMAND_FORMAT => {
                Err(Outcome::EarlierMember)
            }
            Command::PutDocument(StoredDocument { version: 0, .. })
                if format < SCHEDULE_COMMAND_FORMAT =>
            {
                Err(Outcome::EarlierMember)
            }
            Command::ScheduleExpertMap { .. } if format < SCHEDULE_COMMAND_FORMAT => {
                Err(Outcome::EarlierMember)
            }
            Command::PatchDocument(patch) if format < COMPACT_COMMAND_FORMAT => {
                let document = patch.apply(self.document.document());
                let version = self.document.version().unwrap_or_default();
                let outcome = Outcome::DocumentBase { version };
                document.map(Command::PutDocument).ok_or(outcome)
            }
            other => Ok(other),
        }
    }

    /// Encodes the machine as the data of a snapshot.
    pub fn to_snapshot(&self) -> serde_json::Result<Vec<u8>> {
        compression::encode(self)
    }

    /// Decodes the data of a snapshot, also of one that was written before long ones were compressed.
    pub fn from_snapshot(data: &[u8]) -> serde_json::Result<StateMachine> {
        compression::decode(data)
    }

    /// Applies one encoded command; empty bytes are the no-op of a new leader.
    pub fn apply_bytes(&mut self, bytes: &[u8]) -> Outcome {
        if bytes.is_empty() {
            return Outcome::Applied;
        }
        match compression::decode::<StampedCommand>(bytes) {
            Ok(stamped) => self.apply(stamped),
            Err(_) => Outcome::Unreadable,
        }
    }

    /// Latest leader's time of an applied command, in milliseconds since the epoch.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Version of the list of suspects; grows with each reported crash and each ended trial.
    pub fn suspects_version(&self) -> u64 {
        self.suspects_version
    }

    /// Applies one command. The machine's time never goes back, even if a new leader's clock is behind.
    pub fn apply(&mut self, stamped: StampedCommand) -> Outcome {
        self.now_ms = self.now_ms.max(stamped.at_ms);
        let now_ms = self.now_ms;
        match stamped.command {
            Command::Change(request) => return self.decide_change(&request),
            Command::PutDocument(document) => return self.put_document(document),
            Command::PatchDocument(patch) => return self.patch_document(patch),
            Command::Claim { key, request_id, fingerprint, site } => {
                return self.claim(&key, &request_id, fingerprint, &site);
            }
            Command::MoveClaim { key, expected_request_id, expected_attempt, request_id, site } => {
                let (from, attempt) = (expected_request_id, expected_attempt);
                let moved = self.claims.move_claim(&key, &from, attempt, &request_id, &site);
                return Outcome::Claim(moved);
            }
            Command::ReleaseClaim { key, request_id, attempt } => {
                self.claims.release(&key, &request_id, attempt);
            }
            Command::Register { name, incarnation, description } => {
                self.membership.register(&name, incarnation, description, now_ms);
            }
            Command::Leave { name, incarnation } => return self.leave(&name, incarnation),
            Command::Lose { targets } => self.membership.mark_unreachable(&targets, now_ms),
            Command::ReportCrash { target, crash_number, fingerprints } => {
                self.report_crash(&target, crash_number, &fingerprints);
            }
            Command::ReportRuns { lost, survived, survived_parts } => {
                self.report_runs(&lost, &survived, &survived_parts);
            }
            Command::BeginTrial { fingerprint, request_id, target } => {
                return self.begin_trial(fingerprint, &request_id, target.as_deref());
            }
            Command::EndTrial { fingerprint, request_id, clean } => {
                self.suspects.end_trial(fingerprint, &request_id, clean);
                self.suspects_version += 1;
            }
            Command::ExpertMapToken { group } => return self.expert_map_token(&group),
            Command::ExpertMapDecide { group, version, decision, token } => {
                return self.decide_expert_map(&group, version, decision, token);
            }
            Command::ExpertMapSettle { group, next_step } => {
                return self.settle_expert_map(&group, next_step);
            }
            Command::ScheduleExpertMap { group, schedule } => {
                return self.schedule_expert_map(&group, schedule);
            }
            Command::Evacuate(order) => return self.evacuate(&order),
        }
        Outcome::Applied
    }

    fn decide_change(&mut self, request: &ChangeRequest) -> Outcome {
        Outcome::Change(self.configuration.decide(request, self.now_ms))
    }

    fn decide_expert_map(
        &mut self,
        group: &str,
        version: u64,
        decision: Decision,
        token: u64,
    ) -> Outcome {
        let register = self.expert_maps.group(group, self.now_ms);
        Outcome::ExpertMapDecision(register.decide(version, decision, token))
    }

    fn schedule_expert_map(&mut self, group: &str, schedule: MapSchedule) -> Outcome {
        let is_latest = self.map_schedules.record(group, schedule);
        Outcome::ExpertMapScheduled { is_latest }
    }

    fn claim(
        &mut self,
        key: &str,
        request_id: &str,
        fingerprint: i64,
        site: &ClaimSite,
    ) -> Outcome {
        Outcome::Claim(self.claims.claim(key, request_id, fingerprint, site, self.now_ms))
    }

    fn evacuate(&mut self, order: &EvacuationOrder) -> Outcome {
        Outcome::Evacuation(self.evacuations.decide(order, self.now_ms))
    }

    fn put_document(&mut self, document: StoredDocument) -> Outcome {
        let sent = document.version;
        self.document.replace(document);
        Outcome::Document { version: self.document.version().unwrap_or(sent) }
    }

    fn patch_document(&mut self, patch: DocumentPatch) -> Outcome {
        let fits = self.document.patch(patch);
        let version = self.document.version().unwrap_or_default();
        if fits { Outcome::Document { version } } else { Outcome::DocumentBase { version } }
    }

    fn leave(&mut self, name: &str, incarnation: Option<u64>) -> Outcome {
        match self.membership.mark_leaving(name, incarnation, self.now_ms) {
            Ok(()) => Outcome::Applied,
            Err(OtherStart { present }) => Outcome::OtherStart { present },
        }
    }

    fn report_crash(&mut self, target: &str, crash_number: u64, fingerprints: &[i64]) {
        self.suspects.report_crash(target, crash_number, fingerprints, self.now_ms);
        self.suspects_version += 1;
    }

    fn report_runs(&mut self, lost: &[LostRun], survived: &[i64], survived_parts: &[SurvivedPart]) {
        let is_changed = self.suspects.report_runs(lost, survived, survived_parts, self.now_ms);
        self.suspects_version += u64::from(is_changed);
    }

    fn begin_trial(&mut self, fingerprint: i64, request_id: &str, target: Option<&str>) -> Outcome {
        Outcome::Trial(self.suspects.begin_trial(fingerprint, request_id, target, self.now_ms))
    }

    fn settle_expert_map(&mut self, group: &str, next_step: u64) -> Outcome {
        let register = self.expert_maps.group(group, self.now_ms);
        Outcome::ExpertMapSettled(register.settle(next_step))
    }

    fn expert_map_token(&mut self, group: &str) -> Outcome {
        let register = self.expert_maps.group(group, self.now_ms);
        let token = register.next_token();
        Outcome::ExpertMapToken { token, next_version: register.last_version() + 1 }
    }
}
