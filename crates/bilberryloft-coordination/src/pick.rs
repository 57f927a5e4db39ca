//! Choice of a target at an entry, based on reported loads corrected by the entry's own later dispatches.
//!
//! Candidates are sampled, as in Prequal (Wydrowski et al., NSDI 2024); the score is the expected number of requests
//! per slot.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bilberryloft_state::key::Arena;
use bilberryloft_state::key::TargetKey;
use bilberryloft_state::record::CandidateRecord;

/// Number of candidates drawn at random for one pick.
pub const SAMPLED_CANDIDATES: usize = 3;
/// Age from which a reported load is ignored, in milliseconds.
pub const REPORT_MAX_AGE_MS: u64 = 2_000;
/// Reduction of the score for a warm prefix cache, in requests per slot.
pub const PREFIX_BONUS: f64 = 0.35;
/// Load in requests per slot from which targets in other data centres are considered.
pub const SPILLOVER_LOAD: f64 = 0.9;
/// Maximum number of prefixes that one entry remembers.
pub const PREFIXES_MAX: usize = 65_536;
/// Time for which a target that could not be reached gets no new work, in milliseconds.
pub const PENALTY_MS: u64 = 500;

/// What an entry knows of one target.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Name of the target.
    pub name: String,
    /// Address of the agent.
    pub agent_address: String,
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Whether the target is in the entry's own data centre.
    pub is_local: bool,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target may get new work.
    pub is_eligible: bool,
    /// Requests running and queued in the latest report.
    pub reported: u32,
    /// Time at which that report arrived, in milliseconds.
    pub reported_ms: u64,
    /// Own dispatches that no report includes yet.
    pub unacknowledged: u32,
    /// Own requests that have not ended.
    pub own_open: u32,
    /// Time until which the target gets no new work after a failure, in milliseconds.
    pub penalty_until_ms: u64,
}

impl TargetView {
    /// Creates the view of a local, eligible target whose load is not known yet.
    pub fn new(name: &str, agent_address: &str, incarnation: u64, slots: u32) -> TargetView {
        TargetView {
            name: name.to_string(),
            agent_address: agent_address.to_string(),
            incarnation,
            is_local: true,
            slots,
            is_eligible: true,
            reported: 0,
            reported_ms: 0,
            unacknowledged: 0,
            own_open: 0,
            penalty_until_ms: 0,
        }
    }
}

/// A picked target, with the candidates that were compared.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The target.
    pub key: TargetKey,
    /// All candidates with the values that were compared.
    pub candidates: Vec<CandidateRecord>,
    /// Name of the rule that decided.
    pub rule: &'static str,
}

/// Targets known to one entry, and the choice among them.
#[derive(Debug)]
pub struct Picker {
    targets: Arena<TargetView>,
    key_of: BTreeMap<String, TargetKey>,
    /// Targets that offer each model or service.
    by_offer: BTreeMap<String, Vec<TargetKey>>,
    offers_of: BTreeMap<TargetKey, Vec<String>>,
    /// Target that was last picked for each prefix.
    warm: BTreeMap<u64, TargetKey>,
    /// Prefixes from the oldest to the newest.
    warm_order: VecDeque<u64>,
    random: fastrand::Rng,
}

