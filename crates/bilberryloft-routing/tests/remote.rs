//! Simulates data centres with different demand and faults, and counts the requests that leave them.
//!
//! Unless a test says otherwise: three data centres of 8 targets with 8 slots, which serve 1,600 requests a second each,
//! 2 ms apart; 1 MB between them is worth 400 ms, so a request of 20 kB costs 12 ms there and back.
#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;

use bilberryloft_routing::learned::AnswerSample;
use bilberryloft_routing::remote::cost::RemotePrice;
use bilberryloft_routing::remote::cost::RequestSize;
use bilberryloft_routing::remote::places::Places;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::targets::TargetInfo;
use support::data_centers::Seen;
use support::data_centers::World;

const PRICE: RemotePrice = RemotePrice { ms_per_mb: 400.0, ms_per_mb_between_regions: None };
/// Demand that a data centre can handle alone, in requests a second.
const USUAL_PER_S: f64 = 700.0;
/// Demand over what a data centre can handle.
const OVER_PER_S: f64 = 2_200.0;
const LIMITS: PickLimits = PickLimits {
    load_max: None,
    queue_max: 0,
    own_load_max: u32::MAX,
    idle_load: 0.0,
    entries: 1,
    memory: None,
};
const SETTLE_MS: u64 = 4_000;
const MEASURED_MS: u64 = 4_000;

fn world(demand_per_s: [f64; 3]) -> World {
    let mut world = World::new(3, 8, Some(PRICE));
    world.conditions.demand_per_s = demand_per_s.to_vec();
    world
}

fn settled(world: &mut World) -> Seen {
    world.run(SETTLE_MS);
    world.run(MEASURED_MS)
}

/// Load: 700 a second everywhere. Guards against paying for bytes without a need.
#[test]
fn requests_stay_where_demand_is_even() {
    let seen = settled(&mut world([USUAL_PER_S; 3]));
    assert!((0..3).all(|it| seen.away_share(it) < 0.01), "{:?}", seen.away);
    assert!(seen.changes.iter().all(Vec::is_empty), "{:?}", seen.changes);
}

/// Load: 2,200 a second in one data centre, 300 in the others. Guards against slow answers beside idle targets, and
/// against entries that all leave and return at once.
#[test]
fn part_of_too_much_demand_leaves() {
    let mut world = world([OVER_PER_S, 300.0, 300.0]);
    let seen = settled(&mut world);
    let share = seen.away_share(0);
    println!("away {share:.2}, mean {:.1} ms, swing {:.2}", seen.mean_ms(0), seen.largest_swing);
    assert!((0.2..0.6).contains(&share), "{share}");
    assert!(seen.mean_ms(0) < 65.0, "{} ms", seen.mean_ms(0));
    assert!(seen.largest_swing < 0.25, "{}", seen.largest_swing);
    assert_eq!(seen.refused.iter().sum::<u32>(), 0);
}

/// Load: 2,200 a second move from one data centre to another. Guards against a share that stays when its reason has gone,
/// and against a state that changes again and again.
#[test]
fn share_follows_demand_that_moves() {
    let mut world = world([OVER_PER_S, 300.0, 300.0]);
    let before = world.run(SETTLE_MS);
    world.conditions.demand_per_s = vec![300.0, OVER_PER_S, 300.0];
    let moved = world.run(SETTLE_MS);
    let after = world.run(MEASURED_MS);
    assert!(after.away_share(0) < 0.01, "{:?}", after.away);
    assert!(after.away_share(1) > 0.15, "{:?}", after.away);
    let changes = |it: &Seen| it.changes[0].len();
    // Each of the two entries reports a beginning, and later an end.
    assert_eq!(
        (changes(&before), changes(&moved) + changes(&after)),
        (2, 2),
        "{:?}",
        moved.changes
    );
}

