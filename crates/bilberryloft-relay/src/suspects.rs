//! Requests that were running when their targets ended: finds out whether a target has ended, reports it to the quorum,
//! and says whether a request may run.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::run_permission::RunHistory;
use bilberryloft_coordination::run_permission::RunPermission;
use bilberryloft_coordination::run_permission::decide;
use bilberryloft_coordination::target_end::EndEvidence;
use bilberryloft_coordination::target_end::has_ended;
use bilberryloft_daemon::control_client::ControlClient;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::metrics::Metrics;
use bilberryloft_daemon::shared::Shared;
use bilberryloft_daemon::trial::QUORUM_TIMEOUT;
use bilberryloft_daemon::trial::Trial;
use bilberryloft_daemon::trial::TrialDecision;
use bilberryloft_daemon::trial::begin_trial;
use bilberryloft_daemon::view::View;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_state::suspect::SUSPECT_RETENTION_MS;
use bilberryloft_transport::clock::epoch_ms;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::answer::Refusal;
use crate::lost_runs::LostRuns;
use crate::lost_runs::TargetRun;
use crate::pool::Pool;
use crate::prompt_part::part_ids;
use crate::request::RelayRequest;
use crate::services::Services;
use crate::target_probe::probe_target;

/// Pause after a report that the quorum did not record.
const REPORT_PAUSE: Duration = Duration::from_millis(300);
/// Time within which something must have been heard from another host, so that silence is not this entry's own loss of
/// the network.
const CONTACT_WITHIN: Duration = Duration::from_millis(1_500);
/// Longest wait for the check of a target, and for the quorum to record its end, before a suspect is sent to the next
/// one or its trial ends.
const CHECK_WAIT_MAX: Duration = Duration::from_millis(250);
/// Interval at which the end of the check is looked for.
const CHECK_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Suspects that this entry knows, and the runs of which it has to tell the quorum.
pub struct SuspectTracker {
    view: Arc<View>,
    control: ControlClient,
    metrics: Arc<Metrics>,
    services: Arc<Services>,
    pool: Arc<Pool>,
    runs: Mutex<LostRuns>,
    has_news: Notify,
}

impl SuspectTracker {
    /// Creates a tracker without runs.
    pub fn new(daemon: &Shared, services: Arc<Services>, pool: Arc<Pool>) -> SuspectTracker {
        SuspectTracker {
            view: daemon.view.clone(),
            control: daemon.control.clone(),
            metrics: daemon.metrics.clone(),
            services,
            pool,
            runs: Mutex::default(),
            has_news: Notify::new(),
        }
    }

    /// Returns whether a request may run as far as this entry knows.
    pub fn permission(&self, fingerprint: i64) -> RunPermission {
        decide(self.history(fingerprint))
    }

    /// Returns whether a request may be sent to a further target.
    pub fn may_retry(&self, fingerprint: i64) -> bool {
        self.permission(fingerprint) == RunPermission::Run
    }

    fn history(&self, fingerprint: i64) -> RunHistory {
        let suspects = self.view.suspects();
        let suspect = suspects.get(&fingerprint);
        RunHistory::new(suspect, self.runs.lock().history(fingerprint, suspect))
    }

    /// Lets a new request run, on trial if need be, or refuses it.
    pub fn admit(&self, request: &RelayRequest) -> Result<RunPermission, Refusal> {
        let permission = self.permission(request.fingerprint);
        if permission != RunPermission::Run {
            self.log_decision(request, permission);
        }
        match permission {
            RunPermission::Run | RunPermission::Trial => Ok(permission),
            RunPermission::Refuse => Err(self.quarantined(request.fingerprint)),
        }
    }

    /// Asks the quorum for a trial of a request at a target.
    pub async fn begin_trial(
        &self,
        request: &RelayRequest,
        target_id: &str,
    ) -> Result<Option<Trial>, Refusal> {
        let timeout = QUORUM_TIMEOUT.min(request.time_left());
        let (fingerprint, id) = (request.fingerprint, &request.id);
        match begin_trial(&self.control, fingerprint, id, Some(target_id), timeout).await {
            Ok(TrialDecision::NotNeeded) => Ok(None),
            Ok(TrialDecision::Granted(trial)) => Ok(Some(trial)),
            Ok(TrialDecision::Running) => Err(Refusal::SuspectTrial),
            Ok(TrialDecision::Quarantined) => Err(self.quarantined(request.fingerprint)),
            Err(error) => {
                // The request may be innocent, and without a quorum nothing shows it.
                tracing::warn!(%error, request_id = request.id, "no trial, the request runs without");
                Ok(None)
            }
        }
    }

    fn quarantined(&self, fingerprint: i64) -> Refusal {
        let last_crash_ms = self.view.suspects().get(&fingerprint).map(|it| it.last_crash_ms);
        let until_ms = last_crash_ms.unwrap_or_else(epoch_ms) + SUSPECT_RETENTION_MS;
        let remaining = Duration::from_millis(until_ms.saturating_sub(epoch_ms()));
        Refusal::Quarantined { remaining }
    }

