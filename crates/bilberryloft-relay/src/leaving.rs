//! Targets that say in their answers that they are leaving: this entry sends them nothing more, and tells the quorum, so that
//! all entries know, also those that start later. The exchange of reports tells them while the quorum is away.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::trial::QUORUM_TIMEOUT;
use bilberryloft_state::state_machine::Command;

use crate::state::RelayState;

/// Pause after a report that the quorum did not record.
const REPORT_PAUSE: Duration = Duration::from_millis(500);
/// Largest random part of that pause, so that entries don't report at once, in milliseconds.
const REPORT_SPREAD_MS: u64 = 500;

/// Records that an incarnation of a target is leaving, as `source` says: an answer or another entry.
pub fn record(state: &Arc<RelayState>, id: &str, incarnation: u64, source: &str) {
    let is_news = state.services.targets.lock().record_leaving(id, incarnation);
    if !is_news {
        return;
    }
    log_event!(info, Event::TargetLeaves, target_id = id, incarnation, at = source);
    let (state, id) = (state.clone(), id.to_string());
    tokio::spawn(async move { report(&state, &id, incarnation).await });
}

/// Tells the quorum, until it knows or the target is gone.
async fn report(state: &RelayState, id: &str, incarnation: u64) {
    let command = Command::Leave { name: id.to_string(), incarnation: Some(incarnation) };
    while state.services.targets.lock().unrecorded_leaving().contains_key(id) {
        if state.daemon.control.propose(&command, QUORUM_TIMEOUT).await.is_ok() {
            return;
        }
        let spread = Duration::from_millis(fastrand::u64(0..=REPORT_SPREAD_MS));
        tokio::time::sleep(REPORT_PAUSE + spread).await;
    }
}
