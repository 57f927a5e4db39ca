//! Case: a configuration with two routes of one host and prefix, whose host is written once with capitals.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use stands_3::fleet::Fleet;
use stands_3::fleet::Settings;
use stands_3::http;
use stands_3::record::Record;
use stands_3::replica::Answer;
use stands_3::replica::Replica;
use stands_3::text::has_trouble;
use stands_3::text::new_id;

/// Time after an acknowledgement from which a configuration is in force (`config_apply_ms`), and some more.
const IN_FORCE_AFTER: Duration = Duration::from_millis(3_000);
/// Requests before and after the change.
const REQUESTS: usize = 60;
const DEADLINE: Duration = Duration::from_millis(4_000);

fn config(version: u64, more_routes: &str) -> String {
    format!(
        "{{\"version\":{version},\"route_table\":[{{\"name\":\"r-offer\",\"host\":\"site.example\",\
         \"path_prefix\":\"/offer/\",\"kind\":\"unsafe\",\"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":2,\
         \"service\":\"board\",\"max_attempts\":1,\"public\":true}}{more_routes}],\
         \"services\":[{{\"name\":\"board\",\"health_path\":\"/healthz\",\"max_connections\":56}},\
         {{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":56}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Route of another service with the same host, written with capitals, and the same prefix.
const SECOND_ROUTE: &str = ",{\"name\":\"r-second\",\"host\":\"Site.Example\",\"path_prefix\":\"/offer/\",\
    \"kind\":\"unsafe\",\"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\
    \"max_attempts\":1,\"public\":true}";
/// Route that takes no place of another one, for the run without trouble.
const OTHER_ROUTE: &str = ",{\"name\":\"r-second\",\"host\":\"site.example\",\"path_prefix\":\"/desk/\",\
    \"kind\":\"unsafe\",\"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\
    \"max_attempts\":1,\"public\":true}";

fn answer(record: Record) -> Answer {
    Arc::new(move |replica, connection, request| {
        std::thread::sleep(Duration::from_millis(5));
        let id = request.field("attempt-id").unwrap_or_default();
        record.line(&format!("service {} runs {id} ({})", replica.service, request.first_line));
        let body = format!("run by {}", replica.service);
        let head = replica.head(request, "200 OK");
        connection.write(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())?;
        Ok(true)
    })
}

/// Sends requests for the first route to each entry in turn; returns how many each service ran.
fn send_all(fleet: &Fleet, record: &Record) -> (usize, usize) {
    let (mut board, mut desk) = (0, 0);
    for number in 0..REQUESTS {
        let id = new_id();
        let fields = [("Attempt-Id", id.as_str()), ("Deadline-Ms", "4000")];
        let request = http::request("POST", "/offer/1", "site.example", &fields, b"an offer");
        let answered = http::call(&fleet.frontend(number % fleet.nodes.len()), &request, DEADLINE);
        let text = match &answered {
            Ok(it) => format!("{} {}", it.status(), String::from_utf8_lossy(&it.body)),
            Err(error) => error.to_string(),
        };
        record.line(&format!("POST site.example/offer/1 {id}: {text}"));
        board += usize::from(text.ends_with("run by board"));
        desk += usize::from(text.ends_with("run by desk"));
    }
    (board, desk)
}

/// Sends a configuration to one machine after another until it is answered with a clear status.
fn put_once(fleet: &Fleet, config: &str) -> u16 {
    let until = Instant::now() + Duration::from_secs(10);
    let request = http::request("PUT", "/bilberryloft/config", "control", &[], config.as_bytes());
    let mut idx = 0;
    while Instant::now() < until {
        let status = http::call(&fleet.control(idx), &request, Duration::from_secs(1)).map_or(0, |it| it.status());
        if matches!(status, 200..=299 | 400..=407 | 409..=428) {
            return status;
        }
        idx = (idx + 1) % fleet.nodes.len();
        std::thread::sleep(Duration::from_millis(200));
    }
    0
}

fn run() -> Result<bool, String> {
    let folder = PathBuf::from(std::env::args().nth(1).ok_or("the folder of the case is missing")?);
    let record = Record::create(&folder).map_err(|it| it.to_string())?;
    let fleet = Fleet::start(Settings::default()).map_err(|it| it.to_string())?;
    if !fleet.put_config(&config(1, ""), Duration::from_secs(20)) || !fleet.wait_ready(Duration::from_secs(15)) {
        return Err("the system does not take the first configuration".to_string());
    }
    let start = |service: &str, zone: &str| Replica::start(service, zone, 6, fleet.controls(), answer(record.clone()));
    let replicas = [start("board", "hall-a"), start("board", "hall-b"), start("desk", "hall-b"), start("desk", "hall-c")];
    std::thread::sleep(Duration::from_secs(4));
    let (board, desk) = send_all(&fleet, &record);
    record.show(&format!("version 1: board ran {board} offers, desk {desk}"));
    if board < REQUESTS / 2 || desk > 0 {
        return Err("the first configuration is not served".to_string());
    }
    let routes = if has_trouble() { SECOND_ROUTE } else { OTHER_ROUTE };
    let status = put_once(&fleet, &config(2, routes));
    record.show(&format!("PUT version 2 with the route {}: {status}", &routes[1..]));
    std::thread::sleep(IN_FORCE_AFTER);
    let (board, desk) = send_all(&fleet, &record);
    record.show(&format!("after it: board ran {board} offers, desk {desk}"));
    replicas.iter().for_each(|it| it.stop());
    let mut is_kept = true;
    if has_trouble() && status / 100 == 2 {
        record.show("BROKEN: CONFIG, an invalid configuration is acknowledged");
        is_kept = false;
    }
    if desk > 0 {
        record.show(&format!("BROKEN: CONFIG, it is in force: desk ran {desk} requests of the route of board"));
        is_kept = false;
    }
    Ok(is_kept)
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::from(0),
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
