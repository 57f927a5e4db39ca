//! Exchange of reports between entries, without I/O: which reports go to which entries, and which of those received are
//! news.
//!
//! In a small fleet each entry sends its report to every other one. The datagrams of an entry then grow with the number
//! of entries, and those of the fleet with its square. In a large fleet, each entry sends its report to two
//! representatives of its data centre. A representative passes the reports of its data centre on to one representative
//! of each other one, and all reports to the entries of its own. Each entry finds the representatives itself, as the
//! first entries of a data centre by address that were heard lately; with two of them, reports go on while one of them
//! fails.
//!
//! Datagrams may be lost. A report is renewed several times a second, and each entry sends what it knows to a random
//! other one from time to time, so that entries that had lost each other meet again.

mod report;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

pub use report::EntryReport;
pub use report::ReportNumber;
pub use report::ReportedDemand;
pub use report::ReportedTargets;
pub use report::TargetTag;

use crate::sharing_entries::ACTIVE_MS;

/// Largest number of entries that send their reports directly to each other.
pub const DIRECT_ENTRIES_MAX: usize = 24;
/// Time after which an unchanged report is sent again, so that an idle entry still counts as an entry, in milliseconds.
const RENEW_AFTER_MS: u64 = 400;
/// Shortest interval at which a representative passes reports on, in milliseconds.
const FORWARD_INTERVAL_MIN_MS: u64 = 80;
/// Longest such interval, in milliseconds. Reports must arrive well before they no longer count.
const FORWARD_INTERVAL_MAX_MS: u64 = 320;
/// Reports to members that a representative passes on within the shortest interval. With more of them the interval grows,
/// so that the bytes a second stay the same.
const FORWARDED_REPORTS: usize = 700;
/// Interval at which an entry of a large fleet sends its report to its representatives if it changes, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 80;
/// Time after which an entry whose report is not renewed is no representative, in milliseconds.
const REPRESENTATIVE_LOST_MS: u64 = 900;
/// Number of representatives of a data centre.
const REPRESENTATIVES: usize = 2;
/// Time after which an entry that sends no reports gets none either, in milliseconds.
const PEER_EXPIRY_MS: u64 = 5_000;
/// Interval at which an entry sends reports to a random other one, and its own to the first contacts, in milliseconds.
const GOSSIP_INTERVAL_MS: u64 = 1_000;
/// Largest number of reports that an entry sends to a random other one.
const GOSSIP_REPORTS_MAX: usize = 24;
/// Largest number of reports in one datagram.
pub const DATAGRAM_REPORTS_MAX: usize = 64;

/// Entries whose reports are kept, so that made-up names take no memory without end; the largest planned fleet has 320.
pub const ENTRIES_MAX: usize = 1_024;

/// Reports that are to be sent in one datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Receivers, each of which gets the same reports.
    pub to: Vec<SocketAddr>,
    /// Reports.
    pub reports: Vec<EntryReport>,
}

/// Latest report of another entry.
#[derive(Clone, Debug)]
struct Received {
    report: EntryReport,
    received_ms: u64,
    /// Number of the change of this table that the report was.
    change: u64,
}

impl Received {
    /// Returns the report with the ages that it has by now.
    fn aged(&self, now_ms: u64) -> EntryReport {
        aged(&self.report, self.received_ms, now_ms)
    }
}

/// Name, data centre and address of this entry.
#[derive(Clone, Debug)]
pub struct OwnEntry {
    /// Name.
    pub entry: String,
    /// Data centre.
    pub data_center: String,
    /// Address on which it receives reports.
    pub address: SocketAddr,
    /// Time of its start, as the Unix time in milliseconds.
    pub incarnation: u64,
}

/// State of the exchange at one entry.
#[derive(Debug)]
pub struct LoadExchange {
    own: EntryReport,
    renewed_ms: Option<u64>,
    /// Number of this entry's report that was sent last.
    sent_number: u64,
    sent_ms: u64,
    received: BTreeMap<String, Received>,
    changes: u64,
    forwarded_to_members: u64,
    forwarded_to_others: u64,
    forwarded_ms: u64,
    gossiped_ms: u64,
    /// Entries that were heard for the first time and get all reports.
    newcomers: BTreeSet<SocketAddr>,
}

