//! Which services are admitted by priority.

use std::collections::BTreeSet;

use crate::document::Engine;
use crate::routes::RouteTable;

/// What of a document decides on admission to a service's group.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfiguration {
    /// Name of the service.
    pub service: String,
    /// Engine of its targets.
    pub engine: Engine,
    /// Shortest objective for the pause between events among its routes, in milliseconds.
    pub gap_objective_ms: f64,
}

/// Returns the services with an engine whose routes have an objective for pauses and more than one priority.
pub fn configurations(routes: &RouteTable) -> Vec<AdmissionConfiguration> {
    let with_engine = routes.services().filter_map(|it| Some((it, it.engine?)));
    let configurations = with_engine.filter_map(|(service, engine)| {
        let of_service = || routes.routes_to(&service.name);
        let priorities: BTreeSet<u8> = of_service().map(|it| it.priority).collect();
        let gap_objective_ms = of_service().filter_map(|it| it.gap_objective_ms).min()? as f64;
        let service = service.name.clone();
        (priorities.len() > 1).then_some(AdmissionConfiguration {
            service,
            engine,
            gap_objective_ms,
        })
    });
    configurations.collect()
}
