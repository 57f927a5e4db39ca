//! Limits that targets name on the requests a second that they take from all entries together, and this entry's part of
//! each.
//!
//! A limit is divided into equal parts, each with a token bucket. If each entry had a part, many entries could send a
//! token at the same moment to a target that takes one a second, so there are only about as many parts as the target
//! takes requests in two seconds. Entries without a part use other targets.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::sharing_entries::Part;

/// Number of parts for each request a second.
const PARTS_PER_REQUEST: f64 = 2.0;
/// Number of parts of the smallest limit.
const PARTS_MIN: usize = 2;
/// Largest number of parts.
const PARTS_MAX: usize = 1_024;
/// Time of which a part may save up tokens, if that is more than one token, in milliseconds.
const SAVED_MS: f64 = 1_000.0;
/// Time for which a lifted limit is remembered, so that older reports of other entries don't bring it back, in
/// milliseconds.
const LIFTED_RETENTION_MS: u64 = 10_000;
/// Time after which the limit of a target that has not answered is dropped, in milliseconds.
const RETENTION_MS: u64 = 600_000;
/// Largest number of limits in a report: the latest ones.
const REPORT_MAX: usize = 128;
/// Longest wait for a token that is told, in milliseconds.
const WAIT_MAX_MS: u64 = 10_000;

/// What one entry knows of a target's limit, for the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Requests a second over all entries; `None` if the target no longer names a limit.
    pub per_s: Option<f64>,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Time since an answer of the target said so, in milliseconds.
    pub age_ms: u64,
}

/// A target's answer, as evidence of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// Requests a second over all entries that the answer names.
    pub per_s: Option<f64>,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Time at which the request was sent, in milliseconds.
    pub sent_ms: u64,
}

/// Change of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Limit before.
    pub before: Option<f64>,
    /// Limit now.
    pub per_s: Option<f64>,
}

/// Limit that was applied to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppliedLimit {
    /// Requests a second over all entries.
    pub per_s: f64,
    /// Time since an answer of the target named it, in milliseconds.
    pub age_ms: u64,
    /// This entry's part.
    pub part: Part,
}

impl AppliedLimit {
    /// Returns the wait for the request after this one.
    pub fn wait_for_next(&self) -> LimitedWait {
        let interval_ms = wait_ms(self.part.parts as f64, self.per_s);
        LimitedWait { has_part: true, first_ms: interval_ms, interval_ms }
    }
}

/// Time until a request can be sent to targets that have reached their limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitedWait {
    /// Whether this entry may send it; otherwise, only others may.
    pub has_part: bool,
    /// Time until the next request, in milliseconds.
    pub first_ms: u64,
    /// Time from one request to the next after that, in milliseconds.
    pub interval_ms: u64,
}

impl LimitedWait {
    /// Returns the time until a request can be sent before which `ahead` others are sent, in milliseconds.
    pub fn expected_ms(self, ahead: usize) -> u64 {
        self.first_ms.saturating_add(self.interval_ms.saturating_mul(ahead as u64))
    }
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitState {
    /// The target names no limit.
    Unlimited,
    /// This entry has a part of the limit.
    Limited {
        /// Time until it may send the next request, in milliseconds; 0 if it may send one now.
        wait_ms: u64,
        /// Requests a second that it may send.
        rate_per_s: f64,
    },
    /// Other entries have all parts.
    NoPart {
        /// Requests a second that they may send.
        rate_per_s: f64,
    },
}

impl LimitState {
    /// Returns whether this entry may send a request now.
    pub fn may_send(self) -> bool {
        match self {
            LimitState::Unlimited => true,
            LimitState::Limited { wait_ms, .. } => wait_ms == 0,
            LimitState::NoPart { .. } => false,
        }
    }
}

/// Limit of one target.
#[derive(Clone, Debug)]
struct TargetLimit {
    per_s: Option<f64>,
    incarnation: u64,
    observed_ms: u64,
    part: Option<Part>,
    /// Whether the part has been decided since the limit was named.
    is_divided: bool,
    tokens: f64,
    refilled_ms: u64,
}

impl TargetLimit {
    fn new(incarnation: u64, now_ms: u64) -> TargetLimit {
        TargetLimit {
            per_s: None,
            incarnation,
            observed_ms: 0,
            part: None,
            is_divided: false,
            tokens: 0.0,
            refilled_ms: now_ms,
        }
    }

