//! Settings and processes of a small fleet, each daemon on a loopback address of its own.

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

/// Port of calls between daemons.
pub const PEER_PORT: u16 = 7_400;
/// Port for operators.
pub const ADMIN_PORT: u16 = 7_401;
/// Port for dispatches to an agent.
pub const DISPATCH_PORT: u16 = 7_402;
/// Port on which a target announces itself.
pub const ANNOUNCE_PORT: u16 = 7_403;
/// Port for callers.
pub const CALLER_PORT: u16 = 7_480;
/// Port of an engine.
pub const ENGINE_PORT: u16 = 7_490;
/// Time for a fleet to become ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// A folder for one test, removed with the value.
#[derive(Debug)]
pub struct TempFolder {
    /// Where it is.
    pub path: PathBuf,
}

impl TempFolder {
    /// Makes an empty folder.
    pub fn create(name: &str) -> TempFolder {
        let unique = format!("bilberryloft-{name}-{}-{}", std::process::id(), fastrand::u64(..));
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&path).expect("a folder for the test");
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

/// Settings of a daemon without roles.
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

/// Settings of the entry role.
pub fn entry_settings(ip: &str) -> EntrySettings {
    let text = format!("{{\"listen_address\": \"{ip}:{CALLER_PORT}\"}}");
    serde_json::from_str(&text).expect("entry settings")
}

/// Settings of the agent role.
pub fn agent_settings(target: &str, ip: &str) -> AgentSettings {
    let text = format!(
        "{{\"target\": \"{target}\", \"dispatch_address\": \"{ip}:{DISPATCH_PORT}\", \"announce_address\": \"{ip}:{ANNOUNCE_PORT}\"}}"
    );
    serde_json::from_str(&text).expect("agent settings")
}

/// Settings of the control role; `members` are peer addresses by number.
pub fn control_settings(
    member: u32,
    members: &BTreeMap<u32, String>,
    data_folder: PathBuf,
) -> ControlSettings {
    ControlSettings {
        member,
        members: members.clone(),
        routes: BTreeMap::new(),
        data_folder,
        heartbeat_ms: 50,
        election_ms: 300,
        snapshot_entries: 20_000,
        target_lease_ms: 2_000,
        voters_wanted: 0,
    }
}

/// Settings of an engine beside an agent.
pub fn engine_settings(ip: &str) -> EngineSettings {
    EngineSettings::new(format!("{ip}:{ENGINE_PORT}"), format!("{ip}:{ANNOUNCE_PORT}"))
}

/// A fleet of real processes.
#[derive(Debug)]
pub struct Fleet {
    /// TempFolder with settings, data and logs.
    pub folder: TempFolder,
    /// IP numbers of the control hosts.
    pub control_ips: Vec<String>,
    /// IP numbers of the entries.
    pub entry_ips: Vec<String>,
    /// IP numbers of the target hosts.
    pub target_ips: Vec<String>,
    /// Processes by name.
    pub processes: BTreeMap<String, Process>,
    settings: BTreeMap<String, Settings>,
    engines: BTreeMap<String, EngineSettings>,
    http: HttpClient,
}

impl Fleet {
    /// Plans a fleet; nothing runs yet, and the plan may still be changed.
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

    /// File that lists every run at any engine.
    pub fn runs_file(&self) -> PathBuf {
        self.folder.path.join("runs")
    }

    /// How often each piece of work was run.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let text = std::fs::read_to_string(self.runs_file()).unwrap_or_default();
        let mut runs = BTreeMap::new();
        for line in text.lines() {
            *runs.entry(line.to_string()).or_default() += 1;
        }
        runs
    }

    /// Settings of a daemon, for change before it starts.
    pub fn settings_mut(&mut self, name: &str) -> &mut Settings {
        self.settings.get_mut(name).expect("a planned daemon")
    }

    /// Settings of an engine, for change before it starts.
    pub fn engine_settings_mut(&mut self, name: &str) -> &mut EngineSettings {
        self.engines.get_mut(name).expect("a planned engine")
    }

    /// Names of all planned daemons.
    pub fn daemon_names(&self) -> Vec<String> {
        self.settings.keys().cloned().collect()
    }

    /// Names of all planned daemons and engines.
    pub fn process_names(&self) -> Vec<String> {
        self.settings.keys().chain(self.engines.keys()).cloned().collect()
    }

    /// Starts everything that was planned.
    pub fn start_all(&mut self) {
        for name in self.process_names() {
            self.start(&name);
        }
    }

