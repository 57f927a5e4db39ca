//! Settings of a daemon, read from one JSON file and validated at start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use bilberryloft_coordination::expert_map::Preset;
use bilberryloft_coordination::freshness::OnLostControl;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use serde::Deserialize;
use serde::Serialize;

/// Role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleName {
    /// Receives requests from callers and routes them to targets.
    Entry,
    /// Runs next to one target and dispatches requests to it.
    Agent,
    /// Is a member of the Raft quorum.
    Control,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Plain text.
    Text,
}

/// All settings of a daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the daemon.
    pub daemon: String,
    /// Data centre of the host.
    pub data_center: String,
    /// Address for calls from other daemons on the control thread.
    pub peer_address: String,
    /// Address for operators, metrics and the platform's health checks.
    pub admin_address: String,
    /// Peer addresses of the control hosts.
    pub control_addresses: Vec<String>,
    /// Whether to also call control hosts that other daemons report; if false, only `control_addresses` are
    /// ever called.
    #[serde(default)]
    pub learn_control_addresses: bool,
    /// Format of the log.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Time for which a daemon may use its configuration after the last confirmation, in milliseconds.
    #[serde(default = "default_configuration_lease_ms")]
    pub configuration_lease_ms: u64,
    /// What the daemon does when that time is over.
    #[serde(default)]
    pub on_lost_control: OnLostControl,
    /// Time for which a stopping daemon still accepts new work, in milliseconds.
    #[serde(default)]
    pub shutdown_notice_ms: u64,
    /// Longest time for which a stopping daemon waits for work in flight, in milliseconds.
    #[serde(default = "default_shutdown_max_ms")]
    pub shutdown_max_ms: u64,
    /// Number of traffic threads; 0 means one per processor.
    #[serde(default)]
    pub traffic_threads: usize,
    /// Settings of the entry role, if the daemon has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<EntrySettings>,
    /// Settings of the agent role, if the daemon has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub agent: Option<AgentSettings>,
    /// Settings of the control role, if the daemon has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<ControlSettings>,
}

/// Settings of the entry role.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address for callers.
    pub listen_address: String,
    /// Largest request body in bytes.
    #[serde(default = "default_body_max_bytes")]
    pub body_max_bytes: usize,
    /// Largest answer that is not streamed, in bytes.
    #[serde(default = "default_answer_max_bytes")]
    pub answer_max_bytes: usize,
    /// Decision records kept in memory.
    #[serde(default = "default_records_max")]
    pub records_max: usize,
    /// Objective for the time to the first byte of an answer, in milliseconds.
    #[serde(default = "default_first_token_objective_ms")]
    pub first_token_objective_ms: u64,
}

/// Settings of the agent role.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Unique name of the target.
    pub target: String,
    /// Address for dispatches from entries.
    pub dispatch_address: String,
    /// Address that entries use for dispatches, if it differs from `dispatch_address`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_address: Option<String>,
    /// Address to which the target sends its announcements.
    pub announce_address: String,
    /// Requests that may wait for a slot.
    #[serde(default = "default_queue_max")]
    pub queue_max: usize,
    /// Time for which a complete answer is kept so that it can be sent again, in milliseconds.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// Most bytes that are kept of one answer.
    #[serde(default = "default_hold_max_bytes")]
    pub hold_max_bytes: usize,
    /// Most bytes that are kept of all answers.
    #[serde(default = "default_hold_total_max_bytes")]
    pub hold_total_max_bytes: usize,
    /// Decision records kept in memory.
    #[serde(default = "default_records_max")]
    pub records_max: usize,
    /// Settings for planning expert maps, for a target whose ranks accept them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expert_map: Option<ExpertMapSettings>,
}

