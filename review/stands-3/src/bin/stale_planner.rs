//! Case: a leader is frozen right after it has given an order to a rank, and goes on with its change of the expert map
//! when it wakes, beside the change of its successor.

use std::path::PathBuf;
use std::process::Command;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use stands_3::fleet::Fleet;
use stands_3::fleet::Settings;
use stands_3::fleet::free_ip;
use stands_3::group;
use stands_3::group::Group;
use stands_3::group::Order;
use stands_3::http;
use stands_3::record::Record;
use stands_3::replica::Replica;
use stands_3::text::below;
use stands_3::text::has_trouble;
use stands_3::text::new_id;

/// Time in which the case has to end.
const LENGTH: Duration = Duration::from_secs(105);
/// Rounds with the disruption, and without it.
const ROUNDS: [usize; 2] = [8, 4];
/// Clients, each of which sends one stream after the other.
const CLIENTS: usize = 12;
/// Time after which a client gives a stream up.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest time for which a machine stands still (the site names 4 s).
const FREEZE_MAX: Duration = Duration::from_millis(4_000);
/// Length of a round, in which orders may be late (the site names 5.5 s).
const LATE_FOR: Duration = Duration::from_millis(5_000);
/// Time after the former leader wakes in which orders are late.
const LATE_AFTER: Duration = Duration::from_millis(200);
/// Time between two rounds, in which all recover (`catch_up_s`, and some more).
const PAUSE: Duration = Duration::from_millis(6_000);
/// Time from the successor's order to copy until the frozen leader wakes; the copies are complete then.
const COPIED_AFTER: Duration = Duration::from_millis(75);
/// The rank that leaves the successor's orders to copy without an answer.
const LATE_RANK: usize = 5;
/// The rank that leaves the stale order to arm without an answer.
const MUTE_RANK: usize = 3;

/// Where a round stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Calm,
    /// The next order to hold freezes the leader.
    Armed { leader: usize },
    /// The leader stands still; the version is that of its change.
    Frozen { leader: usize, version: u64, since: Instant },
    /// The successor has ordered to copy.
    Copying { leader: usize, version: u64 },
    /// The former leader runs again.
    Awake { version: u64, since: Instant },
}

/// What the rounds share with the ranks.
struct Rounds {
    phase: Mutex<Phase>,
    /// Version that was ordered to be copied last.
    version: Mutex<u64>,
    processes: Vec<u32>,
    record: Record,
}

impl Rounds {
    fn signal(&self, leader: usize, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.processes[leader].to_string()).status();
        self.record.show(&format!("edge-{} gets SIG{name}", leader + 1));
    }

    /// Judges an order; returns whether it gets no answer.
    fn judge(self: &Arc<Self>, order: &Order) -> bool {
        let mut phase = self.phase.lock().unwrap();
        if order.op == "prepare" {
            let mut version = self.version.lock().unwrap();
            *version = order.version.max(*version);
        }
        match *phase {
            Phase::Armed { leader } if order.op == "hold" => {
                self.signal(leader, "STOP");
                let version = *self.version.lock().unwrap();
                *phase = Phase::Frozen { leader, version, since: Instant::now() };
                true
            }
            Phase::Frozen { leader, version, .. } if order.op == "prepare" && order.version > version => {
                *phase = Phase::Copying { leader, version };
                let rounds = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(COPIED_AFTER);
                    let mut phase = rounds.phase.lock().unwrap();
                    rounds.signal(leader, "CONT");
                    *phase = Phase::Awake { version, since: Instant::now() };
                });
                order.rank == LATE_RANK
            }
            Phase::Copying { version, .. } => is_late(order, version),
            Phase::Awake { version, since } => since.elapsed() < LATE_AFTER && is_late(order, version),
            _ => false,
        }
    }

    /// Wakes the leader if its successor has made no change in time.
    fn end_freeze(&self) {
        let mut phase = self.phase.lock().unwrap();
        if let Phase::Frozen { leader, since, .. } = *phase
            && since.elapsed() + Duration::from_millis(300) > FREEZE_MAX
        {
            self.signal(leader, "CONT");
            *phase = Phase::Calm;
        }
    }
}

/// Returns whether an order beside the change to `version` gets no answer.
fn is_late(order: &Order, version: u64) -> bool {
    match order.op.as_str() {
        "prepare" => order.rank == LATE_RANK && order.version > version,
        "arm" => order.rank == MUTE_RANK && order.version == version,
        _ => false,
    }
}

