//! Decides whether an entry may send a request to a target after targets have ended while they ran it.
//!
//! A target that ends takes all its requests with it, and most of them have nothing to do with its end. The request that
//! ended it ends the next one, too, while the others are answered sooner or later, which clears them. So a request is
//! refused only after targets have ended under it several times in a row, more often than a caller's request is usually
//! run. Before that, only one copy of it runs at a time: many copies that run at once may end with many targets at
//! once, which shows little. A request that was being answered when its target ended is less likely to have ended it,
//! while one whose targets end each time as they have just begun to answer is more likely to. Less likely, too, is one
//! whose targets ended fast one after the other, before entries could refuse what ended them, or whose targets each ran a
//! request that is as suspicious.

use bilberryloft_state::suspect::Rounds;
use bilberryloft_state::suspect::Suspect;
use bilberryloft_state::suspect::must_refuse;
use bilberryloft_state::suspect::needs_trial;

/// What is known about a request at the time of the decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunHistory {
    /// Number of targets that ended while they ran the request.
    pub lost_targets: usize,
    /// Number of times that targets did so one after the other.
    pub rounds: Rounds,
}

impl RunHistory {
    /// Returns what is known of a request that may be no suspect.
    pub fn new(suspect: Option<&Suspect>) -> RunHistory {
        RunHistory {
            lost_targets: suspect.map_or(0, |it| it.lost_targets.len()),
            rounds: suspect.map(Suspect::rounds).unwrap_or_default(),
        }
    }
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermission {
    /// It may run.
    Run,
    /// It may run if the quorum grants a trial, so that only one copy of it is in flight.
    Trial,
    /// It must not run.
    Refuse,
}

/// Decides whether a request may run.
pub fn decide(history: RunHistory) -> RunPermission {
    if must_refuse(history.lost_targets, history.rounds) {
        RunPermission::Refuse
    } else if needs_trial(history.lost_targets, history.rounds) {
        RunPermission::Trial
    } else {
        RunPermission::Run
    }
}