/// Load: 1,000 a second everywhere; then 4 of the 8 targets of one data centre are lost, so that the others can handle 800.
/// Guards against slow answers and refusals there beside idle targets.
#[test]
fn data_center_that_is_half_lost_sends_the_rest_away() {
    let mut world = world([1_000.0; 3]);
    world.run(SETTLE_MS);
    world.conditions.targets_up[0] = 4;
    world.apply();
    let seen = settled(&mut world);
    assert!((0.05..0.7).contains(&seen.away_share(0)), "{:?}", seen.away);
    assert!(seen.mean_ms(0) < 75.0, "{} ms", seen.mean_ms(0));
    assert_eq!(seen.refused.iter().sum::<u32>(), 0);
}

/// Load: 700 a second everywhere; one data centre loses all targets and gets them back. Guards against refusals, and against
/// a return of all requests at once.
#[test]
fn data_center_that_is_emptied_sends_all_away_and_takes_them_back_step_by_step() {
    let mut world = world([USUAL_PER_S; 3]);
    world.run(SETTLE_MS);
    world.conditions.targets_up[0] = 0;
    world.apply();
    let empty = world.run(MEASURED_MS);
    assert!(empty.away_share(0) > 0.99, "{:?}", empty.away);
    assert_eq!(empty.refused.iter().sum::<u32>(), 0);
    world.conditions.targets_up[0] = 8;
    world.apply();
    let returned = world.run(SETTLE_MS);
    let after = world.run(MEASURED_MS);
    assert!(after.away_share(0) < 0.01, "{:?}", after.away);
    assert_eq!(after.changes[0].len() + returned.changes[0].len(), 2, "one end by entry");
}

/// Load: 700 a second everywhere; the targets of one data centre are cold. Guards against counting cold targets as room.
#[test]
fn requests_leave_a_cold_data_center_and_none_are_sent_to_it() {
    let mut world = world([USUAL_PER_S, OVER_PER_S, USUAL_PER_S]);
    world.conditions.cold.insert(0);
    world.apply();
    let seen = settled(&mut world);
    assert!(seen.changes[0].iter().all(|it| it.begins), "{:?}", seen.changes[0]);
    assert!(seen.away_share(1) > 0.1, "{:?}", seen.away);
}

/// Load: 2,200 a second in one data centre, whose reports are lost in both directions. Guards against taking targets of which
/// nothing is known for idle ones.
#[test]
fn data_center_that_is_cut_off_sends_away_only_what_has_no_place() {
    let mut world = world([1_300.0, 300.0, 300.0]);
    world.run(SETTLE_MS);
    world.conditions.cut_off.insert(0);
    let seen = settled(&mut world);
    assert!(seen.away_share(0) < 0.05, "{:?}", seen.away);
    assert_eq!(seen.refused.iter().sum::<u32>(), 0);
}

/// Load: 1,500 a second in one data centre, 100 ms from the others. Guards against a way that takes longer than the wait.
#[test]
fn requests_stay_where_links_are_slow() {
    let share = |delay_ms: f64| {
        let mut world = world([1_500.0, 300.0, 300.0]);
        world.conditions.delay_ms = delay_ms;
        world.apply();
        settled(&mut world).away_share(0)
    };
    let (near, far) = (share(2.0), share(100.0));
    println!("away at 2 ms {near:.3}, at 100 ms {far:.3}");
    assert!(far < 0.02, "{far}");
}

/// Load: 2,200 a second in one data centre, with 7 of 10 reports lost. Guards against a share that swings when loads are
/// old.
#[test]
fn share_holds_when_most_reports_are_lost() {
    let mut world = world([OVER_PER_S, 300.0, 300.0]);
    world.conditions.lost_share = 0.7;
    let seen = settled(&mut world);
    println!("away {:.2}, swing {:.2}", seen.away_share(0), seen.largest_swing);
    assert!((0.2..0.7).contains(&seen.away_share(0)), "{:?}", seen.away);
    assert!(seen.largest_swing < 0.35, "{}", seen.largest_swing);
    assert_eq!(seen.refused.iter().sum::<u32>(), 0);
}

