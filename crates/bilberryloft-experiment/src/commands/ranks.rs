//! `ranks`: simulates policies that place requests on the ranks of a lock-step group, with long contexts and a slow
//! rank.

use bilberryloft_coordination::rank_choice::PREFILL_CHUNK_TOKENS;
use bilberryloft_coordination::rank_choice::RankChooser;
use bilberryloft_coordination::rank_choice::RankWork;
use bilberryloft_coordination::rank_choice::StepCosts;
use clap::Args;
use fastrand::Rng;

use crate::summary::Summary;
use crate::workload::exponential;
use crate::workload::standard_normal;

/// Steps of one run; the first fifth is warm-up and not measured.
const STEPS: usize = 20_000;
/// Time of a step without load, in microseconds.
const STEP_BASE_US: f64 = 500.0;
/// Median of the log-normal length of a prompt, in tokens.
const PROMPT_TOKENS_MEDIAN: f64 = 600.0;
/// Standard deviation of the logarithm of the length of a prompt.
const PROMPT_LOG_SPREAD: f64 = 1.4;
/// Longest prompt in tokens.
const PROMPT_TOKENS_MAX: f64 = 32_000.0;
/// Mean length of an answer in tokens.
const ANSWER_TOKENS_MEAN: f64 = 250.0;
/// Answer length that is passed to the rank chooser in tokens, because the real one is unknown when a request arrives.
const EXPECTED_ANSWER_TOKENS: u64 = 256;
/// Factor by which the slow rank's steps take longer.
const SLOW_FACTOR: f64 = 2.0;
/// Relative standard deviation of the measured step times.
const STEP_TIME_NOISE: f64 = 0.05;

/// Arguments of the `ranks` subcommand.
#[derive(Args)]
pub struct RanksCommand {
    /// Group sizes to simulate, in ranks.
    #[arg(long, value_delimiter = ',', default_value = "8,32")]
    ranks: Vec<usize>,
    /// Mean number of requests that a rank runs at a time.
    #[arg(long, default_value_t = 12.0)]
    requests_a_rank: f64,
    /// Number of seeds to simulate.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    RoundRobin,
    LeastRequests,
    TwoChoices,
    LeastStepTime,
}

const POLICIES: [(&str, Policy); 4] = [
    ("round robin", Policy::RoundRobin),
    ("least requests", Policy::LeastRequests),
    ("two choices by requests", Policy::TwoChoices),
    ("least step time", Policy::LeastStepTime),
];

/// Request that is running on a rank.
struct Request {
    rank: usize,
    prefill_tokens_left: u64,
    kv_tokens: u64,
    answer_tokens_left: u64,
}

/// Simulated lock-step group.
struct Group {
    chooser: RankChooser,
    requests: Vec<Request>,
    /// Running requests of each rank.
    counts: Vec<usize>,
    /// Counter of the round robin policy.
    rotation: usize,
}

impl RanksCommand {
    /// Runs the experiment and prints its table.
    pub fn run(self) -> eyre::Result<()> {
        println!(
            "ranks | policy | most over mean rank time, all well | with one rank at half speed for the middle half | tokens a second, all well"
        );
        for ranks in &self.ranks {
            for (name, policy) in POLICIES {
                let healthy: Vec<[f64; 2]> =
                    (0..self.seeds).map(|it| self.simulate(policy, *ranks, it, false)).collect();
                let slow: Vec<[f64; 2]> =
                    (0..self.seeds).map(|it| self.simulate(policy, *ranks, it, true)).collect();
                let column = |runs: &[[f64; 2]], at: usize| {
                    Summary::of(runs.iter().map(|it| it[at]).collect())
                };
                println!(
                    "{ranks} | {name} | {} | {} | {}",
                    column(&healthy, 0).text(3),
                    column(&slow, 0).text(3),
                    column(&healthy, 1).text(0)
                );
            }
        }
        Ok(())
    }

