//! `overload`: goodput of one target, and the teams' shares of it, under load below and above its capacity.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bilberryloft_coordination::admission::Admission;
use bilberryloft_coordination::admission::AdmissionOutcome;
use bilberryloft_coordination::admission::SlotRequest;
use clap::Args;
use fastrand::Rng;

use crate::summary::Summary;
use crate::workload::exponential;

/// Simulated time in milliseconds.
const RUN_MS: u64 = 120_000;
/// Service time of a token in milliseconds.
const TOKEN_MS: f64 = 10.0;
/// Mean number of tokens of a request.
const TOKENS_MEAN: f64 = 100.0;
/// Slots of the target.
const SLOTS: u32 = 16;
/// Requests that may wait in the admission queue.
const QUEUE_MAX: usize = 64;
/// Deadline of each request after its arrival, in milliseconds. Tokens completed later do not count as goodput.
const DEADLINE_MS: u64 = 5_000;
/// Teams with equal load. One more team, the flooding one, sends nine times as much as each of them, as much as all of
/// them together.
const TEAMS: usize = 9;

/// Arguments of the `overload` subcommand.
#[derive(Args)]
pub struct OverloadCommand {
    /// Loads to simulate, as multiples of the target's capacity.
    #[arg(long, value_delimiter = ',', default_value = "0.8,2,5,10")]
    loads: Vec<f64>,
    /// Number of seeds to simulate.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// Serves in order of arrival from an unbounded queue.
    FirstCome,
    /// Uses the admission control of an agent.
    Admission,
}

impl OverloadCommand {
    /// Runs the experiment and prints its table.
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

/// Unbounded queue that serves in order of arrival.
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
    /// Returns whether the request starts at once.
    fn request_slot(&mut self, slot_request: SlotRequest) -> bool {
        match self {
            Queue::FirstCome(queue) if queue.running < SLOTS as usize => {
                queue.running += 1;
                true
            }
            Queue::FirstCome(queue) => {
                queue.waiting.push_back(slot_request.id);
                false
            }
            Queue::Admission(admission) => {
                admission.request_slot(slot_request) == AdmissionOutcome::Run
            }
        }
    }

    /// Ends a request and returns the ids of those that start in its place.
    fn finish(&mut self, id: u64, now_ms: u64) -> Vec<u64> {
        match self {
            Queue::FirstCome(queue) => match queue.waiting.pop_front() {
                Some(started_id) => vec![started_id],
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

fn slot_request(id: u64, team: usize, tokens: f64, now_ms: u64) -> SlotRequest {
    SlotRequest {
        id,
        team: team.to_string(),
        weight: 10,
        priority: 0,
        work_tokens: tokens as u64,
        deadline_ms: now_ms + DEADLINE_MS,
        arrived_ms: now_ms,
        is_exclusive: false,
    }
}

/// Returns goodput over capacity, Jain's index among equal teams, and the flooding team's share.
fn simulate(policy: Policy, load: f64, seed: u64) -> [f64; 3] {
    let mut random = Rng::with_seed(seed);
    let mut queue = match policy {
        Policy::FirstCome => Queue::FirstCome(FirstCome::default()),
        Policy::Admission => Queue::Admission(Admission::new(SLOTS, QUEUE_MAX)),
    };
    let capacity = f64::from(SLOTS) / TOKEN_MS;
    let rate = load * capacity / TOKENS_MEAN;
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut ends: BTreeMap<(u64, u64), ()> = BTreeMap::new();
    let mut goodput_tokens = [0.0; TEAMS + 1];
    let (mut next_arrival_ms, mut id) = (0.0, 0);
    for now_ms in 0..RUN_MS {
        while let Some(((at_ms, ended), ())) = ends.first_key_value().map(|(key, ())| (*key, ())) {
            if at_ms > now_ms {
                break;
            }
            ends.pop_first();
            if let Some(request) = requests.remove(&ended)
                && now_ms <= request.arrived_ms + DEADLINE_MS
            {
                goodput_tokens[request.team] += request.tokens;
            }
            for started_id in queue.finish(ended, now_ms) {
                let service_ms = (requests[&started_id].tokens * TOKEN_MS) as u64;
                ends.insert((now_ms + service_ms.max(1), started_id), ());
            }
        }
        while next_arrival_ms <= now_ms as f64 {
            next_arrival_ms += exponential(1.0 / rate, &mut random);
            id += 1;
            // The flooding team sends as much as all others together.
            let team = if random.bool() { TEAMS } else { random.usize(0..TEAMS) };
            let tokens = exponential(TOKENS_MEAN, &mut random).max(1.0);
            requests.insert(id, Request { team, tokens, arrived_ms: now_ms });
            if queue.request_slot(slot_request(id, team, tokens, now_ms)) {
                ends.insert((now_ms + (tokens * TOKEN_MS).max(1.0) as u64, id), ());
            }
        }
    }
    let total: f64 = goodput_tokens.iter().sum();
    let fairness = jain_index(&goodput_tokens[..TEAMS]);
    [total / (capacity * RUN_MS as f64), fairness, goodput_tokens[TEAMS] / total]
}

/// Returns Jain's fairness index: 1 if all values are equal, and 1 / n if all but one are 0.
fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|it| it * it).sum();
    sum * sum / (values.len() as f64 * squares)
}
