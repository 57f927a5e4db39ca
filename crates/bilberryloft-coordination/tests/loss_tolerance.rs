//! Losses that a quorum tolerates while members fail and are replaced.

use std::collections::BTreeMap;

use bilberryloft_coordination::loss_tolerance::LossTolerance;
use bilberryloft_state::member_set::MemberSet;

fn assess(voters: &[u32], wanted: usize, out_of_sync: &[u32]) -> LossTolerance {
    let voters: BTreeMap<u32, String> = voters.iter().map(|it| (*it, String::new())).collect();
    let members = MemberSet::of_voters(voters);
    LossTolerance::assess(&members, wanted, |it| !out_of_sync.contains(&it))
}

#[test]
fn tolerated_losses_count_the_voters_in_sync_beyond_a_majority() {
    for (voters, wanted, out_of_sync, expected) in [
        (&[1, 2, 3][..], 3, &[][..], (1, 1)),
        (&[1, 2, 3], 3, &[2], (0, 1)),
        (&[1, 2, 3], 3, &[2, 3], (0, 1)),
        (&[1, 2, 3, 4], 3, &[], (1, 1)),
        (&[1, 2, 3, 4], 3, &[2], (0, 1)),
        (&[1, 2, 3, 4, 5], 5, &[1], (1, 2)),
        (&[1, 2, 3, 4, 5, 6], 5, &[], (2, 2)),
        (&[1], 0, &[], (0, 0)),
        (&[1, 2, 3], 0, &[], (1, 1)),
    ] {
        let found = assess(voters, wanted, out_of_sync);
        assert_eq!((found.tolerated, found.wanted), expected, "{voters:?} {out_of_sync:?}");
        assert_eq!(found.out_of_sync, out_of_sync);
        assert_eq!(found.is_short(), expected.0 < expected.1);
    }
}

#[test]
fn missing_voters_are_named_as_the_reason() {
    let found = assess(&[1, 2, 3], 5, &[]);
    assert_eq!((found.tolerated, found.wanted, found.missing_voters), (1, 2, 2));
}
