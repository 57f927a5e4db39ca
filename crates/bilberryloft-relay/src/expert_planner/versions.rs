//! Versions that a planner assigns to maps and barriers.

use std::time::Duration;

use bilberryloft_coordination::expert_map::VersionKind;
use bilberryloft_coordination::expert_map::next_version;
use tokio::time::Instant;

/// Time after which a leader that still leads takes versions of a later term for those of a quorum that is no more: one
/// that is founded anew counts terms from 1 again.
const EARLIER_QUORUM_AFTER: Duration = Duration::from_secs(10);

/// Versions of one planner; each is above all that it has assigned or seen.
#[derive(Debug, Default)]
pub(super) struct MapVersions {
    /// Term in which this host was the leader at the latest check.
    term: u64,
    /// Latest version that was assigned.
    latest: u64,
    /// Since when ranks have shown versions of a later term.
    later_term_since: Option<Instant>,
}

impl MapVersions {
    /// Returns the term in which this host was the leader at the latest check.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Sets the term in which this host leads. That of a successor, which a host learns when it is deposed, would give the
    /// successor's versions to other maps.
    pub fn set_term(&mut self, term: u64) {
        self.term = term;
    }

    /// Takes note that this host no longer leads, or stood still.
    pub fn end_leadership(&mut self) {
        self.later_term_since = None;
    }

    /// Assigns the next version of a kind; `shown` is the highest that ranks show. `None` if the term has none, or a later
    /// one has begun.
    pub fn assign(&mut self, kind: VersionKind, shown: u64) -> Option<u64> {
        let highest = shown.max(self.latest);
        let version = match next_version(kind, self.term, highest) {
            Some(version) => {
                self.later_term_since = None;
                version
            }
            None => {
                let since = *self.later_term_since.get_or_insert(Instant::now());
                let is_earlier_quorum = since.elapsed() >= EARLIER_QUORUM_AFTER;
                is_earlier_quorum.then(|| kind.at_least(highest + 1))?
            }
        };
        self.latest = version;
        Some(version)
    }
}
