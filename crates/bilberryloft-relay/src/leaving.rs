//! Targets that say in their answers that they are leaving: this entry sends them nothing more, and the quorum is told, so that
//! all entries know, also those that start later. The exchange of reports tells them while the quorum is away.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::trial::QUORUM_TIMEOUT;
use bilberryloft_state::state_machine::Command;

use crate::state::RelayState;

/// Pause before an entry tells the quorum what another one has told it, and after a report that was not recorded.
const REPORT_PAUSE: Duration = Duration::from_millis(500);
/// Largest random part of that pause, so that entries don't report at once, in milliseconds.
const REPORT_SPREAD_MS: u64 = 500;

/// From where an entry knows that a target is leaving.
#[derive(Clone, Copy, Debug)]
pub enum LeavingSource<'a> {
    /// From an answer of the target.
    Answer,
    /// From another entry, which tells the quorum itself if it can.
    Entry(&'a str),
}

/// Records that an incarnation of a target is leaving.
pub fn record(state: &Arc<RelayState>, id: &str, incarnation: u64, source: LeavingSource<'_>) {
    let is_news = state.services.targets.lock().record_leaving(id, incarnation);
    if !is_news {
        return;
    }
    let (at, is_first) = match source {
        LeavingSource::Answer => ("answer", true),
        LeavingSource::Entry(entry) => (entry, false),
    };
    log_event!(info, Event::TargetLeaves, target_id = id, incarnation, at);
    let (state, id) = (state.clone(), id.to_string());
    tokio::spawn(async move {
        if !is_first {
            pause().await;
        }
        report(&state, &id, incarnation).await;
    });
}

/// Tells the quorum, until it knows or the target is gone.
async fn report(state: &RelayState, id: &str, incarnation: u64) {
    let command = Command::Leave { name: id.to_string(), incarnation: Some(incarnation) };
    while state.services.targets.lock().unrecorded_leaving().contains_key(id) {
        match state.daemon.control.propose(&command, QUORUM_TIMEOUT).await {
            Ok(_) => return,
            Err(error) => tracing::debug!(%error, target_id = id, "leaving is not recorded yet"),
        }
        pause().await;
    }
}

async fn pause() {
    let spread = Duration::from_millis(fastrand::u64(0..=REPORT_SPREAD_MS));
    tokio::time::sleep(REPORT_PAUSE + spread).await;
}
