//! Distinguishing a crash of the target from the failure of one request, and reporting the requests that
//! were in flight at a crash.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_state::state_machine::Command;
use bilberryloft_transport::clock::monotonic_ms;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;
use tokio::sync::watch;

use crate::agent::Agent;
use crate::events::Event;
use crate::log_event;

/// Time for the target to respond to a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for the quorum to record the suspects.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Report of one crash, shared by all requests that were in flight.
#[derive(Debug)]
pub struct CrashReport {
    number: u64,
    fingerprints: Vec<i64>,
    detected_ms: u64,
    is_recorded: watch::Sender<bool>,
}

#[derive(Deserialize)]
struct Health {
    incarnation: u64,
}

impl Agent {
    /// Returns whether the target crashed; if it did, first waits until the suspects are recorded, at most for
    /// `REPORT_TIMEOUT`.
    ///
    /// `started_ms` is the time at which the failed request was sent to the target.
    pub(super) async fn check_for_crash(&self, started_ms: u64) -> bool {
        if let Some(report) = self.crash_since(started_ms) {
            return self.wait_until_recorded(&report).await;
        }
        if self.is_target_alive().await {
            return false;
        }
        let (report, is_first) = self.open_crash_report(started_ms);
        if is_first {
            self.record_crash(&report).await;
        }
        self.wait_until_recorded(&report).await
    }

    fn crash_since(&self, started_ms: u64) -> Option<Arc<CrashReport>> {
        self.lock().latest_crash.clone().filter(|it| it.detected_ms >= started_ms)
    }

    async fn is_target_alive(&self) -> bool {
        let Some(target) = self.lock().target.clone() else {
            return false;
        };
        let Ok(request) =
            Request::get(format!("{}/health", target.url)).body(Full::<Bytes>::default())
        else {
            return false;
        };
        match tokio::time::timeout(HEALTH_TIMEOUT, self.http.fetch(request)).await {
            Ok(Ok((200, body))) => serde_json::from_slice::<Health>(&body)
                .is_ok_and(|it| it.incarnation == target.incarnation),
            Ok(_) | Err(_) => false,
        }
    }

    fn open_crash_report(&self, started_ms: u64) -> (Arc<CrashReport>, bool) {
        let mut inner = self.lock();
        if let Some(report) = inner.latest_crash.clone().filter(|it| it.detected_ms >= started_ms) {
            return (report, false);
        }
        inner.crash_count += 1;
        inner.is_target_down = true;
        let report = Arc::new(CrashReport {
            number: inner.crash_count,
            fingerprints: inner.fingerprints_at_target.values().copied().collect(),
            detected_ms: monotonic_ms(),
            is_recorded: watch::channel(false).0,
        });
        inner.latest_crash = Some(report.clone());
        (report, true)
    }

    async fn record_crash(&self, report: &CrashReport) {
        let target = self.settings.target.clone();
        log_event!(error, Event::TargetCrashed, target, in_flight = report.fingerprints.len());
        self.metrics.target_crashes.inc();
        let command = Command::ReportCrash {
            target,
            crash_number: (self.incarnation() << 16) + report.number,
            fingerprints: report.fingerprints.clone(),
        };
        let _ = self.control.propose(&command, REPORT_TIMEOUT).await;
        report.is_recorded.send_replace(true);
    }

    async fn wait_until_recorded(&self, report: &CrashReport) -> bool {
        let mut recorded = report.is_recorded.subscribe();
        let _ = tokio::time::timeout(REPORT_TIMEOUT, recorded.wait_for(|it| *it)).await;
        true
    }
}
