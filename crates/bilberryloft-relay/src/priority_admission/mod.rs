//! Admission by priority to the lock-step groups of this entry: calls `routing::priority_admission` and reports what it
//! decides.

mod wait;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::metrics::Metrics;
use bilberryloft_routing::load_exchange::ReportedDemand;
use bilberryloft_routing::priority_admission::AdmissionRequest;
use bilberryloft_routing::priority_admission::GroupLoad;
use bilberryloft_routing::priority_admission::Inputs;
use bilberryloft_routing::priority_admission::PriorityAdmission;
use bilberryloft_routing::priority_admission::configuration::configurations;
use bilberryloft_routing::priority_admission::demand::Demand;
use bilberryloft_routing::routes::RouteTable;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;
use tokio::time::Instant;

pub use wait::wait_for_admission;

use crate::request::RelayRequest;

/// Shortest time between two log lines about the bound of a service, in milliseconds.
const BOUND_LOG_INTERVAL_MS: u64 = 500;
/// Change of the bound at each target that is logged, in requests.
const BOUND_LOG_STEP: f64 = 0.5;
/// Time without a rejection after which an overload of a priority has ended, in milliseconds.
const OVERLOAD_END_MS: u64 = 2_000;

/// Overload of one priority, which lasts as long as its requests are rejected.
#[derive(Clone, Copy, Debug)]
struct Overload {
    began_ms: u64,
    last_ms: u64,
    rejected: u64,
}

/// Admission to one group, with what was logged of it.
struct TrackedAdmission {
    admission: PriorityAdmission,
    overloads: BTreeMap<u8, Overload>,
    logged_bound: f64,
    logged_ms: u64,
    /// Priorities whose metrics have been set.
    shown: BTreeSet<u8>,
}

/// Admission to all groups whose routes have several priorities.
pub struct PriorityAdmissions {
    admissions: Mutex<BTreeMap<String, TrackedAdmission>>,
    metrics: Arc<Metrics>,
}

impl PriorityAdmissions {
    /// Creates a state without groups.
    pub fn new(metrics: Arc<Metrics>) -> PriorityAdmissions {
        PriorityAdmissions { admissions: Mutex::default(), metrics }
    }

    /// Applies the routes of a document.
    pub fn configure(&self, routes: &RouteTable) {
        let configurations = configurations(routes);
        let mut admissions = self.admissions.lock();
        admissions.retain(|service, _| configurations.iter().any(|it| it.service == *service));
        for it in configurations {
            let tracked = admissions.entry(it.service).or_insert_with(|| TrackedAdmission {
                admission: PriorityAdmission::new(it.engine, it.gap_objective_ms),
                overloads: BTreeMap::new(),
                logged_bound: 0.0,
                logged_ms: 0,
                shown: BTreeSet::new(),
            });
            tracked.admission.configure(it.engine, it.gap_objective_ms);
        }
    }

    /// Returns whether a service's requests are admitted by priority.
    pub fn has(&self, service: &str) -> bool {
        self.admissions.lock().contains_key(service)
    }

    /// Calls a function with the state of a service, if its requests are admitted by priority.
    pub fn with<T>(
        &self,
        service: &str,
        update: impl FnOnce(&mut PriorityAdmission) -> T,
    ) -> Option<T> {
        self.admissions.lock().get_mut(service).map(|it| update(&mut it.admission))
    }

    /// Returns this entry's demand by service, to be reported to the others.
    pub fn own_demand(&self, now_ms: u64) -> ReportedDemand {
        let mut admissions = self.admissions.lock();
        let demand =
            admissions.iter_mut().map(|it| (it.0.clone(), it.1.admission.own_demand(now_ms)));
        demand.filter(|it| !it.1.is_empty()).collect()
    }

    /// Stores another entry's report. A service that it does not name has no requests there.
    pub fn record_report(&self, entry: &str, demand: &ReportedDemand, now_ms: u64) {
        for (service, tracked) in self.admissions.lock().iter_mut() {
            let demand = demand.get(service).cloned().unwrap_or_default();
            tracked.admission.record_report(entry, demand, now_ms);
        }
    }

    /// Counts a request that is rejected.
    fn record_rejection(&self, service: &str, priority: u8, inputs: &Inputs) {
        let now_ms = monotonic_ms();
        let label = priority.to_string();
        self.metrics.admission.rejected.with_label_values(&[service, &label]).inc();
        let mut admissions = self.admissions.lock();
        let Some(tracked) = admissions.get_mut(service) else {
            return;
        };
        let begun = Overload { began_ms: now_ms, last_ms: now_ms, rejected: 0 };
        let is_new = !tracked.overloads.contains_key(&priority);
        let overload = tracked.overloads.entry(priority).or_insert(begun);
        overload.last_ms = now_ms;
        overload.rejected += 1;
        if is_new {
            log_event!(
                info,
                Event::PriorityOverloaded,
                service,
                priority,
                state = "begun",
                bound = inputs.bound,
                running = inputs.running,
                reserve = inputs.reserve,
                age_ms = inputs.age_ms
            );
        }
    }

