//! An accepted configuration is in force everywhere and stays, whoever races, freezes or restarts.
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

async fn started(name: &str) -> (Fleet, Links) {
    let mut fleet = Fleet::plan(name, 3, 1, 1);
    for number in 1..=3 {
        // Snapshots as often as the log allows, so that kills hit them too.
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

#[tokio::test]
async fn operators_racing_with_equal_numbers_have_one_winner() {
    let (fleet, _links) = started("race").await;
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
        let (left, right) = tokio::join!(
            fleet.change(&fleet.control_ips[0], &first),
            fleet.change(&fleet.control_ips[1], &second),
        );
        let outcomes = [left.unwrap(), right.unwrap()];
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

#[tokio::test]
async fn change_whose_answer_was_lost_is_safe_to_resend() {
    let (fleet, links) = started("resend").await;
    let request = change_request(drain("target-1", true));
    // The operator speaks to the entry; answers from control are held, so the change commits unheard.
    for control in ["control-1", "control-2", "control-3"] {
        links.set_fault("entry-1", control, Fault::HoldToClient);
    }
    assert_eq!(fleet.change(&fleet.entry_ips[0], &request).await, None, "the outcome is unknown");
    links.clear_faults();
    let undo = fleet.change_with_retry(drain("target-1", false)).await;
    let resent = fleet.change(&fleet.control_ips[0], &request).await.unwrap();
    assert!(
        version_of(&resent) < version_of(&undo),
        "the first outcome, not a second change: {resent:?}"
    );
    fleet.wait_for_version(version_of(&undo)).await;
    let status = fleet.status(&fleet.control_ips[0]).await.unwrap();
    assert_eq!(status.configuration_version, version_of(&undo));
}

#[tokio::test]
async fn acknowledged_changes_survive_kills_and_versions_never_go_back() {
    let (mut fleet, _links) = started("kills").await;
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
            assert!(status.configuration_version >= *seen, "{ip} went back");
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

#[tokio::test]
async fn leader_cut_off_for_long_accepts_nothing_and_confirms_nothing() {
    let (fleet, links) = started("cut-off").await;
    let old = fleet.leader().await;
    let name = format!("control-{}", old + 1);
    let old_ip = fleet.control_ips[old].clone();
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
    let other = fleet.control_ips[(old + 1) % 3].clone();
    let accepted = fleet.change(&other, &request).await.unwrap();
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let status = fleet.status(&old_ip).await.unwrap();
    assert!(!status.serving, "its confirmation ran out: {status:?}");
    links.clear_faults();
    fleet.wait_for_version(version_of(&accepted)).await;
    let history: bilberryloft_protocol::api::History =
        fleet.get(&old_ip, "/operator/history").await.unwrap();
    assert!(history.changes.iter().any(|it| it.kind.object() == "target/kept"));
}

#[tokio::test]
async fn frozen_leader_that_wakes_up_does_no_harm() {
    let (fleet, _links) = started("frozen").await;
    let old = fleet.leader().await;
    let process = &fleet.processes[&format!("control-{}", old + 1)];
    process.signal("STOP");
    let outcome = fleet.change_with_retry(drain("while-frozen", true)).await;
    process.signal("CONT");
    let late = fleet.change(&fleet.control_ips[old], &change_request(drain("after", true))).await;
    if let Some(late) = late {
        assert!(version_of(&late) > version_of(&outcome));
    }
    fleet.wait_for_version(version_of(&outcome)).await;
}

#[tokio::test]
async fn daemon_restarted_after_hundreds_of_changes_catches_up() {
    let (mut fleet, _links) = started("restart").await;
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

#[tokio::test]
async fn second_host_may_fail_after_the_first_lost_its_disk_and_was_repaired() {
    let (mut fleet, _links) = started("repair").await;
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

/// Sends other members to the leader until they are accepted.
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

#[tokio::test]
async fn replaced_host_lets_another_fail() {
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
    let gone = (fleet.leader().await + 1) % 3;
    fleet.kill(&format!("control-{}", gone + 1));
    change_members(&fleet, |it| drop(it.learners.insert(4, new_address.clone()))).await;
    fleet.start("control-4");
    let new_ip = fleet.control_ips[3].clone();
    fleet
        .wait_for("the new host to catch up", async || {
            let status = fleet.status(&new_ip).await;
            status.is_some_and(|it| it.configuration_version >= 30 && it.may_vote == Some(true))
        })
        .await;
    change_members(&fleet, |it| drop(it.voters.remove(&(gone as u32 + 1)))).await;
    change_members(&fleet, |it| {
        if let Some(address) = it.learners.remove(&4) {
            it.voters.insert(4, address);
        }
    })
    .await;
    let another = (gone + 1) % 3;
    fleet.kill(&format!("control-{}", another + 1));
    let outcome = fleet.change_with_retry(drain("after", true)).await;
    assert_eq!(version_of(&outcome), 31);
}
