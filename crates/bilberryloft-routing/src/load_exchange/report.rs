//! Report of one entry to the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bilberryloft_state::key::digest;
use bilberryloft_state::suspect::LostRun;

use crate::priority_admission::demand::Demand;
use crate::target_limits::LimitReport;

/// Short form of a target's name in reports.
///
/// Two targets may have the same tag; each then counts the requests of both, which makes it less likely to be picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetTag(pub u32);

impl TargetTag {
    /// Returns the tag of a target.
    pub fn of(target_id: &str) -> TargetTag {
        // The cast keeps the lowest bits of the digest.
        TargetTag(digest(&[target_id.as_bytes()]) as u32)
    }
}

/// Which of two reports of an entry is newer: a later start of the entry goes before a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportNumber {
    /// Start of the entry, as the Unix time in milliseconds.
    pub incarnation: u64,
    /// Number of the report since then.
    pub number: u64,
}

/// Demand for services at one entry.
pub type ReportedDemand = BTreeMap<String, Demand>;

/// What an entry knows of the targets, and the demand for services there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportedTargets {
    /// Requests in flight.
    pub loads: BTreeMap<TargetTag, u32>,
    /// High failure rates by target, in tenths.
    pub failing: BTreeMap<String, u8>,
    /// Slowness of slow ranks by target, if the entry polls the ranks.
    pub slow_ranks: Option<BTreeMap<String, f64>>,
    /// Limits that targets name, by target.
    pub limits: BTreeMap<String, LimitReport>,
    /// Targets that have said in an answer that they are leaving, with their incarnations, as long as the control hosts
    /// don't know it.
    pub leaving: BTreeMap<String, u64>,
    /// Runs whose targets ended and that the quorum has not recorded for some time.
    pub lost_runs: Vec<LostRun>,
    /// Demand by service, only where there is any and requests are admitted by priority.
    pub demand: ReportedDemand,
}

/// Report of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryReport {
    /// Name of the entry.
    pub entry: String,
    /// Address on which it receives reports.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_center: String,
    /// Whether the report is newer than another one.
    pub number: ReportNumber,
    /// Number of entries that it has heard within a day, including itself.
    pub known_entries: usize,
    /// What it knows of the targets.
    pub targets: ReportedTargets,
}
