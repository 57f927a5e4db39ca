//! Membership changes that are planned when hosts join, fail and return.
#![allow(clippy::unwrap_used)]

use bilberryloft_coordination::member_planner::FIRST_REPORTS_MS;
use bilberryloft_coordination::member_planner::FOUNDING_MAX_MS;
use bilberryloft_coordination::member_planner::MEMBER_TIMEOUT_MS;
use bilberryloft_coordination::member_planner::MemberPlanner;
use bilberryloft_coordination::raft::HeardLeader;
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
    planner.start_term(&voters(&[1, 2, 3]), None, 0);
    let later_ms = MEMBER_TIMEOUT_MS + 1;
    let members = settle(&mut planner, voters(&[1, 2, 3]), &[2, 4], later_ms);
    assert_eq!(voter_ids(&members), [1, 2, 4]);
}

#[test]
fn planner_waits_for_a_voter_that_restarts() {
    let mut planner = MemberPlanner::new(1, 3);
    planner.start_term(&voters(&[1, 2, 3]), None, 0);
    let members = settle(&mut planner, voters(&[1, 2, 3]), &[2, 4], MEMBER_TIMEOUT_MS - 1);
    assert_eq!(voter_ids(&members), [1, 2, 3]);
    assert!(members.learners.contains_key(&4), "the spare host becomes a learner meanwhile");
}

#[test]
fn planner_changes_nothing_without_a_spare_host() {
    let mut planner = MemberPlanner::new(1, 3);
    planner.start_term(&voters(&[1, 2, 3]), None, 0);
    let members = settle(&mut planner, voters(&[1, 2, 3]), &[2], 60_000);
    assert_eq!(voter_ids(&members), [1, 2, 3]);
}

#[test]
fn planner_grows_the_quorum_to_the_wanted_number_of_voters() {
    let mut planner = MemberPlanner::new(1, 5);
    planner.start_term(&voters(&[1, 2, 3]), None, 0);
    let members = settle(&mut planner, voters(&[1, 2, 3]), &[2, 3, 4, 5, 6], 100);
    assert_eq!(members.voters.len(), 5);
    assert_eq!(members.learners.len(), 1);
}

#[test]
fn planner_promotes_only_a_learner_that_has_caught_up() {
    let mut planner = MemberPlanner::new(1, 3);
    planner.start_term(&voters(&[1, 2]), None, 0);
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
    planner.start_term(&voters(&[1, 2, 3]), None, 0);
    planner.note_alive(4, address(4), 0);
    assert_eq!(planner.next_members(&voters(&[1, 2, 3]), |_| true, 60_000), None);
}

/// Returns voters 1 to 3 and learner 4, and the planner of a leader of old standing that has heard from all of them.
fn with_spare(own: u32) -> (MemberPlanner, MemberSet) {
    let mut members = voters(&[1, 2, 3]);
    members.learners.insert(4, address(4));
    let mut planner = MemberPlanner::new(own, 3);
    planner.start_term(&members, None, 0);
    (1..=4).for_each(|it| planner.note_alive(it, address(it), FIRST_REPORTS_MS));
    (planner, members)
}

#[test]
fn leaving_voter_may_stop_only_after_a_spare_host_votes_in_its_place() {
    for (own, leaving) in [(1, 2), (1, 1), (3, 1)] {
        let (mut planner, members) = with_spare(own);
        let now_ms = FIRST_REPORTS_MS;
        planner.note_leaving(leaving, address(leaving), now_ms);
        assert!(!planner.may_stop(leaving, &members, now_ms));
        let promoted = planner.next_members(&members, |_| true, now_ms).unwrap();
        assert_eq!(voter_ids(&promoted), [1, 2, 3, 4]);
        assert!(!planner.may_stop(leaving, &promoted, now_ms));
        let replaced = planner.next_members(&promoted, |_| true, now_ms).unwrap();
        assert!(!replaced.voters.contains_key(&leaving));
        assert_eq!(replaced.voters.len(), 3);
        assert!(replaced.learners.contains_key(&leaving), "it gets the log until it ends");
        assert!(planner.may_stop(leaving, &replaced, now_ms));
    }
}

#[test]
fn leaving_voter_may_stop_at_once_without_a_spare_host() {
    let mut planner = MemberPlanner::new(1, 3);
    planner.start_term(&voters(&[1, 2, 3]), None, 0);
    let now_ms = FIRST_REPORTS_MS;
    planner.note_leaving(2, address(2), now_ms);
    assert!(planner.may_stop(2, &voters(&[1, 2, 3]), now_ms));
    assert_eq!(planner.next_members(&voters(&[1, 2, 3]), |_| true, now_ms), None);
}