    /// Returns the mean ratio of the highest to the mean rank time of a step, and the tokens per second.
    fn simulate(&self, policy: Policy, ranks: usize, seed: u64, has_slow_rank: bool) -> [f64; 2] {
        let mut random = Rng::with_seed(seed);
        let costs = StepCosts::default();
        let mut group = Group {
            chooser: RankChooser::new(ranks, costs),
            requests: Vec::new(),
            counts: vec![0; ranks],
            rotation: 0,
        };
        let rate = self.requests_a_rank * ranks as f64 / ANSWER_TOKENS_MEAN;
        let (mut next_arrival, mut skew_sum, mut counted_steps) = (0.0, 0.0, 0.0);
        let (mut elapsed_us, mut tokens) = (0.0, 0_u64);
        for step in 0..STEPS {
            while next_arrival <= step as f64 {
                next_arrival += exponential(1.0 / rate, &mut random);
                group.add_request(policy, &mut random);
            }
            let is_slow = has_slow_rank && (STEPS / 4..3 * STEPS / 4).contains(&step);
            let times_us = group.step_times_us(&costs, is_slow);
            let max_us = times_us.iter().copied().fold(0.0, f64::max);
            let measured: Vec<f64> = times_us
                .iter()
                .map(|time_us| time_us * (1.0 + STEP_TIME_NOISE * standard_normal(&mut random)))
                .collect();
            group.chooser.note_step(&measured);
            let generated = group.advance();
            if step < STEPS / 5 {
                continue;
            }
            skew_sum += max_us * ranks as f64 / times_us.iter().sum::<f64>();
            counted_steps += 1.0;
            elapsed_us += max_us;
            tokens += generated;
        }
        [skew_sum / counted_steps, tokens as f64 / elapsed_us * 1e6]
    }
}

impl Group {
    /// Adds a random request on the rank that the policy chooses.
    fn add_request(&mut self, policy: Policy, random: &mut Rng) {
        let prompt = (PROMPT_TOKENS_MEDIAN.ln() + PROMPT_LOG_SPREAD * standard_normal(random))
            .exp()
            .clamp(16.0, PROMPT_TOKENS_MAX) as u64;
        let answer_tokens_left = exponential(ANSWER_TOKENS_MEAN, random).max(1.0) as u64;
        let count = self.counts.len();
        let rank = match policy {
            Policy::RoundRobin => {
                self.rotation += 1;
                self.rotation % count
            }
            Policy::LeastRequests => (0..count).min_by_key(|it| self.counts[*it]).unwrap_or(0),
            Policy::TwoChoices => {
                let (left, right) = (random.usize(0..count), random.usize(0..count));
                if self.counts[left] <= self.counts[right] { left } else { right }
            }
            Policy::LeastStepTime => {
                let work =
                    RankWork { prompt_tokens: prompt, answer_tokens: EXPECTED_ANSWER_TOKENS };
                self.chooser.place(work)
            }
        };
        self.counts[rank] += 1;
        self.requests.push(Request {
            rank,
            prefill_tokens_left: prompt,
            kv_tokens: 0,
            answer_tokens_left,
        });
    }

    /// Returns the time of the next step on each rank.
    fn step_times_us(&self, costs: &StepCosts, is_slow: bool) -> Vec<f64> {
        let mut times_us = vec![STEP_BASE_US; self.counts.len()];
        let mut prefill_tokens_left = vec![0; self.counts.len()];
        for request in &self.requests {
            times_us[request.rank] +=
                costs.request_us + request.kv_tokens as f64 * costs.kv_token_us;
            prefill_tokens_left[request.rank] += request.prefill_tokens_left;
        }
        for (time_us, prefill_tokens_left) in times_us.iter_mut().zip(prefill_tokens_left) {
            *time_us +=
                prefill_tokens_left.min(PREFILL_CHUNK_TOKENS) as f64 * costs.prefill_token_us;
        }
        if is_slow {
            times_us[0] *= SLOW_FACTOR;
        }
        times_us
    }

    /// Simulates one step: prefills prompts in chunks, generates a token for each prefilled request and removes the
    /// finished ones. Returns the number of tokens generated.
    fn advance(&mut self) -> u64 {
        let mut budgets = vec![PREFILL_CHUNK_TOKENS; self.counts.len()];
        let mut generated = 0;
        for request in &mut self.requests {
            if request.prefill_tokens_left > 0 {
                let prefilled = request.prefill_tokens_left.min(budgets[request.rank]);
                budgets[request.rank] -= prefilled;
                request.prefill_tokens_left -= prefilled;
                request.kv_tokens += prefilled;
                self.chooser.note_prefilled(request.rank, prefilled);
                continue;
            }
            request.kv_tokens += 1;
            request.answer_tokens_left -= 1;
            generated += 1;
            self.chooser.note_tokens(request.rank, 1);
        }
        let (counts, chooser) = (&mut self.counts, &mut self.chooser);
        self.requests.retain(|request| {
            if request.answer_tokens_left == 0 {
                counts[request.rank] -= 1;
                chooser.end(request.rank, request.prefill_tokens_left, request.kv_tokens);
            }
            request.answer_tokens_left > 0
        });
        generated
    }
}