impl LoadExchange {
    /// Creates the state of an entry that has heard no other one.
    pub fn new(own: OwnEntry) -> LoadExchange {
        LoadExchange {
            own: EntryReport {
                entry: own.entry,
                address: own.address,
                data_center: own.data_center,
                number: ReportNumber { incarnation: own.incarnation, number: 0 },
                known_entries: 1,
                targets: ReportedTargets::default(),
            },
            renewed_ms: None,
            sent_number: 0,
            sent_ms: 0,
            received: BTreeMap::new(),
            changes: 0,
            forwarded_to_members: 0,
            forwarded_to_others: 0,
            forwarded_ms: 0,
            gossiped_ms: 0,
            newcomers: BTreeSet::new(),
        }
    }

    /// Sets what this entry reports.
    pub fn set_own(&mut self, targets: ReportedTargets, known_entries: usize, now_ms: u64) {
        let is_renewed = self.renewed_ms.is_some_and(|it| it + RENEW_AFTER_MS > now_ms);
        let own = &mut self.own;
        if is_renewed && has_same_content(&targets, &own.targets) {
            return;
        }
        own.targets = targets;
        own.known_entries = known_entries;
        own.number.number += 1;
        self.renewed_ms = Some(now_ms);
    }

    /// Returns this entry's report with the ages that it has by now.
    fn own_report(&self, now_ms: u64) -> EntryReport {
        aged(&self.own, self.renewed_ms.unwrap_or(now_ms), now_ms)
    }

    /// Takes the reports of one datagram from `sender`; returns those that are news.
    pub fn receive(
        &mut self,
        sender: SocketAddr,
        reports: Vec<EntryReport>,
        now_ms: u64,
    ) -> Vec<EntryReport> {
        let is_known = self
            .received
            .values()
            .any(|it| it.report.address == sender && it.received_ms + PEER_EXPIRY_MS > now_ms);
        if !is_known && self.newcomers.len() < ENTRIES_MAX {
            self.newcomers.insert(sender);
        }
        reports.into_iter().filter(|it| self.record(it, now_ms)).collect()
    }

    /// Stores a report; returns whether it is news.
    fn record(&mut self, report: &EntryReport, now_ms: u64) -> bool {
        if report.entry == self.own.entry {
            return false;
        }
        let before = self.received.get(&report.entry);
        let is_news = before.is_none_or(|it| {
            it.report.number < report.number || it.received_ms + ACTIVE_MS <= now_ms
        });
        // An old report that still goes around must not bring an entry back that has ended.
        let is_repeated = before.is_some_and(|it| it.report.number == report.number);
        let is_beyond_bound = before.is_none() && self.received.len() >= ENTRIES_MAX;
        if !is_news || is_repeated || is_beyond_bound {
            return false;
        }
        self.changes += 1;
        let received =
            Received { report: report.clone(), received_ms: now_ms, change: self.changes };
        self.received.insert(report.entry.clone(), received);
        true
    }

