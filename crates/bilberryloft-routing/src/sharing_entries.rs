//! Entries that share a bound over all entries, such as the slack of the retry budget or the limit of a target.
//!
//! An entry that is not heard any more may have ended, or it may be cut off and still use its part. So it counts for a
//! day, in which others don't divide its part among themselves, unless a quorum tells that this entry is not the one
//! that is cut off.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bilberryloft_state::key::digest;

/// Time for which an entry that is not heard any more still counts, in milliseconds.
const RETENTION_MS: u64 = 24 * 3_600_000;
/// Time for which an entry that is not heard any more is still taken to be active, in milliseconds.
pub const ACTIVE_MS: u64 = 1_500;
/// Time after the start of an entry in which it hears the others, in milliseconds.
const HEARING_MS: u64 = 800;
/// Number of entries that are assumed until then.
const ENTRIES_BEFORE_HEARING: usize = 16;
/// Largest number of other entries that are kept. Beyond it, those that were not heard for longest are dropped.
const ENTRIES_MAX: usize = 1_024;

/// Which entries divide a bound among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Division {
    /// Those that were heard lately. Only for an entry that a quorum answers: otherwise, the two sides of a partition
    /// would each divide the whole bound.
    Active,
    /// All that were heard within a day.
    Known,
}

/// One of the equal parts of a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Number of the part, from 0.
    pub rank: usize,
    /// Number of all parts.
    pub parts: usize,
}

/// Entries that divide a bound among themselves, by name.
pub type Members = BTreeSet<String>;

/// Last sign of another entry.
#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    last_ms: u64,
    /// Number of entries that it had heard itself.
    known: usize,
}

/// Other entries that were heard within a day.
#[derive(Clone, Debug, Default)]
pub struct SharingEntries {
    heard: BTreeMap<String, Heard>,
}

impl SharingEntries {
    /// Records that another entry was heard.
    pub fn record(&mut self, entry: &str, now_ms: u64) {
        if let Some(heard) = self.heard.get_mut(entry) {
            heard.last_ms = now_ms;
            return;
        }
        self.heard.retain(|_, it| it.last_ms + RETENTION_MS > now_ms);
        if self.heard.len() == ENTRIES_MAX {
            let oldest = self.heard.iter().min_by_key(|it| it.1.last_ms);
            if let Some(oldest) = oldest.map(|it| it.0.clone()) {
                self.heard.remove(&oldest);
            }
        }
        self.heard.insert(entry.to_string(), Heard { last_ms: now_ms, known: 0 });
    }

    /// Records that another entry was heard, and how many entries it has heard itself, including the two.
    pub fn record_known(&mut self, entry: &str, known: usize, now_ms: u64) {
        self.record(entry, now_ms);
        if let Some(heard) = self.heard.get_mut(entry) {
            heard.known = known;
        }
    }

    /// Returns the number of entries that this one has heard within a day, including itself.
    pub fn heard_count(&self, now_ms: u64) -> usize {
        self.heard.values().filter(|it| it.last_ms + RETENTION_MS > now_ms).count() + 1
    }

    /// Returns the number of entries that share a bound, including this one: those that it or an active entry has heard.
    pub fn count(&self, now_ms: u64) -> usize {
        let active = self.heard.values().filter(|it| it.last_ms + ACTIVE_MS > now_ms);
        let known = active.map(|it| it.known).max().unwrap_or(0);
        self.heard_count(now_ms).max(known)
    }

    /// Returns the same for a bound of which each entry has a part at any time: an entry that has just started and has
    /// heard no other yet assumes that there are many.
    pub fn count_from_start(&self, started_ms: u64, now_ms: u64) -> usize {
        match self.count(now_ms) {
            1 if now_ms < started_ms + HEARING_MS => ENTRIES_BEFORE_HEARING,
            count => count,
        }
    }

    /// Returns the entries that divide a bound among themselves, including this one; `None` if others have heard more
    /// of them, so that this one can't know its part.
    pub fn members(&self, own: &str, division: Division, now_ms: u64) -> Option<Members> {
        let within_ms = match division {
            Division::Active => ACTIVE_MS,
            Division::Known if self.heard_count(now_ms) < self.count(now_ms) => return None,
            Division::Known => RETENTION_MS,
        };
        Some(self.heard_within(own, within_ms, now_ms))
    }

    /// Returns the entries that this one has heard within a day, including itself.
    pub fn heard_within_a_day(&self, own: &str, now_ms: u64) -> Members {
        self.heard_within(own, RETENTION_MS, now_ms)
    }

    fn heard_within(&self, own: &str, within_ms: u64, now_ms: u64) -> Members {
        let others = self.heard.iter().filter(|it| it.1.last_ms + within_ms > now_ms);
        let others = others.map(|it| it.0.clone());
        others.chain([own.to_string()]).collect()
    }
}

/// Returns the part of a bound that an entry has if `members` divide it into at most `parts_max` equal parts; `None` if
/// others have them all. Each bound goes to other members, as its name decides.
pub fn own_part(members: &Members, own: &str, bound: &str, parts_max: usize) -> Option<Part> {
    let weight = |entry: &str| digest(&[bound.as_bytes(), entry.as_bytes()]);
    let own_weight = (weight(own), own);
    let heavier = members.iter().map(|it| (weight(it), it.as_str()));
    let rank = heavier.filter(|it| *it > own_weight).count();
    let parts = members.len().min(parts_max);
    (rank < parts).then_some(Part { rank, parts })
}
