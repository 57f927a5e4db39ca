//! `balance`: simulates how policies spread load across the replicas of a model, with several entries and delayed load
//! reports.

use bilberryloft_coordination::pick::Picker;
use bilberryloft_coordination::pick::TargetView;
use bilberryloft_state::key::TargetKey;
use clap::Args;
use fastrand::Rng;

use crate::summary::Summary;
use crate::summary::percentile;
use crate::workload::exponential;

/// Step of the simulated clock in milliseconds.
const TICK_MS: u64 = 10;
/// Simulated time in milliseconds; the load of the first fifth, the warm-up, is not measured.
const RUN_MS: u64 = 60_000;
/// Mean service time of a request in milliseconds.
const SERVICE_MEAN_MS: f64 = 4_000.0;
/// Interval of the load reports for policies that use them, and so the largest age of a reported load, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Arguments of the `balance` subcommand.
#[derive(Args)]
pub struct BalanceCommand {
    /// Numbers of replicas to simulate.
    #[arg(long, value_delimiter = ',', default_value = "16,260")]
    replicas: Vec<usize>,
    /// Number of entries, each of which picks independently.
    #[arg(long, default_value_t = 4)]
    entries: usize,
    /// Slots per replica.
    #[arg(long, default_value_t = 80)]
    slots: u32,
    /// Offered load as a fraction of all slots.
    #[arg(long, default_value_t = 0.8)]
    load: f64,
    /// Number of seeds to simulate.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    RoundRobin,
    Random,
    LeastReported,
    TwoChoicesReported,
    Picker,
}

const POLICIES: [(&str, Policy); 5] = [
    ("round robin", Policy::RoundRobin),
    ("random", Policy::Random),
    ("least load by reports", Policy::LeastReported),
    ("two choices by reports", Policy::TwoChoicesReported),
    ("picker (loads on answers)", Policy::Picker),
];

/// Entry that distributes requests.
struct Entry {
    picker: Picker,
    keys: Vec<TargetKey>,
    /// Counter of the round robin policy. The least-load policy starts at it, so that entries break ties differently.
    rotation: usize,
}

impl BalanceCommand {
    /// Runs the experiment and prints its table.
    pub fn run(self) -> eyre::Result<()> {
        println!(
            "replicas | policy | most over mean load, mean of 1 s windows | p99 of windows | share of picks on a full replica"
        );
        for replicas in &self.replicas {
            for (name, policy) in POLICIES {
                let runs: Vec<[f64; 3]> =
                    (0..self.seeds).map(|it| self.simulate(policy, *replicas, it)).collect();
                let column =
                    |at: usize| Summary::of(runs.iter().map(|it| it[at]).collect()).text(3);
                println!("{replicas} | {name} | {} | {} | {}", column(0), column(1), column(2));
            }
        }
        Ok(())
    }

    /// Returns the mean and the 99th percentile of the ratio of the highest to the mean load in windows of 1 s, and the
    /// fraction of picks that hit a full replica.
    fn simulate(&self, policy: Policy, replicas: usize, seed: u64) -> [f64; 3] {
        let mut random = Rng::with_seed(seed);
        let mut entries: Vec<Entry> =
            (0..self.entries).map(|it| self.new_entry(replicas, seed + it as u64)).collect();
        let mut loads = vec![0_u32; replicas];
        let mut reported = vec![0_u32; replicas];
        let mut ends: Vec<(u64, usize, usize)> = Vec::new();
        let rate = replicas as f64 * f64::from(self.slots) * self.load / SERVICE_MEAN_MS;
        let (mut load_sums, mut window_ratios, mut picks, mut full_picks) =
            (vec![0_u64; replicas], Vec::new(), 0_u64, 0_u64);
        let mut next_arrival_ms = 0.0;
        for now_ms in (0..RUN_MS).step_by(TICK_MS as usize) {
            let (ended, open): (Vec<_>, Vec<_>) = ends.into_iter().partition(|it| it.0 <= now_ms);
            ends = open;
            for (_, idx, replica) in ended {
                loads[replica] -= 1;
                let entry = &mut entries[idx];
                entry.picker.note_end(entry.keys[replica]);
                entry.picker.note_load(entry.keys[replica], loads[replica], now_ms + 1);
            }
            if now_ms % REPORT_INTERVAL_MS == 0 {
                reported.clone_from(&loads);
            }
            while next_arrival_ms <= now_ms as f64 {
                next_arrival_ms += exponential(1.0 / rate, &mut random);
                let idx = random.usize(0..entries.len());
                let replica = choose(policy, &mut entries[idx], &reported, &mut random, now_ms);
                picks += 1;
                full_picks += u64::from(loads[replica] >= self.slots);
                loads[replica] += 1;
                let entry = &mut entries[idx];
                entry.picker.note_dispatch(entry.keys[replica]);
                entry.picker.note_acknowledged(entry.keys[replica]);
                entry.picker.note_load(entry.keys[replica], loads[replica], now_ms + 1);
                let service_ms = exponential(SERVICE_MEAN_MS, &mut random) as u64;
                ends.push((now_ms + service_ms.max(1), idx, replica));
            }
            if now_ms < RUN_MS / 5 {
                continue;
            }
            load_sums.iter_mut().zip(&loads).for_each(|(sum, load)| *sum += u64::from(*load));
            if now_ms % 1_000 == 0 {
                window_ratios.push(max_to_mean(&load_sums));
                load_sums.fill(0);
            }
        }
        let mean = window_ratios.iter().sum::<f64>() / window_ratios.len() as f64;
        [mean, percentile(window_ratios, 0.99), full_picks as f64 / picks as f64]
    }

    fn new_entry(&self, replicas: usize, seed: u64) -> Entry {
        let mut picker = Picker::new(seed);
        let mut keys = Vec::new();
        for number in 0..replicas {
            let view = TargetView::new(&format!("replica-{number}"), "", 1, self.slots);
            keys.push(picker.upsert(view, &["model".to_string()]));
        }
        Entry { picker, keys, rotation: seed as usize }
    }
}

/// Returns the ratio of the highest load to the mean.
fn max_to_mean(loads: &[u64]) -> f64 {
    let total: u64 = loads.iter().sum();
    let max = loads.iter().max().copied().unwrap_or(0);
    max as f64 * loads.len() as f64 / total.max(1) as f64
}

/// Returns the index of the replica that the policy chooses.
fn choose(
    policy: Policy,
    entry: &mut Entry,
    reported: &[u32],
    random: &mut Rng,
    now_ms: u64,
) -> usize {
    let count = reported.len();
    match policy {
        Policy::RoundRobin => {
            entry.rotation += 1;
            entry.rotation % count
        }
        Policy::Random => random.usize(0..count),
        Policy::LeastReported => {
            (0..count).min_by_key(|it| (reported[*it], (it + entry.rotation) % count)).unwrap_or(0)
        }
        Policy::TwoChoicesReported => {
            let (left, right) = (random.usize(0..count), random.usize(0..count));
            if reported[left] <= reported[right] { left } else { right }
        }
        Policy::Picker => {
            let pick = entry.picker.pick("model", 0, &[], now_ms);
            pick.map_or(0, |it| it.key.index())
        }
    }
}
