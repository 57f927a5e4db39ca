//! Exchange of reports in fleets of up to a thousand entries: how old reports are, what they cost, and that entries go on
//! hearing each other while others fail.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use bilberryloft_routing::load_exchange::ENTRIES_MAX;
use bilberryloft_routing::load_exchange::EntryReport;
use bilberryloft_routing::load_exchange::LoadExchange;
use bilberryloft_routing::load_exchange::OwnEntry;
use bilberryloft_routing::load_exchange::ReportedTargets;
use bilberryloft_routing::load_exchange::TargetTag;
use bilberryloft_routing::target_limits::LimitReport;

/// Interval at which each entry checks its loads, in milliseconds.
const TICK_MS: u64 = 40;
/// Time after which a report no longer counts, in milliseconds.
const ACTIVE_MS: u64 = 1_500;
/// Estimated size of a report without its loads, in bytes.
const REPORT_BYTES: usize = 60;
/// Size of the load of one target, in bytes.
const LOAD_BYTES: usize = 5;

/// An entry of the simulated fleet.
struct Entry {
    exchange: LoadExchange,
    name: String,
    address: SocketAddr,
    data_center: usize,
    is_up: bool,
    /// Time of the last news, by entry.
    heard_ms: BTreeMap<String, u64>,
    reports: BTreeMap<String, EntryReport>,
    sent_datagrams: u64,
    received_datagrams: u64,
    sent_bytes: u64,
    sent_far_bytes: u64,
}

struct Fleet {
    entries: Vec<Entry>,
    by_address: BTreeMap<SocketAddr, usize>,
    contacts: BTreeSet<SocketAddr>,
    now_ms: u64,
    random: fastrand::Rng,
    loss: f64,
    /// Pairs of data centres that can't reach each other.
    cut: BTreeSet<(usize, usize)>,
}

fn address(idx: usize) -> SocketAddr {
    format!("127.9.{}.{}:7000", idx / 250, idx % 250 + 1).parse().unwrap()
}

fn start(idx: usize, data_center: usize, now_ms: u64) -> Entry {
    let (name, address) = (format!("entry-{idx}"), address(idx));
    let exchange = LoadExchange::new(OwnEntry {
        entry: name.clone(),
        data_center: format!("hall-{data_center}"),
        address,
        incarnation: now_ms,
    });
    Entry {
        exchange,
        name,
        address,
        data_center,
        is_up: true,
        heard_ms: BTreeMap::new(),
        reports: BTreeMap::new(),
        sent_datagrams: 0,
        received_datagrams: 0,
        sent_bytes: 0,
        sent_far_bytes: 0,
    }
}

impl Fleet {
    /// Starts all entries at once; the first one of each data centre is a contact.
    fn start(entries: usize, data_centers: usize) -> Fleet {
        let all: Vec<Entry> = (0..entries).map(|it| start(it, it % data_centers, 10_000)).collect();
        Fleet {
            by_address: all.iter().enumerate().map(|(idx, it)| (it.address, idx)).collect(),
            contacts: all.iter().take(data_centers).map(|it| it.address).collect(),
            entries: all,
            now_ms: 10_000,
            random: fastrand::Rng::with_seed(11),
            loss: 0.0,
            cut: BTreeSet::new(),
        }
    }

    fn run_for(&mut self, time_ms: u64) {
        let until_ms = self.now_ms + time_ms;
        while self.now_ms < until_ms {
            self.tick();
            self.now_ms += TICK_MS;
        }
    }

    /// Each entry checks its loads, which change all the time, and its datagrams arrive at once.
    fn tick(&mut self) {
        for idx in 0..self.entries.len() {
            if !self.entries[idx].is_up {
                continue;
            }
            let loads = (0..12).map(|it| (TargetTag(self.random.u32(0..200)), it + 1)).collect();
            let targets = ReportedTargets { loads, ..ReportedTargets::default() };
            self.send(idx, targets);
        }
    }

