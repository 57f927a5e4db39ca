//! The entries with which this one shares the bounds over all entries.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bilberryloft_daemon::control_client::ControlClient;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::shared::Shared;
use bilberryloft_daemon::view::View;
use bilberryloft_routing::cold_targets::ColdView;
use bilberryloft_routing::cold_targets::share::ColdShare;
use bilberryloft_routing::cold_targets::share::Settling;
use bilberryloft_routing::sharing_entries::Division;
use bilberryloft_routing::sharing_entries::Members;
use bilberryloft_routing::sharing_entries::SharingEntries;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;

/// Time within which a quorum must have confirmed this entry's view, or it counts as cut off, in milliseconds.
const CONFIRMED_WITHIN_MS: u64 = 4_000;

/// The same for the list of targets: one that is older may lack that a target is cold, in milliseconds. A quorum confirms
/// it every 500 ms, and is without a leader for a second or two when its leader ends.
const TARGETS_CONFIRMED_WITHIN_MS: u64 = 2_500;

/// Entries that share bounds with this one, and whether a quorum answers it.
pub struct Entries {
    own: String,
    started_ms: u64,
    sharing: Mutex<SharingEntries>,
    active: AtomicUsize,
    view: Arc<View>,
    settling: Mutex<Settling>,
    control: ControlClient,
    own_address: String,
}

impl Entries {
    /// Creates a state in which no other entry has been heard.
    pub fn new(daemon: &Shared) -> Entries {
        Entries {
            own: daemon.settings.daemon.clone(),
            started_ms: monotonic_ms(),
            sharing: Mutex::default(),
            active: AtomicUsize::new(1),
            view: daemon.view.clone(),
            settling: Mutex::default(),
            control: daemon.control.clone(),
            own_address: daemon.settings.peer_address.clone(),
        }
    }

    /// Returns the name of this entry.
    pub fn own(&self) -> &str {
        &self.own
    }

    /// Records that another entry was heard, and how many it has heard itself.
    pub fn record(&self, entry: &str, known: usize) {
        let now_ms = monotonic_ms();
        self.sharing.lock().record_known(entry, known, now_ms);
        self.settling.lock().record_heard(now_ms);
    }

    /// Returns the number of entries that share the bounds over all entries, including this one and those that may only
    /// be cut off.
    pub fn count(&self) -> usize {
        self.sharing.lock().count(monotonic_ms())
    }

    /// Returns the same for a bound of which each entry has a part at any time, also before it has heard the others.
    pub fn count_from_start(&self) -> usize {
        self.sharing.lock().count_from_start(self.started_ms, monotonic_ms())
    }

    /// Returns the number of entries that this one has heard itself, including itself.
    pub fn heard_count(&self) -> usize {
        self.sharing.lock().heard_count(monotonic_ms())
    }

    /// Returns the number of entries that share the bounds; `None` if this entry has heard no other one and no quorum,
    /// so that it can't know.
    pub fn known_count(&self) -> Option<usize> {
        let count = self.count();
        (count > 1 || self.is_confirmed()).then_some(count)
    }

    /// Returns the entries that divide a bound with this one; `None` if it can't know of any.
    pub fn members(&self) -> Option<Members> {
        let division = match self.is_confirmed() {
            true => Division::Active,
            false => Division::Known,
        };
        self.known_count()?;
        self.sharing.lock().members(&self.own, division, monotonic_ms())
    }

    /// Returns the entries with which this one shares the bound of cold targets, and whether its list of targets is current.
    /// Those that were heard within a day count, also for an entry in contact: others may be cut off and use their part.
    pub fn cold_view(&self, now_ms: u64) -> ColdView {
        let age_ms = self.view.confirmed_age_ms();
        let is_current = age_ms.is_some_and(|it| it <= TARGETS_CONFIRMED_WITHIN_MS);
        let is_only_host = self.control.addresses().iter().all(|it| *it == self.own_address);
        if !self.settling.lock().is_settled(is_only_host, now_ms) {
            return ColdView { share: ColdShare::Unsettled { own: self.own.clone() }, is_current };
        }
        let sharing = self.sharing.lock();
        let members = sharing.heard_within_a_day(&self.own, now_ms);
        let share =
            ColdShare::Known { own: self.own.clone(), members, count: sharing.count(now_ms) };
        ColdView { share, is_current }
    }

    fn is_confirmed(&self) -> bool {
        self.view.confirmed_age_ms().is_some_and(|it| it <= CONFIRMED_WITHIN_MS)
    }

    /// Returns the number of active entries, including this one.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Logs the number of active entries, including this one, if it has changed.
    pub fn set_active(&self, active: usize) {
        let before = self.active.swap(active, Ordering::Relaxed);
        if before != active {
            let sharing = self.count();
            log_event!(info, Event::EntriesChanged, entries = active, before, sharing);
        }
    }
}
