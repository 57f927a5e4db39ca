//! Evacuations of data centres at one daemon: those that it holds, and orders of operators that it proposes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use axum::http::StatusCode;
use bilberryloft_state::evacuation::Evacuation;
use bilberryloft_state::evacuation::EvacuationOrder;
use bilberryloft_state::evacuation::ListedEvacuation;
use bilberryloft_state::evacuation::OrderOutcome;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use tokio::time::Instant;

use crate::events::Event;
use crate::log_event;
use crate::shared::Shared;

/// Time for which an order may be decided; operators wait for one second.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before an order is proposed. An operator that has given up closes its connection, which ends the call. A daemon
/// that was frozen could otherwise propose an order after later ones.
const ABANDONED_PAUSE: Duration = Duration::from_millis(5);
/// Age up to which the daemon's list of targets decides that a data centre is unknown, in milliseconds.
const KNOWLEDGE_AGE_MAX_MS: u64 = 3_000;

/// State of a data centre as an update said it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldEvacuation {
    /// State of the data centre.
    pub state: Evacuation,
    /// Daemon's time of the change, in milliseconds; never before the change itself.
    pub changed_local_ms: u64,
}

/// Evacuations that a daemon holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldEvacuations {
    /// Version of the evacuations.
    pub version: u64,
    /// States by data centre.
    pub by_data_center: BTreeMap<String, HeldEvacuation>,
}

impl HeldEvacuations {
    /// Creates the states that an update named at the daemon's time `now_ms`.
    pub fn new(version: u64, listed: Vec<ListedEvacuation>, now_ms: u64) -> HeldEvacuations {
        let held = |it: ListedEvacuation| {
            let changed_local_ms = now_ms.saturating_sub(it.age_ms);
            (it.data_center, HeldEvacuation { state: it.state, changed_local_ms })
        };
        HeldEvacuations { version, by_data_center: listed.into_iter().map(held).collect() }
    }

    /// Returns the data centres that are evacuated.
    pub fn evacuated(&self) -> BTreeSet<String> {
        let evacuated = self.by_data_center.iter().filter(|it| it.1.state.is_evacuated);
        evacuated.map(|it| it.0.clone()).collect()
    }

    /// Returns the end of a refusal's text that names the evacuated data centres; empty if there are none.
    pub fn note(&self) -> String {
        let names: Vec<String> = self.evacuated().into_iter().collect();
        if names.is_empty() {
            return String::new();
        }
        format!("; evacuated data centres: {}", names.join(", "))
    }

    /// Returns the version of a data centre's state; 0 if no order has named it.
    pub fn version_of(&self, data_center: &str) -> u64 {
        self.by_data_center.get(data_center).map_or(0, |it| it.state.version)
    }
}

/// Result of an operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The quorum has committed the order, and it is in force.
    InForce(Evacuation),
    /// No data centre has that name.
    UnknownDataCenter,
    /// The daemon knows no data centre of that name, and its knowledge is too old to say that there is none.
    Uninformed,
    /// Later orders for the data centre were committed again and again.
    Superseded(Evacuation),
    /// A member of the quorum runs an earlier version, which cannot read the order.
    EarlierMember,
    /// It is unknown whether the order was committed.
    Unknown {
        /// What went wrong.
        detail: String,
    },
}

