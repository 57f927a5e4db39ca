//! Decides whether an entry may send a request to a target after targets have ended while they ran it.
//!
//! A target that ends takes all its requests with it, and most of them have nothing to do with its end. The request that
//! ended it ends the next one, too, while the others are answered sooner or later, which clears them. So a request is
//! refused only after targets have ended under it several times in a row, more often than a caller's request is usually
//! run, and only for a time, after which one copy may run again. Before it is refused, only one copy runs at a time: many
//! copies that run at once may end with many targets at once, which shows little. A request that was being answered when its target ended is less likely to have ended it,
//! while one whose targets end each time as they have just begun to answer is more likely to. Less likely, too, is one
//! whose targets ended fast one after the other, before entries could refuse what ended them, or whose targets each ran a
//! request that is as suspicious.

use bilberryloft_state::suspect::Rounds;
use bilberryloft_state::suspect::RunPermission;
use bilberryloft_state::suspect::Suspect;
use bilberryloft_state::suspect::request_permission;

/// What is known about a request at the time of the decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunHistory {
    /// Number of targets that ended while they ran the request.
    pub lost_targets: usize,
    /// Number of times that targets did so one after the other.
    pub rounds: Rounds,
    /// Time since the last end, in milliseconds.
    pub last_end_ago_ms: u64,
}

impl RunHistory {
    /// Returns what is known at `now_ms` of a request that may be no suspect.
    pub fn new(suspect: Option<&Suspect>, now_ms: u64) -> RunHistory {
        suspect.map_or_else(RunHistory::default, |it| RunHistory {
            lost_targets: it.lost_targets.len(),
            rounds: it.rounds(),
            last_end_ago_ms: it.last_end_ago_ms(now_ms).unwrap_or(0),
        })
    }
}

/// Decides whether a request may run. It runs on trial only if the quorum grants one, so that one copy is in flight.
pub fn decide(history: RunHistory) -> RunPermission {
    request_permission(history.lost_targets, history.rounds, history.last_end_ago_ms)
}