/// Load: 2,600 a second in one data centre, 1,300 in the others, more than all can handle together. Guards against callers of
/// a full data centre that lose their places to others.
#[test]
fn own_callers_of_a_busy_data_center_come_first() {
    let seen = settled(&mut world([2_600.0, 1_300.0, 1_300.0]));
    println!("means {:.1} {:.1} ms, refused {:?}", seen.mean_ms(0), seen.mean_ms(1), seen.refused);
    assert!(seen.away_share(1) < 0.05 && seen.away_share(2) < 0.05, "{:?}", seen.away);
    assert!(seen.refused[0] > 0, "{:?}", seen.refused);
    assert_eq!((seen.refused[1], seen.refused[2]), (0, 0));
    assert!(seen.mean_ms(1) < 80.0, "{} ms", seen.mean_ms(1));
}

/// Load: 700 a second everywhere, without a price. Guards against another preference than before: 0.4 requests.
#[test]
fn preference_without_a_price_is_constant() {
    let mut world = World::new(3, 8, None);
    world.conditions.demand_per_s = vec![USUAL_PER_S; 3];
    let seen = settled(&mut world);
    assert!(seen.changes.iter().all(Vec::is_empty));
    let mut table = support::target_table("t", 1, 8);
    let info = support::info("r", 0, 8);
    let remote = TargetInfo { data_center: "b".to_string(), ..info };
    table.apply(remote);
    let mut ids = Vec::new();
    for _ in 0..8 {
        ids.push(table.pick("writer", &[], &LIMITS, 0, || 0.5).unwrap().id);
    }
    assert_eq!(ids, ["t0", "r0", "t0", "r0", "t0", "r0", "t0", "r0"]);
}

/// Guards against a cost that ignores what is known, or that is invented where nothing is known.
#[test]
fn cost_is_constant_until_times_are_known() {
    let price = RemotePrice { ms_per_mb: 100.0, ms_per_mb_between_regions: Some(1_000.0) };
    let mut places = Places::new("a");
    let mut size = RequestSize::default();
    (0..20).for_each(|_| size.record(500_000, 100.0));
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions =
        regions.map(|(data_center, region)| (data_center.to_string(), region.to_string()));
    assert_eq!(places.cost_requests("b", &size, Some(10.0)), 0.4);
    places.set_price(Some(price), regions.into());
    assert_eq!(places.cost_requests("b", &size, None), 0.4);
    assert_eq!(places.cost_requests("b", &size, Some(10.0)), 5.0);
    assert_eq!(places.cost_requests("c", &size, Some(10.0)), 50.0);
    assert_eq!(places.cost_requests("b", &size, Some(10_000.0)), 0.4);
    assert!(!RemotePrice { ms_per_mb: f64::NAN, ..price }.is_valid());
}

/// Load: 12 ranks of a lock-step group in two data centres with 6 streams each. Guards against a price that unbalances the
/// ranks: the passes of all streams are as long as those of the busiest one.
#[test]
fn ranks_of_a_group_keep_the_constant_preference() {
    let mut table = support::target_table("t", 6, 10);
    for number in 0..6 {
        let info = support::info("r", number, 10);
        table.apply(TargetInfo { data_center: "b".to_string(), ..info });
    }
    table.places_mut().set_price(Some(PRICE), BTreeMap::new());
    let limits = PickLimits { idle_load: 4.2, ..LIMITS };
    let mut random = fastrand::Rng::with_seed(9);
    for number in 0..72 {
        let picked = table.pick("writer", &[], &limits, 1_000 + number, || random.f64()).unwrap();
        let sample = AnswerSample {
            elapsed_ms: 2_000.0,
            load: picked.own_load + 1,
            request_bytes: 2_000,
            answer_bytes: 200_000,
            is_stream: true,
        };
        table.record_answer(picked.key, &sample, 1_000 + number);
    }
    table.update_remote(1_200);
    assert_eq!(table.away_rows()[0].costs["b"], 0.4);
    assert!(table.own_loads().values().all(|it| (5..=7).contains(it)), "{:?}", table.own_loads());
}