    fn log_decision(&self, request: &RelayRequest, permission: RunPermission) {
        let history = self.history(request.fingerprint);
        let suspects = self.view.suspects();
        let lost_targets = suspects.get(&request.fingerprint).map(|it| it.lost_targets.as_slice());
        let lost_targets = lost_targets.unwrap_or_default();
        let names: Vec<&String> = lost_targets.iter().map(|it| &it.target).collect();
        log_event!(
            info,
            Event::SuspectDecided,
            request_id = request.id,
            fingerprint = %format_args!("{:016x}", request.fingerprint),
            ?permission,
            lost_targets = ?names,
            rounds = history.rounds.count(),
            weak_rounds = history.rounds.weak,
            age_ms = lost_targets.last().map(|it| epoch_ms().saturating_sub(it.lost_ms)),
            unrecorded = history.lost_targets.saturating_sub(lost_targets.len()),
            confirmed_age_ms = self.view.confirmed_age_ms()
        );
    }

    /// Records that a target has answered a request, and so has survived it.
    pub fn record_survived(&self, fingerprint: i64) {
        let is_suspect = self.view.suspects().contains_key(&fingerprint);
        if self.runs.lock().add_survived(fingerprint, is_suspect) {
            self.has_news.notify_one();
        }
    }

    /// Reports the listed suspects that a target of this entry has survived lately.
    fn clear_survived_suspects(&self) {
        let suspects = self.view.suspects();
        if self.runs.lock().find_survived(&suspects) {
            self.has_news.notify_one();
        }
    }

    /// Checks whether the target of a run that broke off or is silent has ended, and if so, records the run.
    pub fn check_target(self: &Arc<Self>, run: TargetRun) {
        let address = run.address.clone();
        if self.runs.lock().add_unchecked(run) {
            let tracker = self.clone();
            tokio::spawn(async move { tracker.probe(&address).await });
        }
    }

    async fn probe(&self, address: &str) {
        let started = Instant::now();
        let probe = probe_target(&self.pool, address).await;
        let runs = self.runs.lock().take_unchecked(address);
        let Some(first) = runs.first() else {
            return;
        };
        let (target_id, count) = (first.target_id.clone(), runs.len());
        let is_leaving = self.services.targets.lock().is_leaving(first.key);
        let evidence = EndEvidence { probe, is_leaving, has_contact: self.has_contact() };
        let ended = has_ended(evidence);
        log_event!(
            info,
            Event::TargetEndChecked,
            target_id,
            has_ended = ended,
            ?probe,
            is_leaving,
            has_contact = evidence.has_contact,
            runs = count,
            waited_ms = started.elapsed().as_millis() as u64
        );
        if ended {
            runs.iter().for_each(log_lost_run);
        }
        if ended && self.runs.lock().add_ended(runs) {
            self.metrics.target_crashes.inc();
            self.has_news.notify_one();
        }
    }

    fn has_contact(&self) -> bool {
        let within_ms = CONTACT_WITHIN.as_millis() as u64;
        self.view.confirmed_age_ms().is_some_and(|it| it <= within_ms)
            || self.services.has_heard_within(within_ms)
    }

    /// Waits until the target of a suspect's lost run has been checked and its end is recorded, so that the next decision
    /// on it knows the result, at any entry.
    pub async fn wait_for_check(&self, fingerprint: i64, address: &str) {
        let is_suspect = self.view.suspects().contains_key(&fingerprint);
        let until = Instant::now() + CHECK_WAIT_MAX;
        let is_pending = || {
            let runs = self.runs.lock();
            runs.is_unchecked(address) || runs.has_unrecorded(fingerprint)
        };
        while is_suspect && is_pending() {
            if Instant::now() >= until {
                return;
            }
            tokio::time::sleep(CHECK_POLL_INTERVAL).await;
        }
    }

    async fn report_all(&self) {
        loop {
            let report = self.runs.lock().build_report();
            let (lost, survived) = (&report.lost, &report.survived);
            if lost.is_empty() && survived.is_empty() {
                return;
            }
            let started = Instant::now();
            let build = || report.command(started.elapsed());
            let outcome = self.control.propose_with(build, QUORUM_TIMEOUT).await;
            let is_recorded = matches!(outcome, Ok(Outcome::Applied));
            log_event!(
                info,
                Event::RunsReported,
                lost = lost.len(),
                survived = survived.len(),
                oldest_ms = lost.iter().map(|it| it.lost_ago_ms).max(),
                is_recorded,
                error = outcome.as_ref().err().map(|it| it.to_string())
            );
            if is_recorded {
                self.runs.lock().remove_recorded(lost, survived);
            } else {
                tokio::time::sleep(REPORT_PAUSE).await;
            }
        }
    }
}

fn log_lost_run(run: &TargetRun) {
    log_event!(
        info,
        Event::RunLost,
        request_id = run.request_id,
        target_id = run.target_id,
        fingerprint = %format_args!("{:016x}", run.fingerprint),
        shared_parts = ?part_ids(&run.shared_parts),
        progress = ?run.progress,
        age_ms = run.started.elapsed().as_millis() as u64
    );
}

/// Starts the task that reports runs to the quorum until it has recorded them.
pub fn spawn_run_reports(tracker: Arc<SuspectTracker>) {
    let mut versions = tracker.view.versions();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                () = tracker.has_news.notified() => tracker.report_all().await,
                changed = versions.changed() => match changed {
                    Ok(()) => tracker.clear_survived_suspects(),
                    Err(_) => return,
                },
            }
        }
    });
}
