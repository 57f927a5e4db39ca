//! Settings and processes of a small fleet in which each daemon has its own loopback address.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use bilberryloft_coordination::freshness::OnLostControl;
use bilberryloft_daemon::settings::AgentSettings;
use bilberryloft_daemon::settings::ControlSettings;
use bilberryloft_daemon::settings::EntrySettings;
use bilberryloft_daemon::settings::LogFormat;
use bilberryloft_daemon::settings::Settings;
use bilberryloft_protocol::api::DaemonStatus;
use bilberryloft_protocol::api::TargetRow;
use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::ChangeOutcome;
use bilberryloft_state::configuration::ChangeRequest;
use bilberryloft_state::configuration::Team;
use bilberryloft_state::configuration::Template;
use bilberryloft_state::configuration::token_digest;
use bilberryloft_transport::http::HttpClient;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::de::DeserializeOwned;

use crate::address::unique_ip;
use crate::engine::EngineSettings;
use crate::process::Process;

/// Port for calls between daemons.
pub const PEER_PORT: u16 = 7_400;
/// Port for operators.
pub const ADMIN_PORT: u16 = 7_401;
/// Port for dispatches to an agent.
pub const DISPATCH_PORT: u16 = 7_402;
/// Port of an agent for the announcements of its target.
pub const ANNOUNCE_PORT: u16 = 7_403;
/// Port for callers.
pub const CALLER_PORT: u16 = 7_480;
/// Port on which an engine serves requests.
pub const ENGINE_PORT: u16 = 7_490;
/// Time limit for each wait on a fleet.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// A temporary folder that is removed on drop, except during a panic, so that the logs of a failed test remain.
#[derive(Debug)]
pub struct TempFolder {
    /// Path of the folder.
    pub path: PathBuf,
}

impl TempFolder {
    /// Creates an empty folder whose name starts with `bilberryloft-` and the given name.
    pub fn create(name: &str) -> TempFolder {
        let unique = format!("bilberryloft-{name}-{}-{}", std::process::id(), fastrand::u64(..));
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&path).expect("cannot create a temporary folder");
        TempFolder { path }
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// Returns the settings of a daemon without roles.
pub fn plain_settings(daemon: &str, ip: &str, control_ips: &[String]) -> Settings {
    Settings {
        daemon: daemon.to_string(),
        data_center: "a".to_string(),
        peer_address: format!("{ip}:{PEER_PORT}"),
        admin_address: format!("{ip}:{ADMIN_PORT}"),
        control_addresses: control_ips.iter().map(|it| format!("{it}:{PEER_PORT}")).collect(),
        learn_control_addresses: false,
        log_format: LogFormat::Text,
        configuration_lease_ms: 4_000,
        on_lost_control: OnLostControl::StandDown,
        shutdown_notice_ms: 0,
        shutdown_max_ms: 30_000,
        traffic_threads: 2,
        entry: None,
        agent: None,
        control: None,
    }
}

/// Returns the settings of the entry role.
pub fn entry_settings(ip: &str) -> EntrySettings {
    let text = format!("{{\"listen_address\": \"{ip}:{CALLER_PORT}\"}}");
    serde_json::from_str(&text).expect("invalid entry settings")
}

/// Returns the settings of the agent role.
pub fn agent_settings(target: &str, ip: &str) -> AgentSettings {
    let text = format!(
        "{{\"target\": \"{target}\", \"dispatch_address\": \"{ip}:{DISPATCH_PORT}\", \"announce_address\": \"{ip}:{ANNOUNCE_PORT}\"}}"
    );
    serde_json::from_str(&text).expect("invalid agent settings")
}

/// Returns the settings of the control role; `members` are peer addresses by member id.
pub fn control_settings(
    member: u32,
    members: &BTreeMap<u32, String>,
    data_folder: PathBuf,
) -> ControlSettings {
    ControlSettings {
        member,
        members: members.clone(),
        first_start: None,
        routes: BTreeMap::new(),
        data_folder,
        heartbeat_ms: 50,
        election_ms: 300,
        snapshot_entries: 20_000,
        target_lease_ms: 2_000,
        voters_wanted: 0,
    }
}

/// Returns the settings of an engine at the IP address of its agent.
pub fn engine_settings(ip: &str) -> EngineSettings {
    EngineSettings::new(format!("{ip}:{ENGINE_PORT}"), format!("{ip}:{ANNOUNCE_PORT}"))
}

/// A fleet of daemons and engines that run as separate processes.
#[derive(Debug)]
pub struct Fleet {
    /// Folder for settings, data and logs.
    pub folder: TempFolder,
    /// IP addresses of the control hosts.
    pub control_ips: Vec<String>,
    /// IP addresses of the entries.
    pub entry_ips: Vec<String>,
    /// IP addresses of the target hosts.
    pub target_ips: Vec<String>,
    /// Running processes by name.
    pub processes: BTreeMap<String, Process>,
    settings: BTreeMap<String, Settings>,
    engines: BTreeMap<String, EngineSettings>,
    http: HttpClient,
}

impl Fleet {
    /// Plans a fleet without starting it, so that its settings can still be changed.
    pub fn plan(name: &str, controls: usize, entries: usize, targets: usize) -> Fleet {
        let folder = TempFolder::create(name);
        let ips = |count: usize| (0..count).map(|_| unique_ip()).collect::<Vec<String>>();
        let mut fleet = Fleet {
            control_ips: ips(controls),
            entry_ips: ips(entries),
            target_ips: ips(targets),
            processes: BTreeMap::new(),
            settings: BTreeMap::new(),
            engines: BTreeMap::new(),
            http: HttpClient::new(),
            folder,
        };
        fleet.plan_daemons();
        fleet
    }

