//! A replica leaves and starts again under its id, while one of the hosts that it has called is frozen. When the host wakes,
//! it carries out the call of the earlier start.

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
use stands::replica::send_delete;
use stands::replica::send_heartbeat;

const HOSTS: usize = 3;
/// Host that freezes, and for how long.
const FROZEN: usize = 0;
const FREEZE: Duration = Duration::from_millis(4_000);
/// Time from the acknowledgement that the replica is gone to its end: `drain_ms` is 2,000.
const LINGER: Duration = Duration::from_millis(2_100);
/// Born times of the two starts, in Unix milliseconds.
const BORN_MS: [u64; 2] = [1_767_000_000_000, 1_767_000_100_000];
/// Time after the host has woken, in which the core becomes stable and all machines are in touch again: `catch_up_s` is 4,
/// `stable_window_ms` 3,000.
const SETTLE: Duration = Duration::from_millis(8_000);
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
    board.announce("board", "zone-0", BORN_MS[0], daemons());
    let first = Replica::start(fleet.replica_ip(1), REPLICA, Arc::new(run))?;
    let body = first.heartbeat("offers", "zone-1", BORN_MS[0], 1);
    let answer = send_heartbeat(fleet.control(FROZEN), REPLICA, &body);
    record.line(&format!("heartbeat of the first start: {}", answer.describe()));
    std::thread::sleep(Duration::from_millis(1_000));

    if is_disrupted {
        fleet.freeze(FROZEN);
        record.line("host 0 freezes");
    }
    let frozen = std::time::Instant::now();
    // The replica leaves. It calls one daemon after the other, until one acknowledges.
    for (idx, daemon) in daemons().into_iter().enumerate() {
        let answer = send_delete(daemon, REPLICA);
        record.line(&format!("DELETE of the first start at host {idx}: {}", answer.describe()));
        if answer.status == 200 {
            break;
        }
    }
    std::thread::sleep(LINGER);
    first.end();
    // It starts again under its id, and reports to the others while the first host gives no answer.
    let second = Replica::start(fleet.replica_ip(2), REPLICA, Arc::new(run))?;
    let body = second.heartbeat("offers", "zone-1", BORN_MS[1], 1);
    let answer = send_heartbeat(fleet.control(1), REPLICA, &body);
    record.line(&format!("heartbeat of the second start: {}", answer.describe()));
    if answer.status != 200 {
        return Err("the second start was not acknowledged".to_string());
    }
    let mut others = daemons();
    others.rotate_left(1);
    second.announce("offers", "zone-1", BORN_MS[1], others);
    std::thread::sleep(Duration::from_millis(500));
    let before = ask(&fleet, record, "/listing/1", 1, 1);
    if is_disrupted {
        std::thread::sleep(FREEZE.saturating_sub(frozen.elapsed()));
        fleet.thaw(FROZEN);
        record.line(&format!("host 0 wakes after {} ms", frozen.elapsed().as_millis()));
    }
    std::thread::sleep(SETTLE);

    let answer = fleet.put_configuration(1, configuration(12, true).as_bytes());
    record.line(&format!("version 12, which adds a route to the service: {}", answer.describe()));
    if answer.status != 200 || before == 0 {
        return Err("the calm part did not work".to_string());
    }
    // All machines are in touch, and nothing has happened for longer than the rule asks.
    std::thread::sleep(Duration::from_millis(4_000));
    let on_first = ask(&fleet, record, "/listing/1", REQUESTS, 0);
    let on_added = ask(&fleet, record, "/offer/1", REQUESTS, 0);
    record.line(&format!("served: {on_first} of {REQUESTS} on the first route, {on_added} of {REQUESTS} on the added one"));
    let runs = second.runs.lock().map_err(|_| "a replica panicked")?;
    record.line(&format!(
        "the second start of {REPLICA}, which is ready and acknowledged, ran {} requests",
        runs.len()
    ));
    if on_first == 0 {
        return Err("nothing was served on the first route".to_string());
    }
    Ok(4 * on_added >= on_first)
}

/// Sends requests to the hosts in turn, from the given one on; returns how many were served.
fn ask(fleet: &Fleet, record: &Record, path: &str, count: usize, from: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let id = format!("{:016x}", unique_id(path, number));
        let headers = [
            ("Host", "board.example"),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", "2000"),
            ("Connection", "close"),
        ];
        let host = (from + number) % HOSTS;
        let answer = call(fleet.frontend(host), "GET", path, &headers, b"", TIMEOUT);
        served += usize::from(answer.status == 200 && answer.is_complete);
        record.line(&format!("GET {path} {id} at host {host}: {}", answer.describe()));
        std::thread::sleep(Duration::from_millis(60));
    }
    served
}

/// Returns an id that no other request of the script has.
fn unique_id(path: &str, number: usize) -> u64 {
    let seed = path.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |it, byte| {
        (it ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    seed.wrapping_add(number as u64).wrapping_add(u64::from(std::process::id()) << 20)
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
