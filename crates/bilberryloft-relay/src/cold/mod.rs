//! Cold targets and the memory of targets: feeds the decisions with what this entry knows, logs them, and refuses requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::metrics::Metrics;
use bilberryloft_daemon::metrics::gauge_value;
use bilberryloft_daemon::shared::Shared;
use bilberryloft_routing::cold_targets::ColdBound;
use bilberryloft_routing::cold_targets::ColdCause;
use bilberryloft_routing::cold_targets::share::ColdShare;
use bilberryloft_routing::routes::RouteTable;
use bilberryloft_routing::selection::MemoryNeed;
use bilberryloft_routing::target_limits::LimitedWait;
use bilberryloft_state::membership::TargetRecord;
use bilberryloft_transport::clock::epoch_ms;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;

use crate::answer::Refusal;
use crate::entries::Entries;
use crate::request::RelayRequest;
use crate::services::Services;
use crate::settings::ColdLimits;
use crate::state::RelayState;

/// Largest number of targets that a log line names.
const LOGGED_TARGETS_MAX: usize = 8;

/// Feeds the table of targets with what decides on cold targets.
pub struct ColdTracker {
    limits: ColdLimits,
    services: Arc<Services>,
    entries: Arc<Entries>,
    metrics: Arc<Metrics>,
    /// Whether the list of targets was current, and the number of entries, when last logged.
    logged: Mutex<Option<(bool, &'static str, usize)>>,
}

impl ColdTracker {
    /// Creates a tracker that knows no service yet.
    pub fn new(
        limits: ColdLimits,
        daemon: &Shared,
        services: Arc<Services>,
        entries: Arc<Entries>,
    ) -> ColdTracker {
        let metrics = daemon.metrics.clone();
        ColdTracker { limits, services, entries, metrics, logged: Mutex::default() }
    }

    /// Takes over which services have targets that may be cold.
    pub fn set_routes(&self, routes: &RouteTable) {
        let bound = |start| ColdBound::new(start, self.limits.overshoot, self.limits.slack);
        let services = routes.services();
        let bounds: BTreeMap<String, ColdBound> =
            services.filter_map(|it| Some((it.name.clone(), bound(it.cold_start?)?))).collect();
        self.services.targets.lock().set_cold_bounds(bounds);
    }

    /// Records targets that the quorum has told.
    pub fn record_targets<'a>(&self, records: impl Iterator<Item = &'a TargetRecord>) {
        let (now_ms, clock_ms) = (monotonic_ms(), epoch_ms());
        let mut cold: BTreeMap<ColdCause, Vec<&str>> = BTreeMap::new();
        let mut targets = self.services.targets.lock();
        for record in records {
            let (id, version) = (record.name.as_str(), record.changed_version);
            let unchanged_ms = clock_ms.saturating_sub(record.changed_at_ms);
            if let Some(cause) = targets.record_cold(id, version, unchanged_ms, now_ms) {
                cold.entry(cause).or_default().push(id);
            }
        }
        drop(targets);
        for (cause, ids) in cold {
            let named = &ids[..ids.len().min(LOGGED_TARGETS_MAX)];
            log_event!(info, Event::TargetsCold, ?cause, targets = ids.len(), ?named);
        }
    }

    /// Updates what this entry knows of the other entries and of its contact with the quorum.
    pub fn refresh(&self) {
        let now_ms = monotonic_ms();
        let mut targets = self.services.targets.lock();
        if targets.cold.is_empty() {
            return;
        }
        let view = self.entries.cold_view(now_ms);
        self.metrics.cold.targets.set(gauge_value(targets.cold.cold_targets(now_ms)));
        let (share, entries) = match &view.share {
            ColdShare::Known { count, .. } => ("known", *count),
            ColdShare::Unsettled { .. } => ("unsettled", 0),
            ColdShare::NoPart => ("none", 0),
        };
        let is_current = view.is_current;
        targets.cold.set_view(view, now_ms);
        drop(targets);
        let before = self.logged.lock().replace((is_current, share, entries));
        if before != Some((is_current, share, entries)) {
            log_event!(info, Event::ColdShareChanged, share, entries, is_current);
        }
    }

    /// Refuses a request because all targets are cold and this entry may not send to any of them now.
    pub fn refuse(&self, state: &RelayState, request: &RelayRequest, wait: LimitedWait) -> Refusal {
        self.metrics.cold.refusals.inc();
        let retry_after = state.limits.return_after(&request.service, request.priority, wait);
        let cold_targets = self.services.targets.lock().cold.cold_targets(monotonic_ms());
        log_event!(
            info,
            Event::ColdRefused,
            request_id = request.id,
            service = request.service,
            priority = request.priority,
            cold_targets,
            first_ms = wait.first_ms,
            interval_ms = wait.interval_ms,
            confirmed_age_ms = state.daemon.view.confirmed_age_ms(),
            retry_after_ms = retry_after.as_millis() as u64
        );
        Refusal::TargetsCold { retry_after }
    }
}

/// Returns what a request needs of the memory of a target; `None` if the service's targets have no known memory.
pub fn memory_need(state: &RelayState, request: &RelayRequest) -> Option<MemoryNeed> {
    let engine = state.engine(&request.service)?;
    let memory_tokens = engine.memory_tokens?;
    let usual_tokens =
        engine.usual_tokens.unwrap_or_else(|| memory_tokens / engine.slots.max(1) as u64);
    let named = request.tokens.map(|it| it.prompt.saturating_add(it.answer_max));
    Some(MemoryNeed { tokens: named.unwrap_or(usual_tokens), usual_tokens, memory_tokens })
}

/// Refuses a request that is larger than the memory of any target.
pub fn check_memory(state: &RelayState, request: &RelayRequest) -> Result<(), Refusal> {
    match memory_need(state, request) {
        Some(need) if !need.fits() => {
            state.daemon.metrics.cold.memory_refusals.inc();
            Err(Refusal::OverMemory)
        }
        Some(_) | None => Ok(()),
    }
}
