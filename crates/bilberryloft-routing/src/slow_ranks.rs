//! Work for ranks of a lock-step group that are slow.
//!
//! The pattern: one rank takes several times as long as usual for some seconds. All ranks run each pass together,
//! so the requests that the slow one goes on getting lengthen every pass for every stream of the group. A pass waits
//! for the rank whose own part takes longest, and part of that is there without any request; so a slow rank gets a
//! request only while its own part stays within that of a usual rank whose places are all taken. Streams that run on a
//! much slower one go on at another rank: they would hold up the group until they end, for seconds.

use std::collections::BTreeMap;

/// Time after which a word about slow ranks is no longer believed, in milliseconds.
const VALID_MS: u64 = 1_500;

/// Own part of a slow rank over that of a usual rank with all places taken, from which its streams go on elsewhere:
/// that costs reading their prompts once more.
const LEAVE_FROM: f64 = 1.5;
/// Part of a request that sums of floating-point numbers may be short of.
const ROUNDING: f64 = 1e-6;

/// Own part of a rank's pass, counted in requests of a rank at its usual speed; `idle_load` is the part that is
/// there without requests.
pub fn own_part(idle_load: f64, load: u32, slowness: f64) -> f64 {
    slowness * (idle_load + f64::from(load))
}

/// Requests that a rank may have, for its own part to be no longer than that of a usual rank with `full` requests.
pub fn load_max(idle_load: f64, full: u32, slowness: f64) -> u32 {
    let load = own_part(idle_load, full, 1.0) / slowness.max(1.0) - idle_load;
    (load.max(0.0) + ROUNDING).floor() as u32
}

/// Whether the streams on a rank had better go on at others.
pub fn is_worth_leaving(idle_load: f64, load: u32, slots: u32, slowness: f64) -> bool {
    own_part(idle_load, load, slowness) > LEAVE_FROM * own_part(idle_load, slots, 1.0)
}

#[derive(Clone, Debug)]
struct Word {
    heard_ms: u64,
    slowness: BTreeMap<String, f64>,
}

/// How many times as long as usual ranks take, as those say who read the ranks' reports.
#[derive(Debug, Default)]
pub struct SlowRanks {
    words: BTreeMap<String, Word>,
}

impl SlowRanks {
    /// Takes what one host says of all slow ranks, in place of what it said before.
    pub fn note(&mut self, host: &str, slowness: BTreeMap<String, f64>, now_ms: u64) {
        self.words.insert(host.to_string(), Word { heard_ms: now_ms, slowness });
    }

    /// What a host said, while it is believed.
    pub fn said_by(&self, host: &str, now_ms: u64) -> Option<&BTreeMap<String, f64>> {
        let word = self.words.get(host)?;
        (word.heard_ms + VALID_MS > now_ms).then_some(&word.slowness)
    }

    /// How many times as long as usual a rank takes; 1.0 where nothing is known.
    pub fn of(&self, rank: &str, now_ms: u64) -> f64 {
        let hosts = self.words.keys();
        let said = hosts.filter_map(|it| self.said_by(it, now_ms)?.get(rank).copied());
        said.fold(1.0, f64::max)
    }
}
