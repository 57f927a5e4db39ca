//! Popularity of the experts of a layer, estimated from token counts that decay over time.

/// Token counts by expert with exponential decay.
#[derive(Clone, Debug)]
pub struct Popularity {
    counts: Vec<f64>,
    half_life_ms: u64,
    updated_ms: u64,
}

impl Popularity {
    /// Starts without counts, so all experts have the same share.
    pub fn new(experts: usize, half_life_ms: u64) -> Popularity {
        Popularity { counts: vec![0.0; experts], half_life_ms, updated_ms: 0 }
    }

    /// Adds the token counts of one report. Reports may arrive late, but not out of order.
    pub fn add(&mut self, tokens: &[u64], now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let decay = 0.5_f64.powf(elapsed_ms as f64 / self.half_life_ms as f64);
        self.updated_ms = now_ms;
        for (count, tokens) in self.counts.iter_mut().zip(tokens) {
            *count = *count * decay + *tokens as f64;
        }
    }

    /// Sum of the decayed counts: the number of tokens that the estimate is based on.
    pub fn weight(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// Share of the tokens of each expert. It is never zero, so that no replica appears to cost nothing.
    pub fn shares(&self) -> Vec<f64> {
        let total = self.weight() + self.counts.len() as f64;
        self.counts.iter().map(|it| (it + 1.0) / total).collect()
    }
}
