//! Cold targets: the bound on the requests of any second over all entries, while targets restart, return and become cold, and
//! entries start, freeze, are cut off and know different sets of entries.
#![allow(clippy::unwrap_used)]

mod support;

#[path = "support/cold_fleet.rs"]
mod cold_fleet;

use bilberryloft_routing::cold_targets::ColdState;
use bilberryloft_routing::cold_targets::ColdView;
use bilberryloft_routing::cold_targets::share::ColdShare;
use bilberryloft_routing::cold_targets::share::allowance;
use bilberryloft_routing::selection::NoTarget;
use bilberryloft_routing::selection::PickLimits;
use bilberryloft_routing::selection::PickedTarget;
use bilberryloft_routing::sharing_entries::Members;
use bilberryloft_routing::targets::TargetInfo;
use bilberryloft_routing::targets::TargetTable;
use cold_fleet::COLD_MS;
use cold_fleet::ColdFleet;
use cold_fleet::STEP_MS;
use cold_fleet::bounds;
use cold_fleet::max_per_s;

const LIMITS: PickLimits = PickLimits {
    load_max: None,
    queue_max: 4,
    own_load_max: u32::MAX,
    idle_load: 0.0,
    entries: 1,
    memory: None,
};
/// Time at which the tables of single entries are first used, in milliseconds.
const START_MS: u64 = 100_000;

fn known(own: &str, entries: usize) -> ColdShare {
    let members: Members = (0..entries).map(|it| format!("entry-{it}")).collect();
    let count = members.len();
    ColdShare::Known { own: own.to_string(), members, count }
}

fn view(entries: usize, is_current: bool) -> ColdView {
    ColdView { share: known("entry-0", entries), is_current }
}

/// Returns a table of one of 18 entries that knows its targets to be warm at `START_MS`.
fn warm_table(targets: usize) -> TargetTable {
    let mut table = TargetTable::new("a");
    table.set_cold_bounds(bounds());
    for idx in 0..targets {
        record(&mut table, support::info("r", idx, 1_000), 1, START_MS - 2 * COLD_MS);
    }
    table.cold.set_view(view(18, true), START_MS);
    table
}

fn record(table: &mut TargetTable, info: TargetInfo, version: u64, now_ms: u64) {
    let id = info.id.clone();
    table.apply(info);
    table.record_cold(&id, version, 0, now_ms);
}

fn pick(table: &mut TargetTable, now_ms: u64) -> Result<PickedTarget, NoTarget> {
    let mut rng = fastrand::Rng::with_seed(now_ms);
    table.pick("writer", &[], &LIMITS, now_ms, || rng.f64())
}

/// Returns how many requests one entry sends within a millisecond.
fn burst(table: &mut TargetTable, now_ms: u64) -> usize {
    (0..1_000).take_while(|_| pick(table, now_ms).is_ok()).count()
}

/// Disturbs a fleet at random in one step.
fn disturb(fleet: &mut ColdFleet) {
    let (now_ms, entries) = (fleet.now_ms, fleet.entries.len());
    let idx = fleet.rng.usize(..entries);
    match fleet.rng.u32(..1_000) {
        0..=3 => fleet.restart_entry(idx),
        4..=9 => {
            fleet.entries[idx].frozen_until_ms = now_ms + fleet.rng.u64(200..5_000);
        }
        10 => {
            let until_ms = now_ms + fleet.rng.u64(200..5_000);
            fleet.entries.iter_mut().for_each(|it| it.frozen_until_ms = until_ms);
        }
        // A cut-off entry is alone; a few together are on a side without the quorum.
        11..=14 => {
            let side = fleet.rng.usize(1..3);
            (idx..(idx + 4).min(entries)).for_each(|it| fleet.set_side(it, side));
        }
        15..=22 => fleet.set_side(idx, 0),
        23..=26 => {
            let target = fleet.rng.usize(..fleet.targets.len());
            let down_ms = fleet.rng.u64(0..2_500);
            fleet.restart_target(target, down_ms);
        }
        _ => {}
    }
}

