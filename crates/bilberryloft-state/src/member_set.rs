//! Member set of one quorum, as recorded in the replicated log.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Voters and learners of a quorum, with their addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSet {
    /// Addresses of the voters, whose votes and acknowledgements count towards a majority.
    pub voters: BTreeMap<u32, String>,
    /// Addresses of the learners, which receive the log but do not count towards a majority.
    pub learners: BTreeMap<u32, String>,
}

impl MemberSet {
    /// Creates a member set without learners.
    pub fn of_voters(voters: BTreeMap<u32, String>) -> MemberSet {
        MemberSet { voters, learners: BTreeMap::new() }
    }

    /// Number of voters in a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All voters and learners except `member`.
    pub fn others(&self, member: u32) -> Vec<u32> {
        self.voters.keys().chain(self.learners.keys()).copied().filter(|it| *it != member).collect()
    }

    /// Address of a voter or learner.
    pub fn address(&self, member: u32) -> Option<&String> {
        self.voters.get(&member).or_else(|| self.learners.get(&member))
    }

    /// Number of voters that are in exactly one of the two sets.
    pub fn changed_voter_count(&self, other: &MemberSet) -> usize {
        let removed = self.voters.keys().filter(|it| !other.voters.contains_key(it)).count();
        let added = other.voters.keys().filter(|it| !self.voters.contains_key(it)).count();
        removed + added
    }
}
