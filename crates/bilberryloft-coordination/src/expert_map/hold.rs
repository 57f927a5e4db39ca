//! Release of a lock-step group that is held before a forward pass, by any planner and at any time.
//!
//! Several planners may act at the same time: a leader that stood still goes on without knowing that it was deposed, and
//! an order that got no answer may be carried out seconds later. So nothing here rests on who leads or on the time. It
//! rests on what ranks refuse (`docs/design/expert-maps.md` has the orders and the whole course of a change):
//!
//! - A rank arms only the version that it has prepared, and prepares only versions above all that it has had. Once it has
//!   prepared a higher version without being armed, no order arms it with a lower one.
//! - A version is armed at one pass only, by the planner that assigned it, after all ranks have prepared it and the quorum's log
//!   says which pass; or by a later leader that reads it there, while the group is held before that pass.
//! - A barrier is a version that nobody arms; [`VersionKind`] tells it from a change.
//! - A version is disarmed only once some rank can't be armed with it any more. So it never becomes complete, and a late
//!   order to disarm it does no harm.
//! - No two planners hold the same pass at the same rank, see [`crate::expert_map::HoldSlot`]. So a late order to release a
//!   hold finds no later one.
//!
//! A held group is released if every rank is armed for the same version, which stays so until the pass, or if every rank
//! is disarmed and has prepared the same barrier, after which no earlier order arms any of them.

use crate::expert_map::VersionKind;

/// What a rank reports of its maps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankMaps {
    /// Version that is prepared; that for which the rank is armed, if it is.
    pub prepared: Option<u64>,
    /// Whether the rank is armed.
    pub is_armed: bool,
}

/// An order to disarm a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DisarmOrder {
    /// Number of the rank.
    pub rank: usize,
    /// Version for which it is armed.
    pub version: u64,
}

/// Orders after which all ranks have prepared a barrier; some may be refused, and follow from the next reading again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BarrierOrders {
    /// Ranks that are ordered to prepare the barrier.
    pub prepare: Vec<usize>,
    /// Ranks that are disarmed first.
    pub disarm: Vec<DisarmOrder>,
}

/// Returns whether a held group may be released, so that all of its ranks switch at the same pass, or none does. The
/// reports may be old and of different moments.
pub fn may_release(ranks: &[RankMaps]) -> bool {
    let Some(first) = ranks.first() else {
        return false;
    };
    let Some(version) = first.prepared else {
        return false;
    };
    let is_same = ranks.iter().all(|it| it == first);
    is_same && (first.is_armed || VersionKind::of(version) == VersionKind::Barrier)
}

/// Returns the version of a change for which all ranks may still be armed, if they have all prepared the same one.
pub fn completable_version(ranks: &[RankMaps]) -> Option<u64> {
    let version = ranks.first()?.prepared?;
    let is_same = ranks.iter().all(|it| it.prepared == Some(version));
    (is_same && VersionKind::of(version) == VersionKind::Change).then_some(version)
}

/// Returns the orders by which ranks that may not be released yet get nearer to it; `barrier` is above all versions that they
/// report, or is one of them. The reports may be old and of different moments.
pub fn barrier_orders(ranks: &[RankMaps], barrier: u64) -> BarrierOrders {
    let mut orders = BarrierOrders::default();
    for (idx, rank) in ranks.iter().enumerate() {
        match rank.prepared {
            Some(version) if rank.is_armed => {
                if can_never_complete(version, ranks) {
                    orders.disarm.push(DisarmOrder { rank: idx, version });
                }
            }
            Some(version) if version == barrier => {}
            _ => orders.prepare.push(idx),
        }
    }
    orders
}

/// Returns whether some rank can't be armed with a version any more.
fn can_never_complete(version: u64, ranks: &[RankMaps]) -> bool {
    ranks.iter().any(|it| !it.is_armed && it.prepared.is_some_and(|prepared| prepared > version))
}
