//! Single cases of the quorum: disruption, replacement of members, and recovery after each other.
#![allow(clippy::unwrap_used)]

mod support;

use bilberryloft_coordination::raft::Options;
use support::Cluster;
use support::World;

fn started(world: World) -> Cluster {
    let mut cluster = Cluster::new(world, 7);
    cluster.settle(2_000);
    cluster
}

/// Term of the leader after a member was cut off for long and came back.
fn term_after_isolation(pre_vote: bool) -> (u64, u64) {
    let options = Options { pre_vote, ..World::default().options };
    let mut cluster = started(World { options, ..World::default() });
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

/// Time until somebody leads, in milliseconds.
fn time_to_lead(cluster: &mut Cluster) -> u64 {
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
fn leader_whose_process_ended_is_replaced_at_once() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(World::default(), seed);
        cluster.settle(2_000);
        let leader = cluster.leader().unwrap();
        cluster.crash(leader);
        (1..=3).for_each(|it| cluster.say_ended(it, leader));
        let waited_ms = time_to_lead(&mut cluster);
        assert!(waited_ms < World::default().options.election_ms / 2, "{seed}: {waited_ms}");
    }
}

#[test]
fn leader_that_is_said_to_have_ended_by_one_member_goes_on() {
    let mut cluster = started(World::default());
    let leader = cluster.leader().unwrap();
    let term = cluster.raft(leader).unwrap().term();
    cluster.say_ended(1 + leader % 3, leader);
    cluster.settle(1_000);
    let after = cluster.leader().unwrap();
    assert_eq!((after, cluster.raft(after).unwrap().term()), (leader, term));
}

#[test]
fn quorum_that_was_killed_at_once_elects_before_an_election_timeout() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(World::default(), seed);
        cluster.settle(2_000);
        (1..=3).for_each(|it| cluster.crash(it));
        (1..=3).for_each(|it| cluster.start(it));
        let waited_ms = time_to_lead(&mut cluster);
        assert!(waited_ms < World::default().options.election_ms, "{seed}: {waited_ms}");
    }
}

#[test]
fn isolated_leader_steps_down_and_commits_nothing() {
    let mut cluster = started(World::default());
    let old = cluster.leader().unwrap();
    cluster.isolate(old);
    let committed = cluster.committed_count();
    assert!(cluster.propose(old), "it still believes that it leads");
    cluster.read(old);
    cluster.settle(50);
    assert_eq!(cluster.committed_count(), committed);
    cluster.settle(2_000);
    assert!(!cluster.propose(old), "it no longer believes so");
    let new = cluster.leader().unwrap();
    assert_ne!(new, old);
    assert!(cluster.propose(new));
    cluster.check_recovery();
    assert_eq!(cluster.violation, None);
}

#[test]
fn replaced_member_lets_a_second_one_fail() {
    let mut cluster = started(World::default());
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
fn two_voters_at_once_are_refused() {
    let mut cluster = started(World::default());
    let leader = cluster.leader().unwrap();
    let mut members = cluster.raft(leader).unwrap().members().clone();
    members.voters.insert(4, "member-4".to_string());
    members.voters.insert(5, "member-5".to_string());
    assert!(!cluster.propose_members(leader, members));
}

#[test]
fn member_that_missed_thousands_of_entries_catches_up() {
    let mut cluster = started(World::default());
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
fn lost_disk_abstains_until_it_has_caught_up() {
    let mut cluster = started(World::default());
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
        "the two left must not elect one who lacks what was committed"
    );
    cluster.start(leader);
    cluster.check_recovery();
    assert_eq!(cluster.violation, None);
    assert!(cluster.committed_count() > committed);
}

#[test]
fn members_with_equal_seeds_elect_a_leader() {
    // Daemons that start in the same moment may be given such seeds.
    for seed in 0..50 {
        let world = World { equal_seed: Some(seed), ..World::default() };
        let mut cluster = started(world);
        let leader = cluster.leader().unwrap();
        cluster.isolate(leader);
        cluster.settle(3_000);
        assert!(cluster.leader().is_some_and(|it| it != leader), "seed {seed}");
    }
}
