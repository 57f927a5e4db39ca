//! Single cases of the quorum: disruption, replacement of members, and recovery.
#![allow(clippy::unwrap_used)]

mod support;

use bilberryloft_coordination::raft::Append;
use bilberryloft_coordination::raft::Message;
use bilberryloft_coordination::raft::Options;
use support::Cluster;
use support::Setup;

fn started(setup: Setup) -> Cluster {
    let mut cluster = Cluster::new(setup, 7);
    cluster.settle(2_000);
    cluster
}

/// Terms of the leader before and after a member was cut off for a long time.
fn term_after_isolation(pre_vote: bool) -> (u64, u64) {
    let options = Options { pre_vote, ..Setup::default().options };
    let mut cluster = started(Setup { options, ..Setup::default() });
    let leader = cluster.leader().unwrap();
    let other = 1 + leader % 3;
    let before = cluster.raft(leader).unwrap().term();
    cluster.isolate(other);
    cluster.settle(5_000);
    cluster.heal();
    cluster.settle(1_000);
    let after = cluster.raft(cluster.leader().unwrap()).unwrap().term();
    (before, after)
}

#[test]
fn returning_member_does_not_depose_the_leader() {
    let (before, after) = term_after_isolation(true);
    assert_eq!(before, after);
}

#[test]
fn returning_member_deposes_the_leader_without_pre_vote() {
    let (before, after) = term_after_isolation(false);
    assert!(after > before);
}

/// Time until there is a leader, in milliseconds.
fn time_to_leader_ms(cluster: &mut Cluster) -> u64 {
    (0..200)
        .find(|_| {
            cluster.leader().is_some() || {
                cluster.settle(10);
                false
            }
        })
        .unwrap()
        * 10
}

#[test]
fn leader_whose_process_ended_is_replaced_without_the_election_timeout() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(Setup::default(), seed);
        cluster.settle(2_000);
        let leader = cluster.leader().unwrap();
        cluster.crash(leader);
        (1..=3).for_each(|it| cluster.report_ended(it, leader));
        let waited_ms = time_to_leader_ms(&mut cluster);
        assert!(waited_ms < Setup::default().options.election_ms / 2, "{seed}: {waited_ms}");
    }
}

#[test]
fn leader_stays_when_one_member_wrongly_reports_that_it_ended() {
    let mut cluster = started(Setup::default());
    let leader = cluster.leader().unwrap();
    let term = cluster.raft(leader).unwrap().term();
    cluster.report_ended(1 + leader % 3, leader);
    cluster.settle(1_000);
    let after = cluster.leader().unwrap();
    assert_eq!((after, cluster.raft(after).unwrap().term()), (leader, term));
}

#[test]
fn quorum_that_restarts_as_a_whole_elects_within_an_election_timeout() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(Setup::default(), seed);
        cluster.settle(2_000);
        (1..=3).for_each(|it| cluster.crash(it));
        (1..=3).for_each(|it| cluster.start(it));
        let waited_ms = time_to_leader_ms(&mut cluster);
        assert!(waited_ms < Setup::default().options.election_ms, "{seed}: {waited_ms}");
    }
}

#[test]
fn isolated_leader_steps_down_and_commits_nothing() {
    let mut cluster = started(Setup::default());
    let old = cluster.leader().unwrap();
    cluster.isolate(old);
    let committed = cluster.committed_count();
    assert!(cluster.propose(old), "the isolated leader does not know yet that it lost contact");
    cluster.read(old);
    cluster.settle(50);
    assert_eq!(cluster.committed_count(), committed);
    cluster.settle(2_000);
    assert!(!cluster.propose(old), "the isolated leader has stepped down");
    let new = cluster.leader().unwrap();
    assert_ne!(new, old);
    assert!(cluster.propose(new));
    cluster.check_recovery();
    assert_eq!(cluster.violation, None);
}

