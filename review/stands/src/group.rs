//! A group of ranks in lock-step, as PROTOCOL.md describes them. It runs passes, serves streams, carries out orders, and
//! records each pass that begins while two ranks have different maps.

use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use crate::fleet::free_ip;
use crate::http;
use crate::json::Json;
use crate::random::Random;
use crate::record::Record;
use crate::replica::Request;
use crate::replica::read_request;

const PORT: u16 = 8_300;
const RANKS: usize = 16;
const SETS: usize = 2;
const EXPERTS: usize = 64;
/// Most experts of one set that a rank holds (`placements`).
const PLACEMENTS: usize = 5;
const PASS: Duration = Duration::from_millis(30);
/// Passes after which other experts are in demand.
const SHIFT_PASSES: u64 = 40;
/// Events of a stream, and the time between two of them.
const EVENTS: u64 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Delay after which an order without an answer is carried out.
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What goes wrong at the replicas.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// Share of the streams after which a second copy of the answer arrives, where the next answer is due.
    pub second_answers: f64,
    /// Share of the orders that get no answer and are carried out 2 to 12 s later.
    pub late_orders: f64,
}

#[derive(Clone, Default)]
struct Rank {
    map: u64,
    experts: Option<Json>,
    prepared: Option<(u64, Json)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    highest: u64,
    sequence: u64,
    counts: Vec<u64>,
}

#[derive(Default)]
struct State {
    step: u64,
    ranks: Vec<Rank>,
    mixed: u64,
    changes: u64,
    second_answers_to_orders: u64,
}

pub struct Group {
    state: Arc<Mutex<State>>,
    trouble: Arc<Mutex<Trouble>>,
    pub ips: Vec<String>,
    _guards: Vec<TcpListener>,
}

/// Returns the engine of the service, as the configuration describes it.
pub fn engine() -> String {
    format!(
        r#"{{"slots":12,"kv_capacity_tokens":494000,"stride":6,"models":[{{"name":"m"}}],"step_ms":4.84,"per_seq_ms":0.362,"context_per_k":0.011,"read_per_s":74800.0,"chunk":512,"report_lag_ms":200.0,"usual":{{"prompt":835,"answer":159}},"sets":{SETS},"experts":{EXPERTS},"placements":{PLACEMENTS},"spare":2,"expert_mb":100.0,"link_mbps":180000.0,"expert_share":0.85,"form_ms":600.0}}"#
    )
}

impl Group {
    pub fn start(record: &Record) -> Group {
        let own = |rank: usize| {
            let experts = (rank..EXPERTS).step_by(RANKS).map(|it| Json::Number(it as f64));
            Json::List(vec![Json::List(experts.collect()); SETS])
        };
        let rank = |idx: usize| Rank {
            experts: Some(own(idx)),
            counts: vec![0; SETS * EXPERTS],
            ..Rank::default()
        };
        let state = State { ranks: (0..RANKS).map(rank).collect(), ..State::default() };
        let state = Arc::new(Mutex::new(state));
        let trouble = Arc::new(Mutex::new(Trouble::default()));
        let (ips, guards): (Vec<_>, Vec<_>) = (0..RANKS).map(|_| free_ip()).unzip();
        for (rank, ip) in ips.iter().enumerate() {
            let listener = TcpListener::bind((ip.as_str(), PORT));
            let listener = listener.unwrap_or_else(|_| crate::cannot_run("a rank can't listen"));
            let (state, trouble, record) = (state.clone(), trouble.clone(), record.clone());
            std::thread::spawn(move || {
                for (number, stream) in listener.incoming().flatten().enumerate() {
                    let server = Server {
                        rank,
                        state: state.clone(),
                        trouble: trouble.clone(),
                        record: record.clone(),
                        random: Random::new((rank as u64) << 32 | number as u64),
                        second_answer: None,
                    };
                    std::thread::spawn(move || server.serve(stream));
                }
            });
        }
        let (passes, log) = (state.clone(), record.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(PASS);
                lock(&passes).begin_pass(&log);
            }
        });
        Group { state, trouble, ips, _guards: guards }
    }

    /// Sends heartbeats of all ranks, each to the first daemon that acknowledges it.
    pub fn announce(&self, control: Vec<String>) {
        for (rank, ip) in self.ips.iter().enumerate() {
            let (address, control) = (format!("{ip}:{PORT}"), control.clone());
            std::thread::spawn(move || announce(rank, &address, &control));
        }
    }

    pub fn set_trouble(&self, trouble: Trouble) {
        if let Ok(mut it) = self.trouble.lock() {
            *it = trouble;
        }
    }

    /// Returns the passes that began with different maps, the changes of the map, and the second answers that came where
    /// the answer to an order was due.
    pub fn counts(&self) -> (u64, u64, u64) {
        let state = lock(&self.state);
        (state.mixed, state.changes, state.second_answers_to_orders)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|it| it.into_inner())
}

