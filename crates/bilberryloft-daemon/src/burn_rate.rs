//! Error-budget burn rates of teams over several windows, as in the Site Reliability Workbook.

use std::collections::BTreeMap;

use bilberryloft_protocol::api::BurnRow;
use bilberryloft_protocol::api::BurnWindow;

/// Lengths of the windows in seconds.
pub const WINDOWS_S: [u64; 4] = [300, 3_600, 21_600, 259_200];
/// Share of requests that must meet the objective.
pub const OBJECTIVE_SHARE: f64 = 0.95;
/// Most teams that are tracked; beyond that, the team without requests for the longest time is dropped.
pub const TEAMS_MAX: usize = 32_768;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    total: u64,
    bad: u64,
}

/// A sliding window that is estimated from two fixed windows: the current and the previous one.
#[derive(Clone, Copy, Debug, Default)]
struct SlidingWindow {
    window_index: u64,
    current: Count,
    previous: Count,
}

impl SlidingWindow {
    fn advance(&mut self, window_index: u64) {
        if window_index == self.window_index {
            return;
        }
        self.previous =
            if window_index == self.window_index + 1 { self.current } else { Count::default() };
        self.current = Count::default();
        self.window_index = window_index;
    }

    /// Weights the previous window by the share of it that the sliding window still covers.
    fn estimate(&self, window_ms: u64, now_ms: u64) -> Count {
        let mut copy = *self;
        copy.advance(now_ms / window_ms);
        let previous_share = 1.0 - (now_ms % window_ms) as f64 / window_ms as f64;
        Count {
            total: copy.current.total + (copy.previous.total as f64 * previous_share) as u64,
            bad: copy.current.bad + (copy.previous.bad as f64 * previous_share) as u64,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct TeamWindows {
    windows: [SlidingWindow; WINDOWS_S.len()],
    last_request_ms: u64,
}

/// Counts of good and bad requests of all teams at one entry.
#[derive(Debug, Default)]
pub struct BurnRateTracker {
    teams: BTreeMap<String, TeamWindows>,
}

impl BurnRateTracker {
    /// Counts a finished request; `is_bad` says that it missed the objective.
    pub fn record(&mut self, team: &str, is_bad: bool, now_ms: u64) {
        if self.teams.len() >= TEAMS_MAX && !self.teams.contains_key(team) {
            let oldest = self
                .teams
                .iter()
                .min_by_key(|(_, it)| it.last_request_ms)
                .map(|(name, _)| name.clone());
            oldest.and_then(|it| self.teams.remove(&it));
        }
        let team_windows = self.teams.entry(team.to_string()).or_default();
        team_windows.last_request_ms = now_ms;
        for (window, length_s) in team_windows.windows.iter_mut().zip(WINDOWS_S) {
            window.advance(now_ms / (length_s * 1_000));
            window.current.total += 1;
            window.current.bad += u64::from(is_bad);
        }
    }

    /// Returns one row per team with its burn rates at the given time.
    pub fn report(&self, now_ms: u64) -> Vec<BurnRow> {
        self.teams.iter().map(|(team, team_windows)| team_row(team, team_windows, now_ms)).collect()
    }
}

fn team_row(team: &str, team_windows: &TeamWindows, now_ms: u64) -> BurnRow {
    let mut windows = Vec::new();
    for (window, length_s) in team_windows.windows.iter().zip(WINDOWS_S) {
        let count = window.estimate(length_s * 1_000, now_ms);
        let bad_share = if count.total == 0 { 0.0 } else { count.bad as f64 / count.total as f64 };
        windows.push(BurnWindow {
            window_s: length_s,
            total: count.total,
            bad: count.bad,
            burn_rate: bad_share / (1.0 - OBJECTIVE_SHARE),
        });
    }
    let longest_window_burn_rate = windows.last().map_or(0.0, |it| it.burn_rate);
    BurnRow { team: team.to_string(), windows, budget_left: 1.0 - longest_window_burn_rate }
}
