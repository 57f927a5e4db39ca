//! The platform: starts the processes of the system with their settings files, and ends them.

use std::fs::File;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::text::below;

/// Port of the platform's connections of clients.
const FRONTEND_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const PEER_PORT: u16 = 7340;
const ADMIN_PORT: u16 = 9464;
/// Time for a call of the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// One machine with its process.
pub struct Node {
    pub name: String,
    pub ip: String,
    /// Whether it runs beside a replica and serves no clients.
    is_side: bool,
    folder: PathBuf,
    process: Option<Child>,
}

/// Settings that differ from case to case.
#[derive(Clone)]
pub struct Settings {
    /// Machines with a disk.
    pub nodes: usize,
    /// Machines that may be lost.
    pub tolerated: usize,
    /// Memory of a machine.
    pub memory_mb: u64,
    /// Further lines of the settings file.
    pub lines: String,
    /// Addresses of the machines beside replicas, which come after the others.
    pub sides: Vec<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { nodes: 3, tolerated: 1, memory_mb: 260, lines: String::new(), sides: Vec::new() }
    }
}

/// The machines of a small deployment. Their processes end with this value.
pub struct Fleet {
    pub nodes: Vec<Node>,
    settings: Settings,
    folder: PathBuf,
}

fn is_free(ip: &str) -> bool {
    let ports = [FRONTEND_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, ADMIN_PORT];
    ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
}

/// Returns a loopback address at which the ports are free.
pub fn free_ip() -> String {
    loop {
        let ip = format!("127.{}.{}.{}", 20 + below(200), 1 + below(250), 1 + below(250));
        if is_free(&ip) {
            return ip;
        }
    }
}