#[test]
fn leaving_voter_waits_until_a_new_leader_has_heard_from_all_hosts() {
    let mut planner = MemberPlanner::new(1, 3);
    planner.start_term(&voters(&[1, 2, 3]), None, 0);
    planner.note_leaving(2, address(2), 10);
    assert!(!planner.may_stop(2, &voters(&[1, 2, 3]), 10));
}

#[test]
fn host_that_comes_back_is_not_leaving_any_more() {
    let (mut planner, members) = with_spare(1);
    planner.note_leaving(2, address(2), FIRST_REPORTS_MS);
    planner.note_alive(2, address(2), FIRST_REPORTS_MS + 1);
    assert_eq!(planner.next_members(&members, |_| true, FIRST_REPORTS_MS + 1), None);
}

#[test]
fn voter_is_dropped_only_if_a_majority_of_the_others_is_in_sync() {
    let (mut planner, _) = with_spare(1);
    let now_ms = FIRST_REPORTS_MS;
    planner.note_leaving(2, address(2), now_ms);
    let members = voters(&[1, 2, 3, 4]);
    assert_eq!(planner.next_members(&members, |it| it == 1 || it == 2, now_ms), None);
    let next = planner.next_members(&members, |it| it != 3, now_ms).unwrap();
    assert_eq!(voter_ids(&next), [1, 3, 4]);
}

#[test]
fn surplus_voter_that_is_out_of_sync_is_dropped_first() {
    let (planner, _) = with_spare(1);
    let members = voters(&[1, 2, 3, 4]);
    let next = planner.next_members(&members, |it| it != 2, FIRST_REPORTS_MS).unwrap();
    assert_eq!(voter_ids(&next), [1, 3, 4]);
}

// Guards against a timeout of a failed leader that begins anew with the next leader's term.
#[test]
fn leader_before_counts_as_away_by_its_last_message() {
    let mut members = voters(&[1, 2, 3]);
    members.learners.insert(4, address(4));
    let mut planner = MemberPlanner::new(1, 3);
    let previous_leader = HeardLeader { member: 2, heard_ms: 1_000 };
    planner.start_term(&members, Some(previous_leader), 2_000);
    let now_ms = 1_000 + MEMBER_TIMEOUT_MS;
    let members = settle(&mut planner, members, &[3, 4], now_ms);
    assert_eq!(voter_ids(&members), [1, 3, 4]);
}

// Guards against replacing a host that led long ago, and is alive, before it can report to the new leader.
#[test]
fn leader_of_long_ago_is_not_replaced_before_it_can_report() {
    let mut members = voters(&[1, 2, 3]);
    members.learners.insert(4, address(4));
    let mut planner = MemberPlanner::new(1, 3);
    let previous_leader = HeardLeader { member: 2, heard_ms: 1_000 };
    let now_ms = 60_000;
    planner.start_term(&members, Some(previous_leader), now_ms);
    assert_eq!(planner.next_members(&members, |_| true, now_ms), None);
}

// Guards against a first configuration that is acknowledged by too few voters, or refused for good.
#[test]
fn new_quorum_is_complete_once_all_hosts_that_are_there_vote() {
    let mut planner = MemberPlanner::new(1, 5);
    let founders = voters(&[1, 2, 3]);
    planner.start_term(&founders, None, 0);
    assert!(
        !planner.is_complete(&founders, FIRST_REPORTS_MS - 1),
        "others may not have reported yet"
    );
    assert!(planner.is_complete(&founders, FIRST_REPORTS_MS), "no other host is there");
    planner.note_alive(4, address(4), FIRST_REPORTS_MS);
    assert!(!planner.is_complete(&founders, FIRST_REPORTS_MS + 1), "4 is no voter yet");
    assert!(planner.is_complete(&voters(&[1, 2, 3, 4]), FIRST_REPORTS_MS + 1));
    let away_ms = FIRST_REPORTS_MS + MEMBER_TIMEOUT_MS + 1;
    assert!(planner.is_complete(&founders, away_ms), "4 has gone");
    planner.note_alive(4, address(4), FOUNDING_MAX_MS);
    assert!(!planner.is_complete(&founders, FOUNDING_MAX_MS - 1));
    assert!(planner.is_complete(&founders, FOUNDING_MAX_MS), "4 never catches up");
    assert!(planner.is_complete(&voters(&[1, 2, 3, 4, 5]), 0), "there are as many as wanted");
    assert!(
        MemberPlanner::new(1, 0).is_complete(&founders, 0),
        "the members are the operators' matter"
    );
}
