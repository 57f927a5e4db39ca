//! `ranks`: placement of requests on the ranks of a lock-step group, with long contexts and a slow rank.

use bilberryloft_coordination::rank_choice::PREFILL_CHUNK_TOKENS;
use bilberryloft_coordination::rank_choice::RankChooser;
use bilberryloft_coordination::rank_choice::RankWork;
use bilberryloft_coordination::rank_choice::StepCosts;
use clap::Args;
use fastrand::Rng;

use crate::summary::Summary;
use crate::work::exponential;
use crate::work::gauss;

/// Steps of one run, the first fifth of which does not count.
const STEPS: usize = 20_000;
/// Time of a step beside what the load adds, in microseconds.
const BASE_US: f64 = 500.0;
/// Median and spread of the prompt's length in tokens, on a logarithmic scale.
const PROMPT_MEDIAN: f64 = 600.0;
const PROMPT_SPREAD: f64 = 1.4;
/// Longest prompt in tokens.
const PROMPT_MAX: f64 = 32_000.0;
/// Mean length of an answer in tokens.
const ANSWER_TOKENS: f64 = 250.0;
/// Tokens that the chooser expects of an answer, since it can't know.
const EXPECTED_ANSWER_TOKENS: u64 = 256;
/// Time that a rank takes in comparison while it is slow.
const SLOW_FACTOR: f64 = 2.0;
/// Noise of measured times.
const TIME_NOISE: f64 = 0.05;

/// The command.
#[derive(Args)]
pub struct RanksCommand {
    /// Numbers of ranks.
    #[arg(long, value_delimiter = ',', default_value = "8,32")]
    ranks: Vec<usize>,
    /// Requests that a rank runs on average.
    #[arg(long, default_value_t = 12.0)]
    requests_a_rank: f64,
    /// Seeds.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    RoundRobin,
    LeastRequests,
    TwoChoices,
    Chooser,
}

const POLICIES: [(&str, Policy); 4] = [
    ("round robin", Policy::RoundRobin),
    ("least requests", Policy::LeastRequests),
    ("two choices by requests", Policy::TwoChoices),
    ("least step time", Policy::Chooser),
];

struct Request {
    rank: usize,
    unread: u64,
    held: u64,
    answer_left: u64,
}

struct Group {
    chooser: RankChooser,
    requests: Vec<Request>,
    counts: Vec<usize>,
    next: usize,
}

impl RanksCommand {
    /// Runs the command.
    pub fn run(self) -> eyre::Result<()> {
        println!(
            "ranks | policy | most over mean rank time, all well | with one rank at half speed for the middle half | tokens a second, all well"
        );
        for ranks in &self.ranks {
            for (name, policy) in POLICIES {
                let well: Vec<[f64; 2]> =
                    (0..self.seeds).map(|it| self.simulate(policy, *ranks, it, false)).collect();
                let slow: Vec<[f64; 2]> =
                    (0..self.seeds).map(|it| self.simulate(policy, *ranks, it, true)).collect();
                let column = |runs: &[[f64; 2]], at: usize| {
                    Summary::of(runs.iter().map(|it| it[at]).collect())
                };
                println!(
                    "{ranks} | {name} | {} | {} | {}",
                    column(&well, 0).text(3),
                    column(&slow, 0).text(3),
                    column(&well, 1).text(0)
                );
            }
        }
        Ok(())
    }