    fn plan_daemons(&mut self) {
        let members: BTreeMap<u32, String> =
            (1..).zip(self.control_ips.iter().map(|it| format!("{it}:{PEER_PORT}"))).collect();
        for (number, ip) in (1..).zip(self.control_ips.clone()) {
            let name = format!("control-{number}");
            let mut settings = plain_settings(&name, &ip, &self.control_ips);
            settings.control =
                Some(control_settings(number, &members, self.folder.path.join(&name)));
            self.settings.insert(name, settings);
        }
        for (number, ip) in (1..).zip(self.entry_ips.clone()) {
            let name = format!("entry-{number}");
            let mut settings = plain_settings(&name, &ip, &self.control_ips);
            settings.entry = Some(entry_settings(&ip));
            self.settings.insert(name, settings);
        }
        for (number, ip) in (1..).zip(self.target_ips.clone()) {
            let name = format!("agent-{number}");
            let mut settings = plain_settings(&name, &ip, &self.control_ips);
            settings.agent = Some(agent_settings(&format!("target-{number}"), &ip));
            self.settings.insert(name, settings);
            let mut engine = engine_settings(&ip);
            engine.runs_file = Some(self.runs_file());
            self.engines.insert(format!("engine-{number}"), engine);
        }
    }

    /// Path of the file that has one line for each run at any engine.
    pub fn runs_file(&self) -> PathBuf {
        self.folder.path.join("runs")
    }

    /// Number of runs of each prompt or service call.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let text = std::fs::read_to_string(self.runs_file()).unwrap_or_default();
        let mut runs = BTreeMap::new();
        for line in text.lines() {
            *runs.entry(line.to_string()).or_default() += 1;
        }
        runs
    }

    /// Settings of a daemon, to be changed before it starts.
    pub fn settings_mut(&mut self, name: &str) -> &mut Settings {
        self.settings.get_mut(name).expect("no daemon of this name is planned")
    }

    /// Settings of an engine, to be changed before it starts.
    pub fn engine_settings_mut(&mut self, name: &str) -> &mut EngineSettings {
        self.engines.get_mut(name).expect("no engine of this name is planned")
    }

    /// Names of all planned daemons.
    pub fn daemon_names(&self) -> Vec<String> {
        self.settings.keys().cloned().collect()
    }

    /// Names of all planned daemons and engines.
    pub fn process_names(&self) -> Vec<String> {
        self.settings.keys().chain(self.engines.keys()).cloned().collect()
    }

    /// Starts all planned daemons and engines.
    pub fn start_all(&mut self) {
        for name in self.process_names() {
            self.start(&name);
        }
    }

    /// Starts or restarts one daemon or engine.
    pub fn start(&mut self, name: &str) {
        let file = self.folder.path.join(format!("{name}.json"));
        let (program, flag, text) = match self.settings.get(name) {
            Some(settings) => {
                ("bilberryloftd", "--settings", serde_json::to_string_pretty(settings))
            }
            None => {
                ("stand-in-engine", "--settings", serde_json::to_string_pretty(&self.engines[name]))
            }
        };
        std::fs::write(&file, text.expect("cannot serialize the settings"))
            .expect("cannot write the settings file");
        let log = self.folder.path.join(format!("{name}.log"));
        let arguments = [flag, file.to_str().expect("the path of the settings file is not UTF-8")];
        let process = Process::spawn(program, &arguments, &log).expect("cannot start the process");
        self.processes.insert(name.to_string(), process);
    }

    /// Kills one process without a shutdown.
    pub fn kill(&mut self, name: &str) {
        if let Some(process) = self.processes.remove(name) {
            process.kill();
        }
    }

    /// Address of an entry for callers; entries are counted from 0.
    pub fn entry_address(&self, index: usize) -> String {
        format!("{}:{CALLER_PORT}", self.entry_ips[index])
    }

    /// Address for operators of the daemon at an IP address.
    pub fn admin_address(&self, ip: &str) -> String {
        format!("{ip}:{ADMIN_PORT}")
    }

