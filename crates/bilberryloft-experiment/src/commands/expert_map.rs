//! `expert-map`: policies that choose expert maps, over one synthetic day.

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
use crate::work::Behavior;
use crate::work::DAY_S;
use crate::work::Layer;
use crate::work::sample_counts;

/// Time between looks at the counts in seconds.
const TICK_S: f64 = 5.0;
/// Time by which counts come late in ticks.
const REPORT_LAG_TICKS: usize = 1;
/// Tokens that one layer routes in a second.
const TOKENS_A_SECOND: f64 = 40_000.0;
/// Half-life of the counts in milliseconds.
const HALF_LIFE_MS: u64 = 30_000;
/// Time to load one expert's weights in milliseconds.
const LOAD_MS: f64 = 50.0;
/// Stall of all ranks at a switch in milliseconds.
const STALL_MS: f64 = 30.0;
/// Time between full repacks in seconds.
const REPACK_EVERY_S: f64 = 600.0;
/// Skew at which the threshold baseline repacks.
const REPACK_THRESHOLD: f64 = 1.10;

/// The command.
#[derive(Args)]
pub struct ExpertMapCommand {
    /// Experts of a layer.
    #[arg(long, default_value_t = 256)]
    experts: usize,
    /// Ranks of the group.
    #[arg(long, default_value_t = 32)]
    ranks: usize,
    /// Spare slots of each rank.
    #[arg(long, default_value_t = 1)]
    spare: usize,
    /// Layers, which share the weight store.
    #[arg(long, default_value_t = 2)]
    layers: usize,
    /// Exponent of the Zipf distribution.
    #[arg(long, default_value_t = 1.0)]
    exponent: f64,
    /// Size of the daily drift.
    #[arg(long, default_value_t = 0.5)]
    drift: f64,
    /// Regime changes a day.
    #[arg(long, default_value_t = 2)]
    regimes: usize,
    /// Bursts a day.
    #[arg(long, default_value_t = 6)]
    bursts: usize,
    /// Seeds.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// File for a plot of the first seed.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// A policy under test.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Static,
    Periodic,
    Threshold,
    Paying(Preset),
    Oracle,
}

const POLICIES: [(&str, Policy); 6] = [
    ("static map", Policy::Static),
    ("full repack every 10 min", Policy::Periodic),
    ("full repack over 1.10", Policy::Threshold),
    ("moves that pay, skew preset", Policy::Paying(Preset::Skew)),
    ("moves that pay, cost preset", Policy::Paying(Preset::Cost)),
    ("repack each tick, free of charge", Policy::Oracle),
];

/// Result of one policy on one seed.
struct Outcome {
    skew: Vec<f64>,
    loads: f64,
    switches: f64,
    recovery_s: Vec<f64>,
    recovery_loads: Vec<f64>,
}

struct LayerState {
    layer: Layer,
    placement: Placement,
    popularity: Popularity,
    late: VecDeque<Vec<u64>>,
    loading: Option<(Placement, f64)>,
}