fn announce(rank: usize, address: &str, control: &[String]) {
    let path = format!("/bilberryloft/replicas/i-rank{rank}");
    let mut at = 0;
    for sequence in 1_u64.. {
        let body = format!(
            r#"{{"service":"board","address":"{address}","zone":"hall-a","version":"v1","slots":12,"state":"ready","cold_remaining_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence}}}"#
        );
        for _ in 0..control.len() {
            let address = &control[at % control.len()];
            let timeout = Duration::from_secs(1);
            let answer = http::call(address, "PUT", &path, &[], body.as_bytes(), timeout);
            if answer.is_ok_and(|it| (200..300).contains(&it.status)) {
                break;
            }
            at += 1;
        }
        std::thread::sleep(HEARTBEAT);
    }
}

impl State {
    fn begin_pass(&mut self, record: &Record) {
        let next = self.step + 1;
        if self.ranks.iter().any(|it| it.held == Some(next)) {
            return;
        }
        self.step = next;
        let before = self.ranks[0].map;
        for rank in &mut self.ranks {
            if rank.armed.is_some_and(|it| it.1 == next) {
                rank.armed = None;
                if let Some((version, experts)) = rank.prepared.take() {
                    rank.map = version;
                    rank.experts = Some(experts);
                }
            }
        }
        let maps: Vec<u64> = self.ranks.iter().map(|it| it.map).collect();
        if maps.iter().any(|it| *it != maps[0]) {
            self.mixed += 1;
            if self.mixed <= 5 {
                record.line(&format!("pass {next} begins with the maps {maps:?}"));
            }
        } else if maps[0] != before {
            self.changes += 1;
            record.line(&format!("pass {next} begins with the map {} on all ranks", maps[0]));
        }
        let hot = (next / SHIFT_PASSES * 5) as usize;
        for rank in &mut self.ranks {
            for set in 0..SETS {
                for expert in 0..EXPERTS {
                    let distance = (expert + EXPERTS - (hot + set) % EXPERTS) % EXPERTS;
                    rank.counts[set * EXPERTS + expert] += 12_000 / (1 + distance as u64);
                }
            }
        }
    }

    /// Carries out an order and returns the status of its answer.
    fn carry_out(&mut self, at: usize, order: &Json) -> u16 {
        let (step, rank) = (self.step, &mut self.ranks[at]);
        if order.number("epoch").is_some_and(|it| it != 1) {
            return 409;
        }
        let version = order.number("version").unwrap_or(0);
        let wanted = order.number("step").unwrap_or(0);
        let is_begun = match order.text("op").unwrap_or_default() {
            "prepare" => {
                if rank.prepared.as_ref().is_some_and(|it| it.0 == version) {
                    return 200;
                }
                if version <= rank.highest || rank.armed.is_some() {
                    return 409;
                }
                rank.highest = version;
                let sets = order.field("map").map(|it| it.items().to_vec()).unwrap_or_default();
                let own = sets.iter().map(|it| it.items().get(at).cloned().unwrap_or(Json::Null));
                rank.prepared = Some((version, Json::List(own.collect())));
                true
            }
            "arm" if rank.armed == Some((version, wanted)) => false,
            "arm" => {
                let is_prepared = rank.prepared.as_ref().is_some_and(|it| it.0 == version);
                if !is_prepared || wanted <= step {
                    return 409;
                }
                rank.armed = Some((version, wanted));
                true
            }
            "disarm" if rank.map == version => return 409,
            "disarm" => rank.armed.take_if(|it| it.0 == version).is_some(),
            "hold" if rank.held == Some(wanted) => false,
            "hold" => {
                if wanted <= step || rank.held.is_some() {
                    return 409;
                }
                rank.held = Some(wanted);
                true
            }
            "go" => rank.held.take_if(|it| *it == wanted).is_some(),
            _ => return 400,
        };
        rank.sequence += u64::from(is_begun);
        if is_begun { 202 } else { 200 }
    }

