//! A daemon's local copy of the replicated state, and how fresh that copy is.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberryloft_coordination::document_transfer::DocumentReceiver;
use bilberryloft_coordination::document_transfer::Part;
use bilberryloft_coordination::document_transfer::PartRequest;
use bilberryloft_coordination::document_transfer::Received;
use bilberryloft_coordination::freshness::Freshness;
use bilberryloft_coordination::freshness::OnLostControl;
use bilberryloft_protocol::convert::part_from_wire;
use bilberryloft_protocol::convert::version_from_wire;
use bilberryloft_protocol::wire::Update;
use bilberryloft_state::compression;
use bilberryloft_state::configuration::ChangeRecord;
use bilberryloft_state::configuration::Configuration;
use bilberryloft_state::document::StoredDocument;
use bilberryloft_state::evacuation::ListedEvacuation;
use bilberryloft_state::membership::Membership;
use bilberryloft_state::membership::MembershipDelta;
use bilberryloft_state::membership::TargetRecord;
use bilberryloft_state::suspect::Suspect;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;
use parking_lot::RwLock;
use parking_lot::RwLockReadGuard;
use tokio::sync::watch;

use crate::evacuation::HeldEvacuations;
use crate::events::Event;
use crate::log_event;

/// Versions of the parts of a [`View`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewVersions {
    /// Configuration version.
    pub configuration: u64,
    /// Version of the target membership.
    pub membership: u64,
    /// Version of the set of suspect requests.
    pub suspects: u64,
    /// Version of the document of routes and services; `None`, which is below each version, before the first one.
    pub document: Option<u64>,
    /// Newest version of that document that the daemon knows of.
    pub known_document: Option<u64>,
    /// Version of the evacuations of data centres.
    pub evacuations: u64,
}

/// Local copy of the configuration, target membership, suspect requests and document of routes and services.
#[derive(Debug)]
pub struct View {
    configuration: RwLock<Configuration>,
    membership: RwLock<Membership>,
    suspects: RwLock<BTreeMap<i64, Suspect>>,
    document: Mutex<DocumentReceiver>,
    evacuations: Mutex<Arc<HeldEvacuations>>,
    freshness: Mutex<Freshness>,
    versions: watch::Sender<ViewVersions>,
    needs_snapshot: Mutex<bool>,
    /// Whether any update was confirmed by a quorum.
    was_confirmed: AtomicBool,
}

impl View {
    /// Creates an empty, unconfirmed view.
    ///
    /// `lease_ms` is the time after a confirmation for which the view counts as fresh; `on_lost_control` says what
    /// the daemon may do after that.
    pub fn new(lease_ms: u64, on_lost_control: OnLostControl) -> View {
        View {
            configuration: RwLock::default(),
            membership: RwLock::default(),
            suspects: RwLock::default(),
            document: Mutex::default(),
            evacuations: Mutex::default(),
            freshness: Mutex::new(Freshness::new(lease_ms, on_lost_control)),
            versions: watch::channel(ViewVersions::default()).0,
            needs_snapshot: Mutex::new(false),
            was_confirmed: AtomicBool::new(false),
        }
    }