/// Settings for planning expert maps.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpertMapSettings {
    /// Whether the planner favours an even load across the ranks or few moved experts.
    pub preset: Preset,
    /// Time to load one expert's weights from the weight store, in milliseconds.
    pub load_ms: f64,
    /// Time for which all ranks stall during a switch, in milliseconds.
    pub stall_ms: f64,
    /// Time between two evaluations of the experts' load counts, in milliseconds.
    pub interval_ms: u64,
    /// Steps between arming the ranks and the switch.
    pub margin_steps: u64,
}

/// Settings of the control role.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Id of this member.
    pub member: u32,
    /// Peer addresses of the initial members by id; ignored once the log contains a member set.
    pub members: BTreeMap<u32, String>,
    /// Whether the hosts start for the first time, if this is told at each start: then the initial members found the
    /// quorum, and at no later start does a host with an empty data folder. If it is not told, the initial members found
    /// the quorum together, once all of them are there with empty data folders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_start: Option<bool>,
    /// Addresses that this host uses for members instead of those in the log.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<u32, String>,
    /// Folder for the log and snapshots.
    pub data_folder: PathBuf,
    /// Time between heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Shortest election timeout, in milliseconds.
    #[serde(default = "default_election_ms")]
    pub election_ms: u64,
    /// Log entries after which a snapshot is taken.
    #[serde(default = "default_snapshot_entries")]
    pub snapshot_entries: u64,
    /// Time without an announcement after which a target counts as unreachable, in milliseconds.
    #[serde(default = "default_target_lease_ms")]
    pub target_lease_ms: u64,
    /// Number of voters that the leader maintains automatically from the hosts that join, replacing voters that
    /// are away; 0 leaves changes of members to the operators.
    #[serde(default)]
    pub voters_wanted: usize,
}

fn default_configuration_lease_ms() -> u64 {
    4_000
}
fn default_shutdown_max_ms() -> u64 {
    600_000
}
fn default_body_max_bytes() -> usize {
    8 << 20
}
fn default_answer_max_bytes() -> usize {
    64 << 20
}
fn default_records_max() -> usize {
    4_096
}
fn default_first_token_objective_ms() -> u64 {
    430
}
fn default_queue_max() -> usize {
    64
}
fn default_hold_ms() -> u64 {
    300_000
}
fn default_hold_max_bytes() -> usize {
    512 << 10
}
fn default_hold_total_max_bytes() -> usize {
    64 << 20
}
fn default_heartbeat_ms() -> u64 {
    100
}
fn default_election_ms() -> u64 {
    500
}
fn default_snapshot_entries() -> u64 {
    20_000
}
fn default_target_lease_ms() -> u64 {
    3_000
}

impl Settings {
    /// Reads and validates a settings file; the error lists all faults at once.
    pub fn open(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path).map_err(|it| Error::disk("read", path, it))?;
        Settings::parse(&text, path)
    }

    /// Parses and validates the text of a settings file; `path` is used in errors only.
    pub fn parse(text: &str, path: &Path) -> Result<Settings> {
        let settings_error =
            |faults: Vec<String>| Error::Settings { path: path.to_path_buf(), faults };
        let settings: Settings =
            serde_json::from_str(text).map_err(|it| settings_error(vec![it.to_string()]))?;
        let faults = settings.find_faults();
        if faults.is_empty() { Ok(settings) } else { Err(settings_error(faults)) }
    }

    /// Returns the roles of the daemon.
    pub fn roles(&self) -> Vec<RoleName> {
        let mut roles = Vec::new();
        if self.entry.is_some() {
            roles.push(RoleName::Entry);
        }
        if self.agent.is_some() {
            roles.push(RoleName::Agent);
        }
        if self.control.is_some() {
            roles.push(RoleName::Control);
        }
        roles
    }

    /// Returns all faults of the settings, each with the field, its value and what is allowed.
    pub fn find_faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        check_name(&mut faults, "daemon", &self.daemon);
        check_name(&mut faults, "data_center", &self.data_center);
        check_address(&mut faults, "peer_address", &self.peer_address);
        check_address(&mut faults, "admin_address", &self.admin_address);
        if self.control_addresses.is_empty() {
            faults.push(
                "control_addresses: [] is empty; at least one control host is required".to_string(),
            );
        }
        for address in &self.control_addresses {
            check_address(&mut faults, "control_addresses", address);
        }
        let lease_ms = self.configuration_lease_ms;
        check_range(&mut faults, "configuration_lease_ms", lease_ms, 1_500, 3_600_000);
        if self.roles().is_empty() {
            faults.push(
                "entry, agent, control: none is set; at least one role is required".to_string(),
            );
        }
        if let Some(entry) = &self.entry {
            entry.find_faults(&mut faults);
        }
        if let Some(agent) = &self.agent {
            agent.find_faults(&mut faults);
        }
        if let Some(control) = &self.control {
            control.find_faults(&mut faults);
        }
        faults
    }
}

