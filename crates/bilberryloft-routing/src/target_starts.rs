//! Which start of a target a call means that names only the target.
//!
//! A target may start again under its name. A call of its earlier start may arrive late, because it was delayed on the way or
//! waited at a host that was stalled; it must not be taken for one of the present start.

use std::collections::BTreeMap;

/// Time for which a call of an earlier start may still be on its way, in milliseconds.
pub const LATE_CALL_MS: u64 = 10_000;

/// Start that a call means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MeantStart {
    /// The present one.
    Present,
    /// The present one or an earlier one.
    Uncertain {
        /// Time until all calls of earlier starts have arrived, in milliseconds.
        remaining_ms: u64,
    },
}

/// Present start of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownStart {
    incarnation: u64,
    /// Time at which this entry learnt of it.
    known_since_ms: u64,
}

/// Present starts of the targets that have started more than once, and since when this entry knows of them.
#[derive(Debug, Default)]
pub struct TargetStarts {
    by_name: BTreeMap<String, KnownStart>,
}

impl TargetStarts {
    /// Replaces the names and present incarnations of the targets that have started more than once.
    pub fn record<'a>(&mut self, restarted: impl Iterator<Item = (&'a str, u64)>, now_ms: u64) {
        let before = std::mem::take(&mut self.by_name);
        for (name, incarnation) in restarted {
            let known = before.get(name).filter(|it| it.incarnation == incarnation);
            let known =
                known.copied().unwrap_or(KnownStart { incarnation, known_since_ms: now_ms });
            self.by_name.insert(name.to_string(), known);
        }
    }

    /// Returns which start a call means that names a target which has started more than once. The call may have waited in
    /// this host unread for the given time.
    pub fn meant_start(
        &self,
        name: &str,
        incarnation: u64,
        waited_ms: u64,
        now_ms: u64,
    ) -> MeantStart {
        let known = self.by_name.get(name).filter(|it| it.incarnation == incarnation);
        let known_ms = known.map_or(0, |it| now_ms.saturating_sub(it.known_since_ms));
        match (LATE_CALL_MS + waited_ms).saturating_sub(known_ms) {
            0 => MeantStart::Present,
            remaining_ms => MeantStart::Uncertain { remaining_ms },
        }
    }
}