#[test]
fn quorum_tolerates_a_second_failure_after_a_member_was_replaced() {
    let mut cluster = started(Setup::default());
    let leader = cluster.leader().unwrap();
    for _ in 0..50 {
        cluster.propose(leader);
    }
    cluster.settle(200);
    let failed = 1 + leader % 3;
    let second = 1 + failed % 3;
    cluster.crash(failed);
    cluster.settle(500);
    cluster.compact(leader);

    let mut members = cluster.raft(leader).unwrap().members().clone();
    members.learners.insert(4, "member-4".to_string());
    assert!(cluster.propose_members(leader, members));
    cluster.add_empty_member(4);
    cluster.settle(1_000);

    let mut members = cluster.raft(leader).unwrap().members().clone();
    members.voters.remove(&failed);
    assert!(cluster.propose_members(leader, members));
    cluster.settle(500);
    let mut members = cluster.raft(leader).unwrap().members().clone();
    let address = members.learners.remove(&4).unwrap();
    members.voters.insert(4, address);
    assert!(cluster.propose_members(leader, members));
    cluster.settle(500);

    cluster.crash(second);
    cluster.settle(1_000);
    let leader = cluster.leader().unwrap();
    let before = cluster.committed_count();
    assert!(cluster.propose(leader));
    cluster.settle(500);
    assert_eq!(cluster.committed_count(), before + 1);
    assert_eq!(cluster.violation, None);
}

#[test]
fn change_of_two_voters_at_once_is_refused() {
    let mut cluster = started(Setup::default());
    let leader = cluster.leader().unwrap();
    let mut members = cluster.raft(leader).unwrap().members().clone();
    members.voters.insert(4, "member-4".to_string());
    members.voters.insert(5, "member-5".to_string());
    assert!(!cluster.propose_members(leader, members));
}

#[test]
fn member_that_missed_thousands_of_entries_catches_up() {
    let mut cluster = started(Setup::default());
    let leader = cluster.leader().unwrap();
    let absent = 1 + leader % 3;
    cluster.crash(absent);
    for _ in 0..20_000 {
        cluster.propose(leader);
    }
    cluster.settle(500);
    cluster.compact(leader);
    for _ in 0..500 {
        cluster.propose(leader);
    }
    cluster.settle(200);
    cluster.start(absent);
    cluster.check_recovery();
    assert_eq!(cluster.violation, None);
    assert!(cluster.committed_count() > 20_500);
}

#[test]
fn member_with_a_lost_disk_abstains_until_it_has_caught_up() {
    let mut cluster = started(Setup::default());
    let leader = cluster.leader().unwrap();
    let (lost, behind) = (1 + leader % 3, 1 + (leader + 1) % 3);
    cluster.isolate(behind);
    for _ in 0..10 {
        cluster.propose(leader);
    }
    cluster.settle(100);
    let committed = cluster.committed_count();
    cluster.lose_disk(lost);
    cluster.crash(leader);
    cluster.heal();
    cluster.start(lost);
    cluster.settle(3_000);
    assert_eq!(
        cluster.leader(),
        None,
        "the two remaining members must not elect one that lacks committed entries"
    );
    cluster.start(leader);
    cluster.check_recovery();
    assert_eq!(cluster.violation, None);
    assert!(cluster.committed_count() > committed);
}

#[test]
fn members_with_equal_seeds_elect_a_leader() {
    // Daemons that start at the same moment may get equal seeds.
    for seed in 0..50 {
        let setup = Setup { equal_seed: Some(seed), ..Setup::default() };
        let mut cluster = started(setup);
        let leader = cluster.leader().unwrap();
        cluster.isolate(leader);
        cluster.settle(3_000);
        assert!(cluster.leader().is_some_and(|it| it != leader), "seed {seed}");
    }
}

// Guards against members that can elect nobody, because the only one with the latest entry is dropped from the voters by it.
#[test]
fn voter_that_is_being_dropped_can_still_be_elected() {
    let mut cluster = started(Setup { members: 4, ..Setup::default() });
    let leader = cluster.leader().unwrap();
    let dropped = 1 + leader % 4;
    for other in (1..=4).filter(|it| *it != dropped) {
        cluster.cut(leader, other);
    }
    let mut members = cluster.raft(leader).unwrap().members().clone();
    let address = members.voters.remove(&dropped).unwrap();
    members.learners.insert(dropped, address);
    assert!(cluster.propose_members(leader, members));
    cluster.settle(20);
    cluster.crash(leader);
    cluster.settle(3_000);
    let next = cluster.leader().expect("three of four voters are left");
    let before = cluster.committed_count();
    assert!(cluster.propose(next));
    cluster.settle(500);
    assert!(cluster.committed_count() > before);
    assert_eq!(cluster.violation, None);
}

