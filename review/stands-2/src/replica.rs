//! A replica, which announces itself and answers requests.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http::Answer;
use crate::http::call;
use crate::http::head_end;
use crate::http::header;
use crate::http::parse_head;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time within which a heartbeat must be answered.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request as a replica gets it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Path and query.
    pub path: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Request {
    /// Returns the value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name).unwrap_or_default()
    }
}

/// How a replica runs a request; returns whether the connection stays open.
pub type Run = dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync;

/// A running replica.
pub struct Replica {
    /// Id.
    pub id: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Ids of the requests that it has run.
    pub runs: Arc<Mutex<Vec<String>>>,
    is_up: Arc<AtomicBool>,
}

impl Replica {
    /// Starts a replica on a free port.
    pub fn start(ip: Ipv4Addr, id: &str, run: Arc<Run>) -> Result<Replica, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|it| it.to_string())?;
        let address = listener.local_addr().map_err(|it| it.to_string())?;
        let (runs, is_up) = (Arc::new(Mutex::default()), Arc::new(AtomicBool::new(true)));
        let replica = Replica { id: id.to_string(), address, runs, is_up };
        let (id, runs, is_up) = (id.to_string(), replica.runs.clone(), replica.is_up.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !is_up.load(Ordering::SeqCst) {
                    return;
                }
                let (id, runs, run) = (id.clone(), runs.clone(), run.clone());
                std::thread::spawn(move || serve(stream, &id, &runs, &*run));
            }
        });
        Ok(replica)
    }

    /// Returns the body of a heartbeat.
    pub fn heartbeat(&self, service: &str, zone: &str, born_ms: u64, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":12,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{born_ms},\"sequence\":{sequence}}}",
            self.address
        )
    }

    /// Ends the replica: it accepts nothing more and sends no more heartbeats.
    pub fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
    }

    /// Sends heartbeats from now on, each to the first of the daemons that acknowledges it.
    pub fn announce(&self, service: &str, zone: &str, born_ms: u64, daemons: Vec<SocketAddr>) {
        let (id, is_up) = (self.id.clone(), self.is_up.clone());
        let body = |sequence: u64| self.heartbeat(service, zone, born_ms, sequence);
        let bodies: Vec<String> = (1..=200).map(body).collect();
        std::thread::spawn(move || {
            for body in bodies {
                if !is_up.load(Ordering::SeqCst) {
                    return;
                }
                daemons.iter().any(|it| send_heartbeat(*it, &id, &body).status == 200);
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }
}

/// Sends one heartbeat to a daemon.
pub fn send_heartbeat(daemon: SocketAddr, id: &str, body: &str) -> Answer {
    let headers = [("Content-Type", "application/json"), ("Connection", "close")];
    let path = format!("/bilberryloft/replicas/{id}");
    call(daemon, "PUT", &path, &headers, body.as_bytes(), HEARTBEAT_TIMEOUT)
}

/// Tells a daemon that a replica is gone.
pub fn send_delete(daemon: SocketAddr, id: &str) -> Answer {
    let headers = [("Connection", "close")];
    let path = format!("/bilberryloft/replicas/{id}");
    call(daemon, "DELETE", &path, &headers, b"", HEARTBEAT_TIMEOUT)
}

/// Serves the requests on a connection, one after the other.
fn serve(mut stream: TcpStream, id: &str, runs: &Mutex<Vec<String>>, run: &Run) {
    let mut bytes = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut bytes) {
        if request.path == "/healthz" {
            let answer =
                format!("HTTP/1.1 200 OK\r\nReplica-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            let _ = stream.write_all(answer.as_bytes());
            continue;
        }
        let expected = request.header("expect-replica");
        if !expected.is_empty() && expected != id {
            let attempt = request.header("attempt-id");
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nAt-Server: {id}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            let _ = stream.write_all(answer.as_bytes());
            continue;
        }
        if let Ok(mut runs) = runs.lock() {
            runs.push(request.header("attempt-id").to_string());
        }
        if !run(&request, &mut stream) {
            return;
        }
    }
}

/// Reads a request with its body.
fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Request> {
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(end) = head_end(bytes) {
            let (first, headers) = parse_head(&bytes[..end - 4]);
            let length = header(&headers, "content-length").and_then(|it| it.parse().ok());
            let whole = end + length.unwrap_or(0usize);
            if bytes.len() >= whole {
                bytes.drain(..whole);
                let path = first.split(' ').nth(1).unwrap_or_default().to_string();
                return Some(Request { path, headers });
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
        }
    }
}
