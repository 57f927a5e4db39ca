//! Targets by data centre: what is learned of them, and which requests leave the entry's data centre.

use std::collections::BTreeMap;

use crate::failing::is_ejected;
use crate::learned::AnswerSample;
use crate::learned::UsualTarget;
use crate::remote::AwayChange;
use crate::remote::AwayChoice;
use crate::remote::COST_WITHOUT_PRICE;
use crate::remote::DataCenterLoad;
use crate::remote::RemoteTraffic;
use crate::remote::far_load_max;
use crate::remote::places::Places;
use crate::remote::share::AwayReason;
use crate::remote::share::STEP_MS;
use crate::selection::PickLimits;
use crate::selection::TargetKey;
use crate::sharing_entries::ACTIVE_MS;
use crate::target::Target;
use crate::targets::AttemptOutcome;
use crate::targets::TargetTable;

/// Time for which the medians over the targets of a service are used, in milliseconds.
const USUAL_VALID_MS: u64 = 200;
/// Time until they are computed again while too few targets have answered, in milliseconds. Until then, a target that
/// fails at once is not found.
const USUAL_UNKNOWN_MS: u64 = 20;

/// Time of a request that is assumed while too few targets have answered, in milliseconds.
const USUAL_ASSUMED_MS: f64 = 1_000.0;
/// Time after the first request of a service for which it is assumed, in milliseconds.
const ASSUMED_UNTIL_MS: u64 = 2_000;

/// What an entry has learned of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct LearnedService {
    usual: UsualTarget,
    usual_ms: Option<u64>,
    first_start_ms: Option<u64>,
    remote: RemoteTraffic,
    idle_load: f64,
}

/// Share of the requests of a service that may go to far data centres, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct AwayRow {
    /// Name of the service.
    pub service: String,
    /// The share.
    pub share: f64,
    /// Reason for it.
    pub reason: AwayReason,
    /// Cost of a target in each other data centre, in requests.
    pub costs: BTreeMap<String, f64>,
}

/// Where one request may go.
pub(super) enum Reach {
    /// Anywhere: no data centre is far, or the request belongs to the share that is sent away.
    Anywhere,
    /// To far data centres only if the targets here are full.
    HereFirst,
}

impl TargetTable {
    /// Changes what is known of data centres: distances, regions and the price of bytes between them.
    pub fn places_mut(&mut self) -> &mut Places {
        &mut self.places
    }

    /// Records in which data centre another entry is, whose report has just arrived.
    pub fn record_entry_data_center(&mut self, data_center: &str, now_ms: u64) {
        self.heard_data_centers.insert(data_center.to_string(), now_ms);
    }

    /// Records an answer that ended in good order; returns what it says of the target's health.
    pub fn record_answer(
        &mut self,
        key: TargetKey,
        sample: &AnswerSample,
        now_ms: u64,
    ) -> AttemptOutcome {
        let service = self.targets[key.0].info.service.clone();
        self.refresh_usual(&service, now_ms);
        let learned = self.learned.entry(service).or_default();
        learned.remote.record(sample.request_bytes + sample.answer_bytes, sample.elapsed_ms);
        let target = &mut self.targets[key.0];
        let way_ms = self.places.round_trip_ms(&target.info.data_center);
        let sample = AnswerSample { elapsed_ms: (sample.elapsed_ms - way_ms).max(0.0), ..*sample };
        match target.learned.record(&sample, &learned.usual, now_ms) {
            true => AttemptOutcome::Truncated,
            false => AttemptOutcome::Success,
        }
    }

    /// Computes the medians over the targets of a service anew if they are too old.
    fn refresh_usual(&mut self, service: &str, now_ms: u64) {
        let learned = self.learned.entry(service.to_string()).or_default();
        let valid_ms = match learned.usual.line {
            Some(_) => USUAL_VALID_MS,
            None => USUAL_UNKNOWN_MS,
        };
        if learned.usual_ms.is_some_and(|it| it + valid_ms > now_ms) {
            return;
        }
        learned.usual_ms = Some(now_ms);
        let keys = self.by_service.get(service).into_iter().flatten();
        learned.usual = UsualTarget::of(keys.map(|it| &self.targets[it.0].learned));
        let first_start_ms = *learned.first_start_ms.get_or_insert(now_ms);
        if learned.usual.mean_ms.is_none() && now_ms < first_start_ms + ASSUMED_UNTIL_MS {
            learned.usual.mean_ms = Some(USUAL_ASSUMED_MS);
        }
    }

