//! Processes of the deploy file on loopback addresses, with settings as the platform writes them.

use std::fs;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// Command of both roles in the deploy file, relative to the repository's root.
const PROGRAM: &str = "target/release/bilberryloft-platform";
pub const FRONTEND_PORT: u16 = 8_227;
pub const READY_PORT: u16 = 8_220;
pub const CONTROL_PORT: u16 = 8_229;
/// Port that is held on each address while a case runs, so that two cases never share one.
const GUARD_PORT: u16 = 7_398;
/// Timeout of one call of the operator; it moves on to another daemon after a second.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns a loopback address that no other case uses, and the listener that holds it.
pub fn free_ip() -> (String, TcpListener) {
    let start = std::process::id().wrapping_mul(64);
    for offset in 0..50_000_u32 {
        let index = start.wrapping_add(offset) % 50_000;
        let ip = format!("127.91.{}.{}", index / 250, 1 + index % 250);
        if let Ok(guard) = TcpListener::bind((ip.as_str(), GUARD_PORT)) {
            return (ip, guard);
        }
    }
    crate::cannot_run("no free loopback address");
}

/// One machine of class `edge`.
pub struct Host {
    pub name: String,
    pub ip: String,
    pub has_disk: bool,
    /// Whether it is a `side` machine, beside a replica.
    is_side: bool,
    child: Option<Child>,
    _guard: Option<TcpListener>,
}

pub struct Fleet {
    pub hosts: Vec<Host>,
    /// `fault_tolerance.machines`.
    pub tolerance: usize,
    folder: PathBuf,
}