impl Picker {
    /// Starts without targets.
    pub fn new(seed: u64) -> Picker {
        Picker {
            targets: Arena::default(),
            key_of: BTreeMap::new(),
            by_offer: BTreeMap::new(),
            offers_of: BTreeMap::new(),
            warm: BTreeMap::new(),
            warm_order: VecDeque::new(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Adds a target or updates its description; its loads are kept unless the incarnation changed.
    pub fn upsert(&mut self, view: TargetView, offers: &[String]) -> TargetKey {
        let key = match self.key_of.get(&view.name).copied() {
            Some(key) => {
                self.update(key, view);
                key
            }
            None => {
                let name = view.name.clone();
                let key = self.targets.insert(view);
                self.key_of.insert(name, key);
                key
            }
        };
        self.set_offers(key, offers);
        key
    }

    fn set_offers(&mut self, key: TargetKey, offers: &[String]) {
        let known = self.offers_of.insert(key, offers.to_vec()).unwrap_or_default();
        for removed in known.iter().filter(|it| !offers.contains(it)) {
            if let Some(keys) = self.by_offer.get_mut(removed) {
                keys.retain(|it| *it != key);
            }
        }
        for added in offers.iter().filter(|it| !known.contains(it)) {
            self.by_offer.entry(added.clone()).or_default().push(key);
        }
    }

    fn update(&mut self, key: TargetKey, view: TargetView) {
        let known = self.targets.get_mut(key);
        if known.incarnation != view.incarnation {
            *known = view;
            return;
        }
        known.agent_address = view.agent_address;
        known.slots = view.slots;
        known.is_local = view.is_local;
        known.is_eligible = view.is_eligible;
    }

    /// Makes all targets ineligible; a target becomes eligible when it is added again or by [`Picker::set_eligible`].
    pub fn set_all_ineligible(&mut self) {
        for key in self.key_of.values() {
            self.targets.get_mut(*key).is_eligible = false;
        }
    }

    /// Sets whether a target may get new work.
    pub fn set_eligible(&mut self, name: &str, is_eligible: bool) {
        if let Some(key) = self.key_of.get(name) {
            self.targets.get_mut(*key).is_eligible = is_eligible;
        }
    }

    /// Returns the view of a target.
    pub fn view(&self, key: TargetKey) -> &TargetView {
        self.targets.get(key)
    }

    /// Key of a target by its name.
    pub fn key(&self, name: &str) -> Option<TargetKey> {
        self.key_of.get(name).copied()
    }

    /// Whether any known target, eligible or not, offers a model or service.
    pub fn is_offered(&self, offer: &str) -> bool {
        self.by_offer.get(offer).is_some_and(|it| !it.is_empty())
    }

    /// Picks a target that offers a model or service, except those already tried.
    pub fn pick(
        &mut self,
        offer: &str,
        prefix: u64,
        tried: &[TargetKey],
        now_ms: u64,
    ) -> Option<Pick> {
        let local = self.sample(offer, tried, now_ms, true);
        let warm =
            self.warm.get(&prefix).copied().filter(|it| self.can_pick(*it, offer, tried, now_ms));
        let mut keys = local;
        let local_best = keys.iter().map(|it| self.load(*it, now_ms)).fold(f64::INFINITY, f64::min);
        if local_best >= SPILLOVER_LOAD {
            keys.extend(self.sample(offer, tried, now_ms, false));
        }
        if let Some(warm) = warm
            && !keys.contains(&warm)
        {
            keys.push(warm);
        }
        self.choose(&keys, warm, prefix, now_ms)
    }

    fn can_pick(&self, key: TargetKey, offer: &str, tried: &[TargetKey], now_ms: u64) -> bool {
        let view = self.targets.get(key);
        let offers = self.offers_of.get(&key).is_some_and(|it| it.iter().any(|it| it == offer));
        offers && view.is_eligible && view.penalty_until_ms <= now_ms && !tried.contains(&key)
    }

    /// Draws candidates in the own data centre or in the others. Scans all targets only when every random draw hit an
    /// unusable one.
    fn sample(
        &mut self,
        offer: &str,
        tried: &[TargetKey],
        now_ms: u64,
        is_local: bool,
    ) -> Vec<TargetKey> {
        let Some(keys) = self.by_offer.get(offer) else {
            return Vec::new();
        };
        let targets = &self.targets;
        let is_usable = |key: &TargetKey| {
            let view = targets.get(*key);
            let has_no_penalty = view.penalty_until_ms <= now_ms;
            view.is_eligible && has_no_penalty && view.is_local == is_local && !tried.contains(key)
        };
        let mut drawn = Vec::new();
        for _ in 0..4 * SAMPLED_CANDIDATES {
            if keys.is_empty() || drawn.len() == SAMPLED_CANDIDATES {
                break;
            }
            let key = keys[self.random.usize(0..keys.len())];
            if is_usable(&key) && !drawn.contains(&key) {
                drawn.push(key);
            }
        }
        if drawn.is_empty() {
            drawn.extend(keys.iter().copied().filter(is_usable).take(SAMPLED_CANDIDATES));
        }
        drawn
    }

    /// Expected requests per slot. Without a recent report, only the entry's own open requests are known.
    fn load(&self, key: TargetKey, now_ms: u64) -> f64 {
        let view = self.targets.get(key);
        let is_recent = view.reported_ms + REPORT_MAX_AGE_MS > now_ms;
        let expected = match is_recent {
            true => view.reported + view.unacknowledged,
            false => view.own_open,
        };
        f64::from(expected) / f64::from(view.slots.max(1))
    }

    fn choose(
        &mut self,
        keys: &[TargetKey],
        warm: Option<TargetKey>,
        prefix: u64,
        now_ms: u64,
    ) -> Option<Pick> {
        let mut candidates = Vec::new();
        let mut best: Option<(f64, TargetKey)> = None;
        for key in keys {
            let bonus = if Some(*key) == warm { PREFIX_BONUS } else { 0.0 };
            let score = self.load(*key, now_ms) - bonus;
            let view = self.targets.get(*key);
            candidates.push(CandidateRecord {
                target: view.name.clone(),
                reported: view.reported,
                own_since: view.unacknowledged,
                report_age_ms: now_ms.saturating_sub(view.reported_ms),
                score,
            });
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, *key));
            }
        }
        let (_, key) = best?;
        let rule = match warm {
            Some(warm) if warm == key => "warm_prefix",
            Some(_) => "least_load_over_warm_prefix",
            None => "least_load_of_sample",
        };
        self.remember_prefix(prefix, key);
        Some(Pick { key, candidates, rule })
    }

    fn remember_prefix(&mut self, prefix: u64, key: TargetKey) {
        if prefix == 0 {
            return;
        }
        if self.warm.insert(prefix, key).is_none() {
            self.warm_order.push_back(prefix);
        }
        if self.warm_order.len() > PREFIXES_MAX
            && let Some(oldest) = self.warm_order.pop_front()
        {
            self.warm.remove(&oldest);
        }
    }

    /// Counts a dispatch.
    pub fn note_dispatch(&mut self, key: TargetKey) {
        let view = self.targets.get_mut(key);
        view.unacknowledged += 1;
        view.own_open += 1;
    }

    /// Counts the first answer to a dispatch; the load reported from now on includes it.
    pub fn note_acknowledged(&mut self, key: TargetKey) {
        let view = self.targets.get_mut(key);
        view.unacknowledged = view.unacknowledged.saturating_sub(1);
    }

    /// Counts the end of a request.
    pub fn note_end(&mut self, key: TargetKey) {
        let view = self.targets.get_mut(key);
        view.own_open = view.own_open.saturating_sub(1);
    }

    /// Records the load that came with an answer.
    pub fn note_load(&mut self, key: TargetKey, running_and_queued: u32, now_ms: u64) {
        let view = self.targets.get_mut(key);
        view.reported = running_and_queued;
        view.reported_ms = now_ms;
    }

    /// Excludes a target from picks for [`PENALTY_MS`].
    pub fn penalize(&mut self, key: TargetKey, now_ms: u64) {
        self.targets.get_mut(key).penalty_until_ms = now_ms + PENALTY_MS;
    }
}
