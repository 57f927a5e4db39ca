//! Entries of a document that never match.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::document::Document;
use crate::document::Route;
use crate::document_check::Finding;
use crate::document_check::FindingKind;

/// Finds routes, teams, services and shares that no request ever reaches.
pub(super) fn find(document: &Document) -> Vec<Finding> {
    let mut findings = shadowed_routes(&document.routes);
    findings.extend(document.routes.iter().filter(|it| it.host.contains(':')).map(|route| {
        Finding {
            kind: FindingKind::HostWithPort,
            object: format!("route {:?}", route.name),
            text: format!(
                "host {:?} has a port; requests are matched by the name alone",
                route.host
            ),
        }
    }));
    findings.extend(teams_without_keys(document));
    findings.extend(services_without_route(document));
    findings.extend(document.routes.iter().flat_map(shares_without_weight));
    findings
}

/// Hosts are compared without regard to case, and the last of two equal routes counts.
fn shadowed_routes(routes: &[Route]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut seen: BTreeMap<(String, &str), &str> = BTreeMap::new();
    for route in routes {
        let key = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(shadowed) = seen.insert(key, &route.name) {
            findings.push(Finding {
                kind: FindingKind::ShadowedRoute,
                object: format!("route {shadowed:?}"),
                text: format!(
                    "route {:?} has the same host and prefix {:?}, and gets its requests",
                    route.name, route.path_prefix
                ),
            });
        }
    }
    findings
}

fn teams_without_keys(document: &Document) -> impl Iterator<Item = Finding> {
    let teams = document.teams.iter().flatten().filter(|it| it.keys.is_empty());
    teams.map(|team| Finding {
        kind: FindingKind::TeamWithoutKeys,
        object: format!("team {:?}", team.name),
        text: "it has no keys, so no caller belongs to it".to_string(),
    })
}

fn services_without_route(document: &Document) -> impl Iterator<Item = Finding> {
    let shares = document.routes.iter().flat_map(|it| &it.shares);
    let used: BTreeSet<&str> =
        shares.filter(|it| it.weight > 0).map(|it| it.service.as_str()).collect();
    let unused = document.services.iter().filter(move |it| !used.contains(it.name.as_str()));
    unused.map(|service| Finding {
        kind: FindingKind::ServiceWithoutRoute,
        object: format!("service {:?}", service.name),
        text: "no route sends requests to it".to_string(),
    })
}

fn shares_without_weight(route: &Route) -> impl Iterator<Item = Finding> {
    let shares = route.shares.iter().filter(|it| it.weight == 0);
    shares.map(|share| Finding {
        kind: FindingKind::ShareWithoutWeight,
        object: format!("route {:?}", route.name),
        text: format!("the share of service {:?} has a weight of 0", share.service),
    })
}