    /// Starts, or starts again, one daemon or engine.
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
        std::fs::write(&file, text.expect("settings as JSON")).expect("a settings file");
        let log = self.folder.path.join(format!("{name}.log"));
        let arguments = [flag, file.to_str().expect("a path in UTF-8")];
        let process = Process::spawn(program, &arguments, &log).expect("a started process");
        self.processes.insert(name.to_string(), process);
    }

    /// Ends one process at once.
    pub fn kill(&mut self, name: &str) {
        if let Some(process) = self.processes.remove(name) {
            process.kill();
        }
    }

    /// Callers' address of an entry, counted from 0.
    pub fn entry_address(&self, number: usize) -> String {
        format!("{}:{CALLER_PORT}", self.entry_ips[number])
    }

    /// Operators' address of a daemon by its IP number.
    pub fn admin_address(&self, ip: &str) -> String {
        format!("{ip}:{ADMIN_PORT}")
    }

    /// Gets a value from an admin address.
    pub async fn get<T: DeserializeOwned>(&self, ip: &str, path: &str) -> Option<T> {
        let uri = format!("http://{}{path}", self.admin_address(ip));
        let request = Request::get(uri).body(Full::<Bytes>::default()).ok()?;
        let fetched = tokio::time::timeout(Duration::from_secs(2), self.http.fetch(request)).await;
        let (_, body) = fetched.ok()?.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Status of a daemon.
    pub async fn status(&self, ip: &str) -> Option<DaemonStatus> {
        self.get(ip, "/operator/status").await
    }

    /// Sends a change through a daemon; `None` when its outcome is unknown.
    pub async fn change(&self, ip: &str, request: &ChangeRequest) -> Option<ChangeOutcome> {
        let body = serde_json::to_vec(request).ok()?;
        let uri = format!("http://{}/operator/changes", self.admin_address(ip));
        let request = Request::post(uri).header("content-type", "application/json");
        let request = request.body(Full::new(Bytes::from(body))).ok()?;
        let fetched = tokio::time::timeout(Duration::from_secs(8), self.http.fetch(request)).await;
        let (status, body) = fetched.ok()?.ok()?;
        matches!(status, 200 | 409 | 422).then(|| serde_json::from_slice(&body).ok())?
    }

    /// Sends a change until its outcome is known.
    pub async fn change_with_retry(&self, kind: ChangeKind) -> ChangeOutcome {
        let request = change_request(kind);
        let until = Instant::now() + READY_LIMIT;
        while Instant::now() < until {
            for ip in self.control_ips.iter().chain(&self.entry_ips) {
                if let Some(outcome) = self.change(ip, &request).await {
                    return outcome;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the change got no outcome within {READY_LIMIT:?}");
    }

    /// Makes the usual template and team, with token `depot-token`.
    pub async fn make_team(&self) -> ChangeOutcome {
        self.change_with_retry(ChangeKind::ApplyTemplate(depot_template())).await;
        self.change_with_retry(ChangeKind::SetTeam(depot_team())).await
    }

    /// Waits until every entry knows every target and serves.
    pub async fn wait_until_ready(&self) {
        let entries = self.entry_ips.clone();
        for ip in entries {
            self.wait_for(&format!("entry {ip} to know all targets"), async || {
                let targets: Vec<TargetRow> =
                    self.get(&ip, "/operator/targets").await.unwrap_or_default();
                let known = targets.iter().filter(|it| it.record.reachable).count();
                let serves = self.status(&ip).await.is_some_and(|it| it.serving);
                serves && known == self.target_ips.len()
            })
            .await;
        }
    }

    /// Waits until every running daemon has a configuration version.
    pub async fn wait_for_version(&self, version: u64) {
        for ip in self.control_ips.iter().chain(&self.entry_ips).chain(&self.target_ips) {
            self.wait_for(&format!("{ip} to reach version {version}"), async || {
                self.status(ip).await.is_some_and(|it| it.configuration_version >= version)
            })
            .await;
        }
    }

    /// Number of the control host that leads, counted from 0.
    pub async fn leader(&self) -> usize {
        let until = Instant::now() + READY_LIMIT;
        while Instant::now() < until {
            for (number, ip) in self.control_ips.iter().enumerate() {
                let own = format!("{ip}:{PEER_PORT}");
                if self.status(ip).await.is_some_and(|it| it.leader == Some(own)) {
                    return number;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no leader within {READY_LIMIT:?}");
    }

    /// Waits until a condition holds; a test that waits in vain fails with the given words.
    pub async fn wait_for(&self, what: &str, mut condition: impl AsyncFnMut() -> bool) {
        let until = Instant::now() + READY_LIMIT;
        while Instant::now() < until {
            if condition().await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("waited in vain for {what}; logs are in {:?}", self.folder.path);
    }
}

/// A change with an id of its own.
pub fn change_request(kind: ChangeKind) -> ChangeRequest {
    ChangeRequest {
        change_id: format!("change-{:016x}", fastrand::u64(..)),
        base_version: None,
        author: "test".to_string(),
        reason: String::new(),
        kind,
    }
}

/// The usual template.
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

/// The usual team.
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