/// Guards against entries that limit themselves for seconds when all of them start again and the targets have run all the time.
#[test]
fn entry_that_has_just_started_takes_targets_for_warm_that_have_run_for_long() {
    for (unchanged_ms, cold_for_ms, is_warm) in
        [(60_000, 0, true), (10_000, 0, false), (60_000, 500, false)]
    {
        let mut table = TargetTable::new("a");
        table.set_cold_bounds(bounds());
        table.cold.set_view(view(18, false), START_MS);
        table.apply(TargetInfo { cold_for_ms, ..support::info("r", 0, 1_000) });
        table.record_cold("r0", 1, unchanged_ms, START_MS);
        table.cold.set_view(view(18, true), START_MS + 40);
        assert_eq!(burst(&mut table, START_MS + 50) > 100, is_warm, "{unchanged_ms} {cold_for_ms}");
    }
}

/// Guards against more requests than a cold target can handle, whatever entries know of each other and of the target: with
/// token buckets, each entry that wakes up or learns late would add what it has saved.
#[test]
fn bound_is_kept_in_any_second_by_any_entries() {
    for seed in 0..12 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (entries, targets) = (rng.usize(2..36), rng.usize(1..6));
        let mut fleet = ColdFleet::new(seed, entries, targets);
        fleet.heartbeat_delay_max_ms = rng.u64(0..3_000);
        // From the usual load of a target up to many times as much.
        let send = rng.f64() * rng.f64() * 0.5;
        for _ in 0..30_000 / STEP_MS {
            disturb(&mut fleet);
            fleet.step(send);
        }
        let most = fleet.most_in_a_second();
        let max = max_per_s();
        assert!(most <= max, "seed {seed}: {most} of {max}, {entries} entries, {targets} targets");
    }
}

/// Guards against a herd on a whole data centre that returns at once, and against sending nothing to it.
#[test]
fn bound_is_kept_when_a_whole_data_center_returns_at_once() {
    for seed in 0..4 {
        let mut fleet = ColdFleet::new(seed, 18, 72);
        (0..400).for_each(|_| fleet.step(0.14));
        (0..72).for_each(|it| fleet.restart_target(it, 1_000));
        (0..600).for_each(|_| fleet.step(0.14));
        let most = fleet.most_in_a_second();
        let cold: usize = fleet.targets.iter().map(|it| it.cold_arrivals.len()).sum();
        assert!(most <= max_per_s(), "seed {seed}: {most}");
        // 18 entries x 14 requests a second for 3 s are 756.
        assert!(cold > 600, "seed {seed}: only {cold} requests to cold targets");
    }
}

/// Guards against a bound that is shared by entries that all start with their targets, when none knows another yet.
#[test]
fn bound_is_kept_when_all_entries_start_at_once() {
    for seed in 0..8 {
        for entries in [3, 18, 60] {
            let mut fleet = ColdFleet::new(seed, entries, 2);
            (0..2).for_each(|it| fleet.restart_target(it, 0));
            (0..500).for_each(|_| fleet.step(1.0));
            let most = fleet.most_in_a_second();
            assert!(most <= max_per_s(), "seed {seed}, {entries} entries: {most}");
        }
    }
}

/// Guards against a share that stays unused: all entries send to one target that is cold for long.
#[test]
fn settled_entries_use_most_of_the_planned_rate() {
    for entries in [1, 4, 18, 40] {
        let mut fleet = ColdFleet::new(1, entries, 1);
        (0..700).for_each(|_| fleet.step(0.0));
        fleet.restart_target(0, 0);
        (0..20).for_each(|_| fleet.step(0.0));
        (0..250).for_each(|_| fleet.step(1.0));
        let (arrivals, most) = (fleet.targets[0].cold_arrivals.len(), fleet.most_in_a_second());
        assert!(most <= max_per_s(), "{entries} entries: {most}");
        // Planned are 23 in 1.25 s, of which 18 or 20 divide evenly.
        assert!(arrivals >= 28, "{entries} entries: only {arrivals} in 2.5 s");
    }
}

/// Guards against a target that counts as warm after a restart under the same id, or after its announcements return.
#[test]
fn restarted_and_returned_targets_are_cold() {
    let mut table = warm_table(1);
    assert!(burst(&mut table, START_MS) > 100, "a warm target is not bounded");
    let info = support::info("r", 0, 1_000);
    record(&mut table, TargetInfo { incarnation: 2, ..info.clone() }, 2, START_MS + 2_000);
    table.cold.set_view(view(18, true), START_MS + 2_000);
    assert_eq!(burst(&mut table, START_MS + 2_000), 1);
    let mut table = warm_table(1);
    record(&mut table, TargetInfo { is_announced: false, ..info.clone() }, 2, START_MS);
    record(&mut table, info, 3, START_MS);
    assert_eq!(burst(&mut table, START_MS), 1);
}

