//! Retry budgets of this entry, one for each service.

use std::collections::BTreeMap;
use std::sync::Arc;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::metrics::Metrics;
use bilberryloft_daemon::shared::Shared;
use bilberryloft_routing::retry_budget::BudgetLimits;
use bilberryloft_routing::retry_budget::RetryBudget;
use bilberryloft_routing::retry_budget::RetryPurpose;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;

use crate::entries::Entries;

/// Retry budgets by service.
pub struct Retries {
    limits: BudgetLimits,
    slack_from_ms: u64,
    budgets: Mutex<BTreeMap<String, RetryBudget>>,
    entries: Arc<Entries>,
    metrics: Arc<Metrics>,
}

impl Retries {
    /// Creates budgets without recorded requests. The process before this one may have used its part of the slack, so
    /// this one has none until a window has passed, unless the whole system starts for the first time.
    pub fn new(
        limits: BudgetLimits,
        is_first_start: bool,
        daemon: &Shared,
        entries: Arc<Entries>,
    ) -> Retries {
        let wait_ms = if is_first_start { 0 } else { limits.window_ms };
        Retries {
            limits,
            slack_from_ms: monotonic_ms() + wait_ms,
            budgets: Mutex::default(),
            entries,
            metrics: daemon.metrics.clone(),
        }
    }

    /// Counts a caller's request in the retry budget of a service.
    pub fn record_request(&self, service: &str) {
        self.with_budget(service, |it| it.record_request(monotonic_ms()));
    }

    /// Takes one retry out of the budget of a service; returns `false` if the budget is used up.
    pub fn take(&self, service: &str, purpose: RetryPurpose, request_id: &str) -> bool {
        let entries = self.entries.known_count();
        let decision =
            self.with_budget(service, |it| it.try_take(purpose, entries, monotonic_ms()));
        let counter = match decision.is_allowed {
            true => &self.metrics.retries,
            false => &self.metrics.retries_denied,
        };
        counter.inc();
        // A stream on a slow rank asks again every 100 ms, so its denials are only counted.
        if decision.is_allowed || purpose == RetryPurpose::Request {
            log_event!(
                info,
                Event::RetryDecided,
                request_id,
                service,
                ?purpose,
                is_allowed = decision.is_allowed,
                requests = decision.requests,
                retries = decision.retries,
                allowed = decision.allowed,
                entries
            );
        }
        decision.is_allowed
    }

    fn with_budget<T>(&self, service: &str, update: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let new_budget = || RetryBudget::new(self.limits, self.slack_from_ms);
        let mut budgets = self.budgets.lock();
        update(budgets.entry(service.to_string()).or_insert_with(new_budget))
    }
}
