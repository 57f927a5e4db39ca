//! Decision whether requests leave the data centre of their entry, and what share of them does.
//!
//! Each entry decides for itself, by service, from the loads that all entries report. Without a price, a target in another
//! data centre costs the same small number of requests whatever its distance. With a price, it costs the time on the
//! way and the price of the bytes, in units of the time that one more request adds at a target. Data centres that
//! cost more than the constant are far: they get only a share of the requests, which follows their advantage slowly
//! and with hysteresis, and what has no place here.

pub mod cost;
pub mod places;
pub mod share;

use std::collections::BTreeMap;

use crate::remote::cost::RequestSize;
use crate::remote::places::Places;
use crate::remote::share::AwayReason;
use crate::remote::share::AwayShare;
use crate::remote::share::ShareInput;

/// Cost of a target in another data centre without a price, in requests: it may be that much less busy and still not be
/// preferred.
pub const COST_WITHOUT_PRICE: f64 = 0.4;
/// Part of the slots of a far target that is left to the callers of its data centre: one in this many, at least one.
const RESERVED_SLOTS_DIVISOR: u32 = 4;

/// Load of the targets of a service in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DataCenterLoad {
    /// Targets that may get requests and are not cold.
    pub targets: u32,
    /// Sum of their scores: their requests, each weighted by the slowness of its target.
    pub requests: f64,
    /// Whether entries there have reported lately, so that the load is known.
    pub is_known: bool,
}

impl DataCenterLoad {
    /// Returns the mean load of a target; `None` without targets.
    pub fn mean(&self) -> Option<f64> {
        (self.targets > 0).then(|| self.requests / f64::from(self.targets))
    }
}

/// How a request's target was chosen among data centres, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AwayChoice {
    /// Whether the target is in another data centre.
    pub is_away: bool,
    /// Share of the requests that may go to far data centres.
    pub share: f64,
    /// Reason for that share, or that the targets here are full.
    pub reason: AwayReason,
}

/// Beginning or end of sending requests of a service to far data centres.
#[derive(Clone, Debug, PartialEq)]
pub struct AwayChange {
    /// Name of the service.
    pub service: String,
    /// Whether it begins.
    pub begins: bool,
    /// Share of the requests that may go to far data centres.
    pub share: f64,
    /// Reason for the change.
    pub reason: AwayReason,
    /// Mean load of a target here, in requests.
    pub load_here: Option<f64>,
    /// Load from which a far data centre is better, in requests: its own and its cost.
    pub load_there: Option<f64>,
    /// Far data centre with the lowest one.
    pub data_center: Option<String>,
}

/// State of the decision for one service.
#[derive(Clone, Debug, Default)]
pub struct RemoteTraffic {
    /// Cost of a target in each other data centre, in requests.
    costs: BTreeMap<String, f64>,
    size: RequestSize,
    away: AwayShare,
}

impl RemoteTraffic {
    /// Adds a request that was answered.
    pub fn record(&mut self, bytes: usize, elapsed_ms: f64) {
        self.size.record(bytes, elapsed_ms);
    }

    /// Returns what is known of a request of the service.
    pub fn size(&self) -> &RequestSize {
        &self.size
    }

    /// Returns the cost of a target in a data centre, in requests.
    pub fn cost(&self, data_center: &str, places: &Places) -> f64 {
        match data_center == places.own() {
            true => 0.0,
            false => self.costs.get(data_center).copied().unwrap_or(COST_WITHOUT_PRICE),
        }
    }

    /// Returns whether a data centre costs more than the constant.
    pub fn is_far(&self, data_center: &str, places: &Places) -> bool {
        self.cost(data_center, places) > COST_WITHOUT_PRICE
    }

    /// Returns whether any data centre is far.
    pub fn has_far(&self) -> bool {
        self.costs.values().any(|it| *it > COST_WITHOUT_PRICE)
    }

    /// Returns the share of the requests that may go to far data centres, and the reason for it.
    pub fn away(&self) -> (f64, AwayReason) {
        (self.away.share(), self.away.reason())
    }

    /// Computes the costs and the share anew. `per_request_ms` is the time that one more request adds at a target.
    pub fn update(
        &mut self,
        service: &str,
        loads: &BTreeMap<String, DataCenterLoad>,
        places: &Places,
        per_request_ms: Option<f64>,
        now_ms: u64,
    ) -> Option<AwayChange> {
        let others = loads.keys().filter(|it| *it != places.own());
        self.costs = others
            .map(|it| (it.clone(), places.cost_requests(it, &self.size, per_request_ms)))
            .collect();
        let input = self.share_input(loads, places);
        let begins = self.away.update(&input, self.size.elapsed_ms(), now_ms)?;
        let (share, reason) = self.away();
        Some(AwayChange {
            service: service.to_string(),
            begins,
            share,
            reason,
            load_here: input.load_here,
            load_there: input.load_there,
            data_center: input.data_center,
        })
    }

    fn share_input(&self, loads: &BTreeMap<String, DataCenterLoad>, places: &Places) -> ShareInput {
        let mut input = ShareInput { has_far: self.has_far(), ..ShareInput::default() };
        let mut near = DataCenterLoad::default();
        for (data_center, load) in loads {
            if !self.is_far(data_center, places) {
                near.targets += load.targets;
                near.requests += load.requests;
                continue;
            }
            let Some(mean) = load.mean().filter(|_| load.is_known) else {
                continue;
            };
            let from = mean + self.cost(data_center, places);
            if input.load_there.is_none_or(|it| from < it) {
                input.load_there = Some(from);
                input.targets_there = load.targets;
                input.data_center = Some(data_center.clone());
            }
        }
        input.load_here = near.mean();
        input.targets_here = near.targets;
        input
    }
}

/// Returns the load up to which a far target gets requests. The rest of its slots, and its queue, are left to the callers of
/// its data centre: they would otherwise be driven out and take the places of others in turn.
pub fn far_load_max(load_max: u32, slots: u32) -> u32 {
    let load_max = load_max.min(slots);
    load_max.saturating_sub((load_max / RESERVED_SLOTS_DIVISOR).max(1))
}
