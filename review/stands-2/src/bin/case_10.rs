//! Two configurations that the pages call invalid: one names an unknown service beside its traffic split, the other has two
//! routes with the same host and prefix.

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

const HOSTS: usize = 3;
/// Time in which an acknowledged configuration is in force: `config_apply_ms` is 2,000.
const APPLY: Duration = Duration::from_millis(2_500);
const TIMEOUT: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    run(play)
}

/// A route; `more` names its services.
fn route(name: &str, host: &str, prefix: &str, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{host}","path_prefix":"{prefix}","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,{more},"max_attempts":2,"public":true}}"#
    )
}

fn configuration(version: u64, routes: &[String]) -> String {
    let service = |name: &str| {
        format!(r#"{{"name":"{name}","health_path":"/healthz","max_connections":56,"protocol":"h1","tls":false}}"#)
    };
    format!(
        r#"{{"version":{version},"route_table":[{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        service("board"),
        service("offers")
    )
}

fn play(record: &Record, is_disrupted: bool) -> Result<bool, String> {
    let fleet = Fleet::start(HOSTS)?;
    let listing = route("r-listing", "board.example", "/listing/", r#""service":"board""#);
    fleet.wait_until_ready(&configuration(7, std::slice::from_ref(&listing)))?;
    let daemons = || (0..HOSTS).map(|it| fleet.control(it)).collect::<Vec<_>>();
    let mut replicas = Vec::new();
    for (idx, service) in ["board", "offers"].into_iter().enumerate() {
        let run = move |request: &Request, stream: &mut TcpStream| answer(request, stream, service);
        let id = format!("i-7f3a91c{idx}");
        let replica = Replica::start(fleet.replica_ip(idx as u8), &id, Arc::new(run))?;
        replica.announce(service, "zone-0", 1_767_000_000_000, daemons());
        replicas.push(replica);
    }
    std::thread::sleep(APPLY);
    record.line(&format!("before: GET /listing/1 is answered by {:?}", ask(&fleet)));

    let (unknown, host) = match is_disrupted {
        true => ("nowhere", "Board.example"),
        false => ("board", "other.example"),
    };
    let split = format!(r#""traffic_split":[{{"service":"board","weight":1}}],"service":"{unknown}""#);
    let with_unknown = route("r-listing", "board.example", "/listing/", &split);
    let same_place = route("r-offer", host, "/listing/", r#""service":"offers""#);
    let sent = [
        ("a route that names an unknown service", configuration(12, &[with_unknown])),
        ("two routes with the same host and prefix", configuration(15, &[listing, same_place])),
    ];
    let mut is_held = true;
    for (what, text) in sent {
        let answer = fleet.put_configuration(0, text.as_bytes());
        record.line(&format!("{what}: {} for {text}", answer.describe()));
        let is_refused = (400..500).contains(&answer.status);
        if !is_disrupted && answer.status != 200 {
            return Err("a valid configuration was not acknowledged".to_string());
        }
        is_held &= !is_disrupted || is_refused;
        std::thread::sleep(APPLY);
        record.line(&format!("afterwards: GET /listing/1 is answered by {:?}", ask(&fleet)));
    }
    for replica in &replicas {
        let runs = replica.runs.lock().map_err(|_| "a replica panicked")?;
        record.line(&format!("replica {} ran {} requests", replica.id, runs.len()));
    }
    Ok(is_held)
}

/// Returns the bodies of a request to each host.
fn ask(fleet: &Fleet) -> Vec<String> {
    let headers = [
        ("Host", "board.example"),
        ("Attempt-Id", "9c41d07be2a35f68"),
        ("Deadline-Ms", "2000"),
        ("Connection", "close"),
    ];
    let ask = |idx: usize| call(fleet.frontend(idx), "GET", "/listing/1", &headers, b"", TIMEOUT);
    (0..HOSTS).map(|it| String::from_utf8_lossy(&ask(it).body).into_owned()).collect()
}

fn answer(request: &Request, stream: &mut TcpStream, service: &str) -> bool {
    let answer = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nReplica-Signature: 3e1b.07.5a2\r\nContent-Length: {}\r\n\r\n{service}",
        request.header("attempt-id"),
        service.len()
    );
    stream.write_all(answer.as_bytes()).is_ok()
}