impl OrderResult {
    /// Returns the name used in the log.
    pub fn name(&self) -> &'static str {
        match self {
            OrderResult::InForce(_) => "in_force",
            OrderResult::UnknownDataCenter => "unknown_data_center",
            OrderResult::Uninformed => "uninformed",
            OrderResult::Superseded(_) => "superseded",
            OrderResult::EarlierMember => "earlier_member",
            OrderResult::Unknown { .. } => "unknown",
        }
    }

    /// Returns the status of the response to the operator.
    pub fn status(&self) -> StatusCode {
        match self {
            OrderResult::InForce(_) => StatusCode::OK,
            OrderResult::UnknownDataCenter => StatusCode::NOT_FOUND,
            OrderResult::Uninformed
            | OrderResult::Superseded(_)
            | OrderResult::EarlierMember
            | OrderResult::Unknown { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the text for operators.
    pub fn text(&self, data_center: &str) -> String {
        match self {
            OrderResult::InForce(_) => "the order is in force".to_string(),
            OrderResult::UnknownDataCenter => format!("there is no data centre {data_center:?}"),
            OrderResult::Uninformed => format!(
                "this entry knows no data centre {data_center:?} and has no contact with the quorum; send the order again"
            ),
            OrderResult::Superseded(_) => {
                "other orders for the data centre were committed first; send the order again"
                    .to_string()
            }
            OrderResult::EarlierMember => {
                "a member of the quorum runs an earlier version that has no evacuations".to_string()
            }
            OrderResult::Unknown { detail } => {
                format!("{detail}; it is unknown whether the order was committed, send it again")
            }
        }
    }
}

/// Proposes an order of an operator until its outcome is known.
pub async fn order(shared: &Shared, data_center: &str, is_evacuated: bool) -> OrderResult {
    let result = match is_known(shared, data_center) {
        true => propose(shared, data_center, is_evacuated).await,
        false => match shared.view.confirmed_age_ms() {
            Some(age_ms) if age_ms <= KNOWLEDGE_AGE_MAX_MS => OrderResult::UnknownDataCenter,
            _ => OrderResult::Uninformed,
        },
    };
    let (version, detail) = match &result {
        OrderResult::InForce(state) | OrderResult::Superseded(state) => (Some(state.version), None),
        OrderResult::Unknown { detail } => (None, Some(detail.as_str())),
        OrderResult::UnknownDataCenter | OrderResult::Uninformed | OrderResult::EarlierMember => {
            (None, None)
        }
    };
    let (outcome, age_ms) = (result.name(), shared.view.confirmed_age_ms());
    log_event!(
        info,
        Event::EvacuationOrdered,
        data_center,
        is_evacuated,
        outcome,
        version,
        detail,
        age_ms
    );
    result
}

/// Returns whether the settings, a target or an earlier order name the data centre.
fn is_known(shared: &Shared, data_center: &str) -> bool {
    let is_in_settings = shared.data_centers.get().is_some_and(|it| it.contains(data_center));
    let has_targets = || {
        let membership = shared.view.membership();
        membership.targets().values().any(|it| it.description.data_center == data_center)
    };
    is_in_settings
        || shared.view.evacuations().by_data_center.contains_key(data_center)
        || has_targets()
}

async fn propose(shared: &Shared, data_center: &str, is_evacuated: bool) -> OrderResult {
    let until = Instant::now() + ORDER_TIMEOUT;
    let mut held_version = shared.view.evacuations().version_of(data_center);
    loop {
        tokio::time::sleep(ABANDONED_PAUSE).await;
        let remaining = until.saturating_duration_since(Instant::now());
        let data_center = data_center.to_string();
        let order = EvacuationOrder { data_center, is_evacuated, held_version };
        let command = Command::Evacuate(order);
        match shared.control.propose(&command, remaining).await {
            Ok(Outcome::Evacuation(OrderOutcome::InForce(state))) => {
                return OrderResult::InForce(state);
            }
            Ok(Outcome::Evacuation(OrderOutcome::Newer(present))) => {
                let version = present.version;
                log_event!(info, Event::EvacuationConflict, held_version, version, is_evacuated);
                if until.saturating_duration_since(Instant::now()) <= ABANDONED_PAUSE {
                    return OrderResult::Superseded(present);
                }
                held_version = version;
            }
            Ok(Outcome::EarlierMember) => return OrderResult::EarlierMember,
            Ok(other) => return OrderResult::Unknown { detail: format!("unexpected {other:?}") },
            Err(error) => return OrderResult::Unknown { detail: error.to_string() },
        }
    }
}
