//! A stand-in for a group of ranks that begin all passes together, as the pages tell it: counts of chosen experts, maps,
//! the orders to prepare, arm, disarm, hold and go, and streams whose events come with the passes.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::json::Json;
use crate::record::Record;
use crate::replica::Answer;
use crate::text::below;

/// Ranks of the group.
pub const RANKS: usize = 6;
/// Sets of experts.
pub const SETS: usize = 2;
/// Experts of a set.
pub const EXPERTS: usize = 16;
/// Most experts of a set at a rank.
pub const PLACES: usize = 5;
/// Most experts of a set that a rank may take anew with one map.
pub const SPARE: usize = 2;
/// Size of an expert.
pub const EXPERT_MB: f64 = 400.0;
/// Speed at which experts are copied.
pub const LINK_MBPS: f64 = 180_000.0;
/// Length of a pass (`pass_ms` of the site).
pub const PASS: Duration = Duration::from_millis(120);
/// Events of a stream, one a pass.
const EVENTS: u64 = 12;
/// Time for which a connection without an answer stays open.
const SILENCE: Duration = Duration::from_secs(3);
/// Time after which an order without an answer is carried out, in milliseconds (the pages say 2 to 12 s).
const LATE_MS: std::ops::Range<u64> = 2_000..4_000;

/// An order that a rank has read.
#[derive(Clone, Debug)]
pub struct Order {
    pub rank: usize,
    pub op: String,
    pub version: u64,
    pub step: u64,
    body: Json,
}

/// Says of an order whether it gets no answer and is carried out late.
pub type Judge = Arc<dyn Fn(&Order) -> bool + Send + Sync>;

struct Prepared {
    version: u64,
    experts: Vec<Vec<u64>>,
    is_copied_at: Instant,
}

#[derive(Default)]
struct Rank {
    map: u64,
    experts: Vec<Vec<u64>>,
    prepared: Option<Prepared>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    highest: u64,
    sequence: u64,
    counts: Vec<u64>,
}

impl Rank {
    /// Returns the version that is prepared, once the copy is complete.
    fn prepared_version(&self) -> Option<u64> {
        self.prepared.as_ref().filter(|it| it.is_copied_at <= Instant::now()).map(|it| it.version)
    }
}

struct State {
    step: u64,
    ranks: Vec<Rank>,
    /// Requests that run.
    running: usize,
    /// Which experts are liked.
    liked: usize,
    /// Passes that began with two maps.
    mixed: Vec<String>,
    orders: usize,
    unanswered: usize,
}

/// The group.
pub struct Group {
    state: Mutex<State>,
    pass_begun: Condvar,
    record: Record,
    judge: Mutex<Judge>,
}

fn list(numbers: &[u64]) -> String {
    let numbers: Vec<String> = numbers.iter().map(u64::to_string).collect();
    format!("[{}]", numbers.join(","))
}

fn or_null(number: Option<u64>) -> String {
    number.map_or("null".to_string(), |it| it.to_string())
}

