//! Which suspects a control host sends to a follower: those that were added, changed or removed after its version.

use std::collections::BTreeMap;

use bilberryloft_state::suspect::SUSPECTS_MAX;
use bilberryloft_state::suspect::Suspect;

/// Changes of the list of suspects after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectChanges {
    /// Whether `suspects` is the whole list.
    pub is_whole: bool,
    /// Suspects that were added or changed.
    pub suspects: Vec<Suspect>,
    /// Fingerprints of suspects that were removed.
    pub removed: Vec<i64>,
}

/// The listed suspects, each with the version at which its last change was seen.
#[derive(Debug, Default)]
pub struct SuspectFeed {
    /// Oldest version after which all changes are known; `None` before the first list.
    since: Option<u64>,
    version: u64,
    listed: BTreeMap<i64, (u64, Suspect)>,
    removed: BTreeMap<i64, u64>,
}

impl SuspectFeed {
    /// Takes the list at a version. It is read only if the version is new.
    pub fn update(&mut self, version: u64, list: impl FnOnce() -> Vec<Suspect>) {
        if self.since.is_some() && self.version == version {
            return;
        }
        if self.since.is_none() || version < self.version || self.removed.len() > SUSPECTS_MAX {
            *self = SuspectFeed { since: Some(version), ..SuspectFeed::default() };
        }
        self.version = version;
        let mut listed = BTreeMap::new();
        for suspect in list() {
            let fingerprint = suspect.fingerprint;
            let known = self.listed.remove(&fingerprint);
            let seen_at = known.filter(|it| it.1 == suspect).map_or(version, |it| it.0);
            self.removed.remove(&fingerprint);
            listed.insert(fingerprint, (seen_at, suspect));
        }
        self.removed.extend(self.listed.keys().map(|it| (*it, version)));
        self.listed = listed;
    }

    /// Returns what changed after a version, or the whole list if that is not known.
    pub fn changes_after(&self, version: u64) -> SuspectChanges {
        let is_whole = self.since.is_none_or(|it| version < it);
        let is_new = |seen_at: u64| is_whole || seen_at > version;
        let suspects = self.listed.values().filter(|it| is_new(it.0)).map(|it| it.1.clone());
        let removed = self.removed.iter().filter(|it| !is_whole && *it.1 > version).map(|it| *it.0);
        SuspectChanges { is_whole, suspects: suspects.collect(), removed: removed.collect() }
    }
}
