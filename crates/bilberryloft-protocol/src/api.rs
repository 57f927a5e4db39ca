//! JSON bodies of the operator API, which every daemon offers to `bilberryctl`.

use std::collections::BTreeMap;

use bilberryloft_coordination::loss_tolerance::LossTolerance;
use bilberryloft_state::configuration::ChangeRecord;
use bilberryloft_state::configuration::Team;
use bilberryloft_state::configuration::Template;
use bilberryloft_state::evacuation::ListedEvacuation;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::membership::TargetRecord;
use bilberryloft_state::record::DecisionRecord;
use serde::Deserialize;
use serde::Serialize;

/// One target in the operator API.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetRow {
    /// Record of the target in the quorum's membership.
    pub record: TargetRecord,
    /// Whether operators have drained the target.
    pub draining: bool,
}

/// Teams and templates of one configuration version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TeamList {
    /// Configuration version.
    pub version: u64,
    /// All templates.
    pub templates: Vec<Template>,
    /// All teams.
    pub teams: Vec<Team>,
}

/// Recent accepted changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct History {
    /// Latest configuration version.
    pub version: u64,
    /// Accepted changes, oldest first.
    pub changes: Vec<ChangeRecord>,
}

/// Status of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Name of the daemon.
    pub daemon: String,
    /// Roles that the daemon runs.
    pub roles: Vec<String>,
    /// Configuration version in force.
    pub configuration_version: u64,
    /// Time since a quorum last confirmed the configuration, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Whether the daemon takes new requests.
    pub serving: bool,
    /// Leader that the daemon knows, on a control host.
    pub leader: Option<String>,
    /// Current Raft term, on a control host.
    pub term: Option<u64>,
    /// Index of the latest committed log entry, on a control host.
    pub commit_index: Option<u64>,
    /// Whether the member may vote, on a control host; a member that lost its disk may not until it has caught up.
    pub may_vote: Option<bool>,
    /// Losses that the quorum tolerates at this moment, on its leader.
    #[serde(default)]
    pub loss_tolerance: Option<LossTolerance>,
    /// Daemons that watch this control host for updates.
    pub watchers: Vec<WatcherRow>,
}

/// Members of the quorum and the losses that it tolerates, as one control host knows them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuorumReport {
    /// Voters and learners.
    pub members: MemberSet,
    /// Peer address of the leader, if known.
    pub leader: Option<String>,
    /// Losses that the quorum tolerates at this moment; absent if the leader could not be asked.
    pub loss_tolerance: Option<LossTolerance>,
}

/// A daemon that watches a control host for updates.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatcherRow {
    /// Name of the daemon.
    pub daemon: String,
    /// Configuration version that the daemon had when it last asked.
    pub configuration_version: u64,
    /// Version of the evacuations that the daemon had when it last asked; `None` if it knows none.
    #[serde(default)]
    pub evacuations_version: Option<u64>,
    /// Time since the daemon last asked, in milliseconds.
    pub asked_ago_ms: u64,
}

/// Evacuations of data centres, as one daemon holds them, and the versions that daemons hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Version of the latest order.
    pub version: u64,
    /// Time since a quorum last confirmed the list, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Data centres that were named in an order.
    pub data_centers: Vec<ListedEvacuation>,
    /// Daemons that watch control hosts.
    pub watchers: Vec<WatcherRow>,
    /// Error for each control host that could not be asked, with its address.
    pub unreachable: Vec<String>,
}

/// An order to begin or end the evacuation of a data centre.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuationRequest {
    /// Whether the data centre is to be evacuated.
    pub is_evacuated: bool,
}

/// Decision records of one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// Id of the request.
    pub request_id: String,
    /// Decision records, oldest first.
    pub records: Vec<DecisionRecord>,
    /// Error for each daemon that could not be asked, with its address.
    pub unreachable: Vec<String>,
}

/// Error budget of one team and its burn rates over several windows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnRow {
    /// Name of the team.
    pub team: String,
    /// Burn rate over each window.
    pub windows: Vec<BurnWindow>,
    /// Share of the error budget that is left in the longest window; 1.0 is all of it.
    pub budget_left: f64,
}

/// Share of the requests of a service that an entry may send to far data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RemoteRow {
    /// Name of the service.
    pub service: String,
    /// The share, from 0 to 1.
    pub share: f64,
    /// Reason for it.
    pub reason: String,
    /// Cost of a target in each other data centre, in requests.
    pub costs: BTreeMap<String, f64>,
}

/// Burn rate of a team's error budget over one window.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnWindow {
    /// Length of the window in seconds.
    pub window_s: u64,
    /// Number of requests that count towards the objective.
    pub total: u64,
    /// Number of requests that missed the objective.
    pub bad: u64,
    /// Rate at which the error budget is spent; 1.0 spends all of it over the objective's period.
    pub burn_rate: f64,
}
