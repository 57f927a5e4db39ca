//! An accepted configuration change takes effect everywhere and is never lost, even when changes race and hosts freeze,
//! restart or are cut off.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::configuration::ChangeOutcome;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::fleet::Fleet;
use bilberryloft_testing::fleet::change_request;
use bilberryloft_testing::links::Links;
use bilberryloft_testing::proxy::Fault;

fn drain(target: &str, draining: bool) -> ChangeKind {
    ChangeKind::SetTarget { name: target.to_string(), draining }
}

/// Starts a fleet with three control hosts that take a snapshot every 16 log entries.
async fn start_fleet(name: &str) -> (Fleet, Links) {
    let mut fleet = Fleet::plan(name, 3, 1, 1);
    for number in 1..=3 {
        // Snapshots as often as the log allows, so that some kills happen during a snapshot.
        let settings = fleet.settings_mut(&format!("control-{number}"));
        settings.control.as_mut().unwrap().snapshot_entries = 16;
    }
    let links = Links::interpose(&mut fleet).await;
    fleet.start_all();
    fleet.make_team().await;
    fleet.wait_until_ready().await;
    (fleet, links)
}

fn version_of(outcome: &ChangeOutcome) -> u64 {
    match outcome {
        ChangeOutcome::Accepted { version } => *version,
        other => panic!("{other:?}"),
    }
}

/// Guards against two changes on the same base version that are both accepted when operators send them at the same time
/// to different control hosts.
#[tokio::test]
async fn concurrent_changes_on_one_base_version_have_one_winner() {
    let (fleet, _links) = start_fleet("race").await;
    for round in 0..10 {
        let base = fleet.status(&fleet.control_ips[0]).await.unwrap().configuration_version;
        let name = format!("race-{round}");
        let first = bilberryloft_state::configuration::ChangeRequest {
            base_version: Some(base),
            ..change_request(drain(&name, true))
        };
        let second = bilberryloft_state::configuration::ChangeRequest {
            base_version: Some(base),
            ..change_request(drain(&name, false))
        };
        let (first_outcome, second_outcome) = tokio::join!(
            fleet.change(&fleet.control_ips[0], &first),
            fleet.change(&fleet.control_ips[1], &second),
        );
        let outcomes = [first_outcome.unwrap(), second_outcome.unwrap()];
        let accepted =
            outcomes.iter().filter(|it| matches!(it, ChangeOutcome::Accepted { .. })).count();
        assert_eq!(accepted, 1, "{outcomes:?}");
        let (winner, conflict) = match &outcomes[0] {
            ChangeOutcome::Accepted { .. } => (&first, &outcomes[1]),
            _ => (&second, &outcomes[0]),
        };
        assert!(
            matches!(conflict, ChangeOutcome::Conflict { winner_change_id, .. } if *winner_change_id == winner.change_id)
        );
    }
}

/// Guards against a change that is applied twice when its answer is lost and the operator sends it again.
#[tokio::test]
async fn change_whose_answer_was_lost_is_safe_to_resend() {
    let (fleet, links) = start_fleet("resend").await;
    let request = change_request(drain("target-1", true));
    // The change goes through the entry. Answers from control are held back, so it commits but the entry does not know.
    for control in ["control-1", "control-2", "control-3"] {
        links.set_fault("entry-1", control, Fault::HoldToClient);
    }
    assert_eq!(fleet.change(&fleet.entry_ips[0], &request).await, None, "the outcome is unknown");
    links.clear_faults();
    let undo = fleet.change_with_retry(drain("target-1", false)).await;
    let resent = fleet.change(&fleet.control_ips[0], &request).await.unwrap();
    assert!(
        version_of(&resent) < version_of(&undo),
        "the resend must return the first outcome, not a second change: {resent:?}"
    );
    fleet.wait_for_version(version_of(&undo)).await;
    let status = fleet.status(&fleet.control_ips[0]).await.unwrap();
    assert_eq!(status.configuration_version, version_of(&undo));
}

