//! Settings of the relay and its daemon.

use std::collections::BTreeMap;
use std::path::Path;

use bilberryloft_daemon::settings::Settings;
use bilberryloft_daemon::settings::check_address;
use bilberryloft_routing::remote::cost::RemotePrice;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use serde::Deserialize;
use serde::Serialize;

/// Settings of a program that runs a daemon with a relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramSettings {
    /// Settings of the daemon.
    pub daemon: Settings,
    /// Settings of the relay.
    pub relay: RelaySettings,
}

/// Settings of the relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Address for callers' requests.
    pub caller_address: String,
    /// Address for the balancer's readiness checks.
    pub ready_address: String,
    /// Address of the control API, for operators' documents and targets' announcements.
    pub control_api_address: String,
    /// UDP address for load reports from other entries.
    pub load_address: String,
    /// Port of the rank agents on the targets' hosts.
    pub agent_port: u16,
    /// Longest time from the start of a shutdown to the end of the process, in milliseconds.
    pub stop_within_ms: u64,
    /// Retries allowed for each request, over all entries.
    pub retry_ratio: f64,
    /// Additional retries allowed in one window, over all entries.
    pub retry_slack: f64,
    /// Window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
    /// Whether the whole system starts for the first time, so that no process before this one has made retries.
    #[serde(default)]
    pub is_first_start: bool,
    /// Limits of the host on the process.
    #[serde(default)]
    pub process_limits: ProcessLimits,
    /// Limits on requests to cold targets, over all entries.
    #[serde(default)]
    pub cold_limits: ColdLimits,
    /// Region of each data centre; empty if the data centres are not known in advance.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Price of bytes between data centres; without one, a target in another data centre costs the same wherever it is.
    #[serde(default)]
    pub remote_price: Option<RemotePrice>,
}

/// Limits of the host on the process; absent ones are not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessLimits {
    /// Memory above which the process is ended, in bytes.
    #[serde(default)]
    pub memory_bytes: Option<u64>,
    /// Descriptors that the process may have open.
    #[serde(default)]
    pub descriptors: Option<u64>,
}

/// Limits on the requests that a cold target gets in one second, over all entries: `overshoot` times the rate that it
/// can handle, and `slack` more.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdLimits {
    /// Factor on the rate, at least 1.
    pub overshoot: f64,
    /// Further requests.
    pub slack: f64,
}

impl Default for ColdLimits {
    fn default() -> Self {
        ColdLimits { overshoot: 1.0, slack: 1.0 }
    }
}

impl ProgramSettings {
    /// Reads and validates a settings file.
    pub fn open(path: &Path) -> Result<ProgramSettings> {
        let text = std::fs::read_to_string(path).map_err(|it| Error::disk("read", path, it))?;
        ProgramSettings::parse(&text, path)
    }

    /// Parses and validates the text of a settings file; the error lists all faults.
    pub fn parse(text: &str, path: &Path) -> Result<ProgramSettings> {
        let invalid = |faults: Vec<String>| Error::Settings { path: path.to_path_buf(), faults };
        let settings: ProgramSettings =
            serde_json::from_str(text).map_err(|it| invalid(vec![it.to_string()]))?;
        let mut faults = settings.daemon.find_faults();
        faults.extend(settings.relay.find_faults());
        if faults.is_empty() { Ok(settings) } else { Err(invalid(faults)) }
    }
}

impl RelaySettings {
    fn find_faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let addresses = [
            ("relay.caller_address", &self.caller_address),
            ("relay.ready_address", &self.ready_address),
            ("relay.control_api_address", &self.control_api_address),
            ("relay.load_address", &self.load_address),
        ];
        for (field, address) in addresses {
            check_address(&mut faults, field, address);
        }
        if self.stop_within_ms < 1_000 {
            faults.push(format!(
                "relay.stop_within_ms: {} is under 1000, requests in flight need time to end",
                self.stop_within_ms
            ));
        }
        if !(0.0..=1.0).contains(&self.retry_ratio) {
            faults.push(format!("relay.retry_ratio: {} is not in 0..=1", self.retry_ratio));
        }
        if self.retry_slack < 0.0 {
            faults.push(format!("relay.retry_slack: {} is below 0", self.retry_slack));
        }
        if self.cold_limits.overshoot < 1.0 || self.cold_limits.slack < 0.0 {
            faults.push(format!(
                "relay.cold_limits: {:?} must have an overshoot of at least 1 and a slack of at least 0",
                self.cold_limits
            ));
        }
        if let Some(price) = self.remote_price.filter(|it| !it.is_valid()) {
            faults.push(format!("relay.remote_price: {price:?} must be numbers of at least 0"));
        }
        if self.retry_window_ms < 100 {
            faults.push(format!("relay.retry_window_ms: {} is under 100", self.retry_window_ms));
        }
        faults
    }
}
