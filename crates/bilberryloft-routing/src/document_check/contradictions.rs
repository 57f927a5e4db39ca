//! Limits of a document that contradict each other.

use crate::document::Document;
use crate::document::Route;
use crate::document_check::Finding;
use crate::document_check::FindingKind;

/// Finds objectives that no answer can miss in time, and bodies that no host can hold.
pub(super) fn find(document: &Document, memory_bytes: Option<u64>) -> Vec<Finding> {
    let mut findings: Vec<Finding> = document.routes.iter().flat_map(over_timeout).collect();
    let body_bytes = document.limits.body_bytes_max as u64;
    if let Some(memory_bytes) = memory_bytes.filter(|it| body_bytes > *it) {
        findings.push(Finding {
            kind: FindingKind::BodyOverMemory,
            object: "limits".to_string(),
            text: format!(
                "a body may have {body_bytes} bytes, the memory of the host is {memory_bytes}"
            ),
        });
    }
    findings
}

fn over_timeout(route: &Route) -> Vec<Finding> {
    let timeout_ms = route.timeout_ms;
    let finding = |kind: FindingKind, name: &str, value_ms: u64| Finding {
        kind,
        object: format!("route {:?}", route.name),
        text: format!("the {name} of {value_ms} ms is longer than the timeout of {timeout_ms} ms"),
    };
    let mut findings = Vec::new();
    if route.objective_ms > timeout_ms {
        findings.push(finding(FindingKind::ObjectiveOverTimeout, "objective", route.objective_ms));
    }
    if let Some(gap_ms) = route.gap_objective_ms.filter(|it| *it > timeout_ms) {
        findings.push(finding(FindingKind::PauseOverTimeout, "objective for pauses", gap_ms));
    }
    findings
}
