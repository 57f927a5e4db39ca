//! Compact encodings between the planner and the agents of ranks, at the size of a group of 192 ranks.
#![allow(clippy::unwrap_used)]

use bilberryloft_coordination::expert_map::ExpertSetMap;
use bilberryloft_relay::dialect::ExpertCounts;
use bilberryloft_relay::ranks::choices;
use bilberryloft_relay::ranks::choices::Readings;
use bilberryloft_relay::ranks::map_codec;
use quickcheck::quickcheck;

const SETS: usize = 10;
const EXPERTS: usize = 384;

fn reading(step: u64, epoch: u64, per_expert: u64) -> ExpertCounts {
    let counts = (0..SETS * EXPERTS).map(|it| it as u64 + per_expert).collect();
    ExpertCounts { step, epoch, counts }
}

quickcheck! {
    fn choices_any_numbers_survive(numbers: Vec<u64>) -> bool {
        let bytes = choices::encode(numbers.iter().copied());
        choices::decode(&bytes, numbers.len()) == Some(numbers)
    }

    fn choices_any_bytes_are_read_or_refused(bytes: Vec<u8>, experts: u8) -> bool {
        choices::decode(&bytes, usize::from(experts)).is_none_or(|it| it.len() == usize::from(experts))
    }

    fn map_any_survives(map: Vec<ExpertSetMap>) -> bool {
        map_codec::decode(&map_codec::encode(&map)) == Some(map)
    }

    fn map_any_bytes_are_read_or_refused(bytes: Vec<u8>) -> bool {
        map_codec::decode(&bytes).is_none_or(|it| it.len() <= bytes.len())
    }
}

#[test]
fn choices_of_one_reading_take_one_byte_for_each_expert() {
    let mut readings = Readings::default();
    assert_eq!(readings.add(reading(10, 1, 1_000_000), None), None);
    let bytes = readings.add(reading(12, 1, 1_000_100), Some(10)).unwrap();
    assert_eq!(bytes.len(), SETS * EXPERTS);
    assert_eq!(choices::decode(&bytes, SETS * EXPERTS), Some(vec![100; SETS * EXPERTS]));
}

#[test]
fn choices_since_a_reading_whose_answer_was_lost_count_once() {
    let mut readings = Readings::default();
    readings.add(reading(10, 1, 0), None);
    readings.add(reading(12, 1, 5), Some(10));
    let bytes = readings.add(reading(14, 1, 7), Some(10)).unwrap();
    assert_eq!(choices::decode(&bytes, SETS * EXPERTS).unwrap()[0], 7);
}

#[test]
fn choices_of_another_epoch_are_not_compared() {
    let mut readings = Readings::default();
    readings.add(reading(10, 1, 50), None);
    assert_eq!(readings.add(reading(10, 2, 60), Some(10)), None);
    assert!(readings.add(reading(11, 2, 70), Some(10)).is_some());
}

#[test]
fn map_of_192_ranks_takes_less_than_half_of_its_text() {
    let experts = |rank: usize| (0..3).map(|it| ((rank + it * 192) % EXPERTS) as u16).collect();
    let map: Vec<ExpertSetMap> = vec![(0..192).map(experts).collect(); SETS];
    let text = serde_json::to_string(&map).unwrap();
    assert!(2 * map_codec::encode(&map).len() < text.len());
}
