//! Streams whose replica crashes midway, and whose answers state their length. Another replica goes on with text of its
//! own, which is longer.

use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stands::case::Record;
use stands::case::run;
use stands::fleet::Fleet;
use stands::http::Answer;
use stands::http::call;
use stands::replica::Replica;
use stands::replica::Request;

const HOSTS: usize = 3;
/// Events of each stream.
const EVENTS: u64 = 10;
/// Event after which the replica crashes that is to crash.
const CRASH_AFTER: u64 = 5;
/// Replicas, of which one crashes: less than the share of 0.15 that the bench names.
const REPLICAS: u8 = 7;
const STREAMS: usize = 28;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
const STREAM_TIMEOUT: Duration = Duration::from_secs(8);

const CONFIGURATION: &str = r#"{"version":7,"route_table":[{"name":"r-brief","host":"depot.example","path_prefix":"/brief/","kind":"stream","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"brief","max_attempts":2,"public":false,"sticky":false,"resumable":true,"gap_target_ms":120}],"services":[{"name":"brief","health_path":"/healthz","max_connections":278,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"kamikawa","api_keys":["k1"],"priority":1}]}"#;

fn main() -> ExitCode {
    run(play)
}

fn play(record: &Record, is_disrupted: bool) -> Result<bool, String> {
    let fleet = Fleet::start(HOSTS)?;
    fleet.wait_until_ready(CONFIGURATION)?;
    let crash = Arc::new(AtomicBool::new(is_disrupted));
    let has_crashed = Arc::new(AtomicBool::new(false));
    let replicas = start_replicas(&fleet, &crash, &has_crashed)?;
    // Heartbeats are acknowledged and known everywhere.
    std::thread::sleep(Duration::from_millis(4_000));
    let streams: Vec<_> = (0..STREAMS)
        .map(|idx| {
            let address = fleet.frontend(idx % HOSTS);
            let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + idx as u64);
            std::thread::spawn(move || (id.clone(), request(address, &id)))
        })
        .collect();
    // The replica that crashes is down from then on: it accepts no connections and sends no heartbeats.
    while is_disrupted
        && !has_crashed.load(Ordering::SeqCst)
        && !streams.iter().all(|it| it.is_finished())
    {
        std::thread::sleep(Duration::from_millis(1));
    }
    if has_crashed.load(Ordering::SeqCst) {
        replicas[0].end();
        record.line(&format!("replica {} crashes", replicas[0].id));
    }
    let mut is_held = true;
    let mut complete = 0;
    for stream in streams {
        let (id, answer) = stream.join().map_err(|_| "a client panicked")?;
        let ids = event_ids(&answer.body);
        let length = answer.header("content-length").unwrap_or("none").to_string();
        record.line(&format!(
            "stream {id}: {}, stated length {length}, whole events {ids:?}",
            answer.describe()
        ));
        let looks_complete = answer.status == 200 && answer.is_complete;
        complete += usize::from(looks_complete);
        if looks_complete && ids.last() != Some(&EVENTS) {
            record.line(&format!(
                "stream {id} looks complete, and lacks its last piece: {:?}",
                String::from_utf8_lossy(&answer.body)
            ));
            is_held = false;
        }
    }
    for replica in &replicas {
        let runs = replica.runs.lock().map_err(|_| "a replica panicked")?;
        record.line(&format!("replica {} ran {runs:?}", replica.id));
    }
    if complete == 0 {
        return Err("no stream was answered".to_string());
    }
    if is_disrupted && !has_crashed.load(Ordering::SeqCst) {
        return Err("the replica that was to crash got no stream".to_string());
    }
    Ok(is_held)
}

/// Starts the replicas. Of these, the first crashes if it is to.
fn start_replicas(
    fleet: &Fleet,
    crash: &Arc<AtomicBool>,
    has_crashed: &Arc<AtomicBool>,
) -> Result<Vec<Replica>, String> {
    let mut replicas = Vec::new();
    for idx in 0..REPLICAS {
        let (crash, has_crashed) = (crash.clone(), has_crashed.clone());
        let padding = if idx == 0 { 0 } else { 10 };
        let answer = move |request: &Request, stream: &mut TcpStream| {
            let crashes = idx == 0 && crash.load(Ordering::SeqCst);
            answer(request, stream, padding, crashes.then_some(&*has_crashed))
        };
        let id = format!("i-7f3a91c{idx}");
        let replica = Replica::start(fleet.replica_ip(idx), &id, Arc::new(answer))?;
        let daemons = (0..HOSTS).map(|it| fleet.control(it)).collect();
        replica.announce("brief", &format!("zone-{}", idx % 3), 1_767_000_000_000, daemons);
        replicas.push(replica);
    }
    Ok(replicas)
}

/// Writes a stream with its length. Each event holds some words; how long they are is up to the replica, whose answers are
/// sampled.
fn answer(
    request: &Request,
    stream: &mut TcpStream,
    padding: usize,
    crash: Option<&AtomicBool>,
) -> bool {
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let event =
        |id: u64| format!("id: {id:02}\ndata: grit the pass road {}\n\n", "x".repeat(padding));
    let body: usize = (last + 1..=EVENTS).map(|it| event(it).len()).sum();
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nReplica-Signature: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\n\
         Content-Length: {body}\r\n\r\n",
        request.header("attempt-id")
    );
    let mut write = |text: &str| stream.write_all(text.as_bytes()).is_ok();
    if !write(&head) {
        return false;
    }
    for id in last + 1..=EVENTS {
        let is_down = crash.is_some_and(|it| it.load(Ordering::SeqCst));
        if let Some(has_crashed) = crash.filter(|_| is_down || id > CRASH_AFTER) {
            // It is cut off in the middle of an event.
            write(&event(id)[..10]);
            has_crashed.store(true, Ordering::SeqCst);
            let _ = stream.shutdown(Shutdown::Both);
            return false;
        }
        if !write(&event(id)) {
            return false;
        }
        std::thread::sleep(EVENT_INTERVAL);
    }
    true
}

fn request(address: std::net::SocketAddr, id: &str) -> Answer {
    let headers = [
        ("Host", "depot.example"),
        ("Attempt-Id", id),
        ("Deadline-Ms", "8000"),
        ("Authorization", "Token k1"),
        ("Model", "m"),
        ("Token-Count", "60,60"),
        ("Connection", "close"),
    ];
    call(address, "POST", "/brief/kamikawa", &headers, b"write the brief", STREAM_TIMEOUT)
}

/// Returns the ids of the whole events in a body.
fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let mut events: Vec<&str> = text.split("\n\n").collect();
    // What comes after the last blank line is not a whole event.
    events.pop();
    let id = |it: &&str| it.lines().find_map(|line| line.strip_prefix("id: ")?.parse().ok());
    events.iter().filter_map(id).collect()
}