fn config() -> String {
    let (sets, experts, places) = (group::SETS, group::EXPERTS, group::PLACES);
    let (spare, expert_mb, link_mbps) = (group::SPARE, group::EXPERT_MB, group::LINK_MBPS);
    format!(
        "{{\"version\":1,\"route_table\":[{{\"name\":\"r-draft\",\"host\":\"site.example\",\"path_prefix\":\"/draft/\",\
         \"kind\":\"stream\",\"timeout_ms\":8000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"writers\",\
         \"max_attempts\":2,\"public\":true,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":120}}],\
         \"services\":[{{\"name\":\"writers\",\"health_path\":\"/healthz\",\"max_connections\":278,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":12,\"kv_capacity_tokens\":494000,\"kv_bytes\":35136,\"link_mbps\":{link_mbps},\
         \"stride\":6,\"models\":[{{\"name\":\"m\"}}],\"step_ms\":4.84,\"per_seq_ms\":0.362,\"context_per_k\":0.011,\
         \"read_per_s\":74800.0,\"pairs_per_m\":0.232,\"chunk\":512,\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\
         \"loads_at_once\":8,\"usual\":{{\"prompt\":835,\"answer\":159}},\"sets\":{sets},\"experts\":{experts},\
         \"placements\":{places},\"spare\":{spare},\"expert_mb\":{expert_mb},\"expert_share\":0.85,\"form_ms\":600.0}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Sends one stream after the other.
fn run_client(frontends: Vec<String>, record: Record, until: Instant) {
    while Instant::now() < until {
        let frontend = &frontends[below(frontends.len() as u64) as usize];
        let id = new_id();
        let prefix = format!("5c1e07a2:40,{}:600", &id[..8]);
        let fields = [
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", "8000"),
            ("Model", "m"),
            ("Token-Count", "640,80"),
            ("Prompt-Prefix", prefix.as_str()),
        ];
        let request = http::request("POST", "/draft/1", "site.example", &fields, b"a draft");
        match http::call(frontend, &request, CLIENT_TIMEOUT) {
            Ok(it) => record.line(&format!("stream {id}: {}", it.status())),
            Err(error) => record.line(&format!("stream {id}: {error}")),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn run() -> Result<bool, String> {
    let begun = Instant::now();
    let folder = PathBuf::from(std::env::args().nth(1).ok_or("the folder of the case is missing")?);
    let record = Record::create(&folder).map_err(|it| it.to_string())?;
    let sides: Vec<String> = (0..group::RANKS).map(|_| free_ip()).collect();
    let settings = Settings { sides: sides.clone(), ..Settings::default() };
    let fleet = Fleet::start(settings).map_err(|it| it.to_string())?;
    if !fleet.put_config(&config(), Duration::from_secs(20)) || !fleet.wait_ready(Duration::from_secs(15)) {
        return Err("the system does not take the configuration".to_string());
    }
    let ranks = Group::start(record.clone());
    let zones = ["hall-a", "hall-b", "hall-c"];
    let replicas: Vec<Arc<Replica>> = (0..group::RANKS)
        .map(|idx| {
            let place = ["writers", zones[idx % zones.len()]];
            let replica =
                Replica::start_at(&sides[idx], place, 12, fleet.controls(), ranks.streams(), ranks.calls(idx));
            *replica.fields.lock().unwrap() =
                ",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
                    .to_string();
            replica
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let until = begun + LENGTH;
    let frontends: Vec<String> = (0..3).map(|it| fleet.frontend(it)).collect();
    for _ in 0..CLIENTS {
        let (frontends, record) = (frontends.clone(), record.clone());
        std::thread::spawn(move || run_client(frontends, record, until));
    }
    let processes = (0..3).map(|it| fleet.process_id(it)).collect();
    let rounds = Arc::new(Rounds {
        phase: Mutex::new(Phase::Calm),
        version: Mutex::new(0),
        processes,
        record: record.clone(),
    });
    let judge = rounds.clone();
    ranks.set_judge(Arc::new(move |it| judge.judge(it)));
    std::thread::sleep(Duration::from_secs(5));
    let rounds_max = ROUNDS[usize::from(!has_trouble())];
    let mut round = 0;
    while round < rounds_max && begun.elapsed() + LATE_FOR + PAUSE < LENGTH && ranks.mixed().is_empty() {
        round += 1;
        let before = (ranks.map_version(), ranks.orders());
        let leader = fleet.leader().ok_or("there is no leader")?;
        record.show(&format!("round {round}: edge-{} leads, map {}", leader + 1, before.0));
        ranks.shift();
        if has_trouble() {
            *rounds.phase.lock().unwrap() = Phase::Armed { leader };
        }
        let end = Instant::now() + LATE_FOR;
        while Instant::now() < end && ranks.mixed().is_empty() {
            std::thread::sleep(Duration::from_millis(20));
            rounds.end_freeze();
        }
        let orders = ranks.orders();
        *rounds.phase.lock().unwrap() = Phase::Calm;
        let (given, late) = (orders.0 - before.1.0, orders.1 - before.1.1);
        record.show(&format!("round {round}: {given} orders, {late} without an answer, map {}", ranks.map_version()));
        if ranks.mixed().is_empty() {
            std::thread::sleep(PAUSE);
        }
    }
    replicas.iter().for_each(|it| it.stop());
    let mixed = ranks.mixed();
    record.show(&format!("{} passes, map {}, {} passes with two maps", ranks.step(), ranks.map_version(), mixed.len()));
    for pass in mixed.iter().take(3) {
        record.show(&format!("BROKEN: MAP, {pass}"));
    }
    if mixed.is_empty() && (ranks.map_version() == 0 || ranks.step() < 100) {
        return Err("the group changed no map".to_string());
    }
    Ok(mixed.is_empty())
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::from(0),
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
