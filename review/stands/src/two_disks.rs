//! Where two disks may be lost, two machines lose theirs right after the first configuration was acknowledged.

use std::time::Duration;
use std::time::Instant;

use crate::config::config;
use crate::fleet::Fleet;
use crate::record::Record;

/// Machines with a disk, of which the first three are the seeds.
const HOSTS: usize = 6;
/// `fault_tolerance.machines` of the settings.
const TOLERANCE: usize = 2;
/// The machines that lose their disks.
const WIPED: [usize; TOLERANCE] = [0, 1];
/// Time for which they are down.
const DOWN: Duration = Duration::from_millis(1_200);
/// `recover_s` of the site.
const RECOVER: Duration = Duration::from_secs(15);
/// `stable_window_ms` of the site, twice.
const READ_BACK: Duration = Duration::from_secs(8);

/// Returns whether the rule held.
pub fn run(record: &Record, trouble: bool) -> bool {
    let mut fleet = Fleet::create(HOSTS, 0);
    fleet.tolerance = TOLERANCE;
    record.line("first start of the system: six machines with a disk, two disks may be lost");
    (0..HOSTS).for_each(|idx| fleet.start(idx, true));
    let text = config(7);
    if !fleet.put_config(&text, record, Duration::from_secs(15)) {
        crate::cannot_run("the first configuration was not acknowledged");
    }
    if trouble {
        for idx in WIPED {
            fleet.kill(idx);
            fleet.wipe(idx);
        }
        record.line("after_ack_wipe: edge-a and edge-b are killed, and their disks are emptied");
        std::thread::sleep(DOWN);
        for idx in WIPED {
            fleet.start(idx, false);
        }
        record.line("edge-a and edge-b start again with empty disks, bootstrap=false");
    }
    std::thread::sleep(RECOVER);
    record.line("recover_s after all are back: the operator reads the configuration back");
    let until = Instant::now() + READ_BACK;
    let (mut whole, mut wrong) = (0, 0);
    while Instant::now() < until {
        for idx in 0..HOSTS {
            match fleet.read_config(idx, record) {
                Some(it) if it == text => whole += 1,
                Some(_) => wrong += 1,
                None => {}
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    record.line(&format!("read back: {whole} times whole, {wrong} times something else"));
    for idx in 0..HOSTS {
        fleet.record_log(idx, &["LeaderElected", "panicked", "MembersChanged"], record);
    }
    whole > 0 && wrong == 0
}
