//! State of an entry, shared by its requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bilberryloft_coordination::pick::Picker;
use bilberryloft_coordination::pick::TargetView;
use bilberryloft_coordination::retry::RetryBudget;
use bilberryloft_protocol::api::BurnRow;
use bilberryloft_protocol::wire::Load;
use bilberryloft_state::configuration::TeamPolicy;
use bilberryloft_state::key::TargetKey;
use bilberryloft_state::key::digest;
use bilberryloft_state::record::RecordRing;
use bilberryloft_transport::client::Client;
use bilberryloft_transport::clock::epoch_ms;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use tokio::sync::watch;

use crate::burn_rate::BurnRateTracker;
use crate::control_client::ControlClient;
use crate::metrics::Metrics;
use crate::settings::EntrySettings;
use crate::settings::Settings;
use crate::view::View;
use crate::view::ViewVersions;

/// Mutable state shared by all requests, guarded by one lock.
#[derive(Debug)]
pub(super) struct Inner {
    pub picker: Picker,
    pub budget: RetryBudget,
    pub records: RecordRing,
    pub burn_rates: BurnRateTracker,
    /// Encoded records that wait to be uploaded to a control host.
    pub unsent_records: Vec<Vec<u8>>,
    open_by_team: BTreeMap<String, u32>,
    clients: BTreeMap<String, Client>,
    synced_versions: Option<ViewVersions>,
}

/// The entry role of one daemon.
#[derive(Debug)]
pub struct Entry {
    /// Settings of the entry role.
    pub settings: EntrySettings,
    /// Name of the daemon.
    pub daemon: String,
    /// Data centre of the host.
    pub data_center: String,
    /// Local copy of the replicated state.
    pub view: Arc<View>,
    /// Client for calls to the control hosts.
    pub control: ControlClient,
    /// Metrics of the daemon.
    pub metrics: Arc<Metrics>,
    incarnation: u64,
    next_request_number: AtomicU64,
    open_count: AtomicUsize,
    is_stopping: AtomicBool,
    /// Whether the process is about to end, so that what still waits gets a final answer.
    is_ending: watch::Sender<bool>,
    inner: Mutex<Inner>,
}

impl Entry {
    /// Creates an entry.
    pub fn new(
        entry_settings: EntrySettings,
        settings: &Settings,
        incarnation: u64,
        view: Arc<View>,
        control: ControlClient,
        metrics: Arc<Metrics>,
    ) -> Entry {
        let inner = Inner {
            picker: Picker::new(
                digest(&[settings.daemon.as_bytes(), &incarnation.to_le_bytes()]).cast_unsigned(),
            ),
            budget: RetryBudget::default(),
            records: RecordRing::with_capacity(entry_settings.records_max),
            burn_rates: BurnRateTracker::default(),
            unsent_records: Vec::new(),
            open_by_team: BTreeMap::new(),
            clients: BTreeMap::new(),
            synced_versions: None,
        };
        Entry {
            settings: entry_settings,
            daemon: settings.daemon.clone(),
            data_center: settings.data_center.clone(),
            view,
            control,
            metrics,
            incarnation,
            next_request_number: AtomicU64::new(1),
            open_count: AtomicUsize::new(0),
            is_stopping: AtomicBool::new(false),
            is_ending: watch::Sender::default(),
            inner: Mutex::new(inner),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Creates a request id from the daemon's name, its incarnation and a counter.
    pub(super) fn next_request_id(&self) -> String {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.daemon, self.incarnation)
    }

    /// Whether the entry is stopping and accepts no new requests.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Accepts no new requests from now on.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Answers now what still waits, because the process is about to end.
    pub fn end_waiting(&self) {
        self.is_ending.send_replace(true);
    }

    /// Waits until the process is about to end.
    pub(super) async fn wait_for_end(&self) {
        // The sender lives as long as this value, so waiting cannot fail.
        let _ = self.is_ending.subscribe().wait_for(|it| *it).await;
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open_count.load(Ordering::SeqCst)
    }

    /// Returns the burn rates of the teams' error budgets at this entry.
    pub fn burn_report(&self) -> Vec<BurnRow> {
        self.lock().burn_rates.report(epoch_ms())
    }

    /// Counts a request as open; returns `None` when its team is at its limit of open requests.
    pub(super) fn try_open_request(self: &Arc<Self>, policy: &TeamPolicy) -> Option<OpenRequest> {
        let mut inner = self.lock();
        let open = inner.open_by_team.entry(policy.team.clone()).or_default();
        if *open >= policy.in_flight_max {
            return None;
        }
        *open += 1;
        self.open_count.fetch_add(1, Ordering::SeqCst);
        self.metrics.open_requests.inc();
        Some(OpenRequest { entry: self.clone(), team: policy.team.clone() })
    }

    /// Returns the client for an agent's address, and creates it on first use.
    pub(super) fn client(&self, address: &str) -> Client {
        let mut inner = self.lock();
        let client = inner.clients.entry(address.to_string());
        client.or_insert_with(|| Client::new(address, &self.daemon, self.incarnation)).clone()
    }

    /// Updates the picker's targets if the view has changed since the last call.
    pub(super) fn sync_targets(&self) {
        let versions = *self.view.versions().borrow();
        let mut inner = self.lock();
        if inner.synced_versions == Some(versions) {
            return;
        }
        let membership = self.view.membership();
        let configuration = self.view.configuration();
        let evacuated = self.view.evacuations().evacuated();
        // Targets that are no longer in the membership must not be picked.
        inner.picker.set_all_ineligible();
        for record in membership.targets().values() {
            let description = &record.description;
            let view = TargetView {
                is_local: description.data_center == self.data_center,
                is_eligible: record.reachable
                    && !configuration.is_draining(&record.name)
                    && !evacuated.contains(&description.data_center),
                ..TargetView::new(
                    &record.name,
                    &description.agent_address,
                    record.incarnation,
                    description.slots,
                )
            };
            let mut offers = description.models.clone();
            offers.extend(description.services.iter().map(|it| service_offer(it)));
            inner.picker.upsert(view, &offers);
        }
        inner.synced_versions = Some(versions);
    }

    /// Updates the picker with a load that a target's agent reported.
    pub(super) fn update_load(&self, key: TargetKey, load: &Load) {
        let total = (load.running + load.queued).max(0).cast_unsigned();
        self.lock().picker.note_load(key, total, monotonic_ms());
    }
}

/// Returns the name under which a plain service is offered, next to the model names.
pub(super) fn service_offer(service: &str) -> String {
    format!("service/{service}")
}

/// Guard that counts a request as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest {
    entry: Arc<Entry>,
    team: String,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut inner = self.entry.lock();
        if let Some(open) = inner.open_by_team.get_mut(&self.team) {
            *open -= 1;
            if *open == 0 {
                inner.open_by_team.remove(&self.team);
            }
        }
        self.entry.open_count.fetch_sub(1, Ordering::SeqCst);
        self.entry.metrics.open_requests.dec();
    }
}
