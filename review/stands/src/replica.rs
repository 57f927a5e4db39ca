//! A sound replica: announces itself, checks whom a request is for, runs it, and answers with its signature.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::free_ip;
use crate::http;
use crate::record::Record;

const PORT: u16 = 8_300;
/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time within which a heartbeat must be acknowledged.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request as the replica got it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }
}

/// What a replica does with requests.
pub type Work = Arc<dyn Fn(&Request) -> Vec<u8> + Send + Sync>;

pub struct Replica {
    _guard: TcpListener,
}

impl Replica {
    /// Starts a replica of the service `board` that answers each request with the body that `work` returns.
    pub fn start(id: &str, control: Vec<String>, work: Work, record: &Record) -> Replica {
        let (ip, guard) = free_ip();
        let address = format!("{ip}:{PORT}");
        let listener = TcpListener::bind(&address);
        let listener = listener.unwrap_or_else(|_| crate::cannot_run("a replica can't listen"));
        let (own, record) = (id.to_string(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, work, record) = (own.clone(), work.clone(), record.clone());
                std::thread::spawn(move || serve(stream, &own, &work, &record));
            }
        });
        let own = id.to_string();
        std::thread::spawn(move || announce(&own, &address, &control));
        Replica { _guard: guard }
    }
}

/// Sends heartbeats, each to the first daemon that acknowledges it.
fn announce(id: &str, address: &str, control: &[String]) {
    let path = format!("/bilberryloft/replicas/{id}");
    let mut at = 0;
    for sequence in 1_u64.. {
        let body = format!(
            r#"{{"service":"board","address":"{address}","zone":"hall-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":{sequence}}}"#
        );
        for _ in 0..control.len() {
            let address = &control[at % control.len()];
            let answer = http::call(address, "PUT", &path, &[], body.as_bytes(), HEARTBEAT_TIMEOUT);
            if answer.is_ok_and(|it| (200..300).contains(&it.status)) {
                break;
            }
            at += 1;
        }
        std::thread::sleep(HEARTBEAT);
    }
}

/// Serves one request after the other on a connection.
fn serve(mut stream: TcpStream, id: &str, work: &Work, record: &Record) {
    let _ = stream.set_nodelay(true);
    let mut bytes = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut bytes) {
        let attempt = request.header("attempt-id").unwrap_or_default().to_string();
        let is_health = request.path == "/healthz";
        let is_other = request.header("expect-replica").is_some_and(|it| it != id);
        let answer = if is_health {
            format!("HTTP/1.1 200 OK\r\nReplica-Id: {id}\r\nContent-Length: 0\r\n\r\n").into_bytes()
        } else if is_other {
            format!("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n")
                .into_bytes()
        } else {
            record.line(&format!("{id} runs {} {} ({attempt})", request.method, request.path));
            let body = work(&request);
            let mut answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nReplica-Signature: {id}.{attempt}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            )
            .into_bytes();
            answer.extend_from_slice(&body);
            answer
        };
        if stream.write_all(&answer).is_err() {
            return;
        }
        if !is_health && !is_other {
            record.line(&format!("{id} has handed over its whole answer ({attempt})"));
        }
    }
}

pub fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Request> {
    let mut piece = [0; 16 << 10];
    loop {
        if let Some((request, used)) = parse_request(bytes) {
            bytes.drain(..used);
            return Some(request);
        }
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&piece[..count]),
        }
    }
}

fn parse_request(bytes: &[u8]) -> Option<(Request, usize)> {
    let end = bytes.windows(4).position(|it| it == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_string(), first.next()?.to_string());
    let headers = lines.filter_map(|it| it.split_once(':'));
    let headers = headers.map(|it| (it.0.trim().to_string(), it.1.trim().to_string())).collect();
    let mut request = Request { method, path, headers, body: Vec::new() };
    let length = request.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let whole = end + length;
    if bytes.len() < whole {
        return None;
    }
    request.body = bytes[end..whole].to_vec();
    Some((request, whole))
}
