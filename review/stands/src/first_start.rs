//! All processes are killed at the same moment during the first start of the system, before the quorum has formed.

use std::sync::Arc;
use std::time::Duration;

use crate::config::KEY;
use crate::config::config;
use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;
use crate::replica::Replica;

/// Time from the first start to the kill.
const BEFORE_KILL: Duration = Duration::from_millis(250);
/// Time for which the processes are down; they are back within a second.
const DOWN: Duration = Duration::from_millis(500);
/// Time for which the operator tries afterwards.
const TRY_FOR: Duration = Duration::from_secs(45);
/// Requests that are sent to each machine after that.
const REQUESTS: usize = 5;

/// Returns whether the rule held.
pub fn run(record: &Record, trouble: bool) -> bool {
    let mut fleet = Fleet::create(3, 0);
    record.line("first start of the system");
    (0..3).for_each(|idx| fleet.start(idx, true));
    if trouble {
        std::thread::sleep(BEFORE_KILL);
        (0..3).for_each(|idx| fleet.kill(idx));
        record.line("herd_kill on core: all processes are killed, their disks are preserved");
        std::thread::sleep(DOWN);
        (0..3).for_each(|idx| fleet.start(idx, false));
        record.line("all are back, bootstrap=false");
    }
    let control = (0..3).map(|idx| fleet.control(idx)).collect();
    let _replica = Replica::start("i-board", control, Arc::new(|_| vec![b'x'; 800]), record);
    if !fleet.put_config(&config(7), record, TRY_FOR) {
        record.line(&format!("not acknowledged in {} s", TRY_FOR.as_secs()));
    }
    std::thread::sleep(Duration::from_secs(3));
    let served = (0..3).map(|idx| send_requests(&fleet, idx, record)).sum::<usize>();
    record.line(&format!("requests served: {served} of {}", 3 * REQUESTS));
    for idx in 0..3 {
        fleet.record_log(idx, &["LeaderElected", "panicked"], record);
    }
    served > 0
}

/// Sends requests to one machine; returns how many are served.
fn send_requests(fleet: &Fleet, idx: usize, record: &Record) -> usize {
    let address = fleet.frontend(idx);
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("fetch-{idx}-{number}");
        let headers = [
            ("Host", "site.example"),
            ("Attempt-Id", id.as_str()),
            ("Authorization", KEY),
            ("Deadline-Ms", "1500"),
        ];
        let timeout = Duration::from_millis(1_500);
        let answer = http::call(&address, "GET", "/fetch/x", &headers, b"", timeout);
        served += usize::from(answer.as_ref().is_ok_and(|it| it.status == 200));
        if number == 0 {
            let status = answer.map_or_else(|it| it, |it| it.status.to_string());
            record.line(&format!("{id} at {}: {status}", fleet.hosts[idx].name));
        }
    }
    served
}