    /// Returns the usual time of a request at the targets of a service, in milliseconds, if it is known.
    pub fn usual_ms(&mut self, service: &str, now_ms: u64) -> Option<f64> {
        self.refresh_usual(service, now_ms);
        self.learned.get(service)?.usual.mean_ms
    }

    /// Returns the part of a target's score that depends on its load: the time of a pass for ranks, and otherwise its
    /// requests, by the time that they take there.
    pub(super) fn load_score(
        &self,
        target: &Target,
        limits: &PickLimits,
        slowness: f64,
        now_ms: u64,
    ) -> f64 {
        let usual = self.learned.get(&target.info.service).map(|it| it.usual).unwrap_or_default();
        let load = target.learned.counted_load(target.load(), &usual, now_ms);
        if limits.idle_load > 0.0 {
            return slowness * (limits.idle_load + load);
        }
        let learned = target.learned.slowness(target.load() + 1, &usual, now_ms);
        slowness * learned * (load + 1.0) - 1.0
    }

    /// Records that a request is sent to a target.
    pub(super) fn record_start(&mut self, key: TargetKey, now_ms: u64) {
        let service = self.targets[key.0].info.service.clone();
        self.refresh_usual(&service, now_ms);
        let target = &mut self.targets[key.0];
        let usual = self.learned.get(&service).and_then(|it| it.usual.mean_ms);
        if let Some(usual_ms) = usual {
            target.learned.starts.record(usual_ms, now_ms);
        }
    }

    fn remote(&self, service: &str) -> Option<&RemoteTraffic> {
        self.learned.get(service).map(|it| &it.remote)
    }

    /// Returns the cost of a target by its data centre, in requests, less that of one elsewhere without a price.
    pub(super) fn remote_cost(&self, target: &Target) -> f64 {
        let data_center = target.info.data_center.as_str();
        let cost = match self.remote(&target.info.service) {
            Some(remote) => remote.cost(data_center, &self.places),
            None if data_center == self.places.own() => 0.0,
            None => COST_WITHOUT_PRICE,
        };
        cost - COST_WITHOUT_PRICE
    }

    /// Returns the load up to which a target gets requests of this entry.
    pub(super) fn load_max_of(&self, target: &Target, load_max: u32) -> u32 {
        match self.is_far(target) {
            true => far_load_max(load_max, target.info.slots),
            false => load_max,
        }
    }

    pub(super) fn is_far(&self, target: &Target) -> bool {
        let remote = self.remote(&target.info.service);
        remote.is_some_and(|it| it.is_far(&target.info.data_center, &self.places))
    }

    /// Decides where a request may go, by a draw if a share of the requests is sent to far data centres.
    pub(super) fn reach(
        &mut self,
        service: &str,
        limits: &PickLimits,
        draw: &mut impl FnMut() -> f64,
    ) -> Reach {
        let Some(learned) = self.learned.get_mut(service) else {
            return Reach::Anywhere;
        };
        learned.idle_load = limits.idle_load;
        match learned.remote.has_far() && draw() >= learned.remote.away().0 {
            true => Reach::HereFirst,
            false => Reach::Anywhere,
        }
    }

    /// Returns how a target was chosen among data centres.
    pub(super) fn away_choice(&self, key: TargetKey, reach: &Reach) -> AwayChoice {
        let target = &self.targets[key.0];
        let is_away = target.info.data_center != self.places.own();
        let (share, reason) =
            self.remote(&target.info.service).map(|it| it.away()).unwrap_or_default();
        let reason = match reach {
            Reach::HereFirst if self.is_far(target) => AwayReason::FullHere,
            Reach::HereFirst | Reach::Anywhere => reason,
        };
        AwayChoice { is_away, share, reason }
    }