impl ExpertMapCommand {
    /// Runs the command.
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
            lines.push(line_of(name, &outcomes[0]));
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
        let regimes_s: Vec<f64> = (0..self.regimes)
            .map(|it| DAY_S * (it as f64 + 0.3 + 0.4 * random.f64()) / self.regimes as f64)
            .collect();
        let mut layers: Vec<LayerState> = (0..self.layers)
            .map(|it| self.start_layer(&regimes_s, seed * 1_000 + it as u64))
            .collect();
        let mut outcome = Outcome {
            skew: Vec::new(),
            loads: 0.0,
            switches: 0.0,
            recovery_s: Vec::new(),
            recovery_loads: Vec::new(),
        };
        let mut store_free_s = 0.0;
        let mut recovering: Option<(f64, f64)> = None;
        for tick in 0..(DAY_S / TICK_S) as usize {
            let now_s = tick as f64 * TICK_S;
            let mut skew = 0.0;
            for state in &mut layers {
                let shares = state.layer.shares_at(now_s);
                state.observe(&shares, now_s, &mut random);
                state.finish_loading(now_s);
                if policy == Policy::Oracle {
                    state.placement = pack(self.shape(), &shares);
                }
                skew += state.placement.skew(&shares) / self.layers as f64;
                if let Some(loads) = self.decide(policy, state, now_s) {
                    store_free_s = f64::max(store_free_s, now_s) + loads as f64 * LOAD_MS / 1_000.0;
                    state.set_ready(store_free_s);
                    outcome.loads += loads as f64;
                    outcome.switches += 1.0;
                }
            }
            outcome.skew.push(skew);
            if regimes_s.iter().any(|it| (*it..it + TICK_S).contains(&now_s)) {
                recovering = Some((now_s, outcome.loads));
            }
            if let Some((since_s, loads)) = recovering.filter(|_| skew < 1.10) {
                outcome.recovery_s.push(now_s - since_s);
                outcome.recovery_loads.push(outcome.loads - loads);
                recovering = None;
            }
        }
        if let Some((since_s, _)) = recovering {
            outcome.recovery_s.push(DAY_S - since_s);
        }
        outcome
    }

    fn start_layer(&self, regimes_s: &[f64], seed: u64) -> LayerState {
        let behavior = Behavior {
            experts: self.experts,
            exponent: self.exponent,
            drift: self.drift,
            bursts_a_day: self.bursts,
        };
        let mut layer = Layer::new(behavior, regimes_s, seed);
        // Every policy starts from a map that fits the first moment.
        let placement = pack(self.shape(), &layer.shares_at(0.0));
        LayerState {
            layer,
            placement,
            popularity: Popularity::new(self.experts, HALF_LIFE_MS),
            late: VecDeque::new(),
            loading: None,
        }
    }

    /// Starts a change of the map and returns the number of weights to load.
    fn decide(&self, policy: Policy, state: &mut LayerState, now_s: f64) -> Option<usize> {
        let has_counts = state.popularity.weight() > TOKENS_A_SECOND * 20.0;
        if state.loading.is_some() || !has_counts {
            return None;
        }
        let shares = state.popularity.shares();
        let target = match policy {
            Policy::Static | Policy::Oracle => return None,
            Policy::Periodic if now_s % REPACK_EVERY_S < TICK_S => {
                align(&pack(self.shape(), &shares), &state.placement)
            }
            Policy::Periodic => return None,
            Policy::Threshold if state.placement.skew(&shares) > REPACK_THRESHOLD => {
                align(&pack(self.shape(), &shares), &state.placement)
            }
            Policy::Threshold => return None,
            Policy::Paying(preset) => {
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
    fn observe(&mut self, shares: &[f64], now_s: f64, random: &mut Rng) {
        self.late.push_back(sample_counts(shares, TOKENS_A_SECOND * TICK_S, random));
        if self.late.len() > REPORT_LAG_TICKS
            && let Some(counts) = self.late.pop_front()
        {
            self.popularity.add(&counts, (now_s * 1_000.0) as u64);
        }
    }

    fn set_ready(&mut self, ready_s: f64) {
        if let Some(loading) = &mut self.loading {
            loading.1 = ready_s;
        }
    }

    fn finish_loading(&mut self, now_s: f64) {
        if self.loading.as_ref().is_some_and(|it| it.1 <= now_s)
            && let Some((placement, _)) = self.loading.take()
        {
            self.placement = placement;
        }
    }
}

fn print_row(name: &str, outcomes: &[Outcome]) {
    let mean = |it: &Outcome| it.skew.iter().sum::<f64>() / it.skew.len() as f64;
    let slowest = |it: &Outcome| it.recovery_s.iter().copied().fold(0.0, f64::max);
    let store =
        |it: &Outcome| it.recovery_loads.iter().copied().fold(0.0, f64::max) * LOAD_MS / 1_000.0;
    println!(
        "{name} | {} | {} | {} | {} | {} | {}",
        Summary::of(outcomes.iter().map(mean).collect()).text(3),
        Summary::of(outcomes.iter().map(|it| percentile(it.skew.clone(), 0.95)).collect()).text(3),
        Summary::of(outcomes.iter().map(|it| it.loads).collect()).text(0),
        Summary::of(outcomes.iter().map(|it| it.switches).collect()).text(0),
        Summary::of(outcomes.iter().map(slowest).collect()).text(0),
        Summary::of(outcomes.iter().map(store).collect()).text(1),
    );
}

fn line_of(name: &str, outcome: &Outcome) -> Line {
    let points = outcome.skew.iter().enumerate().step_by(12);
    let points = points.map(|(tick, skew)| (tick as f64 * TICK_S / 3_600.0, *skew)).collect();
    Line { name: name.to_string(), points }
}
