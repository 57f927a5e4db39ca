//! The operator sends a configuration in which two routes share the same host and prefix, and one that can't be read in
//! full.

use std::sync::Arc;
use std::time::Duration;

use crate::config::KEY;
use crate::config::config;
use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;
use crate::replica::Replica;

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Requests to the route that stands twice.
const REQUESTS: usize = 10;

/// Returns whether the rule held.
pub fn run(record: &Record, trouble: bool) -> bool {
    let mut fleet = Fleet::create(3, 0);
    (0..3).for_each(|idx| fleet.start(idx, true));
    if !fleet.put_config(&config(7), record, Duration::from_secs(15)) {
        crate::cannot_run("the first configuration was not acknowledged");
    }
    let control = (0..3).map(|idx| fleet.control(idx)).collect();
    let _replica = Replica::start("i-board", control, Arc::new(|_| vec![b'x'; 800]), record);
    (0..3).for_each(|idx| fleet.wait_ready(idx, Duration::from_secs(15)));
    std::thread::sleep(Duration::from_secs(4));
    let mut acknowledged = 0;
    if trouble {
        acknowledged += usize::from(put_once(&fleet, &same_place(), "same_place", record));
        std::thread::sleep(2 * TIMEOUT);
    }
    let served = (0..REQUESTS).filter(|it| fetch(&fleet, *it, record) == 200).count();
    record.line(&format!("requests served on /fetch/: {served} of {REQUESTS}"));
    if trouble {
        let body = not_readable();
        acknowledged += usize::from(put_once(&fleet, &body, "not UTF-8", record));
        std::thread::sleep(TIMEOUT);
        for idx in 0..3 {
            let text = fleet.read_config(idx, record).unwrap_or_default();
            record.line(&format!("what was sent, byte for byte: {}", text.as_bytes() == body));
        }
    }
    record.line(&format!("invalid configurations acknowledged: {acknowledged}"));
    acknowledged == 0
}

/// Returns version 8, in which a second route has the host and the prefix of `r-fetch`, and another service.
fn same_place() -> Vec<u8> {
    let text = config(8);
    let route = r#"{"name":"r-fetch","host":"site.example","path_prefix":"/fetch/""#;
    let service = r#"{"name":"board","health_path""#;
    let second = r#"{"name":"r-again","host":"SITE.example","path_prefix":"/fetch/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":400,"priority":1,"service":"other","max_attempts":1,"public":false,"sticky":false}"#;
    let other = r#"{"name":"other","health_path":"/healthz","max_connections":56,"protocol":"h1","tls":false},"#;
    let end = text.find(r#"],"services""#).unwrap_or(0);
    let text = format!("{},{second}{}", &text[..end], &text[end..]);
    assert!(text.contains(route), "the first route is there");
    text.replace(service, &format!("{other}{service}")).into_bytes()
}

/// Returns version 9 with a byte that occurs in no text, in the health path of its service.
fn not_readable() -> Vec<u8> {
    let mut bytes = config(9).into_bytes();
    if let Some(at) = bytes.windows(8).position(|it| it == b"/healthz") {
        bytes[at + 3] = 0xFF;
    }
    bytes
}

fn put_once(fleet: &Fleet, body: &[u8], what: &str, record: &Record) -> bool {
    let address = fleet.control(0);
    let answer = http::call(&address, "PUT", "/bilberryloft/config", &[], body, TIMEOUT);
    let status = answer.map_or(0, |it| it.status);
    record.line(&format!("PUT config ({what}) at edge-a: status {status}"));
    status == 200
}

fn fetch(fleet: &Fleet, number: usize, record: &Record) -> u16 {
    let id = format!("fetch-{number}");
    let headers = [
        ("Host", "site.example"),
        ("Attempt-Id", id.as_str()),
        ("Authorization", KEY),
        ("Deadline-Ms", "1500"),
    ];
    let address = fleet.frontend(number % 3);
    let answer = http::call(&address, "GET", "/fetch/x", &headers, b"", TIMEOUT);
    let status = answer.map_or(0, |it| it.status);
    record.line(&format!("GET /fetch/x ({id}): {status}"));
    status
}
