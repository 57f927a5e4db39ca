//! Checks of a document that is valid but may not do what its operator wants, and the differences between two documents.

mod contradictions;
mod differences;
mod unmatched;

use serde::Deserialize;
use serde::Serialize;

use crate::document::Document;

pub use crate::document_check::differences::Difference;
pub use crate::document_check::differences::DifferenceKind;
pub use crate::document_check::differences::find_differences;

/// What a finding is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// The control API rejects the document.
    Rejected,
    /// A route gets no request, because another one has the same prefix on the same host.
    ShadowedRoute,
    /// A route's host has a port, which is not part of the name that requests are matched by.
    HostWithPort,
    /// A team has no keys, so no caller belongs to it.
    TeamWithoutKeys,
    /// No route sends requests to a service.
    ServiceWithoutRoute,
    /// A share has a weight of 0.
    ShareWithoutWeight,
    /// An objective is longer than the timeout.
    ObjectiveOverTimeout,
    /// The objective for the pause between events is longer than the timeout.
    PauseOverTimeout,
    /// One body may take more than the memory of the host.
    BodyOverMemory,
    /// The version is not above the one in force, which stays.
    OldVersion,
}

/// One thing that is wrong, or that is probably a mistake.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Finding {
    /// What it is about.
    pub kind: FindingKind,
    /// What is affected, such as `route "a"`.
    pub object: String,
    /// Description with the values that led to it.
    pub text: String,
}

impl Finding {
    /// Returns whether the control API rejects the document for it.
    pub fn is_error(&self) -> bool {
        self.kind == FindingKind::Rejected
    }
}

/// Finds a version that is not above the one in force, so that the control API accepts the document without effect.
pub fn find_old_version(in_force: &Document, document: &Document) -> Option<Finding> {
    let (before, version) = (in_force.version, document.version);
    (version <= before).then(|| Finding {
        kind: FindingKind::OldVersion,
        object: "version".to_string(),
        text: format!("{version} is not above {before}, which stays in force"),
    })
}

/// Finds entries that never match and limits that contradict each other, in a document that has passed
/// [`Document::check`]. `memory_bytes` is the memory of the entries' hosts, if it is known.
pub fn find_flaws(document: &Document, memory_bytes: Option<u64>) -> Vec<Finding> {
    let mut findings = unmatched::find(document);
    findings.extend(contradictions::find(document, memory_bytes));
    findings
}
