//! State of an agent, shared by its tasks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bilberryloft_coordination::admission::Admission;
use bilberryloft_coordination::admission::Dequeued;
use bilberryloft_coordination::attempts::AttemptTable;
use bilberryloft_coordination::rank_choice::RankChooser;
use bilberryloft_coordination::rank_choice::StepCosts;
use bilberryloft_protocol::wire::Load;
use bilberryloft_state::membership::TargetDescription;
use bilberryloft_state::record::RecordRing;
use bilberryloft_transport::http::HttpClient;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use tokio::sync::oneshot;

use crate::agent::Announcement;
use crate::agent::AnswerBuffer;
use crate::agent::crash::CrashReport;
use crate::control_client::ControlClient;
use crate::metrics::Metrics;
use crate::settings::AgentSettings;
use crate::view::View;

/// Time for which a target counts as present after its last announcement, in milliseconds.
pub const ANNOUNCEMENT_VALID_MS: u64 = 2_500;

/// Result of waiting in the queue.
#[derive(Debug)]
pub(super) enum QueueResult {
    /// The request may run at the target.
    Admitted,
    /// The request could no longer be answered before its deadline.
    TooLate,
    /// The request was replaced by one of a team that had less than its share.
    Evicted,
}

/// Mutable state of the agent, guarded by one lock.
#[derive(Debug)]
pub(super) struct Inner {
    pub admission: Admission,
    pub attempts: AttemptTable,
    /// Buffered answers by request id and attempt number.
    pub answers: BTreeMap<(String, u32), Arc<AnswerBuffer>>,
    /// Queued attempts by slot request id; the sender tells an attempt how its wait ended.
    pub waiting: BTreeMap<u64, oneshot::Sender<QueueResult>>,
    /// Fingerprints of the requests that run at the target, by slot request id.
    pub fingerprints_at_target: BTreeMap<u64, i64>,
    pub ranks: RankChooser,
    pub next_id: u64,
    pub records: RecordRing,
    pub target: Option<Announcement>,
    pub target_last_announced_ms: u64,
    pub is_target_down: bool,
    pub latest_crash: Option<Arc<CrashReport>>,
    pub crash_count: u64,
}

impl Inner {
    /// Tells dequeued requests that they may run, or that it is too late to run them.
    pub fn notify_waiting(&mut self, dequeued: &Dequeued) {
        for (ids, is_late) in [(&dequeued.start, false), (&dequeued.late, true)] {
            for waiting in ids.iter().filter_map(|it| self.waiting.remove(it)) {
                let _ = waiting.send(if is_late {
                    QueueResult::TooLate
                } else {
                    QueueResult::Admitted
                });
            }
        }
    }
}

/// The agent of one target.
#[derive(Debug)]
pub struct Agent {
    /// Settings of the agent role.
    pub settings: AgentSettings,
    /// Data centre of the host.
    pub data_center: String,
    /// Name of the daemon.
    pub daemon: String,
    /// Local copy of the replicated state.
    pub view: Arc<View>,
    /// Client for calls to the control hosts.
    pub control: ControlClient,
    /// Metrics of the daemon.
    pub metrics: Arc<Metrics>,
    pub(super) http: HttpClient,
    incarnation: AtomicU64,
    is_incarnation_confirmed: AtomicBool,
    is_stopping: AtomicBool,
    inner: Mutex<Inner>,
}

