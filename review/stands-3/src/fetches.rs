//! Requests on routes of one service, and a look at which configuration is in force.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;
use crate::replica::Answer;
use crate::text::new_id;

/// Time after an acknowledgement from which a configuration is in force (`config_apply_ms` is 2 s), and some more.
pub const IN_FORCE_AFTER: Duration = Duration::from_millis(3_000);
/// Requests on each route.
pub const REQUESTS: usize = 30;
/// Time for which the configuration is read at the end, longer than `stable_window_ms`.
const READ_FOR: Duration = Duration::from_millis(5_000);
const DEADLINE: Duration = Duration::from_millis(4_000);

/// Returns a configuration with a route for each prefix.
pub fn config(version: u64, prefixes: &[&str]) -> String {
    let route = |prefix: &&str| {
        format!(
            "{{\"name\":\"r{}\",\"host\":\"site.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"safe\",\
             \"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"board\",\"max_attempts\":2,\
             \"public\":true}}",
            prefix.replace('/', "-")
        )
    };
    let routes: Vec<String> = prefixes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"route_table\":[{}],\
         \"services\":[{{\"name\":\"board\",\"health_path\":\"/healthz\",\"max_connections\":56}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// Returns what answers the requests at the replicas.
pub fn answer(record: Record) -> Answer {
    Arc::new(move |replica, connection, request| {
        let id = request.field("attempt-id").unwrap_or_default();
        record.line(&format!("{} runs {id} ({})", replica.id, request.first_line));
        let head = replica.head(request, "200 OK");
        connection.write(format!("{head}Content-Length: 4\r\n\r\ndone").as_bytes())?;
        Ok(true)
    })
}

/// Sends requests to each entry in turn; returns how many were served and how many were refused with 404.
pub fn send_all(fleet: &Fleet, record: &Record, path: &str) -> (usize, usize) {
    let (mut served, mut unknown) = (0, 0);
    for number in 0..REQUESTS {
        let id = new_id();
        let fields = [("Attempt-Id", id.as_str()), ("Deadline-Ms", "4000")];
        let request = http::request("GET", path, "site.example", &fields, b"");
        let answered = http::call(&fleet.frontend(number % fleet.nodes.len()), &request, DEADLINE);
        let status = answered.map_or(0, |it| it.status());
        record.line(&format!("GET {path} {id}: {status}"));
        served += usize::from(status == 200);
        unknown += usize::from(status == 404);
    }
    (served, unknown)
}

/// Reads the configuration at one machine after another; returns whether it comes as it was sent.
pub fn read_back(fleet: &Fleet, record: &Record, sent: &str) -> bool {
    let until = Instant::now() + READ_FOR;
    let request = http::request("GET", "/bilberryloft/config", "control", &[], b"");
    let mut idx = 0;
    while Instant::now() < until {
        if let Ok(it) = http::call(&fleet.control(idx), &request, Duration::from_secs(1)) {
            record.line(&format!("GET configuration at edge-{}: {}", idx + 1, it.status()));
            if it.status() == 200 && it.body == sent.as_bytes() {
                return true;
            }
        }
        idx = (idx + 1) % fleet.nodes.len();
        std::thread::sleep(Duration::from_millis(200));
    }
    false
}