/// Guards against an acknowledged change that is lost or applied twice, and against an entry or agent whose
/// configuration version decreases, when control hosts are killed and restarted during changes.
#[tokio::test]
async fn acknowledged_changes_survive_kills_and_versions_never_go_back() {
    let (mut fleet, _links) = start_fleet("kills").await;
    let mut random = fastrand::Rng::with_seed(97);
    let mut acknowledged = 0;
    let mut highest = [0_u64; 5];
    for round in 0..40 {
        let victim = format!("control-{}", 1 + random.u32(0..3));
        if round % 4 == 0 {
            fleet.kill(&victim);
        }
        let name = format!("kept-{round}");
        let outcome = fleet.change_with_retry(drain(&name, true)).await;
        assert!(version_of(&outcome) > acknowledged, "{outcome:?}");
        acknowledged = version_of(&outcome);
        if round % 4 == 0 {
            fleet.start(&victim);
        }
        let ips: Vec<String> = fleet
            .control_ips
            .iter()
            .chain(&fleet.entry_ips)
            .chain(&fleet.target_ips)
            .cloned()
            .collect();
        for (seen, ip) in highest.iter_mut().zip(&ips).skip(3) {
            let Some(status) = fleet.status(ip).await else {
                continue;
            };
            assert!(
                status.configuration_version >= *seen,
                "the configuration version of {ip} decreased"
            );
            *seen = status.configuration_version;
        }
    }
    fleet.wait_for_version(acknowledged).await;
    let history: bilberryloft_protocol::api::History =
        fleet.get(&fleet.entry_ips[0], "/operator/history").await.unwrap();
    for round in 0..40 {
        let object = format!("target/kept-{round}");
        let count = history.changes.iter().filter(|it| it.kind.object() == object).count();
        assert_eq!(count, 1, "{object}");
    }
}

/// Guards against a leader that still accepts changes or serves after it was cut off and another leader was elected,
/// and against one that lacks the accepted changes after its links are restored.
#[tokio::test]
async fn isolated_leader_accepts_no_change_and_stops_serving() {
    let (fleet, links) = start_fleet("cut-off").await;
    let old_leader = fleet.leader().await;
    let name = format!("control-{}", old_leader + 1);
    let old_ip = fleet.control_ips[old_leader].clone();
    links.set_daemon_faults(&name, Fault::Hold);
    let lost = fleet.change(&old_ip, &change_request(drain("only-at-the-old-leader", true))).await;
    assert_eq!(lost, None);
    fleet
        .wait_for("another leader", async || {
            let mut ips = fleet.control_ips.iter().filter(|it| **it != old_ip);
            let first = ips.next().unwrap().clone();
            fleet
                .status(&first)
                .await
                .is_some_and(|it| it.leader.is_some_and(|it| !it.starts_with(&old_ip)))
        })
        .await;
    let request = change_request(drain("kept", true));
    let other_ip = fleet.control_ips[(old_leader + 1) % 3].clone();
    let accepted = fleet.change(&other_ip, &request).await.unwrap();
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let status = fleet.status(&old_ip).await.unwrap();
    assert!(!status.serving, "its configuration lease must have expired: {status:?}");
    links.clear_faults();
    fleet.wait_for_version(version_of(&accepted)).await;
    let history: bilberryloft_protocol::api::History =
        fleet.get(&old_ip, "/operator/history").await.unwrap();
    assert!(history.changes.iter().any(|it| it.kind.object() == "target/kept"));
}

/// Guards against a leader that is stopped with SIGSTOP, misses the election of another one, and accepts a change at an
/// older version after SIGCONT.
#[tokio::test]
async fn frozen_leader_that_resumes_accepts_no_change_at_an_older_version() {
    let (fleet, _links) = start_fleet("frozen").await;
    let old_leader = fleet.leader().await;
    let process = &fleet.processes[&format!("control-{}", old_leader + 1)];
    process.signal("STOP");
    let outcome = fleet.change_with_retry(drain("while-frozen", true)).await;
    process.signal("CONT");
    let late =
        fleet.change(&fleet.control_ips[old_leader], &change_request(drain("after", true))).await;
    if let Some(late) = late {
        assert!(version_of(&late) > version_of(&outcome));
    }
    fleet.wait_for_version(version_of(&outcome)).await;
}

