//! Limits that targets name on their requests: reads them from answers, tells them to the other entries, and divides them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::metrics::Metrics;
use bilberryloft_daemon::metrics::gauge_value;
use bilberryloft_daemon::shared::Shared;
use bilberryloft_routing::limit_backlog::LimitBacklog;
use bilberryloft_routing::selection::PickedTarget;
use bilberryloft_routing::sharing_entries::Members;
use bilberryloft_routing::sharing_entries::own_part;
use bilberryloft_routing::target_limits::LimitChange;
use bilberryloft_routing::target_limits::LimitObservation;
use bilberryloft_routing::target_limits::LimitReport;
use bilberryloft_routing::target_limits::LimitedWait;
use bilberryloft_routing::target_limits::TargetLimits;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;

use crate::entries::Entries;
use crate::services::Services;

/// Limits of all targets at this entry.
pub struct LimitTracker {
    services: Arc<Services>,
    entries: Arc<Entries>,
    metrics: Arc<Metrics>,
    /// Entries among which the limits were last divided.
    divided_among: Mutex<Option<Members>>,
    backlogs: Mutex<BTreeMap<String, LimitBacklog>>,
}

impl LimitTracker {
    /// Creates a tracker without limits.
    pub fn new(daemon: &Shared, services: Arc<Services>, entries: Arc<Entries>) -> LimitTracker {
        LimitTracker {
            services,
            entries,
            metrics: daemon.metrics.clone(),
            divided_among: Mutex::default(),
            backlogs: Mutex::default(),
        }
    }

    /// Records what an answer of a target says of its limit.
    pub fn record_answer(&self, target: &PickedTarget, per_s: Option<f64>, sent_ms: u64) {
        let now_ms = monotonic_ms();
        let observed = LimitObservation { per_s, incarnation: target.incarnation, sent_ms };
        let mut targets = self.services.targets.lock();
        if let Some(change) = targets.limits.observe(&target.id, observed, now_ms) {
            self.divide(&mut targets.limits, now_ms);
            self.log_change(&target.id, &targets.limits, change, self.entries.own());
        }
    }

    /// Records what another entry knows of the limits of targets.
    pub fn record_reports(&self, entry: &str, reports: &BTreeMap<String, LimitReport>) {
        if reports.is_empty() {
            return;
        }
        let now_ms = monotonic_ms();
        let mut targets = self.services.targets.lock();
        let merge = |it: (&String, &LimitReport)| {
            Some((it.0.clone(), targets.limits.merge(it.0, it.1, now_ms)?))
        };
        let changes: Vec<(String, LimitChange)> = reports.iter().filter_map(merge).collect();
        if !changes.is_empty() {
            self.divide(&mut targets.limits, now_ms);
        }
        for (target, change) in changes {
            self.log_change(&target, &targets.limits, change, entry);
        }
    }

    /// Divides the limits anew if other entries share them now, and drops those that have ended.
    pub fn refresh(&self) {
        let now_ms = monotonic_ms();
        let mut targets = self.services.targets.lock();
        if targets.limits.is_empty() {
            return;
        }
        targets.limits.expire(now_ms);
        self.metrics.targets_limited.set(gauge_value(targets.limits.limited_targets()));
        if *self.divided_among.lock() != self.entries.members() {
            self.divide(&mut targets.limits, now_ms);
        }
    }

    fn divide(&self, limits: &mut TargetLimits, now_ms: u64) {
        let members = self.entries.members();
        let part = |target: &str, parts_max: usize| {
            own_part(members.as_ref()?, self.entries.own(), target, parts_max)
        };
        limits.divide(part, now_ms);
        self.metrics.targets_limited.set(gauge_value(limits.limited_targets()));
        *self.divided_among.lock() = members;
    }

    fn log_change(
        &self,
        target_id: &str,
        limits: &TargetLimits,
        change: LimitChange,
        source: &str,
    ) {
        let part = limits.part(target_id);
        log_event!(
            info,
            Event::TargetLimitChanged,
            target_id,
            limit_per_s = change.per_s,
            before = change.before,
            source,
            rank = part.map(|it| it.rank),
            parts = part.map(|it| it.parts)
        );
    }

    /// Returns whether a request has to leave what is left of a service's limits to more urgent ones.
    pub fn must_yield(&self, service: &str, priority: u8) -> bool {
        self.with_backlog(service, |it| it.must_yield(priority, monotonic_ms()))
    }

    /// Records that a request is refused because all targets have reached their limits; returns the time after which its
    /// caller should come back.
    pub fn refuse(&self, service: &str, priority: u8, wait: LimitedWait) -> Duration {
        self.metrics.limit_refusals.inc();
        self.return_after(service, priority, wait)
    }

    /// Returns the time after which the caller of a refused request should come back: after those that were refused before
    /// and are at least as urgent.
    pub fn return_after(&self, service: &str, priority: u8, wait: LimitedWait) -> Duration {
        let now_ms = monotonic_ms();
        let after_ms = self.with_backlog(service, |it| it.refuse(priority, wait, now_ms));
        Duration::from_millis(after_ms)
    }

    /// Logs and counts a request that goes to a target with a limit.
    pub fn log_sent(&self, request_id: &str, target: &PickedTarget) {
        let Some(limit) = target.limit else {
            return;
        };
        self.metrics.limited_requests.inc();
        log_event!(
            info,
            Event::LimitDecided,
            request_id,
            target_id = target.id,
            limit_per_s = limit.per_s,
            age_ms = limit.age_ms,
            rank = limit.part.rank,
            parts = limit.part.parts,
            outcome = "sent"
        );
    }

    fn with_backlog<T>(&self, service: &str, update: impl FnOnce(&mut LimitBacklog) -> T) -> T {
        update(self.backlogs.lock().entry(service.to_string()).or_default())
    }
}