impl Fleet {
    /// Starts all machines for the first time.
    pub fn start(settings: Settings) -> std::io::Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("review-3-{}-{}", std::process::id(), below(1 << 30)));
        std::fs::create_dir_all(&folder)?;
        let node = |idx: usize| Node {
            name: format!("edge-{}", idx + 1),
            ip: free_ip(),
            is_side: false,
            folder: folder.join(format!("edge-{}", idx + 1)),
            process: None,
        };
        let mut nodes: Vec<Node> = (0..settings.nodes).map(node).collect();
        nodes.extend(settings.sides.iter().enumerate().map(|(idx, ip)| Node {
            name: format!("side-{}", idx + 1),
            ip: ip.clone(),
            is_side: true,
            folder: folder.join(format!("side-{}", idx + 1)),
            process: None,
        }));
        let mut fleet = Fleet { nodes, settings, folder };
        for idx in 0..fleet.nodes.len() {
            std::fs::create_dir_all(&fleet.nodes[idx].folder)?;
            fleet.start_node(idx, true)?;
        }
        Ok(fleet)
    }

    /// Starts the process of a machine.
    pub fn start_node(&mut self, idx: usize, is_first: bool) -> std::io::Result<()> {
        let text = self.settings_text(idx, is_first);
        let node = &mut self.nodes[idx];
        let path = node.folder.join("node.conf");
        std::fs::write(&path, text)?;
        let log = File::options().create(true).append(true).open(node.folder.join("log.txt"))?;
        let process = Command::new("target/release/bilberryloft-platform")
            .env("BILBERRYLOFT_CONFIG", &path)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        node.process = Some(process);
        Ok(())
    }

    fn settings_text(&self, idx: usize, is_first: bool) -> String {
        let node = &self.nodes[idx];
        let (name, ip) = (&node.name, &node.ip);
        let zones = ["hall-a", "hall-b", "hall-c"];
        let zone = zones[idx % zones.len()];
        let seeds: Vec<String> = self.nodes.iter().take(3).map(|it| format!("{}:{CONTROL_PORT}", it.ip)).collect();
        let seeds = seeds.join(",");
        if node.is_side {
            return format!(
                "node_name={name}\nrole=agent\nmachine_class=side\nserves=side\nip={ip}\nzone={zone}\n\
                 region=bahir-dar\nzones.hall-a=bahir-dar\nzones.hall-b=bahir-dar\nzones.hall-c=bahir-dar\n\
                 port_range={PEER_PORT},7355\nseed_nodes={seeds}\nbootstrap={is_first}\nin_tolerance=false\n\
                 limits.cpu_quota=0.15\nlimits.cpu_cores=1\nlimits.memory_mb=128\nlimits.max_fds=2048\n\
                 discovery=register\nentry=vip\nheartbeat_ms=1200\nfault_tolerance.machines=1\nbounds.grace_s=8\n"
            );
        }
        let data = node.folder.join("data");
        let Settings { tolerated, memory_mb, lines, .. } = &self.settings;
        format!(
            "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge,control\nip={ip}\nzone={zone}\n\
             region=bahir-dar\nzones.hall-a=bahir-dar\nzones.hall-b=bahir-dar\nzones.hall-c=bahir-dar\n\
             listen.frontend={ip}:{FRONTEND_PORT}\nlisten.ready={ip}:{READY_PORT}\n\
             listen.control_plane={ip}:{CONTROL_PORT}\nport_range={PEER_PORT},7355\nseed_nodes={seeds}\n\
             bootstrap={is_first}\nin_tolerance=true\nlimits.cpu_quota=0.45\nlimits.cpu_cores=1\n\
             limits.memory_mb={memory_mb}\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=64\n\
             data_dir={}\ndiscovery=register\nentry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,experts\n\
             fault_tolerance.machines={tolerated}\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_window_ms=3000\nbounds.ack_ms=4000\n\
             bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=2000\nbounds.downgrade_slack_ms=250\nbounds.outer_bound_ms=5000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_budget_slack=100\n\
             bounds.recover_s=12\nbounds.stall_ms=1500\nbounds.fencing_required=false\nconfig_mode=highest\n{lines}\n",
            data.display()
        )
    }

    /// Returns the address for clients of a machine.
    pub fn frontend(&self, idx: usize) -> String {
        format!("{}:{FRONTEND_PORT}", self.nodes[idx].ip)
    }

    /// Returns the address for operators and replicas of a machine.
    pub fn control(&self, idx: usize) -> String {
        format!("{}:{CONTROL_PORT}", self.nodes[idx].ip)
    }

    /// Returns all addresses for operators and replicas.
    pub fn controls(&self) -> Vec<String> {
        (0..self.settings.nodes).map(|it| self.control(it)).collect()
    }

    /// Returns whether a machine says that it is ready.
    pub fn is_ready(&self, idx: usize) -> bool {
        let address = format!("{}:{READY_PORT}", self.nodes[idx].ip);
        let request = http::request("GET", "/bilberryloft/readyz", "ready", &[], b"");
        http::call(&address, &request, CALL_TIMEOUT).is_ok_and(|it| it.status() == 200)
    }

    /// Waits until all machines say that they are ready; returns whether they do.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if (0..self.settings.nodes).all(|it| self.is_ready(it)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a configuration until it is acknowledged; returns whether it was.
    pub fn put_config(&self, config: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        let request = http::request("PUT", "/bilberryloft/config", "control", &[], config.as_bytes());
        let mut idx = 0;
        while Instant::now() < until {
            idx = (idx + 1) % self.settings.nodes;
            if http::call(&self.control(idx), &request, CALL_TIMEOUT).is_ok_and(|it| it.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, idx: usize, name: &str) -> bool {
        let Some(process) = &self.nodes[idx].process else { return false };
        let sent = Command::new("kill").arg(format!("-{name}")).arg(process.id().to_string()).status();
        sent.is_ok_and(|it| it.success())
    }

    /// Returns whether the process of a machine runs.
    pub fn is_running(&mut self, idx: usize) -> bool {
        let process = self.nodes[idx].process.as_mut();
        process.is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, idx: usize) {
        if let Some(mut process) = self.nodes[idx].process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns the folder of a machine's data.
    pub fn data_folder(&self, idx: usize) -> PathBuf {
        self.nodes[idx].folder.join("data")
    }

    /// Returns the log of a machine.
    pub fn log(&self, idx: usize) -> String {
        std::fs::read_to_string(self.nodes[idx].folder.join("log.txt")).unwrap_or_default()
    }

    /// Returns the resident memory of a machine's process in KB.
    pub fn resident_kb(&self, idx: usize) -> u64 {
        let Some(process) = &self.nodes[idx].process else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        line.and_then(|it| it.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
    }

    /// Returns the machine whose log has the election with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let term = |idx: usize| {
            let log = self.log(idx);
            let line = log.lines().rev().find(|it| it.contains("\"LeaderElected\""))?.to_string();
            let digits = line.split("\"term\":").nth(1)?.chars().take_while(char::is_ascii_digit);
            digits.collect::<String>().parse::<u64>().ok()
        };
        (0..self.settings.nodes).filter_map(|idx| Some((term(idx)?, idx))).max().map(|it| it.1)
    }

    /// Returns the id of the process of a machine.
    pub fn process_id(&self, idx: usize) -> u32 {
        self.nodes[idx].process.as_ref().map_or(0, Child::id)
    }

    /// Returns the folder of the fleet.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for idx in 0..self.nodes.len() {
            self.kill(idx);
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
