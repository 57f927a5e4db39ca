//! Daemons that watch a control host, with the version that each last asked from.

use std::collections::BTreeMap;

use bilberryloft_protocol::api::WatcherRow;
use bilberryloft_protocol::wire::Watch;

/// Time after which a silent daemon is dropped from the table, in milliseconds.
const FORGET_AFTER_MS: u64 = 3_600_000;

#[derive(Clone, Debug)]
struct Watcher {
    configuration_version: u64,
    peer_address: String,
    asked_ms: u64,
}

/// Table of watchers.
#[derive(Debug, Default)]
pub struct Watchers {
    by_daemon: BTreeMap<String, Watcher>,
}

impl Watchers {
    /// Counts a question.
    pub fn note(&mut self, watch: &Watch, now_ms: u64) {
        let watcher = Watcher {
            configuration_version: watch.configuration_version as u64,
            peer_address: watch.peer_address.clone(),
            asked_ms: now_ms,
        };
        self.by_daemon.insert(watch.daemon.clone(), watcher);
        self.by_daemon.retain(|_, it| it.asked_ms + FORGET_AFTER_MS > now_ms);
    }

    /// Peer address of a daemon that has watched lately.
    pub fn peer_address(&self, daemon: &str) -> Option<String> {
        self.by_daemon.get(daemon).map(|it| it.peer_address.clone())
    }

    /// Rows for operators.
    pub fn rows(&self, now_ms: u64) -> Vec<WatcherRow> {
        let row = |(daemon, watcher): (&String, &Watcher)| WatcherRow {
            daemon: daemon.clone(),
            configuration_version: watcher.configuration_version,
            asked_ago_ms: now_ms.saturating_sub(watcher.asked_ms),
        };
        self.by_daemon.iter().map(row).collect()
    }
}
