//! Decides whether a target has ended, after a request that was sent to it broke off or got no answer.

/// Result of opening a connection to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The target accepts connections, and others that were open before stayed open.
    Connected,
    /// The target accepts connections, but has closed all that were open before.
    Restarted,
    /// The target's host refuses connections.
    Refused,
    /// Nothing responds at the target's address.
    Silent,
}

/// What is known about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndEvidence {
    /// Result of opening a connection.
    pub probe: ProbeResult,
    /// Whether the target had said that it would leave.
    pub is_leaving: bool,
    /// Whether this entry hears from anything else, so that the silence can't be its own loss of the network.
    pub has_contact: bool,
}

/// Returns whether the target ended while it ran its requests.
pub fn has_ended(evidence: EndEvidence) -> bool {
    let is_gone = match evidence.probe {
        ProbeResult::Connected => false,
        ProbeResult::Restarted | ProbeResult::Refused => true,
        ProbeResult::Silent => evidence.has_contact,
    };
    is_gone && !evidence.is_leaving
}
