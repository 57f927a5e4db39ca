//! `overload`: shares of teams and goodput of one target at several times its capacity.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bilberryloft_coordination::admission::Admission;
use bilberryloft_coordination::admission::AdmissionOutcome;
use bilberryloft_coordination::admission::SlotRequest;
use clap::Args;
use fastrand::Rng;

use crate::summary::Summary;
use crate::work::exponential;

/// Time that is simulated in milliseconds.
const RUN_MS: u64 = 120_000;
/// Mean service time of a token in milliseconds.
const TOKEN_MS: f64 = 10.0;
/// Mean tokens of a request.
const TOKENS: f64 = 100.0;
/// Slots of the target.
const SLOTS: u32 = 16;
/// Requests that may wait.
const QUEUE_MAX: usize = 64;
/// Time within which an answer is of use, in milliseconds.
const DEADLINE_MS: u64 = 5_000;
/// Teams that send alike, beside one that sends ten times as much.
const TEAMS: usize = 9;

/// The command.
#[derive(Args)]
pub struct OverloadCommand {
    /// Loads as multiples of the capacity.
    #[arg(long, value_delimiter = ',', default_value = "0.8,2,5,10")]
    loads: Vec<f64>,
    /// Seeds.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    FirstCome,
    Admission,
}

impl OverloadCommand {
    /// Runs the command.
    pub fn run(self) -> eyre::Result<()> {
        println!(
            "load | policy | goodput over capacity | Jain's index of tokens among the {TEAMS} equal teams | share of the flooding team"
        );
        for load in &self.loads {
            for (name, policy) in
                [("first come", Policy::FirstCome), ("admission", Policy::Admission)]
            {
                let runs: Vec<[f64; 3]> =
                    (0..self.seeds).map(|it| simulate(policy, *load, it)).collect();
                let column =
                    |at: usize| Summary::of(runs.iter().map(|it| it[at]).collect()).text(3);
                println!("{load} | {name} | {} | {} | {}", column(0), column(1), column(2));
            }
        }
        Ok(())
    }
}

/// A queue without bound that serves in the order of arrival.
#[derive(Default)]
struct FirstCome {
    running: usize,
    waiting: VecDeque<u64>,
}

enum Queue {
    FirstCome(FirstCome),
    Admission(Admission),
}

impl Queue {
    fn ask(&mut self, ask: SlotRequest) -> bool {
        match self {
            Queue::FirstCome(queue) if queue.running < SLOTS as usize => {
                queue.running += 1;
                true
            }
            Queue::FirstCome(queue) => {
                queue.waiting.push_back(ask.id);
                false
            }
            Queue::Admission(admission) => admission.request_slot(ask) == AdmissionOutcome::Run,
        }
    }

    fn finish(&mut self, id: u64, now_ms: u64) -> Vec<u64> {
        match self {
            Queue::FirstCome(queue) => match queue.waiting.pop_front() {
                Some(next) => vec![next],
                None => {
                    queue.running -= 1;
                    Vec::new()
                }
            },
            Queue::Admission(admission) => {
                admission.take_expired(now_ms);
                admission.finish(id, now_ms).start
            }
        }
    }
}

struct Request {
    team: usize,
    tokens: f64,
    arrived_ms: u64,
}

/// Returns goodput over capacity, Jain's index among equal teams, and the flooding team's share.
fn simulate(policy: Policy, load: f64, seed: u64) -> [f64; 3] {
    let mut random = Rng::with_seed(seed);
    let mut queue = match policy {
        Policy::FirstCome => Queue::FirstCome(FirstCome::default()),
        Policy::Admission => Queue::Admission(Admission::new(SLOTS, QUEUE_MAX)),
    };
    let capacity = f64::from(SLOTS) / TOKEN_MS;
    let rate = load * capacity / TOKENS;
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut ends: BTreeMap<(u64, u64), ()> = BTreeMap::new();
    let mut good = [0.0; TEAMS + 1];
    let (mut due_ms, mut id) = (0.0, 0);
    for now_ms in 0..RUN_MS {
        while let Some(((at_ms, ended), ())) = ends.first_key_value().map(|(key, ())| (*key, ())) {
            if at_ms > now_ms {
                break;
            }
            ends.pop_first();
            if let Some(request) = requests.remove(&ended)
                && now_ms <= request.arrived_ms + DEADLINE_MS
            {
                good[request.team] += request.tokens;
            }
            for next in queue.finish(ended, now_ms) {
                let service_ms = (requests[&next].tokens * TOKEN_MS) as u64;
                ends.insert((now_ms + service_ms.max(1), next), ());
            }
        }
        while due_ms <= now_ms as f64 {
            due_ms += exponential(1.0 / rate, &mut random);
            id += 1;
            // One team floods: it sends as much as all others together.
            let team = if random.bool() { TEAMS } else { random.usize(0..TEAMS) };
            let tokens = exponential(TOKENS, &mut random).max(1.0);
            requests.insert(id, Request { team, tokens, arrived_ms: now_ms });
            let ask = SlotRequest {
                id,
                team: team.to_string(),
                weight: 10,
                priority: 0,
                work_tokens: tokens as u64,
                deadline_ms: now_ms + DEADLINE_MS,
                arrived_ms: now_ms,
                is_exclusive: false,
            };
            if queue.ask(ask) {
                ends.insert((now_ms + (tokens * TOKEN_MS).max(1.0) as u64, id), ());
            }
        }
    }
    let total: f64 = good.iter().sum();
    let equal = &good[..TEAMS];
    let sum: f64 = equal.iter().sum();
    let squares: f64 = equal.iter().map(|it| it * it).sum();
    let jain = sum * sum / (equal.len() as f64 * squares);
    [total / (capacity * RUN_MS as f64), jain, good[TEAMS] / total]
}
