//! Choice of the rank of a lock-step group for a request, and detection of slow ranks.
//!
//! In each forward pass, called a step in the identifiers, all ranks wait for the slowest one, so the highest rank time
//! matters, not the mean.

/// Weight of the latest forward pass in the smoothed slowness of a rank.
const SLOWNESS_GAIN: f64 = 0.1;
/// Factor by which the weight of earlier measurements decays with each new measurement of the fit.
const FIT_DECAY: f64 = 0.9995;
/// Slowness, the ratio of measured to expected time, above which a rank is a straggler.
pub const STRAGGLER_SLOWNESS: f64 = 1.5;
/// Slowness down to which a straggler must drop to count as recovered.
pub const RECOVERED_SLOWNESS: f64 = 1.15;

/// Time that work takes on a rank, in microseconds per forward pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepCosts {
    /// Time for each request that is being decoded.
    pub request_us: f64,
    /// Time for each token held in the KV cache.
    pub kv_token_us: f64,
    /// Time for each prompt token prefilled in the pass; a prompt is prefilled in chunks over several passes.
    pub prefill_token_us: f64,
}

impl Default for StepCosts {
    fn default() -> Self {
        StepCosts { request_us: 20.0, kv_token_us: 0.02, prefill_token_us: 0.5 }
    }
}

/// What one request adds to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankWork {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected tokens of the answer.
    pub answer_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct RankLoad {
    requests: u64,
    kv_tokens: u64,
    prefill_tokens: u64,
    slowness: f64,
    is_straggler: bool,
}

/// Loads of all ranks of one group, as known to the agent of the group.
#[derive(Clone, Debug)]
pub struct RankChooser {
    costs: StepCosts,
    fit: LinearFit,
    ranks: Vec<RankLoad>,
}

/// Linear fit of measured over expected time of all ranks with exponentially decaying weights. It has an intercept
/// because a part of a forward pass does not depend on the load. The fit is updated with running means and covariance,
/// as Daedalus does for throughput over processor time (Pfister et al., ICPE 2024, section 3.1).
#[derive(Clone, Copy, Debug, Default)]
struct LinearFit {
    weight: f64,
    mean_x: f64,
    mean_y: f64,
    variance_x: f64,
    covariance: f64,
}

impl LinearFit {
    fn add(&mut self, x: f64, y: f64) {
        self.weight = self.weight * FIT_DECAY + 1.0;
        let gain = 1.0 / self.weight;
        let (delta_x, delta_y) = (x - self.mean_x, y - self.mean_y);
        self.mean_x += gain * delta_x;
        self.mean_y += gain * delta_y;
        self.variance_x += gain * (delta_x * (x - self.mean_x) - self.variance_x);
        self.covariance += gain * (delta_x * (y - self.mean_y) - self.covariance);
    }

    fn predict(&self, x: f64) -> f64 {
        let slope = if self.variance_x > 1e-9 { self.covariance / self.variance_x } else { 0.0 };
        self.mean_y + slope.max(0.0) * (x - self.mean_x)
    }
}

impl RankChooser {
    /// Starts with idle ranks.
    pub fn new(ranks: usize, costs: StepCosts) -> RankChooser {
        let idle = RankLoad {
            requests: 0,
            kv_tokens: 0,
            prefill_tokens: 0,
            slowness: 1.0,
            is_straggler: false,
        };
        RankChooser { costs, fit: LinearFit::default(), ranks: vec![idle; ranks.max(1)] }
    }

    /// Number of ranks.
    pub fn ranks(&self) -> usize {
        self.ranks.len()
    }

    /// Places a request on the rank whose time with the request is lowest; stragglers only if all ranks
    /// are stragglers.
    pub fn place(&mut self, work: RankWork) -> usize {
        let any_healthy = self.ranks.iter().any(|it| !it.is_straggler);
        let mut best = (f64::INFINITY, 0);
        for (rank, load) in self.ranks.iter().enumerate() {
            if load.is_straggler && any_healthy {
                continue;
            }
            let after_us = self.time_with(load, work) * load.slowness;
            if after_us < best.0 {
                best = (after_us, rank);
            }
        }
        let load = &mut self.ranks[best.1];
        load.requests += 1;
        load.prefill_tokens += work.prompt_tokens;
        best.1
    }

    /// Expected time of a rank's forward passes with one more request. Over the request's lifetime, half of its answer
    /// is in the KV cache on average.
    fn time_with(&self, load: &RankLoad, work: RankWork) -> f64 {
        let kv_tokens = load.kv_tokens + work.prompt_tokens + work.answer_tokens / 2;
        self.time_of(load.requests + 1, kv_tokens, load.prefill_tokens)
    }

    fn time_of(&self, requests: u64, kv_tokens: u64, prefill_tokens: u64) -> f64 {
        let costs = &self.costs;
        requests as f64 * costs.request_us
            + (kv_tokens + prefill_tokens) as f64 * costs.kv_token_us
            + prefill_tokens.min(PREFILL_CHUNK_TOKENS) as f64 * costs.prefill_token_us
    }

    /// Records that prompt tokens were prefilled; they are in the KV cache from now on.
    pub fn note_prefilled(&mut self, rank: usize, tokens: u64) {
        let load = &mut self.ranks[rank];
        load.prefill_tokens = load.prefill_tokens.saturating_sub(tokens);
        load.kv_tokens += tokens;
    }

    /// Records tokens of an answer, which are added to the KV cache.
    pub fn note_tokens(&mut self, rank: usize, tokens: u64) {
        self.ranks[rank].kv_tokens += tokens;
    }

    /// Removes a request from its rank, with the prompt tokens that were not prefilled and its tokens in the KV cache.
    pub fn end(&mut self, rank: usize, prefill_tokens: u64, kv_tokens: u64) {
        let load = &mut self.ranks[rank];
        load.requests = load.requests.saturating_sub(1);
        load.prefill_tokens = load.prefill_tokens.saturating_sub(prefill_tokens);
        load.kv_tokens = load.kv_tokens.saturating_sub(kv_tokens);
    }

    /// Records the time of each rank in one forward pass. A rank is slow if it takes longer than its load explains,
    /// compared with the median rank, so that a loaded rank is not mistaken for a slow one.
    pub fn note_step(&mut self, times_us: &[f64]) {
        let mut ratios: Vec<f64> = Vec::with_capacity(times_us.len());
        for (load, time_us) in self.ranks.iter().zip(times_us) {
            let expected_us = self.time_of(load.requests, load.kv_tokens, load.prefill_tokens);
            self.fit.add(expected_us, *time_us);
            ratios.push(time_us / self.fit.predict(expected_us).max(1e-9));
        }
        let mut sorted = ratios.clone();
        sorted.sort_by(f64::total_cmp);
        let median = sorted.get(sorted.len() / 2).copied().unwrap_or(1.0).max(1e-9);
        for (load, ratio) in self.ranks.iter_mut().zip(ratios) {
            load.slowness += SLOWNESS_GAIN * (ratio / median - load.slowness);
            load.is_straggler = match load.is_straggler {
                true => load.slowness > RECOVERED_SLOWNESS,
                false => load.slowness > STRAGGLER_SLOWNESS,
            };
        }
    }

    /// Ranks that are slower than their load explains.
    pub fn stragglers(&self) -> Vec<usize> {
        self.ranks
            .iter()
            .enumerate()
            .filter(|(_, it)| it.is_straggler)
            .map(|(rank, _)| rank)
            .collect()
    }
}

/// Maximum number of prompt tokens that a rank prefills in one forward pass.
pub const PREFILL_CHUNK_TOKENS: u64 = 2_048;
