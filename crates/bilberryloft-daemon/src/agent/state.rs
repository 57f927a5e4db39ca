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

/// Time after its last announcement for which a target counts as present, in milliseconds.
pub const ANNOUNCEMENT_VALID_MS: u64 = 2_500;

/// What a waiting request hears.
#[derive(Debug)]
pub(super) enum Grant {
    /// It may go to the target.
    Run,
    /// It could no longer be answered in time.
    Late,
    /// It lost its place to a request of a team that had less than its share.
    Evicted,
}

/// The part of the state that one lock guards.
#[derive(Debug)]
pub(super) struct Inner {
    pub admission: Admission,
    pub attempts: AttemptTable,
    pub held: BTreeMap<(String, u32), Arc<AnswerBuffer>>,
    pub waiting: BTreeMap<u64, oneshot::Sender<Grant>>,
    pub at_target: BTreeMap<u64, i64>,
    pub ranks: RankChooser,
    pub next_id: u64,
    pub records: RecordRing,
    pub target: Option<Announcement>,
    pub target_heard_ms: u64,
    pub target_is_down: bool,
    pub crash: Option<Arc<CrashReport>>,
    pub crashes: u64,
}

impl Inner {
    /// Tells waiting requests that their wait is over.
    pub fn grant(&mut self, next: &Dequeued) {
        for (ids, is_late) in [(&next.start, false), (&next.late, true)] {
            for waiting in ids.iter().filter_map(|it| self.waiting.remove(it)) {
                let _ = waiting.send(if is_late { Grant::Late } else { Grant::Run });
            }
        }
    }
}

/// An agent beside one target.
#[derive(Debug)]
pub struct Agent {
    /// Settings of the role.
    pub settings: AgentSettings,
    /// Data centre of the host.
    pub data_center: String,
    /// Name of the daemon.
    pub daemon: String,
    /// Local copy of the replicated state.
    pub view: Arc<View>,
    /// Calls to control.
    pub control: ControlClient,
    /// Counters.
    pub metrics: Arc<Metrics>,
    pub(super) http: HttpClient,
    incarnation: AtomicU64,
    is_settled: AtomicBool,
    is_stopping: AtomicBool,
    inner: Mutex<Inner>,
}

impl Agent {
    /// Starts an agent without a target.
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
            held: BTreeMap::new(),
            waiting: BTreeMap::new(),
            at_target: BTreeMap::new(),
            ranks: RankChooser::new(1, StepCosts::default()),
            next_id: 0,
            records: RecordRing::with_capacity(settings.records_max),
            target: None,
            target_heard_ms: 0,
            target_is_down: false,
            crash: None,
            crashes: 0,
        };
        Agent {
            settings,
            data_center: data_center.to_string(),
            daemon: daemon.to_string(),
            view,
            control,
            metrics,
            http: HttpClient::new(),
            incarnation: AtomicU64::new(incarnation),
            is_settled: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            inner: Mutex::new(inner),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Life of the agent.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    /// Whether the quorum has recorded this life of the agent.
    pub fn is_settled(&self) -> bool {
        self.is_settled.load(Ordering::SeqCst)
    }

    /// Takes the incarnation that the quorum knows. An agent that has not run anything yet steps over a
    /// later one, which a clock that went back can cause; one that has run something stops serving.
    pub fn settle(&self, known_incarnation: u64) {
        let own = self.incarnation();
        if known_incarnation == own {
            self.is_settled.store(true, Ordering::SeqCst);
            return;
        }
        self.is_settled.store(false, Ordering::SeqCst);
        let mut inner = self.lock();
        if known_incarnation > own && inner.attempts.is_empty() {
            inner.attempts = AttemptTable::new(known_incarnation + 1);
            self.incarnation.store(known_incarnation + 1, Ordering::SeqCst);
        }
    }

    /// Whether the agent takes no new work because it stops.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Takes no new work from now on.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Number of requests at the target or waiting for it.
    pub fn open_requests(&self) -> usize {
        let inner = self.lock();
        inner.admission.running() + inner.admission.queued()
    }

    /// Takes an announcement; returns whether it says anything new.
    pub fn note_announcement(&self, announcement: Announcement, now_ms: u64) -> bool {
        let mut inner = self.lock();
        let is_new = inner.target.as_ref() != Some(&announcement);
        inner.target_heard_ms = now_ms;
        if is_new {
            inner.target_is_down = false;
            inner.admission.set_slots(announcement.slots);
            let ranks = announcement.ranks.max(1) as usize;
            if inner.ranks.ranks() != ranks {
                inner.ranks = RankChooser::new(ranks, StepCosts::default());
            }
        }
        inner.target = Some(announcement);
        is_new
    }

    /// The target, if it has announced itself lately.
    pub fn present_target(&self, now_ms: u64) -> Option<Announcement> {
        let inner = self.lock();
        let is_present =
            inner.target_heard_ms + ANNOUNCEMENT_VALID_MS > now_ms && !inner.target_is_down;
        inner.target.clone().filter(|_| is_present)
    }

    /// What the agent announces to control for its target.
    pub fn description(&self, target: &Announcement) -> TargetDescription {
        let listens_on = &self.settings.dispatch_address;
        TargetDescription {
            agent_address: self.settings.advertised_address.as_ref().unwrap_or(listens_on).clone(),
            data_center: self.data_center.clone(),
            models: target.models.clone(),
            services: target.services.clone(),
            slots: target.slots,
            ranks: target.ranks,
            checks_fencing: target.checks_fencing,
            direct: false,
            leaving: false,
        }
    }

    /// Load of the target at this moment.
    pub fn load(&self) -> Load {
        let inner = self.lock();
        Load {
            running: inner.admission.running() as i32,
            queued: inner.admission.queued() as i32,
            slots: inner.admission.slots() as i32,
            queued_tokens: inner.admission.queued_tokens() as i64,
        }
    }
}
