//! Requests that were running when their targets ended: finds out whether a target has ended, reports it to the quorum,
//! and says whether a request may run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::run_permission::RunHistory;
use bilberryloft_coordination::run_permission::decide;
use bilberryloft_coordination::target_end::EndEvidence;
use bilberryloft_coordination::target_end::has_ended;
use bilberryloft_daemon::control_client::ControlClient;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::metrics::Metrics;
use bilberryloft_daemon::shared::Shared;
use bilberryloft_daemon::trial::QUORUM_TIMEOUT;
use bilberryloft_daemon::trial::TrialDecision;
use bilberryloft_daemon::trial::begin_trial;
use bilberryloft_daemon::view::View;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_state::suspect::LostRun;
use bilberryloft_state::suspect::RunPermission;
use bilberryloft_state::suspect::SUSPECT_RETENTION_MS;
use bilberryloft_state::suspect::Suspect;
use bilberryloft_state::suspect::prompt_part::PartHistory;
use bilberryloft_transport::clock::epoch_ms;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::answer::Refusal;
use crate::held_trial::HeldTrial;
use crate::held_trial::LocalTrials;
use crate::lost_runs::LostRuns;
use crate::lost_runs::TargetRun;
use crate::pool::Pool;
use crate::prompt_part::PromptPart;
use crate::prompt_part::part_ids;
use crate::request::RelayRequest;
use crate::services::Services;
use crate::target_probe::probe_target;
use crate::target_slot::EndedSlot;

/// Pause after a report that the quorum did not record.
const REPORT_PAUSE: Duration = Duration::from_millis(300);
/// Time within which something must have been heard from another host, so that silence is not this entry's own loss of
/// the network.
const CONTACT_WITHIN: Duration = Duration::from_millis(1_500);
/// Time after which other entries are told of lost runs that the quorum has not recorded.
const GOSSIP_AFTER: Duration = Duration::from_millis(1_000);
/// Longest wait for the check of a target, and for the quorum to record its end, before a suspect is sent to the next
/// one or its trial ends.
const CHECK_WAIT_MAX: Duration = Duration::from_millis(250);
/// Interval at which the end of the check is looked for.
const CHECK_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may run.
    Run,
    /// It may run on a trial of the request, or of a part of its prompt.
    Trial {
        /// Key of the trial.
        key: i64,
    },
    /// It may run on trial later.
    Wait {
        /// Time until then.
        remaining: Duration,
    },
    /// It must not run.
    Refuse {
        /// Time for which it is refused.
        remaining: Duration,
    },
}

