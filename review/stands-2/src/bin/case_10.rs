//! One heartbeat from another writer, with a field of another type, names a sound replica as leaving.

use std::io::Write;
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use stands::case::Record;
use stands::case::run;
use stands::fleet::Fleet;
use stands::http::call;
use stands::replica::Replica;
use stands::replica::Request;
use stands::replica::send_heartbeat;

const HOSTS: usize = 3;
const BORN_MS: u64 = 1_767_000_000_000;
/// Time after the heartbeat, and after the configuration, in which all is calm: `stable_window_ms` is 3,000 and
/// `config_apply_ms` 2,000.
const SETTLE: Duration = Duration::from_millis(6_000);
const REQUESTS: usize = 30;
const TIMEOUT: Duration = Duration::from_secs(3);
const REPLICA: &str = "i-7f3a91c2";

fn configuration(version: u64, has_added_route: bool) -> String {
    let route = |name: &str, service: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"board.example","path_prefix":"/{name}/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":2,"public":true}}"#
        )
    };
    let mut routes = vec![route("listing", "board")];
    if has_added_route {
        routes.push(route("offer", "offers"));
    }
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/healthz","max_connections":56,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"route_table":[{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        service("board"),
        service("offers")
    )
}

fn main() -> ExitCode {
    run(play)
}

fn play(record: &Record, is_disrupted: bool) -> Result<bool, String> {
    let fleet = Fleet::start(HOSTS)?;
    fleet.wait_until_ready(&configuration(7, false))?;
    let daemons = || (0..HOSTS).map(|it| fleet.control(it)).collect::<Vec<_>>();
    let run = |request: &Request, stream: &mut TcpStream| answer(request, stream);
    let board = Replica::start(fleet.replica_ip(0), "i-0b0a4d00", Arc::new(run))?;
    board.announce("board", "zone-0", BORN_MS, daemons());
    let offers = Replica::start(fleet.replica_ip(1), REPLICA, Arc::new(run))?;
    offers.announce("offers", "zone-1", BORN_MS, daemons());
    std::thread::sleep(Duration::from_millis(2_500));

    if is_disrupted {
        // `models` is a list of objects; here it is a number.
        let sound = offers.heartbeat("offers", "zone-1", BORN_MS, 4);
        let body = sound.replace("\"ready\"", "\"draining\"");
        let body = body.replace("\"slots\"", "\"stage\":\"both\",\"models\":7,\"slots\"");
        let answer = send_heartbeat(fleet.control(1), REPLICA, &body);
        record.line(&format!("a heartbeat from another writer: {} for {body}", answer.describe()));
    }
    std::thread::sleep(SETTLE);

    let answer = fleet.put_configuration(1, configuration(12, true).as_bytes());
    record.line(&format!("version 12, which adds a route to the service: {}", answer.describe()));
    if answer.status != 200 {
        return Err("the configuration was not acknowledged".to_string());
    }
    std::thread::sleep(SETTLE);
    let on_first = ask(&fleet, record, "/listing/1");
    let on_added = ask(&fleet, record, "/offer/1");
    record.line(&format!("served: {on_first} of {REQUESTS} on the first route, {on_added} of {REQUESTS} on the added one"));
    let runs = offers.runs.lock().map_err(|_| "a replica panicked")?;
    record.line(&format!(
        "{REPLICA}, whose own heartbeats say ready and are acknowledged, ran {} requests",
        runs.len()
    ));
    if on_first == 0 {
        return Err("nothing was served on the first route".to_string());
    }
    Ok(4 * on_added >= on_first)
}

/// Sends requests to the hosts in turn; returns how many were served.
fn ask(fleet: &Fleet, record: &Record, path: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("{:08x}{:08x}", path.len(), std::process::id() as usize + number);
        let headers = [
            ("Host", "board.example"),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", "2000"),
            ("Connection", "close"),
        ];
        let host = number % HOSTS;
        let answer = call(fleet.frontend(host), "GET", path, &headers, b"", TIMEOUT);
        served += usize::from(answer.status == 200 && answer.is_complete);
        record.line(&format!("GET {path} {id} at host {host}: {}", answer.describe()));
        std::thread::sleep(Duration::from_millis(60));
    }
    served
}

fn answer(request: &Request, stream: &mut TcpStream) -> bool {
    let body = "a boat";
    let answer = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nReplica-Signature: 3e1b.07.5a2\r\nContent-Length: {}\r\n\r\n{body}",
        request.header("attempt-id"),
        body.len()
    );
    stream.write_all(answer.as_bytes()).is_ok()
}
