//! Timing and safety options of a member.

/// Timing and safety options. The safety options exist so that tests can show what each safeguard prevents.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time between heartbeats of a leader in milliseconds.
    pub heartbeat_ms: u64,
    /// Shortest election timeout in milliseconds; the longest is twice that.
    pub election_ms: u64,
    /// Whether a member holds a pre-vote before it starts an election.
    pub pre_vote: bool,
    /// Whether reads wait for a quorum to confirm the leader.
    pub confirm_reads: bool,
    /// Whether a member with an empty data folder abstains from voting until it has caught up.
    pub abstain_when_empty: bool,
    /// Whether such a member counts towards no majority and waits for a confirmation of its leader. Members of versions
    /// before this option act as if it were false.
    pub confirm_recovery: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            heartbeat_ms: 100,
            election_ms: 500,
            pre_vote: true,
            confirm_reads: true,
            abstain_when_empty: true,
            confirm_recovery: true,
        }
    }
}