    fn report(&self, at: usize) -> String {
        let rank = &self.ranks[at];
        let or_null = |it: Option<u64>| it.map_or("null".to_string(), |it| it.to_string());
        format!(
            r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":{},"waiting":0,"running":2,"kv_used":41000,"kv_total":494000,"handles":0,"pace":1.0,"group":{{"name":"g","epoch":1,"rank":{at},"state":"open"}},"size":{RANKS},"step":{},"map":{},"prepared":{},"armed":{},"held":{}}}"#,
            rank.sequence,
            self.step,
            rank.map,
            or_null(rank.prepared.as_ref().map(|it| it.0)),
            or_null(rank.armed.map(|it| it.0)),
            or_null(rank.held),
        )
    }

    fn picked(&self, at: usize, with_lists: bool) -> String {
        let rank = &self.ranks[at];
        if with_lists {
            let experts = rank.experts.as_ref().map_or("[]".to_string(), Json::encode);
            let map = rank.map;
            return format!(r#"{{"epoch":1,"map":{{"version":{map},"experts":{experts}}}}}"#);
        }
        let counts: Vec<String> = rank.counts.iter().map(u64::to_string).collect();
        format!(r#"{{"step":{},"epoch":1,"counts":[{}]}}"#, self.step, counts.join(","))
    }
}

/// One connection to a rank.
struct Server {
    rank: usize,
    state: Arc<Mutex<State>>,
    trouble: Arc<Mutex<Trouble>>,
    record: Record,
    random: Random,
    /// Second copy of the last answer, which comes where the next one is due.
    second_answer: Option<Vec<u8>>,
}

impl Server {
    fn serve(mut self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut bytes) {
            let trouble = self.trouble.lock().map(|it| *it).unwrap_or_default();
            let is_order = request.path == "/bilberryloft/order";
            if let Some(second) = self.second_answer.take() {
                if is_order {
                    lock(&self.state).second_answers_to_orders += 1;
                    let order = String::from_utf8_lossy(&request.body).into_owned();
                    let order: String = order.chars().take(80).collect();
                    let rank = self.rank;
                    self.record.line(&format!(
                        "rank {rank}: a second copy of its last answer comes before that to {order}"
                    ));
                }
                if stream.write_all(&second).is_err() {
                    return;
                }
            }
            let answer = match request.path.as_str() {
                "/bilberryloft/order" => match self.order(&request, trouble) {
                    Some(status) => plain(status, ""),
                    None => continue,
                },
                "/bilberryloft/report" => plain(200, &lock(&self.state).report(self.rank)),
                path if path.starts_with("/bilberryloft/picked") => {
                    plain(200, &lock(&self.state).picked(self.rank, path.contains("lists")))
                }
                _ => {
                    if self.stream(&request, &mut stream, trouble).is_none() {
                        return;
                    }
                    continue;
                }
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Carries out an order now and returns its status, or carries it out late and returns `None`.
    fn order(&mut self, request: &Request, trouble: Trouble) -> Option<u16> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let order = Json::parse(&text)?;
        let name = order.text("op").unwrap_or_default().to_string();
        let numbers =
            format!("version {:?} step {:?}", order.number("version"), order.number("step"));
        let rank = self.rank;
        if self.random.share() < trouble.late_orders {
            let wait_ms = LATE_MS.start + self.random.below(LATE_MS.end - LATE_MS.start);
            self.record.line(&format!("rank {rank}: {name} {numbers}: no answer, in {wait_ms} ms"));
            let state = self.state.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(wait_ms));
                lock(&state).carry_out(rank, &order);
            });
            return None;
        }
        let status = lock(&self.state).carry_out(rank, &order);
        self.record.line(&format!("rank {rank}: {name} {numbers}: {status}"));
        Some(status)
    }

    fn stream(
        &mut self,
        request: &Request,
        stream: &mut TcpStream,
        trouble: Trouble,
    ) -> Option<()> {
        let attempt = request.header("attempt-id").unwrap_or_default().to_string();
        let expected = request.header("expect-replica").unwrap_or_default();
        let own = format!("i-rank{}", self.rank);
        if !expected.is_empty() && expected != own {
            return stream.write_all(&plain(421, "")).ok();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\nReplica-Signature: {own}.{attempt}\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let first = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0) + 1;
        stream.write_all(head.as_bytes()).ok()?;
        let mut whole = head.into_bytes();
        for number in first..=EVENTS {
            std::thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).ok()?;
            whole.extend_from_slice(chunk.as_bytes());
        }
        stream.write_all(b"0\r\n\r\n").ok()?;
        whole.extend_from_slice(b"0\r\n\r\n");
        if self.random.share() < trouble.second_answers {
            self.second_answer = Some(whole);
        }
        Some(())
    }
}

fn plain(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
