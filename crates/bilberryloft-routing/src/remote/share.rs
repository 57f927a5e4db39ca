//! Share of a service's requests that may go to far data centres.
//!
//! Entries that see the same old loads would all leave at once, and all return at once. So the share moves by a small
//! part of what the loads call for, and not at all while they call for little; each request draws whether it belongs
//! to the share.

use serde::Deserialize;
use serde::Serialize;

/// Difference of loads, beyond the cost, that changes the share, in requests.
const HYSTERESIS: f64 = 0.5;
/// Largest change of the share in one step.
const STEP_MAX: f64 = 0.1;
/// Time between two steps, in milliseconds.
pub const STEP_MS: u64 = 100;
/// Part of the wanted change that is made within the time of one request.
const GAIN: f64 = 0.5;
/// Shortest time of a request that is assumed, in milliseconds: the age of reports counts as well.
const REQUEST_MIN_MS: f64 = 200.0;
/// Time of a request while it is not known, in milliseconds.
const REQUEST_UNKNOWN_MS: f64 = 1_000.0;
/// Share from which requests count as sent away.
const BEGIN_SHARE: f64 = 0.05;
/// Share under which the rest of the requests returns at once.
const END_SHARE: f64 = 0.005;
/// Time without sending away after which its end is reported, in milliseconds.
const END_MS: u64 = 2_000;

/// Reason for the share of requests that may go to far data centres.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AwayReason {
    /// All data centres cost the same, or there is only one.
    #[default]
    NoneFar,
    /// The targets here are not busier than those of far data centres, with their cost.
    BetterHere,
    /// The targets here are busier than those of a far data centre, with its cost.
    BusyHere,
    /// The difference is too small to change the share.
    Balanced,
    /// There are no targets here.
    NoTargetsHere,
    /// No load of a far data centre is known.
    NothingKnown,
    /// The targets here are full.
    FullHere,
}

impl AwayReason {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            AwayReason::NoneFar => "none_far",
            AwayReason::BetterHere => "better_here",
            AwayReason::BusyHere => "busy_here",
            AwayReason::Balanced => "balanced",
            AwayReason::NoTargetsHere => "no_targets_here",
            AwayReason::NothingKnown => "nothing_known",
            AwayReason::FullHere => "full_here",
        }
    }
}

/// Loads here and there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareInput {
    /// Whether there are far data centres.
    pub has_far: bool,
    /// Mean load of a target here, in requests; `None` without targets.
    pub load_here: Option<f64>,
    /// Targets here.
    pub targets_here: u32,
    /// Mean load in the best far data centre and its cost, in requests; `None` if none is known.
    pub load_there: Option<f64>,
    /// Targets there.
    pub targets_there: u32,
    /// Name of that data centre.
    pub data_center: Option<String>,
}

impl ShareInput {
    /// Returns the part of the requests here that would have to move for the loads to be equal; negative if some should
    /// return.
    fn wanted_change(&self, here: f64, there: f64) -> f64 {
        let per_request =
            1.0 / f64::from(self.targets_here.max(1)) + 1.0 / f64::from(self.targets_there.max(1));
        let moved = (here - there) / per_request;
        moved / (here * f64::from(self.targets_here)).max(1.0)
    }
}

/// Share of the requests that may go to far data centres.
#[derive(Clone, Debug, Default)]
pub struct AwayShare {
    share: f64,
    reason: AwayReason,
    updated_ms: Option<u64>,
    is_reported: bool,
    last_away_ms: u64,
}

impl AwayShare {
    /// Returns the share.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the reason for it.
    pub fn reason(&self) -> AwayReason {
        self.reason
    }

    /// Moves the share if a step is due; returns whether sending away begins or ends, if it does.
    pub fn update(
        &mut self,
        input: &ShareInput,
        request_ms: Option<f64>,
        now_ms: u64,
    ) -> Option<bool> {
        let elapsed_ms = self.updated_ms.map_or(STEP_MS, |it| now_ms.saturating_sub(it));
        if elapsed_ms < STEP_MS {
            return None;
        }
        self.updated_ms = Some(now_ms);
        let request_ms = request_ms.unwrap_or(REQUEST_UNKNOWN_MS).max(REQUEST_MIN_MS);
        // A process that was stopped makes no longer step afterwards.
        let gain = GAIN * (STEP_MS as f64 / request_ms).min(1.0);
        self.step(input, gain);
        self.report(now_ms)
    }

    fn step(&mut self, input: &ShareInput, gain: f64) {
        let (change, reason) = match (input.load_here, input.load_there) {
            _ if !input.has_far => (-1.0, AwayReason::NoneFar),
            (None, _) => (1.0, AwayReason::NoTargetsHere),
            (Some(_), None) => (-STEP_MAX, AwayReason::NothingKnown),
            (Some(here), Some(there)) => {
                let change = input.wanted_change(here, there) * gain;
                let change = change.clamp(-STEP_MAX, STEP_MAX);
                if here > there + HYSTERESIS {
                    (change, AwayReason::BusyHere)
                } else if here < there - HYSTERESIS {
                    (change, AwayReason::BetterHere)
                } else {
                    (0.0, AwayReason::Balanced)
                }
            }
        };
        self.share = (self.share + change).clamp(0.0, 1.0);
        if change < 0.0 && self.share < END_SHARE {
            self.share = 0.0;
        }
        self.reason = reason;
    }

    fn report(&mut self, now_ms: u64) -> Option<bool> {
        if self.share > 0.0 {
            self.last_away_ms = now_ms;
        }
        let begins = match self.is_reported {
            false => self.share >= BEGIN_SHARE,
            true => self.share > 0.0 || self.last_away_ms + END_MS > now_ms,
        };
        (begins != self.is_reported).then(|| {
            self.is_reported = begins;
            begins
        })
    }
}