/// Guards against a target that announces at any moment that it is cold and still counts as warm, and against one that stays
/// cold for ever because each update of the list of targets repeats its remaining time.
#[test]
fn announced_remaining_time_counts_once_from_when_it_is_learned() {
    let mut table = warm_table(1);
    let cold = TargetInfo { cold_for_ms: 2_000, ..support::info("r", 0, 1_000) };
    record(&mut table, cold.clone(), 2, START_MS);
    let key = pick(&mut table, START_MS).unwrap().key;
    for now_ms in (START_MS..START_MS + 10_000).step_by(100) {
        table.cold.set_view(view(18, true), now_ms);
        record(&mut table, cold.clone(), 2, now_ms);
        let is_cold = table.cold_state(key, now_ms) != ColdState::Warm;
        let elapsed_ms = now_ms - START_MS;
        assert!(is_cold || elapsed_ms >= 2_000, "warm after {elapsed_ms} ms");
        assert!(!is_cold || elapsed_ms <= 3_000, "still cold after {elapsed_ms} ms");
    }
}

/// Guards against a herd on targets that got nothing during an evacuation.
#[test]
fn targets_are_cold_after_an_evacuation() {
    let mut table = warm_table(2);
    let away = TargetInfo { data_center: "b".to_string(), ..support::info("away", 0, 1_000) };
    record(&mut table, away, 1, START_MS - 2 * COLD_MS);
    table.record_evacuation_end("b", START_MS);
    assert_eq!(table.cold.cold_targets(START_MS), 1);
    assert_eq!(table.cold.cold_targets(START_MS + COLD_MS), 0);
    table.record_evacuation_end("a", START_MS);
    assert_eq!(table.cold.cold_targets(START_MS), 3);
    assert_eq!(burst(&mut table, START_MS), 3, "one request to each target");
}

/// Guards against an entry that trusts an old list of targets: any of them may have restarted meanwhile.
#[test]
fn all_targets_count_as_cold_for_an_entry_that_is_cut_off_or_was_frozen() {
    let mut table = warm_table(4);
    table.cold.set_view(view(18, false), START_MS);
    assert_eq!(burst(&mut table, START_MS), 4);
    let mut table = warm_table(4);
    assert_eq!(burst(&mut table, START_MS + 5_000), 4, "it has not refreshed its view");
}

/// Guards against an entry that has just started and takes the share of one that is alone.
#[test]
fn entry_that_has_just_started_has_a_small_share() {
    let mut table = TargetTable::new("a");
    table.set_cold_bounds(bounds());
    (0..72).for_each(|it| record(&mut table, support::info("r", it, 1_000), 1, START_MS));
    let share = ColdShare::Unsettled { own: "entry-0".to_string() };
    table.cold.set_view(ColdView { share, is_current: true }, START_MS);
    let sent = burst(&mut table, START_MS);
    assert!((1..=12).contains(&sent), "{sent} of 72 targets");
    assert_eq!(burst(&mut table, START_MS + 300), 0);
}

/// Guards against requests to a warm target that don't count when it turns out to be cold a moment later.
#[test]
fn requests_to_a_target_count_before_it_is_known_to_be_cold() {
    let mut table = warm_table(1);
    pick(&mut table, START_MS).unwrap();
    let cold = TargetInfo { cold_for_ms: 3_000, ..support::info("r", 0, 1_000) };
    record(&mut table, cold, 2, START_MS + 10);
    assert_eq!(burst(&mut table, START_MS + 20), 0);
}

/// Guards against a request that was not sent and still uses up the share.
#[test]
fn cancelled_request_does_not_count() {
    let mut table = warm_table(1);
    table.record_evacuation_end("a", START_MS);
    let key = pick(&mut table, START_MS).unwrap().key;
    assert!(pick(&mut table, START_MS).is_err());
    table.cancel(key);
    assert!(pick(&mut table, START_MS).is_ok());
}

