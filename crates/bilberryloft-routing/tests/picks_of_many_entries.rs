//! Picks of many entries, each of which sees a small part of the requests and hears of the others' late, before one group
//! of ranks.
//!
//! The pattern: hundreds of requests a second that last two seconds, 60 in 100 of all slots taken. Entries that act on
//! old loads all pick the same idle ranks, which then are full while others have slots.
#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use bilberryloft_routing::load_exchange::LoadExchange;
use bilberryloft_routing::load_exchange::Outgoing;
use bilberryloft_routing::load_exchange::OwnEntry;
use bilberryloft_routing::load_exchange::ReportedTargets;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::selection::TargetKey;
use bilberryloft_routing::targets::AttemptOutcome;
use bilberryloft_routing::targets::TargetTable;

/// Entries before a group, and what they are asked for.
#[derive(Clone, Copy)]
struct Shape {
    entries: usize,
    data_centers: usize,
    ranks: usize,
    slots: u32,
    /// Requests a second over all entries.
    requests_per_s: f64,
    /// Number of entries that picks take into account.
    entries_in_picks: usize,
}

const LARGE: Shape = Shape {
    entries: 55,
    data_centers: 5,
    ranks: 192,
    slots: 6,
    requests_per_s: 353.0,
    entries_in_picks: 55,
};
const MEDIUM: Shape = Shape {
    entries: 16,
    data_centers: 3,
    ranks: 72,
    slots: 10,
    requests_per_s: 220.0,
    entries_in_picks: 16,
};
const SMALL: Shape = Shape {
    entries: 7,
    data_centers: 3,
    ranks: 16,
    slots: 12,
    requests_per_s: 60.0,
    entries_in_picks: 7,
};

/// Time that a request takes, in milliseconds.
const REQUEST_MS: std::ops::Range<u64> = 1_000..3_000;
/// Interval at which each entry checks its loads, in milliseconds.
const TICK_MS: u64 = 40;
const SECONDS: u64 = 10;

struct Entry {
    table: TargetTable,
    exchange: LoadExchange,
}

/// What came of the picks.
#[derive(Debug, Default)]
struct Result {
    picks: usize,
    /// Picks of a rank all of whose slots were taken.
    beyond_slots: usize,
    refused: usize,
    by_rank: BTreeMap<String, usize>,
}

impl Result {
    /// Requests of the rank that got most, relative to the mean.
    fn busiest(&self, ranks: usize) -> f64 {
        let most = self.by_rank.values().max().copied().unwrap_or(0) as f64;
        most * ranks as f64 / self.picks as f64
    }
}

fn address(idx: usize) -> SocketAddr {
    format!("127.9.0.{}:7000", idx + 1).parse().unwrap()
}

fn entry(idx: usize, shape: Shape) -> Entry {
    let exchange = LoadExchange::new(OwnEntry {
        entry: format!("entry-{idx}"),
        data_center: format!("hall-{}", idx % shape.data_centers),
        address: address(idx),
        incarnation: 1,
    });
    Entry { table: support::target_table("r", shape.ranks, shape.slots), exchange }
}

/// Exchanges reports; those sent now arrive at the next call.
fn exchange(
    entries: &mut [Entry],
    contacts: &BTreeSet<SocketAddr>,
    in_flight: &mut Vec<(SocketAddr, Outgoing)>,
    now_ms: u64,
) {
    for (sender, outgoing) in std::mem::take(in_flight) {
        for to in &outgoing.to {
            let idx = (0..entries.len()).find(|it| address(*it) == *to).unwrap();
            let entry = &mut entries[idx];
            for news in entry.exchange.receive(sender, outgoing.reports.clone(), now_ms) {
                entry.table.record_entry(&news.entry, news.targets.loads, BTreeMap::new(), now_ms);
            }
        }
    }
    for (idx, entry) in entries.iter_mut().enumerate() {
        let loads = entry.table.own_loads();
        entry.exchange.set_own(ReportedTargets { loads, ..ReportedTargets::default() }, 1, now_ms);
        let due = entry.exchange.due(contacts, now_ms, || 0.5);
        in_flight.extend(due.into_iter().map(|it| (address(idx), it)));
    }
}

fn simulate(shape: Shape) -> Result {
    let mut entries: Vec<Entry> = (0..shape.entries).map(|it| entry(it, shape)).collect();
    let contacts: BTreeSet<SocketAddr> = (0..shape.data_centers).map(address).collect();
    let mut random = fastrand::Rng::with_seed(5);
    let mut running: Vec<(u64, usize, TargetKey, String)> = Vec::new();
    let mut in_flight = Vec::new();
    let mut result = Result::default();
    let limits = PickLimits {
        load_max: None,
        queue_max: 4,
        own_load_max: 13,
        idle_load: 4.84 / 0.797,
        entries: shape.entries_in_picks,
        memory: None,
    };
    for now_ms in 10_000..10_000 + SECONDS * 1_000 {
        running.retain(|(until_ms, idx, key, _)| {
            if *until_ms == now_ms {
                entries[*idx].table.finish(*key, AttemptOutcome::Success, now_ms);
            }
            *until_ms > now_ms
        });
        if now_ms.is_multiple_of(TICK_MS) {
            exchange(&mut entries, &contacts, &mut in_flight, now_ms);
        }
        if random.f64() >= shape.requests_per_s / 1_000.0 {
            continue;
        }
        let idx = random.usize(..shape.entries);
        let picked = entries[idx].table.pick("writer", &[], &limits, now_ms, || random.f64());
        let Ok(picked) = picked else {
            result.refused += 1;
            continue;
        };
        let at_rank = running.iter().filter(|it| it.3 == picked.id).count();
        result.picks += 1;
        result.beyond_slots += usize::from(at_rank >= shape.slots as usize);
        *result.by_rank.entry(picked.id.clone()).or_default() += 1;
        running.push((now_ms + random.u64(REQUEST_MS), idx, picked.key, picked.id));
    }
    result
}

#[test]
fn picks_of_many_entries_spread_over_their_ranks() {
    for shape in [SMALL, MEDIUM, LARGE] {
        let result = simulate(shape);
        let (picks, beyond) = (result.picks, result.beyond_slots);
        let busiest = result.busiest(shape.ranks);
        println!("{} entries: {picks} picks, busiest {busiest:.2}, {beyond} beyond", shape.entries);
        assert_eq!(result.refused, 0);
        assert!(busiest < 1.3, "{busiest}");
        assert!(beyond * 50 < picks, "{beyond} of {picks}");
    }
}

/// The case that a random part of the ranks is for.
#[test]
fn picks_among_all_ranks_by_old_loads_fill_some_of_them() {
    let result = simulate(Shape { entries_in_picks: 1, ..LARGE });
    assert!(result.beyond_slots * 10 > result.picks, "{result:?}");
}
