//! `balance`: spread of load across the replicas of a model, with several entries and late reports.

use bilberryloft_coordination::pick::Picker;
use bilberryloft_coordination::pick::TargetView;
use bilberryloft_state::key::TargetKey;
use clap::Args;
use fastrand::Rng;

use crate::summary::Summary;
use crate::summary::percentile;
use crate::work::exponential;

/// Step of the simulated time in milliseconds.
const TICK_MS: u64 = 10;
/// Time that is simulated in milliseconds, the first fifth of which does not count.
const RUN_MS: u64 = 60_000;
/// Mean time that a request stays at a target in milliseconds.
const SERVICE_MS: f64 = 4_000.0;
/// Time between broadcast reports for policies that need them, which is also their lag, in milliseconds.
const REPORT_EVERY_MS: u64 = 1_000;

/// The command.
#[derive(Args)]
pub struct BalanceCommand {
    /// Numbers of replicas.
    #[arg(long, value_delimiter = ',', default_value = "16,260")]
    replicas: Vec<usize>,
    /// Entries.
    #[arg(long, default_value_t = 4)]
    entries: usize,
    /// Slots of each replica.
    #[arg(long, default_value_t = 80)]
    slots: u32,
    /// Load as a share of all slots.
    #[arg(long, default_value_t = 0.8)]
    load: f64,
    /// Seeds.
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

struct Entry {
    picker: Picker,
    keys: Vec<TargetKey>,
    next: usize,
}

impl BalanceCommand {
    /// Runs the command.
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

    fn simulate(&self, policy: Policy, replicas: usize, seed: u64) -> [f64; 3] {
        let mut random = Rng::with_seed(seed);
        let mut entries: Vec<Entry> =
            (0..self.entries).map(|it| self.start_entry(replicas, seed + it as u64)).collect();
        let mut loads = vec![0_u32; replicas];
        let mut reported = vec![0_u32; replicas];
        let mut ends: Vec<(u64, usize, usize)> = Vec::new();
        let rate = replicas as f64 * f64::from(self.slots) * self.load / SERVICE_MS;
        let (mut window, mut windows, mut picks, mut full) =
            (vec![0_u64; replicas], Vec::new(), 0_u64, 0_u64);
        let mut due_ms = 0.0;
        for now_ms in (0..RUN_MS).step_by(TICK_MS as usize) {
            let (ended, open): (Vec<_>, Vec<_>) = ends.into_iter().partition(|it| it.0 <= now_ms);
            ends = open;
            for (_, entry, replica) in ended {
                loads[replica] -= 1;
                let state = &mut entries[entry];
                state.picker.note_end(state.keys[replica]);
                state.picker.note_load(state.keys[replica], loads[replica], now_ms + 1);
            }
            if now_ms % REPORT_EVERY_MS == 0 {
                reported.clone_from(&loads);
            }
            while due_ms <= now_ms as f64 {
                due_ms += exponential(1.0 / rate, &mut random);
                let entry = random.usize(0..entries.len());
                let replica = choose(policy, &mut entries[entry], &reported, &mut random, now_ms);
                picks += 1;
                full += u64::from(loads[replica] >= self.slots);
                loads[replica] += 1;
                let state = &mut entries[entry];
                state.picker.note_dispatch(state.keys[replica]);
                state.picker.note_acknowledged(state.keys[replica]);
                state.picker.note_load(state.keys[replica], loads[replica], now_ms + 1);
                let service_ms = exponential(SERVICE_MS, &mut random) as u64;
                ends.push((now_ms + service_ms.max(1), entry, replica));
            }
            if now_ms < RUN_MS / 5 {
                continue;
            }
            window.iter_mut().zip(&loads).for_each(|(sum, load)| *sum += u64::from(*load));
            if now_ms % 1_000 == 0 {
                let total: u64 = window.iter().sum();
                let most = window.iter().max().copied().unwrap_or(0);
                windows.push(most as f64 * replicas as f64 / total.max(1) as f64);
                window.fill(0);
            }
        }
        let mean = windows.iter().sum::<f64>() / windows.len() as f64;
        [mean, percentile(windows, 0.99), full as f64 / picks as f64]
    }

    fn start_entry(&self, replicas: usize, seed: u64) -> Entry {
        let mut picker = Picker::new(seed);
        let mut keys = Vec::new();
        for number in 0..replicas {
            let view = TargetView::new(&format!("replica-{number}"), "", 1, self.slots);
            keys.push(picker.upsert(view, &["model".to_string()]));
        }
        Entry { picker, keys, next: seed as usize }
    }
}

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
            entry.next += 1;
            entry.next % count
        }
        Policy::Random => random.usize(0..count),
        Policy::LeastReported => {
            (0..count).min_by_key(|it| (reported[*it], (it + entry.next) % count)).unwrap_or(0)
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
