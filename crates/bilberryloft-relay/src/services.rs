//! State of each service at this entry: load and health of its targets, its wait queue, and the pauses of its streams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::metrics::Metrics;
use bilberryloft_daemon::shared::Shared;
use bilberryloft_protocol::api::RemoteRow;
use bilberryloft_routing::batch_limit::PauseMeter;
use bilberryloft_routing::group_health::GroupHealth;
use bilberryloft_routing::learned::AnswerSample;
use bilberryloft_routing::remote::AwayChange;
use bilberryloft_routing::selection::TargetKey;
use bilberryloft_routing::target_limits::LimitedWait;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::AwayRow;
use bilberryloft_routing::targets::TargetTable;
use bilberryloft_routing::wait_queue::WaitQueue;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::priority_admission::PriorityAdmissions;

/// Targets, queues, pauses and groups of all services.
pub struct Services {
    /// Load and health of the targets.
    pub targets: Mutex<TargetTable>,
    /// Admission by priority to lock-step groups.
    pub admissions: Arc<PriorityAdmissions>,
    pauses: Mutex<BTreeMap<String, PauseMeter>>,
    queues: Mutex<BTreeMap<String, WaitQueue>>,
    slow_ranks_changes: watch::Sender<()>,
    groups: Mutex<BTreeMap<String, GroupHealth>>,
}

impl Services {
    /// Creates a state without targets for an entry in the given data centre.
    pub fn new(data_center: &str, metrics: Arc<Metrics>) -> Services {
        Services {
            targets: Mutex::new(TargetTable::new(data_center)),
            admissions: Arc::new(PriorityAdmissions::new(metrics)),
            pauses: Mutex::default(),
            queues: Mutex::default(),
            slow_ranks_changes: watch::Sender::default(),
            groups: Mutex::default(),
        }
    }

    /// Stores the slowness of slow ranks, as reported by a host that polls the ranks.
    pub fn record_slow_ranks(&self, reporter: &str, slowness: BTreeMap<String, f64>) {
        let now_ms = monotonic_ms();
        let mut targets = self.targets.lock();
        let is_new = match targets.slow_ranks_from(reporter, now_ms) {
            Some(before) => *before != slowness,
            None => !slowness.is_empty(),
        };
        if is_new {
            log_event!(info, Event::SlowRanksChanged, reporter, ?slowness);
        }
        targets.record_slow_ranks(reporter, slowness, now_ms);
        drop(targets);
        if is_new {
            self.slow_ranks_changes.send_replace(());
        }
    }

    /// Subscribes to changes of the slow ranks.
    pub fn slow_ranks_changes(&self) -> watch::Receiver<()> {
        self.slow_ranks_changes.subscribe()
    }

    /// Returns the smoothed pause between events of a service's streams, in milliseconds.
    pub fn pause_ms(&self, service: &str, now_ms: u64) -> Option<f64> {
        self.pauses.lock().get(service)?.pause_ms(now_ms)
    }

    /// Records a pause between two events of a stream.
    pub fn record_pause(&self, service: &str, pause: Duration) {
        let pause_ms = pause.as_secs_f64() * 1_000.0;
        self.admissions.with(service, |it| it.record_pause(pause_ms, monotonic_ms()));
        let mut pauses = self.pauses.lock();
        if !pauses.contains_key(service) {
            pauses.insert(service.to_string(), PauseMeter::default());
        }
        if let Some(meter) = pauses.get_mut(service) {
            meter.record(pause_ms, monotonic_ms());
        }
    }

    /// Returns whether a request may be sent to a service. While its group is down, only single probes may.
    pub fn may_send(&self, service: &str) -> bool {
        let mut groups = self.groups.lock();
        groups.get_mut(service).is_none_or(|it| it.may_send(monotonic_ms()))
    }

    /// Removes a finished request from its target's load and records the outcome.
    pub fn finish(&self, service: &str, key: TargetKey, outcome: AttemptOutcome) {
        let now_ms = monotonic_ms();
        self.targets.lock().finish(key, outcome, now_ms);
        self.with_queue(service, |it| it.record_finished(now_ms));
    }

    /// Records an answer that ended in good order; returns what it says of the target's health.
    pub fn record_answer(&self, key: TargetKey, sample: &AnswerSample) -> AttemptOutcome {
        self.targets.lock().record_answer(key, sample, monotonic_ms())
    }

    /// Decides anew what share of the requests may leave the data centre, and reports changes.
    pub fn update_remote(&self, daemon: &Shared) {
        let mut targets = self.targets.lock();
        let now_ms = monotonic_ms();
        let changes = targets.update_remote(now_ms);
        let is_due = daemon.remote_shares.is_due(now_ms) || !changes.is_empty();
        let rows = is_due.then(|| targets.away_rows());
        drop(targets);
        if let Some(rows) = rows {
            daemon.remote_shares.set(rows.into_iter().map(remote_row).collect(), now_ms);
        }
        changes.iter().for_each(log_remote_change);
    }

    /// Returns the wait for a target if all targets of a service name limits; it is 0 if one may get a request now.
    pub fn limited_wait(&self, service: &str) -> Option<LimitedWait> {
        self.targets.lock().limited_wait(service, monotonic_ms())
    }

    /// Returns the time until the first of a service's targets may get a request, if all of them rest, in milliseconds.
    pub fn rest_wait_ms(&self, service: &str) -> Option<u64> {
        self.targets.lock().rest_wait_ms(service, monotonic_ms())
    }

    /// Returns whether all eligible targets of a service are in evacuated data centres.
    pub fn is_evacuated(&self, service: &str) -> bool {
        self.targets.lock().is_evacuated(service, monotonic_ms())
    }

    /// Takes back a pick whose request was not sent.
    pub fn cancel(&self, key: TargetKey) {
        self.targets.lock().cancel(key);
    }

    /// Releases the tokens of a request that has ended at a target, or was not sent.
    pub fn release_tokens(&self, key: TargetKey, tokens: u64) {
        if tokens > 0 {
            self.targets.lock().release_tokens(key, tokens);
        }
    }

    /// Returns whether a target has answered or another entry has reported within a time in milliseconds.
    pub fn has_heard_within(&self, within_ms: u64) -> bool {
        self.targets.lock().has_heard_since(monotonic_ms().saturating_sub(within_ms))
    }

    /// Returns the mean number of requests at each target of a service.
    pub fn mean_load(&self, service: &str) -> f64 {
        self.targets.lock().mean_load(service, monotonic_ms())
    }

    /// Calls a function with the health of a service's lock-step group.
    pub fn with_group<T>(&self, service: &str, update: impl FnOnce(&mut GroupHealth) -> T) -> T {
        update(self.groups.lock().entry(service.to_string()).or_default())
    }

    /// Calls a function with the wait queue of a service.
    pub fn with_queue<T>(&self, service: &str, update: impl FnOnce(&mut WaitQueue) -> T) -> T {
        update(self.queues.lock().entry(service.to_string()).or_default())
    }
}

fn remote_row(row: AwayRow) -> RemoteRow {
    RemoteRow {
        service: row.service,
        share: row.share,
        reason: row.reason.name().to_string(),
        costs: row.costs,
    }
}

fn log_remote_change(change: &AwayChange) {
    let event = if change.begins { Event::AwayBegan } else { Event::AwayEnded };
    log_event!(
        info,
        event,
        service = change.service,
        share = change.share,
        reason = change.reason.name(),
        load_here = change.load_here,
        load_there = change.load_there,
        data_center = change.data_center
    );
}
