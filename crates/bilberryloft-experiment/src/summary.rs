//! Summaries of results over seeds.

/// Median, minimum and maximum of the results of all seeds.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// Median; the lower of the two middle values if their number is even.
    pub median: f64,
    /// Minimum.
    pub min: f64,
    /// Maximum.
    pub max: f64,
}

impl Summary {
    /// Summarizes values, one per seed; all NaN if there are none.
    pub fn of(mut values: Vec<f64>) -> Summary {
        values.sort_by(f64::total_cmp);
        let last = values.len().saturating_sub(1);
        let at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
        Summary { median: at(last / 2), min: at(0), max: at(last) }
    }

    /// Formats the median, with minimum and maximum in brackets.
    pub fn text(&self, decimals: usize) -> String {
        format!("{:.decimals$} [{:.decimals$}, {:.decimals$}]", self.median, self.min, self.max)
    }
}

/// Returns the value at a fraction (0 to 1) of the sorted values, or NaN if there are none.
pub fn percentile(mut values: Vec<f64>, fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * fraction).round() as usize).copied().unwrap_or(f64::NAN)
}
