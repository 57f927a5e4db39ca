//! Descriptions of targets, and outcomes of attempts there.

/// Description and state of a target, as the control hosts know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Unique name, which stays the same over restarts.
    pub id: String,
    /// Incarnation number, which grows with each restart.
    pub incarnation: u64,
    /// Service that the target belongs to.
    pub service: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Data centre of its host.
    pub data_center: String,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is draining and gets no new requests.
    pub is_leaving: bool,
    /// Whether the target's announcements arrive.
    pub is_announced: bool,
    /// Time for which the target stays cold, as of its announcement, in milliseconds.
    pub cold_for_ms: u64,
}

/// Outcome of an attempt, as evidence of the target's health.
///
/// It does not say whether the request ran or may be retried; the relay's `AttemptResult` does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered.
    Success,
    /// The target answered with a server error.
    Failed,
    /// The target ended its answer in good order, but much sooner than the others do.
    Truncated,
    /// The target was full and did not run the request.
    Full,
    /// The target did not run the request and asked for rest.
    Resting,
    /// Another target answered at the target's address.
    Misdirected,
    /// The target could not be reached, timed out, or closed the connection before the end of its answer.
    Lost,
    /// The caller disconnected or the stream was moved, which says nothing about the target's health.
    Unknown,
}
