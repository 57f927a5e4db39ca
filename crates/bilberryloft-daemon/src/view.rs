//! What a daemon knows of the replicated state, and how fresh that is.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::freshness::Freshness;
use bilberryloft_coordination::freshness::OnLostControl;
use bilberryloft_protocol::wire::Update;
use bilberryloft_state::configuration::ChangeRecord;
use bilberryloft_state::configuration::Configuration;
use bilberryloft_state::document::StoredDocument;
use bilberryloft_state::membership::Membership;
use bilberryloft_state::membership::MembershipDelta;
use bilberryloft_state::membership::TargetRecord;
use bilberryloft_state::suspect::Suspect;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;
use parking_lot::RwLock;
use parking_lot::RwLockReadGuard;
use tokio::sync::watch;

use crate::events::Event;
use crate::log_event;

/// Versions that a daemon has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewVersions {
    /// Configuration version.
    pub configuration: u64,
    /// Membership version.
    pub membership: u64,
    /// Version of the suspects.
    pub suspects: u64,
    /// Version of the document of routes and services.
    pub document: u64,
}

/// Local copy of configuration, membership and suspects.
#[derive(Debug)]
pub struct View {
    configuration: RwLock<Configuration>,
    membership: RwLock<Membership>,
    suspects: RwLock<BTreeMap<i64, Suspect>>,
    document: RwLock<Arc<StoredDocument>>,
    freshness: Mutex<Freshness>,
    versions: watch::Sender<ViewVersions>,
    wants_snapshot: Mutex<bool>,
}

impl View {
    /// Starts empty and unconfirmed.
    pub fn new(lease_ms: u64, on_lost_control: OnLostControl) -> View {
        View {
            configuration: RwLock::default(),
            membership: RwLock::default(),
            suspects: RwLock::default(),
            document: RwLock::default(),
            freshness: Mutex::new(Freshness::new(lease_ms, on_lost_control)),
            versions: watch::channel(ViewVersions::default()).0,
            wants_snapshot: Mutex::new(false),
        }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> RwLockReadGuard<'_, Configuration> {
        self.configuration.read()
    }

    /// The known targets.
    pub fn membership(&self) -> RwLockReadGuard<'_, Membership> {
        self.membership.read()
    }

    /// The document of routes and services in force.
    pub fn document(&self) -> Arc<StoredDocument> {
        self.document.read().clone()
    }

    /// A suspect by its fingerprint.
    pub fn suspect(&self, fingerprint: i64) -> Option<Suspect> {
        self.suspects.read().get(&fingerprint).cloned()
    }

    /// Versions as they grow.
    pub fn versions(&self) -> watch::Receiver<ViewVersions> {
        self.versions.subscribe()
    }

    /// Versions to ask from; 0 for the configuration when a snapshot is wanted.
    pub fn versions_to_ask(&self) -> ViewVersions {
        let wants_snapshot = *self.wants_snapshot.lock();
        let mut versions = *self.versions.borrow();
        if wants_snapshot {
            versions.configuration = 0;
        }
        versions
    }

    /// Whether new work may start on this knowledge.
    pub fn may_serve(&self) -> bool {
        self.lock_freshness().may_serve(monotonic_ms())
    }

    /// Age of the latest confirmation in milliseconds.
    pub fn confirmed_age_ms(&self) -> Option<u64> {
        self.lock_freshness().age_ms(monotonic_ms())
    }

    fn lock_freshness(&self) -> parking_lot::MutexGuard<'_, Freshness> {
        self.freshness.lock()
    }

    /// Waits until the configuration has at least a version; false when the time runs out first.
    pub async fn wait_for_configuration(&self, version: u64, wait: Duration) -> bool {
        let mut versions = self.versions();
        let reached = versions.wait_for(|it| it.configuration >= version);
        matches!(tokio::time::timeout(wait, reached).await, Ok(Ok(_)))
    }

    /// Takes an update whose question was sent at the given time. Versions never go back.
    pub fn apply(&self, update: Update, asked_ms: u64) {
        self.apply_configuration(&update);
        self.apply_membership(&update);
        self.apply_suspects(&update);
        self.apply_document(&update);
        let is_whole = self.configuration().version() >= update.configuration_version as u64;
        if update.confirmed && is_whole {
            self.confirm(asked_ms);
        }
        let versions = ViewVersions {
            configuration: self.configuration().version(),
            membership: self.membership().version(),
            suspects: update.suspects_version as u64,
            document: self.document.read().version,
        };
        self.versions.send_if_modified(|it| std::mem::replace(it, versions) != versions);
    }

    fn confirm(&self, asked_ms: u64) {
        let was_serving = self.may_serve();
        self.lock_freshness().confirm(asked_ms);
        if !was_serving && self.may_serve() {
            log_event!(
                info,
                Event::ConfigurationConfirmed,
                version = self.configuration().version()
            );
        }
    }

    fn apply_configuration(&self, update: &Update) {
        let mut configuration = self.configuration.write();
        let before = configuration.version();
        if let Some(bytes) = &update.configuration_snapshot
            && let Ok(snapshot) = serde_json::from_slice::<Configuration>(bytes)
            && snapshot.version() >= before
        {
            *configuration = snapshot;
            self.set_wants_snapshot(false);
        }
        for bytes in &update.configuration_changes {
            let Ok(record) = serde_json::from_slice::<ChangeRecord>(bytes) else {
                continue;
            };
            if record.version > configuration.version() && !configuration.apply(record) {
                log_event!(warn, Event::ConfigurationGap, version = configuration.version());
                self.set_wants_snapshot(true);
                break;
            }
        }
        let version = configuration.version();
        if version != before {
            log_event!(info, Event::ConfigurationApplied, version, before);
        }
    }

    fn set_wants_snapshot(&self, wants: bool) {
        *self.wants_snapshot.lock() = wants;
    }

    fn apply_membership(&self, update: &Update) {
        let parse = |bytes: &Vec<u8>| serde_json::from_slice::<TargetRecord>(bytes).ok();
        let delta = MembershipDelta {
            version: update.membership_version as u64,
            is_full: update.membership_whole,
            targets: update.targets.iter().filter_map(parse).collect(),
        };
        self.membership.write().apply_delta(delta);
    }

    fn apply_document(&self, update: &Update) {
        let (Some(version), Some(bytes)) = (update.document_version, &update.document) else {
            return;
        };
        let text = String::from_utf8_lossy(bytes).into_owned();
        let document = StoredDocument { version: version as u64, text };
        let mut current = self.document.write();
        if document.version > current.version {
            log_event!(info, Event::DocumentApplied, version, before = current.version);
            *current = Arc::new(document);
        }
    }

    fn apply_suspects(&self, update: &Update) {
        if update.suspects_version as u64 <= self.versions.borrow().suspects {
            return;
        }
        let parse = |bytes: &Vec<u8>| serde_json::from_slice::<Suspect>(bytes).ok();
        let suspects =
            update.suspects.iter().filter_map(parse).map(|it| (it.fingerprint, it)).collect();
        *self.suspects.write() = suspects;
    }
}
