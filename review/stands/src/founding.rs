//! A machine with a disk is frozen from the first start on, the other two acknowledge a configuration, and one of these
//! loses its disk. Once all are back, the machine that kept its disk is restarted as planned.

use std::time::Duration;

use crate::config::config;
use crate::fleet::Fleet;
use crate::record::Record;

const A: usize = 0;
const B: usize = 1;
const C: usize = 2;
/// Length of the freeze of C.
const FREEZE: Duration = Duration::from_millis(4_000);
/// Time for which B is down when it loses its disk.
const DOWN: Duration = Duration::from_millis(3_000);
/// `recover_s` of the settings.
const RECOVER: Duration = Duration::from_secs(12);
/// `stable_window_ms` of the settings, twice.
const READ_BACK: Duration = Duration::from_millis(6_000);

/// `catch_up_s` of the settings, and a second.
const CATCH_UP: Duration = Duration::from_secs(5);
/// `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(8);

/// Returns whether the rule held.
pub fn run(record: &Record, trouble: bool) -> bool {
    let mut fleet = Fleet::create(3, 0);
    record.line("first start of the system: edge-c, then edge-a and edge-b, within 0.3 s");
    fleet.start(C, true);
    fleet.wait_until_listening(C, Duration::from_secs(5));
    let frozen_at = std::time::Instant::now();
    if trouble {
        fleet.signal(C, "STOP");
        record.line("node_freeze: edge-c stands still");
    }
    fleet.start(A, true);
    fleet.start(B, true);
    let text = config(7);
    if !fleet.put_config(&text, record, Duration::from_secs(3)) {
        crate::cannot_run("the first configuration was not acknowledged while C was frozen");
    }
    if trouble {
        fleet.kill(B);
        fleet.wipe(B);
        record.line("after_ack_wipe: edge-b is killed and its disk is emptied");
        let killed_at = std::time::Instant::now();
        std::thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
        fleet.signal(C, "CONT");
        record.line("edge-c wakes again");
        std::thread::sleep(DOWN.saturating_sub(killed_at.elapsed()));
        fleet.start(B, false);
        record.line("edge-b starts again at its address with an empty disk, bootstrap=false");
    }
    std::thread::sleep(CATCH_UP);
    restart(&mut fleet, A, record);
    std::thread::sleep(RECOVER);
    record.line("recover_s after all are back: the operator reads the configuration back");
    let until = std::time::Instant::now() + READ_BACK;
    let mut whole = 0;
    let mut wrong = 0;
    while std::time::Instant::now() < until {
        for idx in [A, B, C] {
            match fleet.read_config(idx, record) {
                Some(it) if it == text => whole += 1,
                Some(_) => wrong += 1,
                None => {}
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    record.line(&format!("read back: {whole} times whole, {wrong} times something else"));
    let words = ["LeaderElected", "panicked", "never be replaced", "MembersChanged"];
    for idx in [A, B, C] {
        fleet.record_log(idx, &words, record);
    }
    whole > 0 && wrong == 0
}

/// Stops a machine's process as planned work does, and starts it again.
fn restart(fleet: &mut Fleet, idx: usize, record: &Record) {
    let name = fleet.hosts[idx].name.clone();
    record.line(&format!("roll_term: {name} gets SIGTERM"));
    fleet.signal(idx, "TERM");
    let until = std::time::Instant::now() + GRACE;
    while !fleet.has_ended(idx) && std::time::Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.kill(idx);
    fleet.start(idx, false);
    record.line(&format!("{name} starts again with its disk, bootstrap=false"));
}
