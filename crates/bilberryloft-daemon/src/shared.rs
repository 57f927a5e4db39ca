//! State that all roles of a daemon share.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bilberryloft_coordination::host_choice::Place;
use bilberryloft_protocol::api::DaemonStatus;
use bilberryloft_protocol::api::WatcherRow;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::record::DecisionRecord;
use bilberryloft_state::record::RecordRing;
use parking_lot::Mutex;

use crate::agent::Agent;
use crate::control::ControlHandle;
use crate::control::QuorumStatus;
use crate::control_client::ControlClient;
use crate::entry::Entry;
use crate::host_reporter::HostReporter;
use crate::metrics::Metrics;
use crate::remote_shares::RemoteShares;
use crate::settings::RoleName;
use crate::settings::Settings;
use crate::view::View;

/// Most records of refused requests that are kept in memory.
const REFUSAL_RECORDS_MAX: usize = 4_096;

/// State that all roles of a daemon share.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Incarnation of the daemon: its start time in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Local copy of the replicated state.
    pub view: Arc<View>,
    /// Client of the control hosts.
    pub control: ControlClient,
    /// Metrics of the daemon.
    pub metrics: Arc<Metrics>,
    /// Shares of requests that may leave the data centre.
    pub remote_shares: RemoteShares,
    /// Entry role, if the daemon has it.
    pub entry: Option<Arc<Entry>>,
    /// Agent role, if the daemon has it.
    pub agent: Option<Arc<Agent>>,
    /// Handle of the control node, once it has started on a control host.
    pub control_node: OnceLock<ControlHandle>,
    /// Reports to the leader, on a control host of a quorum that chooses its members by itself.
    pub host_reporter: OnceLock<HostReporter>,
    /// Data centres that are known from the settings, in addition to those of known targets.
    pub data_centers: OnceLock<BTreeSet<String>>,
    /// Records of requests that the relay refused.
    pub refusals: Mutex<RecordRing>,
    is_stopping: AtomicBool,
}

fn metrics_fault(error: prometheus::Error) -> Error {
    Error::Json { step: "set up metrics", detail: error.to_string() }
}

impl Shared {
    /// Creates the state of all roles; fails if two metrics have the same name.
    pub fn new(settings: Settings, incarnation: u64) -> Result<Shared> {
        let view = Arc::new(View::new(settings.configuration_lease_ms, settings.on_lost_control));
        let (addresses, daemon) = (&settings.control_addresses, &settings.daemon);
        let place = Place {
            address: settings.peer_address.clone(),
            data_center: settings.data_center.clone(),
        };
        let control = match settings.learn_control_addresses {
            true => ControlClient::learning(addresses, daemon, incarnation, place),
            false => ControlClient::new(addresses, daemon, incarnation),
        };
        let metrics = Metrics::new().map(Arc::new).map_err(metrics_fault)?;
        let entry = settings.entry.clone().map(|it| {
            Arc::new(Entry::new(
                it,
                &settings,
                incarnation,
                view.clone(),
                control.clone(),
                metrics.clone(),
            ))
        });
        let agent = settings.agent.clone().map(|it| {
            Arc::new(Agent::new(
                it,
                &settings.daemon,
                &settings.data_center,
                incarnation,
                view.clone(),
                control.clone(),
                metrics.clone(),
            ))
        });
        Ok(Shared {
            settings,
            incarnation,
            view,
            control,
            remote_shares: RemoteShares::new(metrics.clone()),
            metrics,
            entry,
            agent,
            control_node: OnceLock::new(),
            host_reporter: OnceLock::new(),
            data_centers: OnceLock::new(),
            refusals: Mutex::new(RecordRing::with_capacity(REFUSAL_RECORDS_MAX)),
            is_stopping: AtomicBool::new(false),
        })
    }

    /// Returns whether the daemon is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Records that the daemon is shutting down.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Returns the decision records of a request that this daemon keeps.
    pub fn local_records(&self, request_id: &str) -> Vec<DecisionRecord> {
        let mut records = self.refusals.lock().find(request_id);
        if let Some(entry) = &self.entry {
            records.extend(entry.records_of(request_id));
        }
        if let Some(agent) = &self.agent {
            let encoded = agent.records_of(request_id);
            records.extend(encoded.iter().filter_map(|it| serde_json::from_slice(it).ok()));
        }
        records
    }

    /// Builds the status of this daemon.
    pub fn status(&self, quorum: Option<QuorumStatus>, watchers: Vec<WatcherRow>) -> DaemonStatus {
        let role_name = |role: RoleName| format!("{role:?}").to_lowercase();
        DaemonStatus {
            daemon: self.settings.daemon.clone(),
            roles: self.settings.roles().into_iter().map(role_name).collect(),
            configuration_version: self.view.configuration().version(),
            confirmed_age_ms: self.view.confirmed_age_ms(),
            serving: self.view.may_serve() && !self.is_stopping(),
            leader: quorum.as_ref().and_then(|it| it.leader_address.clone()),
            term: quorum.as_ref().map(|it| it.term),
            commit_index: quorum.as_ref().map(|it| it.commit_index),
            may_vote: quorum.as_ref().map(|it| it.may_vote),
            loss_tolerance: quorum.as_ref().and_then(|it| it.loss_tolerance.clone()),
            watchers,
        }
    }
}