// Guards against the same after a loss of all power, when that member doesn't know any more what was committed.
#[test]
fn voter_that_is_being_dropped_can_still_be_elected_after_a_restart() {
    let mut cluster = started(Setup { members: 4, forgets_members: true, ..Setup::default() });
    let leader = cluster.leader().unwrap();
    let dropped = 1 + leader % 4;
    cluster.empty_disk(dropped);
    cluster.start(dropped);
    cluster.settle(1_000);
    assert!(cluster.raft(dropped).unwrap().may_vote());
    for other in (1..=4).filter(|it| *it != dropped) {
        cluster.cut(leader, other);
    }
    let mut members = cluster.raft(leader).unwrap().members().clone();
    let address = members.voters.remove(&dropped).unwrap();
    members.learners.insert(dropped, address);
    assert!(cluster.propose_members(leader, members));
    cluster.settle(20);
    (1..=4).for_each(|it| cluster.crash(it));
    cluster.empty_disk(leader);
    cluster.check_recovery();
    assert_eq!(cluster.violation, None);
}

// Guards against members that can elect nobody, because the only one that none of them refuses is a learner by its own log.
#[test]
fn learner_with_the_latest_entries_can_be_elected() {
    let mut cluster = started(Setup { forgets_members: true, ..Setup::default() });
    let old = cluster.leader().unwrap();
    cluster.add_empty_member(4);
    let mut members = cluster.raft(old).unwrap().members().clone();
    members.learners.insert(4, "member-4".to_string());
    assert!(cluster.propose_members(old, members.clone()));
    cluster.settle(500);
    assert!(cluster.raft(old).unwrap().is_in_sync(4));
    // The leader alone has an entry by which the learner votes.
    cluster.isolate(old);
    let address = members.learners.remove(&4).unwrap();
    members.voters.insert(4, address);
    assert!(cluster.propose_members(old, members));
    (0..5).for_each(|_| assert!(cluster.propose(old)));
    cluster.report_ended_to_all(old);
    while cluster.leader() == Some(old) {
        cluster.pass_time(1);
        (1..=4).for_each(|it| cluster.sync(it));
        cluster.deliver(0);
    }
    // The learner alone has the first entry of the next leader, which loses its disk with all power.
    let new = cluster.leader().unwrap();
    let other = (1..=3).find(|it| ![old, new].contains(it)).unwrap();
    cluster.isolate(other);
    cluster.settle(20);
    (1..=4).for_each(|it| cluster.crash(it));
    cluster.empty_disk(new);
    (1..=4).for_each(|it| cluster.start(it));
    cluster.heal();
    cluster.settle(3_000);
    cluster.check_nothing_is_lost();
    assert_eq!(cluster.violation, None);
}

// Guards against a member that never votes again, because it waits for entries that were lost with an earlier leader.
#[test]
fn member_with_a_lost_disk_votes_again_under_the_next_leader() {
    let mut cluster = started(Setup { members: 5, ..Setup::default() });
    let leader = cluster.leader().unwrap();
    let lost = 1 + leader % 5;
    cluster.lose_disk(lost);
    cluster.settle(50);
    cluster.start(lost);
    let raft = cluster.raft(leader).unwrap();
    let last_index = raft.log().last_index();
    let heartbeat = Append {
        term: raft.term(),
        leader,
        previous_index: last_index,
        previous_term: raft.log().last_term(),
        entries: Vec::new(),
        commit_index: last_index,
        // The leader has ten more entries, which no other member gets.
        last_index: last_index + 10,
        round: 1,
        recovery: None,
    };
    cluster.crash(leader);
    cluster.inject(leader, lost, Message::Append(heartbeat));
    cluster.settle(3_000);
    assert!(cluster.leader().is_some());
    assert!(cluster.raft(lost).unwrap().may_vote());
    assert_eq!(cluster.violation, None);
}

/// Cuts the leader off, lets the others elect one of them at once, and returns the old leader, the new one and the other.
fn depose_unnoticed(cluster: &mut Cluster) -> (u32, u32, u32) {
    let old = cluster.leader().unwrap();
    cluster.isolate(old);
    let others: Vec<u32> = (1..=3).filter(|it| *it != old).collect();
    others.iter().for_each(|it| cluster.report_ended(*it, old));
    cluster.settle(100);
    let new = cluster.leader().unwrap();
    assert_ne!(new, old);
    let other = others.into_iter().find(|it| *it != new).unwrap();
    (old, new, other)
}

