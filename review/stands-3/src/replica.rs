//! A stand-in for a replica: announces itself and answers requests.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::fleet::free_ip;
use crate::http;
use crate::http::Connection;
use crate::http::Message;
use crate::text::below;
use crate::text::new_id;
use crate::text::unix_ms;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time after which a heartbeat counts as failed.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers one request on a connection; returns whether the connection stays open.
pub type Answer = Arc<dyn Fn(&Replica, &mut Connection, &Message) -> std::io::Result<bool> + Send + Sync>;

fn refuse_call(_: &Replica, connection: &mut Connection, _: &Message) -> std::io::Result<bool> {
    connection.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
    Ok(true)
}

/// What a replica says of itself.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: String,
    pub slots: u32,
    pub born: u64,
    controls: Vec<String>,
    sequence: AtomicU64,
    is_stopped: AtomicBool,
    /// Fields that are added to each heartbeat.
    pub fields: Mutex<String>,
}

impl Replica {
    /// Starts a replica at a free address, which knows no calls of the system.
    pub fn start(service: &str, zone: &str, slots: u32, controls: Vec<String>, answer: Answer) -> Arc<Replica> {
        Replica::start_at(&free_ip(), [service, zone], slots, controls, answer, Arc::new(refuse_call))
    }

    /// Starts a replica of a service in a zone at an address; `calls` answers the calls of the system.
    pub fn start_at(
        ip: &str,
        [service, zone]: [&str; 2],
        slots: u32,
        controls: Vec<String>,
        answer: Answer,
        calls: Answer,
    ) -> Arc<Replica> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let replica = Arc::new(Replica {
            id: format!("i-{}", &new_id()[..8]),
            service: service.to_string(),
            zone: zone.to_string(),
            address,
            slots,
            born: unix_ms(),
            controls,
            sequence: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            fields: Mutex::default(),
        });
        let (served, announced) = (replica.clone(), replica.clone());
        std::thread::spawn(move || served.accept(&listener, &answer, &calls));
        std::thread::spawn(move || announced.announce());
        replica
    }

    /// Stops announcing and serving.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, answer: &Answer, calls: &Answer) {
        for stream in listener.incoming() {
            if self.is_stopped.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let (replica, answer, calls) = (self.clone(), answer.clone(), calls.clone());
            std::thread::spawn(move || {
                let Ok(mut connection) = Connection::of(stream, IDLE_TIMEOUT) else { return };
                while let Ok(request) = connection.read_request() {
                    if !matches!(replica.serve(&mut connection, &request, &answer, &calls), Ok(true)) {
                        return;
                    }
                }
            });
        }
    }

    fn serve(
        &self,
        connection: &mut Connection,
        request: &Message,
        answer: &Answer,
        calls: &Answer,
    ) -> std::io::Result<bool> {
        let (method, path) = request.method_and_path();
        if method == "GET" && path == "/healthz" {
            let text = format!("HTTP/1.1 200 OK\r\nReplica-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            connection.write(text.as_bytes())?;
            return Ok(true);
        }
        if path.starts_with("/bilberryloft/") {
            return calls(self, connection, request);
        }
        if request.field("expect-replica").is_some_and(|it| it != self.id) {
            connection.write(b"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")?;
            return Ok(true);
        }
        answer(self, connection, request)
    }

    /// Returns a heartbeat's body.
    pub fn heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let Replica { service, address, zone, slots, born, .. } = self;
        let fields = self.fields.lock().unwrap().clone();
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"born\":{born},\"sequence\":{sequence}{fields}}}"
        )
    }

    fn announce(&self) {
        let mut idx = below(self.controls.len() as u64) as usize;
        while !self.is_stopped.load(Ordering::SeqCst) {
            let path = format!("/bilberryloft/replicas/{}", self.id);
            let body = self.heartbeat();
            let request = http::request("PUT", &path, "control", &[], body.as_bytes());
            let answered = http::call(&self.controls[idx], &request, HEARTBEAT_TIMEOUT);
            if answered.is_ok_and(|it| it.status() / 100 == 2) {
                std::thread::sleep(HEARTBEAT_INTERVAL);
            } else {
                idx = (idx + 1) % self.controls.len();
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }

    /// Returns the head of an answer up to the fields on its length.
    pub fn head(&self, request: &Message, status: &str) -> String {
        let id = request.field("attempt-id").unwrap_or_default();
        format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nReplica-Signature: {}.{id}\r\n", self.id)
    }
}