/// Guards against a control host or an entry that stays behind when it restarts after 400 changes.
#[tokio::test]
async fn daemon_restarted_after_hundreds_of_changes_catches_up() {
    let (mut fleet, _links) = start_fleet("restart").await;
    fleet.kill("control-3");
    fleet.kill("entry-1");
    let mut last = 0;
    for number in 0..400 {
        last = version_of(
            &fleet.change_with_retry(drain(&format!("t-{}", number % 50), number % 2 == 0)).await,
        );
    }
    fleet.start("control-3");
    fleet.start("entry-1");
    fleet.wait_for_version(last).await;
}

/// Guards against a quorum that stops accepting changes when a second host fails after the first lost its disk and
/// caught up again.
#[tokio::test]
async fn second_host_may_fail_after_the_first_recovered_from_a_lost_disk() {
    let (mut fleet, _links) = start_fleet("repair").await;
    let mut last = 0;
    for number in 0..20 {
        last = version_of(&fleet.change_with_retry(drain(&format!("t-{number}"), true)).await);
    }
    fleet.kill("control-1");
    std::fs::remove_dir_all(fleet.folder.path.join("control-1")).unwrap();
    fleet.start("control-1");
    let repaired = fleet.control_ips[0].clone();
    fleet
        .wait_for("control-1 to catch up and vote", async || {
            let status = fleet.status(&repaired).await;
            status.is_some_and(|it| it.configuration_version >= last && it.may_vote == Some(true))
        })
        .await;
    fleet.kill("control-2");
    let after = version_of(&fleet.change_with_retry(drain("after-repair", true)).await);
    assert_eq!(after, last + 1);
}

/// Sends a change of the member set to the leader until it is accepted.
async fn change_members(fleet: &Fleet, change: impl Fn(&mut MemberSet)) {
    fleet
        .wait_for("the members to change", async || {
            let ip = fleet.control_ips[fleet.leader().await].clone();
            let Some(mut members) = fleet.get::<MemberSet>(&ip, "/operator/members").await else {
                return false;
            };
            change(&mut members);
            let body = serde_json::to_string(&members).unwrap();
            Caller::new("")
                .send(&fleet.admin_address(&ip), "POST", "/operator/members", &body)
                .await
                .status
                == 200
        })
        .await;
}

/// Guards against a quorum that stops accepting changes when a second host fails after a failed host was replaced by a
/// new one, which joined as a learner and became a voter.
#[tokio::test]
async fn second_host_may_fail_after_the_first_was_replaced() {
    let mut fleet = Fleet::plan("replace", 4, 0, 0);
    let first = fleet.settings_mut("control-1").control.clone().unwrap();
    let mut members = first.members.clone();
    let (_, new_address) = members.pop_last().unwrap();
    for number in 1..=4 {
        fleet.settings_mut(&format!("control-{number}")).control.as_mut().unwrap().members =
            members.clone();
    }
    for number in 1..=3 {
        fleet.start(&format!("control-{number}"));
    }
    for number in 0..30 {
        fleet.change_with_retry(drain(&format!("t-{number}"), true)).await;
    }
    let replaced = (fleet.leader().await + 1) % 3;
    fleet.kill(&format!("control-{}", replaced + 1));
    change_members(&fleet, |it| drop(it.learners.insert(4, new_address.clone()))).await;
    fleet.start("control-4");
    let new_ip = fleet.control_ips[3].clone();
    fleet
        .wait_for("the new host to catch up", async || {
            let status = fleet.status(&new_ip).await;
            status.is_some_and(|it| it.configuration_version >= 30 && it.may_vote == Some(true))
        })
        .await;
    change_members(&fleet, |it| drop(it.voters.remove(&(replaced as u32 + 1)))).await;
    change_members(&fleet, |it| {
        if let Some(address) = it.learners.remove(&4) {
            it.voters.insert(4, address);
        }
    })
    .await;
    let failed = (replaced + 1) % 3;
    fleet.kill(&format!("control-{}", failed + 1));
    let outcome = fleet.change_with_retry(drain("after", true)).await;
    assert_eq!(version_of(&outcome), 31);
}
