//! Case: a valid configuration whose version is 2 to the power of 63 is acknowledged and never comes into force.

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

/// Time after an acknowledgement from which a configuration is in force (`config_apply_ms` is 2 s), and some more.
const IN_FORCE_AFTER: Duration = Duration::from_millis(3_000);
/// Time for which the configuration is read at the end, longer than `stable_window_ms`.
const READ_FOR: Duration = Duration::from_millis(5_000);
/// Requests on each route.
const REQUESTS: usize = 30;
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Version of the second configuration, with the disruption and without it.
const VERSIONS: [u64; 2] = [1 << 63, (1 << 63) - 1];

fn config(version: u64, prefixes: &[&str]) -> String {
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

fn answer(record: Record) -> Answer {
    Arc::new(move |replica, connection, request| {
        let id = request.field("attempt-id").unwrap_or_default();
        record.line(&format!("{} runs {id} ({})", replica.id, request.first_line));
        let head = replica.head(request, "200 OK");
        connection.write(format!("{head}Content-Length: 4\r\n\r\ndone").as_bytes())?;
        Ok(true)
    })
}

/// Sends requests to each entry in turn; returns how many were served and how many were refused with 404.
fn send_all(fleet: &Fleet, record: &Record, path: &str) -> (usize, usize) {
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
fn read_back(fleet: &Fleet, record: &Record, sent: &str) -> bool {
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

fn run() -> Result<bool, String> {
    let folder = PathBuf::from(std::env::args().nth(1).ok_or("the folder of the case is missing")?);
    let record = Record::create(&folder).map_err(|it| it.to_string())?;
    let fleet = Fleet::start(Settings::default()).map_err(|it| it.to_string())?;
    let first = config(1, &["/fetch/"]);
    if !fleet.put_config(&first, Duration::from_secs(20)) || !fleet.wait_ready(Duration::from_secs(15)) {
        return Err("the system does not take the first configuration".to_string());
    }
    let start = |zone: &str| Replica::start("board", zone, 6, fleet.controls(), answer(record.clone()));
    let replicas = [start("hall-a"), start("hall-b")];
    std::thread::sleep(Duration::from_secs(4));
    if send_all(&fleet, &record, "/fetch/1").0 < REQUESTS || !read_back(&fleet, &record, &first) {
        return Err("the first configuration is not served".to_string());
    }
    let version = VERSIONS[usize::from(!has_trouble())];
    let second = config(version, &["/fetch/", "/more/"]);
    if !fleet.put_config(&second, Duration::from_secs(10)) {
        record.show(&format!("version {version} is not acknowledged"));
        return Ok(true);
    }
    record.show(&format!("version {version}, which adds the route /more/, is acknowledged"));
    std::thread::sleep(IN_FORCE_AFTER);
    let (served, unknown) = send_all(&fleet, &record, "/more/1");
    record.show(&format!("3 s later: {served} of {REQUESTS} requests on /more/ are served, {unknown} get 404"));
    let is_read = read_back(&fleet, &record, &second);
    record.show(&format!("the configuration is read back: {is_read}"));
    replicas.iter().for_each(|it| it.stop());
    if unknown > 0 {
        record.show("BROKEN: CONFIG, requests are handled as only an older version allows");
    }
    if !is_read {
        record.show("BROKEN: CONFIG, the acknowledged configuration doesn't come");
    }
    Ok(unknown == 0 && is_read)
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