    /// Locks the configuration in force for reading.
    pub fn configuration(&self) -> RwLockReadGuard<'_, Configuration> {
        self.configuration.read()
    }

    /// Locks the known targets for reading.
    pub fn membership(&self) -> RwLockReadGuard<'_, Membership> {
        self.membership.read()
    }

    /// Returns the document of routes and services in force; `None` before the first one.
    pub fn document(&self) -> Option<Arc<StoredDocument>> {
        self.document.lock().document().cloned()
    }

    /// Returns the version of that document.
    pub fn document_version(&self) -> Option<u64> {
        self.document.lock().version()
    }

    /// Returns the evacuations of data centres.
    pub fn evacuations(&self) -> Arc<HeldEvacuations> {
        self.evacuations.lock().clone()
    }

    /// Returns the suspect request with the given fingerprint.
    pub fn suspect(&self, fingerprint: i64) -> Option<Suspect> {
        self.suspects.read().get(&fingerprint).cloned()
    }

    /// Locks the suspect requests by fingerprint for reading.
    pub fn suspects(&self) -> RwLockReadGuard<'_, BTreeMap<i64, Suspect>> {
        self.suspects.read()
    }

    /// Subscribes to the versions of the view.
    pub fn versions(&self) -> watch::Receiver<ViewVersions> {
        self.versions.subscribe()
    }

    /// Returns the versions after which to request updates; 0 for the configuration if a snapshot is needed.
    pub fn requested_versions(&self) -> ViewVersions {
        let needs_snapshot = *self.needs_snapshot.lock();
        let mut versions = *self.versions.borrow();
        if needs_snapshot {
            versions.configuration = 0;
        }
        versions
    }

    /// Returns whether the view is fresh enough to start new work.
    pub fn may_serve(&self) -> bool {
        self.lock_freshness().may_serve(monotonic_ms())
    }

    /// Returns the age of the latest confirmation in milliseconds, `None` without one.
    pub fn confirmed_age_ms(&self) -> Option<u64> {
        self.lock_freshness().age_ms(monotonic_ms())
    }

    fn lock_freshness(&self) -> parking_lot::MutexGuard<'_, Freshness> {
        self.freshness.lock()
    }

    /// Waits until the configuration has at least the given version; returns false if the time runs out first.
    pub async fn wait_for_configuration(&self, version: u64, wait: Duration) -> bool {
        let mut versions = self.versions();
        let reached = versions.wait_for(|it| it.configuration >= version);
        matches!(tokio::time::timeout(wait, reached).await, Ok(Ok(_)))
    }

    /// Waits until the document has at least the given version, which is at once if that is `None`; returns false if the time
    /// runs out first.
    pub async fn wait_for_document(&self, version: Option<u64>, wait: Duration) -> bool {
        let mut versions = self.versions();
        let reached = versions.wait_for(|it| it.document >= version);
        matches!(tokio::time::timeout(wait, reached).await, Ok(Ok(_)))
    }

    /// Applies an update whose request was sent at `requested_ms`. Versions never go back; a daemon that has just started
    /// takes only what a quorum has confirmed.
    pub fn apply(&self, update: Update, requested_ms: u64) {
        if update.confirmed {
            self.was_confirmed.store(true, Ordering::Relaxed);
        }
        if !self.was_confirmed.load(Ordering::Relaxed) {
            return;
        }
        // Before targets and routes, so that an entry that has just started sends nothing to an evacuated data centre.
        self.apply_evacuations(&update);
        self.apply_configuration(&update);
        self.apply_membership(&update);
        self.apply_suspects(&update);
        self.apply_document(&update);
        let is_caught_up = self.configuration().version()
            >= update.configuration_version.cast_unsigned()
            && self.document_version() >= document_version_of(&update)
            && self.evacuations().version
                >= update.evacuations_version.unwrap_or(0).cast_unsigned();
        if update.confirmed && is_caught_up {
            self.confirm(requested_ms);
        }
        let versions = ViewVersions {
            configuration: self.configuration().version(),
            membership: self.membership().version(),
            suspects: self.versions.borrow().suspects.max(update.suspects_version.cast_unsigned()),
            document: self.document_version(),
            known_document: self.known_document_version(),
            evacuations: self.evacuations().version,
        };
        self.versions.send_if_modified(|it| std::mem::replace(it, versions) != versions);
    }

    fn confirm(&self, requested_ms: u64) {
        let was_serving = self.may_serve();
        self.lock_freshness().confirm(requested_ms);
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
            && let Ok(snapshot) = compression::decode::<Configuration>(bytes)
            && snapshot.version() >= before
        {
            *configuration = snapshot;
            self.set_needs_snapshot(false);
        }
        for bytes in &update.configuration_changes {
            let Ok(record) = serde_json::from_slice::<ChangeRecord>(bytes) else {
                continue;
            };
            if record.version > configuration.version() && !configuration.apply(record) {
                log_event!(warn, Event::ConfigurationGap, version = configuration.version());
                self.set_needs_snapshot(true);
                break;
            }
        }
        let version = configuration.version();
        if version != before {
            log_event!(info, Event::ConfigurationApplied, version, before);
        }
    }

    fn set_needs_snapshot(&self, needs: bool) {
        *self.needs_snapshot.lock() = needs;
    }

    fn apply_membership(&self, update: &Update) {
        let decode = |bytes: &Vec<u8>| serde_json::from_slice::<TargetRecord>(bytes).ok();
        let packed = update.packed_targets.as_ref();
        let packed: Option<Vec<TargetRecord>> = packed.and_then(|it| compression::decode(it).ok());
        let targets = packed.unwrap_or_else(|| update.targets.iter().filter_map(decode).collect());
        let delta = MembershipDelta {
            version: update.membership_version.cast_unsigned(),
            is_full: update.membership_whole,
            targets,
        };
        self.membership.write().apply_delta(delta);
    }

    /// Takes what an update says of the document: a short patch, the whole text, or only that there is a newer version.
    pub fn apply_document(&self, update: &Update) {
        let version = document_version_of(update);
        if let Some(part) = update.document_part.clone().and_then(part_from_wire) {
            self.receive_part(part);
        }
        if let Some(bytes) = &update.document {
            let text = String::from_utf8_lossy(bytes).into_owned();
            let before = self.document_version();
            let document = version.map(|version| StoredDocument { version, text });
            if document.is_some_and(|it| self.document.lock().replace(it)) {
                self.log_document(before, bytes.len());
            }
        }
        self.document.lock().announce(version);
        self.publish_document();
    }

    /// Takes a part of a patch of the document; returns whether it was of use.
    pub fn receive_part(&self, part: Part) -> bool {
        let received = self.document.lock().receive(part);
        match received {
            Received::Applied { before, patch_bytes } => self.log_document(before, patch_bytes),
            Received::Damaged => {
                log_event!(warn, Event::DocumentDamaged, version = self.document_version());
            }
            Received::Stored | Received::Unused => {}
        }
        self.publish_document();
        matches!(received, Received::Applied { .. } | Received::Stored)
    }

    /// Returns the request for the next part of the document; `None` if the newest known version is held.
    pub fn next_document_request(&self) -> Option<PartRequest> {
        self.document.lock().next_request()
    }

    /// Returns the newest version of the document that the daemon knows of.
    pub fn known_document_version(&self) -> Option<u64> {
        self.document.lock().known_version()
    }

    fn log_document(&self, before: Option<u64>, bytes: usize) {
        let version = self.document_version();
        log_event!(info, Event::DocumentApplied, version, before, bytes);
    }

    /// Publishes the held and the known version of the document, if they have changed.
    fn publish_document(&self) {
        let (document, known_document) = {
            let receiver = self.document.lock();
            (receiver.version(), receiver.known_version())
        };
        self.versions.send_if_modified(|it| {
            let is_modified = (it.document, it.known_document) != (document, known_document);
            (it.document, it.known_document) = (document, known_document);
            is_modified
        });
    }

    /// Takes the evacuations if they are newer than those held.
    fn apply_evacuations(&self, update: &Update) {
        let version = update.evacuations_version.unwrap_or(0).cast_unsigned();
        let Some(bytes) = &update.evacuations else {
            return;
        };
        let mut held = self.evacuations.lock();
        if let Ok(listed) = serde_json::from_slice::<Vec<ListedEvacuation>>(bytes)
            && version > held.version
        {
            *held = Arc::new(HeldEvacuations::new(version, listed, monotonic_ms()));
        }
    }

    fn apply_suspects(&self, update: &Update) {
        if update.suspects_version.cast_unsigned() <= self.versions.borrow().suspects {
            return;
        }
        let decode = |bytes: &Vec<u8>| serde_json::from_slice::<Suspect>(bytes).ok();
        let mut suspects = self.suspects.write();
        if update.suspects_are_changes != Some(true) {
            suspects.clear();
        }
        for fingerprint in update.removed_suspects.iter().flatten() {
            suspects.remove(fingerprint);
        }
        suspects.extend(update.suspects.iter().filter_map(decode).map(|it| (it.fingerprint, it)));
    }
}

/// Returns the version of the document in force that an update names.
pub fn document_version_of(update: &Update) -> Option<u64> {
    version_from_wire(update.document_version?, update.is_document_version_zero)
}
