//! Shared state of the relay.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::shared::Shared;
use bilberryloft_routing::batch_limit::batch_limit;
use bilberryloft_routing::document::Engine;
use bilberryloft_routing::priority_admission::GroupLoad;
use bilberryloft_routing::retry_budget::BudgetLimits;
use bilberryloft_routing::retry_budget::RetryPurpose;
use bilberryloft_routing::routes::RouteTable;
use bilberryloft_routing::selection::NoMigration;
use bilberryloft_routing::selection::NoTarget;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::selection::PickedTarget;
use bilberryloft_routing::selection::TargetKey;
use bilberryloft_routing::selection::connection_share;
use bilberryloft_routing::target_starts::TargetStarts;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::TargetInfo;
use bilberryloft_state::membership::TargetRecord;
use bilberryloft_transport::clock::boot_ms;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::time::Instant;

use crate::cold::ColdTracker;
use crate::cold::memory_need;
use crate::dialect::Dialect;
use crate::entries::Entries;
use crate::evacuation::EvacuationTracker;
use crate::lifecycle::Lifecycle;
use crate::limits::LimitTracker;
use crate::memory::Memory;
use crate::pool::Pool;
use crate::request::RelayRequest;
use crate::retries::Retries;
use crate::services::Services;
use crate::settings::RelaySettings;
use crate::suspects::SuspectTracker;
use crate::target_slot::TargetSlot;

/// Requests that may wait at a target in addition to its slots.
const TARGET_QUEUE_MAX: u32 = 4;

/// Interval at which a stream on a slow rank checks for a free slot at another rank.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Load of a service at the time of a decision, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSnapshot {
    /// Number of eligible targets.
    pub targets: usize,
    /// Names of the evacuated data centres; `None` if there are none.
    pub evacuated: Option<String>,
    /// Mean number of requests at each target.
    pub mean_load: f64,
    /// Limit on the requests at each target, if pauses between events are near their objective.
    pub load_max: Option<u32>,
    /// Smoothed pause between events, in milliseconds.
    pub pause_ms: Option<f64>,
}

/// State that is shared by all parts of the relay.
pub struct RelayState {
    /// Shared state of the daemon that the relay is part of.
    pub daemon: Arc<Shared>,
    /// Names and formats of the deployment.
    pub dialect: Arc<dyn Dialect>,
    /// Settings of the relay.
    pub settings: RelaySettings,
    /// Idle connections to targets for callers' requests.
    pub pool: Arc<Pool>,
    /// Idle connections to targets for what this process reads itself.
    pub call_pool: Pool,
    /// Targets, queues, pauses and groups of all services.
    pub services: Arc<Services>,
    /// Requests under which targets ended.
    pub suspects: Arc<SuspectTracker>,
    /// Entries that share the bounds over all entries.
    pub entries: Arc<Entries>,
    /// Evacuations that are in force at this entry.
    pub evacuations: EvacuationTracker,
    /// Limits that targets name on their requests.
    pub limits: LimitTracker,
    /// Cold targets.
    pub cold: ColdTracker,
    /// Retry budgets of this entry.
    pub retries: Retries,
    /// Memory and connections that clients make this process hold.
    pub memory: Arc<Memory>,
    /// Open requests and shutdown.
    pub lifecycle: Arc<Lifecycle>,
    /// Present starts of the targets that have started more than once.
    pub starts: Mutex<TargetStarts>,
    routes: RwLock<Arc<RouteTable>>,
}