// Guards against entries that a deposed leader commits with a member that lost its disk, over those of the next leader.
#[test]
fn deposed_leader_commits_nothing_with_a_member_that_lost_its_disk() {
    for forgets_members in [false, true] {
        let mut cluster = started(Setup { forgets_members, ..Setup::default() });
        let (old, new, lost) = depose_unnoticed(&mut cluster);
        assert!(cluster.propose(new));
        cluster.settle(30);
        cluster.empty_disk(lost);
        cluster.heal();
        for other in [old, lost] {
            cluster.cut(new, other);
            cluster.cut(other, new);
        }
        cluster.start(lost);
        assert!(cluster.propose(old), "the old leader doesn't know yet that it is deposed");
        cluster.settle(60);
        assert_eq!(cluster.violation, None);
        assert!(!cluster.raft(lost).unwrap().may_vote());
        cluster.check_recovery();
        assert_eq!(cluster.violation, None);
    }
}

// Guards against a second quorum that a member without a log founds with one that lost its disk.
#[test]
fn member_that_lost_its_disk_founds_no_second_quorum() {
    for forgets_members in [false, true] {
        let mut cluster = Cluster::new(Setup { forgets_members, ..Setup::default() }, 7);
        cluster.isolate(3);
        cluster.settle(2_000);
        let lost = cluster.leader().map_or(1, |it| 3 - it);
        cluster.empty_disk(lost);
        cluster.heal();
        cluster.isolate(3 - lost);
        cluster.start(lost);
        cluster.settle(3_000);
        cluster.check_recovery();
        assert_eq!(cluster.violation, None);
    }
}

// Guards against members that never form a quorum, because all processes end before the first election.
#[test]
fn members_that_end_before_the_first_election_found_the_quorum_later() {
    let mut cluster = Cluster::new(Setup { forgets_members: true, ..Setup::default() }, 7);
    cluster.settle(20);
    assert_eq!(cluster.leader(), None);
    (1..=3).for_each(|it| cluster.crash(it));
    (1..=3).for_each(|it| cluster.start(it));
    cluster.check_recovery();
    assert_eq!(cluster.violation, None);
}

// Guards against members that never form a quorum, because their first leader steps down before one has its first entry.
#[test]
fn first_leader_goes_on_until_its_first_entry_has_arrived() {
    let mut cluster = Cluster::new(Setup::default(), 7);
    while cluster.leader().is_none() {
        cluster.pass_time(1);
        (1..=3).for_each(|it| cluster.sync(it));
        cluster.deliver(0);
    }
    // Its first heartbeat is answered by members that may not vote yet; then the links fail for less than a timeout.
    let leader = cluster.leader().unwrap();
    cluster.lose_entries();
    while cluster.in_flight() > 0 {
        cluster.deliver(0);
        cluster.lose_entries();
    }
    cluster.isolate(leader);
    cluster.pass_time(30);
    cluster.check_recovery();
    assert_eq!(cluster.violation, None);
}

// Guards against members that never vote again beside members of an earlier version, which confirm no recovery.
#[test]
fn members_with_lost_disks_vote_again_beside_an_earlier_version() {
    for earlier_version in 0..=3 {
        let mut cluster = started(Setup { earlier_version, ..Setup::default() });
        for lost in 1..=3 {
            cluster.empty_disk(lost);
            cluster.settle(1_000);
            cluster.start(lost);
            cluster.settle(1_000);
            assert!(cluster.raft(lost).unwrap().may_vote(), "{lost} of {earlier_version}");
        }
        cluster.check_recovery();
        assert_eq!(cluster.violation, None, "{earlier_version}");
    }
}

// Guards against a quorum that stops for good when as many disks as must be tolerated are lost at once.
#[test]
fn two_of_five_members_with_lost_disks_vote_again() {
    for forgets_members in [false, true] {
        let mut cluster = started(Setup { members: 5, forgets_members, ..Setup::default() });
        let leader = cluster.leader().unwrap();
        let lost = [leader, 1 + leader % 5];
        lost.iter().for_each(|it| cluster.empty_disk(*it));
        cluster.settle(1_000);
        lost.iter().for_each(|it| cluster.start(*it));
        cluster.check_recovery();
        assert!(lost.iter().all(|it| cluster.raft(*it).unwrap().may_vote()));
        assert_eq!(cluster.violation, None);
    }
}
