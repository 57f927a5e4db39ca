//! State of a rank, as its agent tells it to the planner.

use bilberryloft_protocol::wire;

use crate::dialect::RankReport;
use crate::ranks::choices;

/// Choices of experts by the requests of a rank since the planner last read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankChoices {
    /// Number of the forward pass that started last.
    pub step: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// Compact choices since the last reading, with all experts of one set after the other; `None` for the first one.
    pub counts: Option<Vec<u8>>,
}

impl RankChoices {
    /// Returns the choices of `experts` experts over all sets, if they are known.
    pub fn decode(&self, experts: usize) -> Option<Vec<u64>> {
        choices::decode(self.counts.as_deref()?, experts)
    }
}

/// Converts a report, and the choices if they could be read, to a message.
pub fn to_wire(report: RankReport, choices: Option<RankChoices>) -> wire::RankState {
    wire::RankState {
        group: report.group,
        epoch: report.epoch as i64,
        rank: report.rank as i32,
        ranks: report.ranks as i32,
        is_open: report.is_open,
        map_version: report.map_version as i64,
        prepared: report.prepared.map(|it| it as i64),
        is_armed: report.is_armed,
        held_step: report.held_step.map(|it| it as i64),
        slowness: report.slowness.into(),
        choices: choices
            .map(|it| wire::RankChoices::new(it.step as i64, it.epoch as i64, it.counts)),
    }
}

/// Converts a message to a report and choices.
pub fn from_wire(state: wire::RankState) -> (RankReport, Option<RankChoices>) {
    let report = RankReport {
        group: state.group,
        epoch: state.epoch as u64,
        rank: state.rank as usize,
        ranks: state.ranks as usize,
        is_open: state.is_open,
        map_version: state.map_version as u64,
        prepared: state.prepared.map(|it| it as u64),
        is_armed: state.is_armed,
        held_step: state.held_step.map(|it| it as u64),
        slowness: state.slowness.into(),
    };
    let choices = state.choices.map(|it| RankChoices {
        step: it.step as u64,
        epoch: it.epoch as u64,
        counts: it.counts,
    });
    (report, choices)
}
