//! Evacuations of data centres: orders of operators that nothing more be sent to the targets there.
//!
//! A proposal names the version of the data centre's state that its entry held. If a later order has changed the state in
//! the meantime, the proposal changes nothing, so that a late proposal cannot undo a later order.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// State of one data centre that was named in an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Whether the data centre is evacuated.
    pub is_evacuated: bool,
    /// Version of the latest order.
    pub version: u64,
    /// Leader's time at which the evacuation began or ended, in milliseconds since the epoch.
    pub changed_ms: u64,
}

/// An order of an operator, as an entry proposes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// Name of the data centre.
    pub data_center: String,
    /// Whether it is to be evacuated.
    pub is_evacuated: bool,
    /// Version of the data centre's state that the entry held; 0 if it knew none.
    pub held_version: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The order is in force.
    InForce(Evacuation),
    /// A later order says otherwise; the proposal changed nothing.
    Newer(Evacuation),
}

/// State of one data centre in an update for entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEvacuation {
    /// Name of the data centre.
    pub data_center: String,
    /// State of the data centre.
    #[serde(flatten)]
    pub state: Evacuation,
    /// Time since the change by the leaders' clocks, in milliseconds; never more than has passed.
    pub age_ms: u64,
}

/// States of all data centres that were named in an order. Ended evacuations are kept, so that entries learn of their end
/// and late proposals are recognized.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    version: u64,
    by_data_center: BTreeMap<String, Evacuation>,
}

impl Evacuations {
    /// Number of orders so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// States by data centre.
    pub fn by_data_center(&self) -> &BTreeMap<String, Evacuation> {
        &self.by_data_center
    }

    /// Returns the states with their ages at the given time of the leader.
    pub fn listed(&self, now_ms: u64) -> Vec<ListedEvacuation> {
        let listed = self.by_data_center.iter().map(|(data_center, state)| ListedEvacuation {
            data_center: data_center.clone(),
            state: *state,
            age_ms: now_ms.saturating_sub(state.changed_ms),
        });
        listed.collect()
    }

    /// Decides an order. One that repeats the present state gets a new version, too: a proposal for the opposite that was
    /// made before it would otherwise still fit.
    pub fn decide(&mut self, order: &EvacuationOrder, now_ms: u64) -> OrderOutcome {
        let present = self.by_data_center.get(&order.data_center).copied().unwrap_or_default();
        let is_repeated = present.version > 0 && present.is_evacuated == order.is_evacuated;
        if !is_repeated && present.version > order.held_version {
            return OrderOutcome::Newer(present);
        }
        self.version += 1;
        let changed_ms = if is_repeated { present.changed_ms } else { now_ms };
        let state =
            Evacuation { is_evacuated: order.is_evacuated, version: self.version, changed_ms };
        self.by_data_center.insert(order.data_center.clone(), state);
        OrderOutcome::InForce(state)
    }
}
