//! Ranks leave some orders unanswered and carry them out late, and hand out some answers twice.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::config::KEY;
use crate::config::config_with_engine;
use crate::fleet::Fleet;
use crate::group::Group;
use crate::group::Trouble;
use crate::group::engine;
use crate::http;
use crate::record::Record;

/// `garble`, how "extra late": share 0.6 of the replicas spoil x 0.03 of their answers; over all of them 0.018.
const SECOND_ANSWERS: f64 = 0.6 * 0.03;
/// `applied_late`: x 0.5 of the orders.
const LATE_ORDERS: f64 = 0.5;
/// Time for which both last at once (`for_s`), the pause after that, and how often they come.
const SPELL: Duration = Duration::from_millis(5_000);
const PAUSE: Duration = Duration::from_millis(1_500);
const SPELLS: usize = 15;
/// Callers, each with one stream after the other.
const CALLERS: usize = 48;

/// Returns whether the rule held.
pub fn run(record: &Record, trouble: bool) -> bool {
    let group = Group::start(record);
    let mut fleet = Fleet::create(3, 0);
    let agents = fleet.add_agents(&group.ips);
    (0..3).chain(agents).for_each(|idx| fleet.start(idx, true));
    if !fleet.put_config(&config_with_engine(7, &engine()), record, Duration::from_secs(15)) {
        crate::cannot_run("the first configuration was not acknowledged");
    }
    group.announce((0..3).map(|idx| fleet.control(idx)).collect());
    (0..3).for_each(|idx| fleet.wait_ready(idx, Duration::from_secs(15)));
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let frontend = fleet.frontend(number % 3);
            let (is_over, served) = (is_over.clone(), served.clone());
            std::thread::spawn(move || send_streams(number, &frontend, &is_over, &served))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(5));
    for _ in 0..SPELLS {
        if trouble {
            record.line("garble (extra late) and applied_late begin");
            let (second_answers, late_orders) = (SECOND_ANSWERS, LATE_ORDERS);
            group.set_trouble(Trouble { second_answers, late_orders });
        }
        wait_for_mixed_pass(&group, SPELL);
        group.set_trouble(Trouble::default());
        wait_for_mixed_pass(&group, PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|it| drop(it.join()));
    let (mixed, changes, seconds) = group.counts();
    let served = served.load(Ordering::Relaxed);
    record.line(&format!(
        "streams served: {served}; changes of the map: {changes}; second answers where that to an order was due: {seconds}; passes with different maps: {mixed}"
    ));
    if served < 100 || changes + mixed == 0 {
        crate::cannot_run("no streams were served, or the map never changed");
    }
    mixed == 0
}

/// Waits until a pass has begun with different maps, at most for the given time.
fn wait_for_mixed_pass(group: &Group, limit: Duration) {
    let until = Instant::now() + limit;
    while Instant::now() < until && group.counts().0 == 0 {
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn send_streams(caller: usize, frontend: &str, is_over: &AtomicBool, served: &AtomicU64) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("draft-{caller}-{number}");
        let headers = [
            ("Host", "site.example"),
            ("Attempt-Id", id.as_str()),
            ("Authorization", KEY),
            ("Model", "m"),
            ("Token-Count", "900,160"),
            ("Deadline-Ms", "8000"),
        ];
        let timeout = Duration::from_secs(8);
        let answer = http::call(frontend, "POST", "/draft/x", &headers, b"a prompt", timeout);
        match answer {
            Ok(it) if it.status == 200 => drop(served.fetch_add(1, Ordering::Relaxed)),
            _ => std::thread::sleep(Duration::from_millis(200)),
        }
    }
}