    /// Returns what is to be sent now. `contacts` are entries from which the others become known, and `draw` returns a
    /// number in 0..1 that selects a random entry.
    pub fn due(
        &mut self,
        contacts: &BTreeSet<SocketAddr>,
        now_ms: u64,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<Outgoing> {
        self.received.retain(|_, it| it.received_ms + 2 * PEER_EXPIRY_MS > now_ms);
        let mut outgoing = self.welcome_newcomers(now_ms);
        match self.is_direct(now_ms) {
            true => outgoing.extend(self.send_directly(contacts, now_ms)),
            false => {
                outgoing.extend(self.send_to_representatives(now_ms));
                outgoing.extend(self.forward(now_ms));
            }
        }
        outgoing.extend(self.gossip(contacts, now_ms, &mut draw));
        outgoing
    }

    /// Returns whether all entries send their reports to each other.
    fn is_direct(&self, now_ms: u64) -> bool {
        self.heard_within(ACTIVE_MS, now_ms).count() < DIRECT_ENTRIES_MAX
    }

    fn heard_within(&self, within_ms: u64, now_ms: u64) -> impl Iterator<Item = &Received> {
        self.received.values().filter(move |it| it.received_ms + within_ms > now_ms)
    }

    fn peers(&self, now_ms: u64) -> BTreeSet<SocketAddr> {
        self.heard_within(PEER_EXPIRY_MS, now_ms).map(|it| it.report.address).collect()
    }

    fn welcome_newcomers(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let newcomers = std::mem::take(&mut self.newcomers);
        if newcomers.is_empty() {
            return Vec::new();
        }
        let known = self.heard_within(ACTIVE_MS, now_ms).map(|it| it.aged(now_ms));
        let reports = known.chain([self.own_report(now_ms)]).collect();
        split(newcomers.into_iter().collect(), reports)
    }

    fn send_directly(&mut self, contacts: &BTreeSet<SocketAddr>, now_ms: u64) -> Vec<Outgoing> {
        let mut to = self.peers(now_ms);
        to.extend(contacts);
        self.send_own(to, 0, now_ms)
    }

    fn send_to_representatives(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let to = self.representatives(now_ms).remove(&self.own.data_center).unwrap_or_default();
        self.send_own(to.into_iter().collect(), CHANGE_INTERVAL_MS, now_ms)
    }

    /// Sends this entry's report if it has changed and the last one went out `interval_ms` ago.
    fn send_own(
        &mut self,
        mut to: BTreeSet<SocketAddr>,
        interval_ms: u64,
        now_ms: u64,
    ) -> Vec<Outgoing> {
        to.remove(&self.own.address);
        let is_new = self.own.number.number != self.sent_number;
        if !is_new || self.sent_ms + interval_ms > now_ms || to.is_empty() {
            return Vec::new();
        }
        self.sent_number = self.own.number.number;
        self.sent_ms = now_ms;
        vec![Outgoing { to: to.into_iter().collect(), reports: vec![self.own_report(now_ms)] }]
    }

    /// Returns the representatives of each data centre, this entry among them.
    fn representatives(&self, now_ms: u64) -> BTreeMap<String, Vec<SocketAddr>> {
        let heard = self.heard_within(REPRESENTATIVE_LOST_MS, now_ms).map(|it| &it.report);
        let mut addresses: BTreeMap<String, BTreeSet<SocketAddr>> = BTreeMap::new();
        for report in heard.chain([&self.own]) {
            addresses.entry(report.data_center.clone()).or_default().insert(report.address);
        }
        let first = |it: BTreeSet<SocketAddr>| it.into_iter().take(REPRESENTATIVES).collect();
        addresses.into_iter().map(|(data_center, it)| (data_center, first(it))).collect()
    }

    /// Passes reports on if this entry is a representative of its data centre.
    fn forward(&mut self, now_ms: u64) -> Vec<Outgoing> {
        if self.forwarded_ms + self.forward_interval_ms(now_ms) > now_ms {
            return Vec::new();
        }
        let mut representatives = self.representatives(now_ms);
        let own = representatives.remove(&self.own.data_center).unwrap_or_default();
        let Some(position) = own.iter().position(|it| *it == self.own.address) else {
            return Vec::new();
        };
        self.forwarded_ms = now_ms;
        let members = self.heard_within(PEER_EXPIRY_MS, now_ms);
        let members = members.filter(|it| it.report.data_center == self.own.data_center);
        let members = members.map(|it| it.report.address).collect();
        let to_members = split(members, self.changed_since(self.forwarded_to_members, now_ms));
        // The first representatives of two data centres send to each other, and so do the second ones.
        let others = representatives.values().filter(|it| !it.is_empty());
        let others = others.map(|it| it[position % it.len()]).collect();
        let mut of_own = self.changed_since(self.forwarded_to_others, now_ms);
        of_own.retain(|it| it.data_center == self.own.data_center);
        let to_others = split(others, of_own);
        self.forwarded_to_members = self.changes;
        self.forwarded_to_others = self.changes;
        [to_members, to_others].concat()
    }

    fn forward_interval_ms(&self, now_ms: u64) -> u64 {
        let heard = || self.heard_within(ACTIVE_MS, now_ms);
        let members = heard().filter(|it| it.report.data_center == self.own.data_center).count();
        let reports = members * heard().count();
        let interval_ms = FORWARD_INTERVAL_MIN_MS * reports as u64 / FORWARDED_REPORTS as u64;
        interval_ms.clamp(FORWARD_INTERVAL_MIN_MS, FORWARD_INTERVAL_MAX_MS)
    }

    /// Returns the reports that came after a change, and this entry's own.
    fn changed_since(&self, change: u64, now_ms: u64) -> Vec<EntryReport> {
        let changed = self.received.values().filter(|it| it.change > change);
        changed.map(|it| it.aged(now_ms)).chain([self.own_report(now_ms)]).collect()
    }

    /// Sends some of the reports to a random entry, and this entry's own to the first contacts.
    fn gossip(
        &mut self,
        contacts: &BTreeSet<SocketAddr>,
        now_ms: u64,
        draw: &mut impl FnMut() -> f64,
    ) -> Vec<Outgoing> {
        if self.gossiped_ms + GOSSIP_INTERVAL_MS > now_ms {
            return Vec::new();
        }
        self.gossiped_ms = now_ms;
        let mut contacts = contacts.clone();
        contacts.remove(&self.own.address);
        let mut outgoing = split(contacts.into_iter().collect(), vec![self.own_report(now_ms)]);
        let active: Vec<&Received> = self.heard_within(ACTIVE_MS, now_ms).collect();
        if active.is_empty() {
            return outgoing;
        }
        let mut random = || ((draw() * active.len() as f64) as usize).min(active.len() - 1);
        let (receiver, first) = (random(), random());
        let rotated = active.iter().cycle().skip(first).take(active.len().min(GOSSIP_REPORTS_MAX));
        let reports = rotated.map(|it| it.aged(now_ms)).collect();
        outgoing.extend(split(vec![active[receiver].report.address], reports));
        outgoing
    }
}

/// Returns whether two reports say the same. The ages of limits and lost runs, and the arrivals of the
/// last second, change all the time and don't count.
fn has_same_content(one: &ReportedTargets, other: &ReportedTargets) -> bool {
    let limits = |it: &ReportedTargets| -> Vec<(String, u64, Option<f64>)> {
        it.limits.iter().map(|it| (it.0.clone(), it.1.incarnation, it.1.per_s)).collect()
    };
    let lost_runs = |it: &ReportedTargets| -> Vec<(String, i64)> {
        it.lost_runs.iter().map(|it| (it.target.clone(), it.fingerprint)).collect()
    };
    let demand = |it: &ReportedTargets| -> Vec<(String, u8, u32, u32)> {
        let of_services = it.demand.iter().flat_map(|(service, demand)| {
            demand.iter().map(move |it| (service.clone(), *it.0, it.1.running, it.1.waiting))
        });
        of_services.collect()
    };
    one.loads == other.loads
        && one.failing == other.failing
        && one.slow_ranks == other.slow_ranks
        && limits(one) == limits(other)
        && one.leaving == other.leaving
        && demand(one) == demand(other)
        && lost_runs(one) == lost_runs(other)
}

/// Returns a report with the ages that its limits and lost runs have by now, if they had those that it says at `since_ms`.
fn aged(report: &EntryReport, since_ms: u64, now_ms: u64) -> EntryReport {
    let mut report = report.clone();
    for limit in report.targets.limits.values_mut() {
        limit.age_ms += now_ms.saturating_sub(since_ms);
    }
    let elapsed_ms = now_ms.saturating_sub(since_ms);
    report.targets.lost_runs.iter_mut().for_each(|it| *it = it.aged(elapsed_ms));
    report
}

/// Splits reports into datagrams; there are none without receivers or reports.
fn split(to: Vec<SocketAddr>, reports: Vec<EntryReport>) -> Vec<Outgoing> {
    if to.is_empty() {
        return Vec::new();
    }
    let datagram = |it: &[EntryReport]| Outgoing { to: to.clone(), reports: it.to_vec() };
    reports.chunks(DATAGRAM_REPORTS_MAX).map(datagram).collect()
}
