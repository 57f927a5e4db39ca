//! Hosts of a small deployment, each a process of the project's own program on a loopback address of its own.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::Answer;
use crate::http::call;

/// Port of the product's own pages, which is the same on all hosts.
const ADMIN_PORT: u16 = 9_464;
/// Time within which the first configuration must be accepted and all hosts ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that an operator or a replica waits for an answer.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ports of all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    frontend: u16,
    ready: u16,
    control: u16,
    peer: u16,
}

/// A host with its process.
struct Host {
    ip: Ipv4Addr,
    process: Option<Child>,
}

/// Hosts of one script; dropping the fleet ends their processes.
pub struct Fleet {
    hosts: Vec<Host>,
    ports: Ports,
    folder: PathBuf,
    program: Vec<String>,
}

impl Fleet {
    /// Starts hosts that all have a disk. The first three are the seeds.
    pub fn start(count: usize) -> Result<Fleet, String> {
        let program = deployed_program()?;
        let net = (std::process::id() % 60_000) as u16;
        let ip = |idx: usize| {
            let [high, low] = (net + 1_000).to_be_bytes();
            Ipv4Addr::new(127, high.max(1), low, idx as u8 + 1)
        };
        let hosts: Vec<Host> = (0..count).map(|it| Host { ip: ip(it), process: None }).collect();
        let ports = free_ports(&hosts)?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|it| it.to_string())?;
        let mut fleet = Fleet { hosts, ports, folder, program };
        for idx in 0..count {
            fleet.start_host(idx)?;
        }
        Ok(fleet)
    }

    /// Returns an address on which a replica may listen.
    pub fn replica_ip(&self, idx: u8) -> Ipv4Addr {
        let [a, b, c, _] = self.hosts[0].ip.octets();
        Ipv4Addr::new(a, b, c, 100 + idx)
    }

    fn start_host(&mut self, idx: usize) -> Result<(), String> {
        let settings = self.folder.join(format!("node-{idx}.conf"));
        std::fs::write(&settings, self.settings(idx)).map_err(|it| it.to_string())?;
        let log = std::fs::File::create(self.folder.join(format!("node-{idx}.log")));
        let log = log.map_err(|it| it.to_string())?;
        let process = Command::new(&self.program[0])
            .args(&self.program[1..])
            .env("BILBERRYLOFT_CONFIG", settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|it| it.to_string())?)
            .stdout(log)
            .spawn();
        let process = process.map_err(|it| format!("{}: {it}", self.program[0]))?;
        self.hosts[idx].process = Some(process);
        Ok(())
    }

    fn settings(&self, idx: usize) -> String {
        let (ip, ports) = (self.hosts[idx].ip, self.ports);
        let Ports { frontend, ready, control, peer } = ports;
        let seeds: Vec<String> =
            self.hosts.iter().take(3).map(|it| format!("{}:{control}", it.ip)).collect();
        let data = self.folder.join(format!("data-{idx}"));
        format!(
            "node_name=edge-{idx}\nrole=entry\nmachine_class=edge\nserves=edge,control\nip={ip}\nzone=zone-{zone}\n\
             region=here\nzones.zone-0=here\nzones.zone-1=here\nzones.zone-2=here\nlisten.frontend={ip}:{frontend}\n\
             listen.ready={ip}:{ready}\nlisten.control_plane={ip}:{control}\nport_range={peer},{last}\n\
             seed_nodes={seeds}\nbootstrap=true\nin_tolerance=true\nlimits.cpu_quota=0.45\nlimits.cpu_cores=1\n\
             limits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=64\ndata_dir={data}\n\
             discovery=register\nentry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,experts\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\n\
             bounds.reuse_after_s=2\nbounds.stable_window_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n\
             bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
             bounds.downgrade_slack_ms=250\nbounds.outer_bound_ms=5000\nbounds.strict_revocation=false\n\
             bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.retry_budget_slack=94\nbounds.recover_s=12\nbounds.iteration_ms=120\nbounds.retry_after_s=0\n\
             bounds.stall_ms=1500\nbounds.fencing_required=false\nconfig_mode=highest\n",
            zone = idx % 3,
            last = peer + 1,
            seeds = seeds.join(","),
            data = data.display(),
        )
    }

    fn address(&self, idx: usize, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.hosts[idx].ip), port)
    }

    /// Returns the address of a host for clients.
    pub fn frontend(&self, idx: usize) -> SocketAddr {
        self.address(idx, self.ports.frontend)
    }

    /// Returns the address of a host for operators and replicas.
    pub fn control(&self, idx: usize) -> SocketAddr {
        self.address(idx, self.ports.control)
    }

    /// Sends the first configuration until it is accepted, as an operator does, and waits until all hosts are ready.
    pub fn wait_until_ready(&self, configuration: &str) -> Result<(), String> {
        let until = Instant::now() + START_TIMEOUT;
        while self.put_configuration(0, configuration.as_bytes()).status != 200 {
            if Instant::now() > until {
                return Err("the first configuration was not accepted".to_string());
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        let is_ready = |idx: usize| {
            let address = self.address(idx, self.ports.ready);
            let path = "/bilberryloft/readyz";
            call(address, "GET", path, &[], b"", CONTROL_TIMEOUT).status == 200
        };
        while !(0..self.hosts.len()).all(is_ready) {
            if Instant::now() > until {
                return Err("a host did not become ready".to_string());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Sends a configuration to a host.
    pub fn put_configuration(&self, idx: usize, bytes: &[u8]) -> Answer {
        let headers = [("Content-Type", "application/json"), ("Connection", "close")];
        let path = "/bilberryloft/config";
        call(self.control(idx), "PUT", path, &headers, bytes, CONTROL_TIMEOUT)
    }

    /// Reads the configuration from a host.
    pub fn read_configuration(&self, idx: usize) -> Answer {
        let headers = [("Connection", "close")];
        let path = "/bilberryloft/config";
        call(self.control(idx), "GET", path, &headers, b"", CONTROL_TIMEOUT)
    }

    fn signal(&self, idx: usize, number: i32) {
        if let Some(process) = &self.hosts[idx].process {
            // The process is a child that has not been waited for, so the id is still its own.
            unsafe { kill(process.id() as i32, number) };
        }
    }

    /// Freezes a host.
    pub fn freeze(&self, idx: usize) {
        self.signal(idx, SIGSTOP);
    }

    /// Wakes a frozen host.
    pub fn thaw(&self, idx: usize) {
        self.signal(idx, SIGCONT);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for idx in 0..self.hosts.len() {
            self.signal(idx, SIGKILL);
            if let Some(mut process) = self.hosts[idx].process.take() {
                let _ = process.wait();
            }
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs: {}", self.folder.display()),
            None => drop(std::fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Returns the command of the role `entry` in the deploy file.
fn deployed_program() -> Result<Vec<String>, String> {
    let path = "deploy/system.toml";
    let text = std::fs::read_to_string(path).map_err(|it| format!("{path}: {it}"))?;
    let section = text.split("[roles.entry]").nth(1).unwrap_or_default();
    let line = section.lines().find(|it| it.starts_with("run = "));
    let command =
        line.and_then(|it| it.split('"').nth(1)).ok_or("no command in the deploy file")?;
    Ok(command.split(' ').map(str::to_string).collect())
}

/// Finds ports that are free at all hosts.
fn free_ports(hosts: &[Host]) -> Result<Ports, String> {
    let is_free = |port: u16| hosts.iter().all(|it| TcpListener::bind((it.ip, port)).is_ok());
    if !is_free(ADMIN_PORT) {
        return Err(format!("port {ADMIN_PORT} is in use"));
    }
    let mut found: Vec<u16> = Vec::new();
    for _ in 0..100 {
        let listener = TcpListener::bind((hosts[0].ip, 0)).map_err(|it| it.to_string())?;
        let port = listener.local_addr().map_err(|it| it.to_string())?.port();
        drop(listener);
        if port < 65_000 && is_free(port) && !found.contains(&port) {
            found.push(port);
        }
        if let [frontend, ready, control, peer] = found[..] {
            return Ok(Ports { frontend, ready, control, peer });
        }
    }
    Err("no free ports".to_string())
}