impl Agent {
    /// Creates an agent whose target has not announced itself yet.
    pub fn new(
        settings: AgentSettings,
        daemon: &str,
        data_center: &str,
        incarnation: u64,
        view: Arc<View>,
        control: ControlClient,
        metrics: Arc<Metrics>,
    ) -> Agent {
        let inner = Inner {
            admission: Admission::new(1, settings.queue_max),
            attempts: AttemptTable::new(incarnation),
            answers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            fingerprints_at_target: BTreeMap::new(),
            ranks: RankChooser::new(1, StepCosts::default()),
            next_id: 0,
            records: RecordRing::with_capacity(settings.records_max),
            target: None,
            target_last_announced_ms: 0,
            is_target_down: false,
            latest_crash: None,
            crash_count: 0,
        };
        Agent {
            settings,
            data_center: data_center.to_string(),
            daemon: daemon.to_string(),
            view,
            control,
            metrics,
            http: HttpClient::without_reuse(),
            incarnation: AtomicU64::new(incarnation),
            is_incarnation_confirmed: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            inner: Mutex::new(inner),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Returns the agent's incarnation, which differs for each start of its process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    /// Whether the quorum has recorded this incarnation of the agent.
    pub fn is_incarnation_confirmed(&self) -> bool {
        self.is_incarnation_confirmed.load(Ordering::SeqCst)
    }

    /// Compares the agent's incarnation with the one that the quorum has recorded.
    ///
    /// The quorum can have a later one if the clock went back. An agent that has not run anything yet then
    /// takes an incarnation after it; one that has run an attempt stops serving.
    pub fn reconcile_incarnation(&self, known_incarnation: u64) {
        let own = self.incarnation();
        if known_incarnation == own {
            self.is_incarnation_confirmed.store(true, Ordering::SeqCst);
            return;
        }
        self.is_incarnation_confirmed.store(false, Ordering::SeqCst);
        let mut inner = self.lock();
        if known_incarnation > own && inner.attempts.is_empty() {
            inner.attempts = AttemptTable::new(known_incarnation + 1);
            self.incarnation.store(known_incarnation + 1, Ordering::SeqCst);
        }
    }

    /// Whether the agent is stopping and accepts no new requests.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Accepts no new requests from now on.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Returns the number of requests that run at the target or are queued for it.
    pub fn open_requests(&self) -> usize {
        let inner = self.lock();
        inner.admission.running() + inner.admission.queued()
    }

    /// Records an announcement of the target; returns whether it differs from the last one.
    pub fn record_announcement(&self, announcement: Announcement, now_ms: u64) -> bool {
        let mut inner = self.lock();
        let is_new = inner.target.as_ref() != Some(&announcement);
        inner.target_last_announced_ms = now_ms;
        if is_new {
            inner.is_target_down = false;
            inner.admission.set_slots(announcement.slots);
            let ranks = announcement.ranks.max(1) as usize;
            if inner.ranks.ranks() != ranks {
                inner.ranks = RankChooser::new(ranks, StepCosts::default());
            }
        }
        inner.target = Some(announcement);
        is_new
    }

    /// Returns the target if it has announced itself recently and is not known to be down.
    pub fn present_target(&self, now_ms: u64) -> Option<Announcement> {
        let inner = self.lock();
        let is_present = inner.target_last_announced_ms + ANNOUNCEMENT_VALID_MS > now_ms
            && !inner.is_target_down;
        inner.target.clone().filter(|_| is_present)
    }

    /// Returns the description of the target that the agent announces to the control hosts.
    pub fn target_description(&self, target: &Announcement) -> TargetDescription {
        let dispatch_address = &self.settings.dispatch_address;
        TargetDescription {
            agent_address: self
                .settings
                .advertised_address
                .as_ref()
                .unwrap_or(dispatch_address)
                .clone(),
            data_center: self.data_center.clone(),
            models: target.models.clone(),
            services: target.services.clone(),
            slots: target.slots,
            ranks: target.ranks,
            checks_fencing: target.checks_fencing,
            direct: false,
            leaving: false,
            cold_for_ms: 0,
        }
    }

    /// Returns the current load of the target.
    pub fn load(&self) -> Load {
        let inner = self.lock();
        Load {
            running: i32::try_from(inner.admission.running()).unwrap_or(i32::MAX),
            queued: i32::try_from(inner.admission.queued()).unwrap_or(i32::MAX),
            slots: inner.admission.slots().cast_signed(),
            queued_tokens: inner.admission.queued_tokens().cast_signed(),
        }
    }
}
