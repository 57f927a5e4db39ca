//! Medians and spreads over seeds.

/// Median, least and most of some values.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// Middle value.
    pub median: f64,
    /// Least value.
    pub least: f64,
    /// Most.
    pub most: f64,
}

impl Summary {
    /// Summarizes values, one a seed.
    pub fn of(mut values: Vec<f64>) -> Summary {
        values.sort_by(f64::total_cmp);
        let last = values.len().saturating_sub(1);
        let at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
        Summary { median: at(last / 2), least: at(0), most: at(last) }
    }

    /// Median with least and most in brackets.
    pub fn text(&self, digits: usize) -> String {
        format!("{:.digits$} [{:.digits$}, {:.digits$}]", self.median, self.least, self.most)
    }
}

/// The value below which a share of the values lies.
pub fn percentile(mut values: Vec<f64>, share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * share).round() as usize).copied().unwrap_or(f64::NAN)
}
