//! Members of one quorum, as the replicated log itself records them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Voters and learners of a quorum with their addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSet {
    /// Members whose acknowledgements and votes count.
    pub voters: BTreeMap<u32, String>,
    /// Members that receive the log and do not count.
    pub learners: BTreeMap<u32, String>,
}

impl MemberSet {
    /// Makes a set of voters only.
    pub fn of_voters(voters: BTreeMap<u32, String>) -> MemberSet {
        MemberSet { voters, learners: BTreeMap::new() }
    }

    /// Number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Voters and learners other than `member`.
    pub fn others(&self, member: u32) -> Vec<u32> {
        self.voters.keys().chain(self.learners.keys()).copied().filter(|it| *it != member).collect()
    }

    /// Address of a voter or learner.
    pub fn address(&self, member: u32) -> Option<&String> {
        self.voters.get(&member).or_else(|| self.learners.get(&member))
    }

    /// Number of voters that one of the two sets has and the other has not.
    pub fn changed_voter_count(&self, other: &MemberSet) -> usize {
        let gone = self.voters.keys().filter(|it| !other.voters.contains_key(it)).count();
        let new = other.voters.keys().filter(|it| !self.voters.contains_key(it)).count();
        gone + new
    }
}
