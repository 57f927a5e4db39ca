//! Checks of documents beyond those for which the control API rejects them, one test for each finding, which guards
//! against a flaw of that kind that is not shown.
#![allow(clippy::unwrap_used)]

use bilberryloft_routing::document::Document;
use bilberryloft_routing::document::RequestKind;
use bilberryloft_routing::document::Route;
use bilberryloft_routing::document::Service;
use bilberryloft_routing::document::Share;
use bilberryloft_routing::document::TeamKeys;
use bilberryloft_routing::document_check::DifferenceKind;
use bilberryloft_routing::document_check::FindingKind;
use bilberryloft_routing::document_check::find_differences;
use bilberryloft_routing::document_check::find_flaws;
use bilberryloft_routing::document_check::find_old_version;

fn route(name: &str) -> Route {
    Route {
        name: name.to_string(),
        host: "site.example".to_string(),
        path_prefix: format!("/{name}/"),
        kind: RequestKind::Stream,
        timeout_ms: 4_000,
        objective_ms: 400,
        gap_objective_ms: Some(120),
        priority: 1,
        shares: vec![Share { service: "writer".to_string(), weight: 1 }],
        attempts_max: 1,
        is_public: false,
        is_resumable: false,
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.to_string(),
        connections_max: 400,
        engine: None,
        cold_start: None,
        distances: Vec::new(),
    }
}

fn team(name: &str, keys: &[&str]) -> TeamKeys {
    let keys = keys.iter().map(|it| it.to_string()).collect();
    TeamKeys { name: name.to_string(), keys, priority: None }
}

fn document() -> Document {
    Document {
        version: 1,
        routes: vec![route("a")],
        services: vec![service("writer")],
        teams: Some(vec![team("depot", &["key-1"])]),
        ..Document::default()
    }
}

fn changed(change: impl FnOnce(&mut Document)) -> Document {
    let mut document = document();
    change(&mut document);
    assert_eq!(document.check(), Ok(()), "the control API accepts it");
    document
}

fn expect(document: &Document, kind: FindingKind, object: &str) {
    let findings = find_flaws(document, Some(112 << 20));
    let found: Vec<_> = findings.iter().map(|it| (it.kind, it.object.as_str())).collect();
    assert_eq!(found, [(kind, object)], "{findings:?}");
}

/// Guards against findings in a document without flaws.
#[test]
fn find_flaws_sound() {
    assert_eq!(find_flaws(&document(), Some(112 << 20)), []);
}

#[test]
fn find_flaws_shadowed_route() {
    let document = changed(|it| {
        let other = Route { host: "SITE.example".to_string(), ..route("b") };
        it.routes.push(Route { path_prefix: "/a/".to_string(), ..other });
    });
    expect(&document, FindingKind::ShadowedRoute, "route \"a\"");
}

#[test]
fn find_flaws_host_with_port() {
    let document = changed(|it| it.routes[0].host = "site.example:80".to_string());
    expect(&document, FindingKind::HostWithPort, "route \"a\"");
}

#[test]
fn find_flaws_team_without_keys() {
    let document = changed(|it| it.teams = Some(vec![team("harbour", &[])]));
    expect(&document, FindingKind::TeamWithoutKeys, "team \"harbour\"");
}

#[test]
fn find_flaws_service_without_route() {
    let document = changed(|it| it.services.push(service("plain")));
    expect(&document, FindingKind::ServiceWithoutRoute, "service \"plain\"");
}

#[test]
fn find_flaws_share_without_weight() {
    let document = changed(|it| {
        it.routes[0].shares.push(Share { service: "writer".to_string(), weight: 0 });
    });
    expect(&document, FindingKind::ShareWithoutWeight, "route \"a\"");
}

#[test]
fn find_flaws_objective_over_timeout() {
    let document = changed(|it| it.routes[0].objective_ms = 4_001);
    expect(&document, FindingKind::ObjectiveOverTimeout, "route \"a\"");
}

#[test]
fn find_flaws_pause_over_timeout() {
    let document = changed(|it| it.routes[0].gap_objective_ms = Some(4_001));
    expect(&document, FindingKind::PauseOverTimeout, "route \"a\"");
}

#[test]
fn find_flaws_body_over_memory() {
    let document = changed(|it| it.limits.body_bytes_max = 113 << 20);
    expect(&document, FindingKind::BodyOverMemory, "limits");
}

#[test]
fn find_old_version_of_equal_version() {
    let finding = find_old_version(&document(), &document()).unwrap();
    assert_eq!(finding.kind, FindingKind::OldVersion);
    assert_eq!(find_old_version(&document(), &changed(|it| it.version = 2)), None);
}

/// Guards against differences that are missed, and against keys that are printed.
#[test]
fn find_differences_by_name() {
    let after = changed(|it| {
        it.routes[0].timeout_ms = 5_000;
        it.routes.push(route("b"));
        it.teams = Some(vec![team("depot", &["key-1", "key-2"])]);
        it.services.push(service("plain"));
    });
    let differences = find_differences(&document(), &after);
    let found: Vec<_> = differences.iter().map(|it| (it.object.as_str(), it.kind)).collect();
    let expected = [
        ("route \"a\"", DifferenceKind::Changed),
        ("route \"b\"", DifferenceKind::Added),
        ("service \"plain\"", DifferenceKind::Added),
        ("team \"depot\"", DifferenceKind::Changed),
    ];
    assert_eq!(found, expected);
    assert_eq!(differences[0].fields, ["timeout_ms: 4000 -> 5000"]);
    assert_eq!(differences[3].fields, ["keys: 1 -> 2"]);
    let back = find_differences(&after, &document());
    assert_eq!(back[1].kind, DifferenceKind::Removed);
    assert_eq!(find_differences(&after, &after), []);
}