impl EntrySettings {
    fn find_faults(&self, faults: &mut Vec<String>) {
        check_address(faults, "entry.listen_address", &self.listen_address);
        let body_max_bytes = self.body_max_bytes as u64;
        check_range(faults, "entry.body_max_bytes", body_max_bytes, 1_024, 32 << 20);
    }
}

impl AgentSettings {
    fn find_faults(&self, faults: &mut Vec<String>) {
        check_name(faults, "agent.target", &self.target);
        check_address(faults, "agent.dispatch_address", &self.dispatch_address);
        check_address(faults, "agent.announce_address", &self.announce_address);
        if let Some(map) = &self.expert_map {
            check_range(faults, "agent.expert_map.interval_ms", map.interval_ms, 50, 3_600_000);
            let margin_steps = map.margin_steps;
            check_range(faults, "agent.expert_map.margin_steps", margin_steps, 1, 1_000_000);
        }
        check_range(faults, "agent.queue_max", self.queue_max as u64, 1, 65_536);
    }
}

impl ControlSettings {
    /// Forgets that the hosts start for the first time, if this was told. To be called once the data folder has been opened:
    /// if it is empty later, even in the same process, it was lost.
    pub fn end_first_start(&mut self) {
        if self.first_start == Some(true) {
            self.first_start = Some(false);
            self.members.clear();
        }
    }

    fn find_faults(&self, faults: &mut Vec<String>) {
        for (member, address) in &self.members {
            check_address(faults, &format!("control.members.{member}"), address);
        }
        for (member, address) in &self.routes {
            check_address(faults, &format!("control.routes.{member}"), address);
        }
        if self.members.is_empty() && self.voters_wanted == 0 {
            faults
                .push("control.members: {} is empty; at least one member is required".to_string());
        }
        check_range(faults, "control.heartbeat_ms", self.heartbeat_ms, 10, 10_000);
        check_range(faults, "control.election_ms", self.election_ms, 3 * self.heartbeat_ms, 60_000);
        check_range(faults, "control.snapshot_entries", self.snapshot_entries, 16, 10_000_000);
        check_range(faults, "control.target_lease_ms", self.target_lease_ms, 1_000, 60_000);
    }
}

fn check_name(faults: &mut Vec<String>, field: &str, value: &str) {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if value.is_empty() || value.len() > 64 || !value.bytes().all(is_allowed) {
        faults
            .push(format!("{field}: {value:?} must be 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'"));
    }
}

/// Adds a fault unless the value is an IP address and a port.
pub fn check_address(faults: &mut Vec<String>, field: &str, value: &str) {
    if value.parse::<SocketAddr>().is_err() {
        faults.push(format!(
            "{field}: {value:?} must be an IP address and a port, such as 10.0.0.1:7400"
        ));
    }
}

fn check_range(faults: &mut Vec<String>, field: &str, value: u64, min: u64, max: u64) {
    if value < min || value > max {
        faults.push(format!("{field}: {value} is not in {min}..={max}"));
    }
}
