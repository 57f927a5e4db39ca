//! Cold targets: which targets can handle only few requests a second for some time, and how many of those this entry may send.
//!
//! The bound holds in every second over all entries, so an entry does not save up tokens: it counts what it has sent within
//! the last [`WINDOW_MS`]. The entries plan with half of the bound. The other half covers entries that don't know of each
//! other yet, and requests that a frozen entry had decided on before it froze.

pub mod share;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::cold_targets::share::ColdShare;
use crate::cold_targets::share::allowance;
use crate::document::ColdStart;
use crate::selection::TargetKey;

/// Time over which an entry counts the requests that it has sent, in milliseconds. Requests that it sends further apart
/// than this arrive at least a second apart if their delays differ by less than 250 ms.
pub const WINDOW_MS: u64 = 1_250;
/// Part of the bound with which the entries plan.
const PLANNED_PART: f64 = 0.5;
/// Time that is added to the remaining time which a target announces, in milliseconds. It exceeds the difference between
/// two remaining times that the quorum takes for the same (`COLD_TOLERANCE_MS`).
const REMAINING_MARGIN_MS: u64 = 500;
/// Time that is added after a lost attempt, in milliseconds: the target may return only later, and its announcement may
/// be late.
const LOST_MARGIN_MS: u64 = 3_000;
/// Time for which the other entries are told of a lost attempt, in milliseconds: several reports, of which some are lost.
const LOST_TOLD_MS: u64 = 1_500;
/// Time after which an entry that has not refreshed its view counts as frozen, in milliseconds.
const VIEW_VALID_MS: u64 = 1_000;
/// Time by which clocks of two hosts may differ, in milliseconds, with a wide margin.
const CLOCK_MARGIN_MS: u64 = 30_000;
/// Time after which a caller should come back if this entry may not send to cold targets, in milliseconds.
const NO_PART_WAIT_MS: u64 = 1_000;

/// What the targets of a service can handle while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Time for which a target is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// Requests that all entries together plan to send to a cold target in one second.
    pub planned: usize,
}

impl ColdBound {
    /// Returns the bound of a service if any one second may have `overshoot` times its rate and `slack` more; `None` if its
    /// targets are never cold.
    pub fn new(start: ColdStart, overshoot: f64, slack: f64) -> Option<ColdBound> {
        let max_per_s = start.requests_per_s * overshoot + slack;
        let planned = ((max_per_s * PLANNED_PART) as usize).max(usize::from(max_per_s >= 1.0));
        let is_ever_cold = start.requests_per_s > 0.0 && start.duration_ms > 0;
        is_ever_cold.then_some(ColdBound { duration_ms: start.duration_ms, planned })
    }
}

/// Reason, told by the quorum's record, for which a target counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ColdCause {
    /// This entry has just learned of it.
    New,
    /// It has restarted.
    Restarted,
    /// Its announcements arrive again.
    Returned,
    /// It announces that it is cold.
    Announced,
}

/// What the quorum knows of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdRecord<'a> {
    /// Service that the target belongs to.
    pub service: &'a str,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Whether its announcements arrive.
    pub is_announced: bool,
    /// Time for which it stays cold, as of its announcement, in milliseconds.
    pub remaining_ms: u64,
    /// Version of the record; the remaining time counts from when this entry first sees it.
    pub version: u64,
    /// Time for which the record has not changed, by this host's clock and that of the leader that changed it, in
    /// milliseconds.
    pub unchanged_ms: u64,
}

impl ColdRecord<'_> {
    /// Returns whether the target is warm and its last start longer ago than its cold time, so that an entry that has just
    /// started can use it without a limit.
    fn has_been_warm(&self, duration_ms: u64) -> bool {
        let is_warm = self.is_announced && self.remaining_ms == 0;
        is_warm && self.unchanged_ms > duration_ms + CLOCK_MARGIN_MS
    }
}

/// What an entry knows of its place among the entries, and whether its list of targets is current.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdView {
    /// Entries with which it shares the bound.
    pub share: ColdShare,
    /// Whether a quorum has lately confirmed the list of targets. Without that, any target may have become cold.
    pub is_current: bool,
}

/// Whether this entry may send a request to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColdState {
    /// The target is not cold.
    Warm,
    /// The target is cold.
    Cold {
        /// Time until this entry may send the next request, in milliseconds; 0 if it may send one now.
        wait_ms: u64,
        /// Requests a second that it may send.
        rate_per_s: f64,
    },
}

#[derive(Clone, Debug)]
struct ColdTarget {
    id: String,
    bound: ColdBound,
    incarnation: u64,
    is_announced: bool,
    version: u64,
    cold_until_ms: u64,
    /// Whether attempts there were lost and none has been answered since, so that it may restart at any time.
    is_lost: bool,
    /// Time at which this entry last lost an attempt there.
    lost_ms: Option<u64>,
    /// Times at which this entry sent its latest requests; at most as many as all entries plan to send in a second.
    sent: VecDeque<u64>,
    /// This entry's allowance, with the number of the view for which it was computed.
    allowance: Cell<Option<(u64, usize)>>,
}