    fn send(&mut self, idx: usize, targets: ReportedTargets) {
        let (contacts, now_ms) = (self.contacts.clone(), self.now_ms);
        let random = &mut self.random;
        let entry = &mut self.entries[idx];
        let (sender, data_center) = (entry.address, entry.data_center);
        entry.exchange.set_own(targets, 1, now_ms);
        for outgoing in entry.exchange.due(&contacts, now_ms, || random.f64()) {
            let size = |it: &EntryReport| REPORT_BYTES + LOAD_BYTES * it.targets.loads.len();
            let bytes: usize = outgoing.reports.iter().map(size).sum();
            for to in outgoing.to {
                let to = self.by_address[&to];
                let far = self.entries[to].data_center != data_center;
                let entry = &mut self.entries[idx];
                entry.sent_datagrams += 1;
                entry.sent_bytes += bytes as u64;
                entry.sent_far_bytes += if far { bytes as u64 } else { 0 };
                self.receive(to, sender, data_center, &outgoing.reports);
            }
        }
    }

    fn receive(&mut self, to: usize, sender: SocketAddr, from: usize, reports: &[EntryReport]) {
        let (now_ms, is_lost) = (self.now_ms, self.random.f64() < self.loss);
        let entry = &mut self.entries[to];
        let pair = (from.min(entry.data_center), from.max(entry.data_center));
        if !entry.is_up || is_lost || self.cut.contains(&pair) {
            return;
        }
        entry.received_datagrams += 1;
        for report in entry.exchange.receive(sender, reports.to_vec(), now_ms) {
            entry.heard_ms.insert(report.entry.clone(), now_ms);
            entry.reports.insert(report.entry.clone(), report);
        }
    }

    /// Returns how long ago the latest news came, for each pair of entries that run; `None` if there never were any.
    fn ages(&self) -> Vec<Option<u64>> {
        let up = || self.entries.iter().filter(|it| it.is_up);
        let age = |at: &Entry, of: &Entry| Some(self.now_ms - at.heard_ms.get(&of.name)?);
        up().flat_map(|at| up().filter(|it| it.name != at.name).map(move |of| age(at, of)))
            .collect()
    }

    fn unheard(&self) -> usize {
        self.ages().iter().filter(|it| it.is_none_or(|it| it > ACTIVE_MS)).count()
    }

    fn most_per_s(&self, counted: impl Fn(&Entry) -> u64, seconds: u64) -> u64 {
        self.entries.iter().map(counted).max().unwrap() / seconds
    }

    fn reset_counts(&mut self) {
        for entry in &mut self.entries {
            entry.sent_datagrams = 0;
            entry.received_datagrams = 0;
            entry.sent_bytes = 0;
            entry.sent_far_bytes = 0;
        }
    }
}

#[test]
fn report_reaches_all_entries_of_a_fleet_that_starts_at_once() {
    for (entries, data_centers) in [(2, 1), (7, 3), (24, 3), (25, 5), (55, 5), (120, 5)] {
        let mut fleet = Fleet::start(entries, data_centers);
        fleet.run_for(2_000);
        assert_eq!(fleet.unheard(), 0, "{entries} entries");
    }
}

#[test]
fn report_is_no_older_than_400_ms_in_a_fleet_of_55() {
    let mut fleet = Fleet::start(55, 5);
    fleet.run_for(2_000);
    for _ in 0..50 {
        fleet.run_for(TICK_MS);
        let oldest = fleet.ages().into_iter().map(Option::unwrap).max().unwrap();
        assert!(oldest <= 400, "{oldest} ms");
    }
}

/// With everyone sending to everyone, an entry of 55 sends and receives 1,350 datagrams a second, one of 120 almost 3,000.
#[test]
fn datagrams_of_an_entry_grow_with_its_data_centre_and_bytes_stay_bounded() {
    for entries in [55, 120] {
        // Both representatives hear each entry of their data centre at most 12.5 times a second.
        let datagrams_max = 20 * entries as u64 / 5 + 60;
        let mut fleet = Fleet::start(entries, 5);
        fleet.run_for(1_500);
        fleet.reset_counts();
        fleet.run_for(2_000);
        let sent = fleet.most_per_s(|it| it.sent_datagrams, 2);
        let received = fleet.most_per_s(|it| it.received_datagrams, 2);
        let bytes = fleet.most_per_s(|it| it.sent_bytes, 2);
        let far_bytes = fleet.most_per_s(|it| it.sent_far_bytes, 2);
        println!(
            "{entries}: {sent} sent, {received} received, {bytes} and far {far_bytes} bytes/s"
        );
        assert!(sent <= datagrams_max && received <= datagrams_max, "{sent}, {received}");
        assert!(bytes <= 1_500_000 && far_bytes <= 150_000, "{bytes}, {far_bytes}");
    }
}

