//! `expert-map`: simulates policies that choose expert maps over one synthetic day.

use std::collections::VecDeque;
use std::path::PathBuf;

use bilberryloft_coordination::expert_map::Costs;
use bilberryloft_coordination::expert_map::Placement;
use bilberryloft_coordination::expert_map::Popularity;
use bilberryloft_coordination::expert_map::Preset;
use bilberryloft_coordination::expert_map::Shape;
use bilberryloft_coordination::expert_map::align;
use bilberryloft_coordination::expert_map::pack;
use bilberryloft_coordination::expert_map::plan_moves;
use clap::Args;
use fastrand::Rng;

use crate::plot::Line;
use crate::plot::draw;
use crate::summary::Summary;
use crate::summary::percentile;
use crate::workload::DAY_S;
use crate::workload::Layer;
use crate::workload::PopularityParameters;
use crate::workload::sample_counts;

/// Interval at which counts are taken and policies decide, in seconds.
const TICK_S: f64 = 5.0;
/// Delay of the counts in ticks.
const REPORT_LAG_TICKS: usize = 1;
/// Tokens that one layer routes per second.
const TOKENS_PER_SECOND: f64 = 40_000.0;
/// Half-life of the counts in the popularity estimate, in milliseconds.
const HALF_LIFE_MS: u64 = 30_000;
/// Time to load one expert's weights in milliseconds.
const LOAD_MS: f64 = 50.0;
/// Time for which a switch to another map stalls all ranks, in milliseconds.
const STALL_MS: f64 = 30.0;
/// Interval between full repacks of the periodic baseline, in seconds.
const REPACK_INTERVAL_S: f64 = 600.0;
/// Skew above which the threshold baseline repacks.
const REPACK_THRESHOLD: f64 = 1.10;

/// Arguments of the `expert-map` subcommand.
#[derive(Args)]
pub struct ExpertMapCommand {
    /// Experts per layer.
    #[arg(long, default_value_t = 256)]
    experts: usize,
    /// Ranks of the group.
    #[arg(long, default_value_t = 32)]
    ranks: usize,
    /// Spare slots per rank.
    #[arg(long, default_value_t = 1)]
    spare: usize,
    /// Layers, which all load weights from the same weight store.
    #[arg(long, default_value_t = 2)]
    layers: usize,
    /// Exponent of the Zipf distribution.
    #[arg(long, default_value_t = 1.0)]
    exponent: f64,
    /// Amplitude of the daily drift: at its peak, popularity is multiplied by e to this power.
    #[arg(long, default_value_t = 0.5)]
    drift: f64,
    /// Regime changes per day.
    #[arg(long, default_value_t = 2)]
    regimes: usize,
    /// Bursts per day.
    #[arg(long, default_value_t = 6)]
    bursts: usize,
    /// Number of seeds to simulate.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// SVG file for a plot of the skew with the first seed.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// Policy that decides when to change the map and to which one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// Keeps the initial map.
    Static,
    /// Repacks at a fixed interval.
    Periodic,
    /// Repacks when the skew exceeds a threshold.
    Threshold,
    /// Makes the moves that `plan_moves` finds worth their cost under a preset.
    PlannedMoves(Preset),
    /// Repacks at every tick for the true shares, free of charge.
    Oracle,
}

const POLICIES: [(&str, Policy); 6] = [
    ("static map", Policy::Static),
    ("full repack every 10 min", Policy::Periodic),
    ("full repack over 1.10", Policy::Threshold),
    ("moves that pay, skew preset", Policy::PlannedMoves(Preset::Skew)),
    ("moves that pay, cost preset", Policy::PlannedMoves(Preset::Cost)),
    ("repack each tick, free of charge", Policy::Oracle),
];

/// Result of one policy with one seed.
struct Outcome {
    /// Ratio of the highest to the mean load of the ranks at each tick, averaged over the layers.
    skew: Vec<f64>,
    /// Expert weights loaded.
    weight_loads: f64,
    /// Switches to another map.
    switches: f64,
    /// Time from each regime change until the skew is below 1.10, or to the end of the day, in seconds.
    recovery_s: Vec<f64>,
    /// Expert weights loaded from each regime change until the skew is below 1.10.
    recovery_weight_loads: Vec<f64>,
}