    /// Returns the mean of most over mean rank time, and tokens a second.
    fn simulate(&self, policy: Policy, ranks: usize, seed: u64, has_slow_rank: bool) -> [f64; 2] {
        let mut random = Rng::with_seed(seed);
        let costs = StepCosts::default();
        let mut group = Group {
            chooser: RankChooser::new(ranks, costs),
            requests: Vec::new(),
            counts: vec![0; ranks],
            next: 0,
        };
        let rate = self.requests_a_rank * ranks as f64 / ANSWER_TOKENS;
        let (mut due, mut skew, mut counted) = (0.0, 0.0, 0.0);
        let (mut elapsed_us, mut tokens) = (0.0, 0_u64);
        for step in 0..STEPS {
            while due <= step as f64 {
                due += exponential(1.0 / rate, &mut random);
                group.add(policy, &mut random);
            }
            let is_slow = has_slow_rank && (STEPS / 4..3 * STEPS / 4).contains(&step);
            let times_us = group.times_us(&costs, is_slow);
            let most = times_us.iter().copied().fold(0.0, f64::max);
            let measured: Vec<f64> =
                times_us.iter().map(|it| it * (1.0 + TIME_NOISE * gauss(&mut random))).collect();
            group.chooser.note_step(&measured);
            let generated = group.advance();
            if step < STEPS / 5 {
                continue;
            }
            skew += most * ranks as f64 / times_us.iter().sum::<f64>();
            counted += 1.0;
            elapsed_us += most;
            tokens += generated;
        }
        [skew / counted, tokens as f64 / elapsed_us * 1e6]
    }
}

impl Group {
    fn add(&mut self, policy: Policy, random: &mut Rng) {
        let prompt = (PROMPT_MEDIAN.ln() + PROMPT_SPREAD * gauss(random))
            .exp()
            .clamp(16.0, PROMPT_MAX) as u64;
        let answer_left = exponential(ANSWER_TOKENS, random).max(1.0) as u64;
        let count = self.counts.len();
        let rank = match policy {
            Policy::RoundRobin => {
                self.next += 1;
                self.next % count
            }
            Policy::LeastRequests => (0..count).min_by_key(|it| self.counts[*it]).unwrap_or(0),
            Policy::TwoChoices => {
                let (left, right) = (random.usize(0..count), random.usize(0..count));
                if self.counts[left] <= self.counts[right] { left } else { right }
            }
            Policy::Chooser => {
                let work =
                    RankWork { prompt_tokens: prompt, answer_tokens: EXPECTED_ANSWER_TOKENS };
                self.chooser.place(work)
            }
        };
        self.counts[rank] += 1;
        self.requests.push(Request { rank, unread: prompt, held: 0, answer_left });
    }

    fn times_us(&self, costs: &StepCosts, is_slow: bool) -> Vec<f64> {
        let mut times_us = vec![BASE_US; self.counts.len()];
        let mut unread = vec![0; self.counts.len()];
        for request in &self.requests {
            times_us[request.rank] += costs.request_us + request.held as f64 * costs.kv_token_us;
            unread[request.rank] += request.unread;
        }
        for (time_us, unread) in times_us.iter_mut().zip(unread) {
            *time_us += unread.min(PREFILL_CHUNK_TOKENS) as f64 * costs.prefill_token_us;
        }
        if is_slow {
            times_us[0] *= SLOW_FACTOR;
        }
        times_us
    }

    /// Reads prompts in chunks, makes a token for each request that has been read, and ends those that are done.
    fn advance(&mut self) -> u64 {
        let mut budgets = vec![PREFILL_CHUNK_TOKENS; self.counts.len()];
        let mut generated = 0;
        for request in &mut self.requests {
            if request.unread > 0 {
                let read = request.unread.min(budgets[request.rank]);
                budgets[request.rank] -= read;
                request.unread -= read;
                request.held += read;
                self.chooser.note_prefilled(request.rank, read);
                continue;
            }
            request.held += 1;
            request.answer_left -= 1;
            generated += 1;
            self.chooser.note_tokens(request.rank, 1);
        }
        let (counts, chooser) = (&mut self.counts, &mut self.chooser);
        self.requests.retain(|it| {
            if it.answer_left == 0 {
                counts[it.rank] -= 1;
                chooser.end(it.rank, it.unread, it.held);
            }
            it.answer_left > 0
        });
        generated
    }
}