impl ColdTarget {
    fn new(id: &str, bound: ColdBound, record: &ColdRecord) -> ColdTarget {
        ColdTarget {
            id: id.to_string(),
            bound,
            incarnation: record.incarnation,
            is_announced: record.is_announced,
            version: record.version,
            cold_until_ms: 0,
            is_lost: false,
            lost_ms: None,
            sent: VecDeque::new(),
            allowance: Cell::new(None),
        }
    }

    fn update(&mut self, bound: ColdBound, record: &ColdRecord) {
        if self.bound != bound {
            self.bound = bound;
            self.allowance.set(None);
        }
        self.incarnation = record.incarnation;
        self.is_announced = record.is_announced;
        self.version = record.version;
    }

    fn is_cold(&self, now_ms: u64) -> bool {
        self.is_lost || self.cold_until_ms > now_ms
    }

    fn set_cold(&mut self, for_ms: u64, now_ms: u64) -> bool {
        let was_cold = self.cold_until_ms > now_ms;
        self.cold_until_ms = self.cold_until_ms.max(now_ms + for_ms);
        !was_cold && self.cold_until_ms > now_ms
    }

    fn allowance(&self, view: &ColdView, number: u64) -> usize {
        if let Some((computed_for, allowance)) = self.allowance.get()
            && computed_for == number
        {
            return allowance;
        }
        let allowance = allowance(&view.share, &self.id, self.bound.planned);
        self.allowance.set(Some((number, allowance)));
        allowance
    }

    /// Returns the time until a further request fits into an allowance, in milliseconds.
    fn wait_ms(&self, allowance: usize, now_ms: u64) -> u64 {
        // The first of the last `allowance` requests has to leave the window.
        let earliest = self.sent.len().checked_sub(allowance).and_then(|it| self.sent.get(it));
        earliest.map_or(0, |it| (it + WINDOW_MS).saturating_sub(now_ms))
    }
}

/// Targets of all services whose targets may be cold, as one entry knows them.
#[derive(Clone, Debug)]
pub struct ColdTargets {
    bounds: BTreeMap<String, ColdBound>,
    by_key: BTreeMap<TargetKey, ColdTarget>,
    view: ColdView,
    view_number: u64,
    viewed_ms: u64,
    /// Time until which all targets count as cold, because this entry was frozen or cut off.
    uncertain_until_ms: u64,
    /// Whether its list of targets was ever current. An entry that has just started doubts single targets only.
    was_ever_current: bool,
}

impl Default for ColdTargets {
    fn default() -> Self {
        ColdTargets {
            bounds: BTreeMap::new(),
            by_key: BTreeMap::new(),
            view: ColdView { share: ColdShare::NoPart, is_current: false },
            view_number: 0,
            viewed_ms: 0,
            uncertain_until_ms: 0,
            was_ever_current: false,
        }
    }
}

impl ColdTargets {
    /// Returns whether no target may ever be cold.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns whether a service has targets that may be cold.
    pub fn has_bounds(&self) -> bool {
        !self.bounds.is_empty()
    }

    /// Sets the services whose targets may be cold.
    pub fn set_bounds(&mut self, bounds: BTreeMap<String, ColdBound>) {
        self.bounds = bounds;
    }

    /// Stores what this entry knows of the other entries and how current its list of targets is.
    pub fn set_view(&mut self, view: ColdView, now_ms: u64) {
        if self.view.share != view.share {
            self.view_number += 1;
        }
        // While it was away, targets may have restarted without its notice, and their announcements may be late.
        let was_away = now_ms > self.viewed_ms + VIEW_VALID_MS || !self.view.is_current;
        if self.was_ever_current && was_away {
            self.uncertain_until_ms = now_ms + LOST_MARGIN_MS;
        }
        self.was_ever_current |= view.is_current;
        self.view = view;
        self.viewed_ms = now_ms;
    }