#[test]
fn report_goes_on_while_representatives_fail_one_after_the_other() {
    let mut fleet = Fleet::start(55, 5);
    fleet.run_for(2_000);
    for idx in 0..4 {
        // The representatives of a data centre are its first entries by address.
        fleet.entries[5 * idx].is_up = false;
        for _ in 0..40 {
            fleet.run_for(TICK_MS);
            assert_eq!(fleet.unheard(), 0, "after {} failed", idx + 1);
        }
    }
}

#[test]
fn report_comes_back_after_both_representatives_of_a_data_centre_fail_at_once() {
    let mut fleet = Fleet::start(55, 5);
    fleet.run_for(2_000);
    fleet.entries[0].is_up = false;
    fleet.entries[5].is_up = false;
    fleet.run_for(2_500);
    assert_eq!(fleet.unheard(), 0);
}

#[test]
fn report_arrives_while_a_tenth_of_the_datagrams_is_lost() {
    let mut fleet = Fleet::start(55, 5);
    fleet.loss = 0.1;
    fleet.run_for(3_000);
    for _ in 0..50 {
        fleet.run_for(TICK_MS);
        assert_eq!(fleet.unheard(), 0);
    }
}

#[test]
fn report_comes_back_after_a_data_centre_was_cut_off() {
    let mut fleet = Fleet::start(55, 5);
    fleet.run_for(2_000);
    fleet.cut = (1..5).map(|it| (0, it)).collect();
    fleet.run_for(20_000);
    assert!(fleet.unheard() > 0);
    fleet.cut.clear();
    fleet.run_for(3_000);
    assert_eq!(fleet.unheard(), 0);
}

#[test]
fn report_of_an_entry_that_starts_again_goes_before_those_of_its_former_life() {
    let mut fleet = Fleet::start(55, 5);
    fleet.run_for(2_000);
    fleet.entries[33] = start(33, 3, 12_000);
    fleet.run_for(1_000);
    assert_eq!(fleet.unheard(), 0);
    let numbers = fleet.entries.iter().filter_map(|it| it.reports.get("entry-33"));
    assert!(numbers.map(|it| it.number.incarnation).all(|it| it == 12_000));
}

/// The age of a limit counts from the answer of the target that named it, over all hops.
#[test]
fn age_of_a_limit_grows_on_its_way() {
    let mut fleet = Fleet::start(55, 5);
    fleet.run_for(2_000);
    let observed_ms = fleet.now_ms;
    for _ in 0..25 {
        let limit =
            LimitReport { per_s: Some(5.0), incarnation: 1, age_ms: fleet.now_ms - observed_ms };
        let limits = BTreeMap::from([("target".to_string(), limit)]);
        fleet.send(54, ReportedTargets { limits, ..ReportedTargets::default() });
        for idx in 0..54 {
            fleet.send(idx, ReportedTargets::default());
        }
        let now_ms = fleet.now_ms;
        for report in fleet.entries.iter().filter_map(|it| it.reports.get("entry-54")) {
            for limit in report.targets.limits.values() {
                assert!(limit.age_ms <= now_ms - observed_ms);
            }
        }
        fleet.now_ms += TICK_MS;
    }
    let entry = &fleet.entries[0];
    let heard_ms = entry.heard_ms["entry-54"];
    let limit = &entry.reports["entry-54"].targets.limits["target"];
    assert!(heard_ms - observed_ms - limit.age_ms <= TICK_MS, "{limit:?}");
}

/// Guards against datagrams with ever new names of entries, each of which took memory for ten seconds.
#[test]
fn reports_of_entries_beyond_the_bound_are_ignored() {
    let mut receiver = LoadExchange::new(own_entry(0));
    let contacts = BTreeSet::from([address(0)]);
    let mut kept = 0;
    for idx in 1..=ENTRIES_MAX + 50 {
        let mut sender = LoadExchange::new(own_entry(idx));
        sender.set_own(ReportedTargets::default(), 0, 1_000);
        let outgoing = sender.due(&contacts, 1_000, || 0.5);
        let reports = outgoing.into_iter().flat_map(|it| it.reports).collect();
        kept += receiver.receive(address(idx), reports, 1_000).len();
    }
    assert_eq!(kept, ENTRIES_MAX);
}

fn own_entry(idx: usize) -> OwnEntry {
    let (entry, data_center) = (format!("entry-{idx}"), "hall-a".to_string());
    OwnEntry { entry, data_center, address: address(idx), incarnation: 1 }
}
