//! Parts of prompts that targets of this entry have survived.

use std::collections::BTreeMap;

use tokio::time::Instant;

/// Number of parts after which the older half is dropped.
const GENERATION_MAX: usize = 2_048;

/// The latest time at which a target survived each part, for the parts seen last.
#[derive(Debug, Default)]
pub struct SurvivedParts {
    current: BTreeMap<i64, Instant>,
    previous: BTreeMap<i64, Instant>,
}

impl SurvivedParts {
    /// Records that a target has survived a part now.
    pub fn record(&mut self, key: i64) {
        if self.current.len() >= GENERATION_MAX && !self.current.contains_key(&key) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(key, Instant::now());
    }

    /// Returns when a target survived a part last.
    pub fn last(&self, key: i64) -> Option<Instant> {
        self.current.get(&key).or_else(|| self.previous.get(&key)).copied()
    }
}
