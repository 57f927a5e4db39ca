//! How popular each expert of a layer is, from counts that fade.

/// Counts of tokens by expert, halved over a half-life.
#[derive(Clone, Debug)]
pub struct Popularity {
    counts: Vec<f64>,
    half_life_ms: u64,
    updated_ms: u64,
}

impl Popularity {
    /// Starts without knowledge: all experts alike.
    pub fn new(experts: usize, half_life_ms: u64) -> Popularity {
        Popularity { counts: vec![0.0; experts], half_life_ms, updated_ms: 0 }
    }

    /// Adds counts of one report; reports may come late, but not out of order.
    pub fn add(&mut self, tokens: &[u64], now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let fade = 0.5_f64.powf(elapsed_ms as f64 / self.half_life_ms as f64);
        self.updated_ms = now_ms;
        for (count, tokens) in self.counts.iter_mut().zip(tokens) {
            *count = *count * fade + *tokens as f64;
        }
    }

    /// Tokens that the estimate rests on.
    pub fn weight(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// Share of each expert; never quite zero, so that no replica looks free of charge.
    pub fn shares(&self) -> Vec<f64> {
        let total = self.weight() + self.counts.len() as f64;
        self.counts.iter().map(|it| (it + 1.0) / total).collect()
    }
}
