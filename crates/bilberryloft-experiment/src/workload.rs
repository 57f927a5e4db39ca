//! Synthetic popularity of experts: a Zipf distribution with daily drift, bursts and regime changes. A regime change
//! swaps the popularity of random pairs of experts, about a third of all experts. Also samples the distributions that
//! the experiments use.

use fastrand::Rng;

/// Length of a day in seconds.
pub const DAY_S: f64 = 86_400.0;

/// Parameters of the synthetic popularity of one layer's experts.
#[derive(Clone, Copy, Debug)]
pub struct PopularityParameters {
    /// Number of experts.
    pub experts: usize,
    /// Exponent of the Zipf distribution.
    pub exponent: f64,
    /// Amplitude of the daily drift: at its peak, a popularity is multiplied by `exp(drift)`.
    pub drift: f64,
    /// Bursts per day. A burst lasts ten minutes and makes some experts three times as popular.
    pub bursts_per_day: usize,
}

/// Popularity of one layer's experts over time.
#[derive(Debug)]
pub struct Layer {
    /// Popularity of each expert without drift and bursts, relative to the others.
    popularities: Vec<f64>,
    phases: Vec<f64>,
    parameters: PopularityParameters,
    regime_changes_s: Vec<f64>,
    bursts: Vec<(f64, Vec<usize>)>,
    random: Rng,
}

/// Length of a burst in seconds.
const BURST_S: f64 = 600.0;

impl Layer {
    /// Creates a layer whose regime changes at the given times, which all layers share.
    pub fn new(parameters: PopularityParameters, regime_changes_s: &[f64], seed: u64) -> Layer {
        let mut random = Rng::with_seed(seed);
        let mut popularities: Vec<f64> =
            (1..=parameters.experts).map(|rank| (rank as f64).powf(-parameters.exponent)).collect();
        random.shuffle(&mut popularities);
        let phases = (0..parameters.experts).map(|_| random.f64()).collect();
        let bursts = (0..parameters.bursts_per_day)
            .map(|_| {
                let begin_s = random.f64() * DAY_S;
                (
                    begin_s,
                    (0..parameters.experts / 16)
                        .map(|_| random.usize(0..parameters.experts))
                        .collect(),
                )
            })
            .collect();
        Layer {
            popularities,
            phases,
            parameters,
            regime_changes_s: regime_changes_s.to_vec(),
            bursts,
            random,
        }
    }

    /// Returns the share of tokens of each expert at a time. Calls must come in order of time.
    pub fn shares_at(&mut self, now_s: f64) -> Vec<f64> {
        while self.regime_changes_s.first().is_some_and(|it| *it <= now_s) {
            self.regime_changes_s.remove(0);
            self.swap_popularities();
        }
        let mut shares = Vec::with_capacity(self.popularities.len());
        for (popularity, phase) in self.popularities.iter().zip(&self.phases) {
            let angle = std::f64::consts::TAU * (now_s / DAY_S + phase);
            shares.push(popularity * (self.parameters.drift * angle.sin()).exp());
        }
        for (begin_s, experts) in &self.bursts {
            if (*begin_s..begin_s + BURST_S).contains(&now_s) {
                experts.iter().for_each(|it| shares[*it] *= 3.0);
            }
        }
        let total: f64 = shares.iter().sum();
        shares.iter().map(|it| it / total).collect()
    }

    fn swap_popularities(&mut self) {
        for _ in 0..self.popularities.len() / 6 {
            let (left, right) = (
                self.random.usize(0..self.popularities.len()),
                self.random.usize(0..self.popularities.len()),
            );
            self.popularities.swap(left, right);
        }
    }
}

/// Samples the tokens that each expert receives: the expected count plus noise of its square root.
pub fn sample_counts(shares: &[f64], tokens: f64, random: &mut Rng) -> Vec<u64> {
    let mut counts = Vec::with_capacity(shares.len());
    for share in shares {
        let mean = share * tokens;
        counts.push((mean + mean.sqrt() * standard_normal(random)).round().max(0.0) as u64);
    }
    counts
}

/// Samples the standard normal distribution (Box-Muller transform).
pub fn standard_normal(random: &mut Rng) -> f64 {
    let radius = (-2.0 * random.f64().max(1e-12).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.f64()).cos()
}

/// Samples the exponential distribution with the given mean.
pub fn exponential(mean: f64, random: &mut Rng) -> f64 {
    -mean * random.f64().max(1e-12).ln()
}
