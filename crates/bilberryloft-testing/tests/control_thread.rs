//! The control thread is separate from the traffic threads, so blocked traffic threads delay no heartbeat.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberryloft_daemon::daemon::Daemon;
use bilberryloft_testing::address::unique_ip;
use bilberryloft_testing::engine::Engine;
use bilberryloft_testing::fleet::TempFolder;
use bilberryloft_testing::fleet::agent_settings;
use bilberryloft_testing::fleet::control_settings;
use bilberryloft_testing::fleet::engine_settings;
use bilberryloft_testing::fleet::entry_settings;
use bilberryloft_testing::fleet::plain_settings;

/// Guards against a target that is marked unreachable, or a configuration that is no longer confirmed, because tasks
/// block all traffic threads of a daemon.
#[test]
fn blocked_traffic_threads_delay_no_heartbeat() {
    let (control_ip, agent_ip) = (unique_ip(), unique_ip());
    let folder = TempFolder::create("control-thread");
    let mut control = plain_settings("control-1", &control_ip, std::slice::from_ref(&control_ip));
    let members = BTreeMap::from([(1, control.peer_address.clone())]);
    control.control = Some(control_settings(1, &members, folder.path.clone()));
    let mut agent = plain_settings("agent-1", &agent_ip, std::slice::from_ref(&control_ip));
    agent.agent = Some(agent_settings("target-1", &agent_ip));
    agent.entry = Some(entry_settings(&agent_ip));
    agent.traffic_threads = 2;
    let control = Daemon::spawn(control).unwrap();
    let agent = Daemon::spawn(agent).unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let _engine = runtime.block_on(Engine::spawn(engine_settings(&agent_ip))).unwrap();
    let is_reachable = || {
        let membership = control.shared().view.membership();
        membership.targets().get("target-1").is_some_and(|it| it.reachable)
    };
    let wait_until = |what: &str, condition: &dyn Fn() -> bool| {
        for _ in 0..1_000 {
            if condition() {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("timed out waiting for {what}");
    };
    wait_until("the target to be reachable", &is_reachable);
    wait_until("a confirmed configuration", &|| agent.shared().view.may_serve());

    let release = Arc::new(AtomicBool::new(false));
    let blocked = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    for _ in 0..2 {
        let (release, blocked) = (release.clone(), blocked.clone());
        agent.traffic().unwrap().spawn(async move {
            blocked.fetch_add(1, Ordering::SeqCst);
            while !release.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
            }
        });
    }
    wait_until("both traffic threads to be blocked", &|| blocked.load(Ordering::SeqCst) == 2);
    let version = control.shared().view.membership().version();
    // Longer than the lease of a target, which is 2 s. Announcements do not reach the blocked agent either.
    std::thread::sleep(Duration::from_millis(2_300));
    assert!(is_reachable());
    assert_eq!(
        control.shared().view.membership().version(),
        version,
        "the membership must not change"
    );
    assert!(
        agent.shared().view.confirmed_age_ms().unwrap() < 2_300,
        "the configuration must still be confirmed"
    );
    release.store(true, Ordering::SeqCst);
}