impl RelayState {
    /// Creates a state without routes and targets.
    pub fn new(
        daemon: Arc<Shared>,
        settings: RelaySettings,
        dialect: Arc<dyn Dialect>,
        memory: Arc<Memory>,
    ) -> RelayState {
        let limits = BudgetLimits {
            window_ms: settings.retry_window_ms,
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
        };
        let services =
            Arc::new(Services::new(&daemon.settings.data_center, daemon.metrics.clone()));
        services
            .targets
            .lock()
            .places_mut()
            .set_price(settings.remote_price, settings.regions.clone());
        let is_first_start = settings.is_first_start;
        let data_centers = settings.regions.keys().cloned().collect();
        // Set once, as one daemon has one relay.
        let _ = daemon.data_centers.set(data_centers);
        let entries = Arc::new(Entries::new(&daemon));
        let retries = Retries::new(limits, is_first_start, &daemon, entries.clone());
        let limits = LimitTracker::new(&daemon, services.clone(), entries.clone());
        let cold_limits = settings.cold_limits;
        let cold = ColdTracker::new(cold_limits, &daemon, services.clone(), entries.clone());
        let new_pool = || Pool::new(memory.account.clone(), memory.report.clone());
        let (pool, call_pool) = (Arc::new(new_pool()), new_pool());
        let suspects = Arc::new(SuspectTracker::new(&daemon, services.clone(), pool.clone()));
        RelayState {
            daemon,
            dialect,
            settings,
            pool,
            call_pool,
            services,
            suspects,
            entries,
            evacuations: EvacuationTracker::default(),
            limits,
            cold,
            retries,
            memory,
            lifecycle: Arc::default(),
            starts: Mutex::default(),
            routes: RwLock::default(),
        }
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Arc<RouteTable> {
        self.routes.read().clone()
    }

    /// Applies the daemon's latest routing document if it is newer than the one in force.
    pub fn refresh_routes(&self) {
        let before = self.routes().version();
        let document = self.daemon.view.document();
        let Some(document) = document.filter(|it| Some(it.version) > before) else {
            return;
        };
        match self.dialect.decode_document(document.text.as_bytes()) {
            Ok(decoded) => {
                let routes = decoded.routes.len();
                self.services.targets.lock().places_mut().set_distances(decoded.services.iter());
                let routes_in_force = Arc::new(RouteTable::new(decoded));
                self.cold.set_routes(&routes_in_force);
                self.services.admissions.configure(&routes_in_force);
                *self.routes.write() = routes_in_force;
                log_event!(info, Event::RoutesInForce, version = document.version, before, routes);
            }
            Err(error) => {
                log_event!(error, Event::RoutesUnreadable, version = document.version, %error);
            }
        }
    }

    /// Applies the daemon's latest list of targets.
    pub fn refresh_targets(&self) {
        let membership = self.daemon.view.membership();
        let direct = || membership.targets().values().filter(|it| it.description.direct);
        let mut targets = self.services.targets.lock();
        for record in direct() {
            targets.apply(target_info(record));
        }
        drop(targets);
        let restarted = direct().filter(|it| it.earlier_incarnation.is_some());
        let restarted = restarted.map(|it| (it.name.as_str(), it.incarnation));
        self.starts.lock().record(restarted, boot_ms());
        self.cold.record_targets(direct());
    }

    /// Picks a target for a new request and reserves a slot there.
    pub fn pick(
        &self,
        request: &RelayRequest,
        tried: &[TargetKey],
    ) -> Result<TargetSlot, NoTarget> {
        let now_ms = monotonic_ms();
        let by_priority = self.services.admissions.with(&request.service, |it| it.load_max(now_ms));
        let load_max = by_priority.or_else(|| self.load_max(request, now_ms));
        let picked = self.pick_limited(request, tried, load_max, now_ms)?;
        Ok(TargetSlot::new(&self.services, &self.suspects, request, picked))
    }

    /// Picks a target for a retry, which is not subject to the batch limit for new requests.
    pub fn pick_for_retry(
        &self,
        request: &RelayRequest,
        tried: &[TargetKey],
    ) -> Result<TargetSlot, NoTarget> {
        let picked = self.pick_limited(request, tried, None, monotonic_ms())?;
        Ok(TargetSlot::new(&self.services, &self.suspects, request, picked))
    }

    fn pick_limited(
        &self,
        request: &RelayRequest,
        tried: &[TargetKey],
        load_max: Option<u32>,
        now_ms: u64,
    ) -> Result<PickedTarget, NoTarget> {
        let limits = PickLimits { load_max, ..self.pick_limits(request) };
        let service = &request.service;
        self.services.targets.lock().pick(service, tried, &limits, now_ms, fastrand::f64)
    }

    /// Waits until a stream should move away from its slow rank and a slot at another rank is reserved for it.
    pub async fn wait_for_migration(&self, request: &RelayRequest, key: TargetKey) -> TargetSlot {
        let mut changes = self.services.slow_ranks_changes();
        loop {
            changes.mark_unchanged();
            // The sender lives as long as this state, so waiting for a change cannot fail.
            match self.try_migrate(request, key) {
                Ok(slot) => return slot,
                Err(NoMigration::NotSlow) => drop(changes.changed().await),
                Err(NoMigration::NoSlot) => {
                    drop(tokio::time::timeout(SLOT_POLL_INTERVAL, changes.changed()).await);
                }
            }
        }
    }

    fn try_migrate(
        &self,
        request: &RelayRequest,
        key: TargetKey,
    ) -> Result<TargetSlot, NoMigration> {
        let (limits, now_ms) = (self.pick_limits(request), monotonic_ms());
        let picked =
            self.services.targets.lock().pick_migration(key, &limits, now_ms, fastrand::f64)?;
        let slot = TargetSlot::new(&self.services, &self.suspects, request, picked);
        if self.retries.take(&request.service, RetryPurpose::Group, &request.id) {
            Ok(slot)
        } else {
            slot.cancel();
            Err(NoMigration::NoSlot)
        }
    }

    fn pick_limits(&self, request: &RelayRequest) -> PickLimits {
        let service = &request.service;
        PickLimits {
            load_max: None,
            queue_max: TARGET_QUEUE_MAX,
            own_load_max: u32::try_from(self.connection_share(service)).unwrap_or(u32::MAX),
            idle_load: self.engine(service).map_or(0.0, |it| it.idle_load()),
            entries: self.entries.active(),
            memory: memory_need(self, request),
        }
    }

    /// Returns the number of connections that this entry may have to each target of a service.
    pub fn connection_share(&self, service: &str) -> usize {
        let entries = self.entries.count_from_start();
        let routes = self.routes();
        routes.service(service).map_or(1, |it| connection_share(it.connections_max, entries))
    }

    /// Returns the model engine of a service; `None` for a plain service.
    pub fn engine(&self, service: &str) -> Option<Engine> {
        self.routes().service(service)?.engine
    }

    /// Returns the load of a service's group, for admission by priority.
    pub fn group_load(&self, service: &str) -> GroupLoad {
        let (running, targets) = self.services.targets.lock().total_load(service, monotonic_ms());
        GroupLoad { targets, running, entries: self.entries.count_from_start() }
    }

    /// Returns the current load of a request's service.
    pub fn load_snapshot(&self, request: &RelayRequest) -> LoadSnapshot {
        let now_ms = monotonic_ms();
        let service = &request.service;
        let pause_ms = self.services.pause_ms(service, now_ms);
        let (targets, evacuated, mean_load) = {
            let targets = self.services.targets.lock();
            let names: Vec<&str> = targets.evacuated().iter().map(String::as_str).collect();
            let evacuated = (!names.is_empty()).then(|| names.join(", "));
            let eligible = targets.eligible(service, now_ms).len();
            (eligible, evacuated, targets.mean_load(service, now_ms))
        };
        let load_max = pause_ms.and_then(|it| self.load_max_at(request, it, mean_load));
        LoadSnapshot { targets, evacuated, mean_load, load_max, pause_ms }
    }

    /// Returns the limit on the requests at each target, if pauses between events are near their objective.
    fn load_max(&self, request: &RelayRequest, now_ms: u64) -> Option<u32> {
        let pause_ms = self.services.pause_ms(&request.service, now_ms)?;
        let mean_load = self.services.targets.lock().mean_load(&request.service, now_ms);
        self.load_max_at(request, pause_ms, mean_load)
    }

    fn load_max_at(&self, request: &RelayRequest, pause_ms: f64, mean_load: f64) -> Option<u32> {
        let objective_ms = request.route.gap_objective_ms? as f64;
        let engine = self.engine(&request.service)?;
        let limit = batch_limit(&engine, objective_ms, pause_ms, mean_load);
        (limit < engine.slots as u32).then_some(limit)
    }

    /// Records the outcome of an attempt at a lock-step group; returns whether the group is down.
    pub fn record_group_outcome(
        &self,
        service: &str,
        rank: TargetKey,
        outcome: AttemptOutcome,
    ) -> bool {
        let Some(engine) = self.engine(service).filter(|it| it.experts.is_some()) else {
            return false;
        };
        let now_ms = monotonic_ms();
        let mean_load = self.services.mean_load(service);
        self.services.with_group(service, |group| match outcome {
            AttemptOutcome::Full => {
                group.record_refusal(rank, mean_load, engine.slots as u32, now_ms)
            }
            AttemptOutcome::Success => {
                group.record_answer();
                false
            }
            AttemptOutcome::Failed
            | AttemptOutcome::Truncated
            | AttemptOutcome::Resting
            | AttemptOutcome::Misdirected
            | AttemptOutcome::Lost
            | AttemptOutcome::Unknown => false,
        })
    }

    /// Returns whether a request to a service that is sent now may be answered before this process ends, as far as its
    /// usual time is known.
    pub fn has_time_for(&self, service: &str) -> bool {
        let Some(times) = self.lifecycle.stop_times() else {
            return true;
        };
        let left = times.answering.saturating_duration_since(Instant::now());
        let usual_ms = self.services.targets.lock().usual_ms(service, monotonic_ms());
        left.as_secs_f64() * 1_000.0 > usual_ms.unwrap_or(0.0)
    }

    /// Returns whether new requests are served.
    pub fn is_ready(&self) -> bool {
        !self.lifecycle.is_stopping() && self.routes().version().is_some()
    }
}

fn target_info(record: &TargetRecord) -> TargetInfo {
    TargetInfo {
        id: record.name.clone(),
        incarnation: record.incarnation,
        service: record.description.services.first().cloned().unwrap_or_default(),
        address: record.description.agent_address.clone(),
        data_center: record.description.data_center.clone(),
        slots: record.description.slots,
        is_leaving: record.description.leaving,
        cold_for_ms: record.description.cold_for_ms,
        is_announced: record.reachable,
    }
}