struct LayerState {
    layer: Layer,
    placement: Placement,
    popularity: Popularity,
    /// Counts that the policy has not received yet.
    delayed_counts: VecDeque<Vec<u64>>,
    /// Map whose weights are being loaded, and the time in seconds at which they are.
    loading: Option<(Placement, f64)>,
}

impl ExpertMapCommand {
    /// Runs the experiment and prints its table.
    pub fn run(self) -> eyre::Result<()> {
        println!(
            "{} experts on {} ranks, {} spare a rank, {} layers, Zipf {}, {} seeds: median [least, most]",
            self.experts, self.ranks, self.spare, self.layers, self.exponent, self.seeds
        );
        println!(
            "policy | mean skew | p95 skew | weights loaded a day | switches a day | s to 1.10 after a regime change | s of weight-store time of that"
        );
        let mut lines = Vec::new();
        for (name, policy) in POLICIES {
            let outcomes: Vec<Outcome> =
                (0..self.seeds).map(|seed| self.simulate(policy, seed)).collect();
            print_row(name, &outcomes);
            lines.push(skew_line(name, &outcomes[0]));
        }
        if let Some(path) = &self.plot {
            let title = "Highest over mean load of the ranks, seed 0";
            draw(path, title, ("hour", "skew"), 1.6, &lines[1..])?;
        }
        Ok(())
    }

    fn shape(&self) -> Shape {
        Shape {
            experts: self.experts,
            ranks: self.ranks,
            slots: self.experts / self.ranks + self.spare,
        }
    }

    fn simulate(&self, policy: Policy, seed: u64) -> Outcome {
        let mut random = Rng::with_seed(seed);
        let regime_changes_s: Vec<f64> = (0..self.regimes)
            .map(|index| DAY_S * (index as f64 + 0.3 + 0.4 * random.f64()) / self.regimes as f64)
            .collect();
        let mut layers: Vec<LayerState> = (0..self.layers)
            .map(|it| self.new_layer(&regime_changes_s, seed * 1_000 + it as u64))
            .collect();
        let mut outcome = Outcome {
            skew: Vec::new(),
            weight_loads: 0.0,
            switches: 0.0,
            recovery_s: Vec::new(),
            recovery_weight_loads: Vec::new(),
        };
        let mut loads_end_s = 0.0;
        let mut recovering: Option<(f64, f64)> = None;
        for tick in 0..(DAY_S / TICK_S) as usize {
            let now_s = tick as f64 * TICK_S;
            let mut skew = 0.0;
            for state in &mut layers {
                let shares = state.layer.shares_at(now_s);
                state.record_counts(&shares, now_s, &mut random);
                state.switch_if_loaded(now_s);
                if policy == Policy::Oracle {
                    state.placement = pack(self.shape(), &shares);
                }
                skew += state.placement.skew(&shares) / self.layers as f64;
                if let Some(loads) = self.start_map_change(policy, state, now_s) {
                    loads_end_s = f64::max(loads_end_s, now_s) + loads as f64 * LOAD_MS / 1_000.0;
                    state.set_ready_time(loads_end_s);
                    outcome.weight_loads += loads as f64;
                    outcome.switches += 1.0;
                }
            }
            outcome.skew.push(skew);
            if regime_changes_s.iter().any(|it| (*it..it + TICK_S).contains(&now_s)) {
                recovering = Some((now_s, outcome.weight_loads));
            }
            if let Some((since_s, loads)) = recovering.filter(|_| skew < 1.10) {
                outcome.recovery_s.push(now_s - since_s);
                outcome.recovery_weight_loads.push(outcome.weight_loads - loads);
                recovering = None;
            }
        }
        if let Some((since_s, _)) = recovering {
            outcome.recovery_s.push(DAY_S - since_s);
        }
        outcome
    }