impl Fleet {
    /// Creates machines without starting them. The first `with_disk` have a disk and are the seeds.
    pub fn create(with_disk: usize, without_disk: usize) -> Fleet {
        let folder =
            std::env::temp_dir().join(format!("bilberryloft-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|_| crate::cannot_run("no temporary folder"));
        if !Path::new(PROGRAM).exists() {
            crate::cannot_run("run the build of the deploy file first");
        }
        let host = |idx: usize| {
            let (ip, guard) = free_ip();
            let name = format!("edge-{}", (b'a' + idx as u8) as char);
            let has_disk = idx < with_disk;
            Host { name, ip, has_disk, is_side: false, child: None, _guard: Some(guard) }
        };
        Fleet { hosts: (0..with_disk + without_disk).map(host).collect(), tolerance: 1, folder }
    }

    /// Adds `side` machines at the addresses of replicas; returns their indexes.
    pub fn add_agents(&mut self, ips: &[String]) -> std::ops::Range<usize> {
        let first = self.hosts.len();
        for (idx, ip) in ips.iter().enumerate() {
            self.hosts.push(Host {
                name: format!("side-{idx}"),
                ip: ip.clone(),
                has_disk: false,
                is_side: true,
                child: None,
                _guard: None,
            });
        }
        first..self.hosts.len()
    }

    /// Starts the process of a machine with the settings of a small deployment.
    pub fn start(&mut self, idx: usize, bootstrap: bool) {
        let settings = self.write_settings(idx, bootstrap);
        let log = fs::OpenOptions::new().create(true).append(true).open(self.log_path(idx));
        let log = log.unwrap_or_else(|_| crate::cannot_run("no log file"));
        let errors = log.try_clone().unwrap_or_else(|_| crate::cannot_run("no log file"));
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("BILBERRYLOFT_CONFIG", settings)
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.hosts[idx].child = Some(child.unwrap_or_else(|_| crate::cannot_run("can't start")));
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, idx: usize, signal: &str) {
        if let Some(child) = &self.hosts[idx].child {
            let id = child.id().to_string();
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(id).status();
        }
    }

    /// Kills the process of a machine and waits until it is gone.
    pub fn kill(&mut self, idx: usize) {
        if let Some(mut child) = self.hosts[idx].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process of a machine has ended by itself.
    pub fn has_ended(&mut self, idx: usize) -> bool {
        match &mut self.hosts[idx].child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// Empties the data folder of a machine whose process has been killed.
    pub fn wipe(&self, idx: usize) {
        let _ = fs::remove_dir_all(self.data_path(idx));
    }

    /// Waits until a machine accepts connections for control.
    pub fn wait_until_listening(&self, idx: usize, limit: Duration) {
        let until = Instant::now() + limit;
        while TcpStream::connect((self.hosts[idx].ip.as_str(), CONTROL_PORT)).is_err() {
            if Instant::now() > until {
                crate::cannot_run("a process does not listen");
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Waits until a machine reports that it is ready.
    pub fn wait_ready(&self, idx: usize, limit: Duration) {
        let until = Instant::now() + limit;
        let address = format!("{}:{READY_PORT}", self.hosts[idx].ip);
        loop {
            let answer =
                http::call(&address, "GET", "/bilberryloft/readyz", &[], b"", OPERATOR_TIMEOUT);
            if answer.is_ok_and(|it| it.status == 200) {
                return;
            }
            if Instant::now() > until {
                crate::cannot_run("a machine does not become ready");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn control(&self, idx: usize) -> String {
        format!("{}:{CONTROL_PORT}", self.hosts[idx].ip)
    }

    pub fn frontend(&self, idx: usize) -> String {
        format!("{}:{FRONTEND_PORT}", self.hosts[idx].ip)
    }

    /// Acts as the operator: sends a configuration to one daemon after another until one acknowledges it. Returns
    /// whether it was acknowledged within the limit.
    pub fn put_config(&self, body: &str, record: &Record, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut pause = Duration::from_millis(50);
        let entries = self.hosts.iter().filter(|it| !it.is_side).count();
        for idx in (0..entries).cycle() {
            if Instant::now() > until {
                return false;
            }
            let (address, path) = (self.control(idx), "/bilberryloft/config");
            let answer = http::call(&address, "PUT", path, &[], body.as_bytes(), OPERATOR_TIMEOUT);
            let name = &self.hosts[idx].name;
            match answer {
                Ok(it) if it.status == 200 => {
                    record.line(&format!("PUT config at {name}: acknowledged with 200"));
                    return true;
                }
                Ok(it) => record.line(&format!("PUT config at {name}: status {}", it.status)),
                Err(error) => record.line(&format!("PUT config at {name}: no answer ({error})")),
            }
            std::thread::sleep(pause);
            pause = (pause * 3 / 2).min(Duration::from_millis(400));
        }
        false
    }

    /// Acts as the operator: reads the configuration once at a daemon. Returns its text, if it came.
    pub fn read_config(&self, idx: usize, record: &Record) -> Option<String> {
        let address = self.control(idx);
        let answer =
            http::call(&address, "GET", "/bilberryloft/config", &[], b"", OPERATOR_TIMEOUT);
        let name = &self.hosts[idx].name;
        match answer {
            Ok(it) if it.status == 200 => {
                let text = String::from_utf8_lossy(&it.body).into_owned();
                record.line(&format!("GET config at {name}: 200, {} bytes", text.len()));
                Some(text)
            }
            Ok(it) => {
                let text = String::from_utf8_lossy(&it.body).into_owned();
                record.line(&format!("GET config at {name}: status {}, {text}", it.status));
                None
            }
            Err(error) => {
                record.line(&format!("GET config at {name}: no answer ({error})"));
                None
            }
        }
    }

    /// Copies log lines of a machine that contain one of the given words into the record.
    pub fn record_log(&self, idx: usize, words: &[&str], record: &Record) {
        let log = fs::read_to_string(self.log_path(idx)).unwrap_or_default();
        for line in log.lines().filter(|line| words.iter().any(|it| line.contains(it))) {
            let line: String = line.chars().take(240).collect();
            record.line(&format!("log of {}: {line}", self.hosts[idx].name));
        }
    }

    fn log_path(&self, idx: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.hosts[idx].name))
    }

    fn data_path(&self, idx: usize) -> PathBuf {
        self.folder.join(format!("data-{}", self.hosts[idx].name))
    }

    fn write_settings(&self, idx: usize, bootstrap: bool) -> PathBuf {
        let host = &self.hosts[idx];
        let ip = &host.ip;
        let seeds: Vec<String> = self
            .hosts
            .iter()
            .filter(|it| it.has_disk)
            .take(3)
            .map(|it| format!("{}:{CONTROL_PORT}", it.ip))
            .collect();
        let zone = |idx: usize| format!("hall-{}", (b'a' + (idx % 3) as u8) as char);
        let mut lines = vec![
            format!("node_name={}", host.name),
            format!("role={}", if host.is_side { "agent" } else { "entry" }),
            format!("machine_class={}", if host.is_side { "side" } else { "edge" }),
            format!("serves={}", if host.is_side { "side" } else { "edge,control" }),
            format!("ip={ip}"),
            format!("zone={}", zone(idx)),
            "region=bahir-dar".to_string(),
            "zones.hall-a=bahir-dar".to_string(),
            "zones.hall-b=bahir-dar".to_string(),
            "zones.hall-c=bahir-dar".to_string(),
            "port_range=7340,7355".to_string(),
            format!("seed_nodes={}", seeds.join(",")),
            format!("bootstrap={bootstrap}"),
            format!("in_tolerance={}", host.has_disk),
            "limits.memory_mb=260".to_string(),
            "limits.max_fds=4100".to_string(),
            "discovery=register".to_string(),
            "entry=vip".to_string(),
            "heartbeat_ms=1200".to_string(),
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,experts"
                .to_string(),
            format!("fault_tolerance.machines={}", self.tolerance),
            "fault_tolerance.zones=0".to_string(),
            "fault_tolerance.regions=0".to_string(),
            "bounds.seed_lag_s=3".to_string(),
            "bounds.reuse_after_s=2".to_string(),
            "bounds.stable_window_ms=3000".to_string(),
            "bounds.ack_ms=4000".to_string(),
            "bounds.catch_up_s=4".to_string(),
            "bounds.drain_ms=2000".to_string(),
            "bounds.grace_s=8".to_string(),
            "bounds.loss_slack_ms=200".to_string(),
            "bounds.config_apply_ms=2000".to_string(),
            "bounds.retry_budget_ratio=0.2".to_string(),
            "bounds.budget_window_s=10".to_string(),
            "bounds.retry_budget_slack=100".to_string(),
            "bounds.recover_s=12".to_string(),
            "config_mode=highest".to_string(),
        ];
        if !host.is_side {
            lines.push(format!("listen.frontend={ip}:{FRONTEND_PORT}"));
            lines.push(format!("listen.ready={ip}:{READY_PORT}"));
            lines.push(format!("listen.control_plane={ip}:{CONTROL_PORT}"));
        }
        if host.has_disk {
            lines.push("limits.disk_mb=64".to_string());
            lines.push(format!("data_dir={}", self.data_path(idx).display()));
        }
        let path = self.folder.join(format!("{}.conf", host.name));
        let written = fs::write(&path, lines.join("\n"));
        written.unwrap_or_else(|_| crate::cannot_run("can't write settings"));
        path
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for idx in 0..self.hosts.len() {
            self.kill(idx);
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
