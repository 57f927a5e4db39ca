//! Trials that this entry holds: at most one for each request or part of prompts, also while the quorum is away.

use std::collections::BTreeSet;
use std::sync::Arc;

use bilberryloft_daemon::trial::Trial;
use parking_lot::Mutex;

/// Keys of the trials that this entry holds.
#[derive(Clone, Debug, Default)]
pub struct LocalTrials {
    keys: Arc<Mutex<BTreeSet<i64>>>,
}

impl LocalTrials {
    /// Begins a trial; `None` if one with the same key runs at this entry.
    pub fn begin(&self, key: i64) -> Option<LocalTrial> {
        let is_new = self.keys.lock().insert(key);
        is_new.then(|| LocalTrial { trials: self.clone(), key })
    }
}

/// A trial at this entry, which ends when the value is dropped.
#[derive(Debug)]
pub struct LocalTrial {
    trials: LocalTrials,
    key: i64,
}

impl Drop for LocalTrial {
    fn drop(&mut self) {
        self.trials.keys.lock().remove(&self.key);
    }
}

/// A running trial, which ends when the value is dropped.
#[derive(Debug)]
pub struct HeldTrial {
    _local: LocalTrial,
    _granted: Option<Trial>,
}

impl HeldTrial {
    /// Holds a trial at this entry, and the quorum's grant if there is a quorum.
    pub fn new(local: LocalTrial, granted: Option<Trial>) -> HeldTrial {
        HeldTrial { _local: local, _granted: granted }
    }
}
