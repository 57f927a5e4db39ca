//! Table of the daemons that watch a control host, with the configuration version that each reported last.

use std::collections::BTreeMap;

use bilberryloft_protocol::api::WatcherRow;
use bilberryloft_protocol::wire::Watch;

/// Time without a watch after which a daemon is dropped from the table, in milliseconds.
const WATCHER_EXPIRY_MS: u64 = 3_600_000;

#[derive(Clone, Debug)]
struct Watcher {
    configuration_version: u64,
    evacuations_version: Option<u64>,
    peer_address: String,
    last_watch_ms: u64,
}

/// Daemons that watch this control host, by name.
#[derive(Debug, Default)]
pub struct Watchers {
    by_daemon: BTreeMap<String, Watcher>,
}

impl Watchers {
    /// Records a watch of a daemon, and drops daemons that have not watched lately.
    pub fn record(&mut self, watch: &Watch, now_ms: u64) {
        let watcher = Watcher {
            configuration_version: watch.configuration_version.cast_unsigned(),
            evacuations_version: watch.evacuations_version.map(|it| it.cast_unsigned()),
            peer_address: watch.peer_address.clone(),
            last_watch_ms: now_ms,
        };
        self.by_daemon.insert(watch.daemon.clone(), watcher);
        self.by_daemon.retain(|_, it| it.last_watch_ms + WATCHER_EXPIRY_MS > now_ms);
    }

    /// Returns the peer address of a daemon that has watched lately.
    pub fn peer_address(&self, daemon: &str) -> Option<String> {
        self.by_daemon.get(daemon).map(|it| it.peer_address.clone())
    }

    /// Returns one row per daemon for the status that operators see.
    pub fn rows(&self, now_ms: u64) -> Vec<WatcherRow> {
        let row = |(daemon, watcher): (&String, &Watcher)| WatcherRow {
            daemon: daemon.clone(),
            configuration_version: watcher.configuration_version,
            evacuations_version: watcher.evacuations_version,
            asked_ago_ms: now_ms.saturating_sub(watcher.last_watch_ms),
        };
        self.by_daemon.iter().map(row).collect()
    }
}
