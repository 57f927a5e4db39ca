//! Evacuations of data centres at one entry: orders of operators, the exclusion of targets, and refused requests.

mod explain;
mod orders;

use std::collections::BTreeSet;
use std::sync::Arc;

use bilberryloft_daemon::evacuation::HeldEvacuation;
use bilberryloft_daemon::evacuation::HeldEvacuations;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_daemon::metrics::gauge_value;
use bilberryloft_transport::clock::monotonic_ms;
use parking_lot::Mutex;

pub use crate::evacuation::explain::record_refusal;
pub use crate::evacuation::orders::handle_order;
use crate::services::Services;
use crate::state::RelayState;

/// Age up to which an entry that has just started takes notice of the end of an evacuation, in milliseconds. A target is
/// cold for a few seconds at most, and entries learn of the end within 5 s.
const END_AGE_MAX_MS: u64 = 15_000;

/// Evacuations that are in force at this entry.
#[derive(Debug, Default)]
pub struct EvacuationTracker {
    in_force: Mutex<Arc<HeldEvacuations>>,
}

impl EvacuationTracker {
    /// Puts newer evacuations into force: excludes the targets of evacuated data centres, and notes which evacuations have
    /// ended.
    pub fn apply(&self, newer: Arc<HeldEvacuations>, services: &Services, now_ms: u64) {
        let mut in_force = self.in_force.lock();
        if newer.version <= in_force.version {
            return;
        }
        let ended = ended_at(&in_force, &newer, now_ms);
        let (before, evacuated) = (in_force.evacuated(), newer.evacuated());
        {
            let mut targets = services.targets.lock();
            targets.set_evacuated(evacuated.clone());
            for (data_center, ended_ms) in &ended {
                targets.record_evacuation_end(data_center, *ended_ms);
            }
        }
        log_changes(&newer, &before, &evacuated, &ended, now_ms);
        *in_force = newer;
    }

    /// Returns the version of the evacuations in force.
    pub fn version(&self) -> u64 {
        self.in_force.lock().version
    }
}

/// Returns the data centres whose evacuation has ended since the list in force, and those whose evacuation began and ended
/// unnoticed, with the time of the end as this entry counts it.
fn ended_at(
    in_force: &HeldEvacuations,
    newer: &HeldEvacuations,
    now_ms: u64,
) -> Vec<(String, u64)> {
    let ended_ms = |data_center: &String, held: &HeldEvacuation| {
        if held.state.is_evacuated {
            return None;
        }
        let known = in_force.by_data_center.get(data_center);
        let was_evacuated = known.is_some_and(|it| it.state.is_evacuated);
        let age_ms = now_ms.saturating_sub(held.changed_local_ms);
        let is_news = known.is_none_or(|it| it.state.changed_ms != held.state.changed_ms);
        // Until now, this entry has sent nothing there.
        let ended_ms = if was_evacuated { now_ms } else { held.changed_local_ms };
        (was_evacuated || (is_news && age_ms <= END_AGE_MAX_MS)).then_some(ended_ms)
    };
    let by_data_center = newer.by_data_center.iter();
    by_data_center.filter_map(|it| Some((it.0.clone(), ended_ms(it.0, it.1)?))).collect()
}

fn log_changes(
    newer: &HeldEvacuations,
    before: &BTreeSet<String>,
    evacuated: &BTreeSet<String>,
    ended: &[(String, u64)],
    now_ms: u64,
) {
    let version = newer.version;
    for data_center in evacuated.difference(before) {
        let age_ms = now_ms.saturating_sub(newer.by_data_center[data_center].changed_local_ms);
        log_event!(info, Event::EvacuationBegan, data_center, version, age_ms);
    }
    for (data_center, ended_ms) in ended {
        let age_ms = now_ms.saturating_sub(*ended_ms);
        log_event!(info, Event::EvacuationEnded, data_center, version, age_ms);
    }
}

/// Puts the evacuations that the daemon holds into force.
pub fn refresh(state: &RelayState) {
    let held = state.daemon.view.evacuations();
    let evacuated = held.evacuated().len();
    state.evacuations.apply(held, &state.services, monotonic_ms());
    state.daemon.metrics.evacuations.data_centers.set(gauge_value(evacuated));
}
