//! Memory of targets: a target that holds more tokens than fit ends.
#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;

use bilberryloft_routing::load_exchange::TargetTag;
use bilberryloft_routing::selection::MemoryNeed;
use bilberryloft_routing::selection::NoTarget;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::selection::PickedTarget;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::TargetTable;

const MEMORY_TOKENS: u64 = 1_000;
const USUAL_TOKENS: u64 = 100;

fn pick(table: &mut TargetTable, tokens: u64) -> Result<PickedTarget, NoTarget> {
    let need = MemoryNeed { tokens, usual_tokens: USUAL_TOKENS, memory_tokens: MEMORY_TOKENS };
    let limits = PickLimits {
        load_max: None,
        queue_max: 4,
        own_load_max: u32::MAX,
        idle_load: 0.0,
        entries: 1,
        memory: Some(need),
    };
    table.pick("writer", &[], &limits, 1_000, || 0.5)
}

/// Guards against requests that fit into the slots of a target but not into its memory.
#[test]
fn requests_are_picked_only_while_they_fit() {
    let mut table = support::target_table("r", 1, 100);
    let first = pick(&mut table, 600).unwrap();
    assert_eq!(pick(&mut table, 401), Err(NoTarget::Full));
    pick(&mut table, 400).unwrap();
    assert_eq!(pick(&mut table, 1), Err(NoTarget::Full));
    table.finish(first.key, AttemptOutcome::Success, 1_000);
    table.release_tokens(first.key, first.tokens);
    pick(&mut table, 600).unwrap();
}

/// Guards against counting only this entry's requests.
#[test]
fn requests_of_other_entries_count_as_usual_ones() {
    let mut table = support::target_table("r", 1, 100);
    let loads = BTreeMap::from([(TargetTag::of("r0"), 7)]);
    table.record_entry("other", loads, BTreeMap::new(), 1_000);
    assert_eq!(pick(&mut table, 301), Err(NoTarget::Full));
    pick(&mut table, 300).unwrap();
}

/// Guards against a large request that keeps small ones from another target with room.
#[test]
fn target_with_room_is_picked() {
    let mut table = support::target_table("r", 2, 100);
    let first = pick(&mut table, 900).unwrap();
    let second = pick(&mut table, 900).unwrap();
    assert_ne!(first.id, second.id);
    assert_eq!(pick(&mut table, 900), Err(NoTarget::Full));
}

/// Guards against sending a request that no target can hold.
#[test]
fn request_larger_than_the_memory_fits_nowhere() {
    let need = |tokens: u64| MemoryNeed {
        tokens,
        usual_tokens: USUAL_TOKENS,
        memory_tokens: MEMORY_TOKENS,
    };
    assert!(need(MEMORY_TOKENS).fits());
    assert!(!need(MEMORY_TOKENS + 1).fits());
    let mut table = support::target_table("r", 2, 100);
    assert_eq!(pick(&mut table, MEMORY_TOKENS + 1), Err(NoTarget::Full));
}
