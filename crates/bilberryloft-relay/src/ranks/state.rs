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
        epoch: report.epoch.cast_signed(),
        rank: wire_count(report.rank),
        ranks: wire_count(report.ranks),
        is_open: report.is_open,
        map_version: report.map_version.cast_signed(),
        prepared: report.prepared.map(|it| it.cast_signed()),
        is_armed: report.is_armed,
        held_step: report.held_step.map(|it| it.cast_signed()),
        slowness: report.slowness.into(),
        choices: choices.map(|it| {
            wire::RankChoices::new(it.step.cast_signed(), it.epoch.cast_signed(), it.counts)
        }),
    }
}

/// Converts a message to a report and choices.
pub fn from_wire(state: wire::RankState) -> (RankReport, Option<RankChoices>) {
    let report = RankReport {
        group: state.group,
        epoch: state.epoch.cast_unsigned(),
        rank: count_from_wire(state.rank),
        ranks: count_from_wire(state.ranks),
        is_open: state.is_open,
        map_version: state.map_version.cast_unsigned(),
        prepared: state.prepared.map(|it| it.cast_unsigned()),
        is_armed: state.is_armed,
        held_step: state.held_step.map(|it| it.cast_unsigned()),
        slowness: state.slowness.into(),
    };
    let choices = state.choices.map(|it| RankChoices {
        step: it.step.cast_unsigned(),
        epoch: it.epoch.cast_unsigned(),
        counts: it.counts,
    });
    (report, choices)
}

/// Converts a number of ranks, or that of one, to its wire form.
fn wire_count(count: usize) -> i32 {
    i32::try_from(count).unwrap_or(i32::MAX)
}

/// Converts a number of ranks, or that of one, from its wire form; one below 0 becomes one that no group has.
fn count_from_wire(count: i32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