    fn new_layer(&self, regime_changes_s: &[f64], seed: u64) -> LayerState {
        let parameters = PopularityParameters {
            experts: self.experts,
            exponent: self.exponent,
            drift: self.drift,
            bursts_per_day: self.bursts,
        };
        let mut layer = Layer::new(parameters, regime_changes_s, seed);
        // Every policy starts with a map packed for the shares at time 0.
        let placement = pack(self.shape(), &layer.shares_at(0.0));
        LayerState {
            layer,
            placement,
            popularity: Popularity::new(self.experts, HALF_LIFE_MS),
            delayed_counts: VecDeque::new(),
            loading: None,
        }
    }

    /// Starts a change of the map if the policy wants one, and returns the number of weights to load.
    fn start_map_change(
        &self,
        policy: Policy,
        state: &mut LayerState,
        now_s: f64,
    ) -> Option<usize> {
        let has_counts = state.popularity.weight() > TOKENS_PER_SECOND * 20.0;
        if state.loading.is_some() || !has_counts {
            return None;
        }
        let shares = state.popularity.shares();
        let target = match policy {
            Policy::Static | Policy::Oracle => return None,
            Policy::Periodic if now_s % REPACK_INTERVAL_S < TICK_S => {
                align(&pack(self.shape(), &shares), &state.placement)
            }
            Policy::Periodic => return None,
            Policy::Threshold if state.placement.skew(&shares) > REPACK_THRESHOLD => {
                align(&pack(self.shape(), &shares), &state.placement)
            }
            Policy::Threshold => return None,
            Policy::PlannedMoves(preset) => {
                plan_moves(
                    &state.placement,
                    &shares,
                    &Costs::from_preset(preset, LOAD_MS, STALL_MS),
                )?
                .placement
            }
        };
        let loads = target.weight_loads_from(&state.placement);
        state.loading = Some((target, f64::INFINITY));
        Some(loads)
    }
}

impl LayerState {
    fn record_counts(&mut self, shares: &[f64], now_s: f64, random: &mut Rng) {
        self.delayed_counts.push_back(sample_counts(shares, TOKENS_PER_SECOND * TICK_S, random));
        if self.delayed_counts.len() > REPORT_LAG_TICKS
            && let Some(counts) = self.delayed_counts.pop_front()
        {
            self.popularity.add(&counts, (now_s * 1_000.0) as u64);
        }
    }

    fn set_ready_time(&mut self, ready_s: f64) {
        if let Some(loading) = &mut self.loading {
            loading.1 = ready_s;
        }
    }

    fn switch_if_loaded(&mut self, now_s: f64) {
        if self.loading.as_ref().is_some_and(|it| it.1 <= now_s)
            && let Some((placement, _)) = self.loading.take()
        {
            self.placement = placement;
        }
    }
}

fn print_row(name: &str, outcomes: &[Outcome]) {
    let mean = |outcome: &Outcome| outcome.skew.iter().sum::<f64>() / outcome.skew.len() as f64;
    let slowest_s = |outcome: &Outcome| outcome.recovery_s.iter().copied().fold(0.0, f64::max);
    let store_s = |outcome: &Outcome| {
        outcome.recovery_weight_loads.iter().copied().fold(0.0, f64::max) * LOAD_MS / 1_000.0
    };
    println!(
        "{name} | {} | {} | {} | {} | {} | {}",
        Summary::of(outcomes.iter().map(mean).collect()).text(3),
        Summary::of(
            outcomes.iter().map(|outcome| percentile(outcome.skew.clone(), 0.95)).collect()
        )
        .text(3),
        Summary::of(outcomes.iter().map(|it| it.weight_loads).collect()).text(0),
        Summary::of(outcomes.iter().map(|it| it.switches).collect()).text(0),
        Summary::of(outcomes.iter().map(slowest_s).collect()).text(0),
        Summary::of(outcomes.iter().map(store_s).collect()).text(1),
    );
}

fn skew_line(name: &str, outcome: &Outcome) -> Line {
    let points = outcome.skew.iter().enumerate().step_by(12);
    let points = points.map(|(tick, skew)| (tick as f64 * TICK_S / 3_600.0, *skew)).collect();
    Line { name: name.to_string(), points }
}