impl Group {
    /// Starts the group; it makes passes while requests run.
    pub fn start(record: Record) -> Arc<Group> {
        let experts = |rank: usize| -> Vec<u64> { (rank as u64..EXPERTS as u64).step_by(RANKS).collect() };
        let rank = |idx: usize| Rank {
            experts: vec![experts(idx); SETS],
            counts: vec![0; SETS * EXPERTS],
            ..Rank::default()
        };
        let ranks = (0..RANKS).map(rank).collect();
        let state = State { step: 0, ranks, running: 0, liked: 0, mixed: Vec::new(), orders: 0, unanswered: 0 };
        let group = Arc::new(Group {
            state: Mutex::new(state),
            pass_begun: Condvar::new(),
            record,
            judge: Mutex::new(Arc::new(|_: &Order| false)),
        });
        let passes = group.clone();
        std::thread::spawn(move || passes.run_passes());
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Sets who judges orders.
    pub fn set_judge(&self, judge: Judge) {
        *self.judge.lock().unwrap() = judge;
    }

    /// Lets other experts be liked.
    pub fn shift(&self) {
        let mut state = self.lock();
        state.liked = (state.liked + 5) % EXPERTS;
    }

    /// Returns the pass that was begun last.
    pub fn step(&self) -> u64 {
        self.lock().step
    }

    /// Returns the highest version in use.
    pub fn map_version(&self) -> u64 {
        self.lock().ranks.iter().map(|it| it.map).max().unwrap_or(0)
    }

    /// Returns the passes that began with two maps.
    pub fn mixed(&self) -> Vec<String> {
        self.lock().mixed.clone()
    }

    /// Returns the number of orders, and of those without an answer.
    pub fn orders(&self) -> (usize, usize) {
        let state = self.lock();
        (state.orders, state.unanswered)
    }

    fn run_passes(&self) {
        let mut begun = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(1));
            let mut state = self.lock();
            let next = state.step + 1;
            let is_held = state.ranks.iter().any(|it| it.held == Some(next));
            if begun.elapsed() < PASS || state.running == 0 || is_held {
                continue;
            }
            begun = Instant::now();
            self.begin_pass(&mut state);
            drop(state);
            self.pass_begun.notify_all();
        }
    }

    fn begin_pass(&self, state: &mut State) {
        state.step += 1;
        let (step, liked) = (state.step, state.liked);
        for (idx, rank) in state.ranks.iter_mut().enumerate() {
            let Some((version, at)) = rank.armed else { continue };
            if at != step {
                continue;
            }
            if let Some(prepared) = rank.prepared.take_if(|it| it.version == version) {
                rank.map = version;
                rank.experts = prepared.experts;
                self.record.line(&format!("pass {step}: rank {idx} switches to map {version}"));
            }
            rank.armed = None;
        }
        for rank in &mut state.ranks {
            for at in 0..SETS * EXPERTS {
                let (set, expert) = (at / EXPERTS, at % EXPERTS);
                let distance = (expert + EXPERTS - (liked + set) % EXPERTS) % EXPERTS;
                rank.counts[at] += 2_000 / (1 + distance as u64);
            }
        }
        let maps: Vec<u64> = state.ranks.iter().map(|it| it.map).collect();
        if maps.iter().any(|it| *it != maps[0]) {
            let text = format!("pass {step} begins with the maps {maps:?}");
            self.record.line(&text);
            state.mixed.push(text);
        }
    }

    /// Carries out an order; returns the status of the answer.
    fn carry_out(&self, order: &Order) -> u16 {
        let mut state = self.lock();
        let current = state.step;
        let rank = &mut state.ranks[order.rank];
        if order.body.number("epoch").is_some_and(|it| it != 1) {
            return 409;
        }
        let has_begun = match order.op.as_str() {
            "prepare" => {
                if rank.prepared.as_ref().is_some_and(|it| it.version == order.version) {
                    return 200;
                }
                let sets = order.body.field("map").map(Json::list).unwrap_or_default();
                let experts: Vec<Vec<u64>> =
                    sets.iter().map(|it| it.list().get(order.rank).map(Json::numbers).unwrap_or_default()).collect();
                let new_in = |set: usize| experts[set].iter().filter(|it| !rank.experts[set].contains(it)).count();
                let new: Vec<usize> = (0..experts.len().min(SETS)).map(new_in).collect();
                let fits = experts.len() == SETS && experts.iter().all(|it| it.len() <= PLACES);
                if order.version <= rank.highest || rank.armed.is_some() || !fits || new.iter().any(|it| *it > SPARE) {
                    return 409;
                }
                let copy_s = new.iter().sum::<usize>() as f64 * EXPERT_MB * 8.0 / LINK_MBPS;
                let is_copied_at = Instant::now() + Duration::from_secs_f64(copy_s);
                rank.highest = order.version;
                // The room for experts that are new is that of the map prepared before.
                rank.prepared = Some(Prepared { version: order.version, experts, is_copied_at });
                true
            }
            "arm" => {
                if rank.armed == Some((order.version, order.step)) {
                    return 200;
                }
                if rank.prepared_version() != Some(order.version) || order.step <= current {
                    return 409;
                }
                rank.armed = Some((order.version, order.step));
                true
            }
            "disarm" => {
                if rank.map == order.version {
                    return 409;
                }
                rank.armed.take_if(|it| it.0 == order.version).is_some()
            }
            "hold" => {
                if rank.held == Some(order.step) {
                    return 200;
                }
                if order.step <= current || rank.held.is_some() {
                    return 409;
                }
                rank.held = Some(order.step);
                true
            }
            "go" => rank.held.take_if(|it| *it == order.step).is_some(),
            _ => return 400,
        };
        rank.sequence += u64::from(has_begun);
        if has_begun { 202 } else { 200 }
    }

    fn take_order(self: &Arc<Self>, rank: usize, connection: &mut Connection, body: &[u8]) -> std::io::Result<bool> {
        let Some(body) = Json::read(body) else {
            return send(connection, 400, "");
        };
        let op = body.text("op").unwrap_or_default().to_string();
        let (version, step) = (body.number("version").unwrap_or(0), body.number("step").unwrap_or(0));
        let order = Order { rank, op, version, step, body };
        let judge = self.judge.lock().unwrap().clone();
        let is_late = judge(&order);
        let what = format!("rank {rank}: {} version {version} step {step}", order.op);
        {
            let mut state = self.lock();
            state.orders += 1;
            state.unanswered += usize::from(is_late);
        }
        if !is_late {
            let status = self.carry_out(&order);
            self.record.line(&format!("{what}: {status}"));
            return send(connection, status, "");
        }
        let late_ms = LATE_MS.start + below(LATE_MS.end - LATE_MS.start);
        self.record.line(&format!("{what}: no answer, to be carried out in {late_ms} ms"));
        let group = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(late_ms));
            let status = group.carry_out(&order);
            group.record.line(&format!("{what}: carried out late ({status})"));
        });
        std::thread::sleep(SILENCE);
        Ok(false)
    }

    fn report(&self, rank: usize) -> String {
        let state = self.lock();
        let it = &state.ranks[rank];
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"sequence\":{},\"waiting\":0,\"running\":{},\"kv_used\":0,\"kv_total\":494000,\"handles\":0,\"pace\":1.0,\
             \"group\":{{\"name\":\"g\",\"epoch\":1,\"rank\":{rank},\"state\":\"open\"}},\"size\":{RANKS},\"step\":{},\
             \"map\":{},\"prepared\":{},\"armed\":{},\"held\":{}}}",
            it.sequence,
            state.running / RANKS,
            state.step,
            it.map,
            or_null(it.prepared_version()),
            or_null(it.armed.map(|it| it.0)),
            or_null(it.held)
        )
    }

    fn picked(&self, rank: usize, has_lists: bool) -> String {
        let state = self.lock();
        let it = &state.ranks[rank];
        if !has_lists {
            return format!("{{\"step\":{},\"epoch\":1,\"counts\":{}}}", state.step, list(&it.counts));
        }
        let text = |sets: &[Vec<u64>]| sets.iter().map(|it| list(it)).collect::<Vec<_>>().join(",");
        let prepared = it.prepared.as_ref().filter(|it| it.is_copied_at <= Instant::now());
        let prepared = prepared
            .map(|it| format!(",\"prepared\":{{\"version\":{},\"experts\":[{}]}}", it.version, text(&it.experts)))
            .unwrap_or_default();
        format!(
            "{{\"epoch\":1,\"map\":{{\"version\":{},\"experts\":[{}]}}{prepared}}}",
            it.map,
            text(&it.experts)
        )
    }

    /// Returns what answers the calls of the system to a rank.
    pub fn calls(self: &Arc<Self>, rank: usize) -> Answer {
        let group = self.clone();
        Arc::new(move |_, connection, request| {
            let (method, path) = request.method_and_path();
            match (method, path.split('?').next().unwrap_or_default()) {
                ("GET", "/bilberryloft/report") => send(connection, 200, &group.report(rank)),
                ("GET", "/bilberryloft/picked") => send(connection, 200, &group.picked(rank, path.contains("lists"))),
                ("POST", "/bilberryloft/order") => group.take_order(rank, connection, &request.body),
                _ => send(connection, 404, ""),
            }
        })
    }

    /// Returns what answers the requests of clients, which are streams.
    pub fn streams(self: &Arc<Self>) -> Answer {
        let group = self.clone();
        Arc::new(move |replica, connection, request| {
            let first = request.field("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0) + 1;
            group.lock().running += 1;
            let head = replica.head(request, "200 OK");
            let head = format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            let written = group.write_events(connection, &head, first);
            group.lock().running -= 1;
            written
        })
    }

    fn write_events(&self, connection: &mut Connection, head: &str, first: u64) -> std::io::Result<bool> {
        connection.write(head.as_bytes())?;
        for number in first..=EVENTS {
            let state = self.lock();
            let before = state.step;
            let waited = self.pass_begun.wait_timeout_while(state, SILENCE, |it| it.step == before);
            drop(waited);
            let event = format!("id: {number}\ndata: event {number}\n\n");
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")?;
        Ok(true)
    }
}

fn send(connection: &mut Connection, status: u16, body: &str) -> std::io::Result<bool> {
    let kind = if body.is_empty() { "" } else { "Content-Type: application/json\r\n" };
    let head = format!("HTTP/1.1 {status} S\r\n{kind}Content-Length: {}\r\n\r\n", body.len());
    connection.write(format!("{head}{body}").as_bytes())?;
    Ok(true)
}
