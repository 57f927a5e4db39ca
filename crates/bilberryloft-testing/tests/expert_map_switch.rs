//! All ranks of a group use the same expert map in each step, even when processes are killed or cut off while the group
//! switches maps.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bilberryloft_coordination::expert_map::Preset;
use bilberryloft_daemon::agent::Announcement;
use bilberryloft_daemon::settings::ExpertMapSettings;
use bilberryloft_protocol::ranks::GroupStatus;
use bilberryloft_testing::caller::Caller;
use bilberryloft_testing::fleet::ANNOUNCE_PORT;
use bilberryloft_testing::fleet::ENGINE_PORT;
use bilberryloft_testing::fleet::Fleet;
use bilberryloft_testing::links::Links;
use bilberryloft_testing::proxy::Fault;
use bilberryloft_testing::ranks::RankSettings;
use bilberryloft_testing::ranks::StepCounts;

/// Seed of the faults.
const SEED: u64 = 71;
/// Number of faults in the test with random faults.
const FAULTS: usize = 24;

/// Plans a fleet without entries whose first engine has 4 ranks and whose agents plan expert maps.
async fn plan_fleet(name: &str, targets: usize) -> (Fleet, Links) {
    let mut fleet = Fleet::plan(name, 3, 0, targets);
    fleet.engine_settings_mut("engine-1").ranks =
        Some(RankSettings { ranks: 4, experts: 32, slots: 9 });
    for number in 1..=targets {
        let settings = fleet.settings_mut(&format!("agent-{number}"));
        settings.agent.as_mut().unwrap().expert_map = Some(ExpertMapSettings {
            preset: Preset::Skew,
            load_ms: 2.0,
            stall_ms: 1.0,
            interval_ms: 100,
            margin_steps: 8,
        });
    }
    let links = Links::interpose(&mut fleet).await;
    (fleet, links)
}

async fn get_json<T: serde::de::DeserializeOwned>(fleet: &Fleet, path: &str) -> Option<T> {
    let engine = format!("{}:{ENGINE_PORT}", fleet.target_ips[0]);
    let reply = Caller::new("").send(&engine, "GET", path, "").await;
    serde_json::from_str(&reply.text).ok()
}

async fn step_counts(fleet: &Fleet) -> StepCounts {
    get_json(fleet, "/expert_map/steps").await.unwrap_or_default()
}

/// Guards against a step in which two ranks use different maps when the agent, a rank or a control host restarts or is
/// cut off during a switch.
#[tokio::test]
async fn ranks_use_one_map_in_each_step_under_faults() {
    let (mut fleet, links) = plan_fleet("switch", 1).await;
    fleet.start_all();
    fleet.wait_for("a first switch", async || step_counts(&fleet).await.by_version.len() > 1).await;
    let mut random = fastrand::Rng::with_seed(SEED);
    let engine = format!("{}:{ENGINE_PORT}", fleet.target_ips[0]);
    for _ in 0..FAULTS {
        match random.u32(0..6) {
            0 | 1 => {
                fleet.kill("agent-1");
                tokio::time::sleep(Duration::from_millis(random.u64(20..300))).await;
                fleet.start("agent-1");
            }
            2 | 3 => {
                let path = format!("/ranks/{}/restart", random.u32(0..4));
                Caller::new("").send(&engine, "POST", &path, "").await;
            }
            4 => {
                links.set_daemon_faults("agent-1", Fault::Hold);
                tokio::time::sleep(Duration::from_millis(random.u64(100..900))).await;
                links.clear_faults();
            }
            _ => {
                let victim = format!("control-{}", random.u32(1..4));
                fleet.kill(&victim);
                tokio::time::sleep(Duration::from_millis(random.u64(50..400))).await;
                fleet.start(&victim);
            }
        }
        tokio::time::sleep(Duration::from_millis(random.u64(50..400))).await;
    }
    let before = step_counts(&fleet).await;
    fleet
        .wait_for("steps after the faults", async || {
            step_counts(&fleet).await.steps > before.steps + 200
        })
        .await;
    let after = step_counts(&fleet).await;
    println!("{after:?}");
    assert_eq!(after.mixed, 0, "{after:?}");
    assert!(
        after.by_version.len() > 3,
        "too few maps took effect for a meaningful check: {after:?}"
    );
    assert!(after.restarts > 2, "{after:?}");
}

/// Guards against a step in which two ranks use different maps when an agent is stopped with SIGSTOP, a second one
/// plans for the same engine, and the first continues after SIGCONT.
#[tokio::test]
async fn planner_that_resumes_after_its_replacement_does_not_mix_maps() {
    let (mut fleet, _links) = plan_fleet("deposed", 2).await;
    let target = fleet.settings_mut("agent-1").agent.clone().unwrap().target;
    fleet.settings_mut("agent-2").agent.as_mut().unwrap().target = target;
    for name in fleet.process_names().into_iter().filter(|it| it != "engine-2") {
        fleet.start(&name);
    }
    fleet.wait_for("a first switch", async || step_counts(&fleet).await.by_version.len() > 1).await;
    // Announces the engine to the second agent too, which then plans for it as a replacement of the first would.
    let status: GroupStatus = get_json(&fleet, "/expert_map").await.unwrap();
    let announcement = Announcement {
        url: format!("http://{}:{ENGINE_PORT}", fleet.target_ips[0]),
        incarnation: status.incarnation,
        models: Vec::new(),
        services: Vec::new(),
        slots: 8,
        ranks: 4,
        checks_fencing: false,
    };
    let second = format!("{}:{ANNOUNCE_PORT}", fleet.target_ips[1]);
    let body = serde_json::to_string(&announcement).unwrap();
    let announcer = tokio::spawn(async move {
        loop {
            Caller::new("").send(&second, "POST", "/announce", &body).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    });
    for _ in 0..6 {
        fleet.processes["agent-1"].signal("STOP");
        tokio::time::sleep(Duration::from_millis(700)).await;
        fleet.processes["agent-1"].signal("CONT");
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    announcer.abort();
    let after = step_counts(&fleet).await;
    println!("{after:?}");
    assert_eq!(after.mixed, 0, "{after:?}");
    assert!(after.by_version.len() > 3, "{after:?}");
}
