//! Two configurations that must be refused: a file in Latin-1, which is no JSON, and two routes with the same host and prefix.

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

/// Returns a configuration with the given routes, and a health path that holds the given bytes.
fn configuration(version: u64, routes: &[String], health_path: &[u8]) -> Vec<u8> {
    let service = |name: &str, path: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"{path}","max_connections":56,"protocol":"h1","tls":false}}"#
        )
    };
    let text = format!(
        r#"{{"version":{version},"route_table":[{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        service("board", "@"),
        service("offers", "/healthz")
    );
    let (before, after) = text.split_once('@').unwrap_or_default();
    [before.as_bytes(), health_path, after.as_bytes()].concat()
}

fn route(name: &str, host: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{host}","path_prefix":"/listing/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":2,"public":true}}"#
    )
}

fn main() -> ExitCode {
    run(play)
}

fn play(record: &Record, is_disrupted: bool) -> Result<bool, String> {
    let fleet = Fleet::start(HOSTS)?;
    let listing = || route("r-listing", "board.example", "board");
    let first = configuration(7, &[listing()], b"/healthz");
    fleet.wait_until_ready(&String::from_utf8_lossy(&first))?;
    let daemons = || (0..HOSTS).map(|it| fleet.control(it)).collect::<Vec<_>>();
    for (idx, service) in ["board", "offers"].into_iter().enumerate() {
        let run = move |request: &Request, stream: &mut TcpStream| answer(request, stream, service);
        let id = format!("i-7f3a91c{idx}");
        let replica = Replica::start(fleet.replica_ip(idx as u8), &id, Arc::new(run))?;
        replica.announce(service, "zone-0", 1_767_000_000_000, daemons());
    }
    std::thread::sleep(APPLY);
    let before = ask(&fleet);
    record.line(&format!("GET /listing/1 is answered by {before:?}"));
    if before.iter().any(|it| it != "board") {
        return Err("the calm part did not work".to_string());
    }

    // An a with two dots, in Latin-1 and in UTF-8.
    let letter: &[u8] = if is_disrupted { b"\xe4" } else { "\u{e4}".as_bytes() };
    let path = [b"/pr", letter, b"sent"].concat();
    let is_read_back = send_unreadable(
        &fleet,
        record,
        &first,
        &configuration(12, &[listing()], &path),
        is_disrupted,
    )?;

    let host = if is_disrupted { "Board.example" } else { "other.example" };
    let routes = [listing(), route("r-offer", host, "offers")];
    let sent = configuration(15, &routes, b"/healthz");
    let answer = fleet.put_configuration(0, &sent);
    record.line(&format!("version 15: {} for {}", answer.describe(), sent.escape_ascii()));
    std::thread::sleep(APPLY);
    let after = ask(&fleet);
    record.line(&format!("GET /listing/1 is answered by {after:?}"));
    let is_routed = after == before && (!is_disrupted || (400..500).contains(&answer.status));
    record.line(&format!("the first part held: {is_read_back}; the second part held: {is_routed}"));
    Ok(is_read_back && is_routed)
}

/// Sends a configuration that can't be read if `is_disrupted`; returns whether it was refused, or else is read back as sent.
fn send_unreadable(
    fleet: &Fleet,
    record: &Record,
    first: &[u8],
    sent: &[u8],
    is_disrupted: bool,
) -> Result<bool, String> {
    let answer = fleet.put_configuration(0, sent);
    let is_utf8 = std::str::from_utf8(sent).is_ok();
    record.line(&format!(
        "version 12, {} bytes, UTF-8: {is_utf8}: {}",
        sent.len(),
        answer.describe()
    ));
    record.line(&format!("sent      {}", sent.escape_ascii()));
    std::thread::sleep(APPLY);
    let is_acknowledged = answer.status == 200;
    let mut is_held = true;
    for idx in 0..HOSTS {
        let read = fleet.read_configuration(idx);
        record.line(&format!("read back {} from host {idx}", read.body.escape_ascii()));
        if read.status != 200 {
            return Err(format!("host {idx} was not read: {}", read.describe()));
        }
        is_held &= read.body == if is_acknowledged { sent } else { first };
    }
    match is_disrupted {
        true => Ok(is_held && (400..500).contains(&answer.status)),
        false if !is_acknowledged => {
            Err("the valid configuration was not acknowledged".to_string())
        }
        false => Ok(is_held),
    }
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
