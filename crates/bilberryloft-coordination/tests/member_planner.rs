//! Membership changes that are planned when hosts join, fail and return.
#![allow(clippy::unwrap_used)]

use bilberryloft_coordination::member_planner::MEMBER_TIMEOUT_MS;
use bilberryloft_coordination::member_planner::MemberPlanner;
use bilberryloft_state::member_set::MemberSet;

fn address(member: u32) -> String {
    format!("10.0.0.{member}:7400")
}

fn voters(members: &[u32]) -> MemberSet {
    MemberSet::of_voters(members.iter().map(|it| (*it, address(*it))).collect())
}

/// Reports the given hosts alive and applies the planned changes until there is none.
fn settle(
    planner: &mut MemberPlanner,
    mut members: MemberSet,
    alive: &[u32],
    now_ms: u64,
) -> MemberSet {
    for _ in 0..20 {
        alive.iter().for_each(|it| planner.note_alive(*it, address(*it), now_ms));
        let Some(next) = planner.next_members(&members, |_| true, now_ms) else {
            return members;
        };
        assert!(members.changed_voter_count(&next) <= 1, "{members:?} to {next:?}");
        members = next;
    }
    panic!("the members still change after 20 rounds: {members:?}");
}

fn voter_ids(members: &MemberSet) -> Vec<u32> {
    members.voters.keys().copied().collect()
}

#[test]
fn planner_replaces_a_voter_that_stays_away() {
    let mut planner = MemberPlanner::new(1, 3);
    planner.start_term(&voters(&[1, 2, 3]), 0);
    let later_ms = MEMBER_TIMEOUT_MS + 1;
    let members = settle(&mut planner, voters(&[1, 2, 3]), &[2, 4], later_ms);
    assert_eq!(voter_ids(&members), [1, 2, 4]);
}

#[test]
fn planner_waits_for_a_voter_that_restarts() {
    let mut planner = MemberPlanner::new(1, 3);
    planner.start_term(&voters(&[1, 2, 3]), 0);
    let members = settle(&mut planner, voters(&[1, 2, 3]), &[2, 4], MEMBER_TIMEOUT_MS - 1);
    assert_eq!(voter_ids(&members), [1, 2, 3]);
    assert!(members.learners.contains_key(&4), "the spare host becomes a learner meanwhile");
}

#[test]
fn planner_changes_nothing_without_a_spare_host() {
    let mut planner = MemberPlanner::new(1, 3);
    planner.start_term(&voters(&[1, 2, 3]), 0);
    let members = settle(&mut planner, voters(&[1, 2, 3]), &[2], 60_000);
    assert_eq!(voter_ids(&members), [1, 2, 3]);
}

#[test]
fn planner_grows_the_quorum_to_the_wanted_number_of_voters() {
    let mut planner = MemberPlanner::new(1, 5);
    planner.start_term(&voters(&[1, 2, 3]), 0);
    let members = settle(&mut planner, voters(&[1, 2, 3]), &[2, 3, 4, 5, 6], 100);
    assert_eq!(members.voters.len(), 5);
    assert_eq!(members.learners.len(), 1);
}

#[test]
fn planner_promotes_only_a_learner_that_has_caught_up() {
    let mut planner = MemberPlanner::new(1, 3);
    planner.start_term(&voters(&[1, 2]), 0);
    planner.note_alive(3, address(3), 0);
    let mut members = voters(&[1, 2]);
    members.learners.insert(3, address(3));
    assert_eq!(planner.next_members(&members, |_| false, 0), None);
    let next = planner.next_members(&members, |_| true, 0).unwrap();
    assert_eq!(voter_ids(&next), [1, 2, 3]);
}

#[test]
fn planner_changes_nothing_when_operators_manage_the_members() {
    let mut planner = MemberPlanner::new(1, 0);
    planner.start_term(&voters(&[1, 2, 3]), 0);
    planner.note_alive(4, address(4), 0);
    assert_eq!(planner.next_members(&voters(&[1, 2, 3]), |_| true, 60_000), None);
}