    /// Sets the metrics, and logs changes of bounds and ends of overloads.
    pub fn report(&self, load: impl Fn(&str) -> GroupLoad, now_ms: u64) {
        let services: Vec<String> = self.admissions.lock().keys().cloned().collect();
        for service in services {
            let group = load(&service);
            let mut admissions = self.admissions.lock();
            if let Some(tracked) = admissions.get_mut(&service) {
                tracked.admission.set_group(group);
                tracked.report_bound(&service, group, &self.metrics, now_ms);
                tracked.report_demand(&service, &self.metrics, now_ms);
                tracked.end_overloads(&service, now_ms);
            }
        }
    }
}

impl TrackedAdmission {
    fn report_bound(&mut self, service: &str, group: GroupLoad, metrics: &Metrics, now_ms: u64) {
        let bound = self.admission.bound(now_ms);
        let whole = (bound * group.targets as f64) as i64;
        metrics.admission.bound.with_label_values(&[service]).set(whole);
        let is_changed = (bound - self.logged_bound).abs() >= BOUND_LOG_STEP;
        if !is_changed || self.logged_ms + BOUND_LOG_INTERVAL_MS > now_ms {
            return;
        }
        let long_pause = self.admission.long_pause_ms(now_ms);
        log_event!(
            info,
            Event::AdmissionBoundChanged,
            service,
            bound,
            before = self.logged_bound,
            running = group.running,
            targets = group.targets,
            pause_ms = long_pause.map(|it| it.0),
            pause_age_ms = long_pause.map(|it| it.1),
            is_disturbed = self.admission.is_disturbed(now_ms)
        );
        (self.logged_bound, self.logged_ms) = (bound, now_ms);
    }

    fn report_demand(&mut self, service: &str, metrics: &Metrics, now_ms: u64) {
        let demand: Demand = self.admission.own_demand(now_ms);
        self.shown.extend(demand.keys());
        for priority in &self.shown {
            let of_priority = demand.get(priority).copied().unwrap_or_default();
            let label = priority.to_string();
            let labels = [service, label.as_str()];
            metrics.admission.running.with_label_values(&labels).set(of_priority.running.into());
            metrics.admission.waiting.with_label_values(&labels).set(of_priority.waiting.into());
        }
    }

    fn end_overloads(&mut self, service: &str, now_ms: u64) {
        self.overloads.retain(|priority, it| {
            let lasts = it.last_ms + OVERLOAD_END_MS > now_ms;
            if !lasts {
                log_event!(
                    info,
                    Event::PriorityOverloaded,
                    service,
                    priority,
                    state = "ended",
                    rejected = it.rejected,
                    lasted_ms = it.last_ms - it.began_ms
                );
            }
            lasts
        });
    }
}

/// Returns what of a request decides on its admission. Its caller may have tried before, which shows in the time that it
/// has left.
fn admission_request(request: &RelayRequest) -> AdmissionRequest {
    let time_left_ms = request.time_left().as_secs_f64() * 1_000.0;
    AdmissionRequest {
        priority: request.urgency,
        objective_ms: request.route.objective_ms as f64,
        elapsed_ms: (request.route.timeout_ms as f64 - time_left_ms).max(0.0),
        time_left_ms,
    }
}

/// A request that runs at a target and counts as such until this value is dropped.
pub struct AdmittedRun {
    admissions: Arc<PriorityAdmissions>,
    service: String,
    priority: u8,
    started: Instant,
    residence: Option<Duration>,
}

impl AdmittedRun {
    /// Counts a request that is started; `None` if its service is not admitted by priority.
    pub fn start(
        admissions: &Arc<PriorityAdmissions>,
        request: &RelayRequest,
    ) -> Option<AdmittedRun> {
        let now_ms = monotonic_ms();
        admissions.with(&request.service, |it| it.record_start(request.urgency, now_ms))?;
        Some(AdmittedRun {
            admissions: admissions.clone(),
            service: request.service.clone(),
            priority: request.urgency,
            started: Instant::now(),
            residence: None,
        })
    }

    /// Records the first event.
    pub fn record_first_event(&self) {
        let after_ms = self.started.elapsed().as_secs_f64() * 1_000.0;
        self.admissions.with(&self.service, |it| it.record_first_event(after_ms));
    }

    /// Records that the request has been answered completely.
    pub fn complete(&mut self) {
        self.residence = Some(self.started.elapsed());
    }
}

impl Drop for AdmittedRun {
    fn drop(&mut self) {
        let after_ms = self.residence.map(|it| it.as_secs_f64() * 1_000.0);
        self.admissions.with(&self.service, |it| it.record_end(self.priority, after_ms));
    }
}
