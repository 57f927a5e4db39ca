//! Synthetic popularity of experts: Zipf, drifting through the day, with bursts and with regime changes, at
//! each of which a third of the experts exchange their popularity.

use fastrand::Rng;

/// Length of a day in seconds.
pub const DAY_S: f64 = 86_400.0;

/// How popularity behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behavior {
    /// Experts of a layer.
    pub experts: usize,
    /// Exponent of the Zipf distribution.
    pub exponent: f64,
    /// Size of the daily drift, as a factor of e at its height.
    pub drift: f64,
    /// Bursts a day, each of ten minutes, in which some experts are three times as popular.
    pub bursts_a_day: usize,
}

/// Popularity of one layer over time.
#[derive(Debug)]
pub struct Layer {
    weights: Vec<f64>,
    phases: Vec<f64>,
    behavior: Behavior,
    regimes_s: Vec<f64>,
    bursts: Vec<(f64, Vec<usize>)>,
    random: Rng,
}

/// Length of a burst in seconds.
const BURST_S: f64 = 600.0;

impl Layer {
    /// Makes a layer; regimes change at the given times, the same for all layers.
    pub fn new(behavior: Behavior, regimes_s: &[f64], seed: u64) -> Layer {
        let mut random = Rng::with_seed(seed);
        let mut weights: Vec<f64> =
            (1..=behavior.experts).map(|it| (it as f64).powf(-behavior.exponent)).collect();
        random.shuffle(&mut weights);
        let phases = (0..behavior.experts).map(|_| random.f64()).collect();
        let bursts = (0..behavior.bursts_a_day)
            .map(|_| {
                let begin_s = random.f64() * DAY_S;
                (
                    begin_s,
                    (0..behavior.experts / 16).map(|_| random.usize(0..behavior.experts)).collect(),
                )
            })
            .collect();
        Layer { weights, phases, behavior, regimes_s: regimes_s.to_vec(), bursts, random }
    }

    /// Shares of all experts at a time; times must not go back.
    pub fn shares_at(&mut self, now_s: f64) -> Vec<f64> {
        while self.regimes_s.first().is_some_and(|it| *it <= now_s) {
            self.regimes_s.remove(0);
            self.change_regime();
        }
        let mut shares = Vec::with_capacity(self.weights.len());
        for (weight, phase) in self.weights.iter().zip(&self.phases) {
            let angle = std::f64::consts::TAU * (now_s / DAY_S + phase);
            shares.push(weight * (self.behavior.drift * angle.sin()).exp());
        }
        for (begin_s, experts) in &self.bursts {
            if (*begin_s..begin_s + BURST_S).contains(&now_s) {
                experts.iter().for_each(|it| shares[*it] *= 3.0);
            }
        }
        let total: f64 = shares.iter().sum();
        shares.iter().map(|it| it / total).collect()
    }

    fn change_regime(&mut self) {
        for _ in 0..self.weights.len() / 6 {
            let (left, right) = (
                self.random.usize(0..self.weights.len()),
                self.random.usize(0..self.weights.len()),
            );
            self.weights.swap(left, right);
        }
    }
}

/// Counts of tokens by expert, with the noise of a sample.
pub fn sample_counts(shares: &[f64], tokens: f64, random: &mut Rng) -> Vec<u64> {
    let mut counts = Vec::with_capacity(shares.len());
    for share in shares {
        let mean = share * tokens;
        counts.push((mean + mean.sqrt() * gauss(random)).round().max(0.0) as u64);
    }
    counts
}

/// A value of the standard normal distribution.
pub fn gauss(random: &mut Rng) -> f64 {
    let radius = (-2.0 * random.f64().max(1e-12).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.f64()).cos()
}

/// A value of the exponential distribution.
pub fn exponential(mean: f64, random: &mut Rng) -> f64 {
    -mean * random.f64().max(1e-12).ln()
}
