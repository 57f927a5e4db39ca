//! Datagrams with load reports: what is sent arrives, and bytes of any kind do no harm.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bilberryloft_relay::loads::wire;
use bilberryloft_routing::load_exchange::EntryReport;
use bilberryloft_routing::load_exchange::ReportNumber;
use bilberryloft_routing::load_exchange::ReportedDemand;
use bilberryloft_routing::load_exchange::ReportedTargets;
use bilberryloft_routing::load_exchange::TargetTag;
use bilberryloft_routing::priority_admission::demand::PriorityDemand;
use bilberryloft_routing::target_limits::LimitReport;
use bilberryloft_state::suspect::LostPart;
use bilberryloft_state::suspect::LostRun;
use quickcheck::quickcheck;

fn sender() -> SocketAddr {
    "127.0.0.1:7000".parse().unwrap()
}

fn lost_run(number: usize) -> LostRun {
    LostRun {
        target: format!("target-{number}"),
        fingerprint: -7,
        run_id: i64::MIN,
        started_ago_ms: 300,
        lost_ago_ms: 40,
        delay_max_ms: 0,
        was_answering: false,
        has_head: true,
        was_on_trial: false,
        parts: vec![LostPart { key: i64::MIN, is_proven: true }],
    }
}

fn demand() -> ReportedDemand {
    let of_priority = PriorityDemand { running: 9, waiting: 2, arrivals_per_s: 5 };
    let demand = BTreeMap::from([(0, of_priority), (2, of_priority)]);
    BTreeMap::from([("writer".to_string(), demand)])
}

fn report(entry: usize, loads: usize, limits: usize) -> EntryReport {
    let limit = LimitReport { per_s: Some(2.5), incarnation: 3, age_ms: 40 };
    EntryReport {
        entry: format!("edge-obihiro-hall-{entry}"),
        address: sender(),
        data_center: "obihiro-hall".to_string(),
        number: ReportNumber { incarnation: 1_800_000_000_000, number: 7 },
        known_entries: 55,
        targets: ReportedTargets {
            loads: (0..loads).map(|it| (TargetTag(it as u32 * 7_777_777), 2)).collect(),
            failing: BTreeMap::from([("t1".to_string(), 9)]),
            slow_ranks: Some(BTreeMap::from([("t2".to_string(), 3.5)])),
            limits: (0..limits).map(|it| (format!("target-{it}"), limit)).collect(),
            leaving: BTreeMap::from([("t3".to_string(), 1_800_000_000_001)]),
            lost_runs: (0..limits.min(8)).map(lost_run).collect(),
            demand: demand(),
        },
    }
}

#[test]
fn reports_arrive_as_they_were() {
    let reports: Vec<EntryReport> = (0..3).map(|it| report(it, 15, 2)).collect();
    let datagrams = wire::encode(&reports);
    assert_eq!(datagrams.len(), 1);
    assert_eq!(wire::decode(&datagrams[0], sender()).unwrap(), reports);
}

#[test]
fn report_of_an_entry_with_15_targets_takes_less_than_200_bytes() {
    let mut report = report(1, 15, 0);
    report.targets.failing.clear();
    report.targets.slow_ranks = None;
    report.targets.leaving.clear();
    assert!(wire::encode(&[report])[0].len() < 200);
}

/// Each entry sends its demand with every report, so it must stay small.
#[test]
fn demand_of_a_service_takes_less_than_50_bytes() {
    let with = report(1, 15, 0);
    let mut without = with.clone();
    without.targets.demand.clear();
    let bytes = |it: &EntryReport| wire::encode(std::slice::from_ref(it))[0].len();
    assert!(bytes(&with) - bytes(&without) < 50, "{}", bytes(&with) - bytes(&without));
    println!("demand: {} bytes", bytes(&with) - bytes(&without));
}

/// A datagram holds 64 KB at most, and many limits do not fit into one.
#[test]
fn reports_with_many_limits_are_split() {
    let reports: Vec<EntryReport> = (0..40).map(|it| report(it, 192, 128)).collect();
    let datagrams = wire::encode(&reports);
    assert!(datagrams.iter().all(|it| it.len() < 16 << 10));
    let decoded = datagrams.iter().flat_map(|it| wire::decode(it, sender()).unwrap());
    assert_eq!(decoded.collect::<Vec<_>>(), reports);
}

quickcheck! {
    fn bytes_of_any_kind_are_read_or_refused(bytes: Vec<u8>) -> bool {
        wire::decode(&bytes, sender()).map_or(0, |it| it.len()) <= bytes.len()
    }

    fn datagram_with_a_changed_byte_is_read_or_refused(at: usize, value: u8) -> bool {
        let mut datagram = wire::encode(&[report(1, 15, 2), report(2, 3, 0)]).remove(0);
        let at = at % datagram.len();
        datagram[at] = value;
        wire::decode(&datagram, sender()).map_or(0, |it| it.len()) <= datagram.len()
    }
}