    /// Decides anew what share of each service's requests may go to far data centres; returns the changes to be
    /// reported.
    pub fn update_remote(&mut self, now_ms: u64) -> Vec<AwayChange> {
        if !self.places.has_price() || self.remote_due_ms > now_ms {
            return Vec::new();
        }
        self.remote_due_ms = now_ms + STEP_MS;
        let mut changes = Vec::new();
        for service in self.by_service.keys().cloned().collect::<Vec<_>>() {
            self.refresh_usual(&service, now_ms);
            let loads = self.data_center_loads(&service, now_ms);
            let Some(learned) = self.learned.get_mut(&service) else {
                continue;
            };
            let per_request_ms = per_request_ms(learned, &loads);
            let change =
                learned.remote.update(&service, &loads, &self.places, per_request_ms, now_ms);
            changes.extend(change);
        }
        changes
    }

    /// Returns the share of each service's requests that may go to far data centres.
    pub fn away_rows(&self) -> Vec<AwayRow> {
        let row = |(service, learned): (&String, &LearnedService)| {
            let (share, reason) = learned.remote.away();
            let others = self.by_service.get(service).into_iter().flatten();
            let others = others.map(|it| &self.targets[it.0].info.data_center);
            let costs = others.filter(|it| *it != self.places.own());
            let cost = |it: &String| (it.clone(), learned.remote.cost(it, &self.places));
            AwayRow { service: service.clone(), share, reason, costs: costs.map(cost).collect() }
        };
        self.learned.iter().map(row).collect()
    }

    /// Returns the load of a service's targets by data centre.
    fn data_center_loads(&self, service: &str, now_ms: u64) -> BTreeMap<String, DataCenterLoad> {
        let usual = self.learned.get(service).map(|it| it.usual).unwrap_or_default();
        let mut loads: BTreeMap<String, DataCenterLoad> = BTreeMap::new();
        for key in self.by_service.get(service).into_iter().flatten() {
            let target = &self.targets[key.0];
            let data_center = &target.info.data_center;
            let load = loads.entry(data_center.clone()).or_default();
            load.is_known = self.is_load_known(data_center, now_ms);
            let is_usable = target.is_eligible(now_ms)
                && !target.is_resting(now_ms)
                && target.info.cold_for_ms == 0
                && !is_ejected(target.failure_rate(now_ms));
            if is_usable {
                let slowness = target.learned.slowness(target.load() + 1, &usual, now_ms);
                load.targets += 1;
                load.requests += slowness * (f64::from(target.load()) + 1.0) - 1.0;
            }
        }
        loads
    }

    /// Returns whether the loads of a data centre's targets are known: its entries have reported lately, or it has none.
    fn is_load_known(&self, data_center: &str, now_ms: u64) -> bool {
        let heard_ms = self.heard_data_centers.get(data_center);
        data_center == self.places.own() || heard_ms.is_none_or(|it| it + ACTIVE_MS > now_ms)
    }
}

/// Returns the time that one more request adds at a target, in milliseconds. One at the busiest rank of a lock-step group
/// lengthens the passes of all streams, so balance among ranks is worth more than bytes.
/// A plain target that is not slowed down by its requests runs as many of them at once as it has now.
fn per_request_ms(
    learned: &LearnedService,
    loads: &BTreeMap<String, DataCenterLoad>,
) -> Option<f64> {
    let elapsed_ms = learned.remote.size().elapsed_ms()?;
    let targets: u32 = loads.values().map(|it| it.targets).sum();
    let requests: f64 = loads.values().map(|it| it.requests).sum();
    let mean_load = requests / f64::from(targets.max(1));
    let shared_ms = elapsed_ms / (learned.idle_load + mean_load + 1.0);
    let measured_ms = learned.usual.line.map_or(0.0, |it| it.per_request_ms);
    let is_group = learned.idle_load > 0.0;
    Some(if is_group { shared_ms * requests.max(1.0) } else { shared_ms.max(measured_ms) })
}