    /// Returns the requests a second that this entry may send.
    fn own_rate(&self) -> f64 {
        match (self.per_s, self.part) {
            (Some(per_s), Some(part)) => per_s / part.parts as f64,
            _ => 0.0,
        }
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms) as f64;
        let rate = self.own_rate();
        let capacity = (rate * SAVED_MS / 1_000.0).max(1.0);
        self.tokens = (self.tokens + rate * elapsed_ms / 1_000.0).min(capacity);
        self.refilled_ms = now_ms;
    }

    /// Takes over a part. A new part of a new limit begins with a share of a token that differs from part to part, so
    /// that the entries don't send at the same moments; any other new part begins with none.
    fn set_part(&mut self, part: Option<Part>, now_ms: u64) {
        self.refill(now_ms);
        match (self.part, part) {
            (None, Some(part)) if !self.is_divided => {
                self.tokens = part.rank as f64 / part.parts as f64;
            }
            (None, _) | (_, None) => self.tokens = 0.0,
            (Some(_), Some(_)) => {}
        }
        self.part = part;
        self.is_divided = true;
    }

    /// Sets what was observed; returns the limit before if it has changed.
    fn set_limit(
        &mut self,
        per_s: Option<f64>,
        observed_ms: u64,
        now_ms: u64,
    ) -> Option<Option<f64>> {
        self.refill(now_ms);
        self.observed_ms = observed_ms;
        let before = std::mem::replace(&mut self.per_s, per_s);
        if before.is_none() {
            self.is_divided = false;
            self.part = None;
            self.tokens = 0.0;
        }
        (before != per_s).then_some(before)
    }

    fn state(&self, now_ms: u64) -> LimitState {
        let Some(per_s) = self.per_s else {
            return LimitState::Unlimited;
        };
        if self.part.is_none() {
            return LimitState::NoPart { rate_per_s: per_s };
        }
        let mut refilled = self.clone();
        refilled.refill(now_ms);
        let rate_per_s = self.own_rate();
        let missing = (1.0 - refilled.tokens).max(0.0);
        let wait_ms = if missing > 0.0 { wait_ms(missing, rate_per_s) } else { 0 };
        LimitState::Limited { wait_ms, rate_per_s }
    }
}

/// Returns the time in which a number of requests may be sent, in milliseconds.
pub fn wait_ms(requests: f64, rate_per_s: f64) -> u64 {
    ((requests / rate_per_s * 1_000.0).ceil() as u64).min(WAIT_MAX_MS)
}

/// Returns into how many parts a limit may be divided.
pub fn parts_max(per_s: f64) -> usize {
    ((per_s * PARTS_PER_REQUEST) as usize).saturating_add(PARTS_MIN).min(PARTS_MAX)
}

/// Limits of all targets that one entry knows, by name of the target.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    by_target: BTreeMap<String, TargetLimit>,
    changes: u64,
}

impl TargetLimits {
    /// Returns whether no target has or lately had a limit.
    pub fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// Returns the number of targets that have a limit.
    pub fn limited_targets(&self) -> usize {
        self.by_target.values().filter(|it| it.per_s.is_some()).count()
    }

    /// Returns how often a limit has changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Records an answer of a target. One that names no limit lifts the limit only if its request was sent after the
    /// limit was last named, since answers may overtake each other.
    pub fn observe(
        &mut self,
        target: &str,
        observed: LimitObservation,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let known = self.by_target.get(target).filter(|it| it.incarnation == observed.incarnation);
        let is_news = match observed.per_s {
            Some(_) => true,
            None => known.is_some_and(|it| it.per_s.is_some() && observed.sent_ms > it.observed_ms),
        };
        is_news.then(|| self.set(target, observed.incarnation, observed.per_s, now_ms, now_ms))?
    }

