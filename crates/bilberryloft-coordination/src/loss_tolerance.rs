//! How many voters of a quorum may be lost at this moment, and why fewer than there should be.

use bilberryloft_state::member_set::MemberSet;
use serde::Deserialize;
use serde::Serialize;

/// Losses that a quorum tolerates, as known to its leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossTolerance {
    /// Voters that may fail or lose their disks at this moment, while the others still elect a leader.
    pub tolerated: usize,
    /// Losses that the quorum is meant to tolerate.
    pub wanted: usize,
    /// Voters that lack committed entries, or may not vote since their disks were lost.
    pub out_of_sync: Vec<u32>,
    /// Number of voters that are missing.
    pub missing_voters: usize,
}

impl LossTolerance {
    /// Counts the losses that a member set tolerates. With 0 voters wanted, the number of voters is as wanted.
    pub fn assess(
        members: &MemberSet,
        voters_wanted: usize,
        is_in_sync: impl Fn(u32) -> bool,
    ) -> LossTolerance {
        let voters = members.voters.len();
        let wanted_voters = if voters_wanted == 0 { voters } else { voters_wanted };
        let out_of_sync: Vec<u32> =
            members.voters.keys().copied().filter(|it| !is_in_sync(*it)).collect();
        LossTolerance {
            tolerated: (voters - out_of_sync.len()).saturating_sub(members.majority()),
            wanted: wanted_voters.saturating_sub(1) / 2,
            out_of_sync,
            missing_voters: wanted_voters.saturating_sub(voters),
        }
    }

    /// Returns whether fewer losses are tolerated than wanted.
    pub fn is_short(&self) -> bool {
        self.tolerated < self.wanted
    }
}