    /// Gets a JSON value from the admin address of a daemon; `None` if that fails or takes longer than 2 s.
    pub async fn get<T: DeserializeOwned>(&self, ip: &str, path: &str) -> Option<T> {
        let uri = format!("http://{}{path}", self.admin_address(ip));
        let request = Request::get(uri).body(Full::<Bytes>::default()).ok()?;
        let fetched = tokio::time::timeout(Duration::from_secs(2), self.http.fetch(request)).await;
        let (_, body) = fetched.ok()?.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Gets the status of a daemon.
    pub async fn status(&self, ip: &str) -> Option<DaemonStatus> {
        self.get(ip, "/operator/status").await
    }

    /// Sends a change through a daemon; `None` if its outcome is not known within 8 s.
    pub async fn change(&self, ip: &str, request: &ChangeRequest) -> Option<ChangeOutcome> {
        let body = serde_json::to_vec(request).ok()?;
        let uri = format!("http://{}/operator/changes", self.admin_address(ip));
        let request = Request::post(uri).header("content-type", "application/json");
        let request = request.body(Full::new(Bytes::from(body))).ok()?;
        let fetched = tokio::time::timeout(Duration::from_secs(8), self.http.fetch(request)).await;
        let (status, body) = fetched.ok()?.ok()?;
        matches!(status, 200 | 409 | 422).then(|| serde_json::from_slice(&body).ok())?
    }

    /// Sends a change to one daemon after another until its outcome is known.
    pub async fn change_with_retry(&self, kind: ChangeKind) -> ChangeOutcome {
        let request = change_request(kind);
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            for ip in self.control_ips.iter().chain(&self.entry_ips) {
                if let Some(outcome) = self.change(ip, &request).await {
                    return outcome;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the outcome of a change is unknown after {READY_TIMEOUT:?}");
    }

    /// Applies the template and team that most tests use; see [`depot_template`] and [`depot_team`].
    pub async fn make_team(&self) -> ChangeOutcome {
        self.change_with_retry(ChangeKind::ApplyTemplate(depot_template())).await;
        self.change_with_retry(ChangeKind::SetTeam(depot_team())).await
    }

    /// Waits until every entry serves and knows every target as reachable.
    pub async fn wait_until_ready(&self) {
        let entries = self.entry_ips.clone();
        for ip in entries {
            self.wait_for(&format!("entry {ip} to serve and know all targets"), async || {
                let targets: Vec<TargetRow> =
                    self.get(&ip, "/operator/targets").await.unwrap_or_default();
                let reachable = targets.iter().filter(|it| it.record.reachable).count();
                let serves = self.status(&ip).await.is_some_and(|it| it.serving);
                serves && reachable == self.target_ips.len()
            })
            .await;
        }
    }

    /// Waits until every daemon of the fleet has reached a configuration version.
    pub async fn wait_for_version(&self, version: u64) {
        for ip in self.control_ips.iter().chain(&self.entry_ips).chain(&self.target_ips) {
            self.wait_for(&format!("{ip} to reach version {version}"), async || {
                self.status(ip).await.is_some_and(|it| it.configuration_version >= version)
            })
            .await;
        }
    }

    /// Waits for a leader and returns the index of its control host, counted from 0.
    pub async fn leader(&self) -> usize {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            for (index, ip) in self.control_ips.iter().enumerate() {
                let address = format!("{ip}:{PEER_PORT}");
                if self.status(ip).await.is_some_and(|it| it.leader == Some(address)) {
                    return index;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no control host became leader within {READY_TIMEOUT:?}");
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics with `what` in the message if the condition does not hold within 30 s.
    pub async fn wait_for(&self, what: &str, mut condition: impl AsyncFnMut() -> bool) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if condition().await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("timed out waiting for {what}; logs are in {:?}", self.folder.path);
    }
}

/// Returns a change request with a random id.
pub fn change_request(kind: ChangeKind) -> ChangeRequest {
    ChangeRequest {
        change_id: format!("change-{:016x}", fastrand::u64(..)),
        base_version: None,
        author: "test".to_string(),
        reason: String::new(),
        kind,
    }
}

/// Returns the template that most tests use.
pub fn depot_template() -> Template {
    Template {
        name: "depots".to_string(),
        models: vec!["forecast-writer".to_string()],
        services: vec!["sensors".to_string()],
        weight: 10,
        priority: 0,
        non_idempotent: false,
        deadline_ms: 20_000,
        in_flight_max: 1_000,
    }
}

/// Returns the team that most tests use, with the token `depot-token`.
pub fn depot_team() -> Team {
    Team {
        name: "asahikawa".to_string(),
        template: "depots".to_string(),
        token_sha256: vec![token_digest("depot-token")],
        weight: None,
        models: None,
        in_flight_max: None,
    }
}