    /// Records what the quorum knows of a target; returns why it has become cold, if it has.
    pub fn record(
        &mut self,
        key: TargetKey,
        id: &str,
        record: &ColdRecord,
        now_ms: u64,
    ) -> Option<ColdCause> {
        let Some(bound) = self.bounds.get(record.service).copied() else {
            self.by_key.remove(&key);
            return None;
        };
        let known = self.by_key.get(&key).map(|it| (it.incarnation, it.is_announced, it.version));
        let target = self.by_key.entry(key).or_insert_with(|| ColdTarget::new(id, bound, record));
        target.update(bound, record);
        let announced_ms = match record.remaining_ms {
            0 => 0,
            remaining_ms => remaining_ms + REMAINING_MARGIN_MS,
        };
        let started_ms = announced_ms.max(bound.duration_ms);
        let (cause, for_ms) = match known {
            None if record.has_been_warm(bound.duration_ms) => return None,
            None => (ColdCause::New, started_ms),
            Some((incarnation, ..)) if incarnation != record.incarnation => {
                (ColdCause::Restarted, started_ms)
            }
            Some((_, false, _)) if record.is_announced => (ColdCause::Returned, started_ms),
            Some((.., version)) if version != record.version && announced_ms > 0 => {
                (ColdCause::Announced, announced_ms)
            }
            // A target that announces that it is warm again is not taken to be so early: its announcements may overtake
            // each other.
            Some(_) => return None,
        };
        target.set_cold(for_ms, now_ms).then_some(cause)
    }

    /// Records that a target may be cold from now on for as long as after its start.
    pub fn record_may_be_cold(&mut self, key: TargetKey, now_ms: u64) {
        if let Some(target) = self.by_key.get_mut(&key) {
            target.set_cold(target.bound.duration_ms, now_ms);
        }
    }

    /// Records that this entry has lost an attempt at a target, so that the target may have restarted.
    pub fn record_lost(&mut self, key: TargetKey, now_ms: u64) {
        if let Some(target) = self.by_key.get_mut(&key) {
            target.lost_ms = Some(now_ms);
        }
        self.record_failing(key, now_ms);
    }

    /// Records that this entry or another one loses attempts at a target.
    pub fn record_failing(&mut self, key: TargetKey, now_ms: u64) {
        if let Some(target) = self.by_key.get_mut(&key) {
            target.is_lost = true;
            target.set_cold(target.bound.duration_ms + LOST_MARGIN_MS, now_ms);
        }
    }

    /// Records that a target has answered this entry. If it has restarted since an attempt there was lost, it did so before
    /// now.
    pub fn record_answer(&mut self, key: TargetKey, now_ms: u64) {
        if let Some(target) = self.by_key.get_mut(&key)
            && target.is_lost
        {
            target.is_lost = false;
            target.set_cold(target.bound.duration_ms, now_ms);
        }
    }

    /// Returns the targets at which this entry has lost an attempt a moment ago. The others have to know: without requests
    /// of their own there, they would take it for warm until its announcement has arrived.
    pub fn lost_lately(&self, now_ms: u64) -> impl Iterator<Item = TargetKey> {
        let is_recent =
            move |it: &ColdTarget| it.lost_ms.is_some_and(|at| at + LOST_TOLD_MS > now_ms);
        self.by_key.iter().filter(move |it| is_recent(it.1)).map(|it| *it.0)
    }

    /// Returns whether this entry may send a request to a target.
    pub fn state(&self, key: TargetKey, now_ms: u64) -> ColdState {
        let Some(target) = self.by_key.get(&key) else {
            return ColdState::Warm;
        };
        let is_current = self.view.is_current && now_ms <= self.viewed_ms + VIEW_VALID_MS;
        let is_uncertain = self.uncertain_until_ms > now_ms;
        if is_current && !is_uncertain && !target.is_cold(now_ms) {
            return ColdState::Warm;
        }
        // The sides of a partition that began before all entries knew each other would each have the whole plan.
        let allowance_max = if self.view.is_current { usize::MAX } else { 1 };
        let allowance = target.allowance(&self.view, self.view_number).min(allowance_max);
        let wait_ms = match allowance {
            0 => NO_PART_WAIT_MS,
            allowance => target.wait_ms(allowance, now_ms),
        };
        // The target may be warm before this entry may send the next request.
        let wait_ms = match is_current {
            true if !target.is_lost => {
                wait_ms.min(target.cold_until_ms.max(self.uncertain_until_ms) - now_ms)
            }
            _ => wait_ms,
        };
        ColdState::Cold { wait_ms, rate_per_s: allowance as f64 * 1_000.0 / WINDOW_MS as f64 }
    }

    /// Counts a request to a target. Requests to warm targets count, too, since the target may become cold within the
    /// window.
    pub fn take(&mut self, key: TargetKey, now_ms: u64) {
        if let Some(target) = self.by_key.get_mut(&key) {
            if target.sent.len() >= target.bound.planned.max(1) {
                target.sent.pop_front();
            }
            target.sent.push_back(now_ms);
        }
    }

    /// Takes back the latest request to a target, which was not sent.
    pub fn refund(&mut self, key: TargetKey) {
        if let Some(target) = self.by_key.get_mut(&key) {
            target.sent.pop_back();
        }
    }

    /// Returns the number of targets that count as cold.
    pub fn cold_targets(&self, now_ms: u64) -> usize {
        self.by_key.values().filter(|it| it.is_cold(now_ms)).count()
    }
}