/// Suspects that this entry knows, and the runs of which it has to tell the quorum.
pub struct SuspectTracker {
    view: Arc<View>,
    control: ControlClient,
    metrics: Arc<Metrics>,
    services: Arc<Services>,
    pool: Arc<Pool>,
    runs: Mutex<LostRuns>,
    local_trials: LocalTrials,
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
            local_trials: LocalTrials::default(),
            has_news: Notify::new(),
        }
    }

    /// Returns whether a request may run as far as this entry knows.
    pub fn permission(&self, request: &RelayRequest) -> Permission {
        match decide(self.history(request.fingerprint)) {
            RunPermission::Run => self.part_permission(request),
            RunPermission::Trial { pause_ms: 0 } => Permission::Trial { key: request.fingerprint },
            RunPermission::Trial { pause_ms } => {
                Permission::Wait { remaining: Duration::from_millis(pause_ms) }
            }
            RunPermission::Refuse { remaining_ms } => {
                Permission::Refuse { remaining: Duration::from_millis(remaining_ms) }
            }
        }
    }

    /// Returns whether a request may run with the parts that its prompt has. The last part decides first: it is shared by
    /// the fewest requests.
    fn part_permission(&self, request: &RelayRequest) -> Permission {
        let mut permission = Permission::Run;
        for part in request.shared_parts.iter().rev() {
            match self.part_history(part.key).permission() {
                RunPermission::Run => {}
                RunPermission::Refuse { remaining_ms } => {
                    return Permission::Refuse { remaining: Duration::from_millis(remaining_ms) };
                }
                RunPermission::Trial { pause_ms: 0 } if permission == Permission::Run => {
                    permission = Permission::Trial { key: part.key };
                }
                RunPermission::Trial { pause_ms: 0 } => {}
                RunPermission::Trial { pause_ms } => {
                    permission = Permission::Wait { remaining: Duration::from_millis(pause_ms) };
                }
            }
        }
        permission
    }

    /// Returns whether a request may be sent to a further target.
    pub fn may_retry(&self, request: &RelayRequest) -> bool {
        self.permission(request) == Permission::Run
    }

    fn history(&self, fingerprint: i64) -> RunHistory {
        // Locked in this order everywhere.
        let suspects = self.view.suspects();
        self.runs.lock().history(fingerprint, &suspects)
    }

    fn part_history(&self, key: i64) -> PartHistory {
        let suspects = self.view.suspects();
        let record = suspects.get(&key).and_then(|it| it.part.as_ref());
        self.runs.lock().part_history(key, record)
    }

    /// Lets a new request run, on trial if need be, or refuses it.
    pub fn admit(&self, request: &RelayRequest) -> Result<Permission, Refusal> {
        let permission = self.permission(request);
        if permission != Permission::Run {
            self.log_decision(request, permission);
        }
        match permission {
            Permission::Run | Permission::Trial { .. } => Ok(permission),
            Permission::Wait { remaining } => Err(Refusal::TrialPending { remaining }),
            Permission::Refuse { remaining } => Err(Refusal::Quarantined { remaining }),
        }
    }

    /// Asks the quorum for a trial at a target of a request, or of a part of its prompt, by its key.
    pub async fn begin_trial(
        &self,
        request: &RelayRequest,
        key: i64,
        target_id: &str,
    ) -> Result<Option<HeldTrial>, Refusal> {
        let Some(local) = self.local_trials.begin(key) else {
            return Err(Refusal::SuspectTrial);
        };
        let timeout = QUORUM_TIMEOUT.min(request.time_left());
        match begin_trial(&self.control, key, &request.id, Some(target_id), timeout).await {
            Ok(TrialDecision::NotNeeded) => Ok(None),
            Ok(TrialDecision::Granted(trial)) => Ok(Some(HeldTrial::new(local, Some(trial)))),
            Ok(TrialDecision::Running) => Err(Refusal::SuspectTrial),
            Ok(TrialDecision::Quarantined) => {
                Err(Refusal::Quarantined { remaining: self.remaining_quarantine(key) })
            }
            Err(error) => {
                // The request may be innocent, and without a quorum nothing else shows it.
                tracing::warn!(%error, request_id = request.id, "no trial, one copy runs without");
                Ok(Some(HeldTrial::new(local, None)))
            }
        }
    }

    /// Returns the time for which a request, or a part, is still refused.
    fn remaining_quarantine(&self, key: i64) -> Duration {
        for permission in [self.part_history(key).permission(), decide(self.history(key))] {
            if let RunPermission::Refuse { remaining_ms } = permission {
                return Duration::from_millis(remaining_ms);
            }
        }
        let last_crash_ms = self.view.suspects().get(&key).map(|it| it.last_crash_ms);
        let until_ms = last_crash_ms.unwrap_or_else(epoch_ms) + SUSPECT_RETENTION_MS;
        Duration::from_millis(until_ms.saturating_sub(epoch_ms()))
    }

    fn log_decision(&self, request: &RelayRequest, permission: Permission) {
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
            shared_ends = lost_targets.iter().filter(|it| it.is_shared).count(),
            age_ms = lost_targets.last().map(|it| epoch_ms().saturating_sub(it.lost_ms)),
            unrecorded = history.lost_targets.saturating_sub(lost_targets.len()),
            parts = ?self.describe_parts(request, &suspects),
            confirmed_age_ms = self.view.confirmed_age_ms()
        );
    }

    /// Describes for the log the parts of a prompt that something counts against.
    fn describe_parts(
        &self,
        request: &RelayRequest,
        suspects: &BTreeMap<i64, Suspect>,
    ) -> Vec<String> {
        let describe = |part: &PromptPart| {
            let record = suspects.get(&part.key).and_then(|it| it.part.as_ref());
            let history = self.runs.lock().part_history(part.key, record);
            (history.weight > 0).then(|| format!("{}: {history:?}", part.id))
        };
        request.shared_parts.iter().filter_map(describe).collect()
    }

    /// Records that a target has answered a request, and so has survived it.
    pub fn record_survived(&self, fingerprint: i64) {
        let is_suspect = self.view.suspects().contains_key(&fingerprint);
        if self.runs.lock().add_survived(fingerprint, is_suspect) {
            self.has_news.notify_one();
        }
    }

    /// Records that a target has survived all parts of a prompt.
    pub fn record_survived_parts(&self, parts: &[PromptPart]) {
        let suspects = self.view.suspects();
        if self.runs.lock().add_survived_parts(parts, &suspects) {
            self.has_news.notify_one();
        }
    }

    /// Reports the listed suspects that a target of this entry has survived lately.
    fn clear_survived_suspects(&self) {
        let suspects = self.view.suspects();
        let mut runs = self.runs.lock();
        let has_requests = runs.find_survived(&suspects);
        let has_parts = runs.find_survived_parts(&suspects);
        if has_requests || has_parts {
            self.has_news.notify_one();
        }
    }

    /// Returns runs whose targets ended and that the quorum has not recorded for some time, the newest, for the other
    /// entries.
    pub fn unrecorded_runs(&self, count_max: usize) -> Vec<LostRun> {
        self.runs.lock().unrecorded_for(GOSSIP_AFTER, count_max)
    }

    /// Records runs whose targets ended and that another entry could not report to the quorum.
    pub fn record_heard_runs(&self, lost: &[LostRun]) {
        if !lost.is_empty() && self.runs.lock().add_heard(lost) {
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

    /// Waits until the target of a lost run has been checked, if the request may have ended it: it is a suspect, or its
    /// prompt has parts that the target had just begun to answer on. For a suspect, waits until the end is recorded, too,
    /// so that the next decision knows the result at any entry.
    pub async fn wait_for_check(&self, request: &RelayRequest, ended: &EndedSlot) {
        let fingerprint = request.fingerprint;
        let is_suspect = self.view.suspects().contains_key(&fingerprint);
        let may_have_ended_target = !ended.has_survived_parts && !request.shared_parts.is_empty();
        let until = Instant::now() + CHECK_WAIT_MAX;
        let is_pending = || {
            let runs = self.runs.lock();
            runs.is_unchecked(&ended.address) || is_suspect && runs.has_unrecorded(fingerprint)
        };
        while (is_suspect || may_have_ended_target) && is_pending() {
            if Instant::now() >= until {
                return;
            }
            tokio::time::sleep(CHECK_POLL_INTERVAL).await;
        }
    }

    async fn report_all(&self) {
        loop {
            let report = self.runs.lock().build_report();
            if report.is_empty() {
                return;
            }
            let started = Instant::now();
            let build = || report.command(started.elapsed());
            let outcome = self.control.propose_with(build, QUORUM_TIMEOUT).await;
            let is_recorded = matches!(outcome, Ok(Outcome::Applied));
            log_event!(
                info,
                Event::RunsReported,
                lost = report.lost.len(),
                survived = report.survived.len(),
                survived_parts = report.survived_parts.len(),
                oldest_ms = report.lost.iter().map(|it| it.lost_ago_ms).max(),
                is_recorded,
                error = outcome.as_ref().err().map(|it| it.to_string())
            );
            if is_recorded {
                self.runs.lock().remove_recorded(&report);
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
