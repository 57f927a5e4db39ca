//! Versions of the maps of lock-step groups whose ranks know nothing of a quorum: which planner assigns which version.

/// Versions of each term of leadership, so that two leaders never assign the same version to different maps.
const VERSIONS_PER_TERM: u64 = 1_000_000;

/// Whether ranks switch to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionKind {
    /// Ranks may be armed for the version. Such versions are even.
    Change,
    /// No rank is ever armed for the version. Such versions are odd.
    Barrier,
}

impl VersionKind {
    /// Returns the kind of a version.
    pub fn of(version: u64) -> VersionKind {
        if version.is_multiple_of(2) { VersionKind::Change } else { VersionKind::Barrier }
    }

    /// Returns the lowest version of this kind that is not below `lowest`.
    pub fn at_least(self, lowest: u64) -> u64 {
        if VersionKind::of(lowest) == self { lowest } else { lowest + 1 }
    }
}

/// Returns the next version of a kind that a leader assigns; `highest` is the highest that it has assigned or seen. `None`
/// if that belongs to a later term, whose leader has taken over, or if the term has no version left.
pub fn next_version(kind: VersionKind, term: u64, highest: u64) -> Option<u64> {
    let first = term.checked_mul(VERSIONS_PER_TERM)?;
    let end = first.checked_add(VERSIONS_PER_TERM)?;
    let version = kind.at_least(highest.checked_add(1)?.max(first));
    (version < end).then_some(version)
}
