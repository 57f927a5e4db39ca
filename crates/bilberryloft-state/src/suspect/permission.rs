//! Whether requests may run that a suspect stands for.

/// Time for which a suspect is refused at first, in milliseconds. It doubles with each further end on trial.
pub const QUARANTINE_MIN_MS: u64 = 600_000;
/// Longest such time, in milliseconds.
const QUARANTINE_MAX_MS: u64 = 24 * 3_600_000;
/// Number of further ends from which on the time doubles no more.
const FURTHER_ENDS_MAX: u32 = 16;

/// Whether a request, or requests with a part of a prompt, may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermission {
    /// They may.
    Run,
    /// One of them may run at a time, after a pause.
    Trial {
        /// Time until then, in milliseconds.
        pause_ms: u64,
    },
    /// They must not run.
    Refuse {
        /// Time until one of them may run on trial, in milliseconds.
        remaining_ms: u64,
    },
}

impl RunPermission {
    /// Returns the permission of a suspect that is refused for a time after the last end of a target, and then runs on
    /// trial; `further_ends` are those since it was refused first.
    pub(super) fn quarantined(further_ends: u32, last_end_ago_ms: u64) -> RunPermission {
        let quarantine_ms = QUARANTINE_MIN_MS << further_ends.min(FURTHER_ENDS_MAX);
        match quarantine_ms.min(QUARANTINE_MAX_MS).saturating_sub(last_end_ago_ms) {
            0 => RunPermission::Trial { pause_ms: 0 },
            remaining_ms => RunPermission::Refuse { remaining_ms },
        }
    }
}