/// Guards against refusals that name a time at which no request may be sent yet, or a much later one.
#[test]
fn refusal_names_the_time_of_the_next_request() {
    let mut table = warm_table(3);
    table.record_evacuation_end("a", START_MS);
    assert_eq!(burst(&mut table, START_MS), 3);
    let Err(NoTarget::Cold(wait)) = pick(&mut table, START_MS + 100) else {
        panic!("all targets are cold");
    };
    assert_eq!(table.cold_wait("writer", START_MS + 100), Some(wait));
    let at_ms = START_MS + 100 + wait.first_ms;
    table.cold.set_view(view(18, true), at_ms);
    assert!(pick(&mut table, at_ms - 1).is_err());
    assert!(pick(&mut table, at_ms).is_ok());
}

/// Guards against refusals that name a later time than that at which a target is warm again.
#[test]
fn refusal_names_the_end_of_the_cold_time() {
    let mut table = warm_table(1);
    table.record_evacuation_end("a", START_MS);
    let late_ms = START_MS + COLD_MS - 200;
    (START_MS..late_ms).step_by(100).for_each(|it| table.cold.set_view(view(18, true), it));
    assert_eq!(burst(&mut table, late_ms - 100), 1);
    table.cold.set_view(view(18, true), late_ms);
    assert_eq!(table.cold_wait("writer", late_ms).map(|it| it.first_ms), Some(200));
    table.cold.set_view(ColdView { share: ColdShare::NoPart, is_current: true }, late_ms);
    let wait = table.cold_wait("writer", late_ms).unwrap();
    assert_eq!((wait.first_ms, wait.interval_ms), (200, 0));
}

/// Guards against refusals while a warm target could take the request.
#[test]
fn warm_targets_take_the_rest() {
    let mut table = warm_table(3);
    for idx in 1..3 {
        let restarted = TargetInfo { incarnation: 2, ..support::info("r", idx, 1_000) };
        record(&mut table, restarted, 2, START_MS);
    }
    let picked: Vec<String> = (0..50).map(|_| pick(&mut table, START_MS).unwrap().id).collect();
    for idx in 1..3 {
        let cold = picked.iter().filter(|it| **it == format!("r{idx}")).count();
        assert!(cold <= 1, "{cold} requests to a cold target");
    }
}

/// Guards against any effect on services whose targets are never cold.
#[test]
fn services_without_a_cold_start_are_picked_as_before() {
    let mut plain = support::target_table("r", 8, 10);
    let mut other = TargetTable::new("a");
    other.set_cold_bounds(bounds());
    for idx in 0..8 {
        let info = TargetInfo { cold_for_ms: 3_000, ..support::info("r", idx, 10) };
        record(&mut other, TargetInfo { service: "other".to_string(), ..info }, 1, START_MS);
    }
    assert!(other.cold.is_empty());
    for step in 0..60 {
        let draws = || {
            let mut rng = fastrand::Rng::with_seed(step);
            move || rng.f64()
        };
        let now_ms = START_MS + step;
        let expected = plain.pick("writer", &[], &LIMITS, now_ms, draws()).map(|it| it.id);
        let actual = other.pick("other", &[], &LIMITS, now_ms, draws()).map(|it| it.id);
        assert_eq!(actual, expected);
    }
}

/// Guards against shares that add up to more than the bound where entries know only a part of each other.
#[test]
fn shares_of_different_views_stay_under_the_bound() {
    let planned = bounds()["writer"].planned;
    let mut rng = fastrand::Rng::with_seed(3);
    for entries in [2, 5, 18, 23, 24, 60, 320] {
        for number in 0..20 {
            let target = format!("r{number}");
            let mut sum = 0;
            for idx in 0..entries {
                let own = format!("entry-{idx}");
                let missing = rng.usize(0..=(entries / 2).min(planned));
                let mut others: Vec<usize> = (0..entries).filter(|it| *it != idx).collect();
                rng.shuffle(&mut others);
                others.truncate(entries - 1 - missing.min(entries - 1));
                let mut members: Members = others.iter().map(|it| format!("entry-{it}")).collect();
                members.insert(own.clone());
                let count = members.len();
                sum += allowance(&ColdShare::Known { own, members, count }, &target, planned);
            }
            assert!(sum <= max_per_s(), "{entries} entries, {target}: {sum}");
        }
    }
}
