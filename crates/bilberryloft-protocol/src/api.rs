//! Bodies of the operators' interface, which `bilberryctl` speaks to any daemon.

use bilberryloft_state::configuration::ChangeRecord;
use bilberryloft_state::configuration::Team;
use bilberryloft_state::configuration::Template;
use bilberryloft_state::membership::TargetRecord;
use bilberryloft_state::record::DecisionRecord;
use serde::Deserialize;
use serde::Serialize;

/// One target as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetRow {
    /// What the quorum knows.
    pub record: TargetRecord,
    /// Whether it gets no new work.
    pub draining: bool,
}

/// Teams and templates of one configuration version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TeamList {
    /// Version.
    pub version: u64,
    /// All templates.
    pub templates: Vec<Template>,
    /// All teams.
    pub teams: Vec<Team>,
}

/// Recent accepted changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct History {
    /// Latest version.
    pub version: u64,
    /// Changes, oldest first.
    pub changes: Vec<ChangeRecord>,
}

/// What one daemon says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Name.
    pub daemon: String,
    /// Roles that it runs.
    pub roles: Vec<String>,
    /// Configuration version in force.
    pub configuration_version: u64,
    /// Age of the latest confirmation by a quorum in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Whether it takes new work.
    pub serving: bool,
    /// Known leader, for a control host.
    pub leader: Option<String>,
    /// Term, for a control host.
    pub term: Option<u64>,
    /// Log position that is committed, for a control host.
    pub commit_index: Option<u64>,
    /// Whether it may vote, for a control host; one that lost its disk may not until it has caught up.
    pub may_vote: Option<bool>,
    /// Daemons that watch this control host, with the version they last asked from.
    pub watchers: Vec<WatcherRow>,
}

/// One daemon as a control host knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatcherRow {
    /// Name of the daemon.
    pub daemon: String,
    /// Version that it had when it last asked.
    pub configuration_version: u64,
    /// Time since then in milliseconds.
    pub asked_ago_ms: u64,
}

/// All records that explain one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// Request.
    pub request_id: String,
    /// Records, oldest first.
    pub records: Vec<DecisionRecord>,
    /// Daemons that could not be asked.
    pub unreachable: Vec<String>,
}

/// Service levels of one team over several windows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnRow {
    /// Team.
    pub team: String,
    /// Burn rates by window.
    pub windows: Vec<BurnWindow>,
    /// Share of the error budget of the longest window that is left, 1.0 is all of it.
    pub budget_left: f64,
}

/// Burn rate over one window.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnWindow {
    /// Length in seconds.
    pub window_s: u64,
    /// Requests that count.
    pub total: u64,
    /// Requests that missed their objective.
    pub bad: u64,
    /// Rate at which the budget is spent; 1.0 spends it exactly over the period.
    pub burn_rate: f64,
}