    /// Records what another entry knows of a target's limit, if it is newer and of the same or a later incarnation.
    pub fn merge(
        &mut self,
        target: &str,
        report: &LimitReport,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let observed_ms = now_ms.saturating_sub(report.age_ms);
        let is_news = match self.by_target.get(target) {
            Some(it) if it.incarnation == report.incarnation => observed_ms > it.observed_ms,
            Some(it) => report.incarnation > it.incarnation,
            None => report.per_s.is_some(),
        };
        is_news.then(|| self.set(target, report.incarnation, report.per_s, observed_ms, now_ms))?
    }

    fn set(
        &mut self,
        target: &str,
        incarnation: u64,
        per_s: Option<f64>,
        observed_ms: u64,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let new = || TargetLimit::new(incarnation, now_ms);
        let limit = self.by_target.entry(target.to_string()).or_insert_with(new);
        if limit.incarnation != incarnation {
            *limit = new();
        }
        let before = limit.set_limit(per_s, observed_ms, now_ms)?;
        self.changes += 1;
        Some(LimitChange { before, per_s })
    }

    /// Decides this entry's part of each limit; `part` gets the name of the target and the largest number of parts.
    pub fn divide(&mut self, part: impl Fn(&str, usize) -> Option<Part>, now_ms: u64) {
        for (target, limit) in &mut self.by_target {
            if let Some(per_s) = limit.per_s {
                limit.set_part(part(target, parts_max(per_s)), now_ms);
            }
        }
    }

    /// Returns this entry's part of a target's limit; `None` if it has none.
    pub fn part(&self, target: &str) -> Option<Part> {
        self.by_target.get(target)?.part
    }

    /// Drops limits that were lifted, and those of targets that have not answered for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_target.retain(|_, it| {
            let retention_ms = it.per_s.map_or(LIFTED_RETENTION_MS, |_| RETENTION_MS);
            it.observed_ms + retention_ms > now_ms
        });
    }

    /// Returns what is to be reported to the other entries, by target.
    pub fn reports(&self, now_ms: u64) -> BTreeMap<String, LimitReport> {
        let mut latest: Vec<(&String, &TargetLimit)> = self.by_target.iter().collect();
        latest.sort_by_key(|it| std::cmp::Reverse(it.1.observed_ms));
        let report = |it: &TargetLimit| LimitReport {
            per_s: it.per_s,
            incarnation: it.incarnation,
            age_ms: now_ms.saturating_sub(it.observed_ms),
        };
        let latest = latest.into_iter().take(REPORT_MAX);
        latest.map(|(target, limit)| (target.clone(), report(limit))).collect()
    }

    /// Returns whether this entry may send a request to an incarnation of a target.
    pub fn state(&self, target: &str, incarnation: u64, now_ms: u64) -> LimitState {
        match self.by_target.get(target).filter(|it| it.incarnation == incarnation) {
            Some(limit) => limit.state(now_ms),
            None => LimitState::Unlimited,
        }
    }

    /// Takes a token for a request to an incarnation of a target; `None` if the target has no limit.
    pub fn take(&mut self, target: &str, incarnation: u64, now_ms: u64) -> Option<AppliedLimit> {
        let limit = self.by_target.get_mut(target).filter(|it| it.incarnation == incarnation)?;
        let (per_s, part) = (limit.per_s?, limit.part?);
        limit.refill(now_ms);
        limit.tokens -= 1.0;
        Some(AppliedLimit { per_s, age_ms: now_ms.saturating_sub(limit.observed_ms), part })
    }

    /// Gives back the token of a request that was not sent.
    pub fn refund(&mut self, target: &str) {
        if let Some(limit) = self.by_target.get_mut(target) {
            limit.tokens += 1.0;
        }
    }
}
