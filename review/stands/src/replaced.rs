//! A machine with a disk is replaced as planned, and before the quorum has taken note, another one loses its disk.

use std::time::Duration;
use std::time::Instant;

use crate::config::config;
use crate::fleet::Fleet;
use crate::record::Record;

const A: usize = 0;
const B: usize = 1;
/// The machine that is replaced.
const OLD: usize = 2;
/// Its successor.
const NEW: usize = 3;
/// `catch_up_s` of the settings, and a second: the successor has had its time, so the old machine no longer counts.
const CATCH_UP: Duration = Duration::from_secs(5);
/// `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Time for which B is down when it loses its disk.
const DOWN: Duration = Duration::from_millis(3_000);
/// `recover_s` of the settings.
const RECOVER: Duration = Duration::from_secs(12);
/// `stable_window_ms` of the settings, twice.
const READ_BACK: Duration = Duration::from_millis(6_000);

/// Returns whether the rule held.
pub fn run(record: &Record, trouble: bool) -> bool {
    let mut fleet = Fleet::create(4, 0);
    (0..3).for_each(|idx| fleet.start(idx, true));
    if !fleet.put_config(&config(7), record, Duration::from_secs(15)) {
        crate::cannot_run("the first configuration was not acknowledged");
    }
    std::thread::sleep(CATCH_UP);
    fleet.start(NEW, false);
    record.line("replace_core, planned: edge-d starts with an empty disk");
    std::thread::sleep(CATCH_UP);
    stop(&mut fleet, OLD, record);
    let text = config(8);
    if !fleet.put_config(&text, record, Duration::from_secs(3)) {
        crate::cannot_run("the second configuration was not acknowledged");
    }
    if trouble {
        fleet.kill(B);
        fleet.wipe(B);
        record.line("after_ack_wipe: edge-b is killed, and its disk is emptied");
        std::thread::sleep(DOWN);
        fleet.start(B, false);
        record.line("edge-b starts again at its address with an empty disk");
    }
    std::thread::sleep(RECOVER);
    record.line("recover_s after all are back: the operator reads the configuration back");
    let until = Instant::now() + READ_BACK;
    let (mut whole, mut wrong) = (0, 0);
    while Instant::now() < until {
        for idx in [A, B, NEW] {
            match fleet.read_config(idx, record) {
                Some(it) if it == text => whole += 1,
                Some(_) => wrong += 1,
                None => {}
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    record.line(&format!("read back: {whole} times whole, {wrong} times something else"));
    let words = ["LeaderElected", "LeaderSteppedDown", "panicked", "MembersChanged"];
    for idx in [A, B, OLD, NEW] {
        fleet.record_log(idx, &words, record);
    }
    whole > 0 && wrong == 0
}

/// Stops a machine for good, as planned work does.
fn stop(fleet: &mut Fleet, idx: usize, record: &Record) {
    let name = fleet.hosts[idx].name.clone();
    record.line(&format!("replace_core, planned: {name} gets SIGTERM (grace_s 8)"));
    fleet.signal(idx, "TERM");
    let until = Instant::now() + GRACE;
    while !fleet.has_ended(idx) && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
    fleet.kill(idx);
    record.line(&format!("{name} has ended and is gone for good"));
}
