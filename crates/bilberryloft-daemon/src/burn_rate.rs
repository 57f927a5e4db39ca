//! Rates at which teams spend their error budgets, after the workbook on site reliability.

use std::collections::BTreeMap;

use bilberryloft_protocol::api::BurnRow;
use bilberryloft_protocol::api::BurnWindow;

/// Lengths of the windows in seconds.
pub const WINDOWS_S: [u64; 4] = [300, 3_600, 21_600, 259_200];
/// Share of requests that must meet the objective.
pub const OBJECTIVE: f64 = 0.95;
/// Teams that are tracked at most; the one silent for longest makes room.
pub const TEAMS_MAX: usize = 32_768;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    total: u64,
    bad: u64,
}

/// A sliding window out of two fixed ones: the current and the one before it.
#[derive(Clone, Copy, Debug, Default)]
struct Sliding {
    number: u64,
    current: Count,
    before: Count,
}

impl Sliding {
    fn advance(&mut self, number: u64) {
        if number == self.number {
            return;
        }
        self.before = if number == self.number + 1 { self.current } else { Count::default() };
        self.current = Count::default();
        self.number = number;
    }

    fn estimate(&self, window_ms: u64, now_ms: u64) -> Count {
        let mut copy = *self;
        copy.advance(now_ms / window_ms);
        let rest = 1.0 - (now_ms % window_ms) as f64 / window_ms as f64;
        Count {
            total: copy.current.total + (copy.before.total as f64 * rest) as u64,
            bad: copy.current.bad + (copy.before.bad as f64 * rest) as u64,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct TeamBurn {
    windows: [Sliding; WINDOWS_S.len()],
    last_ms: u64,
}

/// Counts of all teams at one entry.
#[derive(Debug, Default)]
pub struct BurnRateTracker {
    teams: BTreeMap<String, TeamBurn>,
}

impl BurnRateTracker {
    /// Counts a request that ended.
    pub fn record(&mut self, team: &str, is_bad: bool, now_ms: u64) {
        if self.teams.len() >= TEAMS_MAX && !self.teams.contains_key(team) {
            let oldest =
                self.teams.iter().min_by_key(|(_, it)| it.last_ms).map(|(name, _)| name.clone());
            oldest.and_then(|it| self.teams.remove(&it));
        }
        let burn = self.teams.entry(team.to_string()).or_default();
        burn.last_ms = now_ms;
        for (window, length_s) in burn.windows.iter_mut().zip(WINDOWS_S) {
            window.advance(now_ms / (length_s * 1_000));
            window.current.total += 1;
            window.current.bad += u64::from(is_bad);
        }
    }

    /// One row a team.
    pub fn report(&self, now_ms: u64) -> Vec<BurnRow> {
        self.teams.iter().map(|(team, burn)| report_team(team, burn, now_ms)).collect()
    }
}

fn report_team(team: &str, burn: &TeamBurn, now_ms: u64) -> BurnRow {
    let mut windows = Vec::new();
    for (window, length_s) in burn.windows.iter().zip(WINDOWS_S) {
        let count = window.estimate(length_s * 1_000, now_ms);
        let bad_share = if count.total == 0 { 0.0 } else { count.bad as f64 / count.total as f64 };
        windows.push(BurnWindow {
            window_s: length_s,
            total: count.total,
            bad: count.bad,
            burn_rate: bad_share / (1.0 - OBJECTIVE),
        });
    }
    let spent = windows.last().map_or(0.0, |it| it.burn_rate);
    BurnRow { team: team.to_string(), windows, budget_left: 1.0 - spent }
}
